package task

import (
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// EventKind is something that happened to a task.
type EventKind string

// Kinds of events.
const (
	// EventPlace starts the next attempt on a VM.
	EventPlace EventKind = "place"
	// EventStarted: the worker reports the attempt in its runtime.
	EventStarted EventKind = "started"
	// EventAdopted: a new incarnation on the attempt's VM reports it.
	EventAdopted EventKind = "adopted"
	// EventCheckpointed: the checkpoint of an eviction is written.
	EventCheckpointed EventKind = "checkpointed"
	// EventStopped: the attempt is proven not to run any more.
	EventStopped EventKind = "stopped"
	// EventFinished: the attempt has completed.
	EventFinished EventKind = "finished"
	// EventFailed: the attempt has failed.
	EventFailed EventKind = "failed"
	// EventCancel: an operator cancelled the task.
	EventCancel EventKind = "cancel"
	// EventInfeasible: placement proved that the task can never run.
	EventInfeasible EventKind = "infeasible"
	// EventFeasible: the inventory changed; placement is tried again.
	EventFeasible EventKind = "feasible"

	// The following refine a kind by the row and are not given by callers.
	stoppedCheckpoint EventKind = "stopped with checkpoint"
	stoppedCancel     EventKind = "stopped with cancel"
	failedCancel      EventKind = "failed with cancel"
	failedFinal       EventKind = "failed finally"
	failedCheckpoint  EventKind = "failed with checkpoint"
)

// MaxFailures is the number of failures held against a task that end it. A
// faulty task stops after three tries; failures blamed on a worker don't count.
const MaxFailures = 3

// Event is one event of a task.
type Event struct {
	Kind EventKind
	// Attempt is the attempt concerned; for EventPlace the new one. Events that
	// concern the task as a whole (cancel, infeasible, feasible) ignore it.
	Attempt types.Attempt
	// Epoch is the term of the owner that applies the event.
	Epoch types.Epoch
	// VM, Incarnation and Reserved are used by EventPlace; Incarnation also by
	// EventAdopted.
	VM          types.VMID
	Incarnation types.Incarnation
	Reserved    types.Resources
	// Checkpoint names the latest checkpoint object, if the event reports one.
	Checkpoint string
	// Blameless failures are not held against the task.
	Blameless bool
	// Refused tells that the worker never started the attempt.
	Refused bool
	// Reason tells why the task failed or is infeasible.
	Reason string
}

// Verdict tells what became of an event.
type Verdict string

// Verdicts. All but Accepted leave the row as it was.
const (
	Accepted Verdict = "accepted"
	// Repeated: the event has been applied before.
	Repeated Verdict = "repeated"
	// StaleAttempt: the event concerns another attempt than the present one.
	StaleAttempt Verdict = "stale attempt"
	// StaleEpoch: the event comes from a superseded owner.
	StaleEpoch Verdict = "stale epoch"
	// Ended: the task is done, failed or cancelled.
	Ended Verdict = "ended"
	// NotAllowed: the state does not accept the event.
	NotAllowed Verdict = "not allowed"
)

// transitions is the life cycle: the next state by state and event. An event
// that is missing is not allowed in the state.
var transitions = map[State]map[EventKind]State{
	Pending: {
		EventPlace:      Placed,
		EventFinished:   Done, // completed before its stop was inferred
		EventCancel:     Cancelled,
		EventInfeasible: Infeasible,
	},
	Evicted: {
		EventPlace:      Resumed,
		EventFinished:   Done, // completed before its stop was inferred
		EventCancel:     Cancelled,
		EventInfeasible: Infeasible,
	},
	Placed:       liveTransitions(Placed, Running),
	Resumed:      liveTransitions(Resumed, Running),
	Running:      liveTransitions(Running, Running),
	Checkpointed: liveTransitions(Checkpointed, Checkpointed),
	Infeasible: {
		EventFeasible: Pending,
		EventCancel:   Cancelled,
	},
	Done:      {},
	Failed:    {},
	Cancelled: {},
}

// liveTransitions returns the transitions of a state with a liveTransitions attempt.
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

// Apply returns the row after the event. The row is unchanged unless the
// verdict is Accepted.
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

// checkAttemptAndEpoch applies the rules on attempts and epochs.
func checkAttemptAndEpoch(row Row, ev Event) Verdict {
	if ev.Epoch < row.Epoch {
		return StaleEpoch
	}
	if row.State.Terminal() {
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

// refineKind chooses the variant of an event that the row calls for.
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

// updateFields sets the fields that the event carries.
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
