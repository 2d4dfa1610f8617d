package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Limits are the maximum call rates of one store.
type Limits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// LeaseShare is the fraction of both rates, 0 to 1, reserved for leases.
	LeaseShare float64
}

// OwnerLimits returns the limits of a shard owner. With 36 owners and four
// entries the table gets at most 296 writes and 1,480 reads per second.
func OwnerLimits() Limits {
	return Limits{WritesPerSecond: 6, ReadsPerSecond: 30, LeaseShare: 1.0 / 6}
}

// EntryLimits returns the limits of an entry, which has few leases and many
// claims.
func EntryLimits() Limits {
	return Limits{WritesPerSecond: 20, ReadsPerSecond: 100, LeaseShare: 0.05}
}

// Defaults of Options.
const (
	DefaultAttemptTimeout = 2 * time.Second
	DefaultGroupSize      = 256
)

// EntryAttemptTimeout is the attempt timeout of entries. A caller waits for its
// claim, and an entry gives up a claim after 2 s: an unanswered write and its
// read-back have to fit in that time.
const EntryAttemptTimeout = 800 * time.Millisecond

// Options configures a Store.
type Options struct {
	// Name is part of the lane keys. It must be unique among running processes. A
	// restarted process should use the same name again, so that unused lanes do
	// not accumulate.
	Name string
	// Incarnation is the incarnation of the process; it must not be zero.
	Incarnation types.Incarnation
	// Limits defaults to OwnerLimits.
	Limits Limits
	// AttemptTimeout bounds one call to the table. It defaults to 2 s, a third
	// of the TTL of a shard lease.
	AttemptTimeout time.Duration
	// GroupSize is the maximum number of claims or reports that are merged into
	// one transaction. It defaults to DefaultGroupSize.
	GroupSize int
	// Clock defaults to the system's monotonic clock.
	Clock Clock
	// Rand is the source of the jitter. By default it has a random seed.
	Rand *rand.Rand
	// Scope receives the counters; nil counts nothing.
	Scope tally.Scope
	// Logger receives events; nil logs nothing.
	Logger *telemetry.Logger

	noReadBack bool // only for tests: treats a lost answer as a conflict
	noPacing   bool // only for tests: does not limit the rate after an outage
}

// Store is the client of the table. It is safe for concurrent use.
type Store struct {
	table   platform.Table
	opts    Options
	gate    *gate
	lanes   [numClasses]*lane
	metrics *metrics
	log     *telemetry.Logger
}

// New returns a store. It starts no goroutines before the first call.
func New(table platform.Table, opts Options) *Store {
	opts = withDefaults(opts)
	s := &Store{
		table: table, opts: opts, log: opts.Logger,
		metrics: newMetrics(opts.Scope),
		gate: &gate{
			clock: opts.Clock, rng: opts.Rand,
			adm:     newAdmission(opts.Limits, opts.Clock.Now()),
			changed: make(chan struct{}),
		},
	}
	for _, b := range s.gate.adm.budgets {
		b.pacingEnabled = !opts.noPacing
	}
	for c := range s.lanes {
		s.lanes[c] = newLane(s, Class(c))
	}
	return s
}

func withDefaults(o Options) Options {
	if o.Limits == (Limits{}) {
		o.Limits = OwnerLimits()
	}
	if o.AttemptTimeout <= 0 {
		o.AttemptTimeout = DefaultAttemptTimeout
	}
	if o.GroupSize <= 0 {
		o.GroupSize = DefaultGroupSize
	}
	if o.Clock == nil {
		o.Clock = systemClock{start: time.Now()}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = telemetry.Discard()
	}
	return o
}

// Commit commits the transaction, retrying as needed until the context ends. If
// a condition does not hold, the result's Committed is false, and no copy of the
// transaction can be committed later. If the answer was lost and the outcome
// read back, the rows of Txn.Reads are as of the read-back. Errors, by kind:
//
//   - unavailable: nothing was changed. During an outage, claims get this error
//     without waiting for their context to end.
//   - limited: nothing was changed; the rate limit allowed no attempt in time,
//     or too many transactions of the class are waiting.
//   - uncertain: the transaction may have been committed or may still be.
//   - refused: the table refused the transaction; nothing was changed.
//
// Errors of kind uncertain wrap platform.ErrUncertain. Errors of kind
// unavailable, and errors of kind limited for an attempt that was not admitted in
// time, wrap platform.ErrUnavailable. No error wraps both.
func (s *Store) Commit(ctx context.Context, class Class, txn platform.Txn) (platform.TxnResult, error) {
	if wait := s.gate.outageWait(); class == Claim && wait > 0 {
		s.metrics.count(accessWrite, class, resultUnavailable)
		return platform.TxnResult{}, errOutage(wait)
	}
	return s.lanes[class].commit(ctx, txn)
}

// Get returns the rows of the keys in the order of the keys. It retries the read
// until the context ends. Errors are of kind unavailable, limited or refused.
func (s *Store) Get(ctx context.Context, class Class, keys ...string) ([]platform.Row, error) {
	return s.read(ctx, class, func(ctx context.Context) ([]platform.Row, error) {
		return s.table.Get(ctx, keys...)
	})
}

// Scan returns up to limit rows whose keys have the prefix and sort after the
// key after. It retries and returns errors as Get does.
func (s *Store) Scan(ctx context.Context, class Class, prefix, after string, limit int) ([]platform.Row, error) {
	return s.read(ctx, class, func(ctx context.Context) ([]platform.Row, error) {
		return s.table.Scan(ctx, prefix, after, limit)
	})
}

func (s *Store) read(ctx context.Context, class Class, do func(context.Context) ([]platform.Row, error)) ([]platform.Row, error) {
	var last error
	for {
		if wait := s.gate.outageWait(); class == Claim && wait > 0 {
			s.metrics.count(accessRead, class, resultUnavailable)
			return nil, errOutage(wait)
		}
		t, err := s.gate.acquire(ctx, accessRead, class)
		if err != nil {
			return nil, s.errGivenUp(accessRead, class, err, last)
		}
		rows, err := s.readOnce(ctx, t, do)
		if err == nil {
			s.metrics.count(accessRead, class, resultDone)
			return rows, nil
		}
		if !transient(err) {
			s.metrics.count(accessRead, class, resultRefused)
			return nil, errRefused(err)
		}
		s.metrics.count(accessRead, class, resultRetried)
		last = err
	}
}

// readOnce makes one admitted read and reports its result to the gate.
func (s *Store) readOnce(ctx context.Context, t ticket, do func(context.Context) ([]platform.Row, error)) ([]platform.Row, error) {
	attempt, cancel := context.WithTimeout(ctx, s.opts.AttemptTimeout)
	defer cancel()
	rows, err := do(attempt)
	if err != nil && ctx.Err() != nil {
		// The caller gave up, which does not show whether the table is failing.
		s.gate.release(t)
		return nil, err
	}
	s.recordResult(t, err)
	return rows, err
}

// recordResult records the result of an attempt in the gate, and logs the start
// or end of an outage.
func (s *Store) recordResult(t ticket, err error) {
	if err == nil || !transient(err) {
		if s.gate.recordSuccess(t) {
			s.log.Log(eventOutageEnded, nil, nil)
		}
		return
	}
	if s.gate.recordFailure(t) {
		s.log.Log(eventOutageStarted, err, nil)
	}
}

// transient reports whether the error means that no answer was received.
func transient(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// errGivenUp returns the error for a caller whose context ended before anything
// was changed. last is the error of the last attempt, or nil if none was made.
func (s *Store) errGivenUp(acc access, class Class, ctxErr, last error) error {
	if last == nil && s.gate.outageWait() == 0 {
		s.metrics.count(acc, class, resultLimited)
		return apperr.Wrap(withSentinel(platform.ErrUnavailable, ctxErr), apperr.KindLimited, "table",
			"the store's rate limit allowed no attempt in time; nothing was changed", "retry later")
	}
	if last == nil {
		last = ctxErr
	}
	s.metrics.count(acc, class, resultUnavailable)
	return apperr.Wrap(withSentinel(platform.ErrUnavailable, last), apperr.KindUnavailable, "table",
		"the table did not answer in time; nothing was changed", "retry when the table answers again")
}

// withSentinel returns an error that wraps sentinel (platform.ErrUnavailable or
// platform.ErrUncertain) and has the text of the cause. The cause itself is not
// wrapped: it may be the error of an attempt and wrap the other sentinel.
func withSentinel(sentinel, cause error) error {
	return fmt.Errorf("%w: %s", sentinel, cause.Error())
}

func errOutage(wait time.Duration) error {
	return trace.Wrap(&apperr.Error{
		Kind: apperr.KindUnavailable, Object: "table",
		Problem: "the table is in an outage; nothing was changed",
		Remedy:  "retry later", RetryAfter: wait, Cause: platform.ErrUnavailable,
	})
}

func errRefused(cause error) error {
	return apperr.Wrap(cause, apperr.KindRefused, "table",
		"the table refused the call; nothing was changed", "correct the call")
}

func errUncertain(cause error) error {
	return apperr.Wrap(withSentinel(platform.ErrUncertain, cause), apperr.KindUncertain, "table",
		"it is not known whether the transaction was committed",
		"read the rows that it writes; to prevent a late commit, change a row that it is conditional on")
}
