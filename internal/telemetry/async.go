package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncQueueLines is the capacity of the queue in front of the output. A line has
// a few hundred bytes, so a full queue takes about 1 MB at most.
const asyncQueueLines = 2048

// AsyncWriter writes complete lines from its own goroutine. If the queue is full,
// a line is dropped and counted, so that logging never blocks.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	// mu guards closed. No write to lines may follow the end of lines.
	mu     sync.RWMutex
	closed bool
}

// NewAsyncWriter returns a writer in front of w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// run batches the queued lines, up to about 32 KiB, into one write.
func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		buffer := line
		for len(a.lines) > 0 && len(buffer) < 32<<10 {
			buffer = append(buffer, <-a.lines...)
		}
		if _, err := w.Write(buffer); err != nil {
			a.dropped.Add(1) // the counter is the only place to report it
		}
	}
}

// Write queues a copy of the line. It never fails and never blocks. Lines after Close are
// dropped: goroutines that nobody awaits still log while the process ends.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found the queue full or came after Close, plus
// the number of failed writes, each of which may have held several lines.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close waits until the queued lines are written. It must be called once.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	a.closed = true
	close(a.lines)
	a.mu.Unlock()
	<-a.done
}
