package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxServiceTime is the largest service time recorded; longer ones count
	// as this long.
	maxServiceTime = 10 * time.Minute
	// timesDigits of 2 keeps quantiles within 1%, at 25 KB a histogram.
	timesDigits = 2
	// minTimes is the number of service times below which nothing is refused
	// because of them.
	minTimes = 16
)

// serviceTimes is the distribution of service times over the present window
// and the one before, in microseconds.
type serviceTimes struct {
	window  time.Duration
	present *hdrhistogram.Histogram
	before  *hdrhistogram.Histogram
	// ends is the end of the present window.
	ends time.Duration
	// refreshAt is the count of the present window for the next refresh.
	refreshAt int64
	median    time.Duration
	mean      time.Duration
}

func newServiceTimes(window time.Duration) serviceTimes {
	return serviceTimes{window: window, refreshAt: minTimes}
}

// record takes one service time.
func (t *serviceTimes) record(now, took time.Duration) {
	if t.present == nil {
		t.present = hdrhistogram.New(1, maxServiceTime.Microseconds(), timesDigits)
		t.before = hdrhistogram.New(1, maxServiceTime.Microseconds(), timesDigits)
		t.ends = now + t.window
	}
	if now >= t.ends {
		t.turn(now)
	}
	// The value is within the histogram's range, so there is no error.
	_ = t.present.RecordValue(min(max(took, time.Microsecond), maxServiceTime).Microseconds())
	if t.present.TotalCount() >= t.refreshAt {
		t.refreshAt *= 2
		t.refresh(t.present)
	}
}

// turn starts a new window. The estimates of a short window are kept.
func (t *serviceTimes) turn(now time.Duration) {
	t.present, t.before = t.before, t.present
	t.present.Reset()
	t.ends = now + t.window
	t.refreshAt = minTimes
	if t.before.TotalCount() >= minTimes {
		t.refresh(t.before)
	}
}

func (t *serviceTimes) refresh(h *hdrhistogram.Histogram) {
	t.median = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	t.mean = time.Duration(h.Mean()) * time.Microsecond
}

// current reports whether the estimates may be used. They are void after a
// window without service times: refused requests bring no new ones, so an
// estimate that refuses everything would otherwise last for ever.
func (t *serviceTimes) current(now time.Duration) bool {
	return now < t.ends+t.window
}

// inTime reports whether a request is more likely than not to end by the
// deadline if it starts after the given number of mean service times.
func (t *serviceTimes) inTime(now time.Duration, waits float64, deadline time.Duration) bool {
	if !t.current(now) {
		return now < deadline
	}
	wait := time.Duration(waits * float64(t.mean))
	return now+wait+t.median < deadline
}
