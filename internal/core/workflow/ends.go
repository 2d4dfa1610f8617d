package workflow

import (
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// applyEnd applies one entry of a worker's list of ends.
func (o *Owner) applyEnd(v *vm, e *End) {
	if e.Number <= v.endSeen {
		return
	}
	v.endSeen = e.Number
	if c := v.copyOfRun(e.Task, e.Run); c != nil {
		o.applyCopyEnd(v, c, e)
		return
	}
	t := o.findTask(e.Task)
	if t == nil || t.step.job.outcome != "" && !t.phase.live() {
		return
	}
	current := t.phase.live() && t.vm == v && t.run == e.Run
	if e.Kind == EndFailed {
		o.countFailure(t, v, e)
	}
	if !current && !o.appliesToTask(t, e) {
		return // not the current run, and the task has started again or is done
	}
	if current {
		o.reportHealth(t, v, e.Kind)
	}
	switch {
	case e.Kind == EndDone && !t.step.spec.Standing:
		o.done(t)
	default:
		if e.Checkpoint != "" {
			t.checkpoint = e.Checkpoint
		}
		if current {
			o.requeue(t, string(e.Kind))
		}
	}
	o.markDirty(t.step.job)
}

// done marks a task, or all tasks of its gang, as done, and completes the step
// and the job if this was the last task.
func (o *Owner) done(t *task) {
	s := t.step
	if s.spec.Gang {
		for i := range s.tasks {
			o.markDone(&s.tasks[i])
		}
	} else {
		o.markDone(t)
	}
	o.recordDecision(Decision{Kind: DecisionEnded, Task: t.key(), Run: t.run, VM: t.vmID(), Reason: string(EndDone), Age: o.now - s.job.accepted})
	if s.done == len(s.tasks) {
		o.learnRunTime(s)
		o.activateSteps(s.occurrence)
		o.checkComplete(s.job)
	}
}

// markDone marks one task as done and removes it from its VM.
func (o *Owner) markDone(t *task) {
	if t.phase == phaseDone {
		return
	}
	if t.phase == phaseWaiting {
		t.step.waiting--
	}
	o.exemptStragglers(t)
	o.learnRatio(t)
	t.recordEndedRun(o.now)
	t.recordRelativeRunTime(o.now)
	t.sample(o.now)
	t.release()
	t.phase = phaseDone
	t.step.done++
	o.stopCopy(t)
	o.placeDue = true
}

// countFailure counts a failed run, even one that has been given up. The job
// fails when a task has used up its attempts. The tasks of a gang run together under
// one run number and have their attempts in common: a run of the gang in which any of
// them fails counts once.
func (o *Owner) countFailure(t *task, v *vm, e *End) {
	s := t.step
	if t.phase == phaseDone || slices.Contains(t.failedRuns(), e.Run) {
		return
	}
	t.avoid(v, o.now)
	if s.spec.Standing {
		return // restarted regardless of the number of failures
	}
	t.failures = append(t.failures, e.Run)
	o.markDirty(s.job)
	limit := o.queueOf(s.job).MaxAttempts
	if limit > 0 && len(t.failedRuns()) >= limit && s.job.outcome == "" {
		s.job.outcome = JobFailed
		o.recordDecision(Decision{Kind: DecisionFinished, Job: s.job.spec.ID, Task: t.key(), Reason: string(JobFailed), Age: o.now - s.job.accepted, Outcome: s.job.ended()})
		o.stopAll(s.job)
	}
}

// failedRuns returns the failed runs that use up the attempts of a task: those of the
// task, or of its whole gang. Each run of a gang is stored with the task whose failure
// was reported first, which differs from run to run.
func (t *task) failedRuns() Failures {
	if !t.step.spec.Gang {
		return t.failures
	}
	var runs Failures
	for i := range t.step.tasks {
		for _, run := range t.step.tasks[i].failures {
			if !slices.Contains(runs, run) {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// requeue returns a live task to the waiting state.
func (o *Owner) requeue(t *task, reason string) {
	if !t.phase.live() {
		return
	}
	if t.copyOf != nil || t.copy != nil {
		o.endOneRun(t, reason)
		return
	}
	j := t.step.job
	reason = t.preemption.endReason(reason)
	o.recordDecision(Decision{Kind: DecisionRequeued, Task: t.key(), Run: t.run, VM: t.vmID(), Reason: reason, Age: o.now - j.accepted})
	if t.phase == phaseRunning || t.listed {
		t.waitingSince = o.now
	}
	if t.background {
		t.step.idleSince = o.now - backgroundTimeout // it has waited before
	}
	t.release()
	t.phase = phaseWaiting
	t.step.waiting++
	o.placeDue = true
	if t.checkpoint != "" || j.outcome != "" && j.live == 0 {
		o.markDirty(j)
	}
}

func (t *task) vmID() types.VMID {
	if t.vm == nil {
		return ""
	}
	return t.vm.id
}

// markRunning marks a task as running after the worker has confirmed the start.
func (o *Owner) markRunning(t *task) {
	t.phase = phaseRunning
	t.pace, t.sentPace, t.wantedPace = fullPace, fullPace, t.paceLimit()
	o.markStarted(t.step.job)
}

func (o *Owner) markStarted(j *job) {
	if !j.begun {
		j.begun = true
		o.markDirty(j)
	}
}
