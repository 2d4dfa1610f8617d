package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Clock is a monotonic clock.
type Clock interface {
	Now() time.Duration
	// Timer returns a channel that receives once after d, and a function that
	// releases it.
	Timer(d time.Duration) (<-chan time.Time, func())
}

type systemClock struct{ start time.Time }

func (c systemClock) Now() time.Duration { return time.Since(c.start) }

func (c systemClock) Timer(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}

// gate makes attempts wait until the admission grants them.
type gate struct {
	clock Clock

	mu      sync.Mutex
	adm     *admission
	rng     *rand.Rand
	changed chan struct{} // closed and replaced on every change
}

// enter waits for the admission of an attempt. Its error is that of the context.
func (g *gate) enter(ctx context.Context, acc access, class Class) (ticket, error) {
	waiting := false
	for {
		g.mu.Lock()
		if waiting {
			g.adm.waiting[acc][class]--
		}
		if err := ctx.Err(); err != nil {
			g.notify()
			g.mu.Unlock()
			return ticket{}, err
		}
		d := g.adm.ask(acc, class, g.clock.Now())
		if d.granted {
			if waiting {
				g.notify()
			}
			g.mu.Unlock()
			return d.ticket, nil
		}
		g.adm.waiting[acc][class]++
		waiting = true
		changed := g.changed
		g.mu.Unlock()
		g.pause(ctx, d.wait, changed)
	}
}

// pause waits for the duration if it is positive, for a change, or for the end
// of the context.
func (g *gate) pause(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	var timer <-chan time.Time
	if d > 0 {
		var stop func()
		timer, stop = g.clock.Timer(d)
		defer stop()
	}
	select {
	case <-timer:
	case <-changed:
	case <-ctx.Done():
	}
}

// down returns how long an attempt would be held at least; zero if the table
// is not in an outage or a probe may go now.
func (g *gate) down() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	b := &g.adm.backoff
	if !b.outage() || !b.closed(now) {
		return 0
	}
	return max(backoffBase, b.until-now)
}

// notify wakes all waiting attempts. The caller holds the mutex.
func (g *gate) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// failed records a failure and reports whether an outage began.
func (g *gate) failed(t ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.notify()
	return g.adm.failed(t, g.clock.Now(), g.rng.Float64())
}

// succeeded records an answer and reports whether an outage ended.
func (g *gate) succeeded(t ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.probe {
		defer g.notify()
	}
	return g.adm.succeeded(t, g.clock.Now())
}

// released gives up an admission whose attempt told nothing.
func (g *gate) released(t ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.probe {
		g.adm.backoff.released(t)
		g.notify()
	}
}
