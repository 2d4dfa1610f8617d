package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Demand is a task to be placed.
type Demand struct {
	// Now is the time of the decision on the owner's clock.
	Now  time.Duration
	Task types.TaskID
	Job  *types.Job
	// Waiting is the number of the job's tasks that wait, this one included. A
	// pass asks for no further task of a job that one decision has put off.
	Waiting int
	// Failures is the number of failed attempts held against the task.
	Failures int
	// LastVM is the VM of the previous attempt; empty if there was none.
	LastVM types.VMID
	// Avoid is the VM that failed or refused the previous attempt lately; empty
	// if there is none.
	Avoid types.VMID
}

// Running is an attempt that occupies a VM.
type Running struct {
	Task     types.TaskID
	Attempt  types.Attempt
	Job      *types.Job
	Reserved types.Resources
	// Evictable attempts may be named in Decision.Evict.
	Evictable bool
	// Started is when the attempt was placed, or when the owner took over.
	Started time.Duration
	// Evictions counts the evictions of the task in the owner's term.
	Evictions int
}

// Candidate is a VM of the shard.
type Candidate struct {
	VM types.VM
	// Available VMs accept new work now; the others count for feasibility only.
	Available bool
	// Free is what is neither reserved nor promised; it may be negative.
	Free    types.Resources
	Running []Running
}

// Decision is the answer to a demand.
type Decision struct {
	// VM is empty if there is no place at present.
	VM types.VMID
	// Reserved is the amount to hold; zero means the job's declared demand.
	Reserved types.Resources
	// Evict names attempts on VM that must stop first. The VM's room is then
	// promised to the task.
	Evict []types.TaskID
	// Infeasible tells why the task can never run; empty if it can.
	Infeasible string
}

// Placer chooses VMs for tasks. Candidates are valid only during the call, are
// in a fixed order, and include what the present pass has already placed.
type Placer interface {
	Place(demand Demand, candidates []Candidate) Decision
}

// Ending tells how an attempt ended.
type Ending uint8

// Endings of an attempt.
const (
	// EndedDone: the attempt finished.
	EndedDone Ending = iota + 1
	// EndedFailed: the task ran and failed.
	EndedFailed
	// EndedInterrupted: stopped, evicted, cancelled, lost with its VM, or never started.
	EndedInterrupted
)

// Learner is implemented by placers that learn from what becomes of attempts.
type Learner interface {
	// Usage tells what an attempt used at takenAt, on the owner's clock.
	Usage(now, takenAt time.Duration, id types.TaskID, use types.Resources)
	// Ended tells the end of an attempt on a VM.
	Ended(now time.Duration, vm types.VMID, id types.TaskID, kind string, how Ending)
	// Withdrawn tells that room is no longer promised to a task.
	Withdrawn(id types.TaskID)
	// Quarantined reports whether failures on the VM are blamed on it.
	Quarantined(vm types.VMID) bool
}

// noLearner serves placers that learn nothing.
type noLearner struct{}

func (noLearner) Usage(_, _ time.Duration, _ types.TaskID, _ types.Resources) {}

func (noLearner) Ended(time.Duration, types.VMID, types.TaskID, string, Ending) {}

func (noLearner) Withdrawn(types.TaskID) {}

func (noLearner) Quarantined(types.VMID) bool { return false }

func learnerOf(p Placer) Learner {
	if l, ok := p.(Learner); ok {
		return l
	}
	return noLearner{}
}
