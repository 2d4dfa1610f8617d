package workflow

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/health"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Config holds the times and limits of an owner. All are required.
type Config struct {
	Epoch types.Epoch
	// Hold is how far ahead of a worker's clock leases reach. A longer time
	// rides out longer absences of the owner; a shorter one frees the tasks of
	// a worker out of reach sooner.
	Hold time.Duration
	// LongestHold is the longest lease that any owner may have granted.
	LongestHold time.Duration
	// ClockDrift is how much slower than true a worker's clock may be, as a
	// share: 0.02 for 2%.
	ClockDrift float64
	// StopRetry is the time between repeats of a stop without proof.
	StopRetry time.Duration
	// StateKept is how long the state of a finished job stays readable.
	StateKept time.Duration
	// MaxChanges bounds the jobs changed by one batch.
	MaxChanges int
}

// placeInterval is the longest time between placement passes while tasks wait.
const placeInterval = 100 * time.Millisecond

// placeGapPerVM times the number of VMs is the least time between passes: with
// 74 VMs and 400 ends a second a pass for each end takes a whole small core.
const placeGapPerVM = 250 * time.Microsecond

// lapseMargin is added to the time after which a lease has surely run out, for
// the time between the worker's reading of its clock and its end.
const lapseMargin = 100 * time.Millisecond

// Owner holds all unfinished jobs and decides on their tasks. It is not safe
// for concurrent use. All times are on one monotonic clock that includes
// suspension, but for fields in Unix time.
type Owner struct {
	cfg     Config
	began   time.Duration
	now     time.Duration
	unix    time.Duration
	queues  map[string]Queue
	vms     map[types.VMID]*vm
	vmOrder []*vm
	jobs    map[types.JobID]*job
	ready   []*step
	timed   []*job
	// gone holds jobs that are over: an old list of rows may still have them.
	gone map[types.JobID]bool
	// cancelled holds the revisions of cancellations read before their job.
	cancelled map[types.JobID]uint64
	dirty     []*job
	kept      []keptState
	expired   []types.JobID
	health    *health.Tracker
	pressures *pressures
	runTimes  runTimes
	healthy   time.Duration

	// refused holds what found no VM in the present placement pass.
	refused map[refusalKey]types.Resources
	// restless counts the VMs whose paces are likely to change soon.
	restless  int
	placeDue  bool
	placeAt   time.Duration
	placedAt  time.Duration
	deposed   bool
	inFlight  *Batch
	batches   uint64
	orders    []Order
	questions []Question
	decisions []Decision
	// clear is set when no earlier owner's run can be unknown any longer.
	clear bool
	// confirmed is false while the ownership cannot be confirmed, so that a successor
	// may act beside this owner.
	confirmed bool
}

type keptState struct {
	job   types.JobID
	until time.Duration
}

// New returns the owner of a term that begins at now.
func New(cfg Config, now time.Duration) *Owner {
	return &Owner{
		cfg: cfg, began: now, now: now,
		queues: make(map[string]Queue), vms: make(map[types.VMID]*vm), jobs: make(map[types.JobID]*job), cancelled: make(map[types.JobID]uint64), gone: make(map[types.JobID]bool),
		health: health.New(healthOptions()), pressures: newPressures(), runTimes: make(runTimes), placeDue: true, confirmed: true,
	}
}

// Deposed reports whether a worker has seen a higher epoch; the owner must not
// give any more orders.
func (o *Owner) Deposed() bool { return o.deposed }

// SetQueues replaces the configuration of queues.
func (o *Owner) SetQueues(queues map[string]Queue) {
	o.queues = queues
	o.placeDue = true
}

// queueOf returns the policy in force for a job.
func (o *Owner) queueOf(j *job) Queue {
	if q, ok := o.queues[j.spec.Queue]; ok {
		return q
	}
	return j.spec.Policy
}

// AddVM makes a VM known. A predecessor may have started tasks there.
func (o *Owner) AddVM(now time.Duration, id types.VMID) {
	if _, ok := o.vms[id]; ok {
		return
	}
	v := &vm{id: id, unreachedSince: now, contact: now, foreign: make(map[runID]time.Duration)}
	o.vms[id] = v
	o.vmOrder = append(o.vmOrder, v)
	slices.SortFunc(o.vmOrder, func(a, b *vm) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	ids := make([]types.VMID, 0, len(o.vmOrder))
	for _, v := range o.vmOrder {
		ids = append(ids, v.id)
	}
	o.health.SetWorkers(ids)
}

// AddJob takes over an accepted job. Unix is the present Unix time. A job is
// fresh if no earlier owner can have seen it.
func (o *Owner) AddJob(now, unix time.Duration, spec Job, state JobState, revision uint64, p Progress, fresh bool) error {
	o.now, o.unix = now, unix
	if _, ok := o.jobs[spec.ID]; ok || o.gone[spec.ID] {
		return nil
	}
	j := &job{spec: spec, revision: revision, shown: state, held: !fresh, readUnconfirmed: !o.confirmed, begun: state == JobRunning}
	j.accepted = now - max(0, unix-spec.Accepted)
	o.jobs[spec.ID] = j
	for _, op := range p.Occurrences {
		if err := o.restore(j, op); err != nil {
			return err
		}
	}
	if spec.Occurrences > 0 {
		o.timed = append(o.timed, j)
	} else if j.created == 0 {
		o.begin(j, 0)
	}
	if at, ok := o.cancelled[spec.ID]; ok {
		delete(o.cancelled, spec.ID)
		state, j.revision = JobCancelled, at
	}
	if state.Final() {
		j.over, j.known = state, true
		o.stopAll(j)
		return nil
	}
	o.settle(j)
	return nil
}

// restore rebuilds an occurrence from its progress.
func (o *Owner) restore(j *job, p OccurrenceProgress) error {
	if p.Finished {
		oc := &occurrence{number: p.Number, finished: true}
		j.occurrences = append(j.occurrences, oc)
		j.created = max(j.created, p.Number+1)
		j.finished++
		return nil
	}
	oc := o.begin(j, p.Number)
	for i := range min(len(p.Steps), len(oc.steps)) {
		if err := oc.steps[i].restore(p.Steps[i]); err != nil {
			return err
		}
	}
	o.advance(oc)
	return nil
}

// begin creates an occurrence of a job.
func (o *Owner) begin(j *job, number int) *occurrence {
	oc := &occurrence{number: number, due: j.accepted}
	if j.spec.Occurrences > 0 {
		oc.due = o.now + j.spec.due(number) - o.unix
	}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{job: j, occurrence: oc, index: i, spec: spec, tasks: make([]task, spec.Tasks), waiting: spec.Tasks}
		if spec.MaxPerVM > 0 {
			s.perVM = make(map[types.VMID]int)
		}
		for t := range s.tasks {
			s.tasks[t] = task{step: s, index: t, pace: fullPace, wantedPace: fullPace}
		}
		oc.steps = append(oc.steps, s)
	}
	j.occurrences = append(j.occurrences, oc)
	j.created = max(j.created, number+1)
	o.advance(oc)
	return oc
}

// due returns when an occurrence is due, in Unix time.
func (j *Job) due(number int) time.Duration {
	return j.FirstDue + time.Duration(number)*j.Interval
}

// advance makes steps ready whose predecessors are done.
func (o *Owner) advance(oc *occurrence) {
	for _, s := range oc.steps {
		if s.ready || !oc.may(s) {
			continue
		}
		s.ready = true
		s.idleSince = o.now
		o.ready = append(o.ready, s)
		o.placeDue = true
	}
}

// may reports whether all steps before s are done.
func (oc *occurrence) may(s *step) bool {
	for _, a := range s.spec.After {
		if before := oc.steps[a]; before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// Cancel ends a job at the wish of its caller; the row of its state has it.
func (o *Owner) Cancel(now time.Duration, id types.JobID, revision uint64) {
	o.now = now
	j := o.jobs[id]
	if j == nil {
		o.cancelled[id] = revision // the job itself has not been read yet
		return
	}
	if j.revision > revision || j.over == JobCancelled {
		return
	}
	j.revision = revision
	j.known = true
	j.over = JobCancelled
	o.stopAll(j)
}

// stopAll stops what runs of a job that is over.
func (o *Owner) stopAll(j *job) {
	for _, oc := range j.occurrences {
		for _, s := range oc.steps {
			s.ready = false
			for i := range s.tasks {
				if t := &s.tasks[i]; t.phase == phaseRunning || t.phase == phaseStarting {
					o.stop(t)
				}
			}
		}
	}
	o.ready = slices.DeleteFunc(o.ready, func(s *step) bool { return s.job == j })
	o.touch(j)
}

// stop makes a live task end. A start without answer keeps its order in
// flight, and is followed by a stop.
func (o *Owner) stop(t *task) {
	if t.phase == phaseStopping || !t.phase.live() {
		return
	}
	t.phase = phaseStopping
	t.stopAcked = false
	t.orderAt = o.now - o.cfg.StopRetry
}

// touch makes a job part of the next batch.
func (o *Owner) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		o.dirty = append(o.dirty, j)
	}
}

// settle looks whether a job is complete.
func (o *Owner) settle(j *job) {
	if j.over != "" {
		return
	}
	for _, oc := range j.occurrences {
		if oc.finished {
			continue
		}
		done := true
		for _, s := range oc.steps {
			done = done && s.done == len(s.tasks)
		}
		if done {
			oc.finished = true
			oc.steps = nil
			j.finished++
		}
	}
	if j.finished >= j.repeats() {
		j.over = JobCompleted
		o.note(Decision{Kind: DecisionFinished, Job: j.spec.ID, Reason: string(JobCompleted), Age: o.now - j.accepted})
		o.touch(j)
	}
}

func (o *Owner) note(d Decision) {
	o.decisions = append(o.decisions, d)
}

// Output is what an owner wants done.
type Output struct {
	Orders    []Order
	Questions []Question
	Decisions []Decision
}

// Next returns the orders and decisions since the last call, after it has done
// what is due at now. Unix is the present Unix time.
func (o *Owner) Next(now, unix time.Duration) Output {
	o.now, o.unix = now, unix
	o.beginDue()
	o.lapse()
	o.attribute()
	o.paces()
	o.stops()
	if o.placeDue && now >= o.placedAt+time.Duration(len(o.vmOrder))*placeGapPerVM || now >= o.placeAt {
		o.placeDue = false
		o.placedAt, o.placeAt = now, now+placeInterval
		o.place()
	}
	out := Output{Orders: o.orders, Questions: o.questions, Decisions: o.decisions}
	o.orders, o.questions, o.decisions = nil, nil, nil
	return out
}

// beginDue creates the occurrences whose time has come. The load that it answers is
// a job whose occurrences are due faster than they are done: those begun are bounded,
// so that they do not take the owner's memory.
func (o *Owner) beginDue() {
	o.timed = slices.DeleteFunc(o.timed, func(j *job) bool {
		most := maxOpenTasks / max(1, j.spec.tasks())
		for j.over == "" && j.created < j.spec.Occurrences && o.unix >= j.spec.due(j.created) && j.created-j.finished < most {
			o.begin(j, j.created)
		}
		return j.over != "" || j.created >= j.spec.Occurrences
	})
}
