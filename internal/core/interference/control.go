package interference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Weights are the operator's weights for tail latency and evictions. Only their
// ratio matters.
type Weights struct {
	// TailLatency is the cost of a service that runs at twice its tolerated
	// slowdown.
	TailLatency float64
	// Eviction is the cost of one eviction.
	Eviction float64
}

// ServiceInfo describes a service to the controller.
type ServiceInfo struct {
	// Urgent services are not used for exploration at high load.
	Urgent bool
	// ToleratedSlowdown is the slowdown, above 1, at which the service's tail
	// latency equals its deadline.
	ToleratedSlowdown float64
}

// TaskInfo describes a batch task on a VM, as input to Decide.
type TaskInfo struct {
	Task types.TaskID
	// Kind is the name of the task's job kind.
	Kind string
	// Share is the fraction of the VM's processors that the task uses when it
	// is not throttled.
	Share float64
	// Evictions is the number of earlier evictions of the task.
	Evictions int
	// CanMove is set if the task can be checkpointed and another VM has room
	// for it.
	CanMove bool
	// Protected is set for tasks that are only throttled, never moved or
	// evicted: urgent work, gangs, and tasks with too many evictions.
	Protected bool
}

// ActionKind is a kind of action on a task.
type ActionKind uint8

// Kinds of actions, mildest first.
const (
	// Throttle sets the task's speed to Factor.
	Throttle ActionKind = iota + 1
	// Move checkpoints the task, stops it and places it on another VM.
	Move
	// Evict stops the task without a new checkpoint.
	Evict
)

// Action is a decision about one task.
type Action struct {
	Kind ActionKind
	Task types.TaskID
	// Factor is the speed of a throttled task as a fraction of full speed, 1.
	// It is set for Throttle.
	Factor float64
}

// Options configure a Controller. A field with the zero value takes its default.
type Options struct {
	Weights Weights
	// StageSpeeds are the speeds of successive throttle stages, as fractions of
	// full speed. The default is 0.4, 0.1.
	StageSpeeds []float64
}

const (
	// Actions escalate at a pressure between escalateAtTailOnly, if only tail
	// latency has weight, and escalateAtEvictionOnly, if only evictions have
	// weight. They relax below relaxShare of that pressure; the gap prevents
	// oscillation.
	escalateAtTailOnly     = 0.3
	escalateAtEvictionOnly = 0.9
	relaxShare             = 0.65
	// severePressure is the pressure from which a single measurement escalates
	// actions, by two stages.
	severePressure = 1.3
	// escalateAfterReadings is the number of consecutive high measurements
	// after which actions escalate.
	escalateAfterReadings = 2
	// relaxHold is how long the pressure must be low before throttles are
	// relaxed. It is also the initial hold time of a VM, for which the pressure
	// must be low before kinds above negligiblePressure speed up. The hold time
	// doubles, up to maxRelaxHold, if actions escalate within
	// reescalationWindow after throttles were relaxed.
	relaxHold          = 30 * time.Second
	maxRelaxHold       = 8 * time.Minute
	reescalationWindow = 2 * time.Minute
	// negligiblePressure is the predicted pressure up to which a kind returns
	// to full speed after relaxHold, even if the VM's hold time is longer.
	negligiblePressure = 0.1
	// attributionPeakWeight is the weight of a kind's remembered peak when a
	// slowdown is attributed to kinds. Measurements are late, so the mean does
	// not yet include a new burst.
	attributionPeakWeight = 0.5
	// maxExplorationPressure is the pressure below which a VM may explore: run
	// pairings of kind and service with few measurements.
	maxExplorationPressure = 0.5
	// maxReadingAge is the age from which a reading is stale.
	maxReadingAge = 90 * time.Second
	// maxExploringShare bounds the fraction of VMs that explore at once.
	maxExploringShare = 0.1
	// unknownDeviation is the standard deviation above which a pairing counts
	// as unknown.
	unknownDeviation = 0.5
)

// Controller decides when to throttle, move or evict the batch tasks of each VM.
type Controller struct {
	opt      Options
	model    *Model
	services map[types.ServiceName]ServiceInfo
	vms      map[types.VMID]*vmControl
	// high is the pressure from which actions escalate, low the one below which
	// they relax.
	high, low float64
	// exploringVMs is the number of VMs that explored at countedAt.
	exploringVMs int
	countedAt    time.Duration
}

type vmControl struct {
	services map[types.ServiceName]*reading
	stage    map[string]int // throttle stage by kind; no entry at full speed
	high     int            // consecutive high measurements
	// escalate and relax are set if new measurements call for a decision.
	escalate, relax bool
	severe          bool
	actedAt         time.Duration
	lowSince        time.Duration
	// low is set since lowSince, while the pressure is below Controller.low.
	low       bool
	relaxedAt time.Duration
	// hold is the current hold time, from relaxHold to maxRelaxHold.
	hold     time.Duration
	pressure float64
	// maxPressureService is the service with the highest pressure.
	maxPressureService types.ServiceName
	exploringUntil     time.Duration
}

// reading is the latest measurement of one service on a VM.
type reading struct {
	takenAt  time.Duration
	pressure float64
	level    Level
}

// NewController returns a controller that passes its measurements to model and
// takes its predictions from it.
func NewController(opt Options, model *Model) *Controller {
	if len(opt.StageSpeeds) == 0 {
		opt.StageSpeeds = []float64{0.4, 0.1}
	}
	tail := 0.5
	if sum := opt.Weights.TailLatency + opt.Weights.Eviction; sum > 0 {
		tail = opt.Weights.TailLatency / sum
	}
	high := tail*escalateAtTailOnly + (1-tail)*escalateAtEvictionOnly
	return &Controller{
		high:     high,
		low:      relaxShare * high,
		opt:      opt,
		model:    model,
		services: make(map[types.ServiceName]ServiceInfo),
		vms:      make(map[types.VMID]*vmControl),
	}
}

// SetService sets the description of a service. Measurements of a service
// without one update only the model.
func (c *Controller) SetService(name types.ServiceName, info ServiceInfo) {
	c.services[name] = info
}

// SetHosted records whether a VM hosts a service, that is, runs at least one
// replica of it.
func (c *Controller) SetHosted(vm types.VMID, service types.ServiceName, hosted bool) {
	v := c.vm(vm)
	if !hosted {
		delete(v.services, service)
		return
	}
	if v.services[service] == nil {
		// Stale from the start: there is no measurement yet.
		v.services[service] = &reading{takenAt: -maxReadingAge}
	}
}

// Forget deletes the state of a VM, also in the model.
func (c *Controller) Forget(vm types.VMID) {
	delete(c.vms, vm)
	c.model.Forget(vm)
}

func (c *Controller) vm(id types.VMID) *vmControl {
	v := c.vms[id]
	if v == nil {
		v = &vmControl{services: make(map[types.ServiceName]*reading), stage: make(map[string]int), hold: relaxHold}
		c.vms[id] = v
	}
	return v
}

// Observe records a measurement. If the measured interval began before the last
// action on the VM, the measurement updates the model but cannot trigger
// another action.
func (c *Controller) Observe(now time.Duration, x Measurement) {
	slowdown := c.model.Observe(now, x)
	info, known := c.services[x.Service]
	if slowdown == 0 || !known {
		return
	}
	v := c.vm(x.VM)
	r := v.services[x.Service]
	if r == nil || x.TakenAt <= r.takenAt {
		return
	}
	r.takenAt, r.level = x.TakenAt, LevelOf(x.Load)
	// The lower bound 0.1 prevents a division by values near zero.
	r.pressure = max(slowdown-1, 0) / max(info.ToleratedSlowdown-1, 0.1)
	if x.TakenAt-x.Interval < v.actedAt {
		return
	}
	c.assess(now, v)
}

// assess updates the VM's pressure from the readings of all its services.
func (c *Controller) assess(now time.Duration, v *vmControl) {
	v.pressure, v.maxPressureService = 0, ""
	names := make([]types.ServiceName, 0, len(v.services))
	for name := range v.services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if r := v.services[name]; r.pressure > v.pressure && now-r.takenAt < maxReadingAge {
			v.pressure, v.maxPressureService = r.pressure, name
		}
	}
	if v.pressure >= c.high {
		v.high++
		v.low = false
		v.severe = v.pressure >= severePressure
		v.escalate = v.severe || v.high >= escalateAfterReadings
		return
	}
	v.high = 0
	v.escalate = false
	if v.pressure >= c.low {
		v.low = false
		return
	}
	if !v.low {
		v.low, v.lowSince = true, now
	}
	v.relax = len(v.stage) > 0 && now-v.lowSince >= relaxHold
}

// Pressure returns the VM's last pressure: 0 for no slowdown, 1 for the
// tolerated slowdown. fresh is false if the VM is unknown or a service on it has no
// recent measurement.
func (c *Controller) Pressure(now time.Duration, vm types.VMID) (pressure float64, fresh bool) {
	v := c.vms[vm]
	if v == nil {
		return 0, false
	}
	for _, r := range v.services {
		if now-r.takenAt >= maxReadingAge {
			return v.pressure, false
		}
	}
	return v.pressure, true
}

// Pending reports whether new measurements call for an action on the VM, so
// that Decide should be called.
func (c *Controller) Pending(vm types.VMID) bool {
	v := c.vms[vm]
	return v != nil && (v.escalate || v.relax)
}

// Decide returns the actions for a VM's batch tasks, usually none. Call it after
// measurements of the VM. The controller assumes that the returned actions are
// carried out.
func (c *Controller) Decide(now time.Duration, vm types.VMID, tasks []TaskInfo) []Action {
	v := c.vms[vm]
	if v == nil {
		return nil
	}
	var out []Action
	switch {
	case v.escalate:
		out = c.escalate(now, v, tasks)
	case v.relax:
		out = c.relaxThrottles(now, v, tasks)
	}
	v.escalate, v.relax = false, false
	if len(out) > 0 {
		v.actedAt = now
		v.high, v.low = 0, false
	}
	return out
}

// harmfulKinds returns the smallest set of kinds, most harmful first, whose
// fraction of the total predicted slowdown is at least the fraction of the
// pressure above the relax threshold. A kind at the last throttle stage uses
// little of the VM and is rarely in the set.
func (c *Controller) harmfulKinds(v *vmControl, tasks []TaskInfo) []string {
	share := make(map[string]float64)
	var kinds []string
	for i := range tasks {
		if _, ok := share[tasks[i].Kind]; !ok {
			kinds = append(kinds, tasks[i].Kind)
		}
		share[tasks[i].Kind] += tasks[i].Share * c.factor(v.stage[tasks[i].Kind])
	}
	level := LoadMedium
	if r := v.services[v.maxPressureService]; r != nil {
		level = r.level
	}
	harm := make(map[string]float64, len(kinds))
	var total float64
	for _, k := range kinds {
		mean, _ := c.model.Predict(k, v.maxPressureService, level)
		// The term 0.01 orders kinds without a predicted slowdown by share.
		harm[k] = (mean + attributionPeakWeight*c.model.Peak(k, v.maxPressureService) + 0.01) * share[k]
		total += harm[k]
	}
	slices.SortFunc(kinds, func(a, b string) int {
		return cmp.Or(cmp.Compare(harm[b], harm[a]), cmp.Compare(a, b))
	})
	excessShare := 1 - c.low/max(v.pressure, c.high)
	var sum float64
	for i, k := range kinds {
		sum += harm[k]
		if sum >= excessShare*total {
			return kinds[:i+1]
		}
	}
	return kinds
}

// factor returns the speed at a throttle stage as a fraction of full speed.
// Stage 0 is full speed.
func (c *Controller) factor(stage int) float64 {
	if stage == 0 {
		return 1
	}
	return c.opt.StageSpeeds[min(stage, len(c.opt.StageSpeeds))-1]
}

// escalate throttles the harmful kinds further. If all of them are at the last
// stage, it moves or evicts one task, provided that the weights favor that.
func (c *Controller) escalate(now time.Duration, v *vmControl, tasks []TaskInfo) []Action {
	if now-v.relaxedAt < reescalationWindow && v.relaxedAt > 0 {
		v.hold = min(2*v.hold, maxRelaxHold)
	} else if now-v.relaxedAt > 4*maxRelaxHold {
		// The hold time starts over long after throttles were last relaxed.
		v.hold = relaxHold
	}
	stages := 1
	if v.severe {
		stages = 2
	}
	var out []Action
	harmfulKinds := c.harmfulKinds(v, tasks)
	for _, k := range harmfulKinds {
		before := v.stage[k]
		v.stage[k] = min(before+stages, len(c.opt.StageSpeeds))
		if v.stage[k] != before {
			out = append(out, throttleKind(tasks, k, c.factor(v.stage[k]))...)
		}
	}
	if len(out) > 0 {
		return out
	}
	return c.moveOrEvict(v, tasks, harmfulKinds)
}

func throttleKind(tasks []TaskInfo, kind string, factor float64) []Action {
	var out []Action
	for i := range tasks {
		if tasks[i].Kind == kind {
			out = append(out, Action{Kind: Throttle, Task: tasks[i].Task, Factor: factor})
		}
	}
	return out
}

// moveOrEvict returns an action that moves or evicts the largest eligible task
// of the most harmful kind that has one. A task is eligible if it is not
// protected and the gain, the weighted excess pressure, is above its cost, which
// grows with each eviction of the task.
func (c *Controller) moveOrEvict(v *vmControl, tasks []TaskInfo, harmfulKinds []string) []Action {
	gain := c.opt.Weights.TailLatency * math.Max(v.pressure-c.high, 0)
	for _, k := range harmfulKinds {
		best := -1
		for i := range tasks {
			t := &tasks[i]
			if t.Kind != k || t.Protected || gain <= c.removalCost(t) {
				continue
			}
			if best < 0 || t.Share > tasks[best].Share {
				best = i
			}
		}
		if best < 0 {
			continue
		}
		kind := Evict
		if tasks[best].CanMove {
			kind = Move
		}
		return []Action{{Kind: kind, Task: tasks[best].Task}}
	}
	return nil
}

// removalCost returns the weighted cost of removing a task from its VM. An
// eviction, without a checkpoint, costs twice as much as a move.
func (c *Controller) removalCost(t *TaskInfo) float64 {
	cost := c.opt.Weights.Eviction * float64(1+t.Evictions)
	if !t.CanMove {
		cost *= 2
	}
	return cost
}

// relaxThrottles returns kinds to full speed, least harmful first, while the
// predicted pressure of the VM stays below the relax threshold. If no kind can
// return to full speed, it undoes one stage of the least harmful kind.
func (c *Controller) relaxThrottles(now time.Duration, v *vmControl, tasks []TaskInfo) []Action {
	addedPressure := make(map[string]float64)
	var kinds []string
	for i := range tasks {
		k := tasks[i].Kind
		if v.stage[k] == 0 {
			continue
		}
		if _, ok := addedPressure[k]; !ok {
			kinds = append(kinds, k)
		}
		addedPressure[k] += c.maxPredictedPressure(v, k) * tasks[i].Share * (1 - c.factor(v.stage[k]))
	}
	if len(kinds) == 0 {
		clear(v.stage) // No throttled kind runs on the VM any more.
		return nil
	}
	slices.SortFunc(kinds, func(a, b string) int {
		return cmp.Or(cmp.Compare(addedPressure[a], addedPressure[b]), cmp.Compare(a, b))
	})
	var out []Action
	pressure := v.pressure
	for _, k := range kinds {
		pressure += addedPressure[k]
		if pressure > c.low || addedPressure[k] > negligiblePressure && now-v.lowSince < v.hold {
			break
		}
		delete(v.stage, k)
		out = append(out, throttleKind(tasks, k, 1)...)
	}
	if len(out) == 0 && now-v.lowSince >= v.hold {
		v.stage[kinds[0]]--
		out = throttleKind(tasks, kinds[0], c.factor(v.stage[kinds[0]]))
		if v.stage[kinds[0]] == 0 {
			delete(v.stage, kinds[0])
		}
	}
	if len(out) > 0 {
		v.relaxedAt = now
	}
	return out
}

// maxPredictedPressure returns the largest pressure that a VM full of the kind
// is predicted to add to any of the VM's services.
func (c *Controller) maxPredictedPressure(v *vmControl, kind string) float64 {
	maxPressure := 0.0
	for name, r := range v.services {
		mean, _ := c.model.Predict(kind, name, r.level)
		// The lower bound 0.1 prevents a division by values near zero.
		maxPressure = max(maxPressure, mean/max(c.services[name].ToleratedSlowdown-1, 0.1))
	}
	return maxPressure
}
