package shard

import (
	"sort"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// place runs a placement pass if one is due. Nothing is placed while the table
// does not answer, because nothing could be started.
func (o *Owner) place(now time.Duration) {
	if !o.Ready(now) || o.storeDown || len(o.waiting) == 0 {
		return
	}
	if !o.placeDue && now < o.lastPlace+o.cfg.PlaceInterval {
		return
	}
	o.placeDue = false
	o.lastPlace = now
	o.sortWaiting()
	o.fillCandidates()
	remaining := o.cfg.MaxPlacements
	failed := make(map[*jobState]bool)
	for _, t := range snapshot(o.waiting) {
		if remaining <= 0 {
			o.placeDue = true
			break
		}
		if !t.row.State.Waiting() || t.row.Cancel || failed[t.job] || !t.backoffOver(now) {
			continue
		}
		remaining--
		if !o.placeTask(now, t) {
			failed[t.job] = true
		}
	}
	o.removePlaced()
}

// RequestPlacement makes a placement pass due, after something other than the owner's
// own state has changed.
func (o *Owner) RequestPlacement() {
	o.placeDue = true
}

// placeTask places a task, or its whole gang, and returns whether it did.
func (o *Owner) placeTask(now time.Duration, t *taskState) bool {
	if t.job.row.Job.Gang && len(t.job.tasks) > 1 && t.job.gangNotStarted() {
		return o.placeGang(now, t.job)
	}
	d, ok := o.decide(t)
	if !ok {
		return false
	}
	if len(d.Evict) > 0 {
		o.holdCapacity(now, t, d)
		return true
	}
	return o.bind(t, d)
}

// countWaiting counts the tasks of the job that wait for a placement.
func (j *jobState) countWaiting() int {
	n := 0
	for _, t := range j.tasks {
		if t.row.State.Waiting() && !t.row.Cancel {
			n++
		}
	}
	return n
}

// gangNotStarted reports whether no task of the gang has a live attempt. Gangs start
// together; a task that is lost later is placed alone.
func (j *jobState) gangNotStarted() bool {
	for _, t := range j.tasks {
		if t.row.State.Live() || t.row.State == task.Done {
			return false
		}
	}
	return true
}

// placeGang places all waiting tasks of a gang for one batch, or none of them.
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
			o.apply(t, task.Event{Kind: task.EventInfeasible, Reason: "the gang has more tasks than one transaction can place"})
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

// unbind withdraws placements that are not in the table.
func (o *Owner) unbind(placed []*taskState) {
	for _, t := range placed {
		o.revertRow(t)
	}
	o.fillCandidates()
}

func (o *Owner) restoreFree(gang []*taskState, decisions []Decision) {
	for i, d := range decisions {
		if gang[i].heldOn == nil {
			o.adjustFree(gang[i], d, 1)
		}
	}
}

// releaseGangHolds gives up the promises to a gang, unless the task that cannot be
// placed yet only waits for the evictions on its promised VM.
func (o *Owner) releaseGangHolds(gang []*taskState, failed *taskState) {
	if failed.heldOn != nil {
		return
	}
	for _, t := range gang {
		o.releaseHold(t)
	}
}

// adjustFree changes the free amount of a decision's candidate by the reservation
// times sign.
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

func reservation(t *taskState, d Decision) types.Resources {
	if d.Reserved.IsZero() {
		return t.job.row.Job.Demand
	}
	return d.Reserved
}

// decide asks the placer, after returning what was promised to the task. A
// promise is kept while its VM accepts work and the evictions go on.
func (o *Owner) decide(t *taskState) (Decision, bool) {
	if v := t.heldOn; v != nil {
		return o.useHold(t, v)
	}
	demand := Demand{
		Now: o.now, Task: t.row.Task, Job: &t.job.row.Job, Waiting: t.job.countWaiting(), Failures: t.row.Failures, LastVM: t.row.VM,
	}
	if o.now < t.avoidUntil {
		demand.Avoid = t.avoidVM
	}
	d := o.placer.Place(demand, o.candidates)
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

// useHold places a task where room was promised, once there is room.
func (o *Owner) useHold(t *taskState, v *vmState) (Decision, bool) {
	d := Decision{VM: v.vm.ID, Reserved: t.held}
	if !o.acceptsWork(v) {
		o.releaseHold(t)
		return d, false
	}
	return d, v.occupied().Add(t.held).Fits(v.vm.Capacity)
}

// bind makes the placement part of the next batch.
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

// holdCapacity holds room on a VM for a task and begins the evictions.
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

// sortWaiting orders waiting tasks: urgent first, then latency-critical, then
// by priority, then in order of submission.
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

// removePlaced removes tasks that wait no more.
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

// fillCandidates describes the VMs for the placer.
func (o *Owner) fillCandidates() {
	if len(o.candidates) != len(o.vmOrder) {
		o.candidates = make([]Candidate, len(o.vmOrder))
	}
	for i, v := range o.vmOrder {
		o.fillCandidate(v, &o.candidates[i])
	}
}

// refreshCandidate describes one VM again, after a decision of the present pass.
func (o *Owner) refreshCandidate(v *vmState) {
	for i := range o.candidates {
		if o.candidates[i].VM.ID == v.vm.ID {
			o.fillCandidate(v, &o.candidates[i])
			return
		}
	}
}

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
