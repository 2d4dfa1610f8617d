package task

import (
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// EventPlace: the owner places the next attempt on a VM.
	EventPlace EventKind = "place"
	// EventStarted: the worker reports that its runtime has the attempt.
	EventStarted EventKind = "started"
	// EventAdopted: a new worker incarnation on the attempt's VM reports it.
	EventAdopted EventKind = "adopted"
	// EventCheckpointed: the checkpoint for an eviction has been written.
	EventCheckpointed EventKind = "checkpointed"
	// EventStopped: the attempt is proven to have stopped.
	EventStopped EventKind = "stopped"
	// EventFinished: the attempt completed successfully.
	EventFinished EventKind = "finished"
	// EventFailed: the attempt failed.
	EventFailed EventKind = "failed"
	// EventCancel: the task's job was cancelled.
	EventCancel EventKind = "cancel"
	// EventInfeasible: the task cannot run with the current inventory.
	EventInfeasible EventKind = "infeasible"
	// EventFeasible: the inventory changed, so an infeasible task is placed
	// again.
	EventFeasible EventKind = "feasible"

	// refineKind derives the following kinds from the row. Callers do not use
	// them.
	stoppedCheckpoint EventKind = "stopped with checkpoint"
	stoppedCancel     EventKind = "stopped with cancel"
	failedCancel      EventKind = "failed with cancel"
	failedFinal       EventKind = "failed finally"
	failedCheckpoint  EventKind = "failed with checkpoint"
)

// MaxFailures is the number of counted failures after which a task fails
// permanently. Failures that are attributed to a worker are not counted.
const MaxFailures = 3

// Event is an input to the state machine of a task.
type Event struct {
	Kind EventKind
	// Attempt is the attempt that the event is about; for EventPlace, the new
	// attempt. EventCancel, EventInfeasible and EventFeasible ignore it.
	Attempt types.Attempt
	// Epoch is the epoch of the owner that applies the event.
	Epoch types.Epoch
	// VM, Incarnation and Reserved are set for EventPlace. Incarnation is also
	// set for EventAdopted.
	VM          types.VMID
	Incarnation types.Incarnation
	Reserved    types.Resources
	// Checkpoint is the name of the latest checkpoint object, if there is one.
	Checkpoint string
	// Blameless is set if a failure does not count toward MaxFailures.
	Blameless bool
	// Refused is set if the worker refused to start the attempt.
	Refused bool
	// Reason is why the task failed or is infeasible.
	Reason string
}

// Verdict is the result of applying an event.
type Verdict string

// Verdicts. All except Accepted leave the row unchanged.
const (
	Accepted Verdict = "accepted"
	// Repeated: the event was already applied.
	Repeated Verdict = "repeated"
	// StaleAttempt: the event is not about the current attempt or, for
	// EventPlace, not about the next one.
	StaleAttempt Verdict = "stale attempt"
	// StaleEpoch: the event comes from an owner with an earlier epoch.
	StaleEpoch Verdict = "stale epoch"
	// Ended: the task is done, failed or cancelled.
	Ended Verdict = "ended"
	// NotAllowed: the transition table has no entry for the event in this
	// state.
	NotAllowed Verdict = "not allowed"
)

// transitions maps the current state and the kind of event to the next state.
// An event that is not listed for a state is not allowed in it.
var transitions = map[State]map[EventKind]State{
	Pending: {
		EventPlace:      Placed,
		EventFinished:   Done, // completed before the owner inferred its stop
		EventCancel:     Cancelled,
		EventInfeasible: Infeasible,
	},
	Evicted: {
		EventPlace:      Resumed,
		EventFinished:   Done, // completed before the owner inferred its stop
		EventCancel:     Cancelled,
		EventInfeasible: Infeasible,
	},
	Placed:       liveTransitions(Placed, Running),
	Resumed:      liveTransitions(Resumed, Running),
	Running:      liveTransitions(Running, Running),
	Checkpointed: liveTransitions(Checkpointed, Checkpointed),
	Infeasible: {
		EventFeasible: Pending, // Evicted if there is a checkpoint, see updateFields
		EventCancel:   Cancelled,
	},
	Done:      {},
	Failed:    {},
	Cancelled: {},
}

// liveTransitions returns the transitions from a state with a live attempt. The
// events EventStarted and EventAdopted lead to the state started.
func liveTransitions(state, started State) map[EventKind]State {
	return map[EventKind]State{
		EventStarted:      started,
		EventAdopted:      started,
		EventCheckpointed: Checkpointed,
		EventStopped:      Pending,
		stoppedCheckpoint: Evicted,
		stoppedCancel:     Cancelled,
		EventFinished:     Done,
		EventFailed:       Pending,
		failedCheckpoint:  Evicted,
		failedCancel:      Cancelled,
		failedFinal:       Failed,
		EventCancel:       state,
	}
}

// Apply applies an event and returns the new row. The row is unchanged unless
// the verdict is Accepted.
func Apply(row Row, ev Event) (Row, Verdict) {
	if v := checkAttemptAndEpoch(row, ev); v != Accepted {
		return row, v
	}
	next := row
	if ev.Checkpoint != "" {
		next.Checkpoint = ev.Checkpoint
	}
	if ev.Kind == EventFailed && !ev.Blameless {
		next.Failures++
	}
	state, ok := transitions[row.State][refineKind(next, ev.Kind)]
	if !ok {
		return row, NotAllowed
	}
	next.State = state
	updateFields(&next, ev)
	if next == row {
		return row, Repeated
	}
	next.Epoch = ev.Epoch
	return next, Accepted
}

// checkAttemptAndEpoch rejects events of superseded owners, events for tasks
// that have ended, and events about other attempts.
func checkAttemptAndEpoch(row Row, ev Event) Verdict {
	if ev.Epoch < row.Epoch {
		return StaleEpoch
	}
	if row.State.Final() {
		return Ended
	}
	switch ev.Kind {
	case EventCancel, EventInfeasible, EventFeasible:
		return Accepted
	case EventPlace:
		if ev.Attempt != row.Attempt+1 {
			return StaleAttempt
		}
	default:
		if ev.Attempt != row.Attempt || ev.Attempt == 0 {
			return StaleAttempt
		}
	}
	return Accepted
}

// refineKind returns the variant of an event kind that depends on whether the
// row is cancelled, has a checkpoint or has reached MaxFailures.
func refineKind(row Row, kind EventKind) EventKind {
	switch kind {
	case EventStopped:
		if row.Cancel {
			return stoppedCancel
		}
		if row.Checkpoint != "" {
			return stoppedCheckpoint
		}
	case EventFailed:
		if row.Cancel {
			return failedCancel
		}
		if row.Failures >= MaxFailures {
			return failedFinal
		}
		if row.Checkpoint != "" {
			return failedCheckpoint
		}
	}
	return kind
}

// updateFields copies the fields of the event to the row. After EventFeasible it
// also changes the state of a task with a checkpoint from Pending to Evicted.
func updateFields(row *Row, ev Event) {
	switch ev.Kind {
	case EventPlace:
		row.Attempt = ev.Attempt
		row.VM = ev.VM
		row.Incarnation = ev.Incarnation
		row.Reserved = ev.Reserved
	case EventAdopted:
		row.Incarnation = ev.Incarnation
	case EventCancel:
		row.Cancel = true
	case EventFailed, EventInfeasible:
		row.Reason = ev.Reason
	case EventFeasible:
		row.Reason = ""
		if row.Checkpoint != "" {
			row.State = Evicted
		}
	}
}
