package workflow

import (
	"maps"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// untrackedRun is a run that a worker lists but that is not the current run of any task,
// such as one of a job that was cancelled before this owner's term.
type untrackedRun struct {
	// stopSentAt is the time of the last stop order.
	stopSentAt time.Duration
	// reservation is what the run occupies until it is no longer listed. It is zero if
	// the job is not known any more.
	reservation types.Resources
}

// stopUntracked orders the stop of an untracked run. The run counts against the capacity
// of the VM while it is listed.
func (o *Owner) stopUntracked(v *vm, k TaskKey, run uint64) {
	id := runID{k, run}
	u, known := v.untrackedRuns[id]
	if known && o.now < u.stopSentAt+o.cfg.OrderRetry {
		return
	}
	if !known {
		if t := o.findTask(k); t != nil {
			u.reservation = t.step.reservation()
		}
	}
	u.stopSentAt = o.now
	v.untrackedRuns[id] = u
	o.orders = append(o.orders, Order{Kind: OrderStop, VM: v.id, Boot: v.boot, Task: k, Run: run})
}

// occupied returns the resources of a VM that are reserved for tasks or occupied by
// untracked runs.
func (v *vm) occupied() types.Resources {
	sum := v.reserved
	for _, u := range v.untrackedRuns {
		sum = sum.Add(u.reservation)
	}
	return sum
}

// forgetUntracked forgets the untracked runs of a VM that its worker does not list.
func (o *Owner) forgetUntracked(v *vm, running []Run) {
	if len(v.untrackedRuns) == 0 {
		return
	}
	runs := make(map[runID]bool, len(running))
	for i := range running {
		runs[runID{running[i].Task, running[i].Run}] = true
	}
	for id := range v.untrackedRuns {
		if !runs[id] {
			delete(v.untrackedRuns, id)
			o.placeDue = true // there may be room now
		}
	}
}

// deletable reports whether the rows of a job with a final state may be deleted: none of
// its tasks is live, and all runs that earlier owners may have started are known. Before
// that a worker may list a run whose demand only the job's rows tell. The runs of a
// completed job have ended.
func (o *Owner) deletable(j *job) bool {
	return j.outcome != "" && j.live == 0 && (!j.inherited || o.takeoverComplete || j.outcome == JobCompleted)
}

// markDeletable adds the jobs that may be deleted to the next batch.
func (o *Owner) markDeletable() {
	for _, id := range slices.Sorted(maps.Keys(o.jobs)) {
		if j := o.jobs[id]; o.deletable(j) {
			o.markDirty(j)
		}
	}
}
