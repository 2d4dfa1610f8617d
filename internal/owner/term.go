package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/interference"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/scheduler"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// scanPageSize is the maximum number of rows that one scan reads.
	scanPageSize = 500
	// recoverTimeout bounds one attempt to read all rows of the shard.
	recoverTimeout = 5 * time.Second
)

// term is the state from one committed takeover until the lease is lost or
// released.
type term struct {
	epoch   types.Epoch
	holder  *lease.Holder
	machine *shard.Owner
	policy  *scheduler.Scheduler
	// valid is whether the lease was valid when it was last checked.
	valid      bool
	recovering bool
	recovered  bool
	// appointment counts the relays appointed in this term.
	appointment uint64
	relay       types.VMID
	links       map[types.VMID]*link
	// fence is the revision of the fence row. All writes of the term except lease
	// renewals are conditional on it.
	fence uint64
	rows  rowMaintenance
	quota quotaSync
	// evacuated is whether the shard's failure domain was evacuated when the
	// configuration was last applied.
	evacuated bool
	move      jobMove
}

// link is the state of the calls to one worker. Commands and reports are sent one
// at a time, so that a report never lacks an attempt whose start the worker has
// already answered.
type link struct {
	busy       bool
	queue      []shard.Command
	wantReport bool
	// reportedHash is the task hash of the last report that the state machine
	// accepted, reportedIncarnation the incarnation that sent it.
	reportedHash        uint64
	reportedIncarnation types.Incarnation
}

// beginTerm starts a term after a committed takeover.
func (s *hostState) beginTerm(row lease.Row, revision uint64, sentAt time.Duration) {
	cfg := shard.DefaultConfig()
	cfg.Shard = s.h.opts.Shard
	cfg.Incarnation = s.h.node.Incarnation
	cfg.Epoch = row.Epoch
	cfg.FenceRevision = revision
	// Without a BatchRunRight, the defaults apply to both settings.
	if c := s.h.node.Config.Current(); c != nil && c.Rules().BatchRunRight > 0 {
		cfg.RunRight = c.Rules().BatchRunRight
		cfg.DisableInvariantChecks = !c.Rules().Guards
	}
	policy := s.newScheduler()
	t := &term{
		policy:  policy,
		epoch:   row.Epoch,
		holder:  lease.NewHolder(lease.DefaultConfig(), row, revision, sentAt),
		machine: shard.NewOwner(cfg, MembershipConfig(), policy, sentAt),
		valid:   true,
		links:   make(map[types.VMID]*link),
		fence:   revision,
	}
	t.machine.SetLease(t.holder.ValidUntil())
	s.term, s.relay = t, nil
	s.h.tel.Log.Log(eventTakenOver, nil, telemetry.Fields{"shard": string(cfg.Shard), "epoch": uint64(row.Epoch)})
	s.h.opts.OnOwnerAddress(s.h.node.Address())
	if c := s.h.node.Config.Current(); c != nil {
		s.configure(c)
	}
	s.nextEntryScanAt = 0
}

// newScheduler returns the placement policy of a term. What the policy learns is
// discarded at the end of the term.
func (s *hostState) newScheduler() *scheduler.Scheduler {
	var w interference.Weights
	if c := s.h.node.Config.Current(); c != nil {
		w.TailLatency, w.Eviction = c.Rules().Weights.TailLatency, c.Rules().Weights.Evictions
	}
	return scheduler.New(scheduler.Options{Shard: s.h.opts.Shard, Weights: w, Rand: rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64()))})
}

// endTerm ends the term, if there is one: this worker no longer acts as owner.
func (s *hostState) endTerm() {
	if s.term == nil {
		return
	}
	s.h.tel.Log.Log(eventOwnershipLost, nil, telemetry.Fields{"epoch": uint64(s.term.epoch)})
	s.term = nil
	s.nextObserveAt = 0
	s.ownerHeardAt = s.h.node.Clock()
}

// recoverRows reads the accepted configuration and the rows of the shard after a
// takeover and passes them to the state machine. The configuration comes first: a
// worker that has missed an evacuation must not place work by an older version.
func (s *hostState) recoverRows() {
	t, h := s.term, s.h
	if t.recovered || t.recovering {
		return
	}
	t.recovering = true
	h.async(recoverTimeout, func(ctx context.Context) func(*hostState) {
		err := h.readConfig(ctx)
		var jobs []shard.TableRow
		if err == nil {
			jobs, err = h.scan(ctx, task.JobPrefix(h.opts.Shard))
		}
		var tasks []shard.TableRow
		if err == nil {
			tasks, err = h.scan(ctx, task.Prefix(h.opts.Shard))
		}
		return func(s *hostState) {
			t.recovering = false
			if s.term != t || err != nil {
				return
			}
			t.recovered = true
			t.machine.Recover(jobs, tasks)
			h.tel.Log.Log(eventRecovered, nil, telemetry.Fields{"jobs": len(jobs), "tasks": len(tasks)})
		}
	})
}

// scan reads all rows whose keys have the prefix.
func (h *Host) scan(ctx context.Context, prefix string) ([]shard.TableRow, error) {
	var all []shard.TableRow
	after := ""
	for {
		rows, err := h.opts.Table.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, tableRows(rows)...)
		if len(rows) < scanPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func tableRows(rows []platform.Row) []shard.TableRow {
	out := make([]shard.TableRow, len(rows))
	for i, r := range rows {
		out[i] = shard.TableRow{Key: r.Key, Value: r.Value, Revision: r.Revision}
	}
	return out
}

// poll advances the state machine and executes the actions that it returns.
func (s *hostState) poll(now time.Duration) {
	t := s.term
	s.recoverRows()
	out := t.machine.Poll(now)
	for _, v := range out.Violations {
		s.h.tel.Log.Log(guardEvents[v.Rule.Number], v, nil)
	}
	for _, p := range out.Problems {
		s.h.tel.Log.Log(eventRowProblem, p, nil)
	}
	for _, c := range out.Changes {
		s.logMemberChange(c)
	}
	if len(out.Changes) > 0 {
		s.chooseRelay()
		s.sendDigests(now)
	}
	if out.Batch != nil {
		s.commitBatch(out.Batch)
	}
	if out.Read != nil {
		s.readBatchRows(out.Read)
	}
	for _, id := range out.MovedHere {
		s.readMovedJob(id)
	}
	for _, c := range out.Commands {
		l := t.link(c.VM)
		l.queue = append(l.queue, c)
	}
	for vm, l := range t.links {
		s.exchange(vm, l)
	}
}

func (s *hostState) logMemberChange(c membership.Change) {
	s.h.tel.Log.Log(eventMemberChanged, nil, telemetry.Fields{
		"vm": string(c.VM), "incarnation": uint64(c.Incarnation), "status": c.Status.String(),
	})
}

func (t *term) link(vm types.VMID) *link {
	l := t.links[vm]
	if l == nil {
		l = &link{}
		t.links[vm] = l
	}
	return l
}

// commitBatch commits a batch to the table and passes the outcome to the state
// machine.
func (s *hostState) commitBatch(b *shard.Batch) {
	h, t := s.h, s.term
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: b.FenceKey, Revision: b.FenceRevision}},
		Reads:      b.Keys(),
	}
	for _, w := range b.Writes {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: w.Key, Revision: w.Revision})
		txn.Writes = append(txn.Writes, platform.Write{Key: w.Key, Value: w.Value})
	}
	h.async(tableTimeout, func(ctx context.Context) func(*hostState) {
		result, err := h.opts.Table.Commit(ctx, txn)
		return func(s *hostState) {
			if s.term == t {
				t.machine.BatchDone(h.node.Clock(), b.ID, batchOutcome(result, err), result.Revision, tableRows(result.Rows))
			}
		}
	})
}

func batchOutcome(r platform.TxnResult, err error) shard.BatchOutcome {
	switch {
	case errors.Is(err, platform.ErrUncertain):
		return shard.BatchUncertain
	case err != nil:
		return shard.BatchUnavailable
	case r.Committed:
		return shard.BatchCommitted
	default:
		return shard.BatchConflict
	}
}

// readBatchRows reads the rows of an uncertain batch, from which the state machine
// determines its outcome.
func (s *hostState) readBatchRows(r *shard.Read) {
	h, t := s.h, s.term
	h.async(tableTimeout, func(ctx context.Context) func(*hostState) {
		rows, err := h.opts.Table.Get(ctx, r.Keys...)
		return func(s *hostState) {
			if s.term == t {
				t.machine.ReadDone(h.node.Clock(), r.ID, tableRows(rows), err == nil)
			}
		}
	})
}

// scanEntries reads the rows of the entries and keeps the addresses of those that
// still renew their row.
func (s *hostState) scanEntries(now time.Duration) {
	h := s.h
	s.nextEntryScanAt = now + entryScanInterval
	h.async(tableTimeout, func(ctx context.Context) func(*hostState) {
		rows, err := h.opts.Table.Scan(ctx, EntryPrefix, "", scanPageSize)
		return func(s *hostState) {
			if err == nil {
				s.entries = liveEntries(rows, h.node.Region, s.entryRows, h.node.Clock())
			}
		}
	})
}
