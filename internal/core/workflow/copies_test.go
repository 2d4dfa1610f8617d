package workflow

import (
	"slices"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/runtimes"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// copyStep is a step whose first task is a straggler in copyHarness.
func copyStep() Step {
	return Step{Tasks: 4, Demand: types.Resources{MilliCPU: 500}, RunTime: time.Second, Copies: true}
}

// copyHarness has three VMs, and run times of queue "q" of which 3% are long. The first
// run of task 0 of each job is long.
func copyHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 3, nil)
	h.o.cfg.Copies = true
	h.learnTail()
	h.long = func(key TaskKey, run uint64) float64 {
		if key.Index == 0 && run&1 == 1 {
			return tailFactor
		}
		return 1
	}
	h.step(50 * time.Millisecond)
	return h
}

func (h *harness) learnTail() {
	for i := range 500 {
		ran := time.Second
		if i%33 == 0 {
			ran *= tailFactor
		}
		h.o.ratios.Learn(runtimes.Kind{Queue: "q"}, time.Second, ran)
	}
}

// runsOf returns the VMs that run a task.
func (h *harness) runsOf(key TaskKey) []types.VMID {
	var vms []types.VMID
	for vm, runs := range h.running {
		if runs[key] != nil {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// runUntilCopied runs the harness until the straggler of job j has two runs, and fails if
// it has not within the time in which its first run ends.
func (h *harness) runUntilCopied() {
	h.t.Helper()
	for range 6 * tailFactor {
		if h.step(50 * time.Millisecond); len(h.runsOf(TaskKey{Job: "j"})) == 2 {
			return
		}
	}
	h.t.Fatal("the straggler has no copy")
}

// Guards against a copy where it is not allowed or takes capacity from others: any of the
// conditions is missing.
func TestNoCopy(t *testing.T) {
	tests := map[string]func(h *harness, s *Step){
		"flag off":              func(h *harness, _ *Step) { h.o.cfg.Copies = false },
		"step without copies":   func(_ *harness, s *Step) { s.Copies = false },
		"gang":                  func(_ *harness, s *Step) { s.Gang = true },
		"run times unknown":     func(h *harness, _ *Step) { h.o.ratios = runtimes.New() },
		"more than the share":   func(_ *harness, s *Step) { s.Demand.MilliCPU = 3000 },
		"other VMs evacuated":   func(h *harness, _ *Step) { h.o.vms["b"].evacuated, h.o.vms["c"].evacuated = true, true },
		"other VMs paused":      func(h *harness, _ *Step) { h.o.vms["b"].slowUntil, h.o.vms["c"].slowUntil = time.Hour, time.Hour },
		"other VMs quarantined": func(h *harness, _ *Step) { h.o.vms["b"].quarantined, h.o.vms["c"].quarantined = true, true },
		"label of one VM":       func(_ *harness, s *Step) { s.Label = "only-a" },
		"work waits":            func(h *harness, _ *Step) { h.submit("waits", Step{Tasks: 1, Label: "nowhere", RunTime: time.Second}) },
		"one attempt": func(h *harness, _ *Step) {
			h.o.SetQueues(map[string]Queue{"q": {Name: "q", Service: "svc", MaxAttempts: 1}})
		},
		"the whole job is long":    func(h *harness, _ *Step) { h.long = func(TaskKey, uint64) float64 { return tailFactor } },
		"ownership unconfirmed":    func(h *harness, _ *Step) { h.o.SetOwnershipConfirmed(h.now, false) },
		"takeover is not complete": func(h *harness, _ *Step) { h.o.AddVM(h.now, "unreached"); h.o.takeoverComplete = false },
		"the straggler is throttled": func(h *harness, _ *Step) {
			long := h.long
			h.long = func(key TaskKey, run uint64) float64 {
				h.o.findTask(key).setPace(h.now, fullPace-1)
				return long(key, run)
			}
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			h := copyHarness(t)
			h.labels = map[types.VMID][]string{"a": {"only-a"}}
			h.step(50 * time.Millisecond)
			step := copyStep()
			prepare(h, &step)
			h.submit("j", step)
			for range 50 {
				h.step(50 * time.Millisecond)
				if len(h.runsOf(TaskKey{Job: "j"})) > 1 || h.o.Copies() > 0 {
					t.Fatal("the task has a copy")
				}
			}
		})
	}
	h := copyHarness(t)
	h.submit("j", copyStep())
	h.runUntilCopied() // the same load without any of the conditions
}

// Guards against a failed run that stops the other one or counts twice, and against a
// further copy of a task that has failed.
func TestFailureOfOneRun(t *testing.T) {
	for _, first := range []bool{true, false} {
		h := copyHarness(t)
		h.submit("j", copyStep())
		key := TaskKey{Job: "j"}
		x := h.o.findTask(key)
		h.runUntilCopied()
		firstVM := x.vm.id
		failing, other := firstVM, x.copy.vm.id
		if !first {
			failing, other = other, failing
		}
		h.endRun(failing, key, EndFailed)
		for range 6 {
			h.step(50 * time.Millisecond)
		}
		if runs := h.runsOf(key); !slices.Equal(runs, []types.VMID{other}) || x.vm.id != other || x.phase != phaseRunning || len(x.failures) != 1 {
			t.Errorf("first run failed: %t; runs on %v, task on %s in phase %d with %d failures, want it to run on %s with 1", first, runs, x.vm.id, x.phase, len(x.failures), other)
		}
	}
}

// endRun ends a run of the harness.
func (h *harness) endRun(vm types.VMID, key TaskKey, kind EndKind) {
	run := h.running[vm][key].run
	delete(h.running[vm], key)
	h.ends++
	h.seq++
	report := h.report(vm, 0)
	report.Fence = FirstFence(h.o.cfg.Epoch)
	report.Ended = append(report.Ended, End{Number: h.ends, Task: key, Run: run, Kind: kind})
	h.o.Report(h.now, report)
}

// Guards against a new owner that starts a third run, stops one of two for no reason, or
// does not take the end of either. Both runs are listed, in either order.
func TestNextOwnerAdoptsBothRuns(t *testing.T) {
	for _, order := range [][]types.VMID{{"a", "b", "c"}, {"c", "b", "a"}} {
		h := copyHarness(t)
		h.submit("j", copyStep())
		h.runUntilCopied()
		key := TaskKey{Job: "j"}
		runs := h.runsOf(key)
		h.newTerm(copyStep())
		h.learnTail()
		for range 2 {
			for _, vm := range order {
				h.reportTo(vm)
			}
			h.now += 50 * time.Millisecond
			for _, o := range h.o.Poll(h.now, h.now).Orders {
				if o.Task == key {
					t.Fatalf("%s of run %d on %s is ordered while both runs go on", o.Kind, o.Run, o.VM)
				}
			}
		}
		x := h.o.findTask(key)
		if x.copy == nil || h.o.Copies() != 1 {
			t.Fatalf("the task has no copy, or %d are counted", h.o.Copies())
		}
		h.endRun(runs[1], key, EndDone)
		stops := h.o.Poll(h.now, h.now).Orders
		if x.phase != phaseDone || !slices.ContainsFunc(stops, func(o Order) bool { return o.Kind == OrderStop && o.VM == runs[0] && o.Task == key }) {
			t.Errorf("phase %d after the end on %s, orders %v, want a stop on %s", x.phase, runs[1], stops, runs[0])
		}
	}
}

// Load: 3% of the run times are seven times as long as the others. Guards against copies
// that do not shorten the jobs that wait for them, or that use more than a few percent
// more starts.
func TestCopiesShortenTail(t *testing.T) {
	play := func(copies bool) (late, starts int) {
		h := newHarness(t, 6, nil)
		h.o.cfg.Copies = copies
		h.long = longRuns(3)
		h.step(50 * time.Millisecond)
		accepted := make(map[types.JobID]time.Duration)
		const jobs = 120
		for i := range jobs * 20 {
			if i%20 == 0 {
				id := types.JobID(h.now.String())
				accepted[id] = h.now
				h.submit(id, Step{Tasks: 10, Demand: types.Resources{MilliCPU: 700}, RunTime: 800 * time.Millisecond, Copies: true})
			}
			h.step(50 * time.Millisecond)
			for id, at := range accepted {
				if h.o.jobs[id].outcome != "" {
					delete(accepted, id)
				} else if h.now > at+3*time.Second {
					late++
					delete(accepted, id)
				}
			}
		}
		for _, n := range h.starts {
			starts += n
		}
		return late, starts
	}
	late, starts := play(false)
	lateWith, startsWith := play(true)
	t.Logf("of 120 jobs of 10 tasks of 0.8 s, %d took over 3 s with %d starts, with copies %d with %d", late, starts, lateWith, startsWith)
	if lateWith > late/3 || float64(startsWith) > 1.06*float64(starts) {
		t.Errorf("%d jobs took over 3 s with copies and %d without; %d and %d starts", lateWith, late, startsWith, starts)
	}
}
