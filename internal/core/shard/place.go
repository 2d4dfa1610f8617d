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
	tries := o.cfg.PlaceTries
	failed := make(map[*jobState]bool)
	for _, t := range snapshot(o.waiting) {
		if tries <= 0 {
			o.placeDue = true
			break
		}
		if !t.row.State.Waiting() || t.row.Cancel || failed[t.job] || !t.ready(now) {
			continue
		}
		tries--
		if !o.placeTask(now, t) {
			failed[t.job] = true
		}
	}
	o.dropPlaced()
}

// PlaceAgain makes a placement pass due, after something other than the owner's
// own state has changed.
func (o *Owner) PlaceAgain() {
	o.placeDue = true
}

// placeTask places a task, or its whole gang, and returns whether it did.
func (o *Owner) placeTask(now time.Duration, t *taskState) bool {
	if t.job.row.Job.Gang && len(t.job.tasks) > 1 && t.job.gangWaits() {
		return o.placeGang(now, t.job)
	}
	d, ok := o.decide(t)
	if !ok {
		return false
	}
	if len(d.Evict) > 0 {
		o.promise(now, t, d)
		return true
	}
	return o.bind(t, d)
}

// waitingTasks counts the tasks of the job that wait for a placement.
func (j *jobState) waitingTasks() int {
	n := 0
	for _, t := range j.tasks {
		if t.row.State.Waiting() && !t.row.Cancel {
			n++
		}
	}
	return n
}

// gangWaits reports whether no task of the gang has a live attempt. Gangs start
// together; a task that is lost later is placed alone.
func (j *jobState) gangWaits() bool {
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
		if !t.ready(now) {
			return false
		}
		gang = append(gang, t)
	}
	if len(gang) > o.cfg.BatchRows {
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
			o.undo(gang[:i], decisions)
			o.releaseGang(gang, t)
			return false
		}
		evicts = evicts || len(d.Evict) > 0
		if t.promisedOn == nil {
			o.take(t, d, -1)
		}
		decisions = append(decisions, d)
	}
	o.undo(gang, decisions)
	for i, t := range gang {
		if evicts {
			o.promise(now, t, decisions[i])
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
		o.withdraw(t)
	}
	o.fillCandidates()
}

func (o *Owner) undo(gang []*taskState, decisions []Decision) {
	for i, d := range decisions {
		if gang[i].promisedOn == nil {
			o.take(gang[i], d, 1)
		}
	}
}

// releaseGang gives up the promises to a gang, unless the task that cannot be
// placed yet only waits for the evictions on its promised VM.
func (o *Owner) releaseGang(gang []*taskState, failed *taskState) {
	if failed.promisedOn != nil {
		return
	}
	for _, t := range gang {
		o.unpromise(t)
	}
}

// take changes the free amount of a decision's candidate by the reservation
// times sign.
func (o *Owner) take(t *taskState, d Decision, sign int64) {
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
	if v := t.promisedOn; v != nil {
		return o.redeem(t, v)
	}
	demand := Demand{
		Now: o.now, Task: t.row.Task, Job: &t.job.row.Job, Waiting: t.job.waitingTasks(), Failures: t.row.Failures, LastVM: t.row.VM,
	}
	if o.now < t.avoidUntil {
		demand.Avoid = t.avoid
	}
	d := o.placer.Place(demand, o.candidates)
	if d.Infeasible != "" {
		o.apply(t, task.Event{Kind: task.EventInfeasible, Reason: d.Infeasible})
		return d, false
	}
	v := o.vms[d.VM]
	if v == nil || !o.accepts(v) {
		return d, false
	}
	return d, true
}

// redeem places a task where room was promised, once there is room.
func (o *Owner) redeem(t *taskState, v *vmState) (Decision, bool) {
	d := Decision{VM: v.vm.ID, Reserved: t.promised}
	if !o.accepts(v) {
		o.unpromise(t)
		return d, false
	}
	return d, v.occupied().Add(t.promised).Fits(v.vm.Capacity)
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
	o.refresh(v)
	return true
}

// promise holds room on a VM for a task and begins the evictions.
func (o *Owner) promise(now time.Duration, t *taskState, d Decision) {
	v := o.vms[d.VM]
	if t.promisedOn == nil {
		t.promisedOn = v
		t.promised = reservation(t, d)
		v.promised = v.promised.Add(t.promised)
	}
	for _, id := range d.Evict {
		if victim := o.tasks[id]; victim != nil && victim.row.VM == d.VM {
			o.evict(now, victim)
		}
	}
	o.refresh(v)
}

func (o *Owner) unpromise(t *taskState) {
	if t.promisedOn == nil {
		return
	}
	t.promisedOn.promised = t.promisedOn.promised.Sub(t.promised)
	t.promisedOn = nil
	t.promised = types.Resources{}
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
			return ta.order < tb.order
		}
	})
}

// dropPlaced removes tasks that wait no more.
func (o *Owner) dropPlaced() {
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
		o.describe(v, &o.candidates[i])
	}
}

// refresh describes one VM again, after a decision of the present pass.
func (o *Owner) refresh(v *vmState) {
	for i := range o.candidates {
		if o.candidates[i].VM.ID == v.vm.ID {
			o.describe(v, &o.candidates[i])
			return
		}
	}
}

func (o *Owner) describe(v *vmState, c *Candidate) {
	c.VM = v.vm
	c.Available = o.accepts(v)
	c.Free = v.vm.Capacity.Sub(v.occupied()).Sub(v.promised)
	c.Running = c.Running[:0]
	for _, t := range v.tasks {
		c.Running = append(c.Running, Running{
			Task: t.row.Task, Attempt: t.row.Attempt, Job: &t.job.row.Job, Reserved: t.row.Reserved,
			Evictable: t.row.State == task.Running && !t.evicting && !t.row.Cancel,
			Started:   t.started, Evictions: t.evictions,
		})
	}
}
