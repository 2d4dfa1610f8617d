package workflow

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Grant returns the current grant of a VM's worker, and extends the worker's
// lease if the ownership is confirmed.
func (o *Owner) Grant(id types.VMID) Grant {
	g := Grant{Fence: FirstFence(o.cfg.Epoch)}
	v := o.vms[id]
	if v == nil {
		return g
	}
	g.Fence = max(g.Fence, v.fence)
	if v.boot.Born == 0 {
		return g
	}
	g.Boot = v.boot
	g.Acknowledged = v.endDurable
	if v.reached {
		g.LeaseEnd = o.extendLease(v)
	}
	return g
}

// extendLease extends the worker's lease if the ownership is confirmed, and
// returns its end. The end is on the worker's clock, so an order that arrives
// late cannot extend the lease beyond this time.
func (o *Owner) extendLease(v *vm) time.Duration {
	if o.confirmed {
		v.grantedUntil = max(v.grantedUntil, v.clock+o.cfg.LeaseDuration)
	}
	return v.grantedUntil
}

// ProvenIdle returns the time since the last report on a VM, and whether
// nothing can run there, because its worker has ended or the worker's lease has
// expired, and no start is undecided. The time is 0 if something may run there.
func (o *Owner) ProvenIdle(now time.Duration, id types.VMID) (time.Duration, bool) {
	v := o.vms[id]
	if v == nil || !v.provenIdle || len(v.tasks) > 0 {
		return 0, false
	}
	return now - v.lastContact, true
}

// HasLeft reports whether a VM's worker announced that it leaves, has ended,
// and has nothing that could still run or start there. The next owner does not
// need to know such a VM, since it would wait for the lease of every VM that it
// knows and cannot reach.
func (o *Owner) HasLeft(id types.VMID) bool {
	v := o.vms[id]
	return v != nil && v.left && len(v.tasks) == 0
}

// RemoveVM removes a VM on which nothing can run. It does nothing if the VM has
// tasks, or if its worker may still run under a lease.
func (o *Owner) RemoveVM(id types.VMID) {
	v := o.vms[id]
	if v == nil || !v.provenIdle || len(v.tasks) > 0 {
		return
	}
	delete(o.vms, id)
	for i, other := range o.vmOrder {
		if other == v {
			o.vmOrder = append(o.vmOrder[:i], o.vmOrder[i+1:]...)
			break
		}
	}
}

// Report applies an agent's report on its worker. It adds an unknown VM. If the
// worker has confirmed a higher epoch, the owner is superseded.
func (o *Owner) Report(now time.Duration, r Report) {
	o.now = now
	v := o.vms[r.VM]
	if v == nil {
		o.AddVM(now, r.VM)
		v = o.vms[r.VM]
	}
	v.lastContact = now
	if r.Fence.Epoch() > o.cfg.Epoch {
		o.superseded = true
		return
	}
	v.agent = r.Agent
	if r.Gone {
		o.workerGone(v, &r)
		return
	}
	if r.Boot.Born == 0 {
		return
	}
	if r.Boot.Born != v.boot.Born {
		o.newBoot(v, r.Boot)
	}
	if r.Boot.ID != "" {
		v.boot.ID = r.Boot.ID
	}
	o.applyUpstream(v, r.Upstream)
	if r.Fence < max(v.fence, FirstFence(o.cfg.Epoch)) {
		return // the worker still accepts older orders, which may change the lists
	}
	if !v.reached && r.Agent == v.listAgent && r.ListSeq <= v.listSeq {
		return // the worker has sent no list since its lease expired
	}
	v.listAgent, v.listSeq = r.Agent, r.ListSeq
	v.fence = r.Fence
	// An agent repeats its last report while the worker does not answer. Such a reading
	// is as old as the first report with it.
	if r.Clock > v.clock {
		v.clock, v.clockAt = r.Clock, now
	}
	for i := range r.Ended {
		o.applyEnd(v, &r.Ended[i])
	}
	listed := make(map[*task]bool, len(r.Running))
	for i := range r.Running {
		if t := o.listed(v, &r.Running[i]); t != nil {
			listed[t] = true
		}
	}
	o.observe(v)
	o.adjustPaces(v)
	o.moveThrottledTask(v)
	// If the list of ends is truncated, the end of an unlisted run may be in
	// the part that was cut off.
	if !r.More {
		o.requeueUnlisted(v, &r, listed)
		if !v.reached {
			v.reached, v.provenIdle = true, false
			if v.earlierOrders {
				v.earlierOrdersUntil = v.clock + o.cfg.WorkerMaxLease
			}
			o.extendLease(v) // renew the lease, which may have expired
			o.placeDue = true
			o.recordDecision(Decision{Kind: DecisionVMReached, VM: v.id, Reason: v.boot.ID})
		}
	}
}

// newBoot switches a VM to another boot of its worker. All runs of the previous
// boot have ended.
func (o *Owner) newBoot(v *vm, b Boot) {
	const reason = "worker has restarted"
	sameID := b.ID == "" || v.boot.ID == "" || v.boot.ID == b.ID
	undecided := 0
	for _, t := range slices.Clone(v.tasks) {
		if !sameID || t.listed {
			o.requeue(t, reason)
			continue
		}
		o.awaitNextBoot(t)
		undecided++
	}
	if v.boot.Born != 0 {
		o.recordDecision(Decision{Kind: DecisionVMLost, VM: v.id, Reason: fmt.Sprintf("%s; the lists of the new boot decide on %d starts", reason, undecided)})
		v.fence = max(v.fence, FirstFence(o.cfg.Epoch)).NextBoot()
	}
	if undecided > 0 {
		v.provenIdle = false // the boot may run them, until a list or its lease decides
	}
	v.boot = b
	v.announced, v.left = false, false
	v.reached, v.earlierOrders = false, sameID
	v.clock, v.clockAt, v.grantedUntil, v.earlierOrdersUntil = 0, o.now, 0, 0
	v.endSeen, v.endDurable = 0, 0
	v.unreachedSince = o.now
	clear(v.untrackedRuns)
	v.noRoomUntil, v.refusedUntil, v.slowUntil, v.tailsHighSince = 0, 0, 0, 0
	v.quarantined = false
	o.health.Reset(v.id)
}

// awaitNextBoot keeps a task on a VM whose worker may have been replaced by a boot
// with the same ID before the last order reached it. The start may have been carried
// out by either boot. One that was answered is decided by the first list of the new
// boot that is newer than the answer. One that was not may still arrive, so the run
// is stopped, and the task waits until the new boot has acknowledged the stop, or no
// late order can arrive any more.
func (o *Owner) awaitNextBoot(t *task) {
	if t.phase == phaseRunning {
		return
	}
	t.phase, t.stopAcked, t.inFlight = phaseStopping, false, false
	t.orderedAt = o.now - o.cfg.OrderRetry
}

// workerGone releases the tasks of a VM whose worker process has ended. Nothing
// listened when the agent sent call r.ListSeq, so starts that were answered before
// that call went to the process that has ended, and later ones to its next boot.
func (o *Owner) workerGone(v *vm, r *Report) {
	const reason = "worker is gone"
	if v.boot.Born != 0 {
		o.recordDecision(Decision{Kind: DecisionVMLost, VM: v.id, Reason: reason})
	}
	for _, t := range slices.Clone(v.tasks) {
		answeredLater := r.Agent == t.answerAgent && t.answerSeq > r.ListSeq
		switch {
		case t.listed || t.startAnswered() && !answeredLater:
			o.requeue(t, reason)
		default:
			o.awaitNextBoot(t)
		}
	}
	v.left = v.left || v.announced && v.upstream.Draining
	v.reached, v.announced = false, false
	v.boot = Boot{}
	v.provenIdle = true // the worker has ended
}

// startAnswered reports whether the last start has been answered.
func (t *task) startAnswered() bool {
	return t.phase == phaseRunning || t.answerSeq > 0
}

func (o *Owner) applyUpstream(v *vm, u *Upstream) {
	if u == nil || u.Boot.Born != v.boot.Born {
		return
	}
	if !v.announced || u.Draining != v.upstream.Draining {
		o.placeDue = true
	}
	v.upstream = *u
	v.announced = true
	if u.Draining {
		o.stopForDrain(v)
	}
}

// stopForDrain stops tasks that would be cut off when a draining worker leaves.
// Standing tasks stop at once, to start elsewhere. Tasks that need longer than
// the worker remains stop too; those with checkpoints resume from the last one.
func (o *Owner) stopForDrain(v *vm) {
	for _, t := range v.tasks {
		if t.phase != phaseRunning {
			continue
		}
		spec := t.step.spec
		left := o.runTime(t.step) - (o.now - t.startedAt)
		if spec.Standing || left > v.upstream.Remaining {
			o.stop(t)
		}
	}
}

// listed applies an entry of a worker's list of runs. It returns the task if
// the entry is the task's current run.
func (o *Owner) listed(v *vm, r *Run) *task {
	t := o.findRun(v, r.Task, r.Run)
	if t == nil {
		o.stopUntracked(v, r.Task, r.Run)
		return nil
	}
	if t.phase == phaseWaiting && t.step.job.outcome == "" {
		o.adopt(v, t, r)
	} else if o.mayAdoptCopy(v, t, r) {
		t = o.adoptCopy(v, t, r)
	}
	if t.vm != v || t.run != r.Run || !t.phase.live() {
		o.stopUntracked(v, r.Task, r.Run)
		return nil
	}
	t.listed = true
	if t.phase == phaseStarting {
		o.markRunning(t)
	}
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint {
		t.checkpoint, t.preemption.savedAt = r.Checkpoint, o.now
	}
	t.progress = r.Progress
	t.measurement = r.Figure
	t.trackAdvance(o.now)
	return t
}

// findTask returns the task with a key, or nil.
func (o *Owner) findTask(k TaskKey) *task {
	j := o.jobs[k.Job]
	if j == nil {
		return nil
	}
	for _, oc := range j.occurrences {
		if oc.number != k.Occurrence {
			continue
		}
		if k.Step < 0 || k.Step >= len(oc.steps) || k.Index < 0 || k.Index >= len(oc.steps[k.Step].tasks) {
			return nil
		}
		return &oc.steps[k.Step].tasks[k.Index]
	}
	return nil
}

// adopt takes over a run that an earlier owner started. The step need not be
// ready: this owner may not have seen all ends of the steps that it depends on.
// A run that this owner has given up is stopped before the task starts again.
func (o *Owner) adopt(v *vm, t *task, r *Run) {
	givenUp := r.Run <= t.run
	t.run = r.Run
	t.phase = phaseRunning
	t.startedAt, t.undisturbed = o.now, false
	t.step.waiting--
	if givenUp {
		defer o.stop(t)
	}
	t.background = looksLikeBackground(t.step.spec, r)
	v.bind(t)
	t.pace, t.sentPace, t.wantedPace = unknownPace, unknownPace, t.paceLimit()
	o.markStarted(t.step.job)
}

// requeueUnlisted requeues the tasks that a list proves not to be running, and
// forgets untracked runs that are no longer listed.
func (o *Owner) requeueUnlisted(v *vm, r *Report, listed map[*task]bool) {
	for _, t := range slices.Clone(v.tasks) {
		if listed[t] || t.inFlight || t.answerSeq == 0 && t.phase != phaseRunning {
			continue
		}
		if r.Agent == t.answerAgent && r.ListSeq <= t.answerSeq {
			continue // the list may be older than the answer
		}
		switch {
		case t.phase == phaseRunning:
			o.requeue(t, "not listed by its worker")
		case t.phase == phaseStopping && t.stopAcked:
			o.requeue(t, "stopped before it started")
		}
	}
	o.forgetUntracked(v, r.Running)
}
