// Package claim implements the states of an Idempotency-Key claim row and the
// decisions that depend on them. It does no I/O.
//
// A row names an attempt. The row is written by compare-and-set on its revision
// before that attempt is dispatched, and again before each further attempt. The
// row therefore always names the only attempt that may still run: all earlier
// attempts were proven not run before the row was changed. A repeated request
// with the same key that finds a claim without an outcome seals the attempt at
// its target.
//
// If the response to a write is lost, the row is read back and passed to
// Confirm. If the write takes effect only after that read, the row names an
// attempt that was never dispatched. The next request with the key detects this
// by sealing the attempt.
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
	// StateClaimed means that the outcome of the attempt is not stored.
	StateClaimed State = "claimed"
	// StateDone means that the attempt has run. The response is stored unless
	// it was too large.
	StateDone State = "done"
	// StateNotRun means that the attempt is proven not to have run.
	StateNotRun State = "not-run"
	// StateUnknown means that the attempt may have run; the request must not be
	// run again.
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
	// Response is the response stored with StateDone; nil if it was not stored.
	Response []byte
}

// Key returns the table key of the row for a caller's Idempotency-Key. scope
// separates equal keys, for example of different services.
func Key(scope, idempotencyKey string) string {
	return "claims/" + digest([]byte(scope), []byte(idempotencyKey))
}

// Fingerprint returns a hash of the content of a request.
func Fingerprint(method, path string, body []byte) string {
	return digest([]byte(method), []byte(path), body)
}

// digest hashes the parts with their lengths, so that different lists of parts
// never give the same hash input.
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

// Decision is the way to handle a request with an Idempotency-Key.
type Decision uint8

// Decisions.
const (
	// DecideClaim creates the row for a first attempt.
	DecideClaim Decision = iota + 1
	// DecideConflict rejects a key that was used for another request.
	DecideConflict
	// DecideReplay returns the stored response.
	DecideReplay
	// DecideRan reports that the request ran but its response was not stored.
	DecideRan
	// DecideInProgress asks the caller to retry later.
	DecideInProgress
	// DecideSeal seals the row's attempt at its target, then calls Resolve.
	DecideSeal
	// DecideRerun replaces the row's attempt with a new one by Reclaim.
	DecideRerun
	// DecideUnknown reports an unknown outcome without running the request.
	DecideUnknown
)

// String returns the name of the decision for logs.
func (d Decision) String() string {
	names := [...]string{"none", "claim", "conflict", "replay", "ran", "in-progress", "seal", "run-anew", "unknown"}
	if int(d) < len(names) {
		return names[d]
	}
	return "invalid"
}

// Decide returns the decision for a request that finds the given row; nil means
// that there is no row. active means that the row's attempt is in progress at
// this entry.
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
		return DecideRerun
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

// New returns a claimed row for an attempt.
func New(fingerprint string, attempt types.RequestID, target request.Target) Row {
	return Row{Fingerprint: fingerprint, Attempt: attempt, Target: target, State: StateClaimed}
}

// Reclaim returns the row for the next attempt, which replaces the attempt
// provenNotRun. It returns an error of kind conflict if the row names an
// attempt other than provenNotRun, or has an outcome that forbids another run.
func Reclaim(row Row, provenNotRun, next types.RequestID, target request.Target) (Row, error) {
	if row.Attempt != provenNotRun {
		return Row{}, rowError("names an attempt other than the one proven not to have run")
	}
	if row.State != StateClaimed && row.State != StateNotRun {
		return Row{}, rowError(fmt.Sprintf("already has the outcome %q", row.State))
	}
	return New(row.Fingerprint, next, target), nil
}

func rowError(problem string) error {
	return apperr.New(apperr.KindConflict, "idempotency claim", problem, "repeat the request with the same key")
}

// Settle returns the row with the outcome of the attempt. It returns false if
// there is nothing to write because the row names another attempt or already
// has an outcome. OutcomeDone replaces an unknown outcome of the same attempt.
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

// Resolve returns the decision for a repeated request after it sealed the row's
// attempt. If write is true, next must be written to the table first.
func Resolve(row Row, sealed admission.SealResult) (next Row, decision Decision, write bool) {
	switch sealed.State {
	case admission.SealNeverRan:
		return row, DecideRerun, false
	case admission.SealInProgress, admission.SealDeferred:
		return row, DecideInProgress, false
	case admission.SealFinished:
		next, write = Settle(row, row.Attempt, sealed.Outcome, sealed.Response)
	default:
		next, write = Settle(row, row.Attempt, apperr.OutcomeUnknown, nil)
	}
	return next, Decide(&next, row.Fingerprint, false), write
}

// Confirmation is the result of a claim write as determined by reading the row
// back.
type Confirmation uint8

// Confirmations.
const (
	// Held means that the row names the attempt; it may be dispatched.
	Held Confirmation = iota + 1
	// NotWritten means that the row had not changed when it was read back. The
	// write may still take effect; it may be retried or abandoned.
	NotWritten
	// TakenByOther means that another request has changed the row: it names
	// another attempt, has an outcome, or is gone.
	TakenByOther
)

// Confirm determines the result of a claim write from the row as read back; nil
// means that there is no row. previous is the attempt that the write replaced,
// zero for a first attempt.
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
