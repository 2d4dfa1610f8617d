package lease

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Rand is the source of jitter. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	Int64N(n int64) int64
}

// Takeover is a compare-and-set that makes a candidate the holder. Row is
// written to the lease row and the fence row in one transaction. The
// transaction is conditional on the revision of the lease row; 0 means that no
// row exists.
type Takeover struct {
	Row      Row
	Revision uint64
}

// Observer tracks the lease of one shard for a candidate.
type Observer struct {
	cfg         Config
	shard       types.ShardID
	self        types.VMID
	incarnation types.Incarnation
	row         Row
	revision    uint64
	exists      bool
	seen        bool
	// unchangedSince is when the current row was first received. Observe moves
	// it forward after a gap between reads.
	unchangedSince time.Duration
	// readAt is when the last read was received.
	readAt time.Duration
	jitter time.Duration
	// yielded is the row of the last term whose owner has yielded to this candidate.
	yielded Row
}

// NewObserver returns the observer of a shard's lease for the candidate VM
// self.
func NewObserver(cfg Config, shard types.ShardID, self types.VMID, incarnation types.Incarnation) *Observer {
	return &Observer{cfg: cfg, shard: shard, self: self, incarnation: incarnation}
}

// Observe records the row as read. receivedAt is when the response arrived;
// exists is false if there is no row. A changed row restarts the wait for the
// TTL and draws a new jitter.
func (o *Observer) Observe(row Row, revision uint64, exists bool, receivedAt time.Duration, rng Rand) {
	readGap := o.seen && o.cfg.MaxReadAge > 0 && receivedAt > o.readAt+o.cfg.MaxReadAge
	o.readAt = receivedAt
	if o.seen && o.exists == exists && o.revision == revision && o.row == row {
		if readGap {
			// Gives the owner RenewalGrace to renew the lease after an outage of
			// the table.
			o.unchangedSince = max(o.unchangedSince, receivedAt-o.cfg.TTL+o.cfg.RenewalGrace)
		}
		return
	}
	o.seen = true
	o.row = row
	o.revision = revision
	o.exists = exists
	o.unchangedSince = receivedAt
	o.jitter = 0
	if o.cfg.Jitter > 0 {
		o.jitter = time.Duration(rng.Int64N(int64(o.cfg.Jitter)))
	}
}

// Revision returns the revision of the last observed row; 0 if there is none.
func (o *Observer) Revision() uint64 {
	return o.revision
}

// Row returns the last observed row. It returns false before the first read, or
// if the row did not exist.
func (o *Observer) Row() (Row, bool) {
	return o.row, o.seen && o.exists
}

// TakeoverAt returns when the candidate may take the lease over. live lists the
// shard's members that the candidate considers live. The wait after the last
// observed change of the row consists of the TTL, the rank delay and the jitter.
// The TTL is left out if the row has no owner that may be alive. After a gap
// between reads, Observe may prolong the wait. The candidate that a lease was released or yielded to, or
// that reclaims its own lease, waits for nothing; other candidates for a released lease wait
// for SuccessorGrace in addition. TakeoverAt returns false before the first read, or if
// the candidate itself holds the lease and ReclaimOwnLease is not set.
func (o *Observer) TakeoverAt(live []types.VMID) (time.Duration, bool) {
	if !o.seen {
		return 0, false
	}
	if !o.cfg.ReclaimOwnLease && o.exists && o.row.Owner == o.self && o.row.Incarnation == o.incarnation {
		return 0, false
	}
	if o.releasedTo() == o.self && o.self != "" {
		return o.unchangedSince, true
	}
	if o.reclaimable() || o.OwnerYielded() {
		// No other candidate may take the lease over before its TTL has passed, so
		// there is nobody to spread the writes from.
		return o.unchangedSince, true
	}
	at := o.unchangedSince + o.jitter
	if o.releasedTo() != "" {
		at += o.cfg.SuccessorGrace
	}
	at += time.Duration(Rank(o.shard, o.row.Epoch, o.self, live)) * o.cfg.RankDelay
	if o.ownerMayBeAlive() {
		at += o.cfg.TTL
	}
	return at, true
}

// releasedTo returns the candidate that the lease was released to, if any.
func (o *Observer) releasedTo() types.VMID {
	if !o.exists || o.row.Owner != "" {
		return ""
	}
	return o.row.Successor
}

// ownerMayBeAlive reports whether the observed row has an owner that may be
// alive and act as the holder.
func (o *Observer) ownerMayBeAlive() bool {
	return o.exists && o.row.Owner != "" && !o.reclaimable() && !o.OwnerYielded()
}

// SetOwnerYielded records that the owner of the observed row has yielded to this
// candidate: it does not act as the holder any more in the epoch of the row.
func (o *Observer) SetOwnerYielded() {
	o.yielded = o.row
}

// OwnerYielded reports whether the owner of the observed row has yielded to this
// candidate. Renewals of the same term that were executed late do not change that.
func (o *Observer) OwnerYielded() bool {
	return o.exists && o.row.Owner != "" && o.row.sameTerm(o.yielded)
}

// reclaimable reports whether the observed row names this candidate's VM, and the
// candidate may take the lease over at once.
func (o *Observer) reclaimable() bool {
	return o.cfg.ReclaimOwnLease && o.exists && o.row.Owner == o.self
}

// TryTakeover returns the takeover to send if one is due at now. The validity
// of the new holder starts at the clock reading taken before the send.
func (o *Observer) TryTakeover(now time.Duration, live []types.VMID) (Takeover, bool) {
	if o.ownerMayBeAlive() && now < o.unchangedSince+o.cfg.TTL {
		return Takeover{}, false // too early for every rank; skips the ranking
	}
	if o.cfg.MaxReadAge > 0 && now > o.readAt+o.cfg.MaxReadAge {
		return Takeover{}, false
	}
	at, ok := o.TakeoverAt(live)
	if !ok || now < at {
		return Takeover{}, false
	}
	row := Row{Shard: o.shard, Owner: o.self, Incarnation: o.incarnation, Epoch: o.row.Epoch + 1}
	return Takeover{Row: row, Revision: o.revision}, true
}

// Rank returns the position of a VM among the live members, from 0, ordered by
// the hash of shard, epoch and VM. The VM itself need not be in live.
func Rank(shard types.ShardID, epoch types.Epoch, vm types.VMID, live []types.VMID) int {
	own := rankHash(shard, epoch, vm)
	rank := 0
	for _, other := range live {
		if other == vm {
			continue
		}
		h := rankHash(shard, epoch, other)
		if h < own || (h == own && other < vm) {
			rank++
		}
	}
	return rank
}

func rankHash(shard types.ShardID, epoch types.Epoch, vm types.VMID) uint64 {
	var d xxhash.Digest
	var number [8]byte
	d.Reset()
	binary.LittleEndian.PutUint64(number[:], uint64(epoch))
	_, _ = d.WriteString(string(shard))
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}
