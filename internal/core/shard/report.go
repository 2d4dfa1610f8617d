package shard

import (
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/guard"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Report applies a worker's report. Reports of incarnations that are not the
// confirmed present one of their VM are ignored: their lists prove nothing.
// It returns false if the report was ignored.
func (o *Owner) Report(now time.Duration, r Report) bool {
	if !o.recovered || o.lost || now >= o.leaseUntil {
		return false
	}
	v := o.vms[r.VM]
	entry, confirmed := o.detector.Lookup(r.VM)
	if v == nil || !confirmed || entry.Incarnation != r.Incarnation {
		return false
	}
	if r.Seq <= v.reportSeq {
		return false
	}
	if !r.Complete && v.reportedBy != r.Incarnation {
		return false
	}
	o.now = now
	v.reportSeq = r.Seq
	if r.Complete {
		v.reportedBy = r.Incarnation
		v.foreign = nil
		v.foreignSum = types.Resources{}
		o.placeDue = true
	}
	listed := make(map[types.TaskID]bool, len(r.Tasks))
	for _, tr := range r.Tasks {
		if o.listed(v, r.Incarnation, tr) {
			listed[tr.Task] = true
		}
	}
	if r.Complete {
		o.applyMissing(v, r.Incarnation, listed)
	}
	if entry.Status == membership.Draining {
		for _, t := range v.tasks {
			o.evict(now, t)
		}
	}
	return true
}

// listed applies one attempt of a report. It returns whether the attempt is
// the present one of its task, on this VM.
func (o *Owner) listed(v *vmState, from types.Incarnation, tr TaskReport) bool {
	t := o.tasks[tr.Task]
	if t == nil || tr.Attempt != t.row.Attempt || t.row.VM != v.vm.ID {
		o.applyStaleAttempt(v, from, t, tr)
		return false
	}
	if !t.row.State.Live() {
		o.applyReportAfterEnd(v, from, t, tr)
		return true
	}
	if tr.Checkpoint != "" {
		t.latestCheckpoint = tr.Checkpoint
	}
	if !tr.Usage.IsZero() {
		o.learner.Usage(o.now, o.now-tr.UsageAge, tr.Task, tr.Usage)
	}
	if tr.Phase.terminal() {
		o.applyEnded(t, tr)
		return true
	}
	o.applyRunning(t, from, tr)
	return true
}

// applyRunning applies the report of a live attempt.
func (o *Owner) applyRunning(t *taskState, from types.Incarnation, tr TaskReport) {
	kind := task.EventStarted
	if t.row.Incarnation != from {
		kind = task.EventAdopted
	}
	o.apply(t, task.Event{Kind: kind, Attempt: tr.Attempt, Incarnation: from})
	t.lastReporter = from
	t.needStop = false
	t.needResume = tr.Phase == PhaseSuspended
	if t.evicting {
		o.applyCheckpoint(t, tr)
	}
	o.activate(t)
}

// applyCheckpoint continues an eviction when its checkpoint is written, and
// gives it up when that failed.
func (o *Owner) applyCheckpoint(t *taskState, tr TaskReport) {
	switch {
	case t.checkpointed:
	case tr.Checkpoint == o.checkpointName(t):
		t.checkpointed = true
		o.urgent = true // other work waits for the stop that follows the commit
		o.apply(t, task.Event{Kind: task.EventCheckpointed, Attempt: tr.Attempt, Checkpoint: tr.Checkpoint})
	case tr.CheckpointFailed:
		o.abandonEviction(t)
	}
}

// applyEnded applies the report of a present attempt that is over.
func (o *Owner) applyEnded(t *taskState, tr TaskReport) {
	if t.isReplica() && tr.Phase != PhaseStopped {
		// A replica has no end of its own: it is replaced.
		o.backOff(t)
		o.applyStopped(t, "")
		return
	}
	switch tr.Phase {
	case PhaseDone:
		o.apply(t, task.Event{Kind: task.EventFinished, Attempt: tr.Attempt})
	case PhaseFailed:
		o.backOff(t)
		o.apply(t, task.Event{
			Kind: task.EventFailed, Attempt: tr.Attempt, Checkpoint: t.latestCheckpoint,
			Blameless: tr.Blameless || o.learner.Quarantined(t.row.VM), Refused: tr.Blameless, Reason: tr.Error,
		})
	default:
		o.applyStopped(t, tr.Checkpoint)
	}
}

// isReplica reports whether the task is a isReplica of a service.
func (t *taskState) isReplica() bool {
	return t.job.row.Job.Class == types.ClassLatencyCritical
}

// applyReportAfterEnd applies the report of the last attempt of a task that has no
// live one. A completion still counts; a stop is known and may be forgotten
// once the table has it.
func (o *Owner) applyReportAfterEnd(v *vmState, from types.Incarnation, t *taskState, tr TaskReport) {
	if tr.Phase == PhaseDone && !t.isReplica() {
		o.apply(t, task.Event{Kind: task.EventFinished, Attempt: tr.Attempt})
	}
	if tr.Phase.terminal() {
		if t.row == t.committed {
			o.emitAttemptCommand(v, from, CommandForget, tr.Task, tr.Attempt)
		}
		return
	}
	o.foreign(v, from, tr)
}

// applyStaleAttempt handles an attempt that is not the present one of a known task
// on this VM: an earlier one, or one of a finished job.
func (o *Owner) applyStaleAttempt(v *vmState, from types.Incarnation, t *taskState, tr TaskReport) {
	if t != nil && tr.Attempt > t.row.Attempt {
		o.addViolation(&guard.Violation{
			Rule: guard.SecondAttempt, Object: string(tr.Task),
			Detail: fmt.Sprintf("VM %s reports attempt %d, the row has %d", v.vm.ID, tr.Attempt, t.row.Attempt),
		})
	}
	if !tr.Phase.terminal() {
		o.foreign(v, from, tr)
		return
	}
	id := attemptID{tr.Task, tr.Attempt}
	v.foreignSum = v.foreignSum.Sub(v.foreign[id])
	delete(v.foreign, id)
	// The table must have what made the attempt an earlier one, or the report
	// may still be needed.
	if t == nil || t.committed.Attempt > tr.Attempt || t.committed.State.Terminal() {
		o.emitAttemptCommand(v, from, CommandForget, tr.Task, tr.Attempt)
	}
}

// foreign keeps the capacity of an attempt occupied that must end.
func (o *Owner) foreign(v *vmState, from types.Incarnation, tr TaskReport) {
	id := attemptID{tr.Task, tr.Attempt}
	if v.foreign == nil {
		v.foreign = make(map[attemptID]types.Resources)
	}
	v.foreignSum = v.foreignSum.Sub(v.foreign[id]).Add(tr.Reserved)
	v.foreign[id] = tr.Reserved
	o.emitAttemptCommand(v, from, CommandStop, tr.Task, tr.Attempt)
}

// applyMissing handles the attempts that rows have on the VM and a complete report
// does not list. For an attempt given to an earlier incarnation that is proof
// that it does not run, because commands to that incarnation are refused. For
// one of the same incarnation it is not: a start may be on its way.
func (o *Owner) applyMissing(v *vmState, from types.Incarnation, listed map[types.TaskID]bool) {
	for _, t := range snapshot(v.tasks) {
		if listed[t.row.Task] {
			continue
		}
		if t.row.Incarnation != from {
			o.applyStopped(t, "")
			continue
		}
		if t.lastReporter == from {
			t.needStop = true
			o.activate(t)
		}
	}
}

// applyStopped applies the proof that the present attempt does not run any more.
func (o *Owner) applyStopped(t *taskState, checkpoint string) {
	if checkpoint == "" {
		checkpoint = t.latestCheckpoint
	}
	o.apply(t, task.Event{Kind: task.EventStopped, Attempt: t.row.Attempt, Checkpoint: checkpoint})
}

// checkpointName returns the object that the present eviction writes. Each
// eviction has its own, so that a report of an earlier one does not pass for it.
func (o *Owner) checkpointName(t *taskState) string {
	return fmt.Sprintf("checkpoints/%s/%d-%d-%d", t.row.Task, t.row.Attempt, o.cfg.Epoch, t.evictions)
}
