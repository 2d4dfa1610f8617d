package jobs

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// slowLists is a change log whose lists take a fixed time.
type slowLists struct {
	platform.ChangeLog
	listTime time.Duration
}

func (s *slowLists) List(ctx context.Context, _ string) (platform.Snapshot, error) {
	sleep(ctx, s.listTime)
	return platform.Snapshot{}, ctx.Err()
}

// Guards against a takeover that takes longer than the leases of workers while the
// table is slow: in a recorded run the rows were listed one prefix after the other in
// 2.9 s, and all tasks ended with their leases. At 250 ms for a list the recovery must
// fit into 1.5 s, which is six lists.
func TestRecoveryFromSlowTableIsFast(t *testing.T) {
	t.Parallel()
	// Only the lists take time in the bubble, however busy the machine is.
	synctest.Test(t, func(t *testing.T) {
		const listTime = 250 * time.Millisecond
		c := &Candidate{opts: CandidateOptions{Changes: &slowLists{listTime: listTime}}}
		begin := time.Now()
		if _, ok := c.readRows(t.Context()); !ok {
			t.Fatal("the rows were not read")
		}
		took := time.Since(begin)
		t.Logf("reading the rows took %v", took)
		if took > 6*listTime {
			t.Errorf("reading the rows took %v, want at most %v", took, 6*listTime)
		}
	})
}

// leaseTable is a table with one row, whose writes take a fixed time. It records the
// timeout of the last call.
type leaseTable struct {
	TableWithChanges
	writeTime time.Duration
	mu        sync.Mutex
	row       platform.Row
	timeout   time.Duration
}

func (l *leaseTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if end, ok := ctx.Deadline(); ok {
		l.mu.Lock()
		l.timeout = time.Until(end)
		l.mu.Unlock()
	}
	done := make(chan platform.TxnResult, 1)
	// The write takes effect even if its caller has given up.
	time.AfterFunc(l.writeTime, func() { done <- l.apply(txn) })
	select {
	case res := <-done:
		return res, nil
	case <-ctx.Done():
		return platform.TxnResult{}, errors.Join(platform.ErrUncertain, ctx.Err())
	}
}

func (l *leaseTable) apply(txn platform.Txn) platform.TxnResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if txn.Conditions[0].Revision != l.row.Revision {
		return platform.TxnResult{Rows: []platform.Row{l.row}}
	}
	l.row.Value, l.row.Revision = txn.Writes[0].Value, l.row.Revision+1
	return platform.TxnResult{Committed: true, Revision: l.row.Revision}
}

func (l *leaseTable) Get(context.Context, ...string) ([]platform.Row, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []platform.Row{l.row}, nil
}

// Guards against a takeover that is given up before a slow table can answer: the
// timeout was learned from writes to one partition, and a takeover writes to all.
func TestTakeoverWaitsLongerThanSmallWrites(t *testing.T) {
	t.Parallel()
	table := &leaseTable{writeTime: 5 * time.Millisecond}
	watched := NewWatchedTable(table, telemetry.Nop())
	for range 20 {
		table.row = platform.Row{}
		if _, err := watched.Commit(t.Context(), platform.Txn{Conditions: []platform.Condition{{}}, Writes: []platform.Write{{}}}); err != nil {
			t.Fatal(err)
		}
	}
	table.row = platform.Row{Revision: 7} // the takeover conflicts, so that no term begins
	c := NewCandidate(CandidateOptions{VM: "a", Table: watched, Takeovers: table, Telemetry: &telemetry.Telemetry{Log: telemetry.Discard()}})
	c.takeOver(t.Context(), lease.Takeover{Row: lease.Row{Shard: jobsShard, Owner: "a", Epoch: 1}})
	if table.timeout < takeoverTimeout-100*time.Millisecond {
		t.Errorf("the timeout of the takeover is %v, want %v", table.timeout, takeoverTimeout)
	}
}

// Guards against a release that has no effect: the end of the term cancelled a renewal
// in flight, whose revision the release needs, and others waited for the TTL.
func TestReleaseFollowsRenewalInFlight(t *testing.T) {
	t.Parallel()
	table := &leaseTable{writeTime: 150 * time.Millisecond, row: platform.Row{Revision: 1}}
	c := &Candidate{opts: CandidateOptions{Table: table, Telemetry: &telemetry.Telemetry{Log: telemetry.Discard()}}}
	row := lease.Row{Shard: jobsShard, Owner: "a", Incarnation: 3, Epoch: 2}
	term := &term{c: c, log: telemetry.Discard(), holder: lease.NewHolder(leaseConfig(), row, 1, clock.Now()-leaseRenewalInterval)}
	ctx, end := context.WithCancel(t.Context())
	term.ctx, term.end = ctx, end
	term.wg.Add(1)
	go term.maintainLease(ctx)
	time.Sleep(table.writeTime / 3) // the renewal is in flight
	term.finish()
	term.release()
	got, err := lease.Decode(table.row.Value)
	if err != nil || got.Owner != "" {
		t.Errorf("the lease after the release: got %+v, %v, want no owner", got, err)
	}
}
