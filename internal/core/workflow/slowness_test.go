package workflow

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against a job that is late because one of its tasks runs on a worker
// that has become six times slower: a stream of steps of ten tasks over four
// VMs, one of them slow from the start.
func TestTasksMoveOffSlowWorker(t *testing.T) {
	h := newHarness(t, 4, nil)
	h.speed = map[types.VMID]float64{"a": 1.0 / 6}
	h.step(50 * time.Millisecond)
	short := Step{Tasks: 10, Demand: types.Resources{MilliCPU: 4000}, RunTime: 800 * time.Millisecond}
	const jobs = 12
	late := 0
	for i := range jobs {
		id := types.JobID(rune('a' + i))
		h.submit(id, short)
		for range 40 {
			h.step(50 * time.Millisecond)
		}
		if h.o.jobs[id].outcome == "" {
			late++
		}
	}
	if late > jobs/6 {
		t.Errorf("%d of %d jobs of 0.8 s took more than 2 s", late, jobs)
	}
}

// Guards against standing tasks that stay on a slow worker, and against
// learning the load of their users from it: their tails far exceed their
// targets without filling tasks on the VM.
func TestStandingTasksLeaveSlowWorker(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.step(50 * time.Millisecond)
	step := standingStep(3)
	step.MaxPerVM = 1
	h.submit("s", step)
	for range 40 {
		h.step(50 * time.Millisecond)
	}
	spare := standingStep(1)
	h.vms = append(h.vms, "d")
	h.running["d"] = make(map[TaskKey]*harnessRun)
	h.submit("other", spare)
	h.speed = map[types.VMID]float64{"b": 1.0 / 6}
	for range 40 {
		h.step(50 * time.Millisecond)
	}
	if h.hasStanding("b") {
		t.Error("a standing task is on the slow VM after 2 s")
	}
	if expectedUsersLoad := h.o.jobs["s"].occurrences[0].steps[0].expectedUsersLoad(); expectedUsersLoad > 0.55 {
		t.Errorf("the load of the users is estimated as %.2f, want about 0.4", expectedUsersLoad)
	}
}

// Guards against pausing all VMs at once: work continues when everything is
// slow.
func TestNotAllSlowWorkersArePaused(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.step(50 * time.Millisecond)
	h.submit("s", standingStep(3))
	h.speed = map[types.VMID]float64{"a": 0.1, "b": 0.1, "c": 0.1}
	for range 60 {
		h.step(50 * time.Millisecond)
	}
	paused := 0
	for _, v := range h.o.vmOrder {
		if h.now < v.slowUntil {
			paused++
		}
	}
	if paused > 1 {
		t.Errorf("%d of 3 VMs are paused, want at most 1", paused)
	}
}

// Guards against stopping more standing tasks on a slow VM at a time than
// MayMiss of their step allows.
func TestSlowWorkerRespectsMayMiss(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.step(50 * time.Millisecond)
	step := standingStep(3)
	step.MayMiss = 1
	h.submit("s", step) // packed on one VM
	for range 20 {
		h.step(50 * time.Millisecond)
	}
	slow := h.o.jobs["s"].occurrences[0].steps[0].tasks[0].vm
	h.speed = map[types.VMID]float64{slow.id: 0.1}
	moved := false
	for range 80 {
		h.step(50 * time.Millisecond)
		away := 3
		for _, runs := range h.running {
			away -= len(runs)
		}
		moved = moved || away > 0
		if away > 1 {
			t.Fatalf("%d of 3 tasks are down, want at most 1", away)
		}
	}
	if !moved {
		t.Error("no task left the slow VM")
	}
}

// Guards against jobs that wait for tasks on a worker that hangs: one of the
// workers of a step hangs.
func TestTasksLeaveWorkerThatHangs(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.speed = map[types.VMID]float64{"a": 0}
	h.step(50 * time.Millisecond)
	h.submit("j", Step{Tasks: 10, Demand: types.Resources{MilliCPU: 4000}, RunTime: 800 * time.Millisecond})
	for range 44 {
		h.step(50 * time.Millisecond)
	}
	if h.o.jobs["j"].outcome != JobCompleted {
		t.Error("a job of 0.8 s is not done after 2.2 s")
	}
}

// Guards against treating tasks as stalled while their worker sends no lists: a
// list shows nothing about the time after it.
func TestOldListIsNoSignOfHanging(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.speed = map[types.VMID]float64{"a": 0}
	h.step(50 * time.Millisecond)
	h.submit("j", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 4000}, RunTime: 5 * time.Second})
	for range 8 {
		h.step(50 * time.Millisecond)
	}
	for range 40 { // 2 s without a list
		h.now += 50 * time.Millisecond
		for _, order := range h.o.Poll(h.now, h.now).Orders {
			t.Fatalf("%v of %s without a new list", order.Kind, order.Task)
		}
	}
}

// Guards against pausing sound workers after a loss: tasks so long that none has
// advanced by a percent run beside those that begin again, whose times are shorter.
func TestTasksStartedAgainDoNotMakeOthersSlow(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.step(50 * time.Millisecond)
	h.submit("j", Step{Tasks: 6, Demand: types.Resources{MilliCPU: harnessMilliCPU / 4}, RunTime: time.Hour, MaxPerVM: 3})
	for range 60 {
		h.step(50 * time.Millisecond)
	}
	h.lose(h.o.jobs["j"].occurrences[0].steps[0].tasks[0].vm.id)
	for range 120 {
		h.step(50 * time.Millisecond)
		for _, v := range h.o.vmOrder {
			if v.slowUntil > 0 {
				t.Fatalf("the sound VM %q is paused", v.id)
			}
		}
	}
}

// Guards against pausing sound workers because of the rounding of progress, for any
// run time and any times between starts.
func TestPropertySoundWorkersAreNotPaused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, rapid.IntRange(3, 6).Draw(rt, "workers"), nil)
		h.step(50 * time.Millisecond)
		runTime := time.Duration(rapid.IntRange(1, 120).Draw(rt, "run time in s")) * time.Second
		h.submit("j", Step{Tasks: rapid.IntRange(3, 8).Draw(rt, "tasks"), Demand: types.Resources{MilliCPU: harnessMilliCPU / 4}, RunTime: runTime})
		for range 150 {
			h.step(50 * time.Millisecond)
			if rapid.IntRange(0, 15).Draw(rt, "a task begins again") == 0 {
				s := h.o.findTask(TaskKey{Job: "j"})
				if s == nil {
					return
				}
				h.o.stop(&s.step.tasks[rapid.IntRange(0, len(s.step.tasks)-1).Draw(rt, "task")])
			}
			for _, v := range h.o.vmOrder {
				if v.slowUntil > 0 {
					rt.Fatalf("the sound VM %q is paused", v.id)
				}
			}
		}
	})
}

// Guards against missing a slow worker whose tasks show only a few percent of
// progress.
func TestLongTasksShowSlowWorker(t *testing.T) {
	h := newHarness(t, 4, nil)
	h.speed = map[types.VMID]float64{"a": 1.0 / 6}
	h.step(50 * time.Millisecond)
	h.submit("j", Step{Tasks: 16, Demand: types.Resources{MilliCPU: harnessMilliCPU / 4}, RunTime: time.Minute, MaxPerVM: 4})
	for range 80 {
		h.step(50 * time.Millisecond)
	}
	if h.o.vms["a"].slowUntil == 0 {
		t.Error("the slow VM has not been paused in 4 s")
	}
}
