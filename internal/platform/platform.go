// Package platform declares the services of the operator's platform that the
// system uses: a transactional table, an object store and a task runtime on each
// VM.
//
// The HTTP clients in this package call these services in the system's own protocol,
// with one path for each operation. They do not retry, batch or limit calls; package
// store does that for the table. Package platform in the root folder implements Table
// and ChangeLog in the protocol of the users' platform, for package jobs.
package platform

import (
	"context"
	"errors"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrUnavailable reports that the call changed nothing: the service could not
	// be reached, it refused the call, or a read got no usable response.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrUncertain reports that no usable response came; the call may have taken
	// effect.
	ErrUncertain = errors.New("platform service gave no answer; the call may have taken effect")
	// ErrNoResponse reports that no response came, in addition to ErrUnavailable or
	// ErrUncertain. A call without it was refused, or its response was not usable.
	ErrNoResponse = errors.New("no response")
	// ErrRejected reports that the call changed nothing and never will: the service
	// does not accept it, for example because it exceeds a limit.
	ErrRejected = errors.New("platform service rejects the call")
	// ErrNotFound reports that the object or task does not exist.
	ErrNotFound = errors.New("not found on the platform")
)

// Row is one row of the table. Revision 0 means that the row does not exist.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Condition requires a row to have a revision. Revision 0 requires that the row
// does not exist.
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

// Txn is a transaction. If every condition holds, all writes are applied
// atomically; otherwise none is.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	// Reads holds the keys of rows to return with the result, as they are after
	// the transaction, whether or not it committed. The implementation in the root
	// folder returns rows only if the transaction did not commit, and only rows that
	// have a condition.
	Reads []string
}

// Limits are the sizes that a table accepts. Zero means no limit.
type Limits struct {
	// ValueBytes is the largest value of a row.
	ValueBytes int
	// TxnEntries is the largest number of conditions and writes of a transaction,
	// TxnBytes the largest size of its encoded form.
	TxnEntries, TxnBytes int
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	Committed bool
	// Rows holds one row for each key of Txn.Reads, in the same order. It may be
	// empty after a commit; see Txn.Reads.
	Rows []Row
	// Revision is the revision of every written row.
	Revision uint64
}

// Table is the platform's transactional table. Rows are ordered by key.
type Table interface {
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows in key order whose keys have the prefix and
	// are greater than after. Implementations may require that the prefix names a
	// whole table or partition and ends with a slash.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object and replaces any earlier one with the key.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns an object. The error wraps ErrNotFound if there is none.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object. Whether it fails for a missing object depends on the
	// implementation.
	Delete(ctx context.Context, key string) error
}

// RuntimeLease bounds how long the runtime may run a task: until ReadAt plus
// Budget on the runtime's own clock.
type RuntimeLease struct {
	// ReadAt is a reading of the runtime's clock from an earlier RuntimeState.
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
	// RunTime is the declared run time. Stand-ins take it as the actual run time.
	RunTime time.Duration
	// Checkpoint names the object to resume from. If it is empty, the task starts
	// from the beginning.
	Checkpoint string
	Lease      RuntimeLease
}

// TaskStatus is the runtime's report on one attempt.
type TaskStatus struct {
	Task     types.TaskID
	Attempt  types.Attempt
	Class    types.Class
	Phase    RuntimePhase
	Reserved types.Resources
	// Usage is the latest measurement of resource use. MeasuredAt is the reading of
	// the runtime's clock at the measurement; it is earlier than RuntimeState.Now.
	Usage      types.Resources
	MeasuredAt time.Duration
	// Throttle is the share of its reservation that the task may use, 0 to 1.
	Throttle float64
	// Checkpoint names the latest checkpoint object; empty if there is none.
	Checkpoint string
	// Ran is the running time up to the checkpoint, summed over all attempts.
	Ran   time.Duration
	Error string
}

// RuntimeState holds the runtime's clock and its tasks. Finished tasks are
// included until Runtime.Forget removes them.
type RuntimeState struct {
	Now   time.Duration
	Tasks []TaskStatus
}

// Runtime is the task runtime of one VM. Calls name a task and an attempt; a
// call for an attempt other than the current one fails with ErrNotFound.
type Runtime interface {
	State(ctx context.Context) (RuntimeState, error)
	// Start is idempotent for the same task and attempt.
	Start(ctx context.Context, spec StartSpec) error
	// Renew extends the lease. A suspended task resumes in place.
	Renew(ctx context.Context, task types.TaskID, attempt types.Attempt, lease RuntimeLease) error
	Suspend(ctx context.Context, task types.TaskID, attempt types.Attempt) error
	Throttle(ctx context.Context, task types.TaskID, attempt types.Attempt, share float64) error
	// Checkpoint writes the task's state to the named object.
	Checkpoint(ctx context.Context, task types.TaskID, attempt types.Attempt, object string) error
	// Stop ends the attempt. Once Stop returns nil, the attempt no longer runs.
	Stop(ctx context.Context, task types.TaskID, attempt types.Attempt) error
	// Forget removes a finished attempt from the state.
	Forget(ctx context.Context, task types.TaskID, attempt types.Attempt) error
}
