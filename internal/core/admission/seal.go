package admission

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// SealState is the state of an identity in the worker's answer to a seal.
type SealState string

// States of an identity in the answer to a seal.
const (
	// SealNeverRan means that the request has not run and never will.
	SealNeverRan SealState = "never-ran"
	// SealFinished means that the request was admitted and has ended.
	SealFinished SealState = "finished"
	// SealInProgress means that the request is running.
	SealInProgress SealState = "in-progress"
	// SealUnknown means that the identity may have been forgotten.
	SealUnknown SealState = "unknown"
	// SealDeferred means that the identity was not sealed; the sender must ask
	// again.
	SealDeferred SealState = "deferred"
	// SealIncarnationEnded means that the addressed incarnation has ended. The
	// request will not be admitted any more, but it may have run already.
	SealIncarnationEnded SealState = "incarnation-over"
)

// SealRequest asks a worker never to run the request with an identity.
type SealRequest struct {
	ID     types.RequestID
	Target types.Incarnation
	// ValidUntil is the end of the validity of the offer, on the worker's clock.
	ValidUntil time.Duration
}

// SealResult is the worker's answer to a seal.
type SealResult struct {
	State SealState
	// Outcome is set for SealFinished.
	Outcome apperr.Outcome
	// Response is the complete response of a finished request if it was kept.
	Response []byte
}

// Seal ensures that an identity that has not run is never admitted, and returns
// its state.
func (r *Requests) Seal(now time.Duration, s SealRequest) SealResult {
	r.Forget(now)
	if s.Target != r.incarnation {
		return SealResult{State: SealIncarnationEnded}
	}
	if ident, known := r.memory.known[s.ID]; known {
		return sealKnown(ident)
	}
	if r.memory.forgotten(s.ValidUntil) {
		return SealResult{State: SealUnknown}
	}
	if s.ValidUntil < now {
		// The offer has expired and will be refused, so the identity need not be
		// remembered.
		return SealResult{State: SealNeverRan}
	}
	if s.ValidUntil > now+r.limits.MaxValidityAhead || !r.roomForSeal() {
		return SealResult{State: SealDeferred}
	}
	r.memory.addSealed(s.ID, s.ValidUntil)
	return SealResult{State: SealNeverRan}
}

func sealKnown(ident *identity) SealResult {
	switch {
	case ident.state == identityRunning:
		return SealResult{State: SealInProgress}
	case ident.state == identityFinished && ident.outcome != apperr.OutcomeNotRun:
		return SealResult{State: SealFinished, Outcome: ident.outcome, Response: ident.response}
	default:
		return SealResult{State: SealNeverRan}
	}
}

// Finish ends an admitted request and releases its slot. The outcome is done for a
// complete response, not-run if the upstream was never reached, and unknown
// otherwise. The response of a done request is kept for late seals if it fits in
// MaxRetainedBytes. If reusable is set, the connection stays open for the next
// request. Finish reports whether the identity was running.
func (r *Requests) Finish(id types.RequestID, outcome apperr.Outcome, response []byte, reusable bool) bool {
	ident, known := r.memory.known[id]
	if !known || ident.state != identityRunning {
		return false
	}
	r.release(ident.upstream, reusable)
	if outcome != apperr.OutcomeDone || r.memory.retainedBytes+len(response) > r.limits.MaxRetainedBytes {
		response = nil
	}
	r.memory.finish(ident, outcome, response)
	return true
}

func (r *Requests) release(u *upstream, reusable bool) {
	u.active--
	r.slotsInUse--
	if reusable && !u.withdrawn {
		u.idle++
	} else {
		r.connectionsInUse--
	}
	r.dropIfUnused(u)
}

// Forget removes settled identities whose validity and retention have ended.
// While the memory is full, it also removes identities whose validity has ended
// but whose retention has not.
func (r *Requests) Forget(now time.Duration) {
	r.memory.forget(now-r.limits.Retention, 0)
	r.memory.forget(now, r.limits.MaxIdentities-1)
}
