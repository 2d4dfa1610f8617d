// Package outage detects, from the calls of one process, that a service has stopped
// answering, and adapts the timeout of calls to the service's answer times.
//
// A silent service is one that accepts calls but does not answer them. Without a
// Detector, each request during an outage is sent, waits until its deadline and
// ends with an unknown outcome. A request that is not sent can be refused at once,
// and is known not to have run.
package outage

import "time"

// Detector detects from the calls to one service that the service is silent. The
// zero value with SilentAfter set is ready for use.
//
// A Detector is not safe for concurrent use.
type Detector struct {
	// SilentAfter is how long calls must be unanswered before the service counts
	// as silent. Set it well above the slowest answer times and below the
	// deadlines of requests.
	SilentAfter time.Duration
	// unansweredSince is when the first call since the last answer was sent, or
	// 0 if no call was sent since then.
	unansweredSince time.Duration
}

// Started records that a call was started. now must be positive.
func (d *Detector) Started(now time.Duration) {
	if d.unansweredSince == 0 {
		d.unansweredSince = now
	}
}

// Answered records an answer to any call.
func (d *Detector) Answered() { d.unansweredSince = 0 }

// Silent reports whether calls have been unanswered for SilentAfter.
func (d *Detector) Silent(now time.Duration) bool {
	return d.unansweredSince > 0 && now >= d.unansweredSince+d.SilentAfter
}
