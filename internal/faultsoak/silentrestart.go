package faultsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of a series of faults: workers restart under their IDs while their network is
// silent, and shortly after are cut off with their agents, which go on calling them.
const (
	minSilence, maxSilence = 300 * time.Millisecond, time.Second
	// maxAgentSilence is how long before the restart the agents may be cut off, too.
	maxAgentSilence = 2500 * time.Millisecond
	// maxCutDelay is the longest time from a restart to the cut. The owner may be
	// killed in between.
	maxCutDelay = 2500 * time.Millisecond
	// Cuts last longer than a lease and, in part, longer than the longest one.
	minCut, maxCut = 5 * time.Second, 14 * time.Second
	maxSeriesPause = 3 * time.Second
)

// silentRestarts injects such series one after the other.
type silentRestarts struct {
	w   *soakRun
	rng *rand.Rand
}

func newSilentRestarts(w *soakRun) *silentRestarts {
	return &silentRestarts{w, rand.New(rand.NewPCG(w.opts.Seed, 17))} //nolint:gosec // reproducible
}

func (s *silentRestarts) duration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.rng.Int64N(int64(longest-shortest)))
}

func (s *silentRestarts) run(ctx context.Context, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		s.series()
		time.Sleep(s.duration(0, maxSeriesPause))
	}
}

// series restarts about half of the workers and cuts them off.
func (s *silentRestarts) series() {
	group := s.rng.Perm(len(s.w.workers))[:max(1, len(s.w.workers)/2)]
	if s.rng.IntN(2) == 0 {
		s.w.countFault("agents cut off around the restart")
		s.cutAgents(group, hold)
		defer s.cutAgents(group, pass)
		time.Sleep(s.duration(0, maxAgentSilence))
	}
	silence := s.duration(minSilence, maxSilence)
	var wg sync.WaitGroup
	for _, i := range group {
		s.w.countFault("worker restarts in silence")
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := s.w.workers[i].restartInSilence(silence); err != nil {
				s.w.addViolation("worker cannot be restarted: %v", err)
			}
		}()
	}
	wg.Wait()
	s.cutAgents(group, pass)
	delay, kill := s.duration(0, maxCutDelay), s.rng.IntN(2) == 0
	killAt := s.duration(0, delay+time.Millisecond)
	if kill {
		time.Sleep(killAt)
		s.killOwner()
		delay -= killAt
	}
	time.Sleep(delay)
	s.w.countFault("agents cut off after the restart")
	s.cutAgents(group, hold)
	time.Sleep(s.duration(minCut, maxCut))
	s.cutAgents(group, pass)
}

// cutAgents sets the mode of the connections of agents to the store and to owners.
func (s *silentRestarts) cutAgents(group []int, m mode) {
	for _, i := range group {
		for _, p := range s.w.agentProxies[i] {
			p.setMode(m)
		}
	}
}

// killOwner kills the entry that owns the jobs and starts it again.
func (s *silentRestarts) killOwner() {
	if i := s.w.owner(); i >= 0 {
		s.w.countFault("owner killed after the restart")
		s.w.killAndRestart(s.w.entries[i])
	}
}

// restartInSilence restarts a worker under its ID. Calls that are sent meanwhile on new
// connections reach the new boot, also if their sender has given up.
func (s *soakWorker) restartInSilence(silence time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxy.setMode(hold)
	defer s.proxy.setMode(pass)
	s.worker.Crash()
	s.stop()
	time.Sleep(silence)
	s.worker.Boot(s.id)
	if err := s.start(); err != nil {
		return fmt.Errorf("worker %s: %w", s.id, err)
	}
	return nil
}
