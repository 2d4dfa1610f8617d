package workflow

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Stragglers: tasks that run several times as long as the others of their step although
// their VM is sound. 3% of the run times of some queues are seven times as long. Short
// tasks end, so the long ones remain and look as if all tasks of the VM were slow.

// normalRatio is how many times as long as on other VMs a run may take on a sound VM.
// Tasks of one step differ by at most a third, and slow workers are at least five times
// slower.
const normalRatio = 1.35

// maxEndedRuns limits the ended runs kept per step.
const maxEndedRuns = 8

// endedRun is an undisturbed run from its start to its end. ratio is its time as a
// multiple of the declared one.
type endedRun struct {
	vm    types.VMID
	ratio float64
}

// recordEndedRun records the run of a task that is done.
func (t *task) recordEndedRun(now time.Duration) {
	s := t.step
	if t.phase == phaseRunning && t.undisturbed && s.spec.RunTime > 0 && len(s.endedRuns) < maxEndedRuns {
		s.endedRuns = append(s.endedRuns, endedRun{t.vm.id, t.ratio(now)})
	}
}

// ratio returns how long the run has lasted, as a multiple of the declared run time.
func (t *task) ratio(now time.Duration) float64 {
	return float64(now-t.startedAt) / float64(max(1, t.step.spec.RunTime))
}

// typicalRatio returns the median ratio of the step's ended runs, without those on the VM
// except, and false if there are fewer than minSlowTasks.
func (s *step) typicalRatio(except types.VMID) (float64, bool) {
	var others []float64
	for _, r := range s.endedRuns {
		if r.vm != except {
			others = append(others, r.ratio)
		}
	}
	if len(others) < minSlowTasks {
		return 0, false
	}
	slices.Sort(others)
	return others[len(others)/2], true
}

// exemptStragglers finds, when a task ends, the tasks of its VM that have been slow for
// all the time in which this task ran from start to end at normal speed. The VM cannot be
// the cause of that. From then on such a task counts as slow only if it becomes slower
// than it has been.
//
// After a VM has become slow, a run that began there earlier can still end at nearly
// normal speed. No task that began before that run looks slow by then, so none is
// exempt wrongly.
func (o *Owner) exemptStragglers(done *task) {
	s, v := done.step, done.vm
	if !tailAwareSlowness || done.phase != phaseRunning || !done.undisturbed || s.spec.Standing || s.spec.RunTime <= 0 || len(v.tasks) < 2 {
		return
	}
	typical, ok := s.typicalRatio(v.id)
	if !ok || done.ratio(o.now) > normalRatio*typical {
		return
	}
	for _, t := range v.tasks {
		if t == done || t.startedAt > done.startedAt {
			continue
		}
		if slowdown, ok := t.slowdown(); ok && t.ownSlowdown == 0 {
			if usual, known := t.step.typicalRatio(v.id); known && slowdown.least >= slowRatio*usual {
				o.exempt(t, slowdown.least/usual)
			}
		}
	}
}

// exempt records the speed of a straggler and measures it anew from the last list on.
func (o *Owner) exempt(t *task, ratio float64) {
	slowdown, _ := t.slowdown()
	t.ownSlowdown = slowdown.least
	t.advance = advance{startProgress: t.progress, startAt: t.advance.lastAt, lastAt: t.advance.lastAt}
	o.recordDecision(Decision{
		Kind: DecisionStraggler, Task: t.key(), Run: t.run, VM: t.vm.id, Age: o.now - t.step.job.accepted,
		Reason: fmt.Sprintf("at least %.1f times as long as others of its step after %d ms, while the VM runs other tasks at normal speed", ratio, (o.now - t.startedAt).Milliseconds()),
	})
}
