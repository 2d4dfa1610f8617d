// Package guard contains the invariant checks that run in production.
//
// A check returns nil or a Violation. On a violation, the shard owner refuses the
// change that would break the invariant and logs the violation with the rule's
// number as the event number. Checks allocate memory only when they fail.
package guard

import (
	"fmt"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Rule is one invariant. Its number, from 800 to 899, is also the number of an
// event.
type Rule struct {
	Number int
	// Message is the fixed text of the event.
	Message string
	// Meaning explains to an operator how the system reacted and what to do.
	Meaning string
}

// Rules checked by the shard owner.
var (
	OverCapacity = Rule{800, "reservations exceed the capacity of a VM",
		"The placement was refused and the task waits. Report it with the log: the owner's accounting is wrong."}
	SecondAttempt = Rule{801, "second live attempt of a task",
		"The row change that would start a second attempt was refused, or an attempt that the task's row does not name was told to stop. Report it with the log."}
	AttemptDecreased = Rule{802, "attempt number decreased",
		"The row change was refused. Report it with the log."}
	EpochDecreased = Rule{803, "epoch decreased",
		"The row change was refused. Report it with the log."}
	StartBeforeCommit = Rule{804, "start command for an attempt that is not committed or no longer live",
		"The command was not sent. Report it with the log."}
)

// Rules returns all rules in order of number.
func Rules() []Rule {
	return []Rule{OverCapacity, SecondAttempt, AttemptDecreased, EpochDecreased, StartBeforeCommit}
}

// Violation is the violation of a rule by one object.
type Violation struct {
	Rule Rule
	// Object is the VM or task ID.
	Object string
	// Detail holds the values that violate the rule.
	Detail string
}

// Error returns number, message, object and detail in one line.
func (v *Violation) Error() string {
	return fmt.Sprintf("guard %d: %s: %s: %s", v.Rule.Number, v.Rule.Message, v.Object, v.Detail)
}

// Capacity checks that the reservations of a VM fit its capacity.
func Capacity(vm types.VMID, reserved, capacity types.Resources) *Violation {
	if reserved.Fits(capacity) {
		return nil
	}
	return &Violation{OverCapacity, string(vm), fmt.Sprintf("reserved %v of %v", reserved, capacity)}
}

// CheckChange checks a change of a task row from one attempt and epoch to another.
// fromLive is set if the old attempt may still be running.
func CheckChange(task types.TaskID, fromAttempt, toAttempt types.Attempt, fromEpoch, toEpoch types.Epoch, fromLive bool) *Violation {
	switch {
	case toAttempt < fromAttempt:
		return &Violation{AttemptDecreased, string(task), fmt.Sprintf("from %d to %d", fromAttempt, toAttempt)}
	case toEpoch < fromEpoch:
		return &Violation{EpochDecreased, string(task), fmt.Sprintf("from %d to %d", fromEpoch, toEpoch)}
	case toAttempt > fromAttempt && fromLive:
		return &Violation{SecondAttempt, string(task), fmt.Sprintf("attempt %d while %d is live", toAttempt, fromAttempt)}
	default:
		return nil
	}
}

// CheckStart checks that a start command names the committed attempt and that this
// attempt is live.
func CheckStart(task types.TaskID, attempt, committed types.Attempt, committedLive bool) *Violation {
	if attempt == committed && committedLive {
		return nil
	}
	return &Violation{StartBeforeCommit, string(task), fmt.Sprintf("attempt %d, committed %d", attempt, committed)}
}
