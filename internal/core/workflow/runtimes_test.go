package workflow

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against relying on declared run times, which are off by a factor of up
// to ten either way: at a large site the logarithm of the ratio of declared to
// actual run times had a standard deviation of 0.93.
func TestRunTimesAreLearned(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var reg *RunTimeRegression
	if got := reg.expected(1.5); got != 1.5 {
		t.Errorf("estimated %v with nothing learned, want the declared value", got)
	}
	reg = &RunTimeRegression{}
	sample := func() (declared, actual float64) {
		actual = math.Log(2.3) + 0.4*rng.NormFloat64()
		return actual + 0.9*rng.NormFloat64(), actual
	}
	for range 100 {
		reg.learn(sample())
	}
	declaredError, learnedError := 0.0, 0.0
	for range 1000 {
		declared, actual := sample()
		declaredError += (declared - actual) * (declared - actual)
		learnedError += (reg.expected(declared) - actual) * (reg.expected(declared) - actual)
	}
	if learnedError > declaredError/3 {
		t.Errorf("squared error of %.0f with learned run times, %.0f with declared ones", learnedError, declaredError)
	}
}

// Guards against estimates that drift away from accurate declared run times.
func TestAccurateRunTimesAreKept(t *testing.T) {
	reg := &RunTimeRegression{}
	for i := range 100 {
		x := float64(i%7) - 3
		reg.learn(x, x+0.1)
	}
	for _, x := range []float64{-3, 0, 3} {
		if got := reg.expected(x); math.Abs(got-x) > 0.2 {
			t.Errorf("estimated %v for declared %v, which was accurate in the samples", got, x)
		}
	}
}

// Guards against a damaged row that makes every job count as late, or as in
// time.
func TestRunTimesOutOfRangeAreIgnored(t *testing.T) {
	o := newHarness(t, 1, nil).o
	good := RunTimeRegression{Queue: "good", Steps: 20, Declared: 1, Actual: 2, SumSquares: 3, SumProducts: 0.5}
	o.SetLearned(0, Learned{RunTimes: []RunTimeRegression{
		{Queue: "none"}, {Queue: "nan", Steps: 3, Actual: math.NaN()}, {Queue: "far", Steps: 3, Actual: 1e6}, {Queue: "much", Steps: 1e9}, {Queue: "inf", Steps: 3, SumProducts: math.Inf(1)}, good,
	}})
	if got := o.Learned().RunTimes; len(got) != 1 || got[0] != good {
		t.Errorf("kept %+v, want the last one only", got)
	}
}

// Load: more work than capacity, in a queue whose tasks run for 2 s. Guards
// against a job declared ten times too short that counts as abandoned before it
// could be done: three times its declared objective had passed after 4.2 s.
func TestJobDeclaredShortIsNotAbandoned(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.actual = func(*Step) time.Duration { return 2 * time.Second }
	for i := range 24 {
		declared := fillingStep("f", 4)
		declared.RunTime = 250 * time.Millisecond << (i % 6) // 0.25 s to 8 s
		h.submit(types.JobID(rune('a'+i)), declared)
		h.overTarget(3 * time.Second)
	}
	short := fillingStep("f", 4)
	short.RunTime = 200 * time.Millisecond
	h.submit("short", short)
	h.now += 2 * time.Second
	h.submit("fresh", fillingStep("f", 8))
	h.o.now, h.o.takeoverComplete = h.now, true
	steps := h.o.waitingSteps()
	if len(steps) != 2 || steps[0].job.spec.ID != "short" || h.o.rankOf(steps[0]).tier != tierInTime {
		t.Errorf("a job of 2 s, submitted 2 s ago, is not first in order; rank of the first %+v", h.o.rankOf(steps[0]))
	}
	h.o.now += 2500 * time.Millisecond
	if r := h.o.rankOf(steps[0]); r.tier == tierAbandoned {
		t.Errorf("rank %+v 4.5 s after a job of 2 s was submitted", r)
	}
}

// Guards against memory that grows with every queue that ever existed, since
// the configuration adds and removes queues.
func TestRunTimesOfRemovedQueuesAreDropped(t *testing.T) {
	h := newHarness(t, 1, nil)
	for i := range maxRegressions {
		queue := fmt.Sprint("gone", i)
		h.o.runTimes[queue] = &RunTimeRegression{Queue: queue, Steps: 1}
	}
	h.step(120 * time.Millisecond)
	h.submit("j", fillingStep("f", 1))
	h.overTarget(4 * time.Second)
	if n := len(h.o.runTimes); n != 1 || h.o.runTimes["q"] == nil {
		t.Errorf("%d queues are kept, want only the configured one", n)
	}
}

// Guards against a forecast that overflows: run times of ten years, estimated
// from ones declared in milliseconds.
func TestForecastDoesNotOverflow(t *testing.T) {
	o := newHarness(t, 1, nil).o
	o.SetLearned(0, Learned{RunTimes: []RunTimeRegression{{Queue: "q", Steps: 100, Declared: -6, Actual: 19, SumSquares: 100, SumProducts: 100}}})
	j := &job{spec: Job{ID: "j", Queue: "q"}}
	for i := range maxSteps {
		s := Step{Tasks: 1, RunTime: maxSpan}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.spec.Steps = append(j.spec.Steps, s)
	}
	oc := o.beginOccurrence(j, 0)
	o.forecast(oc, j)
	if criticalPath := oc.steps[0].criticalPath; criticalPath <= 0 || oc.objective < criticalPath {
		t.Errorf("critical path of %v and objective of %v for %d steps of ten years", criticalPath, oc.objective, maxSteps)
	}
}
