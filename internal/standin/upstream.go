package standin

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes in booking responses, in bytes.
const (
	defaultBookingBytes = 256
	maxBookingBytes     = 16 << 20
	checksumBytes       = 16 // hexadecimal digits of a 64-bit hash
)

// Booking is the request body of POST /bookings.
type Booking struct {
	// ID must not be empty.
	ID string `json:"id"`
	// Size is the length of the response body in bytes, at most 16 MiB; 0 means
	// 256. The response is never shorter than its first line.
	Size int `json:"size,omitempty"`
	// ServiceMS, if not nil, replaces the upstream's service time, in
	// milliseconds.
	ServiceMS *int `json:"service_ms,omitempty"`
}

// UpstreamOptions configures an Upstream.
type UpstreamOptions struct {
	// ServiceTime is the time from the receipt of a booking to its response.
	ServiceTime time.Duration
}

// Upstream is a test upstream that counts the executions of bookings.
// POST /bookings executes a Booking. GET /record returns the number of
// executions by booking ID, and GET /cut the number of executions whose client
// disconnected before the response was written.
type Upstream struct {
	mux *http.ServeMux

	mu          sync.Mutex
	serviceTime time.Duration
	executions  map[string]int
	aborted     map[string]int
}

// NewUpstream returns an upstream without bookings.
func NewUpstream(opts UpstreamOptions) *Upstream {
	u := &Upstream{
		mux:         http.NewServeMux(),
		serviceTime: opts.ServiceTime,
		executions:  make(map[string]int),
		aborted:     make(map[string]int),
	}
	u.mux.HandleFunc("POST /bookings", u.handleBooking)
	u.mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Executions()) })
	u.mux.HandleFunc("GET /cut", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Aborted()) })
	return u
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mux.ServeHTTP(w, r)
}

// SetServiceTime changes how long a booking takes from now on.
func (u *Upstream) SetServiceTime(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serviceTime = d
}

// Executions returns the number of executions by booking ID.
func (u *Upstream) Executions() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.executions)
}

// Aborted returns, by booking ID, the number of executions whose client
// disconnected before the response was written.
func (u *Upstream) Aborted() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.aborted)
}

func (u *Upstream) handleBooking(w http.ResponseWriter, r *http.Request) {
	var b Booking
	if err := readJSON(w, r, &b); err != nil {
		http.Error(w, "cannot read booking: "+err.Error(), http.StatusBadRequest)
		return
	}
	if b.ID == "" || b.Size < 0 || b.Size > maxBookingBytes {
		http.Error(w, fmt.Sprintf("booking %q of size %d is invalid: the ID must not be empty and the size must be 0 to 16777216 bytes", b.ID, b.Size), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(u.beginExecution(b))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		u.recordAborted(b.ID)
		return
	}
	body := BookingBody(b.ID, b.Size)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		u.recordAborted(b.ID)
	}
}

// beginExecution counts an execution of the booking and returns its service
// time.
func (u *Upstream) beginExecution(b Booking) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.executions[b.ID]++
	if b.ServiceMS != nil {
		return time.Duration(*b.ServiceMS) * time.Millisecond
	}
	return u.serviceTime
}

func (u *Upstream) recordAborted(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.aborted[id]++
}

// BookingBody returns the response to a booking: 16 hexadecimal digits of the
// xxHash64 of the rest, a space, the quoted booking ID, a newline, and padding
// derived from the ID and the length. A size of 0 means 256 bytes.
func BookingBody(id string, size int) []byte {
	if size == 0 {
		size = defaultBookingBytes
	}
	header := fmt.Sprintf(" %q\n", id)
	body := make([]byte, max(size, checksumBytes+len(header)))
	n := checksumBytes + copy(body[checksumBytes:], header)
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(id), uint64(len(body))))
	for i := n; i < len(body); i++ {
		body[i] = byte('a' + rng.IntN(26))
	}
	copy(body, fmt.Sprintf("%016x", xxhash.Sum64(body[checksumBytes:])))
	return body
}

// errInvalidBookingBody means that a response body is truncated, corrupted or
// belongs to another booking.
var errInvalidBookingBody = errors.New("response body is not valid for the booking")

// CheckBookingBody returns an error unless the body is the complete response to
// the booking with the given ID.
func CheckBookingBody(id string, body []byte) error {
	header := fmt.Sprintf(" %q\n", id)
	if len(body) < checksumBytes+len(header) {
		return fmt.Errorf("booking %q: body of %d bytes is shorter than its first line: %w", id, len(body), errInvalidBookingBody)
	}
	rest := body[checksumBytes:]
	if string(rest[:len(header)]) != header {
		return fmt.Errorf("booking %q: first line does not match the booking ID: %w", id, errInvalidBookingBody)
	}
	if string(body[:checksumBytes]) != fmt.Sprintf("%016x", xxhash.Sum64(rest)) {
		return fmt.Errorf("booking %q: checksum mismatch: %w", id, errInvalidBookingBody)
	}
	return nil
}
