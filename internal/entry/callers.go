package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/runcall"
)

const (
	// HeaderRequestID carries the ID of a request in the answer to its caller,
	// for support.
	HeaderRequestID = "Boragecrank-Request-Id"
	// HeaderIdempotencyKey carries the caller's key that identifies repeats of a
	// request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKeyBytes bounds an Idempotency-Key.
	maxIdempotencyKeyBytes = 255
)

// serveCall serves a caller's request to /v1/services/{service}/{path...}.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	ctx, span := e.tel.Tracer.Start(telemetry.Extract(r.Context(), r.Header), "entry.request",
		trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	e.metrics.requests.Inc(1)
	started := time.Now()
	c, err := e.readCall(w, r)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		apperr.WriteHTTP(w, err)
		return
	}
	span.SetAttributes(attribute.String("request", c.id.String()), attribute.String("service", string(c.service.Name)))
	w.Header().Set(HeaderRequestID, c.id.String())
	if !e.node.Config.MayTakeNew() {
		apperr.WriteHTTP(w, errConfigUnconfirmed(c))
		return
	}
	// The outcome is determined and stored even if the caller disconnects.
	res := e.execute(context.WithoutCancel(ctx), c)
	e.metrics.outcome(res.outcome).Inc(1)
	e.metrics.latency.Record(time.Since(started))
	span.SetAttributes(attribute.String("outcome", string(res.outcome)), attribute.Int("attempts", res.attempts))
	writeResult(w, c, res)
}

// readCall validates the request and reads its whole body before the request
// occupies a slot, so that a slow caller does not hold one.
func (e *Entry) readCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	cfg := e.node.Config.Current()
	if cfg == nil {
		return nil, errNotRun(apperr.KindUnavailable, "entry "+e.node.Name, "has no configuration yet", "repeat the request later")
	}
	name := types.ServiceName(r.PathValue("service"))
	service, ok := cfg.Service(name)
	if !ok {
		return nil, errNotRun(apperr.KindNotFound, "service "+string(name), "is not in the inventory", "use the name of a service in the inventory")
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return nil, errNotRun(apperr.KindInvalid, "Idempotency-Key", "is longer than 255 bytes", "send a shorter key")
	}
	body, err := httpserve.ReadBody(w, r, e.opts.MaxBody)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errNotRun(apperr.KindTooLarge, "request body", "is larger than "+strconv.FormatInt(e.opts.MaxBody, 10)+" bytes", "send a smaller body")
	}
	if err != nil {
		return nil, errNotRun(apperr.KindInvalid, "request body", "was truncated", "send the whole request")
	}
	deadline := service.Deadline
	if deadline <= 0 {
		deadline = cfg.Rules().RequestDeadline
	}
	return &call{
		id:       node.NewRequestID(),
		service:  service,
		method:   r.Method,
		path:     upstreamPath(r),
		header:   r.Header,
		body:     body,
		key:      key,
		deadline: e.node.Clock() + deadline,
	}, nil
}

// upstreamPath returns the part of the request path after the service's name,
// with the query. It stays escaped: a decoded path could name another resource
// or contain characters that are not allowed in a header.
func upstreamPath(r *http.Request) string {
	const prefixSegments = 4 // "", "v1", "services" and the service's name
	path := "/"
	if parts := strings.SplitN(r.URL.EscapedPath(), "/", prefixSegments+1); len(parts) > prefixSegments {
		path += parts[prefixSegments]
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func errNotRun(kind apperr.Kind, object, problem, remedy string) error {
	return &apperr.Error{Kind: kind, Object: object, Problem: problem, Remedy: remedy, Outcome: apperr.OutcomeNotRun}
}

// limitHeaders refuses requests whose header exceeds the limit with a typed
// error. The server itself refuses headers above headerLimitFactor times the
// limit, without a typed error.
func (e *Entry) limitHeaders(next http.Handler) http.Handler {
	const fieldOverhead = len(": \r\n")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := len(r.Method) + len(r.RequestURI) + len(r.Host)
		for name, values := range r.Header {
			for _, value := range values {
				size += len(name) + len(value) + fieldOverhead
			}
		}
		if size > e.opts.Limits.HeaderBytes {
			apperr.WriteHTTP(w, errNotRun(apperr.KindTooLarge, "request header",
				"is larger than "+strconv.Itoa(e.opts.Limits.HeaderBytes)+" bytes", "send fewer or shorter headers"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveNotFound answers requests for paths that the entry does not serve.
func serveNotFound(w http.ResponseWriter, r *http.Request) {
	apperr.WriteHTTP(w, errNotRun(apperr.KindNotFound, "path "+r.URL.Path, "is not served here with method "+r.Method,
		"call /v1/services/SERVICE/PATH"))
}

// execute runs the request, under a claim if the caller sent an Idempotency-Key.
func (e *Entry) execute(ctx context.Context, c *call) result {
	if c.key == "" {
		ctx, cancel := context.WithTimeout(ctx, runTimeout+outcomeTimeout)
		defer cancel()
		return e.dispatch(ctx, c, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout+outcomeTimeout)
	defer cancel()
	claim, answer := e.openClaim(ctx, c)
	if answer != nil {
		return *answer
	}
	res := e.dispatch(ctx, c, claim)
	settled := make(chan struct{})
	e.background(func() {
		defer close(settled)
		claim.settle(context.WithoutCancel(ctx), res)
	})
	if res.outcome == apperr.OutcomeNotRun {
		// Callers repeat a request immediately if it was not run. Before the
		// outcome is stored, a repeat at another entry would seal the attempt (see
		// sealAt), and report the outcome unknown if the target's incarnation has
		// ended.
		waitForSettled(ctx, settled)
	}
	return res
}

// waitForSettled waits for the outcome to be stored, for at most claimTimeout.
func waitForSettled(ctx context.Context, settled <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	select {
	case <-settled:
	case <-ctx.Done():
	}
}

// writeResult answers the caller with the complete response or a typed error.
func writeResult(w http.ResponseWriter, c *call, res result) {
	if res.response == nil {
		writeFailure(w, c, res)
		return
	}
	h := w.Header()
	runcall.CopyHeaders(h, res.response.Header)
	h.Set(apperr.HeaderOutcome, string(apperr.OutcomeDone))
	if res.response.Status != http.StatusNoContent && res.response.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(res.response.Body)))
	}
	w.WriteHeader(res.response.Status)
	if c.method == http.MethodHead {
		return
	}
	// If this write fails, the caller can repeat a request with a key to get the
	// response.
	_, _ = w.Write(res.response.Body)
}

func writeFailure(w http.ResponseWriter, c *call, res result) {
	answer := *apperr.From(failureError(c, res))
	answer.Outcome = res.outcome
	apperr.WriteHTTP(w, &answer)
}

// failureError returns the error that explains a result without a response.
func failureError(c *call, res result) error {
	var typed *apperr.Error
	known := errors.As(res.err, &typed)
	switch {
	case res.outcome == apperr.OutcomeDone:
		return errResponseNotKept(c)
	case known && typed.Outcome == res.outcome:
		return typed
	case res.outcome == apperr.OutcomeUnknown:
		return errOutcomeUnknown(c)
	case known:
		return typed
	default:
		return errUnreachable(c, target{}, nil)
	}
}
