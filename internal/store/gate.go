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

// gate blocks attempts until the admission grants them.
type gate struct {
	clock Clock

	mu      sync.Mutex
	adm     *admission
	rng     *rand.Rand
	changed chan struct{} // closed and replaced on every change
}

// acquire waits until an attempt is admitted. If the context ends first, it
// returns the context's error.
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
		g.sleep(ctx, d.wait, changed)
	}
}

// sleep returns after d if d is positive, on a change of the state, or at the end
// of the context, whichever is first.
func (g *gate) sleep(ctx context.Context, d time.Duration, changed <-chan struct{}) {
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

// outageWait returns the minimum time that an attempt would wait because of an
// outage. It is zero if there is no outage or a probe may be sent now.
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

// recordFailure records a failed attempt and reports whether it started an
// outage.
func (g *gate) recordFailure(t ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.wakeWaiters()
	return g.adm.recordFailure(t, g.clock.Now(), g.rng.Float64())
}

// recordSuccess records an answer of the table and reports whether it ended an
// outage.
func (g *gate) recordSuccess(t ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.probe {
		defer g.wakeWaiters()
	}
	return g.adm.recordSuccess(t, g.clock.Now())
}

// release returns the ticket of an attempt that ended without a result.
func (g *gate) release(t ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.probe {
		g.adm.backoff.release(t)
		g.wakeWaiters()
	}
}
