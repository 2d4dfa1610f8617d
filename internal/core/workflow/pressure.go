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
	// maxLoad is the highest load told apart: tails are 20 times the idle one.
	maxLoad = 0.95
	// priorFactor and priorVariance are the belief about a pair not seen yet.
	// About half of the pairs press by next to nothing and the others by 1 to 2.5.
	priorFactor   = 1.2
	priorVariance = 0.6
	// maxFactor bounds beliefs; no higher factor was seen.
	maxFactor = 5.0
	// minVariance and driftVariance, the latter a second, keep beliefs open to
	// change. What a pair adds changes with the use, not by itself: factors stayed
	// what they were over a whole day, so they are remembered for minutes.
	minVariance   = 0.01
	driftVariance = 0.001
	// loadNoise is the variance of a load computed from one figure. Figures that
	// follow each other within half a second share most of what they are taken over.
	loadNoise = 0.004
	// factorMargin is how many standard deviations a factor is taken above its mean.
	factorMargin = 0.3
	// minObserveInterval is the least time between figures that are learned from.
	minObserveInterval = 100 * time.Millisecond
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

// interference holds the factors of all pairs.
type interference struct {
	factors map[pair]factor
}

func newInterference() *interference {
	return &interference{factors: make(map[pair]factor)}
}

// loadOfTail returns the load of a standing task by its tail as a share of its target.
func loadOfTail(tail float64) float64 {
	if tail <= idleTail {
		return 0
	}
	return min(maxLoad, 1-idleTail/tail)
}

func (p *interference) get(now time.Duration, k pair) factor {
	f, ok := p.factors[k]
	if !ok {
		return factor{priorFactor, priorVariance, now}
	}
	f.variance = min(priorVariance, f.variance+driftVariance*(now-f.at).Seconds())
	return f
}

// expected returns the factor to count with.
func (p *interference) expected(now time.Duration, k pair) float64 {
	f := p.get(now, k)
	return max(0, f.mean+factorMargin*math.Sqrt(f.variance))
}

// learn takes the load of a standing task with the shares of its VM that filling
// images use beside it. It is a Kalman filter over the users' load and the
// factors, taken for independent, so that the surprise falls on what is known
// least and counts most. A load at maxLoad is a lower bound.
func (p *interference) learn(now time.Duration, users *usersLoad, standing string, use []imageUse, load float64) {
	predicted, variance := users.mean, loadNoise+users.variance
	for _, u := range use {
		f := p.get(now, pair{u.image, standing})
		predicted += f.mean * u.share
		variance += f.variance * u.share * u.share
	}
	innovation := load - predicted
	if load >= maxLoad && innovation < 0 {
		return
	}
	for _, u := range use {
		k := pair{u.image, standing}
		f := p.get(now, k)
		gain := f.variance * u.share / variance
		f.mean = min(maxFactor, max(0, f.mean+gain*innovation))
		f.variance = max(minVariance, f.variance*(1-gain*u.share))
		f.at = now
		p.factors[k] = f
	}
	users.update(innovation, users.variance/variance)
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
	return float64(max(1, v.upstream.Capacity.MilliCPU))
}

// progressServing is the progress of a standing task that is at work.
const progressServing = 100

// tail returns the tail latency of a standing task as a share of its target.
func (t *task) tail() float64 {
	return t.figure * float64(time.Millisecond) / float64(t.step.spec.TailTarget)
}

// tailKnown reports whether the task is a standing one whose tail is known.
func (t *task) tailKnown() bool {
	return t.phase == phaseRunning && t.step.spec.TailTarget > 0 && t.progress == progressServing && t.figure > 0
}

// observe learns from the figures of a VM. A worker renews them a few times a
// second, and a figure that was read twice says nothing new.
func (o *Owner) observe(v *vm) {
	if o.now < v.observedAt+minObserveInterval {
		return
	}
	v.observedAt = o.now
	if o.now < v.slowUntil || o.tailsUnexplained(v) {
		return // a slow worker says nothing about the load of users
	}
	uses := v.uses()
	for _, t := range v.tasks {
		if t.tailKnown() && t.learnedFigure != t.figure {
			t.learnedFigure = t.figure
			t.step.users.predict(o.now)
			o.interference.learn(o.now, &t.step.users, t.step.spec.Image, uses, loadOfTail(t.tail()))
		}
	}
}

// addedLoad returns the load that filling images add to a standing one.
func (o *Owner) addedLoad(standing string, uses []imageUse, withMargin bool) float64 {
	sum := 0.0
	for _, u := range uses {
		k := pair{u.image, standing}
		if withMargin {
			sum += u.share * o.interference.expected(o.now, k)
		} else {
			sum += u.share * o.interference.get(o.now, k).mean
		}
	}
	return sum
}

// Loads that the users of standing tasks cause.
const (
	// minUsersLoad and maxUsersLoad bound the estimates.
	minUsersLoad = 0.15
	maxUsersLoad = 0.72
	// priorUsersLoad and priorUsersVariance are the belief before the first figure.
	priorUsersLoad     = 0.45
	priorUsersVariance = 0.03
	// usersDriftVariance is the variance that a second adds: loads swing by half of
	// themselves over 20 s.
	usersDriftVariance = 0.004
	// trendInterval is the time over which the change of the load is taken.
	trendInterval = time.Second
)

// usersLoad estimates the load that the users of a step's standing tasks cause;
// the tasks share their users.
type usersLoad struct {
	mean, variance float64
	at             time.Duration
	// trend is the change a second; past is the mean at trendBaseAt.
	trend, trendBase float64
	trendBaseAt      time.Duration
}

// predict ages the estimate.
func (u *usersLoad) predict(now time.Duration) {
	if u.at == 0 {
		u.mean, u.variance, u.trendBase, u.trendBaseAt = priorUsersLoad, priorUsersVariance, priorUsersLoad, now
	} else {
		u.variance = min(priorUsersVariance, u.variance+usersDriftVariance*(now-u.at).Seconds())
	}
	u.at = now
	if since := now - u.trendBaseAt; since >= trendInterval {
		u.trend = (u.mean - u.trendBase) / since.Seconds()
		u.trendBase, u.trendBaseAt = u.mean, now
	}
}

func (u *usersLoad) update(innovation, gain float64) {
	u.mean = min(maxUsersLoad, max(minUsersLoad, u.mean+gain*innovation))
	u.variance *= 1 - gain
}

// load returns the load that the users of a step's standing tasks cause.
func (s *step) load() float64 {
	if s.users.at == 0 {
		return priorUsersLoad
	}
	return s.users.mean
}
