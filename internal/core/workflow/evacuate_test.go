package workflow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// evacuationHarness has two VMs in each of the failure domains A, B and C: a and b, c
// and d, e and f. VMs a and b have the label only-a.
func evacuationHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 6, nil)
	h.labels = map[types.VMID][]string{"a": {"only-a"}, "b": {"only-a"}}
	h.step(120 * time.Millisecond)
	for i, vm := range h.vms {
		h.o.SetFailureDomain(vm, types.FailureDomain(rune('A'+i/2)))
	}
	return h
}

func (h *harness) startsIn(vms ...types.VMID) int {
	n := 0
	for _, vm := range vms {
		n += h.starts[vm]
	}
	return n
}

// Load: every kind of work waits while one, two or all failure domains are evacuated.
// Guards against a start there by one of the ways in which VMs are chosen, and against
// VMs that take no work after the evacuation has ended.
func TestNothingStartsInEvacuatedDomains(t *testing.T) {
	gang, labelled, background := batchStep(3), batchStep(1), fillingStep("press", 1)
	gang.Gang = true
	labelled.Label = "only-a"
	background.Demand.MilliCPU = harnessMilliCPU
	for name, test := range map[string]struct {
		step      Step
		evacuated []types.FailureDomain
		pending   bool
	}{
		"batch":                 {batchStep(30), []types.FailureDomain{"A"}, false},
		"two domains":           {batchStep(8), []types.FailureDomain{"A", "B"}, false},
		"all domains":           {batchStep(8), []types.FailureDomain{"A", "B", "C"}, true},
		"standing":              {standingStep(6), []types.FailureDomain{"A"}, false},
		"standing, all domains": {standingStep(6), []types.FailureDomain{"A", "B", "C"}, true},
		"filling":               {fillingStep("press", 30), []types.FailureDomain{"A"}, false},
		"background":            {background, []types.FailureDomain{"A", "B", "C"}, true},
		"gang":                  {gang, []types.FailureDomain{"A", "C"}, false},
		"gang, all domains":     {gang, []types.FailureDomain{"A", "B", "C"}, true},
		"label":                 {labelled, []types.FailureDomain{"A"}, true},
		"unknown domain":        {batchStep(8), []types.FailureDomain{"D"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := evacuationHarness(t)
			h.o.SetEvacuated(h.now, test.evacuated)
			h.submit("j", test.step)
			for range 30 {
				h.step(120 * time.Millisecond)
			}
			for _, vm := range h.vms {
				if n := h.starts[vm]; n > 0 && h.o.vms[vm].evacuated {
					t.Errorf("%d starts on the evacuated VM %s", n, vm)
				}
			}
			if n := h.startsIn(h.vms...); (n == 0) != test.pending {
				t.Errorf("%d starts, want none: %t", n, test.pending)
			}
			if test.pending {
				d := h.lastIdleDecision(idleLogInterval + checkIdleInterval)
				if d.Kind != DecisionWaiting || !strings.Contains(d.Reason, "evacuated") || !strings.Contains(d.Reason, "A") {
					t.Errorf("event 659: %+v, want a reason that names the evacuation of A", d)
				}
			}
			h.o.SetEvacuated(h.now, nil)
			h.step(120 * time.Millisecond)
			h.step(120 * time.Millisecond)
			if test.pending && h.startsIn(h.vms...) < test.step.Tasks {
				t.Error("the tasks do not start after the evacuation has ended")
			}
		})
	}
}

// Guards against running tasks that an evacuation stops, against standing tasks and
// gangs that are not replaced elsewhere, or in part, when they are lost there, and
// against probes of a quarantined worker there.
func TestTasksInEvacuatedDomainGoOn(t *testing.T) {
	gang, long := batchStep(3), batchStep(1)
	gang.Gang, gang.RunTime, long.RunTime = true, time.Hour, time.Hour
	for name, step := range map[string]Step{"standing": standingStep(3), "gang": gang, "batch": long} {
		t.Run(name, func(t *testing.T) {
			h := evacuationHarness(t)
			h.o.SetEvacuated(h.now, []types.FailureDomain{"B", "C"})
			h.submit("j", step)
			h.overTarget(time.Second)
			before := h.startsIn("a", "b")
			h.o.SetEvacuated(h.now, []types.FailureDomain{"A"})
			h.overTarget(5 * time.Second)
			if before != step.Tasks || h.startsIn(h.vms...) != before || len(h.running["a"])+len(h.running["b"]) != before {
				t.Fatalf("%d tasks, %d starts before and %d after the evacuation began; all must go on", step.Tasks, before, h.startsIn(h.vms...)-before)
			}
			h.lose("a")
			h.lose("b")
			h.overTarget(time.Second)
			if n := h.startsIn("c", "d", "e", "f"); n != step.Tasks {
				t.Errorf("%d of %d lost tasks started elsewhere", n, step.Tasks)
			}
		})
	}
	h := quarantineHarness(t)
	h.o.SetFailureDomain("b", "B")
	h.o.SetEvacuated(h.now, []types.FailureDomain{"B"})
	before := h.starts["b"]
	probe := batchStep(1)
	probe.Label = "only-b"
	h.submit("p", probe)
	h.overTarget(3 * time.Second)
	if h.starts["b"] != before {
		t.Error("a quarantined worker in an evacuated domain is probed")
	}
}

// Guards against a background run that stays slow in an evacuated domain after its VM
// has room for it, and against one that moves there.
func TestBackgroundRunInEvacuatedDomain(t *testing.T) {
	load := 0.7
	h, task := backgroundHarness(t, &load)
	h.o.SetFailureDomain(task.vm.id, "A")
	h.o.SetEvacuated(h.now, []types.FailureDomain{"A"})
	starts := h.startsIn(h.vms...)
	load = 0.2
	h.overTarget(3 * time.Second)
	if task.background || task.wantedPace != fullPace || h.startsIn(h.vms...) != starts {
		t.Errorf("background %t, pace %d, %d starts, want the same run at full pace", task.background, task.wantedPace, h.startsIn(h.vms...)-starts)
	}
}

// Guards against a throttled task that is stopped only because its failure domain is
// evacuated: its own VM remains the best one for it.
func TestEvacuationMovesNoThrottledTask(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.step(120 * time.Millisecond)
	h.o.SetFailureDomain("a", "A")
	h.o.SetEvacuated(h.now, []types.FailureDomain{"A"})
	h.submit("s", standingStep(3))
	h.overTarget(time.Second)
	h.o.SetEvacuated(h.now, nil)
	h.submit("f", fillingStep("press", 1))
	h.step(120 * time.Millisecond)
	task := h.o.findTask(TaskKey{Job: "f"})
	if h.vmOf(task.key()) != "a" || len(h.running["b"]) != 3 {
		t.Fatal("the task does not run alone on VM a")
	}
	h.o.SetEvacuated(h.now, []types.FailureDomain{"A"})
	task.wantedPace, task.throttledSince = minPace, h.now-throttledMoveDelay
	h.o.moveThrottledTask(task.vm)
	if task.phase != phaseRunning {
		t.Error("the task is stopped to move to a VM that suits it less")
	}
}

// Guards against an evacuation without a record in the log, and against a misspelt
// failure domain of which the operator learns nothing.
func TestEvacuationIsRecorded(t *testing.T) {
	h := evacuationHarness(t)
	h.submit("j", standingStep(2))
	h.overTarget(time.Second)
	var got []string
	for _, domains := range [][]types.FailureDomain{{"A", "D"}, {"D"}, nil} {
		h.o.SetEvacuated(h.now, domains)
		h.now += time.Second
		for _, d := range h.o.Poll(h.now, h.now).Decisions {
			if e := d.Evacuation; e != nil {
				got = append(got, fmt.Sprintf("%d %s %d %d", d.Kind-DecisionEvacuationBegun, e.Domain, e.VMs, e.Tasks))
			}
		}
	}
	if want := []string{"0 A 2 2", "0 D 0 0", "2 A 2 2", "3 D 0 0", "1 A 2 2", "1 D 0 0"}; !slices.Equal(got, want) {
		t.Errorf("decisions %q, want %q", got, want)
	}
}

// Load: random faults of the simulation while failure domains are evacuated and return
// at random, also at takeovers. Guards against a start in an evacuated domain, and
// against jobs that never end afterwards.
func TestRandomRunsWithEvacuations(t *testing.T) {
	t.Parallel()
	starts, evacuations := 0, 0
	for seed := *simFirst; seed < *simFirst+*simSeeds; seed++ {
		s := newSim(seed, mutantNone)
		rng := rand.New(rand.NewPCG(seed, 5))
		var domains []types.FailureDomain
		var owner *Owner
		s.afterTick = func() {
			o := s.owner
			if o == nil {
				return
			}
			for _, v := range o.vmOrder {
				for _, t := range v.tasks {
					own := t.run>>runEpochShift == uint64(o.cfg.Epoch) // the others are adopted
					if v.evacuated && own && t.startedAt == s.now && (t.phase == phaseStarting || t.phase == phaseRunning) {
						s.fail("task %s starts on %s in an evacuated domain", t.key(), v.id)
					}
				}
			}
			changed := s.noFaults && domains != nil || !s.noFaults && rng.IntN(40) == 0
			if changed {
				domains = nil
				for _, d := range []types.FailureDomain{"0", "1"} {
					if !s.noFaults && rng.IntN(2) == 0 {
						domains = append(domains, d)
						evacuations++
					}
				}
			}
			if owner != o {
				owner, changed = o, true
				for i, w := range s.workers {
					o.SetFailureDomain(w.id, types.FailureDomain(fmt.Sprint(i/2)))
				}
			}
			if changed {
				o.SetEvacuated(s.now, domains)
			}
		}
		s.run()
		starts += s.starts
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, s.violations[0], lastEvents(s))
		}
	}
	if starts < int(*simSeeds)*30 || evacuations < int(*simSeeds)*10 {
		t.Errorf("%d starts and %d evacuations in %d seeds: too little activity", starts, evacuations, *simSeeds)
	}
}
