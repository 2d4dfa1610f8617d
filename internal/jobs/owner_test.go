package jobs

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// listedAgents is a change log that lists a number of agents, or fails.
type listedAgents struct {
	platform.ChangeLog
	agents int
	err    error
}

func (l *listedAgents) List(context.Context, string) (platform.Snapshot, error) {
	return platform.Snapshot{Rows: make([]platform.Row, l.agents)}, l.err
}

// Guards against an owner of a large deployment with too little CPU while candidates
// with more CPU exist: in a recorded run such an owner recovered too slowly. A
// candidate that could not read the number of agents must not take over early.
func TestCandidatesWithFewProcessorsWait(t *testing.T) {
	const now = time.Minute
	for _, c := range []struct {
		name   string
		cores  float64
		agents int
		wait   time.Duration
	}{
		{"ample", 0.8, 74, 0},
		{"few cores, small deployment", 0.16, 11, 0},
		{"few cores, large deployment", 0.11, 74, leaseTTL + leaseJitter + leasePollInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := &listedAgents{agents: c.agents, err: errors.New("the store is unavailable")}
			candidate := &Candidate{opts: CandidateOptions{Cores: c.cores, Changes: log}}
			if candidate.mayTakeOver(t.Context(), 7, now) && c.cores < coresWithoutTakeoverDelay {
				t.Error("may take over although the store is unavailable")
			}
			log.err = nil
			if got := candidate.mayTakeOver(t.Context(), 7, now); got != (c.wait == 0) {
				t.Errorf("mayTakeOver at once: got %v, want true only for a candidate that need not wait", got)
			}
			if c.wait > 0 && candidate.mayTakeOver(t.Context(), 7, now+c.wait) {
				t.Errorf("mayTakeOver after %v: got true, want false, as others take over at this time", c.wait)
			}
			if !candidate.mayTakeOver(t.Context(), 7, now+maxTakeoverDelay) {
				t.Errorf("mayTakeOver after %v: got false, want true", maxTakeoverDelay)
			}
		})
	}
}

// Guards against a candidate that keeps sleeping when the first configuration arrives:
// after a loss of all processes no task starts before a takeover, and in one recorded
// run the sleep cost up to 0.4 s.
func TestCandidateWakesWithTheConfiguration(t *testing.T) {
	t.Parallel()
	var known atomic.Bool
	c := &Candidate{queuesChanged: make(chan struct{}, 1), opts: CandidateOptions{Queues: func() (map[string]workflow.Queue, bool) { return nil, known.Load() }}}
	awake := make(chan struct{})
	go func() {
		c.awaitQueues(t.Context())
		close(awake)
	}()
	c.NotifyQueuesChanged() // there is no configuration yet, as after an unreadable one
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

// Guards against a takeover that waits for the next poll although the lease is free
// before it, or that reads the lease without a pause when it may not take over yet.
func TestNextPollIsDueAtTheTakeover(t *testing.T) {
	c := NewCandidate(CandidateOptions{VM: "b", Incarnation: 2, Telemetry: &telemetry.Telemetry{Log: telemetry.Discard()}})
	c.observer.Observe(lease.Row{Shard: jobsShard, Owner: "a", Incarnation: 1, Epoch: 3}, 7, true, 0, c.rng)
	at, _ := c.observer.TakeoverAt(nil)
	const before = 5 * time.Millisecond
	if d := c.untilNextPoll(at - before); d != before {
		t.Errorf("the next poll is %v away, want %v", d, before)
	}
	if d := c.untilNextPoll(at); d < leasePollInterval/2 {
		t.Errorf("the next poll after the takeover was due is %v away, want at least %v", d, leasePollInterval/2)
	}
}

// Guards against a candidate that makes no watched call while its takeover hangs: the
// circuit breakers then do not notice that the table is silent, and submissions wait.
func TestBreakersNoticeSilenceDuringTakeover(t *testing.T) {
	t.Parallel()
	table := &faultyTable{rows: make(map[string]platform.Row)}
	table.setFault(func(bool) (time.Duration, error) { return unanswered, nil })
	watched := NewWatchedTable(table, telemetry.Nop())
	c := NewCandidate(CandidateOptions{VM: "a", Incarnation: 1, Table: watched, Takeovers: table, Changes: watched, Telemetry: telemetry.Nop()})
	go c.takeOver(t.Context(), lease.Takeover{Row: lease.Row{Shard: jobsShard, Owner: "a", Incarnation: 1, Epoch: 1}})
	time.Sleep(3*leasePollInterval/2 + silentThreshold)
	if err := watched.Admit(t.Context(), stateKey("00000000000000a1"), false); !errors.Is(err, errTableUnresponsive) {
		t.Errorf("submission while a takeover hangs: %v, want %v", err, errTableUnresponsive)
	}
}
