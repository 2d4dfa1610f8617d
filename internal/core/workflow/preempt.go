package workflow

import (
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/overload"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

const (
	// preemptInterval is the time between decisions on preemption. Placement passes
	// follow each other faster when many tasks end, which frees capacity by itself.
	preemptInterval = maxPlaceInterval
	// maxClaims limits the waiting steps that one decision serves. Each needs a search of
	// all VMs, and the next decision follows soon.
	maxClaims = 8
)

// preemptionState is the owner's state for preemption. It is kept in memory only.
type preemptionState struct {
	nextAt time.Duration
	// held are the VMs with capacity that is held for claims.
	held   []*vm
	status PreemptionStatus
}

// PreemptionStatus summarizes the last decision on preemption.
type PreemptionStatus struct {
	// Claims counts the waiting steps of priority 0 that can only be in time if they start
	// soon, Served those that have or get capacity.
	Claims, Served int
	// HeldMilliCPU is the processors that are held for them, in thousandths of a core.
	HeldMilliCPU int64
}

// Preemption returns the summary of the last decision on preemption.
func (o *Owner) Preemption() PreemptionStatus { return o.preemption.status }

// taskPreemption is the state of a task for preemption.
type taskPreemption struct {
	// count counts the preemptions by this owner.
	count int
	// cause is why its run is being stopped; empty unless it was preempted.
	cause string
	// savedAt is when a list first showed the last checkpoint.
	savedAt time.Duration
}

// endReason returns why a run has ended, given the reason if it was not preempted.
func (p *taskPreemption) endReason(reason string) string {
	if p.cause == "" {
		return reason
	}
	reason, p.cause = p.cause, ""
	return reason
}

// preempt stops work of lower priorities for steps of priority 0 that no VM could take in
// the placement pass that has just ended. Until they start, it holds the capacity that
// becomes free.
func (o *Owner) preempt(steps []*step) {
	p := &o.preemption
	if !preemptForPriority || !o.cfg.OverloadControl || o.now < p.nextAt {
		return
	}
	p.nextAt = o.now + preemptInterval
	for _, v := range p.held {
		v.held = types.Resources{}
	}
	p.held, p.status = p.held[:0], PreemptionStatus{}
	if !o.confirmed {
		return // a successor may use the capacity for other work
	}
	in := preemptionInput{hosts: make(map[*vm]int), steps: make(map[*step]int)}
	o.collectClaims(&in, steps)
	if len(in.claims) == 0 {
		return
	}
	o.collectCandidates(&in)
	result := overload.Preempt(in.claims, in.free, in.candidates, in.limits)
	o.hold(&in, result.Places)
	for _, s := range result.Stops {
		o.stopFor(&in, s)
	}
}

// preemptionInput is the input of overload.Preempt, with what its indices stand for.
type preemptionInput struct {
	claims     []overload.Claim
	claimSteps []*step
	hosts      map[*vm]int
	vms        []*vm
	free       []types.Resources
	candidates []overload.Candidate
	// tasks are the tasks of each candidate.
	tasks [][]*task
	// steps holds the index in limits of standing steps, and the index of the candidate of
	// gangs.
	steps  map[*step]int
	limits []int
	// wait is how long the claims keep what they get at most.
	wait time.Duration
}

// collectClaims collects the waiting steps for which others may be stopped now.
func (o *Owner) collectClaims(in *preemptionInput, steps []*step) {
	for _, s := range steps {
		if len(in.claims) == maxClaims {
			return
		}
		if s.waiting == 0 || s.reservation().IsZero() || o.queueOf(s.job).Priority > 0 {
			continue
		}
		t, waiting := o.waitingTask(s)
		slack := s.occurrence.due + s.occurrence.objective - o.now - s.criticalPath
		if t == nil || !overload.Urgent(slack, s.criticalPath) || o.waitsForHeadroom(t) {
			continue
		}
		o.preemption.status.Claims++
		c := overload.Claim{
			Demand: s.reservation(), Tasks: waiting, Slack: slack, Path: s.criticalPath, Work: s.occurrence.totalWork(), Places: o.placesFor(in, t, waiting),
		}
		if s.spec.Standing {
			c.Work = float64(waiting) * overload.StandingWork.Seconds() * float64(s.spec.Demand.MilliCPU) / 1000
		}
		if len(c.Places) == 0 {
			continue
		}
		in.claims, in.claimSteps = append(in.claims, c), append(in.claimSteps, s)
		in.wait = max(in.wait, s.runTime)
	}
}

// waitingTask returns a waiting task of a step, and how many wait. It returns nil if one
// may not start yet, since the step cannot be done without it.
func (o *Owner) waitingTask(s *step) (first *task, waiting int) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.phase != phaseWaiting {
			continue
		}
		if o.now < t.notBefore {
			return nil, 0
		}
		if first == nil {
			first = t
		}
		waiting++
	}
	if s.spec.Gang && waiting < len(s.tasks) {
		return nil, 0 // earlier runs of the gang have not all ended
	}
	return first, waiting
}

// placesFor returns the VMs that could run tasks of a step if they had room. Filling tasks
// need room for their memory only; where that is not what keeps them off, stops of others
// would not help.
func (o *Owner) placesFor(in *preemptionInput, t *task, waiting int) []overload.Place {
	var places []overload.Place
	s := t.step
	service := o.queueOf(s.job).Service
	for _, v := range o.vmOrder {
		if v.upstream.Service != service || !o.usable(v) || v.quarantined || !s.reservation().Fits(v.upstream.Capacity) {
			continue
		}
		if s.spec.Fills && (v.hasRoom(s) || !o.mayFill(s.spec, v)) || o.avoids(t, v) || o.requirement(t, v) != "" {
			continue
		}
		most := waiting
		if s.spec.MaxPerVM > 0 {
			most = min(most, s.spec.MaxPerVM-s.perVM[v.id])
		}
		places = append(places, overload.Place{Host: in.hostOf(v), Most: most})
	}
	return places
}

// hostOf returns the index of a VM, which it adds if it is new.
func (in *preemptionInput) hostOf(v *vm) int {
	i, ok := in.hosts[v]
	if !ok {
		i = len(in.vms)
		in.hosts[v] = i
		in.vms = append(in.vms, v)
		in.free = append(in.free, v.upstream.Capacity.Sub(v.reserved))
	}
	return i
}

// collectCandidates collects the running work on the hosts, and adds what is being stopped
// to their free capacity. The search of a host is bounded, so that only those of lower
// priority and those about to end are needed.
func (o *Owner) collectCandidates(in *preemptionInput) {
	for i := range in.vms {
		for _, t := range in.vms[i].tasks {
			s := t.step
			if t.phase == phaseStopping {
				in.free[i] = in.free[i].Add(s.reservation())
			}
			if t.phase != phaseRunning || s.reservation().IsZero() {
				continue
			}
			if s.spec.Gang {
				o.addGang(in, s)
			} else {
				o.addCandidate(in, s, []*task{t})
			}
		}
	}
}

// addGang adds a gang as one candidate. One that is not running as a whole is left out.
func (o *Owner) addGang(in *preemptionInput, s *step) {
	if _, ok := in.steps[s]; ok || !s.allRunning() {
		return
	}
	tasks := make([]*task, len(s.tasks))
	for i := range s.tasks {
		tasks[i] = &s.tasks[i]
	}
	if !s.spec.Standing {
		in.steps[s] = len(in.candidates)
	}
	o.addCandidate(in, s, tasks)
}

// addCandidate adds tasks of a step that are stopped together. Standing tasks of steps
// without MayMiss are left out: their jobs do not tolerate planned stops.
func (o *Owner) addCandidate(in *preemptionInput, s *step, tasks []*task) {
	if s.spec.Standing && s.spec.MayMiss == 0 {
		return
	}
	o.forecast(s.occurrence, s.job)
	c := overload.Candidate{Priority: o.queueOf(s.job).Priority, Standing: s.spec.Standing, Work: s.occurrence.totalWork()}
	lost := time.Duration(0)
	for _, t := range tasks {
		host, ok := in.hosts[t.vm]
		if !ok {
			host = -1
		}
		c.Parts = append(c.Parts, overload.Part{Host: host, Holds: s.reservation()})
		unsaved, processors := o.unsaved(t), t.usedProcessors()
		lost = max(lost, unsaved)
		c.Unsaved += unsaved.Seconds() * processors
		c.Processors += processors
		c.Left = max(c.Left, o.timeLeft(t))
		c.Protected = c.Protected || o.now < t.startedAt+overload.Protection(s.spec.Standing, s.runTime, t.preemption.count)
	}
	c.Delay = overload.StopTime + overload.RestoreTime + lost + in.wait
	c.Slack = s.occurrence.due + s.occurrence.objective - o.now - (s.criticalPath - s.runTime) - c.Left
	if s.spec.Standing {
		c.Group = in.limitOf(s)
	}
	in.candidates, in.tasks = append(in.candidates, c), append(in.tasks, tasks)
}

// limitOf returns the index of the limit of a standing step.
func (in *preemptionInput) limitOf(s *step) int {
	i, ok := in.steps[s]
	if !ok {
		i = len(in.limits)
		in.steps[s] = i
		in.limits = append(in.limits, s.spec.MayMiss-s.away(nil))
	}
	return i
}

// away counts the tasks of a standing step that are not serving, except one.
func (s *step) away(except *task) int {
	away := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; t != except && (t.phase != phaseRunning || t.progress < progressServing) {
			away++
		}
	}
	return away
}

// usedProcessors returns the processors that a running task uses.
func (t *task) usedProcessors() float64 {
	demand := float64(t.step.spec.Demand.MilliCPU) / 1000
	if t.step.spec.Fills && !t.step.spec.Standing && t.measurement > 0 {
		return min(demand, t.measurement/1000)
	}
	return demand
}

// unsaved returns how much of its run time a stop of a running task discards.
func (o *Owner) unsaved(t *task) time.Duration {
	spec := t.step.spec
	switch ran := o.now - t.startedAt; {
	case spec.Standing:
		return 0
	case spec.Checkpoints:
		return min(ran, o.now-t.preemption.savedAt)
	default:
		// A run that an earlier owner started has run for longer than this owner knows.
		return max(ran, t.step.runTime*time.Duration(t.progress)/fullPace)
	}
}

// timeLeft returns the expected time until a running task ends by itself. A task that has
// run for longer than expected is expected to run for half as long again: the longer it
// has run, the more likely it is one of the few that take several times as long.
func (o *Owner) timeLeft(t *task) time.Duration {
	ran := o.now - t.startedAt
	switch {
	case t.step.spec.Standing:
		return 0
	case t.undisturbed && t.progress > 0:
		return ran * time.Duration(max(0, fullPace-t.progress)) / time.Duration(t.progress)
	case t.progress > 0:
		return t.step.runTime * time.Duration(max(0, fullPace-t.progress)) / fullPace
	case ran < t.step.runTime:
		return t.step.runTime - ran
	default:
		return ran / 2
	}
}

// totalWork returns the expected work of all tasks of an occurrence in processor seconds.
func (oc *occurrence) totalWork() float64 {
	work := 0.0
	for _, s := range oc.steps {
		work += float64(len(s.tasks)) * s.taskWork()
	}
	return work
}

// hold keeps work of lower priorities off the capacity that claims will use, which becomes
// free bit by bit.
func (o *Owner) hold(in *preemptionInput, places []overload.ClaimPlace) {
	p := &o.preemption
	served := make(map[int]bool)
	for _, place := range places {
		v := in.vms[place.Host]
		if v.held.IsZero() {
			p.held = append(p.held, v)
		}
		for range place.Tasks {
			v.held = v.held.Add(in.claims[place.Claim].Demand)
		}
		served[place.Claim] = true
	}
	p.status.Served = len(served)
	for _, v := range p.held {
		p.status.HeldMilliCPU += v.held.MilliCPU
	}
}

// heldFrom reports whether the room that a VM has for a task is held for work of priority
// 0.
func (o *Owner) heldFrom(t *task, v *vm) bool {
	if v.held.IsZero() || o.queueOf(t.step.job).Priority == 0 {
		return false
	}
	demand := t.step.reservation()
	left := v.upstream.Capacity.Sub(v.reserved).Sub(v.held)
	return demand.MilliCPU > max(0, left.MilliCPU) || demand.MemoryBytes > max(0, left.MemoryBytes) || demand.Accelerators > max(0, left.Accelerators)
}

// stopFor stops the tasks of a candidate for a claim.
func (o *Owner) stopFor(in *preemptionInput, stop overload.Stop) {
	c, s := &in.candidates[stop.Candidate], in.claimSteps[stop.Claim]
	need := in.claims[stop.Claim]
	for _, t := range in.tasks[stop.Candidate] {
		t.preemption.count++
		t.preemption.cause = fmt.Sprintf("preempted for job %s", s.job.spec.ID)
		o.recordDecision(Decision{
			Kind: DecisionPreempted, Task: t.key(), Run: t.run, VM: t.vm.id, Age: o.now - t.step.job.accepted,
			Reason: fmt.Sprintf("for step %d of job %s of priority 0; discards %.2f core-seconds, cost %.2f, priority %d", s.index, s.job.spec.ID, c.Unsaved, stop.Cost, c.Priority),
		})
		o.recordDecision(Decision{
			Kind: DecisionPreempts, Job: s.job.spec.ID, VM: t.vm.id, Age: o.now - s.job.accepted,
			Reason: fmt.Sprintf("stops task %s; %d tasks of step %d wait and must start within %d ms", t.key(), need.Tasks, s.index, need.Slack.Milliseconds()),
		})
		o.stop(t)
	}
}
