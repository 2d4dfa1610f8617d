package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// input is a snapshot, or a change if deleted or written is set.
type input struct {
	revision         uint64
	written, deleted types.FailureDomain
	listed           []Request
	want             string // the domains afterwards
}

// Load: an operator evacuates failure domains while the process reads snapshots and
// changes that arrive late, twice and out of order. Guards against a start in an
// evacuated domain because an old snapshot or change undid a newer one, and against an
// evacuation that never ends.
func TestInputsInAnyOrder(t *testing.T) {
	for name, inputs := range map[string][]input{
		"written and deleted":                 {{revision: 3, written: "a", want: "a"}, {revision: 4, deleted: "a"}},
		"two domains":                         {{revision: 3, written: "b", want: "b"}, {revision: 4, written: "a", want: "a b"}, {revision: 5, deleted: "b", want: "a"}},
		"old snapshot after a write":          {{revision: 9, written: "a", want: "a"}, {revision: 8, want: "a"}},
		"old snapshot after a deletion":       {{revision: 5, written: "a", want: "a"}, {revision: 9, deleted: "a"}, {revision: 8, listed: []Request{{"a", 5}}}},
		"snapshot ends an evacuation":         {{revision: 5, written: "a", want: "a"}, {revision: 9}},
		"snapshot newer than its revision":    {{revision: 5, listed: []Request{{"a", 7}}, want: "a"}, {revision: 6, want: "a"}, {revision: 7}},
		"old write after a snapshot":          {{revision: 9}, {revision: 5, written: "a"}, {revision: 9, written: "a"}},
		"old snapshot after a newer one":      {{revision: 9}, {revision: 6, listed: []Request{{"a", 5}}}},
		"write after a snapshot that ended":   {{revision: 5, written: "a", want: "a"}, {revision: 9}, {revision: 12, written: "a", want: "a"}},
		"repeated change":                     {{revision: 5, written: "a", want: "a"}, {revision: 5, written: "a", want: "a"}, {revision: 6, deleted: "a"}, {revision: 5, written: "a"}},
		"deletion of an unknown domain":       {{revision: 5, deleted: "a"}, {revision: 4, written: "a"}, {revision: 6, written: "a", want: "a"}},
		"history dropped between two changes": {{revision: 5, written: "a", want: "a"}, {revision: 20, listed: []Request{{"b", 12}}, want: "b"}, {revision: 21, deleted: "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			var s Set
			for i, in := range inputs {
				before := s.Domains()
				delta := in.apply(&s)
				if got := domains(s.Domains()); got != in.want {
					t.Fatalf("domains after input %d: got %q, want %q", i, got, in.want)
				}
				if got := applied(before, delta); got != in.want {
					t.Errorf("delta of input %d: %+v applied to %v gives %q, want %q", i, delta, before, got, in.want)
				}
			}
		})
	}
}

func (in *input) apply(s *Set) Delta {
	switch {
	case in.written != "":
		return s.ApplyChange(Request{in.written, in.revision}, false)
	case in.deleted != "":
		return s.ApplyChange(Request{in.deleted, in.revision}, true)
	default:
		return s.ApplySnapshot(Snapshot{in.listed, in.revision})
	}
}

func domains(all []types.FailureDomain) string {
	names := make([]string, 0, len(all))
	for _, d := range all {
		names = append(names, string(d))
	}
	return strings.Join(names, " ")
}

// applied returns the domains after a delta.
func applied(before []types.FailureDomain, d Delta) string {
	after := slices.DeleteFunc(slices.Clone(before), func(x types.FailureDomain) bool { return slices.Contains(d.Removed, x) })
	after = append(after, d.Added...)
	slices.Sort(after)
	return domains(after)
}

// history is the truth: for each domain the revisions at which its request was
// written or deleted, by turns.
type history struct {
	last uint64
	of   map[types.FailureDomain][]uint64
}

func (h *history) at(domain types.FailureDomain, revision uint64) (written uint64, evacuated bool) {
	for i, r := range h.of[domain] {
		if r <= revision {
			written, evacuated = r, i%2 == 0
		}
	}
	return written, evacuated
}

// Guards against a set that is behind what it was shown: after any snapshots and
// changes in any order, the state of a domain must be the one at the highest revision
// shown of it.
func TestPropertyNewestStateCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []types.FailureDomain{"a", "b", "c"}
		h := history{of: make(map[types.FailureDomain][]uint64)}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			h.last += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			domain := rapid.SampledFrom(names).Draw(t, "domain")
			h.of[domain] = append(h.of[domain], h.last)
		}
		var s Set
		shown := make(map[types.FailureDomain]uint64)
		for step := range rapid.IntRange(1, 15).Draw(t, "inputs") {
			domain := rapid.SampledFrom(names).Draw(t, "domain")
			if changes := h.of[domain]; len(changes) > 0 && rapid.Bool().Draw(t, "change") {
				i := rapid.IntRange(0, len(changes)-1).Draw(t, "index")
				s.ApplyChange(Request{domain, changes[i]}, i%2 == 1)
				shown[domain] = max(shown[domain], changes[i])
			} else {
				snapshot := Snapshot{Revision: rapid.Uint64Range(1, h.last+2).Draw(t, "revision")}
				for _, d := range names {
					if written, evacuated := h.at(d, snapshot.Revision); evacuated {
						snapshot.Requests = append(snapshot.Requests, Request{d, written})
					}
					shown[d] = max(shown[d], snapshot.Revision)
				}
				s.ApplySnapshot(snapshot)
			}
			for _, d := range names {
				if _, want := h.at(d, shown[d]); slices.Contains(s.Domains(), d) != want {
					t.Fatal(fmt.Sprintf("domain %s after input %d: evacuated %t, want %t as of revision %d", d, step, !want, want, shown[d]))
				}
			}
		}
	})
}
