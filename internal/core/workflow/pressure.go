package workflow

import (
	"math"
	"time"
)

// Model of how tasks that fill a VM disturb the standing tasks on it.
//
// The tail latency of a standing task follows that of a queue: idle tail
// divided by one minus its load. What fills the VM adds to the load in
// proportion to the processors that it uses, by a factor that differs by pair of
// images, from nearly none to several. Inverting the formula turns noisy tails
// of very different size into loads that add up, so that the factors can be
// learned by linear regression.
const (
	// idleTail is the tail latency of an unloaded standing task as a share of
	// its target: targets are five times the idle latency.
	idleTail = 0.2
	// mostLoad is the highest load told apart: tails are 20 times the idle one.
	mostLoad = 0.95
	// firstFactor and firstVariance are the belief about a pair not seen yet.
	// About half of the pairs press by next to nothing and the others by 1 to 2.5.
	firstFactor   = 1.2
	firstVariance = 0.6
	// mostFactor bounds beliefs; no higher factor was seen.
	mostFactor = 5.0
	// leastVariance and driftVariance, the latter a second, keep beliefs open to
	// change. What a pair adds changes with the use, not by itself: factors stayed
	// what they were over a whole day, so they are remembered for minutes.
	leastVariance = 0.01
	driftVariance = 0.001
	// loadNoise is the variance of a load computed from one figure. Figures that
	// follow each other within half a second share most of what they are taken over.
	loadNoise = 0.004
	// cautious is how many standard deviations a factor is taken above its mean.
	cautious = 0.3
	// observeInterval is the least time between figures that are learned from.
	observeInterval = 100 * time.Millisecond
)

// pair is an image of tasks that fill and one of standing tasks.
type pair struct {
	filling, standing string
}

// factor is the belief about a pair: the load added to a standing task by one
// whole VM of the filling image.
type factor struct {
	mean, variance float64
	at             time.Duration
}

// pressures holds the factors of all pairs.
type pressures struct {
	factors map[pair]factor
}

func newPressures() *pressures {
	return &pressures{factors: make(map[pair]factor)}
}

// loadOf returns the load of a standing task by its tail as a share of its target.
func loadOf(tail float64) float64 {
	if tail <= idleTail {
		return 0
	}
	return min(mostLoad, 1-idleTail/tail)
}

func (p *pressures) get(now time.Duration, k pair) factor {
	f, ok := p.factors[k]
	if !ok {
		return factor{firstFactor, firstVariance, now}
	}
	f.variance = min(firstVariance, f.variance+driftVariance*(now-f.at).Seconds())
	return f
}

// expected returns the factor to count with.
func (p *pressures) expected(now time.Duration, k pair) float64 {
	f := p.get(now, k)
	return max(0, f.mean+cautious*math.Sqrt(f.variance))
}

// learn takes the load of a standing task with the shares of its VM that filling
// images use beside it. It is a Kalman filter over the users' load and the
// factors, taken for independent, so that the surprise falls on what is known
// least and counts most. A load at mostLoad is a lower bound.
func (p *pressures) learn(now time.Duration, own *usersLoad, standing string, use []imageUse, load float64) {
	predicted, variance := own.mean, loadNoise+own.variance
	for _, u := range use {
		f := p.get(now, pair{u.image, standing})
		predicted += f.mean * u.share
		variance += f.variance * u.share * u.share
	}
	surprise := load - predicted
	if load >= mostLoad && surprise < 0 {
		return
	}
	for _, u := range use {
		k := pair{u.image, standing}
		f := p.get(now, k)
		gain := f.variance * u.share / variance
		f.mean = min(mostFactor, max(0, f.mean+gain*surprise))
		f.variance = max(leastVariance, f.variance*(1-gain*u.share))
		f.at = now
		p.factors[k] = f
	}
	own.update(surprise, own.variance/variance)
}

// imageUse is the share of a VM's processors that the tasks of an image use.
type imageUse struct {
	image string
	share float64
}

// uses returns what the tasks that fill a VM use, by image.
func (v *vm) uses() []imageUse {
	var uses []imageUse
	for _, t := range v.tasks {
		if t.phase == phaseRunning && t.step.spec.Fills && t.figure > 0 {
			uses = addUse(uses, t.step.spec.Image, t.figure/v.processors())
		}
	}
	return uses
}

func addUse(uses []imageUse, image string, share float64) []imageUse {
	for i := range uses {
		if uses[i].image == image {
			uses[i].share += share
			return uses
		}
	}
	return append(uses, imageUse{image, share})
}

func (v *vm) processors() float64 {
	return float64(max(1, v.up.Capacity.MilliCPU))
}

// standingAtWork is the progress of a standing task that is at work.
const standingAtWork = 100

// tail returns the tail latency of a standing task as a share of its target.
func (t *task) tail() float64 {
	return t.figure * float64(time.Millisecond) / float64(t.step.spec.TailTarget)
}

// watched reports whether the task is a standing one whose tail is known.
func (t *task) watched() bool {
	return t.phase == phaseRunning && t.step.spec.TailTarget > 0 && t.progress == standingAtWork && t.figure > 0
}

// observe learns from the figures of a VM. A worker renews them a few times a
// second, and a figure that was read twice says nothing new.
func (o *Owner) observe(v *vm) {
	if o.now < v.observedAt+observeInterval {
		return
	}
	v.observedAt = o.now
	if o.now < v.slowUntil || o.tailsUnexplained(v) {
		return // a slow worker says nothing about the load of users
	}
	uses := v.uses()
	for _, t := range v.tasks {
		if t.watched() && t.learned != t.figure {
			t.learned = t.figure
			t.step.users.predict(o.now)
			o.pressures.learn(o.now, &t.step.users, t.step.spec.Image, uses, loadOf(t.tail()))
		}
	}
}

// pressed returns the load that filling images add to a standing one.
func (o *Owner) pressed(standing string, uses []imageUse, careful bool) float64 {
	sum := 0.0
	for _, u := range uses {
		k := pair{u.image, standing}
		if careful {
			sum += u.share * o.pressures.expected(o.now, k)
		} else {
			sum += u.share * o.pressures.get(o.now, k).mean
		}
	}
	return sum
}

// Loads that the users of standing tasks cause.
const (
	// leastOwnLoad and mostOwnLoad bound the estimates.
	leastOwnLoad = 0.15
	mostOwnLoad  = 0.72
	// unknownLoad and unknownVariance are the belief before the first figure.
	unknownLoad     = 0.45
	unknownVariance = 0.03
	// usersDrift is the variance that a second adds: loads swing by half of
	// themselves over 20 s.
	usersDrift = 0.004
	// trendTime is the time over which the change of the load is taken.
	trendTime = time.Second
)

// usersLoad estimates the load that the users of a step's standing tasks cause;
// the tasks share their users.
type usersLoad struct {
	mean, variance float64
	at             time.Duration
	// trend is the change a second; past is the mean at pastAt.
	trend, past float64
	pastAt      time.Duration
}

// predict ages the estimate.
func (u *usersLoad) predict(now time.Duration) {
	if u.at == 0 {
		u.mean, u.variance, u.past, u.pastAt = unknownLoad, unknownVariance, unknownLoad, now
	} else {
		u.variance = min(unknownVariance, u.variance+usersDrift*(now-u.at).Seconds())
	}
	u.at = now
	if since := now - u.pastAt; since >= trendTime {
		u.trend = (u.mean - u.past) / since.Seconds()
		u.past, u.pastAt = u.mean, now
	}
}

func (u *usersLoad) update(surprise, gain float64) {
	u.mean = min(mostOwnLoad, max(leastOwnLoad, u.mean+gain*surprise))
	u.variance *= 1 - gain
}

// load returns the load that the users of a step's standing tasks cause.
func (s *step) load() float64 {
	if s.users.at == 0 {
		return unknownLoad
	}
	return s.users.mean
}
