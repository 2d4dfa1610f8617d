package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

var eventBatchRejected = telemetry.Define(555, logrus.ErrorLevel, "batch rejected",
	"The table refuses a transaction of the owner for good, which is repeated until the term ends. Until then nothing else of the owner's jobs is stored. The error names the row or the limit; cancel the jobs that are named, and report it. Fields: partition, batch, jobs.")

// outcome is the result of committing a batchPart.
type outcome struct {
	batchPart *batchPart
	// revision is the revision of the written rows; 0 if the part was not committed.
	revision uint64
	// states are the stored states of the part's jobs after a conflict.
	states []workflow.StoredState
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
			if o.revision != 0 {
				t.progressRows.record(&b.Changes[i], o.batchPart.progressRows[i])
			}
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
	rejected := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, batchTimeout)
		res, err := t.c.opts.Table.Commit(callCtx, p.txn)
		cancel()
		switch {
		case err == nil && res.Committed:
			return outcome{batchPart: p, revision: res.Revision}
		case err == nil:
			return t.resolveConflict(b, p, res.Rows)
		case ctx.Err() != nil:
			return outcome{batchPart: p}
		case errors.Is(err, platform.ErrRejected) && !rejected:
			rejected = true
			t.log.Log(eventBatchRejected, err, telemetry.Fields{"partition": p.partition, "batch": b.Number, "jobs": p.jobs(b)})
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
