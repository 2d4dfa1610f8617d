package worker

import (
	"context"
	"errors"
	"hash"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

var (
	eventRuntimeDown = telemetry.Define(610, logrus.WarnLevel, "task runtime does not answer",
		"The worker cannot read or command the VM's task runtime. Tasks end with their lease if it lasts. Check the runtime on the VM.")
	eventRuntimeUp = telemetry.Define(611, logrus.InfoLevel, "task runtime answers again",
		"No action.")
	eventCommandRefused = telemetry.Define(612, logrus.WarnLevel, "task command refused",
		"The worker refused a command of a shard owner; the reason names the rule. A few are expected when ownership changes.")
	eventRunRightEnded = telemetry.Define(613, logrus.WarnLevel, "run right of batch tasks ended",
		"No shard owner has confirmed the worker for the configured time. Batch tasks are suspended in place and resume when an owner is heard. Check the table service and the network.")
)

const (
	// driveInterval is how often the runtime is read and leases are renewed.
	driveInterval = time.Second
	// serviceLease is the lease of latency-critical tasks. They depend on this
	// process alone, so that they go on during outages of the table.
	serviceLease = 5 * time.Minute
	// renewShare of a lease may pass before it is renewed.
	renewShare = 10
)

// driver carries out task commands and keeps the leases in the runtime.
type driver struct {
	w *Worker
	// commands serialises commands, so that they take effect in order.
	commands sync.Mutex

	mu sync.Mutex
	// confirmedAt is the worker's own reading in the latest heartbeat that a
	// shard owner acknowledged under a valid lease.
	confirmedAt time.Duration
	confirmed   bool
	leases      map[attemptKey]time.Duration
	latest      platform.RuntimeState
	latestAt    time.Duration
	down, ended bool

	hash atomic.Uint64
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task    types.TaskID
	attempt types.Attempt
}

func newDriver(w *Worker) *driver {
	return &driver{w: w, leases: make(map[attemptKey]time.Duration)}
}

// Confirm extends the run right of batch tasks: an owner with a valid lease has
// acknowledged the heartbeat that carried the reading echo.
func (w *Worker) Confirm(echo time.Duration) {
	d := w.tasks
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.confirmed || echo > d.confirmedAt {
		d.confirmed, d.confirmedAt = true, echo
	}
}

// ObserveEpoch records an ownership term of the shard; commands of lower terms
// are refused from then on.
func (w *Worker) ObserveEpoch(shard types.ShardID, epoch types.Epoch) {
	w.state.Tell(func(s *state) { s.tasks.Observe(shard, epoch) })
}

// TasksHash changes whenever the attempts in the runtime or their phases change.
func (w *Worker) TasksHash() uint64 { return w.tasks.hash.Load() }

// adopt takes over what the runtime already runs, started by an earlier process
// on this VM.
func (d *driver) adopt(ctx context.Context) error {
	rt, err := d.read(ctx)
	if err != nil {
		// The runtime may come up later; until then it runs nothing.
		return nil
	}
	return d.w.state.Do(func(s *state) {
		for i := range rt.Tasks {
			t := &rt.Tasks[i]
			if live(t.Phase) {
				s.tasks.Adopt(t.Task, t.Attempt, t.Reserved)
			}
		}
	})
}

func live(p platform.RuntimePhase) bool {
	return p == platform.PhaseRunning || p == platform.PhaseSuspended
}

// run reads the runtime and renews leases until the context ends.
func (d *driver) run(ctx context.Context) {
	for wait(ctx, driveInterval) == nil {
		d.drive(ctx)
	}
}

func (d *driver) drive(ctx context.Context) {
	rt, err := d.read(ctx)
	if err != nil {
		return
	}
	d.releaseFinished(rt)
	for i := range rt.Tasks {
		if t := &rt.Tasks[i]; live(t.Phase) {
			d.renew(ctx, rt.Now, t)
		}
	}
}

// read returns the runtime's state and remembers it for reports.
func (d *driver) read(ctx context.Context) (platform.RuntimeState, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	rt, err := d.w.opts.Runtime.State(ctx)
	// Taken after the answer: the runtime's reading is older than this one, so
	// a lease counted from it ends no later than the right that it stands for.
	now := d.w.node.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if (err != nil) != d.down {
		d.down = err != nil
		event := eventRuntimeUp
		if d.down {
			event = eventRuntimeDown
		}
		d.w.tel.Log.Log(event, err, nil)
	}
	if err != nil {
		return rt, err
	}
	d.latest, d.latestAt = rt, now
	d.storeHash(rt)
	return rt, nil
}

// storeHash makes the next heartbeat tell the owner that something changed.
func (d *driver) storeHash(rt platform.RuntimeState) {
	h := xxhash.New()
	for i := range rt.Tasks {
		t := &rt.Tasks[i]
		writeParts(h, string(t.Task), strconv.Itoa(int(t.Attempt)), string(t.Phase), t.Checkpoint)
	}
	sum := h.Sum64()
	if d.hash.Swap(sum) != sum {
		d.w.signalChange()
	}
}

func writeParts(h hash.Hash, parts ...string) {
	for _, p := range parts {
		// Writing to a hash never fails.
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
}

// releaseFinished frees the reservations of attempts that no longer run.
func (d *driver) releaseFinished(rt platform.RuntimeState) {
	var finished []attemptKey
	for i := range rt.Tasks {
		if t := &rt.Tasks[i]; !live(t.Phase) {
			finished = append(finished, attemptKey{t.Task, t.Attempt})
		}
	}
	if len(finished) == 0 {
		return
	}
	d.w.state.Tell(func(s *state) {
		for _, k := range finished {
			s.tasks.Release(k.task, k.attempt)
		}
	})
}

// right returns how long a task may still run from the reading now.
func (d *driver) right(class types.Class, now time.Duration) time.Duration {
	if class == types.ClassLatencyCritical {
		return serviceLease
	}
	c := d.w.node.Config.Current()
	if c == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.confirmed {
		return 0
	}
	return d.confirmedAt + c.Rules().BatchRunRight - now
}

// renew extends a task's lease in the runtime when a share of it has passed.
func (d *driver) renew(ctx context.Context, rtNow time.Duration, t *platform.TaskStatus) {
	key := attemptKey{t.Task, t.Attempt}
	d.mu.Lock()
	until, readAt := d.leases[key], d.latestAt
	d.mu.Unlock()
	right := d.right(t.Class, readAt)
	d.noteRight(t.Class, right)
	if right <= 0 {
		return
	}
	if t.Phase == platform.PhaseRunning && readAt+right-until < right/renewShare {
		return
	}
	lease := platform.RuntimeLease{ReadAt: rtNow, Budget: right}
	if err := d.w.opts.Runtime.Renew(ctx, t.Task, t.Attempt, lease); err != nil {
		return
	}
	d.mu.Lock()
	d.leases[key] = readAt + right
	d.mu.Unlock()
}

// noteRight logs when the run right of batch tasks ends.
func (d *driver) noteRight(class types.Class, right time.Duration) {
	if class != types.ClassBatch {
		return
	}
	d.mu.Lock()
	first := right <= 0 && !d.ended
	d.ended = right <= 0
	d.mu.Unlock()
	if first {
		d.w.tel.Log.Log(eventRunRightEnded, nil, nil)
	}
}

// command carries out commands of a shard owner in order.
func (d *driver) command(ctx context.Context, r *wirepb.CommandRequest) (*wirepb.CommandResponse, error) {
	d.commands.Lock()
	defer d.commands.Unlock()
	if types.Incarnation(r.GetIncarnation()) != d.w.node.Incarnation {
		return nil, twirp.NewError(twirp.FailedPrecondition, "worker has another incarnation; read its tasks again")
	}
	var current bool
	err := d.w.state.Do(func(s *state) {
		current = s.tasks.Observe(types.ShardID(r.GetShard()), types.Epoch(r.GetEpoch()))
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if !current {
		return nil, twirp.NewError(twirp.FailedPrecondition, "a later owner of the shard has been seen; stop acting as its owner")
	}
	resp := &wirepb.CommandResponse{Incarnation: uint64(d.w.node.Incarnation)}
	for _, c := range r.GetCommands() {
		resp.Results = append(resp.Results, d.execute(ctx, r, c))
	}
	// The next heartbeat carries the new list of attempts.
	_, _ = d.read(ctx)
	return resp, nil
}

// Results of commands besides the reasons of package admission.
const (
	resultRuntime  = "runtime-unavailable"
	resultNotFound = "not-found"
)

func (d *driver) execute(ctx context.Context, r *wirepb.CommandRequest, c *wirepb.TaskCommand) *wirepb.CommandResult {
	result := &wirepb.CommandResult{Task: c.GetTask(), Attempt: c.GetAttempt(), Ok: true}
	kind, err := d.carryOut(ctx, r, c)
	if kind == "" && err == nil {
		return result
	}
	result.Ok = false
	result.Kind = kind
	if err != nil {
		result.Message = err.Error()
		result.Kind = resultRuntime
		if errors.Is(err, platform.ErrNotFound) {
			result.Kind = resultNotFound
		}
	}
	d.w.tel.Log.Log(eventCommandRefused, err, telemetry.Fields{
		"task": c.GetTask(), "attempt": c.GetAttempt(), "command": c.GetKind().String(), "reason": result.Kind,
	})
	return result
}

func (d *driver) carryOut(ctx context.Context, r *wirepb.CommandRequest, c *wirepb.TaskCommand) (string, error) {
	task, attempt := types.TaskID(c.GetTask()), types.Attempt(c.GetAttempt())
	rt := d.w.opts.Runtime
	switch c.GetKind() {
	case wirepb.CommandKind_COMMAND_KIND_START:
		return d.start(ctx, r, c)
	case wirepb.CommandKind_COMMAND_KIND_STOP:
		err := rt.Stop(ctx, task, attempt)
		if err == nil {
			d.release(task, attempt)
		}
		return "", err
	case wirepb.CommandKind_COMMAND_KIND_CHECKPOINT:
		return "", rt.Checkpoint(ctx, task, attempt, c.GetCheckpoint())
	case wirepb.CommandKind_COMMAND_KIND_THROTTLE:
		return "", rt.Throttle(ctx, task, attempt, c.GetShare())
	case wirepb.CommandKind_COMMAND_KIND_FORGET:
		d.settle(task, attempt)
		return "", rt.Forget(ctx, task, attempt)
	default:
		return "unknown-command", nil
	}
}

// start reserves capacity, then starts the attempt in the runtime.
func (d *driver) start(ctx context.Context, r *wirepb.CommandRequest, c *wirepb.TaskCommand) (string, error) {
	task, attempt := types.TaskID(c.GetTask()), types.Attempt(c.GetAttempt())
	reserved := FromWire(c.GetReserved())
	var decision admission.TaskDecision
	err := d.w.state.Do(func(s *state) {
		decision = s.tasks.Reserve(d.w.node.Clock(), admission.StartCommand{
			Task:    task,
			Attempt: attempt,
			Shard:   types.ShardID(r.GetShard()),
			Epoch:   types.Epoch(r.GetEpoch()),
			Target:  types.Incarnation(r.GetIncarnation()),
			Demand:  reserved,
			Echo:    time.Duration(r.GetEchoNs()),
			Budget:  time.Duration(r.GetBudgetNs()),
		})
	})
	if err != nil || decision.Reason != admission.TaskAdmitted {
		return string(decision.Reason), err
	}
	class := types.Class(c.GetClass())
	err = d.startInRuntime(ctx, platform.StartSpec{
		Task:       task,
		Attempt:    attempt,
		Class:      class,
		Reserved:   reserved,
		Kind:       c.GetJobKind(),
		RunTime:    time.Duration(c.GetRunTimeMs()) * time.Millisecond,
		Checkpoint: c.GetCheckpoint(),
	})
	if errors.Is(err, platform.ErrUnavailable) {
		// The runtime refused before it acted, so the capacity is free again.
		d.release(task, attempt)
	}
	return "", err
}

func (d *driver) startInRuntime(ctx context.Context, spec platform.StartSpec) error {
	rt, err := d.read(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	readAt := d.latestAt
	d.mu.Unlock()
	right := d.right(spec.Class, readAt)
	if right <= 0 {
		return platform.ErrUnavailable
	}
	spec.Lease = platform.RuntimeLease{ReadAt: rt.Now, Budget: right}
	if err := d.w.opts.Runtime.Start(ctx, spec); err != nil {
		return err
	}
	d.mu.Lock()
	d.leases[attemptKey{spec.Task, spec.Attempt}] = readAt + right
	d.mu.Unlock()
	return nil
}

func (d *driver) release(task types.TaskID, attempt types.Attempt) {
	d.w.state.Tell(func(s *state) { s.tasks.Release(task, attempt) })
}

func (d *driver) settle(task types.TaskID, attempt types.Attempt) {
	d.mu.Lock()
	delete(d.leases, attemptKey{task, attempt})
	d.mu.Unlock()
	d.w.state.Tell(func(s *state) {
		s.tasks.Release(task, attempt)
		s.tasks.Settle(d.w.node.Clock(), task, attempt)
	})
}

// report returns the attempts in the runtime, read afresh.
func (d *driver) report(ctx context.Context) (*wirepb.TasksResponse, error) {
	rt, err := d.read(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "task runtime does not answer; try again")
	}
	resp := &wirepb.TasksResponse{
		Incarnation: uint64(d.w.node.Incarnation),
		ClockNs:     int64(d.w.node.Clock()),
		Tasks:       make([]*wirepb.TaskReport, 0, len(rt.Tasks)),
	}
	for i := range rt.Tasks {
		t := &rt.Tasks[i]
		resp.Tasks = append(resp.Tasks, &wirepb.TaskReport{
			Task:       string(t.Task),
			Attempt:    uint32(t.Attempt),
			Class:      uint32(t.Class),
			Phase:      string(t.Phase),
			Reserved:   ToWire(t.Reserved),
			Usage:      ToWire(t.Usage),
			UsageAgeMs: (rt.Now - t.MeasuredAt).Milliseconds(),
			Checkpoint: t.Checkpoint,
			RanMs:      t.Ran.Milliseconds(),
			Error:      t.Error,
			Throttle:   t.Throttle,
		})
	}
	return resp, nil
}

// ToWire converts an amount to its message.
func ToWire(r types.Resources) *wirepb.Resources {
	return &wirepb.Resources{MilliCpu: r.MilliCPU, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

// FromWire converts an amount from its message; nil is zero.
func FromWire(r *wirepb.Resources) types.Resources {
	return types.Resources{MilliCPU: r.GetMilliCpu(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators()}
}
