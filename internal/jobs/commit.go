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

// batchPart holds the changes of a batch that are in one partition.
type batchPart struct {
	partition string
	// changes are indices into the Changes of the batch.
	changes []int
	// expired are the jobs whose state rows are deleted.
	expired []types.JobID
	// fence is the last known revision of the partition's fence row.
	fence uint64
}

// outcome is the result of committing a batchPart.
type outcome struct {
	batchPart *batchPart
	// revision is the revision of the written rows; 0 if the part was not committed.
	revision uint64
	// states are the stored states of the part's jobs after a conflict.
	states []workflow.StoredState
}

// batchParts splits a batch by partition.
func (t *term) batchParts(b *workflow.Batch) []*batchPart {
	var parts []*batchPart
	find := func(id types.JobID) *batchPart {
		name := partition(id)
		for _, p := range parts {
			if p.partition == name {
				return p
			}
		}
		p := &batchPart{partition: name, fence: t.fences[name]}
		parts = append(parts, p)
		return p
	}
	for i := range b.Changes {
		p := find(b.Changes[i].Job)
		p.changes = append(p.changes, i)
	}
	for _, id := range b.Expired {
		p := find(id)
		p.expired = append(p.expired, id)
	}
	return parts
}

// commit stores a batch and retries without a time limit until the term ends. The
// parts of the batch are committed concurrently.
func (t *term) commit(ctx context.Context, b *workflow.Batch) {
	defer t.wg.Done()
	begin := time.Now()
	batchParts := t.batchParts(b)
	outcomes := make([]outcome, len(batchParts))
	var wg sync.WaitGroup
	for i, p := range batchParts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcomes[i] = t.commitPart(ctx, b, p)
		}()
	}
	wg.Wait()
	t.metrics.commit(begin, len(b.Changes))
	revisions := make([]uint64, len(b.Changes))
	var states []workflow.StoredState
	for _, o := range outcomes {
		if o.revision != 0 {
			t.fences[o.batchPart.partition] = o.revision
		}
		for _, i := range o.batchPart.changes {
			revisions[i] = o.revision
		}
		states = append(states, o.states...)
	}
	t.coreActor.Enqueue(func(o *workflow.Owner) {
		o.ApplyCommit(clock.Now(), b, revisions, states)
		t.executeOutput(o)
	})
}

// commitPart commits one part. It retries after every error until the term ends.
func (t *term) commitPart(ctx context.Context, b *workflow.Batch, p *batchPart) outcome {
	txn := t.buildTxn(b, p)
	for {
		callCtx, cancel := context.WithTimeout(ctx, batchTimeout)
		res, err := t.c.opts.Table.Commit(callCtx, txn)
		cancel()
		switch {
		case err == nil && res.Committed:
			return outcome{batchPart: p, revision: res.Revision}
		case err == nil:
			return t.resolveConflict(b, p, res.Rows)
		case ctx.Err() != nil:
			return outcome{batchPart: p}
		}
		t.metrics.commitRetries.Inc(1)
		sleep(ctx, jitter(commitRetryDelay))
	}
}

// resolveConflict determines from the rows read why the commit of a part failed: an
// earlier attempt whose answer was lost had committed it, another owner has taken
// over, or callers have cancelled some of its jobs.
func (t *term) resolveConflict(b *workflow.Batch, p *batchPart, rows []platform.Row) outcome {
	fence, err := decode[fenceRow](rows[0].Key, rows[0].Value)
	switch {
	case err == nil && fence.Epoch == t.epoch && fence.Batch == b.Number:
		return outcome{batchPart: p, revision: rows[0].Revision}
	case err != nil || rows[0].Revision != p.fence:
		t.log.Log(eventOwnershipLost, err, telemetry.Fields{"why": "a fence row has changed or is unreadable", "fence_epoch": fence.Epoch, "partition": p.partition})
		t.end()
		return outcome{batchPart: p}
	}
	o := outcome{batchPart: p}
	for _, r := range rows[1:] {
		row, err := decode[stateRow](r.Key, r.Value)
		if err != nil {
			t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
			continue
		}
		o.states = append(o.states, workflow.StoredState{Job: idFromKey(r.Key), State: row.State, Revision: r.Revision})
	}
	return o
}

// buildTxn returns the transaction that stores a part. The fence row is its first
// condition and the first row that it reads.
func (t *term) buildTxn(b *workflow.Batch, p *batchPart) platform.Txn {
	fence := fenceKey(p.partition)
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: fence, Revision: p.fence}},
		Writes:     []platform.Write{{Key: fence, Value: encode(fenceRow{Epoch: t.epoch, Batch: b.Number})}},
		Reads:      []string{fence},
	}
	for _, i := range p.changes {
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
	for _, id := range p.expired {
		txn.Writes = append(txn.Writes, platform.Write{Key: stateKey(id), Delete: true})
	}
	return txn
}
