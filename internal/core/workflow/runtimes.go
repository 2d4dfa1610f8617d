package workflow

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Estimation of run times. Declared run times are off by a factor of up to ten
// either way. For each queue, a regression of the logarithms of actual on
// declared run times is learned from finished steps. The estimates matter when
// more work waits than fits: a job declared far too short would count as late
// before it can be done, and one declared far too long would wait behind all
// others.
const (
	// runTimeMemory is the number of steps over which a queue's run times are
	// learned; older steps lose weight.
	runTimeMemory = 200
	// runTimePriorSteps is the weight of the declared run times, as a number of
	// steps.
	runTimePriorSteps = 3
	// stepVariance is the variance of the logarithm of a step's run time around
	// the estimate of its queue, and taskVariance the variance of the logarithm
	// of a task's run time around the mean of its step.
	stepVariance = 0.16
	taskVariance = 0.09
	// minRunTime limits logarithms from below, and maxLogSeconds, the logarithm
	// of maxSpan, from above.
	minRunTime    = time.Millisecond
	maxLogSeconds = 20
	// maxRunTime limits estimates, so that sums over all steps of a job do not
	// overflow.
	maxRunTime = 30 * 24 * time.Hour
	// maxRegressions limits the queues whose regressions are stored for the
	// next owner: 200 take 20 KB, beside 28 KB of factors in a row of 64 KB.
	maxRegressions = 200
	// unknownRunTime is the estimate if no run time is declared and none has
	// been learned.
	unknownRunTime = time.Second
)

// runTimes holds the regressions by queue.
type runTimes map[string]*RunTimeRegression

// RunTimeRegression is a linear regression of the logarithms of the actual run
// times of a queue's steps on those of the declared ones, in seconds.
type RunTimeRegression struct {
	Queue string `json:"queue"`
	// Steps is the number of steps learned from, with older ones losing weight.
	Steps float64 `json:"steps"`
	// Declared and Actual are the means of the logarithms. SumSquares is the
	// sum of squares of the deviations of Declared, and SumProducts the sum of
	// products of the deviations of both.
	Declared    float64 `json:"declared"`
	Actual      float64 `json:"actual"`
	SumSquares  float64 `json:"spread"`
	SumProducts float64 `json:"common"`
}

// learn adds the logarithms of a step's declared and actual run time.
func (reg *RunTimeRegression) learn(declared, actual float64) {
	const keep = 1 - 1.0/runTimeMemory
	before := keep * reg.Steps
	reg.Steps = before + 1
	declaredDelta, actualDelta := declared-reg.Declared, actual-reg.Actual
	reg.Declared += declaredDelta / reg.Steps
	reg.Actual += actualDelta / reg.Steps
	share := before / reg.Steps
	reg.SumSquares = keep*reg.SumSquares + share*declaredDelta*declaredDelta
	reg.SumProducts = keep*reg.SumProducts + share*declaredDelta*actualDelta
}

// expected returns the estimated logarithm of the actual run time, given the
// logarithm of the declared run time. The prior is that both are equal.
func (reg *RunTimeRegression) expected(declared float64) float64 {
	if reg == nil {
		return declared
	}
	slope := min(1, max(0, (reg.SumProducts+runTimePriorSteps)/(reg.SumSquares+runTimePriorSteps)))
	learned := reg.Actual + slope*(declared-reg.Declared)
	return (reg.Steps*learned + runTimePriorSteps*declared) / (reg.Steps + runTimePriorSteps)
}

// regressions returns the regressions ordered by queue. If there are more than
// maxRegressions, those with the most steps are returned.
func (r runTimes) regressions() []RunTimeRegression {
	all := make([]RunTimeRegression, 0, len(r))
	for _, reg := range r {
		all = append(all, RunTimeRegression{reg.Queue, math.Round(reg.Steps), round(reg.Declared), round(reg.Actual), round(reg.SumSquares), round(reg.SumProducts)})
	}
	byQueue := func(a, b RunTimeRegression) int { return cmp.Compare(a.Queue, b.Queue) }
	if len(all) > maxRegressions {
		slices.SortFunc(all, func(a, b RunTimeRegression) int { return cmp.Or(cmp.Compare(b.Steps, a.Steps), byQueue(a, b)) })
		all = all[:maxRegressions]
	}
	slices.SortFunc(all, byQueue)
	return all
}

// restore adds the regressions of an earlier owner. Values that learn cannot
// produce are ignored.
func (r runTimes) restore(regressions []RunTimeRegression) {
	for _, reg := range regressions {
		sum := reg.Declared + reg.Actual + reg.SumSquares + reg.SumProducts
		if reg.Steps > 0 && reg.Steps <= runTimeMemory && reg.SumSquares >= 0 && math.Abs(reg.Declared) <= maxLogSeconds && math.Abs(reg.Actual) <= maxLogSeconds && !math.IsNaN(sum) && !math.IsInf(sum, 0) {
			r[reg.Queue] = &reg
		}
	}
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, minRunTime).Seconds())
}

// runTimeSample accumulates the run times of a step's tasks that began without a
// checkpoint under this owner and were never slowed down.
type runTimeSample struct {
	tasks int
	// sumLogs is the sum of the logarithms of the run times in seconds.
	sumLogs float64
}

// sample adds the run time of a finished task to the sample of its step, if the
// run began without a checkpoint under this owner and was never slowed down.
func (t *task) sample(now time.Duration) {
	if t.undisturbed && t.phase == phaseRunning {
		t.step.sample.tasks++
		t.step.sample.sumLogs += logSeconds(now - t.startedAt)
	}
}

// learnRunTime updates the regression of the queue from a finished step.
func (o *Owner) learnRunTime(s *step) {
	if s.sample.tasks == 0 || s.spec.Standing || s.spec.RunTime <= 0 {
		return
	}
	queue := s.job.spec.Queue
	if o.runTimes[queue] == nil {
		o.dropRemovedQueues()
		o.runTimes[queue] = &RunTimeRegression{Queue: queue}
	}
	o.runTimes[queue].learn(logSeconds(s.spec.RunTime), s.sample.sumLogs/float64(s.sample.tasks))
}

// dropRemovedQueues makes room for another queue by dropping those that the
// configuration no longer has. Otherwise memory would grow with every queue
// that existed during the owner's term.
func (o *Owner) dropRemovedQueues() {
	if len(o.runTimes) < maxRegressions {
		return
	}
	for queue := range o.runTimes {
		if _, ok := o.queues[queue]; !ok {
			delete(o.runTimes, queue)
		}
	}
}

// runTime returns the estimated run time of a task of the step, from its
// declared run time, the regression of its queue, and the finished tasks of the
// step. It is 0 for standing steps.
func (o *Owner) runTime(s *step) time.Duration {
	if s.spec.Standing {
		return 0
	}
	reg := o.runTimes[s.job.spec.Queue]
	expected := 0.0
	switch {
	case s.spec.RunTime > 0:
		expected = reg.expected(logSeconds(s.spec.RunTime))
	case reg != nil:
		expected = reg.Actual
	default:
		expected = logSeconds(unknownRunTime)
	}
	own := float64(s.sample.tasks) / taskVariance
	prior := 1 / stepVariance
	if s.sample.tasks > 0 {
		expected = (prior*expected + s.sample.sumLogs/taskVariance) / (prior + own)
	}
	return time.Duration(math.Exp(min(expected, logSeconds(maxRunTime))) * float64(time.Second))
}

// stepTime returns how long the step is expected to take once all its tasks run: as long
// as its longest task.
func (o *Owner) stepTime(s *step) time.Duration {
	if !longestTaskForecast || !o.cfg.Copies || s.spec.Standing {
		return s.runTime
	}
	d := o.ratios.Of(s.kindOfRunTimes())
	if !d.Known() {
		return s.runTime
	}
	return min(maxRunTime, time.Duration(float64(s.runTime)*max(1, d.Max(len(s.tasks)-s.done)/d.Quantile(0.5))))
}

// forecast estimates the run times of an occurrence's steps, the critical path
// from each step on, and the objective.
func (o *Owner) forecast(oc *occurrence, j *job) {
	if oc.forecastAt == o.now && oc.forecastAt > 0 {
		return
	}
	oc.forecastAt = o.now
	longest := time.Duration(0)
	for i := len(oc.steps) - 1; i >= 0; i-- {
		oc.steps[i].criticalPath, oc.steps[i].nominalPath = 0, 0
	}
	for i := len(oc.steps) - 1; i >= 0; i-- {
		s := oc.steps[i]
		s.runTime = o.runTime(s)
		s.criticalPath += o.stepTime(s)
		s.nominalPath += s.runTime
		longest = max(longest, s.nominalPath)
		for _, a := range s.spec.After {
			before := oc.steps[a]
			before.criticalPath, before.nominalPath = max(before.criticalPath, s.criticalPath), max(before.nominalPath, s.nominalPath)
		}
	}
	q := o.queueOf(j)
	oc.objective = time.Duration(q.Stretch*float64(longest)) + q.Target
}
