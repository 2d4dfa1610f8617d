package benchpolicy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Service times without interference follow a log-normal distribution, with a
// share of outliers that are multiplied by a Pareto-distributed factor.
const (
	medianService = 200 * time.Millisecond
	serviceSigma  = 0.6
	outlierShare  = 0.005
	outlierAlpha  = 1.5
	outlierMin    = 2.0
	outlierMax    = 10.0
	// deadline is the latency limit of an urgent request.
	deadline = 2 * time.Second
	// soloTail is the 99th percentile of service times without interference.
	// The policy gets the ratio of deadline to soloTail as the tolerated
	// slowdown.
	soloTail = 830 * time.Millisecond
)

// vmState is the simulated state of one VM.
type vmState struct {
	up bool
	// freeAt holds the time at which the last request of each slot ends.
	freeAt   [slotsPerVM]time.Duration
	slowdown float64
	// batchSpeed is the speed of batch tasks under processor contention.
	batchSpeed float64
	running    []*task
	// samples holds the service times of the current measurement interval.
	samples []time.Duration
	busySum float64
}

// busySlots returns the number of slots in use.
func (v *vmState) busySlots(now time.Duration) int {
	n := 0
	for _, at := range v.freeAt {
		if at > now {
			n++
		}
	}
	return n
}

// currentMemory returns the actual memory use of a task, in bytes. It grows
// over the first third of the work.
func (t *task) currentMemory() float64 {
	part := 3 * float64(t.progress) / float64(t.work)
	return t.memory * min(0.3+0.7*part, 1)
}

// updateInterference computes the slowdown on a VM. Each kind adds to it in
// proportion to its processor use, by a factor from 0.7 without load to 1.3 at
// full load. When the processors are overcommitted, contention adds 1.5 times
// the excess and slows batch tasks. updateInterference also adds the load to
// busySum.
func (v *vmState) updateInterference(now time.Duration, d *Deployment, kinds []kind, inWave []bool) {
	load := float64(v.busySlots(now)) / slotsPerVM
	v.busySum += load
	cores := float64(d.Cores)
	used := load * float64(d.ServiceSize.MilliCPU) / 1000
	var addedSlowdown float64
	for _, t := range v.running {
		use := t.cores * t.speed
		used += use
		k := &kinds[t.kind]
		if inWave[t.kind] {
			addedSlowdown += k.addedSlowdownInWave * use / cores
		} else {
			addedSlowdown += k.addedSlowdown * use / cores
		}
	}
	v.slowdown = 1 + addedSlowdown*(0.7+0.6*load)
	v.batchSpeed = 1
	if used > cores {
		v.slowdown += 1.5 * (used/cores - 1)
		v.batchSpeed = cores / used
	}
}

// serve runs one request on the VM and returns its latency including queueing.
// Like a worker, it refuses a request whose deadline passes before a slot is
// free. The latency of a refused request counts as if it had run, but it
// occupies no slot.
func (v *vmState) serve(at time.Duration, service time.Duration) time.Duration {
	slot := 0
	for i := 1; i < slotsPerVM; i++ {
		if v.freeAt[i] < v.freeAt[slot] {
			slot = i
		}
	}
	begin := max(at, v.freeAt[slot])
	took := time.Duration(float64(service) * v.slowdown)
	if begin-at > deadline {
		return begin + took - at
	}
	v.freeAt[slot] = begin + took
	v.samples = append(v.samples, took)
	return begin + took - at
}

// drawService draws a service time without interference. It always takes the
// same number of values from rng, so that all policies see the same requests.
func drawService(rng *rand.Rand) time.Duration {
	z, u, p := rng.NormFloat64(), rng.Float64(), rng.Float64()
	s := float64(medianService) * math.Exp(serviceSigma*z)
	if u < outlierShare {
		s *= min(outlierMin*math.Pow(1-p, -1/outlierAlpha), outlierMax)
	}
	return time.Duration(s)
}

// memoryVictim returns the task that the runtime kills when the VM's memory is
// exhausted, which is the one that exceeds its reservation most. It returns nil
// if the memory suffices.
func (v *vmState) memoryVictim(d *Deployment, reserved func(*task) float64) *task {
	used := float64(d.ServiceSize.MemoryBytes)
	for _, t := range v.running {
		used += t.currentMemory()
	}
	if used <= float64(d.Memory) {
		return nil
	}
	var worst *task
	var worstBy float64
	for _, t := range v.running {
		if by := t.currentMemory() - reserved(t); worst == nil || by > worstBy {
			worst, worstBy = t, by
		}
	}
	return worst
}

// takeMedian returns the median service time and the mean load of the current
// interval of the given length, and starts a new interval. ok is false if fewer
// than 5 requests were served. busySum has one value for each tick of 1 s, so
// its sum divided by the seconds is the mean.
func (v *vmState) takeMedian(seconds float64) (median time.Duration, load float64, ok bool) {
	load = v.busySum / seconds
	v.busySum = 0
	if len(v.samples) < 5 {
		v.samples = v.samples[:0]
		return 0, load, false
	}
	slices.Sort(v.samples)
	median = v.samples[len(v.samples)/2]
	v.samples = v.samples[:0]
	return median, load, true
}
