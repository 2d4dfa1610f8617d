package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Demand is a request to place a task.
type Demand struct {
	// Now is the time on the owner's clock.
	Now  time.Duration
	Task types.TaskID
	Job  *types.Job
	// Waiting is the number of waiting tasks of the job, including this one. If
	// the placer finds no VM for a task, the same pass requests no other task
	// of the job.
	Waiting int
	// Failures is the number of failed attempts that count toward
	// task.MaxFailures.
	Failures int
	// LastVM is the VM of the previous attempt; empty if there was none.
	LastVM types.VMID
	// Avoid is the VM of the last failed or refused attempt, or of the last ended
	// attempt of a service replica, while the task avoids it; empty otherwise.
	Avoid types.VMID
}

// Running is a live attempt on a VM.
type Running struct {
	Task     types.TaskID
	Attempt  types.Attempt
	Job      *types.Job
	Reserved types.Resources
	// Evictable is set if the attempt may be listed in Decision.Evict.
	Evictable bool
	// Started is the time at which the attempt was placed, or the time of the
	// takeover if the attempt is older.
	Started time.Duration
	// Evictions is the number of evictions of the task in the owner's term.
	Evictions int
}

// Candidate is a VM of the shard on which a task may be placed.
type Candidate struct {
	// VM is the VM. Its Capacity is zero if it is no longer configured.
	VM types.VM
	// Available is set if the VM accepts new work now. Other VMs only count
	// when the placer decides whether a task is feasible.
	Available bool
	// Free is the capacity that is neither reserved nor held for another task.
	// It may be negative.
	Free    types.Resources
	Running []Running
}

// Decision is the placer's answer to a Demand.
type Decision struct {
	// VM is the chosen VM; empty if the task cannot be placed now.
	VM types.VMID
	// Reserved is the capacity to reserve; zero means the job's declared
	// demand.
	Reserved types.Resources
	// Evict lists the attempts on VM that must stop first. Until then, capacity
	// on VM is held for the task.
	Evict []types.TaskID
	// Infeasible is why the task cannot run with the current inventory and the
	// team's quota, even once capacity is free; empty if it can.
	Infeasible string
}

// Placer chooses VMs for tasks. The candidates are valid only during the call,
// have a fixed order, and include the placements of the current pass.
type Placer interface {
	Place(demand Demand, candidates []Candidate) Decision
}

// AttemptEnd is how an attempt ended.
type AttemptEnd uint8

// Ways in which an attempt ended.
const (
	// AttemptDone: the attempt finished.
	AttemptDone AttemptEnd = iota + 1
	// AttemptFailed: the task ran and failed.
	AttemptFailed
	// AttemptInterrupted: the attempt was stopped, evicted, cancelled or lost
	// with its VM, or never started.
	AttemptInterrupted
)

// Learner is an optional interface of a Placer. The owner reports resource
// usage and the ends of attempts to it.
type Learner interface {
	// Usage reports the resource usage of an attempt, measured at takenAt on
	// the owner's clock.
	Usage(now, takenAt time.Duration, id types.TaskID, use types.Resources)
	// Ended reports that an attempt ended on a VM.
	Ended(now time.Duration, vm types.VMID, id types.TaskID, kind string, how AttemptEnd)
	// Withdrawn reports that capacity is no longer held for a task that has no
	// live attempt.
	Withdrawn(id types.TaskID)
	// Quarantined reports whether failures on the VM are attributed to the VM
	// instead of the task.
	Quarantined(vm types.VMID) bool
}

// noLearner is the Learner for placers that do not implement Learner.
type noLearner struct{}

func (noLearner) Usage(_, _ time.Duration, _ types.TaskID, _ types.Resources) {}

func (noLearner) Ended(time.Duration, types.VMID, types.TaskID, string, AttemptEnd) {}

func (noLearner) Withdrawn(types.TaskID) {}

func (noLearner) Quarantined(types.VMID) bool { return false }

// learnerOf returns p as a Learner, or a Learner that ignores all calls.
func learnerOf(p Placer) Learner {
	if l, ok := p.(Learner); ok {
		return l
	}
	return noLearner{}
}
