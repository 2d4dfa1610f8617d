package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/guard"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// HeartbeatReply is the reply to a worker's heartbeat.
type HeartbeatReply struct {
	Ack   membership.Ack
	Epoch types.Epoch
	// Right extends the worker's run right to Ack.SentAt plus Config.RunRight.
	Right bool
	// NeedReport requests a complete report, because the owner has none from
	// this incarnation.
	NeedReport bool
}

// Phase is the state of an attempt on a worker.
type Phase string

// Phases of an attempt.
const (
	PhaseRunning   Phase = "running"
	PhaseSuspended Phase = "suspended"
	PhaseDone      Phase = "done"
	PhaseFailed    Phase = "failed"
	PhaseStopped   Phase = "stopped"
)

// terminal reports whether the attempt has ended.
func (p Phase) terminal() bool {
	return p == PhaseDone || p == PhaseFailed || p == PhaseStopped
}

// TaskReport is the state of one attempt in a Report.
type TaskReport struct {
	Task     types.TaskID
	Attempt  types.Attempt
	Class    types.Class
	Phase    Phase
	Reserved types.Resources
	// Checkpoint is the name of the attempt's latest checkpoint object; empty
	// if there is none.
	Checkpoint string
	// CheckpointFailed is set if the last checkpoint command failed.
	CheckpointFailed bool
	// Blameless is set if the worker refused to start the attempt. The failure
	// then counts neither toward the task's MaxFailures nor as a failure of the
	// worker.
	Blameless bool
	Error     string
	// Usage is the latest measured resource usage; zero if there is none. It
	// was measured UsageAge before the report.
	Usage    types.Resources
	UsageAge time.Duration
}

// Report lists the attempts in a worker's runtime. Ended attempts are listed
// until the owner's forget command.
type Report struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// Seq increases with each report of the incarnation, from 1.
	Seq uint64
	// Complete is set if the report lists every attempt. Other reports list
	// only the attempts that changed.
	Complete bool
	Tasks    []TaskReport
}

// CommandKind is the kind of a Command.
type CommandKind string

// Kinds of commands.
const (
	// CommandStart starts an attempt, from Command.Checkpoint if it is set.
	CommandStart CommandKind = "start"
	// CommandResume continues an attempt that is suspended on the worker.
	CommandResume CommandKind = "resume"
	// CommandCheckpoint writes a checkpoint to the object Command.Checkpoint.
	CommandCheckpoint CommandKind = "checkpoint"
	// CommandStop stops an attempt. The next report lists it as stopped, even
	// if the worker never had it.
	CommandStop CommandKind = "stop"
	// CommandForget removes an ended attempt from the reports.
	CommandForget CommandKind = "forget"
)

// Command is a command of the owner to one worker incarnation.
type Command struct {
	Kind        CommandKind
	VM          types.VMID
	Incarnation types.Incarnation
	Epoch       types.Epoch
	// ValidUntil is the time on the worker's clock at which the command
	// expires.
	ValidUntil time.Duration
	Task       types.TaskID
	Attempt    types.Attempt
	// Checkpoint is the name of the object to resume from or to write.
	Checkpoint string
	// The following fields are set only in start commands.
	Class    types.Class
	Reserved types.Resources
	WorkKind string
	RunTime  time.Duration
}

// RowWrite sets the value of a row if the row has the given revision. Revision
// 0 means that the row must not exist.
type RowWrite struct {
	Key      string
	Value    []byte
	Revision uint64
}

// TableRow is a row that was read from the table. Revision 0 means that the row
// does not exist.
type TableRow struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Batch is one table transaction. Besides the revisions of its writes, it is
// conditional on the revision of the fence row. If a condition fails, the caller
// reads the rows of Keys in the same transaction.
type Batch struct {
	ID            uint64
	FenceKey      string
	FenceRevision uint64
	Writes        []RowWrite
	// Urgent is set if the row of an urgent job or the checkpoint of an eviction
	// was queued. Such a batch does not wait for Config.BatchInterval. If it does
	// not empty the queue, the next batch is urgent too.
	Urgent bool
}

// Keys returns the fence key, followed by the keys of the writes in order.
func (b *Batch) Keys() []string {
	keys := make([]string, 0, len(b.Writes)+1)
	keys = append(keys, b.FenceKey)
	for _, w := range b.Writes {
		keys = append(keys, w.Key)
	}
	return keys
}

// Read requests the rows that resolve the uncertain batch with the given ID.
type Read struct {
	ID   uint64
	Keys []string
}

// BatchOutcome is the table's answer to a batch.
type BatchOutcome uint8

// Outcomes of a batch.
const (
	BatchCommitted BatchOutcome = iota + 1
	// BatchConflict: a condition failed and nothing was written.
	BatchConflict
	// BatchUnavailable: the table rejected the batch without writing anything.
	BatchUnavailable
	// BatchUncertain: there was no answer. The batch may already be committed
	// or may still be committed later.
	BatchUncertain
)

// Output is what the caller has to execute after a call of Poll.
type Output struct {
	// Batch is nil if none is due.
	Batch *Batch
	// Read is nil if none is due.
	Read     *Read
	Commands []Command
	// Changes are the membership changes since the last Poll.
	Changes    []membership.Change
	Violations []*guard.Violation
	// Problems are errors of rows that could not be decoded or encoded. The
	// owner ignores such rows.
	Problems []error
	// MovedHere are jobs whose rows another shard has moved here. The caller reads
	// the row of each job, then the rows of its tasks, and calls SubmitMoved.
	MovedHere []types.JobID
}
