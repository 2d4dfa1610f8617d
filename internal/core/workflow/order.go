package workflow

import (
	"cmp"
	"slices"
	"time"
)

// lateFactor is how many times its objective a job may take before nobody
// waits for it any longer; a late answer is worth less than one in time.
const lateFactor = 3

// briefRest is the longest remaining path of work that goes before standing tasks:
// the room that it takes is free again soon.
const briefRest = 10 * time.Second

// tier is the first criterion of the order.
type tier int

const (
	// tierBrief is brief work that reserves processors and can be in time, and
	// tierBriefLate such work that is late.
	tierBrief tier = iota
	tierBriefLate
	// tierStanding are standing tasks, which earn as long as they are up.
	tierStanding
	// tierInTime is other work that can be in time, tierLate such work that is late.
	tierInTime
	tierLate
	// tierForsaken is work that nobody waits for any longer.
	tierForsaken
)

// rank orders steps that wait. The load it answers is one where more work waits
// than there is room for. Brief work that reserves processors goes before standing
// tasks, which keep what they get: after the loss of all VMs, when all of it waits,
// standing tasks would take the room that a stream of urgent work needs, and keep
// it for as long as they run. Work that can still be in time goes before work that
// cannot, so that one late job does not make the next one late; among the former
// the least remaining work comes first, since ordering by deadline makes all jobs
// a little late when there is too much of them.
type rank struct {
	tier     tier
	priority int
	// fresh is 1 for work of which nothing has started, 0 for the rest.
	fresh int
	// work is what remains of the job, in seconds of a processor.
	work float64
}

func (o *Owner) rankOf(s *step) rank {
	j := s.job
	o.forecast(s.occurrence, j)
	due := s.occurrence.due + s.occurrence.objective
	r := rank{priority: o.queueOf(j).Priority, work: s.occurrence.remainingWork()}
	if !s.occurrence.started() {
		r.fresh = 1
	}
	brief := !s.spec.Fills && s.rest <= briefRest
	inTime := o.now+s.rest <= due
	switch {
	case s.spec.Standing:
		r.tier = tierStanding
	case o.now >= s.occurrence.due+lateFactor*s.occurrence.objective:
		r.tier = tierForsaken
	case brief && inTime:
		r.tier = tierBrief
	case brief:
		r.tier = tierBriefLate
	case inTime:
		r.tier = tierInTime
	default:
		r.tier = tierLate
	}
	return r
}

// started reports whether a task of the occurrence is live or done.
func (oc *occurrence) started() bool {
	for _, s := range oc.steps {
		if s.live > 0 || s.done > 0 {
			return true
		}
	}
	return false
}

// remainingWork returns the expected work of the tasks that are not done, in
// seconds of a processor.
func (oc *occurrence) remainingWork() float64 {
	work := 0.0
	for _, s := range oc.steps {
		left := float64(len(s.tasks) - s.done)
		work += left * s.runTime.Seconds() * float64(s.spec.Demand.MilliCPU) / 1000
	}
	return work
}

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.tier, other.tier), cmp.Compare(r.priority, other.priority), cmp.Compare(r.fresh, other.fresh), cmp.Compare(r.work, other.work))
}

// waitingSteps returns the steps with waiting tasks in the order in which they
// are to be placed, and drops steps that will not wait again.
func (o *Owner) waitingSteps() []*step {
	o.ready = slices.DeleteFunc(o.ready, func(s *step) bool {
		return s.job.over != "" || s.occurrence.finished || s.done == len(s.tasks)
	})
	type ranked struct {
		step *step
		rank rank
	}
	var waiting []ranked
	for _, s := range o.ready {
		if s.waiting > 0 && (o.clear || !s.job.held) && !s.job.readUnconfirmed {
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
