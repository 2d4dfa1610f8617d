package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/routing"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/runcall"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
	"github.com/boragecrank/boragecrank/internal/worker"
)

const (
	// maxAttempts bounds the attempts of one request. More attempts would exceed
	// most deadlines.
	maxAttempts = 4
	// runTimeout bounds the time of a request at its upstream. It is far above
	// the deadlines of services, because a caller cannot safely repeat a
	// running request before its outcome is known.
	runTimeout = 30 * time.Second
	// startWindow bounds the time between the dispatch of an offer and the
	// start of the request at the worker.
	startWindow = 2 * time.Second
	// sealPollInterval is the time between seal calls for an attempt in progress.
	sealPollInterval = 200 * time.Millisecond
	// sealTimeout bounds one seal call.
	sealTimeout = time.Second
	// outcomeTimeout bounds the time to determine the outcome after a response
	// was lost.
	outcomeTimeout = 10 * time.Second
	// maxReplyBytes bounds the body of a worker's reply, not its headers.
	maxReplyBytes = 8 << 20
)

// call is one complete request of a caller.
type call struct {
	id      types.RequestID
	service types.Service
	method  string
	// path is escaped and includes the query.
	path   string
	header http.Header
	body   []byte
	key    string
	// deadline is a reading of the node's clock.
	deadline time.Duration
}

// result is the result of a call for its caller.
type result struct {
	outcome  apperr.Outcome
	response *worker.StoredResponse
	err      error
	attempts int
}

// dispatcher executes the actions of one request's state machine.
type dispatcher struct {
	e       *Entry
	call    *call
	claim   *requestClaim
	machine request.Machine
	target  target
	// assignedAt is when the target was assigned.
	assignedAt time.Duration
	holdsSlot  bool
	reply      *worker.StoredResponse
	lastErr    error
}

// dispatch runs a request until its outcome is determined. The context must not
// be the caller's, because the outcome is needed even if the caller disconnects.
func (e *Entry) dispatch(ctx context.Context, c *call, claim *requestClaim) result {
	d := &dispatcher{e: e, call: c, claim: claim, machine: request.New(c.id, claim != nil, maxAttempts)}
	e.router.recordFirstAttempt()
	out := request.Output{Action: request.ActionChooseTarget}
	for out.Action != request.ActionFinish && out.Action != request.ActionYield {
		out = d.step(ctx, out)
	}
	d.release(routing.ResultOther)
	res := result{outcome: out.Outcome, attempts: d.machine.AttemptNumber(), err: d.lastErr}
	if out.UseResponse {
		res.response = d.reply
	}
	if out.Action == request.ActionYield {
		res.outcome = apperr.OutcomeUnknown
		res.err = errClaimTaken(c)
	}
	return res
}

func (d *dispatcher) step(ctx context.Context, out request.Output) request.Output {
	switch out.Action {
	case request.ActionChooseTarget:
		return d.chooseTarget(ctx)
	case request.ActionClaim:
		return d.writeClaim(ctx, out)
	case request.ActionDispatch:
		return d.send(ctx, out)
	case request.ActionSeal:
		return d.seal(ctx, out)
	case request.ActionSealLater:
		if err := sleep(ctx, sealPollInterval); err != nil {
			return d.machine.Deadline()
		}
		return d.seal(ctx, out)
	default:
		// The machine did not expect the last input; the request cannot continue.
		return d.machine.Deadline()
	}
}

// chooseTarget waits for a worker with a free slot and assigns it to the request.
func (d *dispatcher) chooseTarget(ctx context.Context) request.Output {
	d.release(routing.ResultOther)
	left := d.call.deadline - d.e.node.Clock()
	ctx, cancel := context.WithTimeout(ctx, max(left, 0))
	defer cancel()
	t, verdict := d.e.router.pick(ctx, routing.Item{
		ID:       d.call.id,
		Service:  d.call.service.Name,
		Deadline: d.call.deadline,
		Urgent:   d.call.service.Urgent,
	})
	if verdict != routing.Picked {
		d.lastErr = errNoWorker(d.call, verdict)
		return d.machine.Deadline()
	}
	d.target, d.holdsSlot, d.assignedAt = t, true, d.e.node.Clock()
	return d.machine.AssignTarget(request.Target{
		VM:          t.VM,
		Incarnation: t.Incarnation,
		// ValidUntil is on the worker's clock: its last known reading, plus the
		// age of that reading, plus the remaining budget.
		ValidUntil: t.Echo + t.EchoAge + d.startBudget(),
	})
}

// startBudget returns how long after assignedAt, the assignment of the target, the
// worker may start the request.
func (d *dispatcher) startBudget() time.Duration {
	return max(min(d.call.deadline-d.assignedAt, startWindow), 0)
}

// release frees the slot at the chosen worker and records the attempt's result.
func (d *dispatcher) release(result routing.Result) {
	if !d.holdsSlot {
		return
	}
	d.holdsSlot = false
	d.e.router.finish(d.target, result, d.e.node.Clock()-d.assignedAt)
}

func (d *dispatcher) writeClaim(ctx context.Context, out request.Output) request.Output {
	ctx, span := d.e.tel.Tracer.Start(ctx, "entry.claim")
	defer span.End()
	switch d.claim.acquire(ctx, out.Attempt, out.Target) {
	case claimHeld:
		return d.machine.Claimed(out.Attempt)
	case claimLost:
		return d.machine.ClaimLost(out.Attempt)
	default:
		d.lastErr = errClaimUnavailable(d.call)
		return d.machine.ClaimFailed(out.Attempt)
	}
}

// send sends the attempt to the worker exactly once.
func (d *dispatcher) send(ctx context.Context, out request.Output) request.Output {
	ctx, span := d.e.tel.Tracer.Start(ctx, "entry.attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("vm", string(d.target.VM)), attribute.String("attempt", out.Attempt.String())))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, runTimeout+startWindow)
	defer cancel()
	req, err := d.offer(ctx, out)
	if err != nil {
		d.lastErr = err
		return d.machine.NotSent(out.Attempt, false)
	}
	resp, err := d.e.node.Calls.Do(req)
	if err != nil {
		span.RecordError(err)
		d.release(routing.ResultFailure)
		if dialFailed(err) {
			d.lastErr = errUnreachable(d.call, d.target, err)
			return d.machine.NotSent(out.Attempt, d.e.router.allowRetry())
		}
		return d.machine.AnswerLost(out.Attempt)
	}
	defer func() { _ = resp.Body.Close() }()
	return d.handleReply(out, resp)
}

func (d *dispatcher) offer(ctx context.Context, out request.Output) (*http.Request, error) {
	url := "http://" + d.target.address + runcall.PathPrefix + string(d.call.service.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(d.call.body))
	if err != nil {
		return nil, err
	}
	runcall.CopyHeaders(req.Header, d.call.header)
	offer := runcall.Offer{
		ID:            out.Attempt,
		Incarnation:   d.target.Incarnation,
		ConfigVersion: d.e.node.Config.Version(),
		Echo:          d.target.Echo,
		Budget:        out.Target.ValidUntil - d.target.Echo,
		Timeout:       runTimeout,
	}
	req.Header.Set(runcall.HeaderOffer, offer.String())
	req.Header.Set(runcall.HeaderMethod, d.call.method)
	req.Header.Set(runcall.HeaderPath, d.call.path)
	telemetry.Inject(ctx, req.Header)
	return req, nil
}

// handleReply converts the worker's reply to an input of the state machine.
func (d *dispatcher) handleReply(out request.Output, resp *http.Response) request.Output {
	report, err := runcall.ParseReport(resp.Header.Get(runcall.HeaderReport))
	if err != nil {
		// The reply is not from a worker's run handler, for example because the
		// process refused the call.
		d.release(routing.ResultFailure)
		return d.machine.AnswerLost(out.Attempt)
	}
	d.e.recordWorkerReport(d.target, report)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil || len(body) > maxReplyBytes {
		d.release(routing.ResultFailure)
		return d.machine.AnswerLost(out.Attempt)
	}
	switch apperr.Outcome(resp.Header.Get(apperr.HeaderOutcome)) {
	case apperr.OutcomeDone:
		d.release(routing.ResultSuccess)
		header := make(http.Header)
		runcall.CopyHeaders(header, resp.Header)
		d.reply = &worker.StoredResponse{Status: resp.StatusCode, Header: header, Body: body}
		return d.machine.Answered(out.Attempt)
	case apperr.OutcomeNotRun:
		return d.handleRefusal(out, body, true)
	default:
		return d.handleRefusal(out, body, false)
	}
}

func (d *dispatcher) handleRefusal(out request.Output, body []byte, proven bool) request.Output {
	var e apperr.Body
	if err := json.Unmarshal(body, &e); err != nil {
		proven = false
	}
	d.release(refusalResult(e))
	d.lastErr = errRefused(d.call, d.target, e.Message)
	return d.machine.Refused(out.Attempt, proven, proven && d.e.router.allowRetry())
}

// refusalResult classifies a worker's refusal for the router.
func refusalResult(e apperr.Body) routing.Result {
	switch admission.Reason(e.Message) {
	case admission.ReasonNoSlot, admission.ReasonNoConnection:
		return routing.ResultFull
	case admission.ReasonExpired, admission.ReasonOldConfig, admission.ReasonWrongIncarnation:
		return routing.ResultOther
	default:
		return routing.ResultFailure
	}
}

// seal asks the target for the outcome of the attempt, and prevents the attempt
// from starting after this call.
func (d *dispatcher) seal(ctx context.Context, out request.Output) request.Output {
	ctx, span := d.e.tel.Tracer.Start(ctx, "entry.seal", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	sealed, err := d.e.sealAt(ctx, out.Attempt, out.Target)
	if err != nil {
		span.RecordError(err)
		if ctx.Err() != nil {
			return d.machine.Deadline()
		}
		return d.machine.SealFailed(out.Attempt)
	}
	if len(sealed.Response) > 0 {
		var stored worker.StoredResponse
		if err := json.Unmarshal(sealed.Response, &stored); err != nil {
			sealed.Response = nil
		} else {
			d.reply = &stored
		}
	}
	allowRetry := sealed.State == admission.SealNeverRan && d.e.router.allowRetry()
	return d.machine.SealAnswered(out.Attempt, sealed, allowRetry)
}

// sealAt seals an attempt at the worker to which it was dispatched.
func (e *Entry) sealAt(ctx context.Context, attempt types.RequestID, t request.Target) (admission.SealResult, error) {
	address := e.router.address(t.VM)
	if address == "" {
		return admission.SealResult{}, errors.New("address of the worker is unknown")
	}
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	resp, err := e.node.WorkerPeer(address).Seal(ctx, &wirepb.SealRequest{
		RequestId:    attempt[:],
		Incarnation:  uint64(t.Incarnation),
		ValidUntilNs: int64(t.ValidUntil),
	})
	if err != nil {
		return admission.SealResult{}, err
	}
	return admission.SealResult{
		State:    admission.SealState(resp.GetState()),
		Outcome:  apperr.Outcome(resp.GetOutcome()),
		Response: resp.GetResponse(),
	}, nil
}

// dialFailed reports whether no connection was established, so that nothing was
// sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
