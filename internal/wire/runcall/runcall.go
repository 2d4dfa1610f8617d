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
	f := strings.Split(s, ";")
	if len(f) != 6 {
		return Offer{}, fmt.Errorf("offer %q has %d fields, want 6", s, len(f))
	}
	id, err := types.ParseRequestID(f[0])
	if err != nil {
		return Offer{}, err
	}
	n, err := parseNumbers(f[1:])
	if err != nil {
		return Offer{}, fmt.Errorf("offer %q: %w", s, err)
	}
	return Offer{
		ID:            id,
		Incarnation:   types.Incarnation(n[0]),
		ConfigVersion: types.Version(n[1]),
		Echo:          time.Duration(n[2]),
		Budget:        time.Duration(n[3]),
		Timeout:       time.Duration(n[4]),
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
	f := strings.Split(s, ";")
	if len(f) != 5 {
		return Report{}, fmt.Errorf("report %q has %d fields, want 5", s, len(f))
	}
	n, err := parseNumbers(f)
	if err != nil {
		return Report{}, fmt.Errorf("report %q: %w", s, err)
	}
	return Report{
		Incarnation:   types.Incarnation(n[0]),
		ConfigVersion: types.Version(n[1]),
		Clock:         time.Duration(n[2]),
		InFlight:      int(n[3]),
		Draining:      n[4] != 0,
	}, nil
}

// parseNumbers reads a hexadecimal number and decimal ones after it. All must
// fit in 63 bits, except the first, an incarnation.
func parseNumbers(f []string) ([]uint64, error) {
	out := make([]uint64, len(f))
	for i, s := range f {
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

// hopHeaders belong to one connection, or to the calls between processes, and
// are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Traceparent", "Tracestate",
}

// CopyHeaders adds the end-to-end headers of src to dst. Headers of the system
// itself are left out, so that no caller or upstream can set them.
func CopyHeaders(dst, src http.Header) {
	drop := make(map[string]bool, len(hopHeaders))
	for _, name := range hopHeaders {
		drop[name] = true
	}
	for _, value := range src.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if drop[name] || strings.HasPrefix(name, "Boragecrank-") {
			continue
		}
		dst[name] = append(dst[name], values...)
	}
}
