package e2e

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/localrun"
)

// callerCount is the number of callers that send bookings concurrently.
const callerCount = 24

// Guards against bookings that are lost, executed twice, aborted or wrongly
// reported as not run while entries, workers and shard owners are killed, frozen
// and stopped and the platform has faults. Up to two faults start at the same
// time.
func TestBookingsUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes, takes about a minute")
	}
	t.Parallel()
	f := startFleet(t, localrun.Options{
		Entries: 3, Domains: 3, Workers: 2, Upstreams: true, ServiceTime: 20 * time.Millisecond,
	})
	c := newCallers(f)
	awaitService(t, c)
	c.bookDuring(60*time.Second, func() {
		f.injectFaults(t.Context(), rand.New(rand.NewPCG(seed(t), 0)), faultDuration(t, 15))
	})
}

// Guards against graceful stops that abort a request in progress or leave its
// outcome unknown. Entries and workers, and with them all shard owners, are
// stopped and restarted one after the other, without other faults.
func TestGracefulStops(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes, takes about 30 s")
	}
	t.Parallel()
	f := startFleet(t, localrun.Options{
		Entries: 2, Domains: 3, Workers: 1, Upstreams: true, ServiceTime: 20 * time.Millisecond,
	})
	c := newCallers(f)
	awaitService(t, c)
	c.bookDuring(30*time.Second, func() {
		rng := rand.New(rand.NewPCG(seed(t), 1))
		for _, n := range []process{f.entry(1), f.worker(1, 1), f.entry(2), f.worker(2, 1), f.worker(3, 1)} {
			f.inject(t.Context(), faultGracefulStop, n, rng)
			time.Sleep(time.Second)
		}
	})
	for _, b := range c.bookings {
		for _, a := range b.results {
			// A conflict with an unknown outcome means that another request with the
			// same key is in progress.
			if a.outcome == apperr.OutcomeUnknown && a.kind != apperr.KindConflict {
				t.Errorf("booking %s has an unknown outcome after graceful stops only: %+v", b.ID, a)
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
			b.results = nil
			c.mu.Lock()
			c.bookings = append(c.bookings, b)
			c.mu.Unlock()
			return c.send(b, i).outcome == apperr.OutcomeDone
		})
	}
}

// bookDuring sends bookings while inject injects faults, repeats keyed bookings
// for up to resolveWithin until their outcomes are known, and reconciles all
// bookings with the executions at the upstreams.
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
	upstreamRecords := c.f.upstreamRecords()
	c.logSummary(upstreamRecords, from, to)
	c.reconcile(upstreamRecords)
}
