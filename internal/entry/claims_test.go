package entry

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/claim"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/routing"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
	"github.com/boragecrank/boragecrank/internal/store"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/runcall"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

const testService = "berth-check"

// fakeWorker answers run and seal calls with functions that the test sets.
type fakeWorker struct {
	wirepb.WorkerService
	run  func(w http.ResponseWriter, attempt int)
	seal func() admission.SealState

	mu       sync.Mutex
	attempts int
}

func (f *fakeWorker) Seal(context.Context, *wirepb.SealRequest) (*wirepb.SealResponse, error) {
	return &wirepb.SealResponse{State: string(f.seal())}, nil
}

func (f *fakeWorker) serveRun(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	f.attempts++
	n := f.attempts
	f.mu.Unlock()
	w.Header().Set(runcall.HeaderReport, runcall.Report{Incarnation: 1}.String())
	f.run(w, n)
}

func answerDone(w http.ResponseWriter, _ int) {
	w.Header().Set(apperr.HeaderOutcome, string(apperr.OutcomeDone))
}

// hookedClaims is a claim table with hooks before reads and writes. A hook that
// returns an error prevents the call.
type hookedClaims struct {
	TableClaims
	beforeGet, beforePut func(key string, revision uint64, value []byte) error
}

func (c *hookedClaims) Get(ctx context.Context, key string) (platform.Row, error) {
	if c.beforeGet != nil {
		if err := c.beforeGet(key, 0, nil); err != nil {
			return platform.Row{}, err
		}
	}
	return c.TableClaims.Get(ctx, key)
}

func (c *hookedClaims) Put(ctx context.Context, key string, revision uint64, value []byte) (uint64, bool, error) {
	if c.beforePut != nil {
		if err := c.beforePut(key, revision, value); err != nil {
			return 0, false, err
		}
	}
	return c.TableClaims.Put(ctx, key, revision, value)
}

// newTestEntry returns an entry whose router has one worker.
func newTestEntry(t *testing.T, claims Claims, w *fakeWorker) *Entry {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(runcall.PathPrefix, w.serveRun)
	service := wirepb.NewWorkerServiceServer(w)
	mux.Handle(service.PathPrefix(), service)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	n, err := node.New(node.Options{Name: "entry-1", Role: "entry", Internal: "127.0.0.1:0",
		Key: []byte("key-of-the-test-with-32-bytes-00"), Telemetry: telemetry.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Shutdown(context.Background()) })
	e, err := New(n, Options{Claims: claims, Membership: membership.DefaultConfig()})
	if err != nil {
		t.Fatal(err)
	}
	e.router.update(routing.WorkerState{
		VM: "vm-1", Incarnation: 1, Slots: 8, Connections: 8,
		Services: []routing.ServiceState{{Service: testService, Slots: 8, Connections: 8}},
	}, server.Listener.Addr().String())
	return e
}

func keyedCall(e *Entry) *call {
	return &call{id: node.NewRequestID(), service: types.Service{Name: testService}, method: http.MethodPost, path: "/",
		header: http.Header{}, key: "key-1", deadline: e.node.Clock() + 10*time.Second}
}

// executeAndSettle runs a call and waits until its outcome is stored.
func executeAndSettle(e *Entry, c *call) result {
	res := e.execute(context.Background(), c)
	e.running.Wait()
	return res
}

func countActiveAttempts(e *Entry) int {
	e.active.mu.Lock()
	defer e.active.mu.Unlock()
	return len(e.active.ids)
}

func (c *hookedClaims) onlyRow(t *testing.T) claim.Row {
	t.Helper()
	rows, err := c.Table.Scan(context.Background(), "claims/", "", 0)
	if err != nil || len(rows) != 1 {
		t.Fatalf("claim rows are %v, error %v; want exactly one row", rows, err)
	}
	row, err := claim.Decode(rows[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	return row
}

// Guards against a request that loses its claim to another request and then
// marks that request's claim as unknown, so that repeats do not get its response.
func TestLostClaimIsNotSettled(t *testing.T) {
	claims := &hookedClaims{TableClaims: TableClaims{standin.NewTable()}}
	other := claim.New(claim.Fingerprint(http.MethodPost, "/", nil), types.RequestID{1}, request.Target{VM: "vm-2"})
	claims.beforePut = func(key string, _ uint64, _ []byte) error {
		claims.beforePut = nil
		value, err := other.Encode()
		if err != nil {
			return err
		}
		_, _, err = claims.TableClaims.Put(context.Background(), key, 0, value)
		return err
	}
	e := newTestEntry(t, claims, &fakeWorker{run: answerDone})
	if res := executeAndSettle(e, keyedCall(e)); res.outcome != apperr.OutcomeUnknown {
		t.Fatalf("outcome %q, want unknown", res.outcome)
	}
	if row := claims.onlyRow(t); row.Attempt != other.Attempt || row.State != claim.StateClaimed {
		t.Fatalf("row of the other request is now %+v", row)
	}
	if n := countActiveAttempts(e); n != 0 {
		t.Fatalf("%d attempts stay active", n)
	}
}

// Guards against a key that stays in progress forever because the claim write of
// a refused request takes effect after the refusal.
func TestLateClaimWriteDoesNotBlockKey(t *testing.T) {
	claims := &hookedClaims{TableClaims: TableClaims{standin.NewTable()}}
	var applyLateWrite func()
	errTableDown := errors.New("table is down")
	claims.beforePut = func(key string, revision uint64, value []byte) error {
		applyLateWrite = func() { _, _, _ = claims.TableClaims.Put(context.Background(), key, revision, value) }
		claims.beforeGet = func(string, uint64, []byte) error { return errTableDown }
		return errTableDown
	}
	e := newTestEntry(t, claims, &fakeWorker{run: answerDone, seal: func() admission.SealState { return admission.SealNeverRan }})
	if res := executeAndSettle(e, keyedCall(e)); res.outcome != apperr.OutcomeNotRun {
		t.Fatalf("outcome %q, want not-run", res.outcome)
	}
	claims.beforePut, claims.beforeGet = nil, nil
	applyLateWrite()
	if res := executeAndSettle(e, keyedCall(e)); res.outcome != apperr.OutcomeDone {
		t.Fatalf("outcome of the repeat %q (%v), want done", res.outcome, res.err)
	}
	if n := countActiveAttempts(e); n != 0 {
		t.Fatalf("%d attempts stay active", n)
	}
}

// Guards against attempts that stay active after a later attempt replaced them.
func TestReplacedAttemptIsNotActive(t *testing.T) {
	claims := &hookedClaims{TableClaims: TableClaims{standin.NewTable()}}
	e := newTestEntry(t, claims, &fakeWorker{run: func(w http.ResponseWriter, n int) {
		if n == 1 {
			apperr.WriteHTTP(w, errNotRun(apperr.KindRefused, "request", string(admission.ReasonNoSlot), ""))
			return
		}
		answerDone(w, n)
	}})
	res := executeAndSettle(e, keyedCall(e))
	if res.outcome != apperr.OutcomeDone || res.attempts != 2 {
		t.Fatalf("outcome %q after %d attempts, want done after 2", res.outcome, res.attempts)
	}
	if row := claims.onlyRow(t); row.State != claim.StateDone {
		t.Fatalf("row %+v, want done", row)
	}
	if n := countActiveAttempts(e); n != 0 {
		t.Fatalf("%d attempts stay active", n)
	}
}

// Guards against a retry budget that is used up by seal calls for an attempt
// that is still running.
func TestSealInProgressTakesNoRetry(t *testing.T) {
	polls := 0
	w := &fakeWorker{}
	w.run = func(rw http.ResponseWriter, n int) {
		if n == 1 {
			panic(http.ErrAbortHandler) // the connection is cut
		}
		answerDone(rw, n)
	}
	w.seal = func() admission.SealState {
		if polls++; polls <= 3 {
			return admission.SealInProgress
		}
		return admission.SealNeverRan
	}
	e := newTestEntry(t, nil, w)
	c := keyedCall(e)
	c.key = ""
	if res := e.execute(context.Background(), c); res.outcome != apperr.OutcomeDone {
		t.Fatalf("outcome %q (%v), want done", res.outcome, res.err)
	}
	retries := 0
	for e.router.allowRetry() {
		retries++
	}
	if want := int(routing.DefaultConfig("").RetryBurst) - 1; retries != want {
		t.Fatalf("%d retries left after %d seals, want %d", retries, polls, want)
	}
}

// Guards against a not-run answer whose repeat at another entry becomes
// unknown: the repeat would seal the attempt before its outcome is stored, and
// the target's incarnation may have ended.
func TestNotRunIsStoredBeforeTheAnswer(t *testing.T) {
	claims := &hookedClaims{TableClaims: TableClaims{standin.NewTable()}}
	claims.beforePut = func(_ string, revision uint64, _ []byte) error {
		if revision != 0 {
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	}
	e := newTestEntry(t, claims, &fakeWorker{run: func(w http.ResponseWriter, _ int) {
		w.Header().Set(runcall.HeaderReport, runcall.Report{Incarnation: 2}.String())
		apperr.WriteHTTP(w, errNotRun(apperr.KindRefused, "request", string(admission.ReasonWrongIncarnation), ""))
	}})
	if res := e.execute(context.Background(), keyedCall(e)); res.outcome != apperr.OutcomeNotRun {
		t.Fatalf("outcome %q, want not-run", res.outcome)
	}
	if row := claims.onlyRow(t); row.State != claim.StateNotRun {
		t.Fatalf("row is %q when the caller has its answer, want not-run", row.State)
	}
}

// Guards against a repeat that is reported as not run while the table is down,
// although the first request with its key has run.
func TestUnreadableKeyIsNotReportedNotRun(t *testing.T) {
	claims := &hookedClaims{TableClaims: TableClaims{standin.NewTable()}}
	e := newTestEntry(t, claims, &fakeWorker{run: answerDone})
	c := keyedCall(e)
	if res := e.execute(context.Background(), c); res.outcome != apperr.OutcomeDone {
		t.Fatalf("outcome %q of the first request, want done", res.outcome)
	}
	claims.beforeGet = func(string, uint64, []byte) error { return platform.ErrUnavailable }
	res := e.execute(context.Background(), c)
	if res.outcome != apperr.OutcomeUnknown {
		t.Fatalf("outcome %q of the repeat, want unknown", res.outcome)
	}
	if kind := apperr.KindOf(failureError(c, res)); kind != apperr.KindUnavailable {
		t.Fatalf("error of kind %q, want unavailable, which asks the caller to repeat", kind)
	}
}

// Guards against requests that are offered repeatedly to the ended incarnation
// of a restarted worker until a digest announces the new incarnation.
func TestEndedIncarnationGetsNoMoreRequests(t *testing.T) {
	w := &fakeWorker{}
	w.run = func(rw http.ResponseWriter, _ int) {
		rw.Header().Set(runcall.HeaderReport, runcall.Report{Incarnation: 2}.String())
		apperr.WriteHTTP(rw, errNotRun(apperr.KindRefused, "request", string(admission.ReasonWrongIncarnation), ""))
	}
	e := newTestEntry(t, nil, w)
	for range 3 {
		c := keyedCall(e)
		c.key = ""
		if res := e.execute(context.Background(), c); res.outcome != apperr.OutcomeNotRun {
			t.Fatalf("outcome %q, want not-run", res.outcome)
		}
	}
	if w.attempts != 1 {
		t.Fatalf("%d offers to the ended incarnation, want 1", w.attempts)
	}
}

// Guards against a path that reaches the upstream decoded. It would name another
// resource, or every worker would refuse it and count as failed.
func TestUpstreamPathStaysEscaped(t *testing.T) {
	for in, want := range map[string]string{
		"/v1/services/s/a%2Fb%3Fc%0a?q=%20": "/a%2Fb%3Fc%0a?q=%20",
		"/v1/services/s%2Fx/a/b":            "/a/b",
		"/v1/services/s/":                   "/",
	} {
		if got := upstreamPath(httptest.NewRequest(http.MethodGet, in, nil)); got != want {
			t.Errorf("%s: %q, want %q", in, got, want)
		}
	}
}

// hangingTable executes the first commit but does not answer it until the
// context ends.
type hangingTable struct {
	*standin.Table
	commits int
}

func (h *hangingTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	h.commits++
	if h.commits == 1 {
		_, _ = h.Table.Commit(ctx, txn)
		<-ctx.Done()
		return platform.TxnResult{}, platform.ErrUncertain
	}
	return h.Table.Commit(ctx, txn)
}

// Guards against a claim write that is abandoned as uncertain before the store
// has read it back. A single lost response must not refuse the request.
func TestClaimTimeoutLeavesTimeForReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(&hangingTable{Table: standin.NewTable()}, store.Options{
			Name: "entry-1", Incarnation: 1, Limits: store.EntryLimits(), AttemptTimeout: store.EntryAttemptTimeout,
		})
		claims := TableClaims{s.View(store.Claim)}
		ctx, cancel := context.WithTimeout(t.Context(), claimTimeout)
		defer cancel()
		if _, ok, err := claims.Put(ctx, "claims/a", 0, []byte("row")); err != nil || !ok {
			t.Fatalf("claim write after a lost response: committed %v, error %v; want committed", ok, err)
		}
	})
}
