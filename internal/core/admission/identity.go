package admission

import (
	"container/heap"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// identityState is what the worker knows of a request identity.
type identityState uint8

const (
	identitySealed identityState = iota + 1
	identityRunning
	identityFinished
)

// identity is one remembered request ID.
type identity struct {
	id         types.RequestID
	state      identityState
	validUntil time.Duration
	outcome    apperr.Outcome
	response   []byte
	upstream   *upstream
}

// identityHeap orders settled identities by the end of their validity.
type identityHeap []*identity

// Len implements heap.Interface.
func (h identityHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h identityHeap) Less(i, j int) bool { return h[i].validUntil < h[j].validUntil }

// Swap implements heap.Interface.
func (h identityHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *identityHeap) Push(x any) { *h = append(*h, x.(*identity)) }

// Pop implements heap.Interface.
func (h *identityHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// memory remembers identities and the horizon up to which it has forgotten.
type memory struct {
	known map[types.RequestID]*identity
	// settled holds the identities that are not running.
	settled identityHeap
	// horizon is the latest validity that was forgotten.
	horizon time.Duration
	// truncated tells whether anything was forgotten yet.
	truncated bool
	// retainedBytes is the number of response bytes held, in bytes.
	retainedBytes int
}

func newMemory() memory {
	return memory{known: make(map[types.RequestID]*identity)}
}

// addRunning remembers an admitted identity.
func (m *memory) addRunning(id types.RequestID, validUntil time.Duration, u *upstream) {
	m.known[id] = &identity{id: id, state: identityRunning, validUntil: validUntil, upstream: u}
}

// addSealed remembers an identity that must never run.
func (m *memory) addSealed(id types.RequestID, validUntil time.Duration) {
	entry := &identity{id: id, state: identitySealed, validUntil: validUntil}
	m.known[id] = entry
	heap.Push(&m.settled, entry)
}

// finish settles a running identity.
func (m *memory) finish(entry *identity, outcome apperr.Outcome, response []byte) {
	entry.state = identityFinished
	entry.outcome = outcome
	entry.response = response
	entry.upstream = nil
	m.retainedBytes += len(response)
	heap.Push(&m.settled, entry)
}

// forget drops settled identities whose validity ended before the given time,
// until at most keep identities remain.
func (m *memory) forget(before time.Duration, keep int) {
	for len(m.settled) > 0 && len(m.known) > keep && m.settled[0].validUntil < before {
		entry := heap.Pop(&m.settled).(*identity)
		delete(m.known, entry.id)
		m.retainedBytes -= len(entry.response)
		m.horizon = max(m.horizon, entry.validUntil)
		m.truncated = true
	}
}

// forgotten reports whether an identity of the given validity may have been
// forgotten.
func (m *memory) forgotten(validUntil time.Duration) bool {
	return m.truncated && validUntil <= m.horizon
}
