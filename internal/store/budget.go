package store

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// rateWindow is the time constant of the rate estimate.
	rateWindow = time.Minute
	// recoveryFactor bounds the rate after an outage, as a multiple of the rate
	// before it. The fleet must stay below twice its steady rate; 1.5 leaves
	// room for variation from second to second.
	recoveryFactor = 1.5
	// recoveryFloor is the minimum limit after an outage, in calls per second,
	// so that a store that was idle before the outage can make progress.
	recoveryFloor = 1.0
	// recoveryTime is the minimum time from the end of an outage to normal
	// operation.
	recoveryTime = time.Minute
	// recoveryGrowth is the factor by which the limit is raised once per
	// recoveryTime, so that demand that has grown is eventually met.
	recoveryGrowth = 1.05
)

// budget limits the rate of one kind of access by one store.
type budget struct {
	reserved *rate.Limiter // for leases
	shared   *rate.Limiter // for all classes
	maxRate  rate.Limit
	burst    int

	// estimate is the exponentially decayed rate of grants from the shared
	// limiter, per second.
	estimate    float64
	estimatedAt time.Duration
	startedAt   time.Duration

	estimateFrozen bool
	recovering     bool
	rateSetAt      time.Duration // when the limit was last set
	steadyRate     float64       // estimated rate before the outage
	pacingEnabled  bool
}

// asTime converts a reading of the monotonic clock for package rate.
func asTime(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(now)
}

func newBudget(perSecond, leaseShare float64, now time.Duration) *budget {
	maxRate := rate.Limit(perSecond * (1 - leaseShare))
	burst := max(1, int(float64(maxRate)/2))
	reserved := rate.Limit(perSecond * leaseShare)
	return &budget{
		reserved: rate.NewLimiter(reserved, max(1, int(reserved))),
		shared:   rate.NewLimiter(maxRate, burst),
		maxRate:  maxRate, burst: burst,
		estimatedAt: now, startedAt: now, pacingEnabled: true,
	}
}

// take takes a token and returns true, or returns false and how long to wait.
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
	// At least a millisecond, so that rounding does not make a caller busy-wait.
	return max(time.Millisecond, time.Duration(missing/float64(l.Limit())*float64(time.Second)))
}

func (b *budget) decay(now time.Duration) {
	if !b.estimateFrozen {
		b.estimate *= math.Exp(-float64(now-b.estimatedAt) / float64(rateWindow))
	}
	b.estimatedAt = now
}

func (b *budget) count(now time.Duration) {
	b.decay(now)
	if !b.estimateFrozen {
		b.estimate += 1 / rateWindow.Seconds()
	}
}

// freezeEstimate freezes the rate estimate while the table is failing.
func (b *budget) freezeEstimate(now time.Duration) {
	b.decay(now)
	if !b.recovering {
		// The estimate starts at zero, so until it has settled it is only this
		// fraction of the true rate.
		settledFraction := 1 - math.Exp(-float64(now-b.startedAt)/float64(rateWindow))
		b.steadyRate = b.estimate / max(settledFraction, 0.01)
	}
	b.estimateFrozen = true
}

// endFailure resumes the rate estimate once the table answers again. After an
// outage it also lowers the limit.
func (b *budget) endFailure(now time.Duration, outage bool) {
	b.decay(now)
	b.estimateFrozen = false
	if outage && b.pacingEnabled {
		b.recovering = true
		b.setRate(now, max(recoveryFloor, recoveryFactor*b.steadyRate), 1)
	}
}

// raiseLimit raises the lowered limit step by step after an outage, and restores
// the full rate once no attempt is waiting.
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
