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

// simWorker is an upstream worker. Times in fields are on the true clock,
// except the lease, which is on the worker's clock.
type simWorker struct {
	id    types.VMID
	boot  Boot
	up    bool
	began time.Duration
	rate  float64
	fence Fence
	// agentFence is the fence that the worker's agent passes to it. The agent raises
	// it for a new boot at fenceAt, which is 0 once it has.
	agentFence Fence
	// reportFence is the fence of the agent's last report with lists. It keeps it when the
	// worker ends, so that a former owner learns of its successor.
	reportFence Fence
	fenceAt     time.Duration
	// agentBorn is the boot that the agent knows; 0 if it found none. Until it is
	// polled, the agent passes orders for the previous boot on to a new one.
	agentBorn int64
	lease     time.Duration
	runs      []simRun
	ended     []End
	ends      uint64
	// lastEndBeforeExpiry is the last end recorded before the lease expired.
	// Tasks whose ends are up to this one may have been given up and may run
	// again, so the check of acknowledged ends leaves them out.
	lastEndBeforeExpiry uint64
	stoppedRuns         map[TaskKey]uint64
	cutUntil            time.Duration // unreachable for the owner until then
	cutAt               time.Duration // when cutUntil will be set; 0 if not scheduled
	requestedSeq        uint64
}

func (w *simWorker) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-w.began) * w.rate)
}

// lateOrder is an unanswered order that is carried out later.
type lateOrder struct {
	at    time.Duration
	fence Fence
	order Order
}

// boot starts another boot of a worker.
func (s *sim) boot(w *simWorker, id string) {
	s.born++
	var fenceAt time.Duration
	if w.boot.Born != 0 {
		fenceAt = s.now + simFenceDelay
	}
	*w = simWorker{
		id: w.id, boot: Boot{ID: id, Born: s.born}, up: true, began: s.now, rate: 0.98 + 0.02*s.rng.Float64(),
		stoppedRuns: make(map[TaskKey]uint64), cutUntil: w.cutUntil, agentFence: w.agentFence, reportFence: w.reportFence, fenceAt: fenceAt,
		agentBorn: w.agentBorn,
	}
}

// poll grants a lease and reports the worker's lists.
func (s *sim) poll(w *simWorker) {
	// A worker may wait for an end before it answers, so its lists carry the
	// sequence number of the time when they were requested.
	s.seq++
	r := Report{VM: w.id, Agent: 1, ListSeq: w.requestedSeq}
	w.requestedSeq = s.seq
	if !w.up {
		// The agent accepts the owner's fence also while it finds no worker.
		if fence := s.owner.Grant(w.id).Fence; s.mutant != mutantNoFence {
			w.agentFence = max(w.agentFence, fence)
		}
		r.Gone, r.Fence = true, w.reportFence
		w.agentBorn = 0
		s.owner.Report(s.now, r)
		return
	}
	w.agentBorn = w.boot.Born
	if s.mutant == mutantExtend {
		defer func(confirmed bool) { s.owner.confirmed = confirmed }(s.owner.confirmed)
		s.owner.confirmed = true
	}
	g := s.owner.Grant(w.id)
	if g.Fence.Epoch() < w.agentFence.Epoch() {
		s.owner.Report(s.now, Report{VM: w.id, Agent: 1, Fence: w.agentFence})
		return
	}
	if s.mutant != mutantNoFence {
		w.agentFence = max(w.agentFence, g.Fence)
		w.fence = max(w.fence, w.agentFence)
	}
	if g.Boot.Born == w.boot.Born {
		s.extendLease(w, g.LeaseEnd)
		for len(w.ended) > 0 && w.ended[0].Number <= g.Acknowledged {
			if w.ended[0].Kind == EndDone && w.ended[0].Number > w.lastEndBeforeExpiry {
				if !s.acked[w.ended[0].Task] {
					s.ackedAt[w.ended[0].Task] = s.now
				}
				s.acked[w.ended[0].Task] = true
			}
			if w.ended[0].Kind == EndFailed {
				s.failures[w.ended[0].Task]++
				s.countGangFailure(&w.ended[0])
				s.failedAt[w.ended[0].Task] = s.now
			}
			w.ended = w.ended[1:]
		}
	}
	progress := s.progressOfRuns()
	r.Fence, r.Boot, r.Clock = max(w.agentFence, FirstFence(s.epoch)), w.boot, w.clock(s.now)
	w.reportFence = r.Fence
	r.Upstream = &Upstream{Boot: w.boot, Service: "svc", Capacity: s.capacity()}
	for _, run := range w.runs {
		r.Running = append(r.Running, Run{Task: run.task, Run: run.run, Progress: progress, Figure: 1000})
	}
	r.Ended = slices.Clone(w.ended)
	s.reportRuns(r)
	s.ignoreEarlierOrders()
}

func (s *sim) extendLease(w *simWorker, deadline time.Duration) {
	w.lease = max(w.lease, min(deadline, w.clock(s.now)+simMaxLease))
}

// sendOrder sends an order to a worker, whose answer may be lost.
func (s *sim) sendOrder(o Order) {
	w := s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == o.VM })]
	result := ResultUnknown
	o = s.delayCopies(w, o)
	delay, lose := s.delayNext, s.loseNext
	s.delayNext, s.loseNext = 0, false
	switch {
	case !s.canReach(w) && w.up:
	case s.epoch < w.agentFence.Epoch():
		result = ResultFenced
	case o.Boot.Born != w.agentBorn, w.fenceAt > 0 && w.agentBorn == w.boot.Born:
		result = ResultRefused
	case delay > 0:
		s.event("late order %s %s run %d for %s", o.Kind, o.Task, o.Run, w.id)
		s.late = append(s.late, lateOrder{s.now + delay, max(w.agentFence, FirstFence(s.epoch)), o})
	case s.chance(0.05):
		s.faults["late order"]++
		s.event("late order %s %s run %d for %s", o.Kind, o.Task, o.Run, w.id)
		s.late = append(s.late, lateOrder{s.now + s.randomDuration(0, simMaxDelay), max(w.agentFence, FirstFence(s.epoch)), o})
	default:
		result = s.execute(w, max(w.agentFence, FirstFence(s.epoch)), o)
		if s.chance(0.03) {
			s.faults["lost answer"]++
			lose = true
		}
		if lose {
			result = ResultUnknown
		}
	}
	if s.mutant == mutantNoAnswer && result == ResultUnknown && o.Kind == OrderStart {
		result = ResultRefused
	}
	s.seq++
	s.owner.ApplyResults(s.now, 1, []OrderResult{{Order: o, Result: result, Seq: s.seq}})
}

func (s *sim) executeLate() {
	s.late = slices.DeleteFunc(s.late, func(l lateOrder) bool {
		if s.now < l.at {
			return false
		}
		i := slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == l.order.VM })
		if w := s.workers[i]; w.fenceAt == 0 {
			s.execute(w, l.fence, l.order)
		}
		return true
	})
}

// execute applies an order on a worker and returns the result.
func (s *sim) execute(w *simWorker, fence Fence, o Order) Result {
	switch {
	case !w.up, o.Boot.ID != w.boot.ID:
		return ResultWrongBoot
	case fence < w.fence:
		return ResultFenced
	}
	w.fence = fence
	at := slices.IndexFunc(w.runs, func(r simRun) bool { return r.task == o.Task })
	if o.Kind == OrderStop {
		w.stoppedRuns[o.Task] = max(w.stoppedRuns[o.Task], o.Run)
		if at >= 0 && w.runs[at].run <= o.Run {
			s.endRun(w, at, EndStopped)
		}
		return ResultDone
	}
	if o.Kind != OrderStart {
		return ResultDone
	}
	switch {
	case at >= 0 && w.runs[at].run == o.Run:
		return ResultDone
	case at >= 0, o.Run <= w.stoppedRuns[o.Task]:
		return ResultOldRun
	case o.LeaseEnd <= w.clock(s.now):
		return ResultLate
	}
	s.extendLease(w, o.LeaseEnd)
	s.checkStart(w, o)
	ends := s.now + s.randomDuration(simRunTime/3, 2*simRunTime)
	if declared := s.rows[o.Task.Job].job.Steps[o.Task.Step].RunTime; declared != simRunTime {
		ends = s.now + declared
	}
	if !s.noFaults && s.rng.IntN(simExtendedEvery) == 0 {
		ends += s.randomDuration(0, simMaxExtension)
	}
	ends = s.endOfRun(o, ends)
	w.runs = append(w.runs, simRun{o.Task, o.Run, ends})
	s.starts++
	return ResultDone
}

// checkStart checks the invariants for a start.
func (s *sim) checkStart(w *simWorker, o Order) {
	s.event("start %s run %d on %s", o.Task, o.Run, w.id)
	if s.copies && s.rows[o.Task.Job].job.Steps[o.Task.Step].Copies {
		s.checkCopyStart(w, o)
	} else {
		s.checkOnlyRun(w, o)
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

// checkOnlyRun checks a start of a task that tolerates no second run.
func (s *sim) checkOnlyRun(w *simWorker, o Order) {
	for _, other := range s.workers {
		if other.up && slices.ContainsFunc(other.runs, func(r simRun) bool { return r.task == o.Task }) {
			s.fail("task %s run %d starts on %s while it runs on %s", o.Task, o.Run, w.id, other.id)
		}
	}
	failed := s.failures[o.Task]
	if s.rows[o.Task.Job].job.Steps[o.Task.Step].Gang {
		failed = len(s.gangFailures[o.Task.step()])
	}
	if failed >= simAttempts {
		s.fail("task %s starts after %d failed runs", o.Task, failed)
	}
	if s.acked[o.Task] {
		s.fail("task %s starts after its end was acknowledged", o.Task)
	}
}

// step returns the key of the first task of the step.
func (k TaskKey) step() TaskKey {
	k.Index = 0
	return k
}

// countGangFailure records the failed run of a gang, which counts once.
func (s *sim) countGangFailure(e *End) {
	runs := s.gangFailures[e.Task.step()]
	if runs == nil {
		runs = make(map[uint64]bool)
		s.gangFailures[e.Task.step()] = runs
	}
	runs[e.Run] = true
}

func (s *sim) endRun(w *simWorker, at int, kind EndKind) {
	run := w.runs[at]
	w.runs = slices.Delete(w.runs, at, at+1)
	w.ends++
	w.stoppedRuns[run.task] = max(w.stoppedRuns[run.task], run.run)
	s.event("%s lists %s run %d as %s", w.id, run.task, run.run, kind)
	w.ended = append(w.ended, End{Number: w.ends, Task: run.task, Run: run.run, Kind: kind})
	if kind == EndDone {
		s.doneEver[run.task] = true
	}
}

// advanceRuns advances the runs of a worker.
func (s *sim) advanceRuns(w *simWorker) {
	if !w.up {
		return
	}
	if w.fenceAt > 0 && s.now >= w.fenceAt {
		w.fenceAt, w.agentBorn = 0, w.boot.Born
		w.agentFence = w.agentFence.NextBoot()
		w.fence = max(w.fence, w.agentFence)
	}
	if w.clock(s.now) >= w.lease {
		w.lastEndBeforeExpiry = w.ends
	}
	for i := len(w.runs) - 1; i >= 0; i-- {
		switch {
		case w.clock(s.now) >= w.lease:
			s.endRun(w, i, EndExpired)
		case s.now >= w.runs[i].ends && s.chance(s.failureRate(w.runs[i].task)):
			s.endRun(w, i, EndFailed)
		case s.now >= w.runs[i].ends:
			s.endRun(w, i, EndDone)
		}
	}
}
