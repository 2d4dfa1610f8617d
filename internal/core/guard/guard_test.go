package guard

import (
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against checks that accept violations or refuse allowed changes.
func TestChecks(t *testing.T) {
	full := types.Resources{MilliCPU: 1000}
	cases := []struct {
		name string
		got  *Violation
		want *Rule
	}{
		{"full VM", Capacity("a", full, full), nil},
		{"overfull VM", Capacity("a", full.Add(full), full), &OverCapacity},
		{"next attempt", CheckChange("t", 1, 2, 1, 1, false), nil},
		{"next attempt while the old one is live", CheckChange("t", 1, 2, 1, 1, true), &SecondAttempt},
		{"attempt number decreases", CheckChange("t", 2, 1, 1, 1, false), &AttemptDecreased},
		{"epoch decreases", CheckChange("t", 1, 1, 2, 1, false), &EpochDecreased},
		{"start of the committed attempt", CheckStart("t", 1, 1, true), nil},
		{"start before the commit", CheckStart("t", 2, 1, false), &StartBeforeCommit},
	}
	for _, c := range cases {
		switch {
		case c.want == nil && c.got != nil:
			t.Errorf("%s: %v", c.name, c.got)
		case c.want != nil && (c.got == nil || c.got.Rule != *c.want):
			t.Errorf("%s: got %v, want rule %d", c.name, c.got, c.want.Number)
		}
	}
}

// Guards against two rules with one event number, or one outside 800 to 899.
func TestRuleNumbers(t *testing.T) {
	last := 799
	for _, r := range Rules() {
		if r.Number <= last || r.Number > 899 {
			t.Errorf("rule %d follows %d, want increasing numbers up to 899", r.Number, last)
		}
		last = r.Number
	}
}
