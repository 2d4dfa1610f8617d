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

// callerTimeout is how long a caller waits for one answer.
const callerTimeout = 12 * time.Second

// answer is what a caller learned from one exchange with an entry.
type answer struct {
	entry    int
	from, to time.Time
	outcome  apperr.Outcome
	kind     apperr.Kind
	// problem is the message of the error.
	problem string
	// notConnected tells that no connection was made, so nothing was sent.
	notConnected bool
	// complete tells that the response is the one to the booking.
	complete bool
	err      error
}

// booking is one booking with all that its caller learned.
type booking struct {
	standin.Booking
	keyed   bool
	answers []answer
}

// lastAnswer returns the latest answer.
func (b *booking) lastAnswer() answer { return b.answers[len(b.answers)-1] }

// hasOutcome reports whether any answer has the outcome.
func (b *booking) hasOutcome(o apperr.Outcome) bool {
	for _, a := range b.answers {
		if a.outcome == o {
			return true
		}
	}
	return false
}

// reportedNotRun reports that the system said of every exchange that nothing
// was run, or that no exchange reached it.
func (b *booking) reportedNotRun() bool {
	for _, a := range b.answers {
		if !a.notConnected && a.outcome != apperr.OutcomeNotRun {
			return false
		}
	}
	return true
}

// callers send a stream of bookings.
type callers struct {
	f      *fleet
	client *http.Client

	mu       sync.Mutex
	bookings []*booking
	// ready tells by entry, counted from 0, whether the readiness check passes.
	ready []atomic.Bool
}

func newCallers(f *fleet) *callers {
	return &callers{f: f, ready: make([]atomic.Bool, f.opts.Entries), client: &http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 32, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	}}
}

// pollReadiness checks the readiness of an entry like the platform's balancer does.
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

// pickEntry returns a ready entry, or any one if none is ready.
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
// when all exchanges have ended.
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
	service := 5 + rng.IntN(45)
	switch rng.IntN(20) {
	case 0:
		service = 500 + rng.IntN(2500)
	case 1:
		// Above the size that is kept for repeats.
		b.Size = 100_000
	}
	b.ServiceMS = &service
	return b
}

// maxAttempts bounds the repeats of one booking during the faults.
const maxAttempts = 6

// book sends a booking until its outcome is known or may not be improved.
func (c *callers) book(b *booking, rng *rand.Rand) {
	c.mu.Lock()
	c.bookings = append(c.bookings, b)
	c.mu.Unlock()
	for range maxAttempts {
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

// send makes one exchange.
func (c *callers) send(b *booking, entry int) answer {
	a := answer{entry: entry, from: time.Now()}
	a.err = c.exchange(b, &a)
	a.to = time.Now()
	var op *net.OpError
	a.notConnected = errors.As(a.err, &op) && op.Op == "dial"
	c.mu.Lock()
	defer c.mu.Unlock()
	b.answers = append(b.answers, a)
	return a
}

// exchange sends the booking and fills in the answer.
func (c *callers) exchange(b *booking, a *answer) error {
	body, err := json.Marshal(b.Booking)
	if err != nil {
		return err
	}
	url := "http://" + c.f.d.CallerAddr(a.entry) + "/v1/services/berth-check/bookings"
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// The transport must not repeat a booking on its own.
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
		return fmt.Errorf("body cut: %w", err)
	}
	a.outcome = apperr.Outcome(resp.Header.Get(apperr.HeaderOutcome))
	if a.outcome == apperr.OutcomeDone && resp.StatusCode == http.StatusOK {
		a.complete = true
		return standin.CheckBookingBody(b.ID, content)
	}
	var e apperr.Body
	if err := json.Unmarshal(content, &e); err != nil {
		return fmt.Errorf("status %d without typed error: %w", resp.StatusCode, err)
	}
	a.kind, a.problem = e.Kind, e.Message
	return nil
}

// resolve repeats the keyed bookings whose outcome is open. Each has to become
// done, or be reported twice as uncertain, within the limit.
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
	c.f.t.Errorf("keyed booking %s stays open: %+v", b.ID, b.lastAnswer())
}

// longestGap returns the longest time without a whole answer and its start.
func (c *callers) longestGap(from, to time.Time) (time.Duration, time.Time) {
	times := []time.Time{from, to}
	for _, b := range c.bookings {
		for _, a := range b.answers {
			if a.complete && a.to.After(from) && a.to.Before(to) {
				times = append(times, a.to)
			}
		}
	}
	return maxGap(times)
}
