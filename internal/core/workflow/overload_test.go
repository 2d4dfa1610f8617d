package workflow

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Load: filling tasks of one image beside standing tasks that are over their targets,
// while other filling work is deferred for want of room. Guards against slowing down what
// costs callers most: tasks of late jobs go first, the last tasks of a step last.
func TestLateTasksAreSlowedDownFirst(t *testing.T) {
	h := newHarness(t, 1, map[string]float64{"press": 0})
	h.o.cfg.OverloadControl = true
	usersLoad := 0.2
	h.usersLoad = func(time.Duration) float64 { return usersLoad }
	filling := func(tasks int) Step {
		return Step{Tasks: tasks, Demand: types.Resources{MilliCPU: 1500}, RunTime: time.Minute, Fills: true, Image: "press"}
	}
	h.submit("late", filling(3))
	h.submit("last", filling(1))
	h.submit("time", filling(3))
	h.submit("s", standingStep(1))
	h.overTarget(4 * time.Second)
	late := h.o.jobs["late"]
	late.occurrences[0].due -= time.Hour
	pace := func(job types.JobID) int {
		sum, n := 0, 0
		for _, s := range h.o.jobs[job].occurrences[0].steps {
			for i := range s.tasks {
				if s.tasks[i].phase == phaseRunning {
					sum, n = sum+s.tasks[i].wantedPace, n+1
				}
			}
		}
		if n == 0 {
			t.Fatalf("no task of job %s runs", job)
		}
		return sum / n
	}
	v := h.o.vms["a"]
	one := func(*task) float64 { return 1 }
	if h.o.weighsDelay() {
		t.Error("paces follow the cost of delay although nothing is deferred")
	}
	h.o.overload.status.Deferred = 1
	for _, c := range []struct {
		excess           float64
		late, time, last int
	}{{0.2, 28, 100, 100}, {0.4, 0, 57, 100}, {0.6, 0, 0, 57}} {
		for _, t := range v.tasks {
			t.wantedPace = fullPace
		}
		h.o.lowerPaces(v, one, c.excess)
		for job, want := range map[types.JobID]int{"late": c.late, "time": c.time, "last": c.last} {
			if got := pace(job); got < want-5 || got > want+5 {
				t.Errorf("load reduced by %v: job %s has a mean pace of %d%%, want about %d%%", c.excess, job, got, want)
			}
		}
	}
	usersLoad = 0.5
	for h.o.raisePaces(v); pace("last") < fullPace; h.o.raisePaces(v) {
		h.step(120 * time.Millisecond)
		h.o.overload.status.Deferred = 1
	}
	if pace("late") > pace("time") {
		t.Errorf("the pace of a late job was raised before that of a job in time")
	}
}

// Load: a burst of filling jobs that cannot all be in time. Guards against a job that
// takes the time of several others, waiting steps that are lost or listed twice, and
// deferrals that the log does not show.
func TestLargestJobIsDeferredInABurst(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.o.cfg.OverloadControl = true
	job := func(name string, tasks int) {
		h.submit(types.JobID(name), Step{Tasks: tasks, Demand: types.Resources{MilliCPU: 4000}, RunTime: 4 * time.Second, Fills: true, Image: "calm", Checkpoints: true})
	}
	job("huge", 8) // 128 of the 144 core-seconds until 9 s; the others need 96
	for i := range 6 {
		job(fmt.Sprint("small", i), 1)
	}
	h.o.takeoverComplete = true
	h.o.servicePlanOf("svc").throughput.Measure(h.now, harnessMilliCPU/1000)
	for range 3 {
		h.now += deferralLogDelay / 2
		h.o.now = h.now
		var order []types.JobID
		for _, s := range h.o.waitingSteps() {
			order = append(order, s.job.spec.ID)
		}
		if len(order) != 7 || order[6] != "huge" {
			t.Fatalf("order %v, want seven jobs, the huge one last", order)
		}
		if slices.Sort(order); len(slices.Compact(order)) != 7 {
			t.Fatalf("order %v has a job twice", order)
		}
	}
	if d := h.o.decisions; len(d) != 1 || d[0].Kind != DecisionDeferred || d[0].Job != "huge" || !strings.Contains(d[0].Reason, "needs 128 core-seconds") {
		t.Errorf("decisions %+v, want one deferral of the huge job with its work", d)
	}
	if status := h.o.Overload(); status.Deferred != 1 || status.Planned != 6 {
		t.Errorf("status %+v, want one deferred occurrence", status)
	}
}
