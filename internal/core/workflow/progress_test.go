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
	b := newHarness(t, 1, nil)
	job := Job{ID: "j", Queue: "q", Steps: []Step{fillingStep("f", 3)}, Accepted: b.now}
	if err := b.o.AddJob(b.now, b.now, job, JobQueued, 1, Progress{}, true); err != nil {
		t.Fatal(err)
	}
	b.step(120 * time.Millisecond)
	b.step(120 * time.Millisecond)
	first := TaskKey{Job: "j"}
	b.running["a"][first].worked = time.Minute // ends in the next report
	b.seq++
	r := b.report("a", 0)
	for i := range r.Running {
		r.Running[i].Checkpoint = "saved"
	}
	b.o.Report(b.now, r)
	batch := b.o.Batch(b.now)
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
