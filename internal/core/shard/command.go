package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/guard"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Evict checkpoints and stops a task's attempt; the task then waits to resume.
// It returns false if the task has no live attempt or is stopping already.
func (o *Owner) Evict(now time.Duration, id types.TaskID) bool {
	t := o.tasks[id]
	return t != nil && o.evict(now, t)
}

func (o *Owner) evict(now time.Duration, t *taskState) bool {
	if !t.row.State.Live() || t.evicting || t.row.Cancel {
		return false
	}
	t.evicting = true
	t.evictSince = now
	t.evictions++
	t.checkpointed = t.row.State == task.Checkpointed
	o.activate(t)
	return true
}

// keep gives an eviction up, and the promise that depends on it.
func (o *Owner) keep(t *taskState) {
	t.evicting = false
	v := o.vms[t.row.VM]
	for _, w := range o.waiting {
		if w.promisedOn == v {
			o.unpromise(w)
		}
	}
}

// commands emits the commands that are due, and drops tasks that need none.
func (o *Owner) commands(now time.Duration) {
	kept := o.active[:0]
	for _, t := range o.active {
		kind := o.wanted(now, t)
		if kind == "" {
			t.active = false
			t.commanded = ""
			continue
		}
		kept = append(kept, t)
		if kind == t.commanded && now < t.commandAt+o.cfg.CommandRetry {
			continue
		}
		if o.sendFor(t, kind) {
			t.commanded = kind
			t.commandAt = now
		}
	}
	clear(o.active[len(kept):])
	o.active = kept
}

// wanted returns the command that brings the attempt of the committed row to
// where it should be; empty if none is needed until something changes.
func (o *Owner) wanted(now time.Duration, t *taskState) CommandKind {
	if !t.committed.State.Live() || !t.row.State.Live() || t.row.Attempt != t.committed.Attempt {
		return ""
	}
	if t.evicting && !t.checkpointed && now >= t.evictSince+o.cfg.EvictTimeout {
		o.keep(t)
	}
	switch {
	case t.committed.Cancel, t.proveStop:
		return CommandStop
	case t.committed.State == task.Checkpointed:
		return CommandStop
	case t.evicting && t.replica():
		return CommandStop
	case t.committed.Incarnation != t.row.Incarnation:
		return "" // an adoption is not committed yet
	case t.resume:
		return CommandResume
	case t.evicting && t.row.State == task.Running:
		return CommandCheckpoint
	case t.row.State == task.Placed || t.row.State == task.Resumed:
		return CommandStart
	default:
		return ""
	}
}

// sendFor emits one command for a task's attempt. It returns false if the
// attempt's worker is not there to take it.
func (o *Owner) sendFor(t *taskState, kind CommandKind) bool {
	v := o.vms[t.row.VM]
	entry, confirmed := o.detector.Lookup(t.row.VM)
	if !confirmed || !entry.Status.Running() || entry.Incarnation != t.row.Incarnation {
		return false
	}
	c := o.newCommand(v, entry.Incarnation, kind, t.row.Task, t.row.Attempt)
	switch kind {
	case CommandStart:
		if !o.cfg.Unguarded {
			if g := guard.CheckStart(t.row.Task, c.Attempt, t.committed.Attempt, t.committed.State.Live()); g != nil {
				o.violated(g)
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

// command emits a command for an attempt that no row has as present.
func (o *Owner) command(v *vmState, to types.Incarnation, kind CommandKind, id types.TaskID, attempt types.Attempt) {
	o.out.Commands = append(o.out.Commands, o.newCommand(v, to, kind, id, attempt))
}

// newCommand returns a command whose validity counts from the worker's reading
// in its last acknowledged heartbeat, so it ends before the run right does.
func (o *Owner) newCommand(v *vmState, to types.Incarnation, kind CommandKind, id types.TaskID, attempt types.Attempt) Command {
	return Command{
		Kind: kind, VM: v.vm.ID, Incarnation: to, Epoch: o.cfg.Epoch,
		ValidUntil: v.lastSentAt + o.cfg.CommandBudget,
		Task:       id, Attempt: attempt,
	}
}

// accepts reports whether a VM takes new work: its present incarnation is
// confirmed, not draining, and has given a complete report.
func (o *Owner) accepts(v *vmState) bool {
	entry, confirmed := o.detector.Lookup(v.vm.ID)
	return confirmed && entry.Status == membership.Alive && v.reportedBy == entry.Incarnation
}
