package workflow

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// quarantineHarness is a harness of three VMs. Small jobs on VM b have failed until
// its worker was quarantined; since then it is sound, and no job is left.
func quarantineHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 3, nil)
	h.labels = map[types.VMID][]string{"a": {"not-b"}, "b": {"only-b"}, "c": {"not-b"}}
	h.o.SetQueues(map[string]Queue{
		"q":   {Name: "q", Service: "svc", MaxAttempts: 8},
		"one": {Name: "one", Service: "svc", MaxAttempts: 1},
		"any": {Name: "any", Service: "svc"},
	})
	h.step(120 * time.Millisecond)
	for i := range 40 {
		if h.o.vms["b"].quarantined {
			break
		}
		h.submit(types.JobID(fmt.Sprintf("small%d", i)), Step{Tasks: 9, Demand: types.Resources{MilliCPU: 4000}, RunTime: 300 * time.Millisecond})
		for range 4 {
			h.step(120 * time.Millisecond)
			h.failAll("b")
		}
	}
	if !h.o.vms["b"].quarantined {
		t.Fatal("a worker that fails every task is not quarantined")
	}
	for _, j := range h.o.jobs {
		h.o.Cancel(h.now, j.spec.ID, 2)
	}
	for _, runs := range h.running {
		clear(runs)
	}
	h.overTarget(minProbeDelay + 500*time.Millisecond)
	if !h.o.vms["b"].quarantined || len(h.o.vms["b"].tasks) > 0 {
		t.Fatal("the worker is not quarantined and idle")
	}
	return h
}

// submitTo submits a job of one step to a queue.
func (h *harness) submitTo(queue string, id types.JobID, step Step) {
	h.t.Helper()
	job := Job{ID: id, Queue: queue, Steps: []Step{step}, Accepted: h.now}
	if err := h.o.AddJob(h.now, h.now, job, JobQueued, 1, Progress{}, true); err != nil {
		h.t.Fatal(err)
	}
}

func batchStep(tasks int) Step {
	return Step{Tasks: tasks, Demand: types.Resources{MilliCPU: 2000}, RunTime: 300 * time.Millisecond}
}

// Load: only work that does not usually probe waits for a quarantined worker. Guards
// against a sound worker that never returns to service (review/5).
func TestQuarantineEndsForEveryKindOfTask(t *testing.T) {
	gang := batchStep(3)
	gang.Gang = true
	for name, test := range map[string]struct {
		queue string
		step  Step
	}{
		"standing":             {"q", standingStep(1)},
		"gang":                 {"q", gang},
		"last attempt":         {"one", batchStep(1)},
		"no limit of attempts": {"any", batchStep(1)},
	} {
		t.Run(name, func(t *testing.T) {
			h := quarantineHarness(t)
			test.step.Label = "only-b"
			before := h.starts["b"]
			h.submitTo(test.queue, "j", test.step)
			h.overTarget(time.Second)
			if n := h.starts["b"] - before; n != test.step.Tasks {
				t.Fatalf("%d starts within 1 s on the only VM that may take the job, want %d", n, test.step.Tasks)
			}
			// Two probes end the quarantine; those of a standing task take 1 s each.
			h.submitTo(test.queue, "k", test.step)
			h.overTarget(2 * time.Second)
			if h.o.vms["b"].quarantined {
				t.Error("the worker is still quarantined after 3 s of sound work")
			}
		})
	}
}

// Guards against a quarantine that serves no purpose: work that other VMs take must
// not go to the quarantined worker, and a last attempt must not be risked there while
// others may take it later.
func TestQuarantinedWorkerIsTheLastResort(t *testing.T) {
	h := quarantineHarness(t)
	h.submitTo("q", "s", standingStep(2))
	h.overTarget(time.Second)
	if n := len(h.running["b"]); n != 0 {
		t.Errorf("%d standing tasks run on the quarantined worker although others have room", n)
	}
	full := batchStep(2)
	full.Demand.MilliCPU, full.RunTime, full.Label = harnessMilliCPU-6000, time.Minute, "not-b"
	h.submitTo("q", "full", full)
	h.overTarget(500 * time.Millisecond)
	if b := h.o.vms["b"]; !b.quarantined || !b.probeDue || len(b.tasks) > 0 {
		t.Fatal("the quarantined worker is not idle and due for a probe")
	}
	last := batchStep(1)
	last.Demand.MilliCPU = harnessMilliCPU
	before := h.starts["b"]
	h.submitTo("one", "last", last)
	h.overTarget(time.Second)
	if h.starts["b"] > before {
		t.Error("the last attempt of a task runs on the quarantined worker although other VMs may take it later")
	}
}

// Guards against a worker that returns to service while it still fails: a standing
// task that fails there is a failed probe.
func TestFailingProbeOfAStandingTask(t *testing.T) {
	h := quarantineHarness(t)
	step := standingStep(1)
	step.Label = "only-b"
	h.submitTo("q", "s", step)
	starts := h.starts["b"]
	for range 5 * 8 { // 5 s
		h.step(120 * time.Millisecond)
		if h.vmOf(TaskKey{Job: "s"}) == "b" {
			h.fail(TaskKey{Job: "s"})
		}
	}
	if !h.o.vms["b"].quarantined {
		t.Error("a worker that fails its probes has returned to service")
	}
	if n := h.starts["b"] - starts; n < 1 || n > 3 {
		t.Errorf("%d probes in 5 s, want 1 to 3 at growing intervals", n)
	}
}
