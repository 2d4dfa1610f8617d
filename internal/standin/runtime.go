package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// Runtime simulates the task runtime of one VM. Tasks run no code. While its
// lease is valid, a running task progresses in proportion to clock time and its
// throttle share. It is done when its progress reaches RunTime. A task with a
// RunTime of zero never ends.
type Runtime struct {
	p  *Platform
	vm types.VMID

	mu    sync.Mutex
	tasks map[types.TaskID]*runtimeTask
}

type runtimeTask struct {
	spec       platform.StartSpec
	phase      platform.RuntimePhase
	leaseEnd   time.Duration // clock time
	throttle   float64       // share of the reservation, 0 to 1
	checkpoint string
	ran        time.Duration // progress, as run time at full speed
	updatedAt  time.Duration // clock time at which ran was last computed
	started    time.Duration // clock time of Start
	failure    string
}

// checkpointData is the content of a checkpoint object.
type checkpointData struct {
	Task types.TaskID
	Ran  time.Duration // progress, as run time at full speed
}

var _ platform.Runtime = (*Runtime)(nil)

func (t *runtimeTask) live() bool {
	return t.phase == platform.PhaseRunning || t.phase == platform.PhaseSuspended
}

// lockAndAdvance calls advance with mu locked. The caller must not hold mu.
func (r *Runtime) lockAndAdvance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
}

// advance updates the progress and the phase of every task to the current clock
// time, which it returns. The caller must hold mu.
func (r *Runtime) advance() time.Duration {
	now := r.p.opts.Clock()
	for _, t := range r.tasks {
		r.advanceTask(t, now)
	}
	return now
}

func (r *Runtime) advanceTask(t *runtimeTask, now time.Duration) {
	if t.phase != platform.PhaseRunning {
		return
	}
	from := t.updatedAt
	to := max(from, min(now, t.leaseEnd))
	end := t.endTime()
	if end <= to {
		to = end
		t.ran = t.spec.RunTime
		t.phase = platform.PhaseDone
		r.p.violationRecorder.completed(t.spec.Task)
	} else {
		t.ran += time.Duration(float64(to-from) * t.throttle)
		if now >= t.leaseEnd {
			t.phase = platform.PhaseSuspended
		}
	}
	t.updatedAt = to
	if to > from {
		r.p.violationRecorder.ran(t.spec.Task, Run{VM: r.vm, Attempt: t.spec.Attempt, From: from, To: to})
	}
}

// endTime returns the clock time at which the task will be done if it keeps
// running at its current throttle share, or math.MaxInt64 if it never will be.
func (t *runtimeTask) endTime() time.Duration {
	if t.spec.RunTime <= 0 || t.throttle <= 0 {
		return math.MaxInt64
	}
	left := max(0, t.spec.RunTime-t.ran)
	return t.updatedAt + time.Duration(math.Ceil(float64(left)/t.throttle))
}

// findAttempt returns the task if the given attempt is its current one, or
// platform.ErrNotFound.
func (r *Runtime) findAttempt(task types.TaskID, attempt types.Attempt) (*runtimeTask, error) {
	t, ok := r.tasks[task]
	if !ok || t.spec.Attempt != attempt {
		return nil, fmt.Errorf("task %q attempt %d on VM %q: %w", task, attempt, r.vm, platform.ErrNotFound)
	}
	return t, nil
}

// State returns the current time on the runtime's clock and the status of all
// tasks, ordered by task ID.
func (r *Runtime) State(ctx context.Context) (platform.RuntimeState, error) {
	if err := ctx.Err(); err != nil {
		return platform.RuntimeState{}, err
	}
	currentUsageLag := r.p.currentUsageLag()
	r.mu.Lock()
	defer r.mu.Unlock()
	st := platform.RuntimeState{Now: r.advance()}
	for _, t := range r.tasks {
		st.Tasks = append(st.Tasks, r.status(t, st.Now, currentUsageLag))
	}
	slices.SortFunc(st.Tasks, func(a, b platform.TaskStatus) int {
		return strings.Compare(string(a.Task), string(b.Task))
	})
	return st, nil
}

// status returns the status of a task. The usage is that at time now-lag and is
// left empty if the task had not started by then.
func (r *Runtime) status(t *runtimeTask, now, lag time.Duration) platform.TaskStatus {
	measured := now - lag
	s := platform.TaskStatus{
		Task: t.spec.Task, Attempt: t.spec.Attempt, Class: t.spec.Class,
		Phase: t.phase, Reserved: t.spec.Reserved, Throttle: t.throttle,
		Checkpoint: t.checkpoint, Ran: t.ran, Error: t.failure,
	}
	if measured < t.started {
		return s
	}
	s.MeasuredAt = measured
	s.Usage = t.spec.Reserved
	if r.p.opts.Usage != nil {
		s.Usage = r.p.opts.Usage(r.vm, t.spec, max(0, t.ran-lag))
	}
	s.Usage.MilliCPU = int64(float64(s.Usage.MilliCPU) * t.throttle)
	if t.phase != platform.PhaseRunning {
		s.Usage.MilliCPU = 0
	}
	return s
}

// Start begins an attempt. If its lease has already expired, the attempt is
// suspended at once. It returns an error if another attempt of the task is
// live or newer. Starting the current attempt again has no effect.
func (r *Runtime) Start(ctx context.Context, spec platform.StartSpec) error {
	ran, err := r.loadCheckpoint(ctx, spec)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	if old, ok := r.tasks[spec.Task]; ok {
		if old.spec.Attempt == spec.Attempt {
			return nil
		}
		if old.live() || old.spec.Attempt > spec.Attempt {
			return fmt.Errorf("task %q: attempt %d on VM %q is live or newer, cannot start attempt %d",
				spec.Task, old.spec.Attempt, r.vm, spec.Attempt)
		}
	}
	t := &runtimeTask{
		spec: spec, phase: platform.PhaseRunning, throttle: 1,
		leaseEnd:   spec.Lease.ReadAt + spec.Lease.Budget,
		checkpoint: spec.Checkpoint, ran: ran, updatedAt: now, started: now,
	}
	r.tasks[spec.Task] = t
	r.p.violationRecorder.started(spec.Task, spec.Attempt)
	r.advanceTask(t, now)
	r.checkOverload(now)
	return nil
}

func (r *Runtime) loadCheckpoint(ctx context.Context, spec platform.StartSpec) (time.Duration, error) {
	if spec.Checkpoint == "" {
		return 0, ctx.Err()
	}
	data, err := r.p.Objects.Get(ctx, spec.Checkpoint)
	if err != nil {
		return 0, fmt.Errorf("load checkpoint of task %q: %w", spec.Task, err)
	}
	var c checkpointData
	if err := json.Unmarshal(data, &c); err != nil {
		return 0, fmt.Errorf("decode checkpoint %q of task %q: %w", spec.Checkpoint, spec.Task, err)
	}
	if c.Task != spec.Task {
		return 0, fmt.Errorf("checkpoint %q belongs to task %q, not %q", spec.Checkpoint, c.Task, spec.Task)
	}
	return c.Ran, nil
}

// checkOverload records an overload if the live tasks reserve more than the
// capacity of the VM. Suspended tasks count, because they keep their memory and
// may resume in place.
func (r *Runtime) checkOverload(now time.Duration) {
	capacity := r.p.vmCapacity(r.vm)
	if capacity.IsZero() {
		// The capacity is not known.
		return
	}
	var sum types.Resources
	for _, t := range r.tasks {
		if t.live() {
			sum = sum.Add(t.spec.Reserved)
		}
	}
	if !sum.Fits(capacity) {
		r.p.violationRecorder.overloaded(Overload{VM: r.vm, At: now, Reserved: sum, Capacity: capacity})
	}
}

// Renew extends the lease of an attempt and never shortens it. A suspended task
// resumes if the new lease has not expired.
func (r *Runtime) Renew(ctx context.Context, task types.TaskID, attempt types.Attempt, lease platform.RuntimeLease) error {
	return r.updateAttempt(ctx, task, attempt, func(t *runtimeTask, now time.Duration) error {
		end := lease.ReadAt + lease.Budget
		t.leaseEnd = max(t.leaseEnd, end)
		if t.phase == platform.PhaseSuspended && end > now {
			t.phase = platform.PhaseRunning
			t.updatedAt = now
		}
		return nil
	})
}

// Suspend suspends the task in place and ends its lease.
func (r *Runtime) Suspend(ctx context.Context, task types.TaskID, attempt types.Attempt) error {
	return r.updateAttempt(ctx, task, attempt, func(t *runtimeTask, now time.Duration) error {
		if t.phase == platform.PhaseRunning {
			t.phase = platform.PhaseSuspended
		}
		t.leaseEnd = min(t.leaseEnd, now)
		return nil
	})
}

// Throttle limits an attempt to a share, from 0 to 1, of its reservation. A share
// outside this range is an error.
func (r *Runtime) Throttle(ctx context.Context, task types.TaskID, attempt types.Attempt, share float64) error {
	if math.IsNaN(share) || share < 0 || share > 1 {
		return fmt.Errorf("throttle share %v of task %q is outside the range 0 to 1", share, task)
	}
	return r.updateAttempt(ctx, task, attempt, func(t *runtimeTask, _ time.Duration) error {
		t.throttle = share
		return nil
	})
}

// Checkpoint stores the progress of a live attempt in the named object.
func (r *Runtime) Checkpoint(ctx context.Context, task types.TaskID, attempt types.Attempt, object string) error {
	var ran time.Duration
	err := r.updateAttempt(ctx, task, attempt, func(t *runtimeTask, _ time.Duration) error {
		if !t.live() {
			return fmt.Errorf("cannot checkpoint task %q in phase %s", task, t.phase)
		}
		ran = t.ran
		return nil
	})
	if err != nil {
		return err
	}
	data, err := json.Marshal(checkpointData{Task: task, Ran: ran})
	if err != nil {
		return err
	}
	if err := r.p.Objects.Put(ctx, object, data); err != nil {
		return fmt.Errorf("store checkpoint of task %q: %w", task, err)
	}
	// The lock was released during Put, so the attempt may no longer be current.
	return r.updateAttempt(ctx, task, attempt, func(t *runtimeTask, _ time.Duration) error {
		t.checkpoint = object
		return nil
	})
}

// Stop ends a live attempt. A finished attempt keeps its phase.
func (r *Runtime) Stop(ctx context.Context, task types.TaskID, attempt types.Attempt) error {
	return r.updateAttempt(ctx, task, attempt, func(t *runtimeTask, _ time.Duration) error {
		if t.live() {
			t.phase = platform.PhaseStopped
		}
		return nil
	})
}

// Fail makes a live attempt fail with the given reason. It is not part of
// platform.Runtime.
func (r *Runtime) Fail(ctx context.Context, task types.TaskID, attempt types.Attempt, reason string) error {
	return r.updateAttempt(ctx, task, attempt, func(t *runtimeTask, _ time.Duration) error {
		if t.live() {
			t.phase = platform.PhaseFailed
			t.failure = reason
		}
		return nil
	})
}

// Forget drops a finished attempt. It returns an error for a live attempt.
func (r *Runtime) Forget(ctx context.Context, task types.TaskID, attempt types.Attempt) error {
	return r.updateAttempt(ctx, task, attempt, func(t *runtimeTask, _ time.Duration) error {
		if t.live() {
			return fmt.Errorf("cannot forget task %q in phase %s", task, t.phase)
		}
		delete(r.tasks, task)
		return nil
	})
}

// Reset drops all tasks, as a failure of the VM would.
func (r *Runtime) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	clear(r.tasks)
}

// updateAttempt advances all tasks to the current time and calls f on the given
// attempt, or returns platform.ErrNotFound if it is not the current one.
func (r *Runtime) updateAttempt(ctx context.Context, task types.TaskID, attempt types.Attempt,
	f func(*runtimeTask, time.Duration) error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	t, err := r.findAttempt(task, attempt)
	if err != nil {
		return err
	}
	return f(t, now)
}
