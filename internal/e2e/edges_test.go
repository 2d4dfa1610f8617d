package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/localrun"
	"github.com/boragecrank/boragecrank/internal/wire/callauth"
	"github.com/boragecrank/boragecrank/internal/wire/runcall"
)

const bookingPath = "/v1/services/berth-check/bookings"

// sendRequest sends a request and returns the status, outcome and typed error
// of the response. header alternates names and values.
func sendRequest(t *testing.T, method, url, body string, header ...string) (int, apperr.Outcome, apperr.Body) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return readTypedResponse(t, resp)
}

func readTypedResponse(t *testing.T, resp *http.Response) (int, apperr.Outcome, apperr.Body) {
	t.Helper()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var e apperr.Body
	outcome := apperr.Outcome(resp.Header.Get(apperr.HeaderOutcome))
	// With the outcome done, the body comes from the upstream and is not a typed
	// error.
	if resp.StatusCode >= http.StatusBadRequest && outcome != apperr.OutcomeDone {
		if err := json.Unmarshal(content, &e); err != nil {
			t.Errorf("status %d without a typed error, body %.200q", resp.StatusCode, content)
		}
	}
	return resp.StatusCode, outcome, e
}

// Guards against invalid requests that get an untyped error, that run although
// they were rejected, or that make the entry treat healthy workers as failed.
func TestBadInput(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	f := startFleet(t, localrun.Options{Entries: 1, Domains: 1, Workers: 2, Upstreams: true})
	c := newCallers(f)
	awaitService(t, c)
	before := f.totalExecutions()
	base := "http://" + f.d.CallerAddr(1)
	// The worker serves internal calls on the same IP as its upstream, at port
	// 7001.
	internal := "http://" + strings.Replace(f.d.UpstreamAddr(1, 1), ":8000", ":7001", 1)
	api := "http://" + f.d.OperatorAddr(1)
	auth := []string{"Authorization", "Bearer " + localrun.Token}
	// 9 MiB exceeds every body limit of an entry (at most 8 MiB), and twice as
	// much the limit of 9 MiB for a call to a worker. Headers are limited to
	// 32 KiB, and an Idempotency-Key to 255 bytes.
	long := strings.Repeat("x", 9<<20)
	cases := []struct {
		name, method, url, body string
		header                  []string
		status                  int
		kind                    apperr.Kind
		outcome                 apperr.Outcome
	}{
		{"body over the limit", "POST", base + bookingPath, long, nil, 413, apperr.KindTooLarge, apperr.OutcomeNotRun},
		{"headers over the limit", "POST", base + bookingPath, "{}", []string{"X-Long", long[:34<<10]}, 413, apperr.KindTooLarge, apperr.OutcomeNotRun},
		{"unknown service", "POST", base + "/v1/services/none/bookings", "{}", nil, 404, apperr.KindNotFound, apperr.OutcomeNotRun},
		{"long key", "POST", base + bookingPath, "{}", []string{"Idempotency-Key", long[:300]}, 400, apperr.KindInvalid, apperr.OutcomeNotRun},
		{"unknown path", "POST", base + "/v2", "{}", nil, 404, apperr.KindNotFound, apperr.OutcomeNotRun},
		{"no token", "GET", api + "/v1/status", "", nil, 401, apperr.KindUnauthorized, ""},
		{"wrong token", "GET", api + "/v1/status", "", []string{"Authorization", "Bearer no"}, 401, apperr.KindUnauthorized, ""},
		{"unknown operators' path", "GET", api + "/v1/none", "", auth, 404, apperr.KindNotFound, ""},
		{"job that is not JSON", "POST", api + "/v1/jobs", "{", auth, 400, apperr.KindInvalid, ""},
		{"configuration over the limit", "PUT", api + "/v1/config", long, append([]string{"If-Match", "1"}, auth...), 413, apperr.KindTooLarge, ""},
		{"call without authentication", "POST", internal + runcall.PathPrefix + "berth-check", "{}", nil, 401, apperr.KindUnauthorized, ""},
		{"call with wrong authentication", "POST", internal + runcall.PathPrefix + "berth-check", "{}", []string{callauth.Header, strings.Repeat("00", 32)}, 401, apperr.KindUnauthorized, ""},
		{"call over the limit", "POST", internal + runcall.PathPrefix + "berth-check", long + long, nil, 413, apperr.KindTooLarge, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status, outcome, e := sendRequest(t, tc.method, tc.url, tc.body, tc.header...)
			if status != tc.status || e.Kind != tc.kind || outcome != tc.outcome {
				t.Errorf("status %d, kind %q, outcome %q (%s); want %d, %q, %q", status, e.Kind, outcome, e.Message, tc.status, tc.kind, tc.outcome)
			}
			if e.Object == "" || e.Message == "" || e.Remedy == "" {
				t.Errorf("typed error without object, message or remedy: %+v", e)
			}
		})
	}
	t.Run("truncated body", func(t *testing.T) { testTruncatedBody(t, f) })
	t.Run("long headers within the limit", func(t *testing.T) {
		// Repeated so that the entry would stop using a worker if it counted these
		// responses as failures.
		for range 20 {
			if status, outcome, e := sendRequest(t, "POST", base+bookingPath, "not JSON", "X-Long", long[:31<<10]); outcome != apperr.OutcomeDone || status != 400 {
				t.Fatalf("status %d, outcome %q, %+v; want the upstream's response 400", status, outcome, e)
			}
		}
	})
	t.Run("path with escapes", func(t *testing.T) {
		for _, path := range []string{"%0a", "%25zz", "a%2Fb", "a%20b%3Fc"} {
			// Repeated for the same reason as above.
			for range 6 {
				status, outcome, e := sendRequest(t, "POST", base+"/v1/services/berth-check/"+path, "{}")
				if outcome != apperr.OutcomeDone || status != 404 {
					t.Fatalf("path %s: status %d, outcome %q, %+v; want the upstream's response 404", path, status, outcome, e)
				}
			}
		}
	})
	t.Run("slow callers", func(t *testing.T) { testSlowCallers(t, c) })
	if got := f.totalExecutions(); got != before+slowCallerBookings {
		t.Errorf("%d bookings ran, want %d", got-before, slowCallerBookings)
	}
}

func (f *fleet) totalExecutions() int {
	n := 0
	for _, r := range f.upstreamRecords() {
		n += len(r.executions)
	}
	return n
}

// openPartialRequest opens a connection and sends a booking request with only
// part of its declared body.
func openPartialRequest(t *testing.T, f *fleet, id string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", f.d.CallerAddr(1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"id\":%q", bookingPath, id); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

func testTruncatedBody(t *testing.T, f *fleet) {
	conn := openPartialRequest(t, f, "cut")
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	status, outcome, e := readTypedResponse(t, resp)
	if status != 400 || e.Kind != apperr.KindInvalid || outcome != apperr.OutcomeNotRun {
		t.Errorf("status %d, outcome %q, %+v; want 400 invalid not-run", status, outcome, e)
	}
}

// slowCallerBookings is the number of bookings sent while slow callers are
// connected.
const slowCallerBookings = 20

// testSlowCallers opens more incomplete requests than the two upstreams have slots
// (8 each) and checks that other bookings are still served within 1 s.
func testSlowCallers(t *testing.T, c *callers) {
	for i := range 60 {
		openPartialRequest(t, c.f, fmt.Sprintf("slow-%d", i))
	}
	for i := range slowCallerBookings {
		b := &booking{}
		b.ID = fmt.Sprintf("beside-slow-%d", i)
		if a := c.send(b, 1); !a.complete || a.to.Sub(a.from) > time.Second {
			t.Errorf("booking sent during slow requests: %+v after %v", a, a.to.Sub(a.from))
		}
	}
}
