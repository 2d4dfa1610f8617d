package workflow

import (
	"fmt"
	"maps"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/overload"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// minThroughputShare is the least throughput of filling work that plans assume, as a share
// of the processors of all VMs of the service. Without it, all jobs would be deferred after
// a time without filling work if every VM has standing tasks.
const minThroughputShare = 0.02

// deferralLogDelay is how long an occurrence must be deferred to be logged. Those that find
// free capacity start within a placement pass.
const deferralLogDelay = 2 * maxPlaceInterval

// overloadState is the owner's state for overload control. It is kept in memory only.
type overloadState struct {
	// services holds the services that jobs with filling work have used.
	services map[types.ServiceName]*servicePlan
	classes  overload.Classes
	// pass is the number of the last plan, and status its summary.
	pass   uint64
	status OverloadStatus
	// forecast is the state of the forecast for admission.
	forecast forecastState
}

// servicePlan is the plan of the filling work that competes for the VMs of one service.
type servicePlan struct {
	throughput overload.Throughput
	// used is the processors that filling tasks use or could use at once, capacity those
	// of all VMs, both as of the current pass.
	used, capacity float64
	occurrences    []*occurrence
	input          []overload.Occurrence
}

// OverloadStatus summarizes the last plan of filling work.
type OverloadStatus struct {
	// Planned and Deferred count the occurrences that can be in time, the deferred ones
	// only while tasks of theirs wait. Protected counts those that are not deferred for
	// their size.
	Planned, Deferred, Protected int
	// Throughput is the processors that filling work gets, of all services.
	Throughput float64
}

// Overload returns the summary of the last plan.
func (o *Owner) Overload() OverloadStatus { return o.overload.status }

// planState is the place of an occurrence in the plan.
type planState struct {
	// pass is the last plan that had the occurrence.
	pass uint64
	// deferred is the result with the given throughput. protected: the size class is
	// protected.
	deferred, protected bool
	throughput          float64
	// criticalPath is the longest critical path of its ready steps that can be in time.
	criticalPath time.Duration
	// waits: tasks of such steps wait.
	waits bool
	// arrived: it has been planned before; size is the work of all its tasks in processor
	// seconds, as estimated then. settled: it has been counted as in time or not.
	arrived, settled bool
	size             float64
	// deferredSince is when it was deferred, or 0. logged: this has been logged.
	deferredSince time.Duration
	logged        bool
}

// planFilling makes the plan of filling work. rankOf applies it.
func (o *Owner) planFilling() {
	if !onTimePlan || !o.cfg.OverloadControl {
		return
	}
	o.overload.pass++
	o.overload.status = OverloadStatus{}
	o.collectFilling()
	o.measureThroughput()
	for _, p := range o.overload.services {
		rate := max(p.throughput.Rate(), minThroughputShare*p.capacity)
		o.overload.status.Throughput += rate
		for i, deferred := range overload.Plan(o.now, rate, p.input) {
			p.occurrences[i].plan.set(rate, deferred, &p.input[i])
			o.overload.status.count(p.occurrences[i], &p.input[i])
		}
	}
}

// set records the result of a plan.
func (plan *planState) set(throughput float64, deferred bool, oc *overload.Occurrence) {
	plan.throughput, plan.deferred, plan.protected = throughput, deferred, oc.Protected
}

func (s *OverloadStatus) count(oc *occurrence, input *overload.Occurrence) {
	switch {
	case !oc.plan.deferred:
		s.Planned++
	case oc.plan.waits:
		s.Deferred++
	}
	if input.Protected {
		s.Protected++
	}
}

// collectFilling collects the occurrences with ready filling steps that can be in time, by
// service, and counts those that have missed their objective.
func (o *Owner) collectFilling() {
	for _, p := range o.overload.services {
		p.occurrences, p.input = p.occurrences[:0], p.input[:0]
	}
	for _, s := range o.ready {
		if !s.spec.Fills || s.spec.Standing {
			continue
		}
		oc := s.occurrence
		o.forecast(oc, s.job)
		due := oc.due + oc.objective
		o.recordArrival(oc, s.job)
		if o.now > due {
			o.settle(oc, s.job, false)
		}
		if o.now+s.criticalPath > due {
			continue
		}
		if oc.plan.pass == o.overload.pass {
			oc.plan.criticalPath = max(oc.plan.criticalPath, s.criticalPath)
			oc.plan.waits = oc.plan.waits || s.waiting > 0
			continue
		}
		oc.plan.pass, oc.plan.criticalPath, oc.plan.waits = o.overload.pass, s.criticalPath, s.waiting > 0
		q := o.queueOf(s.job)
		p := o.servicePlanOf(q.Service)
		p.occurrences = append(p.occurrences, oc)
		p.input = append(p.input, overload.Occurrence{
			Due: due, Work: oc.remainingWork(), Priority: q.Priority,
			Protected: protectedClasses && o.overload.classes.Protected(s.job.spec.Queue, oc.plan.size),
		})
	}
	for _, p := range o.overload.services {
		for i, oc := range p.occurrences {
			p.input[i].CriticalPath = oc.plan.criticalPath
		}
	}
}

// servicePlanOf returns the plan of a service. Those that no VM has any more are dropped
// when another one is added, so that their number stays bounded.
func (o *Owner) servicePlanOf(service types.ServiceName) *servicePlan {
	p := o.overload.services[service]
	if p == nil {
		p = &servicePlan{}
		if o.overload.services == nil {
			o.overload.services = make(map[types.ServiceName]*servicePlan)
		}
		maps.DeleteFunc(o.overload.services, func(_ types.ServiceName, p *servicePlan) bool { return len(p.input) == 0 && p.capacity == 0 })
		o.overload.services[service] = p
	}
	return p
}

// measureThroughput updates the throughput of filling work: the processors that it uses,
// and those that it could use at once. On VMs with standing tasks that have targets only
// the former count, since the paces there depend on what is started.
func (o *Owner) measureThroughput() {
	for _, p := range o.overload.services {
		p.used, p.capacity = 0, 0
	}
	for _, v := range o.vmOrder {
		p := o.overload.services[v.upstream.Service]
		if p == nil {
			continue
		}
		p.capacity += v.processors() / 1000
		for _, t := range v.tasks {
			if t.runningFilling() {
				p.used += t.measurement / 1000
			}
		}
		if v.targets == 0 && o.usable(v) && !v.quarantined {
			p.used += float64(max(0, v.passLeftover-v.filling)) / 1000
		}
	}
	for _, p := range o.overload.services {
		p.throughput.Measure(o.now, p.used)
	}
}

// recordArrival records the size of an occurrence when it is first planned.
func (o *Owner) recordArrival(oc *occurrence, j *job) {
	if oc.plan.arrived {
		return
	}
	oc.plan.arrived = true
	for _, s := range oc.steps {
		oc.plan.size += float64(len(s.tasks)) * s.taskWork()
	}
	if o.overload.classes.Len() >= maxRegressions {
		o.overload.classes.Retain(func(queue string) bool {
			_, ok := o.queues[queue]
			return ok
		})
	}
	o.overload.classes.Arrived(j.spec.Queue, oc.plan.size)
}

// settle counts a planned occurrence once as in time or not.
func (o *Owner) settle(oc *occurrence, j *job, inTime bool) {
	if oc.plan.arrived && !oc.plan.settled {
		oc.plan.settled = true
		o.overload.classes.Ended(j.spec.Queue, oc.plan.size, inTime)
	}
}

// taskWork returns the expected work of a task in processor seconds.
func (s *step) taskWork() float64 {
	return s.runTime.Seconds() * float64(s.spec.Demand.MilliCPU) / 1000
}

// applyPlan changes the rank of a filling step that can be in time: planned occurrences go
// by least remaining work, protected ones first, and deferred ones after them.
func (o *Owner) applyPlan(r *rank, s *step) {
	plan := &s.occurrence.plan
	if !onTimePlan || !o.cfg.OverloadControl || !s.spec.Fills || plan.pass != o.overload.pass {
		return
	}
	r.unstarted = 0
	switch {
	case plan.deferred:
		r.tier = tierDeferred
	case plan.protected:
		r.unprotected = 0
	}
	o.recordPlan(s)
}

// recordPlan records that an occurrence with waiting tasks is deferred, and that one that
// was logged as deferred is planned again.
func (o *Owner) recordPlan(s *step) {
	oc, plan := s.occurrence, &s.occurrence.plan
	due := (oc.due + oc.objective - o.now).Milliseconds()
	switch {
	case !plan.deferred:
		plan.deferredSince = 0
		if plan.logged {
			plan.logged = false
			o.recordDecision(Decision{Kind: DecisionPlanned, Job: s.job.spec.ID, Age: o.now - s.job.accepted, Reason: fmt.Sprintf("occurrence %d, due in %d ms", oc.number, due)})
		}
	case plan.deferredSince == 0:
		plan.deferredSince = o.now
	case !plan.logged && o.now >= plan.deferredSince+deferralLogDelay:
		plan.logged = true
		o.recordDecision(Decision{
			Kind: DecisionDeferred, Job: s.job.spec.ID, Age: o.now - s.job.accepted,
			Reason: fmt.Sprintf("occurrence %d needs %.0f core-seconds and is due in %d ms; filling work gets %.0f cores, and %d other occurrences are planned", oc.number, oc.remainingWork(), due, plan.throughput, o.overload.status.Planned),
		})
	}
}

// weighsDelay reports whether paces follow the cost of delay: only while filling work that
// can be in time is deferred. Otherwise there is room for all of it, and paces remove a
// high tail with the fewest changes.
func (o *Owner) weighsDelay() bool {
	return paceByDelayCost && o.overload.status.Deferred > 0
}

// delayCost returns what slowing down a filling task costs callers.
func (o *Owner) delayCost(t *task) float64 {
	s := t.step
	if !o.weighsDelay() || s.spec.Standing {
		return 1
	}
	o.forecast(s.occurrence, s.job)
	// A running task has half of its critical path before it on average.
	late := o.now+s.criticalPath/2 > s.occurrence.due+s.occurrence.objective
	return overload.DelayCost(late, len(s.tasks)-s.done, len(s.tasks))
}
