package worker

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/convert"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// reasonRuntime is the reason reported for a command that failed in the runtime.
const reasonRuntime = "runtime"

// handleCommands executes commands of a shard owner in order.
func (d *taskDriver) handleCommands(ctx context.Context, r *wirepb.CommandRequest) (*wirepb.CommandResponse, error) {
	d.commands.Lock()
	defer d.commands.Unlock()
	resp := &wirepb.CommandResponse{Incarnation: uint64(d.w.node.Incarnation)}
	for _, c := range r.GetCommands() {
		result := &wirepb.CommandResult{Task: c.GetTask(), Attempt: c.GetAttempt()}
		reason, err := d.execute(ctx, d.decode(r, c), c)
		result.Ok = reason == "" && err == nil
		if err != nil {
			reason = reasonRuntime
			result.Message = err.Error()
		}
		result.Kind = reason
		if !result.GetOk() {
			d.w.tel.Log.Log(eventCommandRefused, err, telemetry.Fields{
				"task": c.GetTask(), "attempt": c.GetAttempt(), "command": c.GetKind().String(), "reason": reason,
			})
		}
		resp.Results = append(resp.Results, result)
	}
	// The read updates the hash of attempts that the next heartbeat carries to
	// the owner. If it fails, taskDriver.run repeats it.
	_, _ = d.readRuntime(ctx)
	return resp, nil
}

// commandKinds maps the command kinds of the wire to those of the gate.
var commandKinds = map[wirepb.CommandKind]shard.CommandKind{
	wirepb.CommandKind_COMMAND_KIND_START:      shard.CommandStart,
	wirepb.CommandKind_COMMAND_KIND_RESUME:     shard.CommandResume,
	wirepb.CommandKind_COMMAND_KIND_CHECKPOINT: shard.CommandCheckpoint,
	wirepb.CommandKind_COMMAND_KIND_STOP:       shard.CommandStop,
	wirepb.CommandKind_COMMAND_KIND_FORGET:     shard.CommandForget,
	// Shard owners do not send throttle commands.
	wirepb.CommandKind_COMMAND_KIND_THROTTLE: "throttle",
}

func (d *taskDriver) decode(r *wirepb.CommandRequest, c *wirepb.TaskCommand) shard.Command {
	return shard.Command{
		Kind:        commandKinds[c.GetKind()],
		VM:          types.VMID(d.w.node.Name),
		Incarnation: types.Incarnation(r.GetIncarnation()),
		Epoch:       types.Epoch(r.GetEpoch()),
		ValidUntil:  time.Duration(c.GetValidUntilNs()),
		Task:        types.TaskID(c.GetTask()),
		Attempt:     types.Attempt(c.GetAttempt()),
		Checkpoint:  c.GetCheckpoint(),
		Class:       types.Class(c.GetClass()),
		Reserved:    convert.ResourcesFromWire(c.GetReserved()),
		WorkKind:    c.GetJobKind(),
		RunTime:     time.Duration(c.GetRunTimeMs()) * time.Millisecond,
	}
}

// execute executes one command if the gate permits it. It returns the reason of
// a refusal, or the error of the runtime.
func (d *taskDriver) execute(ctx context.Context, c shard.Command, m *wirepb.TaskCommand) (string, error) {
	var verdict shard.GateVerdict
	err := d.w.state.Do(func(s *state) { verdict = s.gate.Command(d.w.node.Clock(), c) })
	if err != nil {
		return "stopping", nil
	}
	if verdict != shard.Execute {
		return string(verdict), nil
	}
	rt := d.w.opts.Runtime
	switch c.Kind {
	case shard.CommandStart:
		return d.start(ctx, c)
	case shard.CommandResume:
		d.reconcile(ctx)
		return "", nil
	case shard.CommandStop:
		return "", d.stop(ctx, c)
	case shard.CommandCheckpoint:
		return "", d.checkpoint(ctx, c)
	case shard.CommandForget:
		return "", d.forget(ctx, c)
	default:
		// A throttle command. A command of a kind that this release does not know
		// has the same effect.
		return "", rt.Throttle(ctx, c.Task, c.Attempt, m.GetShare())
	}
}

// start reserves capacity, then starts the attempt in the runtime. It returns the
// reason of a refusal, or the error of the runtime.
func (d *taskDriver) start(ctx context.Context, c shard.Command) (string, error) {
	if err := d.stopEarlierAttempts(ctx, c); err != nil {
		return "", err
	}
	var decision admission.TaskDecision
	err := d.w.state.Do(func(s *state) {
		now := d.w.node.Clock()
		decision = s.tasks.Reserve(now, admission.StartCommand{
			Task:        c.Task,
			Attempt:     c.Attempt,
			Shard:       d.w.shard,
			Epoch:       c.Epoch,
			Target:      c.Incarnation,
			Reservation: c.Reserved,
			Echo:        now,
			Budget:      c.ValidUntil - now,
		})
	})
	if err != nil {
		return "stopping", nil
	}
	switch decision.Reason {
	case admission.TaskReasonNone:
	case admission.TaskNoCapacity, admission.TaskDraining, admission.TaskInvalid:
		// These reasons are final for the attempt; the owner places another one.
		d.reportFailed(c, string(decision.Reason))
		return string(decision.Reason), nil
	default:
		return string(decision.Reason), nil
	}
	return "", d.startInRuntime(ctx, c)
}

// stopEarlierAttempts stops earlier attempts of the task that are still running
// or suspended in the runtime. The start command of a later attempt implies that
// their right to run has ended.
func (d *taskDriver) stopEarlierAttempts(ctx context.Context, c shard.Command) error {
	rt, err := d.readRuntime(ctx)
	if err != nil {
		return err
	}
	for i := range rt.Tasks {
		t := &rt.Tasks[i]
		if t.Task != c.Task || t.Attempt >= c.Attempt || !isLive(t.Phase) {
			continue
		}
		if err := d.w.opts.Runtime.Stop(ctx, t.Task, t.Attempt); err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		d.releaseReservation(t.Task, t.Attempt)
	}
	return nil
}

// startInRuntime starts a reserved attempt. The reservation remains after an
// error, so that the owner can repeat the command.
func (d *taskDriver) startInRuntime(ctx context.Context, c shard.Command) error {
	rt, err := d.readRuntime(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	readAt := d.lastReadAt
	d.mu.Unlock()
	var runBudget time.Duration
	if err := d.w.state.Do(func(s *state) { runBudget = s.runBudget(c.Class, readAt) }); err != nil {
		return err
	}
	err = d.w.opts.Runtime.Start(ctx, platform.StartSpec{
		Task:       c.Task,
		Attempt:    c.Attempt,
		Class:      c.Class,
		Reserved:   c.Reserved,
		Kind:       c.WorkKind,
		RunTime:    c.RunTime,
		Checkpoint: c.Checkpoint,
		Lease:      platform.RuntimeLease{ReadAt: rt.Now, Budget: runBudget},
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.leases[attemptKey{c.Task, c.Attempt}] = readAt + runBudget
	d.mu.Unlock()
	return nil
}

// stop stops an attempt. An attempt that the runtime does not have is reported
// as stopped, because the gate refuses to start it from now on.
func (d *taskDriver) stop(ctx context.Context, c shard.Command) error {
	err := d.w.opts.Runtime.Stop(ctx, c.Task, c.Attempt)
	if errors.Is(err, platform.ErrNotFound) {
		d.addUnlistedReport(c, platform.PhaseStopped, "")
		err = nil
	}
	if err == nil {
		d.releaseReservation(c.Task, c.Attempt)
	}
	return err
}

func (d *taskDriver) checkpoint(ctx context.Context, c shard.Command) error {
	err := d.w.opts.Runtime.Checkpoint(ctx, c.Task, c.Attempt, c.Checkpoint)
	d.mu.Lock()
	d.failedCheckpoints[attemptKey{c.Task, c.Attempt}] = err != nil
	d.mu.Unlock()
	return err
}

func (d *taskDriver) forget(ctx context.Context, c shard.Command) error {
	key := attemptKey{c.Task, c.Attempt}
	d.mu.Lock()
	delete(d.leases, key)
	delete(d.unlistedReports, key)
	delete(d.failedCheckpoints, key)
	d.mu.Unlock()
	d.w.state.Enqueue(func(s *state) {
		s.tasks.Release(c.Task, c.Attempt)
		s.tasks.Settle(d.w.node.Clock(), c.Task, c.Attempt)
	})
	err := d.w.opts.Runtime.Forget(ctx, c.Task, c.Attempt)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

func (d *taskDriver) releaseReservation(task types.TaskID, attempt types.Attempt) {
	d.w.state.Enqueue(func(s *state) { s.tasks.Release(task, attempt) })
}

// reportFailed reports an attempt that this worker will never start as failed.
func (d *taskDriver) reportFailed(c shard.Command, reason string) {
	d.w.state.Enqueue(func(s *state) { s.gate.RecordEnd(c.Task, c.Attempt) })
	d.addUnlistedReport(c, platform.PhaseFailed, reason)
}

func (d *taskDriver) addUnlistedReport(c shard.Command, phase platform.RuntimePhase, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unlistedReports[attemptKey{c.Task, c.Attempt}] = &wirepb.TaskReport{
		Task:      string(c.Task),
		Attempt:   uint32(c.Attempt),
		Class:     uint32(c.Class),
		Phase:     string(phase),
		Reserved:  convert.ResourcesToWire(c.Reserved),
		Error:     reason,
		Blameless: phase == platform.PhaseFailed,
	}
}

// taskReports reads the runtime and returns the reports of all attempts. It is
// serialized with commands, so that a report never misses an attempt started by
// a command that has already been answered.
func (d *taskDriver) taskReports(ctx context.Context) (*wirepb.TasksResponse, error) {
	d.commands.Lock()
	defer d.commands.Unlock()
	rt, err := d.readRuntime(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "task runtime does not answer; try again")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportSeq++
	resp := &wirepb.TasksResponse{
		Incarnation: uint64(d.w.node.Incarnation),
		Seq:         d.reportSeq,
		Hash:        d.hash.Load(),
		Tasks:       make([]*wirepb.TaskReport, 0, len(rt.Tasks)+len(d.unlistedReports)),
	}
	for i := range rt.Tasks {
		t := &rt.Tasks[i]
		key := attemptKey{t.Task, t.Attempt}
		if d.unlistedReports[key] == nil {
			resp.Tasks = append(resp.Tasks, newTaskReport(t, rt.Now, d.failedCheckpoints[key]))
		}
	}
	for _, t := range d.unlistedReports {
		resp.Tasks = append(resp.Tasks, t)
	}
	return resp, nil
}

func newTaskReport(t *platform.TaskStatus, now time.Duration, checkpointFailed bool) *wirepb.TaskReport {
	return &wirepb.TaskReport{
		Task:             string(t.Task),
		Attempt:          uint32(t.Attempt),
		Class:            uint32(t.Class),
		Phase:            string(t.Phase),
		Reserved:         convert.ResourcesToWire(t.Reserved),
		Usage:            convert.ResourcesToWire(t.Usage),
		UsageAgeMs:       (now - t.MeasuredAt).Milliseconds(),
		Checkpoint:       t.Checkpoint,
		CheckpointFailed: checkpointFailed,
		RanMs:            t.Ran.Milliseconds(),
		Error:            t.Error,
		Throttle:         t.Throttle,
	}
}
