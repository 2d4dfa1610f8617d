package task

import (
	"encoding/json"
	"fmt"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// State is a state in the life cycle of a task.
type State string

// States of a task.
const (
	// Pending tasks wait for a placement and have no checkpoint.
	Pending State = "pending"
	// Placed tasks have an allocated VM; no worker has reported the attempt
	// yet.
	Placed State = "placed"
	// Running tasks have an attempt that a worker has reported.
	Running State = "running"
	// Checkpointed tasks have written the checkpoint for an eviction, but are
	// not yet proven stopped.
	Checkpointed State = "checkpointed"
	// Evicted tasks are proven stopped, after an eviction, a loss or a failure,
	// and wait to resume from a checkpoint.
	Evicted State = "evicted"
	// Resumed tasks are placed again from a checkpoint; no worker has reported
	// the new attempt yet.
	Resumed State = "resumed"
	// Done tasks completed successfully.
	Done State = "done"
	// Failed tasks have reached MaxFailures.
	Failed State = "failed"
	// Cancelled tasks were cancelled and are proven stopped.
	Cancelled State = "cancelled"
	// Infeasible tasks cannot run on any VM of the current inventory.
	Infeasible State = "infeasible"
)

// Live reports whether the task has an attempt that may be running.
func (s State) Live() bool {
	return s == Placed || s == Running || s == Checkpointed || s == Resumed
}

// Waiting reports whether the task is waiting for a placement.
func (s State) Waiting() bool {
	return s == Pending || s == Evicted
}

// Final reports whether the task has ended. Infeasible is not final,
// because a change of the inventory can make the task feasible.
func (s State) Final() bool {
	return s == Done || s == Failed || s == Cancelled
}

// Row is the table row of a task. A task that has no row is pending.
type Row struct {
	Task  types.TaskID `json:"task"`
	Job   types.JobID  `json:"job"`
	State State        `json:"state"`
	// Attempt is the current or last attempt; 0 before the first.
	Attempt types.Attempt `json:"attempt"`
	// VM, Incarnation and Reserved are those of the current or last attempt.
	VM          types.VMID        `json:"vm,omitempty"`
	Incarnation types.Incarnation `json:"incarnation,string"`
	// Epoch is the epoch of the owner that made the last change.
	Epoch    types.Epoch     `json:"epoch"`
	Reserved types.Resources `json:"reserved"`
	// Checkpoint is the name of the object to resume from; empty if there is
	// none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Failures is the number of failed attempts that count toward MaxFailures.
	Failures int `json:"failures,omitempty"`
	// Cancel is set when the task is to be cancelled once its attempt is proven
	// stopped.
	Cancel bool `json:"cancel,omitempty"`
	// Reason is why the task failed or is infeasible.
	Reason string `json:"reason,omitempty"`
}

// Key returns the table key of a task's row.
func Key(shard types.ShardID, id types.TaskID) string {
	return Prefix(shard) + string(id)
}

// Prefix returns the key prefix of all task rows of a shard.
func Prefix(shard types.ShardID) string {
	return "tasks/" + string(shard) + "/"
}

// Encode returns the JSON form of the row.
func (r Row) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode parses the output of Row.Encode. It returns an error for malformed
// JSON, a missing task or job ID, or an unknown state.
func Decode(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("task row is malformed: %w", err)
	}
	if r.Task == "" || r.Job == "" {
		return Row{}, fmt.Errorf("task row has no task ID or no job ID")
	}
	if _, ok := transitions[r.State]; !ok {
		return Row{}, fmt.Errorf("task row %q has unknown state %q", r.Task, r.State)
	}
	return r, nil
}

// JobRow is the table row of a job. The entry creates it at submission and sets
// Cancel. The shard's owner sets Finished and the task counts.
type JobRow struct {
	Job types.Job `json:"job"`
	// Cancel requests that the owner cancel all tasks of the job.
	Cancel bool `json:"cancel,omitempty"`
	// Finished is set when every task has ended. Only then are the counts set.
	Finished  bool `json:"finished,omitempty"`
	Done      int  `json:"done,omitempty"`
	Failed    int  `json:"failed,omitempty"`
	Cancelled int  `json:"cancelled,omitempty"`
	// Moved is set when another shard has moved the job here. Its task rows then
	// exist before the owner knows the job.
	Moved bool `json:"moved,omitempty"`
	// SubmittedUnix is the submission time in Unix seconds, for display only.
	SubmittedUnix int64 `json:"submitted_unix,omitempty"`
}

// JobKey returns the table key of a job's row.
func JobKey(shard types.ShardID, id types.JobID) string {
	return JobPrefix(shard) + string(id)
}

// IndexKey returns the key of the index row that maps a job to its shard. The
// index row makes job IDs unique across all shards.
func IndexKey(id types.JobID) string { return "jobindex/" + string(id) }

// JobPrefix returns the key prefix of all job rows of a shard.
func JobPrefix(shard types.ShardID) string {
	return "jobs/" + string(shard) + "/"
}

// Encode returns the JSON form of the row.
func (r JobRow) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// DecodeJob parses the output of JobRow.Encode. It returns an error for
// malformed JSON or a job without an ID or tasks.
func DecodeJob(value []byte) (JobRow, error) {
	var r JobRow
	if err := json.Unmarshal(value, &r); err != nil {
		return JobRow{}, fmt.Errorf("job row is malformed: %w", err)
	}
	if r.Job.ID == "" || r.Job.Tasks <= 0 {
		return JobRow{}, fmt.Errorf("job row %q has no ID or no tasks", r.Job.ID)
	}
	return r, nil
}
