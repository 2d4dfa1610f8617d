package workflow

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/overload"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// forecastHarness returns a harness of one VM with overload control, and a function that
// steps for a time, forecasts each second, and returns whether the queue was over its
// limit in the last forecast.
func forecastHarness(t *testing.T) (*harness, func(d time.Duration) (overload.QueueForecast, bool)) {
	h := newHarness(t, 1, nil)
	h.o.cfg.OverloadControl = true
	return h, func(d time.Duration) (last overload.QueueForecast, over bool) {
		for end := h.now + d; h.now < end; {
			for range 10 {
				h.step(100 * time.Millisecond)
			}
			queues, ok := h.o.Forecast(h.now)
			if !ok || len(queues) > 1 {
				t.Fatalf("forecast %+v, %v; want at most one queue", queues, ok)
			}
			if len(queues) == 1 {
				last, over = queues[0], queues[0].Over()
			}
		}
		return last, over
	}
}

// Load: jobs that need all processors of the only VM for 2 s, and two such jobs each second.
// Guards against a queue that counts as over its limit before capacity is known to be
// short, that does not count so afterwards, or that stays so when the work is gone; for
// work that reserves processors and for filling work.
func TestQueueOverItsLimit(t *testing.T) {
	for _, fills := range []bool{false, true} {
		t.Run(fmt.Sprint("fills ", fills), func(t *testing.T) {
			h, run := forecastHarness(t)
			h.step(100 * time.Millisecond)
			submit := func(n int) {
				for i := range n {
					step := Step{Tasks: 4, Demand: types.Resources{MilliCPU: harnessMilliCPU / 4}, RunTime: 2 * time.Second, Fills: fills, Image: "calm"}
					h.submit(types.JobID(fmt.Sprint(h.now, "-", i)), step)
				}
			}
			submit(3)
			if q, over := run(10 * time.Second); over || q.Fills != fills || q.Queue != "q" {
				t.Fatalf("over its limit with three jobs: %+v", q)
			}
			var q overload.QueueForecast
			over := false
			for begin := h.now; h.now < begin+10*time.Second; {
				submit(2)
				if q, over = run(time.Second); over && h.now < begin+saturationTime {
					t.Errorf("over its limit before capacity is known to be short: %+v", q)
				}
			}
			if !over {
				t.Errorf("not over its limit with four times the work that can be done: %+v", q)
			}
			expected, limit := q.Worst()
			if expected < limit || limit != abandonFactor*5*time.Second || q.Throughput < 0.6*harnessMilliCPU/1000 || q.Throughput > 1.3*harnessMilliCPU/1000 {
				t.Errorf("expected time %v, limit %v, throughput %.1f; want a limit of 15 s, and about the processors of the VM", expected, limit, q.Throughput)
			}
			if q, over := run(60 * time.Second); over {
				t.Errorf("over its limit after the work is done: %+v", q)
			}
		})
	}
}

// Guards against work that shows no want of capacity: tasks that only other VMs may run,
// and standing tasks that find no room.
func TestOtherWaitsShowNoWantOfCapacity(t *testing.T) {
	h, run := forecastHarness(t)
	h.step(100 * time.Millisecond)
	for i := range 40 {
		h.submit(types.JobID(fmt.Sprint("label", i)), Step{Tasks: 4, Demand: types.Resources{MilliCPU: 4000}, RunTime: 2 * time.Second, Label: "other"})
		h.submit(types.JobID(fmt.Sprint("standing", i)), Step{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}, Standing: true})
	}
	if q, over := run(12 * time.Second); over || !q.Free {
		t.Errorf("over its limit: %+v", q)
	}
}

// Guards against a forecast without overload control, and against an entry that measures
// a job otherwise than the owner.
func TestSubmissionIsMeasuredAsByTheOwner(t *testing.T) {
	h := newHarness(t, 1, nil)
	if queues, ok := h.o.Forecast(h.now); ok {
		t.Errorf("forecast %+v without overload control", queues)
	}
	h.o.cfg.OverloadControl = true
	h.o.runTimes["q"] = &RunTimeRegression{Queue: "q", Steps: 50, Declared: 1, Actual: 2, SumSquares: 30, SumProducts: 20}
	job := Job{ID: "j", Queue: "q", Policy: h.o.queues["q"], Steps: []Step{
		{Tasks: 10, Demand: types.Resources{MilliCPU: 1500}, RunTime: 3 * time.Second},
		{Tasks: 4, Demand: types.Resources{MilliCPU: 500}, RunTime: time.Second},
		{Tasks: 2, Demand: types.Resources{MilliCPU: 800}, After: []int{0, 1}, RunTime: 400 * time.Millisecond},
	}}
	h.submit("j", job.Steps...)
	queues, _ := h.o.Forecast(h.now)
	sub, _ := job.Submission()
	path, size := sub.Measure(queues[0].Line)
	oc := h.o.jobs["j"].occurrences[0]
	if want := oc.remainingWork(); size < 0.999*want || size > 1.001*want || (sub.Objective(path)-oc.objective).Abs() > time.Millisecond {
		t.Errorf("the entry expects %.1f processor seconds and an objective of %v, the owner %.1f and %v", size, sub.Objective(path), want, oc.objective)
	}
	for name, other := range map[string]Job{"standing": {Steps: []Step{{Tasks: 1, Standing: true}}}, "timed": {Occurrences: 2, Steps: job.Steps}} {
		if _, ok := other.Submission(); ok {
			t.Errorf("a %s job is subject to admission", name)
		}
	}
}

// Guards against a new owner that counts a queue as over its limit because it has not
// measured the throughput of filling work yet: it has read a late job only, and none that
// can be in time.
func TestUnmeasuredThroughputIsNoLimit(t *testing.T) {
	h, run := forecastHarness(t)
	step := Step{Tasks: 40, Demand: types.Resources{MilliCPU: harnessMilliCPU / 4}, RunTime: 2 * time.Second, Fills: true, Image: "calm"}
	job := Job{ID: "late", Queue: "q", Steps: []Step{step}, Accepted: h.now - 10*time.Second}
	if err := h.o.AddJob(h.now, h.now, job, JobRunning, 1, Progress{}, false); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		if q, over := run(time.Second); over {
			t.Fatalf("over its limit with one late job: %+v", q)
		}
	}
	if h.o.jobs["late"].outcome != "" || h.o.jobs["late"].live == 0 {
		t.Error("the late job does not run any more")
	}
	step.Tasks = 4
	h.submit("fresh", step)
	begin := h.now
	for h.o.jobs["fresh"].outcome == "" && h.now < begin+5*time.Second {
		h.step(100 * time.Millisecond)
	}
	if h.o.jobs["fresh"].outcome != JobCompleted {
		t.Error("a job that arrives meanwhile is not in time")
	}
}

// Guards against a queue that counts as over its limit while the processors are unused,
// because of a job that waits for something else: its task or gang has no room on any VM,
// or would disturb the standing task too much. Other jobs come every 10 s and start at
// once. With more of them than the VM can do, the queue is over its limit all the same.
func TestJobThatCannotRunIsNoLimit(t *testing.T) {
	huge := Step{Tasks: 1, Demand: types.Resources{MilliCPU: 1000, MemoryBytes: 2 * harnessMemory}, RunTime: 2 * time.Second, Fills: true, Image: "calm"}
	gang := huge
	gang.Tasks, gang.Gang, gang.Demand.MemoryBytes = 3, true, harnessMemory/2
	for name, waits := range map[string]Step{"huge": huge, "gang": gang, "harmful": fillingStep("press", 12)} {
		t.Run(name, func(t *testing.T) {
			h, run := forecastHarness(t)
			h.factors = map[string]float64{"press": 4}
			h.submit("standing", standingStep(1))
			h.step(100 * time.Millisecond)
			h.submit("waits", waits)
			small := Step{Tasks: 8, Demand: types.Resources{MilliCPU: 1000}, RunTime: 2 * time.Second, Fills: true, Image: "calm"}
			for i := range 6 {
				h.submit(types.JobID(fmt.Sprint("small", i)), small)
				for range 10 {
					if q, over := run(time.Second); over {
						t.Fatalf("over its limit with unused processors: %+v", q)
					}
				}
			}
			over := false
			for i := 0; i < 20 && !over; i++ {
				for k := range 4 {
					h.submit(types.JobID(fmt.Sprint("more", i, "-", k)), small)
				}
				_, over = run(time.Second)
			}
			if !over {
				t.Error("not over its limit with four times the work that can be done")
			}
		})
	}
}
