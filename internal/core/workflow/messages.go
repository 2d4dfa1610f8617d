package workflow

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Boot identifies one life of an upstream worker process on a VM.
type Boot struct {
	// ID is empty until the worker has announced itself. It may come back after
	// a restart.
	ID string
	// Born is the start in Unix milliseconds, by the worker's own account. It
	// tells the lives on one VM apart.
	Born int64
}

// Fence is the fencing token of orders. A worker refuses orders with a lower one
// than it has seen. The high part is the owner's epoch; the low part rises with
// each boot of the worker that its agent meets, so that an order which was meant
// for the life before is refused even if the new one has the same ID.
type Fence uint64

// fenceBootBits is the size of the low part.
const fenceBootBits = 16

// FirstFence returns the lowest fence of an epoch.
func FirstFence(epoch types.Epoch) Fence {
	return Fence(epoch) << fenceBootBits
}

// Epoch returns the epoch of the fence.
func (f Fence) Epoch() types.Epoch {
	return types.Epoch(f >> fenceBootBits)
}

// NextBoot returns the fence for the next boot of a worker in the same epoch.
func (f Fence) NextBoot() Fence {
	if next := f + 1; next.Epoch() == f.Epoch() {
		return next
	}
	return f
}

// Upstream describes the worker process on a VM, from its announcements.
type Upstream struct {
	Boot     Boot
	Service  types.ServiceName
	Rack     types.Rack
	Labels   []string
	Capacity types.Resources
	Draining bool
	// Remaining is the least time until a draining worker leaves.
	Remaining time.Duration
}

// Run is one entry of a worker's list of what runs.
type Run struct {
	Task       TaskKey
	Run        uint64
	Checkpoint string
	// Progress is the share of the work that is done, 0 to 100 percent. A
	// standing task that is at work has 100.
	Progress int
	// Figure is the tail latency of a standing task in milliseconds, or the
	// processors that another one uses, in thousandths of a core.
	Figure float64
}

// EndKind tells how a run ended.
type EndKind string

// Kinds of ends. Only EndFailed counts as an attempt.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	// EndBroken: another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone: the other members of the gang did not appear in time.
	EndAlone EndKind = "alone"
)

// End is one entry of a worker's list of ends.
type End struct {
	// Number counts the ends of a boot, from 1.
	Number     uint64
	Task       TaskKey
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// Report is what the agent on a VM knows of the worker there.
type Report struct {
	VM types.VMID
	// Agent identifies the life of the agent process.
	Agent types.Incarnation
	// Fence is the one that the worker has confirmed.
	Fence Fence
	// Boot is that of the lists. It is zero if no worker answers.
	Boot Boot
	// Gone: the worker process has ended, or refuses connections.
	Gone bool
	// Upstream is nil until the worker has announced itself to this agent.
	Upstream *Upstream
	// Clock is a reading of the worker's clock, no later than the report.
	Clock time.Duration
	// ListSeq orders the lists against results of orders: a run whose start has
	// a lower sequence number and that is not listed does not run.
	ListSeq uint64
	Running []Run
	Ended   []End
	// More tells that Ended is cut off.
	More bool
}

// OrderKind is what an order asks of a worker.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderPace
)

// String returns the kind as shown in logs.
func (k OrderKind) String() string {
	switch k {
	case OrderStart:
		return "start"
	case OrderStop:
		return "stop"
	case OrderPace:
		return "pace"
	default:
		return "unknown"
	}
}

// Order is for the worker with the given boot on a VM.
type Order struct {
	Kind OrderKind
	VM   types.VMID
	Boot Boot
	Task TaskKey
	Run  uint64
	// Payload and Checkpoint belong to starts.
	Payload    string
	Checkpoint string
	// Ticket is the policy service's, for starts on queues with one.
	Ticket string
	// Deadline is the end of the lease on the worker's clock, for starts.
	Deadline time.Duration
	// Pace is in percent, for paces.
	Pace int
}

// Result tells what became of an order.
type Result uint8

// Results of orders.
const (
	// ResultUnknown: no answer; the order may be carried out later.
	ResultUnknown Result = iota
	ResultDone
	// ResultFenced: the worker has seen a higher epoch.
	ResultFenced
	// ResultOldRun: the worker has seen a run that is not lower.
	ResultOldRun
	// ResultLate: the deadline had passed on the worker's clock.
	ResultLate
	// ResultNoRoom: the worker lacks the capacity.
	ResultNoRoom
	// ResultRefused: the worker refused the order for now and did nothing.
	ResultRefused
	// ResultInvalid: the worker cannot carry the order out.
	ResultInvalid
	// ResultWrongBoot: another boot answered, or none listens.
	ResultWrongBoot
	// ResultNoTicket: the worker does not accept the start's ticket.
	ResultNoTicket
)

// String returns the result as shown in logs.
func (r Result) String() string {
	names := [...]string{"unknown", "done", "fenced", "old-run", "late", "no-room", "refused", "invalid", "wrong-boot", "no-ticket"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// OrderResult is the answer to an order. Seq orders it against lists.
type OrderResult struct {
	Order  Order
	Result Result
	Seq    uint64
}

// Grant is what an agent may tell its worker between orders.
type Grant struct {
	Fence Fence
	Boot  Boot
	// Deadline is the end of the lease on the worker's clock; zero for none.
	Deadline time.Duration
	// Acknowledged is the number of the last end that is durable.
	Acknowledged uint64
}

// Change is the durable change of one job.
type Change struct {
	Job   types.JobID
	Queue string
	// Timed jobs have occurrences at set times.
	Timed bool
	// State is what callers see from now on; empty if it stays as it is.
	State JobState
	// StateRevision is the revision that the row of the state must have.
	StateRevision uint64
	// Progress replaces the job's progress, if it is not nil.
	Progress *Progress
	// Over: the job has a final state and nothing of it is live, so that all its
	// rows but the state can be deleted.
	Over bool
}

// Batch is a set of changes to be committed together. The owner gives out one
// at a time.
type Batch struct {
	Number  uint64
	Changes []Change
	// Expired are final jobs whose state need not be kept any longer.
	Expired  []types.JobID
	ackMarks map[*vm]ackMark
	jobs     []*job
}

// Decision is an event for the log: what was decided on a task or job, and the
// values that decided it.
type Decision struct {
	Kind   DecisionKind
	Job    types.JobID
	Task   TaskKey
	Run    uint64
	VM     types.VMID
	Reason string
	// Age is the time that has passed since the job was accepted.
	Age time.Duration
	// Load is the VM's before the decision; nil unless a task was placed.
	Load *VMLoad
}

// VMLoad is what a placement was decided on.
type VMLoad struct {
	// Reserved and Filling are processors in thousandths of a core.
	Reserved, Filling, Capacity int64
	// Targets counts standing tasks with a tail target.
	Targets int
	Pace    int
	// Kind is the queue and image of the task.
	Kind string
}

// DecisionKind names a Decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	DecisionPlaced DecisionKind = iota + 1
	DecisionEnded
	DecisionRequeued
	DecisionFinished
	DecisionVMReached
	DecisionVMLost
	DecisionPaced
	DecisionQuarantine
	DecisionWaiting
)
