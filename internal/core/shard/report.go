package shard

import (
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/guard"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Report applies a worker's report and returns whether it did. It ignores all
// reports while the owner has no valid lease or before Recover. It also ignores
// reports that are not newer than the last one, and partial reports before the
// incarnation's first complete one. Reports of an incarnation that is not the
// confirmed current one of its VM are ignored because they prove nothing about
// the attempts that run now.
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
		v.orphan = nil
		v.orphanSum = types.Resources{}
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

// listed applies one entry of a report, and reports whether the entry lists the
// current attempt of a task on the VM that the task's row names.
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

// applyRunning applies a report of a live attempt that has not ended.
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

// applyCheckpoint continues an eviction after its checkpoint was written, and
// abandons it after the checkpoint failed.
func (o *Owner) applyCheckpoint(t *taskState, tr TaskReport) {
	switch {
	case t.checkpointed:
		// Already applied. The stop follows the commit.
	case tr.Checkpoint == o.checkpointName(t):
		t.checkpointed = true
		o.urgent = true // the stop that frees the capacity is sent after the commit
		o.apply(t, task.Event{Kind: task.EventCheckpointed, Attempt: tr.Attempt, Checkpoint: tr.Checkpoint})
	case tr.CheckpointFailed:
		o.abandonEviction(t)
	}
}

// applyEnded applies a report that the current attempt has ended.
func (o *Owner) applyEnded(t *taskState, tr TaskReport) {
	if t.isReplica() && tr.Phase != PhaseStopped {
		// A service replica never completes. It is placed again.
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

// isReplica reports whether the task is a replica of a service.
func (t *taskState) isReplica() bool {
	return t.job.row.Job.Class == types.ClassLatencyCritical
}

// applyReportAfterEnd applies a report of the last attempt of a task that has
// no live attempt. A completion still counts. An ended attempt is forgotten
// once its end is in the table; an attempt that still runs is stopped.
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
	o.orphan(v, from, tr)
}

// applyStaleAttempt handles a reported attempt that is not the current attempt
// of a known task on this VM: it is an earlier attempt, the row names another
// VM, or the job has finished. A higher attempt number than in the row is an
// invariant violation.
func (o *Owner) applyStaleAttempt(v *vmState, from types.Incarnation, t *taskState, tr TaskReport) {
	if t != nil && tr.Attempt > t.row.Attempt {
		o.addViolation(&guard.Violation{
			Rule: guard.SecondAttempt, Object: string(tr.Task),
			Detail: fmt.Sprintf("VM %s reports attempt %d but the row has attempt %d", v.vm.ID, tr.Attempt, t.row.Attempt),
		})
	}
	if !tr.Phase.terminal() {
		o.orphan(v, from, tr)
		return
	}
	id := attemptID{tr.Task, tr.Attempt}
	v.orphanSum = v.orphanSum.Sub(v.orphan[id])
	delete(v.orphan, id)
	// The attempt is forgotten only after the table has the row that made it
	// stale. Until then its report may still be needed.
	if t == nil || t.committed.Attempt > tr.Attempt || t.committed.State.Final() {
		o.emitAttemptCommand(v, from, CommandForget, tr.Task, tr.Attempt)
	}
}

// orphan records an attempt that is not live in any row and sends a stop command
// for it. The attempt's capacity counts as occupied until a report shows that it
// has stopped.
func (o *Owner) orphan(v *vmState, from types.Incarnation, tr TaskReport) {
	id := attemptID{tr.Task, tr.Attempt}
	if v.orphan == nil {
		v.orphan = make(map[attemptID]types.Resources)
	}
	v.orphanSum = v.orphanSum.Sub(v.orphan[id]).Add(tr.Reserved)
	v.orphan[id] = tr.Reserved
	o.emitAttemptCommand(v, from, CommandStop, tr.Task, tr.Attempt)
}

// applyMissing handles attempts that have a row on the VM but are missing from
// a complete report. If the attempt was started by an earlier incarnation, its
// absence proves that it has stopped: the worker refuses commands addressed to
// an earlier incarnation, so a delayed start cannot take effect. If it belongs
// to the reporting incarnation, its absence proves nothing: a start command may
// still be in transit. If this incarnation has already reported it, a stop
// command is sent.
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

// applyStopped applies the proof that the current attempt has stopped.
func (o *Owner) applyStopped(t *taskState, checkpoint string) {
	if checkpoint == "" {
		checkpoint = t.latestCheckpoint
	}
	o.apply(t, task.Event{Kind: task.EventStopped, Attempt: t.row.Attempt, Checkpoint: checkpoint})
}

// checkpointName returns the name of the object that the current eviction
// writes. The name is different for each eviction, so that a report of an
// earlier checkpoint is not mistaken for the current one.
func (o *Owner) checkpointName(t *taskState) string {
	return fmt.Sprintf("checkpoints/%s/%d-%d-%d", t.row.Task, t.row.Attempt, o.cfg.Epoch, t.evictions)
}
