// Package httpserve runs HTTP servers with limits on connections, header sizes and
// times, and with graceful shutdown.
package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

// Limits holds the limits on a server's connections, header sizes and times.
type Limits struct {
	// ReadHeader bounds the time to read a request's header.
	ReadHeader time.Duration
	// Read bounds the time to read a whole request.
	Read time.Duration
	// Write bounds the time from the end of a request's header to the end of the
	// response.
	Write time.Duration
	// Idle bounds the time for which a connection is kept open without a request.
	Idle time.Duration
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// Connections is the maximum number of open connections. Further ones wait to
	// be accepted. Zero means no limit.
	Connections int
	// Wrap, if not nil, is applied to each accepted connection, for example to
	// count its bytes.
	Wrap func(net.Conn) net.Conn

	// Guard, if not nil, protects the process from the clients of this listener.
	// The following fields apply only with it; bodies are then read as a whole
	// before the handler runs.
	Guard *Guard
	// Name is the name of the listener in metrics and logs.
	Name string
	// Share is the share of the connections of the guard for this listener.
	Share float64
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// HandleFactor is how many times the size of a body its decoding and handling
	// take besides the body itself, RequestBytes what each request takes.
	HandleFactor int
	RequestBytes int64
	// Operator, if not nil, returns limits that may change while the server runs.
	Operator func() OperatorLimits
	// Refuse, if not nil, writes the response to a request that is refused. The
	// request has not run.
	Refuse func(http.ResponseWriter, *http.Request, Cause)
}

// OperatorLimits are limits that replace those of Limits where they are not zero. A
// header limit above Limits.HeaderBytes, and times above those of Limits, have no effect
// beyond them.
type OperatorLimits struct {
	ReadHeader, Idle time.Duration
	HeaderBytes      int
	BodyBytes        int64
}

// DefaultLimits returns limits for a server with up to a few thousand clients.
func DefaultLimits() Limits {
	return Limits{
		ReadHeader:  5 * time.Second,
		Read:        15 * time.Second,
		Write:       60 * time.Second,
		Idle:        90 * time.Second,
		HeaderBytes: 32 << 10,
		Connections: 4096,
	}
}

// unusedConnGrace is how long Shutdown waits for a first request on a connection
// from which nothing has been read. It is longer than the network delay of a request
// that is already on its way, and shorter than 1 s, the shortest time that a caller
// allows for Shutdown.
const unusedConnGrace = 300 * time.Millisecond

// drainPollInterval is the interval at which Shutdown checks the open connections.
const drainPollInterval = 10 * time.Millisecond

// Server is one listening HTTP server.
type Server struct {
	http        *http.Server
	listener    net.Listener
	serveResult chan error

	mu sync.Mutex
	// unused maps the connections from which nothing has been read to the times at
	// which they were accepted. active holds the connections with a request in
	// progress.
	unused map[net.Conn]time.Time
	active map[net.Conn]bool
}

// Listen listens on the TCP address and serves the handler until Shutdown or Close.
func Listen(address string, handler http.Handler, l Limits) (*Server, error) {
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, apperr.Wrap(err, apperr.KindInvalid, "listen address "+address, "cannot be opened",
			"choose a free port on an address of this VM")
	}
	wrapped := wrapListener(inner, l.Wrap)
	var limited net.Listener
	if l.Guard != nil {
		guarded := newGuardedListener(wrapped, l)
		limited, handler = guarded, guarded.handler(handler)
	} else {
		limited = limitListener(wrapped, l.Connections)
	}
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			ConnContext:       withConn,
			ReadHeaderTimeout: l.ReadHeader,
			ReadTimeout:       l.Read,
			WriteTimeout:      l.Write,
			IdleTimeout:       l.Idle,
			MaxHeaderBytes:    l.HeaderBytes,
		},
		listener:    limited,
		serveResult: make(chan error, 1),
		unused:      make(map[net.Conn]time.Time),
		active:      make(map[net.Conn]bool),
	}
	s.http.ConnState = s.trackState
	go func() { s.serveResult <- s.http.Serve(s.listener) }()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// DisableKeepAlives makes the server close each connection after its next response,
// so that clients with keep-alive connections connect to another server.
func (s *Server) DisableKeepAlives() { s.http.SetKeepAlivesEnabled(false) }

// trackState records the state of a connection. It is called by net/http on every
// change of state.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	trackGuarded(conn, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unused, conn)
	delete(s.active, conn)
	switch state {
	case http.StateNew:
		s.unused[conn] = time.Now()
	case http.StateActive:
		s.active[conn] = true
	}
}

// Shutdown stops accepting connections and returns when all requests in progress
// have been answered, or with the context's error. Requests that arrive on accepted
// connections in the meantime are served; http.Server.Shutdown alone would drop them
// without a response, and would wait 5 s for connections that are never used.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	closeErr := s.listener.Close()
	if serveErr := <-s.serveResult; !errors.Is(serveErr, net.ErrClosed) {
		closeErr = errors.Join(closeErr, serveErr)
	}
	if err := s.drain(ctx); err != nil {
		return err
	}
	return errors.Join(closeErr, s.http.Shutdown(ctx))
}

// drain waits until no connection has a request in progress and no unused connection
// may still receive a first request.
func (s *Server) drain(ctx context.Context) error {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	drainStart := time.Now()
	// The time that a connection has been unused counts from drainStart at the
	// earliest, because its client may have been about to send a request.
	for !s.closeUnused(drainStart) {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// closeUnused closes the connections that have been unused for unusedConnGrace
// since drainStart, and reports whether no unused or active connection is left.
func (s *Server) closeUnused(drainStart time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, since := range s.unused {
		if since.Before(drainStart) {
			since = drainStart
		}
		if time.Since(since) >= unusedConnGrace {
			_ = conn.Close() // no request is lost: nothing has been read from it
			delete(s.unused, conn)
		}
	}
	return len(s.unused) == 0 && len(s.active) == 0
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// limitListener returns a listener that has at most n accepted connections open at a
// time. Zero means no limit.
func limitListener(inner net.Listener, n int) net.Listener {
	if n <= 0 {
		return inner
	}
	return &limitedListener{Listener: inner, tokens: make(chan struct{}, n), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	tokens chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.tokens <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.tokens
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.tokens }}, nil
}

func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// wrapListener returns a listener that applies wrap, if not nil, to each accepted
// connection.
func wrapListener(inner net.Listener, wrap func(net.Conn) net.Conn) net.Listener {
	if wrap == nil {
		return inner
	}
	return &wrappedListener{Listener: inner, wrap: wrap}
}

type wrappedListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (w *wrappedListener) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return w.wrap(conn), nil
}
