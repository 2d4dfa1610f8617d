package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/localrun"
	"github.com/boragecrank/boragecrank/internal/worker"
)

// span holds the fields of an exported span that the test checks.
type span struct {
	Name                string
	SpanContext, Parent struct{ TraceID, SpanID string }
}

func readSpans(t *testing.T, file string) []span {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var all []span
	for dec := json.NewDecoder(bytes.NewReader(b)); ; {
		var s span
		if err := dec.Decode(&s); errors.Is(err, io.EOF) {
			return all
		} else if err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
	}
}

// recordingUpstream is an upstream in the test process that records the
// headers of its requests.
type recordingUpstream struct {
	mu      sync.Mutex
	headers []http.Header
}

func (u *recordingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	u.headers = append(u.headers, r.Header.Clone())
	u.mu.Unlock()
	_, _ = io.WriteString(w, "ok")
}

func (u *recordingUpstream) receivedHeaders() []http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.headers
}

// serveUpstream serves an upstream in the test process and announces it to a
// worker until the test ends. Announcements expire, so they are repeated. A failed
// announcement is repeated as well.
func serveUpstream(t *testing.T, address, announcementAddr string, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	announce := func() {
		body, _ := json.Marshal(worker.Announcement{Service: "berth-check", Address: address, Slots: 2, Connections: 4})
		req, err := http.NewRequest(http.MethodPut, "http://"+announcementAddr+"/v1/upstreams/own", bytes.NewReader(body))
		if err != nil {
			return
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
	announce()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				announce()
			}
		}
	}()
}

// Guards against hops without a span, spans of one request in different traces,
// and upstreams that do not receive the trace context of the caller.
func TestOneTracePerRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	f := startFleet(t, localrun.Options{Entries: 1, Domains: 1, Workers: 1, Trace: true})
	u := &recordingUpstream{}
	// The worker accepts announcements on the same IP as its upstream, at port
	// 7002.
	serveUpstream(t, f.d.UpstreamAddr(1, 1), strings.Replace(f.d.UpstreamAddr(1, 1), ":8000", ":7002", 1), u)
	const traceID, callerSpan = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	book := func(key string) bool {
		req, err := http.NewRequest(http.MethodPost, "http://"+f.d.CallerAddr(1)+"/v1/services/berth-check/x", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", key)
		if key == "traced" {
			req.Header.Set("Traceparent", "00-"+traceID+"-"+callerSpan+"-01")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.Header.Get(apperr.HeaderOutcome) == string(apperr.OutcomeDone)
	}
	await(t, "service", 20*time.Second, func() bool { return book("first") })
	if !book("traced") {
		t.Fatal("outcome of the traced booking is not done")
	}
	headers := u.receivedHeaders()
	// The Traceparent header that the upstream received.
	parent := headers[len(headers)-1].Get("Traceparent")
	for _, name := range []string{localrun.WorkerName(1, 1), localrun.EntryName(1)} {
		if err := f.d.Stop(name, stopTimeout); err != nil {
			t.Fatal(err)
		}
	}
	spans := append(readSpans(t, f.d.TraceFile(localrun.EntryName(1))), readSpans(t, f.d.TraceFile(localrun.WorkerName(1, 1)))...)
	parents := make(map[string]string)
	ids := make(map[string]string)
	for _, s := range spans {
		if s.SpanContext.TraceID != traceID {
			continue
		}
		if _, twice := ids[s.Name]; twice {
			t.Errorf("more than one span named %s in the trace", s.Name)
		}
		ids[s.Name] = s.SpanContext.SpanID
		parents[s.Name] = s.Parent.SpanID
	}
	ids["caller"] = callerSpan
	for name, parent := range map[string]string{
		"entry.request": "caller", "entry.claim": "entry.request", "entry.attempt": "entry.request",
		"worker.run": "entry.attempt", "worker.upstream": "worker.run",
	} {
		if ids[name] == "" || parents[name] != ids[parent] {
			t.Errorf("span %s %q has parent %q, want %s %q", name, ids[name], parents[name], parent, ids[parent])
		}
	}
	if want := "00-" + traceID + "-" + ids["worker.upstream"] + "-01"; parent != want {
		t.Errorf("upstream got traceparent %q, want %q", parent, want)
	}
}
