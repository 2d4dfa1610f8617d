package owner

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/boragecrank/boragecrank/internal/confsync"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// maintainLease observes, takes over or renews the lease, whichever is due.
func (s *hostState) maintainLease(now time.Duration) {
	if s.leaseBusy {
		return
	}
	if s.term != nil {
		s.renew(now)
		return
	}
	if s.relay == nil && now-s.ownerHeardAt < ownerSilenceLimit {
		return
	}
	if t, ok := s.observer.TryTakeover(now, s.rankingMembers()); ok && !s.rereadLease {
		s.takeOver(t)
		return
	}
	if now >= s.nextObserveAt {
		// Jitter keeps candidates from reading at the same time after an owner
		// has died.
		s.nextObserveAt = now + observeInterval + time.Duration(s.rng.Int64N(int64(observeInterval)/3))
		s.observe()
	}
}

// observe reads the lease row.
func (s *hostState) observe() {
	h := s.h
	s.leaseBusy = true
	h.async(tableTimeout, func(ctx context.Context) func(*hostState) {
		rows, err := h.opts.Lease.Get(ctx, lease.Key(h.opts.Shard))
		at := h.node.Clock()
		return func(s *hostState) {
			s.leaseBusy = false
			if err != nil {
				return
			}
			s.rereadLease = false
			h.node.Config.TableReached(at)
			row, exists := decodeLease(rows[0])
			s.observer.Observe(row, rows[0].Revision, exists, at, s.rng)
			s.reportOwnerAddress(row)
		}
	})
}

func (s *hostState) reportOwnerAddress(row lease.Row) {
	if row.Owner == "" || row.Owner == types.VMID(s.h.node.Name) {
		return
	}
	if address, err := netip.ParseAddrPort(row.Address); err == nil {
		s.h.opts.OnOwnerAddress(address)
	}
}

func decodeLease(r platform.Row) (lease.Row, bool) {
	if r.Revision == 0 {
		return lease.Row{}, false
	}
	row, err := lease.Decode(r.Value)
	if err != nil {
		// A row that cannot be decoded is treated like a stale one: candidates
		// wait until it has expired and replace it.
		return lease.Row{}, true
	}
	return row, true
}

// takeOver commits the compare-and-set that makes this worker the owner.
func (s *hostState) takeOver(t lease.Takeover) {
	h := s.h
	s.leaseBusy = true
	row := t.Row
	row.Address = h.node.Address().String()
	value, err := row.Encode()
	if err != nil {
		return
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: lease.Key(h.opts.Shard), Revision: t.Revision}},
		Writes: []platform.Write{
			{Key: lease.Key(h.opts.Shard), Value: value},
			{Key: lease.FenceKey(h.opts.Shard), Value: value},
		},
	}
	sentAt := s.firstSentAt(row.Epoch, h.node.Clock())
	h.async(tableTimeout, func(ctx context.Context) func(*hostState) {
		result, err := h.opts.Lease.Commit(ctx, txn)
		revision := result.Revision
		committed := err == nil && result.Committed
		if errors.Is(err, platform.ErrUncertain) {
			committed, revision = h.takeoverCommitted(row)
		}
		return func(s *hostState) {
			s.leaseBusy = false
			s.nextObserveAt = 0
			if committed {
				s.beginTerm(row, revision, sentAt)
				return
			}
			// The observed row is out of date or its state is unknown. Another
			// attempt on the same row would fail again, and would be repeated as
			// often as the store's rate limit allows.
			s.rereadLease = true
		}
	})
}

// firstSentAt returns when a takeover of the epoch was first sent. All attempts
// of one epoch write the same row, so a row that is read back may come from the
// first attempt, and other candidates measure the lease from its commit.
func (s *hostState) firstSentAt(epoch types.Epoch, now time.Duration) time.Duration {
	if s.lastTakeover.epoch != epoch {
		s.lastTakeover.epoch, s.lastTakeover.sentAt = epoch, now
	}
	return s.lastTakeover.sentAt
}

// takeoverCommitted reads the lease to determine whether an uncertain takeover
// has been committed, and returns the revision. If the takeover is committed
// after this read, all candidates, including this worker, wait until that lease
// has expired.
func (h *Host) takeoverCommitted(want lease.Row) (bool, uint64) {
	ctx, cancel := context.WithTimeout(h.ctx, tableTimeout)
	defer cancel()
	rows, err := h.opts.Lease.Get(ctx, lease.Key(h.opts.Shard), lease.FenceKey(h.opts.Shard))
	if err != nil {
		return false, 0
	}
	row, exists := decodeLease(rows[0])
	same := exists && row == want && rows[0].Revision == rows[1].Revision
	return same, rows[1].Revision
}

// renew renews the lease and reads the version of the accepted configuration in
// the same transaction.
func (s *hostState) renew(now time.Duration) {
	t := s.term
	if t.holder.Lost() || t.machine.Lost() {
		s.endTerm()
		return
	}
	if t.holder.NeedsRead() {
		s.readLease()
		return
	}
	r, due := t.holder.BeginRenewal(now)
	if !due {
		return
	}
	h := s.h
	s.leaseBusy = true
	value, err := r.Row.Encode()
	if err != nil {
		return
	}
	key := lease.Key(h.opts.Shard)
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: r.Revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
		Reads:      []string{key, confsync.VersionKey},
	}
	sentAt := h.node.Clock()
	h.async(tableTimeout, func(ctx context.Context) func(*hostState) {
		result, err := h.opts.Lease.Commit(ctx, txn)
		return func(s *hostState) { s.handleRenewal(t, result, err, sentAt) }
	})
}

func (s *hostState) handleRenewal(t *term, result platform.TxnResult, err error, sentAt time.Duration) {
	s.leaseBusy = false
	if s.term != t {
		return
	}
	switch {
	case errors.Is(err, platform.ErrUncertain):
		t.holder.Uncertain()
	case err != nil:
		t.holder.Refused()
	case result.Committed:
		t.holder.Committed(result.Revision)
	default:
		row, exists := decodeLease(result.Rows[0])
		t.holder.Observed(row, result.Rows[0].Revision, exists)
	}
	if err == nil {
		s.h.node.Config.TableReached(sentAt)
		s.confirmVersion(result.Rows[1], sentAt)
	}
	s.applyLeaseState(t)
}

// confirmVersion confirms the accepted version and loads the accepted
// configuration if it is newer than the current one.
func (s *hostState) confirmVersion(r platform.Row, sentAt time.Duration) {
	version, err := confsync.DecodeVersion(r)
	if err != nil {
		s.h.tel.Log.Log(eventRowProblem, err, telemetry.Fields{"key": confsync.VersionKey})
		return
	}
	if version == 0 {
		return
	}
	s.h.node.Config.Confirm(sentAt, version)
	if version > s.h.node.Config.Version() {
		s.h.running.Add(1)
		go func() {
			defer s.h.running.Done()
			ctx, cancel := context.WithTimeout(s.h.ctx, tableTimeout)
			defer cancel()
			// The load uses reads of class Lease: a new owner's rate limit for
			// other reads is one per second for a minute after an outage, and a
			// load takes three reads within tableTimeout.
			if err := s.h.node.Config.Load(ctx, s.h.opts.Lease); err != nil {
				s.h.tel.Log.Log(eventConfigNotRead, err, telemetry.Fields{"version": uint64(version)})
			}
		}()
	}
}

// readLease reads the lease row to determine the outcome of an uncertain renewal.
func (s *hostState) readLease() {
	h, t := s.h, s.term
	s.leaseBusy = true
	h.async(tableTimeout, func(ctx context.Context) func(*hostState) {
		rows, err := h.opts.Lease.Get(ctx, lease.Key(h.opts.Shard))
		return func(s *hostState) {
			s.leaseBusy = false
			if s.term != t || err != nil {
				return
			}
			row, exists := decodeLease(rows[0])
			t.holder.Observed(row, rows[0].Revision, exists)
			s.applyLeaseState(t)
		}
	})
}

// applyLeaseState passes the validity of the lease to the state machine. It ends
// the term if the lease is lost, and logs an event when the lease expires.
func (s *hostState) applyLeaseState(t *term) {
	t.machine.SetLease(t.holder.ValidUntil())
	if t.holder.Lost() {
		s.endTerm()
		return
	}
	valid := t.holder.MayAct(s.h.node.Clock())
	if !valid && t.valid {
		s.h.tel.Log.Log(eventLeaseExpired, nil, nil)
	}
	t.valid = valid
}

// releaseLease releases the lease for a planned stop, then closes done.
func (s *hostState) releaseLease(ctx context.Context, done chan struct{}) {
	if s.term == nil {
		close(done)
		return
	}
	h := s.h
	r, ok := s.term.holder.Release("")
	s.endTerm()
	if !ok {
		close(done)
		return
	}
	go func() {
		defer close(done)
		value, err := r.Row.Encode()
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		// If this fails, the lease expires instead.
		_, _ = h.opts.Lease.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: lease.Key(h.opts.Shard), Revision: r.Revision}},
			Writes:     []platform.Write{{Key: lease.Key(h.opts.Shard), Value: value}},
		})
	}()
}
