package soak

import (
	"context"
	"strings"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// checkedTable checks each committed change of rows.
type checkedTable struct {
	platform.Table
	w     *tasks
	tasks map[types.TaskID]task.Row
	jobs  map[types.JobID]task.JobRow
	epoch types.Epoch
}

// Commit implements platform.Table.
func (c *checkedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	res, err := c.Table.Commit(ctx, txn)
	if err != nil || !res.Committed {
		return res, err
	}
	var placed []task.Row
	for _, wr := range txn.Writes {
		switch {
		case strings.HasPrefix(wr.Key, task.Prefix(shardID)):
			if row, ok := c.taskWritten(wr.Value); ok {
				placed = append(placed, row)
			}
		case strings.HasPrefix(wr.Key, task.JobPrefix(shardID)):
			c.jobWritten(wr.Value)
		case wr.Key == lease.Key(shardID):
			c.leaseWritten(wr.Value)
		}
	}
	for _, row := range placed {
		c.gang(row)
	}
	return res, nil
}

// taskWritten checks a change of a task's row and reports whether it places
// the first attempt.
func (c *checkedTable) taskWritten(value []byte) (task.Row, bool) {
	next, err := task.Decode(value)
	if err != nil {
		c.w.fail("task row: %v", err)
		return next, false
	}
	old, known := c.tasks[next.Task]
	c.tasks[next.Task] = next
	c.w.event("row %s: %s attempt %d on %s@%d epoch %d", next.Task, next.State, next.Attempt, next.VM, next.Incarnation, next.Epoch)
	switch {
	case old.State.Terminal():
		c.w.fail("task %s changed from %s to %s", next.Task, old.State, next.State)
	case next.Epoch < old.Epoch:
		c.w.fail("task %s went from epoch %d back to %d", next.Task, old.Epoch, next.Epoch)
	case next.Attempt < old.Attempt:
		// It may rise by more than one: a placement that is withdrawn before its
		// batch is sent uses a number up and starts nothing.
		c.w.fail("task %s went from attempt %d to %d", next.Task, old.Attempt, next.Attempt)
	case next.State.Live() && next.Epoch < c.epoch:
		c.w.fail("task %s was placed in epoch %d while the lease has %d", next.Task, next.Epoch, c.epoch)
	}
	if next.State.Terminal() {
		c.w.res.Outcomes["tasks "+string(next.State)]++
	}
	return next, next.State == task.Placed && next.Attempt == 1 && (!known || old.Attempt == 0)
}

// gang checks that the first placement of a gang is in one transaction.
func (c *checkedTable) gang(row task.Row) {
	job := c.jobs[row.Job].Job
	for i := range job.Tasks {
		if _, ok := c.tasks[job.TaskID(i)]; job.Gang && !ok {
			c.w.fail("gang %s was placed without task %d", job.ID, i)
		}
	}
}

func (c *checkedTable) jobWritten(value []byte) {
	row, err := task.DecodeJob(value)
	if err != nil {
		c.w.fail("job row: %v", err)
		return
	}
	old := c.jobs[row.Job.ID]
	c.jobs[row.Job.ID] = row
	if old.Finished {
		c.w.fail("job %s changed after its end", row.Job.ID)
	}
	if !row.Finished {
		return
	}
	c.w.finished[row.Job.ID] = true
	var done int
	for i := range row.Job.Tasks {
		t := c.tasks[row.Job.TaskID(i)]
		if !t.State.Terminal() {
			c.w.fail("job %s finished while task %d is %q", row.Job.ID, i, t.State)
		}
		if t.State == task.Done {
			done++
		}
	}
	if done != row.Done || row.Done+row.Failed+row.Cancelled != row.Job.Tasks {
		c.w.fail("job %s counts %d done, %d failed, %d cancelled; rows have %d done of %d",
			row.Job.ID, row.Done, row.Failed, row.Cancelled, done, row.Job.Tasks)
	}
}

func (c *checkedTable) leaseWritten(value []byte) {
	row, err := lease.Decode(value)
	if err != nil {
		c.w.fail("lease row: %v", err)
		return
	}
	if row.Epoch < c.epoch {
		c.w.fail("lease went from epoch %d back to %d", c.epoch, row.Epoch)
	}
	c.epoch = row.Epoch
}

// witness checks what the runtimes saw. A second completion of a task is none
// of its violations: a VM that fails before it reports loses the first, and
// startNow checks that nothing starts after a recorded end.
func (w *tasks) witness() {
	rec := w.platform.Violations()
	for _, o := range rec.Overlaps {
		w.fail("task %s ran at once as attempt %d on %s and attempt %d on %s",
			o.Task, o.First.Attempt, o.First.VM, o.Second.Attempt, o.Second.VM)
	}
	for _, o := range rec.Overloads {
		w.fail("VM %s held %v at %v", o.VM, o.Reserved, o.At)
	}
	for _, s := range rec.RepeatedStarts {
		w.fail("task %s attempt %d started %d times", s.Task, s.Attempt, s.Times)
	}
}

// settled reports whether every feasible task has ended.
func (w *tasks) settled() bool {
	for i := range w.jobs {
		j := &w.jobs[i]
		if !w.finished[j.ID] && !w.infeasible(j) {
			return false
		}
	}
	return true
}

func (w *tasks) infeasible(j *types.Job) bool {
	for i := range j.Tasks {
		if w.check.tasks[j.TaskID(i)].State != task.Infeasible {
			return false
		}
	}
	return true
}

// atEnd checks how the jobs ended once faults are off.
func (w *tasks) atEnd() {
	for i := range w.jobs {
		j := &w.jobs[i]
		if !w.finished[j.ID] && !w.infeasible(j) {
			w.fail("job %s did not end: %s", j.ID, w.states(j))
			continue
		}
		for n := range j.Tasks {
			row := w.check.tasks[j.TaskID(n)]
			if row.State == task.Failed && w.failures[row.Task] < task.MaxFailures {
				w.fail("task %s failed after %d injected failures: %s", row.Task, w.failures[row.Task], row.Reason)
			}
			if row.State == task.Cancelled && !w.check.jobs[j.ID].Cancel {
				w.fail("task %s is cancelled, its job is not", row.Task)
			}
		}
	}
}

func (w *tasks) states(j *types.Job) string {
	states := make([]string, 0, j.Tasks)
	for n := range j.Tasks {
		row := w.check.tasks[j.TaskID(n)]
		states = append(states, string(row.State)+" on "+string(row.VM))
	}
	return strings.Join(states, ", ")
}
