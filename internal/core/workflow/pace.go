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
	// unknownPace is that of a run which an earlier owner has started.
	unknownPace = -1
)

// Control of the tasks that fill a VM beside standing tasks. It answers the load
// where a wave of filling tasks, or of the standing tasks' own users, pushes
// tail latencies over their targets: slowing down those that press most takes
// effect within a second.
const (
	// tailHigh and tailWanted are the tails, as shares of targets, above which
	// paces fall and up to which they rise.
	tailHigh   = 0.93
	tailWanted = 0.80
	// minPace is the lowest pace that is not 0, and paceStep the least change.
	minPace  = 5
	paceStep = 5
	// paceInterval lies between changes on a VM, so that each shows in the
	// figures, taken over 500 ms, before the next one.
	paceInterval = 700 * time.Millisecond
	// highTailTimeout is how long a tail may stay high before all tasks that fill the VM
	// are stopped from working, well within the 4 s that count as harm. Figures
	// are rough, so a tail a little over its target may show as under it.
	highTailTimeout = 1500 * time.Millisecond
	// slowMoveDelay is how long a task must have been slower than slowPace before it
	// is moved, and maxLostRunTime the run time that may be thrown away for that.
	slowMoveDelay  = 900 * time.Millisecond
	slowPace       = 50
	maxLostRunTime = time.Second
)

// tail returns the highest tail of the VM's standing tasks.
func (v *vm) tail() float64 {
	highest := 0.0
	for _, t := range v.tasks {
		if t.tailKnown() {
			highest = max(highest, t.tail())
		}
	}
	return highest
}

// adjustPaces sets the paces of a VM after a report.
func (o *Owner) adjustPaces(v *vm) {
	tail := v.tail()
	if tail <= tailHigh {
		v.tailOKAt = o.now
	}
	if o.now < v.paceAt {
		return
	}
	before := v.slowest()
	switch {
	case o.now >= v.tailOKAt+highTailTimeout:
		o.lowerPaces(v, func(*task) float64 { return 1 }, maxLoad)
	case tail > tailHigh:
		o.slowInterfering(v)
	default:
		o.raisePaces(v)
	}
	if after := v.slowest(); after != before {
		v.paceAt = o.now + paceInterval
		o.recordDecision(Decision{Kind: DecisionPaced, VM: v.id, Reason: fmt.Sprintf("slowest pace %d%% to %d%%, tail at %.0f%% of its target", before, after, 100*tail)})
	}
}

// slowest returns the lowest wanted pace on the VM.
func (v *vm) slowest() int {
	slowest := fullPace
	for _, t := range v.tasks {
		if t.fills() {
			slowest = min(slowest, t.wantedPace)
		}
	}
	return slowest
}

func (t *task) fills() bool {
	return t.phase == phaseRunning && t.step.spec.Fills
}

// slowInterfering slows down what presses on standing tasks with high tails, until their
// loads are expected at what is wanted.
func (o *Owner) slowInterfering(v *vm) {
	for _, s := range v.tasks {
		if !s.tailKnown() || s.tail() <= tailHigh {
			continue
		}
		excess := loadOfTail(s.tail()) - loadOfTail(tailWanted)
		o.lowerPaces(v, func(t *task) float64 { return o.interferenceOf(t, s) }, excess)
	}
}

// interferenceOf returns the load per unit of use that a task adds to a standing one.
func (o *Owner) interferenceOf(t, s *task) float64 {
	return o.interference.expected(o.now, pair{t.step.spec.Image, s.step.spec.Image})
}

// lowerPaces takes load off by lowering paces, first of the tasks that press most.
func (o *Owner) lowerPaces(v *vm, interference func(*task) float64, excess float64) {
	type contribution struct {
		task *task
		load float64
	}
	var all []contribution
	for _, t := range v.tasks {
		if t.fills() && t.wantedPace > 0 {
			use := max(t.figure, float64(t.step.spec.Demand.MilliCPU)*float64(t.wantedPace)/fullPace) / v.processors()
			all = append(all, contribution{t, interference(t) * use})
		}
	}
	slices.SortStableFunc(all, func(a, b contribution) int { return cmp.Compare(b.load, a.load) })
	for _, c := range all {
		if excess <= 0 || c.load <= 0 {
			return
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

// raisePaces speeds up tasks that are slowed down as far as no standing task's load
// is expected above what is wanted, first those that press least. It takes all of
// the room at once: raised by steps, a task whose room is back would hold its step
// up for seconds.
func (o *Owner) raisePaces(v *vm) {
	var slowed []*task
	for _, t := range v.tasks {
		if t.fills() && t.wantedPace < fullPace {
			slowed = append(slowed, t)
		}
	}
	if len(slowed) == 0 {
		return
	}
	slices.SortStableFunc(slowed, func(a, b *task) int {
		return cmp.Compare(o.worstFactor(a.step.spec.Image, v), o.worstFactor(b.step.spec.Image, v))
	})
	uses := v.uses()
	for _, t := range slowed {
		whole := float64(t.step.spec.Demand.MilliCPU) / v.processors()
		more := o.spareShare(v, t.step.spec.Image, uses)
		pace := min(fullPace, t.wantedPace+int(fullPace*more/whole))
		if pace < t.wantedPace+paceStep && pace < fullPace {
			continue
		}
		uses = addUse(uses, t.step.spec.Image, whole*float64(pace-t.wantedPace)/fullPace)
		t.setPace(o.now, pace)
	}
}

// worstFactor returns the highest factor of an image on the VM's standing tasks.
func (o *Owner) worstFactor(image string, v *vm) float64 {
	worstFactor := 0.0
	for _, s := range v.tasks {
		if s.step.spec.TailTarget > 0 {
			worstFactor = max(worstFactor, o.interference.expected(o.now, pair{image, s.step.spec.Image}))
		}
	}
	return worstFactor
}

// spareShare returns the share of the VM's processors that more tasks of an image can
// use before a standing task's load is above what is wanted, given what is used.
func (o *Owner) spareShare(v *vm, image string, uses []imageUse) float64 {
	spareShare := 1.0
	limit := loadOfTail(tailWanted)
	for _, s := range v.tasks {
		if s.step.spec.TailTarget <= 0 || !s.phase.live() {
			continue
		}
		users := o.forecastLoad(s)
		room := limit - users - o.addedLoad(s.step.spec.Image, uses, true)
		spareShare = min(spareShare, room/max(1e-6, o.interference.expected(o.now, pair{image, s.step.spec.Image})))
	}
	return max(0, spareShare)
}

// forecastHorizon is how far ahead a rising load is followed.
const forecastHorizon = 1500 * time.Millisecond

// forecastLoad returns the load that a standing task's users are expected to cause
// soon.
func (o *Owner) forecastLoad(t *task) float64 {
	return min(maxUsersLoad, t.step.load()+max(0, t.step.users.trend)*forecastHorizon.Seconds())
}

// setPace records the wanted pace of a task.
func (t *task) setPace(now time.Duration, pace int) {
	if pace < slowPace && t.wantedPace >= slowPace {
		t.slowSince = now
	}
	t.wantedPace = pace
	t.undisturbed = t.undisturbed && pace == fullPace
}

// sendPaces orders the paces that differ from those wanted.
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
			if !t.fills() || t.pace == t.wantedPace || o.now < t.pacedAt+o.cfg.StopRetry && t.sentPace == t.wantedPace {
				continue
			}
			t.pacedAt, t.sentPace = o.now, t.wantedPace
			o.orders = append(o.orders, Order{Kind: OrderPace, VM: v.id, Boot: v.boot, Task: t.key(), Run: t.run, Pace: t.wantedPace})
		}
	}
}

// moveSlowed stops filling tasks that have been slow for a while, where that throws
// little work away and another VM can have them at full pace.
func (o *Owner) moveSlowed(v *vm) {
	for _, t := range v.tasks {
		spec := t.step.spec
		if !t.fills() || spec.Gang || t.wantedPace >= slowPace || o.now < t.slowSince+slowMoveDelay {
			continue
		}
		if !spec.Checkpoints && o.now >= t.startedAt+maxLostRunTime {
			continue
		}
		if target := o.choose(t); target != nil && target != v {
			o.stop(t)
			return
		}
	}
}
