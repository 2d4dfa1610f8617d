package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// recoverPause lies between attempts to read the rows of a new term.
	recoverPause = 100 * time.Millisecond
	// listTimeout bounds the reading of all partitions of one kind of row, each
	// of which takes up to a quarter of a second while the store is slow.
	listTimeout = 4 * time.Second
)

func isUnavailable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable)
}

// stored is what a new owner reads.
type stored struct {
	jobs, states, progress, agents platform.Snapshot
}

// recover reads the rows, builds the core and starts what feeds it. It returns
// false if the term ended before.
func (t *term) recover(ctx context.Context) bool {
	begin := time.Now()
	s, ok := t.read(ctx)
	if !ok {
		return false
	}
	now := clock.Now()
	timing := t.c.opts.Timing
	core := workflow.New(workflow.Config{
		Epoch: t.epoch, Hold: timing.Hold, MaxHold: timing.Hold, ClockDrift: clockDrift,
		OrderRetry: stopRetry, StateKept: timing.StateKept, MaxChanges: maxChanges,
	}, now)
	t.setQueues(core)
	agents := t.agents(s.agents.Rows)
	for vm := range agents {
		core.AddVM(now, vm)
	}
	t.addAll(core, s)
	t.inherit(ctx, core)
	if err := t.spawn(core); err != nil {
		t.log.Log(eventOwnerLost, err, telemetry.Fields{"why": "the owner's actor cannot be started"})
		return false
	}
	t.connect(ctx, agents)
	t.follow(ctx)
	t.log.Log(eventOwnerRecovered, nil, telemetry.Fields{
		"jobs": len(s.jobs.Rows), "agents": len(agents), "revision": s.jobs.Revision, "ms": time.Since(begin).Milliseconds(),
	})
	return true
}

// read lists the rows until it succeeds or the term ends. States are listed
// after the jobs, so that each job found has its state.
func (t *term) read(ctx context.Context) (stored, bool) {
	var s stored
	lists := []struct {
		prefix     string
		partitions []string
		into       *platform.Snapshot
	}{
		{prefixJob, partitionNames(), &s.jobs}, {prefixState, partitionNames(), &s.states},
		{prefixProgress, partitionNames(), &s.progress}, {prefixAgent, nil, &s.agents},
	}
	for _, l := range lists {
		for {
			callCtx, cancel := context.WithTimeout(ctx, listTimeout)
			snapshot, err := listAll(callCtx, t.c.opts.Changes, l.prefix, l.partitions)
			cancel()
			if err == nil {
				*l.into = snapshot
				break
			}
			sleep(ctx, jitter(recoverPause))
			if ctx.Err() != nil {
				return s, false
			}
		}
	}
	return s, true
}

// addAll puts the jobs that are not over into the core.
func (t *term) addAll(core *workflow.Owner, s stored) {
	states := make(map[types.JobID]knownState, len(s.states.Rows))
	for _, r := range s.states.Rows {
		row, err := decode[stateRow](r.Key, r.Value)
		if err != nil {
			t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
			continue
		}
		states[jobOf(r.Key)] = knownState{row, r.Revision}
	}
	progress := make(map[types.JobID]workflow.Progress, len(s.progress.Rows))
	for _, r := range s.progress.Rows {
		p, err := workflow.DecodeProgress(r.Value)
		if err != nil {
			t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
			continue
		}
		progress[jobOf(r.Key)] = p
	}
	for i := range s.jobs.Rows {
		id := jobOf(s.jobs.Rows[i].Key)
		t.add(core, &s.jobs.Rows[i], states[id], progress[id])
		delete(states, id)
	}
	for id, st := range states {
		if st.State.Final() {
			core.ScheduleStateDeletion(clock.Now(), id)
		}
	}
}

// add puts a job into the core. A job is fresh if its row is newer than the
// takeover: no earlier owner has started anything of it.
func (t *term) add(core *workflow.Owner, r *platform.Row, state knownState, p workflow.Progress) {
	spec, err := decode[workflow.Job](r.Key, r.Value)
	if err == nil {
		err = spec.Check()
	}
	if err == nil {
		if state.State == "" {
			state.State, state.revision = workflow.JobQueued, r.Revision
		}
		err = core.AddJob(clock.Now(), unixNow(), spec, state.State, state.revision, p, r.Revision > t.took)
	}
	if err != nil {
		t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
	}
}

// follow keeps the core up to date with new jobs and agents.
func (t *term) follow(ctx context.Context) {
	jobs := &Follower{
		Log: t.c.opts.Changes, Prefix: prefixJob, Partitions: partitionNames(), Logger: t.log, Seen: func() {},
		Reset: func(s platform.Snapshot) { t.newJobs(s.Rows) },
		Apply: func(rows []platform.ChangedRow) { t.newJobs(present(rows)) },
	}
	agents := &Follower{
		Log: t.c.opts.Changes, Prefix: prefixAgent, Logger: t.log, Seen: func() {},
		Reset: func(s platform.Snapshot) { t.connect(ctx, t.agents(s.Rows)) },
		Apply: func(rows []platform.ChangedRow) { t.connect(ctx, t.agents(present(rows))) },
	}
	for _, f := range []*Follower{jobs, agents} {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			f.Run(ctx)
		}()
	}
}

func present(rows []platform.ChangedRow) []platform.Row {
	var out []platform.Row
	for i := range rows {
		if !rows[i].Deleted {
			out = append(out, rows[i].Row)
		}
	}
	return out
}

func (t *term) newJobs(rows []platform.Row) {
	if len(rows) == 0 {
		return
	}
	t.step(func(o *workflow.Owner) {
		for i := range rows {
			t.add(o, &rows[i], knownState{}, workflow.Progress{})
		}
	})
}

func (t *term) agents(rows []platform.Row) map[types.VMID]agentRow {
	agents := make(map[types.VMID]agentRow, len(rows))
	for _, r := range rows {
		row, err := decode[agentRow](r.Key, r.Value)
		if err != nil {
			t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
			continue
		}
		row.revision = r.Revision
		agents[types.VMID(jobOf(r.Key))] = row
	}
	return agents
}
