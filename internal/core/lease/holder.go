package lease

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Renewal is a write of the lease row by its holder, conditional on its revision:
// a renewal, or the release if Row.Owner is empty.
type Renewal struct {
	Row      Row
	Revision uint64
}

// Holder is the lease state kept by the holder of a lease. It is created after
// the takeover has committed.
type Holder struct {
	cfg      Config
	row      Row
	revision uint64
	// validFrom is the send time of the last successful write of the row.
	validFrom time.Duration
	lastSent  time.Duration
	// firstSent is when the next value of the renewal counter was first sent.
	// Retries write the same counter, so a row with that value may come from
	// the first send.
	firstSent   time.Duration
	counterSent bool
	inFlight    bool
	uncertain   bool
	lost        bool
	released    bool
	yielded     bool
	// handover is the announcement that the row should hold, and sentHandover the
	// one that the last write held.
	handover, sentHandover string
}

// NewHolder returns the holder after a committed takeover. sentAt is the clock
// reading taken before the takeover was sent.
func NewHolder(cfg Config, row Row, revision uint64, sentAt time.Duration) *Holder {
	return &Holder{cfg: cfg, row: row, revision: revision, validFrom: sentAt, lastSent: sentAt}
}

// Row returns the last row known to be committed and its revision.
func (h *Holder) Row() (Row, uint64) {
	return h.row, h.revision
}

// Lost reports whether the lease row no longer names this holder: another holder
// has taken the lease over, or the row was released or deleted.
func (h *Holder) Lost() bool {
	return h.lost
}

// ValidUntil returns the end of the time in which the holder may act, on its
// own clock. It returns zero after the lease was lost, released or yielded.
func (h *Holder) ValidUntil() time.Duration {
	if h.lost || h.released || h.yielded {
		return 0
	}
	return h.validFrom + h.cfg.TTL - h.cfg.Margin
}

// MayAct reports whether the holder may act at now.
func (h *Holder) MayAct(now time.Duration) bool {
	return now < h.ValidUntil()
}

// NeedsRead reports whether the row must be read before the next renewal,
// because the response to the last one was lost. After a yield it must be read to find
// out whether the lease was taken over.
func (h *Holder) NeedsRead() bool {
	return (h.uncertain || h.yielded) && !h.lost
}

// Yield ends the validity for the rest of the epoch: no renewal is due any more, and one
// that is still in flight or executed late does not make the lease valid again. The lease
// may still be released.
func (h *Holder) Yield() {
	h.yielded = true
}

// NextRenewal returns when the next renewal is due. It returns false if none is
// due because one is in flight or uncertain, or the lease is lost, released or yielded.
func (h *Holder) NextRenewal() (time.Duration, bool) {
	if h.inFlight || h.uncertain || h.lost || h.released || h.yielded {
		return 0, false
	}
	if h.handover != h.sentHandover {
		return h.lastSent, true
	}
	return h.lastSent + h.cfg.Renewal, true
}

// Announce sets the reason for a handover that the row should hold; empty for none.
// A change makes a renewal due at once. The holder may act as before.
func (h *Holder) Announce(reason string) {
	h.handover = reason
}

// Announced reports whether the row is known to hold the announcement.
func (h *Holder) Announced() bool {
	return h.handover != "" && h.row.Handover == h.handover
}

// BeginRenewal returns the renewal to send if one is due at now. A renewal is
// also sent after the validity has ended; it succeeds only if no candidate has
// taken the lease over.
func (h *Holder) BeginRenewal(now time.Duration) (Renewal, bool) {
	due, ok := h.NextRenewal()
	if !ok || now < due {
		return Renewal{}, false
	}
	if !h.counterSent {
		h.firstSent = now
		h.counterSent = true
	}
	h.lastSent = now
	h.inFlight = true
	next := h.row
	next.Renewal++
	next.Handover = h.handover
	h.sentHandover = h.handover
	return Renewal{Row: next, Revision: h.revision}, true
}

// Committed records that the renewal in flight committed with the given
// revision.
func (h *Holder) Committed(revision uint64) {
	if !h.inFlight {
		return
	}
	h.advance(revision, h.lastSent, h.sentHandover)
}

// Refused records that the renewal in flight was refused without taking
// effect. The next one is due after the renewal interval; the validity does not
// change.
func (h *Holder) Refused() {
	h.inFlight = false
}

// Uncertain records that the response to the renewal in flight was lost. The
// renewal may have taken effect or may still do so, so it does not extend the
// validity until a read shows it.
func (h *Holder) Uncertain() {
	h.inFlight = false
	h.uncertain = true
}

// Observed records the row as read from the table after an uncertain renewal,
// or as returned with a conflict. exists is false if there is no row.
func (h *Holder) Observed(row Row, revision uint64, exists bool) {
	h.inFlight = false
	h.uncertain = false
	if !exists || !row.sameTerm(h.row) {
		h.lost = true
		return
	}
	if row.Renewal == h.row.Renewal+1 && h.counterSent {
		h.advance(revision, h.firstSent, row.Handover)
	}
}

// Release returns the write that releases the lease to the candidate successor, or to
// any if successor is empty; its Row.Owner is empty. The holder must stop acting at
// once, whether or not the write succeeds. Release returns false if the lease is lost
// or was released before.
func (h *Holder) Release(successor types.VMID) (Renewal, bool) {
	if h.lost || h.released {
		return Renewal{}, false
	}
	h.released = true
	row := h.row
	row.Owner = ""
	row.Incarnation = 0
	row.Renewal++
	row.Handover, row.Successor = "", successor
	return Renewal{Row: row, Revision: h.revision}, true
}

func (h *Holder) advance(revision uint64, sentAt time.Duration, handover string) {
	h.row.Renewal++
	h.row.Handover, h.sentHandover = handover, handover
	h.revision = revision
	h.validFrom = sentAt
	h.counterSent = false
	h.inFlight = false
	h.uncertain = false
}
