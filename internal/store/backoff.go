package store

import "time"

const (
	backoffBase = 50 * time.Millisecond
	// backoffCap bounds how long a store takes to notice the end of an outage;
	// at 36 stores it allows at most 24 attempts a second in all.
	backoffCap = 3 * time.Second
	// outageThreshold is the number of failures in a row that counts as an outage.
	// A lost answer now and then stays below it.
	outageThreshold = 3
)

// ticket is the admission of one attempt.
type ticket struct {
	access access
	// probe marks the single attempt that is made while the table fails.
	probe bool
}

// backoff decides when the table is tried again after failures. While failures
// is above zero, attempts are probes and one is made at a time.
type backoff struct {
	failures      int
	until         time.Duration
	probeInFlight bool
}

// backoffDelay returns the pause after n failures in a row, for a uniform u in [0, 1).
func backoffDelay(n int, u float64) time.Duration {
	d := backoffCap
	// Above 10 doublings the cap applies anyway.
	if n <= 10 {
		d = min(backoffCap, backoffBase<<(n-1))
	}
	return d/2 + time.Duration(u*float64(d/2))
}

// blocked reports whether attempts are held back at the given time.
func (b *backoff) blocked(now time.Duration) bool {
	return b.failures > 0 && (b.probeInFlight || now < b.until)
}

// outage reports whether the table counts as down.
func (b *backoff) outage() bool {
	return b.failures >= outageThreshold
}

// recordFailure records the failure of an attempt. Attempts that were under way when
// the first failure came say nothing new.
func (b *backoff) recordFailure(t ticket, now time.Duration, u float64) {
	if t.probe {
		b.probeInFlight = false
	} else if b.failures > 0 {
		return
	}
	b.failures++
	b.until = now + backoffDelay(b.failures, u)
}

// recordSuccess records an answer of the table.
func (b *backoff) recordSuccess(t ticket) {
	if t.probe {
		b.probeInFlight = false
		b.failures = 0
	}
}

// release records that an attempt ended without telling anything.
func (b *backoff) release(t ticket) {
	if t.probe {
		b.probeInFlight = false
	}
}
