package handover

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Write is a write of the reservation row, conditional on its revision; 0 means that
// there is no row.
type Write struct {
	Row      Reservation
	Revision uint64
	// Delete withdraws the reservation.
	Delete bool
}

// Successor decides on the reservation of one candidate while the owner of one epoch
// announces a handover. The caller reports the outcome of each write before the next.
type Successor struct {
	cfg         Config
	epoch       types.Epoch
	vm          types.VMID
	incarnation types.Incarnation
	// eligibleAt is when the candidate may reserve.
	eligibleAt  time.Duration
	reservation observed
	lastWrite   time.Duration
	inFlight    bool
	sent        Write
	prepared    bool
	stopped     bool
	withdrawn   bool
}

// NewSuccessor returns the side of a candidate with a number of cores, which has
// noticed the announcement at now.
func NewSuccessor(cfg Config, epoch types.Epoch, vm types.VMID, incarnation types.Incarnation, cores float64, now time.Duration) *Successor {
	share := min(max(cores/cfg.FullCores, 0), 1)
	return &Successor{
		cfg: cfg, epoch: epoch, vm: vm, incarnation: incarnation,
		eligibleAt: now + time.Duration((1-share)*float64(cfg.MaxDelay)),
	}
}

// Holds reports whether the candidate is known to hold the reservation.
func (s *Successor) Holds() bool {
	return s.reservation.seen && s.reservation.revision != 0 && s.own(s.reservation.row) && !s.withdrawn
}

func (s *Successor) own(r Reservation) bool {
	return r.Epoch == s.epoch && r.VM == s.vm && r.Incarnation == s.incarnation
}

// Prepared records that the candidate has read all rows.
func (s *Successor) Prepared() {
	s.prepared = true
}

// Stop records that the candidate's process stops. It reserves nothing any more and
// withdraws its reservation.
func (s *Successor) Stop() {
	s.stopped = true
}

// NeedsRead reports whether the row must be read before the next write.
func (s *Successor) NeedsRead() bool {
	return !s.inFlight && !s.reservation.seen
}

// Observe records the row as read, or as returned with a conflict; revision 0 means that
// there is none.
func (s *Successor) Observe(r Reservation, revision uint64, now time.Duration) {
	s.inFlight = false
	s.reservation.update(r, revision, now)
}

// Committed records that the last write took effect with the given revision.
func (s *Successor) Committed(revision uint64, now time.Duration) {
	s.inFlight = false
	if s.sent.Delete {
		s.withdrawn = true
		return
	}
	s.reservation.update(s.sent.Row, revision, now)
}

// Refused records that the last write had no effect.
func (s *Successor) Refused() {
	s.inFlight = false
}

// Uncertain records that the last write may have taken effect, or may still do so.
func (s *Successor) Uncertain() {
	s.inFlight = false
	s.reservation.seen = false
}

// Next returns the write that is due at now, and false if none is.
func (s *Successor) Next(now time.Duration) (Write, bool) {
	if s.inFlight || !s.reservation.seen || s.withdrawn {
		return Write{}, false
	}
	w := Write{Revision: s.reservation.revision, Row: Reservation{Epoch: s.epoch, VM: s.vm, Incarnation: s.incarnation, Ready: s.prepared}}
	switch {
	case s.stopped:
		if !s.Holds() {
			return Write{}, false
		}
		w.Delete = true
	case s.Holds():
		announcesReady := s.prepared && !s.reservation.row.Ready
		if !announcesReady && now < s.lastWrite+s.cfg.BeatInterval {
			return Write{}, false
		}
		w.Row.Beat = s.reservation.row.Beat + 1
	case now < s.eligibleAt || !s.vacant(now):
		return Write{}, false
	}
	s.inFlight, s.sent, s.lastWrite = true, w, now
	return w, true
}

// vacant reports whether no live candidate holds the reservation. A row of a later
// epoch means that the announcing owner has been replaced.
func (s *Successor) vacant(now time.Duration) bool {
	return s.reservation.revision == 0 || s.reservation.row.Epoch < s.epoch ||
		s.reservation.row.Epoch == s.epoch && !s.reservation.live(s.epoch, now, s.cfg.BeatTimeout)
}
