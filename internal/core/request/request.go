// Package request implements the entry's state machine for one caller request.
//
// The machine is a plain value. Each method takes one input and returns the
// action that the entry carries out next. A second attempt starts only after the
// previous one is proven not to have run; there is no hedging.
//
// # Identity of attempts
//
// Each attempt has its own request ID: the ID of the caller's request with the
// number of the attempt in the last byte. Each worker-side identity is thus used
// for one attempt only: a seal or a refusal applies to exactly one attempt, an
// answer names its attempt, and all copies of an offer have the same validity.
// Two attempts never both run: the next ID is used only after the previous attempt
// is proven not to have run.
//
// # Claims
//
// A keyed request, one with an Idempotency-Key, writes the attempt into its claim
// row before each dispatch. If another request has taken over the row, the machine
// yields and the entry decides again from the row (see package claim).
package request

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// MaxAttempts is the maximum number of attempts. One byte of the request ID holds
// the number of the attempt.
const MaxAttempts = 255

// State is the state of a request.
type State uint8

// States of a request. Done, NotRun, Unknown and Yielded are final.
const (
	// Queued means that the request waits for a target.
	Queued State = iota
	// Claiming means that the attempt is being written to the claim row.
	Claiming
	// Dispatched means that the request waits for the target's answer.
	Dispatched
	// Sealing means that the request waits for the target's answer to a seal,
	// which reports the outcome of the attempt.
	Sealing
	// Done means that the complete response has arrived.
	Done
	// NotRun means that the request is proven not to have run.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
	// Yielded means that another request with the same key holds the claim row.
	Yielded
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"queued", "claiming", "dispatched", "sealing", "done", "not-run", "unknown", "yielded"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Final reports whether the state has no successor.
func (s State) Final() bool {
	return s >= Done
}

// Outcome returns the outcome to report to the caller in a final state. It is
// empty for Yielded, where the claim row determines the outcome.
func (s State) Outcome() apperr.Outcome {
	switch s {
	case Done:
		return apperr.OutcomeDone
	case NotRun:
		return apperr.OutcomeNotRun
	case Unknown:
		return apperr.OutcomeUnknown
	default:
		return apperr.OutcomeNone
	}
}

// Action is what the entry has to do next.
type Action uint8

// Actions of the entry.
const (
	// ActionNone: do nothing. The input does not apply to the current state or
	// attempt, or the machine waits for another input.
	ActionNone Action = iota
	// ActionChooseTarget: choose a target for the next attempt.
	ActionChooseTarget
	// ActionClaim: write the attempt and its target to the claim row.
	ActionClaim
	// ActionDispatch: send the offer exactly once.
	ActionDispatch
	// ActionSeal: seal the attempt at its target.
	ActionSeal
	// ActionSealLater: seal the attempt again after a pause.
	ActionSealLater
	// ActionFinish: report the outcome to the caller.
	ActionFinish
	// ActionYield: decide again from the claim row.
	ActionYield
)

// Target is the worker incarnation that an attempt is sent to.
type Target struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// ValidUntil is the end of the offer's validity on the target's clock.
	ValidUntil time.Duration
}

// Output is the result of one input.
type Output struct {
	Action Action
	// Attempt is the request ID of the current attempt.
	Attempt types.RequestID
	// Target is set for claims, dispatches and seals.
	Target Target
	// Outcome is set for ActionFinish.
	Outcome apperr.Outcome
	// UseResponse is set if the response that came with the input is to be
	// returned to the caller.
	UseResponse bool
}

// Machine is the state of one request at its entry.
type Machine struct {
	id            types.RequestID
	keyed         bool
	maxAttempts   uint8
	attemptNumber uint8
	state         State
	target        Target
	// targetUp is false once the target's incarnation is known to have ended.
	targetUp bool
	ran      bool
}

// New returns a request that waits for its first target. A keyed request writes a
// claim before each dispatch. attemptLimit is the maximum number of attempts; it is
// limited to the range from 1 to MaxAttempts. The last byte of the ID is cleared.
func New(id types.RequestID, keyed bool, attemptLimit int) Machine {
	id[len(id)-1] = 0
	return Machine{
		id:            id,
		keyed:         keyed,
		maxAttempts:   uint8(min(max(attemptLimit, 1), MaxAttempts)),
		attemptNumber: 1,
		targetUp:      true,
	}
}

// State returns the current state.
func (m *Machine) State() State {
	return m.state
}

// Attempt returns the request ID of the current attempt.
func (m *Machine) Attempt() types.RequestID {
	return AttemptID(m.id, m.attemptNumber)
}

// AttemptNumber returns the number of the current attempt, counted from 1.
func (m *Machine) AttemptNumber() int {
	return int(m.attemptNumber)
}

// Target returns the target of the current attempt.
func (m *Machine) Target() Target {
	return m.target
}

// Ran reports, in state Unknown, whether the request is known to have run although
// its response was lost.
func (m *Machine) Ran() bool {
	return m.ran
}

// AttemptID returns the request ID of an attempt of a request.
func AttemptID(id types.RequestID, number uint8) types.RequestID {
	id[len(id)-1] = number
	return id
}

// AssignTarget sets the target of a queued request. A keyed request is claimed
// next, any other one is dispatched.
func (m *Machine) AssignTarget(t Target) Output {
	if m.state != Queued {
		return Output{}
	}
	m.target = t
	m.targetUp = true
	if m.keyed {
		m.state = Claiming
		return m.output(ActionClaim)
	}
	m.state = Dispatched
	return m.output(ActionDispatch)
}

// Claimed records that the claim row names the attempt.
func (m *Machine) Claimed(attempt types.RequestID) Output {
	if m.state != Claiming || attempt != m.Attempt() {
		return Output{}
	}
	m.state = Dispatched
	return m.output(ActionDispatch)
}

// ClaimFailed records that the claim row does not name the attempt, or that its
// content could not be determined in time. The attempt has not been sent.
func (m *Machine) ClaimFailed(attempt types.RequestID) Output {
	if m.state != Claiming || attempt != m.Attempt() {
		return Output{}
	}
	return m.finish(NotRun)
}

// ClaimLost records that another request holds the claim row.
func (m *Machine) ClaimLost(attempt types.RequestID) Output {
	if m.state != Claiming || attempt != m.Attempt() {
		return Output{}
	}
	m.state = Yielded
	return m.output(ActionYield)
}

// Refused records that the target refused the attempt. If the refusal proves that
// the attempt did not run, the next attempt starts if retry is set; otherwise the
// attempt is sealed.
func (m *Machine) Refused(attempt types.RequestID, proven, retry bool) Output {
	if !m.awaitsAnswer(attempt) {
		return Output{}
	}
	if proven {
		return m.retryOrFinish(retry)
	}
	return m.seal()
}

// Answered records that the complete response of the attempt has arrived.
func (m *Machine) Answered(attempt types.RequestID) Output {
	if !m.awaitsAnswer(attempt) {
		return Output{}
	}
	out := m.finish(Done)
	out.UseResponse = true
	return out
}

// AnswerLost records that the exchange with the target ended without a complete
// answer or timed out.
func (m *Machine) AnswerLost(attempt types.RequestID) Output {
	if m.state != Dispatched || attempt != m.Attempt() {
		return Output{}
	}
	return m.seal()
}

// NotSent records that the exchange failed before any part of the offer was sent,
// for example because no connection was established. The attempt has not run; retry
// allows another one.
func (m *Machine) NotSent(attempt types.RequestID, retry bool) Output {
	if m.state != Dispatched || attempt != m.Attempt() {
		return Output{}
	}
	return m.retryOrFinish(retry)
}

// SealAnswered records the target's answer to a seal. If the answer proves that the
// attempt did not run, retry allows another one.
func (m *Machine) SealAnswered(attempt types.RequestID, r admission.SealResult, retry bool) Output {
	if m.state != Sealing || attempt != m.Attempt() {
		return Output{}
	}
	switch r.State {
	case admission.SealNeverRan:
		return m.retryOrFinish(retry)
	case admission.SealFinished:
		return m.finishFromSeal(r)
	case admission.SealInProgress, admission.SealDeferred:
		return m.output(ActionSealLater)
	default:
		return m.finish(Unknown)
	}
}

// finishFromSeal finishes a request whose attempt has run, by the answer to the
// seal. The outcome is done only if the answer contains the complete response. A
// kept response includes at least its status, so an empty one was not kept.
func (m *Machine) finishFromSeal(r admission.SealResult) Output {
	if r.Outcome == apperr.OutcomeDone && len(r.Response) > 0 {
		out := m.finish(Done)
		out.UseResponse = true
		return out
	}
	m.ran = r.Outcome == apperr.OutcomeDone
	return m.finish(Unknown)
}

// SealFailed records that the target did not answer a seal.
func (m *Machine) SealFailed(attempt types.RequestID) Output {
	if m.state != Sealing || attempt != m.Attempt() {
		return Output{}
	}
	return m.output(ActionSealLater)
}

// IncarnationEnded records that a worker incarnation on a VM has ended. An answer
// may still be in flight, so a dispatched attempt waits for the end of its
// exchange. Whether the attempt ran before the incarnation ended is not known, so
// a request that is being sealed ends with an unknown outcome.
func (m *Machine) IncarnationEnded(vm types.VMID, incarnation types.Incarnation) Output {
	if m.target.VM != vm || m.target.Incarnation != incarnation {
		return Output{}
	}
	switch m.state {
	case Dispatched:
		m.targetUp = false
		return Output{}
	case Sealing:
		return m.finish(Unknown)
	default:
		return Output{}
	}
}

// Deadline ends the request without another attempt, for example at its deadline.
// An attempt that may have been sent has an unknown outcome.
func (m *Machine) Deadline() Output {
	switch m.state {
	case Queued, Claiming:
		return m.finish(NotRun)
	case Dispatched, Sealing:
		return m.finish(Unknown)
	default:
		return Output{}
	}
}

// awaitsAnswer reports whether the machine waits for an answer to the attempt.
func (m *Machine) awaitsAnswer(attempt types.RequestID) bool {
	return (m.state == Dispatched || m.state == Sealing) && attempt == m.Attempt()
}

// seal starts sealing the attempt. If the target's incarnation is known to have
// ended, the outcome is unknown.
func (m *Machine) seal() Output {
	if m.state == Sealing {
		return Output{}
	}
	if !m.targetUp {
		return m.finish(Unknown)
	}
	m.state = Sealing
	return m.output(ActionSeal)
}

// retryOrFinish handles an attempt that is proven not to have run: it starts the
// next attempt if that is allowed, otherwise the request ends as not run.
func (m *Machine) retryOrFinish(retry bool) Output {
	if !retry || m.attemptNumber >= m.maxAttempts {
		return m.finish(NotRun)
	}
	m.attemptNumber++
	m.state = Queued
	m.target = Target{}
	return m.output(ActionChooseTarget)
}

func (m *Machine) finish(s State) Output {
	m.state = s
	out := m.output(ActionFinish)
	out.Outcome = s.Outcome()
	return out
}

func (m *Machine) output(a Action) Output {
	return Output{Action: a, Attempt: m.Attempt(), Target: m.target}
}
