package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

func finishedRows(n, tasks int) []finishedRow {
	var rows []finishedRow
	for i := range n {
		id := types.JobID(fmt.Sprint("j", i))
		rows = append(rows, finishedRow{
			row: task.JobRow{Job: types.Job{ID: id, Tasks: tasks}, Finished: true},
			key: task.JobKey("s", id), revision: 7,
		})
	}
	return rows
}

// Guards against rows that are deleted before the retention period has ended, or
// never.
func TestFinishedRowsExpire(t *testing.T) {
	var u rowMaintenance
	if got := u.expired(time.Hour, finishedRows(2, 1)); len(got) != 0 {
		t.Fatalf("%d rows expired on the first scan, want none", len(got))
	}
	if got := u.expired(time.Hour+Retention-1, finishedRows(3, 1)); len(got) != 0 {
		t.Fatalf("%d rows expired before the end of the retention period", len(got))
	}
	if got := u.expired(time.Hour+Retention, finishedRows(3, 1)); len(got) != 2 {
		t.Fatalf("%d rows expired, want the first two", len(got))
	}
}

// Guards against deletions that leave rows behind, exceed the limit of one
// transaction, or never delete a job with more rows than that limit.
func TestDeletionIsBounded(t *testing.T) {
	txn := deletionTxn("s", 3, finishedRows(40, 2))
	if len(txn.Writes) != maxDeleteRows || len(txn.Conditions) != maxDeleteRows/4+1 {
		t.Fatalf("%d writes and %d conditions for 40 jobs of 2 tasks, want maxDeleteRows writes and maxDeleteRows/4+1 conditions", len(txn.Writes), len(txn.Conditions))
	}
	for _, w := range txn.Writes {
		if !w.Delete {
			t.Fatalf("row %q is not deleted", w.Key)
		}
	}
	if txn := deletionTxn("s", 3, finishedRows(2, 100)); len(txn.Writes) != 102 {
		t.Fatalf("%d writes for a job of 100 tasks, want 102", len(txn.Writes))
	}
}
