package modelcheck_test

import (
	"errors"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/modelcheck"
)

// counters is a model of two counters that each count up to 3.
func counters(check func([2]int) error) modelcheck.Model[[2]int] {
	return modelcheck.Model[[2]int]{
		Moves: func(s [2]int, yield func(modelcheck.Move, [2]int)) {
			for i := range s {
				next := s
				next[i]++
				if next[i] <= 3 {
					yield(modelcheck.Move{Name: "count", A: i}, next)
				}
			}
		},
		Check: check,
	}
}

// Guards against a search that misses states, reports completeness although
// it reached its limit, or returns a trace that does not lead to the violation.
func TestExplore(t *testing.T) {
	holds := func([2]int) error { return nil }
	r := modelcheck.Explore(counters(holds), 100)
	if r.States != 16 || r.Transitions != 24 || r.Depth != 6 || !r.Complete || r.Violation != nil {
		t.Fatalf("exploration without limit: %+v", r)
	}
	// 10 states are at most 3 moves from the initial state.
	if r = modelcheck.Explore(counters(holds), 11); r.Complete || r.Depth != 3 {
		t.Fatalf("exploration with a limit of 11 states: %+v", r)
	}
	r = modelcheck.Explore(counters(func(s [2]int) error {
		if s == [2]int{2, 1} {
			return errors.New("reached")
		}
		return nil
	}), 100)
	if r.Violation == nil || len(r.Violation.Trace) != 3 {
		t.Fatalf("violation: %+v", r)
	}
	var sum [2]int
	for _, m := range r.Violation.Trace {
		sum[m.A]++
	}
	if sum != [2]int{2, 1} {
		t.Fatalf("trace leads to state %v, want [2 1]", sum)
	}
}
