package jobs

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// delayedTable stores only the revisions of rows. Every write deletes its row. The
// table can leave transactions unanswered and carry them out later if their conditions
// still hold.
type delayedTable struct {
	platform.Table
	revisions map[string]uint64
	// unanswered is how many of the next transactions are delayed without an
	// answer.
	unanswered int
	delayed    []platform.Txn
}

func (l *delayedTable) Commit(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if l.unanswered > 0 {
		l.unanswered--
		l.delayed = append(l.delayed, txn)
		return platform.TxnResult{}, platform.ErrUncertain
	}
	for _, c := range txn.Conditions {
		if l.revisions[c.Key] != c.Revision {
			return platform.TxnResult{Rows: []platform.Row{{Key: txn.Reads[0], Revision: l.revisions[txn.Reads[0]]}}}, nil
		}
	}
	for _, w := range txn.Writes {
		delete(l.revisions, w.Key)
	}
	return platform.TxnResult{Committed: true, Revision: 100}, nil
}

func (l *delayedTable) executeDelayed(ctx context.Context) {
	for _, txn := range l.delayed {
		_, _ = l.Commit(ctx, txn) // the answer is lost
	}
}

func newTestLink(table platform.Table) *link {
	l := &link{t: &term{c: &Candidate{opts: CandidateOptions{Table: table}}}, vm: "vm"}
	l.rowRevision.Store(5)
	l.t.leaseRevision.Store(9)
	return l
}

// Guards against a deletion that the table carries out late, after the agent has
// registered again: the next owner would not know the VM, and would start again the
// tasks that run there.
func TestLateDeletionKeepsNewRegistration(t *testing.T) {
	table := &delayedTable{revisions: map[string]uint64{"agent/vm": 5, lease.Key(jobsShard): 9}, unanswered: 1}
	l := newTestLink(table)
	table.revisions["agent/vm"] = 7 // registered again while the deletion is delayed
	if l.deleteRow(t.Context(), 5) {
		t.Error("the deletion succeeded although the agent has registered again")
	}
	table.executeDelayed(t.Context())
	if table.revisions["agent/vm"] != 7 {
		t.Error("a late deletion removed a newer registration")
	}
	if l.rowRevision.Load() != 7 {
		t.Errorf("the link has row revision %d, want 7", l.rowRevision.Load())
	}
}

// Guards against a late deletion by an owner that has lost the lease: the next owner
// uses the same row to reach the agent.
func TestLateDeletionByEarlierOwnerHasNoEffect(t *testing.T) {
	table := &delayedTable{revisions: map[string]uint64{"agent/vm": 5, lease.Key(jobsShard): 9}, unanswered: 1}
	ctx, cancel := context.WithCancel(t.Context())
	l := newTestLink(&cancelTable{delayedTable: table, cancel: cancel})
	if l.deleteRow(ctx, 5) {
		t.Error("a deletion without an answer was reported as done")
	}
	table.revisions[lease.Key(jobsShard)] = 12 // taken over
	table.executeDelayed(t.Context())
	if table.revisions["agent/vm"] != 5 {
		t.Error("the late deletion of an earlier owner removed the row")
	}
}

// cancelTable cancels the context of its caller at the first transaction.
type cancelTable struct {
	*delayedTable
	cancel context.CancelFunc
}

func (c *cancelTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	c.cancel()
	return c.delayedTable.Commit(ctx, txn)
}

// Guards against an agent that is never removed because the answer to its deletion was
// lost although the table carried the deletion out.
func TestDeletionWithLostAnswerIsDetected(t *testing.T) {
	table := &delayedTable{revisions: map[string]uint64{lease.Key(jobsShard): 9}, unanswered: 1}
	if !newTestLink(table).deleteRow(t.Context(), 5) {
		t.Error("the row is deleted, but deleteRow reports that it is not")
	}
}

// slowAnswerTable carries a transaction out and calls a function before it answers.
type slowAnswerTable struct {
	*delayedTable
	beforeAnswer func()
}

func (s *slowAnswerTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	res, err := s.delayedTable.Commit(ctx, txn)
	s.beforeAnswer()
	return res, err
}

// Guards against a VM without a link: its agent registers again while the answer to the
// deletion of its row is under way, and the orders for it are dropped from then on.
func TestAgentThatRegistersDuringItsRemovalKeepsALink(t *testing.T) {
	for name, address := range map[string]string{"other address": "127.0.0.1:2", "same address": "127.0.0.1:1"} {
		t.Run(name, func(t *testing.T) {
			system := actors.NewSystem()
			defer system.Shutdown()
			table := &slowAnswerTable{delayedTable: &delayedTable{revisions: map[string]uint64{"agent/vm": 5, lease.Key(jobsShard): 9}}}
			tm := &term{
				c: &Candidate{opts: CandidateOptions{System: system, Table: table, Agents: http.DefaultClient}}, log: telemetry.Discard(), epoch: 1,
				links: make(map[types.VMID]*link),
			}
			tm.ctx, tm.end = context.WithCancel(t.Context())
			tm.validity.set(clock.Now() + time.Hour)
			tm.leaseRevision.Store(9)
			core := workflow.New(workflow.Config{Epoch: 1, LeaseDuration: time.Minute, WorkerMaxLease: time.Minute, OrderRetry: orderRetry, StateRetention: time.Hour, MaxChanges: 18}, clock.Now())
			if err := tm.spawn(core); err != nil {
				t.Fatal(err)
			}
			defer tm.finish()
			ctx, cancel := context.WithCancel(tm.ctx)
			old := &link{t: tm, vm: "vm", row: agentRow{Address: "127.0.0.1:1"}, cancel: cancel, sendCtx: ctx}
			old.rowRevision.Store(5)
			tm.links["vm"] = old
			table.beforeAnswer = func() {
				tm.connect(tm.ctx, map[types.VMID]agentRow{"vm": {Address: address, revision: 101}})
			}
			ended := old.removeVM(ctx, 5)
			tm.linksMu.Lock()
			now := tm.links["vm"]
			tm.linksMu.Unlock()
			if now == nil || now == old && ended {
				t.Errorf("link %p, the old one %p has ended: %t; want a link that goes on", now, old, ended)
			}
		})
	}
}
