package store

import "time"

const (
	backoffBase = 50 * time.Millisecond
	// backoffCap bounds how long a store takes to notice the end of an outage.
	// With 36 stores it allows at most 24 attempts per second in total.
	backoffCap = 3 * time.Second
	// outageThreshold is the number of consecutive failures that count as an
	// outage. Occasional lost answers stay below it.
	outageThreshold = 3
)

// ticket admits one attempt.
type ticket struct {
	access access
	// probe marks the only attempt in flight while the table is failing.
	probe bool
}

// backoff decides when the table is tried again after failures. While failures
// is above zero, every attempt is a probe, and only one is in flight at a time.
type backoff struct {
	failures      int
	until         time.Duration
	probeInFlight bool
}

// backoffDelay returns the pause after n consecutive failures. The jitter u is
// uniform in [0, 1).
func backoffDelay(n int, u float64) time.Duration {
	d := backoffCap
	// From n = 7 on the cap applies; the limit on n avoids an overflow.
	if n <= 10 {
		d = min(backoffCap, backoffBase<<(n-1))
	}
	return d/2 + time.Duration(u*float64(d/2))
}

// blocked reports whether no attempt may be made at the given time.
func (b *backoff) blocked(now time.Duration) bool {
	return b.failures > 0 && (b.probeInFlight || now < b.until)
}

// outage reports whether the table is considered down.
func (b *backoff) outage() bool {
	return b.failures >= outageThreshold
}

// recordFailure records the failure of an attempt. While the table is failing,
// only failed probes count: other attempts were in flight before the first
// failure and add no information.
func (b *backoff) recordFailure(t ticket, now time.Duration, u float64) {
	if t.probe {
		b.probeInFlight = false
	} else if b.failures > 0 {
		return
	}
	b.failures++
	b.until = now + backoffDelay(b.failures, u)
}

// recordSuccess records an answer of the table. While the table is failing,
// only the answer to a probe counts.
func (b *backoff) recordSuccess(t ticket) {
	if t.probe {
		b.probeInFlight = false
		b.failures = 0
	}
}

// release records that an attempt ended without a result.
func (b *backoff) release(t ticket) {
	if t.probe {
		b.probeInFlight = false
	}
}
