package shard

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// SetEvacuated sets the failure domains in which nothing new may start. Running
// attempts there go on and tasks wait. Attempts that are placed but have not
// started are stopped by withdrawStart. Evictions that would have made room there
// are abandoned.
// Call it after SetVMs with the same configuration.
func (o *Owner) SetEvacuated(domains []types.FailureDomain) {
	if slices.Equal(o.evacuated, domains) {
		return
	}
	o.evacuated = slices.Clone(domains)
	o.placeDue = true
	for _, v := range o.vmOrder {
		if !o.isEvacuated(v) {
			continue
		}
		for _, t := range snapshot(v.tasks) {
			o.abandonNeedlessEviction(v, t)
		}
	}
	for _, t := range o.waiting {
		if t.heldOn != nil && o.isEvacuated(t.heldOn) {
			o.releaseHold(t)
		}
	}
}

// abandonNeedlessEviction abandons an eviction whose checkpoint is not written,
// unless the VM drains.
func (o *Owner) abandonNeedlessEviction(v *vmState, t *taskState) {
	entry, _ := o.detector.Lookup(v.vm.ID)
	if t.evicting && !t.checkpointed && entry.Status == membership.Alive {
		o.abandonEviction(t)
	}
}

// isEvacuated reports whether nothing new may start on the VM because of an
// evacuation.
func (o *Owner) isEvacuated(v *vmState) bool {
	return v != nil && slices.Contains(o.evacuated, v.vm.FailureDomain)
}

// withdrawStart returns the command to send instead of a start on an evacuated
// VM: a stop, after which the task waits again. If a start was sent, it returns
// no command until that start has expired, so that an attempt which has begun is
// reported and goes on.
func (o *Owner) withdrawStart(now time.Duration, t *taskState) CommandKind {
	if t.lastCommand == CommandStart && now < t.lastCommandAt+o.cfg.CommandValidity {
		return ""
	}
	return CommandStop
}

// Move is a job to move to another shard.
type Move struct {
	Job types.Job
	// JobRow is the row of the job, and TaskRows are the rows of all its tasks,
	// with the revisions at which they must still be. Tasks without a row have
	// revision 0 and no value. The keys are those of this shard; the values are
	// those to write in the other shard.
	JobRow   TableRow
	TaskRows []TableRow
}

// maxMoveTasks is the maximum number of tasks of a job that can be moved, since
// all rows of the job are written in one transaction. A row takes about 300
// bytes, so that the transaction stays below 1 MB.
const maxMoveTasks = 1000

// NextMove returns an unfinished batch job that waits in this shard only because
// of an evacuation, and that the caller accepts: no task has an attempt, and every
// change is in the table. The job is not placed until MoveDone is called for it.
// NextMove returns false before the owner is ready, and while the lease or the
// table is unavailable.
func (o *Owner) NextMove(now time.Duration, accept func(*types.Job) bool) (Move, bool) {
	if !o.Ready(now) || now >= o.leaseUntil || o.tableUnavailable || !o.allEvacuated() {
		return Move{}, false
	}
	for _, t := range o.sortedTasks() {
		j := t.job
		if t != j.tasks[0] || !j.movable() || !accept(&j.row.Job) {
			continue
		}
		m, err := o.moveOf(j)
		if err != nil {
			o.out.Problems = append(o.out.Problems, err)
			continue
		}
		j.moving = true
		return m, true
	}
	return Move{}, false
}

// allEvacuated reports whether the shard has VMs and all are evacuated.
func (o *Owner) allEvacuated() bool {
	configured := 0
	for _, v := range o.vmOrder {
		if v.vm.Capacity.IsZero() {
			continue
		}
		if !o.isEvacuated(v) {
			return false
		}
		configured++
	}
	return configured > 0
}

// movable reports whether the job may be moved: it is a batch job of limited
// size that is neither cancelled nor finished nor being moved, no task has an
// attempt, and at least one task has not ended.
func (j *jobState) movable() bool {
	if j.row.Job.Class == types.ClassLatencyCritical || len(j.tasks) > maxMoveTasks {
		return false
	}
	if j.moving || j.row.Cancel || j.row.Finished || j.dirty || j.ended == len(j.tasks) {
		return false
	}
	for _, t := range j.tasks {
		if t.row.State.Live() || t.inFlight || t.row != t.committed {
			return false
		}
	}
	return true
}

// moveOf returns the rows of a job. The epoch of the task rows is reset, because
// epochs of different shards are not comparable.
func (o *Owner) moveOf(j *jobState) (Move, error) {
	moved := j.row
	moved.Moved = true
	value, err := moved.Encode()
	if err != nil {
		return Move{}, err
	}
	m := Move{Job: j.row.Job, JobRow: TableRow{Key: task.JobKey(o.cfg.Shard, j.row.Job.ID), Value: value, Revision: j.revision}}
	for _, t := range j.tasks {
		r := TableRow{Key: task.Key(o.cfg.Shard, t.row.Task), Revision: t.revision}
		if t.revision != 0 {
			row := t.committed
			row.Epoch = 0
			if r.Value, err = row.Encode(); err != nil {
				return Move{}, err
			}
		}
		m.TaskRows = append(m.TaskRows, r)
	}
	return m, nil
}

// Moved removes a job after the transaction that moved it was committed with the
// given revision. If only the result is known, revision is 0.
func (o *Owner) Moved(id types.JobID, revision uint64) {
	j := o.jobs[id]
	if j == nil || !j.moving {
		return
	}
	j.revision = max(j.revision, revision)
	for _, t := range j.tasks {
		o.learner.Withdrawn(t.row.Task)
		// A final row that equals the committed one is neither placed nor written.
		t.row.State = task.Cancelled
		t.committed = t.row
	}
	o.removeJob(j)
	o.removePlaced()
}

// NotMoved ends the move of a job whose transaction has failed and can no longer
// take effect. rows are the present rows of Move.TaskRows; those that differ from
// the owner's state are adopted.
func (o *Owner) NotMoved(id types.JobID, rows []TableRow) {
	j := o.jobs[id]
	if j == nil || !j.moving {
		return
	}
	j.moving = false
	o.placeDue = true
	for i, t := range j.tasks {
		if i < len(rows) && rows[i].Revision != t.revision && rows[i].Revision != 0 {
			o.adoptRow(t, rows[i])
		}
	}
}

// movedHere reports whether the row is that of an unknown job that another shard
// has moved here.
func (o *Owner) movedHere(r TableRow) (types.JobID, bool) {
	row, err := task.DecodeJob(r.Value)
	if err != nil || !row.Moved || row.Finished {
		return "", false
	}
	id := row.Job.ID
	return id, o.jobs[id] == nil && r.Revision > o.finished[id]
}

// SubmitMoved adds a job that another shard has moved here, with the rows of its
// tasks, which must be read after the job's row. Tasks that were infeasible there
// are tried again. Before Recover it does nothing: Recover loads the same rows,
// and ended tasks would count twice.
func (o *Owner) SubmitMoved(job TableRow, tasks []TableRow) {
	if !o.recovered {
		return
	}
	if _, unknown := o.movedHere(job); !unknown {
		o.Submit(job)
		return
	}
	j := o.loadJob(job)
	if j == nil {
		return
	}
	for _, r := range tasks {
		o.loadTask(r)
	}
	for _, t := range j.tasks {
		o.setRow(t, t.row)
		if t.row.State == task.Infeasible {
			o.apply(t, task.Event{Kind: task.EventFeasible})
		}
	}
	if j.row.Cancel {
		o.cancelJob(j)
	}
	o.queueFinalRow(j)
}
