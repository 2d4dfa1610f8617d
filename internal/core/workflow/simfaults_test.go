package workflow

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// The faults of the simulation that are drawn at each tick.

// drawFaults draws the faults and inputs of a tick.
func (s *sim) drawFaults() {
	if s.noFaults {
		return
	}
	if s.chance(0.06) || s.overload && s.chance(0.1) {
		s.submit()
	}
	if s.chance(0.01) {
		s.cancel()
	}
	if s.owner != nil && s.now >= s.tableDownUntil && s.chance(0.004) {
		s.faults["store unavailable"]++
		s.tableDownUntil = s.now + s.randomDuration(0, 8*time.Second)
		s.owner.SetOwnershipConfirmed(s.now, false)
		s.event("store unavailable until %v", s.tableDownUntil)
	}
	s.isolate()
	s.cutRestarted()
	if dies := s.ownerDiesAt > 0 && s.now >= s.ownerDiesAt; s.owner != nil && s.now >= s.tableDownUntil && (s.chance(0.006) || dies) {
		s.ownerDiesAt = 0
		s.faults["owner dies"]++
		s.owner, s.batch, s.isolatedAt = nil, nil, 0
		s.ownerDownUntil = s.now + s.randomDuration(100*time.Millisecond, 2*time.Second)
	}
	s.restartAtOnce()
	w := s.workers[s.rng.IntN(len(s.workers))]
	switch {
	case s.chance(0.008):
		s.faults["worker unreachable"]++
		w.cutUntil = s.now + s.randomDuration(0, 8*time.Second)
		s.event("%s unreachable until %v", w.id, w.cutUntil)
	case w.up && s.chance(0.004):
		s.faults["worker crash"]++
		w.up = false
		w.runs = nil
		s.event("%s crashes", w.id)
	case !w.up && s.chance(0.1):
		id := w.boot.ID
		if s.rng.IntN(2) == 0 {
			id += "'"
		}
		s.boot(w, id)
		s.event("%s boots as %s", w.id, id)
	}
}

// isolate cuts the owner off from the store, and from some workers shortly
// before. Its successor does not reach some of the others for a while.
func (s *sim) isolate() {
	if s.owner == nil || s.former != nil || s.now < s.tableDownUntil {
		return
	}
	if s.isolatedAt == 0 {
		if !s.chance(0.006) {
			return
		}
		s.isolatedAt = s.now + s.randomDuration(0, simLease)
		s.formerCut = make(map[types.VMID]bool)
		for _, w := range s.workers {
			s.formerCut[w.id] = s.rng.IntN(2) == 0
		}
	}
	if s.now < s.isolatedAt {
		return
	}
	s.faults["owner cut from the store"]++
	s.owner.SetOwnershipConfirmed(s.now, false)
	for _, w := range s.workers {
		if !s.formerCut[w.id] && s.rng.IntN(3) > 0 {
			w.cutUntil = s.now + s.randomDuration(0, 3*simMaxLease)
		}
	}
	s.former, s.owner, s.batch, s.isolatedAt = s.owner, nil, nil, 0
	s.ownerDownUntil = s.now + s.randomDuration(100*time.Millisecond, time.Second)
	s.event("owner of epoch %d cut from the store", s.epoch)
}

// canReach reports whether the owner's calls reach a worker's agent.
func (s *sim) canReach(w *simWorker) bool {
	if s.owner == s.former || s.isolatedAt > 0 {
		return !s.formerCut[w.id]
	}
	return s.now >= w.cutUntil
}

// restartAtOnce restarts a worker under its ID before its agent misses it.
func (s *sim) restartAtOnce() {
	w := s.workers[s.restartRNG.IntN(len(s.workers))]
	if w.up && s.restartRNG.Float64() < 0.01 {
		s.faults["worker restarts at once"]++
		s.boot(w, w.boot.ID)
		s.event("%s restarts at once", w.id)
		if s.silentRestarts {
			s.followRestart(w)
		}
	}
}

// followRestart schedules the faults that follow a restart, and submits jobs, whose
// starts may still be meant for the earlier boot.
func (s *sim) followRestart(w *simWorker) {
	for range 3 {
		s.submit()
	}
	w.cutAt = s.now + s.randomDuration(simTick, 2*time.Second)
	if s.rng.IntN(2) == 0 {
		s.ownerDiesAt = s.now + s.randomDuration(simTick, 2*time.Second)
	}
}

// cutRestarted cuts off the workers whose cut is due.
func (s *sim) cutRestarted() {
	for _, w := range s.workers {
		if w.cutAt > 0 && s.now >= w.cutAt {
			s.faults["worker cut off after a restart"]++
			w.cutAt, w.cutUntil = 0, s.now+s.randomDuration(simLease, 2*simMaxLease)
			s.event("%s cut off until %v", w.id, w.cutUntil)
		}
	}
}

// ignoreEarlierOrders applies mutantOwnOrders to the owner.
func (s *sim) ignoreEarlierOrders() {
	if s.mutant != mutantOwnOrders {
		return
	}
	for _, v := range s.owner.vmOrder {
		v.earlierOrders, v.earlierOrdersUntil = false, 0
	}
}
