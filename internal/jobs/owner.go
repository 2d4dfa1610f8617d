package jobs

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Times of ownership. Without other faults a takeover takes leaseTTL, the jitter and
// one leasePollInterval.
const (
	leaseTTL             = 2300 * time.Millisecond
	leaseRenewalInterval = 600 * time.Millisecond
	// leaseMargin covers the time between the owner's last check and the moment
	// at which an order reaches an agent.
	leaseMargin = 300 * time.Millisecond
	leaseJitter = 200 * time.Millisecond
	// leaseMaxReadAge is the maximum age of a candidate's last read of the lease for
	// a takeover. It is longer than the time between two reads.
	//
	// leaseRenewalGrace is the time that the owner has to renew the lease after a
	// longer gap between a candidate's reads. It is longer than a call of the owner
	// that times out plus the renewal after it.
	leaseMaxReadAge   = 1200 * time.Millisecond
	leaseRenewalGrace = 1200 * time.Millisecond
	// leasePollInterval is the time between a candidate's reads of the lease.
	leasePollInterval = 400 * time.Millisecond
	// tableTimeout bounds a read or renewal of the lease; it is well below leaseTTL.
	tableTimeout = 800 * time.Millisecond
	// takeoverTimeout bounds a takeover, which writes to every partition: a slow
	// table takes over 1 s for it. The lease is valid from the time of the send, so
	// an answer within this time leaves some for the first renewal.
	takeoverTimeout = 1500 * time.Millisecond
	// leaseSuccessorGrace is how long others wait for a lease that was released to a
	// prepared successor: as long as its takeover may take.
	leaseSuccessorGrace = takeoverTimeout
	// batchTimeout bounds one attempt to write a batch. It is longer than the 1 s
	// for which an overloaded partition of the table keeps calls waiting: repeating
	// a write before it is carried out would slow the partition down further.
	batchTimeout = 1600 * time.Millisecond
	// panicBackoff is the pause after a term whose core has panicked. It is longer
	// than another candidate needs to take over, since the cause may be in this
	// process.
	panicBackoff = 6 * time.Second
)

var (
	eventOwnershipTaken = telemetry.Define(540, logrus.InfoLevel, "jobs taken over",
		"This entry owns all jobs from now on. Fields: epoch, before. Frequent changes mean that owners crash or the table is slow.")
	eventOwnershipLost = telemetry.Define(541, logrus.WarnLevel, "ownership of jobs lost",
		"This entry gives up the ownership; the field why names the reason. Another entry takes over or has done so. This is expected after this process was paused, or disconnected from the table, for longer than the lease.")
	eventOwnerRecovered = telemetry.Define(542, logrus.InfoLevel, "jobs recovered",
		"The owner has read the rows of jobs and agents. Fields: jobs, agents, revision, ms; prepared is true if it had read all but the latest changes before its takeover. No action.")
	eventOwnershipReleased = telemetry.Define(543, logrus.InfoLevel, "ownership of jobs released",
		"This process stops, or has few cores (570); another entry takes over. Fields: successor, the VM that has read the rows beforehand; cause. Without a successor nothing is placed until the next owner has read them; no action unless it repeats, see 560 to 564.")
	eventLeaseLate = telemetry.Define(544, logrus.WarnLevel, "lease of jobs cannot be renewed",
		"The table does not answer. Until the workers' leases expire, running tasks continue and the owner starts further tasks of known jobs. Fields: epoch; age, the time since the owner's lease ceased to be valid.")
	eventAdviceFailed = telemetry.Define(546, logrus.WarnLevel, "policy service gives no advice",
		"The step's tasks wait until it answers. Fields: step, workers. Check the service and the network path to it.")
	eventTicketsReceived = telemetry.Define(549, logrus.InfoLevel, "policy service has answered",
		"The tasks of the step may start on the workers that got a ticket. Fields: step; workers, the number of workers named in the request; tickets; ms. If a step of which tasks wait (659) is not named for long, or no ticket comes for any worker, check its queue's policy.")
	eventOwnerPanicked = telemetry.Define(548, logrus.ErrorLevel, "owner of jobs has panicked",
		"The owner had an unexpected error and gives up the ownership; this entry continues to serve callers. Running tasks continue under their leases, and the next owner reads the rows again. Report the stack. If every owner panics, cancel the job that was submitted last before the first such event. Fields: epoch, stack.")
	eventLeaseRestored = telemetry.Define(545, logrus.InfoLevel, "lease of jobs is renewed again",
		"Fields: epoch; age, which is negative, as the lease stays valid for that time. No action.")
)

// Timing holds the durations of leases and of stored states.
type Timing struct {
	// LeaseDuration is the length of a worker's lease, counted from the last
	// reading of the worker's clock.
	LeaseDuration time.Duration
	// WorkerMaxLease is the longest lease that a worker takes. A new owner waits this
	// long for a worker that it cannot reach.
	WorkerMaxLease time.Duration
	// StateRetention is how long the state of a finished job stays readable.
	StateRetention time.Duration
	// EvacuationBound is the time within which starts in an evacuated failure domain
	// must cease.
	EvacuationBound time.Duration
}

// Advisor asks the policy service which workers a queue's policy allows.
type Advisor interface {
	Advise(ctx context.Context, q workflow.TicketRequest) (workflow.TicketResponse, error)
}

// CandidateOptions configure a candidate for ownership.
type CandidateOptions struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// Cores is the CPU share of the entry, in cores.
	Cores float64
	Table platform.Table
	// Takeovers is the table for takeovers. They write to every partition, so a
	// timeout that is learned from smaller writes is too short for them.
	Takeovers platform.Table
	// Limits are the sizes that the table accepts.
	Limits  platform.Limits
	Changes platform.ChangeLog
	Agents  *http.Client
	Timing  Timing
	// StopTimeout is the time from the end of the context of Run within which Run
	// returns. An owner uses it for a planned handover; without it, it releases the
	// lease at once.
	StopTimeout time.Duration
	// OverloadControl and Headroom are passed on to the core.
	OverloadControl, Headroom bool
	// QuietHandover makes an owner with few cores hand over to a larger entry in a quiet
	// period. It needs Peers.
	QuietHandover bool
	// Copies is passed on to the core.
	Copies bool
	// Advisor answers which workers may run a step; nil if there is none.
	Advisor   Advisor
	Telemetry *telemetry.Telemetry
	System    *actors.System
	// Queues returns the queues of the newest known configuration, and false if
	// there is none yet.
	Queues func() (map[string]workflow.Queue, bool)
	// Evacuated returns the evacuated failure domains as last read; nil means that
	// there are none. It may be called concurrently.
	Evacuated func() []types.FailureDomain
	// ReadOperatorRows reads the rows on which Queues and Evacuated are based; nil if
	// they do not change.
	ReadOperatorRows func(context.Context) error
	// Peers returns the other entries as last read, and PeerClient calls them. Without
	// them there is no emergency handover.
	Peers      func() []handover.Peer
	PeerClient PeerClient
}

// Candidate takes over the ownership of all jobs when the lease is free, and acts as
// the owner until it loses the lease.
type Candidate struct {
	opts          CandidateOptions
	log           *telemetry.Logger
	observer      *lease.Observer
	rng           *rand.Rand
	cancellations pendingCancellations
	queuesChanged chan struct{}
	// stoppedAt is when the context of Run ended, as a clock reading in nanoseconds;
	// 0 before.
	stoppedAt atomic.Int64
	// evacuationChanged is signalled when the evacuated failure domains have changed.
	evacuationChanged chan struct{}
	// prepared are the rows that this candidate has read as the successor of the
	// owner; nil if it is not the successor.
	prepared *preparedRows
	// takeoverDue is set once the lease at takeoverDueRevision has expired. This
	// candidate may then take over from takeoverDueAt on.
	takeoverDue         bool
	takeoverDueRevision uint64
	takeoverDueAt       time.Duration
	quiet               handover.QuietConfig
	// contact records whether the table answers.
	contact *tableContact
	// available is set while this candidate can take over; yields holds the last yield
	// that Run has not received.
	available atomic.Bool
	// owning is set during a term.
	owning atomic.Bool
	yields chan handover.Yield
}

func leaseConfig() lease.Config {
	return lease.Config{TTL: leaseTTL, Renewal: leaseRenewalInterval, Margin: leaseMargin, Jitter: leaseJitter, ReclaimOwnLease: true, MaxReadAge: leaseMaxReadAge, RenewalGrace: leaseRenewalGrace, SuccessorGrace: leaseSuccessorGrace}
}

// NewCandidate returns a candidate. It does nothing until Run is called.
func NewCandidate(o CandidateOptions) *Candidate {
	contact := &tableContact{answeredAt: clock.Now()}
	o.Table, o.Changes = contactTable{o.Table, contact}, contactChanges{o.Changes, contact}
	return &Candidate{
		quiet: handover.DefaultQuietConfig(), contact: contact, yields: make(chan handover.Yield, 1),
		opts: o, log: o.Telemetry.Log,
		observer:      lease.NewObserver(leaseConfig(), jobsShard, o.VM, o.Incarnation),
		rng:           rand.New(rand.NewPCG(uint64(o.Incarnation), 1)), //nolint:gosec // jitter
		cancellations: newPendingCancellations(),
		queuesChanged: make(chan struct{}, 1), evacuationChanged: make(chan struct{}, 1),
	}
}

// NotifyCancelled notifies the owner that a job was cancelled, with the revision of
// its state row. It does not block.
func (c *Candidate) NotifyCancelled(id types.JobID, revision uint64) {
	c.cancellations.add(cancellation{id, revision})
}

// Owns reports whether this candidate acts as the owner, confirmed or not.
func (c *Candidate) Owns() bool { return c.owning.Load() }

// NotifyQueuesChanged notifies the owner that a new configuration is in effect.
func (c *Candidate) NotifyQueuesChanged() {
	select {
	case c.queuesChanged <- struct{}{}:
	default:
	}
}

// Run takes part in the takeover of ownership until the context ends. An owner then
// hands over the ownership.
func (c *Candidate) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { c.stoppedAt.Store(int64(clock.Now())) })()
	c.awaitQueues(ctx)
	c.available.Store(true)
	defer c.available.Store(false)
	for ctx.Err() == nil {
		c.observeLease(ctx)
		c.tryTakeover(ctx)
		c.succeed(ctx)
		c.awaitPoll(ctx)
	}
}

// tryTakeover tries a takeover if one is due, and runs the term if it succeeds. A
// candidate that the owner has yielded to does not wait for candidates with more cores:
// none of them has answered the owner.
func (c *Candidate) tryTakeover(ctx context.Context) {
	now := clock.Now()
	if takeover, ok := c.observer.TryTakeover(now, nil); ok && (c.observer.OwnerYielded() || c.mayTakeOver(ctx, takeover.Revision, now)) {
		c.takeOver(ctx, takeover)
	}
}

// untilNextPoll returns the time until the next read of the lease. It ends early if the
// lease may be taken over before, so that the takeover does not wait for the poll.
func (c *Candidate) untilNextPoll(now time.Duration) time.Duration {
	d := jitter(leasePollInterval)
	if at, ok := c.observer.TakeoverAt(nil); ok && at > now {
		d = min(d, at-now)
	}
	return d
}

// awaitQueues waits for the first configuration. It returns as soon as there is one,
// because after a start of all processes no task is placed before a takeover.
func (c *Candidate) awaitQueues(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := c.opts.Queues(); ok {
			return
		}
		select {
		case <-c.queuesChanged: // not lost: a new term reads the queues
		case <-ctx.Done():
		}
	}
}

// Takeover delay of candidates with little CPU. An owner of 74 VMs at 400 starts/s
// needs more than the 0.11 cores that some entries have.
const (
	// takeoverDelayMinAgents is the number of agents from which on the delay applies.
	takeoverDelayMinAgents = 30
	// A candidate with coresWithoutTakeoverDelay cores or more does not wait, and
	// one with 0 cores waits for maxTakeoverDelay. A candidate with 0.11 cores
	// waits 3.1 s. This is longer than leaseTTL, so others can take over first even
	// when the lease belongs to this candidate's earlier process, which it could
	// otherwise reclaim at once.
	coresWithoutTakeoverDelay = 0.5
	maxTakeoverDelay          = 4 * time.Second
)

// mayTakeOver reports whether this candidate may now try a takeover that is due. In
// large deployments, candidates with little CPU let others go first.
func (c *Candidate) mayTakeOver(ctx context.Context, revision uint64, now time.Duration) bool {
	if c.opts.Cores >= coresWithoutTakeoverDelay {
		return true
	}
	if !c.takeoverDue || c.takeoverDueRevision != revision {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		agents, err := c.opts.Changes.List(ctx, prefixAgent)
		if err != nil {
			return false // the takeover would fail too
		}
		c.takeoverDue, c.takeoverDueRevision, c.takeoverDueAt = true, revision, now
		if len(agents.Rows) >= takeoverDelayMinAgents {
			c.takeoverDueAt += time.Duration((1 - c.opts.Cores/coresWithoutTakeoverDelay) * float64(maxTakeoverDelay))
		}
	}
	return now >= c.takeoverDueAt
}

func (c *Candidate) observeLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := c.opts.Table.Get(ctx, lease.Key(jobsShard))
	if err != nil {
		return // the observer's timer continues; a later read sees an unchanged row
	}
	c.recordLease(rows[0])
}

// recordLease passes the lease's row as read to the observer.
func (c *Candidate) recordLease(r platform.Row) {
	var row lease.Row
	exists := r.Revision != 0
	if exists {
		var err error
		if row, err = lease.Decode(r.Value); err != nil {
			c.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
			return
		}
	}
	c.observer.Observe(row, r.Revision, exists, clock.Now(), c.rng)
}

// readLeasePeriodically reads the lease at the usual interval until the returned function
// is called. The circuit breakers learn of an outage from these reads: a takeover, during
// which the candidate does not poll, may take takeoverTimeout, and a call to another table
// says nothing to them.
func (c *Candidate) readLeasePeriodically(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for sleep(ctx, jitter(leasePollInterval)); ctx.Err() == nil; sleep(ctx, jitter(leasePollInterval)) {
			readCtx, cancelRead := context.WithTimeout(ctx, tableTimeout)
			_, _ = c.opts.Table.Get(readCtx, lease.Key(jobsShard))
			cancelRead()
		}
	}()
	return cancel
}

// takeOver tries a takeover and runs the term if it succeeds. It returns when the
// term has ended, and reports whether there was one.
func (c *Candidate) takeOver(ctx context.Context, takeover lease.Takeover) bool {
	if ctx.Err() != nil {
		return false // the process was asked to stop since the takeover became due
	}
	row := takeover.Row
	value, err := row.Encode()
	if err != nil {
		c.log.Log(eventRowUnreadable, err, nil)
		return false
	}
	writes := []platform.Write{{Key: lease.Key(jobsShard), Value: value}}
	for _, p := range partitionNames() {
		writes = append(writes, platform.Write{Key: fenceKey(p), Value: encode(fenceRow{Epoch: row.Epoch})})
	}
	// A stop of the process does not cancel the call: a takeover without a known
	// outcome would leave others to wait for leaseTTL.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeoverTimeout)
	defer cancel()
	stopReading := c.readLeasePeriodically(callCtx)
	sentAt := clock.Now()
	res, err := c.opts.Takeovers.Commit(callCtx, platform.Txn{
		Conditions: []platform.Condition{{Key: lease.Key(jobsShard), Revision: takeover.Revision}},
		Writes:     writes,
		Reads:      []string{lease.Key(jobsShard)},
	})
	stopReading()
	if err != nil || !res.Committed {
		// Without an answer the takeover may have succeeded. This candidate then
		// observes its own lease and takes it over again.
		return false
	}
	c.available.Store(false)
	c.owning.Store(true)
	defer c.available.Store(true)
	defer c.owning.Store(false)
	before, _ := c.observer.Row()
	c.log.Log(eventOwnershipTaken, nil, telemetry.Fields{"epoch": row.Epoch, "before": before.Owner})
	t := newTerm(c, lease.NewHolder(leaseConfig(), row, res.Revision, sentAt), res.Revision)
	t.prepared, c.prepared = c.prepared, nil
	t.run(ctx)
	if t.panicked.Load() {
		sleep(ctx, jitter(panicBackoff))
	}
	return true
}
