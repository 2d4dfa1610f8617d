package estimate

import (
	"math"
	"time"
)

// Values are counted in logarithmic buckets: 16 per factor of two, so a
// quantile is at most 4.5% above the true value. 40 doublings cover values up to
// 2^40, such as 1 TiB of memory in bytes.
const (
	bucketsPerDoubling = 16
	buckets            = 40 * bucketsPerDoubling
)

// survival holds decaying weights of values, which are complete or censored
// (known only by a lower bound), and estimates quantiles by the product-limit
// (Kaplan-Meier) method.
type survival struct {
	Seen     [buckets]float32
	Censored [buckets]float32
	// Age is the decay so far, in half-lives.
	Age float64
	// DecayedAt is the time that Age refers to.
	DecayedAt time.Duration
	// Lo and Hi bound the buckets in use, Hi exclusive.
	Lo, Hi int
	// Weight is the decayed number of complete values.
	Weight float64
	// Changes counts modifications, so that quantiles can be cached.
	Changes uint64
}

// bucketOf returns the bucket of a value; values above the last bucket count in
// it.
func bucketOf(v float64) int {
	if v <= 1 {
		return 0
	}
	b := int(math.Ceil(math.Log2(v) * bucketsPerDoubling))
	return min(b, buckets-1)
}

// bucketUpperBound returns the largest value of a bucket.
func bucketUpperBound(b int) float64 {
	return math.Exp2(float64(b) / bucketsPerDoubling)
}

// decay reduces all weights for the time since the last decay. Steps shorter
// than 1/64 half-life are left to the next call.
func (s *survival) decay(now, halfLife time.Duration) {
	if s.DecayedAt == 0 {
		s.DecayedAt = now
	}
	steps := float64(now-s.DecayedAt) / float64(halfLife)
	if steps < 1.0/64 {
		return
	}
	f := float32(math.Exp2(-steps))
	for i := s.Lo; i < s.Hi; i++ {
		s.Seen[i] *= f
		s.Censored[i] *= f
	}
	s.Weight *= float64(f)
	s.Changes++
	s.Age += steps
	s.DecayedAt = now
}

// extendRange extends the range of buckets in use to include b.
func (s *survival) extendRange(b int) {
	if s.Lo == s.Hi {
		s.Lo, s.Hi = b, b+1
	}
	s.Lo, s.Hi = min(s.Lo, b), max(s.Hi, b+1)
	s.Changes++
}

// lowerBound is a censored value as it is counted now. It may still grow.
type lowerBound struct {
	bucket int
	age    float64
	set    bool
}

// raiseBound counts a censored value in place of its earlier bound, unless it
// falls into the same or a lower bucket.
func (s *survival) raiseBound(b *lowerBound, v float64) {
	bucket := bucketOf(v)
	if b.set && b.bucket >= bucket {
		return
	}
	s.removeBound(b)
	s.Censored[bucket]++
	s.extendRange(bucket)
	*b = lowerBound{bucket: bucket, age: s.Age, set: true}
}

// removeBound removes a censored value, at its decayed weight.
func (s *survival) removeBound(b *lowerBound) {
	if !b.set {
		return
	}
	w := float32(math.Exp2(b.age - s.Age))
	s.Censored[b.bucket] = max(s.Censored[b.bucket]-w, 0)
	s.Changes++
	b.set = false
}

// observe counts a complete value in place of its earlier bound.
func (s *survival) observe(b *lowerBound, v float64) {
	s.removeBound(b)
	bucket := bucketOf(v)
	s.Seen[bucket]++
	s.Weight++
	s.extendRange(bucket)
}

// cachedQuantile is a quantile with the value of survival.Changes for which it
// was computed.
type cachedQuantile struct {
	q       float64
	v       float64
	reached bool
	changes uint64
	set     bool
}

// get returns the quantile over all values. It computes the quantile again only
// after changes.
func (c *cachedQuantile) get(s *survival, q float64) (v float64, reached bool) {
	if !c.set || c.changes != s.Changes || c.q != q {
		c.v, c.reached = s.quantile(q, 0)
		c.q, c.changes, c.set = q, s.Changes, true
	}
	return c.v, c.reached
}

// quantile returns the value that a share q of the values above floor do not
// exceed. When censoring hides it, reached is false and v is the largest value
// counted, which is a lower bound.
func (s *survival) quantile(q, floor float64) (v float64, reached bool) {
	first := s.Lo
	if floor > 0 {
		first = max(first, bucketOf(floor)+1)
	}
	var atRisk float64
	for i := first; i < s.Hi; i++ {
		atRisk += float64(s.Seen[i] + s.Censored[i])
	}
	surviving, last := 1.0, -1
	for i := first; i < s.Hi && atRisk > 1e-6; i++ {
		seen, cens := float64(s.Seen[i]), float64(s.Censored[i])
		if seen+cens > 0 {
			last = i
		}
		if seen > 0 {
			surviving *= 1 - seen/atRisk
		}
		if surviving <= 1-q+1e-9 {
			return bucketUpperBound(i), true
		}
		atRisk -= seen + cens
	}
	if last < 0 {
		return floor, false
	}
	return bucketUpperBound(last), false
}
