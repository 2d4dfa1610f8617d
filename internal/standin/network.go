package standin

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"time"
)

// NetworkFaults configures the faults of a network. Probabilities are 0 to 1
// per message.
type NetworkFaults struct {
	// MinDelay and MaxDelay bound the uniformly distributed delay of a message.
	MinDelay, MaxDelay time.Duration
	// Drop is the probability that a message is lost, and Duplicate the
	// probability that it is delivered twice.
	Drop      float64
	Duplicate float64
	// Reorder is the probability of an additional delay of up to ReorderDelay,
	// which lets later messages overtake the message.
	Reorder      float64
	ReorderDelay time.Duration
}

// FaultyNetwork delays, drops, duplicates and reorders messages of type T. The
// caller passes the current time to Send and Deliver. A seed determines the
// faults and delays. It is not safe for concurrent use.
type FaultyNetwork[T any] struct {
	// Blocked, if not nil, reports whether a network partition discards the
	// message. Such messages are counted as FaultBlocked, not as FaultDrop.
	Blocked func(T) bool

	faults  NetworkFaults
	rng     *rand.Rand
	queue   messageQueue[T]
	lastSeq uint64
	counts  map[Fault]int
}

// NewFaultyNetwork returns a network without messages.
func NewFaultyNetwork[T any](seed uint64, faults NetworkFaults) *FaultyNetwork[T] {
	return &FaultyNetwork[T]{
		faults: faults,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		counts: make(map[Fault]int),
	}
}

// Set replaces the faults for messages sent from now on.
func (n *FaultyNetwork[T]) Set(faults NetworkFaults) {
	n.faults = faults
}

// Counts returns the number of injected faults by kind.
func (n *FaultyNetwork[T]) Counts() map[Fault]int {
	return maps.Clone(n.counts)
}

// Send sends a message at the given time.
func (n *FaultyNetwork[T]) Send(now time.Duration, msg T) {
	if n.Blocked != nil && n.Blocked(msg) {
		n.counts[FaultBlocked]++
		return
	}
	if n.shouldInject(FaultDrop, n.faults.Drop) {
		return
	}
	n.schedule(now, msg)
	if n.shouldInject(FaultDuplicate, n.faults.Duplicate) {
		n.schedule(now, msg)
	}
}

// NextDue returns when the next message is due, and false if there is none.
func (n *FaultyNetwork[T]) NextDue() (time.Duration, bool) {
	if len(n.queue) == 0 {
		return 0, false
	}
	return n.queue[0].due, true
}

// Deliver removes and returns the messages due at or before now, ordered by due
// time and then by the order of sending.
func (n *FaultyNetwork[T]) Deliver(now time.Duration) []T {
	var msgs []T
	for len(n.queue) > 0 && n.queue[0].due <= now {
		m := heap.Pop(&n.queue).(message[T])
		msgs = append(msgs, m.msg)
	}
	return msgs
}

func (n *FaultyNetwork[T]) schedule(now time.Duration, msg T) {
	delay := n.faults.MinDelay + n.randomDuration(n.faults.MaxDelay-n.faults.MinDelay)
	if n.shouldInject(FaultReorder, n.faults.Reorder) {
		delay += n.randomDuration(n.faults.ReorderDelay)
	}
	n.lastSeq++
	heap.Push(&n.queue, message[T]{due: now + delay, seq: n.lastSeq, msg: msg})
}

func (n *FaultyNetwork[T]) randomDuration(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(n.rng.Int64N(int64(d) + 1))
}

func (n *FaultyNetwork[T]) shouldInject(kind Fault, p float64) bool {
	if p <= 0 || n.rng.Float64() >= p {
		return false
	}
	n.counts[kind]++
	return true
}

type message[T any] struct {
	due time.Duration
	seq uint64
	msg T
}

// messageQueue implements heap.Interface, ordered by due time and then by the
// order of sending.
type messageQueue[T any] []message[T]

func (q messageQueue[T]) Len() int      { return len(q) }
func (q messageQueue[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q messageQueue[T]) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].seq < q[j].seq
}

// Push implements heap.Interface.
func (q *messageQueue[T]) Push(x any) { *q = append(*q, x.(message[T])) }

// Pop implements heap.Interface.
func (q *messageQueue[T]) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
