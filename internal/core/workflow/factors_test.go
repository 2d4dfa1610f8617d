package workflow

import (
	"math"
	"testing"
	"time"
)

// Guards against a new owner that must learn again which images interfere,
// while standing tasks miss their targets. Replays a wave of an image with a
// high factor under an owner that has inherited this factor.
func TestFactorsAreInherited(t *testing.T) {
	first := newHarness(t, 1, map[string]float64{"heavy": 2.4})
	first.step(50 * time.Millisecond)
	first.submit("s", standingStep(2))
	first.overTarget(time.Second)
	first.submit("f", fillingStep("heavy", 6))
	first.overTarget(4 * time.Second)
	factors := first.o.Factors()
	if len(factors) != 1 || math.Abs(factors[0].Mean-2.4) > 0.6 {
		t.Fatalf("learned %+v, want one factor of about 2.4", factors)
	}
	fresh := overInWave(t, nil)
	inherited := overInWave(t, factors)
	if inherited > fresh/2 {
		t.Errorf("standing tasks were over their targets for %v with the inherited factor, %v without", inherited, fresh)
	}
}

// overInWave returns how long standing tasks exceed their targets in the first
// seconds of a wave, under an owner with the given factors.
func overInWave(t *testing.T, factors []InterferenceFactor) time.Duration {
	t.Helper()
	h := newHarness(t, 1, map[string]float64{"heavy": 2.4})
	h.o.SetFactors(h.now, factors)
	h.step(50 * time.Millisecond)
	h.submit("s", standingStep(2))
	h.overTarget(time.Second)
	h.submit("f", fillingStep("heavy", 6))
	return h.overTarget(2 * time.Second)
}

// Guards against factors from a damaged row that would stop all filling tasks
// or let them disturb standing tasks.
func TestFactorsOutOfRangeAreIgnored(t *testing.T) {
	o := newHarness(t, 1, nil).o
	o.SetFactors(0, []InterferenceFactor{
		{"a", "s", -1, 0.1}, {"b", "s", math.NaN(), 0.1}, {"c", "s", 100, 0.1}, {"d", "s", 1, math.NaN()}, {"e", "s", 1, 0},
	})
	if got := o.Factors(); len(got) != 1 || got[0].Filling != "e" {
		t.Errorf("kept %+v, want the last one only", got)
	}
}

// Guards against learning from the same measurement repeatedly: workers renew
// measurements half as often as the owner reads them.
func TestMeasurementIsLearnedOnce(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.step(50 * time.Millisecond)
	h.submit("s", standingStep(1))
	h.step(50 * time.Millisecond)
	h.step(150 * time.Millisecond)
	v := h.o.vmOrder[0]
	s := h.o.jobs["s"].occurrences[0].steps[0]
	variance := s.users.variance
	h.now += 150 * time.Millisecond
	h.o.now = h.now
	h.o.observe(v)
	if s.users.variance < variance {
		t.Errorf("the same measurement reduced the variance of the users' load from %v to %v", variance, s.users.variance)
	}
}
