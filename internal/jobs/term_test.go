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

// Guards against an entry that crashes when a term ends ("WaitGroup is reused
// before previous Wait has returned"): its core acted on the last answers while
// the term waited for its calls. Seen once in CI, in the stop of an owner.
func TestTermEndsWhileItsCoreActs(t *testing.T) {
	system := actors.NewSystem()
	defer system.Shutdown()
	for epoch := range 300 {
		term := &term{c: &Candidate{opts: OwnerOptions{System: system}}, epoch: types.Epoch(epoch)}
		term.ctx, term.end = context.WithCancel(t.Context())
		if err := term.spawn(workflow.New(workflow.Config{Epoch: 1}, 0)); err != nil {
			t.Fatal(err)
		}
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for range 200 {
				term.state.Tell(func(*workflow.Owner) {
					term.wg.Add(1)
					go term.wg.Done()
				})
			}
		}()
		term.finish()
		<-sent
	}
}

// Guards against one unexpected error in the owner's core that ends the entry: what
// broke it may be in a row, and would end each entry that takes the jobs over.
func TestBrokenCoreEndsOnlyItsTerm(t *testing.T) {
	system := actors.NewSystem()
	defer system.Shutdown()
	term := &term{c: &Candidate{opts: OwnerOptions{System: system}}, log: telemetry.Discard(), epoch: 1}
	term.ctx, term.end = context.WithCancel(t.Context())
	if err := term.spawn(workflow.New(workflow.Config{Epoch: 1}, 0)); err != nil {
		t.Fatal(err)
	}
	term.state.Tell(func(*workflow.Owner) { panic("broken by a row") })
	select {
	case <-term.ctx.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the term goes on after its core has panicked")
	}
	term.finish()
	if !term.panicked.Load() {
		t.Error("the term does not count as broken")
	}
}
