package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// newTestCandidate returns a candidate at a table that no goroutine runs.
func newTestCandidate(t *testing.T, table *entryTable, changes platform.ChangeLog, stopTimeout time.Duration) *Candidate {
	system := actors.NewSystem()
	t.Cleanup(system.Shutdown)
	return NewCandidate(CandidateOptions{
		VM: "b", Incarnation: 1, Cores: 1, Table: table, Takeovers: table, Changes: changes, Telemetry: telemetry.Nop(), System: system, StopTimeout: stopTimeout,
		Queues: func() (map[string]workflow.Queue, bool) { return nil, true },
	})
}

// Guards against a successor that discards the rows it has read because the answer to
// its last write of the reservation was lost when the owner released the lease to it.
func TestSuccessorWithoutAnswerUsesPreparedRows(t *testing.T) {
	t.Parallel()
	bestOf(t, func(t *testing.T) error {
		m := newMemoryTable()
		a := startEntry(t, m, "a", 1, time.Millisecond)
		a.await(t, 542)
		b := startEntry(t, m, "b", 1, time.Millisecond)
		var ready bool
		var once sync.Once
		lost := make(chan struct{})
		b.table.intercept(func(txn platform.Txn) (bool, error) {
			row, err := handover.Decode(txn.Writes[0].Value)
			if txn.Writes[0].Key != handover.Key || err != nil || !row.Ready {
				return false, nil
			}
			if !ready {
				ready = true
				return false, nil
			}
			b.table.commit(txn)
			once.Do(func() { close(lost) })
			return true, platform.ErrUncertain
		})
		a.table.intercept(func(txn platform.Txn) (bool, error) {
			if releaseOf(txn) {
				<-lost
				time.Sleep(20 * time.Millisecond) // less than the pause before b reads its reservation
			}
			return false, nil
		})
		time.Sleep(leasePollInterval)
		a.stop()
		if l := b.await(t, 542); l.Data["prepared"] != true {
			return errors.New("the successor listed all rows again")
		}
		return nil
	})
}

// Guards against a process that becomes the owner after it was asked to stop: the jobs
// would wait for another handover.
func TestStoppedCandidateDoesNotTakeOver(t *testing.T) {
	t.Parallel()
	m := newMemoryTable()
	table := &entryTable{memoryTable: m, cut: make(chan struct{})}
	c := newTestCandidate(t, table, table, 0)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	c.takeOver(ctx, lease.Takeover{Row: lease.Row{Shard: jobsShard, Owner: "b", Incarnation: 1, Epoch: 1}})
	if rows, err := table.Get(t.Context(), lease.Key(jobsShard)); err != nil || rows[0].Revision != 0 {
		t.Errorf("the lease was written at revision %d, %v", rows[0].Revision, err)
	}
}

// Guards against a candidate that returns later than StopTimeout after its stop, because
// it measures the time from the answer of a takeover that was under way.
func TestStopDuringTakeoverReturnsInTime(t *testing.T) {
	t.Parallel()
	const stopTimeout, takeoverTime = 1500 * time.Millisecond, time.Second
	bestOf(t, func(t *testing.T) error {
		table := &entryTable{memoryTable: newMemoryTable(), cut: make(chan struct{})}
		began := make(chan struct{})
		table.intercept(func(txn platform.Txn) (bool, error) {
			if len(txn.Writes) > partitions {
				close(began)
				time.Sleep(takeoverTime)
			}
			return false, nil
		})
		c := newTestCandidate(t, table, table, stopTimeout)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.Run(ctx)
		}()
		<-began
		stopped := time.Now()
		stop()
		<-done
		if took := time.Since(stopped); took > stopTimeout+takeoverTime/2 {
			return fmt.Errorf("the candidate returned %v after its stop", took)
		}
		return nil
	})
}

// countedChanges counts the waits for changes.
type countedChanges struct {
	*entryTable
	calls atomic.Int64
}

func (c *countedChanges) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.ChangedRow, uint64, error) {
	c.calls.Add(1)
	return c.entryTable.Changes(ctx, prefix, after, wait)
}

// Guards against a successor that calls the table without a pause, because each wait for
// a change of the lease returns the same change at once.
func TestSuccessorDoesNotPollWithoutPause(t *testing.T) {
	t.Parallel()
	for key, why := range map[string]string{lease.Key(jobsShard): "the lease is unreadable", prefixLease + "other": "another row has changed"} {
		t.Run(why, func(t *testing.T) {
			t.Parallel()
			table := &countedChanges{entryTable: &entryTable{memoryTable: newMemoryTable(), cut: make(chan struct{})}}
			c := newTestCandidate(t, table.entryTable, table, 0)
			row := lease.Row{Shard: jobsShard, Owner: "a", Incarnation: 1, Epoch: 1, Handover: handover.ReasonStopping}
			value, err := row.Encode()
			if err != nil {
				t.Fatal(err)
			}
			table.put(lease.Key(jobsShard), value)
			c.observeLease(t.Context())
			table.put(key, []byte("not a lease"))
			s := &succession{c: c, log: c.log, epoch: 1}
			s.reserved.Store(true)
			for end := clock.Now() + 2*leaseFollowWait; clock.Now() < end; {
				s.followLease(t.Context())
			}
			if n := table.calls.Load(); n > 4 {
				t.Errorf("%d calls in %v", n, 2*leaseFollowWait)
			}
		})
	}
}
