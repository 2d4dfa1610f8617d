package workflow

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// fullPace is the pace of a task that is not slowed down, in percent.
	fullPace = 100
	// unknownPace is the pace of a run that an earlier owner started.
	unknownPace = -1
)

// Control of filling tasks beside standing tasks. When a wave of filling tasks,
// or of requests to the standing tasks, pushes tail latencies over their
// targets, the filling tasks that interfere most are slowed down. This takes
// effect within a second.
const (
	// tailHigh and tailWanted are tail latencies as shares of their targets.
	// Paces are lowered while a tail is above tailHigh. Otherwise they are
	// raised as far as the expected tails stay at or below tailWanted. tailHigh
	// is below 1 because noisy measurements can show a tail over its target as
	// below it.
	tailHigh   = 0.97
	tailWanted = 0.90
	// tailRising is the tail above which a VM with filling tasks is polled often,
	// to notice early that the tail exceeds tailHigh.
	tailRising = 0.80
	// minPace is the lowest pace above 0, and paceStep the smallest increase.
	minPace  = 5
	paceStep = 5
	// paceInterval is the time between changes on a VM, so that each change
	// shows in the measurements, which cover 500 ms, before the next one.
	paceInterval = 700 * time.Millisecond
	// highTailTimeout is how long a tail may stay high before all filling tasks
	// of the VM are set to pace 0, or close to it. It leaves time to lower the
	// tail before the standing task has exceeded its target for 4 s and counts
	// as disturbed.
	highTailTimeout = 1500 * time.Millisecond
	// throttledMoveDelay is how long the wanted pace of a task must have been
	// below throttledPace before the task is moved, and maxLostRunTime the run
	// time that a move may discard.
	throttledMoveDelay = 900 * time.Millisecond
	throttledPace      = 50
	maxLostRunTime     = time.Second
)

// tail returns the highest tail latency of the VM's standing tasks as a share
// of its target.
func (v *vm) tail() float64 {
	highest := 0.0
	for _, t := range v.tasks {
		if t.tailKnown() {
			highest = max(highest, t.tail())
		}
	}
	return highest
}

// adjustPaces sets the wanted paces on a VM after a report.
func (o *Owner) adjustPaces(v *vm) {
	o.limitBackground(v)
	tail := v.tail()
	if tail <= tailHigh {
		v.tailOKAt = o.now
	}
	if o.now < v.nextPaceChangeAt {
		return
	}
	before := v.lowestPace()
	switch {
	case o.now >= v.tailOKAt+highTailTimeout:
		// With a factor of 1 for all tasks, this sets all paces to 0, unless
		// the tasks use more than maxLoad of the VM.
		o.lowerPaces(v, func(*task) float64 { return 1 }, maxLoad)
	case tail > tailHigh:
		o.throttleInterfering(v)
	default:
		o.raisePaces(v)
	}
	if after := v.lowestPace(); after != before {
		v.nextPaceChangeAt = o.now + paceInterval
		o.recordDecision(Decision{Kind: DecisionPaced, VM: v.id, Reason: fmt.Sprintf("lowest pace changed from %d%% to %d%%, tail at %.0f%% of its target", before, after, 100*tail)})
	}
}

// lowestPace returns the lowest wanted pace on the VM. Background runs count only if
// they are slower than their limit.
func (v *vm) lowestPace() int {
	lowestPace := fullPace
	for _, t := range v.tasks {
		if t.runningFilling() && t.wantedPace < t.paceLimit() {
			lowestPace = min(lowestPace, t.wantedPace)
		}
	}
	return lowestPace
}

func (t *task) runningFilling() bool {
	return t.phase == phaseRunning && t.step.spec.Fills
}

// throttleInterfering lowers the paces of the tasks that interfere with
// standing tasks whose tails are high, until the expected loads of the standing
// tasks correspond to tailWanted.
func (o *Owner) throttleInterfering(v *vm) {
	for _, s := range v.tasks {
		if !s.tailKnown() || s.tail() <= tailHigh {
			continue
		}
		excess := loadOfTail(s.tail()) - loadOfTail(tailWanted)
		o.lowerPaces(v, func(t *task) float64 { return o.interferenceOf(t, s) }, excess)
	}
}

// interferenceOf returns the load that a filling task t adds to a standing task
// s per unit of processor use.
func (o *Owner) interferenceOf(t, s *task) float64 {
	return o.interference.expected(o.now, imagePair{t.step.spec.Image, s.step.spec.Image})
}

// backgroundLast orders tasks for raising paces: those at full pace go before background
// runs.
func (t *task) backgroundLast() int {
	if t.background {
		return 1
	}
	return 0
}

// lowerPaces removes the excess load by lowering paces, starting with background runs,
// then with the tasks that remove the most load for what the delay costs callers.
func (o *Owner) lowerPaces(v *vm, interference func(*task) float64, excess float64) {
	type contribution struct {
		task *task
		load float64
		// gain is the load that a unit of processor use adds, divided by the cost of
		// delaying the task.
		gain float64
	}
	var all []contribution
	for _, t := range v.tasks {
		if t.runningFilling() && t.wantedPace > 0 {
			use := max(t.measurement, float64(t.step.spec.Demand.MilliCPU)*float64(t.wantedPace)/fullPace) / v.processors()
			c := contribution{t, interference(t) * use, interference(t) / o.delayCost(t)}
			if !o.weighsDelay() {
				c.gain = c.load
			}
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, func(a, b contribution) int {
		return cmp.Or(cmp.Compare(b.task.backgroundLast(), a.task.backgroundLast()), cmp.Compare(b.gain, a.gain))
	})
	for _, c := range all {
		if excess <= 0 {
			return
		}
		if c.load <= 0 {
			continue
		}
		keep := max(0, 1-excess/c.load)
		excess -= c.load
		pace := int(float64(c.task.wantedPace) * keep)
		if pace < minPace {
			pace = 0
		}
		c.task.setPace(o.now, pace)
	}
}

// raisePaces raises lowered paces as far as no standing task's expected load
// exceeds the load at which its tail is at tailWanted, starting with the tasks
// that interfere least for what the delay costs callers. Background runs come
// last, and do not hold up others. It uses all of the spare load at once: if
// paces rose in small steps, a task would delay its step for seconds after the
// load has fallen.
func (o *Owner) raisePaces(v *vm) {
	type candidate struct {
		*task
		// harm is the interference of the task divided by the cost of its delay.
		harm float64
	}
	var lowered []candidate
	for _, t := range v.tasks {
		if t.runningFilling() && t.wantedPace < t.paceLimit() {
			lowered = append(lowered, candidate{t, o.worstFactor(t.step.spec.Image, v) / o.delayCost(t)})
		}
	}
	if len(lowered) == 0 {
		return
	}
	slices.SortStableFunc(lowered, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.backgroundLast(), b.backgroundLast()), cmp.Compare(a.harm, b.harm))
	})
	foreground := v.uses(func(t *task) bool { return !t.background })
	all := v.uses(anyTask)
	for _, t := range lowered {
		uses := foreground
		if t.background {
			uses = all
		}
		demandShare := float64(t.step.spec.Demand.MilliCPU) / v.processors()
		spare := o.spareShare(v, t.step.spec.Image, uses)
		pace := min(t.paceLimit(), t.wantedPace+int(fullPace*spare/demandShare))
		if pace < t.wantedPace+paceStep && pace < t.paceLimit() {
			continue
		}
		added := demandShare * float64(pace-t.wantedPace) / fullPace
		all = addUse(all, t.step.spec.Image, added)
		if !t.background {
			foreground = addUse(foreground, t.step.spec.Image, added)
		}
		t.setPace(o.now, pace)
	}
}

// worstFactor returns the highest interference factor of an image on the VM's
// standing tasks.
func (o *Owner) worstFactor(image string, v *vm) float64 {
	worstFactor := 0.0
	for _, s := range v.tasks {
		if s.step.spec.TailTarget > 0 {
			worstFactor = max(worstFactor, o.interference.expected(o.now, imagePair{image, s.step.spec.Image}))
		}
	}
	return worstFactor
}

// spareShare returns the share of the VM's processors that further tasks of an
// image can use, beside the given uses, before a standing task's expected load
// exceeds the load at which its tail is at tailWanted.
func (o *Owner) spareShare(v *vm, image string, uses []imageUse) float64 {
	spareShare := 1.0
	limit := loadOfTail(tailWanted)
	for _, s := range v.tasks {
		if s.step.spec.TailTarget <= 0 || !s.phase.live() {
			continue
		}
		users := o.forecastLoad(s)
		room := limit - users - o.addedLoad(s.step.spec.Image, uses)
		spareShare = min(spareShare, room/max(1e-6, o.interference.expected(o.now, imagePair{image, s.step.spec.Image})))
	}
	return max(0, spareShare)
}

// forecastHorizon is how far ahead a rising load is extrapolated.
const forecastHorizon = 1500 * time.Millisecond

// forecastLoad returns the load that the users of a standing task are expected
// to cause at the forecast horizon.
func (o *Owner) forecastLoad(t *task) float64 {
	return min(maxUsersLoad, t.step.expectedUsersLoad()+max(0, t.step.users.trend)*forecastHorizon.Seconds())
}

// setPace sets the wanted pace of a task, and records when it falls below
// throttledPace. After a lower pace, the run time of the task is no longer
// learned from.
func (t *task) setPace(now time.Duration, pace int) {
	if pace < throttledPace && t.wantedPace >= throttledPace {
		t.throttledSince = now
	}
	t.wantedPace = pace
	t.undisturbed = t.undisturbed && pace == fullPace
}

// sendPaces orders the wanted paces that workers have not confirmed, and counts
// the contended VMs.
func (o *Owner) sendPaces() {
	o.contended = 0
	for _, v := range o.vmOrder {
		if v.contended() {
			o.contended++
		}
		if !v.reached {
			continue
		}
		for _, t := range v.tasks {
			if !t.runningFilling() || t.pace == t.wantedPace || o.now < t.paceSentAt+o.cfg.OrderRetry && t.sentPace == t.wantedPace {
				continue
			}
			t.paceSentAt, t.sentPace = o.now, t.wantedPace
			o.orders = append(o.orders, Order{Kind: OrderPace, VM: v.id, Boot: v.boot, Task: t.key(), Run: t.run, Pace: t.wantedPace})
		}
	}
}

// moveThrottledTask stops a filling task that has been throttled for a while,
// if that discards little work, another VM can run it, and the MayMiss limit of a
// standing task allows it.
func (o *Owner) moveThrottledTask(v *vm) {
	for _, t := range v.tasks {
		spec := t.step.spec
		if !t.runningFilling() || t.background || spec.Gang || t.wantedPace >= throttledPace || o.now < t.throttledSince+throttledMoveDelay {
			continue
		}
		if !spec.Checkpoints && o.now >= t.startedAt+maxLostRunTime {
			continue
		}
		if spec.Standing && !t.mayStop() {
			continue
		}
		if target := o.choose(t); target != nil && target != v {
			o.stop(t)
			return
		}
	}
}
