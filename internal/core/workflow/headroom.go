package workflow

import (
	"fmt"

	"github.com/boragecrank/boragecrank/internal/core/overload"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// headroomState is the owner's state for the headroom of short work. It is kept in memory
// only.
type headroomState struct {
	services map[types.ServiceName]*serviceHeadroom
	delayed  int
}

// serviceHeadroom is the headroom of one service.
type serviceHeadroom struct {
	overload.Headroom
	// capacity is that of the VMs that take work, standing what standing tasks reserve
	// there, both as of the current placement pass. short is what other tasks reserve on
	// all VMs.
	capacity, standing, short types.Resources
}

// HeadroomStatus summarizes the headroom of all services.
type HeadroomStatus struct {
	// Usual is the capacity that short work usually reserves at the same time.
	Usual types.Resources
	// Delayed counts the standing tasks that wait for headroom.
	Delayed int
}

// Headroom returns the summary as of the last placement pass.
func (o *Owner) Headroom() HeadroomStatus {
	status := HeadroomStatus{Delayed: o.headroom.delayed}
	for _, h := range o.headroom.services {
		status.Usual = status.Usual.Add(h.Usual())
	}
	return status
}

func (o *Owner) headroomOn() bool {
	return headroomForShortWork && (o.cfg.OverloadControl || o.cfg.Headroom)
}

// measureHeadroom measures what standing and other tasks reserve. Services that no VM has
// are dropped.
func (o *Owner) measureHeadroom() {
	if !o.headroomOn() {
		return
	}
	o.headroom.delayed = 0
	if o.headroom.services == nil {
		o.headroom.services = make(map[types.ServiceName]*serviceHeadroom)
	}
	for _, h := range o.headroom.services {
		h.capacity, h.standing, h.short = types.Resources{}, types.Resources{}, types.Resources{}
	}
	var last *serviceHeadroom
	var lastName types.ServiceName
	for _, v := range o.vmOrder {
		if !v.announced {
			continue
		}
		if last == nil || lastName != v.upstream.Service {
			last, lastName = o.headroomOf(v.upstream.Service), v.upstream.Service
		}
		last.short = last.short.Add(v.reserved.Sub(v.standingReserved))
		if v.reached && !v.upstream.Draining && !v.evacuated {
			last.capacity = last.capacity.Add(v.upstream.Capacity)
			last.standing = last.standing.Add(v.standingReserved)
		}
	}
	for name, h := range o.headroom.services {
		if h.capacity.IsZero() && h.short.IsZero() && h.Usual().IsZero() {
			delete(o.headroom.services, name)
			continue
		}
		h.Observe(o.now, h.short)
	}
}

func (o *Owner) headroomOf(service types.ServiceName) *serviceHeadroom {
	h := o.headroom.services[service]
	if h == nil {
		h = &serviceHeadroom{}
		o.headroom.services[service] = h
	}
	return h
}

// waitsForHeadroom reports whether a waiting standing task, with all others of its gang,
// must leave its capacity to short work for now. The only task of a job does not wait.
func (o *Owner) waitsForHeadroom(t *task) bool {
	s := t.step
	if !s.spec.Standing || !o.headroomOn() || s.job.spec.tasks() == 1 {
		return false
	}
	h := o.headroom.services[o.queueOf(s.job).Service]
	if h == nil {
		return false
	}
	var demand types.Resources
	tasks := 1
	if s.spec.Gang {
		tasks = len(s.tasks)
	}
	for range tasks {
		demand = demand.Add(s.reservation())
	}
	return h.Delays(o.now-t.waitingSince, h.capacity, h.standing, demand)
}

// delayForHeadroom is waitsForHeadroom for a placement pass: it also counts the delayed
// task, and records the delay of a step at most once per MaxHeadroomDelay.
func (o *Owner) delayForHeadroom(t *task) bool {
	if !o.waitsForHeadroom(t) {
		return false
	}
	o.headroom.delayed++
	if s := t.step; s.headroomLoggedAt == 0 || o.now >= s.headroomLoggedAt+overload.MaxHeadroomDelay {
		s.headroomLoggedAt = o.now
		h := o.headroom.services[o.queueOf(s.job).Service]
		o.recordDecision(Decision{
			Kind: DecisionHeadroom, Task: t.key(), Age: o.now - s.job.accepted,
			Reason: fmt.Sprintf("short work usually reserves %d thousandths of a core; standing tasks reserve %d of %d; waits for up to %d ms",
				h.Usual().MilliCPU, h.standing.MilliCPU, h.capacity.MilliCPU, (t.waitingSince + overload.MaxHeadroomDelay - o.now).Milliseconds()),
		})
	}
	return true
}

// countStanding adds a standing task that is placed to what its service reserves.
func (o *Owner) countStanding(t *task) {
	if !t.step.spec.Standing || !o.headroomOn() {
		return
	}
	if h := o.headroom.services[t.vm.upstream.Service]; h != nil {
		h.standing = h.standing.Add(t.step.reservation())
	}
}
