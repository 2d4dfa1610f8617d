package workflow

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Grant returns what an agent may tell its worker now.
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
		g.Deadline = o.deadline(v)
	}
	return g
}

// deadline returns the end of the lease to grant now. It is stated on the
// worker's clock, so an order that is carried out late extends nothing.
func (o *Owner) deadline(v *vm) time.Duration {
	if o.confirmed {
		v.granted = max(v.granted, v.clock+o.cfg.Hold)
	}
	return v.granted
}

// LapsedFor reports whether nothing can run on a VM, and since when it has not
// been heard of.
func (o *Owner) LapsedFor(now time.Duration, id types.VMID) (time.Duration, bool) {
	v := o.vms[id]
	if v == nil || !v.lapsed {
		return 0, false
	}
	return now - v.contact, true
}

// Departed reports whether a VM's worker has ended after it said that it leaves, with
// nothing that could still run or begin there. The load that it answers is a loss of
// the owner soon after many workers have left: its successor would wait for the
// leases of all that it has been told of and cannot reach.
func (o *Owner) Departed(id types.VMID) bool {
	v := o.vms[id]
	return v != nil && v.departed && len(v.tasks) == 0
}

// RemoveVM forgets a VM on which nothing can run.
func (o *Owner) RemoveVM(id types.VMID) {
	v := o.vms[id]
	if v == nil || !v.lapsed || len(v.tasks) > 0 {
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

// Report applies what an agent knows of its worker.
func (o *Owner) Report(now time.Duration, r Report) {
	o.now = now
	v := o.vms[r.VM]
	if v == nil {
		o.AddVM(now, r.VM)
		v = o.vms[r.VM]
	}
	v.contact = now
	if r.Fence.Epoch() > o.cfg.Epoch {
		o.deposed = true
		return
	}
	v.agent = r.Agent
	if r.Gone {
		o.workerGone(v, "worker is gone")
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
	o.describe(v, r.Upstream)
	if r.Fence < max(v.fence, FirstFence(o.cfg.Epoch)) {
		return // the lists may change by orders that are still let in
	}
	v.fence = r.Fence
	if r.Clock >= v.clock {
		v.clock, v.clockAt = r.Clock, now
	}
	for i := range r.Ended {
		o.ended(v, &r.Ended[i])
	}
	listed := make(map[*task]bool, len(r.Running))
	for i := range r.Running {
		if t := o.listed(v, &r.Running[i]); t != nil {
			listed[t] = true
		}
	}
	o.observe(v)
	o.control(v)
	o.moves(v)
	if !r.More {
		o.missing(v, &r, listed)
		if !v.reached {
			v.reached, v.lapsed = true, false
			o.deadline(v) // the next grant; the last one may be over
			o.placeDue = true
			o.note(Decision{Kind: DecisionVMReached, VM: v.id, Reason: v.boot.ID})
		}
	}
}

// newBoot begins with another life of a VM's worker. What ran in the life
// before is over.
func (o *Owner) newBoot(v *vm, b Boot) {
	o.lose(v, b.ID == "" || v.boot.ID == "" || v.boot.ID == b.ID, "worker has restarted")
	if v.boot.Born != 0 {
		v.fence = max(v.fence, FirstFence(o.cfg.Epoch)).NextBoot()
	}
	v.boot = b
	v.announced, v.departed = false, false
	v.reached = false
	v.clock, v.clockAt, v.granted = 0, o.now, 0
	v.endSeen, v.endDurable = 0, 0
	v.unreachedSince = o.now
	clear(v.foreign)
	v.noRoomUntil, v.restUntil, v.slowUntil, v.tailsFrom = 0, 0, 0, 0
	v.quarantined = false
	o.health.Reset(v.id)
}

// workerGone ends what ran on a VM whose worker process has ended.
func (o *Owner) workerGone(v *vm, why string) {
	if v.boot.Born != 0 {
		o.note(Decision{Kind: DecisionVMLost, VM: v.id, Reason: why})
	}
	o.lose(v, true, why)
	v.departed = v.departed || v.announced && v.up.Draining
	v.reached, v.announced = false, false
	v.boot = Boot{}
	v.lapsed = true // nothing runs there
}

// lose takes all tasks from a VM whose worker runs nothing any more. A start
// without answer may yet reach a later life of the worker if that may have the
// same ID; such a task waits until the new life has acknowledged a stop of the
// run, or no late order can come any more.
func (o *Owner) lose(v *vm, sameID bool, why string) {
	for _, t := range slices.Clone(v.tasks) {
		if sameID && !t.confirmed() {
			t.phase, t.stopAcked, t.inFlight = phaseStopping, false, false
			t.orderAt = o.now - o.cfg.StopRetry
			continue
		}
		o.again(t, why)
	}
}

// confirmed reports whether the last start has been answered.
func (t *task) confirmed() bool {
	return t.phase == phaseRunning || t.settledSeq > 0
}

func (o *Owner) describe(v *vm, u *Upstream) {
	if u == nil || u.Boot.Born != v.boot.Born {
		return
	}
	if !v.announced || u.Draining != v.up.Draining {
		o.placeDue = true
	}
	v.up = *u
	v.announced = true
	if u.Draining {
		o.drain(v)
	}
}

// drain stops what would be cut when the worker leaves: standing tasks begin
// elsewhere at once, and work with checkpoints that needs longer is saved.
func (o *Owner) drain(v *vm) {
	for _, t := range v.tasks {
		if t.phase != phaseRunning {
			continue
		}
		spec := t.step.spec
		left := o.runTime(t.step) - (o.now - t.startedAt)
		if spec.Standing || left > v.up.Remaining {
			o.stop(t)
		}
	}
}

// listed applies an entry of the list of runs, and returns its task if the run
// is the task's present one.
func (o *Owner) listed(v *vm, r *Run) *task {
	t := o.find(r.Task)
	if t == nil {
		o.stray(v, r.Task, r.Run)
		return nil
	}
	if t.phase == phaseWaiting && t.step.job.over == "" {
		o.adopt(v, t, r)
	}
	if t.vm != v || t.run != r.Run || !t.phase.live() {
		o.stray(v, r.Task, r.Run)
		return nil
	}
	if t.phase == phaseStarting {
		o.running(t)
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	t.progress = r.Progress
	t.figure = r.Figure
	t.track(o.now)
	return t
}

// find returns the task with a key, or nil.
func (o *Owner) find(k TaskKey) *task {
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

// adopt takes over a run that an earlier owner started. Its step may come after
// others whose ends this owner has not seen yet. A run that this owner has given
// up ends before the task starts again.
func (o *Owner) adopt(v *vm, t *task, r *Run) {
	given := r.Run <= t.run
	t.run = r.Run
	t.phase = phaseRunning
	t.startedAt, t.undisturbed = o.now, false
	t.step.waiting--
	if given {
		defer o.stop(t)
	}
	t.pace, t.paceSent, t.wantedPace = unknownPace, unknownPace, fullPace
	v.bind(t)
	o.started(t.step.job)
}

// missing finds the tasks of which a list shows that they do not run.
func (o *Owner) missing(v *vm, r *Report, listed map[*task]bool) {
	for _, t := range slices.Clone(v.tasks) {
		if listed[t] || t.inFlight || t.settledSeq == 0 && t.phase != phaseRunning {
			continue
		}
		if r.Agent == t.settledBy && r.ListSeq <= t.settledSeq {
			continue // the list may be older than the answer
		}
		switch {
		case t.phase == phaseRunning:
			o.again(t, "not listed by its worker")
		case t.phase == phaseStopping && t.stopAcked:
			o.again(t, "stopped before it began")
		}
	}
	if len(v.foreign) == 0 {
		return
	}
	runs := make(map[runID]bool, len(r.Running))
	for i := range r.Running {
		runs[runID{r.Running[i].Task, r.Running[i].Run}] = true
	}
	for id := range v.foreign {
		if !runs[id] {
			delete(v.foreign, id)
		}
	}
}
