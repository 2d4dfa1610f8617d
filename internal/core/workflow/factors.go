package workflow

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxFactors bounds the pairs that are kept for the next owner: 400 take about 28
// KB, below the 64 KB that a row may have.
const maxFactors = 400

// minInheritedVariance is the least variance of a factor that an earlier owner has
// learned: it may be old.
const minInheritedVariance = 0.03

// InterferenceFactor is what an owner has learned of how much tasks of a filling image
// press on standing tasks of another image.
type InterferenceFactor struct {
	Filling  string `json:"filling"`
	Standing string `json:"standing"`
	// Mean is the load that one whole VM of the filling image adds to a standing
	// task, as a share of what that can take.
	Mean     float64 `json:"mean"`
	Variance float64 `json:"variance"`
}

// Learned is what an owner hands down to the next one. It is knowledge, not truth:
// without it, the next owner learns anew.
type Learned struct {
	Factors  []InterferenceFactor  `json:"factors,omitempty"`
	RunTimes []RunTimeRegression `json:"run_times,omitempty"`
}

// Learned returns what has been learned.
func (o *Owner) Learned() Learned {
	return Learned{Factors: o.Factors(), RunTimes: o.runTimes.regressions()}
}

// SetLearned takes over what an earlier owner has learned.
func (o *Owner) SetLearned(now time.Duration, l Learned) {
	o.SetFactors(now, l.Factors)
	o.runTimes.restore(l.RunTimes)
}

// Factors returns what has been learned, in order of the images and rounded, so
// that it stays the same while nothing of weight is learned. Of too many pairs
// the best known are returned.
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

// SetFactors takes over what an earlier owner has learned. Values outside of what
// Factors returns are left out.
func (o *Owner) SetFactors(now time.Duration, factors []InterferenceFactor) {
	for _, f := range factors {
		if !(f.Mean >= 0 && f.Mean <= maxFactor && f.Variance >= 0) {
			continue
		}
		variance := min(priorVariance, max(f.Variance, minInheritedVariance))
		o.interference.factors[pair{f.Filling, f.Standing}] = factor{f.Mean, variance, now}
	}
}

// round keeps one decimal, which is what a factor is known to.
func round(x float64) float64 { return math.Round(10*x) / 10 }
