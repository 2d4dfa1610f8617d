// Package outage decides from the calls of one process whether a service has
// gone silent: it takes calls and does not answer them.
//
// The load that it answers is an outage in which each request is sent, waits for
// its deadline and ends without knowing what became of it. A request that is not
// sent at all can be refused at once, and truthfully.
//
// A Watch is not safe for concurrent use.
package outage

import "time"

// Watch follows the calls to one service. The zero value with After set is ready
// for use.
type Watch struct {
	// After is how long calls must go unanswered before the service counts as
	// silent: well above its slowest answers, and below the deadlines of requests.
	After time.Duration
	// since is when the first call began that was not answered, nor any call after
	// it; 0 if there is none.
	since time.Duration
}

// Began records that a call was sent.
func (w *Watch) Began(now time.Duration) {
	if w.since == 0 {
		w.since = now
	}
}

// Answered records an answer to any call.
func (w *Watch) Answered() { w.since = 0 }

// Silent reports whether the service has gone silent.
func (w *Watch) Silent(now time.Duration) bool {
	return w.since > 0 && now >= w.since+w.After
}
