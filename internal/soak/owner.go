package soak

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

const shardID = types.ShardID("s")

// config returns a configuration with the shortest run right that operators may
// set, and with a command budget long enough that delayed commands can reach a
// later incarnation.
func config() shard.Config {
	c := shard.DefaultConfig()
	c.Shard = shardID
	c.RunRight = 30 * time.Second
	c.CommandValidity = 25 * time.Second
	return c
}

// term is a period during which a process owns the shard.
type term struct {
	p                *process
	holder           *lease.Holder
	machine          *shard.Owner
	epoch            types.Epoch
	leaseCallPending bool
	recovering       bool
	recovered        bool
	nextFetchAt      time.Duration
}

// watchLease reads the lease row at intervals and takes the lease over when
// that is due.
func (p *process) watchLease() {
	if p.term != nil || p.leaseCallPending || p.w.now < p.nextObserveAt {
		return
	}
	p.nextObserveAt = p.w.now + 500*time.Millisecond
	if t, due := p.observer.TryTakeover(p.clock(), p.w.ids); due {
		p.takeOver(t)
		return
	}
	p.readLease()
}

func (p *process) readLease() {
	p.w.call(&p.host, func() func() {
		rows, err := p.w.table.Get(context.Background(), lease.Key(shardID))
		return func() {
			if err == nil {
				p.applyLeaseRow(rows[0])
			}
		}
	})
}

func (p *process) applyLeaseRow(r platform.Row) {
	row := p.w.leaseRow(r)
	p.observer.Observe(row, r.Revision, r.Revision != 0, p.clock(), p.w.rng)
	p.followOwner(row.Owner)
}

// followOwner directs the heartbeats to the owner named in the lease row.
func (p *process) followOwner(owner types.VMID) {
	if owner != "" && owner != p.owner {
		p.owner = owner
		p.sender = membership.NewSender(membership.DefaultConfig())
	}
}

func (p *process) takeOver(t lease.Takeover) {
	p.leaseCallPending = true
	value := p.w.encode(t.Row.Encode())
	sent := p.clock()
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: lease.Key(shardID), Revision: t.Revision}},
		Writes:     []platform.Write{{Key: lease.Key(shardID), Value: value}, {Key: lease.FenceKey(shardID), Value: value}},
	}
	p.w.call(&p.host, func() func() {
		res, err := p.w.table.Commit(context.Background(), txn)
		return func() {
			p.leaseCallPending = false
			switch {
			case err == nil && res.Committed:
				p.beginTerm(t.Row, res.Revision, sent)
			case errors.Is(err, platform.ErrUncertain):
				p.confirmTakeover(t.Row, sent)
			default:
				p.readLease()
			}
		}
	})
}

// confirmTakeover reads the lease and fence rows to determine whether a
// takeover with an uncertain outcome was committed, as package owner does in
// production.
func (p *process) confirmTakeover(want lease.Row, sent time.Duration) {
	p.leaseCallPending = true
	p.w.call(&p.host, func() func() {
		rows, err := p.w.table.Get(context.Background(), lease.Key(shardID), lease.FenceKey(shardID))
		return func() {
			p.leaseCallPending = false
			if err == nil && p.w.leaseRow(rows[0]) == want && rows[0].Revision == rows[1].Revision {
				p.beginTerm(want, rows[1].Revision, sent)
				return
			}
			p.readLease()
		}
	})
}

func (p *process) beginTerm(row lease.Row, revision uint64, sent time.Duration) {
	if p.term != nil {
		return
	}
	cfg := config()
	cfg.Incarnation, cfg.Epoch, cfg.FenceRevision = p.incarnation, row.Epoch, revision
	// With DropProof, the owner assumes a shorter run right than its workers.
	if p.w.opts.Drop == DropProof {
		cfg.RunRight = time.Second
		cfg.CommandValidity = 500 * time.Millisecond
	}
	t := &term{
		p: p, epoch: row.Epoch, holder: lease.NewHolder(lease.DefaultConfig(), row, revision, sent),
		machine: shard.NewOwner(cfg, membership.DefaultConfig(), randomPlacer{p.w}, sent),
	}
	t.machine.SetVMs(p.w.vms)
	p.term = t
	p.followOwner(p.vm.ID)
	p.w.res.Outcomes["takeovers"]++
	p.w.recordEvent("%s@%d owner of epoch %d", p.vm.ID, p.incarnation, row.Epoch)
}

// callTable makes a table call and processes its response only if the term has
// not ended meanwhile.
func (t *term) callTable(do func() func()) {
	t.p.w.call(&t.p.host, func() func() {
		answer := do()
		return func() {
			if t.p.term == t {
				answer()
			}
		}
	})
}

func (t *term) step() {
	now := t.p.clock()
	t.renewLease(now)
	until := t.holder.ValidUntil()
	if t.p.w.opts.Drop == DropFence {
		until = now + time.Hour
	}
	t.machine.SetLease(until)
	if (t.holder.Lost() && t.p.w.opts.Drop != DropFence) || t.machine.Lost() {
		t.p.w.recordEvent("%s epoch %d ended", t.p.vm.ID, t.epoch)
		t.p.term = nil
		return
	}
	t.recoverRows()
	t.execute(t.machine.Poll(now))
	if t.recovered && t.p.w.now >= t.nextFetchAt {
		t.nextFetchAt = t.p.w.now + 500*time.Millisecond
		for _, vm := range t.p.w.ids {
			t.fetchReport(vm)
		}
	}
}

// handleJobNotice reads the row of a job that an entry has written and submits
// it to the owner.
func (p *process) handleJobNotice(id types.JobID) {
	t := p.term
	if t == nil || !t.recovered {
		return
	}
	t.callTable(func() func() {
		rows, err := p.w.table.Get(context.Background(), task.JobKey(shardID, id))
		return func() {
			if err == nil && rows[0].Revision != 0 {
				t.machine.Submit(shard.TableRow(rows[0]))
			}
		}
	})
}

// fetchReport requests the report of a worker.
func (t *term) fetchReport(vm types.VMID) {
	from := t.p
	from.w.send(vm, func(p *process) {
		r := p.report()
		from.w.network.Send(from.w.now, envelope{receiver: func() *host { return &from.host }, handle: func() {
			if from.term == t {
				t.machine.Report(from.clock(), r)
			}
		}})
	})
}

func (t *term) renewLease(now time.Duration) {
	if t.holder.NeedsRead() && !t.leaseCallPending {
		t.leaseCallPending = true
		t.callTable(func() func() {
			rows, err := t.p.w.table.Get(context.Background(), lease.Key(shardID))
			return func() {
				t.leaseCallPending = false
				if err == nil {
					t.holder.Observed(t.p.w.leaseRow(rows[0]), rows[0].Revision, rows[0].Revision != 0)
				}
			}
		})
	}
	if r, due := t.holder.BeginRenewal(now); due {
		t.writeLease(r)
	}
}

func (t *term) writeLease(r lease.Renewal) {
	key := lease.Key(shardID)
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: r.Revision}},
		Writes:     []platform.Write{{Key: key, Value: t.p.w.encode(r.Row.Encode())}},
		Reads:      []string{key},
	}
	t.callTable(func() func() {
		res, err := t.p.w.table.Commit(context.Background(), txn)
		return func() {
			switch {
			case errors.Is(err, platform.ErrUncertain):
				t.holder.Uncertain()
			case err != nil:
				t.holder.Refused()
			case res.Committed:
				t.holder.Committed(res.Revision)
			default:
				t.holder.Observed(t.p.w.leaseRow(res.Rows[0]), res.Rows[0].Revision, res.Rows[0].Revision != 0)
			}
		}
	})
}

// releaseLease releases the lease and ends the term. The process then does not
// observe the lease for 5 s, so that another worker can take it over.
func (t *term) releaseLease() {
	if r, ok := t.holder.Release(""); ok {
		t.p.w.recordEvent("%s releases epoch %d", t.p.vm.ID, t.epoch)
		t.writeLease(r)
	}
	t.p.term = nil
	t.p.nextObserveAt = t.p.w.now + 5*time.Second
}

func (t *term) recoverRows() {
	if t.recovered || t.recovering {
		return
	}
	t.recovering = true
	t.callTable(func() func() {
		jobs, err := t.p.w.table.Scan(context.Background(), task.JobPrefix(shardID), "", 0)
		rows, err2 := t.p.w.table.Scan(context.Background(), task.Prefix(shardID), "", 0)
		return func() {
			t.recovering = false
			if err != nil || err2 != nil {
				return
			}
			t.recovered = true
			t.machine.Recover(tableRows(jobs), tableRows(rows))
		}
	})
}

func (t *term) execute(out shard.Output) {
	for _, v := range out.Violations {
		t.p.w.recordViolation("guard violation in epoch %d: %v", t.epoch, v)
	}
	for _, err := range out.Problems {
		t.p.w.recordViolation("invalid row: %v", err)
	}
	if out.Batch != nil {
		t.commitBatch(out.Batch)
	}
	if out.Read != nil {
		t.readRows(out.Read)
	}
	for _, c := range out.Commands {
		t.p.w.send(c.VM, func(p *process) { p.enqueueCommand(c) })
	}
}

func (t *term) commitBatch(b *shard.Batch) {
	txn := platform.Txn{Reads: b.Keys()}
	if t.p.w.opts.Drop != DropFence {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: b.FenceKey, Revision: b.FenceRevision})
	}
	for _, w := range b.Writes {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: w.Key, Revision: w.Revision})
		txn.Writes = append(txn.Writes, platform.Write{Key: w.Key, Value: w.Value})
	}
	if t.p.w.opts.Drop == DropCommit {
		t.sendStartsBeforeCommit(b)
	}
	t.callTable(func() func() {
		res, err := t.p.w.table.Commit(context.Background(), txn)
		return func() {
			outcome := shard.BatchConflict
			switch {
			case errors.Is(err, platform.ErrUncertain):
				outcome = shard.BatchUncertain
			case err != nil:
				outcome = shard.BatchUnavailable
			case res.Committed:
				outcome = shard.BatchCommitted
			}
			// The names are in the order of the outcomes, which start at 1.
			// "refused" stands for BatchUnavailable.
			t.p.w.res.Outcomes["batches "+[...]string{"", "committed", "in conflict", "refused", "uncertain"}[outcome]]++
			t.machine.BatchDone(t.p.clock(), b.ID, outcome, res.Revision, tableRows(res.Rows))
		}
	})
}

func (t *term) readRows(r *shard.Read) {
	t.callTable(func() func() {
		rows, err := t.p.w.table.Get(context.Background(), r.Keys...)
		return func() { t.machine.ReadDone(t.p.clock(), r.ID, tableRows(rows), err == nil) }
	})
}

// sendStartsBeforeCommit sends the start commands of a batch that is not
// committed yet.
func (t *term) sendStartsBeforeCommit(b *shard.Batch) {
	for _, w := range b.Writes {
		row, err := task.Decode(w.Value)
		if err != nil || (row.State != task.Placed && row.State != task.Resumed) {
			continue
		}
		t.p.w.send(row.VM, func(p *process) {
			p.enqueueCommand(shard.Command{
				Kind: shard.CommandStart, VM: row.VM, Incarnation: row.Incarnation, Epoch: t.epoch,
				ValidUntil: p.clock() + 5*time.Second, Task: row.Task, Attempt: row.Attempt,
				Checkpoint: row.Checkpoint, Class: types.ClassBatch, Reserved: row.Reserved, RunTime: 20 * time.Second,
			})
		})
	}
}

// randomPlacer places a task on the first VM with enough free capacity,
// starting at a random VM. For urgent tasks it evicts a task if necessary.
type randomPlacer struct{ w *tasks }

// Place implements shard.Placer.
func (s randomPlacer) Place(d shard.Demand, all []shard.Candidate) shard.Decision {
	feasible := false
	start := s.w.rng.IntN(len(all))
	for i := range all {
		c := &all[(start+i)%len(all)]
		feasible = feasible || d.Job.Demand.Fits(c.VM.Capacity)
		if c.Available && d.Job.Demand.Fits(c.Free) {
			return shard.Decision{VM: c.VM.ID}
		}
	}
	if !feasible {
		return shard.Decision{Infeasible: "larger than every VM"}
	}
	for _, c := range all {
		for _, r := range c.Running {
			if d.Job.Urgent && c.Available && r.Evictable && !r.Job.Urgent && d.Job.Demand.Fits(c.Free.Add(r.Reserved)) {
				return shard.Decision{VM: c.VM.ID, Evict: []types.TaskID{r.Task}}
			}
		}
	}
	return shard.Decision{}
}

func tableRows(rows []platform.Row) []shard.TableRow {
	out := make([]shard.TableRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, shard.TableRow(r))
	}
	return out
}

func sortedKeys[V any](m map[attemptKey]V) []attemptKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b attemptKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}
