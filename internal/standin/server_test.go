package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

type testClock struct{ now time.Duration }

func (c *testClock) Now() time.Duration { return c.now }

// Guards against a client and the handler using different paths, bodies or
// errors for a service.
func TestServicesOverHTTP(t *testing.T) {
	clock := &testClock{now: time.Hour}
	p := New(Options{Clock: clock.Now})
	srv := httptest.NewServer(NewHandler(p))
	defer srv.Close()
	ctx := context.Background()

	table := platform.NewHTTPTable(srv.URL, srv.Client())
	res, err := table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: "a/2"}},
		Writes:     []platform.Write{{Key: "a/2", Value: []byte("two")}, {Key: "a/1", Value: []byte("one")}},
		Reads:      []string{"a/2", "none"},
	})
	if err != nil || !res.Committed || string(res.Rows[0].Value) != "two" || res.Rows[1].Revision != 0 {
		t.Fatalf("commit: %+v, %v", res, err)
	}
	res, err = table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: "a/2"}},
		Writes:     []platform.Write{{Key: "a/3", Value: []byte("three")}},
	})
	if err != nil || res.Committed {
		t.Fatalf("commit with a failed condition: %+v, %v", res, err)
	}
	rows, err := table.Scan(ctx, "a/", "a/1", 10)
	if err != nil || len(rows) != 1 || rows[0].Key != "a/2" {
		t.Fatalf("scan: %+v, %v", rows, err)
	}

	objects := platform.NewHTTPObjects(srv.URL, srv.Client())
	if err := objects.Put(ctx, "c/1", []byte{0, 1}); err != nil {
		t.Fatal(err)
	}
	if data, err := objects.Get(ctx, "c/1"); err != nil || !bytes.Equal(data, []byte{0, 1}) {
		t.Fatalf("get: %v, %v", data, err)
	}
	if _, err := objects.Get(ctx, "c/2"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get of a missing object: %v", err)
	}

	rt := platform.NewHTTPRuntime(srv.URL, "vm/a b", srv.Client())
	spec := platform.StartSpec{Task: "j/0", Attempt: 1, RunTime: time.Minute,
		Lease: platform.RuntimeLease{ReadAt: clock.now, Budget: time.Second}}
	if err := rt.Start(ctx, spec); err != nil {
		t.Fatal(err)
	}
	if err := rt.Stop(ctx, "j/0", 2); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("stop of another attempt: %v", err)
	}
	st, err := rt.State(ctx)
	if err != nil || st.Now != time.Hour || len(st.Tasks) != 1 || st.Tasks[0].Phase != platform.PhaseRunning {
		t.Fatalf("state: %+v, %v", st, err)
	}
	if len(p.Runtime("vm/a b").tasks) != 1 {
		t.Fatal("the escaped VM name reached another runtime")
	}
}

// Guards against reporting a lost response as a rejection, which would make a
// caller repeat a write that took effect, and against reporting a rejection as
// uncertain.
func TestHTTPErrorClassification(t *testing.T) {
	ctx := context.Background()
	release := make(chan struct{})
	var calls atomic.Int32
	handlers := map[string]http.HandlerFunc{
		"503": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"500": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"404": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) },
		"409": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) },
		"closed": func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			panic(http.ErrAbortHandler)
		},
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		},
		"garbled": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
		"timeout": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-release
		},
	}
	// nil means an error without a kind.
	want := map[string]error{
		"503": platform.ErrUnavailable, "500": platform.ErrUncertain, "404": platform.ErrNotFound, "409": nil,
		"closed": platform.ErrUncertain, "cut": platform.ErrUncertain,
		"garbled": platform.ErrUncertain, "timeout": platform.ErrUncertain,
	}
	kinds := []error{platform.ErrUnavailable, platform.ErrUncertain, platform.ErrNotFound}
	check := func(name string, err, want error) {
		t.Helper()
		if err == nil {
			t.Errorf("%s: no error", name)
		}
		for _, k := range kinds {
			if errors.Is(err, k) != errors.Is(want, k) {
				t.Errorf("%s: error is %v, want %v", name, err, want)
			}
		}
	}
	for name, h := range handlers {
		srv := httptest.NewServer(h)
		client := srv.Client()
		client.Timeout = 5 * time.Second
		if name == "timeout" {
			client.Timeout = 50 * time.Millisecond
		}
		_, err := platform.NewHTTPTable(srv.URL, client).Commit(ctx, platform.Txn{})
		check(name, err, want[name])
		_, err = platform.NewHTTPTable(srv.URL, client).Get(ctx, "k")
		if errors.Is(err, platform.ErrUncertain) {
			t.Errorf("%s: read reported as uncertain: %v", name, err)
		}
		if name == "timeout" {
			close(release)
		}
		srv.Close()
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("%d calls reached the closing server, want one commit and one get", n)
	}

	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + l.Addr().String()
	_ = l.Close()
	_, err = platform.NewHTTPTable(url, nil).Commit(ctx, platform.Txn{})
	check("refused connection", err, platform.ErrUnavailable)
}

// Guards against net/http resending a commit when the server closes a reused
// connection.
func TestCommitIsNotReplayedOnReusedConnection(t *testing.T) {
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, platform.TxnResult{Committed: true})
	}))
	defer srv.Close()
	table := platform.NewHTTPTable(srv.URL, srv.Client())
	if _, err := table.Commit(context.Background(), platform.Txn{}); err != nil {
		t.Fatal(err)
	}
	_, err := table.Commit(context.Background(), platform.Txn{})
	if !errors.Is(err, platform.ErrUncertain) || calls.Load() != 2 {
		t.Fatalf("%d calls, error %v; want 2 calls and an uncertain error", calls.Load(), err)
	}
}

// Guards against repeated executions that the counts miss, and against truncated
// responses or responses to another booking that pass the check.
func TestUpstreamRecordsEveryExecution(t *testing.T) {
	u := NewUpstream(UpstreamOptions{})
	srv := httptest.NewServer(u)
	defer srv.Close()
	for range 2 {
		body, _ := json.Marshal(Booking{ID: "b1", Size: 1000})
		resp, err := http.Post(srv.URL+"/bookings", "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		if err != nil || len(got) != 1000 {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
		if err := CheckBookingBody("b1", got); err != nil {
			t.Fatal(err)
		}
		if CheckBookingBody("b2", got) == nil || CheckBookingBody("b1", got[:999]) == nil {
			t.Fatal("wrong or truncated body passes the check")
		}
	}
	if n := u.Executions()["b1"]; n != 2 {
		t.Fatalf("%d executions recorded, want 2", n)
	}
}

// Guards against tasks that keep running after their lease has expired, tasks
// that lose their progress, and violations that are not recorded.
func TestRuntimeLeaseAndViolations(t *testing.T) {
	ctx := context.Background()
	clock := &testClock{}
	p := New(Options{Clock: clock.Now, Capacity: func(types.VMID) types.Resources { return types.Resources{MilliCPU: 1000} }})
	rt := p.Runtime("a")
	lease := func(s int) platform.RuntimeLease {
		return platform.RuntimeLease{ReadAt: clock.now, Budget: time.Duration(s) * time.Second}
	}
	status := func(rt *Runtime) platform.TaskStatus {
		t.Helper()
		st, err := rt.State(ctx)
		if err != nil || len(st.Tasks) != 1 {
			t.Fatalf("state: %+v, %v", st, err)
		}
		return st.Tasks[0]
	}
	spec := platform.StartSpec{Task: "j/0", Attempt: 1, RunTime: time.Minute,
		Reserved: types.Resources{MilliCPU: 800}, Lease: lease(10)}
	if err := rt.Start(ctx, spec); err != nil {
		t.Fatal(err)
	}
	clock.now = 25 * time.Second
	if s := status(rt); s.Phase != platform.PhaseSuspended || s.Ran != 10*time.Second {
		t.Fatalf("after the lease expired: %s, ran %v; want suspended, 10s", s.Phase, s.Ran)
	}
	if err := rt.Renew(ctx, "j/0", 1, lease(100)); err != nil {
		t.Fatal(err)
	}
	clock.now = 30 * time.Second
	if err := rt.Checkpoint(ctx, "j/0", 1, "ckpt"); err != nil {
		t.Fatal(err)
	}
	if !p.Violations().Clean() {
		t.Fatalf("violations in a correct run: %+v", p.Violations())
	}

	spec.Attempt, spec.Checkpoint, spec.Lease = 2, "ckpt", lease(100)
	other := p.Runtime("b")
	if err := other.Start(ctx, spec); err != nil {
		t.Fatal(err)
	}
	clock.now += time.Second
	if s := status(other); s.Ran != 16*time.Second {
		t.Fatalf("resumed attempt ran %v, want 16s", s.Ran)
	}
	if n := len(p.Violations().Overlaps); n != 1 {
		t.Fatalf("%d overlaps recorded, want 1", n)
	}
	spec.Task, spec.Checkpoint = "j/1", ""
	if err := other.Start(ctx, spec); err != nil {
		t.Fatal(err)
	}
	if n := p.Violations().OverloadCount; n != 1 {
		t.Fatalf("%d overloads recorded, want 1", n)
	}
	clock.now += time.Hour
	if s := status(rt); s.Phase != platform.PhaseDone || s.Ran != time.Minute {
		t.Fatalf("after the run time: %s, ran %v; want done, 1m0s", s.Phase, s.Ran)
	}
	if n := len(p.Violations().RepeatedEndings); n != 1 {
		t.Fatalf("%d repeated endings recorded, want 1", n)
	}
}
