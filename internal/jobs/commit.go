package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// share is the part of a batch that is in one partition.
type share struct {
	partition string
	// changes are indices into the batch.
	changes []int
	expired []types.JobID
	// fence is the revision of the partition's fence row.
	fence uint64
}

// outcome is what became of a share.
type outcome struct {
	share *share
	// revision is that of the share's rows, 0 if it was not committed.
	revision uint64
	states   []workflow.StoredState
}

// shares splits a batch by partition.
func (t *term) shares(b *workflow.Batch) []*share {
	var all []*share
	find := func(id types.JobID) *share {
		name := partition(id)
		for _, s := range all {
			if s.partition == name {
				return s
			}
		}
		s := &share{partition: name, fence: t.fences[name]}
		all = append(all, s)
		return s
	}
	for i := range b.Changes {
		s := find(b.Changes[i].Job)
		s.changes = append(s.changes, i)
	}
	for _, id := range b.Expired {
		s := find(id)
		s.expired = append(s.expired, id)
	}
	return all
}

// commit makes a batch durable, however long that takes, unless the term ends
// before. Its shares are committed at the same time.
func (t *term) commit(ctx context.Context, b *workflow.Batch) {
	defer t.wg.Done()
	begin := time.Now()
	shares := t.shares(b)
	outcomes := make([]outcome, len(shares))
	var wg sync.WaitGroup
	for i, s := range shares {
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcomes[i] = t.commitShare(ctx, b, s)
		}()
	}
	wg.Wait()
	t.metrics.commit(begin, len(b.Changes))
	revisions := make([]uint64, len(b.Changes))
	var states []workflow.StoredState
	for _, o := range outcomes {
		if o.revision != 0 {
			t.fences[o.share.partition] = o.revision
		}
		for _, i := range o.share.changes {
			revisions[i] = o.revision
		}
		states = append(states, o.states...)
	}
	t.state.Tell(func(o *workflow.Owner) {
		o.ApplyCommit(clock.Now(), b, revisions, states)
		t.pump(o)
	})
}

// commitShare commits one share, and repeats that while its outcome is unknown.
func (t *term) commitShare(ctx context.Context, b *workflow.Batch, s *share) outcome {
	txn := t.transaction(b, s)
	for {
		callCtx, cancel := context.WithTimeout(ctx, batchTimeout)
		res, err := t.c.opts.Table.Commit(callCtx, txn)
		cancel()
		switch {
		case err == nil && res.Committed:
			return outcome{share: s, revision: res.Revision}
		case err == nil:
			return t.conflict(b, s, res.Rows)
		case ctx.Err() != nil:
			return outcome{share: s}
		}
		t.metrics.commitRetries.Inc(1)
		sleep(ctx, jitter(commitPause))
	}
}

// conflict finds out why a share was refused: an earlier attempt whose answer
// was lost has committed it, another owner has taken over, or callers have
// cancelled some of its jobs.
func (t *term) conflict(b *workflow.Batch, s *share, rows []platform.Row) outcome {
	fence, err := decode[fenceRow](rows[0].Key, rows[0].Value)
	switch {
	case err == nil && fence.Epoch == t.epoch && fence.Batch == b.Number:
		return outcome{share: s, revision: rows[0].Revision}
	case err != nil || rows[0].Revision != s.fence:
		t.log.Log(eventOwnerLost, err, telemetry.Fields{"why": "a fence row has changed", "fence_epoch": fence.Epoch, "partition": s.partition})
		t.end()
		return outcome{share: s}
	}
	o := outcome{share: s}
	for _, r := range rows[1:] {
		row, err := decode[stateRow](r.Key, r.Value)
		if err != nil {
			t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
			continue
		}
		o.states = append(o.states, workflow.StoredState{Job: jobOf(r.Key), State: row.State, Revision: r.Revision})
	}
	return o
}

// transaction returns the rows of a share. The fence row is its first condition
// and the first row read.
func (t *term) transaction(b *workflow.Batch, s *share) platform.Txn {
	fence := fenceKey(s.partition)
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: fence, Revision: s.fence}},
		Writes:     []platform.Write{{Key: fence, Value: encode(fenceRow{Epoch: t.epoch, Batch: b.Number})}},
		Reads:      []string{fence},
	}
	for _, i := range s.changes {
		c := &b.Changes[i]
		if c.State != "" {
			key := stateKey(c.Job)
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Revision: c.StateRevision})
			txn.Reads = append(txn.Reads, key)
			txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: encode(stateRow{Queue: c.Queue, State: c.State, Timed: c.Timed})})
		}
		if c.Progress != nil {
			txn.Writes = append(txn.Writes, platform.Write{Key: progressKey(c.Job), Value: encode(c.Progress)})
		}
		if c.Deletable {
			txn.Writes = append(txn.Writes, platform.Write{Key: jobKey(c.Job), Delete: true}, platform.Write{Key: progressKey(c.Job), Delete: true})
		}
	}
	for _, id := range s.expired {
		txn.Writes = append(txn.Writes, platform.Write{Key: stateKey(id), Delete: true})
	}
	return txn
}
