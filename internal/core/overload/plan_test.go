package overload

import (
	"math/bits"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testNow, testThroughput = time.Minute, 10.0

func drawOccurrences(rt *rapid.T, most, priorities int, protected bool) []Occurrence {
	all := make([]Occurrence, rapid.IntRange(0, most).Draw(rt, "occurrences"))
	for i := range all {
		all[i] = Occurrence{
			Due: testNow + time.Duration(rapid.IntRange(-2, 20).Draw(rt, "due in s"))*time.Second, Work: float64(rapid.IntRange(0, 100).Draw(rt, "work")),
			CriticalPath: time.Duration(rapid.IntRange(0, 5).Draw(rt, "critical path in s")) * time.Second,
			Priority:     rapid.IntRange(0, priorities).Draw(rt, "priority"), Protected: protected && rapid.Bool().Draw(rt, "protected"),
		}
	}
	return all
}

// fits reports whether the occurrences are all in time if they get the throughput in the
// order of their positions.
func fits(all []Occurrence, deferred []bool) bool {
	var order []Occurrence
	for i := range all {
		if !deferred[i] {
			order = append(order, all[i])
		}
	}
	slices.SortStableFunc(order, func(a, b Occurrence) int { return int(a.Position() - b.Position()) })
	work := 0.0
	for _, oc := range order {
		work += oc.Work
		if work > testThroughput*(oc.Due-testNow).Seconds()+1e-6 || testNow+oc.CriticalPath > oc.Due {
			return false
		}
	}
	return true
}

// Guards against a plan that exceeds the throughput, decides differently on the same
// input, modifies it, or defers occurrences although all fit.
func TestPropertyPlannedWorkFits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := drawOccurrences(rt, 60, 3, true)
		input := slices.Clone(all)
		deferred := Plan(testNow, testThroughput, all)
		if !slices.Equal(all, input) || len(deferred) != len(all) || !slices.Equal(deferred, Plan(testNow, testThroughput, all)) {
			rt.Fatalf("plan of %v modifies its input or is not deterministic", input)
		}
		if !fits(all, deferred) {
			rt.Fatalf("planned work of %v does not fit: deferred %v", all, deferred)
		}
		if none := make([]bool, len(all)); fits(all, none) && !slices.Equal(deferred, none) {
			rt.Fatalf("all of %v fit, deferred %v", all, deferred)
		}
	})
}

// Guards against a plan with fewer occurrences in time than possible, by a search of all
// subsets.
func TestPropertyPlanIsOptimalForEqualWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := drawOccurrences(rt, 9, 0, false)
		planned, best := 0, 0
		for _, d := range Plan(testNow, testThroughput, all) {
			planned += 1 - boolKey(d)
		}
		for subset := range 1 << len(all) {
			deferred := make([]bool, len(all))
			for i := range all {
				deferred[i] = subset>>i&1 == 0
			}
			if fits(all, deferred) {
				best = max(best, bits.OnesCount(uint(subset)))
			}
		}
		if planned != best {
			rt.Fatalf("%d of %v are planned, %d are possible", planned, all, best)
		}
	})
}

// Guards against weights that do not count: work of a lower priority that displaces work
// of a higher one, and protected work that is deferred for its size.
func TestPlanWeighsPriorityAndProtection(t *testing.T) {
	due := testNow + 10*time.Second // 100 processor seconds
	small, large := Occurrence{Due: due, Work: 40}, Occurrence{Due: due, Work: 90}
	low, protected := small, large
	low.Priority, protected.Protected = 1, true
	lowProtected := protected
	lowProtected.Priority = 1
	late := small
	late.Due += time.Second
	lowSmall := Occurrence{Due: due, Work: 30, Priority: 1}
	for _, c := range []struct {
		name string
		all  []Occurrence
		want []bool
	}{
		{"largest is deferred", []Occurrence{large, small, small}, []bool{true, false, false}},
		{"not for a lower priority", []Occurrence{large, low}, []bool{false, true}},
		{"lower priority is deferred", []Occurrence{low, low, large}, []bool{true, true, false}},
		{"protected", []Occurrence{small, small, protected}, []bool{true, true, false}},
		{"protected, not for a higher priority", []Occurrence{small, lowProtected}, []bool{false, true}},
		{"protected, for the higher priority only", []Occurrence{late, lowProtected, late}, []bool{false, true, false}},
		{"protected, others of its priority", []Occurrence{{Due: due, Work: 5}, lowSmall, lowProtected}, []bool{false, true, false}},
		{"protected and too large", []Occurrence{small, {Due: due, Work: 101, Protected: true}}, []bool{false, true}},
	} {
		if got := Plan(testNow, testThroughput, c.all); !slices.Equal(got, c.want) {
			t.Errorf("%s: deferred %v, want %v", c.name, got, c.want)
		}
	}
}
