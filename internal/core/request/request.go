// Package request is the entry's state machine for one caller request.
//
// The machine is a plain value. A method takes one input and returns the
// action that the shell carries out next. A second attempt starts only when
// the one before is proven not to have run; there is no hedging.
//
// # Identity of attempts
//
// Each attempt has its own request ID: the caller's request ID with the number
// of the attempt in the last byte. Worker-side identities are then used once:
// a seal or a refusal bars exactly one attempt, an answer names the attempt it
// belongs to, and an offer has one validity for all of its copies. Different
// IDs do not let two attempts run, because the next ID is used only after the
// proof about the one before.
//
// # Claims
//
// A request with an Idempotency-Key writes the attempt into its claim row
// before each dispatch. If another request has taken over the row, the machine
// yields and the shell decides again from the row (package claim).
package request

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// MaxAttempts is the largest number of attempts, bounded by the byte that
// holds the attempt's number.
const MaxAttempts = 255

// State is the state of a request.
type State uint8

// States of a request. Done, NotRun, Unknown and Yielded are final.
const (
	// Queued waits for a target.
	Queued State = iota
	// Claiming waits for the claim row to name the attempt.
	Claiming
	// Dispatched waits for the answer of the target.
	Dispatched
	// Sealing waits for the target to say what became of the attempt.
	Sealing
	// Done has the whole response.
	Done
	// NotRun is proven not run.
	NotRun
	// Unknown may or may not have run.
	Unknown
	// Yielded lost its claim row to another request with the same key.
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

// Outcome returns the outcome that a final state reports to the caller. It is
// empty for Yielded, whose outcome comes from the claim row.
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

// Action is what the shell has to do next.
type Action uint8

// Actions of the shell.
const (
	// ActionNone asks for nothing; the input was late, foreign or early.
	ActionNone Action = iota
	// ActionChooseTarget asks for a target for the next attempt.
	ActionChooseTarget
	// ActionClaim asks to write the attempt and its target to the claim row.
	ActionClaim
	// ActionDispatch asks to send the offer exactly once.
	ActionDispatch
	// ActionSeal asks to seal the attempt at its target.
	ActionSeal
	// ActionSealLater asks to seal again after a pause.
	ActionSealLater
	// ActionFinish asks to report the outcome to the caller.
	ActionFinish
	// ActionYield asks to decide again from the claim row.
	ActionYield
)

// Target is where an attempt goes.
type Target struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// ValidUntil is the end of the offer's validity on the target's clock.
	ValidUntil time.Duration
}

// Output is the answer to one input.
type Output struct {
	Action Action
	// Attempt is the identity of the attempt that the action concerns.
	Attempt types.RequestID
	// Target is set for claims, dispatches and seals.
	Target Target
	// Outcome is set for ActionFinish.
	Outcome apperr.Outcome
	// UseResponse tells that the response of the last input belongs to the
	// caller.
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
	targetUp      bool
	ran           bool
}

// New returns a request that waits for its first target. A keyed request
// writes a claim before each dispatch. The number of attempts is cut to
// 1..MaxAttempts. The last byte of the ID is cleared.
func New(id types.RequestID, keyed bool, attempts int) Machine {
	id[len(id)-1] = 0
	return Machine{
		id:            id,
		keyed:         keyed,
		maxAttempts:   uint8(min(max(attempts, 1), MaxAttempts)),
		attemptNumber: 1,
		targetUp:      true,
	}
}

// State returns the present state.
func (m *Machine) State() State {
	return m.state
}

// Attempt returns the identity of the present attempt.
func (m *Machine) Attempt() types.RequestID {
	return AttemptID(m.id, m.attemptNumber)
}

// AttemptNumber returns the number of the present attempt, from 1.
func (m *Machine) AttemptNumber() int {
	return int(m.attemptNumber)
}

// Target returns the target of the present attempt.
func (m *Machine) Target() Target {
	return m.target
}

// Ran reports, for Unknown, that the request is known to have run although
// its response was lost.
func (m *Machine) Ran() bool {
	return m.ran
}

// AttemptID returns the identity of an attempt of a request.
func AttemptID(id types.RequestID, number uint8) types.RequestID {
	id[len(id)-1] = number
	return id
}

// AssignTarget gives the queued request a target. Keyed requests are claimed first.
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

// Claimed tells that the claim row names the attempt.
func (m *Machine) Claimed(attempt types.RequestID) Output {
	if m.state != Claiming || attempt != m.Attempt() {
		return Output{}
	}
	m.state = Dispatched
	return m.output(ActionDispatch)
}

// ClaimFailed tells that the claim row does not name the attempt, or that this
// could not be found out in time. The attempt has not been sent.
func (m *Machine) ClaimFailed(attempt types.RequestID) Output {
	if m.state != Claiming || attempt != m.Attempt() {
		return Output{}
	}
	return m.finish(NotRun)
}

// ClaimLost tells that another request holds the claim row.
func (m *Machine) ClaimLost(attempt types.RequestID) Output {
	if m.state != Claiming || attempt != m.Attempt() {
		return Output{}
	}
	m.state = Yielded
	return m.output(ActionYield)
}

// Refused tells that the target refused the attempt. With a proof the next
// attempt may start if retry allows it; without one the attempt is sealed.
func (m *Machine) Refused(attempt types.RequestID, proven, retry bool) Output {
	if !m.awaitsAnswer(attempt) {
		return Output{}
	}
	if proven {
		return m.retryOrFinish(retry)
	}
	return m.seal()
}

// Answered tells that the whole response of the attempt has arrived.
func (m *Machine) Answered(attempt types.RequestID) Output {
	if !m.awaitsAnswer(attempt) {
		return Output{}
	}
	out := m.finish(Done)
	out.UseResponse = true
	return out
}

// AnswerLost tells that the exchange with the target ended without a whole answer,
// or took too long.
func (m *Machine) AnswerLost(attempt types.RequestID) Output {
	if m.state != Dispatched || attempt != m.Attempt() {
		return Output{}
	}
	return m.seal()
}

// NotSent tells that the exchange failed before the offer could have left this
// entry, for example because no connection was made.
func (m *Machine) NotSent(attempt types.RequestID, retry bool) Output {
	if m.state != Dispatched || attempt != m.Attempt() {
		return Output{}
	}
	return m.retryOrFinish(retry)
}

// SealAnswered takes the target's answer to a seal.
func (m *Machine) SealAnswered(attempt types.RequestID, r admission.SealResult, retry bool) Output {
	if m.state != Sealing || attempt != m.Attempt() {
		return Output{}
	}
	switch r.State {
	case admission.SealNeverRan:
		return m.retryOrFinish(retry)
	case admission.SealFinished:
		return m.sealedFinished(r)
	case admission.SealInProgress, admission.SealDeferred:
		return m.output(ActionSealLater)
	default:
		return m.finish(Unknown)
	}
}

// sealedFinished reports done only with the whole response in hand. A kept
// response holds at least its status, so an empty one was not kept.
func (m *Machine) sealedFinished(r admission.SealResult) Output {
	if r.Outcome == apperr.OutcomeDone && len(r.Response) > 0 {
		out := m.finish(Done)
		out.UseResponse = true
		return out
	}
	m.ran = r.Outcome == apperr.OutcomeDone
	return m.finish(Unknown)
}

// SealFailed tells that the target did not answer a seal.
func (m *Machine) SealFailed(attempt types.RequestID) Output {
	if m.state != Sealing || attempt != m.Attempt() {
		return Output{}
	}
	return m.output(ActionSealLater)
}

// IncarnationOver tells that an incarnation at a VM has ended. An answer may
// still be under way, so a dispatched attempt waits for the end of its
// exchange. Whether the attempt ran before is not known.
func (m *Machine) IncarnationOver(vm types.VMID, incarnation types.Incarnation) Output {
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

// Deadline ends the request at its deadline. An attempt that may have been
// sent has an unknown outcome.
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

// awaitsAnswer reports whether the attempt is the one whose answer is due.
func (m *Machine) awaitsAnswer(attempt types.RequestID) bool {
	return (m.state == Dispatched || m.state == Sealing) && attempt == m.Attempt()
}

// seal asks the target, unless it is known to be gone.
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

// retryOrFinish moves on from an attempt that is proven not to have run.
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
