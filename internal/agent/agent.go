package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Times of an agent.
const (
	// The worker waits for an end before it answers, for as long as the owner
	// wants to wait for news; these bound it.
	leastHoldWait = 50 * time.Millisecond
	mostHoldWait  = time.Second
	// holdGrace is added to the wait for a worker that is slow to answer.
	holdGrace = 700 * time.Millisecond
	// pendingPause lies between calls while an end waits to be acknowledged: the
	// worker then answers without waiting.
	pendingPause = 60 * time.Millisecond
	// retryPause lies between calls while the worker does not answer.
	retryPause = 100 * time.Millisecond
	// neglectAfter is how long after the last call of an owner, or the last
	// registration, the agent registers again: above a takeover, and below the
	// time for which a task may have nothing running.
	neglectAfter = 3500 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 700 * time.Millisecond
	// maxParallelOrders bounds the connections to the worker.
	maxParallelOrders = 8
	// refusalsOfGone is how many calls in a row must find no listener before
	// the worker counts as gone.
	refusalsOfGone = 2
)

var (
	eventWorkerReached = telemetry.Define(640, logrus.InfoLevel, "worker reached",
		"The agent has the lists of the worker on its VM. Fields: boot, born, epoch. No action.")
	eventWorkerGone = telemetry.Define(641, logrus.WarnLevel, "worker does not listen",
		"The worker process on the VM has ended, or has not started yet. Its tasks are placed elsewhere. If it should run, look at its own log.")
	eventWorkerSilent = telemetry.Define(642, logrus.WarnLevel, "worker does not answer",
		"A call to the worker timed out. Its leases run out unless it answers again in time.")
	eventAnnounced = telemetry.Define(643, logrus.InfoLevel, "worker announced",
		"A boot of the worker announced itself or changed its state. Fields: boot, draining, remaining. No action.")
	eventAnnouncementIgnored = telemetry.Define(644, logrus.WarnLevel, "announcement ignored",
		"An announcement was older than the last one, or is none of the worker on this VM. A steady stream means that another process writes to this agent.")
	eventOrder = telemetry.Define(645, logrus.InfoLevel, "order answered",
		"An order of the owner was carried out or refused. Fields: kind, task, run, epoch, result, ms. Look for the task in the owner's log.")
	eventEpoch = telemetry.Define(646, logrus.InfoLevel, "owner accepted",
		"An owner with a higher epoch has reached the agent. Older owners are refused from now on.")
	eventOwnerSilent = telemetry.Define(647, logrus.WarnLevel, "owner does not call",
		"No owner has called for 3.5 s; the agent registers again. Running tasks end with their lease. Look for the owner's log.")
)

// Options configure an Agent.
type Options struct {
	VM          types.VMID
	Incarnation types.Incarnation
	Runtime     Runtime
	Telemetry   *telemetry.Telemetry
}

// Agent serves the owner of jobs for one worker.
type Agent struct {
	opts Options
	log  *telemetry.Logger
	// orders bounds the orders in progress.
	orders chan struct{}

	mu    sync.Mutex
	grant workflow.Grant
	// raised interrupts the present call to the worker when the epoch rises.
	raised   context.CancelFunc
	holdWait time.Duration
	// called is when an owner called last, or the agent was neglected last.
	called  time.Time
	up      *Announcement
	report  workflow.Report
	version uint64
	seq     uint64
	changed chan struct{}
	// stopped is closed when Run ends.
	stopped  chan struct{}
	refusals int
	silent   bool
	left     string
	seen     uint64
	// met is the start of the last boot that answered.
	met int64
}

// New returns an agent. Run must be called for it to reach the worker.
func New(o Options) *Agent {
	return &Agent{
		opts: o, log: o.Telemetry.Log, orders: make(chan struct{}, maxParallelOrders),
		report: workflow.Report{VM: o.VM, Agent: o.Incarnation}, version: 1, changed: make(chan struct{}), stopped: make(chan struct{}),
		holdWait: mostHoldWait, called: time.Now(),
	}
}

// Incarnation implements agentapi.Agent.
func (a *Agent) Incarnation() types.Incarnation { return a.opts.Incarnation }

// Announce takes an announcement and reports whether the worker is the one to
// believe: announcements may arrive after those of a later boot.
func (a *Agent) Announce(n Announcement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.up
	if old != nil && (n.Boot.Born < old.Boot.Born || n.Boot.Born == old.Boot.Born && n.Sequence <= old.Sequence) {
		a.log.Log(eventAnnouncementIgnored, nil, telemetry.Fields{"boot": n.Boot.ID, "born": n.Boot.Born, "sequence": n.Sequence})
		return false
	}
	a.up = &n
	fresh := old == nil || old.Boot != n.Boot
	if fresh || old.Draining != n.Draining {
		a.log.Log(eventAnnounced, nil, telemetry.Fields{
			"boot": n.Boot.ID, "born": n.Boot.Born, "draining": n.Draining, "remaining": n.Remaining.String(), "service": n.Service, "rack": n.Rack,
		})
		if fresh {
			a.left = ""
		}
		a.describe()
		a.bump()
	}
	return true
}

// describe puts the announcement into the report if it is of the boot that
// answers calls.
func (a *Agent) describe() {
	if a.up == nil || a.up.Boot.Born != a.report.Boot.Born {
		a.report.Upstream = nil
		return
	}
	u := a.up.Upstream
	a.report.Upstream = &u
	a.report.Boot.ID = u.Boot.ID
}

// Leave records that a boot of the worker is about to end.
func (a *Agent) Leave(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.up != nil && a.up.Boot.ID == id {
		a.up.Draining = true
		a.left = id
		a.describe()
		a.bump()
	}
}

// bump makes waiting Watch calls return. The caller holds the lock.
func (a *Agent) bump() {
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// Watch implements agentapi.Agent.
func (a *Agent) Watch(ctx context.Context, g workflow.Grant, known uint64, agent types.Incarnation, wait time.Duration) (workflow.Report, uint64) {
	a.mu.Lock()
	a.accept(g)
	a.called = time.Now()
	a.holdWait = min(mostHoldWait, max(leastHoldWait, wait))
	if agent != a.opts.Incarnation {
		known = 0
	}
	timer := time.NewTimer(2 * wait) // the worker answers after one wait
	defer timer.Stop()
	for a.version == known {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
			a.mu.Lock()
			continue
		case <-timer.C:
		case <-a.stopped: // the owner's wait must not delay the stop
		case <-ctx.Done():
		}
		a.mu.Lock()
		break
	}
	defer a.mu.Unlock()
	return a.report, a.version
}

// Present reports whether the worker has announced itself to this life of the agent,
// and neither left nor ended since.
func (a *Agent) Present() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.up != nil && a.up.Boot.ID != a.left && !a.report.Gone
}

// Neglected reports whether no owner has called for a while, once for each while.
func (a *Agent) Neglected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.called) < neglectAfter {
		return false
	}
	a.called = time.Now()
	a.log.Log(eventOwnerSilent, nil, telemetry.Fields{"epoch": a.grant.Fence.Epoch()})
	return true
}

// accept takes a grant unless an owner with a higher epoch was here.
func (a *Agent) accept(g workflow.Grant) {
	if g.Fence.Epoch() < a.grant.Fence.Epoch() {
		return
	}
	if g.Fence.Epoch() > a.grant.Fence.Epoch() {
		a.log.Log(eventEpoch, nil, telemetry.Fields{"epoch": g.Fence.Epoch(), "before": a.grant.Fence.Epoch()})
		a.grant = g
		if a.raised != nil {
			a.raised()
		}
		return
	}
	g.Fence = max(g.Fence, a.grant.Fence)
	a.grant.Fence = g.Fence
	if g.Boot.Born != a.grant.Boot.Born {
		a.grant = g
		return
	}
	a.grant.Deadline = max(a.grant.Deadline, g.Deadline)
	a.grant.Acknowledged = max(a.grant.Acknowledged, g.Acknowledged)
}

// Run keeps the worker's leases and lists until the context ends. It is called
// once.
func (a *Agent) Run(ctx context.Context) {
	defer close(a.stopped)
	for ctx.Err() == nil {
		pause := a.hold(ctx)
		if pause <= 0 {
			continue
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// hold makes one call to the worker and returns the pause before the next.
func (a *Agent) hold(ctx context.Context) time.Duration {
	req, seq, callCtx, cancel := a.nextHold(ctx)
	defer cancel()
	if req.Fence == 0 {
		return retryPause // no owner yet
	}
	lists, err := a.opts.Runtime.Hold(callCtx, req)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.raised = nil
	if err != nil {
		return a.failed(ctx, err)
	}
	return a.listed(req, seq, &lists)
}

func (a *Agent) nextHold(ctx context.Context) (HoldRequest, uint64, context.Context, context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	req := HoldRequest{Fence: a.grant.Fence, Wait: a.holdWait, BootID: a.report.Boot.ID}
	if a.grant.Boot.Born != 0 && a.grant.Boot.Born == a.report.Boot.Born {
		req.Deadline = a.grant.Deadline
		req.Acknowledged = a.grant.Acknowledged
	}
	if req.Fence != a.report.Fence || a.report.Boot.Born == 0 || req.Acknowledged < a.seen {
		req.Wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, req.Wait+holdGrace)
	a.raised = cancel
	return req, a.seq, callCtx, cancel
}

// listed takes the answer of a call.
func (a *Agent) listed(req HoldRequest, seq uint64, lists *Lists) time.Duration {
	r := &a.report
	a.refusals, a.silent = 0, false
	news := r.Gone || r.Fence != req.Fence || r.Boot.Born != lists.Born
	if news {
		a.log.Log(eventWorkerReached, nil, telemetry.Fields{"born": lists.Born, "epoch": req.Fence.Epoch(), "running": len(lists.Running), "ended": len(lists.Ended)})
	}
	if r.Boot.Born != lists.Born {
		if a.met != 0 && a.met != lists.Born {
			// Raised by the next call, which follows at once.
			a.grant.Fence = a.grant.Fence.NextBoot()
		}
		a.met = lists.Born
		r.Boot = workflow.Boot{Born: lists.Born}
		a.seen = 0
	}
	seen := a.seen
	for i := range lists.Ended {
		seen = max(seen, lists.Ended[i].Number)
	}
	news = news || seen > a.seen
	a.seen = seen
	r.Gone = false
	r.Fence = req.Fence
	r.Clock = lists.Clock
	r.ListSeq = seq
	r.Running, r.Ended, r.More = lists.Running, lists.Ended, lists.More
	a.describe()
	if news || len(lists.Running) > 0 {
		a.bump() // figures have changed
	}
	if req.Acknowledged < seen {
		return pendingPause
	}
	return 0
}

// failed takes a call without answer.
func (a *Agent) failed(ctx context.Context, err error) time.Duration {
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, context.Canceled):
		return 0 // the epoch has risen
	case errors.Is(err, ErrFenced):
		// Another owner has reached the worker past this agent's earlier life.
		a.report.Fence = workflow.FirstFence(a.grant.Fence.Epoch() + 1)
		a.bump()
		return retryPause
	case errors.Is(err, ErrNotListening):
		a.refusals++
		if a.refusals < refusalsOfGone || a.report.Gone {
			return retryPause
		}
		a.log.Log(eventWorkerGone, err, telemetry.Fields{"born": a.report.Boot.Born})
		a.gone()
	case errors.Is(err, ErrWrongBoot):
		a.gone()
		return pendingPause
	default:
		if !a.silent {
			a.log.Log(eventWorkerSilent, err, telemetry.Fields{"born": a.report.Boot.Born})
			a.silent = true
		}
	}
	return retryPause
}

// gone records that nothing of the last boot runs any more.
func (a *Agent) gone() {
	a.report = workflow.Report{VM: a.opts.VM, Agent: a.opts.Incarnation, Gone: true, Fence: a.report.Fence}
	a.seen = 0
	a.bump()
}

// Carry implements agentapi.Agent.
func (a *Agent) Carry(ctx context.Context, epoch types.Epoch, orders []workflow.Order) []workflow.OrderResult {
	results := make([]workflow.OrderResult, len(orders))
	var wg sync.WaitGroup
	for i := range orders {
		results[i].Order = orders[i]
		refused, fence := a.refuses(epoch, &orders[i])
		if refused != workflow.ResultUnknown {
			results[i].Result, results[i].Seq = refused, a.nextSeq()
			continue
		}
		a.orders <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-a.orders }()
			results[i].Result = a.carry(ctx, fence, &orders[i])
			results[i].Seq = a.nextSeq()
		}()
	}
	wg.Wait()
	return results
}

func (a *Agent) nextSeq() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	return a.seq
}

// refuses returns the result of an order that is not passed on, or ResultUnknown
// and the fence for one that is.
func (a *Agent) refuses(epoch types.Epoch, o *workflow.Order) (workflow.Result, workflow.Fence) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case epoch < a.grant.Fence.Epoch():
		return workflow.ResultFenced, 0
	case o.Boot.Born != a.report.Boot.Born || a.report.Fence != a.grant.Fence:
		return workflow.ResultRefused, 0
	case o.Kind == workflow.OrderStart && a.up != nil && a.up.Draining:
		return workflow.ResultRefused, 0
	default:
		o.Boot.ID = a.report.Boot.ID
		return workflow.ResultUnknown, a.grant.Fence
	}
}

func (a *Agent) carry(ctx context.Context, fence workflow.Fence, o *workflow.Order) workflow.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	begin := time.Now()
	result, err := a.opts.Runtime.Carry(ctx, fence, o)
	if result != workflow.ResultDone {
		a.log.Log(eventOrder, err, telemetry.Fields{
			"kind": o.Kind.String(), "task": o.Task.String(), "run": o.Run, "epoch": fence.Epoch(), "result": result.String(),
			"ms": time.Since(begin).Milliseconds(),
		})
	}
	return result
}
