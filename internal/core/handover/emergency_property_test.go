package handover

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against two confirmed owners, and a deployment that stays without an owner, when
// the table does not serve single entries. Calls and messages between entries are lost,
// late and repeated, entries stop and die.
func TestPropertyEmergencyHandover(t *testing.T) {
	counts := make(map[string]int)
	for seed := range uint64(500) {
		s := &sim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), causes: make(map[Cause]int), cuts: true, counts: counts}
		s.run()
	}
	t.Log(counts)
	if counts["yields"] < 300 || counts["takeovers after a yield"] < 200 || counts["old yields"] < 50 {
		t.Errorf("the runs hold too few emergency handovers: %v", counts)
	}
}

// Guards against a yield, or a change of the owner, in an outage of the whole table and at
// its end.
func TestPropertyWholeOutageChangesNothing(t *testing.T) {
	for seed := range uint64(300) {
		counts := make(map[string]int)
		s := &sim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), causes: make(map[Cause]int), cuts: true, whole: true, counts: counts}
		s.run()
		if counts["questions"] == 0 || counts["yields"] != 0 || s.lease.row.Epoch != 1 {
			t.Errorf("seed %d: %v, epoch %d, want questions, no yield, and the first epoch", seed, counts, s.lease.row.Epoch)
		}
	}
}

// simCut is the emergency side of an entry.
type simCut struct {
	// The table does not serve the entry in from to to, on the true clock; it refuses calls
	// or leaves them unanswered.
	from, to   time.Duration
	refused    bool
	answeredAt time.Duration
	failed     int
	machine    *Emergency
	term       Term
	yieldedAt  time.Duration
	yielded    bool
}

// planCuts sets when entries are not served: one entry or all.
func (s *sim) planCuts() {
	from, refused := 6*time.Second+time.Duration(s.rng.Int64N(int64(10*time.Second))), s.rng.IntN(2) == 0
	for _, e := range s.entries {
		if !s.whole {
			from, refused = 3*time.Second+time.Duration(s.rng.Int64N(int64(18*time.Second))), s.rng.IntN(2) == 0
		} else {
			e.stopAt, e.diesAt = simEnd, simEnd
		}
		e.cut = simCut{from: from, to: from + 4*time.Second + time.Duration(s.rng.Int64N(int64(5*time.Second))), refused: refused}
		if s.whole {
			e.cut.to = from + 7*time.Second
		}
	}
}

// track makes a call of an entry update what the entry knows of its calls. It returns
// false if the table does not serve the entry; then lost is called.
func (s *sim) track(answer, lost *func()) bool {
	e := s.current
	answered, failed := *answer, *lost
	*answer = func() {
		e.cut.answeredAt, e.cut.failed = e.clock(), 0
		answered()
	}
	*lost = func() {
		e.cut.failed++
		failed()
	}
	if s.now < e.cut.from || s.now >= e.cut.to {
		return true
	}
	if e.cut.refused {
		s.after(simStep, *lost)
	} else {
		s.after(800*ms, *lost)
	}
	return false
}

// message delivers a message to an entry, unless it is lost: late, or repeatedly.
func (s *sim) message(to *simEntry, do func()) {
	deliver := func() {
		if to.alive() {
			before := s.current
			s.current = to
			do()
			s.current = before
		}
	}
	fault := s.rng.IntN(20)
	if s.whole {
		fault = 19
	}
	if fault == 0 {
		return
	}
	if fault <= 3 {
		s.after(time.Duration(s.rng.Int64N(int64(10*time.Second))), deliver)
	}
	if fault != 1 {
		s.after(time.Duration(s.rng.Int64N(int64(30*ms))), deliver)
	}
}

func readOf(row lease.Row, revision uint64) LeaseRead {
	return LeaseRead{Term{row.Owner, row.Incarnation, row.Epoch}, revision}
}

func (e *simEntry) stepEmergency() {
	s, now, c := e.s, e.clock(), &e.cut
	row, revision := e.holder.Row()
	if read := readOf(row, revision); c.machine == nil || c.term != read.Term {
		c.machine, c.term, c.yielded = NewEmergency(DefaultEmergencyConfig(), read.Term), read.Term, false
	}
	m := c.machine
	var peers []Peer
	byVM := make(map[types.VMID]*simEntry)
	for _, p := range s.entries {
		if p != e {
			peers, byVM[p.vm] = append(peers, Peer{VM: p.vm, Cores: p.rate}), p
		}
	}
	contact := Contact{AnsweredAt: c.answeredAt, Failed: c.failed, RenewedAt: e.holder.ValidUntil() - simLease.TTL + simLease.Margin, Revision: revision}
	switch step := m.Next(now, contact, peers); step.Kind {
	case StepAsk:
		s.counts["questions"]++
		for _, p := range step.Peers {
			peer := byVM[p.VM]
			s.message(peer, func() { peer.confirm(e, m, step.Number) })
		}
	case StepProbe:
		s.call(func() {}, func() {}, func() { m.ProbeFailed(step.Number) })
	case StepYield:
		s.counts["yields"]++
		e.holder.Yield()
		c.yielded, c.yieldedAt = true, now
		peer := byVM[step.Peers[0].VM]
		s.message(peer, func() {
			accepted := peer.acceptYield(step.Yield)
			s.message(e, func() { m.YieldAnswered(step.Number, accepted) })
		})
	case StepNone:
	}
}

func (e *simEntry) confirm(owner *simEntry, m *Emergency, number uint64) {
	if e.holder != nil || e.stopping() {
		return
	}
	var c cell[lease.Row]
	e.s.call(func() { c = e.s.lease }, func() {
		e.s.message(owner, func() { m.Confirmed(number, e.vm, readOf(c.row, c.revision)) })
	}, func() {
		e.s.message(owner, func() { m.NotConfirmed(number, e.vm) })
	})
}

func (e *simEntry) acceptYield(y Yield) bool {
	if e.s.lease.row.Epoch > y.Epoch {
		e.s.counts["old yields"]++
	}
	row, _ := e.observer.Row()
	if e.holder != nil || e.stopping() || y.Accept(e.vm, readOf(row, e.observer.Revision())) != nil {
		return false
	}
	e.observer.SetOwnerYielded()
	return true
}

// endYielded ends the term of an owner that has yielded in vain, as term.maintainLease of
// package jobs does.
func (e *simEntry) endYielded() {
	if e.cut.yielded && e.holder != nil && !e.holder.Lost() && e.clock() > e.cut.yieldedAt+1500*ms {
		e.s.counts["yields in vain"]++
		e.holder, e.owner = nil, nil
	}
}
