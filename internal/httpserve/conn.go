package httpserve

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/intake"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// guardedListener applies a guard to the connections of one listener.
type guardedListener struct {
	net.Listener
	guard   *Guard
	name    string
	limits  Limits
	refused map[Cause]*atomic.Uint64
	// reported and reportedAt are the counts and times of the last log lines. Only
	// the sweep uses them.
	reported   map[Cause]uint64
	reportedAt map[Cause]time.Duration
	bodyCut    atomic.Bool
	closed     chan struct{}
	once       sync.Once
	// freed receives a value when a slot becomes free.
	freed chan struct{}

	mu    sync.Mutex
	slots *intake.Slots
}

func newGuardedListener(inner net.Listener, l Limits) *guardedListener {
	n := max(1, int(float64(l.Guard.connections)*l.Share))
	if l.Connections > 0 {
		n = min(n, l.Connections)
	}
	g := &guardedListener{
		Listener: inner, guard: l.Guard, name: l.Name, limits: l, refused: make(map[Cause]*atomic.Uint64, len(causes)),
		reported: make(map[Cause]uint64), reportedAt: make(map[Cause]time.Duration),
		closed: make(chan struct{}), freed: make(chan struct{}, 1), slots: intake.NewSlots(n, connectionStall),
	}
	for _, c := range causes {
		g.refused[c] = new(atomic.Uint64)
	}
	l.Guard.add(g)
	return g
}

func (l *guardedListener) count(c Cause) { l.refused[c].Add(1) }

func (l *guardedListener) inUse() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.slots.InUse())
}

// Accept accepts a connection and then waits for a slot, so that a connection is closed
// for it only when there is one.
func (l *guardedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &guardedConn{Conn: inner, listener: l}
	for {
		l.mu.Lock()
		c.slot = l.slots.Open(clock.Now())
		var victim *intake.Conn
		if c.slot != nil {
			c.slot.Owner = c // closeExpired may meet it as soon as the lock is free
		} else {
			victim = l.slots.Victim(clock.Now())
		}
		l.mu.Unlock()
		if c.slot != nil {
			return c, nil
		}
		if victim != nil {
			l.count(connectionClosed)
			_ = victim.Owner.(*guardedConn).Close()
			continue
		}
		select {
		case <-l.freed:
		case <-time.After(connectionStall / 4):
		case <-l.closed:
			_ = inner.Close()
			return nil, net.ErrClosed
		}
	}
}

// Close stops accepting connections. The open ones stay.
func (l *guardedListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.guard.remove(l)
	})
	return l.Listener.Close()
}

// closeExpired closes the connections that exceed the timeouts of headers and of idle
// connections.
func (l *guardedListener) closeExpired(now time.Duration) {
	header, idle := l.limits.ReadHeader, l.limits.Idle
	if l.limits.Operator != nil {
		o := l.limits.Operator()
		if o.ReadHeader > 0 {
			header = o.ReadHeader
		}
		if o.Idle > 0 {
			idle = o.Idle
		}
	}
	for _, e := range []struct {
		phase intake.Phase
		limit time.Duration
	}{{intake.Header, header}, {intake.Idle, idle}} {
		for e.limit > 0 {
			l.mu.Lock()
			c := l.slots.Expired(e.phase, now, e.limit)
			l.mu.Unlock()
			if c == nil {
				break
			}
			if e.phase == intake.Header {
				l.count(headerSlow)
			}
			_ = c.Owner.(*guardedConn).Close()
		}
	}
}

// report logs the refusals since the last line, at most one line of each cause in
// reportInterval, so that a crowd does not flood the log.
func (l *guardedListener) report(now time.Duration, log *telemetry.Logger) {
	for _, c := range causes {
		n := l.refused[c].Load()
		if n == l.reported[c] || l.reportedAt[c] > 0 && now-l.reportedAt[c] < reportInterval {
			continue
		}
		log.Log(eventRefused, nil, telemetry.Fields{"listener": l.name, "cause": string(c), "count": n - l.reported[c]})
		l.reported[c], l.reportedAt[c] = n, now
	}
}

// guardedConn is a connection that has a slot.
type guardedConn struct {
	net.Conn
	listener *guardedListener
	slot     *intake.Conn
	once     sync.Once
	// phase is the slot's phase. Reads and handlers of one connection take turns, but
	// net/http also reads while a handler runs.
	phase atomic.Int32

	mu sync.Mutex
	// headerRead is the number of bytes of the current header, and header the charge
	// for it, if any.
	headerRead int
	header     *holding
}

// Read counts the bytes of headers, and charges them to the guard before more are read.
func (c *guardedConn) Read(p []byte) (int, error) {
	phase := intake.Phase(c.phase.Load())
	if phase == intake.Header && c.headerRead > freeHeaderBytes && !c.chargeHeader() {
		c.listener.count(headerMemory)
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch phase {
	case intake.Idle:
		c.enter(intake.Header)
		c.headerRead = n
	case intake.Header:
		c.headerRead += n
		if c.header != nil {
			c.header.progress()
		}
	case intake.Body:
		c.enter(intake.Body)
	}
	return n, err
}

// chargeHeader charges the bytes that were read of the current header.
func (c *guardedConn) chargeHeader() bool {
	c.mu.Lock()
	if c.header == nil {
		c.header = c.listener.guard.headers.hold(func() { _ = c.Close() })
	}
	h := c.header
	c.mu.Unlock()
	more := int64(c.headerRead-freeHeaderBytes)*headerFactor - h.charge.Held()
	if more <= 0 || !h.extend(more, maxBudgetWait, nil) {
		return more <= 0
	}
	h.progress()
	return true
}

// headerDone records that the header is complete and may no longer be given up. It
// returns false if it was.
func (c *guardedConn) headerDone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.header == nil || c.header.complete()
}

// releaseHeader returns the charge for a header whose request has been answered.
func (c *guardedConn) releaseHeader() {
	c.mu.Lock()
	h := c.header
	c.header = nil
	c.mu.Unlock()
	if h != nil {
		h.release()
	}
}

func (c *guardedConn) enter(phase intake.Phase) {
	c.phase.Store(int32(phase))
	l := c.listener
	l.mu.Lock()
	l.slots.Enter(c.slot, phase, clock.Now())
	l.mu.Unlock()
}

// Close closes the connection and frees its slot. It may be called at any time.
func (c *guardedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		l := c.listener
		l.mu.Lock()
		l.slots.Close(c.slot)
		l.mu.Unlock()
		select {
		case l.freed <- struct{}{}:
		default:
		}
	})
	return err
}

// CloseWrite lets net/http end a connection so that the client gets the last response.
func (c *guardedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

type connKey struct{}

// withConn makes the connection known to the handler.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// trackGuarded records the end of a request or of a connection.
func trackGuarded(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.releaseHeader()
		c.headerRead = 0
		c.enter(intake.Idle)
	case http.StateClosed, http.StateHijacked:
		c.releaseHeader()
	}
}
