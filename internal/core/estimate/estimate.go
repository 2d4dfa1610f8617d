// Package estimate learns the sizes and run times of job kinds.
//
// Declared values are priors. Samples are run times and peaks of use. Tasks
// that still run or were interrupted count as censored samples, whose true
// value is at least the observed one. Usage reports may arrive late, even after
// the task has ended. Reservations are raised at once and lowered slowly, and
// never below the observed use of the running task.
//
// An Estimator is not safe for concurrent use.
package estimate

import (
	"math"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Options configure an Estimator. The zero value of a field means its default.
type Options struct {
	// HalfLife is the time after which a sample counts half. Default 3 days, so
	// that the use of one week replaces that of the previous week.
	HalfLife time.Duration
	// CPUQuantile is the share of tasks whose processor peak a reservation
	// covers. Default 0.5: the processor use of the tasks on a VM averages out,
	// and a task that lacks processors runs slower but does not fail.
	CPUQuantile float64
	// MemoryQuantile is the share of tasks whose memory peak a reservation
	// covers. Default 0.98; a task above it may fail.
	MemoryQuantile float64
	// MaxKinds bounds the number of job kinds with learned data. Default 1024.
	MaxKinds int
}

const (
	// memoryMargin is the factor by which memory reservations exceed the
	// observed peak. Processor reservations have no margin, because the peak of
	// noisy reports is already above the mean.
	memoryMargin = 1.1
	// priorWeightUp and priorWeightDown are the weights, in samples, of
	// declared values against learned ones that are larger or smaller. A
	// reservation that is too small harms other tasks on the VM; one that is
	// too large only wastes capacity.
	priorWeightUp   = 0.5
	priorWeightDown = 4.0
	// lowerThreshold, lowerHold and lowerStep define the hysteresis: a
	// reservation is lowered when the target has been below lowerThreshold of
	// it for lowerHold, each time to no less than lowerStep of its value.
	lowerThreshold = 0.92
	lowerHold      = 5 * time.Minute
	lowerStep      = 0.75
	// peakStableTime is how long the peak of a running task must go without a
	// clear rise before the reservation follows the peak instead of the learned
	// size of the kind.
	peakStableTime = 10 * time.Minute
	// lateReportWindow is how long usage reports of a task are accepted after
	// its end. Reports are up to 30 s late.
	lateReportWindow = time.Minute
	// If censoring hides the quantile, RunTime multiplies the largest counted
	// value, a lower bound of the quantile, by censoredFactor.
	censoredFactor = 1.5
)

// End is the way in which an attempt ended.
type End uint8

// Ends of an attempt.
const (
	// EndCompleted: the task finished; its run time and peaks are complete.
	EndCompleted End = iota + 1
	// EndInterrupted: the attempt was evicted, cancelled, lost or failed; its
	// values are lower bounds.
	EndInterrupted
)

// Change is a new reservation to apply to a running task.
type Change struct {
	Task     types.TaskID
	Reserved types.Resources
}

type kind struct {
	cpu, memory, runTime survival
	size                 reservation
	usedAt               time.Duration

	cpuQuantile, memoryQuantile, runQuantile cachedQuantile
}

// reservation is a reserved size that changes with hysteresis.
type reservation struct {
	value types.Resources
	set   bool
	// low is set while the target is below lowerThreshold of value, since
	// lowSince.
	lowSince time.Duration
	low      bool
}

type task struct {
	kind                  string
	declared              types.Resources
	started, priorRunTime time.Duration
	peak                  types.Resources
	peakRoseAt            time.Duration // time of the last clear rise of peak
	size                  reservation
	endedAt               time.Duration
	end                   End
	cpu, memory, runTime  lowerBound
}

// Estimator holds the learned data of job kinds, and the running tasks.
type Estimator struct {
	opt   Options
	kinds map[string]*kind
	tasks map[types.TaskID]*task
}

// New returns an estimator without learned data.
func New(opt Options) *Estimator {
	if opt.HalfLife == 0 {
		opt.HalfLife = 72 * time.Hour
	}
	if opt.CPUQuantile == 0 {
		opt.CPUQuantile = 0.5
	}
	if opt.MemoryQuantile == 0 {
		opt.MemoryQuantile = 0.98
	}
	if opt.MaxKinds == 0 {
		opt.MaxKinds = 1024
	}
	return &Estimator{opt: opt, kinds: make(map[string]*kind), tasks: make(map[types.TaskID]*task)}
}

// Size returns the amount to reserve for a new task of a kind.
func (e *Estimator) Size(now time.Duration, kindName string, declared types.Resources) types.Resources {
	k := e.kind(now, kindName)
	target := e.target(now, k, declared)
	if k.hasNoSamples() {
		return target // Until a sample exists, each declaration applies on its own.
	}
	k.size.adjust(now, target, types.Resources{})
	out := k.size.value
	out.Accelerators = declared.Accelerators
	return out
}

func (k *kind) hasNoSamples() bool {
	return k.cpu.Weight == 0 && k.memory.Weight == 0
}

// target returns the size to reserve for a task of a kind, blended from the
// learned quantiles and the declared size.
func (e *Estimator) target(now time.Duration, k *kind, declared types.Resources) types.Resources {
	k.cpu.decay(now, e.opt.HalfLife)
	k.memory.decay(now, e.opt.HalfLife)
	return types.Resources{
		MilliCPU:     blend(&k.cpu, &k.cpuQuantile, e.opt.CPUQuantile, 1, float64(declared.MilliCPU)),
		MemoryBytes:  blend(&k.memory, &k.memoryQuantile, e.opt.MemoryQuantile, memoryMargin, float64(declared.MemoryBytes)),
		Accelerators: declared.Accelerators,
	}
}

// blend returns the geometric mean of the declared value and the learned
// quantile times factor, weighted by the prior and the number of samples.
func blend(s *survival, c *cachedQuantile, q, factor, declared float64) int64 {
	v, reached := c.get(s, q)
	n := s.Weight
	if !reached {
		// Lower bounds raise the declared value but never lower it.
		return int64(math.Ceil(max(declared, v)))
	}
	v *= factor
	if declared <= 0 {
		return int64(math.Ceil(v))
	}
	prior := priorWeightDown
	if v > declared {
		prior = priorWeightUp
	}
	log := (prior*math.Log(declared) + n*math.Log(v)) / (prior + n)
	return int64(math.Ceil(math.Exp(log)))
}

// adjust raises the value to target at once, or lowers it slowly, never below
// floor. It reports whether the value changed.
func (h *reservation) adjust(now time.Duration, target, floor types.Resources) bool {
	target = target.Max(floor)
	before := h.value
	if !h.set {
		h.value, h.set = target, true
		return true
	}
	h.value = h.value.Max(target)
	if !belowThreshold(target, h.value) {
		h.low = false
		return h.value != before
	}
	if !h.low {
		h.low, h.lowSince = true, now
	}
	if now-h.lowSince >= lowerHold {
		h.value = target.Max(scale(h.value, lowerStep))
		h.low = false
	}
	return h.value != before
}

// withMargin adds memoryMargin to the memory of an observed peak.
func withMargin(r types.Resources) types.Resources {
	r.MemoryBytes = int64(math.Ceil(float64(r.MemoryBytes) * memoryMargin))
	return r
}

// belowThreshold reports whether the target is below lowerThreshold of value in
// processors or memory.
func belowThreshold(target, value types.Resources) bool {
	return float64(target.MilliCPU) < lowerThreshold*float64(value.MilliCPU) ||
		float64(target.MemoryBytes) < lowerThreshold*float64(value.MemoryBytes)
}

func scale(r types.Resources, f float64) types.Resources {
	return types.Resources{
		MilliCPU:     int64(math.Ceil(float64(r.MilliCPU) * f)),
		MemoryBytes:  int64(math.Ceil(float64(r.MemoryBytes) * f)),
		Accelerators: r.Accelerators,
	}
}

// RunTime returns quantile q of the remaining run time of a task that has run
// for elapsed. Without samples, it returns the rest of the declared time, or
// elapsed if the declared time has passed.
func (e *Estimator) RunTime(now time.Duration, kindName string, declared, elapsed time.Duration, q float64) time.Duration {
	k := e.kind(now, kindName)
	k.runTime.decay(now, e.opt.HalfLife)
	n := k.runTime.Weight
	prior := declared - elapsed
	if prior <= 0 {
		prior = elapsed
	}
	v, reached := 0.0, false
	if elapsed <= 0 {
		v, reached = k.runQuantile.get(&k.runTime, q)
	} else {
		v, reached = k.runTime.quantile(q, seconds(elapsed))
	}
	if n == 0 && !reached {
		return prior
	}
	if !reached {
		v = max(v, seconds(elapsed)) * censoredFactor
	}
	learned := max(v-seconds(elapsed), 1)
	if prior <= 0 {
		return time.Duration(learned * float64(time.Second))
	}
	log := (math.Log(seconds(prior)) + n*math.Log(learned)) / (1 + n)
	return time.Duration(math.Exp(log) * float64(time.Second))
}

func seconds(d time.Duration) float64 {
	return d.Seconds()
}

// kind returns the model of a kind. A new kind replaces the least recently used
// one when there are MaxKinds.
func (e *Estimator) kind(now time.Duration, name string) *kind {
	k := e.kinds[name]
	if k == nil {
		if len(e.kinds) >= e.opt.MaxKinds {
			e.removeLeastRecentlyUsedKind()
		}
		k = &kind{}
		e.kinds[name] = k
	}
	k.usedAt = now
	return k
}

func (e *Estimator) removeLeastRecentlyUsedKind() {
	var oldest string
	found := false
	for name, k := range e.kinds {
		if !found || k.usedAt < e.kinds[oldest].usedAt || k.usedAt == e.kinds[oldest].usedAt && name < oldest {
			oldest, found = name, true
		}
	}
	delete(e.kinds, oldest)
}
