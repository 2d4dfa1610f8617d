// Package bootconn provides HTTP clients whose calls reach only one boot of a process.
// A process that restarts at the same address, under the same name, otherwise receives
// calls that were sent to its earlier boot while nothing listened: the network delivers
// them once the address answers again, also after their sender has given up. A
// connection that one boot has accepted ends with it. Therefore each new connection is
// checked before the first call is sent on it.
//
// A process that closes the connection after each response cannot be bound in this way.
// Calls to it are sent on a second connection right after the check of the first one.
package bootconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// ErrOtherBoot is returned for calls that were not sent because another boot accepted
// the connection. It is wrapped in a net.OpError of the operation "dial".
var ErrOtherBoot = errors.New("another boot accepted the connection")

// Check asks the process at the other end of a connection which boot it is. It reports
// whether the connection is ready for the next HTTP request.
type Check func(ctx context.Context, c net.Conn) (born int64, reusable bool, err error)

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the client for the current boot of one process. It is safe for concurrent
// use.
type Pool struct {
	newClient func(DialFunc) *http.Client
	dialer    *net.Dialer
	check     Check

	mu     sync.Mutex
	born   int64
	client *http.Client
}

// NewPool returns a pool. The function newClient returns a client that opens its
// connections with the function given to it. Opening a connection, with its check,
// takes at most the timeout of the dialer.
func NewPool(dialer *net.Dialer, check Check, newClient func(DialFunc) *http.Client) *Pool {
	return &Pool{newClient: newClient, dialer: dialer, check: check}
}

// Client returns a client for the boot with a start time. The connections to another
// boot, for which the last client was, are closed once they are idle.
func (p *Pool) Client(born int64) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil && p.born == born {
		return p.client
	}
	if p.client != nil {
		p.client.CloseIdleConnections()
	}
	p.born = born
	p.client = p.newClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		return p.dial(ctx, network, address, born)
	})
	return p.client
}

// dial opens a connection and checks that the boot at its other end is the expected one.
func (p *Pool) dial(ctx context.Context, network, address string, born int64) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialer.Timeout)
	defer cancel()
	c, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	reusable, err := p.verify(ctx, c, born)
	if err != nil {
		_ = c.Close() // no call has been sent on it
		return nil, &net.OpError{Op: "dial", Net: network, Addr: c.RemoteAddr(), Err: err}
	}
	if !reusable {
		_ = c.Close() // the process closes it too
		return p.dialer.DialContext(ctx, network, address)
	}
	return c, nil
}

// verify returns an error unless the expected boot has accepted a connection, and
// reports whether the connection can be used further.
func (p *Pool) verify(ctx context.Context, c net.Conn, born int64) (reusable bool, err error) {
	if err := c.SetDeadline(time.Now().Add(p.dialer.Timeout)); err != nil {
		return false, err
	}
	actual, reusable, err := p.check(ctx, c)
	if err != nil {
		return false, err
	}
	if actual != born {
		return false, fmt.Errorf("%w: it began at %d, the call is for the one of %d; ask for its lists of runs first", ErrOtherBoot, actual, born)
	}
	return reusable, c.SetDeadline(time.Time{})
}
