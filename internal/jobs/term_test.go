package jobs

import (
	"context"
	"testing"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
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
		told := make(chan struct{})
		go func() {
			defer close(told)
			for range 200 {
				term.state.Tell(func(*workflow.Owner) {
					term.wg.Add(1)
					go term.wg.Done()
				})
			}
		}()
		term.finish()
		<-told
	}
}
