// Package entryapi holds the client and the server of the RPC interface between the
// entries on the users' platform. It serves the emergency handover of ownership and the
// forwarding of submissions.
//
// Bodies are bounded in both directions, and calls have time limits on both sides. A
// call that cannot be decoded or names no term is answered with an error and an event.
package entryapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/outage"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/internal/jobs"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

const (
	// maxBodyBytes bounds the body of a response and of a request other than a submission.
	// The largest message has about 200 bytes.
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

// MaxRequestBytes returns the maximum size of a request if submissions are forwarded: the
// largest job that is forwarded, and the other fields.
func MaxRequestBytes() int64 {
	return int64(outage.DefaultForwardConfig().MaxBytes) + maxBodyBytes
}

// Entry implements the calls of the server.
type Entry interface {
	// ReadLease reads the lease row from the table. It fails if the entry cannot take
	// over.
	ReadLease(ctx context.Context) (handover.LeaseRead, error)
	// ReadLeaseForSubmissions does the same for an entry that looks for one to forward
	// submissions to. It fails if this entry takes none.
	ReadLeaseForSubmissions(ctx context.Context) (handover.LeaseRead, error)
	// SubmitJob stores a forwarded job.
	SubmitJob(ctx context.Context, s jobs.ForwardedJob) jobs.ForwardAnswer
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
	service := wirepb.NewEntryServiceServer(s, hooks)
	small, large := http.MaxBytesHandler(service, maxBodyBytes), http.MaxBytesHandler(service, MaxRequestBytes())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == service.PathPrefix()+"SubmitJob" {
			large.ServeHTTP(w, r)
			return
		}
		small.ServeHTTP(w, r)
	})
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
func (s *server) ReadLease(ctx context.Context, r *wirepb.ReadLeaseRequest) (*wirepb.ReadLeaseResponse, error) {
	readLease := s.entry.ReadLease
	if r.GetForSubmissions() {
		readLease = s.entry.ReadLeaseForSubmissions
	}
	read, err := readLease(ctx)
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

// SubmitJob implements wirepb.EntryService. Its errors state that the job was not stored:
// none is returned once the entry has the job.
func (s *server) SubmitJob(ctx context.Context, r *wirepb.SubmitJobRequest) (*wirepb.SubmitJobResponse, error) {
	if r.GetId() == "" || r.GetTimeoutMs() == 0 {
		return nil, twirp.RequiredArgumentError("id and timeout_ms")
	}
	timeout := min(time.Duration(r.GetTimeoutMs())*time.Millisecond, outage.DefaultForwardConfig().MaxTime)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a := s.entry.SubmitJob(ctx, jobs.ForwardedJob{ID: types.JobID(r.GetId()), Spec: r.GetJob(), Version: types.Version(r.GetVersion())})
	return &wirepb.SubmitJobResponse{
		Outcome: outcomeToWire[a.Outcome], Cause: a.Cause, RetryAfterMs: uint32(max(0, a.RetryAfter.Milliseconds())), //nolint:gosec // a few seconds
		State: a.State, Revision: a.Revision,
	}, nil
}

// outcomeToWire maps results to outcomes. Any other result, and any other outcome, is
// unknown.
var outcomeToWire = map[outage.ForwardResult]wirepb.SubmitOutcome{
	outage.ForwardAccepted: wirepb.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED,
	outage.ForwardNotRun:   wirepb.SubmitOutcome_SUBMIT_OUTCOME_NOT_RUN,
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

// ReadLeaseForSubmissions asks the entry at an address to read the lease row, and returns
// an error if it cannot store submissions.
func (c *Client) ReadLeaseForSubmissions(ctx context.Context, address string) error {
	_, err := c.service(address).ReadLease(ctx, &wirepb.ReadLeaseRequest{ForSubmissions: true})
	return err
}

// SubmitJob forwards a job to the entry at an address, which ends its attempt before the
// timeout. The outcome is lost unless the entry has stated it, no connection could be made, or
// the entry has rejected the request before it was handled.
func (c *Client) SubmitJob(ctx context.Context, address string, s jobs.ForwardedJob, timeout time.Duration) (jobs.ForwardAnswer, error) {
	resp, err := c.service(address).SubmitJob(ctx, &wirepb.SubmitJobRequest{
		Id: string(s.ID), Job: s.Spec, Version: uint64(s.Version), TimeoutMs: uint32(max(1, timeout.Milliseconds())), //nolint:gosec // a few seconds
	})
	if err != nil {
		return jobs.ForwardAnswer{Outcome: resultOf(err), Cause: "call failed"}, err
	}
	a := jobs.ForwardAnswer{
		Outcome: outage.ForwardLost, Cause: resp.GetCause(), RetryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
		State: resp.GetState(), Revision: resp.GetRevision(),
	}
	for result, outcome := range outcomeToWire {
		if outcome == resp.GetOutcome() {
			a.Outcome = result
		}
	}
	return a, nil
}

// resultOf returns what the error of a call says about the job. The listener rejects
// requests before they are handled (httpserve.Guard), and an entry of an earlier version
// does not know the call.
func resultOf(err error) outage.ForwardResult {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return outage.ForwardUnsent
	}
	var answer twirp.Error
	if !errors.As(err, &answer) {
		return outage.ForwardLost
	}
	switch answer.Code() {
	case twirp.BadRoute, twirp.Malformed, twirp.InvalidArgument:
		return outage.ForwardNotRun
	}
	if answer.Meta("http_error_from_intermediary") == "" {
		return outage.ForwardLost
	}
	switch answer.Meta("status_code") {
	case strconv.Itoa(http.StatusServiceUnavailable), strconv.Itoa(http.StatusRequestEntityTooLarge), strconv.Itoa(http.StatusRequestTimeout), strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge):
		return outage.ForwardNotRun
	}
	return outage.ForwardLost
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
