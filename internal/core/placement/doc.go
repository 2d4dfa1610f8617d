// Package placement chooses VMs for tasks and victims for preemption.
//
// State holds the VMs and allocations of one shard (it also works for a whole
// region). Place reads the state and returns a Decision, which the caller
// applies with Add, Remove and Resize. All methods are deterministic given
// their inputs and the random source, and none is safe for concurrent use.
//
// A decision scores at most maxCandidates VMs, found through a tree of free
// capacity, so the cost depends neither on the number of running tasks nor
// linearly on the number of VMs.
package placement

import (
	"errors"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Errors of State's methods, to be compared with errors.Is.
var (
	// ErrInsufficientCapacity: the VM lacks the free capacity; nothing changed.
	ErrInsufficientCapacity = errors.New("reserved sizes would exceed the VM's capacity")
	// ErrUnknownVM: the VM is not in the state.
	ErrUnknownVM = errors.New("VM is not in the placement state")
	// ErrUnknownTask: the task has no allocation in the state.
	ErrUnknownTask = errors.New("task has no allocation in the placement state")
	// ErrDuplicateTask: the task already has an allocation.
	ErrDuplicateTask = errors.New("task already has an allocation in the placement state")
)

// Request asks for a VM for one task.
type Request struct {
	Task types.TaskID
	Job  types.JobID
	Kind string
	// Service is the service of a replica; empty for batch.
	Service  types.ServiceName
	Class    types.Class
	Priority int
	Urgent   bool
	// Size is the amount to reserve.
	Size types.Resources
	// RunTime is the expected remaining run time; zero means unknown.
	RunTime time.Duration
	// Deadline is the time by which the task should finish; zero means none.
	Deadline time.Duration
	// Domains restricts placement; empty allows all.
	Domains []types.FailureDomain
	// Avoid excludes one VM, for example the one that a moved task leaves.
	Avoid types.VMID
	Quota Quota
}

// Quota is the owner's view of the team's quota when the request is made.
type Quota struct {
	Limited bool
	// Remaining is the part of the owner's share that is not charged.
	Remaining types.Resources
	// Total is the team's quota across all owners.
	Total types.Resources
}

// Running is an allocation with the data that preemption needs.
type Running struct {
	types.Allocation
	Job      types.JobID
	Kind     string
	Service  types.ServiceName
	Priority int
	Urgent   bool
	// Gang marks a task of a gang: evicting one task of Job evicts all of them.
	Gang    bool
	Started time.Duration
	// CheckpointedAt is the time of the last checkpoint. An eviction without a
	// checkpoint loses the work done since Started or CheckpointedAt, whichever
	// is later.
	CheckpointedAt time.Duration
	// Evictions counts earlier evictions of the task, over all attempts. A new
	// owner starts at zero.
	Evictions int
}

// Outcome is the kind of a Decision.
type Outcome uint8

// Outcomes of a placement.
const (
	// Placed: VM has room.
	Placed Outcome = iota + 1
	// Preempt: VM has room once Victims have stopped.
	Preempt
	// Wait: no VM has room now.
	Wait
	// Infeasible: the request cannot be met with the VMs of the state and the
	// team's quota even if both were unused, or its size is negative.
	Infeasible
)

// Constraint is the reason for a Wait or Infeasible decision.
type Constraint uint8

// Constraints.
const (
	NoConstraint Constraint = iota
	ConstraintProcessors
	ConstraintMemory
	ConstraintAccelerators
	// ConstraintCombination: each amount fits on some VM, but no VM has all.
	ConstraintCombination
	ConstraintFailureDomain
	ConstraintQuota
	// ConstraintGang: each task fits alone, but not all at once.
	ConstraintGang
	// ConstraintNoVM: the state holds no usable VM.
	ConstraintNoVM
	// ConstraintInvalid: the request's size is negative.
	ConstraintInvalid
)

var constraintNames = [...]string{
	"none", "processors", "memory", "accelerators", "combination of amounts",
	"failure domain", "team quota", "gang", "no usable VM", "negative size",
}

// String returns the constraint as shown to operators.
func (c Constraint) String() string {
	if int(c) < len(constraintNames) {
		return constraintNames[c]
	}
	return "unknown constraint"
}

// Decision answers a Request.
type Decision struct {
	Outcome Outcome
	VM      types.VMID
	// Victims are the tasks to evict before the start. The slice is reused by
	// the next call.
	Victims []types.TaskID
	// LostWork is the work since the last checkpoints that evicting Victims
	// would discard, in core time (elapsed time times reserved cores).
	LostWork time.Duration
	// Binding is the constraint that prevents the placement. It is set on Wait
	// and Infeasible.
	Binding Constraint
	// Limit is the largest amount of each resource that an allowed VM, or the
	// quota, offers. It is set on Infeasible.
	Limit types.Resources
	// MissesDeadline reports whether the task cannot meet its deadline even if
	// it starts now.
	MissesDeadline bool
}

// CostFunc returns the cost of running r on vm in units of the score, in which
// a full VM counts 1. It is called for each candidate and must not allocate
// memory.
type CostFunc func(vm types.VMID, r *Request) float64

// Options configure a State. The zero value of a field means its default.
type Options struct {
	// Cost adds interference to the score; nil adds nothing.
	Cost CostFunc
	// MaxEvictions is the number of evictions after which a task is no longer
	// chosen as a victim. Default 3.
	MaxEvictions int
	// MinEvictionInterval is the minimum time from a task's restart after an
	// eviction to its next eviction. Default 10 minutes.
	MinEvictionInterval time.Duration
}

const (
	defaultMaxEvictions        = 3
	defaultMinEvictionInterval = 10 * time.Minute
	// maxCandidates covers a whole shard of 32 VMs; larger states are sampled.
	maxCandidates = 32
)
