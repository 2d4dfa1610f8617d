package workflow

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Boot identifies one lifetime of an upstream worker process on a VM.
type Boot struct {
	// ID is empty until the worker has announced itself. A restarted worker may
	// reuse it.
	ID string
	// Born is the worker's start time as it reports it, in Unix milliseconds.
	// It distinguishes the boots on one VM.
	Born int64
}

// Fence is the fencing token of orders. A worker refuses an order with a lower
// fence than it has seen. The high bits hold the owner's epoch. The low bits
// are incremented for each new boot of the worker that its agent sees, so that
// an order for the previous boot is refused even if the new boot has the same
// ID.
type Fence uint64

// fenceBootBits is the number of low bits.
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
// The last fence of an epoch is returned unchanged.
func (f Fence) NextBoot() Fence {
	if next := f + 1; next.Epoch() == f.Epoch() {
		return next
	}
	return f
}

// Upstream describes the worker process on a VM as it announced itself.
type Upstream struct {
	Boot     Boot
	Service  types.ServiceName
	Rack     types.Rack
	Labels   []string
	Capacity types.Resources
	Draining bool
	// Remaining is the minimum time until a draining worker leaves.
	Remaining time.Duration
}

// Run is one entry of a worker's list of running tasks.
type Run struct {
	Task TaskKey
	Run  uint64
	// Checkpoint identifies the last checkpoint of the run. It is opaque to the
	// owner, and empty if there is none.
	Checkpoint string
	// Progress is the share of the work done, 0 to 100 percent. A standing task
	// that is serving has 100.
	Progress int
	// Figure is the latest measurement: the tail latency of a standing task in
	// milliseconds, or the processor use of any other task in thousandths of a
	// core.
	Figure float64
}

// EndKind is how a run ended.
type EndKind string

// Kinds of ends. Only EndFailed uses up an attempt.
const (
	EndDone   EndKind = "done"
	EndFailed EndKind = "failed"
	// EndStopped: the run was ended by a stop order.
	EndStopped EndKind = "stopped"
	// EndExpired: the lease of the worker expired.
	EndExpired EndKind = "lapsed"
	// EndBroken: the run was ended because another member of its gang ended.
	EndBroken EndKind = "broken"
	// EndAlone: the other members of the gang did not start in time.
	EndAlone EndKind = "alone"
)

// End is one entry of a worker's list of ends.
type End struct {
	// Number counts the ends of a boot from 1.
	Number     uint64
	Task       TaskKey
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// Report is an agent's report on the worker of its VM.
type Report struct {
	VM types.VMID
	// Agent identifies the process of the agent.
	Agent types.Incarnation
	// Fence is the fence that the worker has confirmed.
	Fence Fence
	// Boot is the boot that sent the lists. It is zero if no worker answers.
	Boot Boot
	// Gone: the worker process has ended, or refuses connections.
	Gone bool
	// Upstream is nil until the worker has announced itself to this agent.
	Upstream *Upstream
	// Clock is a reading of the worker's clock, taken before the report was
	// made. Readings of different boots cannot be compared.
	Clock time.Duration
	// ListSeq orders the lists relative to the results of orders: a run whose
	// start was answered with a lower sequence number and that is not listed
	// has ended. If Gone, it is the number of the call that found no worker.
	ListSeq uint64
	Running []Run
	Ended   []End
	// More: Ended is truncated, so a run missing from both lists may have
	// ended.
	More bool
}

// OrderKind is the action that an order requests from a worker.
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

// Order is a request to the worker with the given boot on a VM.
type Order struct {
	Kind OrderKind
	VM   types.VMID
	Boot Boot
	Task TaskKey
	Run  uint64
	// Payload and Checkpoint are set for starts.
	Payload    string
	Checkpoint string
	// Ticket is the ticket of the policy service, set for starts in advised
	// queues.
	Ticket string
	// LeaseEnd is the end of the lease on the worker's clock, set for starts.
	LeaseEnd time.Duration
	// Pace is the share of its processor demand that a filling task may use, in
	// percent; 0 suspends it. It is set for pace orders.
	Pace int
}

// Result is the outcome of an order.
type Result uint8

// Results of orders.
const (
	// ResultUnknown: no answer; the order may still be carried out later.
	ResultUnknown Result = iota
	ResultDone
	// ResultFenced: the worker or its agent has seen a higher fence. The owner
	// that sent the order counts as superseded.
	ResultFenced
	// ResultOldRun: the worker has seen the same or a higher run number of the
	// task.
	ResultOldRun
	// ResultLate: the deadline had passed on the worker's clock.
	ResultLate
	// ResultNoRoom: the worker lacks the capacity.
	ResultNoRoom
	// ResultRefused: the worker temporarily refused the order and did nothing.
	ResultRefused
	// ResultInvalid: the worker cannot carry the order out.
	ResultInvalid
	// ResultWrongBoot: another boot answered, or nothing listens at the
	// address.
	ResultWrongBoot
	// ResultNoTicket: the worker rejected the ticket of the start.
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

// OrderResult is the answer to an order. Seq orders it relative to lists.
type OrderResult struct {
	Order  Order
	Result Result
	Seq    uint64
}

// Grant is what an agent passes to its worker with each poll: the fence, the
// lease and the acknowledgement of ends.
type Grant struct {
	Fence Fence
	Boot  Boot
	// LeaseEnd is the end of the lease on the worker's clock; zero if there is
	// no lease.
	LeaseEnd time.Duration
	// Acknowledged is the number of the last end that is durable.
	Acknowledged uint64
}

// Change is the change to store for one job.
type Change struct {
	Job   types.JobID
	Queue string
	// Timed: the job has occurrences at set times.
	Timed bool
	// State is the new state shown to callers; empty if it does not change.
	State JobState
	// StateRevision is the required current revision of the state's row.
	StateRevision uint64
	// Progress replaces the job's stored progress unless it is nil.
	Progress *Progress
	// Deletable: the job has a final state and no live tasks, so all its rows
	// except the state can be deleted.
	Deletable bool
}

// Batch is a set of changes to commit together. At most one is in flight.
type Batch struct {
	Number  uint64
	Changes []Change
	// Expired holds finished jobs whose state can be deleted.
	Expired  []types.JobID
	ackMarks map[*vm]ackMark
	jobs     []*job
}

// Decision is an event for the log: a decision about a task, a job or a VM,
// with the values it was based on.
type Decision struct {
	Kind   DecisionKind
	Job    types.JobID
	Task   TaskKey
	Run    uint64
	VM     types.VMID
	Reason string
	// Age is the time since the job was accepted, or for DecisionVMLost after a
	// lease has expired the time since the last contact. It is 0 for other
	// decisions about a VM.
	Age time.Duration
	// Load is the VM's load before the decision; nil unless a task was placed.
	Load *VMLoad
	// Evacuation is set for decisions about an evacuated failure domain, and nil
	// otherwise.
	Evacuation *EvacuationState
	// Outcome is set for the end of a job.
	Outcome *Outcome
}

// Outcome is how a job has ended for its caller.
type Outcome struct {
	Queue string
	// Work is the declared work of one occurrence in core-seconds.
	Work float64
	// Objective is the time after it was due in which the last occurrence should have
	// been done; 0 if none was done. InTime reports whether the job has completed with
	// all occurrences in time.
	Objective time.Duration
	InTime    bool
}

// VMLoad is the load of a VM on which a placement was based.
type VMLoad struct {
	// Reserved and Filling are processors in thousandths of a core.
	Reserved, Filling, Capacity int64
	// Targets counts standing tasks with a tail target.
	Targets int
	// Pace is the lowest wanted pace of the VM's filling tasks, in percent.
	Pace int
	// Kind is the queue and image of the task.
	Kind string
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	// DecisionPlaced: the start of a task was ordered.
	DecisionPlaced DecisionKind = iota + 1
	// DecisionEnded: a task, or all tasks of its gang, are done.
	DecisionEnded
	// DecisionRequeued: a task waits to be started again.
	DecisionRequeued
	// DecisionFinished: a job has completed or failed.
	DecisionFinished
	// DecisionVMReached: a worker has confirmed the epoch and sent its lists.
	DecisionVMReached
	// DecisionVMLost: a worker process has ended, or its lease has expired.
	DecisionVMLost
	// DecisionPaced: the lowest pace on a VM has changed.
	DecisionPaced
	// DecisionQuarantine: a worker was quarantined, paused because it is slow,
	// or returned to service; see Reason.
	DecisionQuarantine
	// DecisionWaiting: a step has had no running task for a while, and no VM takes
	// one; see Reason.
	DecisionWaiting
	// DecisionBlocked: a step has had no running task for a while, and none may start
	// yet; see Reason.
	DecisionBlocked
	// DecisionEvacuationBegun: nothing new starts in a failure domain from now on.
	DecisionEvacuationBegun
	// DecisionEvacuationEnded: a failure domain takes new tasks again.
	DecisionEvacuationEnded
	// DecisionEvacuationApplied: the first placement pass has left out the VMs of an
	// evacuated failure domain.
	DecisionEvacuationApplied
	// DecisionEvacuationUnknown: the same, and no VM of the failure domain is known.
	DecisionEvacuationUnknown
	// DecisionDeferred: an occurrence is not planned to be in time, since others that
	// need less work take all that filling work gets; see Reason.
	DecisionDeferred
	// DecisionPlanned: a deferred occurrence is planned again.
	DecisionPlanned
	// DecisionPreempted: a task is stopped for a job of a queue of priority 0.
	DecisionPreempted
	// DecisionPreempts: the same, of the job that it is stopped for.
	DecisionPreempts
	// DecisionHeadroom: a standing task waits, to leave capacity to short work.
	DecisionHeadroom
	// DecisionCopyStarted: the start of a copy was ordered; see Reason.
	DecisionCopyStarted
	// DecisionCopyWon: a task is done since its copy was the first to finish.
	DecisionCopyWon
	// DecisionCopyEnded: one of two runs of a task has ended, or never began.
	DecisionCopyEnded
	// DecisionStraggler: a task is long by itself, and no evidence against its VM.
	DecisionStraggler
)
