package workflow

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// phase is where a task stands.
type phase uint8

const (
	phaseWaiting phase = iota
	// phaseStarting: a start is on its way and has no answer yet.
	phaseStarting
	phaseRunning
	// phaseStopping: the run must end, or is not known to have begun; the task
	// waits for proof that it is over.
	phaseStopping
	phaseDone
	phaseFailed
)

func (p phase) live() bool {
	return p == phaseStarting || p == phaseRunning || p == phaseStopping
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	phase phase

	// run, vm and boot belong to the present or last run.
	run  uint64
	vm   *vm
	boot Boot
	// starts counts the starts in this owner's term.
	starts    uint64
	startedAt time.Duration
	// undisturbed: the run began from nothing and was never slowed down.
	undisturbed bool
	// settledSeq and settledBy are the sequence number and agent of the answer
	// to the last start or stop. A list with a higher number, or of another
	// agent, shows the state after it.
	settledSeq uint64
	settledBy  types.Incarnation
	stopAcked  bool
	orderedAt  time.Duration
	// inFlight: an order for the run is on its way.
	inFlight bool

	failures   Failures
	checkpoint string
	// avoid is the VM where the last run failed.
	avoid     types.VMID
	notBefore time.Duration
	// forced: the task fills a VM although it may harm a standing task there,
	// since no VM is better.
	forced bool

	// pace is the last one that the worker has confirmed, or unknownPace.
	pace int
	// progress and figure are from the last list.
	progress int
	figure   float64
	// advance is where the task's speed is measured from.
	advance advance
	// learnedFigure is the last figure that the load model has learned from.
	learnedFigure float64
	// wantedPace is the pace that the task should have, sentPace that of the last
	// order.
	wantedPace, sentPace int
	// slowSince is when the wanted pace fell below slowPace.
	slowSince time.Duration
	// stalledSince is when the task was first seen to use no processor, or 0.
	stalledSince time.Duration
	pacedAt      time.Duration
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
	// perVM counts live tasks by VM, kept only for steps with a limit.
	perVM map[types.VMID]int
	// idleSince is when the step last had a live task, or became ready.
	idleSince time.Duration
	// runTime is how long a task is expected to run, and rest how long the longest
	// path of work from the step on takes, both as last forecast.
	runTime      time.Duration
	criticalPath time.Duration
	explainedAt  time.Duration
	live         int
	// users is the load that the users of standing tasks cause.
	users  usersLoad
	sample runTimeSample
	// relativeRunTimes are run times of finished tasks as multiples of the declared one.
	relativeRunTimes []float64
	tickets          tickets
	// gangFailed is the run whose failure has been counted.
	gangFailed uint64
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number int
	due    time.Duration // on the owner's clock
	// objective is how long after it is due the occurrence should be done, as
	// forecast at forecastAt.
	objective  time.Duration
	forecastAt time.Duration
	steps      []*step
	finished   bool
}

// job is an unfinished job.
type job struct {
	spec        Job
	occurrences []*occurrence
	// accepted is on the owner's clock.
	accepted    time.Duration
	revision    uint64
	begun       bool
	storedState JobState
	// outcome is set when the job has a final state; its tasks are being stopped.
	outcome JobState
	// outcomeStored is set if the row of the state already says so.
	outcomeStored bool
	// held: a predecessor may have started tasks of the job.
	inherited bool
	// readUnconfirmed: the job was read while the ownership was not confirmed, so a
	// successor may have started tasks of it.
	readUnconfirmed bool
	dirty           bool
	live            int
	// created counts occurrences that exist; finished those that are done.
	created, finished int
}

func (j *job) occurrenceCount() int {
	return max(1, j.spec.Occurrences)
}

// vm is what the owner knows of one VM and its upstream worker.
type vm struct {
	id       types.VMID
	agent    types.Incarnation
	boot     Boot
	upstream Upstream
	// announced: up is filled.
	announced bool
	// reached: the worker has confirmed the owner's epoch and given its lists.
	reached bool
	// fence is the highest one that the worker has confirmed.
	fence Fence
	// clock is a reading of the worker's clock that was taken no later than
	// clockAt on the owner's.
	clock   time.Duration
	clockAt time.Duration
	// grantedUntil is the latest deadline sent to the boot, on the worker's clock.
	grantedUntil time.Duration
	// unreachedSince is when the owner began to wait for a worker that it has
	// not reached in its term.
	unreachedSince time.Duration
	lastContact    time.Duration
	leaseExpired   bool
	// departed: the worker has ended after it said that it leaves.
	departed bool

	tasks       []*task
	foreignRuns map[runID]time.Duration
	// used is reserved; filling is the demand of tasks that fill.
	used    types.Resources
	filling int64
	// passLeftover is leftover as of the present placement pass.
	passLeftover int64
	// targets counts the standing tasks with a tail target.
	targets int
	// paceAt is when the next change of paces may be made.
	paceAt     time.Duration
	observedAt time.Duration
	// standingImages counts the live standing tasks with a tail target.
	standingImages []imageCount
	// tailOKAt is when no tail was last high.
	tailOKAt            time.Duration
	endSeen, endDurable uint64
	noRoomUntil         time.Duration
	refusedUntil        time.Duration
	// slowUntil is how long the VM rests as slow; tailsHighSince is when its tails
	// were first too high without a cause, or 0.
	slowUntil, tailsHighSince time.Duration
	quarantined               bool
	probing                   bool
	// probe is the task that tests a quarantined VM.
	probe *task
}

// imageCount is a number of live standing tasks of one image.
type imageCount struct {
	image string
	tasks int
}

// countImage changes the number of standing tasks with a tail target.
func (v *vm) countImage(image string, by int) {
	for i := range v.standingImages {
		if v.standingImages[i].image == image {
			v.standingImages[i].tasks += by
			return
		}
	}
	v.standingImages = append(v.standingImages, imageCount{image, by})
}

// otherImages returns the number of standing images on the VM besides one.
func (v *vm) otherImages(image string) int {
	n := 0
	for _, s := range v.standingImages {
		if s.tasks > 0 && s.image != image {
			n++
		}
	}
	return n
}

// runID identifies a run that is none of the owner's.
type runID struct {
	task TaskKey
	run  uint64
}

type ackMark struct {
	born int64
	upTo uint64
}

// usable reports whether new tasks may be placed on the VM.
func (o *Owner) usable(v *vm) bool {
	return v.reached && v.announced && !v.upstream.Draining && o.now >= v.noRoomUntil && o.now >= v.refusedUntil && o.now >= v.slowUntil && o.leaseSuffices(v)
}

// leftover is the processors that tasks with reservations leave unused. A
// standing task uses the share of its reservation that is its load.
func (v *vm) leftover() int64 {
	left := v.upstream.Capacity.MilliCPU - v.used.MilliCPU
	for _, t := range v.tasks {
		if !t.step.spec.Standing {
			continue
		}
		left += int64((1 - t.step.load()) * float64(t.step.spec.Demand.MilliCPU))
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

// reservation is what the step's tasks reserve on a VM.
func (s *step) reservation() types.Resources {
	r := s.spec.Demand
	if s.spec.Fills {
		r.MilliCPU = 0
	}
	return r
}

// bind puts a task on a VM.
func (v *vm) bind(t *task) {
	t.vm, t.boot = v, v.boot
	v.tasks = append(v.tasks, t)
	v.used = v.used.Add(t.step.reservation())
	if t.step.spec.Fills {
		v.filling += t.step.spec.Demand.MilliCPU
	}
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

// release takes a task from its VM.
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
	if v.probe == t {
		v.probe = nil
	}
	v.used = v.used.Sub(t.step.reservation())
	if t.step.spec.Fills {
		v.filling -= t.step.spec.Demand.MilliCPU
	}
	if t.step.spec.TailTarget > 0 {
		v.targets--
		v.countImage(t.step.spec.Image, -1)
	}
	if t.step.perVM != nil {
		t.step.perVM[v.id]--
	}
	t.step.job.live--
	t.step.live--
	t.inFlight, t.stopAcked, t.settledSeq = false, false, 0
	t.progress, t.figure, t.stalledSince, t.forced, t.advance = 0, 0, 0, false, advance{}
}
