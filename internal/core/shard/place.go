package shard

import (
	"slices"
	"sort"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// place runs a placement pass if one is due. It places nothing while the table
// does not answer, because a placement must be committed before the attempt
// starts. It asks the placer nothing while all VMs are evacuated, because a
// placer that lacks quota would request a larger share, which other shards need.
func (o *Owner) place(now time.Duration) {
	if !o.Ready(now) || o.tableUnavailable || len(o.waiting) == 0 || o.allEvacuated() {
		return
	}
	if !o.placeDue && now < o.lastPlace+o.cfg.PlaceInterval {
		return
	}
	o.placeDue = false
	o.lastPlace = now
	o.sortWaiting()
	o.fillCandidates()
	if o.placeWaiting(now) {
		clear(o.unplaceable)
	} else {
		o.placeDue = true
	}
	o.removePlaced()
}

// placeWaiting tries to place up to MaxPlacements waiting tasks. Half of the tries go to
// the first in order, so that capacity which has come goes to them, the others to jobs
// that no earlier pass of the same round has tried, so that jobs that fit nowhere do not
// keep later ones waiting. It reports whether the round is complete: all waiting tasks
// have been tried.
func (o *Owner) placeWaiting(now time.Duration) (complete bool) {
	first := o.cfg.MaxPlacements / 2
	others := o.cfg.MaxPlacements - first
	failed := make(map[*jobState]bool)
	for _, t := range snapshot(o.waiting) {
		if !t.row.State.Waiting() || t.row.Cancel || t.job.moving || failed[t.job] || !t.backoffOver(now) {
			continue
		}
		switch {
		case first > 0:
			first--
		case o.unplaceable[t.job]:
			continue
		case others > 0:
			others--
		default:
			return false
		}
		if !o.placeTask(now, t) {
			failed[t.job], o.unplaceable[t.job] = true, true
		}
	}
	return true
}

// RequestPlacement makes a placement pass due. Call it when a change outside
// the owner's state, such as a quota change, may allow a placement.
func (o *Owner) RequestPlacement() {
	o.placeDue = true
}

// placeTask places a task or, if its gang has not started, the whole gang. If
// the placement needs evictions, it holds the capacity and starts them instead.
// It returns false if neither is possible now.
func (o *Owner) placeTask(now time.Duration, t *taskState) bool {
	if t.job.row.Job.Gang && len(t.job.tasks) > 1 && t.job.gangNotStarted() {
		return o.placeGang(now, t.job)
	}
	d, ok := o.decide(t)
	if !ok && t.heldOn != nil {
		d, ok = o.decideWithoutHold(t)
	}
	if !ok {
		return false
	}
	if len(d.Evict) > 0 {
		o.holdCapacity(now, t, d)
		return true
	}
	return o.bind(t, d)
}

// countWaiting returns the number of tasks of the job that wait for a placement
// and are not cancelled.
func (j *jobState) countWaiting() int {
	n := 0
	for _, t := range j.tasks {
		if t.row.State.Waiting() && !t.row.Cancel {
			n++
		}
	}
	return n
}

// gangNotStarted reports whether no task of the gang has a live attempt or is
// done. The tasks of a gang start together; a task that is lost later is placed
// alone.
func (j *jobState) gangNotStarted() bool {
	for _, t := range j.tasks {
		if t.row.State.Live() || t.row.State == task.Done {
			return false
		}
	}
	return true
}

// placeGang places all waiting tasks of a gang in one batch, or none of them. If
// any placement needs evictions, it places none, holds capacity for all tasks
// and starts the evictions. It returns false if it did neither.
func (o *Owner) placeGang(now time.Duration, j *jobState) bool {
	var gang []*taskState
	for _, t := range j.tasks {
		if !t.row.State.Waiting() {
			continue
		}
		if !t.backoffOver(now) {
			return false
		}
		gang = append(gang, t)
	}
	if len(gang) > o.cfg.MaxBatchRows {
		for _, t := range gang {
			o.apply(t, task.Event{Kind: task.EventInfeasible, Reason: "the gang has more tasks than can be placed in one transaction"})
		}
		return false
	}
	decisions := make([]Decision, 0, len(gang))
	evicts := false
	for i, t := range gang {
		d, ok := o.decide(t)
		if !ok {
			o.restoreFree(gang[:i], decisions)
			o.releaseGangHolds(gang, t)
			return false
		}
		evicts = evicts || len(d.Evict) > 0
		if t.heldOn == nil {
			o.adjustFree(t, d, -1)
		}
		decisions = append(decisions, d)
	}
	o.restoreFree(gang, decisions)
	for i, t := range gang {
		if evicts {
			o.holdCapacity(now, t, decisions[i])
		} else if !o.bind(t, decisions[i]) {
			o.unbind(gang[:i])
			return false
		}
	}
	if !evicts {
		for _, t := range gang {
			t.gang = gang
		}
	}
	return true
}

// unbind reverts placements that are not in the table yet.
func (o *Owner) unbind(placed []*taskState) {
	for _, t := range placed {
		o.revertRow(t)
	}
	o.fillCandidates()
}

// restoreFree adds the reservations of the decisions back to the free capacity
// of their candidates.
func (o *Owner) restoreFree(gang []*taskState, decisions []Decision) {
	for i, d := range decisions {
		if gang[i].heldOn == nil {
			o.adjustFree(gang[i], d, 1)
		}
	}
}

// releaseGangHolds releases the capacity held for a gang after one of its tasks,
// unplaced, could not be placed. The holds stay if that task only waits for the
// evictions on the VM on which its capacity is held.
func (o *Owner) releaseGangHolds(gang []*taskState, unplaced *taskState) {
	if unplaced.heldOn != nil {
		return
	}
	for _, t := range gang {
		o.releaseHold(t)
	}
}

// adjustFree subtracts the task's reservation from the free capacity of the
// decision's candidate if sign is negative, and adds it otherwise.
func (o *Owner) adjustFree(t *taskState, d Decision, sign int64) {
	for i := range o.candidates {
		c := &o.candidates[i]
		if c.VM.ID != d.VM {
			continue
		}
		r := reservation(t, d)
		if sign < 0 {
			c.Free = c.Free.Sub(r)
		} else {
			c.Free = c.Free.Add(r)
		}
	}
}

// reservation returns the capacity to reserve for a task: the amount in the
// decision or, if that is zero, the declared demand of the job.
func reservation(t *taskState, d Decision) types.Resources {
	if d.Reserved.IsZero() {
		return t.job.row.Job.Demand
	}
	return d.Reserved
}

// decide returns the VM for a task. If capacity is held for the task, that VM
// is used; otherwise the placer decides. It returns false if the task cannot be
// placed now. If the decision is infeasible, it also marks the task as such.
func (o *Owner) decide(t *taskState) (Decision, bool) {
	if v := t.heldOn; v != nil {
		return o.useHold(t, v)
	}
	d := o.placer.Place(o.demand(t), o.candidates)
	if d.Infeasible != "" {
		o.apply(t, task.Event{Kind: task.EventInfeasible, Reason: d.Infeasible})
		return d, false
	}
	v := o.vms[d.VM]
	if v == nil || !o.acceptsWork(v) {
		return d, false
	}
	return d, true
}

// demand returns the placer's view of a waiting task.
func (o *Owner) demand(t *taskState) Demand {
	d := Demand{
		Now: o.now, Task: t.row.Task, Job: &t.job.row.Job, Waiting: t.job.countWaiting(), Failures: t.row.Failures, LastVM: t.row.VM,
	}
	if o.now < t.avoidUntil {
		d.Avoid = t.avoidVM
	}
	return d
}

// decideWithoutHold returns a VM that has room now for a task whose held capacity is
// not free yet. The evictions there may take until EvictTimeout; binding the task
// releases the hold.
func (o *Owner) decideWithoutHold(t *taskState) (Decision, bool) {
	if !slices.ContainsFunc(o.candidates, func(c Candidate) bool { return c.Available && t.held.Fits(c.Free) }) {
		return Decision{}, false
	}
	d := o.placer.Place(o.demand(t), o.candidates)
	v := o.vms[d.VM]
	return d, d.Infeasible == "" && len(d.Evict) == 0 && v != nil && o.acceptsWork(v)
}

// useHold returns the VM on which capacity is held for the task, and reports
// whether the evictions have freed that capacity. The hold is released if the
// VM no longer accepts work.
func (o *Owner) useHold(t *taskState, v *vmState) (Decision, bool) {
	d := Decision{VM: v.vm.ID, Reserved: t.held}
	if !o.acceptsWork(v) {
		o.releaseHold(t)
		return d, false
	}
	return d, v.occupied().Add(t.held).Fits(v.vm.Capacity)
}

// bind applies a placement to the task's newest row, which the next batch
// writes. It returns false if the capacity is not free or the event is not
// accepted.
func (o *Owner) bind(t *taskState, d Decision) bool {
	entry, _ := o.detector.Lookup(d.VM)
	v := o.vms[d.VM]
	if !v.occupied().Add(reservation(t, d)).Fits(v.vm.Capacity) {
		return false
	}
	verdict := o.apply(t, task.Event{
		Kind: task.EventPlace, Attempt: t.row.Attempt + 1,
		VM: d.VM, Incarnation: entry.Incarnation, Reserved: reservation(t, d),
	})
	if verdict != task.Accepted {
		return false
	}
	o.refreshCandidate(v)
	return true
}

// holdCapacity holds capacity on a VM for a task and starts the evictions that
// free it.
func (o *Owner) holdCapacity(now time.Duration, t *taskState, d Decision) {
	v := o.vms[d.VM]
	if t.heldOn == nil {
		t.heldOn = v
		t.held = reservation(t, d)
		v.held = v.held.Add(t.held)
	}
	for _, id := range d.Evict {
		if victim := o.tasks[id]; victim != nil && victim.row.VM == d.VM {
			o.evict(now, victim)
		}
	}
	o.refreshCandidate(v)
}

// releaseHold releases the capacity that is held for a task, if there is any.
func (o *Owner) releaseHold(t *taskState) {
	if t.heldOn == nil {
		return
	}
	t.heldOn.held = t.heldOn.held.Sub(t.held)
	t.heldOn = nil
	t.held = types.Resources{}
	if !t.row.State.Live() {
		o.learner.Withdrawn(t.row.Task)
	}
	o.placeDue = true
}

// sortWaiting orders the waiting tasks: urgent tasks first, then
// latency-critical ones, then by priority, then by order of submission.
func (o *Owner) sortWaiting() {
	if !o.unsorted {
		return
	}
	o.unsorted = false
	sort.SliceStable(o.waiting, func(a, b int) bool {
		ta, tb := o.waiting[a], o.waiting[b]
		ja, jb := &ta.job.row.Job, &tb.job.row.Job
		switch {
		case ja.Urgent != jb.Urgent:
			return ja.Urgent
		case ja.Class != jb.Class:
			return ja.Class < jb.Class
		case ja.Priority != jb.Priority:
			return ja.Priority > jb.Priority
		default:
			return ta.submitSeq < tb.submitSeq
		}
	})
}

// removePlaced removes the tasks that no longer wait from the waiting list.
func (o *Owner) removePlaced() {
	kept := o.waiting[:0]
	for _, t := range o.waiting {
		t.waiting = t.row.State.Waiting()
		if t.waiting {
			kept = append(kept, t)
		}
	}
	clear(o.waiting[len(kept):])
	o.waiting = kept
}

// fillCandidates updates the candidates for the placer from the state of all
// VMs.
func (o *Owner) fillCandidates() {
	if len(o.candidates) != len(o.vmOrder) {
		o.candidates = make([]Candidate, len(o.vmOrder))
	}
	for i, v := range o.vmOrder {
		o.fillCandidate(v, &o.candidates[i])
	}
}

// refreshCandidate updates the candidate of one VM after a decision in the
// current pass.
func (o *Owner) refreshCandidate(v *vmState) {
	for i := range o.candidates {
		if o.candidates[i].VM.ID == v.vm.ID {
			o.fillCandidate(v, &o.candidates[i])
			return
		}
	}
}

// fillCandidate sets the candidate of one VM.
func (o *Owner) fillCandidate(v *vmState, c *Candidate) {
	c.VM = v.vm
	c.Available = o.acceptsWork(v)
	c.Free = v.vm.Capacity.Sub(v.occupied()).Sub(v.held)
	c.Running = c.Running[:0]
	for _, t := range v.tasks {
		c.Running = append(c.Running, Running{
			Task: t.row.Task, Attempt: t.row.Attempt, Job: &t.job.row.Job, Reserved: t.row.Reserved,
			Evictable: t.row.State == task.Running && !t.evicting && !t.row.Cancel,
			Started:   t.started, Evictions: t.evictions,
		})
	}
}
