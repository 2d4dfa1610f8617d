package workflow

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// maxIdleTime is how long an accepted job may have nothing running while a VM has room
// for a task whose turn has come.
const maxIdleTime = 3 * time.Second

// longestIdle runs the harness for a time and returns the longest time during which a
// job had a ready step and no run, with the job.
func (h *harness) longestIdle(d time.Duration) (time.Duration, types.JobID) {
	since := make(map[types.JobID]time.Duration)
	var longest time.Duration
	var idlest types.JobID
	for end := h.now + d; h.now < end; {
		h.step(120 * time.Millisecond)
		running := make(map[types.JobID]bool)
		for _, runs := range h.running {
			for key := range runs {
				running[key.Job] = true
			}
		}
		for id, j := range h.o.jobs {
			if running[id] || j.outcome != "" {
				delete(since, id)
				continue
			}
			if _, ok := since[id]; !ok {
				since[id] = h.now
			}
			if idle := h.now - since[id]; idle > longest {
				longest, idlest = idle, id
			}
		}
	}
	return longest, idlest
}

// Load: standing tasks on all VMs leave nothing to filling work, and long filling tasks
// hold the place for disturbing work on each. Guards against accepted jobs that have
// nothing running for as long as the long tasks take, with most of the room free.
func TestJobsBesideLongFillingTasksStart(t *testing.T) {
	h := newHarness(t, 3, map[string]float64{"press": 4})
	h.usersLoad = func(time.Duration) float64 { return 0.6 }
	h.submit("s", standingStep(9))
	h.overTarget(time.Second)
	for i := range 3 {
		h.submit(types.JobID(fmt.Sprintf("long%d", i)), Step{Tasks: 2, Demand: types.Resources{MilliCPU: 2000}, RunTime: time.Minute, Fills: true, Image: "press"})
	}
	h.overTarget(3 * time.Second)
	for i := range 6 {
		h.submit(types.JobID(fmt.Sprintf("j%d", i)), fillingStep("press", 7))
	}
	if idle, job := h.longestIdle(20 * time.Second); idle > maxIdleTime {
		t.Errorf("job %s had nothing running for %v, want at most %v", job, idle, maxIdleTime)
	}
}

// Load: standing tasks, filling jobs and gangs of any size and length on few VMs, one of
// which may be lost. Guards against any accepted job that has nothing running for long.
func TestPropertyNoFillingJobStarves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, rapid.IntRange(2, 5).Draw(rt, "VMs"), map[string]float64{"press": rapid.Float64Range(0, 4).Draw(rt, "factor")})
		load := rapid.Float64Range(0.2, 0.7).Draw(rt, "load of users")
		h.usersLoad = func(time.Duration) float64 { return load }
		h.submit("s", standingStep(rapid.IntRange(1, 10).Draw(rt, "standing tasks")))
		h.overTarget(time.Second)
		for i := range rapid.IntRange(1, 20).Draw(rt, "jobs") {
			step := fillingStep("press", rapid.IntRange(1, 8).Draw(rt, "tasks"))
			step.RunTime = time.Duration(rapid.IntRange(1, 60).Draw(rt, "run time in s")) * time.Second
			step.Gang = rapid.IntRange(0, 3).Draw(rt, "gang") == 0
			step.Checkpoints = rapid.Bool().Draw(rt, "checkpoints")
			h.submit(types.JobID(fmt.Sprintf("j%d", i)), step)
		}
		// The loss ends the runs there, so the idle times begin again with it.
		for range 2 {
			if idle, job := h.longestIdle(8 * time.Second); idle > maxIdleTime {
				rt.Fatalf("job %s had nothing running for %v, want at most %v", job, idle, maxIdleTime)
			}
			h.lose("a")
		}
	})
}

// backgroundHarness has a VM with standing tasks whose users leave nothing to filling
// work, a long filling task forced onto it, and a background run of job "j".
func backgroundHarness(t *testing.T, load *float64) (*harness, *task) {
	t.Helper()
	h := newHarness(t, 1, map[string]float64{"press": 2})
	*load = 0.65
	h.usersLoad = func(time.Duration) float64 { return *load }
	h.submit("s", standingStep(3))
	h.overTarget(time.Second)
	h.submit("long", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 2000}, RunTime: time.Minute, Fills: true, Image: "press"})
	h.overTarget(2 * time.Second)
	h.submit("j", fillingStep("press", 1))
	h.overTarget(4 * time.Second)
	run := h.o.findTask(TaskKey{Job: "j"})
	if run == nil || !run.background || run.pace > maxBackgroundPace {
		t.Fatalf("task %+v, want a background run", run)
	}
	return h, run
}

// Guards against background runs that stay slow after the load has fallen.
func TestBackgroundRunIsBroughtToFullPace(t *testing.T) {
	var load float64
	h, _ := backgroundHarness(t, &load)
	load = 0.05
	h.overTarget(8 * time.Second)
	if h.o.findTask(TaskKey{Job: "j"}) != nil {
		t.Error("a job of 2 s is not done 8 s after the load has fallen")
	}
}

func (h *harness) addVM(id types.VMID) {
	h.vms = append(h.vms, id)
	h.running[id] = make(map[TaskKey]*harnessRun)
}

// Guards against background runs that stay on their VM while another one has room.
func TestBackgroundRunMovesToAFreeVM(t *testing.T) {
	var load float64
	h, _ := backgroundHarness(t, &load)
	h.addVM("b")
	h.overTarget(5 * time.Second)
	if h.o.findTask(TaskKey{Job: "j"}) != nil {
		t.Error("a job of 2 s is not done 5 s after another VM has become free")
	}
}

// Guards against a takeover that brings all background runs to full pace at once, also
// those that tails have stopped.
func TestNextOwnerKeepsBackgroundRuns(t *testing.T) {
	var load float64
	_, run := backgroundHarness(t, &load)
	spec, vm, number := run.step.job.spec, run.vm.id, run.run
	for _, pace := range []int{0, minBackgroundPace, maxBackgroundPace} {
		next := newHarness(t, 1, nil)
		if err := next.o.AddJob(next.now, next.now, spec, JobRunning, 1, Progress{}, false); err != nil {
			t.Fatal(err)
		}
		report := next.report(vm, 0)
		report.Running = []Run{{Task: TaskKey{Job: "j"}, Run: number, Figure: float64(spec.Steps[0].Demand.MilliCPU*int64(pace)) / fullPace}}
		next.o.Report(next.now, report)
		if adopted := next.o.findTask(TaskKey{Job: "j"}); adopted.wantedPace != maxBackgroundPace {
			t.Errorf("the next owner wants a pace of %d%% for a run at %d%%, want %d%%", adopted.wantedPace, pace, maxBackgroundPace)
		}
	}
}

// Guards against background runs that take the memory that work at full pace needs.
func TestBackgroundRunsLeaveMemory(t *testing.T) {
	h := newHarness(t, 1, map[string]float64{"press": 4})
	h.usersLoad = func(time.Duration) float64 { return 0.65 }
	h.submit("s", standingStep(3))
	h.overTarget(time.Second)
	for i := range 8 {
		step := fillingStep("press", 1)
		step.Demand.MemoryBytes, step.RunTime = harnessMemory/5, time.Minute
		h.submit(types.JobID(fmt.Sprintf("j%d", i)), step)
	}
	h.overTarget(6 * time.Second)
	if held := h.o.vms["a"].backgroundMemory; held == 0 || held > harnessMemory*6/10 {
		t.Errorf("background runs hold %d of %d bytes, want some, and room for other work", held, int64(harnessMemory))
	}
}

// Guards against standing tasks that fill of which only the first one runs.
func TestEachStandingFillingTaskRuns(t *testing.T) {
	h := newHarness(t, 1, map[string]float64{"press": 4})
	h.usersLoad = func(time.Duration) float64 { return 0.65 }
	h.submit("s", standingStep(3))
	h.overTarget(time.Second)
	h.submit("f", Step{Tasks: 3, Demand: types.Resources{MilliCPU: 2000}, Standing: true, Fills: true, Image: "press"})
	h.overTarget(maxIdleTime)
	if n := h.o.findTask(TaskKey{Job: "f"}).step.live; n != 3 {
		t.Errorf("%d of 3 standing tasks run", n)
	}
}

// Guards against gangs that stay in the background while other VMs have room for them.
func TestBackgroundGangMovesToFreeVMs(t *testing.T) {
	var load float64
	h, _ := backgroundHarness(t, &load)
	gang := fillingStep("press", 2)
	gang.Gang, gang.Checkpoints, gang.MaxPerVM = true, false, 2
	h.submit("gang", gang)
	h.overTarget(4 * time.Second)
	if s := h.o.findTask(TaskKey{Job: "gang"}).step; s.background != 2 {
		t.Fatalf("%d members run in the background, want 2", s.background)
	}
	h.addVM("b")
	h.addVM("c")
	h.overTarget(8 * time.Second)
	if h.o.findTask(TaskKey{Job: "gang"}) != nil {
		t.Error("a gang of 2 s is not done 8 s after two VMs have become free")
	}
}

// Guards against gangs that stay in the background because their VMs cannot take them
// twice.
func TestBackgroundGangIsBroughtToFullPaceInPlace(t *testing.T) {
	h := newHarness(t, 2, map[string]float64{"press": 2})
	load := 0.65
	h.usersLoad = func(time.Duration) float64 { return load }
	h.submit("s", standingStep(6))
	h.overTarget(time.Second)
	gang := fillingStep("press", 2)
	gang.Gang, gang.MaxPerVM = true, 1
	h.submit("gang", gang)
	h.overTarget(4 * time.Second)
	load = 0.05
	h.overTarget(10 * time.Second)
	if h.o.findTask(TaskKey{Job: "gang"}) != nil {
		t.Error("a gang of 2 s is not done 10 s after the load has fallen")
	}
}

// Load: a wide job that is in time takes all that a free VM has. Guards against late jobs
// that stay in the background on another one, and against a quarantined VM due for a
// probe that hides the free one.
func TestLateBackgroundRunIsForcedOntoAFreeVM(t *testing.T) {
	var load float64
	h, _ := backgroundHarness(t, &load)
	h.submit("wide", Step{Tasks: 400, Demand: types.Resources{MilliCPU: 2000}, RunTime: 2 * time.Second, Fills: true, Image: "press", Checkpoints: true})
	h.addVM("b")
	h.addVM("c")
	for end := h.now + 10*time.Second; h.now < end; {
		h.step(120 * time.Millisecond)
		h.o.vms["c"].quarantined, h.o.vms["c"].probeDue = true, true
	}
	if h.o.findTask(TaskKey{Job: "j"}) != nil {
		t.Error("a job of 2 s is not done 10 s after a VM has become free")
	}
}

// Load: far more filling work than standing tasks leave room for. Guards against
// background runs that use up the load that work at full pace needs: 5 jobs were done
// without them.
func TestBackgroundRunsComeAfterWorkAtFullPace(t *testing.T) {
	h := newHarness(t, 4, map[string]float64{"press": 2.5})
	h.usersLoad = func(time.Duration) float64 { return 0.6 }
	h.submit("s", standingStep(16))
	h.overTarget(time.Second)
	const jobs = 60
	for i := range jobs {
		step := fillingStep("press", 3)
		step.Demand.MilliCPU, step.RunTime = 4000, 3*time.Second
		h.submit(types.JobID(fmt.Sprintf("j%02d", i)), step)
	}
	h.overTarget(time.Minute)
	done := 0
	for i := range jobs {
		if h.o.findTask(TaskKey{Job: types.JobID(fmt.Sprintf("j%02d", i))}) == nil {
			done++
		}
	}
	if done < 5 {
		t.Errorf("%d jobs are done after a minute, want 5", done)
	}
}

// Guards against background runs that are stopped again and again for a VM that looks
// free and refuses them.
func TestRefusedMovesAreLimited(t *testing.T) {
	var load float64
	h, _ := backgroundHarness(t, &load)
	h.addVM("b")
	const span = 20 * time.Second
	stops := 0
	for end := h.now + span; h.now < end; {
		h.now += 120 * time.Millisecond
		for _, vm := range h.vms {
			h.seq++
			h.o.Report(h.now, h.report(vm, 120*time.Millisecond))
			h.o.Grant(vm)
		}
		for _, order := range h.o.Poll(h.now, h.now).Orders {
			h.seq++
			result := ResultDone
			if order.Kind == OrderStart && order.VM == "b" {
				result = ResultNoRoom
			} else {
				h.carryOut(order)
			}
			if order.Kind == OrderStop && order.Task.Job == "j" {
				stops++
			}
			h.o.ApplyResults(h.now, 1, []OrderResult{{Order: order, Result: result, Seq: h.seq}})
		}
	}
	if most := int(span/moveBackoff) + 1; stops > most {
		t.Errorf("the background run was stopped %d times in %v, want at most %d", stops, span, most)
	}
}
