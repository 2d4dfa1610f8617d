package benchpolicy

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/estimate"
	"github.com/boragecrank/boragecrank/internal/core/health"
	"github.com/boragecrank/boragecrank/internal/core/interference"
	"github.com/boragecrank/boragecrank/internal/core/placement"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

const sweepEvery = time.Minute

func (o *own) usage(now, takenAt time.Duration, t *task, use types.Resources) {
	change, ok := o.est.Usage(now, takenAt, t.id, use)
	if ok && !o.off.Learning {
		o.resize(now, change)
	}
}

// sweep applies reservations that changed with what was learned.
func (o *own) sweep(now time.Duration) {
	if now-o.swept < sweepEvery {
		return
	}
	o.swept = now
	o.freed = true // Reservations may shrink.
	for _, c := range o.est.Sweep(now) {
		if !o.off.Learning {
			o.resize(now, c)
		}
	}
}

// resize changes a reservation. When the VM has no room, the task gets what
// is left.
func (o *own) resize(now time.Duration, c estimate.Change) {
	run, ok := o.state.Get(c.Task)
	if !ok {
		return
	}
	t := o.byID[c.Task]
	if o.state.Resize(c.Task, c.Reserved) == nil {
		o.setShare(now, t.vm, t.kind)
		return
	}
	partial := least(c.Reserved, run.Reserved.Add(o.state.Free(run.VM)))
	if o.state.Resize(c.Task, partial) == nil {
		o.est.Resized(c.Task, partial)
		o.setShare(now, t.vm, t.kind)
	}
}

// measured passes a late measurement on and carries out what it leads to.
func (o *own) measured(now time.Duration, vm int, m interference.Measurement) {
	o.now = now
	if o.off.Attribution {
		m.TakenAt = now
	}
	o.control.Observe(now, m)
	if o.off.Throttling || !o.control.Pending(m.VM) {
		return
	}
	for _, a := range o.control.Decide(now, m.VM, o.tasksOn(now, vm)) {
		t := o.byID[a.Task]
		if a.Kind == interference.Throttle {
			t.speed = a.Factor
			o.setShare(now, vm, t.kind)
			continue
		}
		o.remove(now, t, a.Kind == interference.Move)
		t.avoid = m.VM
	}
}

func (o *own) tasksOn(now time.Duration, vm int) []interference.TaskInfo {
	on := o.s.vms[vm].running
	out := make([]interference.TaskInfo, 0, len(on))
	for _, t := range on {
		r := o.request(now, t)
		r.Size = o.reserved(t)
		r.Avoid, r.Urgent = o.s.ids[vm], false
		out = append(out, interference.TaskInfo{
			Task: t.id, Kind: o.kindOf(t), Share: o.share(r.Size), Evictions: t.evictions,
			CanMove:   o.state.Place(now, &r).Outcome == placement.Placed,
			Protected: t.urgent || t.gang > 0 || t.evictions >= 3 || o.off.Moves,
		})
	}
	return out
}

// review carries out quarantines, probes and returns.
func (o *own) review(now time.Duration) {
	if o.off.Quarantine {
		return
	}
	for _, a := range o.health.Decide(now) {
		vm := vmIndex(o.s, a.Worker)
		switch a.Kind {
		case health.Quarantine:
			o.quar[vm] = true
			o.setUsable(vm)
		case health.Return:
			o.quar[vm] = false
			o.setUsable(vm)
		case health.Probe:
			o.probe(now, vm)
		}
	}
}

// probe starts one waiting batch task on a quarantined VM.
func (o *own) probe(now time.Duration, vm int) {
	r, ok := o.queue.Pop(now)
	t := o.byID[r.Task]
	if ok && (t == nil || t.urgent) {
		o.queue.Push(r)
	}
	fits := ok && t != nil && !t.urgent && o.s.vms[vm].up && r.Size.Fits(o.state.Free(o.s.ids[vm]))
	if !fits {
		if ok && t != nil && !t.urgent {
			o.queue.Push(r)
		}
		o.health.ProbeLost(now, o.s.ids[vm])
		return
	}
	o.probes[t.id] = vm
	o.put(now, t, &r, o.s.ids[vm], 0)
}

func vmIndex(s *sim, id types.VMID) int {
	for i := range s.ids {
		if s.ids[i] == id {
			return i
		}
	}
	return -1
}

func (o *own) setUsable(vm int) {
	o.freed = true
	if err := o.state.SetUsable(o.s.ids[vm], o.s.vms[vm].up && !o.quar[vm]); err != nil {
		panic(err)
	}
}

func (o *own) vmDown(_ time.Duration, vm int) {
	o.setUsable(vm)
	o.control.Forget(o.s.ids[vm])
}

// vmUp takes the replacement of a VM into service; nothing is held against it.
func (o *own) vmUp(_ time.Duration, vm int) {
	o.quar[vm] = false
	o.health.Reset(o.s.ids[vm])
	o.control.SetHosted(o.s.ids[vm], o.s.d.Service, true)
	o.setUsable(vm)
}
