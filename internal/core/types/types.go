// Package types defines the data types shared by the core packages and the
// packages that do I/O around them.
//
// All values are plain data. Resource amounts are integers in the units given
// by their field names, so that sums over a VM are exact.
package types

import (
	"encoding/hex"
	"fmt"
	"time"
)

// VMID identifies a VM within an operator's inventory.
type VMID string

// FailureDomain is the name of a set of VMs that can fail together.
type FailureDomain string

// Region is the name of a set of failure domains with low latency between them.
type Region string

// Rack is the name of a rack within a failure domain.
type Rack string

// ShardID identifies a shard: at most config.MaxShardVMs VMs of one failure domain
// that have one owner.
type ShardID string

// TeamID identifies a team, the unit to which quotas are assigned.
type TeamID string

// ServiceName is the name of a latency-critical service.
type ServiceName string

// JobID identifies one submitted job.
type JobID string

// TaskID identifies one task of a job. It is the job's ID, a slash and the
// task's index.
type TaskID string

// Epoch numbers the ownership terms of a shard. Higher epochs supersede lower
// ones.
type Epoch uint64

// Version numbers the accepted configurations. It only increases.
type Version uint64

// Attempt numbers the attempts of one task, from 1. Attempts of requests are
// identified by RequestID.
type Attempt uint32

// Incarnation identifies one run of a process. It is random and never zero.
// Incarnations are not ordered.
type Incarnation uint64

// RequestID identifies one request of a caller from the time an entry receives it,
// or one attempt of that request. The ID of an attempt is the ID of the request
// with the number of the attempt in the last byte.
type RequestID [16]byte

// String returns the ID as 32 hexadecimal digits.
func (id RequestID) String() string {
	return hex.EncodeToString(id[:])
}

// ParseRequestID parses the format written by String.
func ParseRequestID(s string) (RequestID, error) {
	var id RequestID
	b, err := hex.DecodeString(s)
	if err != nil {
		return id, fmt.Errorf("request ID %q is not hexadecimal: %w", s, err)
	}
	if len(b) != len(id) {
		return id, fmt.Errorf("request ID %q has %d bytes, want %d", s, len(b), len(id))
	}
	copy(id[:], b)
	return id, nil
}

// Class distinguishes latency-critical work from batch work.
type Class uint8

// Classes of work.
const (
	ClassLatencyCritical Class = iota + 1
	ClassBatch
)

// String returns the class as it is written in inventories.
func (c Class) String() string {
	switch c {
	case ClassLatencyCritical:
		return "latency-critical"
	case ClassBatch:
		return "batch"
	default:
		return fmt.Sprintf("class(%d)", uint8(c))
	}
}

// VM is a machine of the inventory.
type VM struct {
	ID            VMID
	Region        Region
	FailureDomain FailureDomain
	Rack          Rack
	Shard         ShardID
	Capacity      Resources
	// Slots is the number of requests that upstreams on the VM may run at once.
	Slots int
	// Connections is the maximum number of open connections to upstreams on the
	// VM.
	Connections int
}

// Service is a latency-critical service that callers send requests to.
type Service struct {
	Name     ServiceName
	Team     TeamID
	Replicas int
	// Demand is the declared resource demand of one replica.
	Demand Resources
	// Deadline bounds one request, from its arrival at an entry. If it is zero,
	// Rules.RequestDeadline of package config applies.
	Deadline time.Duration
	// Urgent gives the service's requests priority over others when slots are
	// scarce.
	Urgent bool
	// SpreadDomains places replicas in as many failure domains as possible.
	SpreadDomains bool
}

// Job is a batch job, or the job that runs the replicas of a service.
type Job struct {
	ID    JobID
	Kind  string
	Team  TeamID
	Class Class
	// Priority orders jobs of one class, 0 (lowest) to 100.
	Priority int
	// Urgent jobs must start within the urgent start limit, by preemption if
	// necessary.
	Urgent bool
	// Demand is the declared resource demand of one task.
	Demand Resources
	// RunTime is the declared run time of one task.
	RunTime time.Duration
	// Tasks is the number of tasks.
	Tasks int
	// Gang requires all tasks to start together.
	Gang bool
	// Deadline is the time by which the job should finish, on the clock of the
	// state machine that manages the job; zero means none.
	Deadline time.Duration
	// FailureDomains restricts placement; empty allows all.
	FailureDomains []FailureDomain
}

// TaskID returns the ID of the job's task with the given index.
func (j *Job) TaskID(index int) TaskID {
	return TaskID(fmt.Sprintf("%s/%d", j.ID, index))
}

// Allocation binds one attempt of a task to a VM.
type Allocation struct {
	Task    TaskID
	Attempt Attempt
	VM      VMID
	// Incarnation is the worker process that the attempt was assigned to.
	Incarnation Incarnation
	// Epoch is the ownership term in which the attempt was placed.
	Epoch Epoch
	// Reserved is the amount reserved on the VM for the attempt.
	Reserved Resources
	Class    Class
}
