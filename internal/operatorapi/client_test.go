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

// server counts the calls that reach a handler.
func server(t *testing.T, h http.HandlerFunc) (url string, calls *atomic.Int32) {
	t.Helper()
	calls = new(atomic.Int32)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL, calls
}

func client(t *testing.T, timeout time.Duration, entries ...string) *Client {
	t.Helper()
	c, err := New(Options{Entries: entries, Token: "token", Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// refusing returns the URL of a port on which nothing listens.
func refusing(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return "http://" + l.Addr().String()
}

func sound(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"id":"a","kind":"plan"}`) }

func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, `{"id":"a"}`)
}

// silent reads the body first: a server notices that the client has gone only
// after that.
func silent(_ http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func page(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, "<html>")
	}
}

func redirect(w http.ResponseWriter, r *http.Request) {
	http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
}

// Guards against a write that is sent twice or reported as not done although it
// may have taken effect, and against reads that give up although another entry
// answers.
func TestSecondEntry(t *testing.T) {
	tests := []struct {
		name  string
		first http.HandlerFunc
		// write and read are the kinds of the result; empty is success.
		write, read apperr.Kind
		// writes and reads are the calls that the second entry gets.
		writes, reads int32
	}{
		{"answers", sound, "", "", 0, 0},
		{"connection refused", nil, "", "", 1, 1},
		{"hangs up after the call", hangUp, apperr.KindUncertain, "", 0, 1},
		{"truncated answer", truncated, apperr.KindUncertain, "", 0, 1},
		{"no answer in time", silent, apperr.KindUncertain, "", 0, 1},
		{"failure of a balancer", page(http.StatusBadGateway), apperr.KindUncertain, apperr.KindUsage, 0, 0},
		{"page instead of an answer", page(http.StatusOK), apperr.KindUncertain, apperr.KindUsage, 0, 0},
		{"not an operators' API", page(http.StatusNotFound), apperr.KindUsage, apperr.KindUsage, 0, 0},
		{"redirect", redirect, apperr.KindUsage, apperr.KindUsage, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, calls := refusing(t), new(atomic.Int32)
			if tt.first != nil {
				first, calls = server(t, tt.first)
			}
			second, more := server(t, sound)
			c := client(t, 200*time.Millisecond, first, second)
			_, err := c.Submit(context.Background(), "a", "plan")
			if apperr.KindOf(err) != tt.write || more.Load() != tt.writes {
				t.Errorf("write: %v, %d calls of the second entry; want kind %q, %d calls", err, more.Load(), tt.write, tt.writes)
			}
			if apperr.KindOf(err) == apperr.KindUncertain && apperr.From(err).Outcome != apperr.OutcomeUnknown {
				t.Errorf("outcome %q of an uncertain write", apperr.From(err).Outcome)
			}
			more.Store(0)
			_, err = c.Job(context.Background(), "a")
			if apperr.KindOf(err) != tt.read || more.Load() != tt.reads {
				t.Errorf("read: %v, %d calls of the second entry; want kind %q, %d calls", err, more.Load(), tt.read, tt.reads)
			}
			if tt.first != nil && calls.Load() != 2 {
				t.Errorf("%d calls of the first entry, want one write and one read", calls.Load())
			}
		})
	}
}

// Guards against an outage that is reported as anything but unreachable or
// timeout, on which scripts repeat a command.
func TestNoEntryAnswers(t *testing.T) {
	slow, _ := server(t, silent)
	for want, c := range map[apperr.Kind]*Client{
		apperr.KindUnreachable: client(t, time.Second, refusing(t), refusing(t)),
		apperr.KindTimeout:     client(t, 100*time.Millisecond, slow),
	} {
		if _, err := c.Jobs(context.Background()); apperr.KindOf(err) != want {
			t.Errorf("got %v, want kind %s", err, want)
		}
	}
}

// Guards against errors of an entry that lose kind, remedy or outcome on the
// way to the operator.
func TestErrorsOfEntries(t *testing.T) {
	want := apperr.Error{
		Kind: apperr.KindUnavailable, Object: "job a", Problem: "the table does not answer", Remedy: "try again",
		Outcome: apperr.OutcomeNotRun, RetryAfter: 2 * time.Second,
	}
	url, _ := server(t, func(w http.ResponseWriter, _ *http.Request) {
		sent := want
		apperr.WriteHTTP(w, &sent)
	})
	_, err := client(t, time.Second, url).Cancel(context.Background(), "a")
	var got *apperr.Error
	if !errors.As(err, &got) || *got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
