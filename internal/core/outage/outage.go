package outage

import (
	"slices"
	"time"
)

// maxUnanswered bounds the calls that a Detector remembers. During an outage a process
// starts a few calls per second, and the earliest ones decide.
const maxUnanswered = 64

// Detector detects from the calls to one service that the service is silent. The
// zero value with SilentAfter set is ready for use.
//
// A Detector is not safe for concurrent use.
type Detector struct {
	// SilentAfter is how long calls must be unanswered before the service counts
	// as silent. Set it well above the slowest answer times and below the
	// deadlines of requests.
	SilentAfter time.Duration
	// unanswered are the start times, in order, of the calls that were started after
	// every answered call. It holds the first maxUnanswered of them.
	unanswered []time.Duration
}

// Started records that a call was started. Times must be positive and in order.
func (d *Detector) Started(now time.Duration) {
	if len(d.unanswered) < maxUnanswered {
		d.unanswered = append(d.unanswered, now)
	}
}

// Answered records an answer to a call that was started at the given time. It says
// nothing about calls that were started later: a call that was already being processed
// when an outage began may still be answered.
func (d *Detector) Answered(started time.Duration) {
	n := 0
	for n < len(d.unanswered) && d.unanswered[n] <= started {
		n++
	}
	d.unanswered = slices.Delete(d.unanswered, 0, n)
}

// GivenUp records that the caller of a call that was started at the given time does not
// wait for its answer any more.
func (d *Detector) GivenUp(started time.Duration) {
	if i := slices.Index(d.unanswered, started); i >= 0 {
		d.unanswered = slices.Delete(d.unanswered, i, i+1)
	}
}

// UnansweredFor returns how long the first unanswered call has been waiting, or 0 if
// there is none.
func (d *Detector) UnansweredFor(now time.Duration) time.Duration {
	if len(d.unanswered) == 0 {
		return 0
	}
	return now - d.unanswered[0]
}

// Silent reports whether calls have been unanswered for SilentAfter.
func (d *Detector) Silent(now time.Duration) bool {
	return len(d.unanswered) > 0 && d.UnansweredFor(now) >= d.SilentAfter
}
