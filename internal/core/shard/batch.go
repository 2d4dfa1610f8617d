package shard

import (
	"bytes"
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
)

// inFlightBatch is a batch that was sent and whose outcome is not resolved yet.
type inFlightBatch struct {
	batch *Batch
	// tasks and jobs are the tasks and jobs of batch.Writes: the first
	// len(tasks) writes are task rows, the others are job rows, in the same
	// order.
	tasks []*taskState
	jobs  []*jobState
	// uncertain is set if the batch was not answered, or if the rows that should
	// show whether it was committed were incomplete. A read then resolves it.
	uncertain bool
	// reading is set while a read to resolve the batch is outstanding.
	reading bool
}

// flush emits a batch, or a read that resolves an uncertain batch, if one is
// due. At most one batch is in flight.
func (o *Owner) flush(now time.Duration) {
	if now < o.retryAt {
		return
	}
	if o.inFlightBatch != nil {
		o.requestRead()
		return
	}
	if len(o.dirty) == 0 && len(o.dirtyJobs) == 0 {
		return
	}
	if !o.urgent && now < o.lastBatch+o.cfg.BatchInterval {
		return
	}
	o.sendBatch(now)
}

// requestRead emits a read of the rows of an uncertain batch.
func (o *Owner) requestRead() {
	f := o.inFlightBatch
	if !f.uncertain || f.reading {
		return
	}
	f.reading = true
	o.out.Read = &Read{ID: f.batch.ID, Keys: f.batch.Keys()}
}

// sendBatch emits the next batch, built from the changed rows in the order of
// their changes. A placement is therefore not written before the stop that
// freed its capacity.
func (o *Owner) sendBatch(now time.Duration) {
	o.batchID++
	f := &inFlightBatch{batch: &Batch{
		ID: o.batchID, FenceKey: o.FenceKey(), FenceRevision: o.cfg.FenceRevision, Urgent: o.urgent,
	}}
	handled := 0
	for i, t := range o.dirty {
		if !t.dirty {
			handled = i + 1
			continue
		}
		group := t.group()
		if len(f.tasks)+len(group) > o.cfg.MaxBatchRows {
			break
		}
		for _, member := range group {
			o.addTaskRow(f, member)
		}
		handled = i + 1
	}
	o.dirty = append(o.dirty[:0], o.dirty[handled:]...)
	o.addJobRows(f)
	if len(f.batch.Writes) == 0 {
		return
	}
	o.urgent = len(o.dirty) > 0 && o.urgent
	o.inFlightBatch = f
	o.lastBatch = now
	o.out.Batch = f.batch
}

// group returns t and the changed tasks that must be in the same batch as t.
func (t *taskState) group() []*taskState {
	group := []*taskState{t}
	for _, member := range t.gang {
		if member != t && member.dirty {
			group = append(group, member)
		}
	}
	return group
}

func (o *Owner) addTaskRow(f *inFlightBatch, t *taskState) {
	t.dirty = false
	t.gang = nil
	if t.row == t.committed {
		return
	}
	value, err := t.row.Encode()
	if err != nil {
		o.out.Problems = append(o.out.Problems, fmt.Errorf("task %q: %w", t.row.Task, err))
		return
	}
	t.inFlight = true
	t.sent = t.row
	f.tasks = append(f.tasks, t)
	key := task.Key(o.cfg.Shard, t.row.Task)
	f.batch.Writes = append(f.batch.Writes, RowWrite{Key: key, Value: value, Revision: t.revision})
}

// addJobRows adds the final rows of jobs whose task rows are all committed.
func (o *Owner) addJobRows(f *inFlightBatch) {
	kept := o.dirtyJobs[:0]
	for _, j := range o.dirtyJobs {
		if j.ended != len(j.tasks) {
			j.dirty = false // a task's end was reverted; queueFinalRow queues the job again
			continue
		}
		if len(f.batch.Writes) >= o.cfg.MaxBatchRows || !j.allCommitted() {
			kept = append(kept, j)
			continue
		}
		if j.row.Finished {
			// An earlier batch, which a read showed as not committed, was
			// committed after that read and has written the final row.
			o.removeJob(j)
			continue
		}
		value, err := j.finalRow().Encode()
		if err != nil {
			o.out.Problems = append(o.out.Problems, fmt.Errorf("job %q: %w", j.row.Job.ID, err))
			continue
		}
		j.dirty = false
		f.jobs = append(f.jobs, j)
		key := task.JobKey(o.cfg.Shard, j.row.Job.ID)
		f.batch.Writes = append(f.batch.Writes, RowWrite{Key: key, Value: value, Revision: j.revision})
	}
	o.dirtyJobs = kept
}

// allCommitted reports whether the newest rows of all tasks are in the table.
func (j *jobState) allCommitted() bool {
	for _, t := range j.tasks {
		if t.row != t.committed {
			return false
		}
	}
	return true
}

// markDirty queues a task's newest row for the next batch. A row that is in
// flight is queued after its batch is resolved.
func (o *Owner) markDirty(t *taskState) {
	if t.job.row.Job.Urgent {
		o.urgent = true
	}
	if t.dirty || t.inFlight {
		return
	}
	t.dirty = true
	o.dirty = append(o.dirty, t)
}

// BatchDone applies the outcome of the batch with the given ID. After a commit,
// revision is the revision of the written rows. After a conflict, rows are the
// current rows of Batch.Keys. The owner sends no other batch before an
// uncertain batch is resolved. Outcomes of other batches than the one in flight,
// and of a batch that is already uncertain, are ignored.
func (o *Owner) BatchDone(now time.Duration, id uint64, outcome BatchOutcome, revision uint64, rows []TableRow) {
	f := o.inFlightBatch
	if f == nil || f.batch.ID != id || f.uncertain {
		return
	}
	switch outcome {
	case BatchCommitted:
		o.applyCommit(f, revision)
	case BatchConflict:
		o.resolve(now, f, rows)
	case BatchUnavailable:
		o.tableUnavailable = true
		o.retryAt = now + o.cfg.TableBackoff
		o.requeue(f)
	case BatchUncertain:
		o.tableUnavailable = true
		f.uncertain = true
	}
}

// ReadDone applies the rows that were read for the batch with the given ID. ok
// is false if the read was not answered.
func (o *Owner) ReadDone(now time.Duration, id uint64, rows []TableRow, ok bool) {
	f := o.inFlightBatch
	if f == nil || f.batch.ID != id || !f.reading {
		return
	}
	f.reading = false
	if !ok {
		o.retryAt = now + o.cfg.TableBackoff
		return
	}
	o.resolve(now, f, rows)
}

// resolve compares the rows in the table with those of the batch to find out
// whether the batch was committed. It then applies the commit, or queues the
// rows again and adopts the rows that have changed in the table since. rows
// starts with the fence row. If the fence row has changed, another owner has
// taken over.
func (o *Owner) resolve(now time.Duration, f *inFlightBatch, rows []TableRow) {
	if len(rows) != len(f.batch.Writes)+1 {
		o.retryAt = now + o.cfg.TableBackoff
		f.uncertain = true
		return
	}
	if rows[0].Revision != o.cfg.FenceRevision {
		o.lost = true
		return
	}
	rows = rows[1:]
	if revision, ok := f.batch.committedRevision(rows); ok {
		o.applyCommit(f, revision)
		return
	}
	o.tableUnavailable = false
	o.requeue(f)
	for i, r := range rows {
		if r.Revision == f.batch.Writes[i].Revision {
			continue
		}
		if i < len(f.tasks) {
			o.adoptRow(f.tasks[i], r)
		} else {
			o.Submit(r)
		}
	}
}

// committedRevision reports whether the rows are those that the batch wrote,
// and returns their revision.
func (b *Batch) committedRevision(rows []TableRow) (uint64, bool) {
	for i, w := range b.Writes {
		if rows[i].Revision == w.Revision || !bytes.Equal(rows[i].Value, w.Value) {
			return 0, false
		}
	}
	return rows[0].Revision, true
}

// applyCommit records that the batch is committed.
func (o *Owner) applyCommit(f *inFlightBatch, revision uint64) {
	o.inFlightBatch = nil
	o.tableUnavailable = false
	o.placeDue = true
	for _, t := range f.tasks {
		t.inFlight = false
		t.committed = t.sent
		t.revision = revision
		if t.row != t.committed {
			o.markDirty(t)
		}
		o.activate(t)
	}
	for _, j := range f.jobs {
		j.revision = revision
		j.row.Finished = true
		o.removeJob(j)
	}
}

// requeue puts the rows of a batch that was not committed at the front of the
// queue. They stay in one batch, because they may contain a gang.
func (o *Owner) requeue(f *inFlightBatch) {
	o.inFlightBatch = nil
	front := make([]*taskState, 0, len(f.tasks)+len(o.dirty))
	for _, t := range f.tasks {
		t.inFlight = false
		t.dirty = true
		t.gang = f.tasks
		front = append(front, t)
	}
	o.dirty = append(front, o.dirty...)
	for _, j := range f.jobs {
		o.queueFinalRow(j)
	}
}

// revertRow resets a task to its row in the table, but keeps a cancellation.
func (o *Owner) revertRow(t *taskState) {
	o.setRow(t, t.committed)
	if t.job.row.Cancel {
		o.cancelTask(t)
	}
}

// adoptRow replaces a task's state by its row in the table. The row differs
// from the owner's state when an earlier batch of this owner, which a read
// showed as not committed, was committed after that read. Placements that are
// not in the table were based on the outdated state and are reverted.
func (o *Owner) adoptRow(t *taskState, r TableRow) {
	row, err := task.Decode(r.Value)
	if err != nil {
		o.out.Problems = append(o.out.Problems, fmt.Errorf("row %q: %w", r.Key, err))
		return
	}
	t.committed = row
	t.revision = r.Revision
	for _, other := range o.dirty {
		if other != t && other.row.Attempt > other.committed.Attempt {
			o.revertRow(other)
		}
	}
	o.revertRow(t)
	// The stops inferred from expired run rights must be inferred again.
	for _, v := range o.vmOrder {
		v.expiryApplied = false
	}
}
