package jobs

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// recoverRetryDelay is the pause between attempts to read the rows of a new
	// term.
	recoverRetryDelay = 100 * time.Millisecond
	// listTimeout bounds the listing of all partitions of one prefix. A partition
	// takes up to 250 ms while the table is slow, and 16 of the 32 partitions are
	// listed at a time (maxConcurrentLists), so that the listing takes up to 0.5 s. The
	// timeout leaves time for a partition that is overloaded by other calls.
	listTimeout = 4 * time.Second
)

func isUnavailable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable)
}

// storedRows are the rows that a new owner reads.
type storedRows struct {
	jobs, states, progress, agents platform.Snapshot
}

// recover reads the stored rows, builds the core from them, and starts the links to
// agents and the followers. It returns false if the term has ended or the core's
// actor cannot be started.
func (t *term) recover(ctx context.Context) bool {
	begin := time.Now()
	s, ok := t.storedRows(ctx)
	if !ok {
		return false
	}
	now := clock.Now()
	timing := t.c.opts.Timing
	core := workflow.New(workflow.Config{
		Epoch: t.epoch, LeaseDuration: timing.LeaseDuration, WorkerMaxLease: timing.WorkerMaxLease, ClockDrift: clockDrift,
		OrderRetry: orderRetry, StateRetention: timing.StateRetention, MaxChanges: maxChanges, OverloadControl: t.c.opts.OverloadControl, Headroom: t.c.opts.Headroom, Copies: t.c.opts.Copies,
	}, now)
	t.setQueues(core)
	agents := t.agents(s.agents.Rows)
	for vm, row := range agents {
		core.AddVM(now, vm)
		core.SetFailureDomain(vm, row.FailureDomain)
	}
	t.setEvacuated(core)
	t.addJobs(core, s)
	t.loadLearned(ctx, core)
	if err := t.spawn(core); err != nil {
		t.log.Log(eventOwnershipLost, err, telemetry.Fields{"why": "the owner's actor cannot be started"})
		return false
	}
	t.connect(ctx, agents)
	t.startFollowers(ctx, s.jobs.Revision, s.agents.Revision)
	t.log.Log(eventOwnerRecovered, nil, telemetry.Fields{
		"prepared": t.prepared != nil, "jobs": len(s.jobs.Rows), "agents": len(agents), "revision": s.jobs.Revision, "ms": time.Since(begin).Milliseconds(),
	})
	t.prepared = nil // the core holds its own state; frees the rows
	return true
}

// storedRows returns the rows as of the takeover or later, and reads the operator's
// rows at the same time. It returns false if the context ends first.
func (t *term) storedRows(ctx context.Context) (storedRows, bool) {
	var reads errgroup.Group
	reads.Go(func() error { return t.readOperatorRows(ctx) })
	s, ok := t.ownRows(ctx)
	err := reads.Wait()
	return s, ok && err == nil
}

// ownRows returns the rows of jobs and agents as of the takeover or later. A successor
// has read them before, so only the changes since then are left to read.
func (t *term) ownRows(ctx context.Context) (storedRows, bool) {
	if t.prepared != nil {
		s, err := t.prepared.asOf(ctx, t.takeoverRevision)
		if err == nil {
			return s, true
		}
		t.log.Log(eventPreparedRowsUnused, err, nil)
		t.prepared = nil
	}
	return t.c.readRows(ctx)
}

// readRows lists the rows and retries until it succeeds or the context ends. While the
// table is slow each list takes long, so those that do not depend on each other are
// read at the same time. States are listed after the jobs, so that each listed job has
// its state. The fence keeps the rows of progress from changing.
func (c *Candidate) readRows(ctx context.Context) (storedRows, bool) {
	var s storedRows
	var lists errgroup.Group
	lists.Go(func() (err error) {
		if s.jobs, err = c.readPrefix(ctx, prefixJob, partitionNames()); err != nil {
			return err
		}
		s.states, err = c.readPrefix(ctx, prefixState, partitionNames())
		return err
	})
	lists.Go(func() (err error) {
		s.progress, err = c.readPrefix(ctx, prefixProgress, partitionNames())
		return err
	})
	lists.Go(func() (err error) {
		s.agents, err = c.readPrefix(ctx, prefixAgent, nil)
		return err
	})
	err := lists.Wait()
	return s, err == nil
}

// readPrefix lists the rows of a prefix, and retries until it succeeds or the context
// ends.
func (c *Candidate) readPrefix(ctx context.Context, prefix string, partitions []string) (platform.Snapshot, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		snapshot, err := listAll(callCtx, c.opts.Changes, prefix, partitions)
		cancel()
		if err == nil {
			return snapshot, nil
		}
		sleep(ctx, jitter(recoverRetryDelay))
		if ctx.Err() != nil {
			return platform.Snapshot{}, ctx.Err()
		}
	}
}

// addJobs adds the stored jobs to the core, and the final states of jobs whose other
// rows are deleted, so that these states expire.
func (t *term) addJobs(core *workflow.Owner, s storedRows) {
	states := make(map[types.JobID]knownState, len(s.states.Rows))
	for _, r := range s.states.Rows {
		row, err := decode[stateRow](r.Key, r.Value)
		if err != nil {
			t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
			continue
		}
		states[idFromKey(r.Key)] = knownState{row, r.Revision}
	}
	values, progressRows := joinProgress(s.progress.Rows)
	t.progressRows = progressRows
	progress := make(map[types.JobID]workflow.Progress, len(values))
	for id, value := range values {
		p, err := workflow.DecodeProgress(value)
		if err != nil {
			t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": progressKey(id)})
			continue
		}
		progress[id] = p
	}
	for i := range s.jobs.Rows {
		id := idFromKey(s.jobs.Rows[i].Key)
		t.addJob(core, &s.jobs.Rows[i], states[id], progress[id])
		delete(states, id)
	}
	for id, st := range states {
		if st.State.Final() {
			core.ScheduleStateDeletion(clock.Now(), id)
		}
	}
}

// addJob adds a job to the core. A job whose row is newer than the takeover is added
// as fresh: no earlier owner can have started any of its tasks.
func (t *term) addJob(core *workflow.Owner, r *platform.Row, state knownState, p workflow.Progress) {
	spec, err := decode[workflow.Job](r.Key, r.Value)
	if err == nil {
		err = spec.Check()
	}
	if err == nil {
		if state.State == "" {
			// New jobs come without their state row, which was written in the same
			// transaction.
			state.State, state.revision = workflow.JobQueued, r.Revision
		}
		err = core.AddJob(clock.Now(), unixNow(), spec, state.State, state.revision, p, r.Revision > t.takeoverRevision)
	}
	if err != nil {
		t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
	}
}

// startFollowers starts to follow new jobs and agents for the core, from the revisions
// at which they were read.
func (t *term) startFollowers(ctx context.Context, jobsAt, agentsAt uint64) {
	jobs := &Follower{
		Log: t.c.opts.Changes, Prefix: prefixJob, Partitions: partitionNames(), After: jobsAt, Logger: t.log, OnSuccess: func() {},
		Reset: func(s platform.Snapshot) { t.addNewJobs(s.Rows) },
		Apply: func(rows []platform.ChangedRow) { t.addNewJobs(withoutDeleted(rows)) },
	}
	agents := &Follower{
		Log: t.c.opts.Changes, Prefix: prefixAgent, After: agentsAt, Logger: t.log, OnSuccess: func() {},
		Reset: func(s platform.Snapshot) { t.connect(ctx, t.agents(s.Rows)) },
		Apply: func(rows []platform.ChangedRow) { t.connect(ctx, t.agents(withoutDeleted(rows))) },
	}
	for _, f := range []*Follower{jobs, agents} {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			f.Run(ctx)
		}()
	}
}

func withoutDeleted(rows []platform.ChangedRow) []platform.Row {
	var out []platform.Row
	for i := range rows {
		if !rows[i].Deleted {
			out = append(out, rows[i].Row)
		}
	}
	return out
}

func (t *term) addNewJobs(rows []platform.Row) {
	if len(rows) == 0 {
		return
	}
	t.applyInput(func(o *workflow.Owner) {
		for i := range rows {
			t.addJob(o, &rows[i], knownState{}, workflow.Progress{})
		}
	})
}

// agents decodes the rows of agents. Unreadable rows are logged and left out.
func (t *term) agents(rows []platform.Row) map[types.VMID]agentRow {
	agents := make(map[types.VMID]agentRow, len(rows))
	for _, r := range rows {
		row, err := decode[agentRow](r.Key, r.Value)
		if err == nil {
			err = row.check()
		}
		if err != nil {
			t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
			continue
		}
		row.revision = r.Revision
		agents[types.VMID(idFromKey(r.Key))] = row
	}
	return agents
}
