package request

import (
	"testing"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

func newDispatched(t *testing.T) Machine {
	t.Helper()
	m := New(types.RequestID{1}, false, 2)
	if out := m.AssignTarget(Target{VM: "v1", Incarnation: 5}); out.Action != ActionDispatch {
		t.Fatalf("assign target: %+v", out)
	}
	return m
}

// Guards against returning the answer of an earlier attempt to the caller as
// the answer of a later attempt.
func TestLateAnswerIsDropped(t *testing.T) {
	m := newDispatched(t)
	first := m.Attempt()
	m.Refused(first, true, true)
	m.AssignTarget(Target{VM: "v2", Incarnation: 6})
	if out := m.Answered(first); out.Action != ActionNone || m.State() != Dispatched {
		t.Fatalf("answer to an earlier attempt: %+v in state %v", out, m.State())
	}
	if out := m.Answered(m.Attempt()); out.Outcome != apperr.OutcomeDone || !out.UseResponse {
		t.Fatalf("answer: %+v", out)
	}
}

// Guards against a second attempt or a not-run outcome without a proof that the
// attempt did not run.
func TestOutcomeNeedsProof(t *testing.T) {
	cases := []struct {
		name string
		end  func(*Machine)
		want State
	}{
		{"deadline while dispatched", func(m *Machine) { m.Deadline() }, Unknown},
		{"lost", func(m *Machine) { m.AnswerLost(m.Attempt()) }, Sealing},
		{"refused without proof", func(m *Machine) { m.Refused(m.Attempt(), false, true) }, Sealing},
		{"refused with proof", func(m *Machine) { m.Refused(m.Attempt(), true, true) }, Queued},
		{"refused, no retry", func(m *Machine) { m.Refused(m.Attempt(), true, false) }, NotRun},
		{"incarnation over, then lost", func(m *Machine) {
			m.IncarnationEnded("v1", 5)
			m.AnswerLost(m.Attempt())
		}, Unknown},
		{"incarnation over, then answered", func(m *Machine) {
			m.IncarnationEnded("v1", 5)
			m.Answered(m.Attempt())
		}, Done},
		{"another incarnation over", func(m *Machine) {
			m.IncarnationEnded("v1", 4)
			m.AnswerLost(m.Attempt())
		}, Sealing},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newDispatched(t)
			c.end(&m)
			if m.State() != c.want {
				t.Fatalf("state %v, want %v", m.State(), c.want)
			}
		})
	}
}

// Guards against a wrong next state after the target's answer to a seal.
func TestSealResults(t *testing.T) {
	cases := []struct {
		result admission.SealResult
		want   State
	}{
		{admission.SealResult{State: admission.SealNeverRan}, Queued},
		{admission.SealResult{State: admission.SealInProgress}, Sealing},
		{admission.SealResult{State: admission.SealDeferred}, Sealing},
		{admission.SealResult{State: admission.SealUnknown}, Unknown},
		{admission.SealResult{State: admission.SealIncarnationEnded}, Unknown},
		{admission.SealResult{State: admission.SealFinished, Outcome: apperr.OutcomeDone}, Unknown},
		{admission.SealResult{State: admission.SealFinished, Outcome: apperr.OutcomeUnknown}, Unknown},
		{admission.SealResult{State: admission.SealFinished, Outcome: apperr.OutcomeDone, Response: []byte("x")}, Done},
	}
	for _, c := range cases {
		m := newDispatched(t)
		m.AnswerLost(m.Attempt())
		m.SealAnswered(m.Attempt(), c.result, true)
		if m.State() != c.want {
			t.Errorf("%+v: state %v, want %v", c.result, m.State(), c.want)
		}
	}
}

// Guards against a keyed request being sent before its claim is written.
func TestClaimBeforeDispatch(t *testing.T) {
	m := New(types.RequestID{1}, true, 1)
	if out := m.AssignTarget(Target{VM: "v1"}); out.Action != ActionClaim {
		t.Fatalf("assign target: %+v", out)
	}
	lost, failed := m, m
	if out := m.Claimed(m.Attempt()); out.Action != ActionDispatch {
		t.Fatalf("claimed: %+v", out)
	}
	if out := lost.ClaimLost(lost.Attempt()); out.Action != ActionYield || out.Outcome != apperr.OutcomeNone {
		t.Fatalf("claim lost: %+v", out)
	}
	if out := failed.ClaimFailed(failed.Attempt()); out.Outcome != apperr.OutcomeNotRun {
		t.Fatalf("claim failed: %+v", out)
	}
}
