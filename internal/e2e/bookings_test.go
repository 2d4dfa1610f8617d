package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/standin"
)

// callerTimeout is the time limit of a caller for one request.
const callerTimeout = 12 * time.Second

// requestResult is the result of one request to an entry, as seen by the caller.
// A request may have no response.
type requestResult struct {
	entry    int
	from, to time.Time
	outcome  apperr.Outcome
	kind     apperr.Kind
	// message is the message of the typed error.
	message string
	// notConnected reports that no connection was established, so no data was
	// sent.
	notConnected bool
	// complete reports that the outcome is done, the status is 200 and the body
	// was read to its end. err then reports whether the body is correct.
	complete bool
	err      error
}

// booking is a booking with the results of all its requests, in order.
type booking struct {
	standin.Booking
	// keyed bookings are sent with an Idempotency-Key and may be repeated after
	// any outcome.
	keyed   bool
	results []requestResult
}

// lastResult returns the latest result. The booking must have been sent.
func (b *booking) lastResult() requestResult { return b.results[len(b.results)-1] }

// hasOutcome reports whether any result has the outcome.
func (b *booking) hasOutcome(o apperr.Outcome) bool {
	for _, a := range b.results {
		if a.outcome == o {
			return true
		}
	}
	return false
}

// knownNotRun reports whether every request got the outcome not-run or did
// not reach the system.
func (b *booking) knownNotRun() bool {
	for _, a := range b.results {
		if !a.notConnected && a.outcome != apperr.OutcomeNotRun {
			return false
		}
	}
	return true
}

// callers sends streams of bookings to the entries of a fleet.
type callers struct {
	f      *fleet
	client *http.Client

	mu       sync.Mutex
	bookings []*booking
	// ready holds, for each entry counted from 0, whether its last readiness
	// check passed.
	ready []atomic.Bool
}

func newCallers(f *fleet) *callers {
	return &callers{f: f, ready: make([]atomic.Bool, f.opts.Entries), client: &http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 32, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	}}
}

// pollReadiness checks the readiness of an entry at intervals, like a load
// balancer.
func (c *callers) pollReadiness(ctx context.Context, entry int) {
	const interval = 300 * time.Millisecond
	for ctx.Err() == nil {
		check, cancel := context.WithTimeout(ctx, interval)
		_, err := c.f.d.Get(check, "http://"+c.f.d.CallerAddr(entry)+"/readyz")
		cancel()
		c.ready[entry-1].Store(err == nil)
		time.Sleep(interval)
	}
}

// pickEntry returns a random ready entry, or any entry if none is ready.
func (c *callers) pickEntry(rng *rand.Rand) int {
	first := rng.IntN(len(c.ready))
	for i := range c.ready {
		if n := (first + i) % len(c.ready); c.ready[n].Load() {
			return n + 1
		}
	}
	return first + 1
}

// run sends bookings from several callers until the context ends, and returns
// when all requests have completed.
func (c *callers) run(ctx context.Context, seed uint64, count int) {
	var running sync.WaitGroup
	for entry := range c.f.opts.Entries {
		running.Go(func() { c.pollReadiness(ctx, entry+1) })
	}
	for i := range count {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.book(newBooking(rng, fmt.Sprintf("s%d-c%d-%d", seed, i, n)), rng)
				time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
			}
		})
	}
	running.Wait()
}

func newBooking(rng *rand.Rand, id string) *booking {
	b := &booking{Booking: standin.Booking{ID: id, Size: 100 + rng.IntN(20_000)}, keyed: rng.IntN(2) == 0}
	serviceMS := 5 + rng.IntN(45)
	// One in 20 bookings is slow, and one in 20 has a large response.
	switch rng.IntN(20) {
	case 0:
		serviceMS = 500 + rng.IntN(2500)
	case 1:
		// Exceeds 64 KiB, the maximum size of a response that an entry stores for
		// repeated requests.
		b.Size = 100_000
	}
	b.ServiceMS = &serviceMS
	return b
}

// maxRequests is the maximum number of requests for a booking until it is done.
const maxRequests = 6

// book sends a booking until it is done, maxRequests requests have been sent or,
// without a key, until its outcome may be anything but not-run. One in ten keyed
// bookings is sent again after it is done.
func (c *callers) book(b *booking, rng *rand.Rand) {
	c.mu.Lock()
	c.bookings = append(c.bookings, b)
	c.mu.Unlock()
	for range maxRequests {
		a := c.send(b, c.pickEntry(rng))
		if a.outcome == apperr.OutcomeDone {
			break
		}
		if !b.keyed && !a.notConnected && a.outcome != apperr.OutcomeNotRun {
			return
		}
		time.Sleep(time.Duration(50+rng.IntN(300)) * time.Millisecond)
	}
	if b.keyed && b.hasOutcome(apperr.OutcomeDone) && rng.IntN(10) == 0 {
		c.send(b, c.pickEntry(rng))
	}
}

// send sends one request and records its result.
func (c *callers) send(b *booking, entry int) requestResult {
	a := requestResult{entry: entry, from: time.Now()}
	a.err = c.exchange(b, &a)
	a.to = time.Now()
	var op *net.OpError
	a.notConnected = errors.As(a.err, &op) && op.Op == "dial"
	c.mu.Lock()
	defer c.mu.Unlock()
	b.results = append(b.results, a)
	return a
}

// exchange sends the booking to the entry a.entry and sets the outcome, kind,
// message and complete of a.
func (c *callers) exchange(b *booking, a *requestResult) error {
	body, err := json.Marshal(b.Booking)
	if err != nil {
		return err
	}
	url := "http://" + c.f.d.CallerAddr(a.entry) + "/v1/services/berth-check/bookings"
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Without GetBody, the transport cannot resend the request.
	req.GetBody = nil
	if b.keyed {
		req.Header.Set("Idempotency-Key", "key-"+b.ID)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("response body truncated: %w", err)
	}
	a.outcome = apperr.Outcome(resp.Header.Get(apperr.HeaderOutcome))
	if a.outcome == apperr.OutcomeDone && resp.StatusCode == http.StatusOK {
		a.complete = true
		return standin.CheckBookingBody(b.ID, content)
	}
	var e apperr.Body
	if err := json.Unmarshal(content, &e); err != nil {
		return fmt.Errorf("status %d without a typed error: %w", resp.StatusCode, err)
	}
	a.kind, a.message = e.Kind, e.Message
	return nil
}

// resolve repeats every keyed booking that is not done. Within the limit each must
// become done or get the error kind uncertain twice.
func (c *callers) resolve(limit time.Duration) {
	slots := make(chan struct{}, 16)
	var running sync.WaitGroup
	end := time.Now().Add(limit)
	for _, b := range c.bookings {
		if !b.keyed || b.hasOutcome(apperr.OutcomeDone) {
			continue
		}
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			c.resolveOne(b, end)
		})
	}
	running.Wait()
}

func (c *callers) resolveOne(b *booking, end time.Time) {
	uncertain := 0
	for i := 0; time.Now().Before(end); i++ {
		a := c.send(b, i%c.f.opts.Entries+1)
		if a.outcome == apperr.OutcomeDone {
			return
		}
		if a.outcome == apperr.OutcomeUnknown && a.kind == apperr.KindUncertain {
			uncertain++
		}
		if uncertain == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.f.t.Errorf("keyed booking %s was neither done nor twice reported as uncertain within the limit; last result %+v", b.ID, b.lastResult())
}

// longestOutage returns the longest time without a complete response and its
// start.
func (c *callers) longestOutage(from, to time.Time) (time.Duration, time.Time) {
	times := []time.Time{from, to}
	for _, b := range c.bookings {
		for _, a := range b.results {
			if a.complete && a.to.After(from) && a.to.Before(to) {
				times = append(times, a.to)
			}
		}
	}
	return maxInterval(times)
}
