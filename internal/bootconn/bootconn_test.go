package bootconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// newTestPool returns a pool whose check returns the given boot, and the address of a
// server that counts the connections it has accepted and closed.
func newTestPool(t *testing.T, check Check) (p *Pool, url string, open func() int) {
	states := make(chan http.ConnState, 64)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) { states <- s }
	server.Start()
	t.Cleanup(server.Close)
	connections := 0
	open = func() int {
		for {
			select {
			case s := <-states:
				switch s {
				case http.StateNew:
					connections++
				case http.StateClosed:
					connections--
				}
			case <-time.After(100 * time.Millisecond):
				return connections
			}
		}
	}
	p = NewPool(&net.Dialer{Timeout: 200 * time.Millisecond}, check, func(dial DialFunc) *http.Client {
		return &http.Client{Transport: &http.Transport{DialContext: dial}}
	})
	return p, server.URL, open
}

func get(c *http.Client, url string) error {
	resp, err := c.Get(url)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close()
}

// Guards against connections to another boot that are used or left open, and against
// callers that cannot know that nothing was sent.
func TestPoolReachesOneBoot(t *testing.T) {
	born, checks := int64(1), 0
	p, url, open := newTestPool(t, func(context.Context, net.Conn) (int64, bool, error) {
		checks++
		return born, true, nil
	})
	for range 2 {
		if err := get(p.Client(1), url); err != nil {
			t.Fatal(err)
		}
	}
	if n := open(); n != 1 || checks != 1 {
		t.Errorf("%d connections open after %d checks, want 1 connection, which is checked once", n, checks)
	}
	err := get(p.Client(2), url)
	var op *net.OpError
	if !errors.Is(err, ErrOtherBoot) || !errors.As(err, &op) || op.Op != "dial" {
		t.Errorf("call for another boot: %v, want ErrOtherBoot from the dial", err)
	}
	if n := open(); n != 0 {
		t.Errorf("%d connections left open, want none: one is to an earlier boot, one was rejected", n)
	}
	born = 2
	if err := get(p.Client(2), url); err != nil {
		t.Errorf("call for the current boot: %v", err)
	}
}

// Guards against a call that waits for a process that accepts connections and does not
// answer.
func TestCheckIsBounded(t *testing.T) {
	p, url, _ := newTestPool(t, func(_ context.Context, c net.Conn) (int64, bool, error) {
		_, err := c.Read(make([]byte, 1)) // the server sends nothing before a request
		return 0, false, err
	})
	begin := time.Now()
	if err := get(p.Client(1), url); err == nil || time.Since(begin) > 2*time.Second {
		t.Errorf("call ended after %v with %v, want an error after the timeout of 200 ms", time.Since(begin), err)
	}
}
