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

// Off names the mechanisms that an ablation switches off.
type Off struct {
	Learning      bool // sizes and run times stay as declared
	Interference  bool // placement ignores predicted slowdown
	Throttling    bool // no throttling, moves or evictions for interference
	Moves         bool // throttling only
	Quarantine    bool
	Preemption    bool
	DeadlineOrder bool // by priority and arrival only
	Attribution   bool // late measurements count as taken on arrival
	Headroom      bool // no room is kept for urgent work
	// Wide and ByRisk add what the router does not do yet: requests choose
	// among manyCandidates more VMs, by load or by expected pressure.
	Wide, ByRisk bool
}

const (
	// passEvery is the time between passes over all waiting requests, if
	// capacity may have become free. Urgent work does not wait for a pass.
	passEvery = 5 * time.Second
	// refreshEvery is how often the requests that wait are made anew from what
	// was learned.
	refreshEvery = 5 * time.Minute
	// recentUrgent is the number of urgent requests that headroom is sized by.
	recentUrgent = 8
)

// own is the project's policy: the core packages, wired as a shard owner
// would wire them.
type own struct {
	s       *sim
	off     Off
	state   *placement.State
	queue   placement.Queue
	est     *estimate.Estimator
	model   *interference.Model
	control *interference.Controller
	health  *health.Tracker
	byID    map[types.TaskID]*task
	gangs   map[types.JobID][]*task
	delayed []*task
	quar    [vmCount]bool
	risk    [vmCount]float64
	now     time.Duration
	swept   time.Duration
	probes  map[types.TaskID]int
	// capacity is what a VM offers batch work.
	capacity  types.Resources
	freed     bool
	passedAt  time.Duration
	refreshed time.Duration
	// urgentSizes are those of the last urgent requests.
	urgentSizes []types.Resources
}

func newOwn(off Off) func(*sim, *rand.Rand) policy {
	return func(s *sim, rng *rand.Rand) policy {
		o := &own{
			s: s, off: off, capacity: s.vmSpec(0).Capacity,
			est:    estimate.New(estimate.Options{}),
			model:  interference.NewModel(),
			health: health.New(health.Options{}),
			byID:   make(map[types.TaskID]*task),
			gangs:  make(map[types.JobID][]*task),
			probes: make(map[types.TaskID]int),
		}
		o.control = interference.NewController(interference.Options{Weights: s.d.Weights}, o.model)
		o.control.SetService(s.d.Service, interference.ServiceInfo{
			Urgent: true, ToleratedSlowdown: float64(deadline) / float64(soloTail),
		})
		o.model.SetSoloLatency(s.d.Service, medianService)
		opt := placement.Options{Cost: o.cost}
		if off.Interference {
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

func (o *own) cost(vm types.VMID, r *placement.Request) float64 {
	return o.control.Cost(o.now, vm, r.Kind, o.share(r.Size))
}

func (o *own) share(size types.Resources) float64 {
	return float64(size.MilliCPU) / float64(1000*o.s.d.Cores)
}

func (o *own) kindOf(t *task) string { return o.s.w.kinds[t.kind].name }

// request describes a task to the placement.
func (o *own) request(now time.Duration, t *task) placement.Request {
	r := placement.Request{
		Task: t.id, Job: t.job, Kind: o.kindOf(t), Class: types.ClassBatch,
		Priority: t.priority, Urgent: t.urgent, Size: t.declared,
		RunTime: max(t.declRun-t.saved, time.Minute), Deadline: t.deadline, Avoid: t.avoid,
	}
	if !o.off.Learning {
		size := o.est.Size(now, r.Kind, t.declared)
		if t.declared.Fits(o.capacity) {
			size = least(size, o.capacity)
		}
		r.Size = size
		r.RunTime = o.est.RunTime(now, r.Kind, t.declRun, t.saved, 0.9)
	}
	if o.off.DeadlineOrder {
		r.Deadline = 0
	}
	return r
}

func least(a, b types.Resources) types.Resources {
	a.MilliCPU = min(a.MilliCPU, b.MilliCPU)
	a.MemoryBytes = min(a.MemoryBytes, b.MemoryBytes)
	return a
}

func (o *own) arrive(now time.Duration, t *task) {
	o.byID[t.id] = t
	declared := placement.Request{Task: t.id, Size: t.declared}
	if c, _ := o.state.CheckFeasible(&declared); c != placement.NoConstraint {
		o.s.refuse(t)
		return
	}
	if t.gang > 0 {
		o.gangs[t.job] = append(o.gangs[t.job], t)
		if len(o.gangs[t.job]) < t.gang {
			return
		}
	}
	o.push(now, t)
}

// push queues a task, or its gang under the job's name.
func (o *own) push(now time.Duration, t *task) {
	r := o.request(now, t)
	if o.wholeGangWaits(t) {
		r.Task = types.TaskID(t.job)
	}
	o.queue.Push(r) // Replaces the request that another member made.
}

func (o *own) wholeGangWaits(t *task) bool {
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

func (o *own) schedule(now time.Duration) {
	o.now = now
	o.sweep(now)
	o.review(now)
	rest := o.delayed[:0]
	for _, t := range o.delayed {
		switch {
		case t.state != waiting: // Started with its gang.
		case t.readyAt > now:
			rest = append(rest, t)
		default:
			o.push(now, t)
		}
	}
	o.delayed = rest
	o.drainQueue(now)
}

// drainQueue starts what fits and parks what has to wait.
func (o *own) drainQueue(now time.Duration) {
	if now-o.refreshed >= refreshEvery {
		o.refreshed = now
		o.refresh(now)
	}
	if o.freed && now-o.passedAt >= passEvery {
		o.freed, o.passedAt = false, now
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

// refresh makes the requests of all waiting tasks anew.
func (o *own) refresh(now time.Duration) {
	for _, t := range o.s.w.tasks[:o.s.nextTask] {
		if t.state == waiting && t.readyAt <= now && (t.gang == 0 || len(o.gangs[t.job]) == t.gang) {
			o.push(now, t)
		}
	}
}

// startOne reports whether the task started or was refused for good.
func (o *own) startOne(now time.Duration, t *task, r *placement.Request) bool {
	if r.Urgent {
		o.keepHeadroom(r.Size)
	}
	if o.off.Preemption {
		r.Urgent = false
	}
	d := o.state.Place(now, r)
	switch d.Outcome {
	case placement.Placed:
		o.put(now, t, r, d.VM, 0)
	case placement.Preempt:
		o.preempt(now, d.Victims)
		o.put(now, t, r, d.VM, stopOfVictim)
	case placement.Infeasible:
		o.s.refuse(t)
	default:
		return false
	}
	return true
}

// keepHeadroom reserves room for urgent work like the last ones: on two VMs
// where the operator gives evictions the larger weight, else on one.
func (o *own) keepHeadroom(size types.Resources) {
	if o.off.Headroom {
		return
	}
	o.urgentSizes = append(o.urgentSizes, size)
	if n := len(o.urgentSizes); n > recentUrgent {
		o.urgentSizes = o.urgentSizes[n-recentUrgent:]
	}
	var most types.Resources
	for _, s := range o.urgentSizes {
		most = most.Max(s)
	}
	vms := 1
	if o.s.d.Weights.Eviction > o.s.d.Weights.TailLatency {
		vms = 2
	}
	o.state.SetHeadroom(most, vms)
}

func (o *own) preempt(now time.Duration, victims []types.TaskID) {
	for _, id := range slices.Clone(victims) {
		o.remove(now, o.byID[id], true)
	}
}

// remove evicts a running task and queues it again.
func (o *own) remove(now time.Duration, t *task, save bool) {
	vm := t.vm
	o.s.evict(now, t, save)
	o.forget(now, t, vm, estimate.Interrupted)
	o.delayed = append(o.delayed, t)
}

func (o *own) startGang(now time.Duration, members []*task) bool {
	if !o.wholeGangWaits(members[0]) {
		for _, t := range members {
			if t.state == waiting {
				o.push(now, t)
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
			o.s.refuse(t)
		}
		return true
	}
	if d.Outcome != placement.Placed {
		return false
	}
	for i, t := range members {
		o.put(now, t, &reqs[i], d.VMs[i], 0)
	}
	return true
}

// put starts a task where the placement decided.
func (o *own) put(now time.Duration, t *task, r *placement.Request, vm types.VMID, after time.Duration) {
	i := slices.Index(o.s.ids, vm)
	o.s.start(now, t, i, after)
	err := o.state.Add(placement.Running{
		Allocation: types.Allocation{Task: t.id, VM: vm, Reserved: r.Size, Class: r.Class},
		Job:        t.job, Kind: r.Kind, Priority: r.Priority, Urgent: t.urgent, Gang: t.gang > 0,
		Started: now, Evictions: t.evictions,
	})
	if err != nil {
		panic("placement decided for a VM without room: " + err.Error())
	}
	o.est.Start(now, t.id, r.Kind, t.declared, r.Size, t.saved)
	if !o.off.Throttling {
		t.speed = o.control.Speed(vm, r.Kind)
	}
	o.control.Placed(now, vm, r.Kind)
	o.setShare(now, i, t.kind)
}

// setShare tells the model what a kind holds on a VM.
func (o *own) setShare(now time.Duration, vm, kind int) {
	var share float64
	for _, t := range o.s.vms[vm].running {
		if t.kind == kind {
			share += o.share(o.reserved(t)) * t.speed
		}
	}
	o.model.SetShare(now, o.s.ids[vm], o.s.w.kinds[kind].name, share)
}

// forget drops a stopped task from the core's state.
func (o *own) forget(now time.Duration, t *task, vm int, how estimate.End) {
	if _, err := o.state.Remove(t.id); err != nil {
		panic("stopped task was not placed: " + err.Error())
	}
	o.freed = true
	o.est.End(now, t.id, how)
	o.setShare(now, vm, t.kind)
	if probe, ok := o.probes[t.id]; ok {
		delete(o.probes, t.id)
		o.health.ProbeLost(now, o.s.ids[probe])
	}
}

func (o *own) ended(now time.Duration, t *task, vm int, how ending) {
	if how == endDone || how == endFailed {
		o.health.Report(now, o.s.ids[vm], o.kindOf(t), how == endDone)
		delete(o.probes, t.id)
	}
	end := estimate.Interrupted
	if how == endDone {
		end = estimate.Completed
	}
	o.forget(now, t, vm, end)
	if how != endDone {
		o.delayed = append(o.delayed, t)
	}
}

func (o *own) reserved(t *task) types.Resources {
	r, _ := o.state.Get(t.id)
	return r.Reserved
}

func (o *own) overfilled() int         { return len(o.state.Overcommitted()) }
func (o *own) quarantined(vm int) bool { return o.quar[vm] }

func (o *own) routing(now time.Duration) ([]float64, int) {
	switch {
	case o.off.ByRisk:
		for i, id := range o.s.ids {
			o.risk[i] = o.control.Risk(now, id)
		}
		return o.risk[:], manyCandidates
	case o.off.Wide:
		return nil, manyCandidates
	default:
		return nil, 0
	}
}
