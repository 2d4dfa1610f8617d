package routing

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Item is a request that waits for a slot.
type Item struct {
	ID      types.RequestID
	Service types.ServiceName
	// Deadline is the time by which the request must have ended.
	Deadline time.Duration
	Urgent   bool
	sequence uint64
}

// before reports whether i precedes o: urgent items come first, then those with
// an earlier deadline, then those that arrived earlier.
func (i Item) before(o Item) bool {
	if i.Urgent != o.Urgent {
		return i.Urgent
	}
	if i.Deadline != o.Deadline {
		return i.Deadline < o.Deadline
	}
	return i.sequence < o.sequence
}

// itemHeap is a heap with the next item at its root.
type itemHeap []Item

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) { *h = append(*h, x.(Item)) }

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// countBefore returns the number of items that precede the given one.
func (h itemHeap) countBefore(item Item) int {
	n := 0
	for _, other := range h {
		if other.before(item) {
			n++
		}
	}
	return n
}

// lastIndex returns the index of the last item in the order of before.
func (h itemHeap) lastIndex() int {
	latest := 0
	for i := range h {
		if h[latest].before(h[i]) {
			latest = i
		}
	}
	return latest
}

// Enqueue queues a request until a slot is free and returns Queued, or refuses
// it at once with TooLate, QueueFull or NoUpstream. If the queue is full, the
// request replaces the last queued item, provided that it precedes that item. The
// replaced item is then returned by Dropped.
func (r *Router) Enqueue(now time.Duration, item Item) Verdict {
	s, ok := r.services[item.Service]
	if !ok || s.size() == 0 {
		return NoUpstream
	}
	r.sequence++
	item.sequence = r.sequence
	if !s.times.inTime(now, s.serviceTimesAhead(s.queue.countBefore(item)), item.Deadline) {
		return TooLate
	}
	if len(s.queue) >= r.config.QueueLimit {
		lastIndex := s.queue.lastIndex()
		if !item.before(s.queue[lastIndex]) {
			return QueueFull
		}
		r.dropped = append(r.dropped, heap.Remove(&s.queue, lastIndex).(Item))
	}
	heap.Push(&s.queue, item)
	return Queued
}

// serviceTimesAhead estimates the time until a slot is free for an item that has
// the given number of items ahead of it, as a multiple of the mean service
// time. It assumes that slots become free at the rate at which requests of this
// entry end, which leaves slots for the other entries.
func (s *service) serviceTimesAhead(ahead int) float64 {
	return float64(ahead+1) / float64(max(s.inFlight, 1))
}

// QueueLength returns the number of queued requests of the service.
func (r *Router) QueueLength(name types.ServiceName) int {
	s, ok := r.services[name]
	if !ok {
		return 0
	}
	return len(s.queue)
}

// Cancel removes a queued request whose caller has disconnected. It reports
// whether the request was queued.
func (r *Router) Cancel(name types.ServiceName, id types.RequestID) bool {
	s, ok := r.services[name]
	if !ok {
		return false
	}
	for i := range s.queue {
		if s.queue[i].ID == id {
			heap.Remove(&s.queue, i)
			return true
		}
	}
	return false
}

// Next removes the first queued request for which a slot is free and returns it
// with its worker. Services without a free slot are skipped. Requests that are
// unlikely to end by their deadline are dropped when they reach the head of a
// queue; the caller cancels the others by their own deadline timers.
//
// Next returns false if no queued request can start. After each Finished and
// Update, the caller must call Next until it returns false, and then Dropped for
// the dropped requests.
func (r *Router) Next(now time.Duration, rng *rand.Rand) (Item, Choice, bool) {
	r.nextCall++
	for {
		s := r.nextService(now)
		if s == nil {
			return Item{}, Choice{}, false
		}
		m := r.pick(now, s, rng)
		if m == nil {
			s.skippedInCall = r.nextCall
			continue
		}
		return heap.Pop(&s.queue).(Item), choiceOf(now, m), true
	}
}

// nextService returns the service whose first item precedes the first items of
// the others. It leaves out services that were skipped in the current call of
// Next. It drops late items from the heads of the queues of the other services.
func (r *Router) nextService(now time.Duration) *service {
	var best *service
	for _, s := range r.ordered {
		if s.skippedInCall == r.nextCall {
			continue
		}
		r.dropLate(now, s)
		if len(s.queue) == 0 {
			continue
		}
		if best == nil || s.queue[0].before(best.queue[0]) {
			best = s
		}
	}
	return best
}

// dropLate drops items from the head of the queue while they are unlikely to
// end by their deadline.
func (r *Router) dropLate(now time.Duration, s *service) {
	for len(s.queue) > 0 && !s.times.inTime(now, 0, s.queue[0].Deadline) {
		r.dropped = append(r.dropped, heap.Pop(&s.queue).(Item))
	}
}

// Dropped returns the requests dropped since the last call. None of them was
// run. The slice is valid until the next call of a method of the router.
func (r *Router) Dropped() []Item {
	dropped := r.dropped
	r.dropped = r.dropped[:0]
	return dropped
}
