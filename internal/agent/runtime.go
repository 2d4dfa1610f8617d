// Package agent is the process beside an upstream worker. It alone calls the
// worker: it keeps the worker's leases as granted by the owner of jobs, carries
// the owner's orders out, and reports the worker's lists. It decides nothing on
// placement, and grants no lease by itself, so that an owner that cannot reach
// it knows when everything on the worker is over.
package agent

import (
	"context"
	"errors"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/workflow"
)

// Errors of a Runtime, told apart with errors.Is.
var (
	// ErrNotListening: the worker process is not there.
	ErrNotListening = errors.New("the worker process does not listen")
	// ErrFenced: the worker has seen a higher epoch.
	ErrFenced = errors.New("the worker has seen a higher epoch")
	// ErrWrongBoot: another life of the worker answered.
	ErrWrongBoot = errors.New("another boot of the worker answered")
)

// HoldRequest keeps a worker's leases and asks for its lists.
type HoldRequest struct {
	// BootID is the ID of the intended boot; empty for any.
	BootID string
	Fence  workflow.Fence
	// Acknowledged is the number of the last end that the worker may forget.
	Acknowledged uint64
	// Deadline is the end of the lease on the worker's clock; zero leaves it.
	Deadline time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// RunLists is what a worker says of its runs.
type RunLists struct {
	// Born is the start of the worker in Unix milliseconds.
	Born int64
	// Clock is the worker's clock when it answered.
	Clock   time.Duration
	Running []workflow.Run
	Ended   []workflow.End
	// More tells that there are more ends than listed.
	More bool
}

// Runtime is the worker on the agent's VM.
type Runtime interface {
	Hold(ctx context.Context, r HoldRequest) (RunLists, error)
	// Execute carries one order out under a fence. A call without answer has the
	// result workflow.ResultUnknown.
	Execute(ctx context.Context, fence workflow.Fence, o *workflow.Order) (workflow.Result, error)
}

// Announcement is what a worker says of itself.
type Announcement struct {
	workflow.Upstream
	// Sequence rises with each announcement of a boot.
	Sequence uint64
}
