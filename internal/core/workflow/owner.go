package workflow

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/health"
	"github.com/boragecrank/boragecrank/internal/core/runtimes"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Config holds the times and limits of an owner. All fields but OverloadControl and Copies
// are required.
type Config struct {
	Epoch types.Epoch
	// LeaseDuration is the length of a lease, counted from the last reading of
	// the worker's clock. A longer lease bridges longer absences of the owner; a
	// shorter one frees the tasks of an unreachable worker sooner.
	LeaseDuration time.Duration
	// WorkerMaxLease is the longest lease that a worker takes, whatever deadline an
	// order names.
	WorkerMaxLease time.Duration
	// ClockDrift is by how much a worker's clock may run slow, as a share: 0.02
	// for 2%.
	ClockDrift float64
	// OrderRetry is the interval between retries of a stop, until the end of
	// the run is proven, and of a pace order, until the worker has confirmed
	// the pace.
	OrderRetry time.Duration
	// StateRetention is how long the state of a finished job stays readable.
	StateRetention time.Duration
	// MaxChanges limits the jobs changed by one batch and, separately, the
	// expired jobs in it.
	MaxChanges int
	// OverloadControl turns on the plan of filling work, paces by the cost of delay,
	// preemption for queues of priority 0, headroom for short work, and the forecast for
	// admission.
	OverloadControl bool
	// Headroom turns on headroom for short work without the rest of OverloadControl.
	Headroom bool
	// Copies turns on second runs of stragglers in steps with Step.Copies.
	Copies bool
}

// maxPlaceInterval is the longest time between placement passes while tasks
// wait.
const maxPlaceInterval = 100 * time.Millisecond

// minPlaceIntervalPerVM times the number of VMs is the shortest time between
// placement passes: with 74 VMs and 400 ends a second, a pass for each end
// would use all of one core.
const minPlaceIntervalPerVM = 250 * time.Microsecond

// leaseMargin is added to the time after which a lease has expired. It covers
// the time between the worker's reading of its clock and the end of its tasks.
const leaseMargin = 100 * time.Millisecond

// Owner holds all unfinished jobs and decides on their tasks. It is not safe
// for concurrent use. All times are on one monotonic clock that includes
// suspension, except fields in Unix time.
type Owner struct {
	cfg     Config
	now     time.Duration
	unix    time.Duration
	queues  map[string]Queue
	vms     map[types.VMID]*vm
	vmOrder []*vm
	jobs    map[types.JobID]*job
	// ready holds the steps whose predecessors are done.
	ready []*step
	// timed holds the jobs with occurrences still to begin.
	timed []*job
	// finished holds the IDs of finished jobs: an outdated list of rows may
	// still contain them.
	finished map[types.JobID]bool
	// cancelled holds the revisions of cancellations that were read before
	// their job.
	cancelled map[types.JobID]uint64
	dirty     []*job
	// retained holds the finished jobs whose state stays readable, expired
	// those whose state can be deleted.
	retained       []retainedState
	expired        []types.JobID
	health         *health.Tracker
	interference   *interference
	runTimes       runTimes
	ratios         *runtimes.Kinds
	copies         copiesState
	overload       overloadState
	preemption     preemptionState
	headroom       headroomState
	checkWorkersAt time.Duration
	checkIdleAt    time.Duration
	idleSteps      map[IdleCause]int
	backgroundRuns int

	// unplaceable holds, for each placement group, the demand that found no VM
	// in the current placement pass.
	unplaceable map[placementGroup]types.Resources
	// contended counts the VMs whose paces are likely to change soon.
	contended int
	// placeDue requests a placement pass as soon as minPlaceIntervalPerVM
	// allows one.
	placeDue bool
	// nextPlacementAt is the time of the next pass without a request, and
	// lastPlacementAt is the time of the last pass.
	nextPlacementAt time.Duration
	lastPlacementAt time.Duration
	superseded      bool
	inFlight        *Batch
	batches         uint64
	orders          []Order
	ticketRequests  []TicketRequest
	policyCalls     policyCalls
	decisions       []Decision
	// takeoverComplete is set once every run that an earlier owner may have
	// started is listed or has provably ended.
	takeoverComplete bool
	evacuations      evacuations
	// confirmed is false while the ownership cannot be confirmed, so another
	// owner may be active at the same time.
	confirmed bool
}

type retainedState struct {
	job   types.JobID
	until time.Duration
}

// New returns an owner whose term begins at now.
func New(cfg Config, now time.Duration) *Owner {
	return &Owner{
		cfg: cfg, now: now,
		queues: make(map[string]Queue), vms: make(map[types.VMID]*vm), jobs: make(map[types.JobID]*job), cancelled: make(map[types.JobID]uint64), finished: make(map[types.JobID]bool),
		health: health.New(healthOptions()), interference: newInterference(), runTimes: make(runTimes), ratios: runtimes.New(), placeDue: true, confirmed: true,
	}
}

// Superseded reports whether a worker has seen a higher epoch. A superseded
// owner must not give any more orders.
func (o *Owner) Superseded() bool { return o.superseded }

// SetQueues replaces the configuration of queues.
func (o *Owner) SetQueues(queues map[string]Queue) {
	o.queues = queues
	o.placeDue = true
}

// queueOf returns the policy in effect for a job.
func (o *Owner) queueOf(j *job) Queue {
	if q, ok := o.queues[j.spec.Queue]; ok {
		return q
	}
	return j.spec.Policy
}

// AddVM adds a VM. An earlier owner may have started tasks there.
func (o *Owner) AddVM(now time.Duration, id types.VMID) {
	if _, ok := o.vms[id]; ok {
		return
	}
	v := &vm{id: id, unreachedSince: now, lastContact: now, earlierOrders: true, untrackedRuns: make(map[runID]untrackedRun)}
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

// AddJob adds an accepted job. unix is the current Unix time. A job is fresh if
// no earlier owner can have seen it. state, its revision and the progress p are
// the stored ones. AddJob does nothing if the job is known or finished. It
// returns an error if the done tasks in p are malformed; the job then stays
// added, partly restored.
func (o *Owner) AddJob(now, unix time.Duration, spec Job, state JobState, revision uint64, p Progress, fresh bool) error {
	o.now, o.unix = now, unix
	if _, ok := o.jobs[spec.ID]; ok || o.finished[spec.ID] {
		return nil
	}
	j := &job{spec: spec, revision: revision, storedState: state, inherited: !fresh, readUnconfirmed: !o.confirmed, begun: state == JobRunning}
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
		o.beginOccurrence(j, 0)
	}
	if at, ok := o.cancelled[spec.ID]; ok {
		delete(o.cancelled, spec.ID)
		state, j.revision = JobCancelled, at
	}
	if state.Final() {
		j.outcome, j.outcomeStored = state, true
		o.stopAll(j)
		return nil
	}
	o.checkComplete(j)
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
	oc := o.beginOccurrence(j, p.Number)
	for i := range min(len(p.Steps), len(oc.steps)) {
		if err := oc.steps[i].restore(p.Steps[i]); err != nil {
			return err
		}
	}
	o.activateSteps(oc)
	return nil
}

// beginOccurrence creates an occurrence of a job.
func (o *Owner) beginOccurrence(j *job, number int) *occurrence {
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
	o.recordForecastArrival(oc, j)
	o.activateSteps(oc)
	return oc
}

// due returns when an occurrence is due, in Unix time.
func (j *Job) due(number int) time.Duration {
	return j.FirstDue + time.Duration(number)*j.Interval
}

// activateSteps marks the steps as ready whose predecessors are done.
func (o *Owner) activateSteps(oc *occurrence) {
	for _, s := range oc.steps {
		if s.ready || !oc.predecessorsDone(s) {
			continue
		}
		s.ready = true
		s.idleSince = o.now
		for i := range s.tasks {
			s.tasks[i].waitingSince = o.now
		}
		o.ready = append(o.ready, s)
		o.placeDue = true
	}
}

// predecessorsDone reports whether all steps that s depends on are done.
func (oc *occurrence) predecessorsDone(s *step) bool {
	for _, a := range s.spec.After {
		if before := oc.steps[a]; before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// Cancel applies a cancellation that is already stored in the row of the job's
// state, at the given revision.
func (o *Owner) Cancel(now time.Duration, id types.JobID, revision uint64) {
	o.now = now
	j := o.jobs[id]
	if j == nil {
		if !o.finished[id] {
			o.cancelled[id] = revision // the job itself has not been read yet
		}
		return
	}
	if j.revision > revision || j.outcome == JobCancelled {
		return
	}
	j.revision = revision
	j.outcomeStored = true
	j.outcome = JobCancelled
	o.stopAll(j)
}

// stopAll stops all tasks of a job that has reached a final state.
func (o *Owner) stopAll(j *job) {
	for _, oc := range j.occurrences {
		for _, s := range oc.steps {
			s.ready = false
			for i := range s.tasks {
				if t := &s.tasks[i]; t.phase == phaseRunning || t.phase == phaseStarting {
					o.stop(t)
				}
				o.stopCopy(&s.tasks[i])
			}
		}
	}
	o.ready = slices.DeleteFunc(o.ready, func(s *step) bool { return s.job == j })
	o.markDirty(j)
}

// stop begins the stop of a live task. If a start is still unanswered, the stop
// is sent after the answer.
func (o *Owner) stop(t *task) {
	if t.phase == phaseStopping || !t.phase.live() {
		return
	}
	t.phase = phaseStopping
	t.stopAcked = false
	t.orderedAt = o.now - o.cfg.OrderRetry
}

// markDirty adds a job to the next batch.
func (o *Owner) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		o.dirty = append(o.dirty, j)
	}
}

// checkComplete completes the job if all its occurrences are finished.
func (o *Owner) checkComplete(j *job) {
	if j.outcome != "" {
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
			o.forecast(oc, j)
			inTime := o.now <= oc.due+oc.objective
			o.settle(oc, j, inTime)
			j.objective, j.anyLate = oc.objective, j.anyLate || !inTime
			oc.finished = true
			oc.steps = nil
			j.finished++
		}
	}
	if j.finished >= j.occurrenceCount() {
		j.outcome = JobCompleted
		o.recordDecision(Decision{Kind: DecisionFinished, Job: j.spec.ID, Reason: string(JobCompleted), Age: o.now - j.accepted, Outcome: j.ended()})
		o.markDirty(j)
	}
}

func (o *Owner) recordDecision(d Decision) {
	o.decisions = append(o.decisions, d)
}

// Output holds the actions that an owner requests.
type Output struct {
	Orders         []Order
	TicketRequests []TicketRequest
	Decisions      []Decision
}

// Poll performs the work that is due at now and returns the orders, ticket
// requests and decisions since the last call. unix is the current Unix time.
func (o *Owner) Poll(now, unix time.Duration) Output {
	o.now, o.unix = now, unix
	o.beginDue()
	o.expireLeases()
	o.checkWorkers()
	o.sendPaces()
	o.sendStops()
	if o.placeDue && now >= o.lastPlacementAt+time.Duration(len(o.vmOrder))*minPlaceIntervalPerVM || now >= o.nextPlacementAt {
		o.placeDue = false
		o.lastPlacementAt, o.nextPlacementAt = now, now+maxPlaceInterval
		o.place()
		o.confirmEvacuations()
	}
	o.startCopies()
	o.checkIdle()
	out := Output{Orders: o.orders, TicketRequests: o.ticketRequests, Decisions: o.decisions}
	o.orders, o.ticketRequests, o.decisions = nil, nil, nil
	return out
}

// beginDue creates the occurrences that are due. The open ones are limited, so
// that a job whose occurrences are due faster than they are done does not
// exhaust the owner's memory.
func (o *Owner) beginDue() {
	o.timed = slices.DeleteFunc(o.timed, func(j *job) bool {
		maxOpen := maxOpenTasks / max(1, j.spec.tasks())
		for j.outcome == "" && j.created < j.spec.Occurrences && o.unix >= j.spec.due(j.created) && j.created-j.finished < maxOpen {
			o.beginOccurrence(j, j.created)
		}
		return j.outcome != "" || j.created >= j.spec.Occurrences
	})
}
