package jobs

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// storeLimits are those of the users' platform.
var storeLimits = platform.Limits{ValueBytes: 64 << 10, TxnEntries: 100, TxnBytes: 1_000_000}

func limitedTerm(limits platform.Limits) *term {
	return &term{
		c: &Candidate{opts: CandidateOptions{Limits: limits}}, log: telemetry.Discard(), epoch: 1,
		fences: make(map[string]uint64), progressRows: make(progressRowCounts),
	}
}

// progressOf returns the progress of a job of one step with n tasks that have a
// checkpoint of the given size.
func progressOf(n, size int) *workflow.Progress {
	checkpoints := make(map[int]string, n)
	for i := range n {
		checkpoints[i] = fmt.Sprintf("%0*d", size, i)
	}
	step := workflow.StepProgress{Checkpoints: checkpoints, Failures: map[int]workflow.Failures{0: {7, 9}}}
	return &workflow.Progress{Occurrences: []workflow.OccurrenceProgress{{Steps: []workflow.StepProgress{step}}}}
}

// checkLimits fails the test if a transaction would be refused for its size.
func checkLimits(t *testing.T, p *batchPart) {
	t.Helper()
	var size txnSize
	size.add(p.txn)
	if size.entries > storeLimits.TxnEntries || size.bytes > storeLimits.TxnBytes {
		t.Errorf("the transaction has %d entries and %d bytes", size.entries, size.bytes)
	}
	for _, w := range p.txn.Writes {
		if len(w.Value) > storeLimits.ValueBytes {
			t.Errorf("the value of %s has %d bytes", w.Key, len(w.Value))
		}
	}
}

// writtenRows returns the rows of progress that a transaction leaves.
func writtenRows(rows map[string][]byte, txn platform.Txn) []platform.Row {
	for _, w := range txn.Writes {
		if !strings.HasPrefix(w.Key, prefixProgress) {
			continue
		}
		if w.Delete {
			delete(rows, w.Key)
		} else {
			rows[w.Key] = w.Value
		}
	}
	var out []platform.Row
	for key, value := range rows {
		out = append(out, platform.Row{Key: key, Value: value})
	}
	return out
}

// Load: a job of 4,000 tasks with checkpoints. Guards against a progress that the
// table refuses for its size, which stopped the progress of all jobs (review/2), and
// against rows that are left when the progress shrinks or the job is deleted.
func TestLargeProgressTakesSeveralRows(t *testing.T) {
	term := limitedTerm(storeLimits)
	rows := make(map[string][]byte)
	for _, c := range []struct {
		name   string
		change workflow.Change
		rows   int
	}{
		{"4,000 tasks", workflow.Change{Job: "j", Progress: progressOf(4000, 16)}, 3},
		{"state only", workflow.Change{Job: "j", State: workflow.JobRunning}, 3},
		{"fewer tasks", workflow.Change{Job: "j", Progress: progressOf(2800, 16)}, 2},
		{"few tasks", workflow.Change{Job: "j", Progress: progressOf(100, 16)}, 1},
		{"16,384 tasks", workflow.Change{Job: "j", Progress: progressOf(16384, 16)}, 9},
		{"deleted", workflow.Change{Job: "j", State: workflow.JobCompleted, Deletable: true}, 0},
	} {
		var want workflow.Progress
		if c.change.Progress != nil {
			want = *c.change.Progress
		}
		b := &workflow.Batch{Changes: []workflow.Change{c.change}}
		parts := term.batchParts(b)
		checkLimits(t, parts[0])
		stored := writtenRows(rows, parts[0].txn)
		if len(stored) != c.rows {
			t.Errorf("%s: %d rows of progress, want %d", c.name, len(stored), c.rows)
		}
		term.progressRows.record(&b.Changes[0], parts[0].progressRows[0])
		if c.change.Progress == nil {
			continue
		}
		values, counts := joinProgress(stored)
		got, err := workflow.DecodeProgress(values["j"])
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: the progress that the next owner reads differs: %v", c.name, err)
		}
		if counts["j"] != term.progressRows["j"] {
			t.Errorf("%s: the next owner counts %d rows, this one %d", c.name, counts["j"], term.progressRows["j"])
		}
	}
}

// Load: many changes of large jobs in one partition at once. Guards against a
// transaction above the limits, and against a change that is never written.
func TestBatchFitsIntoTheTransactions(t *testing.T) {
	term := limitedTerm(storeLimits)
	b := &workflow.Batch{}
	for i := 0; len(b.Changes) < maxChanges; i++ {
		id := types.JobID(fmt.Sprintf("%016x", i))
		if partition(id) != "0" {
			continue
		}
		b.Expired = append(b.Expired, id+"e")
		b.Changes = append(b.Changes, workflow.Change{Job: id, State: workflow.JobRunning, Progress: progressOf(4000, 16)})
	}
	for round := 0; len(b.Changes) > 0; round++ {
		if round == maxChanges {
			t.Fatalf("%d changes are not written after %d batches", len(b.Changes), round)
		}
		written := make(map[int]bool)
		for _, p := range term.batchParts(b) {
			checkLimits(t, p)
			for _, i := range p.changes {
				written[i] = true
			}
		}
		var rest []workflow.Change
		for i := range b.Changes {
			if !written[i] {
				rest = append(rest, b.Changes[i])
			}
		}
		b.Changes, b.Expired = rest, nil
	}
}

// Guards against a job whose progress exceeds what one transaction takes: it must
// lose checkpoints, not stop the progress of all jobs.
func TestOversizedProgressLosesCheckpoints(t *testing.T) {
	term := limitedTerm(storeLimits)
	b := &workflow.Batch{Changes: []workflow.Change{{Job: "j", State: workflow.JobRunning, Progress: progressOf(4000, 1000)}}}
	parts := term.batchParts(b)
	if len(parts[0].changes) != 1 {
		t.Fatal("the change is left out")
	}
	checkLimits(t, parts[0])
	values, _ := joinProgress(writtenRows(make(map[string][]byte), parts[0].txn))
	p, err := workflow.DecodeProgress(values["j"])
	if err != nil {
		t.Fatal(err)
	}
	step := p.Occurrences[0].Steps[0]
	if n := len(step.Checkpoints); n < 500 || n >= 4000 || len(step.Failures[0]) != 2 {
		t.Errorf("%d checkpoints and %d failed runs are stored, want as many checkpoints as fit and both failed runs", n, len(step.Failures[0]))
	}
}

// Load: a job with 10,000 occurrences. Guards against a progress that grows with each
// finished occurrence.
func TestFinishedOccurrencesTakeNoSpace(t *testing.T) {
	term := limitedTerm(storeLimits)
	p := &workflow.Progress{}
	for i := range 9990 {
		p.Occurrences = append(p.Occurrences, workflow.OccurrenceProgress{Number: i, Finished: true})
	}
	p.Occurrences = append(p.Occurrences, workflow.OccurrenceProgress{Number: 9991, Finished: true})
	want := *p
	parts := term.batchParts(&workflow.Batch{Changes: []workflow.Change{{Job: "j", Progress: p}}})
	checkLimits(t, parts[0])
	if parts[0].size.bytes > 2000 {
		t.Errorf("the transaction has %d bytes", parts[0].size.bytes)
	}
	values, _ := joinProgress(writtenRows(make(map[string][]byte), parts[0].txn))
	if got, err := workflow.DecodeProgress(values["j"]); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the progress that the next owner reads differs: %v", err)
	}
}

// Guards against learned estimates that the table refuses: callers choose the names
// in them.
func TestLearnedEstimatesFitIntoARow(t *testing.T) {
	var l workflow.Learned
	for i := range 40 {
		l.Factors = append(l.Factors, workflow.InterferenceFactor{Filling: strings.Repeat("x", 3000+i)})
	}
	value, err := encodeLearned(l, storeLimits.ValueBytes)
	if err != nil || len(value) > storeLimits.ValueBytes || len(value) < 1000 {
		t.Errorf("%d bytes, error %v", len(value), err)
	}
}

// Guards against a job that is accepted but cannot be stored, and against one that is
// refused only after its callers have waited for the table.
func TestJobAboveTheRowLimitIsRefused(t *testing.T) {
	// In the bubble, only waits take time, however busy the machine is.
	synctest.Test(t, func(t *testing.T) {
		in := NewIntake(&silentTable{t: t}, platform.Limits{ValueBytes: 1000}, telemetry.Discard(), nil)
		begin := time.Now()
		err := in.Submit(t.Context(), &workflow.Job{ID: "j", Queue: "q", Payload: strings.Repeat("x", 1000)}, 1)
		if err == nil || !strings.Contains(err.Error(), "split it") || time.Since(begin) > 0 {
			t.Errorf("error %v after %v, want one that names the remedy at once", err, time.Since(begin))
		}
	})
}
