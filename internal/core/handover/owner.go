package handover

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Cause says why an owner releases the lease.
type Cause string

// Causes of a release.
const (
	// CauseReady: a successor has read the rows.
	CauseReady Cause = "successor is ready"
	// CauseNoCandidate: no candidate has reserved the role.
	CauseNoCandidate Cause = "no candidate"
	// CauseDeadline: no successor was ready in time.
	CauseDeadline Cause = "no successor was ready in time"
)

// Release is the decision to release the lease.
type Release struct {
	// Successor is the candidate that is ready; empty if there is none.
	Successor types.VMID
	Cause     Cause
}

// Owner decides when an owner whose process stops releases its lease.
type Owner struct {
	cfg      Config
	epoch    types.Epoch
	deadline time.Duration
	// announcedAt is when the announcement was known to be stored.
	announcedAt time.Duration
	announced   bool
	reservation observed
}

// NewOwner returns the owner's side of a handover that ends at the deadline at the
// latest.
func NewOwner(cfg Config, epoch types.Epoch, deadline time.Duration) *Owner {
	return &Owner{cfg: cfg, epoch: epoch, deadline: deadline}
}

// Announced records that the lease row holds the announcement. Calls after the first
// have no effect.
func (o *Owner) Announced(now time.Duration) {
	if !o.announced {
		o.announced, o.announcedAt = true, now
	}
}

// Observe records the reservation row as read; revision 0 means that there is none.
func (o *Owner) Observe(r Reservation, revision uint64, now time.Duration) {
	o.reservation.update(r, revision, now)
}

// Next returns the release that is due at now, and false if none is.
func (o *Owner) Next(now time.Duration) (Release, bool) {
	live := o.reservation.live(o.epoch, now, o.cfg.BeatTimeout)
	switch {
	case live && o.reservation.row.Ready:
		return Release{Successor: o.reservation.row.VM, Cause: CauseReady}, true
	case now >= o.deadline:
		return Release{Cause: CauseDeadline}, true
	case o.announced && !live && now >= o.announcedAt+o.cfg.ReserveTimeout:
		return Release{Cause: CauseNoCandidate}, true
	}
	return Release{}, false
}
