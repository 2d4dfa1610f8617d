package worker

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"net/http/httptrace"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/runcall"
)

const (
	// maxRunTimeout bounds how long one request may run at an upstream.
	maxRunTimeout = 90 * time.Second
	// maxStoredResponse bounds the body of a response that is stored for a later
	// seal call.
	maxStoredResponse = 64 << 10
)

// response is the complete response of an upstream.
type response struct {
	status int
	header http.Header
	body   []byte
}

// serveRun runs a caller's request at an upstream of this VM, at most once.
func (w *Worker) serveRun(rw http.ResponseWriter, r *http.Request) {
	ctx, span := w.tel.Tracer.Start(telemetry.Extract(r.Context(), r.Header), "worker.run",
		trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	offer, err := runcall.ParseOffer(r.Header.Get(runcall.HeaderOffer))
	if err != nil {
		w.refuse(rw, span, apperr.KindInvalid, err.Error(), true)
		return
	}
	service := types.ServiceName(strings.TrimPrefix(r.URL.Path, runcall.PathPrefix))
	span.SetAttributes(attribute.String("request", offer.ID.String()), attribute.String("service", string(service)))
	decision, base := w.admit(offer, service)
	if !decision.Admitted() {
		w.metrics.refused.Inc(1)
		w.refuse(rw, span, apperr.KindRefused, string(decision.Reason), decision.ProvenNotRun)
		return
	}
	resp, outcome := w.runUpstream(ctx, r, base, offer)
	w.finish(offer.ID, outcome, resp)
	w.reply(rw, span, resp, outcome)
}

// admit decides whether the request may run. If it may, admit returns the base
// URL of the chosen upstream and counts the request as in progress.
func (w *Worker) admit(o runcall.Offer, service types.ServiceName) (admission.Decision, string) {
	var decision admission.Decision
	var base string
	mayTakeNew := w.node.Config.MayTakeNew()
	err := w.state.Do(func(s *state) {
		s.requests.SetConfigUnconfirmed(!mayTakeNew)
		now := w.node.Clock()
		decision = s.requests.Admit(now, admission.Offer{
			ID:      o.ID,
			Target:  o.Incarnation,
			Service: service,
			Config:  o.ConfigVersion,
			Echo:    o.Echo,
			Budget:  o.Budget,
		})
		base = s.upstreams[decision.Upstream].url
		if decision.Admitted() {
			// Counted inside the actor, so that a draining worker waits for every
			// admitted request.
			w.inFlight.Add(1)
		}
	})
	if err != nil {
		// The worker has stopped; its incarnation admits no more requests.
		return admission.Decision{Reason: admission.ReasonDraining, ProvenNotRun: true}, ""
	}
	if decision.CloseIdle != "" {
		w.upstreamClient.CloseIdleConnections()
	}
	return decision, base
}

// finish frees the slot and records the outcome of the request.
func (w *Worker) finish(id types.RequestID, outcome apperr.Outcome, resp *response) {
	var stored []byte
	if resp != nil && len(resp.body) <= maxStoredResponse {
		stored = encodeResponse(resp)
	}
	w.inFlight.Add(-1)
	w.state.Enqueue(func(s *state) {
		s.requests.Finish(id, outcome, stored, outcome == apperr.OutcomeDone)
	})
}

// runUpstream sends the request to the upstream once and reads the complete
// response.
func (w *Worker) runUpstream(ctx context.Context, r *http.Request, base string, o runcall.Offer) (*response, apperr.Outcome) {
	ctx, span := w.tel.Tracer.Start(ctx, "worker.upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	// The request runs to its end even if the entry's connection is closed early,
	// so that a later seal call finds its outcome.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(o.Timeout, maxRunTimeout))
	defer cancel()
	req, sent, err := upstreamRequest(ctx, r, base)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return nil, apperr.OutcomeNotRun
	}
	resp, err := w.upstreamClient.Do(req)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		if !sent.Load() || dialFailed(err) {
			return nil, apperr.OutcomeNotRun
		}
		return nil, apperr.OutcomeUnknown
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readCompleteBody(resp, w.opts.MaxResponse)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return nil, apperr.OutcomeUnknown
	}
	return &response{status: resp.StatusCode, header: resp.Header, body: body}, apperr.OutcomeDone
}

// upstreamRequest builds the request so that the transport cannot send it a
// second time. The returned flag becomes true once any byte may have reached the
// upstream.
func upstreamRequest(ctx context.Context, r *http.Request, base string) (*http.Request, *atomic.Bool, error) {
	sent := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	})
	url := base + r.Header.Get(runcall.HeaderPath)
	// net/http never resends a body of an unknown type without GetBody, not even
	// for methods or headers that it treats as idempotent.
	body := struct{ io.Reader }{r.Body}
	req, err := http.NewRequestWithContext(ctx, r.Header.Get(runcall.HeaderMethod), url, body)
	if err != nil {
		return nil, nil, err
	}
	runcall.CopyHeaders(req.Header, r.Header)
	req.ContentLength = r.ContentLength
	telemetry.Inject(ctx, req.Header)
	return req, sent, nil
}

// dialFailed reports whether no connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

var (
	errTooLarge       = errors.New("upstream response is larger than the limit")
	errNoFraming      = errors.New("upstream response has neither a length nor chunks, so truncation cannot be detected")
	errLengthMismatch = errors.New("upstream response length differs from Content-Length")
)

// readCompleteBody reads the body. It returns an error if the body may be
// incomplete or is larger than the limit in bytes.
func readCompleteBody(resp *http.Response, limit int64) ([]byte, error) {
	chunked := len(resp.TransferEncoding) > 0
	bodyless := resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength < 0 && !chunked && !bodyless && !resp.Uncompressed {
		return nil, errNoFraming
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	if resp.ContentLength >= 0 && resp.Request.Method != http.MethodHead && int64(len(body)) != resp.ContentLength {
		return nil, errLengthMismatch
	}
	return body, nil
}

// refuse answers without a response of an upstream. If proven is true, the
// request certainly did not run here, and the entry may send it elsewhere.
func (w *Worker) refuse(rw http.ResponseWriter, span trace.Span, kind apperr.Kind, reason string, proven bool) {
	outcome := apperr.OutcomeUnknown
	if proven {
		outcome = apperr.OutcomeNotRun
	}
	span.SetStatus(codes.Error, reason)
	rw.Header().Set(runcall.HeaderReport, w.report().String())
	apperr.WriteHTTP(rw, &apperr.Error{
		Kind:    kind,
		Object:  "request at worker " + w.node.Name,
		Problem: reason,
		Remedy:  "send it to another worker if the outcome is not-run",
		Outcome: outcome,
	})
}

// reply answers with the outcome and, if there is one, the upstream's response.
func (w *Worker) reply(rw http.ResponseWriter, span trace.Span, resp *response, outcome apperr.Outcome) {
	if resp == nil {
		problem := "upstream gave no complete response"
		if outcome == apperr.OutcomeNotRun {
			problem = "upstream could not be reached"
			w.metrics.upstreamUnreachable.Inc(1)
		}
		w.refuse(rw, span, apperr.KindUnreachable, problem, outcome == apperr.OutcomeNotRun)
		return
	}
	w.metrics.done.Inc(1)
	h := rw.Header()
	runcall.CopyHeaders(h, resp.header)
	h.Set(runcall.HeaderReport, w.report().String())
	h.Set(apperr.HeaderOutcome, string(apperr.OutcomeDone))
	if resp.status != http.StatusNoContent && resp.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	rw.WriteHeader(resp.status)
	// If this fails, the entry can determine the outcome by sealing.
	_, _ = rw.Write(resp.body)
}

// report returns the current state of the worker for the header of a reply.
func (w *Worker) report() runcall.Report {
	return runcall.Report{
		Incarnation:   w.node.Incarnation,
		ConfigVersion: w.node.Config.Version(),
		Clock:         w.node.Clock(),
		InFlight:      int(w.inFlight.Load()),
		Draining:      w.draining.Load(),
	}
}
