package intake

import (
	"container/list"
	"time"
)

// Phase is what a connection waits for.
type Phase int

// Phases of a connection, in the order in which connections are given up.
const (
	// Header: the client has not sent a whole request header.
	Header Phase = iota
	// Body: the client has not sent the whole body.
	Body
	// Idle: no request is in progress.
	Idle
	// Handling: the request is complete and not answered. Never given up.
	Handling
	phases
)

// Slots bounds the open connections of one listener.
type Slots struct {
	max      int
	minStall time.Duration
	open     int
	// conns holds the *Conn of each phase in the order of their last progress.
	conns [phases]*list.List
}

// Conn is one open connection.
type Conn struct {
	// Owner is for the use of the caller.
	Owner  any
	phase  Phase
	since  time.Duration
	place  *list.Element
	closed bool
}

// NewSlots returns slots for up to n connections. A connection that has made progress
// within minStall is not given up.
func NewSlots(n int, minStall time.Duration) *Slots {
	s := &Slots{max: n, minStall: minStall}
	for i := range s.conns {
		s.conns[i] = list.New()
	}
	return s
}

// Open returns a new connection in the phase Header, or nil if all slots are in use.
func (s *Slots) Open(now time.Duration) *Conn {
	if s.open >= s.max {
		return nil
	}
	s.open++
	c := &Conn{phase: Header, since: now}
	c.place = s.conns[Header].PushBack(c)
	return c
}

// InUse returns the number of open connections.
func (s *Slots) InUse() int { return s.open }

// Enter records progress of a connection: it enters a phase, or has sent more in it.
func (s *Slots) Enter(c *Conn, phase Phase, now time.Duration) {
	if c.place == nil {
		return // closed or given up
	}
	s.conns[c.phase].Remove(c.place)
	c.phase, c.since = phase, now
	c.place = s.conns[phase].PushBack(c)
}

// Close frees the slot of a connection. Only the first call has an effect.
func (s *Slots) Close(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	s.remove(c)
	s.open--
}

func (s *Slots) remove(c *Conn) {
	if c.place != nil {
		s.conns[c.phase].Remove(c.place)
		c.place = nil
	}
}

// Victim returns the connection to close so that another can be opened, or nil if none
// has made no progress for long enough. Each is returned once.
func (s *Slots) Victim(now time.Duration) *Conn {
	for phase := Header; phase < Handling; phase++ {
		if c := s.expire(phase, now, s.minStall); c != nil {
			return c
		}
	}
	return nil
}

// Expired returns a connection that has been in the phase for longer than the limit, or
// nil. Each is returned once.
func (s *Slots) Expired(phase Phase, now, limit time.Duration) *Conn {
	return s.expire(phase, now, limit)
}

func (s *Slots) expire(phase Phase, now, limit time.Duration) *Conn {
	first := s.conns[phase].Front()
	if first == nil {
		return nil
	}
	c := first.Value.(*Conn)
	if now-c.since < limit {
		return nil
	}
	s.remove(c)
	return c
}
