package soak

import (
	"context"
	"strings"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// checkedTable is a table that checks each committed change of rows.
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
			if row, ok := c.checkTaskWrite(wr.Value); ok {
				placed = append(placed, row)
			}
		case strings.HasPrefix(wr.Key, task.JobPrefix(shardID)):
			c.checkJobWrite(wr.Value)
		case wr.Key == lease.Key(shardID):
			c.checkLeaseWrite(wr.Value)
		}
	}
	for _, row := range placed {
		c.checkGang(row)
	}
	return res, nil
}

// checkTaskWrite checks a change of a task's row. It returns the new row and
// reports whether it places the first attempt.
func (c *checkedTable) checkTaskWrite(value []byte) (task.Row, bool) {
	next, err := task.Decode(value)
	if err != nil {
		c.w.recordViolation("task row: %v", err)
		return next, false
	}
	old, known := c.tasks[next.Task]
	c.tasks[next.Task] = next
	c.w.recordEvent("row %s: %s attempt %d on %s@%d epoch %d", next.Task, next.State, next.Attempt, next.VM, next.Incarnation, next.Epoch)
	switch {
	case old.State.Final():
		c.w.recordViolation("task %s changed from %s to %s", next.Task, old.State, next.State)
	case next.Epoch < old.Epoch:
		c.w.recordViolation("epoch of task %s decreased from %d to %d", next.Task, old.Epoch, next.Epoch)
	case next.Attempt < old.Attempt:
		// The number may increase by more than one: a placement that is
		// withdrawn before its batch is sent uses up a number without starting
		// anything.
		c.w.recordViolation("attempt of task %s decreased from %d to %d", next.Task, old.Attempt, next.Attempt)
	case next.State.Live() && next.Epoch < c.epoch:
		c.w.recordViolation("task %s was placed in epoch %d although the lease has epoch %d", next.Task, next.Epoch, c.epoch)
	}
	if next.State.Final() {
		c.w.res.Outcomes["tasks "+string(next.State)]++
	}
	return next, next.State == task.Placed && next.Attempt == 1 && (!known || old.Attempt == 0)
}

// checkGang checks that every task of a gang has a row once one of its tasks is
// first placed. The owner places the tasks of a gang in one transaction, so a
// task without a row was not placed with the others.
func (c *checkedTable) checkGang(row task.Row) {
	job := c.jobs[row.Job].Job
	for i := range job.Tasks {
		if _, ok := c.tasks[job.TaskID(i)]; job.Gang && !ok {
			c.w.recordViolation("gang %s was placed without task %d", job.ID, i)
		}
	}
}

func (c *checkedTable) checkJobWrite(value []byte) {
	row, err := task.DecodeJob(value)
	if err != nil {
		c.w.recordViolation("job row: %v", err)
		return
	}
	old := c.jobs[row.Job.ID]
	c.jobs[row.Job.ID] = row
	if old.Finished {
		c.w.recordViolation("job %s changed after its end", row.Job.ID)
	}
	if !row.Finished {
		return
	}
	c.w.finished[row.Job.ID] = true
	var done int
	for i := range row.Job.Tasks {
		t := c.tasks[row.Job.TaskID(i)]
		if !t.State.Final() {
			c.w.recordViolation("job %s finished while task %d is %q", row.Job.ID, i, t.State)
		}
		if t.State == task.Done {
			done++
		}
	}
	if done != row.Done || row.Done+row.Failed+row.Cancelled != row.Job.Tasks {
		c.w.recordViolation("job %s counts %d done, %d failed, %d cancelled; rows have %d done of %d",
			row.Job.ID, row.Done, row.Failed, row.Cancelled, done, row.Job.Tasks)
	}
}

func (c *checkedTable) checkLeaseWrite(value []byte) {
	row, err := lease.Decode(value)
	if err != nil {
		c.w.recordViolation("lease row: %v", err)
		return
	}
	if row.Epoch < c.epoch {
		c.w.recordViolation("epoch of the lease decreased from %d to %d", c.epoch, row.Epoch)
	}
	c.epoch = row.Epoch
}

// checkRuntimes checks the events that the runtimes recorded. A second
// completion of a task is not a violation: if a VM fails before it reports the
// first one, the owner never receives it. startInRuntime checks that no attempt
// starts after the end of its task was recorded.
func (w *tasks) checkRuntimes() {
	rec := w.platform.Violations()
	for _, o := range rec.Overlaps {
		w.recordViolation("task %s ran simultaneously as attempt %d on %s and attempt %d on %s",
			o.Task, o.First.Attempt, o.First.VM, o.Second.Attempt, o.Second.VM)
	}
	for _, o := range rec.Overloads {
		w.recordViolation("VM %s is overcommitted: %v reserved at %v", o.VM, o.Reserved, o.At)
	}
	for _, s := range rec.RepeatedStarts {
		w.recordViolation("task %s attempt %d started %d times", s.Task, s.Attempt, s.Times)
	}
}

// allEnded reports whether every job has finished or is infeasible.
func (w *tasks) allEnded() bool {
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
		if w.checked.tasks[j.TaskID(i)].State != task.Infeasible {
			return false
		}
	}
	return true
}

// checkEnd checks the outcome of all jobs after a period without faults.
func (w *tasks) checkEnd() {
	for i := range w.jobs {
		j := &w.jobs[i]
		if !w.finished[j.ID] && !w.infeasible(j) {
			w.recordViolation("job %s did not finish: %s", j.ID, w.states(j))
			continue
		}
		for n := range j.Tasks {
			row := w.checked.tasks[j.TaskID(n)]
			if row.State == task.Failed && w.failures[row.Task] < task.MaxFailures {
				w.recordViolation("task %s failed after only %d injected failures: %s", row.Task, w.failures[row.Task], row.Reason)
			}
			if row.State == task.Cancelled && !w.checked.jobs[j.ID].Cancel {
				w.recordViolation("task %s is cancelled but its job is not", row.Task)
			}
		}
	}
}

func (w *tasks) states(j *types.Job) string {
	states := make([]string, 0, j.Tasks)
	for n := range j.Tasks {
		row := w.checked.tasks[j.TaskID(n)]
		states = append(states, string(row.State)+" on "+string(row.VM))
	}
	return strings.Join(states, ", ")
}
