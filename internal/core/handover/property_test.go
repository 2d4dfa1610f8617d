package handover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

var simLease = lease.Config{TTL: 2300 * ms, Renewal: 600 * ms, Margin: 300 * ms, Jitter: 200 * ms, ReclaimOwnLease: true, MaxReadAge: 1200 * ms, RenewalGrace: 1200 * ms, SuccessorGrace: 1500 * ms}

// Guards against two confirmed owners, a handover that does not end, and a deployment
// that stays without an owner. Writes and answers are lost, late and repeated, entries
// die, and clocks differ in reading and by 2% in speed.
func TestPropertyHandover(t *testing.T) {
	causes := make(map[Cause]int)
	for seed := range uint64(500) {
		s := &sim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), causes: causes}
		s.run()
	}
	t.Log(causes)
	if causes[CauseReady] < 100 || causes[CauseNoCandidate]+causes[CauseDeadline] < 10 {
		t.Errorf("the runs hold too few handovers of each kind: %v", causes)
	}
}

const (
	simStep     = 20 * ms
	faultsUntil = 30 * time.Second
	simEnd      = 45 * time.Second // 15 s, which is three takeovers, after the last fault
)

type cell[T any] struct {
	row      T
	revision uint64
}

type sim struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	now      time.Duration
	revision uint64
	lease    cell[lease.Row]
	reserved cell[Reservation]
	pending  []delayed
	entries  []*simEntry
	causes   map[Cause]int
	// cuts is set if the table does not serve all entries at all times, whole if that
	// affects all entries at once and there are no other faults. current is the entry
	// that makes a call.
	cuts, whole bool
	// quiet is set if owners also hand over in quiet periods.
	quiet   bool
	current *simEntry
	counts  map[string]int
}

type delayed struct {
	at time.Duration
	do func()
}

type simEntry struct {
	s              *sim
	vm             types.VMID
	offset         time.Duration
	rate           float64
	observer       *lease.Observer
	holder         *lease.Holder
	owner          *Owner
	successor      *Successor
	announced      types.Epoch
	stopAt, diesAt time.Duration // on the true clock
	preparedAt     time.Duration // on its own clock
	leaseBusy      bool
	rowBusy        bool
	released       bool
	nextRead       time.Duration
	cut            simCut
	// quiet is set during an attempt in a quiet period, and ignored is the revision of the
	// reservation before it.
	quiet     bool
	ignored   uint64
	nextQuiet time.Duration // on its own clock
}

func (e *simEntry) clock() time.Duration { return e.offset + time.Duration(float64(e.s.now)*e.rate) }

func (e *simEntry) alive() bool    { return e.s.now < e.diesAt }
func (e *simEntry) stopping() bool { return e.s.now >= e.stopAt }

func (s *sim) after(d time.Duration, do func()) {
	s.pending = append(s.pending, delayed{s.now + d, do})
}

// call executes op at the table and answer at the caller, unless one of them is lost.
// Without an answer it calls lost after a time-out.
func (s *sim) call(op, answer, lost func()) {
	transit := func() time.Duration { return time.Duration(s.rng.Int64N(int64(250 * ms))) }
	fault := s.rng.IntN(10 + 10*int(s.seed%8)) // 4 of 10 to 4 of 80 calls
	if s.now >= faultsUntil {
		fault = 9
	}
	if s.whole {
		transit, fault = func() time.Duration { return time.Duration(s.rng.Int64N(int64(60 * ms))) }, 9
	}
	const timeout = 800 * ms
	if s.cuts && !s.track(&answer, &lost) {
		return
	}
	switch fault {
	case 0: // the call is lost
		s.after(timeout, lost)
	case 1: // the call is executed late
		s.after(timeout+time.Duration(s.rng.Int64N(int64(4*time.Second))), op)
		s.after(timeout, lost)
	case 2: // the answer is lost
		s.after(transit(), op)
		s.after(timeout, lost)
	case 3: // the call is executed twice
		s.after(timeout+time.Duration(s.rng.Int64N(int64(4*time.Second))), op)
		fallthrough
	default:
		s.after(transit(), func() {
			op()
			s.after(transit(), answer)
		})
	}
}

// write stores a value conditionally, and passes the cell after it to done.
func write[T any](s *sim, c *cell[T], row T, revision uint64, done func(committed bool, after cell[T]), lost func()) {
	var committed bool
	var after cell[T]
	first := true
	s.call(func() {
		ok := c.revision == revision
		if ok {
			s.revision++
			*c = cell[T]{row, s.revision}
		}
		if first {
			committed, after, first = ok, *c, false
		}
	}, func() { done(committed, after) }, lost)
}

func (s *sim) run() {
	for i := range 5 {
		e := &simEntry{s: s, vm: types.VMID(fmt.Sprintf("vm%d", i)), offset: time.Duration(s.rng.Int64N(int64(time.Hour))), rate: 0.98 + 0.04*s.rng.Float64(), stopAt: simEnd, diesAt: simEnd}
		e.observer = lease.NewObserver(simLease, "jobs", e.vm, types.Incarnation(i+1))
		if i > 0 { // entry 0 survives
			e.stopAt = time.Duration(s.rng.Int64N(int64(faultsUntil)))
			e.diesAt = e.stopAt + time.Duration(s.rng.Int64N(int64(6*time.Second)))
		}
		s.entries = append(s.entries, e)
	}
	if s.cuts {
		s.planCuts()
	}
	for ; s.now < simEnd; s.now += simStep {
		due := s.pending
		s.pending = nil
		for _, d := range due {
			if d.at > s.now {
				s.pending = append(s.pending, d)
			} else {
				d.do()
			}
		}
		confirmed := 0
		for _, e := range s.entries {
			if s.current = e; e.alive() {
				e.step()
			}
			if e.holder != nil && e.alive() && e.holder.MayAct(e.clock()) {
				confirmed++
			}
		}
		if confirmed > 1 {
			s.t.Fatalf("seed %d: %d confirmed owners at %v", s.seed, confirmed, s.now)
		}
	}
	if e := s.entries[0]; !s.whole && (e.holder == nil || !e.holder.MayAct(e.clock())) {
		s.t.Errorf("seed %d: the only entry left does not own the lease: %+v", s.seed, s.lease)
	}
}

func (e *simEntry) step() {
	if e.holder != nil {
		e.stepOwner()
		return
	}
	e.stepCandidate()
}

func (e *simEntry) stepOwner() {
	s, now := e.s, e.clock()
	if s.cuts {
		e.stepEmergency()
	}
	if s.quiet && !e.stopping() {
		e.beginQuiet(now)
	}
	if e.stopping() && (e.owner == nil || e.quiet) {
		e.quiet = false
		row, _ := e.holder.Row()
		e.owner = NewOwner(DefaultConfig(), row.Epoch, now+3700*ms)
		e.preparedAt = now
		e.holder.Announce(ReasonStopping)
	}
	if e.owner != nil && !e.released {
		if e.holder.Announced() {
			e.owner.Announced(now)
		}
		if !e.rowBusy {
			owner := e.owner
			e.readReservation(func(r Reservation, revision uint64, now time.Duration) {
				if revision > e.ignored {
					owner.Observe(r, revision, now)
				}
			})
		}
		if r, ok := e.owner.Next(now); ok && e.quiet {
			e.endQuiet(r)
		} else if ok {
			e.released = true
			s.causes[r.Cause]++
			if release, ok := e.holder.Release(r.Successor); ok {
				write(s, &s.lease, release.Row, release.Revision, func(bool, cell[lease.Row]) {}, func() {})
			}
		} else if now > e.preparedAt+3700*ms {
			s.t.Fatalf("seed %d: a handover lasts longer than its deadline", s.seed)
		}
	}
	h := e.holder
	if e.leaseBusy || h == nil {
		return
	}
	switch {
	case h.Lost():
		e.holder, e.owner = nil, nil
		e.released = e.released || e.stopping()
	case h.NeedsRead():
		e.leaseBusy = true
		e.readLease(func(c cell[lease.Row]) {
			h.Observed(c.row, c.revision, c.revision != 0)
			e.endYielded()
		})
	default:
		if r, ok := h.BeginRenewal(now); ok {
			e.leaseBusy = true
			write(s, &s.lease, r.Row, r.Revision, func(committed bool, after cell[lease.Row]) {
				e.leaseBusy = false
				if committed {
					h.Committed(after.revision)
				} else {
					h.Observed(after.row, after.revision, true)
				}
			}, func() { e.leaseBusy = false; h.Uncertain() })
		}
	}
}

func (e *simEntry) readLease(done func(cell[lease.Row])) {
	var c cell[lease.Row]
	e.s.call(func() { c = e.s.lease }, func() { e.leaseBusy = false; done(c) }, func() { e.leaseBusy = false })
}

func (e *simEntry) readReservation(done func(Reservation, uint64, time.Duration)) {
	var c cell[Reservation]
	e.rowBusy = true
	e.s.call(func() { c = e.s.reserved }, func() { e.rowBusy = false; done(c.row, c.revision, e.clock()) }, func() { e.rowBusy = false })
}

func (e *simEntry) stepCandidate() {
	s, now := e.s, e.clock()
	if !e.stopping() && !e.leaseBusy {
		if take, ok := e.observer.TryTakeover(now, nil); ok {
			e.leaseBusy, e.nextRead = true, now+400*ms
			if e.observer.OwnerYielded() && s.cuts {
				s.counts["takeovers after a yield"]++
			}
			write(s, &s.lease, take.Row, take.Revision, func(committed bool, after cell[lease.Row]) {
				e.leaseBusy = false
				if committed {
					e.holder, e.successor = lease.NewHolder(simLease, take.Row, after.revision, now), nil
				}
			}, func() { e.leaseBusy = false })
		} else if now >= e.nextRead {
			e.leaseBusy, e.nextRead = true, now+100*ms+time.Duration(s.rng.Int64N(int64(300*ms)))
			e.readLease(func(c cell[lease.Row]) { e.observer.Observe(c.row, c.revision, c.revision != 0, e.clock(), s.rng) })
		}
	}
	row, _ := e.observer.Row()
	if s.quiet && row.Handover == "" && row.Owner != "" {
		e.announced, e.successor = 0, nil // its withdrawal is lost
	}
	if row.Handover != "" && e.announced != row.Epoch {
		e.announced, e.preparedAt = row.Epoch, 0
		e.successor = NewSuccessor(DefaultConfig(), row.Epoch, e.vm, row.Incarnation, s.rng.Float64(), now)
	}
	m := e.successor
	if m == nil || e.rowBusy {
		return
	}
	if e.stopping() {
		m.Stop()
	}
	if m.Holds() && e.preparedAt == 0 {
		e.preparedAt = now + time.Duration(s.rng.Int64N(int64(2*time.Second)))
	}
	if e.preparedAt != 0 && now >= e.preparedAt {
		m.Prepared()
	}
	if w, ok := m.Next(now); ok {
		e.rowBusy = true
		write(s, &s.reserved, w.Row, w.Revision, func(committed bool, after cell[Reservation]) {
			e.rowBusy = false
			if committed {
				m.Committed(after.revision, e.clock())
			} else {
				m.Observe(after.row, after.revision, e.clock())
			}
		}, func() { e.rowBusy = false; m.Uncertain() })
	} else if m.NeedsRead() || !m.Holds() {
		e.readReservation(m.Observe)
	}
}
