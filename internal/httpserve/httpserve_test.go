package httpserve

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func listen(t *testing.T, handler http.Handler) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", handler, DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// connect opens a connection and waits until the server has accepted it.
func connect(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	time.Sleep(100 * time.Millisecond)
	return conn
}

// Guards against a shutdown that runs into its time limit because a client opened a
// connection and sent nothing on it. Go's HTTP client does this when it dials a
// connection that it then does not need. For this reason an agent did not shut down
// within 1 s.
func TestShutdownDoesNotWaitForUnusedConnection(t *testing.T) {
	t.Parallel()
	s := listen(t, http.NotFoundHandler())
	connect(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Errorf("shutdown with an unused connection: %v", err)
	}
}

// Guards against dropping a request because it was the first on its connection and
// arrived after the start of the shutdown.
func TestShutdownAnswersRequestOnNewConnection(t *testing.T) {
	t.Parallel()
	s := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond) // longer than unusedConnGrace
		_, _ = io.WriteString(w, "whole")
	}))
	conn := connect(t, s)
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	time.Sleep(200 * time.Millisecond / 4) // 50 ms, shorter than unusedConnGrace
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil || len(response) < len("whole") || string(response[len(response)-len("whole"):]) != "whole" {
		t.Errorf("got response %q, error %v; want a response that ends with \"whole\"", response, err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}
