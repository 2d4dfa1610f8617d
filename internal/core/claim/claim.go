// Package claim holds the states of an Idempotency-Key claim row and the pure
// decisions about them.
//
// A row is written before the attempt that it names is dispatched, by
// compare-and-set on the row's revision, and again before each further
// attempt. It therefore always names the only attempt that may still run: all
// earlier ones were proven not run before the row was changed. A repeat of the
// key that finds a claim without outcome seals that attempt at its target.
//
// A write whose answer was lost is read back and judged by Confirm. If the
// write takes effect later still, the row names an attempt that was never
// dispatched, which the next repeat finds out by sealing it.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// State is the state of a claim row.
type State string

// States of a claim row.
const (
	// StateClaimed names an attempt whose outcome is not stored.
	StateClaimed State = "claimed"
	// StateDone has run; the response is stored unless it was too large.
	StateDone State = "done"
	// StateNotRun is proven not run.
	StateNotRun State = "not-run"
	// StateUnknown may have run and must not run again.
	StateUnknown State = "unknown"
)

// Row is the content of a claim row.
type Row struct {
	// Fingerprint identifies the content of the caller's request.
	Fingerprint string
	// Attempt is the only attempt that may have run or may still run.
	Attempt types.RequestID
	Target  request.Target
	State   State
	// Response is the stored response of StateDone, nil if it was not kept.
	Response []byte
}

// Key returns the key of the row for a caller's Idempotency-Key. Scope keeps
// the keys of different services and callers apart.
func Key(scope, idempotencyKey string) string {
	return "claims/" + digest([]byte(scope), []byte(idempotencyKey))
}

// Fingerprint identifies the content of a request.
func Fingerprint(method, target string, body []byte) string {
	return digest([]byte(method), []byte(target), body)
}

// digest hashes the parts with their lengths, so that no two lists of parts
// have the same input.
func digest(parts ...[]byte) string {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Decision is what a request with a key may do.
type Decision uint8

// Decisions.
const (
	// DecideClaim creates the row for a first attempt.
	DecideClaim Decision = iota + 1
	// DecideConflict refuses a key that was used for another request.
	DecideConflict
	// DecideReplay answers with the stored response.
	DecideReplay
	// DecideRan reports that the request ran but its response is not kept.
	DecideRan
	// DecideInProgress asks the caller to repeat later.
	DecideInProgress
	// DecideSeal seals the row's attempt at its target, then calls Resolve.
	DecideSeal
	// DecideRunAnew replaces the row's attempt by a new one with Reclaim.
	DecideRunAnew
	// DecideUnknown reports an unknown outcome; nothing is run.
	DecideUnknown
)

// String returns the decision for logs.
func (d Decision) String() string {
	names := [...]string{"none", "claim", "conflict", "replay", "ran", "in-progress", "seal", "run-anew", "unknown"}
	if int(d) < len(names) {
		return names[d]
	}
	return "invalid"
}

// Decide returns what a request may do that finds the given row, or nil for no
// row. With active the row's attempt is in progress at this entry.
func Decide(row *Row, fingerprint string, active bool) Decision {
	if row == nil {
		return DecideClaim
	}
	if row.Fingerprint != fingerprint {
		return DecideConflict
	}
	switch row.State {
	case StateDone:
		return decideDone(row)
	case StateNotRun:
		return DecideRunAnew
	case StateClaimed:
		if active {
			return DecideInProgress
		}
		return DecideSeal
	default:
		return DecideUnknown
	}
}

func decideDone(row *Row) Decision {
	if row.Response == nil {
		return DecideRan
	}
	return DecideReplay
}

// New returns the row of a first attempt.
func New(fingerprint string, attempt types.RequestID, target request.Target) Row {
	return Row{Fingerprint: fingerprint, Attempt: attempt, Target: target, State: StateClaimed}
}

// Reclaim returns the row for the next attempt in place of one that is proven
// not to have run. It fails if the row names another attempt than the proven
// one, or has an outcome that forbids another run.
func Reclaim(row Row, proven, next types.RequestID, target request.Target) (Row, error) {
	if row.Attempt != proven {
		return Row{}, rowError("names another attempt than the one proven not run")
	}
	if row.State != StateClaimed && row.State != StateNotRun {
		return Row{}, rowError(fmt.Sprintf("has the outcome %q", row.State))
	}
	return New(row.Fingerprint, next, target), nil
}

func rowError(problem string) error {
	return apperr.New(apperr.KindConflict, "idempotency claim", problem, "repeat the request with the same key")
}

// Settle returns the row with the outcome of its attempt. It reports false if
// there is nothing to write: the row names another attempt or has an outcome
// already. A response in hand replaces an unknown outcome of the same attempt.
func Settle(row Row, attempt types.RequestID, outcome apperr.Outcome, response []byte) (Row, bool) {
	if row.Attempt != attempt {
		return row, false
	}
	open := row.State == StateClaimed || row.State == StateUnknown && outcome == apperr.OutcomeDone
	if !open {
		return row, false
	}
	switch outcome {
	case apperr.OutcomeDone:
		row.State = StateDone
		row.Response = response
	case apperr.OutcomeNotRun:
		row.State = StateNotRun
	default:
		row.State = StateUnknown
	}
	return row, true
}

// Resolve returns what a repeat may do after it sealed the row's attempt, and
// the row to be written first if write is true.
func Resolve(row Row, sealed admission.SealResult) (next Row, decision Decision, write bool) {
	switch sealed.State {
	case admission.SealNeverRan:
		return row, DecideRunAnew, false
	case admission.SealInProgress, admission.SealDeferred:
		return row, DecideInProgress, false
	case admission.SealFinished:
		next, write = Settle(row, row.Attempt, sealed.Outcome, sealed.Response)
	default:
		next, write = Settle(row, row.Attempt, apperr.OutcomeUnknown, nil)
	}
	return next, Decide(&next, row.Fingerprint, false), write
}

// Confirmation tells what became of a claim write.
type Confirmation uint8

// Confirmations.
const (
	// Held means that the row names the attempt; it may be dispatched.
	Held Confirmation = iota + 1
	// NotWritten means that the row has not changed; the write may be repeated
	// or given up.
	NotWritten
	// TakenByOther means that another request has the row.
	TakenByOther
)

// Confirm judges a claim write from the row as read back, nil for no row.
// Previous is the attempt that the write replaced, zero for a first one.
func Confirm(row *Row, attempt, previous types.RequestID) Confirmation {
	var none types.RequestID
	switch {
	case row == nil && previous == none:
		return NotWritten
	case row == nil:
		return TakenByOther
	case row.Attempt == attempt && row.State == StateClaimed:
		return Held
	case row.Attempt == previous:
		return NotWritten
	default:
		return TakenByOther
	}
}
