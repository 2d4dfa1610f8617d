package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks writes until it is released.
type blockedWriter struct {
	// called receives a value when a write begins.
	called  chan struct{}
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	select {
	case b.called <- struct{}{}:
	default:
	}
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against logging that blocks a process whose output is not read, and
// against dropped lines that are not counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{called: make(chan struct{}, 1), release: make(chan struct{})}
	w := NewAsyncWriter(out)
	_, _ = w.Write([]byte("first\n")) // never fails
	<-out.called                      // from now on no line leaves the queue
	const lines = 2 * asyncQueueLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			_, _ = w.Write([]byte("line\n")) // never fails
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing blocks")
	}
	close(out.release)
	w.Close()
	written := strings.Count(out.String(), "line\n")
	if written != asyncQueueLines || w.Dropped() != lines-asyncQueueLines {
		t.Errorf("%d lines written and %d dropped, want %d each", written, w.Dropped(), asyncQueueLines)
	}
}

// Guards against a process that panics as it ends, when goroutines that are not awaited
// still log.
func TestAsyncWriterIgnoresLinesAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	_, _ = w.Write([]byte("first\n")) // never fails
	writing := make(chan struct{})
	go func() {
		defer close(writing)
		for w.Dropped() == 0 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	w.Close()
	if n, err := w.Write([]byte("late\n")); n != len("late\n") || err != nil {
		t.Errorf("write after Close: %d, %v, want %d and no error", n, err, len("late\n"))
	}
	<-writing
	if written := out.String(); !strings.HasPrefix(written, "first\n") || strings.Contains(written, "late") || w.Dropped() == 0 {
		t.Errorf("%d bytes written, %d lines dropped, want the first line and not the last", len(written), w.Dropped())
	}
}
