package workflow

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/overload"
)

// abandonFactor is a multiple of the objective. A job that has taken longer is
// placed after all other work, since its result is assumed to be worthless by
// then.
const abandonFactor = overload.AbandonFactor

// Work with a critical path of at most maxShortPath counts as short. It is
// placed before standing tasks, because it frees its capacity again within
// seconds.
const maxShortPath = 10 * time.Second

// tier is the first sort criterion of waiting steps; lower tiers go first.
type tier int

const (
	// tierShort is short work that reserves processors and can still be in
	// time, tierShortLate the same kind of work that is already late.
	tierShort tier = iota
	tierShortLate
	// tierStanding is standing tasks, which are useful for as long as they are
	// up.
	tierStanding
	// tierInTime is other work that can still be in time, tierDeferred filling work of
	// this kind that is not planned to be, and tierLate other work that is already late.
	tierInTime
	tierDeferred
	tierLate
	// tierAbandoned is work whose result is assumed to be worthless, see
	// abandonFactor.
	tierAbandoned
)

// rank is the sort key of waiting steps. The order matters when more work waits
// than fits.
//
// Short work that reserves processors goes before standing tasks, which keep
// what they get: after the loss of all VMs, when everything waits, standing
// tasks would take the capacity that a stream of short work needs, and keep it
// for as long as they run. Standing tasks go before all other work, since they
// serve users for as long as they are up.
//
// Within short work and within other work, work that can still be in time goes
// before work that cannot, so that one late job does not delay the next one.
// Within a tier and priority, occurrences that have started go first, then
// those with the least remaining work: ordering by deadline under overload
// makes all jobs a little late. Filling work that can be in time goes by the
// plan, see planFilling: protected occurrences first, then the other planned ones,
// then the deferred ones.
type rank struct {
	tier tier
	// unprotected is 0 for planned filling work whose size class is protected,
	// otherwise 1.
	unprotected int
	priority    int
	// unstarted is 1 if nothing of the occurrence has started, otherwise 0.
	unstarted int
	// work is the remaining work of the occurrence in processor seconds.
	work float64
}

func (o *Owner) rankOf(s *step) rank {
	j := s.job
	o.forecast(s.occurrence, j)
	due := s.occurrence.due + s.occurrence.objective
	r := rank{unprotected: 1, priority: o.queueOf(j).Priority, work: s.occurrence.remainingWork()}
	if !s.occurrence.started() {
		r.unstarted = 1
	}
	short := !s.spec.Fills && s.criticalPath <= maxShortPath
	inTime := o.now+s.criticalPath <= due
	switch {
	case s.spec.Standing:
		r.tier = tierStanding
	case o.now >= s.occurrence.due+abandonFactor*s.occurrence.objective:
		r.tier = tierAbandoned
	case short && inTime:
		r.tier = tierShort
	case short:
		r.tier = tierShortLate
	case inTime:
		r.tier = tierInTime
		o.applyPlan(&r, s)
	default:
		r.tier = tierLate
	}
	return r
}

// started reports whether a task of the occurrence is live or done. Background runs do
// not count: they would bring every job that waits for long before those that do not.
func (oc *occurrence) started() bool {
	for _, s := range oc.steps {
		if s.live > s.background || s.done > 0 {
			return true
		}
	}
	return false
}

// remainingWork returns the expected work of the unfinished tasks in processor
// seconds.
func (oc *occurrence) remainingWork() float64 {
	work := 0.0
	for _, s := range oc.steps {
		left := float64(len(s.tasks) - s.done)
		work += left * s.taskWork()
	}
	return work
}

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.tier, other.tier), cmp.Compare(r.unprotected, other.unprotected), cmp.Compare(r.priority, other.priority), cmp.Compare(r.unstarted, other.unstarted), cmp.Compare(r.work, other.work))
}

// waitingSteps returns the steps with waiting tasks or background runs in placement
// order, and drops steps that will not wait again.
func (o *Owner) waitingSteps() []*step {
	o.ready = slices.DeleteFunc(o.ready, func(s *step) bool {
		return s.job.outcome != "" || s.occurrence.finished || s.done == len(s.tasks)
	})
	o.planFilling()
	type ranked struct {
		step *step
		rank rank
	}
	var waiting []ranked
	for _, s := range o.ready {
		if (s.waiting > 0 || s.background > 0) && (o.takeoverComplete || !s.job.inherited) && !s.job.readUnconfirmed {
			waiting = append(waiting, ranked{s, o.rankOf(s)})
		}
	}
	slices.SortStableFunc(waiting, func(a, b ranked) int { return a.rank.compare(b.rank) })
	steps := make([]*step, len(waiting))
	for i := range waiting {
		steps[i] = waiting[i].step
	}
	return steps
}
