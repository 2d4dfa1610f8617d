package jobs

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// leaseFollowWait bounds a wait for a change of the lease row. With the call
	// itself it stays below leaseMaxReadAge.
	leaseFollowWait = 300 * time.Millisecond
	// reservationInterval is the pause between a candidate's checks of the
	// reservation.
	reservationInterval = 100 * time.Millisecond
	// preparedInterval is the pause between a successor's reads of the latest
	// changes. At 300 starts/s it leaves a few hundred rows for the takeover.
	preparedInterval = 250 * time.Millisecond
	// prefixLease is the prefix of the lease row.
	prefixLease = "lease/"
)

// succession is the side of a candidate while the owner of one epoch announces a
// handover.
type succession struct {
	c     *Candidate
	log   *telemetry.Logger
	epoch types.Epoch
	// followedTo is the revision up to which changes of the lease were read. A change
	// that the observer does not record, such as an unreadable row, is read once.
	followedTo uint64
	// machine belongs to the goroutine of maintainReservation.
	machine *handover.Successor
	// reserved is set while this candidate holds the reservation.
	reserved atomic.Bool
	// obtained is signalled when this candidate obtains the reservation: from then on it
	// waits for changes of the lease instead of polling it.
	obtained chan struct{}
	// rows are the rows that this candidate reads; nil before it has the reservation.
	rows atomic.Pointer[preparedRows]
}

// succeed takes part in the handover that the owner announces in the lease row, if it
// does. It returns when the handover has ended.
func (c *Candidate) succeed(ctx context.Context) {
	row, ok := c.observer.Row()
	if !ok || row.Owner == "" || row.Handover == "" || ctx.Err() != nil || !c.quiet.TakesPart(row.Handover, c.opts.Cores) {
		return
	}
	s := &succession{
		obtained: make(chan struct{}, 1), c: c, log: c.log.With(telemetry.Fields{"epoch": row.Epoch}), epoch: row.Epoch,
		machine: handover.NewSuccessor(handover.DefaultConfig(), row.Epoch, c.opts.VM, c.opts.Incarnation, c.opts.Cores, clock.Now()),
	}
	calls, cancel := context.WithCancel(ctx)
	// A term that begins waits for lists that are not complete.
	lists, endLists := context.WithCancel(context.WithoutCancel(ctx))
	defer endLists()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.maintainReservation(calls, lists)
	}()
	owned := false
	for ctx.Err() == nil && s.announced() {
		select {
		case y := <-c.yields:
			c.applyYield(ctx, y)
		default:
		}
		if takeover, ok := s.takeoverDue(ctx); ok {
			// The term may last for days; the reservation ends before it.
			cancel()
			<-done
			c.prepared = s.rows.Load()
			owned = c.takeOver(ctx, takeover)
			if owned {
				break
			}
			c.observeLease(ctx)
			if row, _ := c.observer.Row(); row.Owner != c.opts.VM && row.Owner != "" {
				break // the reservation has ended, and the owner continues
			}
		}
		s.followLease(ctx)
	}
	cancel()
	<-done
	c.prepared = nil
	if s.machine.Holds() && !owned {
		s.withdraw(ctx)
	}
}

// announced reports whether the handover continues: the owner announces it or has
// released the lease, or this candidate's takeover has succeeded without an answer.
func (s *succession) announced() bool {
	row, ok := s.c.observer.Row()
	switch {
	case !ok:
		return false
	case row.Owner == s.c.opts.VM:
		return row.Epoch == s.epoch+1
	case row.Owner == "":
		// It may be unknown for a while whether this candidate holds the reservation:
		// the rows that it has read are of use in either case.
		return row.Epoch == s.epoch && s.rows.Load() != nil
	default:
		return row.Epoch == s.epoch && row.Handover != ""
	}
}

// takeoverDue returns the takeover that is due, if any. A successor, and a candidate that the
// owner has yielded to, do not wait for candidates with more cores: the owner has chosen
// them.
func (s *succession) takeoverDue(ctx context.Context) (lease.Takeover, bool) {
	now := clock.Now()
	takeover, ok := s.c.observer.TryTakeover(now, nil)
	row, _ := s.c.observer.Row()
	chosen := s.reserved.Load() || row.Successor == s.c.opts.VM || s.c.observer.OwnerYielded()
	return takeover, ok && (chosen || s.c.mayTakeOver(ctx, takeover.Revision, now))
}

// followLease waits for a change of the lease row, or for the next read of it.
func (s *succession) followLease(ctx context.Context) {
	if !s.reserved.Load() {
		timer := time.NewTimer(jitter(leasePollInterval))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.obtained:
		case <-ctx.Done():
		}
		s.c.observeLease(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseFollowWait+tableTimeout)
	defer cancel()
	after := max(s.c.observer.Revision(), s.followedTo)
	rows, revision, err := s.c.opts.Changes.Changes(ctx, prefixLease, after, leaseFollowWait)
	if err != nil {
		sleep(ctx, jitter(tableBackoffMin))
		s.c.observeLease(ctx)
		return
	}
	s.followedTo = max(after, revision)
	if changed := lastChange(rows, lease.Key(jobsShard)); changed != nil {
		s.c.recordLease(*changed)
		return
	}
	s.c.confirmLease()
}

// lastChange returns the last state of a row among changes, or nil.
func lastChange(rows []platform.ChangedRow, key string) *platform.Row {
	for i := len(rows) - 1; i >= 0; i-- {
		if rows[i].Key != key {
			continue
		}
		if rows[i].Deleted {
			return &platform.Row{Key: key}
		}
		return &rows[i].Row
	}
	return nil
}

// confirmLease records that the lease row was found unchanged.
func (c *Candidate) confirmLease() {
	row, ok := c.observer.Row()
	c.observer.Observe(row, c.observer.Revision(), ok, clock.Now(), c.rng)
}

// maintainReservation reserves the role of successor, prepares the rows and keeps the
// reservation until the context ends.
func (s *succession) maintainReservation(ctx, lists context.Context) {
	var listed chan struct{}
	for ctx.Err() == nil {
		s.step(ctx)
		held := s.machine.Holds()
		if held && listed == nil {
			s.log.Log(eventSuccessorPrepares, nil, nil)
			rows := s.c.prepareRows(lists)
			s.rows.Store(rows)
			listed = rows.listed
			go s.prepare(ctx, rows)
		}
		if held && !s.reserved.Swap(held) {
			select {
			case s.obtained <- struct{}{}:
			default:
			}
		}
		s.reserved.Store(held)
		select {
		case <-listed:
			s.machine.Prepared()
			listed = make(chan struct{}) // never closed
			continue
		case <-time.After(jitter(reservationInterval)):
		case <-ctx.Done():
		}
	}
}

// prepare waits for the rows and then reads the changes of them until the context ends.
func (s *succession) prepare(ctx context.Context, rows *preparedRows) {
	begin := time.Now()
	if !rows.wait(ctx) {
		return
	}
	s.log.Log(eventSuccessorReady, nil, telemetry.Fields{"ms": time.Since(begin).Milliseconds()})
	rows.keepFresh(ctx, preparedInterval)
}

// step reads the reservation if this candidate does not hold it, and writes it if that
// is due.
func (s *succession) step(ctx context.Context) {
	if s.machine.NeedsRead() || !s.machine.Holds() {
		row, revision, err := s.c.readReservation(ctx)
		if err != nil {
			return
		}
		s.machine.Observe(row, revision, clock.Now())
	}
	if w, ok := s.machine.Next(clock.Now()); ok {
		s.write(ctx, w)
	}
}

func (s *succession) write(ctx context.Context, w handover.Write) {
	value, err := w.Row.Encode()
	if err != nil {
		s.machine.Refused()
		s.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": handover.Key})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := s.c.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: handover.Key, Revision: w.Revision}},
		Writes:     []platform.Write{{Key: handover.Key, Value: value, Delete: w.Delete}},
		Reads:      []string{handover.Key},
	})
	switch {
	case err == nil && res.Committed:
		s.machine.Committed(res.Revision, clock.Now())
	case err == nil:
		s.machine.Observe(s.c.decodeReservation(res.Rows[0]), res.Rows[0].Revision, clock.Now())
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRejected):
		s.machine.Refused()
	default:
		s.machine.Uncertain()
	}
}

// withdraw deletes the reservation, so that another candidate need not wait until it
// counts as dead.
func (s *succession) withdraw(ctx context.Context) {
	why := "the handover has ended without a takeover by this entry"
	if ctx.Err() != nil {
		why = "this process stops"
	}
	s.log.Log(eventSuccessorWithdrawn, nil, telemetry.Fields{"why": why})
	s.machine.Stop()
	if w, ok := s.machine.Next(clock.Now()); ok {
		s.write(context.Background(), w)
	}
}
