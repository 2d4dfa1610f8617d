package workflow

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxFactors limits the stored factors: 400 take about 28 KB, below the row
// limit of 64 KB.
const maxFactors = 400

// minInheritedVariance is the minimum variance of a factor taken over from an
// earlier owner, since it may be outdated.
const minInheritedVariance = 0.03

// InterferenceFactor is the learned effect of filling tasks of one image on
// standing tasks of another.
type InterferenceFactor struct {
	Filling  string `json:"filling"`
	Standing string `json:"standing"`
	// Mean is the load that filling tasks which use one whole VM add to a
	// standing task, as a share of the standing task's capacity.
	Mean     float64 `json:"mean"`
	Variance float64 `json:"variance"`
}

// Learned holds the estimates that an owner stores for the next one. They only
// improve decisions: without them, the next owner starts learning from scratch.
type Learned struct {
	Factors  []InterferenceFactor `json:"factors,omitempty"`
	RunTimes []RunTimeRegression  `json:"run_times,omitempty"`
}

// Learned returns the current estimates.
func (o *Owner) Learned() Learned {
	return Learned{Factors: o.Factors(), RunTimes: o.runTimes.regressions()}
}

// SetLearned restores the estimates of an earlier owner.
func (o *Owner) SetLearned(now time.Duration, l Learned) {
	o.SetFactors(now, l.Factors)
	o.runTimes.restore(l.RunTimes)
}

// Factors returns the interference factors, sorted by images. They are rounded,
// so that the result stays the same until an estimate changes notably. If there
// are more than maxFactors, those with the lowest variance are returned.
func (o *Owner) Factors() []InterferenceFactor {
	all := make([]InterferenceFactor, 0, len(o.interference.factors))
	for k, f := range o.interference.factors {
		all = append(all, InterferenceFactor{k.filling, k.standing, round(f.mean), round(f.variance)})
	}
	byImages := func(a, b InterferenceFactor) int {
		return cmp.Or(cmp.Compare(a.Filling, b.Filling), cmp.Compare(a.Standing, b.Standing))
	}
	if len(all) > maxFactors {
		slices.SortFunc(all, func(a, b InterferenceFactor) int { return cmp.Or(cmp.Compare(a.Variance, b.Variance), byImages(a, b)) })
		all = all[:maxFactors]
	}
	slices.SortFunc(all, byImages)
	return all
}

// SetFactors restores the factors of an earlier owner. Factors with a value
// that Factors cannot return, such as a negative mean, are ignored.
func (o *Owner) SetFactors(now time.Duration, factors []InterferenceFactor) {
	for _, f := range factors {
		if !(f.Mean >= 0 && f.Mean <= maxFactor && f.Variance >= 0) {
			continue
		}
		variance := min(priorVariance, max(f.Variance, minInheritedVariance))
		o.interference.factors[imagePair{f.Filling, f.Standing}] = factor{f.Mean, variance, now}
	}
}

// round rounds to one decimal, so that small changes of an estimate do not
// rewrite the stored row.
func round(x float64) float64 { return math.Round(10*x) / 10 }
