package workflow

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/runtimes"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Copies: second runs of stragglers. A task of a step with Step.Copies whose run is
// expected to take much longer than a fresh one gets a second run on another VM while
// capacity is free and nothing waits for it. The first run to finish counts, and the other
// one is stopped.
const (
	// copyCheckInterval is the time between searches for stragglers. It is short compared
	// with the run times for which a copy is worthwhile.
	copyCheckInterval = 200 * time.Millisecond
	// copyMargin is how many times as long as a fresh run the rest of a run must be
	// expected to take. A copy costs a whole run, so the gain must be at least half of one.
	copyMargin = 1.5
	// copyStartTime is the time from the decision until a copy runs, and copyRestoreTime
	// that to restore a checkpoint (250 ms by the platform's rules).
	copyStartTime   = 200 * time.Millisecond
	copyRestoreTime = 250 * time.Millisecond
	// maxCopyShare is the largest share of the processors and of the memory of a service
	// that copies may use. Copies of a tail of 3% use 3.6% of the work.
	maxCopyShare = 0.05
	// minEndedShare is the share of a step's tasks that must have ended. Before that, the
	// whole job may be longer than its requested time says.
	minEndedShare = 0.5
	// copyOrderValidity is how long the start of a copy may be under way, on the worker's
	// clock. The end of the other run may be acknowledged right after the order, and from
	// one second after that no run may start.
	copyOrderValidity = 700 * time.Millisecond
	// copyRetryInterval is the time between two copies of a task, so that a worker that
	// refuses copies is not asked in every search.
	copyRetryInterval = 2 * time.Second
	// maxProgressAge is the age of a list up to which its progress counts. Lists come
	// every 500 ms; an older one may be of a worker that is lost.
	maxProgressAge = time.Second
)

// copiesState is the owner's state of copies, apart from the runs themselves.
type copiesState struct {
	checkAt time.Duration
	// running counts the copies that have not ended.
	running int
}

// Copies returns the number of second runs that have not ended.
func (o *Owner) Copies() int { return o.copies.running }

func (s *step) kindOfRunTimes() runtimes.Kind {
	return runtimes.Kind{Queue: s.job.spec.Queue, Image: s.spec.Image}
}

// learnRatio learns from the run time of a finished task, if it was never slowed down, its
// VM is not paused as slow, and it began without a checkpoint under this owner.
func (o *Owner) learnRatio(t *task) {
	if o.cfg.Copies && t.undisturbed && t.phase == phaseRunning && !t.step.spec.Standing && o.now >= t.vm.slowUntil {
		o.ratios.Learn(t.step.kindOfRunTimes(), t.step.spec.RunTime, o.now-t.startedAt)
	}
}

// countCopy adds to the number of copies on a VM if the task is one.
func (v *vm) countCopy(t *task, by int) {
	if t.copyOf != nil {
		v.copies += by
	}
}

// copyOfRun returns the copy on the VM that is the given run, or nil.
func (v *vm) copyOfRun(k TaskKey, run uint64) *task {
	if v.copies == 0 {
		return nil
	}
	for _, t := range v.tasks {
		if t.copyOf != nil && t.run == run && t.key() == k {
			return t
		}
	}
	return nil
}

// findRun returns the copy that is the given run on a VM, otherwise the task with the key,
// or nil. The VM may be nil.
func (o *Owner) findRun(v *vm, k TaskKey, run uint64) *task {
	if v != nil {
		if c := v.copyOfRun(k, run); c != nil {
			return c
		}
	}
	return o.findTask(k)
}

// straggler is a task that may get a copy. gain is the time that the copy saves.
type straggler struct {
	task *task
	gain time.Duration
}

// startCopies starts copies of the stragglers that gain most.
func (o *Owner) startCopies() {
	if !stragglerCopies || !o.cfg.Copies || o.now < o.copies.checkAt || !o.confirmed || !o.takeoverComplete {
		return
	}
	o.copies.checkAt = o.now + copyCheckInterval
	waits := o.servicesWithWaitingWork()
	var all []straggler
	for _, s := range o.ready {
		if !s.spec.Copies || s.spec.Gang || s.spec.Standing || s.job.outcome != "" || waits[o.queueOf(s.job).Service] {
			continue
		}
		for i := range s.tasks {
			if gain := o.copyGain(&s.tasks[i]); gain > 0 {
				all = append(all, straggler{&s.tasks[i], gain})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b straggler) int { return cmp.Compare(b.gain, a.gain) })
	for _, x := range all {
		o.startCopy(x.task)
	}
}

// servicesWithWaitingWork returns the services for which a task waits, or runs in the
// background.
func (o *Owner) servicesWithWaitingWork() map[types.ServiceName]bool {
	waits := make(map[types.ServiceName]bool)
	for _, s := range o.ready {
		if s.job.outcome == "" && !s.occurrence.finished && (s.waiting > 0 || s.background > 0) {
			waits[o.queueOf(s.job).Service] = true
		}
	}
	return waits
}

// mayCopy reports whether a task may have a second run now. A task that has failed gets
// none, and neither does one with a single attempt: a failed copy uses up an attempt.
func (o *Owner) mayCopy(t *task) bool {
	return t.phase == phaseRunning && t.copy == nil && o.now >= t.nextCopyAt && len(t.failures) == 0 && o.hasSpareAttempt(t) &&
		t.undisturbed && t.pace == fullPace && t.wantedPace == fullPace && !t.step.job.readUnconfirmed && t.step.spec.RunTime > 0
}

// copyGain returns the time by which a copy is expected to end before the task's run, and 0
// if it is not worthwhile. Copies are judged by the distribution of run times, scaled by
// the other tasks of the step.
func (o *Owner) copyGain(t *task) time.Duration {
	s := t.step
	if !o.mayCopy(t) || len(s.tasks) > 1 && float64(s.done) < minEndedShare*float64(len(s.tasks)) {
		return 0
	}
	d := o.ratios.Of(s.kindOfRunTimes())
	if !d.Known() {
		return 0
	}
	unit := float64(s.spec.RunTime)
	if typical, ok := s.typicalRatio(""); ok {
		unit *= typical / d.Quantile(0.5)
	}
	elapsed := float64(o.now - t.startedAt)
	rest := min(unit*d.Remaining(elapsed/unit), t.restByProgress(o.now))
	fresh := unit*d.Mean() + float64(copyStartTime)
	if s.spec.Checkpoints {
		fresh += float64(copyRestoreTime)
	}
	if rest <= copyMargin*fresh {
		return 0
	}
	return time.Duration(rest - fresh)
}

// restByProgress returns the longest rest of the run, in nanoseconds, that its progress
// allows if it goes on at its speed so far. An old list allows any.
func (t *task) restByProgress(now time.Duration) float64 {
	if t.advance.lastAt > 0 && now >= t.advance.lastAt+maxProgressAge {
		return math.Inf(1)
	}
	listed := float64(t.advance.lastAt - t.startedAt)
	// The progress is rounded down, so half a percent is added.
	return max(0, listed*fullPace/(float64(t.progress)+0.5)-float64(now-t.startedAt))
}

// startCopy starts a copy of a task if a VM takes it and the copies stay within their
// share.
func (o *Owner) startCopy(t *task) {
	c := &task{step: t.step, index: t.index, copyOf: t, checkpoint: t.checkpoint, avoidVM: t.avoidVM, avoidUntil: t.avoidUntil, pace: fullPace, wantedPace: fullPace}
	if !o.copyShareLeft(t) {
		return
	}
	v := o.chooseForCopy(c, t.vm)
	if v == nil {
		return
	}
	t.copy, t.nextCopyAt = c, o.now+copyRetryInterval
	t.starts++
	o.copies.running++
	o.start(c, v, o.runNumber(t.starts))
}

// chooseForCopy returns the best VM for a copy, or nil: one that takes new tasks, is not
// quarantined, and is not that of the first run.
func (o *Owner) chooseForCopy(c *task, except *vm) *vm {
	var best *vm
	bestScore := 0.0
	service := o.queueOf(c.step.job).Service
	for _, v := range o.vmOrder {
		if v == except || v.upstream.Service != service || !o.usable(v) || v.quarantined || !o.fits(c, v) {
			continue
		}
		if score := o.score(c, v); best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// copyShareLeft reports whether the copies of the service, with one more of the task, stay
// within maxCopyShare of what its VMs have.
func (o *Owner) copyShareLeft(t *task) bool {
	service := o.queueOf(t.step.job).Service
	used, capacity := t.step.spec.Demand, types.Resources{}
	for _, v := range o.vmOrder {
		if v.upstream.Service != service || !v.reached {
			continue
		}
		capacity = capacity.Add(v.upstream.Capacity)
		for _, c := range v.tasks {
			if c.copyOf != nil {
				used = used.Add(c.step.spec.Demand)
			}
		}
	}
	return float64(used.MilliCPU) <= maxCopyShare*float64(capacity.MilliCPU) && float64(used.MemoryBytes) <= maxCopyShare*float64(capacity.MemoryBytes)
}

// copyDeadline returns the end of the lease with which a copy starts, on the worker's
// clock. The worker refuses the start after it; its own lease is not shortened.
func (o *Owner) copyDeadline(v *vm) time.Duration {
	return min(v.grantedUntil, v.clock+o.now-v.clockAt+copyOrderValidity)
}

// copyReason describes why a task gets a copy.
func (t *task) copyReason(now time.Duration) string {
	return fmt.Sprintf("run %d on %s has lasted %d ms at %d%%; requested %d ms", t.run, t.vm.id, (now - t.startedAt).Milliseconds(), t.progress, t.step.spec.RunTime.Milliseconds())
}

// stopCopy stops the copy of a task that is done or whose job has a final state.
func (o *Owner) stopCopy(t *task) {
	if c := t.copy; c != nil {
		o.stop(c)
	}
}

// swapRuns exchanges the runs of a task and of its copy.
func swapRuns(t, c *task) {
	for _, x := range [...][2]*task{{t, c}, {c, t}} {
		if v := x[0].vm; v != nil && x[0].phase.live() {
			// A task and its copy are on different VMs, or one of them on none.
			v.tasks[slices.Index(v.tasks, x[0])] = x[1]
			v.countCopy(x[0], -1)
			v.countCopy(x[1], 1)
			if v.probe == x[0] {
				v.probe = x[1]
			}
		}
	}
	was, other := *t, *c
	*t, *c = other, was
	t.keepIdentity(&was)
	c.keepIdentity(&other)
}

// keepIdentity restores what belongs to a task and not to its run.
func (t *task) keepIdentity(was *task) {
	t.copy, t.copyOf = was.copy, was.copyOf
	t.starts, t.failures, t.checkpoint = was.starts, was.failures, was.checkpoint
	t.avoidVM, t.avoidUntil, t.notBefore = was.avoidVM, was.avoidUntil, was.notBefore
	t.nextMoveAt, t.nextCopyAt, t.waitingSince = was.nextMoveAt, was.nextCopyAt, was.waitingSince
	t.preemption.count = was.preemption.count
}

// endOneRun ends one of two runs of a task, given the task or its copy. If the first run
// has ended, the task goes on with the copy.
func (o *Owner) endOneRun(t *task, reason string) {
	c := t
	if t.copy != nil {
		c = t.copy
		if c.checkpoint != "" && c.progress >= t.progress {
			t.checkpoint = c.checkpoint
		}
		swapRuns(t, c)
		reason = "the task goes on with its copy; first run: " + reason
	}
	o.dropCopy(c, reason)
}

// dropCopy forgets a copy that has ended or never began.
func (o *Owner) dropCopy(c *task, reason string) {
	j := c.step.job
	o.recordDecision(Decision{Kind: DecisionCopyEnded, Task: c.key(), Run: c.run, VM: c.vmID(), Reason: reason, Age: o.now - j.accepted})
	c.release()
	c.phase = phaseWaiting
	if c.copyOf.copy == c {
		c.copyOf.copy = nil
	}
	o.copies.running--
	o.placeDue = true
	if c.copyOf.checkpoint != "" || j.outcome != "" && j.live == 0 {
		o.markDirty(j)
	}
}

// applyCopyEnd applies the end of a copy.
func (o *Owner) applyCopyEnd(v *vm, c *task, e *End) {
	t := c.copyOf
	if e.Kind == EndFailed {
		o.countFailure(t, v, e)
	}
	o.reportHealth(c, v, e.Kind)
	if e.Kind == EndDone && t.phase.live() && t.copy == c {
		o.recordDecision(Decision{Kind: DecisionCopyWon, Task: c.key(), Run: c.run, VM: v.id, Reason: "first to finish; other run: " + t.copyReason(o.now), Age: o.now - c.step.job.accepted})
		o.learnStopped(t)
		swapRuns(t, c)
		o.done(t)
	} else {
		o.dropCopy(c, string(e.Kind))
	}
	o.markDirty(t.step.job)
}

// learnStopped learns from a run that is stopped because its copy has finished.
func (o *Owner) learnStopped(t *task) {
	if t.undisturbed && t.phase == phaseRunning {
		o.ratios.LearnStopped(t.step.kindOfRunTimes(), t.step.spec.RunTime, o.now-t.startedAt)
	}
}

// anyRunCounts reports whether the end of any run completes the task, also of one that was
// given up, for example since its lease has expired while the copy went on. The end is
// acknowledged, so the task must not start again.
func (o *Owner) anyRunCounts(t *task) bool {
	s := t.step.spec
	return o.cfg.Copies && s.Copies && !s.Gang && !s.Standing && t.phase != phaseDone
}

// appliesToTask reports whether the end of a run that is not the current one decides on
// its task. If another run goes on, it is released.
func (o *Owner) appliesToTask(t *task, e *End) bool {
	if e.Kind == EndDone && o.anyRunCounts(t) {
		o.releaseForEarlierRun(t, e.Run)
		return true
	}
	return t.phase == phaseWaiting && e.Run >= t.run
}

// releaseForEarlierRun makes the current run of a task, if there is one, a copy and stops
// it, since an earlier run is done.
func (o *Owner) releaseForEarlierRun(t *task, run uint64) {
	if t.phase.live() {
		c := &task{step: t.step, index: t.index, copyOf: t, checkpoint: t.checkpoint}
		swapRuns(t, c)
		t.step.waiting++
		o.copies.running++
		o.stop(c)
	}
	t.run = run
}

// mayAdoptCopy reports whether a listed run is the second one of a task, started by an
// earlier owner.
func (o *Owner) mayAdoptCopy(v *vm, t *task, r *Run) bool {
	earlier := types.Epoch(r.Run>>runEpochShift) < o.cfg.Epoch
	return o.anyRunCounts(t) && earlier && t.copyOf == nil && t.phase == phaseRunning && t.copy == nil && t.vm != v && t.run != r.Run && t.step.job.outcome == ""
}

// adoptCopy takes over a second run that an earlier owner started.
func (o *Owner) adoptCopy(v *vm, t *task, r *Run) *task {
	c := &task{step: t.step, index: t.index, copyOf: t, run: r.Run, phase: phaseRunning, startedAt: o.now}
	v.bind(c)
	c.pace, c.sentPace, c.wantedPace = unknownPace, unknownPace, fullPace
	t.copy = c
	o.copies.running++
	return c
}
