package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxServiceTime is the maximum service time recorded; longer ones are
	// recorded with this value.
	maxServiceTime = 10 * time.Minute
	// histogramDigits is the number of significant digits. With 2, quantiles
	// are accurate to 1% and a histogram uses 25 KB.
	histogramDigits = 2
	// minSamples is the minimum number of service times for an estimate.
	// Without an estimate, no request is refused as TooLate before its
	// deadline.
	minSamples = 16
)

// serviceTimes is the distribution of service times in the current and the
// previous window, in microseconds.
type serviceTimes struct {
	window   time.Duration
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	// windowEnd is the end of the current window.
	windowEnd time.Duration
	// refreshAt is the number of service times in the current window at which
	// the estimates are computed next.
	refreshAt int64
	median    time.Duration
	mean      time.Duration
}

func newServiceTimes(window time.Duration) serviceTimes {
	return serviceTimes{window: window, refreshAt: minSamples}
}

// record adds one service time.
func (t *serviceTimes) record(now, took time.Duration) {
	if t.current == nil {
		t.current = hdrhistogram.New(1, maxServiceTime.Microseconds(), histogramDigits)
		t.previous = hdrhistogram.New(1, maxServiceTime.Microseconds(), histogramDigits)
		t.windowEnd = now + t.window
	}
	if now >= t.windowEnd {
		t.rotate(now)
	}
	// The value is within the range of the histogram, so there is no error.
	_ = t.current.RecordValue(min(max(took, time.Microsecond), maxServiceTime).Microseconds())
	if t.current.TotalCount() >= t.refreshAt {
		t.refreshAt *= 2
		t.refresh(t.current)
	}
}

// rotate starts a new window. It keeps the existing estimates if the ended
// window has fewer than minSamples service times.
func (t *serviceTimes) rotate(now time.Duration) {
	t.current, t.previous = t.previous, t.current
	t.current.Reset()
	t.windowEnd = now + t.window
	t.refreshAt = minSamples
	if t.previous.TotalCount() >= minSamples {
		t.refresh(t.previous)
	}
}

func (t *serviceTimes) refresh(h *hdrhistogram.Histogram) {
	t.median = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	t.mean = time.Duration(h.Mean()) * time.Microsecond
}

// valid reports whether the estimates may be used. They expire after a window
// without service times: refused requests give no new service times, so an
// estimate that refuses every request would otherwise never change.
func (t *serviceTimes) valid(now time.Duration) bool {
	return now < t.windowEnd+t.window
}

// inTime reports whether a request is more likely than not to end by the
// deadline. serviceTimesAhead is the wait before its start, in mean service
// times; the median service time is added to it. Without valid estimates it
// reports whether the deadline has not passed.
func (t *serviceTimes) inTime(now time.Duration, serviceTimesAhead float64, deadline time.Duration) bool {
	if !t.valid(now) {
		return now < deadline
	}
	wait := time.Duration(serviceTimesAhead * float64(t.mean))
	return now+wait+t.median < deadline
}
