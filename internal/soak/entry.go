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
	maxAttempts = 4
	startWindow = 2 * time.Second
	sealPause   = 200 * time.Millisecond
	sealTimeout = time.Second
	callLimit   = 20 * time.Second
	settleTries = 20
)

// entry is one entry process.
type entry struct {
	host
	w      *requests
	number int
	router *routing.Router
	known  map[types.VMID]types.Incarnation
	open   []*call
	active map[types.RequestID]bool
}

// call is one caller's request at its entry.
type call struct {
	e        *entry
	booking  *booking
	machine  request.Machine
	started  time.Duration
	deadline time.Duration
	own      []types.RequestID

	row      *claim.Row
	revision uint64
	value    string

	choice   routing.Choice
	holding  bool
	queued   bool
	ended    bool
	response []byte
	// lostAt ends an exchange, sealAt begins a seal, and sealEnds ends one.
	lostAt, sealAt, sealEnds time.Duration
	sealed                   func(admission.SealResult)
	settles                  int
	settleAt                 time.Duration
	op                       *operation
	outcome                  apperr.Outcome
}

func (w *requests) newEntry(number int) *entry {
	c := routing.DefaultConfig("d")
	return &entry{
		w: w, number: number, router: routing.New(c),
		known: map[types.VMID]types.Incarnation{}, active: map[types.RequestID]bool{},
	}
}

// accept takes a caller's request.
func (e *entry) accept(b *booking) {
	c := &call{e: e, booking: b, started: e.w.now, deadline: e.w.now + callLimit}
	e.open = append(e.open, c)
	e.router.RecordFirstAttempt()
	if b.key == "" {
		c.start()
		return
	}
	c.op = e.w.begin(e.w.byKey, b.key, bookingInput{}, apperr.OutcomeUnknown)
	c.load(c.decide)
}

func (e *entry) step() {
	kept := make([]*call, 0, len(e.open))
	for _, c := range e.open {
		if c.step(); !c.ended {
			kept = append(kept, c)
		}
	}
	e.open = kept
}

// learn takes a digest; one of an earlier incarnation came late.
func (e *entry) learn(s routing.WorkerState) {
	if s.Incarnation < e.known[s.VM] {
		return
	}
	e.known[s.VM] = s.Incarnation
	e.router.Update(e.w.now, s)
	for _, c := range e.open {
		if t := c.machine.Target(); !c.ended && t.VM == s.VM && t.Incarnation < s.Incarnation {
			c.act(c.machine.IncarnationEnded(t.VM, t.Incarnation))
		}
	}
}

// step does what has become due.
func (c *call) step() {
	now := c.e.w.now
	switch {
	case c.outcome != "":
		if c.settleAt != 0 && now >= c.settleAt {
			c.settleAt = 0
			c.load(c.settle)
		}
		return
	case now >= c.deadline && c.machine.Attempt() != (types.RequestID{}):
		c.act(c.machine.Deadline())
	case now >= c.deadline:
		c.finish(apperr.OutcomeUnknown)
	case c.queued:
		c.choose()
	case c.lostAt != 0 && now >= c.lostAt:
		c.lostAt = 0
		c.lost()
	}
	if c.sealAt != 0 && now >= c.sealAt && c.machine.State() == request.Sealing {
		c.sealAt = 0
		c.sealAttempt(c.machine.Attempt(), c.machine.Target())
	}
	if c.sealEnds != 0 && now >= c.sealEnds {
		c.sealEnds = 0
		c.sealed(admission.SealResult{})
	}
}

func (c *call) start() {
	c.machine = request.New(c.e.w.newID(), c.booking.key != "", maxAttempts)
	c.choose()
}

// choose asks the router for a worker, again in each step while there is none.
func (c *call) choose() {
	w := c.e.w
	choice, verdict := c.e.router.Pick(w.now, service, c.deadline, w.rng)
	c.queued = verdict != routing.Picked
	if c.queued {
		return
	}
	c.e.router.Started(choice)
	c.choice, c.holding = choice, true
	c.act(c.machine.AssignTarget(request.Target{
		VM: choice.VM, Incarnation: choice.Incarnation, ValidUntil: choice.Echo + choice.EchoAge + startWindow,
	}))
}

func (c *call) release(r routing.Result) {
	if c.holding {
		c.holding = false
		c.e.router.Finished(c.e.w.now, c.choice, r, time.Second)
	}
}

// act carries out the output of the machine.
func (c *call) act(out request.Output) {
	switch out.Action {
	case request.ActionChooseTarget:
		c.release(routing.ResultOther)
		c.choose()
	case request.ActionClaim:
		c.claim(out)
	case request.ActionDispatch:
		c.dispatch(out)
	case request.ActionSeal:
		c.release(routing.ResultFailure)
		c.sealAttempt(out.Attempt, out.Target)
	case request.ActionSealLater:
		c.sealAt = c.e.w.now + sealPause
	case request.ActionFinish:
		if !out.UseResponse {
			c.response = nil
		}
		c.finish(out.Outcome)
	case request.ActionYield:
		c.row = nil
		c.finish(apperr.OutcomeUnknown)
	}
}

// dispatch sends the offer on one connection, which reaches one incarnation.
func (c *call) dispatch(out request.Output) {
	w := c.e.w
	c.own = append(c.own, out.Attempt)
	c.lostAt = w.now + w.between(2*time.Second, 8*time.Second)
	s := w.server(out.Target.VM)
	offer := admission.Offer{
		ID: out.Attempt, Target: out.Target.Incarnation, Service: service,
		Echo: c.choice.Echo, Budget: out.Target.ValidUntil - c.choice.Echo,
	}
	var reached types.Incarnation
	w.net.Send(w.now, envelope{to: func() *host { return &s.host }, do: func() {
		if reached == 0 || w.opts.Drop == DropIncarnation {
			reached = s.incarnation
		}
		if reached == s.incarnation {
			s.offer(w, offer, c.booking, func(a answer) { c.reply(out.Attempt, a) })
		}
	}})
}

func (w *requests) server(vm types.VMID) *server {
	for _, s := range w.workers {
		if s.vm == vm {
			return s
		}
	}
	return nil
}

// reply carries a worker's answer back to the entry.
func (c *call) reply(attempt types.RequestID, a answer) {
	w := c.e.w
	w.net.Send(w.now, envelope{to: func() *host { return &c.e.host }, do: func() {
		if !c.ended && c.outcome == "" {
			c.answered(attempt, a)
		}
	}})
}

func (c *call) answered(attempt types.RequestID, a answer) {
	if attempt != c.machine.Attempt() {
		return
	}
	t := c.machine.Target()
	c.e.router.Report(c.e.w.now, t.VM, t.Incarnation, a.reading, a.inUse)
	c.lostAt = 0
	switch {
	case a.done:
		c.release(routing.ResultSuccess)
		c.response = a.response
		c.act(c.machine.Answered(attempt))
	default:
		result := routing.ResultOther
		if a.reason == admission.ReasonNoSlot {
			result = routing.ResultFull
		}
		c.release(result)
		c.act(c.machine.Refused(attempt, a.proven, a.proven && c.e.router.TakeRetry()))
	}
}

func (c *call) lost() {
	if c.e.w.opts.Drop == DropLost {
		c.release(routing.ResultOther)
		c.act(c.machine.Refused(c.machine.Attempt(), true, true))
		return
	}
	c.act(c.machine.AnswerLost(c.machine.Attempt()))
}

// seal asks a worker what became of an attempt; an empty result tells that it
// did not answer in time.
func (c *call) seal(attempt types.RequestID, t request.Target, then func(admission.SealResult)) {
	w := c.e.w
	s := w.server(t.VM)
	c.sealEnds = w.now + sealTimeout
	asked := c.sealEnds
	c.sealed = then
	r := admission.SealRequest{ID: attempt, Target: t.Incarnation, ValidUntil: t.ValidUntil}
	w.net.Send(w.now, envelope{to: func() *host { return &s.host }, do: func() {
		result := s.seal(w, r)
		w.net.Send(w.now, envelope{to: func() *host { return &c.e.host }, do: func() {
			if !c.ended && c.outcome == "" && c.sealEnds == asked {
				c.sealEnds = 0
				then(result)
			}
		}})
	}})
}

func (c *call) sealAttempt(attempt types.RequestID, t request.Target) {
	c.seal(attempt, t, func(r admission.SealResult) { c.sealAnswer(attempt, r) })
}

func (c *call) sealAnswer(attempt types.RequestID, r admission.SealResult) {
	if r.State == "" {
		c.act(c.machine.SealFailed(attempt))
		return
	}
	c.response = r.Response
	c.act(c.machine.SealAnswered(attempt, r, c.e.router.TakeRetry()))
}

// load reads the claim row.
func (c *call) load(then func(ok bool)) {
	key := claim.Key(string(service), c.booking.key)
	w := c.e.w
	op := w.begin(w.rows, key, rowInput{}, nil)
	w.call(&c.e.host, func() func() {
		rows, err := c.e.w.table.Get(context.Background(), key)
		return func() {
			if err == nil {
				w.close(op, rowOutput{value: string(rows[0].Value)})
				c.loaded(rows[0])
			}
			then(err == nil)
		}
	})
}

func (c *call) loaded(r platform.Row) {
	c.row, c.revision, c.value = nil, r.Revision, string(r.Value)
	if r.Revision == 0 {
		return
	}
	row, err := claim.Decode(r.Value)
	if err != nil {
		c.e.w.fail("claim row: %v", err)
		return
	}
	c.row = &row
}

// write replaces the row and reports whether it did.
func (c *call) write(next claim.Row, then func(ok bool)) {
	key := claim.Key(string(service), c.booking.key)
	value, err := next.Encode()
	if err != nil {
		c.e.w.fail("claim row: %v", err)
	}
	w := c.e.w
	op := w.begin(w.rows, key, rowInput{write: true, old: c.value, new: string(value)}, rowOutput{uncertain: true})
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: c.revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
	c.e.w.call(&c.e.host, func() func() {
		res, err := c.e.w.table.Commit(context.Background(), txn)
		return func() {
			if !errors.Is(err, platform.ErrUncertain) {
				w.close(op, rowOutput{committed: res.Committed, refused: err != nil})
			}
			ok := err == nil && res.Committed
			if ok {
				c.row, c.revision, c.value = &next, res.Revision, string(value)
			}
			then(ok)
		}
	})
}

func (c *call) decide(ok bool) {
	switch {
	case c.outcome != "":
	case !ok:
		c.finish(apperr.OutcomeNotRun)
	default:
		c.decided(claim.Decide(c.row, "f", c.row != nil && c.e.active[c.row.Attempt]))
	}
}

func (c *call) decided(d claim.Decision) {
	switch d {
	case claim.DecideClaim, claim.DecideRerun:
		c.start()
	case claim.DecideSeal:
		c.seal(c.row.Attempt, c.row.Target, c.resolve)
	case claim.DecideReplay:
		c.response = c.row.Response
		c.finish(apperr.OutcomeDone)
	case claim.DecideRan:
		c.finish(apperr.OutcomeDone)
	default:
		c.finish(apperr.OutcomeUnknown)
	}
}

// resolve goes on after the seal of an attempt whose entry may have died.
func (c *call) resolve(r admission.SealResult) {
	if r.State == "" {
		c.decided(claim.DecideInProgress)
		return
	}
	next, d, write := claim.Resolve(*c.row, r)
	if !write {
		c.decided(d)
		return
	}
	c.write(next, func(ok bool) {
		switch {
		case c.outcome != "":
		case ok:
			c.decided(d)
		default:
			c.load(c.decide)
		}
	})
}

// claim writes the attempt to the row before it is dispatched.
func (c *call) claim(out request.Output) {
	next := claim.New("f", out.Attempt, out.Target)
	var previous types.RequestID
	if c.row != nil {
		previous = c.row.Attempt
		var err error
		if next, err = claim.Reclaim(*c.row, previous, out.Attempt, out.Target); err != nil {
			c.act(c.machine.ClaimLost(out.Attempt))
			return
		}
	}
	c.e.active[out.Attempt] = true
	if c.e.w.opts.Drop == DropClaim {
		c.act(c.machine.Claimed(out.Attempt))
	}
	c.write(next, func(ok bool) {
		if ok {
			c.act(c.machine.Claimed(out.Attempt))
			return
		}
		c.load(func(ok bool) { c.confirm(out, previous, ok) })
	})
}

func (c *call) confirm(out request.Output, previous types.RequestID, read bool) {
	if !read {
		c.act(c.machine.ClaimFailed(out.Attempt))
		return
	}
	switch claim.Confirm(c.row, out.Attempt, previous) {
	case claim.Held:
		c.act(c.machine.Claimed(out.Attempt))
	case claim.TakenByOther:
		c.act(c.machine.ClaimLost(out.Attempt))
	default:
		c.act(c.machine.ClaimFailed(out.Attempt))
	}
}

// finish answers the caller and then stores the outcome.
func (c *call) finish(outcome apperr.Outcome) {
	if c.outcome != "" {
		return
	}
	c.release(routing.ResultOther)
	c.outcome = outcome
	c.e.w.finished(c, outcome)
	if c.op != nil {
		c.e.w.close(c.op, outcome)
	}
	c.settle(true)
}

// settle stores the outcome of the last attempt, again while that fails.
func (c *call) settle(bool) {
	attempt := c.machine.Attempt()
	if c.row == nil || c.booking.key == "" || len(c.own) == 0 || c.settles >= settleTries {
		c.end(attempt)
		return
	}
	c.settles++
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
		c.settleAt = c.e.w.now + 500*time.Millisecond
	})
}

func (c *call) end(attempt types.RequestID) {
	c.ended = true
	delete(c.e.active, attempt)
}
