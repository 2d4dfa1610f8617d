// Package types defines the nouns shared by the core and the shells.
//
// All values are plain data. Resource amounts are integers in the units named
// by their fields, so that sums over a VM are exact.
package types

import (
	"encoding/hex"
	"fmt"
	"time"
)

// VMID names a VM within an operator's inventory.
type VMID string

// FailureDomain names a set of VMs that fail together.
type FailureDomain string

// Region names a set of failure domains with low latency between them.
type Region string

// Rack names a rack within a failure domain.
type Rack string

// ShardID names a set of at most 32 VMs of one failure domain with one owner.
type ShardID string

// TeamID names the team that a quota belongs to.
type TeamID string

// ServiceName names a latency-critical service.
type ServiceName string

// JobID names one submitted job.
type JobID string

// TaskID names one task of a job: the job's ID, a slash and the index.
type TaskID string

// Epoch counts the ownership terms of a shard. Higher epochs supersede lower ones.
type Epoch uint64

// Version counts accepted configurations. It only increases.
type Version uint64

// Attempt counts the attempts of one task, from 1.
type Attempt uint32

// Incarnation identifies one run of a process. It is random, never zero, and
// carries no order.
type Incarnation uint64

// RequestID identifies one caller request from its entry on.
type RequestID [16]byte

// String returns the ID as 32 hexadecimal digits.
func (id RequestID) String() string {
	return hex.EncodeToString(id[:])
}

// ParseRequestID reads the form that String writes.
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

// Class separates latency-critical from batch work.
type Class uint8

// Classes of work.
const (
	ClassLatencyCritical Class = iota + 1
	ClassBatch
)

// String returns the class as written in inventories.
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
	// Connections is the number of connections to upstreams on the VM.
	Connections int
}

// Service is a latency-critical service that callers send requests to.
type Service struct {
	Name     ServiceName
	Team     TeamID
	Replicas int
	// Demand is the declared size of one replica.
	Demand Resources
	// Deadline bounds one request, from its arrival at an entry.
	Deadline time.Duration
	// Urgent marks requests that go before others when slots are short.
	Urgent bool
	// SpreadDomains places replicas in as many failure domains as possible.
	SpreadDomains bool
}

// Job is a batch job, or the job behind the replicas of a service.
type Job struct {
	ID    JobID
	Kind  string
	Team  TeamID
	Class Class
	// Priority orders jobs of one class, 0 (lowest) to 100.
	Priority int
	// Urgent jobs start within the urgent start limit, by preemption if need be.
	Urgent bool
	// Demand is the declared size of one task.
	Demand Resources
	// RunTime is the declared run time of one task.
	RunTime time.Duration
	// Tasks is the number of tasks.
	Tasks int
	// Gang requires all tasks to start together.
	Gang bool
	// Deadline is the time by which the job should finish, on the clock of the
	// state machine that holds the job; zero means none.
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
	// Incarnation is the worker process that the attempt was given to.
	Incarnation Incarnation
	// Epoch is the ownership term in which the attempt was placed.
	Epoch Epoch
	// Reserved is the amount held on the VM for the attempt.
	Reserved Resources
	Class    Class
}
