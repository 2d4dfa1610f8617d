package jobs

import (
	"context"
	"testing"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// scriptedTable answers commits in order and has one state row.
type scriptedTable struct {
	platform.Table
	commits []func() (platform.TxnResult, error)
}

func (s *scriptedTable) Commit(context.Context, platform.Txn) (platform.TxnResult, error) {
	next := s.commits[0]
	s.commits = s.commits[1:]
	return next()
}

// Guards against a job that an entry shows as queued for ever: the answer to its
// submission was lost, and the job was completed before the second attempt found
// its state. Seed 1 of the fault soak found it.
func TestSubmissionFindsLaterState(t *testing.T) {
	completed := platform.Row{Key: stateKey("j"), Value: encode(stateRow{Queue: "q", State: workflow.JobCompleted}), Revision: 9}
	table := &scriptedTable{commits: []func() (platform.TxnResult, error){
		func() (platform.TxnResult, error) { return platform.TxnResult{}, platform.ErrUncertain },
		func() (platform.TxnResult, error) {
			return platform.TxnResult{Revision: 9, Rows: []platform.Row{completed}}, nil
		},
	}}
	in := NewIntake(table, telemetry.Discard(), nil)
	if err := in.Submit(t.Context(), &workflow.Job{ID: "j", Queue: "q"}, 1); err != nil {
		t.Fatal(err)
	}
	in.apply([]platform.ChangedRow{{Row: completed}})
	state, err := in.State(t.Context(), "j")
	if err != nil || state != workflow.JobCompleted {
		t.Errorf("state %q, %v; want %q", state, err, workflow.JobCompleted)
	}
}

// Guards against a refusal that is not true: only an attempt that surely did
// nothing, with none before it whose answer was lost, refuses a job.
func TestRefusalOnlyWhenNothingWasDone(t *testing.T) {
	refuse := func() (platform.TxnResult, error) { return platform.TxnResult{}, platform.ErrUnavailable }
	in := NewIntake(&scriptedTable{commits: []func() (platform.TxnResult, error){refuse}}, telemetry.Discard(), nil)
	if err := in.Submit(t.Context(), &workflow.Job{ID: "j", Queue: "q"}, 1); apperr.KindOf(err) != apperr.KindUnavailable {
		t.Errorf("refused at once: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	lose := func() (platform.TxnResult, error) { return platform.TxnResult{}, platform.ErrUncertain }
	last := func() (platform.TxnResult, error) {
		cancel()
		return platform.TxnResult{}, platform.ErrUnavailable
	}
	in = NewIntake(&scriptedTable{commits: []func() (platform.TxnResult, error){lose, last}}, telemetry.Discard(), nil)
	if err := in.Submit(ctx, &workflow.Job{ID: "k", Queue: "q"}, 1); apperr.KindOf(err) != apperr.KindUncertain {
		t.Errorf("refused after a lost answer: %v", err)
	}
}

// silentTable takes calls and does not answer; a call fails the test.
type silentTable struct {
	platform.Table
	t *testing.T
}

func (s *silentTable) Silent() bool { return true }

func (s *silentTable) Commit(context.Context, platform.Txn) (platform.TxnResult, error) {
	s.t.Error("a submission was sent into the outage")
	return platform.TxnResult{}, platform.ErrUncertain
}

// Guards against submissions that are sent into an outage and end without anybody
// knowing what became of them: callers cannot repeat those. 72 of 942 jobs of the
// recorded day inc-982c were lost so.
func TestSubmissionIsRefusedWhileTableIsSilent(t *testing.T) {
	in := NewIntake(&silentTable{t: t}, telemetry.Discard(), nil)
	err := in.Submit(t.Context(), &workflow.Job{ID: "j", Queue: "q"}, 1)
	if apperr.KindOf(err) != apperr.KindUnavailable || apperr.From(err).RetryAfter == 0 {
		t.Errorf("got %v, want a refusal with a time to return", err)
	}
}
