// Package httpserve runs HTTP servers with bounds on connections, headers and
// time, and with graceful shutdown.
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

// Limits bound what one client can hold of a server.
type Limits struct {
	// ReadHeader bounds the time to read a request's header.
	ReadHeader time.Duration
	// Read bounds the time to read a whole request.
	Read time.Duration
	// Write bounds the time from the end of the header to the end of the answer.
	Write time.Duration
	// Idle bounds how long a connection is kept open without a request.
	Idle time.Duration
	// HeaderBytes bounds the size of a request's header.
	HeaderBytes int
	// Connections bounds the open connections; further ones wait to be accepted.
	Connections int
	// Wrap is applied to each accepted connection, for example to count its
	// bytes; nil leaves connections as they are.
	Wrap func(net.Conn) net.Conn
}

// DefaultLimits suit an entry with a few thousand callers.
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

// unusedConnGrace is how long a stopping server waits for the request of a connection
// on which nothing has been sent: above the way of a request that is being sent,
// and below the time that the shortest stop may take, which is a second.
const unusedConnGrace = 300 * time.Millisecond

// drainPollInterval lies between looks at the connections of a server that stops.
const drainPollInterval = 10 * time.Millisecond

// Server is one listening HTTP server.
type Server struct {
	http        *http.Server
	listener    net.Listener
	serveResult chan error

	mu sync.Mutex
	// unused holds the connections on which nothing has been read, with the times
	// at which they were accepted; active those with a request.
	unused map[net.Conn]time.Time
	active map[net.Conn]bool
}

// Listen opens the address and serves the handler until Shutdown or Close.
func Listen(address string, handler http.Handler, l Limits) (*Server, error) {
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, apperr.Wrap(err, apperr.KindInvalid, "listen address "+address, "cannot be opened",
			"choose a free port on an address of this VM")
	}
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: l.ReadHeader,
			ReadTimeout:       l.Read,
			WriteTimeout:      l.Write,
			IdleTimeout:       l.Idle,
			MaxHeaderBytes:    l.HeaderBytes,
		},
		listener:    limitListener(wrapListener(inner, l.Wrap), l.Connections),
		serveResult: make(chan error, 1),
		unused:      make(map[net.Conn]time.Time),
		active:      make(map[net.Conn]bool),
	}
	s.http.ConnState = s.trackState
	go func() { s.serveResult <- s.http.Serve(s.listener) }()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// DisableKeepAlives makes the server close each connection after its next answer, so
// that clients behind keep-alive connections move elsewhere.
func (s *Server) DisableKeepAlives() { s.http.SetKeepAlivesEnabled(false) }

// trackState follows the states of connections.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
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

// Shutdown stops accepting connections and returns when all requests in
// progress are answered, or with the context's error. Requests that arrive on
// accepted connections meanwhile are served: net/http alone would drop them
// unanswered, and wait five seconds for connections that are never used.
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

// drain waits until no connection has a request, or may soon have one.
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
			_ = conn.Close() // nothing was sent on it
			delete(s.unused, conn)
		}
	}
	return len(s.unused) == 0 && len(s.active) == 0
}

// Close cuts all connections.
func (s *Server) Close() error { return s.http.Close() }

// limitListener accepts at most n connections at a time; 0 means no bound.
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

// wrapListener applies a function to each accepted connection.
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
