package workflow

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Load: all processes and workers lose power at once. Guards against tasks that
// restart from nothing because the checkpoints of running tasks were only in
// the owner's memory: 1,578 runs were lost this way at a large site.
func TestCheckpointsSurviveLossOfOwnerAndWorkers(t *testing.T) {
	h := newHarness(t, 1, nil)
	job := Job{ID: "j", Queue: "q", Steps: []Step{fillingStep("f", 3)}, Accepted: h.now}
	if err := h.o.AddJob(h.now, h.now, job, JobQueued, 1, Progress{}, true); err != nil {
		t.Fatal(err)
	}
	h.step(120 * time.Millisecond)
	h.step(120 * time.Millisecond)
	first := TaskKey{Job: "j"}
	h.running["a"][first].worked = time.Minute // ends in the next report
	h.seq++
	r := h.report("a", 0)
	for i := range r.Running {
		r.Running[i].Checkpoint = "saved"
	}
	h.o.Report(h.now, r)
	batch := h.o.Batch(h.now)
	if batch == nil || len(batch.Changes) != 1 || batch.Changes[0].Progress == nil {
		t.Fatalf("batch %+v, want one change with the progress of the job", batch)
	}

	next := newHarness(t, 1, nil)
	// fresh, so that the job starts without waiting for the takeover
	if err := next.o.AddJob(next.now, next.now, job, JobRunning, 2, *batch.Changes[0].Progress, true); err != nil {
		t.Fatal(err)
	}
	next.seq++
	next.o.Report(next.now, next.report("a", 0))
	starts := make(map[types.JobID]int)
	for _, order := range next.o.Poll(next.now, next.now).Orders {
		starts[order.Task.Job]++
		if order.Checkpoint != "saved" {
			t.Errorf("task %s starts with checkpoint %q, want the stored one", order.Task, order.Checkpoint)
		}
	}
	if starts["j"] != 2 {
		t.Errorf("%d tasks start, want the two unfinished ones", starts["j"])
	}
}
