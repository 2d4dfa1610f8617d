package jobs

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
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

// Guards against a new owner that places tasks before the evacuated domains and the
// failure domains of its VMs are known to its core: both must be set when it recovers.
func TestRecoveredCoreKnowsEvacuations(t *testing.T) {
	t.Parallel()
	system := actors.NewSystem()
	defer system.Shutdown()
	var domains atomic.Pointer[[]types.FailureDomain]
	o := CandidateOptions{
		System: system, Table: &leaseTable{}, Changes: &brokenFeed{row: platform.Row{Key: prefixAgent + "vm", Value: []byte(`{"address":"127.0.0.1:1","failure_domain":"z1"}`)}}, Agents: http.DefaultClient,
		Telemetry: telemetry.Nop(), Queues: func() (map[string]workflow.Queue, bool) { return nil, false },
		Evacuated: func() []types.FailureDomain { return *domains.Load() },
		ReadOperatorRows: func(context.Context) error {
			domains.Store(&[]types.FailureDomain{"z1"})
			return nil
		},
	}
	c := NewCandidate(o)
	term := newTerm(c, lease.NewHolder(leaseConfig(), lease.Row{Shard: jobsShard, Epoch: 3}, 1, clock.Now()), 1)
	term.ctx, term.end = context.WithCancel(t.Context())
	defer term.finish()
	if !term.recover(term.ctx) {
		t.Fatal("not recovered")
	}
	var evacuated int
	if err := term.coreActor.Do(func(o *workflow.Owner) { evacuated = o.EvacuatedVMs() }); err != nil || evacuated != 1 {
		t.Errorf("%d evacuated VMs, %v, want 1", evacuated, err)
	}
}

// Load: starts wait in the owner's process while their failure domain is evacuated, or
// while the process is paused. Guards against sending them after the bound, and against
// stops and paces that are not sent.
func TestStartsThatWaitedAreWithheld(t *testing.T) {
	const bound = 5 * time.Second
	for name, test := range map[string]struct {
		evacuated types.FailureDomain
		age       time.Duration
		withheld  int
	}{
		"sent at once":        {"z2", 0, 0},
		"evacuated meanwhile": {"z1", 0, 2},
		"paused for the time": {"z2", maxOrderAge(bound), 2},
		"shorter pause":       {"z2", maxOrderAge(bound) / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Candidate{opts: CandidateOptions{Timing: Timing{EvacuationBound: bound}, Evacuated: func() []types.FailureDomain { return []types.FailureDomain{test.evacuated} }}}
			l := &link{t: &term{c: c, log: telemetry.Discard()}, vm: "vm", row: agentRow{FailureDomain: "z1"}}
			orders := []workflow.Order{{Kind: workflow.OrderStart}, {Kind: workflow.OrderStop}, {Kind: workflow.OrderStart}, {Kind: workflow.OrderPace}}
			send, results := l.withhold(orders, clock.Now()-test.age)
			if len(results) != test.withheld || len(send) != len(orders)-test.withheld {
				t.Errorf("%d sent and %d withheld of %d, want %d withheld", len(send), len(results), len(orders), test.withheld)
			}
			if slices.ContainsFunc(results, func(r workflow.OrderResult) bool {
				return r.Result != workflow.ResultRefused || r.Order.Kind != workflow.OrderStart
			}) {
				t.Errorf("results %+v, want refused starts", results)
			}
		})
	}
	if latest := maxOrderAge(bound) + ordersTimeout + evacuationReadTime; latest > bound {
		t.Errorf("a start may be sent %v after the request, later than the bound of %v", latest, bound)
	}
}

// Guards against a new owner that places tasks before it has read the operator's rows:
// recovery must not end while they cannot be read.
func TestRecoveryReadsOperatorRows(t *testing.T) {
	t.Parallel()
	calls := 0
	read := func(context.Context) error {
		if calls++; calls < 3 {
			return errors.New("the store does not answer")
		}
		return nil
	}
	term := &term{c: &Candidate{opts: CandidateOptions{Changes: &slowLists{}, ReadOperatorRows: read}}}
	if _, ok := term.storedRows(t.Context()); !ok || calls != 3 {
		t.Errorf("recovered: %t after %d reads, want true after 3", ok, calls)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	calls = 0
	if _, ok := term.storedRows(ctx); ok {
		t.Error("recovered without the operator's rows")
	}
}

// brokenFeed is a change log that lists and whose feed fails until it is repaired.
type brokenFeed struct {
	platform.ChangeLog
	// row is listed unless its key is empty.
	row      platform.Row
	repaired atomic.Bool
}

func (b *brokenFeed) List(_ context.Context, prefix string) (platform.Snapshot, error) {
	s := platform.Snapshot{Revision: 1}
	if b.row.Key != "" && strings.HasPrefix(b.row.Key, prefix) {
		s.Rows = []platform.Row{b.row}
	}
	return s, nil
}

func (b *brokenFeed) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]platform.ChangedRow, uint64, error) {
	if !b.repaired.Load() {
		return nil, 0, platform.ErrUnavailable
	}
	sleep(ctx, followInterval)
	return []platform.ChangedRow{{}}, after + 1, nil
}

// Guards against operator's rows that are not read while only the change feed fails,
// and against a follower that lists for good or calls the store without pauses.
func TestFollowerListsWhileTheFeedFails(t *testing.T) {
	t.Parallel()
	var feed brokenFeed
	var lists, changes atomic.Int64
	f := &Follower{
		Log: &feed, Logger: telemetry.Discard(), OnSuccess: func() {}, ListAfterFailure: true,
		Reset: func(platform.Snapshot) { lists.Add(1) }, Apply: func([]platform.ChangedRow) { changes.Add(1) },
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go f.Run(ctx)
	time.Sleep(2 * time.Second)
	if n := lists.Load(); n < 3 || n > 12 {
		t.Errorf("%d lists in 2 s without a feed, want 3 to 12: the pause doubles up to %v", n, tableBackoffMax)
	}
	feed.repaired.Store(true)
	for changes.Load() < 3 && ctx.Err() == nil {
		sleep(ctx, followInterval)
	}
	if n := lists.Load(); n > 13 || ctx.Err() != nil {
		t.Errorf("%d lists and %d changes after the repair", n, changes.Load())
	}
}
