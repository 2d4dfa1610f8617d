// Package agent implements the process that runs beside an upstream worker. Only the
// agent calls the worker: it renews the worker's leases as granted by the owner of
// jobs, carries out the owner's orders, and reports the worker's runs. It makes no
// placement decisions and grants no leases itself, so that an owner that cannot reach
// the agent knows when all runs on the worker have ended.
//
// An end is the worker's record of the end of one run. The worker lists it until the
// owner has acknowledged its number.
package agent

import (
	"context"
	"errors"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/workflow"
)

// Errors of a WorkerClient, for use with errors.Is.
var (
	// ErrNotListening is returned if the worker process refuses connections.
	ErrNotListening = errors.New("the worker process does not listen")
	// ErrFenced is returned if the worker has seen a higher epoch.
	ErrFenced = errors.New("the worker has seen a higher epoch")
	// ErrWrongBoot is returned if a boot of the worker with another ID answered.
	ErrWrongBoot = errors.New("another boot of the worker answered")
	// ErrRestarted is returned if a call was not sent, because another boot of the
	// worker, which may have the same ID, listens.
	ErrRestarted = errors.New("the worker process has restarted")
)

// HoldRequest renews a worker's leases and asks for its lists of runs. Hold is the
// platform's name for this call.
type HoldRequest struct {
	// Boot is the boot that should answer. A call with a start time reaches only the
	// boot that began then. Without one, an ID excludes boots with other IDs.
	Boot  workflow.Boot
	Fence workflow.Fence
	// Acknowledged is the number of the last end that the worker may delete.
	Acknowledged uint64
	// LeaseEnd is the end of the lease on the worker's clock; 0 leaves the lease
	// unchanged.
	LeaseEnd time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// RunLists are a worker's running and ended runs.
type RunLists struct {
	// Born is the start time of the worker in Unix milliseconds.
	Born int64
	// Clock is the reading of the worker's clock when it answered.
	Clock   time.Duration
	Running []workflow.Run
	Ended   []workflow.End
	// More is set if there are more ended runs than listed.
	More bool
}

// WorkerClient calls the worker on the agent's VM.
type WorkerClient interface {
	// Hold renews the leases and returns the lists of runs. It may wait for an
	// end as long as the request says.
	Hold(ctx context.Context, r HoldRequest) (RunLists, error)
	// Execute carries out one order under a fence. The result is
	// workflow.ResultRefused if the call certainly was not sent, and
	// workflow.ResultUnknown if it may have been sent and was not answered. The
	// result is always valid; the error, if any, explains it.
	Execute(ctx context.Context, fence workflow.Fence, o *workflow.Order) (workflow.Result, error)
}

// Announcement describes a worker, as announced by itself.
type Announcement struct {
	workflow.Upstream
	// Sequence increases with each announcement of a boot.
	Sequence uint64
}
