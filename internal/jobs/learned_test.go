package jobs

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Guards against learned estimates that the next owner reads back differently, and
// against writing the row again without a change.
func TestLearnedEstimatesAreStored(t *testing.T) {
	table := standin.NewTable()
	candidate := &Candidate{opts: CandidateOptions{Table: table}}
	newTerm := func() *term {
		return &term{c: candidate, log: telemetry.Discard(), ctx: t.Context()}
	}
	want := []workflow.InterferenceFactor{{Filling: "f", Standing: "s", Mean: 1.5, Variance: 0.1}}
	owner := workflow.New(workflow.Config{Epoch: 1}, 0)
	regressions := []workflow.RunTimeRegression{{Queue: "q", Steps: 12, Declared: 0.5, Actual: 1, SumSquares: 2, SumProducts: 0.4}}
	owner.SetLearned(0, workflow.Learned{Factors: want, RunTimes: regressions})
	former := newTerm()
	former.storeLearned(owner, time.Second)
	former.wg.Wait()
	first := revisionOf(t, table)
	former.storeLearned(owner, time.Second+learnedWriteInterval)
	former.wg.Wait()
	if again := revisionOf(t, table); again != first {
		t.Error("the row was written again without a change")
	}
	successor := workflow.New(workflow.Config{Epoch: 2}, 0)
	newTerm().loadLearned(t.Context(), successor)
	if got := successor.Learned(); len(got.Factors) != 1 || got.Factors[0] != want[0] || len(got.RunTimes) != 1 || got.RunTimes[0] != regressions[0] {
		t.Errorf("the next owner has %+v, want %+v and %+v", got, want, regressions)
	}
}

func revisionOf(t *testing.T, table platform.Table) uint64 {
	t.Helper()
	rows, err := table.Get(t.Context(), keyLearned)
	if err != nil {
		t.Fatal(err)
	}
	return rows[0].Revision
}
