package runtimes

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Load: 3% of the run times are seven times as long as the others. Guards against answers
// that ignore the tail, or that see a tail in run times that have none.
func TestAnswers(t *testing.T) {
	kind := Kind{"q", "image"}
	learn := func(tasks, longEvery int) *Distribution {
		k := New()
		for i := range tasks {
			ran := time.Second
			if longEvery > 0 && i%longEvery == longEvery/2 {
				ran *= 7
			}
			k.Learn(kind, time.Second, ran)
		}
		return k.Of(kind)
	}
	tail, flat := learn(2000, 33), learn(2000, 0)
	tests := []struct {
		name      string
		got, want float64
	}{
		{"nothing learned: quantile", learn(0, 0).Quantile(0.99), 1},
		{"nothing learned: rest at the start", learn(0, 0).Remaining(0), 1},
		{"nothing learned: rest of a long run", learn(0, 0).Remaining(3), 0},
		{"few tasks: maximum", learn(minTasks-1, 5).Max(20), 1},
		{"tail: median", tail.Quantile(0.5), 1},
		{"tail: 99th percentile", tail.Quantile(0.99), 7},
		{"tail: mean", tail.Mean(), 1.18},
		{"tail: longest of 20", tail.Max(20), 1 + 6*(1-math.Pow(0.97, 20))},
		{"tail: rest at the start", tail.Remaining(0), 1.18},
		{"tail: rest after all others have ended", tail.Remaining(2), 5},
		{"tail: rest beyond all known", tail.Remaining(16), 16},
		{"no tail: longest of 20", flat.Max(20), 1},
		{"no tail: rest beyond all known", flat.Remaining(2), 2},
	}
	// Half the width of a bin is 6%, and the weight of the unseen moves the rest by 4%.
	const tolerance = 0.1
	for _, test := range tests {
		if math.Abs(test.got-test.want) > tolerance*test.want+0.01 {
			t.Errorf("%s: %.3f, want about %.3f", test.name, test.got, test.want)
		}
	}
}

// Guards against a tail that disappears since long runs are stopped when their copies end,
// and against a tail that grows from runs stopped early.
func TestStoppedRunsKeepTheTail(t *testing.T) {
	kind := Kind{"q", "image"}
	k := New()
	for i := range 4000 {
		long := i%33 == 16
		switch {
		case long && i >= 1000:
			k.LearnStopped(kind, time.Second, 2*time.Second)
		case long:
			k.Learn(kind, time.Second, 7*time.Second)
		case i%10 == 0:
			k.LearnStopped(kind, time.Second, time.Second/2)
		default:
			k.Learn(kind, time.Second, time.Second)
		}
	}
	d := k.Of(kind)
	if rest := d.Remaining(2); rest < 2.5 || rest > 7 {
		t.Errorf("rest after twice the usual time %.2f, want about 5", rest)
	}
	if mean := d.Mean(); mean < 1.05 || mean > 1.4 {
		t.Errorf("mean %.2f, want about 1.18", mean)
	}
}

// Guards against memory that grows with the images that callers name, and against losing
// the kinds in use.
func TestKindsAreLimited(t *testing.T) {
	k := New()
	used := Kind{"q", "used"}
	for i := range 3 * maxKinds {
		k.Learn(used, time.Second, time.Second)
		k.Learn(Kind{"q", fmt.Sprint(i)}, time.Second, time.Second)
	}
	if len(k.distributions) > maxKinds || !k.Of(used).Known() {
		t.Errorf("%d kinds are kept, the one in use: %t", len(k.distributions), k.Of(used).Known())
	}
}

// Guards against answers that are not finite or not monotonic, for any run times.
func TestPropertyAnswersAreSound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		k := New()
		kind := Kind{"q", "image"}
		for range rapid.IntRange(0, 200).Draw(rt, "tasks") {
			requested := time.Duration(rapid.Int64().Draw(rt, "requested"))
			ran := time.Duration(rapid.Int64().Draw(rt, "ran"))
			if rapid.Bool().Draw(rt, "stopped") {
				k.LearnStopped(kind, requested, ran)
			} else {
				k.Learn(kind, requested, ran)
			}
		}
		d := k.Of(kind)
		check := func(name string, x, least float64) {
			if !(x >= least-1e-9) || math.IsInf(x, 0) {
				rt.Fatalf("%s is %v, want at least %v", name, x, least)
			}
		}
		quantile, longest := 0.0, 0.0
		for i := range 11 {
			check("quantile", d.Quantile(float64(i)/10), quantile)
			check("maximum", d.Max(1<<(2*i)), longest)
			quantile, longest = d.Quantile(float64(i)/10), d.Max(1<<(2*i))
		}
		for _, elapsed := range []float64{-1, 0, 0.5, 1, 3, 1e3, 1e300, math.Inf(1)} {
			check("rest", d.Remaining(elapsed), 0)
		}
	})
}
