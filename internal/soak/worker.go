package soak

import (
	"context"
	"errors"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
)

// attemptKey identifies one attempt.
type attemptKey struct {
	task    types.TaskID
	attempt types.Attempt
}

// process is one worker process: the gate and task admission of its VM, the
// observer of the lease, and at times the owner of the shard.
type process struct {
	host
	w           *tasks
	vm          types.VM
	incarnation types.Incarnation
	offset      time.Duration
	runtime     *standin.Runtime
	gate        *shard.Gate
	admitted    *admission.Tasks
	// unstartedReports holds reports of attempts that the runtime does not know:
	// starts that were refused and stops of unknown attempts.
	unstartedReports map[attemptKey]shard.TaskReport
	// checkpointFailed records whether the last checkpoint of an attempt failed.
	checkpointFailed map[attemptKey]bool
	// pendingCommands holds the commands that have not been executed yet.
	pendingCommands []func()
	seq             uint64
	reports         uint64
	draining        bool

	owner            types.VMID
	sender           *membership.Sender
	echo             membership.Echo
	observer         *lease.Observer
	nextObserveAt    time.Duration
	nextRenewAt      time.Duration
	leaseCallPending bool
	term             *term
}

func (w *tasks) newProcess(vm types.VM) *process {
	w.incarnations++
	i := w.incarnations
	p := &process{
		w: w, vm: vm, incarnation: i, offset: w.offsets[vm.ID], runtime: w.platform.Runtime(vm.ID),
		gate: shard.NewGate(config(), vm.ID, i), admitted: admission.NewTasks(i, vm.Capacity, config().CommandValidity),
		unstartedReports: map[attemptKey]shard.TaskReport{}, checkpointFailed: map[attemptKey]bool{},
		sender:   membership.NewSender(membership.DefaultConfig()),
		observer: lease.NewObserver(lease.DefaultConfig(), shardID, vm.ID, i),
	}
	for _, t := range p.state().Tasks {
		if isLive(t.Phase) {
			p.admitted.Adopt(t.Task, t.Attempt, t.Reserved)
			p.gate.AddExisting(t.Task, t.Attempt, t.Class)
		}
	}
	return p
}

// clock returns the reading of the VM's clock. The clocks of VMs differ.
func (p *process) clock() time.Duration {
	return p.w.now + p.offset
}

func (p *process) state() platform.RuntimeState {
	st, err := p.runtime.State(context.Background())
	if err != nil {
		p.w.recordViolation("runtime state: %v", err)
	}
	return st
}

func isLive(phase platform.RuntimePhase) bool {
	return phase == platform.PhaseRunning || phase == platform.PhaseSuspended
}

// step performs the actions that are due at a process that is not frozen.
func (p *process) step() {
	now := p.clock()
	p.gate.Tick(now)
	p.admitted.Forget(now)
	for len(p.pendingCommands) > 0 && p.w.now >= p.frozenUntil {
		p.pendingCommands[0]()
		p.pendingCommands = p.pendingCommands[1:]
	}
	if p.w.now < p.frozenUntil {
		return
	}
	if p.w.now >= p.nextRenewAt {
		p.nextRenewAt = p.w.now + time.Second
		p.renewRuntimeLeases()
	}
	p.watchLease()
	if p.owner != "" && now >= p.sender.NextAt() {
		p.sendHeartbeat()
	}
	if p.term != nil {
		p.term.step()
	}
}

// renewRuntimeLeases renews the runtime leases of the attempts that may run and
// records the end of those that are no longer live.
func (p *process) renewRuntimeLeases() {
	st := p.state()
	now := p.clock()
	for _, t := range st.Tasks {
		if !isLive(t.Phase) {
			p.admitted.Release(t.Task, t.Attempt)
			p.gate.RecordEnd(t.Task, t.Attempt)
			continue
		}
		if p.gate.MayRun(now, t.Task, t.Attempt) {
			l := platform.RuntimeLease{ReadAt: st.Now, Budget: p.remainingRunRight(t.Class)}
			_ = p.runtime.Renew(context.Background(), t.Task, t.Attempt, l)
		}
	}
}

// remainingRunRight returns the budget of a runtime lease. Latency-critical
// attempts may run beyond the end of the run right, so their budget is fixed.
func (p *process) remainingRunRight(class types.Class) time.Duration {
	if class == types.ClassLatencyCritical {
		return 5 * time.Minute
	}
	return p.gate.RunRightEnd() - p.clock()
}

func (p *process) sendHeartbeat() {
	p.seq++
	now := p.clock()
	hb := membership.Heartbeat{
		VM: p.vm.ID, Incarnation: p.incarnation, Seq: p.seq, SentAt: now, Draining: p.draining, Echo: p.echo,
	}
	p.sender.Sent(now)
	p.w.send(p.owner, func(o *process) {
		if o.term == nil {
			return
		}
		reply, ok := o.term.machine.Heartbeat(o.clock(), hb)
		if !ok {
			return
		}
		p.w.send(p.vm.ID, func(to *process) { to.handleAck(reply) })
	})
}

func (p *process) handleAck(reply shard.HeartbeatReply) {
	if reply.Ack.Incarnation != p.incarnation {
		return
	}
	if reply.Ack.Superseded {
		p.w.restart(p, "superseded")
		return
	}
	p.echo = reply.Ack.Echo
	p.sender.Acked(reply.Ack.SentAt)
	p.gate.Acked(p.clock(), reply)
}

// report returns the attempts of the runtime and those that never reached it.
func (p *process) report() shard.Report {
	now := p.clock()
	p.gate.Tick(now)
	p.reports++
	r := shard.Report{VM: p.vm.ID, Incarnation: p.incarnation, Seq: p.reports, Complete: true}
	for _, t := range p.state().Tasks {
		phase := shard.Phase(t.Phase)
		if phase == shard.PhaseRunning && !p.gate.MayRun(now, t.Task, t.Attempt) {
			phase = shard.PhaseSuspended
		}
		r.Tasks = append(r.Tasks, shard.TaskReport{
			Task: t.Task, Attempt: t.Attempt, Class: t.Class, Phase: phase, Reserved: t.Reserved,
			Checkpoint: t.Checkpoint, CheckpointFailed: p.checkpointFailed[attemptKey{t.Task, t.Attempt}], Error: t.Error,
		})
	}
	for _, k := range sortedKeys(p.unstartedReports) {
		r.Tasks = append(r.Tasks, p.unstartedReports[k])
	}
	return r
}

// enqueueCommand queues a command for execution after the earlier ones.
func (p *process) enqueueCommand(c shard.Command) {
	if p.w.opts.Drop == DropIncarnation {
		c.Incarnation = p.incarnation
	}
	p.pendingCommands = append(p.pendingCommands, func() {
		v := p.gate.Command(p.clock(), c)
		p.w.recordEvent("%s@%d %s %s/%d epoch %d: %s", p.vm.ID, p.incarnation, c.Kind, c.Task, c.Attempt, c.Epoch, v)
		if v == shard.Execute {
			p.execute(c)
		} else {
			p.w.res.Outcomes["command refused: "+string(v)]++
		}
	})
}

func (p *process) execute(c shard.Command) {
	ctx := context.Background()
	key := attemptKey{c.Task, c.Attempt}
	switch c.Kind {
	case shard.CommandStart:
		p.startAttempt(c)
	case shard.CommandResume:
		p.renewRuntimeLeases()
	case shard.CommandStop:
		err := p.runtime.Stop(ctx, c.Task, c.Attempt)
		if errors.Is(err, platform.ErrNotFound) {
			p.unstartedReports[key] = shard.TaskReport{Task: c.Task, Attempt: c.Attempt, Phase: shard.PhaseStopped}
		}
		p.admitted.Release(c.Task, c.Attempt)
	case shard.CommandCheckpoint:
		failed := !p.w.faultsOff && p.w.chance(0.1)
		if !failed {
			failed = p.runtime.Checkpoint(ctx, c.Task, c.Attempt, c.Checkpoint) != nil
		}
		p.checkpointFailed[key] = failed
	case shard.CommandForget:
		delete(p.unstartedReports, key)
		delete(p.checkpointFailed, key)
		p.admitted.Release(c.Task, c.Attempt)
		p.admitted.Settle(p.clock(), c.Task, c.Attempt)
		_ = p.runtime.Forget(ctx, c.Task, c.Attempt)
	}
}

// startAttempt makes the reservation and starts the attempt in the runtime,
// sometimes with a delay in between.
func (p *process) startAttempt(c shard.Command) {
	for _, t := range p.state().Tasks {
		if t.Task == c.Task && t.Attempt < c.Attempt && isLive(t.Phase) {
			_ = p.runtime.Stop(context.Background(), t.Task, t.Attempt)
			p.admitted.Release(t.Task, t.Attempt)
		}
	}
	now := p.clock()
	d := p.admitted.Reserve(now, admission.StartCommand{
		Task: c.Task, Attempt: c.Attempt, Shard: shardID, Epoch: c.Epoch, Target: c.Incarnation,
		Reservation: c.Reserved, Echo: now, Budget: c.ValidUntil - now,
	})
	switch d.Reason {
	case admission.TaskReasonNone:
	case admission.TaskNoCapacity, admission.TaskDraining, admission.TaskInvalid:
		p.gate.RecordEnd(c.Task, c.Attempt)
		p.unstartedReports[attemptKey{c.Task, c.Attempt}] = shard.TaskReport{
			Task: c.Task, Attempt: c.Attempt, Phase: shard.PhaseFailed, Blameless: true, Error: string(d.Reason),
		}
		return
	default:
		p.w.res.Outcomes["start refused: "+string(d.Reason)]++
		return
	}
	spec := platform.StartSpec{
		Task: c.Task, Attempt: c.Attempt, Class: c.Class, Reserved: c.Reserved, RunTime: c.RunTime,
		Checkpoint: c.Checkpoint,
		Lease:      platform.RuntimeLease{ReadAt: p.w.now, Budget: p.remainingRunRight(c.Class)},
	}
	if !p.w.faultsOff && p.w.chance(0.1) {
		p.freeze(p.w.randomDuration(0, 40*time.Second))
		// When this command returns, step removes the first element, for which
		// nil stands here.
		p.pendingCommands = append([]func(){nil, func() { p.startInRuntime(spec) }}, p.pendingCommands[1:]...)
		return
	}
	p.startInRuntime(spec)
}

func (p *process) startInRuntime(spec platform.StartSpec) {
	row := p.w.checked.tasks[spec.Task]
	if row.Attempt < spec.Attempt {
		p.w.recordViolation("task %s attempt %d started before its row was committed", spec.Task, spec.Attempt)
	}
	known := false
	for _, t := range p.state().Tasks {
		known = known || t.Task == spec.Task && t.Attempt == spec.Attempt
	}
	// If the worker was frozen and the runtime lease has expired by the time of
	// the start, the attempt is suspended: it does not run and its owner stops
	// it.
	runs := p.w.now < spec.Lease.ReadAt+spec.Lease.Budget
	if row.State.Final() && runs && !known {
		p.w.recordViolation("task %s attempt %d started after its end", spec.Task, spec.Attempt)
	}
	if err := p.runtime.Start(context.Background(), spec); err != nil {
		p.w.recordEvent("%s start %s/%d: %v", p.vm.ID, spec.Task, spec.Attempt, err)
		return
	}
	p.w.res.Outcomes["starts"]++
}

func (p *process) freeze(d time.Duration) {
	p.frozenUntil = max(p.frozenUntil, p.w.now+d)
	p.w.countFault("worker freeze")
	p.w.recordEvent("%s@%d frozen for %v", p.vm.ID, p.incarnation, d)
}
