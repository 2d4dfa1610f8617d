package workflow

import (
	"slices"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// fail ends a run of the harness with a failure of the task.
func (h *harness) fail(key TaskKey) {
	h.t.Helper()
	for vm, runs := range h.running {
		run := runs[key]
		if run == nil {
			continue
		}
		delete(runs, key)
		h.ends++
		h.seq++
		report := h.report(vm, 0)
		report.Ended = append(report.Ended, End{Number: h.ends, Task: key, Run: run.run, Kind: EndFailed})
		h.o.Report(h.now, report)
		return
	}
	h.t.Fatalf("task %v does not run", key)
}

// vmOf returns the VM whose worker runs a task; empty if none does.
func (h *harness) vmOf(key TaskKey) types.VMID {
	for vm, runs := range h.running {
		if runs[key] != nil {
			return vm
		}
	}
	return ""
}

// Load: the only room left for a failed task is on the VM where it failed. Guards
// against a standing task that waits forever: on trouble-1 of vdl-moorings (seed 202,
// varied) it did not run for the last 9 s, with room for it on that VM.
func TestFailedTaskReturnsToTheOnlyVMWithRoom(t *testing.T) {
	h := newHarness(t, 2, nil)
	full := standingStep(1)
	full.Demand.MilliCPU = harnessMilliCPU
	h.submit("full", full)
	h.overTarget(time.Second)
	h.submit("s", standingStep(1))
	h.overTarget(time.Second)
	key := TaskKey{Job: "s"}
	h.fail(key)
	// A standing task must run again within 3 s of calm if there is room.
	h.overTarget(3 * time.Second)
	if h.vmOf(key) == "" {
		t.Error("the failed task does not run after 3 s, though its VM has room")
	}
}

// Guards against a task that never starts again, or waits without a reason, after a
// failure on the only VM that may ever run it (review/4).
func TestFailedTaskReturnsToTheOnlyPossibleVM(t *testing.T) {
	for name, test := range map[string]struct {
		step   func(*Step)
		change func(*vm)
	}{
		"label":         {step: func(s *Step) { s.Label = "gpu" }},
		"limit per VM":  {step: func(s *Step) { s.Tasks, s.MaxPerVM = 2, 1 }},
		"other service": {change: func(v *vm) { v.upstream.Service = "other" }},
		"too small":     {change: func(v *vm) { v.upstream.Capacity.MilliCPU = 1000 }},
		"quarantined":   {change: func(v *vm) { v.quarantined = true }},
		"unreachable":   {change: func(v *vm) { v.reached = false }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, nil)
			h.step(120 * time.Millisecond)
			for _, v := range h.o.vms {
				v.upstream.Labels = []string{"gpu"}
			}
			step := standingStep(1)
			if test.step != nil {
				test.step(&step)
			}
			h.submit("s", step)
			h.now += 120 * time.Millisecond
			for _, order := range h.o.Poll(h.now, h.now).Orders {
				h.seq++
				h.carryOut(order)
				h.o.ApplyResults(h.now, 1, []OrderResult{{Order: order, Result: ResultDone, Seq: h.seq}})
			}
			before := h.vmOf(TaskKey{Job: "s"})
			h.fail(TaskKey{Job: "s"})
			for id, v := range h.o.vms {
				if id != before && test.change != nil {
					test.change(v)
				}
				v.upstream.Labels = slices.DeleteFunc([]string{"gpu"}, func(string) bool { return id != before })
			}
			h.now += 120 * time.Millisecond
			if n := countStarts(h.o.Poll(h.now, h.now).Orders); n != 1 {
				t.Errorf("%d starts in the next placement, want 1 on the VM of the failed run", n)
			}
		})
	}
}

// Guards against a failed task that starts at once on the worker that failed it,
// although another VM has room.
func TestFailedTaskAvoidsItsVMAtFirst(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.submit("s", standingStep(1))
	h.overTarget(time.Second)
	key := TaskKey{Job: "s"}
	before := h.vmOf(key)
	h.fail(key)
	h.overTarget(time.Second)
	if after := h.vmOf(key); after == before || after == "" {
		t.Errorf("the failed task runs on %q, want the VM other than %q", after, before)
	}
}
