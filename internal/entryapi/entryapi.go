// Package entryapi holds the client and the server of the RPC interface between the
// entries on the users' platform. It serves the emergency handover of ownership.
//
// Bodies are bounded in both directions, and calls have time limits on both sides. A
// call that cannot be decoded or names no term is answered with an error and an event.
package entryapi

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

const (
	// maxBodyBytes bounds the body of a request or response. The largest message has
	// about 100 bytes.
	maxBodyBytes = 4 << 10
	// dialTimeout bounds the time to connect to another entry. It is shorter than the
	// time that an owner waits for an answer.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes connections soon: calls are too rare to keep connections for
	// them.
	idleTimeout = 10 * time.Second
	// badRequestLogInterval is the least time between two events for bad requests.
	badRequestLogInterval = time.Second
)

var eventBadRequest = telemetry.Define(569, logrus.WarnLevel, "call of another entry is not usable",
	"The call is answered with an error and has no effect. Check that all entries run compatible versions, and that no other process uses the internal port. Logged at most once a second.")

// Entry implements the calls of the server.
type Entry interface {
	// ReadLease reads the lease row from the table. It fails if the entry cannot take
	// over.
	ReadLease(ctx context.Context) (handover.LeaseRead, error)
	// AcceptYield passes a yield on, and reports whether the entry will check it.
	AcceptYield(y handover.Yield) bool
}

// ServerLimits returns the limits of the server. A deployment has up to 15 entries, each
// with a few connections; requests are small.
func ServerLimits() httpserve.Limits {
	return httpserve.Limits{
		ReadHeader: time.Second, Read: time.Second, Write: 3 * time.Second, Idle: 2 * idleTimeout, HeaderBytes: maxBodyBytes, Connections: 64,
	}
}

// NewHandler returns the HTTP handler of an entry's RPC calls.
func NewHandler(e Entry, log *telemetry.Logger) http.Handler {
	s := &server{entry: e, log: log}
	hooks := &twirp.ServerHooks{Error: func(ctx context.Context, err twirp.Error) context.Context {
		if code := err.Code(); code != twirp.Unavailable {
			s.logBadRequest(err)
		}
		return ctx
	}}
	return http.MaxBytesHandler(wirepb.NewEntryServiceServer(s, hooks), maxBodyBytes)
}

type server struct {
	entry Entry
	log   *telemetry.Logger

	mu       sync.Mutex
	loggedAt time.Time
}

func (s *server) logBadRequest(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.loggedAt) >= badRequestLogInterval {
		s.loggedAt = now
		s.log.Log(eventBadRequest, err, nil)
	}
}

// ReadLease implements wirepb.EntryService.
func (s *server) ReadLease(ctx context.Context, _ *wirepb.ReadLeaseRequest) (*wirepb.ReadLeaseResponse, error) {
	read, err := s.entry.ReadLease(ctx)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return &wirepb.ReadLeaseResponse{Term: termToWire(read.Term), Revision: read.Revision}, nil
}

// Yield implements wirepb.EntryService.
func (s *server) Yield(_ context.Context, r *wirepb.YieldRequest) (*wirepb.YieldResponse, error) {
	y := handover.Yield{Term: termFromWire(r.GetTerm()), Revision: r.GetRevision()}
	if y.Owner == "" || y.Epoch == 0 {
		return nil, twirp.RequiredArgumentError("term")
	}
	return &wirepb.YieldResponse{Accepted: s.entry.AcceptYield(y)}, nil
}

// Client calls other entries.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: boundedBodies{&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}}
}

// boundedBodies bounds the bodies of responses.
type boundedBodies struct {
	inner http.RoundTripper
}

func (b boundedBodies) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := b.inner.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxBodyBytes)
	}
	return resp, err
}

func (c *Client) service(address string) wirepb.EntryService {
	return wirepb.NewEntryServiceProtobufClient("http://"+address, c.http)
}

// ReadLease asks the entry at an address (host and port) to read the lease row.
func (c *Client) ReadLease(ctx context.Context, address string) (handover.LeaseRead, error) {
	resp, err := c.service(address).ReadLease(ctx, &wirepb.ReadLeaseRequest{})
	if err != nil {
		return handover.LeaseRead{}, err
	}
	return handover.LeaseRead{Term: termFromWire(resp.GetTerm()), Revision: resp.GetRevision()}, nil
}

// Yield sends a yield to the entry at an address (host and port), and reports whether the
// entry will check it.
func (c *Client) Yield(ctx context.Context, address string, y handover.Yield) (bool, error) {
	resp, err := c.service(address).Yield(ctx, &wirepb.YieldRequest{Term: termToWire(y.Term), Revision: y.Revision})
	return resp.GetAccepted(), err
}

func termToWire(t handover.Term) *wirepb.OwnershipTerm {
	return &wirepb.OwnershipTerm{Owner: string(t.Owner), Incarnation: uint64(t.Incarnation), Epoch: uint64(t.Epoch)}
}

func termFromWire(t *wirepb.OwnershipTerm) handover.Term {
	return handover.Term{Owner: types.VMID(t.GetOwner()), Incarnation: types.Incarnation(t.GetIncarnation()), Epoch: types.Epoch(t.GetEpoch())}
}
