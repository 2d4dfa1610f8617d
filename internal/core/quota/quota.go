// Package quota splits each team's quota into shares held by shard owners.
//
// A team has one table row. A shard's owner changes only the shard's own entry
// in it, by compare-and-set: it takes from the amount that no shard holds, and
// returns unused amounts when other shards need more. An owner lowers its local
// limit before it writes a smaller share and raises it only after a larger
// share is committed. Therefore the sum of charges stays within the sum of
// shares, which stays within the quota, even if writes are lost or repeated.
//
// A quota limits what a team's tasks reserve at one time.
package quota

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Errors of a Holder, to be compared with errors.Is.
var (
	// ErrExceeded: the amount exceeds the rest of the share; nothing changed.
	ErrExceeded = errors.New("team quota share is exhausted")
	// ErrNotCharged: the task has no charge.
	ErrNotCharged = errors.New("task has no quota charge")
	// ErrNegative: the amount is negative.
	ErrNegative = errors.New("quota charge is negative")
)

// Row is the value of a team's table row.
type Row struct {
	Team types.TeamID
	// Revision is the table's revision of the row, set by the reader.
	Revision uint64
	Total    types.Resources
	// Shares is sorted by shard.
	Shares []Share
}

// Share is a shard's part of a team's quota.
type Share struct {
	Shard types.ShardID
	Held  types.Resources
	// Wanted is the amount that the shard was missing when it last wrote.
	Wanted types.Resources
}

// Pool returns the amount that no shard holds. After the quota was lowered,
// amounts may be negative until shards have returned enough.
func (r *Row) Pool() types.Resources {
	left := r.Total
	for i := range r.Shares {
		left = left.Sub(r.Shares[i].Held)
	}
	return left
}

// Get returns the share of a shard; a shard not in the row holds nothing.
func (r *Row) Get(shard types.ShardID) Share {
	if i, ok := r.find(shard); ok {
		return r.Shares[i]
	}
	return Share{Shard: shard}
}

func (r *Row) find(shard types.ShardID) (int, bool) {
	return slices.BinarySearchFunc(r.Shares, shard, func(s Share, id types.ShardID) int {
		return cmp.Compare(s.Shard, id)
	})
}

// withShare returns a copy of the row with one share replaced.
func (r *Row) withShare(s Share) Row {
	out := Row{Team: r.Team, Revision: r.Revision, Total: r.Total, Shares: slices.Clone(r.Shares)}
	i, ok := out.find(s.Shard)
	if ok {
		out.Shares[i] = s
		return out
	}
	out.Shares = slices.Insert(out.Shares, i, s)
	return out
}

// wantedByOthers returns the sum of the amounts that other shards are missing.
func (r *Row) wantedByOthers(shard types.ShardID) types.Resources {
	var sum types.Resources
	for i := range r.Shares {
		if r.Shares[i].Shard != shard {
			sum = sum.Add(r.Shares[i].Wanted)
		}
	}
	return sum
}

// Holder tracks the charges of one shard against its share of a team's quota.
type Holder struct {
	shard types.ShardID
	// limit is the part of the quota that may be charged now.
	limit   types.Resources
	charged types.Resources
	tasks   map[types.TaskID]types.Resources
	// refused is the largest refused amount of each resource since the last
	// Plan.
	refused types.Resources
	// planned is the smallest share in the writes made against planRevision.
	// Any of these writes may still commit while the row is at that revision.
	planned      types.Resources
	planRevision uint64
	writePending bool
}

// NewHolder returns a holder with an empty share.
func NewHolder(shard types.ShardID) *Holder {
	return &Holder{shard: shard, tasks: make(map[types.TaskID]types.Resources)}
}

// Remaining returns the part of the share that is not charged, never negative.
func (h *Holder) Remaining() types.Resources {
	return h.limit.Sub(h.charged).Max(types.Resources{})
}

// Charged returns the sum of charges.
func (h *Holder) Charged() types.Resources {
	return h.charged
}

// Reserve charges a task that is about to start. If the share is too small, it
// returns ErrExceeded, and the next Plan requests the largest amount of each
// resource refused since the previous one. A repeat with the same task changes
// nothing.
func (h *Holder) Reserve(task types.TaskID, amount types.Resources) error {
	if amount.Negative() {
		return fmt.Errorf("%w: task %s", ErrNegative, task)
	}
	if _, ok := h.tasks[task]; ok {
		return nil
	}
	if !amount.Fits(h.Remaining()) {
		h.refused = h.refused.Max(amount)
		return fmt.Errorf("%w: task %s", ErrExceeded, task)
	}
	h.setCharge(task, amount)
	return nil
}

// Adopt charges a task that already runs, without a check. A new owner uses it
// to rebuild the charges of tasks that its predecessor had charged.
func (h *Holder) Adopt(task types.TaskID, amount types.Resources) {
	h.setCharge(task, amount)
}

// Adjust changes the charge of a running task. Growth beyond the share returns
// ErrExceeded; the caller then throttles or evicts the task, or waits for the
// next Plan.
func (h *Holder) Adjust(task types.TaskID, amount types.Resources) error {
	old, ok := h.tasks[task]
	if !ok {
		return fmt.Errorf("%w: %s", ErrNotCharged, task)
	}
	if amount.Negative() {
		return fmt.Errorf("%w: task %s", ErrNegative, task)
	}
	grow := amount.Sub(old).Max(types.Resources{})
	if !grow.Fits(h.Remaining()) {
		h.refused = h.refused.Max(grow)
		return fmt.Errorf("%w: task %s", ErrExceeded, task)
	}
	h.setCharge(task, amount)
	return nil
}

// Release removes the charge of a task and returns it; zero if there was none.
func (h *Holder) Release(task types.TaskID) types.Resources {
	amount := h.tasks[task]
	h.charged = h.charged.Sub(amount)
	delete(h.tasks, task)
	return amount
}

func (h *Holder) setCharge(task types.TaskID, amount types.Resources) {
	h.charged = h.charged.Sub(h.tasks[task]).Add(amount)
	h.tasks[task] = amount
}

// Load sets the limit from a row, either as read from the table or as committed
// with its new revision. If the row is still at the revision of an unanswered
// write, that write may still be committed, so the limit does not exceed the
// planned share.
func (h *Holder) Load(row *Row) {
	h.limit = row.Get(h.shard).Held
	if h.writePending && row.Revision == h.planRevision {
		h.limit = minResources(h.limit, h.planned)
		return
	}
	h.writePending = false
}

// Plan returns the row to write by compare-and-set against row, and whether it
// differs. If the new share is smaller, the limit is lowered at once. After the
// write, call Load with the committed row and its new revision. After a
// conflict or an uncertain result, read the row and call Load with it.
func (h *Holder) Plan(row *Row) (Row, bool) {
	own := row.Get(h.shard)
	pool := row.Pool()
	next := Share{Shard: h.shard, Held: own.Held}
	need := h.charged.Add(h.refused)
	missing := need.Sub(own.Held).Max(types.Resources{})
	take := minResources(missing, pool.Max(types.Resources{}))
	next.Held = next.Held.Add(take)
	next.Wanted = missing.Sub(take)
	next.Held = next.Held.Sub(h.returnableShare(row, next.Held, pool.Sub(take)))
	h.refused = types.Resources{}
	h.limit = minResources(h.limit, next.Held)
	if next == own {
		return *row, false
	}
	if !h.writePending || h.planRevision != row.Revision {
		h.planned = next.Held
	}
	h.planned = minResources(h.planned, next.Held)
	h.planRevision, h.writePending = row.Revision, true
	return row.withShare(next), true
}

// returnableShare returns the unused part of a share that other shards are
// missing beyond the pool, or that a lowered quota takes away.
func (h *Holder) returnableShare(row *Row, held, pool types.Resources) types.Resources {
	idle := held.Sub(h.charged.Add(h.refused)).Max(types.Resources{})
	missingByOthers := row.wantedByOthers(h.shard).Sub(pool).Max(types.Resources{})
	return minResources(idle, missingByOthers)
}

// minResources returns the smaller amount in each dimension.
func minResources(a, b types.Resources) types.Resources {
	return types.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
