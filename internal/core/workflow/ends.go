package workflow

import (
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// ended applies an entry of the list of ends.
func (o *Owner) ended(v *vm, e *End) {
	if e.Number <= v.endSeen {
		return
	}
	v.endSeen = e.Number
	t := o.find(e.Task)
	if t == nil || t.step.job.over != "" && !t.phase.live() {
		return
	}
	present := t.phase.live() && t.vm == v && t.run == e.Run
	if e.Kind == EndFailed {
		o.countFailure(t, v, e)
	}
	if !present && (t.phase != phaseWaiting || e.Run < t.run) {
		return // an earlier run, which has been given up
	}
	if present {
		o.reportHealth(t, v, e.Kind)
	}
	switch {
	case e.Kind == EndDone && !t.step.spec.Standing:
		o.done(t)
	default:
		if e.Checkpoint != "" {
			t.checkpoint = e.Checkpoint
		}
		if present {
			o.again(t, string(e.Kind))
		}
	}
	o.touch(t.step.job)
}

// done completes a task, and all tasks of a gang.
func (o *Owner) done(t *task) {
	s := t.step
	if s.spec.Gang {
		for i := range s.tasks {
			o.finish(&s.tasks[i])
		}
	} else {
		o.finish(t)
	}
	o.note(Decision{Kind: DecisionEnded, Task: t.key(), Run: t.run, VM: t.vmID(), Reason: string(EndDone), Age: o.now - s.job.accepted})
	if s.done == len(s.tasks) {
		o.learnRunTime(s)
		o.advance(s.occurrence)
		o.settle(s.job)
	}
}

func (o *Owner) finish(t *task) {
	if t.phase == phaseDone {
		return
	}
	if t.phase == phaseWaiting {
		t.step.waiting--
	}
	t.finished(o.now)
	t.took(o.now)
	t.release()
	t.phase = phaseDone
	t.step.done++
	o.placeDue = true
}

// countFailure counts a failed run, also one that has been given up; the job has
// failed when a task has used up its attempts. The tasks of a gang fail together,
// which counts once.
func (o *Owner) countFailure(t *task, v *vm, e *End) {
	s := t.step
	if t.phase == phaseDone || slices.Contains(t.failures, e.Run) || s.spec.Gang && s.gangFailed == e.Run {
		return
	}
	t.avoid = v.id
	if s.spec.Standing {
		return // started again however often it fails
	}
	t.failures = append(t.failures, e.Run)
	s.gangFailed = e.Run
	o.touch(s.job)
	limit := o.queueOf(s.job).MaxAttempts
	if limit > 0 && len(t.failures) >= limit && s.job.over == "" {
		s.job.over = JobFailed
		o.note(Decision{Kind: DecisionFinished, Job: s.job.spec.ID, Task: t.key(), Reason: string(JobFailed), Age: o.now - s.job.accepted})
		o.stopAll(s.job)
	}
}

// again makes a task wait for its next start.
func (o *Owner) again(t *task, why string) {
	if !t.phase.live() {
		return
	}
	j := t.step.job
	o.note(Decision{Kind: DecisionReturned, Task: t.key(), Run: t.run, VM: t.vmID(), Reason: why, Age: o.now - j.accepted})
	t.release()
	t.phase = phaseWaiting
	t.step.waiting++
	o.placeDue = true
	if t.checkpoint != "" || j.over != "" && j.live == 0 {
		o.touch(j)
	}
}

func (t *task) vmID() types.VMID {
	if t.vm == nil {
		return ""
	}
	return t.vm.id
}

// running records that a start has taken effect.
func (o *Owner) running(t *task) {
	t.phase = phaseRunning
	t.pace, t.paceSent, t.wantedPace = fullPace, fullPace, fullPace
	o.started(t.step.job)
}

func (o *Owner) started(j *job) {
	if !j.begun {
		j.begun = true
		o.touch(j)
	}
}
