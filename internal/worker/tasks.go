package worker

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

var (
	eventRuntimeDown = telemetry.Define(610, logrus.WarnLevel, "task runtime does not answer",
		"The worker cannot read or control the task runtime of the VM. If this persists, tasks end when their leases expire. Check the runtime on the VM.")
	eventRuntimeUp = telemetry.Define(611, logrus.InfoLevel, "task runtime answers again",
		"No action.")
	eventCommandRefused = telemetry.Define(612, logrus.WarnLevel, "task command refused",
		"The worker refused a command of a shard owner; the reason field names the rule. A few refusals are expected when ownership changes.")
	eventRunRightEnded = telemetry.Define(613, logrus.WarnLevel, "run right of batch tasks ended",
		"No shard owner has confirmed the worker for the configured time. Batch tasks are suspended in place and resume when an owner confirms the worker again. Check the table service and the network.")
)

const (
	// reconcileInterval is how often the runtime is read and leases are renewed.
	reconcileInterval = time.Second
	// latencyCriticalLease is the lease of latency-critical tasks. Their leases
	// depend on this process alone, so that they run on during table outages.
	latencyCriticalLease = 5 * time.Minute
	// leaseRenewalDivisor defines when a lease is renewed: once 1/10 of it has
	// passed.
	leaseRenewalDivisor = 10
)

// taskDriver executes task commands and renews the leases of tasks in the
// runtime.
type taskDriver struct {
	w *Worker
	// commands serializes commands, so that they take effect in order.
	commands sync.Mutex

	mu sync.Mutex
	// leases holds the time at which the lease of each attempt ends.
	leases map[attemptKey]time.Duration
	// lastReadAt is the time of the last successful read of the runtime.
	lastReadAt  time.Duration
	runtimeDown bool
	// unlistedReports holds reports of attempts that the runtime does not list:
	// refused starts, and stops of attempts whose start never arrived.
	unlistedReports map[attemptKey]*wirepb.TaskReport
	// failedCheckpoints is true for attempts whose last checkpoint failed.
	failedCheckpoints map[attemptKey]bool
	reportSeq         uint64

	// hash covers attempts, phases, checkpoints, failed checkpoints and unlisted
	// reports; see updateHash.
	hash atomic.Uint64
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task    types.TaskID
	attempt types.Attempt
}

func newTaskDriver(w *Worker) *taskDriver {
	return &taskDriver{
		w:                 w,
		leases:            make(map[attemptKey]time.Duration),
		unlistedReports:   make(map[attemptKey]*wirepb.TaskReport),
		failedCheckpoints: make(map[attemptKey]bool),
	}
}

// Acked passes the reply of the shard's owner to a heartbeat on to the gate.
func (w *Worker) Acked(reply shard.HeartbeatReply) {
	w.state.Enqueue(func(s *state) { s.gate.Acked(w.node.Clock(), reply) })
}

// TasksHash returns a hash that changes whenever the attempts in the runtime,
// their phases, checkpoints or failed checkpoints, or the unlisted reports change.
func (w *Worker) TasksHash() uint64 { return w.tasks.hash.Load() }

// adoptRunning reserves capacity for the attempts that are running or suspended
// in the runtime, which an earlier worker process on this VM started.
func (d *taskDriver) adoptRunning(ctx context.Context) error {
	rt, err := d.readRuntime(ctx)
	if err != nil {
		// The runtime may not be running yet. If it runs but does not answer, its
		// attempts are not adopted.
		return nil
	}
	return d.w.state.Do(func(s *state) {
		for i := range rt.Tasks {
			t := &rt.Tasks[i]
			if isLive(t.Phase) {
				s.tasks.Adopt(t.Task, t.Attempt, t.Reserved)
				s.gate.AddExisting(t.Task, t.Attempt, t.Class)
			}
		}
	})
}

func isLive(p platform.RuntimePhase) bool {
	return p == platform.PhaseRunning || p == platform.PhaseSuspended
}

// run calls reconcile periodically until the context ends.
func (d *taskDriver) run(ctx context.Context) {
	for wait(ctx, reconcileInterval) == nil {
		d.reconcile(ctx)
	}
}

// reconcile reads the runtime, releases the reservations of finished attempts
// and renews the leases of those that may run.
func (d *taskDriver) reconcile(ctx context.Context) {
	rt, err := d.readRuntime(ctx)
	if err != nil {
		return
	}
	d.releaseFinished(rt)
	d.mu.Lock()
	readAt := d.lastReadAt
	d.mu.Unlock()
	runBudgets := d.runBudgets(rt, readAt)
	for i := range rt.Tasks {
		if runBudgets[i] > 0 {
			d.renewLease(ctx, rt.Now, readAt, runBudgets[i], &rt.Tasks[i])
		}
	}
}

// runBudgets returns, for each task in rt, how long after readAt it may run. The
// value is 0 for a task that may not run.
func (d *taskDriver) runBudgets(rt platform.RuntimeState, readAt time.Duration) []time.Duration {
	runBudgets := make([]time.Duration, len(rt.Tasks))
	err := d.w.state.Do(func(s *state) {
		if s.gate.Tick(readAt) {
			d.w.tel.Log.Log(eventRunRightEnded, nil, nil)
		}
		for i := range rt.Tasks {
			t := &rt.Tasks[i]
			if isLive(t.Phase) && s.gate.MayRun(readAt, t.Task, t.Attempt) {
				runBudgets[i] = s.runBudget(t.Class, readAt)
			}
		}
	})
	if err != nil {
		clear(runBudgets)
	}
	return runBudgets
}

// runBudget returns how long after readAt a task of the class may run.
func (s *state) runBudget(class types.Class, readAt time.Duration) time.Duration {
	if class == types.ClassLatencyCritical {
		return latencyCriticalLease
	}
	return s.gate.RunRightEnd() - readAt
}

// readRuntime returns the runtime's state. It also updates lastReadAt and the
// hash, and logs when the runtime stops or starts answering.
func (d *taskDriver) readRuntime(ctx context.Context) (platform.RuntimeState, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	rt, err := d.w.opts.Runtime.State(ctx)
	// The clock is read after the answer, that is, later than the runtime read
	// its own. The budget of a lease is computed from this reading, but the lease
	// starts at the runtime's reading. It therefore ends no later than the run
	// right.
	now := d.w.node.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if (err != nil) != d.runtimeDown {
		d.runtimeDown = err != nil
		event := eventRuntimeUp
		if d.runtimeDown {
			event = eventRuntimeDown
		}
		d.w.tel.Log.Log(event, err, nil)
	}
	if err != nil {
		return rt, err
	}
	d.lastReadAt = now
	d.updateHash(rt)
	return rt, nil
}

// updateHash recomputes the hash of attempts and triggers a heartbeat if it has
// changed. The hash does not depend on the order of the tasks. The caller holds
// d.mu.
func (d *taskDriver) updateHash(rt platform.RuntimeState) {
	var sum uint64
	for i := range rt.Tasks {
		t := &rt.Tasks[i]
		sum += hashStrings(string(t.Task), strconv.Itoa(int(t.Attempt)), string(t.Phase), t.Checkpoint)
	}
	for key, t := range d.unlistedReports {
		sum += hashStrings(string(key.task), strconv.Itoa(int(key.attempt)), t.GetPhase())
	}
	for key, failed := range d.failedCheckpoints {
		if failed {
			sum += hashStrings(string(key.task), strconv.Itoa(int(key.attempt)), "checkpoint failed")
		}
	}
	if d.hash.Swap(sum) != sum {
		d.w.triggerHeartbeat()
	}
}

func hashStrings(parts ...string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		// Writes to a hash never fail.
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// releaseFinished releases the reservations of attempts that no longer run.
func (d *taskDriver) releaseFinished(rt platform.RuntimeState) {
	var finished []attemptKey
	for i := range rt.Tasks {
		if t := &rt.Tasks[i]; !isLive(t.Phase) {
			finished = append(finished, attemptKey{t.Task, t.Attempt})
		}
	}
	if len(finished) == 0 {
		return
	}
	d.w.state.Enqueue(func(s *state) {
		for _, k := range finished {
			s.tasks.Release(k.task, k.attempt)
			s.gate.RecordEnd(k.task, k.attempt)
		}
	})
}

// renewLease renews a task's lease in the runtime if the task is not running or
// 1/leaseRenewalDivisor of the lease has passed.
func (d *taskDriver) renewLease(ctx context.Context, rtNow, readAt, runBudget time.Duration, t *platform.TaskStatus) {
	key := attemptKey{t.Task, t.Attempt}
	d.mu.Lock()
	until := d.leases[key]
	d.mu.Unlock()
	if t.Phase == platform.PhaseRunning && readAt+runBudget-until < runBudget/leaseRenewalDivisor {
		return
	}
	lease := platform.RuntimeLease{ReadAt: rtNow, Budget: runBudget}
	if err := d.w.opts.Runtime.Renew(ctx, t.Task, t.Attempt, lease); err != nil {
		return
	}
	d.mu.Lock()
	d.leases[key] = readAt + runBudget
	d.mu.Unlock()
}
