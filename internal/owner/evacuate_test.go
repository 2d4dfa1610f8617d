package owner

import (
	"context"
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
)

// moveFixture returns a table with the rows of a job of two tasks in shard a, of
// which the first has a row, and the move of the job.
func moveFixture(t *testing.T) (*standin.Table, uint64, shard.Move) {
	t.Helper()
	table := standin.NewTable()
	job := types.Job{ID: "j", Tasks: 2}
	keys := []string{lease.FenceKey("a"), task.IndexKey("j"), task.JobKey("a", "j"), task.Key("a", "j/0")}
	var txn platform.Txn
	for _, key := range keys {
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: []byte("a")})
	}
	// A row of an earlier stay of the job in shard b.
	txn.Writes = append(txn.Writes, platform.Write{Key: task.Key("b", "j/1"), Value: []byte("old")})
	result, err := table.Commit(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	r := result.Revision
	return table, r, shard.Move{
		Job:    job,
		JobRow: shard.TableRow{Key: keys[2], Value: []byte("moved"), Revision: r},
		TaskRows: []shard.TableRow{
			{Key: keys[3], Value: []byte("task"), Revision: r},
			{Key: task.Key("a", "j/1")},
		},
	}
}

// rowsOf returns the values of all rows that belong to the job, by key.
func rowsOf(t *testing.T, table *standin.Table) string {
	t.Helper()
	var out []string
	for _, prefix := range []string{"jobindex/", "jobs/", "tasks/"} {
		rows, err := table.Scan(context.Background(), prefix, "", 100)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range rows {
			out = append(out, r.Key+"="+string(r.Value))
		}
	}
	return strings.Join(out, " ")
}

// Guards against a move that leaves rows in the old shard, keeps outdated rows in
// the new one, or is executed twice if its answer was lost.
func TestMoveIsAtomicAndOnce(t *testing.T) {
	table, fence, m := moveFixture(t)
	txn := moveTxn("a", "b", fence, m)
	result, err := table.Commit(t.Context(), txn)
	if err != nil || !result.Committed {
		t.Fatalf("move: %+v, %v", result, err)
	}
	want := "jobindex/j=b jobs/b/j=moved tasks/b/j/0=task"
	if got := rowsOf(t, table); got != want {
		t.Fatalf("rows after the move: %s, want %s", got, want)
	}
	result, err = table.Commit(t.Context(), txn)
	if err != nil || result.Committed || result.Rows[1].Revision != 0 {
		t.Fatalf("repeated move: %+v, %v; want a conflict that shows that the job's row is gone", result, err)
	}
}

// Guards against a move that overwrites a cancellation, a takeover or a placement
// that the table got in the meantime.
func TestMoveConflicts(t *testing.T) {
	changes := map[string]string{
		"cancelled by an operator": task.JobKey("a", "j"),
		"another owner took over":  lease.FenceKey("a"),
		"a late batch placed it":   task.Key("a", "j/1"),
	}
	for name, key := range changes {
		table, fence, m := moveFixture(t)
		if _, err := table.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte("new")}}}); err != nil {
			t.Fatal(err)
		}
		before := rowsOf(t, table)
		result, err := table.Commit(t.Context(), moveTxn("a", "b", fence, m))
		if err != nil || result.Committed || rowsOf(t, table) != before {
			t.Errorf("%s: %+v, %v; want a conflict without a change", name, result, err)
		}
		if n := len(result.Rows); n != 5 || result.Rows[1].Revision == 0 {
			t.Errorf("%s: %d rows returned, want the fence row, the job's row, the lease row and two task rows", name, n)
		}
	}
}
