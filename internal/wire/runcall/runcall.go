// Package runcall defines the path and the headers of the HTTP call by which an entry
// passes a caller's request to a worker, and the headers of the worker's response. It
// also copies the caller's and the upstream's headers.
package runcall

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Names of the headers and prefix of the path.
const (
	// HeaderOffer carries the fields of an Offer.
	HeaderOffer = "Boragecrank-Offer"
	// HeaderReport carries the fields of a Report.
	HeaderReport = "Boragecrank-Report"
	// HeaderPath carries the path of the request to the upstream.
	HeaderPath = "Boragecrank-Path"
	// HeaderMethod carries the caller's method; the call itself is a POST.
	HeaderMethod = "Boragecrank-Method"
	// PathPrefix is the prefix of the path of every call. The name of the service
	// follows it.
	PathPrefix = "/run/"
)

// Offer describes one attempt to run a request at a worker.
type Offer struct {
	// ID is the ID of the caller's request, which is executed only once.
	ID types.RequestID
	// Incarnation is the worker's incarnation as last known to the entry.
	Incarnation types.Incarnation
	// ConfigVersion is the version of the configuration in effect at the entry.
	ConfigVersion types.Version
	// Echo is the reading of the worker's clock that the entry last received.
	Echo time.Duration
	// Budget is the time limit for the start of the request: it may start until Echo
	// plus Budget on the worker's clock.
	Budget time.Duration
	// Timeout is the maximum time that the request may run once it has started.
	Timeout time.Duration
}

// String returns the value of HeaderOffer: the fields separated by semicolons, with
// the incarnation in hexadecimal and times in nanoseconds.
func (o Offer) String() string {
	return fmt.Sprintf("%s;%x;%d;%d;%d;%d", o.ID, uint64(o.Incarnation), o.ConfigVersion,
		int64(o.Echo), int64(o.Budget), int64(o.Timeout))
}

// ParseOffer parses the value of HeaderOffer.
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

// Report is the state of a worker, which it sends with every response.
type Report struct {
	// Incarnation is the worker's own incarnation.
	Incarnation types.Incarnation
	// ConfigVersion is the version of the configuration in effect at the worker.
	ConfigVersion types.Version
	// Clock is a reading of the worker's clock at the time of the response.
	Clock time.Duration
	// InFlight is the number of requests in progress for the service on the VM.
	InFlight int
	// Draining is set if the worker accepts no new requests.
	Draining bool
}

// String returns the value of HeaderReport: the fields separated by semicolons, with
// the incarnation in hexadecimal, the clock in nanoseconds and Draining as 0 or 1.
func (r Report) String() string {
	draining := 0
	if r.Draining {
		draining = 1
	}
	return fmt.Sprintf("%x;%d;%d;%d;%d", uint64(r.Incarnation), r.ConfigVersion, int64(r.Clock), r.InFlight, draining)
}

// ParseReport parses the value of HeaderReport.
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

// parseNumbers parses a hexadecimal number followed by decimal ones. The first is an
// incarnation of up to 64 bits; the others must fit in 63 bits.
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

// headersNotForwarded are the headers that apply to one connection, or that are set
// anew for each call, such as the trace headers.
var headersNotForwarded = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Traceparent", "Tracestate",
}

// CopyHeaders adds the headers of src to dst, except headersNotForwarded and the
// headers that src names in Connection. Headers that start with
// Boragecrank- are left out, so that no caller or upstream can set them.
func CopyHeaders(dst, src http.Header) {
	skip := make(map[string]bool, len(headersNotForwarded))
	for _, name := range headersNotForwarded {
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
