package outage

import "time"

// meanWeight and deviationWeight are the weights of a new sample in the moving
// averages. deviationFactor is the factor of the deviation in the timeout. The
// values are taken from RFC 6298.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
)

// Timeout computes the timeout of calls to a service from its answer times.
//
// A fixed timeout fails in two cases. If a service becomes many times slower than
// usual and the timeout is below its answer time, callers retry calls that are
// still being processed, and the retries keep the service overloaded. If answers are
// lost while the service is fast, a timeout that is long enough for the first case
// uses up most of a request's time before the retry.
//
// A Timeout is not safe for concurrent use.
type Timeout struct {
	// Min and Max are the bounds of the timeout.
	Min, Max time.Duration

	mean, deviation time.Duration
	// backoffShift is the number of doublings of the timeout: one for each call
	// that timed out since the last answer, until the timeout reaches Max.
	backoffShift uint
}

// Answered records the answer time of a call.
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

// Expired records a call that timed out without an answer.
func (t *Timeout) Expired() {
	if t.Value() < t.Max {
		t.backoffShift++
	}
}

// Value returns the timeout of the next call. Before the first answer it is half of
// Max, because the service's answer times are not known yet. In all cases it
// doubles after each timeout, up to Max.
func (t *Timeout) Value() time.Duration {
	v := max(t.Min, t.mean+deviationFactor*t.deviation)
	if t.mean == 0 {
		v = t.Max / 2
	}
	return min(t.Max, v<<t.backoffShift)
}

// MeanAnswerTime returns the average answer time, or 0 before the first answer.
func (t *Timeout) MeanAnswerTime() time.Duration { return t.mean }
