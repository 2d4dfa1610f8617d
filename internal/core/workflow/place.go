package workflow

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Pauses of a VM or task after a refused start.
const (
	// noRoomBackoff keeps a full VM from being tried in every placement pass,
	// but is short enough to use it again soon after a task there has ended.
	// The worker sends its lists every 500 ms.
	noRoomBackoff = 300 * time.Millisecond
	// refusedBackoff is for a worker that temporarily refuses work.
	refusedBackoff = 500 * time.Millisecond
	// invalidBackoff keeps a task that a worker cannot run from being sent in
	// every placement pass.
	invalidBackoff = 5 * time.Second
)

// runEpochShift places the owner's epoch above the number of starts in a run
// number, so that run numbers increase from owner to owner without a durable
// counter.
const runEpochShift = 16

// starvationTimeout is how long a filling step may have nothing running before a task
// is started where it may disturb standing tasks. adjustPaces then lowers the task's
// pace if a tail becomes too high.
const starvationTimeout = 1200 * time.Millisecond

// Weights of the placement score. The score is in units of a whole VM's
// processors: 1 corresponds to all processors of one VM.
const (
	// farRackCost is the cost of another rack than that of the task's data, or
	// than that of the first task of a step with SameRack. It outweighs any
	// difference of load: work away from its data takes at least 1.5 times as
	// long.
	farRackCost = 2.0
	// interferenceCost is the cost of a filling task whose image has an
	// interference factor of 1 or more on a standing task of the VM. If all
	// factors are lower, the cost is proportional to the highest one.
	interferenceCost = 1.0
	// mixCost keeps standing tasks of different images on different VMs, since
	// a filling image that is harmless to one may disturb the other.
	mixCost = 2.0
	// openVMCost keeps reservations off VMs without standing tasks that have a
	// tail target, so that whole VMs stay free for filling tasks.
	openVMCost = 1.0
	// probeBonus outweighs the costs of a VM that is due for a probe: only a
	// probe can return it to service.
	probeBonus = 100.0
	// memoryCost weighs memory less than processors, which run out first.
	memoryCost = 0.25
)

// place starts the waiting tasks that fit.
func (o *Owner) place() {
	o.unplaceable = make(map[placementGroup]types.Resources)
	for _, v := range o.vmOrder {
		v.passLeftover = v.leftover()
	}
	for _, s := range o.ready {
		if s.running() {
			s.idleSince = o.now
		}
	}
	var advised []*step
	o.measureHeadroom()
	steps := o.waitingSteps()
	for _, s := range steps {
		if s.background > 0 {
			o.advanceBackground(s)
		}
		if s.spec.Gang {
			o.placeGang(s)
		} else {
			o.placeStep(s)
		}
		if o.queueOf(s.job).Advised {
			advised = append(advised, s)
		}
	}
	o.preempt(steps)
	o.requestTickets(advised)
}

// placeStep starts the waiting tasks of a step until one does not fit. A task
// that must avoid a VM may be the only one that does not fit, so the others are
// still tried.
func (o *Owner) placeStep(s *step) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.phase != phaseWaiting || o.now < t.notBefore {
			continue
		}
		if o.knownUnplaceable(t) && !o.starving(t) {
			return
		}
		if s.spec.Standing && o.delayForHeadroom(t) {
			continue
		}
		v := o.choose(t)
		if v == nil {
			o.noteUnplaceable(t)
		}
		if v == nil && o.starving(t) {
			v = o.chooseLeastDisturbed(t)
			t.forced = v != nil
		}
		if v == nil && o.needsBackground(t) {
			v = o.chooseBackground(t, o.idleTime(t))
			t.background = v != nil
		}
		if v == nil {
			v = o.chooseQuarantined(t)
			t.background = v != nil && s.spec.Fills && !o.mayFill(s.spec, v)
		}
		if v == nil {
			if o.now < t.avoidUntil {
				continue
			}
			return
		}
		t.starts++
		o.start(t, v, o.runNumber(t.starts))
	}
}

// placeGang starts all tasks of a gang, or none.
func (o *Owner) placeGang(s *step) {
	if s.waiting < len(s.tasks) {
		return // earlier runs of the gang have not all ended
	}
	if s.spec.Standing && o.delayForHeadroom(&s.tasks[0]) {
		return
	}
	var starts uint64
	checkpoint := ""
	chosen := make([]*vm, 0, len(s.tasks))
	needsBackground, idle := o.needsBackground(&s.tasks[0]), o.idleTime(&s.tasks[0])
	inBackground := false
	for i := range s.tasks {
		t := &s.tasks[i]
		starts = max(starts, t.starts)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
		v := o.choose(t)
		if v == nil {
			v = o.chooseQuarantined(t)
			t.background = v != nil && s.spec.Fills && !o.mayFill(s.spec, v)
		}
		if v == nil && needsBackground {
			v = o.chooseBackground(t, idle)
			t.background = v != nil
		}
		if v == nil || o.now < t.notBefore {
			t.background = false
			break
		}
		// Bind each task for now, so that the search for the next one counts
		// it; start binds the task again.
		chosen = append(chosen, v)
		inBackground = inBackground || t.background
		t.wantedPace = fullPace
		v.bind(t)
	}
	for i := range chosen {
		s.tasks[i].release()
	}
	s.membersPlaced = len(chosen)
	if len(chosen) < len(s.tasks) {
		return
	}
	for i, v := range chosen {
		t := &s.tasks[i]
		// One slow member holds up all others.
		t.starts, t.checkpoint, t.background = starts+1, checkpoint, inBackground
		o.start(t, v, o.runNumber(t.starts))
	}
}

// runNumber returns the run number of a start.
func (o *Owner) runNumber(starts uint64) uint64 {
	return uint64(o.cfg.Epoch)<<runEpochShift | starts
}

// start orders the start of a task on a VM.
func (o *Owner) start(t *task, v *vm, run uint64) {
	load := &VMLoad{
		Reserved: v.reserved.MilliCPU, Filling: v.filling, Capacity: v.upstream.Capacity.MilliCPU, Targets: v.targets, Pace: v.lowestPace(), Kind: t.step.kind(),
	}
	v.bind(t)
	o.countStanding(t)
	if v.quarantined {
		v.probe = t
	}
	v.passLeftover = v.leftover()
	t.phase = phaseStarting
	if t.copyOf == nil {
		t.step.waiting--
	}
	t.run = run
	t.inFlight = true
	t.startedAt = o.now
	t.pace, t.wantedPace = fullPace, t.paceLimit()
	t.undisturbed = t.checkpoint == "" && !t.background
	order := Order{
		Kind: OrderStart, VM: v.id, Boot: v.boot, Task: t.key(), Run: run,
		Payload: t.step.job.spec.Payload, LeaseEnd: o.extendLease(v),
	}
	if t.copyOf != nil {
		order.LeaseEnd = o.copyDeadline(v)
	}
	if o.queueOf(t.step.job).Advised {
		order.Ticket = t.step.tickets.valid(o.now, v)
	}
	if t.step.spec.Checkpoints {
		order.Checkpoint = t.checkpoint
	}
	o.orders = append(o.orders, order)
	d := Decision{Kind: DecisionPlaced, Task: order.Task, Run: run, VM: v.id, Age: o.now - t.step.job.accepted, Load: load}
	if t.background {
		d.Reason = "background run: no VM takes the task at full pace"
	}
	if t.copyOf != nil {
		d.Kind, d.Reason = DecisionCopyStarted, t.copyOf.copyReason(o.now)
	}
	o.recordDecision(d)
}

// placementGroup identifies tasks that differ, for placement, only in their
// demand.
type placementGroup struct {
	service types.ServiceName
	image   string
	fills   bool
}

// placementGroupOf returns the placement group of a task, and false if the task
// has constraints of its own.
func (o *Owner) placementGroupOf(t *task) (placementGroup, bool) {
	spec := t.step.spec
	q := o.queueOf(t.step.job)
	plain := spec.Label == "" && spec.MaxPerVM == 0 && o.now >= t.avoidUntil && !q.Advised && !spec.Standing
	return placementGroup{q.Service, spec.Image, spec.Fills}, plain
}

// knownUnplaceable reports whether a task of the same placement group with no
// greater demand found no VM in this pass. It saves a search of all VMs for
// each of the hundreds of steps that may wait under overload.
func (o *Owner) knownUnplaceable(t *task) bool {
	key, plain := o.placementGroupOf(t)
	unplaced, ok := o.unplaceable[key]
	return ok && plain && unplaced.Fits(t.step.spec.Demand)
}

// noteUnplaceable records that a task found no VM in this pass.
func (o *Owner) noteUnplaceable(t *task) {
	if key, plain := o.placementGroupOf(t); plain {
		o.unplaceable[key] = t.step.spec.Demand
	}
}

// starving reports whether a filling task has waited for starvationTimeout, with no
// live task of its step or because it is standing.
func (o *Owner) starving(t *task) bool {
	return o.idleTime(t) >= starvationTimeout
}

// chooseLeastDisturbed returns the VM without a forced task where a filling task does
// the least harm, or nil.
func (o *Owner) chooseLeastDisturbed(t *task) *vm {
	var best *vm
	bestScore := 0.0
	service := o.queueOf(t.step.job).Service
	for _, v := range o.vmOrder {
		if v.upstream.Service != service || !o.mayTake(t, v) || o.obstacle(t, v) != "" || v.forced() {
			continue
		}
		if score := o.score(t, v); best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// forced reports whether a task was forced onto the VM.
func (v *vm) forced() bool {
	for _, t := range v.tasks {
		if t.forced {
			return true
		}
	}
	return false
}

// choose returns the best VM for a task now, or nil. It prefers a quarantined VM that
// is due for a probe.
func (o *Owner) choose(t *task) *vm {
	return o.chooseVM(t, true)
}

// chooseVM returns the best VM for a task now, or nil, with or without quarantined VMs
// that the task may probe.
func (o *Owner) chooseVM(t *task, probe bool) *vm {
	var best *vm
	bestScore := 0.0
	service := o.queueOf(t.step.job).Service
	for _, v := range o.vmOrder {
		if v.upstream.Service != service || !o.mayTake(t, v) || !probe && v.quarantined || !o.fits(t, v) {
			continue
		}
		score := o.score(t, v)
		if v.quarantined {
			score -= probeBonus
		}
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// fits reports whether the VM can take the task in addition to its current
// ones.
func (o *Owner) fits(t *task, v *vm) bool {
	return o.obstacle(t, v) == "" && (!t.step.spec.Fills || o.mayFill(t.step.spec, v))
}

// obstacle returns what keeps a task off a VM, apart from interference with
// standing tasks. It is empty if there is no obstacle.
func (o *Owner) obstacle(t *task, v *vm) string {
	if o.avoids(t, v) {
		return "failed or stalled there"
	}
	if c := o.constraint(t, v); c != "" {
		return c
	}
	if !v.hasRoom(t.step) {
		return "no room"
	}
	if len(o.preemption.held) > 0 && o.heldFrom(t, v) {
		return "held for priority 0"
	}
	return ""
}

// hasRoom reports whether the VM has room for another task of a step.
func (v *vm) hasRoom(s *step) bool {
	return v.occupied().Add(s.reservation()).Fits(v.upstream.Capacity)
}

// constraint returns what keeps a task off a VM whatever room the VM has. It is empty
// if there is nothing.
func (o *Owner) constraint(t *task, v *vm) string {
	if v.quarantined && !o.mayProbe(t, v) {
		return "quarantined"
	}
	return o.requirement(t, v)
}

// requirement returns which requirement of a task a VM does not meet; empty if it
// meets all.
func (o *Owner) requirement(t *task, v *vm) string {
	if o.queueOf(t.step.job).Advised && t.step.tickets.valid(o.now, v) == "" {
		return "no ticket"
	}
	return o.mismatch(t, v)
}

// mismatch returns which requirement of a task, apart from a ticket, a VM does not
// meet; empty if it meets all.
func (o *Owner) mismatch(t *task, v *vm) string {
	s := t.step
	switch {
	case s.spec.Label != "" && !v.hasLabel(s.spec.Label):
		return "label"
	case s.spec.MaxPerVM > 0 && s.perVM[v.id] >= s.spec.MaxPerVM:
		return "limit per VM"
	default:
		return ""
	}
}

// hasUnusedProcessors reports whether the VM has unused processors for another filling
// task. The first filling task needs none.
func (v *vm) hasUnusedProcessors(spec *Step) bool {
	return v.filling == 0 || v.filling+spec.Demand.MilliCPU <= v.passLeftover
}

// mayFill reports whether the VM has unused processors for a filling task and
// no standing task that would be disturbed too much.
func (o *Owner) mayFill(spec *Step, v *vm) bool {
	if !v.hasUnusedProcessors(spec) {
		return false
	}
	if v.targets == 0 {
		return true
	}
	return o.spareShare(v, spec.Image, v.expectedUses()) >= float64(spec.Demand.MilliCPU)/v.processors()
}

// expectedUses returns the expected processor use of the VM's filling tasks by
// image, without background runs: their demand at their wanted pace, since
// measurements lag behind.
func (v *vm) expectedUses() []imageUse {
	var uses []imageUse
	for _, t := range v.tasks {
		if t.step.spec.Fills && !t.background && t.phase != phaseStopping {
			demand := float64(t.step.spec.Demand.MilliCPU) / v.processors()
			uses = addUse(uses, t.step.spec.Image, demand*float64(t.wantedPace)/fullPace)
		}
	}
	return uses
}

// score returns the cost of a VM for a task; lower is better. Standing tasks
// and reservations are packed on few VMs, which leaves the others to filling
// tasks that come in waves.
func (o *Owner) score(t *task, v *vm) float64 {
	spec := t.step.spec
	capacity := float64(max(1, v.upstream.Capacity.MilliCPU))
	score := memoryCost * float64(v.reserved.MemoryBytes) / float64(max(1, v.upstream.Capacity.MemoryBytes))
	if spec.DataRack != "" && spec.DataRack != v.upstream.Rack {
		score += farRackCost
	}
	if spec.SameRack && t.index > 0 {
		if first := t.step.tasks[0].vm; first != nil && first.upstream.Rack != v.upstream.Rack {
			score += farRackCost
		}
	}
	filling := float64(v.filling) / capacity
	switch {
	case spec.Standing:
		return score + filling + mixCost*float64(v.otherImages(spec.Image)) - float64(v.reserved.MilliCPU)/capacity
	case !spec.Fills:
		if v.targets == 0 {
			score += openVMCost
		}
		return score + filling - float64(v.reserved.MilliCPU)/capacity
	default:
		if v.targets > 0 {
			score += interferenceCost * min(1, o.worstFactor(spec.Image, v))
		}
		return score + float64(v.filling+spec.Demand.MilliCPU)/float64(max(1, v.passLeftover))
	}
}
