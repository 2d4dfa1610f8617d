package jobs

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// listedAgents lists a number of agents, or fails.
type listedAgents struct {
	platform.ChangeLog
	agents int
	err    error
}

func (l *listedAgents) List(context.Context, string) (platform.Snapshot, error) {
	return platform.Snapshot{Rows: make([]platform.Row, l.agents)}, l.err
}

// Guards against a large deployment whose owner has too few processors while
// others are at hand: it recovered a day of npl-crank-grown too slowly. A
// candidate that could not ask the store has no head start afterwards.
func TestCandidatesWithFewProcessorsWait(t *testing.T) {
	const now = time.Minute
	for _, c := range []struct {
		name       string
		processors float64
		agents     int
		wait       time.Duration
	}{
		{"ample", 0.8, 74, 0},
		{"few, small deployment", 0.16, 11, 0},
		{"few, large deployment", 0.11, 74, leaseTTL + leaseJitter + leasePollInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := &listedAgents{agents: c.agents, err: errors.New("the store is away")}
			candidate := &Candidate{opts: OwnerOptions{Processors: c.processors, Changes: log}}
			if candidate.mayTakeOver(t.Context(), 7, now) && c.processors < processorsWithoutHandicap {
				t.Error("may take over although the store is away")
			}
			log.err = nil
			if got := candidate.mayTakeOver(t.Context(), 7, now); got != (c.wait == 0) {
				t.Errorf("may take over at once: %v", got)
			}
			if c.wait > 0 && candidate.mayTakeOver(t.Context(), 7, now+c.wait) {
				t.Errorf("may take over after %v, when others may", c.wait)
			}
			if !candidate.mayTakeOver(t.Context(), 7, now+maxHandicap) {
				t.Errorf("may not take over after %v", maxHandicap)
			}
		})
	}
}

// Guards against a candidate that goes on sleeping when the first configuration is
// there: after a loss of all processes nothing starts before one takes over, and on
// recorded day inc-9d95 that cost up to 0.4 s.
func TestCandidateWakesWithTheConfiguration(t *testing.T) {
	t.Parallel()
	var known atomic.Bool
	c := &Candidate{queues: make(chan struct{}, 1), opts: OwnerOptions{Queues: func() (map[string]workflow.Queue, bool) { return nil, known.Load() }}}
	awake := make(chan struct{})
	go func() {
		c.awaitQueues(t.Context())
		close(awake)
	}()
	c.NotifyQueuesChanged() // a configuration that is not there yet, as after an unreadable one
	select {
	case <-awake:
		t.Fatal("the candidate acts without a configuration")
	case <-time.After(50 * time.Millisecond):
	}
	known.Store(true)
	c.NotifyQueuesChanged()
	select {
	case <-awake:
	case <-time.After(leasePollInterval / 4):
		t.Errorf("the candidate does not act %v after the configuration came", leasePollInterval/4)
	}
}
