// Package faultsoak runs entries and agents of the product's binary as separate
// processes on loopback and injects faults from outside: signals to the
// processes; proxies that delay data, reset connections, or drop data in one or
// both directions; and a store that refuses calls, loses responses or discards
// its change history. The seed draws the flags of the entries, too. It checks the
// guarantees to callers and workers during the run. The platform is the stand-in,
// which runs inside the driver. The package is not part of the shipped binary.
package faultsoak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// mode is the fault that a proxy applies to its connections.
type mode int

const (
	pass mode = iota
	// delay delays each chunk of data by proxyDelay.
	delay
	// reset closes open connections and each new one.
	reset
	// oneWay drops the data that the server sends.
	oneWay
	// silent drops the data in both directions and leaves connections open.
	silent
	modeCount
	// hold keeps the data of both directions, and new connections, until the mode
	// changes, even if their senders have given up by then. It is not drawn at random.
	hold
)

func (m mode) String() string {
	return [...]string{"pass", "delay", "reset", "one-way", "silent", "", "hold"}[m]
}

// proxyDelay is the delay of each chunk of data in mode delay.
const proxyDelay = 120 * time.Millisecond

// proxy forwards TCP connections to one target address.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     mode
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	// faults holds the times in which the mode was not pass, delays those in which it
	// delivered data late.
	faults, delays faultLog
}

func newProxy(target string) (*proxy, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// setMode changes the mode. A connection that has lost data in a direction
// stays silent in that direction, because its data stream has a gap.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.faults.set(m != pass)
	p.delays.set(m == delay || m == hold)
	close(p.changed)
	p.changed = make(chan struct{})
	if m != reset {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

// awaitRelease waits while the mode is hold and returns the mode after it.
func (p *proxy) awaitRelease() mode {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		if m != hold {
			return m
		}
		<-changed
	}
}

func (p *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if p.awaitRelease() == reset {
		return
	}
	s, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	p.mu.Lock()
	p.conns[c], p.conns[s] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.forward(s, c, false, done)
	go p.forward(c, s, true, done)
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
}

// forward copies the data of one direction. fromServer means the direction from
// the server to the client.
func (p *proxy) forward(to io.Writer, from io.Reader, fromServer bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		m := p.awaitRelease()
		if err != nil {
			return // a closed connection is not noticed before the release either
		}
		switch {
		case m == delay:
			time.Sleep(proxyDelay)
		case m == silent, m == oneWay && fromServer:
			dropping = true
		}
		if dropping {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(reset)
}
