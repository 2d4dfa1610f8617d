package soak

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/routing"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
)

const (
	entryCount  = 3
	workerCount = 6
	slots       = 3
	service     = types.ServiceName("berths")
)

// requests is a simulation of entries, workers and claims.
type requests struct {
	*simulation
	table        platform.Table
	entries      []*entry
	workers      []*workerSim
	incarnations types.Incarnation
	ids          uint64
	bookings     []*booking
	// rows holds the histories of the claim rows by table key, and
	// bookingHistories the histories of the bookings by booking key.
	rows, bookingHistories map[string]*keyHistory
	eventCount             int64
	// checkAll makes checkHistories include keys that are not idle.
	checkAll bool
}

// booking is one booking of a caller. It may be sent repeatedly if it has a
// key.
type booking struct {
	number int
	key    string
	// runs holds the attempts that reached the upstream.
	runs    []types.RequestID
	repeats int
}

// response returns the response of the upstream to a booking.
func (b *booking) response() []byte {
	return fmt.Appendf(nil, "booking %d", b.number)
}

// workerSim is a simulated worker with its upstream.
type workerSim struct {
	host
	vm          types.VMID
	incarnation types.Incarnation
	offset      time.Duration
	admission   *admission.Requests
	running     []*execution
}

type execution struct {
	attempt types.RequestID
	booking *booking
	endsAt  time.Duration
	reply   func(answer)
}

// answer is the reply of a worker to an offer.
type answer struct {
	done     bool
	proven   bool
	reason   admission.Reason
	response []byte
	reading  time.Duration
	inUse    int
}

// RunRequests simulates bookings that callers send through entries to workers.
func RunRequests(opts Options) Result {
	w := &requests{rows: map[string]*keyHistory{}, bookingHistories: map[string]*keyHistory{}}
	w.simulation = newSimulation(opts, standin.Options{})
	w.table = &claimTable{Table: standin.NewFaultyTable(w.platform.Table, w.injector), w: w}
	for i := range workerCount {
		s := &workerSim{vm: types.VMID(fmt.Sprintf("vm%d", i)), offset: time.Duration(i) * time.Hour}
		w.workers = append(w.workers, s)
		w.startWorker(s)
	}
	for i := range entryCount {
		w.entries = append(w.entries, w.newEntry(i))
	}
	for n := 0; n < opts.Steps && !w.violationFound(); n++ {
		w.step()
	}
	w.disableFaults()
	w.runUntilSettled()
	for _, b := range w.bookings[max(0, len(w.bookings)-50):] {
		if b.key != "" {
			w.entries[b.number%entryCount].accept(b)
		}
	}
	w.runUntilSettled()
	w.checkEnd()
	return w.result()
}

// runUntilSettled runs steps until every request has an outcome: at least 100
// steps and at most 3000.
func (w *requests) runUntilSettled() {
	for n := 0; n < 3000 && (n < 100 || w.hasOpenCalls()) && !w.violationFound(); n++ {
		w.step()
	}
}

func (w *requests) step() {
	w.res.Steps++
	w.now += Tick
	w.changeFaults()
	if !w.faultsOff {
		w.injectFaults()
		if w.chance(0.7) {
			w.submitBooking()
		}
	}
	w.deliver()
	for _, s := range w.workers {
		if w.processInbox(&s.host) {
			s.step(w)
		}
	}
	for _, e := range w.entries {
		if w.processInbox(&e.host) {
			e.step()
		}
	}
	if w.res.Steps%200 == 0 {
		w.checkHistories()
	}
}

func (w *requests) newID() types.RequestID {
	var id types.RequestID
	w.ids++
	binary.BigEndian.PutUint64(id[:], w.ids)
	return id
}

// submitBooking submits a new booking, or repeats one with its key, at a random
// entry.
func (w *requests) submitBooking() {
	var b *booking
	if n := len(w.bookings); n > 0 && w.chance(0.4) {
		b = w.bookings[max(0, n-1-w.rng.IntN(20))]
	}
	if b == nil || b.key == "" {
		b = &booking{number: len(w.bookings)}
		if w.chance(0.6) {
			b.key = fmt.Sprintf("key-%d", b.number)
		}
		w.bookings = append(w.bookings, b)
		w.res.Outcomes["bookings"]++
	} else {
		b.repeats++
		w.res.Outcomes["repeats"]++
	}
	e := w.entries[w.rng.IntN(entryCount)]
	if e.dead || w.now < e.frozenUntil {
		return
	}
	e.accept(b)
}

// startWorker starts a new incarnation of a worker and of its upstream.
func (w *requests) startWorker(s *workerSim) {
	w.incarnations++
	s.host = host{}
	s.incarnation = w.incarnations
	limits := admission.DefaultLimits(types.VM{Slots: slots, Connections: slots})
	limits.MaxIdentities = 64
	s.admission = admission.NewRequests(s.incarnation, limits)
}

func (w *requests) injectFaults() {
	s := w.workers[w.rng.IntN(workerCount)]
	e := w.entries[w.rng.IntN(entryCount)]
	switch x := w.rng.Float64(); {
	case x < 0.01:
		w.countFault("worker restart")
		w.recordEvent("%s@%d restarts", s.vm, s.incarnation)
		// The running requests take effect at the upstream, but their answers
		// are lost.
		s.running = nil
		w.startWorker(s)
	case x < 0.02:
		w.countFault("worker freeze")
		s.frozenUntil = max(s.frozenUntil, w.now+w.randomDuration(0, 20*time.Second))
	case x < 0.022:
		w.countFault("entry death")
		w.recordEvent("entry %d dies", e.number)
		e.dead = true
		w.entries[e.number] = w.newEntry(e.number)
	case x < 0.03:
		w.countFault("entry freeze")
		e.frozenUntil = max(e.frozenUntil, w.now+w.randomDuration(0, 10*time.Second))
	case x < 0.034:
		w.countFault("drain")
		s.admission.Drain()
	}
}

// clock returns the reading of the worker's own clock.
func (s *workerSim) clock(w *requests) time.Duration {
	return w.now + s.offset
}

func (s *workerSim) step(w *requests) {
	now := s.clock(w)
	s.admission.Expire(now, nil)
	s.admission.Announce(now, admission.Announcement{Upstream: "u", Service: service, Slots: slots, Connections: slots})
	stillRunning := s.running[:0]
	for _, exec := range s.running {
		if w.now < exec.endsAt {
			stillRunning = append(stillRunning, exec)
			continue
		}
		s.finish(w, exec)
	}
	s.running = stillRunning
	if w.res.Steps%10 == 0 {
		s.sendDigest(w)
	}
	if n := len(s.running); n > slots {
		w.recordViolation("worker %s runs %d requests in %d slots", s.vm, n, slots)
	}
}

// finish ends an execution. While faults are on, the upstream fails with a
// probability of 3 %, and the outcome is then unknown.
func (s *workerSim) finish(w *requests, exec *execution) {
	a := answer{done: true, response: exec.booking.response(), reading: s.clock(w)}
	outcome := apperr.OutcomeDone
	if !w.faultsOff && w.chance(0.03) {
		w.countFault("upstream failure")
		a, outcome = answer{reading: s.clock(w)}, apperr.OutcomeUnknown
	}
	if !s.admission.Finish(exec.attempt, outcome, a.response, true) && w.opts.Drop == DropNone {
		w.recordViolation("worker %s has no running request %v", s.vm, exec.attempt)
	}
	a.inUse, _ = s.admission.InUse()
	exec.reply(a)
}

// sendDigest sends the state of the worker to every entry.
func (s *workerSim) sendDigest(w *requests) {
	inUse, _ := s.admission.InUse()
	state := routing.WorkerState{
		VM: s.vm, Incarnation: s.incarnation, Domain: "d", Reading: s.clock(w), Slots: slots, Connections: slots,
		InUse: inUse, Draining: s.admission.Draining(),
		Services: []routing.ServiceState{{Service: service, Slots: slots, Connections: slots, InUse: inUse}},
	}
	for i := range w.entries {
		w.network.Send(w.now, envelope{
			receiver: func() *host { return &w.entries[i].host },
			handle:   func() { w.entries[i].applyDigest(state) },
		})
	}
}

// offer admits and runs an attempt, or refuses it.
func (s *workerSim) offer(w *requests, o admission.Offer, b *booking, reply func(answer)) {
	if w.opts.Drop == DropIncarnation {
		o.Target = s.incarnation
		o.Echo = s.clock(w)
	}
	d := s.admission.Admit(s.clock(w), o)
	w.recordEvent("%s@%d offer %v booking %d: %q proven %v", s.vm, s.incarnation, o.ID, b.number, d.Reason, d.ProvenNotRun)
	if !d.Admitted() {
		w.res.Outcomes["refused: "+string(d.Reason)]++
		inUse, _ := s.admission.InUse()
		reply(answer{proven: d.ProvenNotRun, reason: d.Reason, reading: s.clock(w), inUse: inUse})
		return
	}
	if !w.faultsOff && w.chance(0.02) {
		w.countFault("upstream not reached")
		s.admission.Finish(o.ID, apperr.OutcomeNotRun, nil, false)
		reply(answer{proven: true, reason: admission.ReasonNoUpstream, reading: s.clock(w)})
		return
	}
	b.runs = append(b.runs, o.ID)
	if len(b.runs) > 1 {
		w.recordViolation("booking %d ran %d times: %v", b.number, len(b.runs), b.runs)
	}
	w.res.Outcomes["runs"]++
	if b.key != "" {
		w.endOperation(w.beginOperation(w.bookingHistories, b.key, bookingInput{run: true}, apperr.OutcomeNone), apperr.OutcomeNone)
	}
	s.running = append(s.running, &execution{
		attempt: o.ID, booking: b, endsAt: w.now + w.randomDuration(0, 3*time.Second), reply: reply,
	})
}

func (s *workerSim) seal(w *requests, r admission.SealRequest) admission.SealResult {
	now := s.clock(w)
	if w.opts.Drop == DropSeals {
		unsealed := s.admission.Clone()
		return unsealed.Seal(now, r)
	}
	out := s.admission.Seal(now, r)
	w.recordEvent("%s@%d seal %v: %s", s.vm, s.incarnation, r.ID, out.State)
	w.res.Outcomes["seals: "+string(out.State)]++
	return out
}

func (w *requests) hasOpenCalls() bool {
	for _, e := range w.entries {
		if len(e.openCalls) > 0 {
			return true
		}
	}
	return false
}

// checkEnd checks that every request has an outcome, and checks the remaining
// histories.
func (w *requests) checkEnd() {
	for _, e := range w.entries {
		for _, c := range e.openCalls {
			w.recordViolation("booking %d has no outcome: %s", c.booking.number, c.machine.State())
		}
	}
	w.checkAll = true
	w.checkHistories()
}

// claimTable is the table of claim rows.
type claimTable struct {
	platform.Table
	w *requests
}

// Commit implements platform.Table.
func (t *claimTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if t.w.opts.Drop == DropCompare {
		txn.Conditions = nil
	}
	return t.Table.Commit(ctx, txn)
}

// checkOutcome checks the outcome that a caller receives.
func (w *requests) checkOutcome(c *call, outcome apperr.Outcome) {
	e, b := c.e, c.booking
	w.recordEvent("entry %d booking %d: %s", e.number, b.number, outcome)
	w.res.Outcomes["outcome "+string(outcome)]++
	switch outcome {
	case apperr.OutcomeDone:
		if len(b.runs) == 0 {
			w.recordViolation("booking %d is reported as done but never ran", b.number)
		}
		if c.response != nil && !bytes.Equal(c.response, b.response()) {
			w.recordViolation("booking %d received the wrong response %q", b.number, c.response)
		}
	case apperr.OutcomeNotRun:
		for _, ran := range b.runs {
			for _, id := range c.attempts {
				if ran == id {
					w.recordViolation("booking %d is reported as not run but ran as %v", b.number, id)
				}
			}
		}
	}
}
