package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/claim"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/worker"
)

const (
	// claimTimeout bounds one read or write of a claim row, and the wait for an
	// outcome to be stored. It is more than twice store.EntryAttemptTimeout, so
	// that the store can read back a write that was not answered.
	claimTimeout = 2 * time.Second
	// settleTimeout bounds the time spent on storing an outcome. If it passes, a
	// repeat of the request determines the outcome by sealing.
	settleTimeout = 30 * time.Second
	// settleRetryInterval is the time between attempts to store an outcome.
	settleRetryInterval = 500 * time.Millisecond
	// maxStoredResponse bounds the body of a response stored in a claim row, in
	// bytes. Larger responses are not stored.
	maxStoredResponse = 64 << 10
)

// Claims reads and writes claim rows. An error of kind uncertain means that a
// write may have taken effect.
type Claims interface {
	// Get returns the row of a key; revision 0 means that there is no row.
	Get(ctx context.Context, key string) (platform.Row, error)
	// Put writes the row if its revision matches, and returns the new revision.
	// It reports false if the row has another revision.
	Put(ctx context.Context, key string, revision uint64, value []byte) (uint64, bool, error)
}

// claimResult is the result of a claim write.
type claimResult int

const (
	// claimHeld means that the row names this attempt.
	claimHeld claimResult = iota + 1
	// claimLost means that the attempt cannot be claimed, because another request
	// has changed the row.
	claimLost
	// claimUnconfirmed means that the write is not confirmed. It may still take
	// effect.
	claimUnconfirmed
)

// requestClaim is the claim of one request in progress.
type requestClaim struct {
	e           *Entry
	key         string
	fingerprint string

	row      *claim.Row
	revision uint64
	// held is the latest attempt of this request that was written to the row, or
	// zero if there is none.
	held types.RequestID
}

// openClaim decides whether a request with a key may run. If it may, openClaim
// returns a claim; otherwise it returns the result for the caller.
func (e *Entry) openClaim(ctx context.Context, c *call) (*requestClaim, *result) {
	cl := &requestClaim{
		e:           e,
		key:         claim.Key(string(c.service.Name), c.key),
		fingerprint: claim.Fingerprint(c.method, c.path, c.body),
	}
	for ctx.Err() == nil {
		if err := cl.load(ctx); err != nil {
			return nil, &result{outcome: apperr.OutcomeUnknown, err: errKeyUnreadable(c)}
		}
		active := cl.row != nil && e.active.contains(cl.row.Attempt)
		decision := claim.Decide(cl.row, cl.fingerprint, active)
		if decision == claim.DecideSeal {
			resolved, ok := cl.resolve(ctx)
			if !ok {
				continue
			}
			decision = resolved
		}
		if decision == claim.DecideClaim || decision == claim.DecideRerun {
			return cl, nil
		}
		return nil, cl.resultOf(c, decision)
	}
	return nil, &result{outcome: apperr.OutcomeUnknown, err: errOutcomeUnknown(c)}
}

func (cl *requestClaim) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row, err := cl.e.opts.Claims.Get(ctx, cl.key)
	if err != nil {
		return err
	}
	cl.row, cl.revision = nil, row.Revision
	if row.Revision == 0 {
		return nil
	}
	decoded, err := claim.Decode(row.Value)
	if err != nil {
		return err
	}
	cl.row = &decoded
	return nil
}

// resolve seals the attempt that the row names and stores its outcome. It
// reports false if the row has to be read again. If the seal call fails, resolve
// returns DecideInProgress.
func (cl *requestClaim) resolve(ctx context.Context) (claim.Decision, bool) {
	sealed, err := cl.e.sealAt(ctx, cl.row.Attempt, cl.row.Target)
	if err != nil {
		return claim.DecideInProgress, true
	}
	next, decision, write := claim.Resolve(*cl.row, sealed)
	if !write {
		return decision, true
	}
	if !cl.write(ctx, next) {
		return 0, false
	}
	return decision, true
}

// write replaces the row and reports whether it succeeded.
func (cl *requestClaim) write(ctx context.Context, next claim.Row) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := next.Encode()
	if err != nil {
		return false
	}
	revision, ok, err := cl.e.opts.Claims.Put(ctx, cl.key, cl.revision, value)
	if err != nil || !ok {
		return false
	}
	cl.row, cl.revision = &next, revision
	return true
}

// resultOf returns the result for a decision not to run the request.
func (cl *requestClaim) resultOf(c *call, d claim.Decision) *result {
	switch d {
	case claim.DecideReplay:
		var stored worker.StoredResponse
		if err := json.Unmarshal(cl.row.Response, &stored); err != nil {
			return &result{outcome: apperr.OutcomeDone, err: errResponseNotKept(c)}
		}
		return &result{outcome: apperr.OutcomeDone, response: &stored}
	case claim.DecideConflict:
		return &result{outcome: apperr.OutcomeNotRun, err: errKeyReused(c)}
	case claim.DecideRan:
		return &result{outcome: apperr.OutcomeDone, err: errResponseNotKept(c)}
	case claim.DecideInProgress:
		return &result{outcome: apperr.OutcomeUnknown, err: errClaimTaken(c)}
	default:
		return &result{outcome: apperr.OutcomeUnknown, err: errOutcomeUnknown(c)}
	}
}

// acquire writes the attempt to the claim row. It is called before the attempt
// is dispatched.
func (cl *requestClaim) acquire(ctx context.Context, attempt types.RequestID, t request.Target) claimResult {
	next := claim.New(cl.fingerprint, attempt, t)
	var previous types.RequestID
	if cl.row != nil {
		previous = cl.row.Attempt
		var err error
		next, err = claim.Reclaim(*cl.row, previous, attempt, t)
		if err != nil {
			return claimLost
		}
	}
	// The attempt becomes active before the write, so that a repeat that reads
	// the row does not seal the attempt between its claim and its dispatch.
	cl.e.active.add(attempt)
	res := cl.writeAndConfirm(ctx, next, attempt, previous)
	if res != claimHeld {
		// The attempt is never dispatched. If its write takes effect later, a
		// repeat determines the outcome by sealing.
		cl.e.active.remove(attempt)
		return res
	}
	cl.e.active.remove(cl.held)
	cl.held = attempt
	return claimHeld
}

// writeAndConfirm writes the row of an attempt and, if the write was not
// confirmed, reads it back.
func (cl *requestClaim) writeAndConfirm(ctx context.Context, next claim.Row, attempt, previous types.RequestID) claimResult {
	if cl.write(ctx, next) {
		return claimHeld
	}
	// The write either lost a race or its response was lost; the row shows which.
	if err := cl.load(ctx); err != nil {
		return claimUnconfirmed
	}
	switch claim.Confirm(cl.row, attempt, previous) {
	case claim.Held:
		return claimHeld
	case claim.TakenByOther:
		return claimLost
	default:
		return claimUnconfirmed
	}
}

// settle stores the outcome of the last attempt that this request held. It does
// not change a row that names another request's attempt. Until settle has
// succeeded, a repeat determines the outcome by sealing.
func (cl *requestClaim) settle(ctx context.Context, res result) {
	attempt := cl.held
	if attempt == (types.RequestID{}) {
		return
	}
	defer cl.e.active.remove(attempt)
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for cl.row != nil {
		next, needed := claim.Settle(*cl.row, attempt, res.outcome, storedResponse(res))
		if !needed || cl.write(ctx, next) {
			return
		}
		if err := sleep(ctx, settleRetryInterval); err != nil {
			return
		}
		// If the read fails, the next iteration retries with the row read last.
		_ = cl.load(ctx)
	}
}

func storedResponse(res result) []byte {
	if res.response == nil || len(res.response.Body) > maxStoredResponse {
		return nil
	}
	b, err := json.Marshal(res.response)
	if err != nil {
		return nil
	}
	return b
}

// attemptSet is the set of claimed attempts that are in progress at this entry.
type attemptSet struct {
	mu  sync.Mutex
	ids map[types.RequestID]struct{}
}

func newAttemptSet() *attemptSet {
	return &attemptSet{ids: make(map[types.RequestID]struct{})}
}

func (s *attemptSet) add(id types.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[id] = struct{}{}
}

func (s *attemptSet) remove(id types.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}

func (s *attemptSet) contains(id types.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.ids[id]
	return ok
}
