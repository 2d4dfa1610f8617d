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
	// reserved is the sum over the live attempts of the rows.
	reserved types.Resources
	// promised is the sum over tasks that wait for evictions here.
	promised types.Resources
	// foreign are attempts that the worker reported and no row has as live.
	foreign    map[attemptID]types.Resources
	foreignSum types.Resources
	// tasks are those whose rows have a live attempt here.
	tasks []*taskState
	// boundFrom is the last reading at which a run right here may have been
	// acknowledged: by this owner, or by an earlier one before the takeover.
	boundFrom time.Duration
	// lastSentAt is the worker's reading in its last acknowledged heartbeat.
	lastSentAt time.Duration
	// reportedBy is the incarnation that gave a complete report.
	reportedBy types.Incarnation
	reportSeq  uint64
	// lapseApplied is set when the bound was used as proof, until the next heartbeat.
	lapseApplied bool
}

type attemptID struct {
	task    types.TaskID
	attempt types.Attempt
}

// jobState is the owner's state of one job.
type jobState struct {
	row      task.JobRow
	revision uint64
	tasks    []*taskState
	ended    int
	dirty    bool
	flying   bool
}

// taskState is the owner's state of one task.
type taskState struct {
	job *jobState
	// committed is the row in the table; flying the one in the batch in flight;
	// row is the newest, with events that are not in the table yet.
	committed task.Row
	flying    task.Row
	row       task.Row
	revision  uint64
	inFlight  bool
	dirty     bool
	waiting   bool
	active    bool
	order     uint64
	gang      []*taskState
	// promisedOn is the VM that is being made free for the task.
	promisedOn *vmState
	promised   types.Resources
	// latest is the latest checkpoint that a report named.
	latest string
	// evicting is set from the request until the stop is proven.
	evicting     bool
	checkpointed bool
	evictions    int
	evictSince   time.Duration
	// proveStop asks for a stop command, because a report lacks the attempt.
	proveStop bool
	// resume asks for a resume command, because a report shows it suspended.
	resume bool
	// seenBy is the incarnation that last reported the present attempt.
	seenBy    types.Incarnation
	commandAt time.Duration
	commanded CommandKind
	// started is when the present attempt was placed.
	started time.Duration
	// tries counts attempts in a row that failed or were refused.
	tries     int
	notBefore time.Duration
	// avoid is the VM of the last such attempt, until avoidUntil.
	avoid      types.VMID
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
	// now is the time of the present input.
	now       time.Duration
	lost      bool
	recovered bool

	vms     map[types.VMID]*vmState
	vmOrder []*vmState
	jobs    map[types.JobID]*jobState
	tasks   map[types.TaskID]*taskState
	orders  uint64
	// finished holds the jobs that this term dropped last, so that a row read
	// before their end does not bring them back. finishedOrder is a ring.
	finished      map[types.JobID]bool
	finishedOrder []types.JobID
	finishedNext  int

	waiting    []*taskState
	unsorted   bool
	placeDue   bool
	lastPlace  time.Duration
	active     []*taskState
	dirty      []*taskState
	dirtyJobs  []*jobState
	urgent     bool
	flight     *flight
	batchID    uint64
	lastBatch  time.Duration
	retryAt    time.Duration
	storeDown  bool
	candidates []Candidate
	out        Output
}

// NewOwner returns the owner of a term that began with a takeover sent at
// takeoverAt. It places nothing before Recover.
func NewOwner(cfg Config, members membership.Config, placer Placer, takeoverAt time.Duration) *Owner {
	return &Owner{
		cfg:        cfg,
		placer:     placer,
		learner:    learnerOf(placer),
		now:        takeoverAt,
		detector:   membership.NewDetector(members, cfg.Incarnation),
		takeoverAt: takeoverAt,
		lastBatch:  takeoverAt - cfg.BatchInterval,
		vms:        make(map[types.VMID]*vmState),
		jobs:       make(map[types.JobID]*jobState),
		tasks:      make(map[types.TaskID]*taskState),
		finished:   make(map[types.JobID]bool),
	}
}

// SetLease sets until when the owner may act, as lease.Holder.Until gives it.
// It is called after each renewal.
func (o *Owner) SetLease(until time.Duration) {
	o.leaseUntil = until
}

// Lost reports whether the fence row shows another term. The owner then does
// nothing any more.
func (o *Owner) Lost() bool {
	return o.lost
}

// Detector returns the detector of the shard's members, for digests.
func (o *Owner) Detector() *membership.Detector {
	return o.detector
}

// SetVMs sets the shard's VMs from the configuration. VMs with live attempts
// stay, without accepting new work, until the attempts have ended. Infeasible
// tasks are tried again.
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
		if t.row.State == task.Infeasible {
			o.apply(t, task.Event{Kind: task.EventFeasible})
		}
	}
	o.placeDue = true
}

// Task returns the newest row of a task, which may not be in the table yet.
func (o *Owner) Task(id types.TaskID) (task.Row, bool) {
	t := o.tasks[id]
	if t == nil {
		return task.Row{}, false
	}
	return t.row, true
}

// Ready reports whether the owner may place: it has recovered, and every VM of
// the inventory has reported or the wait after the takeover is over. VMs that
// have not reported get no work, and their rows keep their capacity occupied.
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

// Heartbeat applies a worker's heartbeat. Without a valid lease there is no
// reply: a run right comes only from an owner with one.
func (o *Owner) Heartbeat(now time.Duration, hb membership.Heartbeat) (HeartbeatReply, bool) {
	if o.lost || now >= o.leaseUntil {
		return HeartbeatReply{}, false
	}
	o.now = now
	ack, change, verdict := o.detector.Heartbeat(now, hb)
	reply := HeartbeatReply{Ack: ack, Epoch: o.cfg.Epoch}
	v := o.vms[hb.VM]
	if verdict == membership.Changed {
		o.changed(now, change)
	}
	if v == nil || (verdict != membership.Changed && verdict != membership.Refreshed) {
		return reply, true
	}
	reply.Right = true
	reply.NeedReport = v.reportedBy != hb.Incarnation
	v.boundFrom = max(v.boundFrom, now)
	v.lastSentAt = hb.SentAt
	v.lapseApplied = false
	return reply, true
}

// changed applies a change of a member's entry.
func (o *Owner) changed(now time.Duration, c membership.Change) {
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

// replaceReplicas frees the service replicas of a VM whose process is gone, so
// that they are placed again under a new attempt number.
func (o *Owner) replaceReplicas(v *vmState) {
	for _, t := range snapshot(v.tasks) {
		if t.job.row.Job.Class == types.ClassLatencyCritical {
			o.stopped(t, "")
		}
	}
}

// lapse uses the end of the run right as proof for all attempts on VMs that
// are not heard from.
func (o *Owner) lapse(now time.Duration) {
	for _, v := range o.vmOrder {
		if v.lapseApplied || now < o.cfg.rightBound(v.boundFrom) {
			continue
		}
		if entry, _ := o.detector.Lookup(v.vm.ID); entry.Status.Running() {
			continue
		}
		v.lapseApplied = true
		v.foreign = nil
		v.foreignSum = types.Resources{}
		for _, t := range snapshot(v.tasks) {
			o.stopped(t, "")
		}
	}
}

// Poll advances the owner to now and returns what the shell has to do. It is
// called after inputs and at least every 100 ms.
func (o *Owner) Poll(now time.Duration) Output {
	if o.lost || now >= o.leaseUntil {
		out := Output{Changes: o.out.Changes, Violations: o.out.Violations, Problems: o.out.Problems}
		o.out = Output{}
		return out
	}
	o.now = now
	for _, c := range o.detector.Tick(now, nil) {
		o.changed(now, c)
	}
	if o.recovered {
		o.lapse(now)
		o.place(now)
		o.commands(now)
		o.store(now)
	}
	out := o.out
	o.out = Output{}
	return out
}

// apply applies an event to a task's newest row and keeps the accounts.
func (o *Owner) apply(t *taskState, ev task.Event) task.Verdict {
	ev.Epoch = o.cfg.Epoch
	next, verdict := task.Apply(t.row, ev)
	if verdict != task.Accepted {
		return verdict
	}
	old := t.row
	if v := o.check(ev, old, next); v != nil {
		o.violated(v)
		return task.NotAllowed
	}
	o.setRow(t, next)
	o.markDirty(t)
	if old.State.Live() && !next.State.Live() {
		o.learner.Ended(o.now, old.VM, next.Task, t.job.row.Job.Kind, ending(ev))
	}
	return task.Accepted
}

// check runs the invariant checks of a change of a row.
func (o *Owner) check(ev task.Event, old, next task.Row) *guard.Violation {
	if o.cfg.Unguarded {
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

// ending classifies the event that ended an attempt.
func ending(ev task.Event) Ending {
	switch {
	case ev.Kind == task.EventFinished:
		return EndedDone
	case ev.Kind == task.EventFailed && !ev.Refused:
		return EndedFailed
	default:
		return EndedCut
	}
}

// setRow replaces the newest row and updates reservations, lists and counts.
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
	if old.State.Terminal() != next.State.Terminal() {
		t.job.countEnded(next.State.Terminal())
		o.finishJob(t.job)
	}
	if next.State.Live() && next.Attempt != old.Attempt {
		t.started = o.now
	}
	if !next.State.Live() {
		t.clearAttempt()
	}
	if !next.State.Waiting() {
		o.unpromise(t)
	}
	if next.State.Waiting() && !t.waiting {
		t.waiting = true
		o.waiting = append(o.waiting, t)
		o.unsorted = true
		o.placeDue = true
	}
	o.activate(t)
}

// activate makes the commands for a task due.
func (o *Owner) activate(t *taskState) {
	if !t.active {
		t.active = true
		o.active = append(o.active, t)
	}
}

func (o *Owner) violated(v *guard.Violation) {
	o.out.Violations = append(o.out.Violations, v)
}

// ensureVM returns the state of a VM, which an old row may name although the
// configuration no longer has it.
func (o *Owner) ensureVM(id types.VMID) *vmState {
	v := o.vms[id]
	if v == nil {
		v = &vmState{vm: types.VM{ID: id}, boundFrom: o.takeoverAt}
		o.vms[id] = v
		o.vmOrder = append(o.vmOrder, v)
	}
	return v
}

// FenceKey returns the key of the row that batches are conditional on.
func (o *Owner) FenceKey() string {
	return lease.FenceKey(o.cfg.Shard)
}

func (v *vmState) add(t *taskState, r types.Resources) {
	v.reserved = v.reserved.Add(r)
	v.tasks = append(v.tasks, t)
}

func (v *vmState) remove(t *taskState, r types.Resources) {
	v.reserved = v.reserved.Sub(r)
	for i, other := range v.tasks {
		if other == t {
			v.tasks = append(v.tasks[:i], v.tasks[i+1:]...)
			return
		}
	}
}

// occupied is what attempts hold, whether rows have them or not.
func (v *vmState) occupied() types.Resources {
	return v.reserved.Add(v.foreignSum)
}

// clearAttempt forgets what concerned the attempt that is over.
func (t *taskState) clearAttempt() {
	t.evicting = false
	t.checkpointed = false
	t.proveStop = false
	t.resume = false
	t.seenBy = 0
	t.latest = ""
	t.commanded = ""
	t.commandAt = 0
}

func (j *jobState) countEnded(ended bool) {
	if ended {
		j.ended++
		return
	}
	j.ended--
}

func snapshot(tasks []*taskState) []*taskState {
	return append([]*taskState(nil), tasks...)
}
