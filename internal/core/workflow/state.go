package workflow

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// phase is the state of a task.
type phase uint8

const (
	phaseWaiting phase = iota
	// phaseStarting: a start has been ordered and not answered yet.
	phaseStarting
	phaseRunning
	// phaseStopping: the run must end, or may not have begun; the task waits
	// for proof that it has ended.
	phaseStopping
	phaseDone
)

func (p phase) live() bool {
	return p == phaseStarting || p == phaseRunning || p == phaseStopping
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	phase phase
	// copy is the second run of the task, nil if there is none. It is a task of its own
	// that is not among those of the step, and copyOf is its task.
	copy, copyOf *task
	// nextCopyAt is the earliest time of the next copy.
	nextCopyAt time.Duration

	// run and vm belong to the current or last run, except that a gang that did
	// not fit leaves the last VM tried here.
	run uint64
	vm  *vm
	// starts counts the starts in the term of this owner.
	starts    uint64
	startedAt time.Duration
	// undisturbed: the run began without a checkpoint and was never slowed
	// down.
	undisturbed bool
	// answerSeq and answerAgent are the sequence number and the agent of the
	// answer to the last start or stop. A list with a higher number, or from
	// another agent, shows the state after it.
	answerSeq   uint64
	answerAgent types.Incarnation
	stopAcked   bool
	orderedAt   time.Duration
	// inFlight: an order for the run has been sent and not answered.
	inFlight bool
	// listed: a list of the worker's current boot has shown the run.
	listed bool

	failures   Failures
	checkpoint string
	// avoidVM is the VM of the last run that failed or stalled. The task avoids it
	// until avoidUntil.
	avoidVM    types.VMID
	avoidUntil time.Duration
	// notBefore is the earliest time of the next start after a worker could not
	// run the task.
	notBefore time.Duration
	// forced: the task was placed because its step had no live task for
	// starvationTimeout, although it may disturb standing tasks on the VM. A VM
	// takes one such task at a time.
	forced bool
	// background: the run is slow, since no VM could take it at full pace. It does not
	// count as filling work of its VM.
	background bool
	// nextMoveAt is the earliest time at which a background run may move again.
	nextMoveAt time.Duration
	// waitingSince is when the task became ready or last ran.
	waitingSince time.Duration

	// pace is the last pace that the worker has confirmed, or unknownPace.
	pace int
	// progress and measurement are from the last list.
	progress    int
	measurement float64
	// advance is the measured advance at full pace.
	advance advance
	// ownSlowdown is the slowdown of a straggler, see exemptStragglers; 0 for others.
	ownSlowdown float64
	// learnedMeasurement is the last measurement that the interference model
	// has learned from.
	learnedMeasurement float64
	// wantedPace is the pace that the task should have, sentPace the pace in
	// the last pace order, sent at paceSentAt.
	wantedPace, sentPace int
	// throttledSince is when the wanted pace fell below throttledPace.
	throttledSince time.Duration
	// stalledSince is when the task was first seen to use no processor, or 0.
	stalledSince time.Duration
	paceSentAt   time.Duration
	preemption   taskPreemption
}

func (t *task) key() TaskKey {
	return TaskKey{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence.number, Step: t.step.index, Index: t.index}
}

// step is one step of an occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	index      int
	spec       *Step
	tasks      []task
	done       int
	waiting    int
	ready      bool
	// perVM counts live tasks by VM; nil for steps without a limit.
	perVM map[types.VMID]int
	// idleSince is when the step last had a running task, or became ready. idleLoggedAt
	// is the last log event about it.
	idleSince, idleLoggedAt time.Duration
	// headroomLoggedAt is the last log event about a delay for headroom.
	headroomLoggedAt time.Duration
	// runTime is the estimated run time of a task, and criticalPath the
	// estimated time of the longest path from the step on, both as of the last
	// forecast.
	runTime      time.Duration
	criticalPath time.Duration
	// nominalPath is the same path with the run time of one task for each step, on which
	// the objective is based.
	nominalPath time.Duration
	// live counts the live tasks, background those of them that are background runs.
	live, background int
	// users is the estimated load that the users of standing tasks cause.
	users  usersLoad
	sample runTimeSample
	// relativeRunTimes holds run times of finished tasks as multiples of the
	// declared one.
	relativeRunTimes []float64
	// endedRuns holds the first undisturbed runs that ended, see typicalRatio.
	endedRuns []endedRun
	tickets   tickets
	// membersPlaced is how many members of the gang found a VM in the last placement
	// pass.
	membersPlaced int
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number int
	due    time.Duration // on the owner's clock
	// objective is how long after it is due the occurrence should be done, as
	// of forecastAt.
	objective  time.Duration
	forecastAt time.Duration
	steps      []*step
	finished   bool
	plan       planState
}

// job is an unfinished job.
type job struct {
	spec        Job
	occurrences []*occurrence
	// accepted is the time of acceptance on the owner's clock.
	accepted    time.Duration
	revision    uint64
	begun       bool
	storedState JobState
	// outcome is set when the job has a final state; its tasks are then
	// stopped.
	outcome JobState
	// outcomeStored is set if the stored state is already the outcome.
	outcomeStored bool
	// inherited: an earlier owner may have started tasks of the job.
	inherited bool
	// readUnconfirmed: the job was read while the ownership was not confirmed,
	// so a later owner may have started tasks of it.
	readUnconfirmed bool
	dirty           bool
	live            int
	// created counts the occurrences that exist, finished those that are done.
	created, finished int
	// objective is that of the last occurrence that was done; anyLate is set once one
	// missed its own.
	objective time.Duration
	anyLate   bool
}

// ended returns how the job has ended for its caller.
func (j *job) ended() *Outcome {
	return &Outcome{Queue: j.spec.Queue, Work: j.spec.Work(), Objective: j.objective, InTime: j.outcome == JobCompleted && !j.anyLate}
}

func (j *job) occurrenceCount() int {
	return max(1, j.spec.Occurrences)
}

// vm is the owner's state of one VM and its upstream worker.
type vm struct {
	id types.VMID
	// domain is empty if it is not known.
	domain types.FailureDomain
	// evacuated: domain is evacuated.
	evacuated bool
	agent     types.Incarnation
	boot      Boot
	upstream  Upstream
	// announced: upstream is set.
	announced bool
	// reached: the worker has confirmed the owner's epoch and sent its lists.
	reached bool
	// fence is the highest fence that the worker has confirmed.
	fence Fence
	// clock is a reading of the worker's clock, taken no later than clockAt on
	// the owner's clock.
	clock   time.Duration
	clockAt time.Duration
	// listSeq is the ListSeq of the last report applied, from the agent listAgent.
	listAgent types.Incarnation
	listSeq   uint64
	// grantedUntil is the latest deadline granted to the boot, on the worker's
	// clock.
	grantedUntil time.Duration
	// earlierOrders: orders for an earlier boot may have reached the current one, since
	// it may have the same ID. This is unknown of a boot that an earlier owner may have
	// called.
	earlierOrders bool
	// earlierOrdersUntil is the latest deadline, on the worker's clock, that such
	// orders can have left. Theirs are on the clock of another boot, so only the
	// worker's own limit bounds it. 0 if there can be none.
	earlierOrdersUntil time.Duration
	// unreachedSince is when the owner began to wait for the worker's current
	// boot.
	unreachedSince time.Duration
	lastContact    time.Duration
	// provenIdle: nothing can run on the VM, because its worker has ended or
	// the lease of the worker has expired.
	provenIdle bool
	// left: the worker has ended after it announced that it leaves.
	left bool

	tasks []*task
	// copies counts the copies among tasks.
	copies int
	// untrackedRuns holds the runs that are listed but are not the current run of any
	// task.
	untrackedRuns map[runID]untrackedRun
	// reserved is the sum of reservations; filling is the processor demand of
	// filling tasks, except background runs, whose demands are background and
	// backgroundMemory.
	reserved                              types.Resources
	filling, background, backgroundMemory int64
	// nextMoveAt is the earliest time at which a background run may be stopped to start
	// on the VM, nextForcedAt that at which one may be brought to full pace by force.
	nextMoveAt, nextForcedAt time.Duration
	// passLeftover is the result of leftover as of the current placement pass.
	passLeftover int64
	// targets counts the live tasks with a tail target.
	targets int
	// nextPaceChangeAt is the earliest time of the next pace change.
	nextPaceChangeAt time.Duration
	observedAt       time.Duration
	// standingImages counts the live tasks with a tail target by image.
	standingImages []imageCount
	// tailOKAt is the last time at which no tail was high.
	tailOKAt time.Duration
	// endSeen and endDurable are the numbers of the last end that was applied
	// and of the last one that is durable.
	endSeen, endDurable uint64
	noRoomUntil         time.Duration
	refusedUntil        time.Duration
	// slowUntil is the end of the pause of a slow VM; tailsHighSince is when
	// its tails first became high without a cause, or 0.
	slowUntil, tailsHighSince time.Duration
	quarantined               bool
	// probeDue: a task may probe the quarantined VM. It is reset by the next
	// result of a task there.
	probeDue bool
	// probe is the task that tests a quarantined VM. servingSince is when a standing
	// one began to serve, or was last counted as a successful probe; 0 if it does
	// not serve.
	probe        *task
	servingSince time.Duration
	// standingReserved is the part of reserved that standing tasks hold, held what is
	// held for work of priority 0.
	standingReserved, held types.Resources
}

// imageCount is the number of live tasks of one image with a tail target.
type imageCount struct {
	image string
	tasks int
}

// countImage adjusts the number of the image's tasks with a tail target.
func (v *vm) countImage(image string, by int) {
	for i := range v.standingImages {
		if v.standingImages[i].image == image {
			v.standingImages[i].tasks += by
			return
		}
	}
	v.standingImages = append(v.standingImages, imageCount{image, by})
}

// otherImages returns the number of other images that have tasks with a tail
// target on the VM.
func (v *vm) otherImages(image string) int {
	n := 0
	for _, s := range v.standingImages {
		if s.tasks > 0 && s.image != image {
			n++
		}
	}
	return n
}

// runID identifies a run of a task.
type runID struct {
	task TaskKey
	run  uint64
}

// ackMark is the last end of a boot that may be acknowledged once a batch is
// durable.
type ackMark struct {
	// born identifies the boot, upTo is the number of the end.
	born int64
	upTo uint64
}

// usable reports whether new tasks may be placed on the VM.
func (o *Owner) usable(v *vm) bool {
	return !v.evacuated && o.operational(v)
}

// operational reports whether the VM's worker can take more work, be it a new task or a
// higher pace of one that it runs.
func (o *Owner) operational(v *vm) bool {
	return v.reached && v.announced && !v.upstream.Draining && o.now >= v.noRoomUntil && o.now >= v.refusedUntil && o.now >= v.slowUntil && o.leaseSuffices(v)
}

// leftover returns the processors that tasks with reservations leave unused, in
// thousandths of a core. A standing task uses the share of its reservation that
// equals the load of its users.
func (v *vm) leftover() int64 {
	left := v.upstream.Capacity.MilliCPU - v.occupied().MilliCPU
	for _, t := range v.tasks {
		if !t.step.spec.Standing {
			continue
		}
		left += int64((1 - t.step.expectedUsersLoad()) * float64(t.step.spec.Demand.MilliCPU))
	}
	return left
}

func (v *vm) hasLabel(name string) bool {
	for _, l := range v.upstream.Labels {
		if l == name {
			return true
		}
	}
	return false
}

// reservation returns the resources that a task of the step reserves on a VM.
func (s *step) reservation() types.Resources {
	r := s.spec.Demand
	if s.spec.Fills {
		r.MilliCPU = 0
	}
	return r
}

// bind assigns a task to a VM.
func (v *vm) bind(t *task) {
	t.vm = v
	v.tasks = append(v.tasks, t)
	v.countCopy(t, 1)
	v.reserved = v.reserved.Add(t.step.reservation())
	if t.step.spec.Standing {
		v.standingReserved = v.standingReserved.Add(t.step.reservation())
	}
	v.countFilling(t, 1)
	if t.step.spec.TailTarget > 0 {
		v.targets++
		v.countImage(t.step.spec.Image, 1)
	}
	if t.step.perVM != nil {
		t.step.perVM[v.id]++
	}
	t.step.job.live++
	t.step.live++
}

// release removes a task from its VM.
func (t *task) release() {
	v := t.vm
	if v == nil {
		return
	}
	i := slices.Index(v.tasks, t)
	if i < 0 {
		return
	}
	v.tasks = slices.Delete(v.tasks, i, i+1)
	v.countCopy(t, -1)
	if v.probe == t {
		v.probe = nil
	}
	v.reserved = v.reserved.Sub(t.step.reservation())
	if t.step.spec.Standing {
		v.standingReserved = v.standingReserved.Sub(t.step.reservation())
	}
	v.countFilling(t, -1)
	if t.step.spec.TailTarget > 0 {
		v.targets--
		v.countImage(t.step.spec.Image, -1)
	}
	if t.step.perVM != nil {
		t.step.perVM[v.id]--
	}
	t.step.job.live--
	t.step.live--
	t.inFlight, t.listed, t.stopAcked, t.answerSeq = false, false, false, 0
	t.progress, t.measurement, t.stalledSince, t.forced, t.background, t.advance, t.ownSlowdown = 0, 0, 0, false, false, advance{}, 0
}
