package placement

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// promoteSlack is the slack (time until the latest start) below which a batch
// task with a deadline goes ahead of tasks of higher priority that can still
// wait.
const promoteSlack = 30 * time.Minute

// Queue orders waiting requests: urgent ones first, then services, then batch
// tasks that would otherwise miss their deadline (least slack first), then
// other batch tasks by priority and slack. A task that can no longer meet its
// deadline is ordered by priority alone, so that it does not displace one that
// still can. The zero value is an empty queue.
type Queue struct {
	items      map[types.TaskID]*queueItem
	byPriority itemHeap
	bySlack    itemHeap
	nextSeq    uint64
	parked     []*queueItem
}

type queueItem struct {
	req Request
	// latestStart is the deadline minus the run time; zero without deadline.
	latestStart time.Duration
	seq         uint64
	removed     bool
}

type itemHeap struct {
	items []*queueItem
	less  func(a, b *queueItem) bool
}

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) { h.items = append(h.items, x.(*queueItem)) }

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	x := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return x
}

// classRank returns the position of a request in the order of classes: urgent,
// service, batch.
func classRank(q *queueItem) int {
	switch {
	case q.req.Urgent:
		return 0
	case q.req.Class == types.ClassLatencyCritical:
		return 1
	default:
		return 2
	}
}

func lessByPriority(a, b *queueItem) bool {
	return cmp.Or(
		cmp.Compare(classRank(a), classRank(b)),
		cmp.Compare(b.req.Priority, a.req.Priority),
		compareSlack(a, b),
		cmp.Compare(a.seq, b.seq),
	) < 0
}

func lessBySlack(a, b *queueItem) bool {
	return cmp.Or(compareSlack(a, b), cmp.Compare(a.seq, b.seq)) < 0
}

// compareSlack puts tasks without a deadline last.
func compareSlack(a, b *queueItem) int {
	if (a.req.Deadline == 0) != (b.req.Deadline == 0) {
		if a.req.Deadline == 0 {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.latestStart, b.latestStart)
}

// Push adds a request, or replaces the waiting request of the same task.
func (q *Queue) Push(r Request) {
	q.insert(q.newItem(r))
}

// newItem registers a request as waiting, without adding it to the heaps. It
// replaces the waiting request of the same task.
func (q *Queue) newItem(r Request) *queueItem {
	if q.items == nil {
		q.items = make(map[types.TaskID]*queueItem)
		q.byPriority.less = lessByPriority
		q.bySlack.less = lessBySlack
	}
	q.Remove(r.Task)
	newItem := &queueItem{req: r, seq: q.nextSeq}
	q.nextSeq++
	if r.Deadline > 0 {
		newItem.latestStart = r.Deadline - r.RunTime
	}
	q.items[r.Task] = newItem
	return newItem
}

func (q *Queue) insert(item *queueItem) {
	if item.req.Deadline > 0 {
		heap.Push(&q.bySlack, item)
	}
	heap.Push(&q.byPriority, item)
}

// Remove deletes the request of a task, for example after it was cancelled, and
// reports whether it was waiting.
func (q *Queue) Remove(id types.TaskID) bool {
	item, ok := q.items[id]
	if !ok {
		return false
	}
	item.removed = true
	delete(q.items, id)
	return true
}

// Park sets aside a request that Pop returned and that has to wait, until
// Unpark is called. A pass over the queue can thus skip requests that do not
// fit.
func (q *Queue) Park(r Request) {
	q.parked = append(q.parked, q.newItem(r))
}

// Unpark returns parked requests to the queue. Call it when capacity may have
// become free.
func (q *Queue) Unpark() {
	for _, item := range q.parked {
		if !item.removed {
			q.insert(item)
		}
	}
	clear(q.parked)
	q.parked = q.parked[:0]
}

// Len returns the number of waiting requests, parked ones included.
func (q *Queue) Len() int {
	return len(q.items)
}

// Pop removes and returns the request to decide on next.
func (q *Queue) Pop(now time.Duration) (Request, bool) {
	first := peek(&q.byPriority)
	if first == nil {
		return Request{}, false
	}
	if classRank(first) == 2 { // neither urgent nor of a service
		if nearDeadline := q.nearDeadline(now); nearDeadline != nil {
			first = nearDeadline
		}
	}
	q.Remove(first.req.Task)
	return first.req, true
}

// nearDeadline returns the batch task with the least slack if that is below
// promoteSlack, otherwise nil. It removes tasks whose latest start has passed
// from the slack heap.
func (q *Queue) nearDeadline(now time.Duration) *queueItem {
	for {
		item := peek(&q.bySlack)
		if item == nil || item.latestStart-now >= promoteSlack {
			return nil
		}
		if item.latestStart >= now {
			return item
		}
		heap.Pop(&q.bySlack)
	}
}

// peek returns the first request that still waits, or nil. It discards removed
// requests ahead of it.
func peek(h *itemHeap) *queueItem {
	for h.Len() > 0 {
		if !h.items[0].removed {
			return h.items[0]
		}
		heap.Pop(h)
	}
	return nil
}
