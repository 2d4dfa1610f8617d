package outage

import "time"

// Weights of a new sample, and of the deviation in a timeout: those of RFC 6298.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
)

// Timeout follows how long a service takes to answer.
//
// The loads that it answers are two. Where a service is many times slower than
// usual, a fixed timeout below what it takes makes callers repeat calls that are
// still being carried out, and the repeats keep it overloaded. Where answers are
// lost while the service is fast, the same timeout wastes most of a request's time
// before the repeat.
//
// A Timeout is not safe for concurrent use.
type Timeout struct {
	// Min and Max bound the timeout.
	Min, Max time.Duration

	mean, deviation time.Duration
	// backoffShift doubles the timeout with each call that it has ended since the last
	// answer.
	backoffShift uint
}

// Answered records a call that was answered.
func (t *Timeout) Answered(took time.Duration) {
	t.backoffShift = 0
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	delta := took - t.mean
	t.mean += time.Duration(meanWeight * float64(delta))
	t.deviation += time.Duration(deviationWeight * float64(max(delta, -delta)-t.deviation))
}

// Expired records a call that ended without an answer after the timeout.
func (t *Timeout) Expired() {
	if t.Value() < t.Max {
		t.backoffShift++
	}
}

// Value returns how long to wait for an answer: half of Max before the first
// answer, since nothing is known of the service then.
func (t *Timeout) Value() time.Duration {
	v := max(t.Min, t.mean+deviationFactor*t.deviation)
	if t.mean == 0 {
		v = t.Max / 2
	}
	return min(t.Max, v<<t.backoffShift)
}

// Expected returns how long an answer is expected to take.
func (t *Timeout) Expected() time.Duration { return t.mean }
