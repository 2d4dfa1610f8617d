package operatorapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

// startServer serves h and counts the calls that reach it.
func startServer(t *testing.T, h http.HandlerFunc) (url string, calls *atomic.Int32) {
	t.Helper()
	calls = new(atomic.Int32)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL, calls
}

func newTestClient(t *testing.T, timeout time.Duration, entries ...string) *Client {
	t.Helper()
	c, err := New(Options{Entries: entries, Token: "token", Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// closedPortURL returns the URL of a port on which nothing listens.
func closedPortURL(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return "http://" + l.Addr().String()
}

func jobResponse(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"id":"a","kind":"plan"}`) }

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncatedResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, `{"id":"a"}`)
}

// neverRespond reads the body first, because a server detects a closed client
// connection only after that.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func htmlPage(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, "<html>")
	}
}

func redirect(w http.ResponseWriter, r *http.Request) {
	http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
}

// Guards against a write that is sent twice or reported as not done although it
// may have taken effect, and against reads that fail although another entry
// responds.
func TestFailoverToSecondEntry(t *testing.T) {
	tests := []struct {
		name  string
		first http.HandlerFunc
		// write and read are the expected error kinds; empty means success.
		write, read apperr.Kind
		// writes and reads are the numbers of calls that the second entry receives.
		writes, reads int32
	}{
		{"answers", jobResponse, "", "", 0, 0},
		{"connection refused", nil, "", "", 1, 1},
		{"connection closed after the call", abortConnection, apperr.KindUncertain, "", 0, 1},
		{"truncated response", truncatedResponse, apperr.KindUncertain, "", 0, 1},
		{"no response in time", neverRespond, apperr.KindUncertain, "", 0, 1},
		{"error from a balancer", htmlPage(http.StatusBadGateway), apperr.KindUncertain, apperr.KindUsage, 0, 0},
		{"HTML page instead of JSON", htmlPage(http.StatusOK), apperr.KindUncertain, apperr.KindUsage, 0, 0},
		{"not an operators' API", htmlPage(http.StatusNotFound), apperr.KindUsage, apperr.KindUsage, 0, 0},
		{"redirect", redirect, apperr.KindUsage, apperr.KindUsage, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, calls := closedPortURL(t), new(atomic.Int32)
			if tt.first != nil {
				first, calls = startServer(t, tt.first)
			}
			second, secondCalls := startServer(t, jobResponse)
			c := newTestClient(t, 200*time.Millisecond, first, second)
			_, err := c.Submit(context.Background(), "a", "plan")
			if apperr.KindOf(err) != tt.write || secondCalls.Load() != tt.writes {
				t.Errorf("write: %v, %d calls of the second entry; want kind %q, %d calls", err, secondCalls.Load(), tt.write, tt.writes)
			}
			if apperr.KindOf(err) == apperr.KindUncertain && apperr.From(err).Outcome != apperr.OutcomeUnknown {
				t.Errorf("outcome %q of an uncertain write", apperr.From(err).Outcome)
			}
			secondCalls.Store(0)
			_, err = c.Job(context.Background(), "a")
			if apperr.KindOf(err) != tt.read || secondCalls.Load() != tt.reads {
				t.Errorf("read: %v, %d calls of the second entry; want kind %q, %d calls", err, secondCalls.Load(), tt.read, tt.reads)
			}
			if tt.first != nil && calls.Load() != 2 {
				t.Errorf("%d calls of the first entry, want one write and one read", calls.Load())
			}
		})
	}
}

// Guards against an outage that is not reported as unreachable or timeout. Scripts
// retry a command on these two kinds (exit code 4).
func TestNoEntryResponds(t *testing.T) {
	slow, _ := startServer(t, neverRespond)
	for want, c := range map[apperr.Kind]*Client{
		apperr.KindUnreachable: newTestClient(t, time.Second, closedPortURL(t), closedPortURL(t)),
		apperr.KindTimeout:     newTestClient(t, 100*time.Millisecond, slow),
	} {
		if _, err := c.Jobs(context.Background()); apperr.KindOf(err) != want {
			t.Errorf("got %v, want kind %s", err, want)
		}
	}
}

// Guards against errors of an entry that reach the operator without kind, remedy
// or outcome.
func TestErrorsOfEntries(t *testing.T) {
	want := apperr.Error{
		Kind: apperr.KindUnavailable, Object: "job a", Problem: "the table does not answer", Remedy: "try again",
		Outcome: apperr.OutcomeNotRun, RetryAfter: 2 * time.Second,
	}
	url, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		sent := want
		apperr.WriteHTTP(w, &sent)
	})
	_, err := newTestClient(t, time.Second, url).Cancel(context.Background(), "a")
	var got *apperr.Error
	if !errors.As(err, &got) || *got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
