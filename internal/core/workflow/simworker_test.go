package workflow

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

type simRun struct {
	task TaskKey
	run  uint64
	ends time.Duration
}

// simWorker is an upstream worker. Times in fields are on the true clock but
// for the lease, which is on the worker's.
type simWorker struct {
	id    types.VMID
	boot  Boot
	up    bool
	began time.Duration
	rate  float64
	fence Fence
	// raised is the fence that the agent beside the worker shows it; a new boot
	// sees it at raiseAt, before orders of the life before.
	raised  Fence
	raiseAt time.Duration
	lease   time.Duration
	runs    []simRun
	ended   []End
	ends    uint64
	// void is the last end before the lease ran out. The platform does not count
	// such an end as taken note of, since its task may have been given up.
	void   uint64
	barred map[TaskKey]uint64
	cut    time.Duration // out of the owner's reach until then
	asked  uint64
}

func (w *simWorker) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-w.began) * w.rate)
}

// lateOrder is an order without answer that is carried out later.
type lateOrder struct {
	at    time.Duration
	fence Fence
	order Order
}

// boot starts another life of a worker.
func (s *sim) boot(w *simWorker, id string) {
	s.born++
	*w = simWorker{
		id: w.id, boot: Boot{ID: id, Born: s.born}, up: true, began: s.now, rate: 0.98 + 0.02*s.rng.Float64(),
		barred: make(map[TaskKey]uint64), cut: w.cut, raised: w.raised, raiseAt: s.now + simRaise,
	}
}

// watch grants a lease and reports the worker's lists.
func (s *sim) watch(w *simWorker) {
	// A worker may wait for an end before it answers, so the lists have the
	// number of when they were asked for.
	s.seq++
	r := Report{VM: w.id, Agent: 1, ListSeq: w.asked}
	w.asked = s.seq
	if !w.up {
		r.Gone = true
		s.owner.Report(s.now, r)
		return
	}
	if s.mutant == mutantExtend {
		defer func(confirmed bool) { s.owner.confirmed = confirmed }(s.owner.confirmed)
		s.owner.confirmed = true
	}
	g := s.owner.Grant(w.id)
	if g.Fence.Epoch() < w.raised.Epoch() {
		s.owner.Report(s.now, Report{VM: w.id, Agent: 1, Fence: w.raised})
		return
	}
	if s.mutant != mutantNoFence {
		w.raised = max(w.raised, g.Fence)
		w.fence = max(w.fence, w.raised)
	}
	if g.Boot.Born == w.boot.Born {
		s.extend(w, g.Deadline)
		for len(w.ended) > 0 && w.ended[0].Number <= g.Acknowledged {
			if w.ended[0].Kind == EndDone && w.ended[0].Number > w.void {
				s.noted[w.ended[0].Task] = true
			}
			if w.ended[0].Kind == EndFailed {
				s.failures[w.ended[0].Task]++
			}
			w.ended = w.ended[1:]
		}
	}
	r.Fence, r.Boot, r.Clock = max(w.raised, FirstFence(s.epoch)), w.boot, w.clock(s.now)
	r.Upstream = &Upstream{Boot: w.boot, Service: "svc", Capacity: types.Resources{MilliCPU: 6000, MemoryBytes: 100}}
	for _, run := range w.runs {
		r.Running = append(r.Running, Run{Task: run.task, Run: run.run, Progress: 50, Figure: 1000})
	}
	r.Ended = slices.Clone(w.ended)
	s.owner.Report(s.now, r)
}

func (s *sim) extend(w *simWorker, deadline time.Duration) {
	w.lease = max(w.lease, min(deadline, w.clock(s.now)+simHoldMax))
}

// give hands an order to a worker, whose answer may be lost.
func (s *sim) give(o Order) {
	w := s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == o.VM })]
	result := ResultUnknown
	delay, lose := s.delayNext, s.loseNext
	s.delayNext, s.loseNext = 0, false
	switch {
	case !s.reaches(w) && w.up:
	case s.epoch < w.raised.Epoch():
		result = ResultFenced
	case delay > 0:
		s.event("late order %s %s run %d for %s", o.Kind, o.Task, o.Run, w.id)
		s.late = append(s.late, lateOrder{s.now + delay, max(w.raised, FirstFence(s.epoch)), o})
	case s.chance(0.05):
		s.faults["late order"]++
		s.event("late order %s %s run %d for %s", o.Kind, o.Task, o.Run, w.id)
		s.late = append(s.late, lateOrder{s.now + s.between(0, simLateMost), max(w.raised, FirstFence(s.epoch)), o})
	default:
		result = s.carry(w, max(w.raised, FirstFence(s.epoch)), o)
		if s.chance(0.03) {
			s.faults["lost answer"]++
			lose = true
		}
		if lose {
			result = ResultUnknown
		}
	}
	if s.mutant == mutantUnknown && result == ResultUnknown && o.Kind == OrderStart {
		result = ResultRefused
	}
	s.seq++
	s.owner.Results(s.now, 1, []OrderResult{{Order: o, Result: result, Seq: s.seq}})
}

func (s *sim) carryLate() {
	s.late = slices.DeleteFunc(s.late, func(l lateOrder) bool {
		if s.now < l.at {
			return false
		}
		i := slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == l.order.VM })
		if w := s.workers[i]; w.raiseAt == 0 {
			s.carry(w, l.fence, l.order)
		}
		return true
	})
}

// carry is what a worker does with an order.
func (s *sim) carry(w *simWorker, fence Fence, o Order) Result {
	switch {
	case !w.up, w.raiseAt > 0, o.Boot.ID != w.boot.ID:
		return ResultWrongBoot
	case fence < w.fence:
		return ResultFenced
	}
	w.fence = fence
	at := slices.IndexFunc(w.runs, func(r simRun) bool { return r.task == o.Task })
	if o.Kind == OrderStop {
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		if at >= 0 && w.runs[at].run <= o.Run {
			s.end(w, at, EndStopped)
		}
		return ResultDone
	}
	if o.Kind != OrderStart {
		return ResultDone
	}
	switch {
	case at >= 0 && w.runs[at].run == o.Run:
		return ResultDone
	case at >= 0, o.Run <= w.barred[o.Task]:
		return ResultOldRun
	case o.Deadline <= w.clock(s.now):
		return ResultLate
	}
	s.extend(w, o.Deadline)
	s.check(w, o)
	ends := s.now + s.between(simRunTime/3, 2*simRunTime)
	if declared := s.rows[o.Task.Job].job.Steps[o.Task.Step].RunTime; declared != simRunTime {
		ends = s.now + declared
	}
	if !s.calm && s.rng.IntN(simLongEvery) == 0 {
		ends += s.between(0, simLongRun)
	}
	w.runs = append(w.runs, simRun{o.Task, o.Run, ends})
	s.starts++
	return ResultDone
}

// check holds a start against what must always hold.
func (s *sim) check(w *simWorker, o Order) {
	s.event("start %s run %d on %s", o.Task, o.Run, w.id)
	for _, other := range s.workers {
		if other.up && slices.ContainsFunc(other.runs, func(r simRun) bool { return r.task == o.Task }) {
			s.fail("task %s run %d starts on %s while it runs on %s", o.Task, o.Run, w.id, other.id)
		}
	}
	if s.failures[o.Task] >= simAttempts && !s.rows[o.Task.Job].job.Steps[o.Task.Step].Gang {
		s.fail("task %s starts after %d failed runs", o.Task, s.failures[o.Task])
	}
	if s.noted[o.Task] {
		s.fail("task %s starts after its end was acknowledged", o.Task)
	}
	job := &s.rows[o.Task.Job].job
	for _, a := range job.Steps[o.Task.Step].After {
		for i := range job.Steps[a].Tasks {
			if !s.doneEver[TaskKey{o.Task.Job, o.Task.Occurrence, a, i}] && !job.Steps[a].Gang {
				s.fail("task %s starts before task %d of step %d is done", o.Task, i, a)
			}
		}
	}
}

func (s *sim) end(w *simWorker, at int, kind EndKind) {
	run := w.runs[at]
	w.runs = slices.Delete(w.runs, at, at+1)
	w.ends++
	w.barred[run.task] = max(w.barred[run.task], run.run)
	s.event("%s lists %s run %d as %s", w.id, run.task, run.run, kind)
	w.ended = append(w.ended, End{Number: w.ends, Task: run.task, Run: run.run, Kind: kind})
	if kind == EndDone {
		s.doneEver[run.task] = true
	}
}

// work advances the runs of a worker.
func (s *sim) work(w *simWorker) {
	if !w.up {
		return
	}
	if w.raiseAt > 0 && s.now >= w.raiseAt {
		w.raiseAt = 0
		w.raised = w.raised.NextBoot()
		w.fence = max(w.fence, w.raised)
	}
	if w.clock(s.now) >= w.lease {
		w.void = w.ends
	}
	for i := len(w.runs) - 1; i >= 0; i-- {
		switch {
		case w.clock(s.now) >= w.lease:
			s.end(w, i, EndLapsed)
		case s.now >= w.runs[i].ends && s.chance(0.02):
			s.end(w, i, EndFailed)
		case s.now >= w.runs[i].ends:
			s.end(w, i, EndDone)
		}
	}
}
