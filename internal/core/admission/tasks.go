package admission

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// TaskReason is the reason for refusing a task command.
type TaskReason string

// Reasons of refused task commands. TaskReasonNone means that the command was
// admitted.
const (
	TaskReasonNone       TaskReason = ""
	TaskWrongIncarnation TaskReason = "wrong-incarnation"
	TaskLowerEpoch       TaskReason = "lower-epoch"
	TaskExpired          TaskReason = "budget-over"
	TaskOlderAttempt     TaskReason = "older-attempt"
	TaskOtherAttempt     TaskReason = "other-attempt-held"
	TaskReleased         TaskReason = "already-released"
	TaskDraining         TaskReason = "draining"
	TaskNoCapacity       TaskReason = "no-capacity"
	TaskInvalid          TaskReason = "invalid"
	// TaskTooManyUnsettled means that MaxReleased released attempts, settled or
	// not, are remembered.
	TaskTooManyUnsettled TaskReason = "unsettled-attempts"
)

// StartCommand asks the worker to start one attempt of a task.
type StartCommand struct {
	Task        types.TaskID
	Attempt     types.Attempt
	Shard       types.ShardID
	Epoch       types.Epoch
	Target      types.Incarnation
	Reservation types.Resources
	// Echo and Budget bound the validity of the command on the worker's clock.
	Echo   time.Duration
	Budget time.Duration
}

// TaskDecision is the result of Reserve.
type TaskDecision struct {
	Reason TaskReason
	// Repeat is set if the attempt was already held. The worker must not start
	// it again.
	Repeat bool
}

// held is the reservation of one held attempt.
type held struct {
	attempt types.Attempt
	demand  types.Resources
}

// released is the last attempt of a task whose reservation was released.
type released struct {
	attempt types.Attempt
	// settled is set once the owner has recorded the end of the attempt.
	settled bool
	// validUntil is the latest time at which a command for a settled attempt
	// can be valid.
	validUntil time.Duration
}

// MaxReleased bounds the number of remembered released attempts. It is far above
// the number of tasks on one VM and is reached only if owners do not record the
// ends of attempts during a long outage.
const MaxReleased = 4096

// Tasks is the task admission state of one worker incarnation. It admits task
// attempts up to the VM's capacity.
type Tasks struct {
	incarnation types.Incarnation
	capacity    types.Resources
	maxBudget   time.Duration
	draining    bool
	used        types.Resources
	// held and released hold the held and the last released attempt of each task.
	held     map[types.TaskID]held
	released map[types.TaskID]released
	epochs   map[types.ShardID]types.Epoch
}

// NewTasks returns the task admission state of a new incarnation. Commands with a
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

// ObserveEpoch records the epoch of a command from a shard's owner. It reports
// whether the epoch is at least the highest one seen; otherwise the command must
// be ignored.
func (t *Tasks) ObserveEpoch(shard types.ShardID, epoch types.Epoch) bool {
	if epoch < t.epochs[shard] {
		return false
	}
	t.epochs[shard] = epoch
	return true
}

// Drain makes Reserve refuse all new attempts from now on.
func (t *Tasks) Drain() {
	t.draining = true
}

// Used returns the resources reserved by the held attempts.
func (t *Tasks) Used() types.Resources {
	return t.used
}

// Held returns the number of held attempts.
func (t *Tasks) Held() int {
	return len(t.held)
}

// Reserve admits or refuses a start command. A repeated command for a held attempt
// is admitted without a second reservation.
func (t *Tasks) Reserve(now time.Duration, c StartCommand) TaskDecision {
	if reason := t.refuseCommand(now, c); reason != TaskReasonNone {
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
		return TaskDecision{Reason: TaskTooManyUnsettled}
	}
	if !t.used.Add(c.Reservation).Fits(t.capacity) {
		return TaskDecision{Reason: TaskNoCapacity}
	}
	t.hold(c.Task, c.Attempt, c.Reservation)
	return TaskDecision{}
}

// refuseCommand checks the parts of a command that do not depend on the task's
// state. It returns the reason to refuse the command, or TaskReasonNone. Unless the
// target is wrong, it also records the command's epoch, even if it then refuses the
// command. An echo ahead of the worker's clock is invalid, unlike in an offer,
// because the worker itself reads the echo from its clock when it receives the
// command.
func (t *Tasks) refuseCommand(now time.Duration, c StartCommand) TaskReason {
	switch {
	case c.Target != t.incarnation:
		return TaskWrongIncarnation
	case !t.ObserveEpoch(c.Shard, c.Epoch):
		return TaskLowerEpoch
	case c.Reservation.Negative() || c.Attempt == 0 || c.Echo > now || c.Budget <= 0 || c.Budget > t.maxBudget:
		return TaskInvalid
	case now > c.Echo+c.Budget:
		return TaskExpired
	default:
		return TaskReasonNone
	}
}

// decideHeld decides on a command for a task that has a held attempt. A later
// attempt is refused until the held one is released.
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

// Adopt reserves resources for an attempt that a new incarnation found running.
// The reservations may then exceed the capacity; in that case no other attempt is
// admitted.
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
// remembered at least until Settle is called, because an owner that does not
// know yet that the attempt has ended may send the start command again. Release
// reports whether the attempt was held.
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

// Settle records that the owner has committed the end of the attempt. No owner
// sends its start command after that, and copies in flight expire within the
// maximum budget.
func (t *Tasks) Settle(now time.Duration, task types.TaskID, attempt types.Attempt) {
	rel, ok := t.released[task]
	if !ok || rel.attempt != attempt || rel.settled {
		return
	}
	t.released[task] = released{attempt: attempt, settled: true, validUntil: now + t.maxBudget}
}

// Forget removes the settled attempts for which no command can be valid any more.
func (t *Tasks) Forget(now time.Duration) {
	for task, rel := range t.released {
		if rel.settled && now > rel.validUntil {
			delete(t.released, task)
		}
	}
}
