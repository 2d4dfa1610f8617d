package handover

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against an owner that releases the lease to a candidate which is not ready, is
// dead or belongs to an earlier handover, and against one that waits for ever.
func TestOwnerReleases(t *testing.T) {
	ready := Reservation{Epoch: 7, VM: "b", Beat: 3, Ready: true}
	preparing := Reservation{Epoch: 7, VM: "b", Beat: 3}
	stale := Reservation{Epoch: 6, VM: "b", Beat: 3, Ready: true}
	const deadline = 3700 * ms
	for _, c := range []struct {
		name string
		row  Reservation
		// revision is that of the row since seenAt; 0 means that there is no row.
		revision    uint64
		seenAt, now time.Duration
		want        Release
		ok          bool
	}{
		{"no reservation yet", Reservation{}, 0, 0, 1900 * ms, Release{}, false},
		{"no reservation", Reservation{}, 0, 0, 2100 * ms, Release{Cause: CauseNoCandidate}, true},
		{"ready", ready, 5, 500 * ms, 600 * ms, Release{Successor: "b", Cause: CauseReady}, true},
		{"preparing", preparing, 5, 2500 * ms, 3600 * ms, Release{}, false},
		{"preparing at the deadline", preparing, 5, 3600 * ms, deadline, Release{Cause: CauseDeadline}, true},
		{"died while it prepared", preparing, 5, 500 * ms, 2100 * ms, Release{Cause: CauseNoCandidate}, true},
		{"died when ready", ready, 5, 0, 1600 * ms, Release{}, false},
		{"of an earlier epoch", stale, 5, 1900 * ms, 2100 * ms, Release{Cause: CauseNoCandidate}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := NewOwner(DefaultConfig(), 7, deadline)
			o.Announced(50 * ms)
			o.Observe(c.row, c.revision, c.seenAt)
			if got, ok := o.Next(c.now); got != c.want || ok != c.ok {
				t.Errorf("got %+v, %v, want %+v, %v", got, ok, c.want, c.ok)
			}
		})
	}
	if got, ok := NewOwner(DefaultConfig(), 7, deadline).Next(deadline); !ok || got.Cause != CauseDeadline {
		t.Errorf("announcement that was never stored: got %+v, %v, want a release at the deadline", got, ok)
	}
}

// Guards against a reservation that a small entry takes before a larger one can, that
// replaces a live candidate or a later epoch, or that leaves a dead one in place.
func TestSuccessorReserves(t *testing.T) {
	other := Reservation{Epoch: 7, VM: "c", Beat: 1}
	for _, c := range []struct {
		name     string
		cores    float64
		row      Reservation
		revision uint64
		now      time.Duration
		stopped  bool
		want     bool
	}{
		{"vacant", 0.8, Reservation{}, 0, 0, false, true},
		{"small entry waits", 0.19, Reservation{}, 0, 900 * ms, false, false},
		{"small entry without competitors", 0.19, Reservation{}, 0, 1000 * ms, false, true},
		{"live candidate", 0.8, other, 5, 1400 * ms, false, false},
		{"dead candidate", 0.8, other, 5, 1500 * ms, false, true},
		{"earlier epoch", 0.8, Reservation{Epoch: 6, VM: "c"}, 5, 0, false, true},
		{"later epoch", 0.8, Reservation{Epoch: 8, VM: "c"}, 5, 5000 * ms, false, false},
		{"stopping", 0.8, Reservation{}, 0, 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewSuccessor(DefaultConfig(), 7, "b", 2, c.cores, 0)
			if c.stopped {
				s.Stop()
			}
			s.Observe(c.row, c.revision, 0)
			w, ok := s.Next(c.now)
			if ok != c.want || ok && (w.Row.Epoch != 7 || w.Row.VM != "b" || w.Revision != c.revision) {
				t.Errorf("got %+v, %v, want a reservation: %v", w, ok, c.want)
			}
		})
	}
}

// Guards against a successor that forgets its reservation after a lost answer, that
// reports itself ready late, and that keeps the reservation when its process stops.
func TestSuccessorKeepsItsReservation(t *testing.T) {
	s := NewSuccessor(DefaultConfig(), 7, "b", 2, 1, 0)
	s.Observe(Reservation{}, 0, 0)
	first, _ := s.Next(0)
	s.Uncertain()
	if _, ok := s.Next(100 * ms); ok || !s.NeedsRead() {
		t.Fatal("the successor writes again before it has read the outcome of its write")
	}
	s.Observe(first.Row, 4, 200*ms)
	if !s.Holds() {
		t.Fatal("the reservation whose answer was lost is not recognised")
	}
	s.Prepared()
	w, ok := s.Next(201 * ms)
	if !ok || !w.Row.Ready || w.Revision != 4 {
		t.Fatalf("got %+v, %v, want the report of readiness at once", w, ok)
	}
	s.Committed(5, 210*ms)
	if _, ok := s.Next(300 * ms); ok {
		t.Error("a beat before its interval")
	}
	if w, ok = s.Next(700 * ms); !ok || !w.Row.Ready || w.Row.Beat != 2 {
		t.Errorf("got %+v, %v, want a beat", w, ok)
	}
	s.Refused()
	s.Stop()
	if w, ok = s.Next(701 * ms); !ok || !w.Delete || w.Revision != 5 {
		t.Errorf("got %+v, %v, want the deletion of the reservation", w, ok)
	}
	s.Committed(6, 702*ms)
	if _, ok = s.Next(5000 * ms); ok || s.Holds() {
		t.Error("the stopping candidate still takes part")
	}
}
