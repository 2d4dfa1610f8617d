package scheduler

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/estimate"
	"github.com/boragecrank/boragecrank/internal/core/health"
	"github.com/boragecrank/boragecrank/internal/core/placement"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Usage implements shard.Learner. The learned size applies to attempts that
// start later.
func (s *Scheduler) Usage(now, takenAt time.Duration, id types.TaskID, use types.Resources) {
	s.est.Usage(now, takenAt, id, use)
}

// Ended implements shard.Learner.
func (s *Scheduler) Ended(now time.Duration, vm types.VMID, id types.TaskID, kind string, how shard.AttemptEnd) {
	end := estimate.EndInterrupted
	if how == shard.AttemptDone {
		end = estimate.EndCompleted
	}
	s.est.End(now, id, end)
	s.Withdrawn(id)
	if how != shard.AttemptInterrupted {
		s.health.Report(now, vm, kind, how == shard.AttemptDone)
	} else if s.probeTasks[id] == vm {
		s.health.ProbeLost(now, vm)
	}
	delete(s.probeTasks, id)
}

// Quarantined implements shard.Learner.
func (s *Scheduler) Quarantined(vm types.VMID) bool {
	return s.health.Quarantined(vm)
}

// runPeriodicUpdates updates the learned sizes, and applies the quarantines,
// probes and returns from quarantine that are due.
func (s *Scheduler) runPeriodicUpdates() {
	if s.now-s.lastSweep >= sweepInterval {
		s.lastSweep = s.now
		s.est.Sweep(s.now)
	}
	if s.now-s.lastReview < reviewInterval {
		return
	}
	s.lastReview = s.now
	for id, vm := range s.probeTasks {
		if run, ok := s.state.Get(id); !ok || run.VM != vm {
			// The owner did not place the probe task on this VM.
			delete(s.probeTasks, id)
			s.health.ProbeLost(s.now, vm)
		}
	}
	for _, a := range s.health.Decide(s.now) {
		v := s.vms[a.Worker]
		switch a.Kind {
		case health.Quarantine:
			s.usable(a.Worker, false)
		case health.Return:
			delete(s.probeDue, a.Worker)
			s.usable(a.Worker, v.available)
		case health.Probe:
			s.probeDue[a.Worker] = true
		}
	}
}

// placeProbe returns a VM in quarantine that is due for a probe and has room
// for the task. Only batch tasks that are neither urgent nor in a gang serve as
// probes.
func (s *Scheduler) placeProbe(d shard.Demand, r *placement.Request) (types.VMID, bool) {
	if len(s.probeDue) == 0 || r.Urgent || r.Class != types.ClassBatch || d.Job.Gang {
		return "", false
	}
	for _, id := range s.vmIDs {
		v := s.vms[id]
		if !s.probeDue[id] || !v.available || id == r.Avoid || !r.Size.Fits(v.free) || !allowsDomain(d.Job, v.vm.FailureDomain) {
			continue
		}
		delete(s.probeDue, id)
		return id, true
	}
	return "", false
}

// allowsDomain reports whether the job's tasks may run in the failure domain.
func allowsDomain(j *types.Job, domain types.FailureDomain) bool {
	for _, d := range j.FailureDomains {
		if d == domain {
			return true
		}
	}
	return len(j.FailureDomains) == 0
}
