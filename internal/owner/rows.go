package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/replicas"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

var eventReplicas = telemetry.Define(517, logrus.InfoLevel, "replicas changed",
	"The owner is submitting or cancelling replicas of services to match the configuration. No action.")

const (
	// rescanInterval is how often an owner reads its job rows, to find jobs whose
	// notification was lost. With 30 shards, the number at the target size, and at
	// most 500 rows in each, this makes 3 reads per second.
	rescanInterval = 10 * time.Second
	// Retention is how long the rows of a finished job are kept, measured from
	// when the current owner first saw the job finished.
	Retention = 24 * time.Hour
	// maxDeleteRows is the maximum number of rows that one transaction deletes,
	// unless a single job has more. maxPlanJobs is the maximum number of jobs that
	// one transaction submits or cancels.
	maxDeleteRows = 64
	maxPlanJobs   = 16
	// rowTimeout bounds one scan, one commit of a plan or one deletion.
	rowTimeout = 5 * time.Second
)

// rowMaintenance is the state of the periodic maintenance of job rows.
type rowMaintenance struct {
	busy       bool
	nextScanAt time.Duration
	// finishedAt holds when each finished job was first seen finished.
	finishedAt map[types.JobID]time.Duration
}

// rescanIfDue starts a rescan if one is due.
func (s *hostState) rescanIfDue(now time.Duration) {
	t, h := s.term, s.h
	if !t.recovered || t.rows.busy || now < t.rows.nextScanAt || h.node.Config.Current() == nil {
		return
	}
	t.rows.busy = true
	t.rows.nextScanAt = now + rescanInterval
	h.async(rowTimeout, func(ctx context.Context) func(*hostState) {
		found, err := h.scan(ctx, task.JobPrefix(h.opts.Shard))
		return func(s *hostState) {
			t.rows.busy = false
			if t.rows.nextScanAt != 0 { // otherwise the configuration has changed meanwhile
				t.rows.nextScanAt = h.node.Clock() + rescanInterval
			}
			if s.term != t || err != nil {
				return
			}
			s.applyScan(t, h.node.Config.Current(), found)
		}
	})
}

// applyScan passes the rows of unfinished jobs to the state machine, submits or
// cancels replicas of services, and deletes the rows of expired jobs.
func (s *hostState) applyScan(t *term, c *config.Config, found []shard.TableRow) {
	rows := make([]task.JobRow, 0, len(found))
	revisions := make(map[types.JobID]uint64, len(found))
	var finished []finishedRow
	for _, r := range found {
		row, err := task.DecodeJob(r.Value)
		if err != nil {
			continue // already reported during recovery
		}
		rows = append(rows, row)
		revisions[row.Job.ID] = r.Revision
		if row.Finished {
			finished = append(finished, finishedRow{row: row, key: r.Key, revision: r.Revision})
			continue
		}
		t.machine.Submit(r)
	}
	s.applyPlan(t, replicas.Reconcile(c, s.h.opts.Shard, rows), rows, revisions)
	s.deleteExpired(t, t.rows.expired(s.h.node.Clock(), finished))
}

// finishedRow is the row of a finished job.
type finishedRow struct {
	row      task.JobRow
	key      string
	revision uint64
}

// expired returns the rows that were first seen finished at least a retention
// period ago, and records when the others were first seen finished.
func (u *rowMaintenance) expired(now time.Duration, finished []finishedRow) []finishedRow {
	seen := make(map[types.JobID]time.Duration, len(finished))
	var out []finishedRow
	for _, r := range finished {
		at, known := u.finishedAt[r.row.Job.ID]
		if !known {
			at = now
		}
		seen[r.row.Job.ID] = at
		if now-at >= Retention {
			out = append(out, r)
		}
	}
	u.finishedAt = seen
	return out
}

// applyPlan commits the planned submissions and cancellations of replicas and
// passes the rows to the state machine. Jobs that exceed the limit of one
// transaction are left to the next scan, which starts immediately.
func (s *hostState) applyPlan(t *term, p replicas.Plan, rows []task.JobRow, revisions map[types.JobID]uint64) {
	h := s.h
	txn := platform.Txn{Conditions: []platform.Condition{{Key: lease.FenceKey(h.opts.Shard), Revision: t.fence}}}
	put := func(row task.JobRow, revision uint64) {
		value, err := row.Encode()
		if err != nil || len(txn.Reads) >= maxPlanJobs {
			return
		}
		key := task.JobKey(h.opts.Shard, row.Job.ID)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Revision: revision})
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: value})
		txn.Reads = append(txn.Reads, key)
		if revision == 0 {
			index := task.IndexKey(row.Job.ID)
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: index})
			txn.Writes = append(txn.Writes, platform.Write{Key: index, Value: []byte(h.opts.Shard)})
		}
	}
	for _, id := range p.Cancel {
		for i := range rows {
			if rows[i].Job.ID == id {
				row := rows[i]
				row.Cancel = true
				put(row, revisions[id])
			}
		}
	}
	for _, j := range p.Submit {
		put(task.JobRow{Job: j, SubmittedUnix: time.Now().Unix()}, 0)
	}
	if len(txn.Writes) == 0 {
		return
	}
	h.tel.Log.Log(eventReplicas, nil, telemetry.Fields{"submitted": len(p.Submit), "cancelled": len(p.Cancel)})
	t.rows.busy = true
	h.async(rowTimeout, func(ctx context.Context) func(*hostState) {
		result, err := h.opts.Table.Commit(ctx, txn)
		return func(s *hostState) {
			t.rows.busy = false
			if s.term != t || err != nil || !result.Committed {
				return // the next scan reads the outcome
			}
			t.rows.nextScanAt = 0
			for _, r := range tableRows(result.Rows) {
				t.machine.Submit(r)
			}
		}
	})
}

// deleteExpired deletes the rows of finished jobs.
func (s *hostState) deleteExpired(t *term, expired []finishedRow) {
	h := s.h
	if len(expired) == 0 {
		return
	}
	txn := deletionTxn(h.opts.Shard, t.fence, expired)
	h.async(rowTimeout, func(ctx context.Context) func(*hostState) {
		// A failed deletion is retried after the next scan.
		_, _ = h.opts.Report.Commit(ctx, txn)
		return func(*hostState) {}
	})
}

// deletionTxn returns a transaction that deletes the job, index and task rows of
// as many jobs as fit into maxDeleteRows, but always of at least one job.
func deletionTxn(id types.ShardID, fence uint64, expired []finishedRow) platform.Txn {
	txn := platform.Txn{Conditions: []platform.Condition{{Key: lease.FenceKey(id), Revision: fence}}}
	for _, r := range expired {
		if n := len(txn.Writes); n > 0 && n+r.row.Job.Tasks+2 > maxDeleteRows {
			break
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: r.key, Revision: r.revision})
		keys := make([]string, 0, r.row.Job.Tasks+2)
		keys = append(keys, r.key, task.IndexKey(r.row.Job.ID))
		for i := range r.row.Job.Tasks {
			keys = append(keys, task.Key(id, r.row.Job.TaskID(i)))
		}
		for _, k := range keys {
			txn.Writes = append(txn.Writes, platform.Write{Key: k, Delete: true})
		}
	}
	return txn
}
