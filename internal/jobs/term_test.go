package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Guards against an entry that crashes when a term ends ("WaitGroup is reused before
// previous Wait has returned"): the core handled late answers and started new calls
// while the term was in WaitGroup.Wait.
func TestTermEndsWhileItsCoreStartsCalls(t *testing.T) {
	system := actors.NewSystem()
	defer system.Shutdown()
	for epoch := range 300 {
		term := &term{c: &Candidate{opts: CandidateOptions{System: system}}, epoch: types.Epoch(epoch)}
		term.ctx, term.end = context.WithCancel(t.Context())
		if err := term.spawn(workflow.New(workflow.Config{Epoch: 1}, 0)); err != nil {
			t.Fatal(err)
		}
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for range 200 {
				term.coreActor.Enqueue(func(*workflow.Owner) {
					term.wg.Add(1)
					go term.wg.Done()
				})
			}
		}()
		term.finish()
		<-sent
	}
}

// Guards against a panic in the owner's core that ends the whole entry: if a row is
// the cause, it would end every entry that takes over the jobs.
func TestCorePanicEndsOnlyTheTerm(t *testing.T) {
	system := actors.NewSystem()
	defer system.Shutdown()
	term := &term{c: &Candidate{opts: CandidateOptions{System: system}}, log: telemetry.Discard(), epoch: 1}
	term.ctx, term.end = context.WithCancel(t.Context())
	if err := term.spawn(workflow.New(workflow.Config{Epoch: 1}, 0)); err != nil {
		t.Fatal(err)
	}
	term.coreActor.Enqueue(func(*workflow.Owner) { panic("caused by a row") })
	select {
	case <-term.ctx.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the term continues after its core has panicked")
	}
	term.finish()
	if !term.panicked.Load() {
		t.Error("the term is not marked as panicked")
	}
}
