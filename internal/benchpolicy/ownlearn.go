package benchpolicy

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/estimate"
	"github.com/boragecrank/boragecrank/internal/core/health"
	"github.com/boragecrank/boragecrank/internal/core/interference"
	"github.com/boragecrank/boragecrank/internal/core/placement"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

const sweepInterval = time.Minute

func (o *corePolicy) handleUsage(now, takenAt time.Duration, t *task, use types.Resources) {
	change, ok := o.estimator.Usage(now, takenAt, t.id, use)
	if ok && !o.ablation.Learning {
		o.resize(now, change)
	}
}

// sweepReservations applies the changes of reservations that follow from new
// estimates.
func (o *corePolicy) sweepReservations(now time.Duration) {
	if now-o.lastSweep < sweepInterval {
		return
	}
	o.lastSweep = now
	o.capacityFreed = true // Reservations may shrink.
	for _, c := range o.estimator.Sweep(now) {
		if !o.ablation.Learning {
			o.resize(now, c)
		}
	}
}

// resize changes a reservation. If the VM has too little room, the task gets
// the remaining room.
func (o *corePolicy) resize(now time.Duration, c estimate.Change) {
	run, ok := o.state.Get(c.Task)
	if !ok {
		return
	}
	t := o.byID[c.Task]
	if o.state.Resize(c.Task, c.Reserved) == nil {
		o.setShare(now, t.vm, t.kind)
		return
	}
	partial := minResources(c.Reserved, run.Reserved.Add(o.state.Free(run.VM)))
	if o.state.Resize(c.Task, partial) == nil {
		o.estimator.Resized(c.Task, partial)
		o.setShare(now, t.vm, t.kind)
	}
}

// handleMeasurement passes a measurement to the interference controller and
// carries out the resulting actions.
func (o *corePolicy) handleMeasurement(now time.Duration, vm int, m interference.Measurement) {
	o.now = now
	if o.ablation.Attribution {
		m.TakenAt = now
	}
	o.control.Observe(now, m)
	if o.ablation.Throttling || !o.control.Pending(m.VM) {
		return
	}
	for _, a := range o.control.Decide(now, m.VM, o.tasksOn(now, vm)) {
		t := o.byID[a.Task]
		if a.Kind == interference.Throttle {
			t.speed = a.Factor
			o.setShare(now, vm, t.kind)
			continue
		}
		o.evict(now, t, a.Kind == interference.Move)
		t.avoid = m.VM
	}
}

func (o *corePolicy) tasksOn(now time.Duration, vm int) []interference.TaskInfo {
	on := o.s.vms[vm].running
	out := make([]interference.TaskInfo, 0, len(on))
	for _, t := range on {
		r := o.request(now, t)
		r.Size = o.reservation(t)
		r.Avoid, r.Urgent = o.s.ids[vm], false
		out = append(out, interference.TaskInfo{
			Task: t.id, Kind: o.kindName(t), Share: o.coreShare(r.Size), Evictions: t.evictions,
			CanMove:   o.state.Place(now, &r).Outcome == placement.Placed,
			Protected: t.urgent || t.gang > 0 || t.evictions >= 3 || o.ablation.Moves,
		})
	}
	return out
}

// applyHealthDecisions carries out quarantines, probes and returns from
// quarantine.
func (o *corePolicy) applyHealthDecisions(now time.Duration) {
	if o.ablation.Quarantine {
		return
	}
	for _, a := range o.health.Decide(now) {
		vm := vmIndex(o.s, a.Worker)
		switch a.Kind {
		case health.Quarantine:
			o.quarantine[vm] = true
			o.setUsable(vm)
		case health.Return:
			o.quarantine[vm] = false
			o.setUsable(vm)
		case health.Probe:
			o.probe(now, vm)
		}
	}
}

// probe starts one waiting batch task on a quarantined VM.
func (o *corePolicy) probe(now time.Duration, vm int) {
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
	o.startOnVM(now, t, &r, o.s.ids[vm], 0)
}

func vmIndex(s *sim, id types.VMID) int {
	for i := range s.ids {
		if s.ids[i] == id {
			return i
		}
	}
	return -1
}

func (o *corePolicy) setUsable(vm int) {
	o.capacityFreed = true
	if err := o.state.SetUsable(o.s.ids[vm], o.s.vms[vm].up && !o.quarantine[vm]); err != nil {
		panic(err)
	}
}

func (o *corePolicy) handleVMDown(_ time.Duration, vm int) {
	o.setUsable(vm)
	o.control.Forget(o.s.ids[vm])
}

// handleVMUp adds the replacement of a VM. It resets the health record and
// lifts the quarantine of the old VM.
func (o *corePolicy) handleVMUp(_ time.Duration, vm int) {
	o.quarantine[vm] = false
	o.health.Reset(o.s.ids[vm])
	o.control.SetHosted(o.s.ids[vm], o.s.d.Service, true)
	o.setUsable(vm)
}
