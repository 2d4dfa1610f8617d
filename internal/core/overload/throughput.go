package overload

import (
	"math"
	"time"
)

// smoothing is the time over which throughput is averaged. Workers renew measurements
// every 500 ms, and paces change every 700 ms; bursts last for seconds.
const smoothing = 2 * time.Second

// Throughput is an exponential average over time of a measured rate. The zero value is
// ready for use.
type Throughput struct {
	rate float64
	at   time.Duration
}

// Measure adds a measurement. A rate of 0 is left at once.
func (t *Throughput) Measure(now time.Duration, rate float64) {
	if t.rate == 0 {
		t.rate = rate
	} else {
		t.rate += (rate - t.rate) * (1 - math.Exp(-max(0, now-t.at).Seconds()/smoothing.Seconds()))
	}
	t.at = now
}

// Rate returns the average.
func (t *Throughput) Rate() float64 { return t.rate }
