package modelcheck_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/claim"
	"github.com/boragecrank/boragecrank/internal/core/modelcheck"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// The model runs the production transition functions of packages admission,
// request and claim with two requests and two workers. An offer is valid for
// one tick. A freeze advances the clock of one worker by two ticks.
const (
	workers     = 2
	clients     = 2
	maxMessages = 8
	maxRuns     = 4
	offerTicks  = 1
	freezeTicks = 2
)

// attemptCode encodes an attempt. Bits 6 and 7 hold the index of the client
// plus one, bits 3 to 5 the number of its request machine, and bits 0 to 2 the
// number of the attempt. Zero means no attempt.
type attemptCode uint8

func attemptCodeOf(id types.RequestID) attemptCode {
	return attemptCode(id[0]<<6 | id[1]<<3 | id[15])
}

func (c attemptCode) id() types.RequestID {
	if c == 0 {
		return types.RequestID{}
	}
	return types.RequestID{0: byte(c >> 6), 1: byte(c>>3) & 7, 15: byte(c) & 7}
}

func (c attemptCode) client() int { return int(c>>6) - 1 }

// row is a claim row in comparable form. The response to an attempt is the code
// of the attempt.
type row struct {
	attempt  attemptCode
	target   request.Target
	state    claim.State
	response attemptCode
}

func rowOf(r claim.Row) row {
	out := row{attempt: attemptCodeOf(r.Attempt), target: r.Target, state: r.State}
	if r.Response != nil {
		out.response = attemptCode(r.Response[0])
	}
	return out
}

func (r row) claimRow() *claim.Row {
	if r.attempt == 0 {
		return nil
	}
	out := claim.Row{Fingerprint: "f", Attempt: r.attempt.id(), Target: r.target, State: r.state}
	if r.response != 0 {
		out.Response = []byte{byte(r.response)}
	}
	return &out
}

// table holds the claim row of the only key and its revision.
type table struct {
	revision uint8
	row      row
}

// phase is the progress of a caller's request at its entry.
type phase uint8

const (
	phaseNew phase = iota
	phaseResolving
	phaseActive
	phaseFinal
	phaseDead
)

// client is one caller's request at its entry.
type client struct {
	phase   phase
	machine request.Machine
	// machines is the number of request machines created so far. Each has its
	// own request ID.
	machines uint8
	// knownTable is the row and its revision as last read or written by this
	// entry.
	knownTable table
	outcome    apperr.Outcome
	body       attemptCode
	seals      uint8
}

// worker is one worker with the attempts that run on it. The clock reading now
// is in ticks.
type worker struct {
	requests    *admission.Requests
	incarnation types.Incarnation
	now         time.Duration
}

func (w worker) key() string {
	return string(w.requests.AppendState([]byte{byte(w.now)}))
}

// messageKind is the kind of a message in the network.
type messageKind uint8

const (
	offerMessage messageKind = iota + 1
	refusalMessage
	answerMessage
	sealMessage
	sealedMessage
	writeMessage
)

// message is a message in the network. It may be delivered at any later time or
// never, so delay, reordering and loss need no separate moves.
type message struct {
	kind    messageKind
	client  uint8
	attempt attemptCode
	target  request.Target
	proven  bool
	// copied marks the duplicate of a delivered offer.
	copied bool
	seal   admission.SealState
	result apperr.Outcome
	body   attemptCode
	write  table
}

func (m message) sealResult() admission.SealResult {
	r := admission.SealResult{State: m.seal, Outcome: m.result}
	if m.body != 0 {
		r.Response = []byte{byte(m.body)}
	}
	return r
}

// budgets counts the faults that may still occur, by kind and in total.
type budgets struct {
	total                                       uint8
	restarts, freezes, duplicates, deaths, busy uint8
}

// spendFault consumes one fault of a kind and reports whether one was left.
// After the last fault it clears all budgets, so that states without faults
// left are equal.
func (s *state) spendFault(kind *uint8) bool {
	if s.faults.total == 0 || *kind == 0 {
		return false
	}
	s.faults.total--
	*kind--
	if s.faults.total == 0 {
		s.faults = budgets{}
	}
	return true
}

// state is a state of the model. Workers, clients, table and messages are
// numbers of interned values.
type state struct {
	workers  [workers]uint32
	clients  [clients]uint32
	table    uint32
	messages [maxMessages]uint32
	// runs holds each attempt that was admitted and may have reached the
	// upstream, once per admission.
	runs   [maxRuns]attemptCode
	faults budgets
}

// protocolModel is a model of the protocol with its interned values.
type protocolModel struct {
	scenario scenario
	mutant   mutant
	workers  modelcheck.Interner[string, worker]
	clients  modelcheck.Interner[client, client]
	tables   modelcheck.Interner[table, table]
	messages modelcheck.Interner[message, message]
	// steps caches the reaction of a worker to an input, which depends only on
	// the input.
	steps map[stepInput]step
	// overflow counts messages and runs that were dropped because a state had
	// no room for them.
	overflow int
}

// stepInput is an input to a worker in a given state.
type stepInput struct {
	worker  uint32
	message uint32
	finish  attemptCode
	busy    bool
	// runs is the number of admissions so far. Only the mutant noDuplicateCheck
	// sets it.
	runs int
}

// step is the reaction of a worker to an input. worker is the number of its
// next state.
type step struct {
	worker   uint32
	decision admission.Decision
	// notConnected is the number of the state after an admission whose
	// connection to the upstream could not be established.
	notConnected uint32
	seal         admission.SealResult
	finished     bool
}

// scenario sets the bounds of an exploration.
type scenario struct {
	name string
	// keyed means that one booking is sent twice with the same key, through two
	// entries. Otherwise one entry has two requests for two bookings without a
	// key, and the network may deliver an answer to the wrong request.
	keyed bool
	// single omits the second request.
	single   bool
	attempts int
	// machines limits the request machines, and so the decisions from the claim
	// row, of each request.
	machines uint8
	seals    uint8
	faults   budgets
}

func limits() admission.Limits {
	return admission.Limits{
		Slots: 4, Connections: 4, MaxValidityAhead: 4, MaxIdentities: 8, SealReserve: 8,
		MaxRetainedBytes: 64, AnnouncementTTL: 1 << 20,
	}
}

func newWorker(incarnation types.Incarnation, now time.Duration) worker {
	r := admission.NewRequests(incarnation, limits())
	r.Announce(0, admission.Announcement{Upstream: "u", Service: "berths", Slots: 4, Connections: 4})
	return worker{requests: r, incarnation: incarnation, now: now}
}

func (w *protocolModel) initial() state {
	var s state
	w.messages.Number(message{}, message{}) // number 0 is a free slot
	s.table = w.tables.Number(table{}, table{})
	w.steps = make(map[stepInput]step)
	for i := range s.workers {
		s.workers[i] = w.internWorker(newWorker(1, 0))
	}
	for i := range s.clients {
		w.setClient(&s, i, client{seals: w.scenario.seals})
	}
	if w.scenario.single {
		w.setClient(&s, 1, client{phase: phaseDead})
	}
	s.faults = w.scenario.faults
	return s
}

// workerAt returns a worker that must not be modified.
func (w *protocolModel) workerAt(s *state, i int) worker {
	return w.workers.Value(s.workers[i])
}

func (w *protocolModel) internWorker(v worker) uint32 {
	return w.workers.Number(v.key(), v)
}

// cloneWorker returns a copy of a worker that may be modified.
func (w *protocolModel) cloneWorker(number uint32) worker {
	out := w.workers.Value(number)
	out.requests = out.requests.Clone()
	return out
}

func (w *protocolModel) table(s *state) table {
	return w.tables.Value(s.table)
}

func (w *protocolModel) client(s *state, i int) client {
	return w.clients.Value(s.clients[i])
}

func (w *protocolModel) setClient(s *state, i int, c client) {
	if c.phase == phaseFinal || c.phase == phaseDead {
		c = client{phase: c.phase, outcome: c.outcome, body: c.body}
	}
	s.clients[i] = w.clients.Number(c, c)
}

// send adds a message to the network. The messages are kept sorted so that
// equal sets of messages give equal states. Zeros, which mark free slots, come
// first, so the slots are full if the first one is in use.
func (w *protocolModel) send(s *state, m message) {
	if s.messages[0] != 0 {
		w.overflow++
		return
	}
	s.messages[0] = w.messages.Number(m, m)
	slices.Sort(s.messages[:])
}

func (s *state) removeMessage(index int) {
	s.messages[index] = 0
	slices.Sort(s.messages[:])
}

// dropIneffectiveMessages removes messages whose delivery can have no effect
// any more, so that states that behave the same are equal.
func (w *protocolModel) dropIneffectiveMessages(s *state) {
	if w.mutant == answerOfAnyAttempt || w.mutant == writeWithoutCompare {
		return
	}
	for index, n := range s.messages {
		if n != 0 && !w.mayHaveEffect(s, w.messages.Value(n)) {
			s.messages[index] = 0
		}
	}
	slices.Sort(s.messages[:])
}

func (w *protocolModel) mayHaveEffect(s *state, m message) bool {
	switch m.kind {
	case writeMessage:
		return m.write.revision >= w.table(s).revision
	case offerMessage:
		// An offer to an incarnation that has ended only leads to a refusal.
		ended := w.workerAt(s, workerIndex(m.target.VM)).incarnation != m.target.Incarnation
		return !ended || w.mutant == noIncarnationCheck || w.isAwaited(s, m)
	case sealMessage:
		ended := w.workerAt(s, workerIndex(m.target.VM)).incarnation != m.target.Incarnation
		return !ended || w.isAwaited(s, m)
	default:
		return w.isAwaited(s, m)
	}
}

// isAwaited reports whether the client of a message waits for the result of its
// attempt.
func (w *protocolModel) isAwaited(s *state, m message) bool {
	c := w.client(s, int(m.client))
	switch c.phase {
	case phaseActive:
		return attemptCodeOf(c.machine.Attempt()) == m.attempt
	case phaseResolving:
		return c.knownTable.row.attempt == m.attempt
	default:
		return false
	}
}

// recordRun records an admission. The runs are kept sorted like the messages of
// send.
func (w *protocolModel) recordRun(s *state, c attemptCode) {
	if s.runs[0] != 0 {
		w.overflow++
		return
	}
	s.runs[0] = c
	slices.Sort(s.runs[:])
}

func (s *state) countRuns(match func(attemptCode) bool) int {
	n := 0
	for _, c := range s.runs {
		if c != 0 && match(c) {
			n++
		}
	}
	return n
}

// checkInvariants returns an error if the state violates invariant I4, I5 or
// I6 of docs/design.md.
func (w *protocolModel) checkInvariants(s state) error {
	for i := range clients {
		ofRequest := func(c attemptCode) bool { return c.client() == i }
		c := w.client(&s, i)
		ofBooking := ofRequest
		if w.scenario.keyed {
			ofBooking = func(attemptCode) bool { return true }
		}
		if n := s.countRuns(ofBooking); n > 1 {
			return fmt.Errorf("booking of request %d ran %d times, want at most 1", i, n)
		}
		if c.outcome == apperr.OutcomeNotRun && s.countRuns(ofRequest) > 0 {
			return fmt.Errorf("request %d was reported as not run, but it ran", i)
		}
		if c.outcome == apperr.OutcomeDone && s.countRuns(func(r attemptCode) bool { return r == c.body && ofBooking(r) }) == 0 {
			return fmt.Errorf("request %d received response %#x of another request", i, c.body)
		}
	}
	return nil
}

func targetOf(number int, wk worker) request.Target {
	return request.Target{
		VM:          types.VMID(rune('a' + number)),
		Incarnation: wk.incarnation,
		ValidUntil:  wk.now + offerTicks,
	}
}

// workerIndex returns the index of a worker from its VM, "a" or "b". It works
// only for two workers.
func workerIndex(vm types.VMID) int {
	return cmp.Compare(vm, "a")
}
