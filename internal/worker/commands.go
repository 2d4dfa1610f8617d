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

// resultRuntime is the reason of a command that the runtime did not carry out.
const resultRuntime = "runtime"

// command carries out commands of a shard owner in order.
func (d *driver) command(ctx context.Context, r *wirepb.CommandRequest) (*wirepb.CommandResponse, error) {
	d.commands.Lock()
	defer d.commands.Unlock()
	resp := &wirepb.CommandResponse{Incarnation: uint64(d.w.node.Incarnation)}
	for _, c := range r.GetCommands() {
		result := &wirepb.CommandResult{Task: c.GetTask(), Attempt: c.GetAttempt()}
		reason, err := d.carryOut(ctx, d.decode(r, c), c)
		result.Ok = reason == "" && err == nil
		if err != nil {
			reason = resultRuntime
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
	// The next heartbeat tells the owner of the new list of attempts; a failed
	// read is repeated by the driver's loop.
	_, _ = d.read(ctx)
	return resp, nil
}

// commandKinds maps the kinds that the gate decides on.
var commandKinds = map[wirepb.CommandKind]shard.CommandKind{
	wirepb.CommandKind_COMMAND_KIND_START:      shard.CommandStart,
	wirepb.CommandKind_COMMAND_KIND_RESUME:     shard.CommandResume,
	wirepb.CommandKind_COMMAND_KIND_CHECKPOINT: shard.CommandCheckpoint,
	wirepb.CommandKind_COMMAND_KIND_STOP:       shard.CommandStop,
	wirepb.CommandKind_COMMAND_KIND_FORGET:     shard.CommandForget,
	wirepb.CommandKind_COMMAND_KIND_THROTTLE:   "throttle",
}

func (d *driver) decode(r *wirepb.CommandRequest, c *wirepb.TaskCommand) shard.Command {
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
		Reserved:    convert.FromWire(c.GetReserved()),
		WorkKind:    c.GetJobKind(),
		RunTime:     time.Duration(c.GetRunTimeMs()) * time.Millisecond,
	}
}

// carryOut returns the reason of a refusal, or the error of the runtime.
func (d *driver) carryOut(ctx context.Context, c shard.Command, m *wirepb.TaskCommand) (string, error) {
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
		d.drive(ctx)
		return "", nil
	case shard.CommandStop:
		return "", d.stop(ctx, c)
	case shard.CommandCheckpoint:
		return "", d.checkpoint(ctx, c)
	case shard.CommandForget:
		return "", d.forget(ctx, c)
	default:
		return "", rt.Throttle(ctx, c.Task, c.Attempt, m.GetShare())
	}
}

// start reserves capacity, then starts the attempt in the runtime.
func (d *driver) start(ctx context.Context, c shard.Command) (string, error) {
	if err := d.stopLower(ctx, c); err != nil {
		return "", err
	}
	var decision admission.TaskDecision
	err := d.w.state.Do(func(s *state) {
		now := d.w.node.Clock()
		decision = s.tasks.Reserve(now, admission.StartCommand{
			Task:    c.Task,
			Attempt: c.Attempt,
			Shard:   d.w.shard,
			Epoch:   c.Epoch,
			Target:  c.Incarnation,
			Demand:  c.Reserved,
			Echo:    now,
			Budget:  c.ValidUntil - now,
		})
	})
	if err != nil {
		return "stopping", nil
	}
	switch decision.Reason {
	case admission.TaskReasonNone:
	case admission.TaskNoCapacity, admission.TaskDraining, admission.TaskInvalid:
		// Final for this attempt: the owner places another one.
		d.reportFailed(c, string(decision.Reason))
		return string(decision.Reason), nil
	default:
		return string(decision.Reason), nil
	}
	return "", d.startInRuntime(ctx, c)
}

// stopLower ends an earlier attempt of the task that the runtime still has:
// the start of a higher one tells that its right has ended.
func (d *driver) stopLower(ctx context.Context, c shard.Command) error {
	rt, err := d.read(ctx)
	if err != nil {
		return err
	}
	for i := range rt.Tasks {
		t := &rt.Tasks[i]
		if t.Task != c.Task || t.Attempt >= c.Attempt || !live(t.Phase) {
			continue
		}
		if err := d.w.opts.Runtime.Stop(ctx, t.Task, t.Attempt); err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		d.release(t.Task, t.Attempt)
	}
	return nil
}

// startInRuntime starts a reserved attempt. After an error the reservation
// stays, and the owner's repeat starts the attempt again.
func (d *driver) startInRuntime(ctx context.Context, c shard.Command) error {
	rt, err := d.read(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	readAt := d.latestAt
	d.mu.Unlock()
	var right time.Duration
	if err := d.w.state.Do(func(s *state) { right = s.right(c.Class, readAt) }); err != nil {
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
		Lease:      platform.RuntimeLease{ReadAt: rt.Now, Budget: right},
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.leases[attemptKey{c.Task, c.Attempt}] = readAt + right
	d.mu.Unlock()
	return nil
}

// stop ends an attempt. One that the runtime does not have is reported as
// stopped, because the gate refuses its start from now on.
func (d *driver) stop(ctx context.Context, c shard.Command) error {
	err := d.w.opts.Runtime.Stop(ctx, c.Task, c.Attempt)
	if errors.Is(err, platform.ErrNotFound) {
		d.reportExtra(c, platform.PhaseStopped, "")
		err = nil
	}
	if err == nil {
		d.release(c.Task, c.Attempt)
	}
	return err
}

func (d *driver) checkpoint(ctx context.Context, c shard.Command) error {
	err := d.w.opts.Runtime.Checkpoint(ctx, c.Task, c.Attempt, c.Checkpoint)
	d.mu.Lock()
	d.uncheckpointed[attemptKey{c.Task, c.Attempt}] = err != nil
	d.mu.Unlock()
	return err
}

func (d *driver) forget(ctx context.Context, c shard.Command) error {
	key := attemptKey{c.Task, c.Attempt}
	d.mu.Lock()
	delete(d.leases, key)
	delete(d.extra, key)
	delete(d.uncheckpointed, key)
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

func (d *driver) release(task types.TaskID, attempt types.Attempt) {
	d.w.state.Enqueue(func(s *state) { s.tasks.Release(task, attempt) })
}

// reportFailed reports an attempt that this worker will never start.
func (d *driver) reportFailed(c shard.Command, reason string) {
	d.w.state.Enqueue(func(s *state) { s.gate.RecordEnd(c.Task, c.Attempt) })
	d.reportExtra(c, platform.PhaseFailed, reason)
}

func (d *driver) reportExtra(c shard.Command, phase platform.RuntimePhase, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extra[attemptKey{c.Task, c.Attempt}] = &wirepb.TaskReport{
		Task:      string(c.Task),
		Attempt:   uint32(c.Attempt),
		Class:     uint32(c.Class),
		Phase:     string(phase),
		Reserved:  convert.ToWire(c.Reserved),
		Error:     reason,
		Blameless: phase == platform.PhaseFailed,
	}
}

// report returns the attempts in the runtime, read afresh. Reports and commands
// take turns, so that a report never misses an attempt that was started before.
func (d *driver) report(ctx context.Context) (*wirepb.TasksResponse, error) {
	d.commands.Lock()
	defer d.commands.Unlock()
	rt, err := d.read(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "task runtime does not answer; try again")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports++
	resp := &wirepb.TasksResponse{
		Incarnation: uint64(d.w.node.Incarnation),
		Seq:         d.reports,
		Hash:        d.hash.Load(),
		Tasks:       make([]*wirepb.TaskReport, 0, len(rt.Tasks)+len(d.extra)),
	}
	for i := range rt.Tasks {
		t := &rt.Tasks[i]
		key := attemptKey{t.Task, t.Attempt}
		if d.extra[key] == nil {
			resp.Tasks = append(resp.Tasks, toReport(t, rt.Now, d.uncheckpointed[key]))
		}
	}
	for _, t := range d.extra {
		resp.Tasks = append(resp.Tasks, t)
	}
	return resp, nil
}

func toReport(t *platform.TaskStatus, now time.Duration, uncheckpointed bool) *wirepb.TaskReport {
	return &wirepb.TaskReport{
		Task:             string(t.Task),
		Attempt:          uint32(t.Attempt),
		Class:            uint32(t.Class),
		Phase:            string(t.Phase),
		Reserved:         convert.ToWire(t.Reserved),
		Usage:            convert.ToWire(t.Usage),
		UsageAgeMs:       (now - t.MeasuredAt).Milliseconds(),
		Checkpoint:       t.Checkpoint,
		CheckpointFailed: uncheckpointed,
		RanMs:            t.Ran.Milliseconds(),
		Error:            t.Error,
		Throttle:         t.Throttle,
	}
}
