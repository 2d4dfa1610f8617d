// Package traffic counts the bytes that a process sends and receives over its
// stream connections, so that the cost of control can be read from outside.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of connections, without the headers of TCP and IP.
// It is safe for concurrent use.
type Counter struct {
	in, out atomic.Uint64
}

// In returns the bytes received so far.
func (c *Counter) In() uint64 { return c.in.Load() }

// Out returns the bytes sent so far.
func (c *Counter) Out() uint64 { return c.out.Load() }

// WrapConn returns the connection with its bytes counted.
func (c *Counter) WrapConn(inner net.Conn) net.Conn {
	return &conn{Conn: inner, counter: c}
}

// Dial opens a connection, as in http.Transport.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// WrapDial returns the function with the bytes of its connections counted.
func (c *Counter) WrapDial(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.WrapConn(inner), nil
	}
}

type conn struct {
	net.Conn
	counter *Counter
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(uint64(n))
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.out.Add(uint64(n))
	return n, err
}
