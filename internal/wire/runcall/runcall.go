// Package runcall holds the headers of the HTTP call with which an entry gives
// a caller's request to a worker, and of the worker's reply.
package runcall

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Names of the headers.
const (
	// HeaderOffer carries the fields of an Offer.
	HeaderOffer = "Boragecrank-Offer"
	// HeaderReport carries the fields of a Report.
	HeaderReport = "Boragecrank-Report"
	// HeaderPath carries the path at the upstream.
	HeaderPath = "Boragecrank-Path"
	// HeaderMethod carries the caller's method; the call itself is a POST.
	HeaderMethod = "Boragecrank-Method"
	// PathPrefix starts the path of every call; the service's name follows.
	PathPrefix = "/run/"
)

// Offer describes one attempt to run a request at a worker.
type Offer struct {
	ID            types.RequestID
	Incarnation   types.Incarnation
	ConfigVersion types.Version
	// Echo is the reading of the worker's clock that the entry last received.
	Echo time.Duration
	// Budget is how long after Echo, on the worker's clock, the request may start.
	Budget time.Duration
	// Timeout is how long the request may run once started.
	Timeout time.Duration
}

// String returns the header's value: fields separated by semicolons.
func (o Offer) String() string {
	return fmt.Sprintf("%s;%x;%d;%d;%d;%d", o.ID, uint64(o.Incarnation), o.ConfigVersion,
		int64(o.Echo), int64(o.Budget), int64(o.Timeout))
}

// ParseOffer reads the header's value.
func ParseOffer(s string) (Offer, error) {
	fields := strings.Split(s, ";")
	if len(fields) != 6 {
		return Offer{}, fmt.Errorf("offer %q has %d fields, want 6", s, len(fields))
	}
	id, err := types.ParseRequestID(fields[0])
	if err != nil {
		return Offer{}, err
	}
	numbers, err := parseNumbers(fields[1:])
	if err != nil {
		return Offer{}, fmt.Errorf("offer %q: %w", s, err)
	}
	return Offer{
		ID:            id,
		Incarnation:   types.Incarnation(numbers[0]),
		ConfigVersion: types.Version(numbers[1]),
		Echo:          time.Duration(numbers[2]),
		Budget:        time.Duration(numbers[3]),
		Timeout:       time.Duration(numbers[4]),
	}, nil
}

// Report is what a worker tells about itself with every reply.
type Report struct {
	Incarnation   types.Incarnation
	ConfigVersion types.Version
	// Clock is the worker's clock at the reply.
	Clock time.Duration
	// InFlight counts the requests in progress for the service on the VM.
	InFlight int
	// Draining tells that the worker takes no new requests.
	Draining bool
}

// String returns the header's value: fields separated by semicolons.
func (r Report) String() string {
	draining := 0
	if r.Draining {
		draining = 1
	}
	return fmt.Sprintf("%x;%d;%d;%d;%d", uint64(r.Incarnation), r.ConfigVersion, int64(r.Clock), r.InFlight, draining)
}

// ParseReport reads the header's value.
func ParseReport(s string) (Report, error) {
	fields := strings.Split(s, ";")
	if len(fields) != 5 {
		return Report{}, fmt.Errorf("report %q has %d fields, want 5", s, len(fields))
	}
	numbers, err := parseNumbers(fields)
	if err != nil {
		return Report{}, fmt.Errorf("report %q: %w", s, err)
	}
	return Report{
		Incarnation:   types.Incarnation(numbers[0]),
		ConfigVersion: types.Version(numbers[1]),
		Clock:         time.Duration(numbers[2]),
		InFlight:      int(numbers[3]),
		Draining:      numbers[4] != 0,
	}, nil
}

// parseNumbers reads a hexadecimal number and decimal ones after it. All must
// fit in 63 bits, except the first, an incarnation.
func parseNumbers(fields []string) ([]uint64, error) {
	out := make([]uint64, len(fields))
	for i, s := range fields {
		base, bits := 10, 63
		if i == 0 {
			base, bits = 16, 64
		}
		v, err := strconv.ParseUint(s, base, bits)
		if err != nil {
			return nil, err
		}
		out[i] = v
	}
	return out, nil
}

// hopByHopHeaders belong to one connection, or to the calls between processes, and
// are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Traceparent", "Tracestate",
}

// CopyHeaders adds the end-to-end headers of src to dst. Headers of the system
// itself are left out, so that no caller or upstream can set them.
func CopyHeaders(dst, src http.Header) {
	skip := make(map[string]bool, len(hopByHopHeaders))
	for _, name := range hopByHopHeaders {
		skip[name] = true
	}
	for _, value := range src.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			skip[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if skip[name] || strings.HasPrefix(name, "Boragecrank-") {
			continue
		}
		dst[name] = append(dst[name], values...)
	}
}
