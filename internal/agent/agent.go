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

// Timeouts, intervals and limits of an agent.
const (
	// The worker waits for an end of a run before it answers, for as long as the
	// owner asks in its Watch calls, within minHoldWait and maxHoldWait.
	minHoldWait = 50 * time.Millisecond
	maxHoldWait = time.Second
	// holdGrace is added to the timeout of a Hold call, because a worker may be
	// slow to answer.
	holdGrace = 700 * time.Millisecond
	// unacknowledgedInterval is the pause between calls while an end is not yet
	// acknowledged: the worker then answers without waiting.
	unacknowledgedInterval = 60 * time.Millisecond
	// holdRetryDelay is the pause between calls while the worker does not answer.
	holdRetryDelay = 100 * time.Millisecond
	// ownerTimeout is the time without a call from an owner after which the agent
	// registers again, counted from the last call or the last such registration. It
	// is longer than a takeover, and shorter than the time within which a task whose
	// run has ended must run again.
	ownerTimeout = 3500 * time.Millisecond
	// orderTimeout bounds the call to the worker for one order.
	orderTimeout = 700 * time.Millisecond
	// maxParallelOrders bounds the connections to the worker.
	maxParallelOrders = 8
	// goneAfterRefusals is the number of consecutive refused connections after
	// which the worker counts as gone.
	goneAfterRefusals = 2
)

var (
	eventWorkerReached = telemetry.Define(640, logrus.InfoLevel, "worker reached",
		"The agent has received the lists of runs from the worker on its VM. Fields: born, epoch, running, ended. No action.")
	eventWorkerGone = telemetry.Define(641, logrus.WarnLevel, "worker does not listen",
		"The worker process on the VM has ended, or has not started yet. Its tasks are placed elsewhere. If it should run, look at its own log.")
	eventWorkerSilent = telemetry.Define(642, logrus.WarnLevel, "worker does not answer",
		"A call to the worker timed out. Its leases expire unless it answers again in time.")
	eventAnnounced = telemetry.Define(643, logrus.InfoLevel, "worker announced",
		"A boot of the worker announced itself or changed its state. Fields: boot, born, draining, remaining, service, rack. No action.")
	eventAnnouncementIgnored = telemetry.Define(644, logrus.WarnLevel, "announcement ignored",
		"An announcement was older than the last accepted one, or came from an earlier boot. Fields: boot, born, sequence. A steady stream means that another process writes to this agent.")
	eventOrderNotConfirmed = telemetry.Define(645, logrus.InfoLevel, "order not confirmed",
		"An order of the owner was not carried out, or its result is unknown. Fields: kind, task, run, epoch, result, ms. Look for the task in the owner's log.")
	eventOwnerAccepted = telemetry.Define(646, logrus.InfoLevel, "owner accepted",
		"An owner with a higher epoch has reached the agent. Older owners are refused from now on.")
	eventOwnerSilent = telemetry.Define(647, logrus.WarnLevel, "owner does not call",
		"No owner has called for 3.5 s; the agent registers again. Running tasks end when their lease expires. Check the owner's log.")
)

// Options configure an Agent.
type Options struct {
	VM           types.VMID
	Incarnation  types.Incarnation
	WorkerClient WorkerClient
	Telemetry    *telemetry.Telemetry
}

// Agent gives the owner of jobs access to one worker.
type Agent struct {
	opts Options
	log  *telemetry.Logger
	// orders holds one element for each order in progress, which bounds their number.
	orders chan struct{}

	mu    sync.Mutex
	grant workflow.Grant
	// cancelHold interrupts the current call to the worker when the epoch rises.
	cancelHold context.CancelFunc
	holdWait   time.Duration
	// lastContact is when an owner last called, or OwnerTimedOut last reported true.
	lastContact time.Time
	// announced is the last accepted announcement; nil before the first. It was
	// accepted after call announcedSeq was sent.
	announced    *Announcement
	announcedSeq uint64
	report       workflow.Report
	// version counts the changes of report that are passed on to Watch calls.
	version uint64
	// seq numbers the calls to the worker and the results of orders.
	seq uint64
	// changed is closed and replaced when version changes.
	changed chan struct{}
	// stopped is closed when Run ends.
	stopped chan struct{}
	// refusals counts consecutive refused connections.
	refusals int
	// silent is set while the worker does not answer.
	silent bool
	// verified is set if the last call was answered by the boot of the report. After
	// a failed call another boot may listen.
	verified bool
	// leavingBootID is the boot that has announced its end; empty if none has.
	leavingBootID string
	// lastEnd is the highest number of an end that the current boot has listed.
	lastEnd uint64
	// lastBorn is the start time of the last boot that answered; 0 before the first.
	lastBorn int64
}

// New returns an agent. It does not call the worker until Run is called.
func New(o Options) *Agent {
	return &Agent{
		opts: o, log: o.Telemetry.Log, orders: make(chan struct{}, maxParallelOrders),
		report: workflow.Report{VM: o.VM, Agent: o.Incarnation}, version: 1, changed: make(chan struct{}), stopped: make(chan struct{}),
		holdWait: maxHoldWait, lastContact: time.Now(),
	}
}

// Incarnation implements agentapi.Agent.
func (a *Agent) Incarnation() types.Incarnation { return a.opts.Incarnation }

// Announce records an announcement. It returns false for one that is out of date:
// announcements may arrive after newer ones of the same boot or of a later boot. The
// boot that answers calls is accepted even if a later start time has been announced:
// that time may be a mistake of another writer.
func (a *Agent) Announce(n Announcement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.announced
	answersCalls := n.Boot.Born == a.report.Boot.Born && a.report.ListSeq > a.announcedSeq
	if old != nil && (n.Boot.Born < old.Boot.Born && !answersCalls || n.Boot.Born == old.Boot.Born && n.Sequence <= old.Sequence) {
		a.log.Log(eventAnnouncementIgnored, nil, telemetry.Fields{"boot": n.Boot.ID, "born": n.Boot.Born, "sequence": n.Sequence})
		return false
	}
	a.announced, a.announcedSeq = &n, a.seq
	fresh := old == nil || old.Boot != n.Boot
	if fresh || old.Draining != n.Draining {
		a.log.Log(eventAnnounced, nil, telemetry.Fields{
			"boot": n.Boot.ID, "born": n.Boot.Born, "draining": n.Draining, "remaining": n.Remaining.String(), "service": n.Service, "rack": n.Rack,
		})
		if fresh || !n.Draining {
			// The leave message names no start time. If the boot is ready, the message
			// came from an earlier boot with the same ID.
			a.leavingBootID = ""
		}
		a.updateUpstream()
		a.notifyWatchers()
	}
	return true
}

// updateUpstream copies the announcement into the report if it comes from the boot
// that answers calls. The caller holds the lock.
func (a *Agent) updateUpstream() {
	if a.announced == nil || a.announced.Boot.Born != a.report.Boot.Born {
		a.report.Upstream = nil
		return
	}
	u := a.announced.Upstream
	a.report.Upstream = &u
	a.report.Boot.ID = u.Boot.ID
}

// Leave records that a boot of the worker is about to end.
func (a *Agent) Leave(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announced != nil && a.announced.Boot.ID == id {
		a.announced.Draining = true
		a.leavingBootID = id
		a.updateUpstream()
		a.notifyWatchers()
	}
}

// notifyWatchers makes waiting Watch calls return. The caller holds the lock.
func (a *Agent) notifyWatchers() {
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// Watch implements agentapi.Agent.
func (a *Agent) Watch(ctx context.Context, g workflow.Grant, known uint64, agent types.Incarnation, wait time.Duration) (workflow.Report, uint64) {
	a.mu.Lock()
	a.acceptGrant(g)
	a.lastContact = time.Now()
	a.holdWait = min(maxHoldWait, max(minHoldWait, wait))
	if agent != a.opts.Incarnation {
		known = 0
	}
	// The worker lets a Hold call wait for the same time, limited to the bounds of
	// holdWait; twice that normally outlasts the call.
	timer := time.NewTimer(2 * wait)
	defer timer.Stop()
	for a.version == known {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
			a.mu.Lock()
			continue
		case <-timer.C:
		case <-a.stopped: // a long poll must not delay the stop
		case <-ctx.Done():
		}
		a.mu.Lock()
		break
	}
	defer a.mu.Unlock()
	return a.report, a.version
}

// WorkerPresent reports whether the worker has announced itself since the agent
// started, and has neither left nor ended since.
func (a *Agent) WorkerPresent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announced != nil && a.announced.Boot.ID != a.leavingBootID && !a.report.Gone
}

// OwnerTimedOut reports whether no owner has called for ownerTimeout. A result of
// true restarts the timeout.
func (a *Agent) OwnerTimedOut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.lastContact) < ownerTimeout {
		return false
	}
	a.lastContact = time.Now()
	a.log.Log(eventOwnerSilent, nil, telemetry.Fields{"epoch": a.grant.Fence.Epoch()})
	return true
}

// acceptGrant merges a grant into the current one if both have the same epoch and
// boot. A grant with a lower epoch is ignored. One with a higher epoch replaces the
// current grant and cancels the Hold call in progress. One for another boot replaces
// it too: deadlines and numbers of ends of different boots cannot be compared. The
// caller holds the lock.
func (a *Agent) acceptGrant(g workflow.Grant) {
	if g.Fence.Epoch() < a.grant.Fence.Epoch() {
		return
	}
	if g.Fence.Epoch() > a.grant.Fence.Epoch() {
		a.log.Log(eventOwnerAccepted, nil, telemetry.Fields{"epoch": g.Fence.Epoch(), "before": a.grant.Fence.Epoch()})
		a.grant = g
		if a.cancelHold != nil {
			a.cancelHold()
		}
		return
	}
	g.Fence = max(g.Fence, a.grant.Fence)
	a.grant.Fence = g.Fence
	if g.Boot.Born != a.grant.Boot.Born {
		a.grant = g
		return
	}
	a.grant.LeaseEnd = max(a.grant.LeaseEnd, g.LeaseEnd)
	a.grant.Acknowledged = max(a.grant.Acknowledged, g.Acknowledged)
}

// Run keeps the worker's leases, and the report of its runs, up to date until the
// context ends. It must be called only once.
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

// hold makes one call to the worker and returns the pause before the next call.
func (a *Agent) hold(ctx context.Context) time.Duration {
	req, seq, callCtx, cancel := a.nextHoldRequest(ctx)
	defer cancel()
	if req.Fence == 0 {
		return holdRetryDelay // no owner yet
	}
	lists, err := a.opts.WorkerClient.Hold(callCtx, req)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelHold = nil
	if err != nil {
		a.verified = false
		return a.handleHoldError(ctx, seq, err)
	}
	a.verified = true
	return a.applyLists(req, seq, &lists)
}

// nextHoldRequest returns the next request to the worker, its sequence number, and
// the context of the call with its cancel function. The worker answers at once, as
// Wait is 0, if the fence has changed since the last answer, the lists of runs are
// not known, an end is not acknowledged, or the last call failed. In the last case
// the call carries no lease and no acknowledgement: a new boot with the same ID would
// take them for its own.
func (a *Agent) nextHoldRequest(ctx context.Context) (HoldRequest, uint64, context.Context, context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	req := HoldRequest{Fence: a.grant.Fence, Wait: a.holdWait, Boot: workflow.Boot{ID: a.report.Boot.ID}}
	if a.verified {
		req.Boot.Born = a.report.Boot.Born
	}
	if a.verified && a.grant.Boot.Born != 0 && a.grant.Boot.Born == a.report.Boot.Born {
		req.LeaseEnd = a.grant.LeaseEnd
		req.Acknowledged = a.grant.Acknowledged
	}
	if !a.verified || req.Fence != a.report.Fence || a.report.Boot.Born == 0 || req.Acknowledged < a.lastEnd {
		req.Wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, req.Wait+holdGrace)
	a.cancelHold = cancel
	return req, a.seq, callCtx, cancel
}

// applyLists updates the report with the answer of a call, and returns the pause
// before the next call. The caller holds the lock.
func (a *Agent) applyLists(req HoldRequest, seq uint64, lists *RunLists) time.Duration {
	r := &a.report
	a.refusals, a.silent = 0, false
	changed := r.Gone || r.Fence != req.Fence || r.Boot.Born != lists.Born
	if changed {
		a.log.Log(eventWorkerReached, nil, telemetry.Fields{"born": lists.Born, "epoch": req.Fence.Epoch(), "running": len(lists.Running), "ended": len(lists.Ended)})
	}
	if r.Boot.Born != lists.Born {
		if a.lastBorn != 0 && a.lastBorn != lists.Born {
			// A higher fence makes the new boot refuse orders for the previous one. The
			// next Hold call passes it on.
			a.grant.Fence = a.grant.Fence.NextBoot()
		}
		a.lastBorn = lists.Born
		r.Boot = workflow.Boot{Born: lists.Born}
		a.lastEnd = 0
	}
	lastEnd := a.lastEnd
	for i := range lists.Ended {
		lastEnd = max(lastEnd, lists.Ended[i].Number)
	}
	changed = changed || lastEnd > a.lastEnd
	a.lastEnd = lastEnd
	r.Gone = false
	r.Fence = req.Fence
	r.Clock = lists.Clock
	r.ListSeq = seq
	r.Running, r.Ended, r.More = lists.Running, lists.Ended, lists.More
	a.updateUpstream()
	if changed || len(lists.Running) > 0 {
		a.notifyWatchers() // also while runs exist, as their progress may have changed
	}
	if req.Acknowledged < lastEnd {
		return unacknowledgedInterval
	}
	return 0
}

// handleHoldError updates the report after a failed call with the given sequence
// number, and returns the pause before the next call. The caller holds the lock.
func (a *Agent) handleHoldError(ctx context.Context, seq uint64, err error) time.Duration {
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, context.Canceled):
		return 0 // the epoch has risen
	case errors.Is(err, ErrFenced):
		// The worker has accepted a newer owner's fence through an earlier process
		// of this agent. Report a higher epoch, so that the current owner learns that
		// another one has replaced it.
		a.report.Fence = workflow.FirstFence(a.grant.Fence.Epoch() + 1)
		a.notifyWatchers()
		return holdRetryDelay
	case errors.Is(err, ErrNotListening):
		a.refusals++
		if a.refusals < goneAfterRefusals || a.report.Gone {
			return holdRetryDelay
		}
		a.log.Log(eventWorkerGone, err, telemetry.Fields{"born": a.report.Boot.Born})
		a.markGone(seq)
	case errors.Is(err, ErrRestarted):
		return unacknowledgedInterval // the next call asks for the lists of the new boot
	case errors.Is(err, ErrWrongBoot):
		a.markGone(seq)
		return unacknowledgedInterval
	default:
		if !a.silent {
			a.log.Log(eventWorkerSilent, err, telemetry.Fields{"born": a.report.Boot.Born})
			a.silent = true
		}
	}
	return holdRetryDelay
}

// markGone records that no run of the last boot is left, as the call with the given
// sequence number has shown. The caller holds the lock.
func (a *Agent) markGone(seq uint64) {
	a.report = workflow.Report{VM: a.opts.VM, Agent: a.opts.Incarnation, Gone: true, Fence: a.report.Fence, ListSeq: seq}
	a.lastEnd = 0
	a.notifyWatchers()
}

// Carry implements agentapi.Agent.
func (a *Agent) Carry(ctx context.Context, epoch types.Epoch, orders []workflow.Order) []workflow.OrderResult {
	results := make([]workflow.OrderResult, len(orders))
	var wg sync.WaitGroup
	for i := range orders {
		results[i].Order = orders[i]
		result, fence := a.checkOrder(epoch, &orders[i])
		if result != workflow.ResultUnknown {
			results[i].Result, results[i].Seq = result, a.nextSeq()
			continue
		}
		a.orders <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-a.orders }()
			results[i].Result = a.executeOrder(ctx, fence, &orders[i])
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

// checkOrder checks whether an order may be passed to the worker. If so, there is no
// result yet: it returns ResultUnknown and the fence for the call, and sets the boot
// ID of the order. Otherwise it returns the result of the order.
func (a *Agent) checkOrder(epoch types.Epoch, o *workflow.Order) (workflow.Result, workflow.Fence) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case epoch < a.grant.Fence.Epoch():
		return workflow.ResultFenced, 0
	case o.Boot.Born != a.report.Boot.Born || a.report.Fence != a.grant.Fence:
		return workflow.ResultRefused, 0
	case o.Kind == workflow.OrderStart && a.announced != nil && a.announced.Draining:
		return workflow.ResultRefused, 0
	default:
		o.Boot.ID = a.report.Boot.ID
		return workflow.ResultUnknown, a.grant.Fence
	}
}

func (a *Agent) executeOrder(ctx context.Context, fence workflow.Fence, o *workflow.Order) workflow.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	begin := time.Now()
	result, err := a.opts.WorkerClient.Execute(ctx, fence, o)
	if result == workflow.ResultFenced && a.fenceRaisedSince(fence) {
		result = workflow.ResultWrongBoot
	}
	if result != workflow.ResultDone {
		a.log.Log(eventOrderNotConfirmed, err, telemetry.Fields{
			"kind": o.Kind.String(), "task": o.Task.String(), "run": o.Run, "epoch": fence.Epoch(), "result": result.String(),
			"ms": time.Since(begin).Milliseconds(),
		})
	}
	return result
}

// fenceRaisedSince reports whether the fence has been raised for a new boot of the
// worker in the epoch of an earlier fence. That boot refuses orders for the earlier
// one, which does not mean that another owner has taken over.
func (a *Agent) fenceRaisedSince(fence workflow.Fence) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grant.Fence > fence && a.grant.Fence.Epoch() == fence.Epoch()
}
