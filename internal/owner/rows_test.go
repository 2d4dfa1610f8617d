package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

func ended(n, tasks int) []finishedRow {
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

// Guards against rows that are deleted before the retention period is over, or
// never.
func TestFinishedRowsExpire(t *testing.T) {
	var u upkeep
	if got := u.expired(time.Hour, ended(2, 1)); len(got) != 0 {
		t.Fatalf("%d rows expired at once", len(got))
	}
	if got := u.expired(time.Hour+Retention-1, ended(3, 1)); len(got) != 0 {
		t.Fatalf("%d rows expired early", len(got))
	}
	if got := u.expired(time.Hour+Retention, ended(3, 1)); len(got) != 2 {
		t.Fatalf("%d rows expired, want the first two", len(got))
	}
}

// Guards against deletions that leave rows behind, exceed the bound of one
// transaction, or never get to a job larger than it.
func TestDeletionIsBounded(t *testing.T) {
	txn := deletion("s", 3, ended(40, 2))
	if len(txn.Writes) != deleteRows || len(txn.Conditions) != deleteRows/4+1 {
		t.Fatalf("%d writes, %d conditions", len(txn.Writes), len(txn.Conditions))
	}
	for _, w := range txn.Writes {
		if !w.Delete {
			t.Fatalf("row %q is not deleted", w.Key)
		}
	}
	if txn := deletion("s", 3, ended(2, 100)); len(txn.Writes) != 102 {
		t.Fatalf("%d writes for a job of 100 tasks", len(txn.Writes))
	}
}
