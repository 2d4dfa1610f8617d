package workflow

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// The search runs a small load with every combination of a few faults at every
// point of a time grid, instead of drawing the faults at random: two jobs of
// two steps on two workers, one task longer than any lease, from the first
// submission until all jobs have ended. It uses the simulated workers and store
// without their random faults.

// fault is one fault of the search.
type fault struct {
	name string
	do   func(*sim)
	// unconfirmed: the fault is used in the search with two owners.
	unconfirmed bool
}

// timedFault is a fault at a tick.
type timedFault struct {
	tick  int
	fault int
}

const (
	// searchSpan is the number of ticks in which faults occur: without faults
	// the jobs take 2 s to 4 s.
	searchSpan = 60
	// searchSettle is the number of ticks after the span in which all jobs must
	// end: 45 s, longer than two leases, the longest delay of an order and the
	// remaining run times together.
	searchSettle = 900
	// searchLong is the run time of the long task, above the longest lease.
	searchLong = simMaxLease + 2*time.Second
	// searchDowntime is how long processes are down, in ticks.
	searchDowntime = 4
	// searchWarmUp is the number of ticks after which an owner has been in contact
	// with its workers for longer than the longest lease, so that orders of earlier
	// owners no longer matter.
	searchWarmUp = int(simMaxLease / simTick)
)

// searchDemand lets a worker run three tasks at a time, so that both workers
// are in use.
var searchDemand = types.Resources{MilliCPU: 2000, MemoryBytes: 1}

// searchFaults returns the faults of the search.
func searchFaults() []fault {
	faults := []fault{
		{name: "the next answer is lost", do: func(s *sim) { s.loseNext = true }},
		{name: "the owner dies", do: (*sim).searchOwnerDies},
		{name: "the owner loses the store and worker 1, and stays active beside its successor", do: (*sim).searchIsolate, unconfirmed: true},
		{name: "the store takes 2 s for the batch", do: func(s *sim) { s.batchAt += 2 * time.Second }},
		{name: "the store is unavailable for 3 s", do: func(s *sim) {
			s.tableDownUntil = s.now + 3*time.Second
			if s.owner != nil {
				s.owner.SetOwnershipConfirmed(s.now, false)
			}
		}},
		{name: "the first job is cancelled", do: func(s *sim) { s.cancelJob(s.rows["j000"]) }},
		{name: "a job is submitted that every owner reads", do: (*sim).searchSubmit, unconfirmed: true},
	}
	for _, late := range []time.Duration{150 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second} {
		faults = append(faults, fault{name: fmt.Sprintf("the next order is carried out %v late", late), do: func(s *sim) { s.delayNext = late }})
	}
	for i := range 2 {
		faults = append(faults,
			fault{name: fmt.Sprintf("worker %d restarts under its ID", i), do: func(s *sim) { s.searchRestart(i, "") }},
			fault{name: fmt.Sprintf("worker %d restarts at once under its ID", i), do: func(s *sim) { s.boot(s.workers[i], s.workers[i].boot.ID) }},
			fault{name: fmt.Sprintf("worker %d restarts under another ID", i), do: func(s *sim) { s.searchRestart(i, "'") }},
			fault{name: fmt.Sprintf("worker %d is unreachable for 2 s", i), do: func(s *sim) { s.workers[i].cutUntil = s.now + 2*time.Second }, unconfirmed: true},
			fault{name: fmt.Sprintf("worker %d is unreachable for 7 s", i), do: func(s *sim) { s.workers[i].cutUntil = s.now + 7*time.Second }, unconfirmed: true},
			fault{name: fmt.Sprintf("a run on worker %d fails", i), do: func(s *sim) {
				if w := s.workers[i]; w.up && len(w.runs) > 0 {
					s.endRun(w, 0, EndFailed)
				}
			}},
		)
	}
	return faults
}

func (s *sim) searchOwnerDies() {
	if s.owner == nil {
		return
	}
	s.owner, s.batch = nil, nil
	s.ownerDownUntil = s.now + searchDowntime*simTick
}

func (s *sim) searchIsolate() {
	if s.owner == nil || s.former != nil || s.now < s.tableDownUntil {
		return
	}
	s.formerCut = map[types.VMID]bool{s.workers[1].id: true}
	s.owner.SetOwnershipConfirmed(s.now, false)
	s.former, s.owner, s.batch = s.owner, nil, nil
	s.ownerDownUntil = s.now + searchDowntime*simTick
}

// searchSubmit submits a job of one task that an owner without the store reads
// too.
func (s *sim) searchSubmit() {
	job := Job{Queue: "q", Accepted: s.now, Steps: []Step{{Tasks: 1, Demand: searchDemand, RunTime: searchLong}}}
	s.submitJob(job)
	if s.former == nil || s.former.jobs[s.order[len(s.order)-1]] != nil {
		return
	}
	id := s.order[len(s.order)-1]
	if err := s.former.AddJob(s.now, s.now, s.rows[id].job, JobQueued, s.revision, Progress{}, true); err != nil {
		s.fail("job %s is not accepted: %v", id, err)
	}
	if s.mutant == mutantUnconfirmed {
		s.former.jobs[id].readUnconfirmed = false
	}
}

func (s *sim) searchRestart(i int, suffix string) {
	w := s.workers[i]
	w.up, w.runs = false, nil
	s.restarts = append(s.restarts, restart{s.now + searchDowntime*simTick, w, w.boot.ID + suffix})
}

// restart is a scheduled boot of a worker.
type restart struct {
	at     time.Duration
	worker *simWorker
	id     string
}

// bootDue boots the workers whose restart is due.
func (s *sim) bootDue() {
	s.restarts = slices.DeleteFunc(s.restarts, func(r restart) bool {
		if s.now < r.at {
			return false
		}
		if !r.worker.up {
			s.boot(r.worker, r.id)
		}
		return true
	})
}

// runSearchCase runs the load with the given faults. It begins some ticks after the
// start of the owner's term.
func runSearchCase(faults []fault, timed []timedFault, m mutant, warmUp int) *sim {
	s := newSim(1, m)
	s.workers = s.workers[:2]
	s.noFaults = true
	s.takeOver()
	for range warmUp {
		s.step()
	}
	for _, run := range []time.Duration{simRunTime, searchLong} {
		s.submitJob(Job{Queue: "q", Accepted: s.now, Steps: []Step{
			{Tasks: 2, Demand: searchDemand, RunTime: run, Checkpoints: true},
			{Tasks: 1, Demand: searchDemand, RunTime: simRunTime, After: []int{0}},
		}})
	}
	return s.playFaults(faults, timed)
}

// playFaults runs the load that has been submitted with the given faults.
func (s *sim) playFaults(faults []fault, timed []timedFault) *sim {
	for tick := range searchSpan + searchSettle {
		for _, x := range timed {
			if x.tick == tick {
				s.event("fault: %s", faults[x.fault].name)
				faults[x.fault].do(s)
			}
		}
		s.step()
		if len(s.violations) > 0 || tick > searchSpan && s.allFinal() {
			return s
		}
	}
	s.fail("a job has not ended %v after the last fault", searchSettle*simTick)
	return s
}

// searchAll runs all combinations of up to n of the faults on a grid of ticks.
// It returns the number of runs and the first run that violated an invariant.
func searchAll(faults []fault, grid, n int, m mutant, warmUp int) (int64, *sim) {
	return searchRuns(faults, grid, n, func(at []timedFault) *sim { return runSearchCase(faults, at, m, warmUp) })
}

// searchRuns does the same with any way to run the load.
func searchRuns(faults []fault, grid, n int, play func([]timedFault) *sim) (int64, *sim) {
	var singles []timedFault
	for tick := 0; tick < searchSpan; tick += grid {
		for f := range faults {
			singles = append(singles, timedFault{tick, f})
		}
	}
	var runs, next atomic.Int64
	var found atomic.Pointer[sim]
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for found.Load() == nil {
				i := int(next.Add(1)) - 1
				if i >= len(singles) {
					return
				}
				extendCombination(singles, []timedFault{singles[i]}, i, n, func(at []timedFault) bool {
					runs.Add(1)
					if s := play(at); len(s.violations) > 0 {
						found.CompareAndSwap(nil, s)
					}
					return found.Load() == nil
				})
			}
		}()
	}
	wg.Wait()
	return runs.Load(), found.Load()
}

// extendCombination calls run with a combination and with all longer ones of
// up to n faults that begin with it, until run returns false.
func extendCombination(singles, combination []timedFault, last, n int, run func([]timedFault) bool) bool {
	if !run(combination) {
		return false
	}
	if len(combination) == n {
		return true
	}
	for i := last; i < len(singles); i++ {
		if !extendCombination(singles, append(combination[:len(combination):len(combination)], singles[i]), i, n, run) {
			return false
		}
	}
	return true
}

// Guards against any combination of two faults that makes a task run in two
// places, start after its end was acknowledged, or never end.
func TestSearchOfTwoFaults(t *testing.T) {
	t.Parallel()
	faults := searchFaults()
	runs, s := searchAll(faults, *searchGrid, 2, mutantNone, 0)
	t.Logf("%d runs of up to two faults of %d kinds, every %d ticks of %d", runs, len(faults), *searchGrid, searchSpan)
	if s != nil {
		t.Fatalf("%s\n%s", s.violations[0], lastEvents(s))
	}
}

// searchUnconfirmed runs combinations of up to three of the faults for the
// search with two owners, at the start of a term and later.
func searchUnconfirmed(m mutant) (int64, *sim) {
	faults := slices.DeleteFunc(searchFaults(), func(f fault) bool { return !f.unconfirmed })
	runs, s := searchAll(faults, 2**searchGrid, 3, m, 0)
	if s != nil {
		return runs, s
	}
	later, s := searchAll(faults, 2**searchGrid, 3, m, searchWarmUp)
	return runs + later, s
}

// Guards against a task that starts in two places when an owner without the
// store and its successor each reach only some of the workers.
func TestSearchOfTwoOwners(t *testing.T) {
	t.Parallel()
	runs, s := searchUnconfirmed(mutantNone)
	t.Logf("%d runs of up to three faults", runs)
	if s != nil {
		t.Fatalf("%s\n%s", s.violations[0], lastEvents(s))
	}
}

// Guards against a search that cannot fail: with any one rule disabled, a few
// faults violate an invariant.
func TestSearchFindsMutants(t *testing.T) {
	t.Parallel()
	for _, m := range mutants {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			runs, s := searchAll(searchFaults(), *searchGrid, 1, m, 0)
			if s == nil {
				runs, s = searchUnconfirmed(m)
			}
			if s == nil {
				runs, s = searchAll(searchFaults(), *searchGrid, 2, m, 0)
			}
			if s == nil {
				t.Fatalf("no violation in %d runs", runs)
			}
			t.Logf("after %d runs: %s", runs, s.violations[0])
		})
	}
}

// Times of the search for copies. A copy starts at searchCopyTick, about 1 s after the first
// run, and both end at nearly the same time.
const (
	searchCopyTick  = 20
	searchRunTime   = 800 * time.Millisecond
	searchStraggler = 2 * time.Second
	// searchCopyLate is how late an order is: longer than simGrace after the end of the
	// first run, and within a lease.
	searchCopyLate = 2900 * time.Millisecond
)

// searchCopies runs combinations of up to two faults while a task has two runs: of a step
// of two tasks, the first run of one is long.
func searchCopies(m mutant) (int64, *sim) {
	faults := append(searchFaults(), fault{name: fmt.Sprintf("the next order is carried out %v late", searchCopyLate), do: func(s *sim) { s.delayNext = searchCopyLate }})
	play := func(at []timedFault) *sim { return runCopySearchCase(faults, at, m) }
	// Only a stop that does not arrive right after the late start shows the difference that
	// the validity of the start makes, which no coarse grid finds.
	for tick := searchCopyTick; tick < searchCopyTick+searchDowntime; tick++ {
		for f := range faults {
			if s := play([]timedFault{{searchCopyTick - 1, len(faults) - 1}, {tick, f}}); len(s.violations) > 0 {
				return 0, s
			}
		}
	}
	return searchRuns(faults, 2**searchGrid, 2, play)
}

func runCopySearchCase(faults []fault, timed []timedFault, m mutant) *sim {
	s := newCopySim(1, m)
	s.noFaults = true
	s.longRun = searchStraggler
	s.takeOver()
	demand := types.Resources{MilliCPU: 1000, MemoryBytes: 1}
	for _, copies := range []bool{true, false} {
		s.submitJob(Job{Queue: "q", Accepted: s.now, Steps: []Step{
			{Tasks: 2, Demand: demand, RunTime: searchRunTime, Copies: copies},
			{Tasks: 1, Demand: demand, RunTime: searchRunTime, After: []int{0}},
		}})
	}
	return s.playFaults(faults, timed)
}

// Guards against any combination of two faults that makes a task run three times at once,
// or twice without Copies, start after its end was acknowledged, or never end, while it
// has a copy; and against a search that cannot fail.
func TestSearchOfFaultsWithCopies(t *testing.T) {
	t.Parallel()
	if s := runCopySearchCase(nil, nil, mutantNone); s.copyStarts != 1 {
		t.Fatalf("%d copies start without faults, want 1\n%s", s.copyStarts, strings.Join(s.events, "\n"))
	}
	runs, s := searchCopies(mutantNone)
	t.Logf("%d runs of up to two faults, every %d ticks of %d", runs, 2**searchGrid, searchSpan)
	if s != nil {
		t.Fatalf("%s\n%s", s.violations[0], lastEvents(s))
	}
	for _, m := range []mutant{mutantAnyStep, mutantThirdRun, mutantLateCopy} {
		runs, s := searchCopies(m)
		if s == nil {
			t.Errorf("%s: no violation in %d runs", m, runs)
			continue
		}
		t.Logf("%s: after %d runs: %s", m, runs, s.violations[0])
	}
}
