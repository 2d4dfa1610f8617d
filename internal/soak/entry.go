package soak

import (
	"context"
	"errors"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/claim"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/routing"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

const (
	maxAttempts       = 4
	startWindow       = 2 * time.Second
	sealRetryInterval = 200 * time.Millisecond
	sealTimeout       = time.Second
	callTimeout       = 20 * time.Second
	maxStoreAttempts  = 20
)

// entry is an entry process.
type entry struct {
	host
	w            *requests
	number       int
	router       *routing.Router
	incarnations map[types.VMID]types.Incarnation
	openCalls    []*call
	// active holds the attempts that this entry has claimed and not ended.
	active map[types.RequestID]bool
}

// call is one caller's request at its entry.
type call struct {
	e        *entry
	booking  *booking
	machine  request.Machine
	started  time.Duration
	deadline time.Duration
	attempts []types.RequestID

	row      *claim.Row
	revision uint64
	value    string

	choice routing.Choice
	// choiceCounted is set while the router counts the choice as in flight.
	choiceCounted bool
	queued        bool
	ended         bool
	response      []byte
	// answerDeadline is the time at which the answer to an offer counts as
	// lost, nextSealAt the time of the next seal, and sealDeadline the time
	// until which a seal waits for its result. Zero means not set.
	answerDeadline, nextSealAt, sealDeadline time.Duration
	onSealResult                             func(admission.SealResult)
	storeAttempts                            int
	nextStoreAt                              time.Duration
	op                                       *operation
	outcome                                  apperr.Outcome
}

func (w *requests) newEntry(number int) *entry {
	c := routing.DefaultConfig("d")
	return &entry{
		w: w, number: number, router: routing.New(c),
		incarnations: map[types.VMID]types.Incarnation{}, active: map[types.RequestID]bool{},
	}
}

// accept accepts a caller's request.
func (e *entry) accept(b *booking) {
	c := &call{e: e, booking: b, started: e.w.now, deadline: e.w.now + callTimeout}
	e.openCalls = append(e.openCalls, c)
	e.router.RecordFirstAttempt()
	if b.key == "" {
		c.start()
		return
	}
	c.op = e.w.beginOperation(e.w.bookingHistories, b.key, bookingInput{}, apperr.OutcomeUnknown)
	c.loadRow(c.decideFromRow)
}

func (e *entry) step() {
	open := make([]*call, 0, len(e.openCalls))
	for _, c := range e.openCalls {
		if c.step(); !c.ended {
			open = append(open, c)
		}
	}
	e.openCalls = open
}

// applyDigest applies a digest of a worker. It ignores delayed digests of
// earlier incarnations.
func (e *entry) applyDigest(s routing.WorkerState) {
	if s.Incarnation < e.incarnations[s.VM] {
		return
	}
	e.incarnations[s.VM] = s.Incarnation
	e.router.Update(e.w.now, s)
	for _, c := range e.openCalls {
		if t := c.machine.Target(); !c.ended && t.VM == s.VM && t.Incarnation < s.Incarnation {
			c.execute(c.machine.IncarnationEnded(t.VM, t.Incarnation))
		}
	}
}

// step performs the actions that have become due.
func (c *call) step() {
	now := c.e.w.now
	switch {
	case c.outcome != "":
		if c.nextStoreAt != 0 && now >= c.nextStoreAt {
			c.nextStoreAt = 0
			c.loadRow(c.storeOutcome)
		}
		return
	case now >= c.deadline && c.machine.Attempt() != (types.RequestID{}):
		c.execute(c.machine.Deadline())
	case now >= c.deadline:
		c.finish(apperr.OutcomeUnknown)
	case c.queued:
		c.chooseWorker()
	case c.answerDeadline != 0 && now >= c.answerDeadline:
		c.answerDeadline = 0
		c.handleLostAnswer()
	}
	if c.nextSealAt != 0 && now >= c.nextSealAt && c.machine.State() == request.Sealing {
		c.nextSealAt = 0
		c.sealAttempt(c.machine.Attempt(), c.machine.Target())
	}
	if c.sealDeadline != 0 && now >= c.sealDeadline {
		c.sealDeadline = 0
		c.onSealResult(admission.SealResult{})
	}
}

func (c *call) start() {
	c.machine = request.New(c.e.w.newID(), c.booking.key != "", maxAttempts)
	c.chooseWorker()
}

// chooseWorker asks the router for a worker. If none is available, the call is
// queued and tries again in each step.
func (c *call) chooseWorker() {
	w := c.e.w
	choice, verdict := c.e.router.Pick(w.now, service, c.deadline, w.rng)
	c.queued = verdict != routing.Picked
	if c.queued {
		return
	}
	c.e.router.Started(choice)
	c.choice, c.choiceCounted = choice, true
	c.execute(c.machine.AssignTarget(request.Target{
		VM: choice.VM, Incarnation: choice.Incarnation, ValidUntil: choice.Echo + choice.EchoAge + startWindow,
	}))
}

func (c *call) releaseChoice(r routing.Result) {
	if c.choiceCounted {
		c.choiceCounted = false
		c.e.router.Finished(c.e.w.now, c.choice, r, time.Second)
	}
}

// execute carries out the output of the request machine.
func (c *call) execute(out request.Output) {
	switch out.Action {
	case request.ActionChooseTarget:
		c.releaseChoice(routing.ResultOther)
		c.chooseWorker()
	case request.ActionClaim:
		c.claim(out)
	case request.ActionDispatch:
		c.dispatch(out)
	case request.ActionSeal:
		c.releaseChoice(routing.ResultFailure)
		c.sealAttempt(out.Attempt, out.Target)
	case request.ActionSealLater:
		c.nextSealAt = c.e.w.now + sealRetryInterval
	case request.ActionFinish:
		if !out.UseResponse {
			c.response = nil
		}
		c.finish(out.Outcome)
	case request.ActionYield:
		// As in package entry, the request is answered with an unknown outcome
		// and not decided again from the row. Without the row, storeOutcome
		// leaves the row of the other attempt as it is.
		c.row = nil
		c.finish(apperr.OutcomeUnknown)
	}
}

// dispatch sends the offer on one connection, which reaches only one
// incarnation of the worker.
func (c *call) dispatch(out request.Output) {
	w := c.e.w
	c.attempts = append(c.attempts, out.Attempt)
	c.answerDeadline = w.now + w.randomDuration(2*time.Second, 8*time.Second)
	s := w.workerSim(out.Target.VM)
	offer := admission.Offer{
		ID: out.Attempt, Target: out.Target.Incarnation, Service: service,
		Echo: c.choice.Echo, Budget: out.Target.ValidUntil - c.choice.Echo,
	}
	var reached types.Incarnation
	w.network.Send(w.now, envelope{receiver: func() *host { return &s.host }, handle: func() {
		if reached == 0 || w.opts.Drop == DropIncarnation {
			reached = s.incarnation
		}
		if reached == s.incarnation {
			s.offer(w, offer, c.booking, func(a answer) { c.sendReply(out.Attempt, a) })
		}
	}})
}

func (w *requests) workerSim(vm types.VMID) *workerSim {
	for _, s := range w.workers {
		if s.vm == vm {
			return s
		}
	}
	return nil
}

// sendReply sends a worker's answer to the entry.
func (c *call) sendReply(attempt types.RequestID, a answer) {
	w := c.e.w
	w.network.Send(w.now, envelope{receiver: func() *host { return &c.e.host }, handle: func() {
		if !c.ended && c.outcome == "" {
			c.handleAnswer(attempt, a)
		}
	}})
}

func (c *call) handleAnswer(attempt types.RequestID, a answer) {
	if attempt != c.machine.Attempt() {
		return
	}
	t := c.machine.Target()
	c.e.router.Report(c.e.w.now, t.VM, t.Incarnation, a.reading, a.inUse)
	c.answerDeadline = 0
	switch {
	case a.done:
		c.releaseChoice(routing.ResultSuccess)
		c.response = a.response
		c.execute(c.machine.Answered(attempt))
	default:
		result := routing.ResultOther
		if a.reason == admission.ReasonNoSlot {
			result = routing.ResultFull
		}
		c.releaseChoice(result)
		c.execute(c.machine.Refused(attempt, a.proven, a.proven && c.e.router.TakeRetry()))
	}
}

func (c *call) handleLostAnswer() {
	if c.e.w.opts.Drop == DropLost {
		c.releaseChoice(routing.ResultOther)
		c.execute(c.machine.Refused(c.machine.Attempt(), true, true))
		return
	}
	c.execute(c.machine.AnswerLost(c.machine.Attempt()))
}

// seal asks a worker to seal an attempt. The result is empty if the worker does
// not answer in time.
func (c *call) seal(attempt types.RequestID, t request.Target, then func(admission.SealResult)) {
	w := c.e.w
	s := w.workerSim(t.VM)
	c.sealDeadline = w.now + sealTimeout
	deadline := c.sealDeadline
	c.onSealResult = then
	r := admission.SealRequest{ID: attempt, Target: t.Incarnation, ValidUntil: t.ValidUntil}
	w.network.Send(w.now, envelope{receiver: func() *host { return &s.host }, handle: func() {
		result := s.seal(w, r)
		w.network.Send(w.now, envelope{receiver: func() *host { return &c.e.host }, handle: func() {
			if !c.ended && c.outcome == "" && c.sealDeadline == deadline {
				c.sealDeadline = 0
				then(result)
			}
		}})
	}})
}

func (c *call) sealAttempt(attempt types.RequestID, t request.Target) {
	c.seal(attempt, t, func(r admission.SealResult) { c.handleSealResult(attempt, r) })
}

func (c *call) handleSealResult(attempt types.RequestID, r admission.SealResult) {
	if r.State == "" {
		c.execute(c.machine.SealFailed(attempt))
		return
	}
	c.response = r.Response
	c.execute(c.machine.SealAnswered(attempt, r, c.e.router.TakeRetry()))
}

// loadRow reads the claim row and then calls then, with ok set if the read
// succeeded.
func (c *call) loadRow(then func(ok bool)) {
	key := claim.Key(string(service), c.booking.key)
	w := c.e.w
	op := w.beginOperation(w.rows, key, rowInput{}, nil)
	w.call(&c.e.host, func() func() {
		rows, err := c.e.w.table.Get(context.Background(), key)
		return func() {
			if err == nil {
				w.endOperation(op, rowOutput{value: string(rows[0].Value)})
				c.setRow(rows[0])
			}
			then(err == nil)
		}
	})
}

func (c *call) setRow(r platform.Row) {
	c.row, c.revision, c.value = nil, r.Revision, string(r.Value)
	if r.Revision == 0 {
		return
	}
	row, err := claim.Decode(r.Value)
	if err != nil {
		c.e.w.recordViolation("claim row: %v", err)
		return
	}
	c.row = &row
}

// write replaces the row and then calls then, with ok set if the write was
// committed.
func (c *call) write(next claim.Row, then func(ok bool)) {
	key := claim.Key(string(service), c.booking.key)
	value, err := next.Encode()
	if err != nil {
		c.e.w.recordViolation("claim row: %v", err)
	}
	w := c.e.w
	op := w.beginOperation(w.rows, key, rowInput{write: true, old: c.value, new: string(value)}, rowOutput{uncertain: true})
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: c.revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
	c.e.w.call(&c.e.host, func() func() {
		res, err := c.e.w.table.Commit(context.Background(), txn)
		return func() {
			if !errors.Is(err, platform.ErrUncertain) {
				w.endOperation(op, rowOutput{committed: res.Committed, refused: err != nil})
			}
			ok := err == nil && res.Committed
			if ok {
				c.row, c.revision, c.value = &next, res.Revision, string(value)
			}
			then(ok)
		}
	})
}

func (c *call) decideFromRow(ok bool) {
	switch {
	case c.outcome != "":
	case !ok:
		c.finish(apperr.OutcomeNotRun)
	default:
		c.applyDecision(claim.Decide(c.row, "f", c.row != nil && c.e.active[c.row.Attempt]))
	}
}

func (c *call) applyDecision(d claim.Decision) {
	switch d {
	case claim.DecideClaim, claim.DecideRerun:
		c.start()
	case claim.DecideSeal:
		c.seal(c.row.Attempt, c.row.Target, c.resolveSealed)
	case claim.DecideReplay:
		c.response = c.row.Response
		c.finish(apperr.OutcomeDone)
	case claim.DecideRan:
		c.finish(apperr.OutcomeDone)
	default:
		c.finish(apperr.OutcomeUnknown)
	}
}

// resolveSealed continues with the seal result of an attempt whose entry may
// have died.
func (c *call) resolveSealed(r admission.SealResult) {
	if r.State == "" {
		c.applyDecision(claim.DecideInProgress)
		return
	}
	next, d, write := claim.Resolve(*c.row, r)
	if !write {
		c.applyDecision(d)
		return
	}
	c.write(next, func(ok bool) {
		switch {
		case c.outcome != "":
		case ok:
			c.applyDecision(d)
		default:
			c.loadRow(c.decideFromRow)
		}
	})
}

// claim writes the attempt to the claim row before the attempt is dispatched.
func (c *call) claim(out request.Output) {
	next := claim.New("f", out.Attempt, out.Target)
	var previous types.RequestID
	if c.row != nil {
		previous = c.row.Attempt
		var err error
		if next, err = claim.Reclaim(*c.row, previous, out.Attempt, out.Target); err != nil {
			c.execute(c.machine.ClaimLost(out.Attempt))
			return
		}
	}
	c.e.active[out.Attempt] = true
	if c.e.w.opts.Drop == DropClaim {
		c.execute(c.machine.Claimed(out.Attempt))
	}
	c.write(next, func(ok bool) {
		if ok {
			c.execute(c.machine.Claimed(out.Attempt))
			return
		}
		c.loadRow(func(ok bool) { c.confirmClaim(out, previous, ok) })
	})
}

func (c *call) confirmClaim(out request.Output, previous types.RequestID, read bool) {
	if !read {
		c.execute(c.machine.ClaimFailed(out.Attempt))
		return
	}
	switch claim.Confirm(c.row, out.Attempt, previous) {
	case claim.Held:
		c.execute(c.machine.Claimed(out.Attempt))
	case claim.TakenByOther:
		c.execute(c.machine.ClaimLost(out.Attempt))
	default:
		c.execute(c.machine.ClaimFailed(out.Attempt))
	}
}

// finish answers the caller and then stores the outcome.
func (c *call) finish(outcome apperr.Outcome) {
	if c.outcome != "" {
		return
	}
	c.releaseChoice(routing.ResultOther)
	c.outcome = outcome
	c.e.w.checkOutcome(c, outcome)
	if c.op != nil {
		c.e.w.endOperation(c.op, outcome)
	}
	c.storeOutcome(true)
}

// storeOutcome writes the outcome of the last attempt to the claim row. If that
// fails, it is retried up to maxStoreAttempts times. The unused parameter allows
// it to be passed to loadRow.
func (c *call) storeOutcome(bool) {
	attempt := c.machine.Attempt()
	if c.row == nil || c.booking.key == "" || len(c.attempts) == 0 || c.storeAttempts >= maxStoreAttempts {
		c.end(attempt)
		return
	}
	c.storeAttempts++
	next, needed := claim.Settle(*c.row, attempt, c.outcome, c.response)
	if !needed {
		c.end(attempt)
		return
	}
	c.write(next, func(ok bool) {
		if ok {
			c.end(attempt)
			return
		}
		c.nextStoreAt = c.e.w.now + 500*time.Millisecond
	})
}

func (c *call) end(attempt types.RequestID) {
	c.ended = true
	delete(c.e.active, attempt)
}
