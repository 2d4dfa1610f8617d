package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/guard"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// HeartbeatReply answers a worker's heartbeat.
type HeartbeatReply struct {
	Ack   membership.Ack
	Epoch types.Epoch
	// Right extends the worker's run right to Ack.SentAt plus R.
	Right bool
	// NeedReport asks for a complete report: the owner has none from this
	// incarnation.
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

// TaskReport is one attempt in a report.
type TaskReport struct {
	Task     types.TaskID
	Attempt  types.Attempt
	Class    types.Class
	Phase    Phase
	Reserved types.Resources
	// Checkpoint names the attempt's latest checkpoint; empty if there is none.
	Checkpoint string
	// CheckpointFailed tells that the last checkpoint command failed.
	CheckpointFailed bool
	// Blameless tells that the worker refused the attempt: its end is not held
	// against the task, and says nothing about the worker.
	Blameless bool
	Error     string
	// Usage is the latest measurement; zero if there is none. It was taken
	// UsageAge before the report.
	Usage    types.Resources
	UsageAge time.Duration
}

// Report is what a worker has in its runtime, finished attempts included
// until they are forgotten.
type Report struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// Seq increases with each report of the incarnation, from 1.
	Seq uint64
	// Complete reports list every attempt; others only those that changed.
	Complete bool
	Tasks    []TaskReport
}

// CommandKind is what a command asks for.
type CommandKind string

// Kinds of commands.
const (
	// CommandStart starts an attempt, from a checkpoint if one is named.
	CommandStart CommandKind = "start"
	// CommandResume continues an attempt that was suspended in place.
	CommandResume CommandKind = "resume"
	// CommandCheckpoint writes the named checkpoint object.
	CommandCheckpoint CommandKind = "checkpoint"
	// CommandStop ends an attempt; the next report shows it as stopped, also
	// when the worker never had it.
	CommandStop CommandKind = "stop"
	// CommandForget drops an ended attempt from the reports.
	CommandForget CommandKind = "forget"
)

// Command goes to one worker incarnation.
type Command struct {
	Kind        CommandKind
	VM          types.VMID
	Incarnation types.Incarnation
	Epoch       types.Epoch
	// ValidUntil is on the worker's clock.
	ValidUntil time.Duration
	Task       types.TaskID
	Attempt    types.Attempt
	// Checkpoint is the object to resume from or to write.
	Checkpoint string
	// The following are set in start commands.
	Class    types.Class
	Reserved types.Resources
	WorkKind string
	RunTime  time.Duration
}

// RowWrite sets a row, conditional on its revision (0: it does not exist).
type RowWrite struct {
	Key      string
	Value    []byte
	Revision uint64
}

// TableRow is a row as read. Revision 0 means that the row does not exist.
type TableRow struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Batch is one table transaction, conditional also on the fence row. If its
// conditions fail, the shell reads the rows of Keys with the transaction.
type Batch struct {
	ID            uint64
	FenceKey      string
	FenceRevision uint64
	Writes        []RowWrite
	Urgent        bool
}

// Keys returns the fence key and the keys of the writes, in order.
func (b *Batch) Keys() []string {
	keys := make([]string, 0, len(b.Writes)+1)
	keys = append(keys, b.FenceKey)
	for _, w := range b.Writes {
		keys = append(keys, w.Key)
	}
	return keys
}

// Read asks for rows to resolve the uncertain batch with the ID.
type Read struct {
	ID   uint64
	Keys []string
}

// BatchOutcome tells what the table answered.
type BatchOutcome uint8

// Outcomes of a batch.
const (
	BatchCommitted BatchOutcome = iota + 1
	// BatchConflict: a condition failed and nothing was written.
	BatchConflict
	// BatchUnavailable: the table refused before it acted.
	BatchUnavailable
	// BatchUncertain: the answer was lost; the batch may take effect.
	BatchUncertain
)

// Output is what the shell has to do.
type Output struct {
	// Batch is nil if none is due.
	Batch *Batch
	// Read is nil if none is due.
	Read     *Read
	Commands []Command
	// Changes are changes of members since the last Poll.
	Changes    []membership.Change
	Violations []*guard.Violation
	// Problems are rows that could not be read; their objects are left alone.
	Problems []error
}
