package modelcheck_test

import (
	"os"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/modelcheck"
)

// mutant drops one rule of the protocol.
type mutant string

const (
	noMutant                   mutant = ""
	noIncarnationCheck         mutant = "worker takes offers for another incarnation"
	sealNotKept                mutant = "worker does not remember seals"
	noKnownCheck               mutant = "worker takes known identities"
	noBudgetCheck              mutant = "worker takes offers after their validity"
	refusalNotFinal            mutant = "refusal does not seal"
	everyRefusalProves         mutant = "every refusal counts as proof"
	forgottenIsNeverRan        mutant = "forgotten identity counts as never run"
	incarnationOverIsNeverRan  mutant = "end of incarnation counts as never run"
	retryWithoutProof          mutant = "second attempt without proof"
	deadlineIsNotRun           mutant = "deadline counts as not run"
	answerOfAnyAttempt         mutant = "answers are not matched to attempts"
	dispatchBeforeClaim        mutant = "dispatch does not wait for the claim"
	claimFirstAttemptOnly      mutant = "later attempts are not claimed"
	writeWithoutCompare        mutant = "claim is written without compare-and-set"
	repeatWithoutSeal          mutant = "repeat runs anew without seal"
	unknownRunsAnew            mutant = "repeat runs anew after an unknown outcome"
	copyReachesNextIncarnation mutant = "transport delivers an offer to two incarnations"
)

// mutateOffer makes the worker blind to one part of an offer.
func (w *world) mutateOffer(wk worker, runs int, o *admission.Offer) {
	switch w.mutant {
	case noIncarnationCheck:
		o.Target = wk.incarnation
	case noBudgetCheck:
		o.Echo = wk.now
	case noKnownCheck:
		o.ID[7] = byte(runs)
	}
}

func (w *world) mutateSeal(s admission.SealState) admission.SealState {
	forgotten := w.mutant == forgottenIsNeverRan && s == admission.SealUnknown
	over := w.mutant == incarnationOverIsNeverRan && s == admission.SealIncarnationEnded
	if forgotten || over {
		return admission.SealNeverRan
	}
	return s
}

// The bounds of the exploration. Delay, reordering, loss, table outages, lost
// answers of claim writes and deadlines may happen at any time and are not
// counted as faults.
var (
	anyFault = budgets{total: 1, restarts: 1, freezes: 1, duplicates: 1, deaths: 1, busy: 1}
	anyTwo   = budgets{total: 2, restarts: 2, freezes: 2, duplicates: 2, deaths: 1, busy: 2}

	oneBooking  = scenario{name: "one booking without key", single: true, attempts: 3, seals: 2, faults: anyTwo}
	twoBookings = scenario{name: "two bookings without key", attempts: 1, seals: 1, faults: anyFault}
	// repeatedOnce is small enough to be explored completely.
	repeatedOnce = scenario{name: "one attempt, booking sent twice with one key", keyed: true, attempts: 1, machines: 2, seals: 1}
	repeated     = scenario{name: "booking sent twice with one key", keyed: true, attempts: 2, machines: 2, seals: 1, faults: anyFault}
)

func (sc scenario) with(faults budgets) scenario {
	sc.faults = faults
	return sc
}

func explore(t *testing.T, sc scenario, m mutant, limit int) modelcheck.Result {
	t.Helper()
	w := &world{scenario: sc, mutant: m}
	model := modelcheck.Model[state]{Initial: w.initial(), Moves: w.moves, Check: w.check}
	r := modelcheck.Explore(model, limit)
	if w.overflow > 0 {
		t.Errorf("%d states had no room for a message or run and were cut short", w.overflow)
	}
	return r
}

// longLimit is the number of states for BORAGECRANK_MODEL=long, which takes
// minutes and several gigabytes.
const longLimit = 10_000_000

// Guards against any interleaving of the bounded faults that runs a booking
// twice, reports a run request as not run, or gives a caller the response of
// another request (I4, I5, I6).
func TestProtocol(t *testing.T) {
	long := os.Getenv("BORAGECRANK_MODEL") == "long"
	cases := []struct {
		scenario scenario
		limit    int
		complete bool
	}{
		{oneBooking, 400_000, true},
		{twoBookings, 150_000, true},
		{repeatedOnce, 100_000, true},
		{repeated, 500_000, false},
	}
	if long {
		cases[1].scenario = twoBookings.with(anyTwo)
		cases[2].scenario = repeatedOnce.with(anyFault)
	}
	for _, c := range cases {
		t.Run(c.scenario.name, func(t *testing.T) {
			t.Parallel()
			if long {
				c.limit = longLimit
			}
			r := explore(t, c.scenario, noMutant, c.limit)
			if r.Violation != nil {
				t.Fatal(r.Violation)
			}
			t.Logf("%d states, %d transitions, every state up to %d moves, complete %v", r.States, r.Transitions, r.Depth, r.Complete)
			if c.complete && !r.Complete {
				t.Fatalf("%d states were not enough for a complete search", c.limit)
			}
		})
	}
}

// Guards against a model that cannot see a fault: without any one rule of the
// protocol there has to be a counterexample. Each case is given only the
// faults that its counterexample needs.
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
		{sealNotKept, retried.with(none)},
		{noKnownCheck, retried.with(duplicate)},
		{noBudgetCheck, retried.with(freeze)},
		{refusalNotFinal, retried.with(budgets{total: 2, duplicates: 1, busy: 1})},
		{everyRefusalProves, retried.with(duplicate)},
		{forgottenIsNeverRan, retried.with(freeze)},
		{incarnationOverIsNeverRan, retried.with(restart)},
		{retryWithoutProof, retried.with(none)},
		{deadlineIsNotRun, retried.with(none)},
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
