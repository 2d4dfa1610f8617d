package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/guard"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Evict checkpoints and stops a task's attempt. The task then waits to be
// resumed. Evict returns false if the task is unknown, has no live attempt, or
// is already being evicted or cancelled.
func (o *Owner) Evict(now time.Duration, id types.TaskID) bool {
	t := o.tasks[id]
	return t != nil && o.evict(now, t)
}

func (o *Owner) evict(now time.Duration, t *taskState) bool {
	if !t.row.State.Live() || t.evicting || t.row.Cancel {
		return false
	}
	t.evicting = true
	t.evictionStart = now
	t.evictions++
	t.checkpointed = t.row.State == task.Checkpointed
	o.activate(t)
	return true
}

// abandonEviction stops evicting a task. It also releases the capacity held on
// the VM, because the holds rely on the eviction.
func (o *Owner) abandonEviction(t *taskState) {
	t.evicting = false
	v := o.vms[t.row.VM]
	for _, w := range o.waiting {
		if w.heldOn == v {
			o.releaseHold(w)
		}
	}
}

// emitCommands emits the commands that are due. Tasks that need no command
// leave the active list.
func (o *Owner) emitCommands(now time.Duration) {
	kept := o.active[:0]
	for _, t := range o.active {
		kind := o.nextCommand(now, t)
		if kind == "" {
			t.active = false
			t.lastCommand = ""
			continue
		}
		kept = append(kept, t)
		if kind == CommandStart && o.isEvacuated(o.vms[t.row.VM]) {
			if kind = o.withdrawStart(now, t); kind == "" {
				continue
			}
		}
		if kind == t.lastCommand && now < t.lastCommandAt+o.cfg.CommandRetry {
			continue
		}
		if o.emitTaskCommand(t, kind) {
			t.lastCommand = kind
			t.lastCommandAt = now
		}
	}
	clear(o.active[len(kept):])
	o.active = kept
}

// nextCommand returns the kind of command that brings the attempt of the
// committed row to its desired state. It is empty if no command is needed until
// the task's state changes. nextCommand first abandons an eviction whose
// checkpoint has not been reported within EvictTimeout.
func (o *Owner) nextCommand(now time.Duration, t *taskState) CommandKind {
	if !t.committed.State.Live() || !t.row.State.Live() || t.row.Attempt != t.committed.Attempt {
		return ""
	}
	if t.evicting && !t.checkpointed && now >= t.evictionStart+o.cfg.EvictTimeout {
		o.abandonEviction(t)
	}
	switch {
	case t.committed.Cancel, t.needStop:
		return CommandStop
	case t.committed.State == task.Checkpointed:
		return CommandStop
	case t.evicting && t.isReplica():
		return CommandStop // replicas are not checkpointed
	case t.committed.Incarnation != t.row.Incarnation:
		return "" // the adoption by the new incarnation is not committed yet
	case t.needResume:
		return CommandResume
	case t.evicting && t.row.State == task.Running:
		return CommandCheckpoint
	case t.row.State == task.Placed || t.row.State == task.Resumed:
		return CommandStart
	default:
		return ""
	}
}

// emitTaskCommand emits a command for a task's current attempt. It emits nothing
// and returns false if the attempt's worker incarnation is unconfirmed, replaced
// or not running, or if a start fails the invariant check.
func (o *Owner) emitTaskCommand(t *taskState, kind CommandKind) bool {
	v := o.vms[t.row.VM]
	entry, confirmed := o.detector.Lookup(t.row.VM)
	if !confirmed || !entry.Status.Running() || entry.Incarnation != t.row.Incarnation {
		return false
	}
	c := o.newCommand(v, entry.Incarnation, kind, t.row.Task, t.row.Attempt)
	switch kind {
	case CommandStart:
		if !o.cfg.DisableInvariantChecks {
			if g := guard.CheckStart(t.row.Task, c.Attempt, t.committed.Attempt, t.committed.State.Live()); g != nil {
				o.addViolation(g)
				return false
			}
		}
		job := &t.job.row.Job
		c.Checkpoint = t.committed.Checkpoint
		c.Class = job.Class
		c.Reserved = t.committed.Reserved
		c.WorkKind = job.Kind
		c.RunTime = job.RunTime
	case CommandCheckpoint:
		c.Checkpoint = o.checkpointName(t)
	}
	o.out.Commands = append(o.out.Commands, c)
	return true
}

// emitAttemptCommand emits a command for a reported attempt that is not the
// live attempt of a task's row.
func (o *Owner) emitAttemptCommand(v *vmState, to types.Incarnation, kind CommandKind, id types.TaskID, attempt types.Attempt) {
	o.out.Commands = append(o.out.Commands, o.newCommand(v, to, kind, id, attempt))
}

// newCommand returns a command that is valid for CommandValidity after the
// worker's clock reading in its last acknowledged heartbeat. The command thus
// expires before the worker's run right.
func (o *Owner) newCommand(v *vmState, to types.Incarnation, kind CommandKind, id types.TaskID, attempt types.Attempt) Command {
	return Command{
		Kind: kind, VM: v.vm.ID, Incarnation: to, Epoch: o.cfg.Epoch,
		ValidUntil: v.lastSentAt + o.cfg.CommandValidity,
		Task:       id, Attempt: attempt,
	}
}

// acceptsWork reports whether a VM accepts new work: its current incarnation is
// confirmed, not draining, and has sent a complete report, and its failure domain
// is not evacuated.
func (o *Owner) acceptsWork(v *vmState) bool {
	if o.isEvacuated(v) {
		return false
	}
	entry, confirmed := o.detector.Lookup(v.vm.ID)
	return confirmed && entry.Status == membership.Alive && v.reportedBy == entry.Incarnation
}
