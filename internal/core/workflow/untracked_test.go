package workflow

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Load: a job is cancelled while the owner changes, and the VMs are full of its runs.
// Guards against tasks that the new owner starts in the capacity of these runs before
// they have stopped (LIMIT of the earlier review), also if a VM lists them after all
// others have reported.
func TestRunsOfCancelledJobsCountUntilTheyAreGone(t *testing.T) {
	h := newHarness(t, 2, nil)
	const tasks = 4
	step := Step{Tasks: 2 * tasks, Demand: types.Resources{MilliCPU: harnessMilliCPU / tasks}, RunTime: time.Minute}
	cancelled := Job{ID: "old", Queue: "q", Steps: []Step{step}, Accepted: h.now}
	for _, vm := range h.vms {
		h.o.AddVM(h.now, vm)
	}
	if err := h.o.AddJob(h.now, h.now, cancelled, JobCancelled, 2, Progress{}, false); err != nil {
		t.Fatal(err)
	}
	h.submit("new", step)
	for i := range tasks {
		h.running["b"][TaskKey{Job: "old", Index: i}] = &harnessRun{spec: &cancelled.Steps[0], run: 1, pace: fullPace, begun: h.now}
	}
	h.now += 120 * time.Millisecond
	h.seq++
	h.o.Report(h.now, h.report("a", 0))
	h.o.Grant("a")
	h.o.Poll(h.now, h.now)
	if b := h.o.Batch(h.now); b != nil {
		for _, c := range b.Changes {
			if c.Deletable {
				t.Errorf("the rows of job %s are deleted before all VMs have listed their runs", c.Job)
			}
		}
	}
	h.step(120 * time.Millisecond) // lists the runs on VM b, and stops them
	if n := h.starts["b"]; n != 0 {
		t.Errorf("%d starts in the capacity of listed runs of a cancelled job, want 0", n)
	}
	for range 5 {
		h.step(120 * time.Millisecond)
	}
	if n := h.starts["b"]; n != tasks {
		t.Errorf("%d starts after the runs have stopped, want %d", n, tasks)
	}
	deleted := false
	if b := h.o.Batch(h.now); b != nil {
		for _, c := range b.Changes {
			deleted = deleted || c.Job == "old" && c.Deletable
		}
	}
	if !deleted {
		t.Error("the rows of the cancelled job are not deleted after its runs have stopped")
	}
}
