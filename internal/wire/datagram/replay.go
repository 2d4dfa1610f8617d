package datagram

// replayWindow is the number of sequence numbers, from the highest downwards, that
// are still accepted once each, because the network may reorder datagrams.
const replayWindow = 64

// ReplayFilter rejects datagrams that were received before. It keeps one window per
// sender; a different incarnation of a sender starts a new window. The filter does
// not reject datagrams of earlier incarnations; callers must do that.
type ReplayFilter struct {
	windows map[uint64]*window
}

type window struct {
	incarnation uint64
	highest     uint64
	// seen has bit i set if highest-i was received.
	seen uint64
}

// NewReplayFilter returns an empty filter.
func NewReplayFilter() *ReplayFilter {
	return &ReplayFilter{windows: make(map[uint64]*window)}
}

// Accept records the datagram and reports whether it is certainly new. It returns false
// for sequence numbers that are replayWindow or more below the highest.
func (r *ReplayFilter) Accept(h *Header) bool {
	w := r.windows[h.Sender]
	if w == nil {
		w = &window{}
		r.windows[h.Sender] = w
	}
	if w.incarnation != h.Incarnation {
		*w = window{incarnation: h.Incarnation, highest: h.Seq, seen: 1}
		return true
	}
	if h.Seq > w.highest {
		w.advance(h.Seq)
		return true
	}
	behind := w.highest - h.Seq
	if behind >= replayWindow || w.seen&(1<<behind) != 0 {
		return false
	}
	w.seen |= 1 << behind
	return true
}

func (w *window) advance(seq uint64) {
	shift := seq - w.highest
	if shift >= replayWindow {
		w.seen = 0
	} else {
		w.seen <<= shift
	}
	w.seen |= 1
	w.highest = seq
}

// Forget deletes the window of a sender that has left.
func (r *ReplayFilter) Forget(sender uint64) {
	delete(r.windows, sender)
}
