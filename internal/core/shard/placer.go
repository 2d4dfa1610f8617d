package shard

import (
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Demand is a task to be placed.
type Demand struct {
	Task types.TaskID
	Job  *types.Job
	// Failures is the number of failed attempts held against the task.
	Failures int
	// LastVM is the VM of the previous attempt; empty if there was none.
	LastVM types.VMID
}

// Running is an attempt that occupies a VM.
type Running struct {
	Task     types.TaskID
	Job      *types.Job
	Reserved types.Resources
	// Evictable attempts may be named in Decision.Evict.
	Evictable bool
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
