package workflow

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// The part of the simulation with copies of stragglers. The workers' rules for steps with
// Copies are those of the users' platform.

const (
	// simGrace is how long after an acknowledgement a start of a task with Copies is
	// tolerated.
	simGrace = time.Second
	// simLongRun is the run time of stragglers, and one in simLongEvery runs has it.
	simLongRun   = 6 * time.Second
	simLongEvery = 4
)

// Mutants of the rules for copies.
const (
	// mutantAnyStep starts copies of steps without Copies.
	mutantAnyStep mutant = "copy tasks of any step"
	// mutantThirdRun forgets the copies that have been started.
	mutantThirdRun mutant = "start a copy beside a copy"
	// mutantLateCopy starts copies with the usual lease, so that they may start late.
	mutantLateCopy mutant = "let copies start late"
	// mutantOneRun counts the end of a task's current run only.
	mutantOneRun mutant = "ignore the end of the other run"
)

// newCopySim returns a simulation whose owners start copies.
func newCopySim(seed uint64, m mutant) *sim {
	s := newSim(seed, m)
	s.copies, s.longRun = true, simLongRun
	s.enableCopies()
	return s
}

// enableCopies switches copies on at a new owner. Its distribution of run times has a tail
// from the beginning, since owners change within seconds here.
func (s *sim) enableCopies() {
	if !s.copies {
		return
	}
	s.owner.cfg.Copies = true
	for i := range 300 {
		ran := simRunTime
		if i%simLongEvery == 0 {
			ran = simLongRun
		}
		s.owner.ratios.Learn((&step{job: &job{spec: Job{Queue: "q"}}, spec: &Step{}}).kindOfRunTimes(), simRunTime, ran)
	}
}

// jobForOwner returns the job as the owner reads it.
func (s *sim) jobForOwner(j Job) Job {
	if s.mutant == mutantAnyStep {
		j.Steps = slices.Clone(j.Steps)
		for i := range j.Steps {
			j.Steps[i].Copies = true
		}
	}
	return j
}

// capacity returns the resources of a worker. With copies there is room for several of
// them within their share of the service.
func (s *sim) capacity() types.Resources {
	if s.copies {
		return types.Resources{MilliCPU: 60000, MemoryBytes: 1000}
	}
	return types.Resources{MilliCPU: 6000, MemoryBytes: 100}
}

// progressOfRuns returns the progress that workers list. With copies it is low, so that the
// progress does not keep the owner from starting copies.
func (s *sim) progressOfRuns() int {
	if s.copies {
		return 5
	}
	return 50
}

// endOfRun returns when a run ends. With copies, a share of the first runs is long.
func (s *sim) endOfRun(o Order, usual time.Duration) time.Duration {
	if s.copies && o.Run&1 == 1 && (o.Task.Index+o.Task.Step)%simLongEvery == 0 {
		return s.now + s.longRun
	}
	return usual
}

// reportRuns passes a report to the owner.
func (s *sim) reportRuns(r Report) {
	if s.mutant == mutantOneRun {
		s.owner.cfg.Copies = false
		defer func() { s.owner.cfg.Copies = true }()
	}
	s.owner.Report(s.now, r)
}

// delayCopies applies mutantLateCopy to an order.
func (s *sim) delayCopies(w *simWorker, o Order) Order {
	if t := s.owner.findRun(s.owner.vms[o.VM], o.Task, o.Run); s.mutant == mutantLateCopy && o.Kind == OrderStart && t != nil && t.copyOf != nil {
		o.LeaseEnd = max(o.LeaseEnd, w.clock(s.now)+simLease)
	}
	return o
}

// forgetCopies applies mutantThirdRun to the owner.
func (s *sim) forgetCopies() {
	if s.mutant != mutantThirdRun {
		return
	}
	for _, st := range s.owner.ready {
		for i := range st.tasks {
			st.tasks[i].copy, st.tasks[i].nextCopyAt = nil, 0
		}
	}
}

// checkCopyStart checks a start of a task that tolerates two runs.
func (s *sim) checkCopyStart(w *simWorker, o Order) {
	others := 0
	for _, other := range s.workers {
		if other != w && other.up && slices.ContainsFunc(other.runs, func(r simRun) bool { return r.task == o.Task }) {
			others++
		}
	}
	if others > 0 {
		s.copyStarts++
	}
	if others > 1 {
		s.fail("task %s run %d starts on %s beside %d other runs", o.Task, o.Run, w.id, others)
	}
	if s.acked[o.Task] && s.now > s.ackedAt[o.Task]+simGrace {
		s.fail("task %s run %d starts %v after its end was acknowledged", o.Task, o.Run, s.now-s.ackedAt[o.Task])
	}
	failed, failedAt := s.failures[o.Task], s.failedAt[o.Task]
	if step := &s.rows[o.Task.Job].job.Steps[o.Task.Step]; step.Gang {
		failed = len(s.gangFailures[o.Task.step()])
		for i := range step.Tasks {
			member := o.Task
			member.Index = i
			failedAt = max(failedAt, s.failedAt[member])
		}
	}
	if failed >= simAttempts && s.now > failedAt+simGrace {
		s.fail("task %s run %d starts after %d failed runs", o.Task, o.Run, failed)
	}
}

// failureRate returns the share of the runs of a task that fail. With copies those of gangs
// fail often, so that gangs use up their attempts.
func (s *sim) failureRate(key TaskKey) float64 {
	if s.copies && s.rows[key.Job].job.Steps[key.Step].Gang {
		return 0.3
	}
	return 0.02
}
