package owner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/jobshard"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

var (
	eventEvacuationBegun = telemetry.Define(347, logrus.WarnLevel, "evacuation in effect in the shard",
		"The owner starts no new tasks and replicas in the failure domain; running work continues. End it with `boragecrank evacuate DOMAIN --end`, or in the inventory if it is declared there. Fields: shard, domain, version.")
	eventEvacuationEnded = telemetry.Define(348, logrus.InfoLevel, "evacuation ended in the shard",
		"The owner places tasks and replicas in the failure domain again. No action. Fields: shard, domain, version.")
	eventJobMoved = telemetry.Define(349, logrus.InfoLevel, "job moved to another shard",
		"The job waited in an evacuated failure domain and its declaration allows another one. No action. Fields: job, from, to, tasks.")
)

// moveRetry is the time between two attempts at a move whose outcome is unknown.
const moveRetry = time.Second

// jobMove is the state of the move of one job to another shard. At most one move
// is in progress, so that an evacuation costs each shard few writes at a time.
type jobMove struct {
	busy    bool
	pending bool
	retryAt time.Duration
	to      types.ShardID
	rows    shard.Move
}

// setEvacuated passes the evacuated failure domains to the state machine and logs
// the begin and the end of the evacuation of this shard.
func (s *hostState) setEvacuated(c *config.Config) {
	t := s.term
	rules := c.Rules()
	t.machine.SetEvacuated(rules.EvacuatedDomains())
	domain := c.ShardDomain(s.h.opts.Shard)
	s.h.evacuated.Store(c.Evacuated(domain))
	if evacuated := c.Evacuated(domain); evacuated != t.evacuated {
		t.evacuated = evacuated
		event := eventEvacuationEnded
		if evacuated {
			event = eventEvacuationBegun
		}
		s.h.tel.Log.Log(event, nil, telemetry.Fields{
			"shard": string(s.h.opts.Shard), "domain": string(domain), "version": uint64(c.Version()),
		})
	}
}

// moveJobIfDue moves one job that waits because of an evacuation to a shard that
// may run it. A move whose outcome is unknown is repeated with the same
// conditions until it is committed or a condition has failed. Either answer also
// decides all earlier copies, because a revision never returns.
func (s *hostState) moveJobIfDue(now time.Duration) {
	t, h := s.term, s.h
	c := h.node.Config.Current()
	if t.move.busy || now < t.move.retryAt || c == nil || !t.recovered {
		return
	}
	if !t.move.pending && !s.beginMove(now, c) {
		return
	}
	t.move.busy = true
	m := t.move
	txn := moveTxn(h.opts.Shard, m.to, t.fence, m.rows)
	h.async(tableTimeout, func(ctx context.Context) func(*hostState) {
		result, err := h.opts.Table.Commit(ctx, txn)
		return func(s *hostState) {
			if s.term == t {
				s.endMove(m, result, err)
			}
		}
	})
}

// beginMove chooses a job and its new shard.
func (s *hostState) beginMove(now time.Duration, c *config.Config) bool {
	t := s.term
	if !t.evacuated {
		return false
	}
	rows, ok := t.machine.NextMove(now, func(j *types.Job) bool {
		_, ok := jobshard.Target(c, j, s.h.opts.Shard)
		return ok
	})
	if !ok {
		return false
	}
	t.move.to, _ = jobshard.Target(c, &rows.Job, s.h.opts.Shard)
	t.move.rows, t.move.pending = rows, true
	return true
}

// endMove applies the outcome of the transaction of a move.
func (s *hostState) endMove(m jobMove, result platform.TxnResult, err error) {
	t, h := s.term, s.h
	t.move.busy = false
	if err != nil {
		t.move.retryAt = h.node.Clock() + moveRetry
		// An unavailable table has rejected this copy, but an earlier copy may
		// still be undecided, so that the move stays pending here too.
		return
	}
	t.move.pending = false
	id := m.rows.Job.ID
	rows := tableRows(result.Rows)
	switch {
	case result.Committed:
		t.machine.Moved(id, result.Revision)
	case rows[1].Revision == 0:
		t.machine.Moved(id, 0) // an earlier copy was committed
	default:
		t.machine.NotMoved(id, rows[3:])
		if rows[0].Revision == t.fence {
			t.machine.Submit(rows[1])
		}
		t.move.retryAt = h.node.Clock() + moveRetry
		return
	}
	h.movedJobs.Inc(1)
	h.tel.Log.Log(eventJobMoved, nil, telemetry.Fields{
		"job": string(id), "from": string(h.opts.Shard), "to": string(m.to), "tasks": m.rows.Job.Tasks,
	})
	if len(rows) > 2 {
		s.notifyMoved(m.to, id, rows[2])
	}
}

// moveTxn returns the transaction that moves the rows of a job and changes its
// index row. Tasks without a row must still have none; rows that an earlier stay
// of the job has left in the other shard are replaced or deleted. It reads the
// fence row, the job's row, the lease row of the other shard, and the task rows.
func moveTxn(from, to types.ShardID, fence uint64, m shard.Move) platform.Txn {
	id := m.Job.ID
	fenceKey, newKey := lease.FenceKey(from), task.JobKey(to, id)
	txn := platform.Txn{
		Conditions: []platform.Condition{
			{Key: fenceKey, Revision: fence}, {Key: m.JobRow.Key, Revision: m.JobRow.Revision}, {Key: newKey},
		},
		Writes: []platform.Write{
			{Key: task.IndexKey(id), Value: []byte(to)},
			{Key: m.JobRow.Key, Delete: true},
			{Key: newKey, Value: m.JobRow.Value},
		},
		Reads: []string{fenceKey, m.JobRow.Key, lease.Key(to)},
	}
	for i, r := range m.TaskRows {
		key := task.Key(to, m.Job.TaskID(i))
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: r.Key, Revision: r.Revision})
		txn.Reads = append(txn.Reads, r.Key)
		if r.Revision == 0 {
			txn.Writes = append(txn.Writes, platform.Write{Key: key, Delete: true})
			continue
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: r.Key, Delete: true}, platform.Write{Key: key, Value: r.Value})
	}
	return txn
}

// notifyMoved tells the owner of the other shard of a moved job. If the call
// fails, that owner finds the row in its next scan.
func (s *hostState) notifyMoved(to types.ShardID, id types.JobID, leaseRow shard.TableRow) {
	h := s.h
	row, err := lease.Decode(leaseRow.Value)
	if err != nil || row.Address == "" {
		return
	}
	h.async(commandTimeout, func(ctx context.Context) func(*hostState) {
		_, _ = h.node.OwnerPeer(row.Address).Notify(ctx, &wirepb.NotifyRequest{Shard: string(to), Keys: []string{task.JobKey(to, id)}})
		return func(*hostState) {}
	})
}

// errRowMissing means that a job has moved on before its rows were read.
var errRowMissing = errors.New("row does not exist")

// readMovedJob reads the rows of a job that another shard has moved here. If a
// read fails, the next scan finds the job again.
func (s *hostState) readMovedJob(id types.JobID) {
	h, t := s.h, s.term
	h.async(rowTimeout, func(ctx context.Context) func(*hostState) {
		job, err := h.opts.Table.Get(ctx, task.JobKey(h.opts.Shard, id))
		if err == nil && job[0].Revision == 0 {
			err = errRowMissing
		}
		var tasks []shard.TableRow
		if err == nil {
			tasks, err = h.scan(ctx, task.Prefix(h.opts.Shard)+string(id)+"/")
		}
		return func(s *hostState) {
			if s.term == t && err == nil {
				t.machine.SubmitMoved(tableRows(job)[0], tasks)
			}
		}
	})
}

// maxConfigReads is the number of attempts to read the accepted configuration. A change
// that is accepted between the reads of its head and its parts makes one attempt fail.
const maxConfigReads = 3

// readConfig puts the accepted configuration into effect. It returns an error only
// if the table does not answer. With a configuration that this process cannot use
// (event 251), the present one stays in effect.
func (h *Host) readConfig(ctx context.Context) error {
	var err error
	for range maxConfigReads {
		err = h.node.Config.Load(ctx, h.opts.Lease)
		if err == nil || ctx.Err() != nil || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain) {
			return err
		}
	}
	h.tel.Log.Log(eventConfigNotRead, err, telemetry.Fields{"version": uint64(h.node.Config.Version())})
	return nil
}
