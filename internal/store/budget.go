package store

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// rateWindow is the time constant of the rate estimate.
	rateWindow = time.Minute
	// recoveryFactor bounds the rate after an outage in terms of the rate
	// before it. It leaves room below the fleet's limit of twice the steady
	// rate for the variation between seconds.
	recoveryFactor = 1.5
	// recoveryFloor is the lowest rate after an outage, per second, so that an
	// idle store can start to work.
	recoveryFloor = 1.0
	// recoveryTime is the least time between outage and normal operation.
	recoveryTime = time.Minute
	// recoveryGrowth raises the rate once per recoveryTime, so that a demand
	// that has grown is met in the end.
	recoveryGrowth = 1.05
)

// budget bounds one kind of access of one store.
type budget struct {
	reserved *rate.Limiter // for leases
	shared   *rate.Limiter // for all classes
	maxRate  rate.Limit
	burst    int

	// estimate is the exponentially decayed number of shared grants a second.
	estimate    float64
	estimatedAt time.Duration
	startedAt   time.Duration

	paused        bool
	recovering    bool
	rateSetAt     time.Duration // when the rate was set last in a recovery
	steadyRate    float64       // rate before the outage
	pacingEnabled bool
}

// asTime converts a reading of the monotonic clock for package rate.
func asTime(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(now)
}

func newBudget(perSecond, leaseShare float64, now time.Duration) *budget {
	full := rate.Limit(perSecond * (1 - leaseShare))
	burst := max(1, int(float64(full)/2))
	reserved := rate.Limit(perSecond * leaseShare)
	return &budget{
		reserved: rate.NewLimiter(reserved, max(1, int(reserved))),
		shared:   rate.NewLimiter(full, burst),
		maxRate:  full, burst: burst,
		estimatedAt: now, startedAt: now, pacingEnabled: true,
	}
}

// take takes a token, or returns how long to wait for one.
func (b *budget) take(class Class, now time.Duration) (bool, time.Duration) {
	if class == Lease && b.reserved.AllowN(asTime(now), 1) {
		return true, 0
	}
	if b.shared.AllowN(asTime(now), 1) {
		b.count(now)
		return true, 0
	}
	wait := timeUntilToken(b.shared, now)
	if class == Lease {
		wait = min(wait, timeUntilToken(b.reserved, now))
	}
	return false, wait
}

func timeUntilToken(l *rate.Limiter, now time.Duration) time.Duration {
	missing := 1 - l.TokensAt(asTime(now))
	if l.Limit() <= 0 {
		return time.Second
	}
	// At least a millisecond, so that rounding cannot make a caller spin.
	return max(time.Millisecond, time.Duration(missing/float64(l.Limit())*float64(time.Second)))
}

func (b *budget) decay(now time.Duration) {
	if !b.paused {
		b.estimate *= math.Exp(-float64(now-b.estimatedAt) / float64(rateWindow))
	}
	b.estimatedAt = now
}

func (b *budget) count(now time.Duration) {
	b.decay(now)
	if !b.paused {
		b.estimate += 1 / rateWindow.Seconds()
	}
}

// pause holds the rate estimate while the table fails.
func (b *budget) pause(now time.Duration) {
	b.decay(now)
	if !b.recovering {
		// The estimate starts at zero and is too low by this factor.
		seen := 1 - math.Exp(-float64(now-b.startedAt)/float64(rateWindow))
		b.steadyRate = b.estimate / max(seen, 0.01)
	}
	b.paused = true
}

// resume ends a pause. After an outage the rate is bounded.
func (b *budget) resume(now time.Duration, outage bool) {
	b.decay(now)
	b.paused = false
	if outage && b.pacingEnabled {
		b.recovering = true
		b.setRate(now, max(recoveryFloor, recoveryFactor*b.steadyRate), 1)
	}
}

// raiseLimit raises the bound after an outage with time and lifts it when nobody
// has to wait.
func (b *budget) raiseLimit(now time.Duration, idle bool) {
	if !b.recovering || now-b.rateSetAt < recoveryTime {
		return
	}
	if idle {
		b.recovering = false
		b.setRate(now, float64(b.maxRate), b.burst)
		return
	}
	b.setRate(now, float64(b.shared.Limit())*recoveryGrowth, 1)
}

func (b *budget) setRate(now time.Duration, perSecond float64, burst int) {
	b.rateSetAt = now
	b.shared.SetLimitAt(asTime(now), min(b.maxRate, rate.Limit(perSecond)))
	b.shared.SetBurstAt(asTime(now), burst)
}
