package httpserve

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/intake"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// errGivenUp ends the reading of a body that was given up for another request.
var errGivenUp = errors.New("body was given up for another request")

// Body is a body that was read as a whole before its handler runs.
type Body struct {
	bytes.Reader
	data []byte
}

// Close implements io.Closer.
func (b *Body) Close() error { return nil }

// ReadBody returns the whole body of a request, without a copy if the guard has read it.
// The caller must not change the bytes. The error is a *http.MaxBytesError if the body is
// longer than limit bytes.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b, ok := r.Body.(*Body)
	if !ok {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if int64(len(b.data)) > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return b.data, nil
}

// headerSize returns about the number of bytes of a request's header.
func headerSize(r *http.Request) int {
	const fieldOverhead = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return size
}

// handler returns a handler that reads the whole body of each request within the limits,
// charges the request to the guard, and then calls next.
func (l *guardedListener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*guardedConn)
		if !ok || !conn.headerDone() {
			panic(http.ErrAbortHandler) // the connection is being closed
		}
		conn.enter(intake.Handling)
		var o OperatorLimits
		if l.limits.Operator != nil {
			o = l.limits.Operator()
		}
		if o.HeaderBytes > 0 && headerSize(r) > o.HeaderBytes {
			l.refuse(w, r, conn, HeaderTooLarge)
			return
		}
		size := int64(0)
		var received *holding
		if r.ContentLength != 0 && r.Body != nil && r.Body != http.NoBody {
			body, h, cause := l.receive(w, r, conn, o.BodyBytes)
			if cause != "" {
				l.refuse(w, r, conn, cause)
				return
			}
			received, size = h, int64(len(body))
			r.Body = &Body{Reader: *bytes.NewReader(body), data: body}
			r.ContentLength, r.TransferEncoding = size, nil
			conn.enter(intake.Handling)
		}
		if charge := l.limits.RequestBytes + size*int64(1+l.limits.HandleFactor); charge > 0 {
			handled := l.guard.handle.hold(nil)
			defer handled.release()
			admitted := handled.extend(charge, maxBudgetWait, r.Context().Done())
			if received != nil {
				received.release() // its bytes are part of the other charge now
			}
			if !admitted {
				l.refuse(w, r, conn, NoMemory)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// maxBody returns the maximum size of a body: the operator's limit or that of the
// listener, and no more than the memory allows.
func (l *guardedListener) maxBody(operator int64) int64 {
	limit := l.limits.BodyBytes
	if operator > 0 {
		limit = operator
	}
	if fits := l.guard.receive.largest(); limit > fits {
		if operator > 0 && !l.bodyCut.Swap(true) {
			l.guard.tel.Log.Log(eventBodyLimitCut, nil, telemetry.Fields{"listener": l.name, "configured": limit, "used": fits})
		}
		return fits
	}
	return limit
}

// receive reads the whole body. The holding covers its bytes; the caller releases it
// unless there is a cause for a refusal.
func (l *guardedListener) receive(w http.ResponseWriter, r *http.Request, conn *guardedConn, operator int64) ([]byte, *holding, Cause) {
	limit := l.maxBody(operator)
	if r.ContentLength > limit {
		return nil, nil, TooLarge
	}
	control := http.NewResponseController(w)
	h := l.guard.receive.hold(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	// A body of unknown length is charged as a small one first, and as the largest one
	// when it is longer, so that it waits at most once for the memory of others.
	size := r.ContentLength
	if size < 0 {
		size = min(smallBodyBytes, limit)
	}
	if !h.extend(size, maxBudgetWait, nil) {
		h.release()
		return nil, nil, NoMemory
	}
	conn.enter(intake.Body)
	reader := &bodyReader{body: r.Body, control: control, holding: h, start: time.Now()}
	data, cause := reader.read(make([]byte, 0, size), r.ContentLength < 0, limit)
	if cause == "" && !h.complete() {
		cause = Stalled
	}
	if cause != "" {
		h.release()
		return nil, nil, cause
	}
	_ = control.SetReadDeadline(time.Time{}) // a failure ends the connection later
	return data, h, ""
}

// bodyReader reads one body.
type bodyReader struct {
	body    io.Reader
	control *http.ResponseController
	holding *holding
	start   time.Time
	total   int64
}

// read reads into buffer and, if the length is not known, into a larger one.
func (b *bodyReader) read(buffer []byte, grow bool, limit int64) ([]byte, Cause) {
	for {
		for len(buffer) < cap(buffer) {
			n, err := b.readPart(buffer[len(buffer):cap(buffer)])
			buffer = buffer[:len(buffer)+n]
			if errors.Is(err, io.EOF) {
				return buffer, ""
			}
			if err != nil {
				return nil, causeOf(err)
			}
		}
		if !grow {
			return buffer, ""
		}
		if int64(len(buffer)) >= limit {
			// Only the end may follow.
			return b.readEnd(buffer)
		}
		if !b.holding.extend(limit, maxBudgetWait, nil) {
			return nil, NoMemory
		}
		buffer = append(make([]byte, 0, limit), buffer...)
	}
}

// readEnd returns the buffer if nothing but the end follows it.
func (b *bodyReader) readEnd(buffer []byte) ([]byte, Cause) {
	n, err := b.readPart(make([]byte, 1))
	switch {
	case n > 0:
		return nil, TooLarge
	case errors.Is(err, io.EOF):
		return buffer, ""
	default:
		return nil, causeOf(err)
	}
}

// causeOf returns the cause of a refusal after a failed read.
func causeOf(err error) Cause {
	switch {
	case errors.Is(err, errGivenUp):
		return Stalled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Slow
	default:
		return Truncated
	}
}

// readPart reads once, with a deadline that follows from what was read so far.
func (b *bodyReader) readPart(p []byte) (int, error) {
	allowed := bodyGrace + time.Duration(b.total)*time.Second/minBodyRate
	if err := b.control.SetReadDeadline(b.start.Add(allowed)); err != nil {
		return 0, err
	}
	if !b.holding.mayRead() {
		return 0, errGivenUp
	}
	n, err := b.body.Read(p)
	b.total += int64(n)
	if err != nil && !errors.Is(err, io.EOF) && b.holding.wasGivenUp() {
		err = errGivenUp
	}
	return n, err
}

// mayRead records progress, and returns false if the holding was given up. It follows
// the setting of a deadline, which could undo that of giveUp.
func (h *holding) mayRead() bool {
	h.progress()
	return !h.wasGivenUp()
}

func (h *holding) wasGivenUp() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.charge.Evicted()
}

// refuseLinger is how long the rest of a refused body is read, so that a client that is
// still sending gets the answer instead of a reset connection.
const refuseLinger = 500 * time.Millisecond

// refuse answers a request that has not run and closes its connection.
func (l *guardedListener) refuse(w http.ResponseWriter, r *http.Request, conn *guardedConn, c Cause) {
	l.count(c)
	if c != Stalled {
		_ = conn.SetReadDeadline(time.Now().Add(refuseLinger)) // a failure ends the connection
	}
	conn.enter(intake.Body)
	w.Header().Set("Connection", "close")
	if l.limits.Refuse != nil {
		l.limits.Refuse(w, r, c)
		return
	}
	if c == NoMemory {
		w.Header().Set("Retry-After", strconv.Itoa(1+rand.IntN(2)))
	}
	http.Error(w, "refused ("+string(c)+"); the request has not run", c.Status())
}
