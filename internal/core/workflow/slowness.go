package workflow

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Detection of workers that turn slow: what runs there goes on, several times
// slower than elsewhere, and each step with a task there is late. The load that
// it answers is one slow worker among many: steps spread over all of them, so
// that most jobs have a task on it.
//
// A worker is slow if its tasks advance much slower than tasks of the same steps
// on other workers, or if standing tasks there miss their targets by far with
// nothing beside them that could be the cause. It gets no tasks for a while, and
// what is better off elsewhere moves.
const (
	// slowRatio is how many times slower than elsewhere tasks must advance. Tasks
	// of one step differ by a third at most, and slow workers are at least five
	// times slower.
	slowRatio = 2.5
	// minSlowTasks is how many tasks must be that slow, and minSlowShare the least
	// share of those measured, so that odd tasks do not decide.
	minSlowTasks = 2
	minSlowShare = 0.7
	// minSpeedSpan is the least time over which an advance is measured; progress is
	// in whole percent.
	minSpeedSpan = 400 * time.Millisecond
	// slowTail is a tail, as a share of the target, that users alone do not
	// cause; slowTailDuration is how long it must last, above the time over which
	// figures are taken.
	slowTail         = 2.0
	slowTailDuration = 700 * time.Millisecond
	// maxIdleUse is the share of a VM below which filling tasks cannot be the cause.
	maxIdleUse = 0.02
	// slowPause is how long a slow worker gets no tasks; the next ones test it.
	slowPause = 3 * time.Second
	// maxSlowShare is the largest share of VMs that may rest at a time.
	maxSlowShare = 0.34
	// lateProgress is the progress in percent from which a task without
	// checkpoints stays where it is.
	lateProgress = 60
)

// advance is how far a task came between two lists, at full pace.
type advance struct {
	from   int
	at, to time.Duration
}

// trackAdvance measures the advance of a task from a list on.
func (t *task) trackAdvance(now time.Duration) {
	if t.advance.at == 0 || t.pace != fullPace || t.wantedPace != fullPace || t.progress < t.advance.from {
		t.advance = advance{from: t.progress, at: now}
	}
	t.advance.to = now
}

// slowdown returns how many times longer than declared the task takes by its
// advance, and false if that cannot be told. Tasks that fill have no processors
// of their own and are left out.
func (t *task) slowdown() (float64, bool) {
	spec := t.step.spec
	span := t.advance.to - t.advance.at
	if t.phase != phaseRunning || spec.Standing || spec.Fills || spec.RunTime <= 0 || t.advance.at == 0 || span < minSpeedSpan || t.figure <= 0 {
		return 0, false
	}
	done := max(1, t.progress-t.advance.from)
	return float64(span) / float64(spec.RunTime) * fullPace / float64(done), true
}

// detectSlow looks for workers that have turned slow.
func (o *Owner) detectSlow() {
	evidence := make(map[*vm]speeds)
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
			o.recordDecision(Decision{Kind: DecisionQuarantine, VM: v.id, Reason: fmt.Sprintf("slow: %d of %d tasks, tails %t", evidence[v].late, evidence[v].measured, tails)})
		}
	}
}

// speeds counts a VM's tasks that could be compared with others of their steps,
// and those that advance much slower.
type speeds struct {
	measured, late int
}

func (s speeds) slow() bool {
	return s.late >= minSlowTasks && float64(s.late) >= minSlowShare*float64(s.measured)
}

// compareSpeeds compares the advance of the step's tasks with that of those on
// other VMs.
func (s *step) compareSpeeds(evidence map[*vm]speeds) {
	type speed struct {
		vm   *vm
		slow float64
	}
	var all []speed
	for i := range s.tasks {
		t := &s.tasks[i]
		if slow, ok := t.slowdown(); ok {
			all = append(all, speed{t.vm, slow})
		}
	}
	for _, x := range all {
		var others []float64
		for _, y := range all {
			if y.vm != x.vm {
				others = append(others, y.slow)
			}
		}
		others = append(others, s.relativeRunTimes...)
		if len(others) < minSlowTasks {
			continue
		}
		slices.Sort(others)
		e := evidence[x.vm]
		e.measured++
		if x.slow >= slowRatio*others[len(others)/2] {
			e.late++
		}
		evidence[x.vm] = e
	}
}

// maxRelativeRunTimes bounds the run times kept of a step's finished tasks.
const maxRelativeRunTimes = 8

// recordRelativeRunTime keeps how many times longer than declared a task took that ran at
// full pace from its start on.
func (t *task) recordRelativeRunTime(now time.Duration) {
	s := t.step
	if s.spec.RunTime > 0 && t.advance.at > 0 && t.advance.from == 0 && t.pace == fullPace && len(s.relativeRunTimes) < maxRelativeRunTimes {
		s.relativeRunTimes = append(s.relativeRunTimes, float64(now-t.startedAt)/float64(s.spec.RunTime))
	}
}

// tailsUnexplained reports whether standing tasks on the VM are far over their
// targets though nothing fills it, and their steps' tasks elsewhere are not.
func (o *Owner) tailsUnexplained(v *vm) bool {
	used := 0.0
	for _, u := range v.uses() {
		used += u.share
	}
	if used > maxIdleUse {
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

// missesTargetElsewhere reports whether a standing task of the step misses its target
// on another VM.
func (s *step) missesTargetElsewhere(except types.VMID) bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; t.tailKnown() && t.vm.id != except && t.tail() > 1 {
			return true
		}
	}
	return false
}

// mayPause reports whether one more VM may rest.
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

// moveOffSlow moves tasks off a slow worker that are better off elsewhere.
func (o *Owner) moveOffSlow(v *vm) {
	if o.now >= v.slowUntil {
		return
	}
	for _, t := range v.tasks {
		spec := t.step.spec
		switch {
		case t.phase != phaseRunning || spec.Gang:
		case spec.Standing && !t.mayStop():
		case !spec.Standing && !spec.Checkpoints && t.progress >= lateProgress:
		case o.choose(t) != nil:
			o.stop(t)
		}
	}
}

// mayStop reports whether a planned stop may take the standing task away, as far
// as its step says how many may be away at a time.
func (t *task) mayStop() bool {
	s := t.step
	if s.spec.MayMiss == 0 {
		return true
	}
	away := 0
	for i := range s.tasks {
		if other := &s.tasks[i]; other != t && (other.phase != phaseRunning || other.progress < progressServing) {
			away++
		}
	}
	return away < s.spec.MayMiss
}
