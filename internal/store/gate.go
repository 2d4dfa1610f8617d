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

// acquire waits for the admission of an attempt. Its error is that of the context.
func (g *gate) acquire(ctx context.Context, acc access, class Class) (ticket, error) {
	waiting := false
	for {
		g.mu.Lock()
		if waiting {
			g.adm.waiting[acc][class]--
		}
		if err := ctx.Err(); err != nil {
			g.wakeWaiters()
			g.mu.Unlock()
			return ticket{}, err
		}
		d := g.adm.decide(acc, class, g.clock.Now())
		if d.granted {
			if waiting {
				g.wakeWaiters()
			}
			g.mu.Unlock()
			return d.ticket, nil
		}
		g.adm.waiting[acc][class]++
		waiting = true
		changed := g.changed
		g.mu.Unlock()
		g.wait(ctx, d.wait, changed)
	}
}

// wait waits for the duration if it is positive, for a change, or for the end
// of the context.
func (g *gate) wait(ctx context.Context, d time.Duration, changed <-chan struct{}) {
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

// outageWait returns how long an attempt would be held at least; zero if the table
// is not in an outage or a probe may go now.
func (g *gate) outageWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	b := &g.adm.backoff
	if !b.outage() || !b.blocked(now) {
		return 0
	}
	return max(backoffBase, b.until-now)
}

// wakeWaiters wakes all waiting attempts. The caller holds the mutex.
func (g *gate) wakeWaiters() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// recordFailure records a failure and reports whether an outage began.
func (g *gate) recordFailure(t ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.wakeWaiters()
	return g.adm.recordFailure(t, g.clock.Now(), g.rng.Float64())
}

// recordSuccess records an answer and reports whether an outage ended.
func (g *gate) recordSuccess(t ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.probe {
		defer g.wakeWaiters()
	}
	return g.adm.recordSuccess(t, g.clock.Now())
}

// release gives up an admission whose attempt told nothing.
func (g *gate) release(t ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.probe {
		g.adm.backoff.release(t)
		g.wakeWaiters()
	}
}
