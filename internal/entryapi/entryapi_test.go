package entryapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

type fakeEntry struct {
	read  handover.LeaseRead
	err   error
	yield handover.Yield
}

func (f *fakeEntry) ReadLease(context.Context) (handover.LeaseRead, error) { return f.read, f.err }

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
