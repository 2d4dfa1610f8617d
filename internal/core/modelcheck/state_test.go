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

// The model runs the real transition functions of admission, request and claim
// for two callers' requests and two workers. One tick is the validity of an
// offer; a freeze lets two ticks pass on the clock of one worker.
const (
	workers     = 2
	clients     = 2
	maxMessages = 8
	maxRuns     = 4
	offerTicks  = 1
	freezeTicks = 2
)

// code names an attempt: client, number of its machine, number of the attempt.
// Zero is no attempt.
type code uint8

func codeOf(id types.RequestID) code {
	return code(id[0]<<6 | id[1]<<3 | id[15])
}

func (c code) id() types.RequestID {
	if c == 0 {
		return types.RequestID{}
	}
	return types.RequestID{0: byte(c >> 6), 1: byte(c>>3) & 7, 15: byte(c) & 7}
}

func (c code) client() int { return int(c>>6) - 1 }

// row is a claim row in comparable form. The response of an attempt is its code.
type row struct {
	attempt  code
	target   request.Target
	state    claim.State
	response code
}

func rowOf(r claim.Row) row {
	out := row{attempt: codeOf(r.Attempt), target: r.Target, state: r.State}
	if r.Response != nil {
		out.response = code(r.Response[0])
	}
	return out
}

func (r row) real() *claim.Row {
	if r.attempt == 0 {
		return nil
	}
	out := claim.Row{Fingerprint: "f", Attempt: r.attempt.id(), Target: r.target, State: r.state}
	if r.response != 0 {
		out.Response = []byte{byte(r.response)}
	}
	return &out
}

// table is the claim row of the one key.
type table struct {
	revision uint8
	row      row
}

// phase is where a caller's request stands at its entry.
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
	// machines is the number of machines made; each has its own request ID.
	machines uint8
	// base is the row as last read or written by this entry.
	base    table
	outcome apperr.Outcome
	body    code
	seals   uint8
}

// worker is one worker with the attempts that run at it.
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

// message is a message in the network. It is delivered at any later time or
// never, so delay, reordering and loss need no moves of their own.
type message struct {
	kind    messageKind
	client  uint8
	attempt code
	target  request.Target
	proven  bool
	// copied marks the second copy of a delivered offer.
	copied bool
	seal   admission.SealState
	result apperr.Outcome
	body   code
	write  table
}

func (m message) sealResult() admission.SealResult {
	r := admission.SealResult{State: m.seal, Outcome: m.result}
	if m.body != 0 {
		r.Response = []byte{byte(m.body)}
	}
	return r
}

// budgets are the faults that may still happen, of each kind and in total.
type budgets struct {
	total                                       uint8
	restarts, freezes, duplicates, deaths, busy uint8
}

// spend takes one fault of a kind and reports whether there was one left.
func (s *state) spend(kind *uint8) bool {
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

// state is a state of the model; the numbers stand for interned values.
type state struct {
	workers  [workers]uint32
	clients  [clients]uint32
	table    uint32
	messages [maxMessages]uint32
	// runs holds each admission of an attempt that may have reached the
	// upstream.
	runs   [maxRuns]code
	faults budgets
}

// world is a model with its interned values.
type world struct {
	scenario scenario
	mutant   mutant
	workers  modelcheck.Interner[string, worker]
	clients  modelcheck.Interner[client, client]
	tables   modelcheck.Interner[table, table]
	messages modelcheck.Interner[message, message]
	// steps remembers what a worker does with an input, which depends on
	// nothing else.
	steps map[stepInput]step
	// overflow counts states that needed more room for messages or runs.
	overflow int
}

// stepInput is an input to a worker in a given state.
type stepInput struct {
	worker  uint32
	message uint32
	finish  code
	busy    bool
	// runs is the number of admissions so far, which one mutant depends on.
	runs int
}

// step is what a worker does with an input, with the number of its next state.
type step struct {
	worker   uint32
	decision admission.Decision
	// notConnected is the state after an admission that reached no upstream.
	notConnected uint32
	seal         admission.SealResult
	finished     bool
}

// scenario sets the bounds of an exploration.
type scenario struct {
	name string
	// keyed sends one booking twice with the same key, through two entries.
	// Otherwise one entry has two requests for two bookings without a key, and
	// the network may hand an answer to the wrong one.
	keyed bool
	// single leaves out the second request.
	single   bool
	attempts int
	// machines bounds the decisions from the claim row per request.
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

func (w *world) initial() state {
	var s state
	w.messages.Number(message{}, message{}) // number 0 is a free place
	s.table = w.tables.Number(table{}, table{})
	w.steps = make(map[stepInput]step)
	for i := range s.workers {
		s.workers[i] = w.number(newWorker(1, 0))
	}
	for i := range s.clients {
		w.putClient(&s, i, client{seals: w.scenario.seals})
	}
	if w.scenario.single {
		w.putClient(&s, 1, client{phase: phaseDead})
	}
	s.faults = w.scenario.faults
	return s
}

// peek returns a worker that must not be changed.
func (w *world) peek(s *state, i int) worker {
	return w.workers.Value(s.workers[i])
}

func (w *world) number(v worker) uint32 {
	return w.workers.Number(v.key(), v)
}

// fork returns a copy of a worker that may be changed.
func (w *world) fork(number uint32) worker {
	out := w.workers.Value(number)
	out.requests = out.requests.Clone()
	return out
}

func (w *world) table(s *state) table {
	return w.tables.Value(s.table)
}

func (w *world) client(s *state, i int) client {
	return w.clients.Value(s.clients[i])
}

func (w *world) putClient(s *state, i int, c client) {
	if c.phase == phaseFinal || c.phase == phaseDead {
		c = client{phase: c.phase, outcome: c.outcome, body: c.body}
	}
	s.clients[i] = w.clients.Number(c, c)
}

// send puts a message into the network, which is kept sorted.
func (w *world) send(s *state, m message) {
	if s.messages[0] != 0 {
		w.overflow++
		return
	}
	s.messages[0] = w.messages.Number(m, m)
	slices.Sort(s.messages[:])
}

func (s *state) take(place int) {
	s.messages[place] = 0
	slices.Sort(s.messages[:])
}

// tidy removes messages whose delivery can change nothing any more, so that
// states that behave the same are equal.
func (w *world) tidy(s *state) {
	if w.mutant == answerOfAnyAttempt || w.mutant == writeWithoutCompare {
		return
	}
	for place, n := range s.messages {
		if n != 0 && !w.matters(s, w.messages.Value(n)) {
			s.messages[place] = 0
		}
	}
	slices.Sort(s.messages[:])
}

func (w *world) matters(s *state, m message) bool {
	switch m.kind {
	case writeMessage:
		return m.write.revision >= w.table(s).revision
	case offerMessage:
		// An offer to an incarnation that has ended only brings a refusal.
		over := w.peek(s, number(m.target.VM)).incarnation != m.target.Incarnation
		return !over || w.mutant == noIncarnationCheck || w.awaited(s, m)
	case sealMessage:
		over := w.peek(s, number(m.target.VM)).incarnation != m.target.Incarnation
		return !over || w.awaited(s, m)
	default:
		return w.awaited(s, m)
	}
}

// awaited reports whether the client of a message waits for news of its attempt.
func (w *world) awaited(s *state, m message) bool {
	c := w.client(s, int(m.client))
	switch c.phase {
	case phaseActive:
		return codeOf(c.machine.Attempt()) == m.attempt
	case phaseResolving:
		return c.base.row.attempt == m.attempt
	default:
		return false
	}
}

// run records an admission.
func (w *world) run(s *state, c code) {
	if s.runs[0] != 0 {
		w.overflow++
		return
	}
	s.runs[0] = c
	slices.Sort(s.runs[:])
}

func (s *state) ran(match func(code) bool) int {
	n := 0
	for _, c := range s.runs {
		if c != 0 && match(c) {
			n++
		}
	}
	return n
}

// check holds the invariants I4, I5 and I6.
func (w *world) check(s state) error {
	for i := range clients {
		mine := func(c code) bool { return c.client() == i }
		c := w.client(&s, i)
		booking := mine
		if w.scenario.keyed {
			booking = func(code) bool { return true }
		}
		if n := s.ran(booking); n > 1 {
			return fmt.Errorf("booking of request %d ran %d times", i, n)
		}
		if c.outcome == apperr.OutcomeNotRun && s.ran(mine) > 0 {
			return fmt.Errorf("request %d was reported not run and ran", i)
		}
		if c.outcome == apperr.OutcomeDone && s.ran(func(r code) bool { return r == c.body && booking(r) }) == 0 {
			return fmt.Errorf("request %d got response %#x, which is not its own", i, c.body)
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

func number(vm types.VMID) int {
	return cmp.Compare(vm, "a")
}
