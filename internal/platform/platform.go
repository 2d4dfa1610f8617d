// Package platform declares what the system uses of the operator's platform:
// a transactional table, an object store and a task runtime on each VM.
//
// The HTTP clients in this package talk to the platform's services. They do
// not retry, batch or limit; package store does that for the table.
package platform

import (
	"context"
	"errors"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Errors that callers tell apart with errors.Is.
var (
	// ErrUnavailable: the service refused before it acted; nothing changed.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrUncertain: the answer was lost; the call may have taken effect.
	ErrUncertain = errors.New("platform service gave no answer; the call may have taken effect")
	// ErrNotFound: the object or task does not exist.
	ErrNotFound = errors.New("not found on the platform")
)

// Row is one row of the table. Revision 0 means that the row does not exist.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Condition requires a row to be at a revision; 0 requires it not to exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is applied atomically: all writes if every condition holds, else none.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	// Reads names rows returned with the result, as they are after the
	// transaction, committed or not.
	Reads []string
}

// TxnResult tells whether the transaction committed.
type TxnResult struct {
	Committed bool
	// Rows holds the rows of Txn.Reads in order.
	Rows []Row
	// Revision is the revision given to every written row.
	Revision uint64
}

// Table is the platform's transactional table. Rows are ordered by key.
type Table interface {
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix and a key after the given one.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// RuntimeLease bounds how long the runtime may run a task. It is stated in the
// runtime's own clock: the task may run until ReadAt plus Budget.
type RuntimeLease struct {
	// ReadAt is a reading of the runtime's clock, from an earlier RuntimeState.
	ReadAt time.Duration
	Budget time.Duration
}

// RuntimePhase is the state of a task in the runtime.
type RuntimePhase string

// Phases of a task in the runtime.
const (
	PhaseRunning   RuntimePhase = "running"
	PhaseSuspended RuntimePhase = "suspended"
	PhaseDone      RuntimePhase = "done"
	PhaseFailed    RuntimePhase = "failed"
	PhaseStopped   RuntimePhase = "stopped"
)

// StartSpec describes one attempt of a task to the runtime.
type StartSpec struct {
	Task    types.TaskID
	Attempt types.Attempt
	Class   types.Class
	// Reserved is the limit that the runtime enforces.
	Reserved types.Resources
	Kind     string
	// RunTime is the declared run time; stand-ins use it as the real one.
	RunTime time.Duration
	// Checkpoint names the object to resume from; empty starts afresh.
	Checkpoint string
	Lease      RuntimeLease
}

// TaskStatus is what the runtime reports of one attempt.
type TaskStatus struct {
	Task     types.TaskID
	Attempt  types.Attempt
	Class    types.Class
	Phase    RuntimePhase
	Reserved types.Resources
	// Usage is the latest measurement; MeasuredAt is its time on the runtime's
	// clock and lags behind.
	Usage      types.Resources
	MeasuredAt time.Duration
	// Throttle is the share of its reservation that the task may use, 0 to 1.
	Throttle float64
	// Checkpoint names the latest checkpoint object; empty if there is none.
	Checkpoint string
	// Ran is the time spent running, over all attempts that the checkpoint covers.
	Ran   time.Duration
	Error string
}

// RuntimeState is the runtime's clock and its tasks, finished ones included
// until they are forgotten.
type RuntimeState struct {
	Now   time.Duration
	Tasks []TaskStatus
}

// Runtime is the task runtime of one VM. Calls name task and attempt; a call
// for another attempt than the present one fails with ErrNotFound.
type Runtime interface {
	State(ctx context.Context) (RuntimeState, error)
	// Start is idempotent for the same task and attempt.
	Start(ctx context.Context, spec StartSpec) error
	// Renew extends the lease; a suspended task resumes in place.
	Renew(ctx context.Context, task types.TaskID, attempt types.Attempt, lease RuntimeLease) error
	Suspend(ctx context.Context, task types.TaskID, attempt types.Attempt) error
	Throttle(ctx context.Context, task types.TaskID, attempt types.Attempt, share float64) error
	// Checkpoint writes the task's state to the named object.
	Checkpoint(ctx context.Context, task types.TaskID, attempt types.Attempt, object string) error
	// Stop ends the attempt; it no longer runs once Stop returns nil.
	Stop(ctx context.Context, task types.TaskID, attempt types.Attempt) error
	// Forget drops a finished attempt from the state.
	Forget(ctx context.Context, task types.TaskID, attempt types.Attempt) error
}
