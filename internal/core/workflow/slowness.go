package workflow

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Detection of slow workers: tasks there still run, but several times slower
// than elsewhere, which delays every step that has a task there. Since steps
// spread over many workers, a single slow one affects most jobs.
//
// A worker counts as slow if its tasks advance much slower than tasks of the
// same steps on other workers, or if standing tasks there miss their targets by
// far without filling tasks that could be the cause. It gets no new tasks for a
// while, and tasks that can be moved are restarted elsewhere. A task that is slow
// while others run there at normal speed is a straggler and no evidence, see
// exemptStragglers.
const (
	// slowRatio is how many times slower than elsewhere a task must advance.
	// Tasks of one step differ by at most a third, and slow workers are at
	// least five times slower.
	slowRatio = 2.5
	// minSlowTasks is the minimum number of tasks that are this slow, and
	// minSlowShare their minimum share of the measured tasks, so that outliers
	// do not decide. minSlowTasks is also the minimum number of values that the
	// advance of a task is compared with.
	minSlowTasks = 2
	minSlowShare = 0.7
	// minSpeedSpan is the shortest time over which an advance is measured,
	// since progress is in whole percent.
	minSpeedSpan = 400 * time.Millisecond
	// slowTail is a tail latency, as a share of the target, that users alone do
	// not cause. It must last for slowTailDuration, which exceeds the time that
	// a measurement covers.
	slowTail         = 2.0
	slowTailDuration = 700 * time.Millisecond
	// maxHarmlessUse is the share of a VM's processors up to which filling
	// tasks cannot be the cause of high tails.
	maxHarmlessUse = 0.02
	// slowPause is how long a slow worker gets no new tasks. The tasks placed
	// afterwards show whether it is still slow.
	slowPause = 3 * time.Second
	// maxSlowShare is the largest share of the VMs of a service that may be
	// paused or quarantined at the same time, so that most of the capacity
	// stays in use. One VM may always be paused.
	maxSlowShare = 0.34
	// maxMoveProgress is the progress in percent from which a task without
	// checkpoints is not moved, since the restart would discard more work than
	// remains.
	maxMoveProgress = 60
)

// advance is a measured progress of a task at full pace: it began with
// startProgress percent at startAt and lasted until lastAt, on the owner's
// clock.
type advance struct {
	startProgress   int
	startAt, lastAt time.Duration
}

// trackAdvance updates the measured advance from a list, and starts over if the
// task did not run at full pace.
func (t *task) trackAdvance(now time.Duration) {
	if t.advance.startAt == 0 || t.pace != fullPace || t.wantedPace != fullPace || t.progress < t.advance.startProgress {
		t.advance = advance{startProgress: t.progress, startAt: now}
	}
	t.advance.lastAt = now
}

// slowdownRange bounds the run time extrapolated from a task's advance, as a multiple
// of the declared one. Progress is in whole percent, so the value itself is unknown.
// most is infinite while the task may not have advanced at all.
type slowdownRange struct {
	least, most float64
}

// slowdown returns the range of the task's slowdown, and false if it cannot be
// measured. Filling tasks have no reserved processors and are left out.
func (t *task) slowdown() (slowdownRange, bool) {
	spec := t.step.spec
	span := t.advance.lastAt - t.advance.startAt
	if t.phase != phaseRunning || spec.Standing || spec.Fills || spec.RunTime <= 0 || t.advance.startAt == 0 || span < minSpeedSpan || t.measurement <= 0 {
		return slowdownRange{}, false
	}
	// fullPace is also 100 percent of progress here. Both ends of the advance are
	// rounded down, so it differs from the true one by less than one percent.
	done := t.progress - t.advance.startProgress
	full := float64(span) / float64(spec.RunTime) * fullPace
	bounds := slowdownRange{least: full / float64(done+1), most: math.Inf(1)}
	if done > 1 {
		bounds.most = full / float64(done-1)
	}
	return bounds, true
}

// detectSlow finds workers that have become slow and pauses them.
func (o *Owner) detectSlow() {
	evidence := make(map[*vm]slowCounts)
	measured := make(map[*step]bool)
	for _, v := range o.vmOrder {
		for _, t := range v.tasks {
			if s := t.step; !s.spec.Standing && !measured[s] {
				measured[s] = true
				s.compareSpeeds(evidence)
			}
		}
	}
	for _, v := range o.vmOrder {
		if o.now < v.slowUntil {
			continue
		}
		if !o.tailsUnexplained(v) {
			v.tailsHighSince = 0
		} else if v.tailsHighSince == 0 {
			v.tailsHighSince = o.now
		}
		tails := v.tailsHighSince > 0 && o.now >= v.tailsHighSince+slowTailDuration
		if (evidence[v].slow() || tails) && o.mayPause(v) {
			v.slowUntil = o.now + slowPause
			o.recordDecision(Decision{Kind: DecisionQuarantine, VM: v.id, Reason: fmt.Sprintf("paused as slow: %d of %d compared tasks advance too slowly; unexplained high tails: %t", evidence[v].slowTasks, evidence[v].measured, tails)})
		}
	}
}

// slowCounts counts a VM's tasks that could be compared with others of their
// steps (measured), and those of them that advance much slower (slowTasks).
type slowCounts struct {
	measured, slowTasks int
}

func (s slowCounts) slow() bool {
	return s.slowTasks >= minSlowTasks && float64(s.slowTasks) >= minSlowShare*float64(s.measured)
}

// compareSpeeds compares the advance of each of the step's tasks with those on
// other VMs, and adds the results to the evidence. A task counts as slow only if it
// is slow for every advance that the whole percents allow: tasks of hours show no
// progress for a while, and those that began first must not look slow for that.
func (s *step) compareSpeeds(evidence map[*vm]slowCounts) {
	type speed struct {
		vm              *vm
		relativeRunTime slowdownRange
		own             float64
	}
	var all []speed
	for i := range s.tasks {
		t := &s.tasks[i]
		if relativeRunTime, ok := t.slowdown(); ok {
			all = append(all, speed{t.vm, relativeRunTime, t.ownSlowdown})
		}
	}
	for _, x := range all {
		var others []float64
		for _, y := range all {
			if y.vm != x.vm {
				others = append(others, y.relativeRunTime.most)
			}
		}
		others = append(others, s.relativeRunTimes...)
		if len(others) < minSlowTasks {
			continue
		}
		slices.Sort(others)
		median := others[len(others)/2]
		if math.IsInf(median, 1) {
			continue
		}
		slow := x.relativeRunTime.least >= slowRatio*max(median, x.own)
		if x.own > 0 && !slow {
			continue // a straggler at its own speed says nothing about the VM
		}
		e := evidence[x.vm]
		e.measured++
		if slow {
			e.slowTasks++
		}
		evidence[x.vm] = e
	}
}

// maxRelativeRunTimes limits the relative run times kept per step.
const maxRelativeRunTimes = 8

// recordRelativeRunTime records the run time of a finished task as a multiple
// of the declared one, if the task ran at full pace throughout.
func (t *task) recordRelativeRunTime(now time.Duration) {
	s := t.step
	if s.spec.RunTime > 0 && t.advance.startAt > 0 && t.advance.startProgress == 0 && t.pace == fullPace && len(s.relativeRunTimes) < maxRelativeRunTimes {
		s.relativeRunTimes = append(s.relativeRunTimes, float64(now-t.startedAt)/float64(s.spec.RunTime))
	}
}

// tailsUnexplained reports whether all standing tasks on the VM with a known
// tail, and at least one, far exceed their targets, although filling tasks use
// almost none of its processors and the tasks of the same steps on other VMs
// meet their targets.
func (o *Owner) tailsUnexplained(v *vm) bool {
	used := 0.0
	for _, u := range v.uses(anyTask) {
		used += u.share
	}
	if used > maxHarmlessUse {
		return false
	}
	high := 0
	for _, t := range v.tasks {
		if !t.tailKnown() {
			continue
		}
		if t.tail() < slowTail || t.step.missesTargetElsewhere(v.id) {
			return false
		}
		high++
	}
	return high > 0
}

// missesTargetElsewhere reports whether a standing task of the step misses its
// target on another VM.
func (s *step) missesTargetElsewhere(except types.VMID) bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; t.tailKnown() && t.vm.id != except && t.tail() > 1 {
			return true
		}
	}
	return false
}

// mayPause reports whether one more VM of the service may be paused.
func (o *Owner) mayPause(v *vm) bool {
	paused, all := 1, 0
	for _, other := range o.vmOrder {
		if other.upstream.Service != v.upstream.Service || !other.reached {
			continue
		}
		all++
		if o.now < other.slowUntil || other.quarantined {
			paused++
		}
	}
	return float64(paused) <= max(1, maxSlowShare*float64(all))
}

// moveOffSlow stops tasks on a slow worker that another VM can take.
func (o *Owner) moveOffSlow(v *vm) {
	if o.now >= v.slowUntil {
		return
	}
	for _, t := range v.tasks {
		spec := t.step.spec
		switch {
		case t.phase != phaseRunning || spec.Gang:
		case spec.Standing && !t.mayStop():
		case !spec.Standing && !spec.Checkpoints && t.progress >= maxMoveProgress:
		case o.choose(t) != nil:
			o.stop(t)
		}
	}
}

// mayStop reports whether a planned stop of the standing task is allowed by the
// MayMiss limit of its step.
func (t *task) mayStop() bool {
	s := t.step
	if s.spec.MayMiss == 0 {
		return true
	}
	return s.away(t) < s.spec.MayMiss
}
