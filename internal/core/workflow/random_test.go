package workflow

import (
	"flag"
	"fmt"
	"strings"
	"testing"
)

var (
	simSeeds = flag.Uint64("seeds", 60, "number of seeds of TestRandomRuns")
	simFirst = flag.Uint64("first", 1, "first seed of TestRandomRuns")
	// searchGrid is the spacing of faults in ticks; 1 injects faults at every
	// tick of 50 ms.
	searchGrid = flag.Int("grid", 6, "ticks between the possible times of faults in TestSearchOfTwoFaults")
)

var mutants = []mutant{mutantEarlyAck, mutantEarlyStart, mutantNoAnswer, mutantNoFence, mutantShortLease, mutantExtend, mutantLapse, mutantUnconfirmed}

// mutantSeeds is the number of seeds in which each mutant must be found. The rarest
// one shows in one seed of twenty.
const mutantSeeds = 200

// simSteps is the number of ticks with faults in a run: one minute.
const simSteps = 1200

// simSettle is the number of ticks within which the rows of ended jobs are deleted: 20 s.
const simSettle = 400

func runSim(seed uint64, m mutant) *sim {
	return newSim(seed, m).run()
}

// run performs a run and stops at the first violation.
func (s *sim) run() *sim {
	for range simSteps {
		s.step()
		if len(s.violations) > 0 {
			return s
		}
	}
	s.runWithoutFaults()
	return s
}

// Guards against a task that runs in two places, starts after its end was
// acknowledged or before its predecessors are done, and against jobs that never
// end or are shown as completed too early, under faults of workers, owners,
// orders and the store.
func TestRandomRuns(t *testing.T) {
	t.Parallel()
	seeds := *simSeeds
	starts, faults := 0, map[string]int{}
	for seed := *simFirst; seed < *simFirst+seeds; seed++ {
		s := runSim(seed, mutantNone)
		starts += s.starts
		for k, n := range s.faults {
			faults[k] += n
		}
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, s.violations[0], lastEvents(s))
		}
	}
	if starts < int(seeds)*50 || len(faults) < 6 {
		t.Errorf("%d starts and faults %v in %d seeds: too little activity", starts, faults, seeds)
	}
}

// lastEvents returns the last events, and all events of the task that the first
// violation names.
func lastEvents(s *sim) string {
	var task string
	if _, rest, ok := strings.Cut(s.violations[0], "task "); ok {
		task, _, _ = strings.Cut(rest, " ")
	}
	out := ""
	for i, e := range s.events {
		if i >= len(s.events)-20 || task != "" && strings.Contains(e, task+" ") {
			out += fmt.Sprintln(e)
		}
	}
	return out
}

// Guards against checks that cannot fail: with any one rule disabled, a run
// violates an invariant within a few seeds.
func TestMutantsAreFound(t *testing.T) {
	t.Parallel()
	for _, m := range mutants {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= mutantSeeds; seed++ {
				if s := runSim(seed, m); len(s.violations) > 0 {
					t.Logf("seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Errorf("no violation in %d seeds", mutantSeeds)
		})
	}
}

// Guards against a third run of a task, a second one without Copies, a start after an
// acknowledged end, more attempts than allowed, and jobs that never end, when stragglers
// get copies, under the same faults. Guards against checks that cannot fail: with any one
// rule for copies disabled, a run violates an invariant.
func TestRandomRunsWithCopies(t *testing.T) {
	t.Parallel()
	copies := 0
	for seed := *simFirst; seed < *simFirst+*simSeeds; seed++ {
		s := newCopySim(seed, mutantNone)
		s.filling = seed%3 == 0
		if s.overload = seed%2 == 1; s.overload { // copies and their tasks are preempted too
			s.owner.cfg.OverloadControl = true
			s.owner.SetQueues(s.queues())
		}
		s.afterTick = func() {
			for _, o := range []*Owner{s.owner, s.former} {
				if o == nil {
					continue
				}
				if err := checkSums(o); err != nil {
					s.fail("%v", err)
				}
			}
		}
		s.run()
		for range simSettle {
			s.step()
		}
		copies += s.copyStarts
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, s.violations[0], lastEvents(s))
		}
		if jobs, running := len(s.owner.jobs), s.owner.Copies(); jobs+running > 0 {
			t.Fatalf("seed %d: %d jobs and %d copies are kept after all have ended", seed, jobs, running)
		}
	}
	t.Logf("%d copies in %d seeds", copies, *simSeeds)
	if copies < int(*simSeeds)*5 {
		t.Errorf("%d copies started in %d seeds: too little activity", copies, *simSeeds)
	}
	for _, m := range []mutant{mutantAnyStep, mutantThirdRun, mutantOneRun} {
		found := false
		for seed := uint64(1); seed <= mutantSeeds && !found; seed++ {
			if s := newCopySim(seed, m).run(); len(s.violations) > 0 {
				t.Logf("%s: seed %d: %s", m, seed, s.violations[0])
				found = true
			}
		}
		if !found {
			t.Errorf("%s: no violation in %d seeds", m, mutantSeeds)
		}
	}
}

// runSilentRestarts performs a run in which workers are cut off soon after restarts that
// their agents miss, and owners die in between.
func runSilentRestarts(seed uint64, m mutant) *sim {
	s := newSim(seed, m)
	s.silentRestarts = true
	return s.run()
}

// Load: workers restart under their IDs, take orders for their earlier boots, and are
// cut off. Guards against tasks that run in two places on such days, with the owner
// alive or dead, and against checks that cannot fail: an owner that ignores the leases
// from such orders violates an invariant.
func TestRandomRunsWithSilentRestarts(t *testing.T) {
	t.Parallel()
	restarts := 0
	for seed := *simFirst; seed < *simFirst+*simSeeds; seed++ {
		s := runSilentRestarts(seed, mutantNone)
		restarts += s.faults["worker cut off after a restart"]
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, s.violations[0], lastEvents(s))
		}
	}
	if restarts < int(*simSeeds) {
		t.Errorf("%d workers cut off after a restart in %d seeds: too little activity", restarts, *simSeeds)
	}
	for seed := uint64(1); seed <= mutantSeeds; seed++ {
		if s := runSilentRestarts(seed, mutantOwnOrders); len(s.violations) > 0 {
			t.Logf("%s: seed %d: %s", mutantOwnOrders, seed, s.violations[0])
			return
		}
	}
	t.Errorf("%s: no violation in %d seeds", mutantOwnOrders, mutantSeeds)
}
