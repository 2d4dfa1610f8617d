package lease

import (
	"time"
)

// Renewal is a write of the lease row, conditional on its revision.
type Renewal struct {
	Row      Row
	Revision uint64
}

// Holder is the state of a lease at its holder. Create it when a takeover has
// committed.
type Holder struct {
	cfg      Config
	row      Row
	revision uint64
	// validFrom is when the last successful write of the row was sent.
	validFrom time.Duration
	lastSent  time.Duration
	// firstSent is when the next renewal counter was first sent. Repeats write
	// the same content, so a row that shows it may stem from the first send.
	firstSent   time.Duration
	counterSent bool
	inFlight    bool
	uncertain   bool
	lost        bool
	released    bool
}

// NewHolder returns the holder of a committed takeover; sentAt is the clock
// reading from before the takeover was sent.
func NewHolder(cfg Config, row Row, revision uint64, sentAt time.Duration) *Holder {
	return &Holder{cfg: cfg, row: row, revision: revision, validFrom: sentAt, lastSent: sentAt}
}

// Row returns the last row known to be committed and its revision.
func (h *Holder) Row() (Row, uint64) {
	return h.row, h.revision
}

// Lost reports whether another holder has taken the lease over.
func (h *Holder) Lost() bool {
	return h.lost
}

// ValidUntil returns the time before which the holder may act. It is the zero
// duration after loss or release.
func (h *Holder) ValidUntil() time.Duration {
	if h.lost || h.released {
		return 0
	}
	return h.validFrom + h.cfg.TTL - h.cfg.Margin
}

// MayAct reports whether the holder may act at now.
func (h *Holder) MayAct(now time.Duration) bool {
	return now < h.ValidUntil()
}

// NeedsRead reports whether the row must be read before the next renewal,
// because the answer of the last one was lost.
func (h *Holder) NeedsRead() bool {
	return h.uncertain && !h.lost
}

// NextRenewal returns when the next renewal is due, and false when none is:
// one is in flight or uncertain, or the lease is lost or released.
func (h *Holder) NextRenewal() (time.Duration, bool) {
	if h.inFlight || h.uncertain || h.lost || h.released {
		return 0, false
	}
	return h.lastSent + h.cfg.Renewal, true
}

// BeginRenewal returns the renewal to send if one is due at now. A holder past
// its validity renews too: the write succeeds only if nobody took over.
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
	return Renewal{Row: next, Revision: h.revision}, true
}

// Committed records that the renewal in flight committed at the revision.
func (h *Holder) Committed(revision uint64) {
	if !h.inFlight {
		return
	}
	h.advance(revision, h.lastSent)
}

// Unavailable records that the renewal in flight was refused unchanged. The
// next one is due after the interval; the validity stays as it was.
func (h *Holder) Unavailable() {
	h.inFlight = false
}

// Uncertain records that the answer of the renewal in flight was lost. It may
// have taken effect, now or later, so it extends nothing until a read shows it.
func (h *Holder) Uncertain() {
	h.inFlight = false
	h.uncertain = true
}

// Observed records the row as read from the table, after an uncertain renewal
// or with a conflict. Exists is false if the row does not exist.
func (h *Holder) Observed(row Row, revision uint64, exists bool) {
	h.inFlight = false
	h.uncertain = false
	if !exists || !row.sameTerm(h.row) {
		h.lost = true
		return
	}
	if row.Renewal == h.row.Renewal+1 && h.counterSent {
		h.advance(revision, h.firstSent)
	}
}

// Release returns the write that gives the lease up. The holder stops acting
// at once, whether or not the write succeeds.
func (h *Holder) Release() (Renewal, bool) {
	if h.lost || h.released {
		return Renewal{}, false
	}
	h.released = true
	row := h.row
	row.Owner = ""
	row.Incarnation = 0
	row.Renewal++
	return Renewal{Row: row, Revision: h.revision}, true
}

func (h *Holder) advance(revision uint64, sentAt time.Duration) {
	h.row.Renewal++
	h.revision = revision
	h.validFrom = sentAt
	h.counterSent = false
	h.inFlight = false
	h.uncertain = false
}
