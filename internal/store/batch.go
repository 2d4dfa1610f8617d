package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// errLaneUnknown is the cause of an uncertain error that no read of the lane
// can resolve.
var errLaneUnknown = errors.New("the lane was taken over more than once or deleted")

// run sends the batch until every operation has an outcome or all callers have
// given up. A batch that all callers have given up on may still write its mark
// to the lane; the next batch of the lane detects this by its own condition on
// the lane's revision.
func (b *batch) run() {
	b.mark = b.lane.newMark()
	for len(b.ops) > 0 {
		if b.ctx.Err() != nil {
			return
		}
		if wait := b.lane.store.gate.outageWait(); b.lane.class == Claim && wait > 0 {
			b.refuseClaims(wait)
		}
		if len(b.ops) == 0 {
			return
		}
		if b.lane.loaded && !b.readBack {
			b.attempt()
			continue
		}
		b.resolve()
	}
}

// resolve reads the lane and, if the batch is uncertain, determines from it
// whether the transaction was committed.
func (b *batch) resolve() {
	st, rows, err := b.lane.read(b.ctx, mergeOperations(b.lane.key, b.ops).Reads[1:])
	switch {
	case err != nil && transient(err):
		b.recordFailure(err)
	case err != nil:
		b.fail(err)
	case !b.uncertain:
		b.lane.setState(st)
	default:
		b.lane.count(resultReadBack)
		b.readBack = false
		b.applyVerdict(st, rowsByKey(rows))
	}
}

// applyVerdict classifies an uncertain batch by the lane state that was read and
// updates the batch accordingly.
func (b *batch) applyVerdict(st laneState, rows map[string]platform.Row) {
	v, revision := classify(b.mark, b.lane.state.revision, st)
	b.lane.setState(st)
	switch v {
	case verdictPending:
	case verdictCommitted:
		b.finishCommitted(revision, rows)
	case verdictNotCommitted:
		b.markNotCommitted()
	case verdictUnknown:
		b.lane.store.log.Log(eventUnresolved, nil, telemetry.Fields{"lane": b.lane.key})
		b.finishUncertain(errLaneUnknown)
	}
}

// attempt sends the batch once.
func (b *batch) attempt() {
	l := b.lane
	t, err := l.store.gate.acquire(b.ctx, accessWrite, l.class)
	if err != nil || !b.open() {
		l.store.gate.release(t)
		return
	}
	txn, err := b.transaction(b.mark, b.ops)
	if err != nil {
		l.store.gate.release(t)
		b.fail(err)
		return
	}
	res, err := l.send(t, txn)
	switch {
	case err == nil && res.Committed:
		l.state = laneState{revision: res.Revision, value: l.state.next(b.mark)}
		b.finishCommitted(res.Revision, rowsByKey(res.Rows))
	case err == nil:
		b.handleRejected(res)
	case errors.Is(err, platform.ErrUnavailable):
		b.recordFailure(err)
	case transient(err):
		b.uncertain = true
		b.readBack = !l.store.opts.noReadBack
		b.recordFailure(err)
		if l.store.opts.noReadBack {
			b.assumeFailed()
		}
	case b.uncertain:
		if b.seal() {
			b.finishError(err)
		}
	default:
		b.finishError(err)
	}
}

// transaction returns the operations as one transaction on the lane.
func (b *batch) transaction(m mark, ops []*operation) (platform.Txn, error) {
	l := b.lane
	value, err := json.Marshal(l.state.next(m))
	if err != nil {
		return platform.Txn{}, err
	}
	txn := mergeOperations(l.key, ops)
	txn.Conditions = append(txn.Conditions, platform.Condition{Key: l.key, Revision: l.state.revision})
	txn.Writes = append(txn.Writes, platform.Write{Key: l.key, Value: value})
	return txn, nil
}

// handleRejected handles a transaction that the table did not commit because a
// condition did not hold. It finishes the operations that conflict and keeps the
// others for the next attempt.
func (b *batch) handleRejected(res platform.TxnResult) {
	rows := rowsByKey(res.Rows)
	st, err := parseLane(rows[b.lane.key])
	if err != nil {
		b.fail(err)
		return
	}
	if st.revision != b.lane.state.revision {
		if b.uncertain {
			b.applyVerdict(st, rows)
		} else {
			b.lane.setState(st)
		}
		return
	}
	if b.uncertain && !b.seal() {
		return
	}
	conflicting, rest := splitConflicting(b.ops, rows)
	if len(conflicting) == 0 {
		b.finishError(fmt.Errorf("table did not commit a transaction although all its conditions hold"))
		return
	}
	for _, o := range conflicting {
		b.finish(o, outcome{res: platform.TxnResult{Rows: readsOf(o, rows)}}, resultConflict)
	}
	b.ops = rest
	b.mark = b.lane.newMark()
}

// seal writes a new mark to the lane, so that no copy of an uncertain
// transaction can be committed any more. It returns false if the batch got its
// outcome or its callers have given up.
func (b *batch) seal() bool {
	l := b.lane
	m := l.newMark()
	for b.uncertain {
		t, err := l.store.gate.acquire(b.ctx, accessWrite, l.class)
		if err != nil {
			return false
		}
		txn, err := b.transaction(m, nil)
		if err != nil {
			l.store.gate.release(t)
			b.finishUncertain(err)
			return false
		}
		res, err := l.send(t, txn)
		switch {
		case err != nil && transient(err):
			b.recordFailure(err)
		case err != nil:
			b.finishUncertain(err)
			return false
		case res.Committed:
			l.count(resultSealed)
			l.state = laneState{revision: res.Revision, value: l.state.next(m)}
			b.markNotCommitted()
		default:
			b.handleRejectedSeal(res)
		}
	}
	return len(b.ops) > 0
}

func (b *batch) handleRejectedSeal(res platform.TxnResult) {
	rows := rowsByKey(res.Rows)
	st, err := parseLane(rows[b.lane.key])
	if err != nil {
		b.finishUncertain(err)
		b.uncertain = false
		return
	}
	b.applyVerdict(st, rows)
	if len(b.ops) == 0 {
		b.uncertain = false
	}
}

// open marks the outcome of the operations as open, because they are about to be
// sent. It first drops the operations whose callers have given up. While the
// batch is uncertain, the set of operations does not change. It returns false if
// nothing is left to send.
func (b *batch) open() bool {
	b.lane.mu.Lock()
	defer b.lane.mu.Unlock()
	if !b.uncertain {
		var remaining []*operation
		for _, o := range b.ops {
			if !o.abandoned {
				remaining = append(remaining, o)
			}
		}
		b.ops = remaining
	}
	for _, o := range b.ops {
		o.open = true
	}
	return len(b.ops) > 0
}

// recordFailure records the failure of an attempt for callers that give up.
// Unless the batch is uncertain, none of its operations can be committed.
func (b *batch) recordFailure(err error) {
	b.lane.count(resultRetried)
	b.lane.mu.Lock()
	defer b.lane.mu.Unlock()
	for _, o := range b.ops {
		o.lastErr = err
		o.open = b.uncertain
	}
}

// markNotCommitted records that no copy of the batch can be committed.
func (b *batch) markNotCommitted() {
	b.uncertain = false
	b.lane.mu.Lock()
	defer b.lane.mu.Unlock()
	for _, o := range b.ops {
		o.open = false
	}
}

// assumeFailed treats a lost answer as a conflict, as a client without
// read-back would. Only TestNotLinearizableWithoutReadBack enables it.
func (b *batch) assumeFailed() {
	b.lane.loaded = false
	for _, o := range b.ops {
		b.finish(o, outcome{}, resultConflict)
	}
	b.ops = nil
}

func (b *batch) finishCommitted(revision uint64, rows map[string]platform.Row) {
	for _, o := range b.ops {
		res := platform.TxnResult{Committed: true, Rows: readsOf(o, rows)}
		if len(o.txn.Writes) > 0 {
			res.Revision = revision
		}
		b.finish(o, outcome{res: res}, resultDone)
	}
	b.ops = nil
}

func (b *batch) finishError(err error) {
	for _, o := range b.ops {
		b.finish(o, outcome{err: errRefused(err)}, resultRefused)
	}
	b.ops = nil
}

// refuseClaims refuses the claims that wait during an outage. A batch that may
// have been committed is not refused.
func (b *batch) refuseClaims(wait time.Duration) {
	l := b.lane
	l.mu.Lock()
	queue := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, o := range queue {
		b.finish(o, outcome{err: errOutage(wait)}, resultUnavailable)
	}
	if b.uncertain {
		return
	}
	for _, o := range b.ops {
		b.finish(o, outcome{err: errOutage(wait)}, resultUnavailable)
	}
	b.ops = nil
}

// fail ends the batch with an error that a retry cannot resolve.
func (b *batch) fail(err error) {
	if b.uncertain {
		b.finishUncertain(err)
		return
	}
	b.finishError(err)
}

func (b *batch) finishUncertain(err error) {
	for _, o := range b.ops {
		b.finish(o, outcome{err: errUncertain(err)}, resultUncertain)
	}
	b.ops = nil
}

// finish passes an operation's outcome to its caller, unless the caller has
// given up.
func (b *batch) finish(o *operation, out outcome, r result) {
	b.lane.mu.Lock()
	defer b.lane.mu.Unlock()
	if o.abandoned {
		return
	}
	b.lane.count(r)
	if o.batch != nil {
		o.batch.waiting--
		o.batch = nil
	}
	o.done <- out
}
