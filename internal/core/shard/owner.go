package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/guard"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// vmState is the owner's state of one VM of the inventory.
type vmState struct {
	vm types.VM
	// reserved is the sum of the reservations of all rows with a live attempt
	// on the VM.
	reserved types.Resources
	// held is the sum of the capacity held for tasks that wait for evictions on
	// the VM.
	held types.Resources
	// orphan maps the attempts that the worker reported and that are not the
	// live attempt of a row to their reservations. orphanSum is the sum of these
	// reservations.
	orphan    map[attemptID]types.Resources
	orphanSum types.Resources
	// tasks are the tasks whose rows have a live attempt on the VM.
	tasks []*taskState
	// runRightFrom is the latest time on the owner's clock at which a run right
	// for the VM may have been granted, by this owner or by an earlier one
	// before the takeover.
	runRightFrom time.Duration
	// lastSentAt is the worker's clock reading in its last acknowledged
	// heartbeat.
	lastSentAt time.Duration
	// reportedBy is the incarnation that sent a complete report; 0 if there is
	// none.
	reportedBy types.Incarnation
	reportSeq  uint64
	// expiryApplied is set when the end of the run right was used as proof that
	// the VM's attempts have stopped. The next heartbeat clears it.
	expiryApplied bool
}

// attemptID identifies an attempt of a task.
type attemptID struct {
	task    types.TaskID
	attempt types.Attempt
}

// jobState is the owner's state of one job.
type jobState struct {
	row      task.JobRow
	revision uint64
	tasks    []*taskState
	// ended is the number of tasks that have ended.
	ended int
	dirty bool
	// moving is set while a move of the job to another shard is in progress.
	// None of its tasks is placed meanwhile.
	moving bool
}

// taskState is the owner's state of one task.
type taskState struct {
	job *jobState
	// committed is the row in the table. sent is the row in the batch in
	// flight. row is the newest row, with events that may not be in the table
	// yet.
	committed task.Row
	sent      task.Row
	row       task.Row
	revision  uint64
	// inFlight is set while the batch in flight contains the row.
	inFlight bool
	// dirty is set while the newest row waits in Owner.dirty for a batch.
	// waiting and active are set while the task is in Owner.waiting and
	// Owner.active.
	dirty   bool
	waiting bool
	active  bool
	// submitSeq orders the tasks by submission.
	submitSeq uint64
	// gang lists the tasks whose changed rows must be written in the same
	// batch: the gang at its first placement, or all tasks of a batch that is
	// written again; nil if there are none.
	gang []*taskState
	// heldOn is the VM on which capacity is held for the task; nil if there is
	// none.
	heldOn *vmState
	held   types.Resources
	// latestCheckpoint is the latest checkpoint object named in a report.
	latestCheckpoint string
	// evicting is set from the eviction request until the stop is proven or the
	// eviction is abandoned.
	evicting bool
	// checkpointed is set once the checkpoint of the current eviction was
	// reported, which may be before its commit.
	checkpointed bool
	// evictions is the number of evictions of the task in this owner's term.
	evictions     int
	evictionStart time.Duration
	// needStop is set when a stop command is needed, because a complete report
	// does not list the attempt.
	needStop bool
	// needResume is set when a resume command is needed, because a report lists
	// the attempt as suspended.
	needResume bool
	// lastReporter is the worker incarnation that last reported the current
	// attempt.
	lastReporter  types.Incarnation
	lastCommandAt time.Duration
	lastCommand   CommandKind
	// started is when the current attempt was placed.
	started time.Duration
	// consecutiveFailures is the number of consecutive attempts that failed,
	// were refused or, for a service replica, ended.
	consecutiveFailures int
	// notBefore is the earliest time of the next placement.
	notBefore time.Duration
	// avoidVM is the VM of the last attempt that backOff was called for. The
	// task avoids it until avoidUntil.
	avoidVM    types.VMID
	avoidUntil time.Duration
}

// Owner is the state machine of a shard's owner for one term. Its methods must
// be called by one goroutine, with times that do not decrease.
type Owner struct {
	cfg        Config
	placer     Placer
	learner    Learner
	detector   *membership.Detector
	takeoverAt time.Duration
	leaseUntil time.Duration
	// now is the time of the current input.
	now       time.Duration
	lost      bool
	recovered bool

	vms           map[types.VMID]*vmState
	vmOrder       []*vmState
	jobs          map[types.JobID]*jobState
	tasks         map[types.TaskID]*taskState
	lastSubmitSeq uint64
	// finished holds the jobs that this owner removed most recently, with the
	// revision of the removal, so that a row read before the end of a job or its
	// move to another shard does not add the job again.
	// finishedOrder is a ring buffer of these IDs.
	finished      map[types.JobID]uint64
	finishedOrder []types.JobID
	finishedNext  int

	// waiting are the tasks to place; unsorted is set while they are not in
	// order.
	waiting  []*taskState
	unsorted bool
	// evacuated are the failure domains in which nothing new may start.
	evacuated []types.FailureDomain
	// placeDue makes the next placement pass due at once.
	placeDue bool
	// unplaceable holds the jobs that the current round of placement passes could not
	// place.
	unplaceable map[*jobState]bool
	lastPlace   time.Duration
	// active are the tasks that may need a command.
	active []*taskState
	// dirty and dirtyJobs have rows to write in the next batches.
	dirty     []*taskState
	dirtyJobs []*jobState
	// urgent makes the next batch due at once.
	urgent        bool
	inFlightBatch *inFlightBatch
	batchID       uint64
	lastBatch     time.Duration
	// retryAt is when the table may be used again.
	retryAt time.Duration
	// tableUnavailable is set from an unanswered or rejected batch until a
	// batch is committed or the table returns the rows of a batch.
	tableUnavailable bool
	candidates       []Candidate
	out              Output
}

// NewOwner returns the owner for a term that began with a takeover request sent
// at takeoverAt. It places nothing before Recover is called.
func NewOwner(cfg Config, members membership.Config, placer Placer, takeoverAt time.Duration) *Owner {
	return &Owner{
		cfg:         cfg,
		placer:      placer,
		learner:     learnerOf(placer),
		now:         takeoverAt,
		detector:    membership.NewDetector(members, cfg.Incarnation),
		takeoverAt:  takeoverAt,
		lastBatch:   takeoverAt - cfg.BatchInterval,
		vms:         make(map[types.VMID]*vmState),
		jobs:        make(map[types.JobID]*jobState),
		tasks:       make(map[types.TaskID]*taskState),
		finished:    make(map[types.JobID]uint64),
		unplaceable: make(map[*jobState]bool),
	}
}

// SetLease sets the time until which the owner may act, as returned by
// lease.Holder.ValidUntil. It must be called after each renewal.
func (o *Owner) SetLease(until time.Duration) {
	o.leaseUntil = until
}

// Lost reports whether another owner has taken over the shard, as shown by a
// changed fence row. From then on, the owner does nothing.
func (o *Owner) Lost() bool {
	return o.lost
}

// Detector returns the failure detector of the shard's members. The caller
// sends digests of its view to the entries.
func (o *Owner) Detector() *membership.Detector {
	return o.detector
}

// SetVMs sets the shard's VMs from the configuration. VMs that are no longer
// configured accept no new work, but keep their live attempts until these have
// ended. Infeasible tasks wait for a placement again.
func (o *Owner) SetVMs(vms []types.VM) {
	listed := make(map[types.VMID]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		o.ensureVM(vm.ID).vm = vm
	}
	for _, v := range o.vmOrder {
		if !listed[v.vm.ID] {
			v.vm.Capacity = types.Resources{}
		}
	}
	for _, t := range o.sortedTasks() {
		if t.row.State == task.Infeasible && !t.job.moving {
			o.apply(t, task.Event{Kind: task.EventFeasible})
		}
	}
	o.placeDue = true
}

// Task returns the newest row of a task, which may not be in the table yet. It
// returns false if the task is unknown.
func (o *Owner) Task(id types.TaskID) (task.Row, bool) {
	t := o.tasks[id]
	if t == nil {
		return task.Row{}, false
	}
	return t.row, true
}

// Ready reports whether the owner may place tasks: it has recovered, and either
// every VM of the inventory has sent a complete report or Config.ReadyAfter has
// passed since the takeover. A VM that has not reported gets no new work, and
// its rows keep their capacity reserved.
func (o *Owner) Ready(now time.Duration) bool {
	if !o.recovered || o.lost {
		return false
	}
	if now >= o.takeoverAt+o.cfg.ReadyAfter {
		return true
	}
	for _, v := range o.vmOrder {
		if v.reportedBy == 0 {
			return false
		}
	}
	return true
}

// Heartbeat applies a worker's heartbeat. It returns false, and no reply may be
// sent, if the owner has no valid lease: only an owner with a lease may grant a
// run right.
func (o *Owner) Heartbeat(now time.Duration, hb membership.Heartbeat) (HeartbeatReply, bool) {
	if o.lost || now >= o.leaseUntil {
		return HeartbeatReply{}, false
	}
	o.now = now
	ack, change, verdict := o.detector.Heartbeat(now, hb)
	reply := HeartbeatReply{Ack: ack, Epoch: o.cfg.Epoch}
	v := o.vms[hb.VM]
	if verdict == membership.Changed {
		o.applyMemberChange(now, change)
	}
	if v == nil || (verdict != membership.Changed && verdict != membership.Refreshed) {
		return reply, true
	}
	reply.Right = true
	reply.NeedReport = v.reportedBy != hb.Incarnation
	v.runRightFrom = max(v.runRightFrom, now)
	v.lastSentAt = hb.SentAt
	v.expiryApplied = false
	return reply, true
}

// applyMemberChange applies a change of a member's status or incarnation.
func (o *Owner) applyMemberChange(now time.Duration, c membership.Change) {
	o.out.Changes = append(o.out.Changes, c)
	o.placeDue = true
	v := o.vms[c.VM]
	if v == nil {
		return
	}
	if v.reportedBy != 0 && v.reportedBy != c.Incarnation {
		v.reportedBy = 0
		v.reportSeq = 0
	}
	switch c.Status {
	case membership.Draining:
		for _, t := range v.tasks {
			o.evict(now, t)
		}
	case membership.Dead, membership.Leaving:
		o.replaceReplicas(v)
	}
}

// replaceReplicas treats the service replicas of a VM whose worker is dead or
// leaving as stopped, so that they are placed again with a new attempt number.
func (o *Owner) replaceReplicas(v *vmState) {
	for _, t := range snapshot(v.tasks) {
		if t.job.row.Job.Class == types.ClassLatencyCritical {
			o.applyStopped(t, "")
		}
	}
}

// expireRunRights treats all attempts on a VM as stopped when the VM's run
// right has ended and its worker is not running according to the detector.
func (o *Owner) expireRunRights(now time.Duration) {
	for _, v := range o.vmOrder {
		if v.expiryApplied || now < o.cfg.runRightEnd(v.runRightFrom) {
			continue
		}
		if entry, _ := o.detector.Lookup(v.vm.ID); entry.Status.Running() {
			continue
		}
		v.expiryApplied = true
		v.orphan = nil
		v.orphanSum = types.Resources{}
		for _, t := range snapshot(v.tasks) {
			o.applyStopped(t, "")
		}
	}
}

// Poll advances the owner to the time now and returns what the caller has to
// execute. It must be called after each input and at least every 100 ms.
func (o *Owner) Poll(now time.Duration) Output {
	if o.lost || now >= o.leaseUntil {
		out := Output{Changes: o.out.Changes, Violations: o.out.Violations, Problems: o.out.Problems}
		o.out = Output{}
		return out
	}
	o.now = now
	for _, c := range o.detector.Tick(now, nil) {
		o.applyMemberChange(now, c)
	}
	if o.recovered {
		o.expireRunRights(now)
		o.place(now)
		o.emitCommands(now)
		o.flush(now)
	}
	out := o.out
	o.out = Output{}
	return out
}

// apply applies an event to a task's newest row and updates the owner's state.
// It returns task.NotAllowed if an invariant check fails.
func (o *Owner) apply(t *taskState, ev task.Event) task.Verdict {
	ev.Epoch = o.cfg.Epoch
	next, verdict := task.Apply(t.row, ev)
	if verdict != task.Accepted {
		return verdict
	}
	old := t.row
	if v := o.checkInvariants(ev, old, next); v != nil {
		o.addViolation(v)
		return task.NotAllowed
	}
	o.setRow(t, next)
	o.markDirty(t)
	if old.State.Live() && !next.State.Live() {
		o.learner.Ended(o.now, old.VM, next.Task, t.job.row.Job.Kind, classifyEnd(ev))
	}
	return task.Accepted
}

// checkInvariants checks a row change against the invariants of package guard.
func (o *Owner) checkInvariants(ev task.Event, old, next task.Row) *guard.Violation {
	if o.cfg.DisableInvariantChecks {
		return nil
	}
	if v := guard.CheckChange(next.Task, old.Attempt, next.Attempt, old.Epoch, next.Epoch, old.State.Live()); v != nil {
		return v
	}
	if ev.Kind != task.EventPlace {
		return nil
	}
	vm := o.vms[next.VM]
	return guard.Capacity(next.VM, vm.occupied().Add(next.Reserved), vm.vm.Capacity)
}

// classifyEnd returns how an attempt ended, from the event that ended it.
func classifyEnd(ev task.Event) AttemptEnd {
	switch {
	case ev.Kind == task.EventFinished:
		return AttemptDone
	case ev.Kind == task.EventFailed && !ev.Refused:
		return AttemptFailed
	default:
		return AttemptInterrupted
	}
}

// setRow replaces the newest row of a task and updates reservations, lists and
// counts.
func (o *Owner) setRow(t *taskState, next task.Row) {
	old := t.row
	t.row = next
	if old.State.Live() != next.State.Live() || old.VM != next.VM || old.Reserved != next.Reserved {
		if old.State.Live() {
			o.vms[old.VM].remove(t, old.Reserved)
		}
		if next.State.Live() {
			o.ensureVM(next.VM).add(t, next.Reserved)
		}
		o.placeDue = true
	}
	if old.State.Final() != next.State.Final() {
		t.job.countEnded(next.State.Final())
		o.queueFinalRow(t.job)
	}
	if next.State.Live() && next.Attempt != old.Attempt {
		t.started = o.now
	}
	if !next.State.Live() {
		t.clearAttempt()
	}
	if !next.State.Waiting() {
		o.releaseHold(t)
	}
	if next.State.Waiting() && !t.waiting {
		t.waiting = true
		o.waiting = append(o.waiting, t)
		o.unsorted = true
		o.placeDue = true
	}
	o.activate(t)
}

// activate adds a task to the list of tasks that may need a command.
func (o *Owner) activate(t *taskState) {
	if !t.active {
		t.active = true
		o.active = append(o.active, t)
	}
}

func (o *Owner) addViolation(v *guard.Violation) {
	o.out.Violations = append(o.out.Violations, v)
}

// ensureVM returns the state of a VM and creates it if necessary. An old row
// may name a VM that is no longer configured.
func (o *Owner) ensureVM(id types.VMID) *vmState {
	v := o.vms[id]
	if v == nil {
		v = &vmState{vm: types.VM{ID: id}, runRightFrom: o.takeoverAt}
		o.vms[id] = v
		o.vmOrder = append(o.vmOrder, v)
	}
	return v
}

// FenceKey returns the key of the fence row, on which all batches are
// conditional.
func (o *Owner) FenceKey() string {
	return lease.FenceKey(o.cfg.Shard)
}
