package benchpolicy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Service times without interference: log-normal with a share of outliers
// that follow a Pareto distribution.
const (
	medianService = 200 * time.Millisecond
	serviceSigma  = 0.6
	outlierShare  = 0.005
	outlierAlpha  = 1.5
	outlierMin    = 2.0
	outlierMax    = 10.0
	// deadline is the limit of an urgent request.
	deadline = 2 * time.Second
	// soloTail is the 99th percentile of service times without interference,
	// declared to the policy with the deadline.
	soloTail = 830 * time.Millisecond
)

// vmState is the truth about one VM.
type vmState struct {
	up bool
	// freeAt holds, per slot, when its request ends.
	freeAt   [slotsPerVM]time.Duration
	slowdown float64
	// batchSpeed is the speed of batch tasks under processor contention.
	batchSpeed float64
	running    []*task
	// samples are service times of the current measured interval.
	samples []time.Duration
	busySum float64
}

// busySlots is the number of slots in use.
func (v *vmState) busySlots(now time.Duration) int {
	n := 0
	for _, at := range v.freeAt {
		if at > now {
			n++
		}
	}
	return n
}

// currentMemory is a task's true use of memory: it grows over the first third of
// its work.
func (t *task) currentMemory() float64 {
	part := 3 * float64(t.progress) / float64(t.work)
	return t.memory * min(0.3+0.7*part, 1)
}

// updateInterference computes the interference on one VM: what each kind adds in
// proportion to its use of processors, more under load, and contention when
// the processors are overcommitted.
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

// serve runs one request on the VM and returns its latency with queueing. One
// whose deadline passes before a slot is free is refused, as workers do; its
// latency counts as if it had run, without holding the slot.
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

// memoryVictim returns the task to kill when the VM's memory is exhausted: the one
// that uses most beyond its reservation. The runtime of every VM does this.
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

// takeMedian returns the median of the interval's samples and the mean load,
// and starts a new interval. ok is false when too few requests were served.
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
