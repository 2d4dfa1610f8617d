package admission

import (
	"container/heap"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// identityState is the state of a request identity in memory.
type identityState uint8

const (
	identitySealed identityState = iota + 1
	identityRunning
	identityFinished
)

// identity is a remembered request ID with its state.
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

// memory holds the remembered identities and the horizon of the forgotten ones.
type memory struct {
	known map[types.RequestID]*identity
	// settled holds the sealed and finished identities.
	settled identityHeap
	// horizon is the latest end of validity of the forgotten identities.
	horizon time.Duration
	// hasForgotten is set once an identity has been forgotten.
	hasForgotten bool
	// retainedBytes is the total size of the retained responses.
	retainedBytes int
}

func newMemory() memory {
	return memory{known: make(map[types.RequestID]*identity)}
}

// addRunning adds an admitted identity.
func (m *memory) addRunning(id types.RequestID, validUntil time.Duration, u *upstream) {
	m.known[id] = &identity{id: id, state: identityRunning, validUntil: validUntil, upstream: u}
}

// addSealed adds an identity that must never run.
func (m *memory) addSealed(id types.RequestID, validUntil time.Duration) {
	ident := &identity{id: id, state: identitySealed, validUntil: validUntil}
	m.known[id] = ident
	heap.Push(&m.settled, ident)
}

// finish records the outcome and the retained response of a running identity.
func (m *memory) finish(ident *identity, outcome apperr.Outcome, response []byte) {
	ident.state = identityFinished
	ident.outcome = outcome
	ident.response = response
	ident.upstream = nil
	m.retainedBytes += len(response)
	heap.Push(&m.settled, ident)
}

// forget removes settled identities whose validity ended before the given time,
// in the order in which their validity ended, until at most keep identities
// remain.
func (m *memory) forget(before time.Duration, keep int) {
	for len(m.settled) > 0 && len(m.known) > keep && m.settled[0].validUntil < before {
		ident := heap.Pop(&m.settled).(*identity)
		delete(m.known, ident.id)
		m.retainedBytes -= len(ident.response)
		m.horizon = max(m.horizon, ident.validUntil)
		m.hasForgotten = true
	}
}

// forgotten reports whether an identity with the given end of validity may have
// been forgotten.
func (m *memory) forgotten(validUntil time.Duration) bool {
	return m.hasForgotten && validUntil <= m.horizon
}
