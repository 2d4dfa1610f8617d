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
	// maxAttempts of one request; further ones would exceed most deadlines.
	maxAttempts = 4
	// runTimeout bounds a request at its upstream. It is far above the deadline
	// of services: a request that runs is worth waiting for, because its caller
	// cannot repeat it safely before its outcome is known.
	runTimeout = 30 * time.Second
	// startWindow bounds how long after its dispatch an offer may start.
	startWindow = 2 * time.Second
	// sealPause is the time between seals of an attempt in progress.
	sealPause = 200 * time.Millisecond
	// sealTimeout bounds one seal.
	sealTimeout = time.Second
	// outcomeTimeout bounds the search for the outcome after a lost answer.
	outcomeTimeout = 10 * time.Second
	// maxReply bounds the reply of a worker, headers of the upstream aside.
	maxReply = 8 << 20
)

// call is one request of a caller, read as a whole.
type call struct {
	id       types.RequestID
	service  types.Service
	method   string
	path     string
	header   http.Header
	body     []byte
	key      string
	deadline time.Duration
}

// result is what the caller gets.
type result struct {
	outcome  apperr.Outcome
	response *worker.Kept
	err      error
	attempts int
}

// dispatcher carries out the actions of one request's state machine.
type dispatcher struct {
	e       *Entry
	call    *call
	claim   *claimant
	machine request.Machine
	target  target
	started time.Duration
	holding bool
	reply   *worker.Kept
	reason  error
}

// dispatch runs a request to its outcome. The context is not the caller's: the
// outcome is found out even if the caller has gone.
func (e *Entry) dispatch(ctx context.Context, c *call, claim *claimant) result {
	d := &dispatcher{e: e, call: c, claim: claim, machine: request.New(c.id, claim != nil, maxAttempts)}
	e.router.firstAttempt()
	out := request.Output{Action: request.ActionChooseTarget}
	for out.Action != request.ActionFinish && out.Action != request.ActionYield {
		out = d.step(ctx, out)
	}
	d.release(routing.ResultOther)
	res := result{outcome: out.Outcome, attempts: d.machine.AttemptNumber(), err: d.reason}
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
		return d.choose(ctx)
	case request.ActionClaim:
		return d.writeClaim(ctx, out)
	case request.ActionDispatch:
		return d.send(ctx, out)
	case request.ActionSeal:
		return d.seal(ctx, out)
	case request.ActionSealLater:
		if err := sleep(ctx, sealPause); err != nil {
			return d.machine.Deadline()
		}
		return d.seal(ctx, out)
	default:
		// An input that the machine did not expect; the outcome cannot improve.
		return d.machine.Deadline()
	}
}

// choose waits for a worker with a free slot.
func (d *dispatcher) choose(ctx context.Context) request.Output {
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
		d.reason = errNoWorker(d.call, verdict)
		return d.machine.Deadline()
	}
	d.target, d.holding, d.started = t, true, d.e.node.Clock()
	return d.machine.AssignTarget(request.Target{
		VM:          t.VM,
		Incarnation: t.Incarnation,
		ValidUntil:  t.Echo + t.EchoAge + d.startBudget(),
	})
}

// startBudget is how long from now the worker may still start the request.
func (d *dispatcher) startBudget() time.Duration {
	return max(min(d.call.deadline-d.started, startWindow), 0)
}

// release gives the slot at the chosen worker back with a result.
func (d *dispatcher) release(result routing.Result) {
	if !d.holding {
		return
	}
	d.holding = false
	d.e.router.finished(d.target, result, d.e.node.Clock()-d.started)
}

func (d *dispatcher) writeClaim(ctx context.Context, out request.Output) request.Output {
	ctx, span := d.e.tel.Tracer.Start(ctx, "entry.claim")
	defer span.End()
	switch d.claim.take(ctx, out.Attempt, out.Target) {
	case claimHeld:
		return d.machine.Claimed(out.Attempt)
	case claimLost:
		return d.machine.ClaimLost(out.Attempt)
	default:
		d.reason = errClaimUnavailable(d.call)
		return d.machine.ClaimFailed(out.Attempt)
	}
}

// send gives the attempt to the worker, exactly once.
func (d *dispatcher) send(ctx context.Context, out request.Output) request.Output {
	ctx, span := d.e.tel.Tracer.Start(ctx, "entry.attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("vm", string(d.target.VM)), attribute.String("attempt", out.Attempt.String())))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, runTimeout+startWindow)
	defer cancel()
	req, err := d.offer(ctx, out)
	if err != nil {
		d.reason = err
		return d.machine.NotSent(out.Attempt, false)
	}
	resp, err := d.e.node.Calls.Do(req)
	if err != nil {
		span.RecordError(err)
		d.release(routing.ResultFailure)
		if dialFailed(err) {
			d.reason = errUnreachable(d.call, d.target, err)
			return d.machine.NotSent(out.Attempt, d.e.router.retry())
		}
		return d.machine.AnswerLost(out.Attempt)
	}
	defer func() { _ = resp.Body.Close() }()
	return d.received(out, resp)
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

// received turns the worker's reply into the machine's input.
func (d *dispatcher) received(out request.Output, resp *http.Response) request.Output {
	report, err := runcall.ParseReport(resp.Header.Get(runcall.HeaderReport))
	if err != nil {
		// Not a worker's reply, for example one of a process that refused the call.
		d.release(routing.ResultFailure)
		return d.machine.AnswerLost(out.Attempt)
	}
	d.e.heardWorker(d.target, report)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	if err != nil || len(body) > maxReply {
		d.release(routing.ResultFailure)
		return d.machine.AnswerLost(out.Attempt)
	}
	switch apperr.Outcome(resp.Header.Get(apperr.HeaderOutcome)) {
	case apperr.OutcomeDone:
		d.release(routing.ResultSuccess)
		header := make(http.Header)
		runcall.CopyHeaders(header, resp.Header)
		d.reply = &worker.Kept{Status: resp.StatusCode, Header: header, Body: body}
		return d.machine.Answered(out.Attempt)
	case apperr.OutcomeNotRun:
		return d.refused(out, body, true)
	default:
		return d.refused(out, body, false)
	}
}

func (d *dispatcher) refused(out request.Output, body []byte, proven bool) request.Output {
	var e apperr.Body
	if err := json.Unmarshal(body, &e); err != nil {
		proven = false
	}
	d.release(refusalResult(e))
	d.reason = errRefused(d.call, d.target, e.Message)
	return d.machine.Refused(out.Attempt, proven, proven && d.e.router.retry())
}

// refusalResult tells the router what a refusal says about the worker.
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

// seal asks the target what became of the attempt, and bars it from running.
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
		var kept worker.Kept
		if err := json.Unmarshal(sealed.Response, &kept); err != nil {
			sealed.Response = nil
		} else {
			d.reply = &kept
		}
	}
	retry := sealed.State == admission.SealNeverRan && d.e.router.retry()
	return d.machine.SealAnswered(out.Attempt, sealed, retry)
}

// sealAt seals an attempt at the worker that it was given to.
func (e *Entry) sealAt(ctx context.Context, attempt types.RequestID, t request.Target) (admission.SealResult, error) {
	address := e.router.address(t.VM)
	if address == "" {
		return admission.SealResult{}, errors.New("address of the worker is not known")
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

// dialFailed reports that no connection was made, so nothing was sent.
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
