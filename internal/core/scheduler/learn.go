package scheduler

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/estimate"
	"github.com/boragecrank/boragecrank/internal/core/health"
	"github.com/boragecrank/boragecrank/internal/core/placement"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Usage implements shard.Learner. Sizes learned from it apply to attempts that
// start later.
func (s *Scheduler) Usage(now, takenAt time.Duration, id types.TaskID, use types.Resources) {
	s.est.Usage(now, takenAt, id, use)
}

// Ended implements shard.Learner.
func (s *Scheduler) Ended(now time.Duration, vm types.VMID, id types.TaskID, kind string, how shard.Ending) {
	end := estimate.Cut
	if how == shard.EndedDone {
		end = estimate.Done
	}
	s.est.End(now, id, end)
	s.Withdrawn(id)
	if how != shard.EndedInterrupted {
		s.health.Report(now, vm, kind, how == shard.EndedDone)
	} else if s.probing[id] == vm {
		s.health.ProbeLost(now, vm)
	}
	delete(s.probing, id)
}

// Quarantined implements shard.Learner.
func (s *Scheduler) Quarantined(vm types.VMID) bool {
	return s.health.Quarantined(vm)
}

// review carries out quarantines, probes and returns that are due.
func (s *Scheduler) review() {
	if s.now-s.swept >= sweepInterval {
		s.swept = s.now
		s.est.Sweep(s.now)
	}
	if s.now-s.reviewed < reviewInterval {
		return
	}
	s.reviewed = s.now
	for id, vm := range s.probing {
		if run, ok := s.state.Get(id); !ok || run.VM != vm {
			// The owner did not place it there after all.
			delete(s.probing, id)
			s.health.ProbeLost(s.now, vm)
		}
	}
	for _, a := range s.health.Decide(s.now) {
		v := s.views[a.Worker]
		switch a.Kind {
		case health.Quarantine:
			s.usable(a.Worker, false)
		case health.Return:
			delete(s.probes, a.Worker)
			s.usable(a.Worker, v.available)
		case health.Probe:
			s.probes[a.Worker] = true
		}
	}
}

// probe offers a VM in quarantine that is due for a probe to a batch task that
// is neither urgent nor in a gang.
func (s *Scheduler) probe(d shard.Demand, r *placement.Request) (types.VMID, bool) {
	if len(s.probes) == 0 || r.Urgent || r.Class != types.ClassBatch || d.Job.Gang {
		return "", false
	}
	for _, id := range s.ids {
		v := s.views[id]
		if !s.probes[id] || !v.available || id == r.Avoid || !r.Size.Fits(v.free) || !inDomains(d.Job, v.vm.FailureDomain) {
			continue
		}
		delete(s.probes, id)
		return id, true
	}
	return "", false
}

func inDomains(j *types.Job, domain types.FailureDomain) bool {
	for _, d := range j.FailureDomains {
		if d == domain {
			return true
		}
	}
	return len(j.FailureDomains) == 0
}
