// Package traffic counts the bytes that a process sends and receives over its
// stream connections, so that the traffic of the control plane can be monitored.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes sent and received on connections, excluding TCP and IP
// headers. It is safe for concurrent use.
type Counter struct {
	in, out atomic.Uint64
}

// In returns the number of bytes received so far.
func (c *Counter) In() uint64 { return c.in.Load() }

// Out returns the number of bytes sent so far.
func (c *Counter) Out() uint64 { return c.out.Load() }

// Conn returns a connection that counts the bytes of inner.
func (c *Counter) Conn(inner net.Conn) net.Conn {
	return &conn{Conn: inner, counter: c}
}

// Dial opens a connection, as in http.Transport.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a Dial that counts the bytes of the connections that dial
// opens.
func (c *Counter) Dialer(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.Conn(inner), nil
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
