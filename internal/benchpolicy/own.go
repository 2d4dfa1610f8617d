package benchpolicy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/estimate"
	"github.com/boragecrank/boragecrank/internal/core/health"
	"github.com/boragecrank/boragecrank/internal/core/interference"
	"github.com/boragecrank/boragecrank/internal/core/placement"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Ablation selects changes of the core policy. Each field but the last two
// disables the mechanism that it names; the comments give the behaviour without
// the mechanism.
type Ablation struct {
	Learning      bool // uses declared sizes and run times
	Interference  bool // placement ignores predicted slowdown
	Throttling    bool // no throttling, moves or evictions for interference
	Moves         bool // throttling, but no moves or evictions
	Quarantine    bool
	Preemption    bool
	DeadlineOrder bool // orders by priority and arrival only
	Attribution   bool // treats late measurements as taken on arrival
	Headroom      bool // no room is reserved for urgent work
	// WideRouting and RoutingByRisk enable routing that the production router
	// does not implement: requests choose among manyCandidates more VMs, by
	// load or by risk.
	WideRouting, RoutingByRisk bool
}

const (
	// passInterval is the minimum time between passes over all waiting
	// requests. A pass is made only if capacity may have become free. Urgent
	// work does not wait for a pass.
	passInterval = 5 * time.Second
	// refreshInterval is the time between updates of the waiting requests with
	// new estimates.
	refreshInterval = 5 * time.Minute
	// maxUrgentSizes is the number of most recent urgent requests from which
	// the headroom is computed.
	maxUrgentSizes = 8
)

// corePolicy is the core policy: it connects the core packages in the same way
// as a shard owner.
type corePolicy struct {
	s          *sim
	ablation   Ablation
	state      *placement.State
	queue      placement.Queue
	estimator  *estimate.Estimator
	model      *interference.Model
	control    *interference.Controller
	health     *health.Tracker
	byID       map[types.TaskID]*task
	gangs      map[types.JobID][]*task
	delayed    []*task
	quarantine [vmCount]bool
	risk       [vmCount]float64
	now        time.Duration
	lastSweep  time.Duration
	probes     map[types.TaskID]int
	// capacity is the capacity of a VM for batch work.
	capacity      types.Resources
	capacityFreed bool
	lastPass      time.Duration
	lastRefresh   time.Duration
	// urgentSizes holds the sizes of the most recent urgent requests.
	urgentSizes []types.Resources
}

func newCorePolicy(ablation Ablation) func(*sim, *rand.Rand) policy {
	return func(s *sim, rng *rand.Rand) policy {
		o := &corePolicy{
			s: s, ablation: ablation, capacity: s.vmSpec(0).Capacity,
			estimator: estimate.New(estimate.Options{}),
			model:     interference.NewModel(),
			health:    health.New(health.Options{}),
			byID:      make(map[types.TaskID]*task),
			gangs:     make(map[types.JobID][]*task),
			probes:    make(map[types.TaskID]int),
		}
		o.control = interference.NewController(interference.Options{Weights: s.d.Weights}, o.model)
		o.control.SetService(s.d.Service, interference.ServiceInfo{
			Urgent: true, ToleratedSlowdown: float64(deadline) / float64(soloTail),
		})
		o.model.SetSoloLatency(s.d.Service, medianService)
		opt := placement.Options{Cost: o.cost}
		if ablation.Interference {
			opt.Cost = nil
		}
		o.state = placement.New(opt, rng)
		for i := range vmCount {
			o.state.SetVM(s.vmSpec(i))
			o.control.SetHosted(s.ids[i], s.d.Service, true)
		}
		o.health.SetWorkers(s.ids)
		return o
	}
}

func (o *corePolicy) cost(vm types.VMID, r *placement.Request) float64 {
	return o.control.Cost(o.now, vm, r.Kind, o.coreShare(r.Size))
}

func (o *corePolicy) coreShare(size types.Resources) float64 {
	return float64(size.MilliCPU) / float64(1000*o.s.d.Cores)
}

func (o *corePolicy) kindName(t *task) string { return o.s.w.kinds[t.kind].name }

// request returns the placement request for a task.
func (o *corePolicy) request(now time.Duration, t *task) placement.Request {
	r := placement.Request{
		Task: t.id, Job: t.job, Kind: o.kindName(t), Class: types.ClassBatch,
		Priority: t.priority, Urgent: t.urgent, Size: t.declared,
		RunTime: max(t.declaredRun-t.saved, time.Minute), Deadline: t.deadline, Avoid: t.avoid,
	}
	if !o.ablation.Learning {
		size := o.estimator.Size(now, r.Kind, t.declared)
		if t.declared.Fits(o.capacity) {
			size = minResources(size, o.capacity)
		}
		r.Size = size
		r.RunTime = o.estimator.RunTime(now, r.Kind, t.declaredRun, t.saved, 0.9)
	}
	if o.ablation.DeadlineOrder {
		r.Deadline = 0
	}
	return r
}

func minResources(a, b types.Resources) types.Resources {
	a.MilliCPU = min(a.MilliCPU, b.MilliCPU)
	a.MemoryBytes = min(a.MemoryBytes, b.MemoryBytes)
	return a
}

func (o *corePolicy) handleArrival(now time.Duration, t *task) {
	o.byID[t.id] = t
	declared := placement.Request{Task: t.id, Size: t.declared}
	if c, _ := o.state.CheckFeasible(&declared); c != placement.NoConstraint {
		o.s.refuseTask(t)
		return
	}
	if t.gang > 0 {
		o.gangs[t.job] = append(o.gangs[t.job], t)
		if len(o.gangs[t.job]) < t.gang {
			return
		}
	}
	o.enqueue(now, t)
}

// enqueue queues a task. If its whole gang waits, it queues the gang under the
// job ID instead.
func (o *corePolicy) enqueue(now time.Duration, t *task) {
	r := o.request(now, t)
	if o.wholeGangWaits(t) {
		r.Task = types.TaskID(t.job)
	}
	o.queue.Push(r) // Replaces the request of another member of the gang.
}

func (o *corePolicy) wholeGangWaits(t *task) bool {
	if t.gang == 0 {
		return false
	}
	for _, m := range o.gangs[t.job] {
		if m.state != waiting {
			return false
		}
	}
	return true
}

func (o *corePolicy) schedule(now time.Duration) {
	o.now = now
	o.sweepReservations(now)
	o.applyHealthDecisions(now)
	stillDelayed := o.delayed[:0]
	for _, t := range o.delayed {
		switch {
		case t.state != waiting: // Started with its gang.
		case t.readyAt > now:
			stillDelayed = append(stillDelayed, t)
		default:
			o.enqueue(now, t)
		}
	}
	o.delayed = stillDelayed
	o.startQueued(now)
}

// startQueued starts the queued tasks that fit and parks the others.
func (o *corePolicy) startQueued(now time.Duration) {
	if now-o.lastRefresh >= refreshInterval {
		o.lastRefresh = now
		o.requeueWaiting(now)
	}
	if o.capacityFreed && now-o.lastPass >= passInterval {
		o.capacityFreed, o.lastPass = false, now
		o.queue.Unpark()
	}
	for {
		r, ok := o.queue.Pop(now)
		if !ok {
			return
		}
		if members := o.gangs[types.JobID(r.Task)]; members != nil {
			if !o.startGang(now, members) {
				o.queue.Park(r)
			}
			continue
		}
		t := o.byID[r.Task]
		if t.state != waiting || o.wholeGangWaits(t) {
			continue // It started, or will start, with its gang.
		}
		if !o.startOne(now, t, &r) {
			o.queue.Park(r)
		}
	}
}

// requeueWaiting queues all waiting tasks again with new requests.
func (o *corePolicy) requeueWaiting(now time.Duration) {
	for _, t := range o.s.w.tasks[:o.s.nextTask] {
		if t.state == waiting && t.readyAt <= now && (t.gang == 0 || len(o.gangs[t.job]) == t.gang) {
			o.enqueue(now, t)
		}
	}
}

// startOne tries to start a task. It reports whether the task was started or
// permanently refused.
func (o *corePolicy) startOne(now time.Duration, t *task, r *placement.Request) bool {
	if r.Urgent {
		o.reserveHeadroom(r.Size)
	}
	if o.ablation.Preemption {
		r.Urgent = false
	}
	d := o.state.Place(now, r)
	switch d.Outcome {
	case placement.Placed:
		o.startOnVM(now, t, r, d.VM, 0)
	case placement.Preempt:
		o.preempt(now, d.Victims)
		o.startOnVM(now, t, r, d.VM, victimStopTime)
	case placement.Infeasible:
		o.s.refuseTask(t)
	default:
		return false
	}
	return true
}

// reserveHeadroom reserves room for an urgent task of the largest size among
// the recent ones. The room is reserved on two VMs if the operator weights
// evictions higher than tail latency, otherwise on one.
func (o *corePolicy) reserveHeadroom(size types.Resources) {
	if o.ablation.Headroom {
		return
	}
	o.urgentSizes = append(o.urgentSizes, size)
	if n := len(o.urgentSizes); n > maxUrgentSizes {
		o.urgentSizes = o.urgentSizes[n-maxUrgentSizes:]
	}
	var largest types.Resources
	for _, s := range o.urgentSizes {
		largest = largest.Max(s)
	}
	vms := 1
	if o.s.d.Weights.Eviction > o.s.d.Weights.TailLatency {
		vms = 2
	}
	o.state.SetHeadroom(largest, vms)
}

func (o *corePolicy) preempt(now time.Duration, victims []types.TaskID) {
	for _, id := range slices.Clone(victims) {
		o.evict(now, o.byID[id], true)
	}
}

// evict evicts a running task and queues it again.
func (o *corePolicy) evict(now time.Duration, t *task, save bool) {
	vm := t.vm
	o.s.evictTask(now, t, save)
	o.untrack(now, t, vm, estimate.EndInterrupted)
	o.delayed = append(o.delayed, t)
}

func (o *corePolicy) startGang(now time.Duration, members []*task) bool {
	if !o.wholeGangWaits(members[0]) {
		for _, t := range members {
			if t.state == waiting {
				o.enqueue(now, t)
			}
		}
		return true
	}
	reqs := make([]placement.Request, len(members))
	for i, t := range members {
		if t.readyAt > now {
			return false
		}
		reqs[i] = o.request(now, t)
	}
	d := o.state.PlaceGang(now, reqs)
	if d.Outcome == placement.Infeasible {
		for _, t := range members {
			o.s.refuseTask(t)
		}
		return true
	}
	if d.Outcome != placement.Placed {
		return false
	}
	for i, t := range members {
		o.startOnVM(now, t, &reqs[i], d.VMs[i], 0)
	}
	return true
}

// startOnVM starts a task on the VM that the placement chose.
func (o *corePolicy) startOnVM(now time.Duration, t *task, r *placement.Request, vm types.VMID, after time.Duration) {
	i := slices.Index(o.s.ids, vm)
	o.s.startTask(now, t, i, after)
	err := o.state.Add(placement.Running{
		Allocation: types.Allocation{Task: t.id, VM: vm, Reserved: r.Size, Class: r.Class},
		Job:        t.job, Kind: r.Kind, Priority: r.Priority, Urgent: t.urgent, Gang: t.gang > 0,
		Started: now, Evictions: t.evictions,
	})
	if err != nil {
		panic("placement chose a VM without enough room: " + err.Error())
	}
	o.estimator.Start(now, t.id, r.Kind, t.declared, r.Size, t.saved)
	if !o.ablation.Throttling {
		t.speed = o.control.Speed(vm, r.Kind)
	}
	o.control.Placed(now, vm, r.Kind)
	o.setShare(now, i, t.kind)
}

// setShare updates the share of a VM's cores that a kind holds, in the
// interference model.
func (o *corePolicy) setShare(now time.Duration, vm, kind int) {
	var coreShare float64
	for _, t := range o.s.vms[vm].running {
		if t.kind == kind {
			coreShare += o.coreShare(o.reservation(t)) * t.speed
		}
	}
	o.model.SetShare(now, o.s.ids[vm], o.s.w.kinds[kind].name, coreShare)
}

// untrack removes a stopped task from the state of the core packages.
func (o *corePolicy) untrack(now time.Duration, t *task, vm int, how estimate.End) {
	if _, err := o.state.Remove(t.id); err != nil {
		panic("stopped task was not placed: " + err.Error())
	}
	o.capacityFreed = true
	o.estimator.End(now, t.id, how)
	o.setShare(now, vm, t.kind)
	if probe, ok := o.probes[t.id]; ok {
		delete(o.probes, t.id)
		o.health.ProbeLost(now, o.s.ids[probe])
	}
}

func (o *corePolicy) handleEnd(now time.Duration, t *task, vm int, how ending) {
	if how == endDone || how == endFailed {
		o.health.Report(now, o.s.ids[vm], o.kindName(t), how == endDone)
		delete(o.probes, t.id)
	}
	end := estimate.EndInterrupted
	if how == endDone {
		end = estimate.EndCompleted
	}
	o.untrack(now, t, vm, end)
	if how != endDone {
		o.delayed = append(o.delayed, t)
	}
}

func (o *corePolicy) reservation(t *task) types.Resources {
	r, _ := o.state.Get(t.id)
	return r.Reserved
}

func (o *corePolicy) countOvercommitted() int   { return len(o.state.Overcommitted()) }
func (o *corePolicy) isQuarantined(vm int) bool { return o.quarantine[vm] }

func (o *corePolicy) routingHints(now time.Duration) ([]float64, int) {
	switch {
	case o.ablation.RoutingByRisk:
		for i, id := range o.s.ids {
			o.risk[i] = o.control.Risk(now, id)
		}
		return o.risk[:], manyCandidates
	case o.ablation.WideRouting:
		return nil, manyCandidates
	default:
		return nil, 0
	}
}
