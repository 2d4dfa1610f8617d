package quota

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

func cpu(m int64) types.Resources { return types.Resources{MilliCPU: m} }

// commit plans and writes a row that no other owner changes in between, and
// loads it.
func commit(h *Holder, row *Row) {
	next, changed := h.Plan(row)
	if changed {
		next.Revision++
	}
	*row = next
	h.Load(row)
}

// Guards against a share that stays idle at one owner while another owner's
// work waits for it.
func TestRebalanceOnRequest(t *testing.T) {
	row := Row{Team: "t", Total: cpu(10)}
	a, b := NewHolder("a"), NewHolder("b")
	if err := a.Reserve("a1", cpu(8)); !errors.Is(err, ErrExceeded) {
		t.Fatalf("start without a share: %v", err)
	}
	commit(a, &row)
	if err := a.Reserve("a1", cpu(8)); err != nil {
		t.Fatal(err)
	}
	a.Release("a1")
	_ = b.Reserve("b1", cpu(6))
	commit(b, &row) // takes the 2 left in the pool and asks for 4
	commit(a, &row) // returns 4
	_ = b.Reserve("b1", cpu(6))
	commit(b, &row)
	if err := b.Reserve("b1", cpu(6)); err != nil {
		t.Fatalf("after rebalancing: %v", err)
	}
	if got := a.Remaining(); got != cpu(4) {
		t.Errorf("a keeps %v, want 4m: it returns only what others are missing", got)
	}
}

// Guards against charges that keep growing after the operator lowered a quota.
func TestLoweredQuota(t *testing.T) {
	row := Row{Team: "t", Total: cpu(10)}
	a := NewHolder("a")
	_ = a.Reserve("a1", cpu(10))
	commit(a, &row)
	_ = a.Reserve("a1", cpu(4))
	row.Total = cpu(6)
	commit(a, &row)
	if got := a.Remaining(); got != cpu(2) {
		t.Fatalf("remaining %v, want 2m under the lowered quota", got)
	}
}

// Guards against a repeated start or end of a task being charged twice.
func TestRepeatsChargeOnce(t *testing.T) {
	row := Row{Team: "t", Total: cpu(10), Shares: []Share{{Shard: "a", Held: cpu(10)}}}
	a := NewHolder("a")
	a.Load(&row)
	for range 2 {
		if err := a.Reserve("x", cpu(7)); err != nil {
			t.Fatal(err)
		}
	}
	a.Release("x")
	if got := a.Release("x"); !got.IsZero() || a.Charged() != cpu(0) {
		t.Fatalf("second release returned %v, charged %v", got, a.Charged())
	}
}

// Guards against charges above the quota when writes race, get lost, or commit
// long after their answer was lost.
func TestPropertyChargesWithinQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.Int64Range(0, 50).Draw(rt, "quota")
		row := Row{Team: "t", Total: cpu(total), Revision: 1}
		owners := make([]*Holder, 4)
		var inFlight []Row
		for i := range owners {
			owners[i] = NewHolder(types.ShardID(fmt.Sprint(i)))
		}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			i := rapid.IntRange(0, 3).Draw(rt, "owner")
			h := owners[i]
			task := types.TaskID(fmt.Sprint(i, "/", rapid.IntRange(0, 5).Draw(rt, "task")))
			amount := cpu(rapid.Int64Range(0, 20).Draw(rt, "amount"))
			switch rapid.IntRange(0, 5).Draw(rt, "op") {
			case 0:
				_ = h.Reserve(task, amount)
			case 1:
				_ = h.Adjust(task, amount)
			case 2:
				h.Release(task)
			case 3:
				if next, changed := h.Plan(&row); changed {
					inFlight = append(inFlight, next)
				}
			case 4:
				h.Load(&row)
			case 5:
				if len(inFlight) > 0 {
					w := rapid.IntRange(0, len(inFlight)-1).Draw(rt, "write")
					if inFlight[w].Revision == row.Revision {
						row = inFlight[w]
						row.Revision++
					}
					inFlight = append(inFlight[:w], inFlight[w+1:]...)
				}
			}
			checkSum(rt, owners, total)
			if row.Pool().Negative() {
				rt.Fatalf("shares exceed the quota: %+v", row)
			}
		}
	})
}

// checkSum checks that each owner's charge equals the sum of its tasks, and
// that all charges together stay within the quota.
func checkSum(rt *rapid.T, owners []*Holder, total int64) {
	var sum types.Resources
	for _, h := range owners {
		var own types.Resources
		for _, c := range h.tasks {
			own = own.Add(c)
		}
		if own != h.charged {
			rt.Fatalf("charged %v, tasks sum to %v", h.charged, own)
		}
		sum = sum.Add(h.charged)
	}
	if sum.MilliCPU > total {
		rt.Fatalf("charges %d exceed the quota %d", sum.MilliCPU, total)
	}
}

// Guards against charging a share that a write still in flight reduces: the
// answer to the write was lost, and the row, read again, is unchanged.
func TestWriteCommitsAfterReadBack(t *testing.T) {
	row := Row{Team: "t", Total: cpu(10), Revision: 7, Shares: []Share{
		{Shard: "a", Held: cpu(10)}, {Shard: "b", Wanted: cpu(6)},
	}}
	a := NewHolder("a")
	a.Load(&row)
	next, _ := a.Plan(&row)
	a.Load(&row)
	if err := a.Reserve("x", cpu(8)); !errors.Is(err, ErrExceeded) {
		t.Fatalf("charged 8m of a share that may already be 4m: %v", err)
	}
	next.Revision++
	a.Load(&next)
	if got := a.Remaining(); got != cpu(4) {
		t.Fatalf("remaining %v after the commit, want 4m", got)
	}
}
