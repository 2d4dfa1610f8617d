package shard

import (
	"fmt"
	"sort"
	"strings"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Recover loads the shard's job and task rows, which must be read after the
// takeover is committed. Rows that cannot be decoded are reported in
// Output.Problems and ignored.
func (o *Owner) Recover(jobs, tasks []TableRow) {
	for _, r := range jobs {
		o.loadJob(r)
	}
	for _, r := range tasks {
		o.loadTask(r)
	}
	for _, t := range o.sortedTasks() {
		o.setRow(t, t.row)
		if t.job.row.Cancel {
			o.cancelTask(t)
		}
		o.queueFinalRow(t.job)
	}
	o.recovered = true
	o.placeDue = true
}

// Submit adds a job that an entry has committed, or applies a change of its
// row. Submitting the same row again has no effect. A job that another shard has
// moved here is not added but listed in Output.MovedHere.
func (o *Owner) Submit(row TableRow) {
	if id, moved := o.movedHere(row); moved {
		o.out.MovedHere = append(o.out.MovedHere, id)
		return
	}
	j := o.loadJob(row)
	if j == nil {
		return
	}
	for _, t := range j.tasks {
		o.setRow(t, t.row)
	}
	if j.row.Cancel {
		o.cancelJob(j)
	}
}

// Cancel cancels jobs. The rows of their tasks are written in as few batches as
// MaxBatchRows allows. Live attempts are stopped after the commit.
func (o *Owner) Cancel(jobs []types.JobID) {
	for _, id := range jobs {
		if j := o.jobs[id]; j != nil {
			o.cancelJob(j)
		}
	}
}

func (o *Owner) cancelJob(j *jobState) {
	j.row.Cancel = true
	for _, t := range j.tasks {
		o.cancelTask(t)
	}
}

func (o *Owner) cancelTask(t *taskState) {
	o.apply(t, task.Event{Kind: task.EventCancel})
}

// loadJob creates or updates a job from its row. It returns nil if the row is
// not newer than the known one, the job is finished or was removed as finished,
// or the row cannot be decoded.
func (o *Owner) loadJob(r TableRow) *jobState {
	row, err := task.DecodeJob(r.Value)
	if err != nil {
		o.out.Problems = append(o.out.Problems, fmt.Errorf("row %q: %w", r.Key, err))
		return nil
	}
	j := o.jobs[row.Job.ID]
	switch {
	case j == nil && (row.Finished || r.Revision <= o.finished[row.Job.ID]):
		return nil
	case j == nil:
		j = o.newJob(row, r.Revision)
	case j.revision >= r.Revision:
		return nil
	default:
		j.revision = r.Revision
		j.row.Cancel = j.row.Cancel || row.Cancel
		j.row.Finished = row.Finished
	}
	if row.Finished {
		return nil
	}
	return j
}

func (o *Owner) newJob(row task.JobRow, revision uint64) *jobState {
	j := &jobState{row: row, revision: revision}
	o.jobs[row.Job.ID] = j
	for i := range row.Job.Tasks {
		o.lastSubmitSeq++
		t := &taskState{job: j, submitSeq: o.lastSubmitSeq}
		t.row = task.Row{Task: j.row.Job.TaskID(i), Job: row.Job.ID, State: task.Pending}
		t.committed = t.row
		o.tasks[t.row.Task] = t
		j.tasks = append(j.tasks, t)
	}
	return j
}

// loadTask sets the state of a task from its row.
func (o *Owner) loadTask(r TableRow) {
	row, err := task.Decode(r.Value)
	if err != nil {
		o.out.Problems = append(o.out.Problems, fmt.Errorf("row %q: %w", r.Key, err))
		return
	}
	t := o.tasks[row.Task]
	if t == nil {
		return // the job has finished
	}
	t.committed = row
	t.revision = r.Revision
	t.row = row
	if row.State.Live() {
		t.started = o.now
		o.ensureVM(row.VM).add(t, row.Reserved)
	}
	if row.State.Final() {
		t.job.ended++
	}
}

// queueFinalRow queues the job's final row when every task has ended.
func (o *Owner) queueFinalRow(j *jobState) {
	if j.ended != len(j.tasks) || j.row.Finished || j.dirty {
		return
	}
	j.dirty = true
	o.dirtyJobs = append(o.dirtyJobs, j)
}

// finalRow returns the job's final row with its task counts.
func (j *jobState) finalRow() task.JobRow {
	row := j.row
	row.Finished = true
	row.Done, row.Failed, row.Cancelled = 0, 0, 0
	for _, t := range j.tasks {
		switch t.row.State {
		case task.Done:
			row.Done++
		case task.Failed:
			row.Failed++
		case task.Cancelled:
			row.Cancelled++
		}
	}
	return row
}

// removeJob removes a finished job from the owner's state. If workers still
// list attempts of the job, these are then unknown and the workers are told to
// stop or forget them.
func (o *Owner) removeJob(j *jobState) {
	for _, t := range j.tasks {
		delete(o.tasks, t.row.Task)
	}
	j.tasks = nil
	delete(o.jobs, j.row.Job.ID)
	o.recordFinished(j.row.Job.ID, j.revision)
}

// maxFinishedJobs is the number of finished job IDs that the owner remembers.
// It exceeds the number of jobs that a shard of the target size, 32 VMs with 450
// running tasks, runs in ten days. A row that was read before the end of its job
// arrives within the timeout of a read, long before the job's ID is replaced.
const maxFinishedJobs = 2048

// recordFinished remembers a removed job and the revision of its last row. It
// replaces the oldest job when maxFinishedJobs are stored.
func (o *Owner) recordFinished(id types.JobID, revision uint64) {
	_, known := o.finished[id]
	o.finished[id] = revision
	if known {
		return
	}
	if len(o.finishedOrder) < maxFinishedJobs {
		o.finishedOrder = append(o.finishedOrder, id)
		return
	}
	delete(o.finished, o.finishedOrder[o.finishedNext])
	o.finishedOrder[o.finishedNext] = id
	o.finishedNext = (o.finishedNext + 1) % maxFinishedJobs
}

// sortedTasks returns all tasks ordered by job ID and index.
func (o *Owner) sortedTasks() []*taskState {
	ids := make([]string, 0, len(o.jobs))
	for id := range o.jobs {
		ids = append(ids, string(id))
	}
	sort.Slice(ids, func(a, b int) bool { return strings.Compare(ids[a], ids[b]) < 0 })
	all := make([]*taskState, 0, len(o.tasks))
	for _, id := range ids {
		all = append(all, o.jobs[types.JobID(id)].tasks...)
	}
	return all
}
