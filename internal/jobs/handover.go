package jobs

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// reservationPollInterval is the pause between the owner's reads of the
	// reservation, for the few seconds of a handover.
	reservationPollInterval = 50 * time.Millisecond
	// formerOwnerLimit is how long a former owner continues with what is safe beside a
	// successor. A successor that takes over reaches the workers within it.
	formerOwnerLimit = leaseSuccessorGrace + 500*time.Millisecond
	// releaseReserve is the time before the end of the process that is left for the
	// last batch and the release.
	releaseReserve = lastBatchTimeout + tableTimeout
)

// causeTermEnded is the cause of a release without a handover.
const causeTermEnded handover.Cause = "the term has ended"

var (
	eventHandoverAnnounced = telemetry.Define(560, logrus.InfoLevel, "handover announced",
		"The owner's process stops. The owner goes on until another entry has read the rows, or until the time is over. Fields: epoch, limit in ms. 543 follows.")
	eventSuccessorPrepares = telemetry.Define(561, logrus.InfoLevel, "successor prepares",
		"This entry has reserved the succession of the owner of the epoch and reads all rows. Fields: epoch. No action.")
	eventSuccessorReady = telemetry.Define(562, logrus.InfoLevel, "successor is ready",
		"This entry has read all rows and takes over when the owner releases the lease. Fields: epoch, ms. No action.")
	eventSuccessorWithdrawn = telemetry.Define(563, logrus.WarnLevel, "succession ended without a takeover",
		"Another entry has replaced this one, this process stops, or the owner has ended its handover. Fields: epoch, why. If it repeats, check whether the table is slow for this entry.")
	eventPreparedRowsUnused = telemetry.Define(564, logrus.WarnLevel, "prepared rows not used",
		"The changes since the rows were read could not be read, so the new owner lists all rows, which takes longer. Check the platform's store if it repeats.")
)

// termHandover is the state of the handover of a term that its goroutines share.
type termHandover struct {
	// announced is the reason that the lease row should hold, or empty; stored is set
	// while it holds it.
	announced atomic.Value
	stored    atomic.Bool
	// attempted is set after an attempt to hand over in a quiet period, and reservedBefore
	// is the revision of the reservation before the last such announcement. Both belong to
	// the goroutine of the handover.
	attempted      bool
	reservedBefore uint64
	// spawned is set once the core's actor exists.
	spawned atomic.Bool
	// wake makes maintainLease check the lease at once.
	wake chan struct{}
	// release tells maintainLease to release the lease.
	release chan handover.Release
	// stopBy is when the release must have ended. It is written before release.
	stopBy time.Duration
	// done is closed after the release was sent.
	done chan struct{}
}

func (h *termHandover) init() {
	h.announced.Store("")
	h.wake, h.release, h.done = make(chan struct{}, 1), make(chan handover.Release, 1), make(chan struct{})
}

// reason returns the announcement that the lease row should hold.
func (h *termHandover) reason() string {
	reason, _ := h.announced.Load().(string)
	return reason
}

// announce sets the reason that the lease row should hold.
func (h *termHandover) announce(reason string) {
	h.stored.Store(false)
	h.announced.Store(reason)
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// handOver hands the ownership over when the context parent ends, or in a quiet period if
// that is enabled. It returns at the latest when the term ends.
func (t *term) handOver(ctx, parent context.Context) {
	defer t.wg.Done()
	if t.c.opts.QuietHandover && t.c.opts.Peers != nil && t.c.opts.Cores < coresWithoutTakeoverDelay && t.handOverWhenQuiet(ctx, parent) {
		return
	}
	select {
	case <-parent.Done():
	case <-ctx.Done():
		return
	}
	// A takeover may have been under way when the process was asked to stop.
	stopBy := cmp.Or(time.Duration(t.c.stoppedAt.Load()), clock.Now()) + t.c.opts.StopTimeout
	release, ok := t.awaitSuccessor(ctx, stopBy-releaseReserve)
	if !ok {
		return // the term has ended
	}
	t.releaseTo(ctx, release, stopBy)
}

// releaseTo releases the lease before a time, and ends the term.
func (t *term) releaseTo(ctx context.Context, release handover.Release, stopBy time.Duration) {
	if t.handover.spawned.Load() {
		t.flushOnStop()
	}
	t.metrics.countHandover(release)
	t.handover.stopBy = stopBy
	t.handover.release <- release
	select {
	case <-t.handover.done:
		sleep(ctx, min(formerOwnerLimit, stopBy-clock.Now()))
	case <-ctx.Done():
	}
	t.end()
}

// awaitSuccessor announces the handover and waits until the owner has to release the
// lease. It returns false if the term has ended.
func (t *term) awaitSuccessor(ctx context.Context, deadline time.Duration) (handover.Release, bool) {
	h := handover.NewOwner(handover.DefaultConfig(), t.epoch, deadline)
	if t.handover.attempted && t.handover.reason() == "" {
		_ = t.ignoreReservation(ctx) // without an answer the release may go to a candidate that has not prepared
	}
	if now := clock.Now(); now < deadline {
		t.log.Log(eventHandoverAnnounced, nil, telemetry.Fields{"limit": (deadline - now).Milliseconds()})
		t.handover.announce(handover.ReasonStopping)
	}
	for ctx.Err() == nil {
		if release, ok := h.Next(clock.Now()); ok {
			return release, true
		}
		t.observeReservation(ctx, h, func(types.VMID) bool { return true })
		sleep(ctx, reservationPollInterval)
	}
	return handover.Release{}, false
}

// readReservation reads the reservation row. An unreadable one is returned as a row of
// no epoch, which a candidate replaces.
func (c *Candidate) readReservation(ctx context.Context) (handover.Reservation, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := c.opts.Table.Get(ctx, handover.Key)
	if err != nil {
		return handover.Reservation{}, 0, err
	}
	return c.decodeReservation(rows[0]), rows[0].Revision, nil
}

func (c *Candidate) decodeReservation(r platform.Row) handover.Reservation {
	if r.Revision == 0 {
		return handover.Reservation{}
	}
	row, err := handover.Decode(r.Value)
	if err != nil {
		c.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
	}
	return row
}

// awaitLeaseCheck waits until the next check of the lease. It returns true if it has
// released the lease instead.
func (t *term) awaitLeaseCheck(ctx context.Context) bool {
	timer := time.NewTimer(leaseCheckInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.handover.wake:
	case release := <-t.handover.release:
		stopCtx, cancel := t.stopContext()
		defer cancel()
		if t.holder.NeedsRead() {
			t.readLease(stopCtx)
		}
		t.writeRelease(stopCtx, release)
		close(t.handover.done)
		return true
	case <-ctx.Done():
	}
	return false
}

// stopContext returns a context that ends when the calls of a stopping process must have
// ended. It has no end while the process is not asked to stop, or without a StopTimeout.
func (t *term) stopContext() (context.Context, context.CancelFunc) {
	stoppedAt := time.Duration(t.c.stoppedAt.Load())
	if stoppedAt == 0 || t.c.opts.StopTimeout == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), max(0, stoppedAt+t.c.opts.StopTimeout-clock.Now()))
}

// writeRelease releases the lease. Before it is sent, the core acts as an unconfirmed
// owner: the successor may take over as soon as the table has executed the write. A
// renewal that was executed late changes the row's revision, and the release is
// repeated with the new one. Without an answer it is repeated until the process has to
// end; if an earlier attempt was executed, the repetition finds the lease released.
func (t *term) writeRelease(ctx context.Context, release handover.Release) {
	renewal, ok := t.holder.Release(release.Successor)
	t.validity.set(t.holder.ValidUntil())
	if !ok {
		return
	}
	t.stopConfirmedCore()
	var err error
	for {
		var res platform.TxnResult
		res, err = t.writeLease(ctx, renewal)
		if err == nil && res.Committed {
			break
		}
		if err == nil {
			row, decodeErr := lease.Decode(res.Rows[0].Value)
			if decodeErr != nil || row.Owner != t.c.opts.VM || row.Epoch != t.epoch {
				break // released by an earlier attempt, or taken over
			}
			renewal.Row.Renewal, renewal.Revision = row.Renewal+1, res.Rows[0].Revision
			err = errRenewedLate
		}
		if clock.Now() >= t.handover.stopBy || ctx.Err() != nil {
			break
		}
		sleep(ctx, jitter(tableBackoffMin))
	}
	t.log.Log(eventOwnershipReleased, err, telemetry.Fields{"successor": release.Successor, "cause": release.Cause})
}

// errRenewedLate is the error of a release that found a renewal which the table had
// executed late.
var errRenewedLate = errors.New("the lease was renewed by an earlier call")
