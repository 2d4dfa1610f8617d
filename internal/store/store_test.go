package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
)

var ampleLimits = Limits{WritesPerSecond: 1e5, ReadsPerSecond: 1e5, LeaseShare: 0.1}

func testOptions(name string, seed uint64) Options {
	return Options{Name: name, Incarnation: types.Incarnation(seed + 1), Limits: ampleLimits,
		Rand: rand.New(rand.NewPCG(seed, 2))}
}

// hookedTable passes each commit to the hook first. The hook's result replaces
// the commit if its last return value is true. If the hook is nil, every commit
// goes to the table.
type hookedTable struct {
	platform.Table
	commits atomic.Int32
	hook    func(n int, txn platform.Txn) (platform.TxnResult, error, bool)
}

func (s *hookedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	n := int(s.commits.Add(1))
	if s.hook != nil {
		if res, err, ok := s.hook(n, txn); ok {
			return res, err
		}
	}
	return s.Table.Commit(ctx, txn)
}

func create(key, value string) platform.Txn {
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: []byte(value)}},
	}
}

// Guards against reporting a committed write as failed: its answer is lost, and
// another writer overwrites the row before the read-back.
func TestLostAnswerIsReadBackAfterOverwrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		table := standin.NewTable()
		st := &hookedTable{Table: table}
		var first uint64
		st.hook = func(n int, txn platform.Txn) (platform.TxnResult, error, bool) {
			if n > 1 {
				return platform.TxnResult{}, nil, false
			}
			res, _ := table.Commit(ctx, txn)
			first = res.Revision
			_, _ = table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "k", Value: []byte("other")}}})
			return platform.TxnResult{}, platform.ErrUncertain, true
		}
		res, err := New(st, testOptions("a", 1)).Commit(ctx, Placement, create("k", "mine"))
		if err != nil || !res.Committed || res.Revision != first || st.commits.Load() != 1 {
			t.Fatalf("%+v, %v after %d commits; want committed at %d after one", res, err, st.commits.Load(), first)
		}
	})
}

// Guards against a write that is reported as a conflict and then committed by a
// delayed copy: the row is created and deleted again, so that the condition
// holds once more.
func TestConflictIsFinalAfterLostRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		table := standin.NewTable()
		st := &hookedTable{Table: table}
		var delayed platform.Txn
		st.hook = func(n int, txn platform.Txn) (platform.TxnResult, error, bool) {
			if n > 1 {
				return platform.TxnResult{}, nil, false
			}
			delayed = txn
			_, _ = table.Commit(ctx, create("k", "other"))
			return platform.TxnResult{}, platform.ErrUncertain, true
		}
		res, err := New(st, testOptions("a", 1)).Commit(ctx, Claim, create("k", "mine"))
		if err != nil || res.Committed {
			t.Fatalf("%+v, %v; want a conflict", res, err)
		}
		_, _ = table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "k", Delete: true}}})
		if late, _ := table.Commit(ctx, delayed); late.Committed {
			t.Fatal("a delayed copy committed after the conflict was reported")
		}
	})
}

// Guards against a definite error when the outcome is unknown, and against an
// uncertain error when nothing was sent.
func TestErrorKindMatchesOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		faults := standin.NewInjector(1, nil)
		opts := testOptions("a", 1)
		opts.Scope = scope
		s := New(standin.NewFaultyTable(standin.NewTable(), faults), opts)
		commit := func(class Class) error {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := s.Commit(ctx, class, create("k", "v"))
			uncertain := apperr.KindOf(err) == apperr.KindUncertain
			if errors.Is(err, platform.ErrUncertain) != uncertain || errors.Is(err, platform.ErrUnavailable) == uncertain {
				t.Errorf("kind %v wraps the wrong platform error: %v", apperr.KindOf(err), err)
			}
			return err
		}
		faults.Set(standin.Faults{LoseRequest: 1})
		if err := commit(Placement); apperr.KindOf(err) != apperr.KindUncertain {
			t.Errorf("commit with lost requests: got %v, want an error of kind uncertain", err)
		}
		faults.Set(standin.Faults{LoseRequest: 1, Frozen: true})
		if err := commit(Report); apperr.KindOf(err) != apperr.KindUnavailable {
			t.Errorf("commit to a frozen table: got %v, want an error of kind unavailable", err)
		}
		faults.Set(standin.Faults{Down: true})
		start := time.Now()
		if err := commit(Placement); apperr.KindOf(err) != apperr.KindUnavailable || time.Since(start) != 10*time.Second {
			t.Errorf("commit while the table is down: got %v after %v, want an error of kind unavailable after 10 s", err, time.Since(start))
		}
		start = time.Now()
		err := commit(Claim)
		if e := apperr.From(err); e.Kind != apperr.KindUnavailable || !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("claim in an outage: got %v, want an error of kind unavailable that wraps platform.ErrUnavailable", err)
		}
		if d := time.Since(start); d >= 5*time.Second {
			t.Errorf("a claim in an outage was refused after %v", d)
		}
		counters := scope.Snapshot().Counters()
		c := counters["store_calls+access=write,class=placement,result=uncertain"]
		if c == nil || c.Value() != 1 {
			t.Errorf("uncertain writes are not counted: %v", counters)
		}
	})
}

// Guards against a conflicting claim that makes the others in its group fail,
// and against claims that are not grouped.
func TestGroupCommitIsolatesConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		table := standin.NewTable()
		_, _ = table.Commit(ctx, create("claim/7", "taken"))
		faults := standin.NewInjector(1, nil)
		faults.Set(standin.Faults{Delay: 10 * time.Millisecond})
		st := &hookedTable{Table: standin.NewFaultyTable(table, faults)}
		s := New(st, testOptions("a", 1))
		var committed, conflicts atomic.Int32
		var wg sync.WaitGroup
		for i := range 200 {
			// Two claims on each key: one of them has to conflict.
			wg.Go(func() {
				res, err := s.Commit(ctx, Claim, create(fmt.Sprintf("claim/%d", i/2), fmt.Sprint(i)))
				switch {
				case err != nil:
					t.Error(err)
				case res.Committed:
					committed.Add(1)
				default:
					conflicts.Add(1)
				}
			})
		}
		wg.Wait()
		if committed.Load() != 99 || conflicts.Load() != 101 {
			t.Errorf("%d committed, %d conflicts; want 99 and 101", committed.Load(), conflicts.Load())
		}
		if n := st.commits.Load(); n > 10 {
			t.Errorf("%d transactions for 200 claims, want at most 10", n)
		}
	})
}

// Guards against a write of a frozen process that is committed after its
// successor has taken the lane over.
func TestSuccessorFencesLane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		table := standin.NewTable()
		st := &hookedTable{Table: table}
		var delayed platform.Txn
		st.hook = func(_ int, txn platform.Txn) (platform.TxnResult, error, bool) {
			delayed = txn
			return platform.TxnResult{}, platform.ErrUncertain, true
		}
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := New(st, testOptions("a", 1)).Commit(short, Lease, create("k", "old")); apperr.KindOf(err) != apperr.KindUncertain {
			t.Fatalf("abandoned write: %v", err)
		}
		successor := New(table, testOptions("a", 2))
		if _, err := successor.Commit(ctx, Lease, create("x", "new")); err != nil {
			t.Fatal(err)
		}
		if late, _ := table.Commit(ctx, delayed); late.Committed {
			t.Fatal("a write of the old incarnation committed after the lane was taken over")
		}
	})
}

// Guards against a store that works only with an in-process table. The test
// extends a row step by step over HTTP while the service closes connections
// instead of answering. Each step must take effect exactly once.
func TestCountsOnceOverHTTPWithLostAnswers(t *testing.T) {
	p := standin.New(standin.Options{FaultSeed: 3})
	srv := httptest.NewServer(standin.NewHandler(p))
	defer srv.Close()
	body := strings.NewReader(`{"Service": "table", "Faults": {"LoseAnswer": 0.2}}`)
	resp, err := http.Post(srv.URL+"/admin/faults", "application/json", body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := New(platform.NewHTTPTable(srv.URL, srv.Client()), testOptions("a", 1))
	const steps = 40
	for i := range steps {
		rows, err := s.Get(ctx, Placement, "count")
		if err != nil || string(rows[0].Value) != strings.Repeat("x", i) {
			t.Fatalf("step %d: row is %+v, %v", i, rows, err)
		}
		res, err := s.Commit(ctx, Placement, platform.Txn{
			Conditions: []platform.Condition{{Key: "count", Revision: rows[0].Revision}},
			Writes:     []platform.Write{{Key: "count", Value: append(rows[0].Value, 'x')}},
		})
		if err != nil || !res.Committed {
			t.Fatalf("step %d: %+v, %v", i, res, err)
		}
	}
}
