package jobs

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Times of ownership. A takeover in calm takes TTL, jitter and a poll.
const (
	leaseTTL     = 2300 * time.Millisecond
	leaseRenewal = 600 * time.Millisecond
	// leaseMargin covers the time between the owner's last check and the moment
	// at which an order reaches an agent.
	leaseMargin = 300 * time.Millisecond
	leaseJitter = 200 * time.Millisecond
	// leaseFresh is above the time between two reads of the lease, and leaseGrace
	// above a call of the owner that times out and a renewal after it.
	leaseFresh = 1200 * time.Millisecond
	leaseGrace = 1200 * time.Millisecond
	// leasePoll lies between reads of the lease by candidates.
	leasePoll = 400 * time.Millisecond
	// tableTimeout bounds a read or write of the lease, well below the TTL.
	tableTimeout = 800 * time.Millisecond
	// batchTimeout bounds one attempt to write a batch: above the second for which
	// a part of the store keeps calls waiting, since what is repeated before it is
	// carried out makes the part slower.
	batchTimeout = 1600 * time.Millisecond
	// brokenPause follows a term whose core has panicked: above the time after which
	// another candidate takes over, since what broke the core may be in this process.
	brokenPause = 6 * time.Second
)

var (
	eventOwnerTook = telemetry.Define(540, logrus.InfoLevel, "jobs taken over",
		"This entry owns all jobs from now on. Fields: epoch, before. Frequent changes mean that owners die or the table is slow.")
	eventOwnerLost = telemetry.Define(541, logrus.WarnLevel, "ownership of jobs lost",
		"Another entry owns the jobs. Expected after this process was paused or cut off from the table for longer than the lease.")
	eventOwnerRecovered = telemetry.Define(542, logrus.InfoLevel, "jobs recovered",
		"The owner has read its rows. Fields: jobs, agents, revision, ms. No action.")
	eventOwnerReleased = telemetry.Define(543, logrus.InfoLevel, "ownership of jobs released",
		"This process stops; another entry takes over. No action.")
	eventLeaseLate = telemetry.Define(544, logrus.WarnLevel, "lease of jobs cannot be renewed",
		"The table does not answer. Running tasks go on until their leases end, and tasks of known jobs start while leases last. Fields: epoch, age.")
	eventAdviceFailed = telemetry.Define(546, logrus.WarnLevel, "policy service gives no advice",
		"The step's tasks wait until it answers. Fields: step, workers. Look at the service and the way to it.")
	eventOwnerBroken = telemetry.Define(548, logrus.ErrorLevel, "owner of jobs is broken",
		"The owner met an unexpected error and gives the ownership up; this entry goes on serving callers. Running tasks go on under their leases, and the next owner reads its rows anew. Report the stack. If each owner breaks, cancel the job that was submitted last before the first such event. Fields: epoch, stack.")
	eventLeaseBack = telemetry.Define(545, logrus.InfoLevel, "lease of jobs is renewed again", "No action.")
)

// Timing is what the platform states of leases and states.
type Timing struct {
	// Hold is how far ahead of a worker's clock leases reach. Owners before and
	// after this one must use the same.
	Hold time.Duration
	// StateKept is how long the state of a finished job stays readable.
	StateKept time.Duration
}

// Advisor is the service that knows which workers a queue's policy allows.
type Advisor interface {
	Advise(ctx context.Context, q workflow.TicketRequest) (workflow.TicketResponse, error)
}

// OwnerOptions configure a candidate for ownership.
type OwnerOptions struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// Processors is the share of a core that the entry has.
	Processors float64
	Table      platform.Table
	Changes    platform.ChangeLog
	Agents     *http.Client
	Timing     Timing
	// Advisor answers which workers may run a step; nil if there is none.
	Advisor   Advisor
	Telemetry *telemetry.Telemetry
	System    *actors.System
	// Queues returns the queues of the newest configuration known, and false
	// while none is.
	Queues func() (map[string]workflow.Queue, bool)
}

// Candidate takes the ownership of all jobs when it is free, and is the owner
// from then on until it loses it.
type Candidate struct {
	opts     OwnerOptions
	log      *telemetry.Logger
	observer *lease.Observer
	rng      *rand.Rand
	// cancelled passes cancellations to the present term.
	cancelled chan cancellation
	queues    chan struct{}
	// due is set once a takeover of the lease at dueRevision is due, from dueAt on.
	due         bool
	dueRevision uint64
	dueAt       time.Duration
}

type cancellation struct {
	job      types.JobID
	revision uint64
}

// cancellationsWaiting bounds the cancellations between two steps of the owner;
// the intake waits for room.
const cancellationsWaiting = 1024

func leaseConfig() lease.Config {
	return lease.Config{TTL: leaseTTL, Renewal: leaseRenewal, Margin: leaseMargin, Jitter: leaseJitter, ReclaimOwnLease: true, MaxReadAge: leaseFresh, RenewalGrace: leaseGrace}
}

// NewCandidate returns a candidate. Run must be called for it to act.
func NewCandidate(o OwnerOptions) *Candidate {
	return &Candidate{
		opts: o, log: o.Telemetry.Log,
		observer:  lease.NewObserver(leaseConfig(), ownership, o.VM, o.Incarnation),
		rng:       rand.New(rand.NewPCG(uint64(o.Incarnation), 1)), //nolint:gosec // jitter
		cancelled: make(chan cancellation, cancellationsWaiting),
		queues:    make(chan struct{}, 1),
	}
}

// Cancelled tells the owner that a job was cancelled.
func (c *Candidate) Cancelled(id types.JobID, revision uint64) {
	select {
	case c.cancelled <- cancellation{id, revision}:
	default:
		// Only an owner drains the channel. A term that begins later reads all
		// states; a present one finds the cancellation when its batch conflicts.
	}
}

// QueuesChanged tells the owner that a new configuration is in force.
func (c *Candidate) QueuesChanged() {
	select {
	case c.queues <- struct{}{}:
	default:
	}
}

// Run acts until the context ends, and gives up the ownership then.
func (c *Candidate) Run(ctx context.Context) {
	c.awaitQueues(ctx)
	for ctx.Err() == nil {
		c.observe(ctx)
		now := clock.Now()
		if takeover, ok := c.observer.TryTakeover(now, nil); ok && c.mayTake(ctx, takeover.Revision, now) {
			c.take(ctx, takeover, now)
		}
		sleep(ctx, jitter(leasePoll))
	}
}

// awaitQueues waits for the first configuration. It returns as soon as there is one:
// after the start of all processes nothing is placed before a candidate takes over.
func (c *Candidate) awaitQueues(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := c.opts.Queues(); ok {
			return
		}
		select {
		case <-c.queues: // a term reads the queues at its begin
		case <-ctx.Done():
		}
	}
}

// Handicap of candidates with few processors. An owner of 74 VMs at 400 starts a
// second needs more than the 0.11 of a core that some entries have.
const (
	// handicapFrom is the number of agents from which it counts.
	handicapFrom = 30
	// ampleProcessors is the share of a core without a handicap, and handicapTime
	// the wait of a candidate with none. A candidate with 0.11 of a core then
	// waits longer than the TTL, which others wait for even if the lease is that
	// of its own earlier process.
	ampleProcessors = 0.5
	handicapTime    = 4 * time.Second
)

// mayTake reports whether a takeover that is due may be tried now: candidates with
// few processors let others go first in large deployments.
func (c *Candidate) mayTake(ctx context.Context, revision uint64, now time.Duration) bool {
	if c.opts.Processors >= ampleProcessors {
		return true
	}
	if !c.due || c.dueRevision != revision {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		agents, err := c.opts.Changes.List(ctx, prefixAgent)
		if err != nil {
			return false // the takeover would fail too
		}
		c.due, c.dueRevision, c.dueAt = true, revision, now
		if len(agents.Rows) >= handicapFrom {
			c.dueAt += time.Duration((1 - c.opts.Processors/ampleProcessors) * float64(handicapTime))
		}
	}
	return now >= c.dueAt
}

func (c *Candidate) observe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := c.opts.Table.Get(ctx, lease.Key(ownership))
	if err != nil {
		return // the observer's clock goes on; an unchanged row is seen later
	}
	var row lease.Row
	exists := rows[0].Revision != 0
	if exists {
		if row, err = lease.Decode(rows[0].Value); err != nil {
			c.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": rows[0].Key})
			return
		}
	}
	c.observer.Observe(row, rows[0].Revision, exists, clock.Now(), c.rng)
}

// take tries a takeover, and runs the term if it succeeds.
func (c *Candidate) take(ctx context.Context, takeover lease.Takeover, sentAt time.Duration) {
	row := takeover.Row
	value, err := row.Encode()
	if err != nil {
		c.log.Log(eventRowUnreadable, err, nil)
		return
	}
	writes := []platform.Write{{Key: lease.Key(ownership), Value: value}}
	for _, p := range partitionNames() {
		writes = append(writes, platform.Write{Key: fenceKey(p), Value: encode(fenceRow{Epoch: row.Epoch})})
	}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := c.opts.Table.Commit(callCtx, platform.Txn{
		Conditions: []platform.Condition{{Key: lease.Key(ownership), Revision: takeover.Revision}},
		Writes:     writes,
		Reads:      []string{lease.Key(ownership)},
	})
	if err != nil || !res.Committed {
		// Without an answer the takeover may have succeeded. This candidate then
		// observes its own row and waits for it to run out.
		return
	}
	before, _ := c.observer.Row()
	c.log.Log(eventOwnerTook, nil, telemetry.Fields{"epoch": row.Epoch, "before": before.Owner})
	t := newTerm(c, lease.NewHolder(leaseConfig(), row, res.Revision, sentAt), res.Revision)
	t.run(ctx)
	if t.broken.Load() {
		sleep(ctx, jitter(brokenPause))
	}
}
