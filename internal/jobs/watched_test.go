package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/outage"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// faultyTable is a table whose calls take a time and fail as the function fault says.
type faultyTable struct {
	TableWithChanges
	mu    sync.Mutex
	fault func(write bool) (time.Duration, error)
	rows  map[string]platform.Row
	// inFlight and writes count the writes in progress and those answered since the
	// last failure; overlap is the maximum of inFlight-writes.
	inFlight, writes, overlap int
	// commits counts all writes, lateWrites those during an outage that has lasted for
	// 1.5 s, when the breaker is open if all calls fail.
	commits, lateWrites int
}

// unanswered is a time for which no caller waits.
const unanswered = time.Hour

func (f *faultyTable) setFault(fault func(write bool) (time.Duration, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *faultyTable) call(ctx context.Context, write bool) error {
	f.mu.Lock()
	fault := f.fault
	f.mu.Unlock()
	took, err := fault(write)
	select {
	case <-time.After(took):
		return err
	case <-ctx.Done():
		if write {
			return fmt.Errorf("%w: %w", platform.ErrUncertain, ctx.Err())
		}
		return fmt.Errorf("%w: %w: %w", platform.ErrUnavailable, platform.ErrNoResponse, ctx.Err())
	}
}

func (f *faultyTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	err := f.call(ctx, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	row := f.rows[keys[0]]
	row.Key = keys[0]
	return []platform.Row{row}, err
}

// Commit applies writes that are unanswered.
func (f *faultyTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	f.mu.Lock()
	f.commits++
	f.inFlight++
	f.overlap = max(f.overlap, f.inFlight-f.writes)
	f.mu.Unlock()
	err := f.call(ctx, true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	f.writes++
	if err != nil && ctx.Err() == nil {
		f.writes = 0
		return platform.TxnResult{}, err
	}
	w := txn.Writes[len(txn.Writes)-1]
	if old, ok := f.rows[w.Key]; ok {
		return platform.TxnResult{Rows: []platform.Row{old}}, err
	}
	f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: uint64(f.commits)} //nolint:gosec // a small count
	return platform.TxnResult{Committed: true, Revision: uint64(f.commits)}, err          //nolint:gosec // a small count
}

// outageResult counts the submissions of a playOutage by their result, and those that
// began during the outage.
type outageResult struct{ accepted, refused, uncertain, during int }

// mostlyRefused reports whether at least three quarters of the submissions that began
// during the outage were refused. A busy machine makes fewer than 20 per second.
func (r outageResult) mostlyRefused() bool { return r.during > 0 && 4*r.refused >= 3*r.during }

// playOutage submits 20 jobs per second to an intake from 0.5 s before an outage until
// 3 s after it, beside a read every 300 ms. It checks that refusals are true, in time
// and have a retry time.
func playOutage(t *testing.T, lasts time.Duration, fault func(write bool) (time.Duration, error)) (outageResult, *faultyTable) {
	const before, after, gap = 500 * time.Millisecond, 3 * time.Second, 50 * time.Millisecond
	begin := time.Now()
	during := func() bool { return time.Since(begin) >= before && time.Since(begin) < before+lasts }
	table := &faultyTable{rows: make(map[string]platform.Row)}
	watched := NewWatchedTable(table, telemetry.Nop())
	table.setFault(func(write bool) (time.Duration, error) {
		if during() {
			if write && time.Since(begin) > before+1500*time.Millisecond {
				table.mu.Lock()
				table.lateWrites++
				table.mu.Unlock()
			}
			return fault(write)
		}
		return 4 * time.Millisecond, nil
	})
	in := NewIntake(watched, platform.Limits{}, telemetry.Discard(), nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			callCtx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
			_, _ = watched.Get(callCtx, "lease/jobs")
			cancel()
			sleep(ctx, 300*time.Millisecond)
		}
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var r outageResult
	for i := 0; time.Since(begin) < before+lasts+after; i++ {
		if during() {
			mu.Lock()
			r.during++
			mu.Unlock()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			callCtx, cancel := context.WithTimeout(ctx, 2850*time.Millisecond)
			defer cancel()
			id, sent := types.JobID(fmt.Sprintf("%016x", i*7919)), time.Now()
			err := in.Submit(callCtx, &workflow.Job{ID: id, Queue: "q"}, 1)
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			table.mu.Lock()
			defer table.mu.Unlock()
			switch _, stored := table.rows[stateKey(id)]; apperr.KindOf(err) {
			case "":
				r.accepted++
			case apperr.KindUncertain:
				r.uncertain++
			case apperr.KindUnavailable:
				r.refused++
				if retry := apperr.From(err).RetryAfter; stored || took > 2*time.Second || retry < time.Second {
					t.Errorf("refused after %v with retry after %v; stored: %v", took, retry, stored)
				}
			default:
				t.Error(err)
			}
		}()
		sleep(ctx, gap)
	}
	wg.Wait()
	t.Logf("%+v, %d writes", r, table.commits)
	if state := awaitClosed(watched); state != outage.Closed {
		t.Errorf("the breaker is %v after the outage", state)
	}
	return r, table
}

// awaitClosed waits until the breakers of a table are closed, and returns the most severe
// state. The last write of an outage may time out maxCommitTimeout after it, and the read
// that finds it stored leaves its partition half-open for 2 s, the limit of package outage.
func awaitClosed(s *WatchedTable) outage.State {
	state := outage.Open
	for end := time.Now().Add(maxCommitTimeout + 3*time.Second); state != outage.Closed && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		state, _, _ = s.breakers.State(clock.Now())
		s.mu.Unlock()
	}
	return state
}

// Guards against submissions that are sent, and retried, while the table resets all
// connections: on recorded days, 20 to 59 of them ended with an unknown outcome. One or
// two are sent before the first failure is noticed.
func TestResetsOfAllCalls(t *testing.T) {
	t.Parallel()
	const lasts = 4 * time.Second
	r, table := playOutage(t, lasts, func(write bool) (time.Duration, error) {
		if write {
			return time.Millisecond, platform.ErrUncertain
		}
		return time.Millisecond, fmt.Errorf("%w: %w", platform.ErrUnavailable, platform.ErrNoResponse)
	})
	if r.uncertain > 3 || !r.mostlyRefused() {
		t.Errorf("%+v, want at most 3 of unknown outcome, and the others refused", r)
	}
	if sent := table.commits - r.accepted; sent > 6 || table.lateWrites > 0 {
		t.Errorf("%d writes were sent during the outage, %d of them after 1.5 s; want at most 6, and 0", sent, table.lateWrites)
	}
}

// Guards against a burst of writes when the table answers again: 40 submissions wait.
func TestRecoveryWithoutBurst(t *testing.T) {
	t.Parallel()
	table := &faultyTable{rows: make(map[string]platform.Row)}
	watched := NewWatchedTable(table, telemetry.Nop())
	in := NewIntake(watched, platform.Limits{}, telemetry.Discard(), nil)
	table.setFault(func(bool) (time.Duration, error) { return 0, platform.ErrNoResponse })
	for range 4 {
		_, _ = watched.Get(t.Context(), "lease/jobs")
		time.Sleep(50 * time.Millisecond)
	}
	if err := in.Submit(t.Context(), &workflow.Job{ID: "a", Queue: "q"}, 1); apperr.KindOf(err) != apperr.KindUnavailable || table.commits > 0 {
		t.Fatalf("submission while all calls fail: %v after %d writes, want kind unavailable and none", err, table.commits)
	}
	table.setFault(func(bool) (time.Duration, error) { return 20 * time.Millisecond, nil })
	if _, err := watched.Get(t.Context(), "lease/jobs"); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			if err := in.Submit(t.Context(), &workflow.Job{ID: types.JobID(fmt.Sprintf("%016x", i)), Queue: "q"}, 1); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if table.overlap > 1 {
		t.Errorf("at most %d more writes were in progress than had been answered, want 1", table.overlap)
	}
}

// Guards against refusals while single responses are lost and others arrive: the writes
// are stored, and repeats or reads find them.
func TestLostResponsesOfWrites(t *testing.T) {
	t.Parallel()
	r, _ := playOutage(t, 4500*time.Millisecond, func(write bool) (time.Duration, error) {
		if write && rand.Float64() < 0.3 { //nolint:gosec // a test
			return unanswered, nil
		}
		return 4 * time.Millisecond, nil
	})
	if r.uncertain > 0 || r.refused > 5 {
		t.Errorf("%+v, want none of unknown outcome and at most 5 refused", r)
	}
}

// Guards against refusals by a table that only is 60 times slower.
func TestSlowTableRefusesNothing(t *testing.T) {
	t.Parallel()
	r, _ := playOutage(t, 4*time.Second, func(bool) (time.Duration, error) { return 240 * time.Millisecond, nil })
	if r.uncertain > 0 || r.refused > 0 {
		t.Errorf("%+v, want all accepted", r)
	}
}

// Guards against a process that hides, or spreads, what only it suffers: a table that
// refuses its calls. Refusals by the table are true, and it is spared after 0.8 s. The
// other process is served throughout.
func TestTableRefusesOneProcess(t *testing.T) {
	t.Parallel()
	other := make(chan outageResult, 1)
	go func() {
		r, _ := playOutage(t, 4*time.Second, func(bool) (time.Duration, error) { return 4 * time.Millisecond, nil })
		other <- r
	}()
	r, table := playOutage(t, 4*time.Second, func(bool) (time.Duration, error) { return time.Millisecond, platform.ErrUnavailable })
	if sent := table.commits - r.accepted; r.uncertain > 0 || !r.mostlyRefused() || table.lateWrites > 0 {
		t.Errorf("%+v with %d writes refused by the table, %d of them after 1.5 s; want none of unknown outcome, and 0 writes after 1.5 s", r, sent, table.lateWrites)
	}
	if o := <-other; o.refused+o.uncertain > 0 {
		t.Errorf("the other process: %+v, want all accepted", o)
	}
}

// Guards against a refusal when all idle connections were reset once and new ones work,
// against a repeat on another reset connection, and against a cancellation or a
// submission that is repeated during an outage although a read shows that it is stored.
func TestReadBackAndStaleConnections(t *testing.T) {
	t.Parallel()
	table := &faultyTable{rows: make(map[string]platform.Row)}
	failures := 1
	table.setFault(func(write bool) (time.Duration, error) {
		if write && failures > 0 {
			failures--
			return time.Millisecond, platform.ErrUncertain
		}
		return time.Millisecond, nil
	})
	closer := &idleCloser{faultyTable: table}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	in := NewIntake(NewWatchedTable(closer, telemetry.Nop()), platform.Limits{}, telemetry.Discard(), nil)
	if err := in.Submit(ctx, &workflow.Job{ID: "a", Queue: "q"}, 1); err != nil || closer.closed != 1 {
		t.Errorf("submission on a reset connection: %v, idle connections closed %d times, want 1", err, closer.closed)
	}
	// The table stores the next job and loses the response.
	table.setFault(func(write bool) (time.Duration, error) {
		if write {
			return unanswered, nil
		}
		return time.Millisecond, nil
	})
	commits := table.commits
	if err := in.Submit(ctx, &workflow.Job{ID: "b", Queue: "q"}, 1); err != nil || table.commits != commits+1 {
		t.Errorf("submission without a response: %v after %d writes, want one", err, table.commits-commits)
	}
	in.gate = &silentTable{t: t}
	if err := in.Cancel(ctx, "b"); apperr.KindOf(err) != apperr.KindUnavailable {
		t.Errorf("cancellation that was not sent: %v, want kind unavailable", err)
	}
	if state, err := in.State(ctx, "b"); err != nil || state != workflow.JobQueued {
		t.Errorf("state during an outage: %q, %v", state, err)
	}
}

// Guards against an event about suspended submissions, and a submission that waits for a
// probe, in a partition whose last call was given up by its caller, such as a client that
// closes its connection, while the table answers.
func TestGivenUpCallDoesNotSuspendPartition(t *testing.T) {
	t.Parallel()
	table := &faultyTable{rows: make(map[string]platform.Row)}
	ctx, cancel := context.WithCancel(t.Context())
	table.setFault(func(write bool) (time.Duration, error) {
		if write {
			cancel() // the caller gives up once the write has arrived
			return unanswered, nil
		}
		return time.Millisecond, nil
	})
	s := NewWatchedTable(table, telemetry.Nop())
	key := stateKey("a")
	if _, err := s.Commit(ctx, platform.Txn{Conditions: []platform.Condition{{Key: key}}, Writes: []platform.Write{{Key: key}}}); err == nil {
		t.Fatal("the write was not given up")
	}
	for range 10 {
		time.Sleep(silentThreshold / 8)
		if _, err := s.Get(t.Context(), "lease/jobs"); err != nil {
			t.Fatal(err)
		}
		s.mu.Lock()
		state, cause, open := s.breakers.State(clock.Now())
		s.mu.Unlock()
		if state != outage.Closed {
			t.Fatalf("%v, cause %v, %d partitions open; want closed", state, cause, open)
		}
	}
	if d := s.ask(partitionOf(key), false); d != outage.Admit {
		t.Errorf("decision %v for the next submission, want %v", d, outage.Admit)
	}
}

// idleCloser counts how often the idle connections are closed.
type idleCloser struct {
	*faultyTable
	closed int
}

func (c *idleCloser) CloseIdleConnections() { c.closed++ }
