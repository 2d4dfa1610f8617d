package e2e

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/localrun"
)

// callerCount is the number of callers that book at the same time.
const callerCount = 24

// Guards against bookings that are lost, doubled, cut off or wrongly reported
// as not run when entries, workers, shard owners and the platform are killed,
// frozen and stopped, also two at once.
func TestBookingsUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes for about a minute")
	}
	t.Parallel()
	f := startFleet(t, localrun.Options{
		Entries: 3, Domains: 3, Workers: 2, Upstreams: true, ServiceTime: 20 * time.Millisecond,
	})
	c := newCallers(f)
	awaitService(t, c)
	c.bookDuring(60*time.Second, func() {
		f.injectFaults(t.Context(), rand.New(rand.NewPCG(seed(t), 0)), phaseLength(t, 15))
	})
}

// Guards against planned stops that cut off a request in progress or leave its
// outcome open: entries, workers and owners are stopped and started again one
// after the other, and nothing else happens.
func TestGracefulStops(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes for half a minute")
	}
	t.Parallel()
	f := startFleet(t, localrun.Options{
		Entries: 2, Domains: 3, Workers: 1, Upstreams: true, ServiceTime: 20 * time.Millisecond,
	})
	c := newCallers(f)
	awaitService(t, c)
	c.bookDuring(30*time.Second, func() {
		rng := rand.New(rand.NewPCG(seed(t), 1))
		for _, n := range []node{f.entry(1), f.worker(1, 1), f.entry(2), f.worker(2, 1), f.worker(3, 1)} {
			f.inject(t.Context(), faultGraceful, n, rng)
			time.Sleep(time.Second)
		}
	})
	for _, b := range c.bookings {
		for _, a := range b.answers {
			if a.outcome == apperr.OutcomeUnknown && a.kind != apperr.KindConflict {
				t.Errorf("booking %s has an open outcome after graceful stops only: %+v", b.ID, a)
			}
		}
	}
}

// awaitService waits until every entry serves a booking.
func awaitService(t *testing.T, c *callers) {
	t.Helper()
	for i := 1; i <= c.f.opts.Entries; i++ {
		await(t, "service at "+localrun.EntryName(i), 20*time.Second, func() bool {
			b := newBooking(rand.New(rand.NewPCG(1, 1)), "warm-up-"+time.Now().Format(time.RFC3339Nano))
			b.answers = nil
			c.mu.Lock()
			c.bookings = append(c.bookings, b)
			c.mu.Unlock()
			return c.send(b, i).outcome == apperr.OutcomeDone
		})
	}
}

// bookDuring lets callers book while the faults are injected, gives open
// bookings the time to be resolved, and reconciles all with the upstreams.
func (c *callers) bookDuring(resolveWithin time.Duration, inject func()) {
	from := time.Now()
	ctx, stop := context.WithCancel(c.f.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx, seed(c.f.t), callerCount)
	}()
	inject()
	to := time.Now()
	stop()
	<-done
	c.resolve(resolveWithin)
	records := c.f.readUpstreamRecords()
	c.logSummary(records, from, to)
	c.reconcile(records)
}
