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
	// highFor is how long a tail may stay high before all tasks that fill the VM
	// are stopped from working, well within the 4 s that count as harm. Figures
	// are rough, so a tail a little over its target may show as under it.
	highFor = 1500 * time.Millisecond
	// slowFor is how long a task must have been slower than slowPace before it
	// is moved, and youngTime the run time that may be thrown away for that.
	slowFor   = 900 * time.Millisecond
	slowPace  = 50
	youngTime = time.Second
)

// tail returns the highest tail of the VM's standing tasks.
func (v *vm) tail() float64 {
	highest := 0.0
	for _, t := range v.tasks {
		if t.watched() {
			highest = max(highest, t.tail())
		}
	}
	return highest
}

// control sets the paces of a VM after a report.
func (o *Owner) control(v *vm) {
	tail := v.tail()
	if tail <= tailHigh {
		v.calmAt = o.now
	}
	if o.now < v.paceAt {
		return
	}
	before := v.slowest()
	switch {
	case o.now >= v.calmAt+highFor:
		o.slow(v, func(*task) float64 { return 1 }, mostLoad)
	case tail > tailHigh:
		o.relieve(v)
	default:
		o.raise(v)
	}
	if after := v.slowest(); after != before {
		v.paceAt = o.now + paceInterval
		o.note(Decision{Kind: DecisionPaced, VM: v.id, Reason: fmt.Sprintf("slowest pace %d%% to %d%%, tail at %.0f%% of its target", before, after, 100*tail)})
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

// relieve slows down what presses on standing tasks with high tails, until their
// loads are expected at what is wanted.
func (o *Owner) relieve(v *vm) {
	for _, s := range v.tasks {
		if !s.watched() || s.tail() <= tailHigh {
			continue
		}
		excess := loadOf(s.tail()) - loadOf(tailWanted)
		o.slow(v, func(t *task) float64 { return o.press(t, s) }, excess)
	}
}

// press returns the load per unit of use that a task adds to a standing one.
func (o *Owner) press(t, s *task) float64 {
	return o.pressures.expected(o.now, pair{t.step.spec.Image, s.step.spec.Image})
}

// slow takes load off by lowering paces, first of the tasks that press most.
func (o *Owner) slow(v *vm, press func(*task) float64, excess float64) {
	type contribution struct {
		task *task
		load float64
	}
	var all []contribution
	for _, t := range v.tasks {
		if t.fills() && t.wantedPace > 0 {
			use := max(t.figure, float64(t.step.spec.Demand.MilliCPU)*float64(t.wantedPace)/fullPace) / v.processors()
			all = append(all, contribution{t, press(t) * use})
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

// raise speeds up tasks that are slowed down as far as no standing task's load
// is expected above what is wanted, first those that press least. It takes all of
// the room at once: raised by steps, a task whose room is back would hold its step
// up for seconds.
func (o *Owner) raise(v *vm) {
	var slowed []*task
	for _, t := range v.tasks {
		if t.fills() && t.wantedPace < fullPace {
			slowed = append(slowed, t)
		}
	}
	if len(slowed) == 0 {
		return
	}
	slices.SortStableFunc(slowed, func(a, b *task) int { return cmp.Compare(o.worst(a.step.spec.Image, v), o.worst(b.step.spec.Image, v)) })
	uses := v.uses()
	for _, t := range slowed {
		whole := float64(t.step.spec.Demand.MilliCPU) / v.processors()
		more := o.spare(v, t.step.spec.Image, uses)
		pace := min(fullPace, t.wantedPace+int(fullPace*more/whole))
		if pace < t.wantedPace+paceStep && pace < fullPace {
			continue
		}
		uses = addUse(uses, t.step.spec.Image, whole*float64(pace-t.wantedPace)/fullPace)
		t.setPace(o.now, pace)
	}
}

// worst returns the highest factor of an image on the VM's standing tasks.
func (o *Owner) worst(image string, v *vm) float64 {
	worst := 0.0
	for _, s := range v.tasks {
		if s.step.spec.TailTarget > 0 {
			worst = max(worst, o.pressures.expected(o.now, pair{image, s.step.spec.Image}))
		}
	}
	return worst
}

// spare returns the share of the VM's processors that more tasks of an image can
// use before a standing task's load is above what is wanted, given what is used.
func (o *Owner) spare(v *vm, image string, uses []imageUse) float64 {
	spare := 1.0
	limit := loadOf(tailWanted)
	for _, s := range v.tasks {
		if s.step.spec.TailTarget <= 0 || !s.phase.live() {
			continue
		}
		own := o.foreseen(s)
		room := limit - own - o.pressed(s.step.spec.Image, uses, true)
		spare = min(spare, room/max(1e-6, o.pressures.expected(o.now, pair{image, s.step.spec.Image})))
	}
	return max(0, spare)
}

// foresight is how far ahead a rising load is followed.
const foresight = 1500 * time.Millisecond

// foreseen returns the load that a standing task's users are expected to cause
// soon.
func (o *Owner) foreseen(t *task) float64 {
	return min(mostOwnLoad, t.step.load()+max(0, t.step.users.trend)*foresight.Seconds())
}

// setPace records the wanted pace of a task.
func (t *task) setPace(now time.Duration, pace int) {
	if pace < slowPace && t.wantedPace >= slowPace {
		t.slowSince = now
	}
	t.wantedPace = pace
	t.undisturbed = t.undisturbed && pace == fullPace
}

// paces orders the paces that differ from those wanted.
func (o *Owner) paces() {
	o.restless = 0
	for _, v := range o.vmOrder {
		if v.restless() {
			o.restless++
		}
		if !v.reached {
			continue
		}
		for _, t := range v.tasks {
			if !t.fills() || t.pace == t.wantedPace || o.now < t.pacedAt+o.cfg.StopRetry && t.paceSent == t.wantedPace {
				continue
			}
			t.pacedAt, t.paceSent = o.now, t.wantedPace
			o.orders = append(o.orders, Order{Kind: OrderPace, VM: v.id, Boot: v.boot, Task: t.key(), Run: t.run, Pace: t.wantedPace})
		}
	}
}

// moves stops filling tasks that have been slow for a while, where that throws
// little work away and another VM can have them at full pace.
func (o *Owner) moves(v *vm) {
	for _, t := range v.tasks {
		spec := t.step.spec
		if !t.fills() || spec.Gang || t.wantedPace >= slowPace || o.now < t.slowSince+slowFor {
			continue
		}
		if !spec.Checkpoints && o.now >= t.startedAt+youngTime {
			continue
		}
		if better := o.choose(t); better != nil && better != v {
			o.stop(t)
			return
		}
	}
}
