package task

import (
	"encoding/json"
	"fmt"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// State is a state of the life cycle.
type State string

// States of a task.
const (
	// Pending tasks wait for their first placement, or for one without checkpoint.
	Pending State = "pending"
	// Placed tasks have a committed allocation that has not been seen running.
	Placed State = "placed"
	// Running tasks were reported by their worker.
	Running State = "running"
	// Checkpointed tasks have written the checkpoint of an eviction; the stop
	// is not proven yet.
	Checkpointed State = "checkpointed"
	// Evicted tasks are proven stopped and wait to resume from a checkpoint.
	Evicted State = "evicted"
	// Resumed tasks are placed again from a checkpoint, not yet seen running.
	Resumed State = "resumed"
	// Done tasks have completed.
	Done State = "done"
	// Failed tasks have used up their failures.
	Failed State = "failed"
	// Cancelled tasks were cancelled and are proven stopped.
	Cancelled State = "cancelled"
	// Infeasible tasks can never run with the present inventory.
	Infeasible State = "infeasible"
)

// Live reports whether an attempt may be running.
func (s State) Live() bool {
	return s == Placed || s == Running || s == Checkpointed || s == Resumed
}

// Waiting reports whether the task waits for a placement.
func (s State) Waiting() bool {
	return s == Pending || s == Evicted
}

// Terminal reports whether the task has ended. Infeasible tasks have not: a
// change of the inventory can make them feasible.
func (s State) Terminal() bool {
	return s == Done || s == Failed || s == Cancelled
}

// Row is the table row of a task. A task without a row is pending.
type Row struct {
	Task  types.TaskID `json:"task"`
	Job   types.JobID  `json:"job"`
	State State        `json:"state"`
	// Attempt is the present or last attempt; 0 before the first.
	Attempt     types.Attempt     `json:"attempt"`
	VM          types.VMID        `json:"vm,omitempty"`
	Incarnation types.Incarnation `json:"incarnation,string"`
	// Epoch is the term of the last change.
	Epoch    types.Epoch     `json:"epoch"`
	Reserved types.Resources `json:"reserved"`
	// Checkpoint names the object to resume from; empty if there is none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Failures counts the failed attempts held against the task.
	Failures int `json:"failures,omitempty"`
	// Cancel is set when cancellation waits for the proof of the stop.
	Cancel bool `json:"cancel,omitempty"`
	// Reason tells why the task failed or is infeasible.
	Reason string `json:"reason,omitempty"`
}

// Key returns the key of a task's row.
func Key(shard types.ShardID, id types.TaskID) string {
	return Prefix(shard) + string(id)
}

// Prefix returns the prefix of the keys of a shard's task rows.
func Prefix(shard types.ShardID) string {
	return "tasks/" + string(shard) + "/"
}

// Encode returns the JSON form of the row.
func (r Row) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode reads the form that Encode writes. It fails on malformed JSON, a
// missing task and an unknown state.
func Decode(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("task row is malformed: %w", err)
	}
	if r.Task == "" || r.Job == "" {
		return Row{}, fmt.Errorf("task row names no task or no job")
	}
	if _, ok := transitions[r.State]; !ok {
		return Row{}, fmt.Errorf("task row %q has unknown state %q", r.Task, r.State)
	}
	return r, nil
}

// JobRow is the table row of a job. The entry writes it at submission and sets
// Cancel; the owner sets Finished and the counts.
type JobRow struct {
	Job types.Job `json:"job"`
	// Cancel asks the owner to cancel all tasks.
	Cancel bool `json:"cancel,omitempty"`
	// Finished is set when every task has ended; the counts are then final.
	Finished  bool `json:"finished,omitempty"`
	Done      int  `json:"done,omitempty"`
	Failed    int  `json:"failed,omitempty"`
	Cancelled int  `json:"cancelled,omitempty"`
	// SubmittedUnix is the submission's wall time in seconds, for display only.
	SubmittedUnix int64 `json:"submitted_unix,omitempty"`
}

// JobKey returns the key of a job's row.
func JobKey(shard types.ShardID, id types.JobID) string {
	return JobPrefix(shard) + string(id)
}

// IndexKey returns the key of the row that names the shard of a job. It makes
// job IDs unique over all shards.
func IndexKey(id types.JobID) string { return "jobindex/" + string(id) }

// JobPrefix returns the prefix of the keys of a shard's job rows.
func JobPrefix(shard types.ShardID) string {
	return "jobs/" + string(shard) + "/"
}

// Encode returns the JSON form of the row.
func (r JobRow) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// DecodeJob reads the form that JobRow.Encode writes. It fails on malformed
// JSON and on a job without ID or tasks.
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
