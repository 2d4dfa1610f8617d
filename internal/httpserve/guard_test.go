package httpserve

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/intake"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// testLimit is the largest legal body in these tests.
const testLimit = 256 << 10

// listenGuarded serves a handler that returns the body, on a guard with this memory.
func listenGuarded(t *testing.T, memory int64, change func(*Limits)) (*Server, *guardedListener) {
	t.Helper()
	l := DefaultLimits()
	l.Guard = NewGuard(memory, DefaultOpenFiles, telemetry.Nop())
	l.Name, l.Share, l.BodyBytes, l.HandleFactor = "test", 1, testLimit, 8
	if change != nil {
		change(&l)
	}
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, testLimit)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(body)
	}), l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, s.listener.(*guardedListener)
}

// start opens a connection and sends text on it.
func start(t *testing.T, s *Server, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func awaitTrue(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("timed out waiting for " + what)
}

// stall opens n connections that send all but the last byte of a body, and waits until
// the listener has read what it admits.
func stall(t *testing.T, s *Server, n, size int) []net.Conn {
	t.Helper()
	var conns []net.Conn
	for range n {
		conns = append(conns, start(t, s, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))))
	}
	return conns
}

func head(s *Server, text string) string {
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(conn, text) // the server may answer before it has read all
	data, _ := io.ReadAll(conn)
	return string(data)
}

func wantAnswer(t *testing.T, answer string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(answer, p) {
			t.Errorf("answer %.300q, want it to contain %q", answer, p)
		}
	}
}

// Guards against bodies that are changed, cut or refused although they are legal, on the
// smallest VM in use: whole, in pieces, in chunks, empty, and on a kept connection.
func TestLegalBodiesAreServed(t *testing.T) {
	t.Parallel()
	s, _ := listenGuarded(t, 152<<20, nil)
	for _, size := range []int{1, smallBodyBytes - 1, smallBodyBytes, smallBodyBytes + 1, testLimit - 1, testLimit} {
		body := bytes.Repeat([]byte("0123456789abcdef"), testLimit/16)[:size]
		for _, reader := range []io.Reader{bytes.NewReader(body), io.MultiReader(bytes.NewReader(body))} { // announced, chunked
			resp, err := http.Post("http://"+s.Addr().String(), "text/plain", reader)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(got, body) {
				t.Errorf("body of %d bytes: status %d, %d bytes, error %v", size, resp.StatusCode, len(got), err)
			}
		}
	}
	resp, err := http.Get("http://" + s.Addr().String())
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("request without a body: %v", err)
	}
	_ = resp.Body.Close()
}

// Guards against refusing the largest configuration of the product's operators, whose
// handling is charged with more than the budget, beside an ordinary request that is in
// progress, with the least memory that its settings allow.
func TestLargestBodyIsServedBesideSmallOne(t *testing.T) {
	t.Parallel()
	const limit = 8 << 20
	l := DefaultLimits()
	l.Guard = NewGuard(256<<20, DefaultOpenFiles, telemetry.Nop())
	l.Name, l.Share, l.BodyBytes, l.HandleFactor = "test", 1, limit, 4
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, limit)
		_, _ = fmt.Fprint(w, len(body), err)
	}), l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	for _, b := range []*budget{l.Guard.receive, l.Guard.handle} {
		other := b.hold(nil)
		if !other.extend(4<<10, 0, nil) {
			t.Fatal("a small charge waits")
		}
		t.Cleanup(other.release)
	}
	body := strings.Repeat("x", limit)
	for _, reader := range []io.Reader{strings.NewReader(body), io.MultiReader(strings.NewReader(body))} { // announced, chunked
		resp, err := http.Post("http://"+s.Addr().String(), "text/plain", reader)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if want := fmt.Sprint(limit, nil); resp.StatusCode != http.StatusOK || string(got) != want {
			t.Errorf("status %d, %.100q, want %q", resp.StatusCode, got, want)
		}
	}
}

// Guards against reading a body over the limit, by its announced length or in chunks.
func TestOversizeIsRefused(t *testing.T) {
	t.Parallel()
	s, l := listenGuarded(t, 0, func(l *Limits) {
		l.Operator = func() OperatorLimits { return OperatorLimits{BodyBytes: 1000, HeaderBytes: 500} }
	})
	wantAnswer(t, head(s, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n"), " 413 ", "Connection: close")
	wantAnswer(t, head(s, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n"+strings.Repeat("x", 1001)+"\r\n0\r\n\r\n"), " 413 ")
	wantAnswer(t, head(s, "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n"+strings.Repeat("x", 1000)+"\r\n0\r\n\r\n"), " 200 ")
	wantAnswer(t, head(s, "GET / HTTP/1.1\r\nHost: x\r\nA: "+strings.Repeat("x", 500)+"\r\n\r\n"), " 431 ")
	if n := l.refused[TooLarge].Load(); n != 2 {
		t.Errorf("%d refusals counted, want 2", n)
	}
}

// Guards against a client that holds a connection and memory by sending slowly.
func TestSlowBodyEnds(t *testing.T) {
	t.Parallel()
	s, l := listenGuarded(t, 0, nil)
	wantAnswer(t, head(s, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n123"), " 408 ", "has not run")
	if l.refused[Slow].Load() != 1 || l.guard.receive.used() != 0 {
		t.Errorf("%d refusals, %v bytes charged, want 1 and 0", l.refused[Slow].Load(), l.guard.receive.used())
	}
}

// Guards against a truncated body that reaches the handler.
func TestTruncatedBodyIsRefused(t *testing.T) {
	t.Parallel()
	s, _ := listenGuarded(t, 0, nil)
	conn := start(t, s, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n123")
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	data, _ := io.ReadAll(conn)
	wantAnswer(t, string(data), " 400 ", "has not run")
}

// Guards against a crowd of bodies that stall just before their end and keep ordinary
// requests, small or large, from being served; and against charges that are left over.
func TestStalledBodiesMakeRoom(t *testing.T) {
	t.Parallel()
	const memory = 16 << 20 // 1 MB for bodies, of which large ones may use 768 KB
	s, l := listenGuarded(t, memory, func(l *Limits) { l.HandleFactor = 0 })
	crowd := stall(t, s, 6, testLimit)
	awaitTrue(t, "the crowd to hold the budget", func() bool { return l.guard.receive.used() >= 3*testLimit })
	for _, size := range []int{100, testLimit} {
		wantAnswer(t, head(s, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))), " 200 ")
	}
	if l.refused[Stalled].Load() == 0 {
		t.Error("no stalled body was given up")
	}
	for _, c := range crowd {
		_ = c.Close()
	}
	awaitTrue(t, "all charges to be released", func() bool { return l.guard.receive.used() == 0 && l.guard.handle.used() == 0 })
}

// Guards against a refusal for want of memory that does not say when to retry, or that
// follows after the request has run.
func TestNoMemoryIsRefused(t *testing.T) {
	t.Parallel()
	s, l := listenGuarded(t, 16<<20, nil)
	for l.guard.handle.used() < float64(l.guard.handle.bytes) {
		other := l.guard.handle.hold(nil)
		if !other.extend(64<<10, 0, nil) {
			t.Fatal("the budget cannot be filled")
		}
		defer other.release()
	}
	answer := head(s, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n"+strings.Repeat("x", 100))
	wantAnswer(t, answer, " 503 ", "Retry-After: ", "has not run", "Connection: close")
	if strings.Contains(answer, strings.Repeat("x", 100)) {
		t.Error("the request has run")
	}
	if l.refused[NoMemory].Load() != 1 {
		t.Errorf("%d refusals counted, want 1", l.refused[NoMemory].Load())
	}
}

// Guards against more connections than the limit, and against silent ones that keep an
// ordinary request out.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	s, l := listenGuarded(t, 0, func(l *Limits) { l.Connections = 8 })
	var highest float64
	for i := range 40 {
		start(t, s, []string{"", "GET / HTTP/1.1\r\nA"}[i%2])
		highest = max(highest, l.inUse())
	}
	wantAnswer(t, head(s, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), " 200 ")
	if highest = max(highest, l.inUse()); highest > 8 {
		t.Errorf("%v open connections, want at most 8", highest)
	}
	if l.refused[connectionClosed].Load() == 0 {
		t.Error("no connection was closed for another one")
	}
}

// Guards against headers that take much memory and are never completed.
func TestStalledHeadersMakeRoom(t *testing.T) {
	t.Parallel()
	s, l := listenGuarded(t, 16<<20, nil)
	const header = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nA: "
	for range 10 {
		start(t, s, header+strings.Repeat("x", 8000))
	}
	awaitTrue(t, "the headers to be charged", func() bool { return l.guard.headers.used() > float64(l.guard.headers.bytes/2) })
	wantAnswer(t, head(s, header+strings.Repeat("x", 8000)+"\r\n\r\n"), " 200 ")
	if used := l.guard.headers.used(); used > float64(l.guard.headers.bytes) {
		t.Errorf("%v bytes charged, want at most %d", used, l.guard.headers.bytes)
	}
}

// Guards against connections that outlast the operator's timeouts.
func TestOperatorTimeouts(t *testing.T) {
	t.Parallel()
	s, l := listenGuarded(t, 0, func(l *Limits) {
		l.Operator = func() OperatorLimits {
			return OperatorLimits{ReadHeader: 300 * time.Millisecond, Idle: 300 * time.Millisecond}
		}
	})
	header := start(t, s, "GET / HTTP/1.1\r\nA")
	idle := start(t, s, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	for name, conn := range map[string]net.Conn{"header": header, "idle": idle} {
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second)) // below the limits without an operator
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("connection with phase %s is not closed: %v", name, err)
		}
	}
	if l.refused[headerSlow].Load() != 1 {
		t.Errorf("%d slow headers counted, want 1", l.refused[headerSlow].Load())
	}
}

// Guards against a timeout, or the need for a slot, that meets a connection between its
// slot and the entry of its owner, and ends the process.
func TestNewConnectionMayExpireAtOnce(t *testing.T) {
	t.Parallel()
	s, l := listenGuarded(t, 0, func(l *Limits) {
		l.Operator = func() OperatorLimits { return OperatorLimits{ReadHeader: time.Nanosecond} }
	})
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			default:
				l.closeExpired(clock.Now() + time.Second)
			}
		}
	}()
	for range 300 {
		_ = start(t, s, "").Close()
	}
	close(done)
	<-ended
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Guards against a crowd that floods the log.
func TestRefusalsAreLoggedTogether(t *testing.T) {
	t.Parallel()
	out := &lockedBuffer{}
	logger := logrus.New()
	logger.SetOutput(out)
	_, l := listenGuarded(t, 0, nil)
	log := telemetry.NewLogger(logger, nil)
	for i := range 1000 {
		l.count(TooLarge)
		l.report(time.Second+time.Duration(i)*10*time.Millisecond, log)
	}
	l.report(time.Second+reportInterval, log)
	if n := strings.Count(out.b.String(), "event=145"); n != 2 || !strings.Contains(out.b.String(), "count=999") {
		t.Errorf("%d lines for 1000 refusals in 10 s, want 2: %s", n, out.b.String())
	}
}

// Guards against a request that is cancelled because the time for its body is over while
// its handler still runs.
func TestBodyDeadlineEndsWithBody(t *testing.T) {
	t.Parallel()
	l := DefaultLimits()
	l.Guard, l.Name, l.Share, l.BodyBytes = NewGuard(0, 0, telemetry.Nop()), "test", 1, testLimit
	cancelled := make(chan error, 1)
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), bodyGrace+time.Second)
		defer cancel()
		<-ctx.Done()
		cancelled <- r.Context().Err()
	}), l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	start(t, s, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	if err := <-cancelled; err != nil {
		t.Errorf("request was cancelled: %v", err)
	}
}

// Guards against reads during a handler that count as a header.
func TestPhaseOfKeptConnection(t *testing.T) {
	t.Parallel()
	s, l := listenGuarded(t, 0, nil)
	conn := start(t, s, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	awaitTrue(t, "the connection to be idle", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.slots.Expired(intake.Idle, 0, time.Hour) == nil && l.slots.InUse() == 1
	})
	_ = conn.Close()
	awaitTrue(t, "the slot to be free", func() bool { return l.inUse() == 0 })
}
