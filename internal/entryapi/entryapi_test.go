package entryapi

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/outage"
	"github.com/boragecrank/boragecrank/internal/jobs"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

type fakeEntry struct {
	read  handover.LeaseRead
	err   error
	yield handover.Yield

	submissionErr error
	job           jobs.ForwardedJob
	left          time.Duration
	hang          bool
	answer        jobs.ForwardAnswer
}

func (f *fakeEntry) ReadLease(context.Context) (handover.LeaseRead, error) { return f.read, f.err }

func (f *fakeEntry) ReadLeaseForSubmissions(context.Context) (handover.LeaseRead, error) {
	return handover.LeaseRead{}, f.submissionErr
}

func (f *fakeEntry) SubmitJob(ctx context.Context, s jobs.ForwardedJob) jobs.ForwardAnswer {
	f.job = s
	deadline, _ := ctx.Deadline()
	f.left = time.Until(deadline)
	if f.hang {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	return f.answer
}

func (f *fakeEntry) AcceptYield(y handover.Yield) bool {
	f.yield = y
	return true
}

func serve(t *testing.T, e Entry) (address string, hook *logtest.Hook) {
	logger, hook := logtest.NewNullLogger()
	s := httptest.NewServer(NewHandler(e, telemetry.NewLogger(logger, nil)))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), hook
}

// Guards against fields that are lost or exchanged on the way, and against a confirmation
// by an entry that could not read the lease.
func TestCalls(t *testing.T) {
	term := handover.Term{Owner: "a", Incarnation: 3, Epoch: 7}
	e := &fakeEntry{read: handover.LeaseRead{Term: term, Revision: 9}}
	address, hook := serve(t, e)
	c := NewClient()
	if read, err := c.ReadLease(t.Context(), address); err != nil || read != e.read {
		t.Errorf("got %+v, %v, want %+v", read, err, e.read)
	}
	y := handover.Yield{Term: term, Revision: 8}
	if accepted, err := c.Yield(t.Context(), address, y); !accepted || err != nil || e.yield != y {
		t.Errorf("yield: got %v, %v, and %+v at the server, want %+v", accepted, err, e.yield, y)
	}
	e.err = errors.New("the table does not answer")
	if _, err := c.ReadLease(t.Context(), address); err == nil {
		t.Error("a failed read counts as a confirmation")
	}
	if n := len(hook.AllEntries()); n != 0 {
		t.Errorf("%d events for usable calls", n)
	}
}

// Guards against a forwarded submission whose outcome is stated as not run although the
// other entry may have it, against one that is unknown although the entry cannot have it, and
// against the loss of the caller's deadline.
func TestSubmitJob(t *testing.T) {
	job := jobs.ForwardedJob{ID: "j", Spec: bytes.Repeat([]byte("x"), 200<<10), Version: 4}
	answered := jobs.ForwardAnswer{Outcome: outage.ForwardAccepted, State: []byte("s"), Revision: 5}
	refused := jobs.ForwardAnswer{Outcome: outage.ForwardNotRun, Cause: "outage", RetryAfter: 2 * time.Second}
	statusServer := func(status int) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "refused", status) }))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	closed := httptest.NewServer(nil)
	closed.Close()
	e := &fakeEntry{}
	address, _ := serve(t, e)
	for _, c := range []struct {
		name    string
		address string
		answer  jobs.ForwardAnswer
		hang    bool
		job     jobs.ForwardedJob
		want    jobs.ForwardAnswer
	}{
		{name: "accepted", answer: answered, job: job, want: answered},
		{name: "not run", answer: refused, job: job, want: refused},
		{name: "unknown", answer: jobs.ForwardAnswer{Cause: "no answer"}, job: job, want: jobs.ForwardAnswer{Cause: "no answer"}},
		{name: "unsent result of the other entry is unknown", answer: jobs.ForwardAnswer{Outcome: outage.ForwardUnsent}, job: job},
		{name: "connection ends", hang: true, job: job, want: jobs.ForwardAnswer{Cause: "call failed"}},
		{name: "too large", job: jobs.ForwardedJob{ID: "j", Spec: make([]byte, MaxRequestBytes())}, want: jobs.ForwardAnswer{Outcome: outage.ForwardNotRun, Cause: "call failed"}},
		{name: "no ID", want: jobs.ForwardAnswer{Outcome: outage.ForwardNotRun, Cause: "call failed"}},
		{name: "no listener", address: strings.TrimPrefix(closed.URL, "http://"), job: job, want: jobs.ForwardAnswer{Outcome: outage.ForwardUnsent, Cause: "call failed"}},
		{name: "refused by the listener", address: statusServer(http.StatusServiceUnavailable), job: job, want: jobs.ForwardAnswer{Outcome: outage.ForwardNotRun, Cause: "call failed"}},
		{name: "other version", address: statusServer(http.StatusNotFound), job: job, want: jobs.ForwardAnswer{Outcome: outage.ForwardNotRun, Cause: "call failed"}},
		{name: "internal error", address: statusServer(http.StatusInternalServerError), job: job, want: jobs.ForwardAnswer{Cause: "call failed"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			*e = fakeEntry{answer: c.answer, hang: c.hang}
			const timeout = 400 * time.Millisecond
			got, err := NewClient().SubmitJob(t.Context(), cmp.Or(c.address, address), c.job, timeout)
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %+v, %v, want %+v", got, err, c.want)
			}
			if c.answer.Cause != "" && (!reflect.DeepEqual(e.job, c.job) || e.left <= 0 || e.left > timeout) {
				t.Errorf("the entry got %.20q of version %d with %v left", e.job.ID, e.job.Version, e.left)
			}
		})
	}
	*e = fakeEntry{answer: answered}
	if _, err := NewClient().SubmitJob(t.Context(), address, job, time.Hour); err != nil || e.left > 2*time.Second {
		t.Errorf("an entry may hold a job for %v, %v", e.left, err)
	}
	*e = fakeEntry{err: errors.New("this entry is the owner")}
	if err := NewClient().ReadLeaseForSubmissions(t.Context(), address); err != nil {
		t.Errorf("the owner does not take submissions: %v", err)
	}
	e.submissionErr = errors.New("the table does not answer")
	if err := NewClient().ReadLeaseForSubmissions(t.Context(), address); err == nil {
		t.Error("an entry that the table does not serve takes submissions")
	}
}

// Guards against a process that stops, or reads without a bound, on bad input, and against
// a yield without a term that takes effect.
func TestBadInput(t *testing.T) {
	e := &fakeEntry{}
	address, hook := serve(t, e)
	for _, body := range []string{"", "{", strings.Repeat("x", maxBodyBytes+1), `{"term":{"owner":"a"}}`, `{"term":7}`} {
		resp, err := http.Post("http://"+address+"/twirp/boragecrank.wire.EntryService/Yield", "application/json", strings.NewReader(body)) //nolint:noctx // a test
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK || e.yield != (handover.Yield{}) {
			t.Errorf("body %.20q: status %d, yield %+v", body, resp.StatusCode, e.yield)
		}
	}
	if n := len(hook.AllEntries()); n != 1 || hook.LastEntry().Data["event"] != 569 {
		t.Errorf("%d events, want one", n)
	}
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	}))
	defer large.Close()
	if _, err := NewClient().ReadLease(t.Context(), strings.TrimPrefix(large.URL, "http://")); err == nil {
		t.Error("a response of 1 MB is accepted")
	}
}
