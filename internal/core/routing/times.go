package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxServiceTime is the largest service time recorded; longer ones count
	// as this long.
	maxServiceTime = 10 * time.Minute
	// histogramDigits of 2 keeps quantiles within 1%, at 25 KB a histogram.
	histogramDigits = 2
	// minSamples is the number of service times below which nothing is refused
	// because of them.
	minSamples = 16
)

// serviceTimes is the distribution of service times over the present window
// and the one before, in microseconds.
type serviceTimes struct {
	window   time.Duration
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	// windowEnd is the end of the present window.
	windowEnd time.Duration
	// refreshAt is the count of the present window for the next refresh.
	refreshAt int64
	median    time.Duration
	mean      time.Duration
}

func newServiceTimes(window time.Duration) serviceTimes {
	return serviceTimes{window: window, refreshAt: minSamples}
}

// record takes one service time.
func (t *serviceTimes) record(now, took time.Duration) {
	if t.current == nil {
		t.current = hdrhistogram.New(1, maxServiceTime.Microseconds(), histogramDigits)
		t.previous = hdrhistogram.New(1, maxServiceTime.Microseconds(), histogramDigits)
		t.windowEnd = now + t.window
	}
	if now >= t.windowEnd {
		t.rotate(now)
	}
	// The value is within the histogram's range, so there is no error.
	_ = t.current.RecordValue(min(max(took, time.Microsecond), maxServiceTime).Microseconds())
	if t.current.TotalCount() >= t.refreshAt {
		t.refreshAt *= 2
		t.refresh(t.current)
	}
}

// rotate starts a new window. The estimates of a short window are kept.
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

// valid reports whether the estimates may be used. They are void after a
// window without service times: refused requests bring no new ones, so an
// estimate that refuses everything would otherwise last for ever.
func (t *serviceTimes) valid(now time.Duration) bool {
	return now < t.windowEnd+t.window
}

// inTime reports whether a request is more likely than not to end by the
// deadline if it starts after the given number of mean service times.
func (t *serviceTimes) inTime(now time.Duration, serviceTimesAhead float64, deadline time.Duration) bool {
	if !t.valid(now) {
		return now < deadline
	}
	wait := time.Duration(serviceTimesAhead * float64(t.mean))
	return now+wait+t.median < deadline
}
