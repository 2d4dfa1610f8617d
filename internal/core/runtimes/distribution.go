package runtimes

import "math"

const (
	// binsPerDoubling gives bins of 12%, less than what the run times of equal tasks
	// differ by.
	binsPerDoubling = 6
	// doublings is the range of ratios in powers of two, up and down. Requested times are
	// off by a factor of up to 10, and tails are 7 times as long.
	doublings = 7
	bins      = 2 * doublings * binsPerDoubling
	// memory is the number of tasks after which a task has lost most of its weight. A tail
	// of 3% has 15 of them.
	memory = 500
	// minTasks is the least number of tasks with which the distribution is used. Below, a
	// tail of 3% has usually not shown yet.
	minTasks = 30
	// unseenWeight is the weight, in tasks, of the assumption that a run lasts for
	// 1+unseenTail times as long as it has lasted. It decides where no longer run is
	// known. This is the mean of a power law with exponent 2, and keeps the answer finite
	// for any heavier tail.
	unseenWeight = 1.0
	unseenTail   = 1.0
	// maxTasks limits the number of runs in Max, so that powers stay accurate.
	maxTasks = 1 << 20
)

// bounds holds the lower bounds of the bins, and the upper bound of the last one.
var bounds = func() (b [bins + 1]float64) {
	for i := range b {
		b[i] = math.Exp2(float64(i)/binsPerDoubling - doublings)
	}
	return b
}()

// Distribution is the distribution of the ratios of one kind of tasks. The zero value and
// nil have learned nothing.
type Distribution struct {
	weights [bins]float64
	// total is the sum of the weights, tasks that of the learned tasks.
	total, tasks float64
	usedAt       uint64
}

// binOf returns the bin of a ratio. Ratios out of range are in the first or last bin.
func binOf(ratio float64) int {
	if !(ratio > bounds[0]) {
		return 0
	}
	return min(bins-1, int((math.Log2(min(ratio, bounds[bins]))+doublings)*binsPerDoubling))
}

func middle(bin int) float64 { return (bounds[bin] + bounds[bin+1]) / 2 }

// decay makes room for one more task.
func (d *Distribution) decay() {
	const keep = 1 - 1.0/memory
	for i := range d.weights {
		d.weights[i] *= keep
	}
	d.total *= keep
	d.tasks = d.tasks*keep + 1
}

func (d *Distribution) add(bin int, weight float64) {
	d.weights[bin] += weight
	d.total += weight
}

// learn adds the ratio of a task that has ended.
func (d *Distribution) learn(ratio float64) {
	d.decay()
	d.add(binOf(ratio), 1)
}

// learnStopped adds a task that was stopped at a ratio. Its weight is spread over the
// ratios at which it may have ended, as Remaining expects.
func (d *Distribution) learnStopped(ratio float64) {
	d.decay()
	above := 0.0
	for i := range d.weights {
		above += d.weights[i] * shareAbove(i, ratio)
	}
	sum := above + unseenWeight
	for i := range d.weights {
		d.add(i, d.weights[i]*shareAbove(i, ratio)/sum)
	}
	d.add(binOf(ratio*(1+unseenTail)), unseenWeight/sum)
}

// shareAbove returns the share of a bin that is above a ratio.
func shareAbove(bin int, ratio float64) float64 {
	lower, upper := bounds[bin], bounds[bin+1]
	return min(1, max(0, (upper-ratio)/(upper-lower)))
}

// Known reports whether enough tasks have been learned. Otherwise the answers are those of
// tasks that run for their requested time.
func (d *Distribution) Known() bool {
	return d != nil && d.tasks >= minTasks && d.total > 0
}

// Quantile returns the ratio that a share of the tasks does not exceed.
func (d *Distribution) Quantile(share float64) float64 {
	if !d.Known() {
		return 1
	}
	below := 0.0
	for i, w := range d.weights {
		if below += w; below >= share*d.total && w > 0 {
			return middle(i)
		}
	}
	return middle(d.highest())
}

// highest returns the highest bin with a weight.
func (d *Distribution) highest() int {
	i := bins - 1
	for i > 0 && d.weights[i] == 0 {
		i--
	}
	return i
}

// Mean returns the expected ratio of a task that starts now.
func (d *Distribution) Mean() float64 { return d.Max(1) }

// Max returns the expected highest ratio of n tasks.
func (d *Distribution) Max(n int) float64 {
	if !d.Known() {
		return 1
	}
	power := float64(max(1, min(n, maxTasks)))
	below, sum, before := 0.0, 0.0, 0.0
	for i, w := range d.weights {
		if w == 0 {
			continue
		}
		below += w
		all := math.Pow(min(1, below/d.total), power)
		sum += middle(i) * (all - before)
		before = all
	}
	return sum + middle(d.highest())*(1-before) // the rest is a rounding error
}

// Remaining returns the expected ratio of the rest of a run that has lasted for the ratio
// elapsed.
func (d *Distribution) Remaining(elapsed float64) float64 {
	elapsed = max(0, min(elapsed, bounds[bins]))
	if !d.Known() {
		return max(0, 1-elapsed)
	}
	sum, above := unseenWeight*unseenTail*elapsed, unseenWeight
	for i := binOf(elapsed); i < bins; i++ {
		w := d.weights[i] * shareAbove(i, elapsed)
		sum += w * ((max(bounds[i], elapsed)+bounds[i+1])/2 - elapsed)
		above += w
	}
	return sum / above
}
