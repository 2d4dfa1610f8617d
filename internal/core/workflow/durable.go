package workflow

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// BatchUrgent reports whether a batch should be committed at once, because a
// job has reached a final state that callers wait for.
func (o *Owner) BatchUrgent() bool {
	if o.inFlight != nil {
		return false
	}
	for _, j := range o.dirty {
		if j.outcome != "" && !j.outcomeStored {
			return true
		}
	}
	return false
}

// Batch returns the next changes to commit, or nil if there are none or a batch
// is in flight. The caller reports the outcome with ApplyCommit.
func (o *Owner) Batch(now time.Duration) *Batch {
	if o.inFlight != nil {
		return nil
	}
	o.now = now
	b := &Batch{}
	rest := o.dirty[:0:0]
	for _, j := range o.dirty {
		if len(b.Changes) >= o.cfg.MaxChanges {
			rest = append(rest, j)
			continue
		}
		j.dirty = false
		if c, ok := o.change(j); ok {
			b.Changes = append(b.Changes, c)
			b.jobs = append(b.jobs, j)
		}
	}
	o.dirty = rest
	// A job left for a later batch may hold an end that is not stored yet, so
	// ends are acknowledged only by a batch with all changes.
	if len(rest) == 0 {
		b.ackMarks = o.ackMarks()
	}
	o.expire()
	n := min(len(o.expired), o.cfg.MaxChanges)
	b.Expired, o.expired = o.expired[:n:n], o.expired[n:]
	if len(b.Changes) == 0 && len(b.Expired) == 0 {
		o.acknowledge(b.ackMarks)
		return nil
	}
	o.batches++
	b.Number = o.batches
	o.inFlight = b
	return b
}

// change returns the next durable change of a job. The second result is false
// if there is nothing to store yet. A job with a final state is deleted once
// none of its tasks is live.
func (o *Owner) change(j *job) (Change, bool) {
	c := Change{Job: j.spec.ID, Queue: j.spec.Queue, Timed: j.spec.Occurrences > 0}
	switch {
	case j.outcome != "" && !j.outcomeStored:
		c.State, c.StateRevision = j.outcome, j.revision
	case j.outcome == "" && j.begun && j.storedState == JobQueued:
		c.State, c.StateRevision = JobRunning, j.revision
	}
	if j.outcome == "" {
		p := j.progress()
		c.Progress = &p
		return c, true
	}
	// The rows of the job stay while tasks are live, so that the next owner
	// stops them.
	c.Deletable = o.deletable(j)
	return c, c.Deletable || c.State != ""
}

func (o *Owner) ackMarks() map[*vm]ackMark {
	ackMarks := make(map[*vm]ackMark)
	for _, v := range o.vmOrder {
		if v.endSeen > v.endDurable {
			ackMarks[v] = ackMark{born: v.boot.Born, upTo: v.endSeen}
		}
	}
	return ackMarks
}

func (o *Owner) acknowledge(marks map[*vm]ackMark) {
	for v, m := range marks {
		if v.boot.Born == m.born {
			v.endDurable = max(v.endDurable, m.upTo)
		}
	}
}

// StoredState is the state row of a job as found in the store, with the
// revision of that row.
type StoredState struct {
	Job      types.JobID
	State    JobState
	Revision uint64
}

// ApplyCommit applies the outcome of a batch. revisions has one entry for each
// change: the new revision of its rows, or 0 if it was not committed; that job
// is added to the next batch. states holds the current state rows of changes
// whose required revision did not match. Ends are acknowledged only if the
// whole batch is durable.
func (o *Owner) ApplyCommit(now time.Duration, b *Batch, revisions []uint64, states []StoredState) {
	if b != o.inFlight {
		return
	}
	o.now = now
	o.inFlight = nil
	allDurable := true
	for i, j := range b.jobs {
		if revisions[i] == 0 {
			allDurable = false
			o.markDirty(j)
			continue
		}
		o.applyCommitted(j, &b.Changes[i], revisions[i])
	}
	if allDurable {
		o.acknowledge(b.ackMarks)
	}
	for _, s := range states {
		o.applyStoredState(s)
	}
}

// applyCommitted records the stored state, and drops a job whose rows are
// deleted.
func (o *Owner) applyCommitted(j *job, c *Change, revision uint64) {
	if c.State != "" {
		j.revision = revision
		j.storedState = c.State
		j.outcomeStored = c.State.Final()
	}
	if c.Deletable {
		delete(o.jobs, j.spec.ID)
		o.finished[j.spec.ID] = true
		o.retained = append(o.retained, retainedState{j.spec.ID, o.now + o.cfg.StateRetention})
	} else if j.outcome != "" && j.live == 0 {
		o.markDirty(j)
	}
}

// applyStoredState applies a stored state that callers have changed.
func (o *Owner) applyStoredState(s StoredState) {
	j := o.jobs[s.Job]
	if j == nil || s.Revision == j.revision {
		return
	}
	if s.State == JobCancelled {
		// The stored cancellation replaces an outcome that was not committed.
		// Clear it, since Cancel ignores a job with the outcome JobCancelled.
		j.outcome, j.outcomeStored = "", false
		o.Cancel(o.now, s.Job, s.Revision)
		return
	}
	j.revision, j.storedState = s.Revision, s.State
}

// ScheduleStateDeletion schedules the deletion of a job's state for the end of
// the retention period, Config.StateRetention. It is called for jobs that were
// already finished when this owner's term began.
func (o *Owner) ScheduleStateDeletion(now time.Duration, id types.JobID) {
	o.retained = append(o.retained, retainedState{id, now + o.cfg.StateRetention})
}

// expire collects the finished jobs whose retention period has ended.
func (o *Owner) expire() {
	n := 0
	for n < len(o.retained) && o.now >= o.retained[n].until {
		o.expired = append(o.expired, o.retained[n].job)
		delete(o.finished, o.retained[n].job)
		n++
	}
	o.retained = o.retained[n:]
}
