package modelcheck_test

import (
	"os"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/modelcheck"
)

// mutant names a rule of the protocol that is dropped.
type mutant string

const (
	noMutant                         mutant = ""
	noIncarnationCheck               mutant = "worker admits offers for another incarnation"
	sealNotStored                    mutant = "worker does not store seals"
	noDuplicateCheck                 mutant = "worker admits known request IDs"
	noBudgetCheck                    mutant = "worker admits expired offers"
	refusalNotFinal                  mutant = "refusal does not seal the attempt"
	everyRefusalIsProof              mutant = "every refusal counts as proof that the attempt did not run"
	unknownSealCountsAsNeverRan      mutant = "forgotten request ID counts as never run"
	incarnationEndedCountsAsNeverRan mutant = "end of incarnation counts as never run"
	retryWithoutProof                mutant = "second attempt without proof that the first did not run"
	deadlineCountsAsNotRun           mutant = "deadline counts as not run"
	answerOfAnyAttempt               mutant = "answers are not matched to attempts"
	dispatchBeforeClaim              mutant = "dispatch does not wait for the claim"
	claimFirstAttemptOnly            mutant = "later attempts are not claimed"
	writeWithoutCompare              mutant = "claim is written without compare-and-set"
	repeatWithoutSeal                mutant = "repeated request runs again without a seal"
	unknownRunsAnew                  mutant = "repeated request runs again after an unknown outcome"
	copyReachesNextIncarnation       mutant = "transport delivers an offer to two incarnations"
)

// mutateOffer overwrites the part of an offer that the dropped rule checks.
func (w *protocolModel) mutateOffer(wk worker, runs int, o *admission.Offer) {
	switch w.mutant {
	case noIncarnationCheck:
		o.Target = wk.incarnation
	case noBudgetCheck:
		o.Echo = wk.now
	case noDuplicateCheck:
		o.ID[7] = byte(runs)
	}
}

func (w *protocolModel) mutateSeal(s admission.SealState) admission.SealState {
	unknown := w.mutant == unknownSealCountsAsNeverRan && s == admission.SealUnknown
	ended := w.mutant == incarnationEndedCountsAsNeverRan && s == admission.SealIncarnationEnded
	if unknown || ended {
		return admission.SealNeverRan
	}
	return s
}

// Bounds of the exploration. Delay, reordering, loss, table outages, lost
// responses to claim writes and deadlines may occur at any time and do not
// count as faults.
var (
	oneFault  = budgets{total: 1, restarts: 1, freezes: 1, duplicates: 1, deaths: 1, busy: 1}
	twoFaults = budgets{total: 2, restarts: 2, freezes: 2, duplicates: 2, deaths: 1, busy: 2}

	oneBooking  = scenario{name: "one booking without key", single: true, attempts: 3, seals: 2, faults: twoFaults}
	twoBookings = scenario{name: "two bookings without key", attempts: 1, seals: 1, faults: oneFault}
	// repeatedSingleAttempt is small enough for a complete exploration.
	repeatedSingleAttempt = scenario{name: "one attempt, booking sent twice with one key", keyed: true, attempts: 1, machines: 2, seals: 1}
	repeated              = scenario{name: "booking sent twice with one key", keyed: true, attempts: 2, machines: 2, seals: 1, faults: oneFault}
)

func (sc scenario) with(faults budgets) scenario {
	sc.faults = faults
	return sc
}

func explore(t *testing.T, sc scenario, m mutant, limit int) modelcheck.Result {
	t.Helper()
	w := &protocolModel{scenario: sc, mutant: m}
	model := modelcheck.Model[state]{Initial: w.initial(), Moves: w.moves, Check: w.checkInvariants}
	r := modelcheck.Explore(model, limit)
	if w.overflow > 0 {
		t.Errorf("%d messages or runs were dropped because a state had no room", w.overflow)
	}
	return r
}

// longStateLimit is the limit of states with BORAGECRANK_MODEL=long. Such a run
// takes minutes and several gigabytes of memory.
const longStateLimit = 10_000_000

// Guards against interleavings of the bounded faults in which a booking runs
// twice, a request that ran is reported as not run, or a caller receives the
// response to another request (invariants I6, I5 and I4 of docs/design.md).
func TestProtocol(t *testing.T) {
	long := os.Getenv("BORAGECRANK_MODEL") == "long"
	cases := []struct {
		scenario scenario
		limit    int
		complete bool
	}{
		{oneBooking, 400_000, true},
		{twoBookings, 150_000, true},
		{repeatedSingleAttempt, 100_000, true},
		{repeated, 500_000, false},
	}
	if long {
		cases[1].scenario = twoBookings.with(twoFaults)
		cases[2].scenario = repeatedSingleAttempt.with(oneFault)
	}
	for _, c := range cases {
		t.Run(c.scenario.name, func(t *testing.T) {
			t.Parallel()
			if long {
				c.limit = longStateLimit
			}
			r := explore(t, c.scenario, noMutant, c.limit)
			if r.Violation != nil {
				t.Fatal(r.Violation)
			}
			t.Logf("%d states, %d transitions, all states up to depth %d, complete %v", r.States, r.Transitions, r.Depth, r.Complete)
			if c.complete && !r.Complete {
				t.Fatalf("limit of %d states is too small for a complete search", c.limit)
			}
		})
	}
}

// Guards against a model that does not detect violations: if any one rule of
// the protocol is dropped, the search must find a counterexample. Each case
// allows only the faults that its counterexample needs.
func TestMutants(t *testing.T) {
	var (
		none      = budgets{}
		restart   = budgets{total: 1, restarts: 1}
		freeze    = budgets{total: 1, freezes: 1}
		duplicate = budgets{total: 1, duplicates: 1}
		retried   = scenario{single: true, attempts: 2, seals: 1}
		keyed     = repeated.with(none)
	)
	cases := []struct {
		mutant   mutant
		scenario scenario
	}{
		{noIncarnationCheck, retried.with(restart)},
		{sealNotStored, retried.with(none)},
		{noDuplicateCheck, retried.with(duplicate)},
		{noBudgetCheck, retried.with(freeze)},
		{refusalNotFinal, retried.with(budgets{total: 2, duplicates: 1, busy: 1})},
		{everyRefusalIsProof, retried.with(duplicate)},
		{unknownSealCountsAsNeverRan, retried.with(freeze)},
		{incarnationEndedCountsAsNeverRan, retried.with(restart)},
		{retryWithoutProof, retried.with(none)},
		{deadlineCountsAsNotRun, retried.with(none)},
		{copyReachesNextIncarnation, retried.with(budgets{total: 2, duplicates: 1, restarts: 1})},
		{answerOfAnyAttempt, twoBookings.with(none)},
		{dispatchBeforeClaim, keyed},
		{claimFirstAttemptOnly, keyed},
		{writeWithoutCompare, keyed},
		{repeatWithoutSeal, keyed},
		{unknownRunsAnew, keyed},
	}
	for _, c := range cases {
		t.Run(string(c.mutant), func(t *testing.T) {
			t.Parallel()
			r := explore(t, c.scenario, c.mutant, 100_000)
			t.Logf("%d states", r.States)
			if r.Violation == nil {
				t.Fatalf("no counterexample in %d states (complete %v)", r.States, r.Complete)
			}
			t.Log(r.Violation)
		})
	}
}
