package jobs

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Load: an entry that has not owned the jobs has seen thousands of cancellations.
// Guards against cancellations that are lost when it takes over: those that are stored
// after the new term has read the states and before its core runs were dropped, and
// the tasks ran on (review/3).
func TestCancellationsDuringATakeover(t *testing.T) {
	system := actors.NewSystem()
	defer system.Shutdown()
	c := NewCandidate(CandidateOptions{
		System: system, Telemetry: &telemetry.Telemetry{Log: telemetry.Discard()},
		Queues: func() (map[string]workflow.Queue, bool) { return nil, false },
	})
	for i := range 5000 {
		c.NotifyCancelled(types.JobID(fmt.Sprintf("early%d", i)), 1)
	}
	term := &term{c: c, log: telemetry.Discard(), epoch: 1, metrics: newTermMetrics(tally.NoopScope)}
	term.ctx, term.end = context.WithCancel(t.Context())
	c.cancellations.setOpen(true) // as run does before it reads the states
	core := workflow.New(workflow.Config{Epoch: 1, MaxChanges: maxChanges}, clock.Now())
	const jobs = 2000
	for i := range jobs {
		id := types.JobID(fmt.Sprintf("late%d", i))
		job := workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{{Tasks: 1, Standing: true}}}
		if err := core.AddJob(clock.Now(), 0, job, workflow.JobRunning, 1, workflow.Progress{}, true); err != nil {
			t.Fatal(err)
		}
		c.NotifyCancelled(id, 2)
	}
	if err := term.spawn(core); err != nil {
		t.Fatal(err)
	}
	// Without a confirmed ownership the term writes nothing to a table.
	done := make(chan struct{})
	go func() {
		defer close(done)
		term.runCore(term.ctx)
	}()
	cancelled := 0
	for end := time.Now().Add(5 * time.Second); cancelled < jobs && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		// The only changes are the deletions of the rows of cancelled jobs. No earlier
		// owner has seen these jobs, so that the deletions wait for no worker's list.
		err := term.coreActor.Do(func(o *workflow.Owner) {
			for b := o.Batch(clock.Now()); b != nil; b = o.Batch(clock.Now()) {
				cancelled += len(b.Changes)
				o.ApplyCommit(clock.Now(), b, slices.Repeat([]uint64{3}, len(b.Changes)), nil)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	term.end()
	<-done
	term.finish()
	if cancelled != jobs {
		t.Errorf("the owner knows %d of %d cancellations", cancelled, jobs)
	}
}
