package admission

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// TaskReason tells why a task command was refused.
type TaskReason string

// Reasons of refused task commands.
const (
	TaskAdmitted         TaskReason = ""
	TaskWrongIncarnation TaskReason = "wrong-incarnation"
	TaskLowerEpoch       TaskReason = "lower-epoch"
	TaskBudgetOver       TaskReason = "budget-over"
	TaskOlderAttempt     TaskReason = "older-attempt"
	TaskOtherAttempt     TaskReason = "other-attempt-held"
	TaskReleased         TaskReason = "already-released"
	TaskDraining         TaskReason = "draining"
	TaskNoCapacity       TaskReason = "no-capacity"
	TaskInvalid          TaskReason = "invalid"
	TaskMemoryFull       TaskReason = "unsettled-attempts"
)

// StartCommand asks the worker to start one attempt of a task.
type StartCommand struct {
	Task    types.TaskID
	Attempt types.Attempt
	Shard   types.ShardID
	Epoch   types.Epoch
	Target  types.Incarnation
	Demand  types.Resources
	// Echo and Budget bound the validity of the command on the worker's clock.
	Echo   time.Duration
	Budget time.Duration
}

// TaskDecision is the result of Reserve.
type TaskDecision struct {
	Reason TaskReason
	// Repeat tells that the attempt was already held; nothing is started again.
	Repeat bool
}

// held is the reservation of one attempt.
type held struct {
	attempt types.Attempt
	demand  types.Resources
}

// released remembers the last released attempt of a task.
type released struct {
	attempt types.Attempt
	// settled tells that the owner has recorded the end of the attempt.
	settled bool
	// validUntil is, once settled, when no valid command for the attempt can remain.
	validUntil time.Duration
}

// MaxReleased bounds the released attempts whose end no owner has recorded. It
// is far above the tasks of one VM, and is reached only in a long outage.
const MaxReleased = 4096

// Tasks is the worker's admission of tasks against the VM's capacity.
type Tasks struct {
	incarnation types.Incarnation
	capacity    types.Resources
	maxBudget   time.Duration
	draining    bool
	used        types.Resources
	held        map[types.TaskID]held
	released    map[types.TaskID]released
	epochs      map[types.ShardID]types.Epoch
}

// NewTasks returns the task admission of a new incarnation. Commands with a
// budget above maxBudget are refused.
func NewTasks(incarnation types.Incarnation, capacity types.Resources, maxBudget time.Duration) *Tasks {
	return &Tasks{
		incarnation: incarnation,
		capacity:    capacity,
		maxBudget:   maxBudget,
		held:        make(map[types.TaskID]held),
		released:    make(map[types.TaskID]released),
		epochs:      make(map[types.ShardID]types.Epoch),
	}
}

// ObserveEpoch takes the epoch of any command of a shard. It reports false for an
// epoch below the highest seen; such a command must be ignored.
func (t *Tasks) ObserveEpoch(shard types.ShardID, epoch types.Epoch) bool {
	if epoch < t.epochs[shard] {
		return false
	}
	t.epochs[shard] = epoch
	return true
}

// Drain refuses all new attempts from now on.
func (t *Tasks) Drain() {
	t.draining = true
}

// Used returns the amount held by attempts.
func (t *Tasks) Used() types.Resources {
	return t.used
}

// Held returns the number of attempts held.
func (t *Tasks) Held() int {
	return len(t.held)
}

// Reserve decides on a start command. A repeat for a held attempt is admitted
// without a second reservation.
func (t *Tasks) Reserve(now time.Duration, c StartCommand) TaskDecision {
	if reason := t.refuseCommand(now, c); reason != TaskAdmitted {
		return TaskDecision{Reason: reason}
	}
	if h, ok := t.held[c.Task]; ok {
		return decideHeld(h, c)
	}
	if rel, ok := t.released[c.Task]; ok && c.Attempt <= rel.attempt {
		return TaskDecision{Reason: TaskReleased}
	}
	if t.draining {
		return TaskDecision{Reason: TaskDraining}
	}
	if len(t.released) >= MaxReleased {
		return TaskDecision{Reason: TaskMemoryFull}
	}
	if !t.used.Add(c.Demand).Fits(t.capacity) {
		return TaskDecision{Reason: TaskNoCapacity}
	}
	t.hold(c.Task, c.Attempt, c.Demand)
	return TaskDecision{}
}

// refuseCommand checks what a command needs before its task is looked at.
func (t *Tasks) refuseCommand(now time.Duration, c StartCommand) TaskReason {
	switch {
	case c.Target != t.incarnation:
		return TaskWrongIncarnation
	case !t.ObserveEpoch(c.Shard, c.Epoch):
		return TaskLowerEpoch
	case c.Demand.Negative() || c.Attempt == 0 || c.Echo > now || c.Budget <= 0 || c.Budget > t.maxBudget:
		return TaskInvalid
	case now > c.Echo+c.Budget:
		return TaskBudgetOver
	default:
		return TaskAdmitted
	}
}

// decideHeld decides on a command for a task of which an attempt is held. A
// later attempt waits until the earlier one is released.
func decideHeld(h held, c StartCommand) TaskDecision {
	switch {
	case c.Attempt == h.attempt:
		return TaskDecision{Repeat: true}
	case c.Attempt < h.attempt:
		return TaskDecision{Reason: TaskOlderAttempt}
	default:
		return TaskDecision{Reason: TaskOtherAttempt}
	}
}

// Adopt holds an attempt that the runtime already runs, as found by a new
// incarnation. It may exceed the capacity; then nothing else is admitted.
func (t *Tasks) Adopt(task types.TaskID, attempt types.Attempt, demand types.Resources) {
	if _, ok := t.held[task]; ok {
		return
	}
	t.hold(task, attempt, demand)
}

func (t *Tasks) hold(task types.TaskID, attempt types.Attempt, demand types.Resources) {
	t.held[task] = held{attempt: attempt, demand: demand}
	t.used = t.used.Add(demand)
}

// Release frees the reservation of an attempt that has stopped. The attempt is
// remembered until Settle, because an owner that has not heard of its end may
// send the start command again. It reports false if the attempt is not held.
func (t *Tasks) Release(task types.TaskID, attempt types.Attempt) bool {
	h, ok := t.held[task]
	if !ok || h.attempt != attempt {
		return false
	}
	delete(t.held, task)
	t.used = t.used.Sub(h.demand)
	t.released[task] = released{attempt: attempt}
	return true
}

// Settle records that the owner has committed the end of the attempt. From
// then on no owner sends its start command, and the copies under way are void
// after the longest budget.
func (t *Tasks) Settle(now time.Duration, task types.TaskID, attempt types.Attempt) {
	rel, ok := t.released[task]
	if !ok || rel.attempt != attempt || rel.settled {
		return
	}
	t.released[task] = released{attempt: attempt, settled: true, validUntil: now + t.maxBudget}
}

// Forget drops the settled attempts for which no command can be valid any more.
func (t *Tasks) Forget(now time.Duration) {
	for task, rel := range t.released {
		if rel.settled && now > rel.validUntil {
			delete(t.released, task)
		}
	}
}
