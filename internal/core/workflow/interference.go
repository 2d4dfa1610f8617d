package workflow

import (
	"math"
	"time"
)

// Model of the interference of filling tasks with standing tasks on the same
// VM.
//
// The tail latency of a standing task follows the formula of an M/M/1 queue:
// the idle tail divided by one minus the load. Filling tasks add to that load
// in proportion to the processors they use. The factor depends on the pair of
// images and ranges from almost 0 to several. Inverting the formula turns noisy
// tails of very different size into loads that add up, so the factors can be
// learned by linear regression.
const (
	// idleTail is the tail latency of an unloaded standing task as a share of
	// its target: targets are five times the idle latency.
	idleTail = 0.2
	// maxLoad is the highest load that can be resolved: at this load the tail
	// is 20 times the idle one.
	maxLoad = 0.95
	// priorFactor and priorVariance are the estimate for a pair without any
	// measurement. About half of the pairs have a factor near zero, the others
	// 1 to 2.5.
	priorFactor   = 1.2
	priorVariance = 0.6
	// maxFactor limits the estimates; higher factors have not been observed.
	maxFactor = 5.0
	// minVariance is the lower bound of the variance, which keeps estimates
	// adaptable. driftVariance is the increase of the variance per second. It
	// is small enough for an estimate to last for minutes: the added load
	// varies with the processor use, but the factors stay constant over a whole
	// day.
	minVariance   = 0.01
	driftVariance = 0.001
	// loadNoise is the variance of a load computed from one measurement.
	// Measurements that follow each other within half a second cover mostly the
	// same time, so each counts for less than an independent one would.
	loadNoise = 0.004
	// factorMargin is the number of standard deviations added to a factor's
	// mean where decisions are based on it.
	factorMargin = 0.3
	// minObserveInterval is the shortest time between measurements that are
	// learned from.
	minObserveInterval = 100 * time.Millisecond
)

// imagePair is an image of filling tasks and an image of standing tasks.
type imagePair struct {
	filling, standing string
}

// factor is the estimate for a pair: the load added to a standing task by
// filling tasks of the image that use one whole VM.
type factor struct {
	mean, variance float64
	at             time.Duration
}

// interference holds the factors of all pairs.
type interference struct {
	factors map[imagePair]factor
}

func newInterference() *interference {
	return &interference{factors: make(map[imagePair]factor)}
}

// loadOfTail returns the load of a standing task, given its tail latency as a
// share of its target.
func loadOfTail(tail float64) float64 {
	if tail <= idleTail {
		return 0
	}
	return min(maxLoad, 1-idleTail/tail)
}

func (in *interference) get(now time.Duration, k imagePair) factor {
	f, ok := in.factors[k]
	if !ok {
		return factor{priorFactor, priorVariance, now}
	}
	f.variance = min(priorVariance, f.variance+driftVariance*(now-f.at).Seconds())
	return f
}

// expected returns the factor to base decisions on, including the margin.
func (in *interference) expected(now time.Duration, k imagePair) float64 {
	f := in.get(now, k)
	return max(0, f.mean+factorMargin*math.Sqrt(f.variance))
}

// learn updates the estimates from the load of a standing task and the shares
// of its VM that filling images use. It is a Kalman filter over the users' load
// and the factors, which are taken as independent, so the innovation mostly
// corrects the estimates with the highest variance and the largest share. A
// load of maxLoad is only a lower bound.
func (in *interference) learn(now time.Duration, users *usersLoad, standing string, use []imageUse, load float64) {
	predicted, variance := users.mean, loadNoise+users.variance
	for _, u := range use {
		f := in.get(now, imagePair{u.image, standing})
		predicted += f.mean * u.share
		variance += f.variance * u.share * u.share
	}
	innovation := load - predicted
	if load >= maxLoad && innovation < 0 {
		return
	}
	for _, u := range use {
		k := imagePair{u.image, standing}
		f := in.get(now, k)
		gain := f.variance * u.share / variance
		f.mean = min(maxFactor, max(0, f.mean+gain*innovation))
		f.variance = max(minVariance, f.variance*(1-gain*u.share))
		f.at = now
		in.factors[k] = f
	}
	users.update(innovation, users.variance/variance)
}

// imageUse is the share of a VM's processors that the tasks of an image use.
type imageUse struct {
	image string
	share float64
}

// anyTask selects all tasks for uses.
func anyTask(*task) bool { return true }

// uses returns the measured processor use of the selected filling tasks on the VM, by
// image.
func (v *vm) uses(selected func(*task) bool) []imageUse {
	var uses []imageUse
	for _, t := range v.tasks {
		if t.phase == phaseRunning && t.step.spec.Fills && t.measurement > 0 && selected(t) {
			uses = addUse(uses, t.step.spec.Image, t.measurement/v.processors())
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

// progressServing is the progress of a standing task that is serving.
const progressServing = 100

// tail returns the tail latency of a standing task as a share of its target.
func (t *task) tail() float64 {
	return t.measurement * float64(time.Millisecond) / float64(t.step.spec.TailTarget)
}

// tailKnown reports whether the task is serving and has a tail target and a
// measured tail latency.
func (t *task) tailKnown() bool {
	return t.phase == phaseRunning && t.step.spec.TailTarget > 0 && t.progress == progressServing && t.measurement > 0
}

// observe learns from the measurements of a VM. A worker renews them a few
// times a second; the same measurement read twice is skipped.
func (o *Owner) observe(v *vm) {
	if o.now < v.observedAt+minObserveInterval {
		return
	}
	v.observedAt = o.now
	if o.now < v.slowUntil || o.tailsUnexplained(v) {
		return // tails on a slow worker do not show the load of users
	}
	uses := v.uses(anyTask)
	for _, t := range v.tasks {
		if t.tailKnown() && t.learnedMeasurement != t.measurement {
			t.learnedMeasurement = t.measurement
			t.step.users.predict(o.now)
			o.interference.learn(o.now, &t.step.users, t.step.spec.Image, uses, loadOfTail(t.tail()))
		}
	}
}

// addedLoad returns the load that filling images add to a standing image,
// computed from the factors with their margin.
func (o *Owner) addedLoad(standing string, uses []imageUse) float64 {
	sum := 0.0
	for _, u := range uses {
		sum += u.share * o.interference.expected(o.now, imagePair{u.image, standing})
	}
	return sum
}

// Estimates of the load that the users of standing tasks cause.
const (
	// minUsersLoad and maxUsersLoad limit the estimates.
	minUsersLoad = 0.15
	maxUsersLoad = 0.72
	// priorUsersLoad and priorUsersVariance are the estimate before the first
	// measurement.
	priorUsersLoad     = 0.45
	priorUsersVariance = 0.03
	// usersDriftVariance is the increase of the variance per second: loads
	// swing by half of their value over 20 s.
	usersDriftVariance = 0.004
	// trendInterval is the time over which the change of the load is measured.
	trendInterval = time.Second
)

// usersLoad estimates the load that the users of a step's standing tasks cause.
// The tasks of a step share their users.
type usersLoad struct {
	mean, variance float64
	at             time.Duration
	// trend is the change per second; trendBase is the mean at trendBaseAt.
	trend, trendBase float64
	trendBaseAt      time.Duration
}

// predict advances the estimate to now.
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

// expectedUsersLoad returns the estimated load that the users of a step's
// standing tasks cause, without the load that filling tasks add.
func (s *step) expectedUsersLoad() float64 {
	if s.users.at == 0 {
		return priorUsersLoad
	}
	return s.users.mean
}
