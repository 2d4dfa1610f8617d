package modelcheck_test

import (
	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/claim"
	"github.com/boragecrank/boragecrank/internal/core/modelcheck"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

type yield func(modelcheck.Move, state)

func (w *world) moves(s state, emit func(modelcheck.Move, state)) {
	out := func(m modelcheck.Move, next state) {
		w.tidy(&next)
		emit(m, next)
	}
	for i := range clients {
		w.clientMoves(s, i, out)
	}
	for i := range workers {
		w.workerMoves(s, i, out)
	}
	last := uint32(0)
	for place, n := range s.messages {
		if n == 0 || n == last {
			continue
		}
		last = n
		w.deliver(s, place, w.messages.Value(n), out)
	}
}

// clientMoves are the moves that an entry makes on its own.
func (w *world) clientMoves(s state, i int, out yield) {
	c := w.client(&s, i)
	move := func(name string, b int, change func(*state, *client) request.Output) {
		next, changed := s, c
		o := change(&next, &changed)
		w.act(&next, i, &changed, o)
		w.putClient(&next, i, changed)
		out(modelcheck.Move{Name: name, A: i, B: b}, next)
	}
	switch c.phase {
	case phaseNew:
		move("arrive", 0, func(n *state, c *client) request.Output { return w.decide(n, i, c) })
	case phaseResolving:
		move("give-up-resolving", 0, func(_ *state, c *client) request.Output {
			c.phase = phaseFinal
			return request.Output{}
		})
	case phaseActive:
		w.machineMoves(s, c, move)
	}
	if s.faults.deaths > 0 && c.phase != phaseFinal && c.phase != phaseDead {
		move("entry-death", 0, func(n *state, c *client) request.Output {
			n.spend(&n.faults.deaths)
			c.phase = phaseDead
			return request.Output{}
		})
	}
}

func (w *world) machineMoves(s state, c client, move func(string, int, func(*state, *client) request.Output)) {
	attempt := c.machine.Attempt()
	move("deadline", 0, func(_ *state, c *client) request.Output {
		o := c.machine.Deadline()
		if w.mutant == deadlineIsNotRun {
			o.Outcome = apperr.OutcomeNotRun
		}
		return o
	})
	switch c.machine.State() {
	case request.Queued:
		for i := range w.choices(&s) {
			move("choose", i, func(n *state, c *client) request.Output {
				return c.machine.AssignTarget(targetOf(i, w.peek(n, i)))
			})
		}
	case request.Claiming:
		move("read-back", 0, func(n *state, c *client) request.Output { return w.readBack(n, c) })
	case request.Dispatched:
		move("lost", 0, func(_ *state, c *client) request.Output {
			if w.mutant == retryWithoutProof {
				return c.machine.Refused(attempt, true, true)
			}
			return c.machine.AnswerLost(attempt)
		})
	}
	t := c.machine.Target()
	if t.VM != "" && w.peek(&s, number(t.VM)).incarnation != t.Incarnation {
		move("incarnation-over", 0, func(_ *state, c *client) request.Output {
			return c.machine.IncarnationEnded(t.VM, t.Incarnation)
		})
	}
}

// choices is the number of workers to choose from. While both are alike and
// nothing has been sent, one stands for the other.
func (w *world) choices(s *state) int {
	if s.workers[0] == s.workers[1] && s.messages == [maxMessages]uint32{} && w.table(s).revision == 0 {
		return 1
	}
	return workers
}

// decide reads the claim row and starts what it allows.
func (w *world) decide(s *state, i int, c *client) request.Output {
	if !w.scenario.keyed {
		return w.start(i, c)
	}
	if c.machines >= w.scenario.machines {
		c.phase = phaseFinal
		return request.Output{}
	}
	c.base = w.table(s)
	d := claim.Decide(c.base.row.real(), "f", false)
	if d == claim.DecideSeal && w.mutant == repeatWithoutSeal {
		d = claim.DecideRerun
	}
	return w.decided(s, i, c, d)
}

func (w *world) decided(s *state, i int, c *client, d claim.Decision) request.Output {
	if d == claim.DecideUnknown && w.mutant == unknownRunsAnew {
		c.base.row.state = claim.StateNotRun
		d = claim.DecideRerun
	}
	switch d {
	case claim.DecideClaim, claim.DecideRerun:
		return w.start(i, c)
	case claim.DecideSeal:
		c.phase = phaseResolving
		r := c.base.row
		w.send(s, message{kind: sealMessage, client: uint8(i), attempt: r.attempt, target: r.target})
		return request.Output{}
	case claim.DecideReplay:
		c.outcome, c.body = apperr.OutcomeDone, c.base.row.response
	case claim.DecideRan, claim.DecideUnknown:
		c.outcome = apperr.OutcomeUnknown
	}
	c.phase = phaseFinal
	return request.Output{}
}

func (w *world) start(i int, c *client) request.Output {
	c.phase = phaseActive
	c.machines++
	c.machine = request.New(types.RequestID{0: byte(i + 1), 1: c.machines}, w.scenario.keyed, w.scenario.attempts)
	return request.Output{}
}

// readBack finds out whether the claim was written. It stands for the answer
// of the write as well, which may be lost.
func (w *world) readBack(s *state, c *client) request.Output {
	attempt := c.machine.Attempt()
	switch claim.Confirm(w.table(s).row.real(), attempt, c.base.row.attempt.id()) {
	case claim.Held:
		c.base = w.table(s)
		return c.machine.Claimed(attempt)
	case claim.TakenByOther:
		return c.machine.ClaimLost(attempt)
	default:
		return c.machine.ClaimFailed(attempt)
	}
}

// act carries out the output of a machine as a shell does.
func (w *world) act(s *state, i int, c *client, o request.Output) {
	m := message{client: uint8(i), attempt: codeOf(o.Attempt), target: o.Target}
	switch o.Action {
	case request.ActionClaim:
		w.writeClaim(s, i, c, o)
	case request.ActionDispatch:
		m.kind = offerMessage
		w.send(s, m)
	case request.ActionSeal, request.ActionSealLater:
		if c.seals > 0 {
			c.seals--
			m.kind = sealMessage
			w.send(s, m)
		}
	case request.ActionFinish:
		c.phase = phaseFinal
		c.outcome = o.Outcome
		w.settle(s, c, o)
	case request.ActionYield:
		w.act(s, i, c, w.decide(s, i, c))
	}
}

func (w *world) writeClaim(s *state, i int, c *client, o request.Output) {
	if w.mutant == dispatchBeforeClaim {
		w.act(s, i, c, c.machine.Claimed(o.Attempt))
	}
	if w.mutant == claimFirstAttemptOnly && c.machine.AttemptNumber() > 1 {
		w.act(s, i, c, c.machine.Claimed(o.Attempt))
		return
	}
	next := claim.New("f", o.Attempt, o.Target)
	if prev := c.base.row.real(); prev != nil {
		var err error
		if next, err = claim.Reclaim(*prev, prev.Attempt, o.Attempt, o.Target); err != nil {
			panic(err)
		}
	}
	w.send(s, message{kind: writeMessage, client: uint8(i), write: table{revision: c.base.revision, row: rowOf(next)}})
}

// settle stores the outcome of a keyed request.
func (w *world) settle(s *state, c *client, o request.Output) {
	held := c.base.row.real()
	if held == nil {
		return
	}
	var response []byte
	if c.body != 0 {
		response = []byte{byte(c.body)}
	}
	if next, ok := claim.Settle(*held, o.Attempt, o.Outcome, response); ok {
		w.send(s, message{kind: writeMessage, write: table{revision: c.base.revision, row: rowOf(next)}})
	}
}

// workerMoves are the faults of a worker and the ends of its requests.
func (w *world) workerMoves(s state, i int, out yield) {
	base := w.peek(&s, i)
	next := s
	if next.spend(&next.faults.restarts) {
		next.workers[i] = w.number(newWorker(base.incarnation+1, base.now))
		w.breakConnections(&next, i)
		out(modelcheck.Move{Name: "restart", A: i}, next)
	}
	next = s
	if next.spend(&next.faults.freezes) {
		frozen := base
		frozen.now += freezeTicks
		next.workers[i] = w.number(frozen)
		out(modelcheck.Move{Name: "freeze", A: i}, next)
	}
	last := code(0)
	for _, c := range s.runs {
		if c == last {
			continue
		}
		last = c
		st := w.step(stepInput{worker: s.workers[i], finish: c})
		if !st.finished {
			continue
		}
		next := s
		next.workers[i] = st.worker
		w.send(&next, message{kind: answerMessage, client: uint8(c.client()), attempt: c})
		out(modelcheck.Move{Name: "finish", A: i, B: int(c)}, next)
	}
}

// breakConnections drops second copies of offers to a worker that restarts:
// an offer travels on one connection, which ends with the process.
func (w *world) breakConnections(s *state, i int) {
	if w.mutant == copyReachesNextIncarnation {
		return
	}
	for place := 0; place < maxMessages; place++ {
		m := w.messages.Value(s.messages[place])
		if m.kind == offerMessage && m.copied && number(m.target.VM) == i {
			s.take(place)
		}
	}
}

// deliver yields the results of delivering a message, with and without a
// second copy left in the network.
func (w *world) deliver(s state, place int, m message, out yield) {
	s.take(place)
	w.receive(s, m, out)
	if m.kind == writeMessage || !s.spend(&s.faults.duplicates) {
		return
	}
	second := m
	if m.kind == offerMessage {
		if w.peek(&s, number(m.target.VM)).incarnation != m.target.Incarnation {
			return
		}
		second.copied = true
	}
	w.send(&s, second)
	w.receive(s, m, func(move modelcheck.Move, next state) {
		move.Name += "-and-copy"
		out(move, next)
	})
}

func (w *world) receive(s state, m message, out yield) {
	switch m.kind {
	case offerMessage:
		w.receiveOffer(s, m, out)
	case sealMessage:
		w.receiveSeal(s, m, out)
	case writeMessage:
		now := w.table(&s)
		if w.mutant == writeWithoutCompare || now.revision == m.write.revision {
			next := table{revision: now.revision + 1, row: m.write.row}
			s.table = w.tables.Number(next, next)
		}
		out(modelcheck.Move{Name: "write", A: int(m.client), B: int(m.write.row.attempt)}, s)
	default:
		w.receiveAtEntry(s, m, out)
	}
}

// step returns what a worker does with an input.
func (w *world) step(in stepInput) step {
	if st, ok := w.steps[in]; ok {
		return st
	}
	wk := w.fork(in.worker)
	m := w.messages.Value(in.message)
	var st step
	switch {
	case in.finish != 0:
		st.finished = wk.requests.Finish(in.finish.id(), apperr.OutcomeDone, []byte{byte(in.finish)}, true)
	case m.kind == sealMessage:
		st.seal = wk.requests.Seal(wk.now, admission.SealRequest{
			ID: m.attempt.id(), Target: m.target.Incarnation, ValidUntil: m.target.ValidUntil,
		})
	default:
		st = w.admit(wk, m, in)
	}
	st.worker = w.number(wk)
	dropped := w.mutant == sealNotKept && m.kind == sealMessage ||
		w.mutant == refusalNotFinal && m.kind == offerMessage && !st.decision.Admitted()
	if dropped {
		st.worker = in.worker
	}
	w.steps[in] = st
	return st
}

// admit offers a request to a worker, which is short of a slot if busy.
func (w *world) admit(wk worker, m message, in stepInput) step {
	o := admission.Offer{
		ID: m.attempt.id(), Target: m.target.Incarnation, Service: "berths",
		Echo: m.target.ValidUntil - offerTicks, Budget: offerTicks,
	}
	w.mutateOffer(wk, in.runs, &o)
	wk.requests.SetConfigUnconfirmed(in.busy)
	st := step{decision: wk.requests.Admit(wk.now, o)}
	wk.requests.SetConfigUnconfirmed(false)
	if st.decision.Admitted() {
		ended := worker{requests: wk.requests.Clone(), incarnation: wk.incarnation, now: wk.now}
		ended.requests.Finish(o.ID, apperr.OutcomeNotRun, nil, false)
		st.notConnected = w.number(ended)
	}
	return st
}

func (w *world) receiveOffer(s state, m message, out yield) {
	w.offer(s, m, false, out)
	if s.spend(&s.faults.busy) {
		w.offer(s, m, true, out)
	}
}

// offer yields the admission of an offer: refused, admitted, or admitted and
// ended because no connection to the upstream could be made.
func (w *world) offer(s state, m message, busy bool, out yield) {
	i := number(m.target.VM)
	in := stepInput{worker: s.workers[i], message: w.messages.Number(m, m), busy: busy}
	if w.mutant == noKnownCheck {
		in.runs = s.ran(func(code) bool { return true })
	}
	st := w.step(in)
	if !st.decision.Admitted() {
		s.workers[i] = st.worker
		proven := st.decision.ProvenNotRun || w.mutant == everyRefusalProves
		w.send(&s, message{kind: refusalMessage, client: m.client, attempt: m.attempt, proven: proven})
		out(modelcheck.Move{Name: "refuse-" + string(st.decision.Reason), A: i, B: int(m.attempt)}, s)
		return
	}
	next := s
	next.workers[i] = st.worker
	w.run(&next, m.attempt)
	out(modelcheck.Move{Name: "admit", A: i, B: int(m.attempt)}, next)
	s.workers[i] = st.notConnected
	w.send(&s, message{kind: refusalMessage, client: m.client, attempt: m.attempt, proven: true})
	out(modelcheck.Move{Name: "not-connected", A: i, B: int(m.attempt)}, s)
}

func (w *world) receiveSeal(s state, m message, out yield) {
	i := number(m.target.VM)
	st := w.step(stepInput{worker: s.workers[i], message: w.messages.Number(m, m)})
	s.workers[i] = st.worker
	r := st.seal
	reply := message{kind: sealedMessage, client: m.client, attempt: m.attempt, seal: w.mutateSeal(r.State), result: r.Outcome}
	if r.Response != nil {
		reply.body = code(r.Response[0])
	}
	w.send(&s, reply)
	out(modelcheck.Move{Name: "seal-" + string(r.State), A: i, B: int(m.attempt)}, s)
}

// receiveAtEntry delivers a refusal, an answer or the reply to a seal. Without
// keys both requests are at one entry, and either may be given the message.
func (w *world) receiveAtEntry(s state, m message, out yield) {
	for i := range clients {
		if w.scenario.keyed && i != int(m.client) {
			continue
		}
		c := w.client(&s, i)
		if c.phase == phaseNew || c.phase == phaseFinal || c.phase == phaseDead {
			continue
		}
		next := s
		o := w.take(&next, i, &c, m)
		if o.UseResponse {
			c.body = m.body
			if m.kind == answerMessage {
				c.body = m.attempt
			}
		}
		w.act(&next, i, &c, o)
		w.putClient(&next, i, c)
		out(modelcheck.Move{Name: [...]string{"", "", "refused", "answered", "", "sealed"}[m.kind], A: i, B: int(m.attempt)}, next)
	}
}

func (w *world) take(s *state, i int, c *client, m message) request.Output {
	if c.phase == phaseResolving {
		return w.resolve(s, i, c, m)
	}
	attempt := m.attempt.id()
	if w.mutant == answerOfAnyAttempt {
		attempt = c.machine.Attempt()
	}
	switch m.kind {
	case refusalMessage:
		return c.machine.Refused(attempt, m.proven, true)
	case answerMessage:
		return c.machine.Answered(attempt)
	default:
		return c.machine.SealAnswered(attempt, m.sealResult(), true)
	}
}

// resolve goes on with a repeat whose seal was answered.
func (w *world) resolve(s *state, i int, c *client, m message) request.Output {
	if m.kind != sealedMessage || m.attempt != c.base.row.attempt {
		return request.Output{}
	}
	next, d, write := claim.Resolve(*c.base.row.real(), m.sealResult())
	if write {
		w.send(s, message{kind: writeMessage, write: table{revision: c.base.revision, row: rowOf(next)}})
	}
	c.base.row = rowOf(next)
	return w.decided(s, i, c, d)
}
