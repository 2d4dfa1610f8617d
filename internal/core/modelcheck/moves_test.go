package modelcheck_test

import (
	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/claim"
	"github.com/boragecrank/boragecrank/internal/core/modelcheck"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

type yieldFunc func(modelcheck.Move, state)

func (w *protocolModel) moves(s state, yield func(modelcheck.Move, state)) {
	out := func(m modelcheck.Move, next state) {
		w.dropIneffectiveMessages(&next)
		yield(m, next)
	}
	for i := range clients {
		w.clientMoves(s, i, out)
	}
	for i := range workers {
		w.workerMoves(s, i, out)
	}
	last := uint32(0)
	for index, n := range s.messages {
		if n == 0 || n == last {
			continue
		}
		last = n
		w.deliver(s, index, w.messages.Value(n), out)
	}
}

// clientMoves yields the moves of an entry that need no message.
func (w *protocolModel) clientMoves(s state, i int, out yieldFunc) {
	c := w.client(&s, i)
	move := func(name string, b int, change func(*state, *client) request.Output) {
		next, changed := s, c
		o := change(&next, &changed)
		w.execute(&next, i, &changed, o)
		w.setClient(&next, i, changed)
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
			n.spendFault(&n.faults.deaths)
			c.phase = phaseDead
			return request.Output{}
		})
	}
}

func (w *protocolModel) machineMoves(s state, c client, move func(string, int, func(*state, *client) request.Output)) {
	attempt := c.machine.Attempt()
	move("deadline", 0, func(_ *state, c *client) request.Output {
		o := c.machine.Deadline()
		if w.mutant == deadlineCountsAsNotRun {
			o.Outcome = apperr.OutcomeNotRun
		}
		return o
	})
	switch c.machine.State() {
	case request.Queued:
		for i := range w.targetChoices(&s) {
			move("choose", i, func(n *state, c *client) request.Output {
				return c.machine.AssignTarget(targetOf(i, w.workerAt(n, i)))
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
	if t.VM != "" && w.workerAt(&s, workerIndex(t.VM)).incarnation != t.Incarnation {
		move("incarnation-over", 0, func(_ *state, c *client) request.Output {
			return c.machine.IncarnationEnded(t.VM, t.Incarnation)
		})
	}
}

// targetChoices returns the number of workers to choose from. It is 1 while
// both workers are in the same state and nothing has been sent, because the
// choices are then symmetric.
func (w *protocolModel) targetChoices(s *state) int {
	if s.workers[0] == s.workers[1] && s.messages == [maxMessages]uint32{} && w.table(s).revision == 0 {
		return 1
	}
	return workers
}

// decide reads the claim row and takes the step that the row allows.
func (w *protocolModel) decide(s *state, i int, c *client) request.Output {
	if !w.scenario.keyed {
		return w.startMachine(i, c)
	}
	if c.machines >= w.scenario.machines {
		c.phase = phaseFinal
		return request.Output{}
	}
	c.knownTable = w.table(s)
	d := claim.Decide(c.knownTable.row.claimRow(), "f", false)
	if d == claim.DecideSeal && w.mutant == repeatWithoutSeal {
		d = claim.DecideRerun
	}
	return w.applyDecision(s, i, c, d)
}

func (w *protocolModel) applyDecision(s *state, i int, c *client, d claim.Decision) request.Output {
	if d == claim.DecideUnknown && w.mutant == unknownRunsAnew {
		c.knownTable.row.state = claim.StateNotRun
		d = claim.DecideRerun
	}
	switch d {
	case claim.DecideClaim, claim.DecideRerun:
		return w.startMachine(i, c)
	case claim.DecideSeal:
		c.phase = phaseResolving
		r := c.knownTable.row
		w.send(s, message{kind: sealMessage, client: uint8(i), attempt: r.attempt, target: r.target})
		return request.Output{}
	case claim.DecideReplay:
		c.outcome, c.body = apperr.OutcomeDone, c.knownTable.row.response
	case claim.DecideRan, claim.DecideUnknown:
		c.outcome = apperr.OutcomeUnknown
	}
	c.phase = phaseFinal
	return request.Output{}
}

func (w *protocolModel) startMachine(i int, c *client) request.Output {
	c.phase = phaseActive
	c.machines++
	c.machine = request.New(types.RequestID{0: byte(i + 1), 1: c.machines}, w.scenario.keyed, w.scenario.attempts)
	return request.Output{}
}

// readBack reads the claim row to determine whether the claim was written. This
// move also stands for the arrival of the write's response, for which the model
// has no message.
func (w *protocolModel) readBack(s *state, c *client) request.Output {
	attempt := c.machine.Attempt()
	switch claim.Confirm(w.table(s).row.claimRow(), attempt, c.knownTable.row.attempt.id()) {
	case claim.Held:
		c.knownTable = w.table(s)
		return c.machine.Claimed(attempt)
	case claim.TakenByOther:
		return c.machine.ClaimLost(attempt)
	default:
		return c.machine.ClaimFailed(attempt)
	}
}

// execute carries out the output of a request machine, as package entry does in
// production.
func (w *protocolModel) execute(s *state, i int, c *client, o request.Output) {
	m := message{client: uint8(i), attempt: attemptCodeOf(o.Attempt), target: o.Target}
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
		w.storeOutcome(s, c, o)
	case request.ActionYield:
		w.execute(s, i, c, w.decide(s, i, c))
	}
}

func (w *protocolModel) writeClaim(s *state, i int, c *client, o request.Output) {
	if w.mutant == dispatchBeforeClaim {
		w.execute(s, i, c, c.machine.Claimed(o.Attempt))
	}
	if w.mutant == claimFirstAttemptOnly && c.machine.AttemptNumber() > 1 {
		w.execute(s, i, c, c.machine.Claimed(o.Attempt))
		return
	}
	next := claim.New("f", o.Attempt, o.Target)
	if prev := c.knownTable.row.claimRow(); prev != nil {
		var err error
		if next, err = claim.Reclaim(*prev, prev.Attempt, o.Attempt, o.Target); err != nil {
			panic(err)
		}
	}
	w.send(s, message{kind: writeMessage, client: uint8(i), write: table{revision: c.knownTable.revision, row: rowOf(next)}})
}

// storeOutcome writes the outcome of a keyed request to the claim row.
func (w *protocolModel) storeOutcome(s *state, c *client, o request.Output) {
	current := c.knownTable.row.claimRow()
	if current == nil {
		return
	}
	var response []byte
	if c.body != 0 {
		response = []byte{byte(c.body)}
	}
	if next, ok := claim.Settle(*current, o.Attempt, o.Outcome, response); ok {
		w.send(s, message{kind: writeMessage, write: table{revision: c.knownTable.revision, row: rowOf(next)}})
	}
}

// workerMoves yields the faults of a worker and the completions of its
// requests.
func (w *protocolModel) workerMoves(s state, i int, out yieldFunc) {
	current := w.workerAt(&s, i)
	next := s
	if next.spendFault(&next.faults.restarts) {
		next.workers[i] = w.internWorker(newWorker(current.incarnation+1, current.now))
		w.breakConnections(&next, i)
		out(modelcheck.Move{Name: "restart", A: i}, next)
	}
	next = s
	if next.spendFault(&next.faults.freezes) {
		frozen := current
		frozen.now += freezeTicks
		next.workers[i] = w.internWorker(frozen)
		out(modelcheck.Move{Name: "freeze", A: i}, next)
	}
	last := attemptCode(0)
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

// breakConnections drops duplicates of offers to a worker that restarts: an
// offer is sent on one connection, which closes when the process ends.
func (w *protocolModel) breakConnections(s *state, i int) {
	if w.mutant == copyReachesNextIncarnation {
		return
	}
	for index := 0; index < maxMessages; index++ {
		m := w.messages.Value(s.messages[index])
		if m.kind == offerMessage && m.copied && workerIndex(m.target.VM) == i {
			s.removeMessage(index)
		}
	}
}

// deliver yields the results of delivering a message, with and without a
// duplicate that remains in the network. An offer to an incarnation that has
// ended is not duplicated, because its connection is closed.
func (w *protocolModel) deliver(s state, index int, m message, out yieldFunc) {
	s.removeMessage(index)
	w.receive(s, m, out)
	if m.kind == writeMessage || !s.spendFault(&s.faults.duplicates) {
		return
	}
	duplicate := m
	if m.kind == offerMessage {
		if w.workerAt(&s, workerIndex(m.target.VM)).incarnation != m.target.Incarnation {
			return
		}
		duplicate.copied = true
	}
	w.send(&s, duplicate)
	w.receive(s, m, func(move modelcheck.Move, next state) {
		move.Name += "-and-copy"
		out(move, next)
	})
}

func (w *protocolModel) receive(s state, m message, out yieldFunc) {
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

// step returns the cached reaction of a worker to an input. It computes the
// reaction to a new input.
func (w *protocolModel) step(in stepInput) step {
	if st, ok := w.steps[in]; ok {
		return st
	}
	wk := w.cloneWorker(in.worker)
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
	st.worker = w.internWorker(wk)
	dropped := w.mutant == sealNotStored && m.kind == sealMessage ||
		w.mutant == refusalNotFinal && m.kind == offerMessage && !st.decision.Admitted()
	if dropped {
		st.worker = in.worker
	}
	w.steps[in] = st
	return st
}

// admit offers a request to a worker. If in.busy is set, the worker refuses it
// for lack of a confirmed configuration.
func (w *protocolModel) admit(wk worker, m message, in stepInput) step {
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
		st.notConnected = w.internWorker(ended)
	}
	return st
}

func (w *protocolModel) receiveOffer(s state, m message, out yieldFunc) {
	w.offer(s, m, false, out)
	if s.spendFault(&s.faults.busy) {
		w.offer(s, m, true, out)
	}
}

// offer yields the results of an offer: refused, admitted, or admitted and
// ended because no connection to the upstream could be established.
func (w *protocolModel) offer(s state, m message, busy bool, out yieldFunc) {
	i := workerIndex(m.target.VM)
	in := stepInput{worker: s.workers[i], message: w.messages.Number(m, m), busy: busy}
	if w.mutant == noDuplicateCheck {
		in.runs = s.countRuns(func(attemptCode) bool { return true })
	}
	st := w.step(in)
	if !st.decision.Admitted() {
		s.workers[i] = st.worker
		proven := st.decision.ProvenNotRun || w.mutant == everyRefusalIsProof
		w.send(&s, message{kind: refusalMessage, client: m.client, attempt: m.attempt, proven: proven})
		out(modelcheck.Move{Name: "refuse-" + string(st.decision.Reason), A: i, B: int(m.attempt)}, s)
		return
	}
	next := s
	next.workers[i] = st.worker
	w.recordRun(&next, m.attempt)
	out(modelcheck.Move{Name: "admit", A: i, B: int(m.attempt)}, next)
	s.workers[i] = st.notConnected
	w.send(&s, message{kind: refusalMessage, client: m.client, attempt: m.attempt, proven: true})
	out(modelcheck.Move{Name: "not-connected", A: i, B: int(m.attempt)}, s)
}

func (w *protocolModel) receiveSeal(s state, m message, out yieldFunc) {
	i := workerIndex(m.target.VM)
	st := w.step(stepInput{worker: s.workers[i], message: w.messages.Number(m, m)})
	s.workers[i] = st.worker
	r := st.seal
	reply := message{kind: sealedMessage, client: m.client, attempt: m.attempt, seal: w.mutateSeal(r.State), result: r.Outcome}
	if r.Response != nil {
		reply.body = attemptCode(r.Response[0])
	}
	w.send(&s, reply)
	out(modelcheck.Move{Name: "seal-" + string(r.State), A: i, B: int(m.attempt)}, s)
}

// receiveAtEntry delivers a refusal, an answer or a seal result. Without keys
// both requests are at one entry, so either of them may receive the message.
func (w *protocolModel) receiveAtEntry(s state, m message, out yieldFunc) {
	for i := range clients {
		if w.scenario.keyed && i != int(m.client) {
			continue
		}
		c := w.client(&s, i)
		if c.phase == phaseNew || c.phase == phaseFinal || c.phase == phaseDead {
			continue
		}
		next := s
		o := w.handleAtClient(&next, i, &c, m)
		if o.UseResponse {
			c.body = m.body
			if m.kind == answerMessage {
				c.body = m.attempt
			}
		}
		w.execute(&next, i, &c, o)
		w.setClient(&next, i, c)
		out(modelcheck.Move{Name: [...]string{"", "", "refused", "answered", "", "sealed"}[m.kind], A: i, B: int(m.attempt)}, next)
	}
}

func (w *protocolModel) handleAtClient(s *state, i int, c *client, m message) request.Output {
	if c.phase == phaseResolving {
		return w.resolveSealed(s, i, c, m)
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

// resolveSealed continues a repeated request after the result of its seal has
// arrived.
func (w *protocolModel) resolveSealed(s *state, i int, c *client, m message) request.Output {
	if m.kind != sealedMessage || m.attempt != c.knownTable.row.attempt {
		return request.Output{}
	}
	next, d, write := claim.Resolve(*c.knownTable.row.claimRow(), m.sealResult())
	if write {
		w.send(s, message{kind: writeMessage, write: table{revision: c.knownTable.revision, row: rowOf(next)}})
	}
	c.knownTable.row = rowOf(next)
	return w.applyDecision(s, i, c, d)
}
