package workflow

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/overload"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// newPriorityHarness returns a harness with overload control whose queue "q" has priority
// 1, and with a queue "urgent" of priority 0.
func newPriorityHarness(t *testing.T, vms int) *harness {
	t.Helper()
	h := newHarness(t, vms, nil)
	h.o.cfg.OverloadControl = true
	h.o.SetQueues(map[string]Queue{
		"q":      {Name: "q", Service: "svc", Priority: 1, Stretch: 2, Target: time.Second},
		"urgent": {Name: "urgent", Service: "svc", Stretch: 2, Target: time.Second},
	})
	return h
}

func (h *harness) submitUrgent(id types.JobID, steps ...Step) {
	h.t.Helper()
	job := Job{ID: id, Queue: "urgent", Steps: steps, Accepted: h.now}
	if err := h.o.AddJob(h.now, h.now, job, JobQueued, 1, Progress{}, true); err != nil {
		h.t.Fatal(err)
	}
}

// batch is a step whose tasks fill VMs two by two and reserve their processors.
func batch(tasks int) Step {
	return Step{Tasks: tasks, Demand: types.Resources{MilliCPU: 8000}, RunTime: 20 * time.Second}
}

// decisionsOf runs the harness for a time and returns the decisions of a kind.
func (h *harness) decisionsOf(kind DecisionKind, d time.Duration) []Decision {
	var all []Decision
	for end := h.now + d; h.now < end; {
		h.now += 60 * time.Millisecond
		for _, vm := range h.vms {
			h.seq++
			h.o.Report(h.now, h.report(vm, 60*time.Millisecond))
			h.o.Grant(vm)
		}
		out := h.o.Poll(h.now, h.now)
		for _, order := range out.Orders {
			h.seq++
			h.carryOut(order)
			h.o.ApplyResults(h.now, 1, []OrderResult{{Order: order, Result: ResultDone, Seq: h.seq}})
		}
		for _, d := range out.Decisions {
			if d.Kind == kind {
				all = append(all, d)
			}
		}
	}
	return all
}

// Load: all VMs are full of batch work, and short work of priority 0 arrives. Guards
// against work that misses its objective behind lower priorities, stops of more than it
// needs, stops for what need not hurry, is late or has no higher priority, and against
// stops without a cause in the log.
func TestWorkOfPriorityZeroPreempts(t *testing.T) {
	short := Step{Tasks: 2, Demand: types.Resources{MilliCPU: 4000}, RunTime: time.Second}
	for _, c := range []struct {
		name  string
		setUp func(h *harness)
		stops int
	}{
		{"in time", func(h *harness) { h.submitUrgent("u", short) }, 1},
		{"late", func(h *harness) { h.submitUrgent("u", short); h.o.jobs["u"].occurrences[0].due -= 2 * time.Second }, 0},
		{"the same priority", func(h *harness) { h.submit("u", short) }, 0},
		{"switched off", func(h *harness) { h.o.cfg.OverloadControl = false; h.submitUrgent("u", short) }, 0},
		{"not confirmed", func(h *harness) { h.submitUrgent("u", short); h.o.SetOwnershipConfirmed(h.now, false) }, 0},
		{"more than fits", func(h *harness) { h.submitUrgent("u", batch(5)) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPriorityHarness(t, 2)
			h.submit("old", batch(2))
			h.overTarget(time.Second)
			h.submit("new", batch(2))
			h.overTarget(600 * time.Millisecond)
			c.setUp(h)
			stops := h.decisionsOf(DecisionPreempted, 4*time.Second)
			if len(stops) != c.stops {
				t.Fatalf("%d tasks are preempted, want %d: %+v", len(stops), c.stops, stops)
			}
			if c.stops == 0 {
				return
			}
			if d := stops[0]; d.Task.Job != "new" || !strings.Contains(d.Reason, "job u") {
				t.Errorf("stop %+v, want one of the task with the least lost work, for job u", d)
			}
			if j := h.o.jobs["u"]; j.outcome != JobCompleted {
				t.Errorf("job of priority 0 is %q 4 s after its arrival, with an objective of 3 s", j.outcome)
			}
			if again := h.o.findTask(stops[0].Task); again.phase != phaseRunning {
				t.Errorf("the preempted task does not run again after the short work")
			}
		})
	}
}

// Guards against a preempted run whose end the log explains as any other stop.
func TestPreemptedRunNamesItsCause(t *testing.T) {
	h := newPriorityHarness(t, 1)
	h.submit("b", batch(2))
	h.overTarget(time.Second)
	h.submitUrgent("u", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 8000}, RunTime: time.Second})
	requeued := h.decisionsOf(DecisionRequeued, 3*time.Second)
	if len(requeued) != 1 || requeued[0].Reason != "preempted for job u" {
		t.Errorf("requeued %+v, want one run that was preempted for job u", requeued)
	}
}

// Load: a stream of jobs of priority 0 over a batch job. Guards against starvation: a task
// that was preempted must then run for twice its run time undisturbed, and more after each
// further stop.
func TestPreemptedTaskIsProtected(t *testing.T) {
	h := newPriorityHarness(t, 1)
	h.submit("b", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 16000}, RunTime: 4 * time.Second})
	h.o.jobs["b"].occurrences[0].due -= time.Hour // late, so that its delay costs nothing
	h.overTarget(time.Second)
	stops := 0
	for i := range 20 {
		if h.o.jobs["b"].outcome == "" {
			h.submitUrgent(types.JobID(fmt.Sprint("u", i)), Step{Tasks: 1, Demand: types.Resources{MilliCPU: 16000}, RunTime: 500 * time.Millisecond})
		}
		stops += len(h.decisionsOf(DecisionPreempted, 2*time.Second))
	}
	if stops != 1 || h.o.jobs["b"].outcome != JobCompleted {
		t.Errorf("%d stops, batch job is %q; want one stop and a completed job", stops, h.o.jobs["b"].outcome)
	}
}

// Guards against stops of standing tasks beyond MayMiss, or of a part of a gang, by the
// owner's view of which tasks are down.
func TestPreemptionRespectsMayMissAndGangs(t *testing.T) {
	standing := func(mayMiss int) Step {
		return Step{Tasks: 4, Demand: types.Resources{MilliCPU: 8000}, Standing: true, MayMiss: mayMiss, Checkpoints: true}
	}
	gang := batch(4)
	gang.Gang = true
	for _, c := range []struct {
		name       string
		running    Step
		need, want int
	}{
		{"without MayMiss", standing(0), 1, 0},
		{"within MayMiss", standing(2), 2, 2},
		{"beyond MayMiss", standing(1), 2, 0},
		{"gang", gang, 1, 4},
	} {
		h := newPriorityHarness(t, 2)
		h.submit("r", c.running)
		h.o.jobs["r"].occurrences[0].due -= time.Hour
		h.overTarget(time.Second)
		h.submitUrgent("u", Step{Tasks: c.need, Demand: types.Resources{MilliCPU: 8000}, RunTime: 4 * time.Second})
		h.o.jobs["u"].occurrences[0].due -= 3 * time.Second // must start within 2 s
		stops := h.decisionsOf(DecisionPreempted, 6*time.Second)
		if len(stops) != c.want {
			t.Errorf("%s: %d tasks are stopped, want %d", c.name, len(stops), c.want)
		}
	}
}

// Load: the stops for a job of priority 0 take effect one after the other, while small work
// of a lower priority arrives. Guards against freed capacity that goes to others, and
// against stops of more tasks while the first ones are still under way.
func TestFreedCapacityIsHeld(t *testing.T) {
	h := newPriorityHarness(t, 2)
	h.submit("b", batch(4))
	h.overTarget(time.Second)
	h.submitUrgent("u", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 16000}, RunTime: time.Second})
	var slow *task // its worker lists it for 0.6 s after the stop
	var run harnessRun
	var until time.Duration
	for range 25 {
		h.submit(types.JobID(fmt.Sprint("small", h.now)), Step{Tasks: 4, Demand: types.Resources{MilliCPU: 500}, RunTime: 5 * time.Second})
		for _, t := range h.o.vms["a"].tasks {
			if r := h.running["a"][t.key()]; slow == nil && r != nil && t.key().Job == "b" {
				run = *r
			}
		}
		h.step(120 * time.Millisecond)
		stopping := 0
		for i := range h.o.jobs["b"].occurrences[0].steps[0].tasks {
			if t := &h.o.jobs["b"].occurrences[0].steps[0].tasks[i]; t.preemption.count > 0 {
				stopping++
				if slow == nil {
					slow, until = t, h.now+600*time.Millisecond
				}
			}
		}
		if stopping > 2 {
			t.Fatalf("%d tasks are stopped, want 2", stopping)
		}
		if slow != nil && h.now < until && slow.phase == phaseStopping {
			run.run = slow.run
			h.running[slow.vm.id][slow.key()] = &run
		} else if slow != nil && slow.phase == phaseStopping {
			delete(h.running[slow.vm.id], slow.key())
		}
		if h.o.jobs["u"].outcome == JobCompleted {
			if h.now < until {
				t.Fatal("the job ran beside the task that was still being stopped")
			}
			return
		}
	}
	t.Error("small work of a lower priority took the capacity that was freed")
}

// Guards against filling work that is stopped for processors, which it does not reserve,
// and against filling work of priority 0 that waits for memory.
func TestFillingWorkIsPreemptedForMemoryOnly(t *testing.T) {
	for _, memory := range []int64{1, harnessMemory / 2} {
		h := newPriorityHarness(t, 1)
		filling := Step{Tasks: 2, Demand: types.Resources{MilliCPU: 4000, MemoryBytes: memory}, RunTime: 20 * time.Second, Fills: true, Image: "x"}
		h.submit("f", filling)
		h.o.jobs["f"].occurrences[0].due -= time.Hour
		h.overTarget(time.Second)
		h.submitUrgent("u", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 4000, MemoryBytes: harnessMemory / 4}, RunTime: time.Second, Fills: true, Image: "x"})
		want := 0
		if memory > 1 {
			want = 1
		}
		if stops := h.decisionsOf(DecisionPreempted, 4*time.Second); len(stops) != want {
			t.Errorf("tasks with %d bytes: %d are stopped, want %d", memory, len(stops), want)
		}
	}
}

// Guards against violations of the invariants by preemption: tasks in two places, attempts
// that stops use up, jobs that never end, under faults of workers, owners and the store.
func TestRandomRunsWithPreemption(t *testing.T) {
	t.Parallel()
	preempted := 0
	for seed := *simFirst; seed < *simFirst+*simSeeds/2; seed++ {
		s := newSim(seed, mutantNone)
		s.overload = true
		s.owner.cfg.OverloadControl = true
		s.owner.SetQueues(s.queues())
		s.run()
		preempted += s.preempted
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, s.violations[0], lastEvents(s))
		}
	}
	if preempted < int(*simSeeds) {
		t.Errorf("%d tasks were preempted in %d seeds: too little activity", preempted, *simSeeds/2)
	}
}

// Load: a third of the VMs is lost with its standing tasks while short work uses the
// capacity beside them. Guards against standing tasks that take it at once, that are
// delayed without need, or for longer than the bound.
func TestStandingTasksLeaveHeadroom(t *testing.T) {
	standing := func(tasks int) Step {
		return Step{Tasks: tasks, Demand: types.Resources{MilliCPU: 4000}, Standing: true}
	}
	for _, c := range []struct {
		name    string
		enabled bool
		short   bool
		// running and tasks are the standing tasks that run, and those that come.
		running, tasks int
		delayed        bool
	}{
		{"short work", true, true, 6, 4, true},
		{"no short work", true, false, 6, 4, false},
		{"two tasks", true, true, 9, 2, true},
		{"only task of its job", true, true, 9, 1, false},
		{"switched off", false, true, 6, 4, false},
	} {
		h := newHarness(t, 3, nil)
		h.o.cfg.Headroom = c.enabled
		h.submit("s", standing(c.running))
		stream := func(seconds int) {
			for i := range 4 * seconds {
				if c.short && i%2 == 0 {
					h.submit(types.JobID(fmt.Sprint("short", h.now)), Step{Tasks: 4, Demand: types.Resources{MilliCPU: 3000}, RunTime: 400 * time.Millisecond})
				}
				h.step(250 * time.Millisecond)
			}
		}
		stream(5)
		// Of 48 cores, 24 or 36 are standing and 12 or 9 headroom, which nothing uses now.
		h.overTarget(time.Second)
		h.submit("more", standing(c.tasks))
		h.step(100 * time.Millisecond)
		running := h.o.jobs["more"].occurrences[0].steps[0].live
		if status := h.o.Headroom(); c.delayed && (status.Delayed == 0 || status.Usual.MilliCPU < 9000) {
			t.Errorf("%s: status %+v, want 9 cores or more of headroom and a delayed task", c.name, status)
		}
		if reasons := h.o.obstacles(h.o.findTask(TaskKey{Job: "more", Index: c.tasks - 1})); c.delayed && !strings.Contains(reasons, "headroom for short work") {
			t.Errorf("%s: reasons %s do not name headroom", c.name, reasons)
		}
		if delayed := running < c.tasks; delayed != c.delayed {
			t.Errorf("%s: %d of %d standing tasks start at once, want delayed: %t", c.name, running, c.tasks, c.delayed)
		}
		h.overTarget(overload.MaxHeadroomDelay + time.Second)
		if live := h.o.jobs["more"].occurrences[0].steps[0].live; live < c.tasks {
			t.Errorf("%s: %d of %d standing tasks run after the longest delay", c.name, live, c.tasks)
		}
	}
}
