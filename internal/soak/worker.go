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
	held        *admission.Tasks
	extra       map[attemptKey]shard.TaskReport
	unchecked   map[attemptKey]bool
	// ops are commands that are not carried out yet.
	ops      []func()
	seq      uint64
	reports  uint64
	draining bool

	owner     types.VMID
	sender    *membership.Sender
	echo      membership.Echo
	observer  *lease.Observer
	observeAt time.Duration
	driveAt   time.Duration
	leaseBusy bool
	term      *term
}

func (w *tasks) newProcess(vm types.VM) *process {
	w.incarnations++
	i := w.incarnations
	p := &process{
		w: w, vm: vm, incarnation: i, offset: w.offsets[vm.ID], runtime: w.platform.Runtime(vm.ID),
		gate: shard.NewGate(config(), vm.ID, i), held: admission.NewTasks(i, vm.Capacity, config().CommandBudget),
		extra: map[attemptKey]shard.TaskReport{}, unchecked: map[attemptKey]bool{},
		sender:   membership.NewSender(membership.DefaultConfig()),
		observer: lease.NewObserver(lease.DefaultConfig(), shardID, vm.ID, i),
	}
	for _, t := range p.state().Tasks {
		if live(t.Phase) {
			p.held.Adopt(t.Task, t.Attempt, t.Reserved)
			p.gate.AddExisting(t.Task, t.Attempt, t.Class)
		}
	}
	return p
}

// clock is the clock of the VM, which no other VM shares.
func (p *process) clock() time.Duration {
	return p.w.now + p.offset
}

func (p *process) state() platform.RuntimeState {
	st, err := p.runtime.State(context.Background())
	if err != nil {
		p.w.fail("runtime state: %v", err)
	}
	return st
}

func live(phase platform.RuntimePhase) bool {
	return phase == platform.PhaseRunning || phase == platform.PhaseSuspended
}

// step does what is due at an awake process.
func (p *process) step() {
	now := p.clock()
	p.gate.Tick(now)
	p.held.Forget(now)
	for len(p.ops) > 0 && p.w.now >= p.frozenUntil {
		p.ops[0]()
		p.ops = p.ops[1:]
	}
	if p.w.now < p.frozenUntil {
		return
	}
	if p.w.now >= p.driveAt {
		p.driveAt = p.w.now + time.Second
		p.drive()
	}
	p.watch()
	if p.owner != "" && now >= p.sender.NextAt() {
		p.beat()
	}
	if p.term != nil {
		p.term.step()
	}
}

// drive renews the leases of the attempts that may run.
func (p *process) drive() {
	st := p.state()
	now := p.clock()
	for _, t := range st.Tasks {
		if !live(t.Phase) {
			p.held.Release(t.Task, t.Attempt)
			p.gate.RecordEnd(t.Task, t.Attempt)
			continue
		}
		if p.gate.MayRun(now, t.Task, t.Attempt) {
			l := platform.RuntimeLease{ReadAt: st.Now, Budget: p.right(t.Class)}
			_ = p.runtime.Renew(context.Background(), t.Task, t.Attempt, l)
		}
	}
}

func (p *process) right(class types.Class) time.Duration {
	if class == types.ClassLatencyCritical {
		return 5 * time.Minute
	}
	return p.gate.RunRightEnd() - p.clock()
}

func (p *process) beat() {
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
		p.w.send(p.vm.ID, func(to *process) { to.acked(reply) })
	})
}

func (p *process) acked(reply shard.HeartbeatReply) {
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

// report lists the runtime's attempts and those that it never had.
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
			Checkpoint: t.Checkpoint, CheckpointFailed: p.unchecked[attemptKey{t.Task, t.Attempt}], Error: t.Error,
		})
	}
	for _, k := range sortedKeys(p.extra) {
		r.Tasks = append(r.Tasks, p.extra[k])
	}
	return r
}

// command carries a command out after those before it.
func (p *process) command(c shard.Command) {
	if p.w.opts.Drop == DropIncarnation {
		c.Incarnation = p.incarnation
	}
	p.ops = append(p.ops, func() {
		v := p.gate.Command(p.clock(), c)
		p.w.event("%s@%d %s %s/%d epoch %d: %s", p.vm.ID, p.incarnation, c.Kind, c.Task, c.Attempt, c.Epoch, v)
		if v == shard.Execute {
			p.carryOut(c)
		} else {
			p.w.res.Outcomes["command refused: "+string(v)]++
		}
	})
}

func (p *process) carryOut(c shard.Command) {
	ctx := context.Background()
	key := attemptKey{c.Task, c.Attempt}
	switch c.Kind {
	case shard.CommandStart:
		p.start(c)
	case shard.CommandResume:
		p.drive()
	case shard.CommandStop:
		err := p.runtime.Stop(ctx, c.Task, c.Attempt)
		if errors.Is(err, platform.ErrNotFound) {
			p.extra[key] = shard.TaskReport{Task: c.Task, Attempt: c.Attempt, Phase: shard.PhaseStopped}
		}
		p.held.Release(c.Task, c.Attempt)
	case shard.CommandCheckpoint:
		fails := !p.w.quiet && p.w.chance(0.1)
		if !fails {
			fails = p.runtime.Checkpoint(ctx, c.Task, c.Attempt, c.Checkpoint) != nil
		}
		p.unchecked[key] = fails
	case shard.CommandForget:
		delete(p.extra, key)
		delete(p.unchecked, key)
		p.held.Release(c.Task, c.Attempt)
		p.held.Settle(p.clock(), c.Task, c.Attempt)
		_ = p.runtime.Forget(ctx, c.Task, c.Attempt)
	}
}

// start reserves, then starts in the runtime, at times a while later.
func (p *process) start(c shard.Command) {
	for _, t := range p.state().Tasks {
		if t.Task == c.Task && t.Attempt < c.Attempt && live(t.Phase) {
			_ = p.runtime.Stop(context.Background(), t.Task, t.Attempt)
			p.held.Release(t.Task, t.Attempt)
		}
	}
	now := p.clock()
	d := p.held.Reserve(now, admission.StartCommand{
		Task: c.Task, Attempt: c.Attempt, Shard: shardID, Epoch: c.Epoch, Target: c.Incarnation,
		Demand: c.Reserved, Echo: now, Budget: c.ValidUntil - now,
	})
	switch d.Reason {
	case admission.TaskReasonNone:
	case admission.TaskNoCapacity, admission.TaskDraining, admission.TaskInvalid:
		p.gate.RecordEnd(c.Task, c.Attempt)
		p.extra[attemptKey{c.Task, c.Attempt}] = shard.TaskReport{
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
		Lease:      platform.RuntimeLease{ReadAt: p.w.now, Budget: p.right(c.Class)},
	}
	if !p.w.quiet && p.w.chance(0.1) {
		p.freeze(p.w.between(0, 40*time.Second))
		p.ops = append([]func(){nil, func() { p.startNow(spec) }}, p.ops[1:]...)
		return
	}
	p.startNow(spec)
}

func (p *process) startNow(spec platform.StartSpec) {
	row := p.w.check.tasks[spec.Task]
	if row.Attempt < spec.Attempt {
		p.w.fail("task %s attempt %d started before its row was committed", spec.Task, spec.Attempt)
	}
	known := false
	for _, t := range p.state().Tasks {
		known = known || t.Task == spec.Task && t.Attempt == spec.Attempt
	}
	// A start after the end of its lease, by a worker frozen meanwhile, leaves
	// the attempt suspended; it does not run and its owner stops it.
	runs := p.w.now < spec.Lease.ReadAt+spec.Lease.Budget
	if row.State.Terminal() && runs && !known {
		p.w.fail("task %s attempt %d started after its end", spec.Task, spec.Attempt)
	}
	if err := p.runtime.Start(context.Background(), spec); err != nil {
		p.w.event("%s start %s/%d: %v", p.vm.ID, spec.Task, spec.Attempt, err)
		return
	}
	p.w.res.Outcomes["starts"]++
}

func (p *process) freeze(d time.Duration) {
	p.frozenUntil = max(p.frozenUntil, p.w.now+d)
	p.w.fault("worker freeze")
	p.w.event("%s@%d frozen for %v", p.vm.ID, p.incarnation, d)
}
