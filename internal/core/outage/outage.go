// Package outage decides from the calls of one process whether a service has
// gone silent: it takes calls and does not answer them.
//
// The load that it answers is an outage in which each request is sent, waits for
// its deadline and ends without knowing what became of it. A request that is not
// sent at all can be refused at once, and truthfully.
//
// A Detector is not safe for concurrent use.
package outage

import "time"

// Detector follows the calls to one service. The zero value with SilentAfter set is ready
// for use.
type Detector struct {
	// SilentAfter is how long calls must go unanswered before the service counts as
	// silent: well above its slowest answers, and below the deadlines of requests.
	SilentAfter time.Duration
	// unansweredSince is when the first call began that was not answered, nor any call after
	// it; 0 if there is none.
	unansweredSince time.Duration
}

// Started records that a call was sent.
func (w *Detector) Started(now time.Duration) {
	if w.unansweredSince == 0 {
		w.unansweredSince = now
	}
}

// Answered records an answer to any call.
func (w *Detector) Answered() { w.unansweredSince = 0 }

// Silent reports whether the service has gone silent.
func (w *Detector) Silent(now time.Duration) bool {
	return w.unansweredSince > 0 && now >= w.unansweredSince+w.SilentAfter
}
