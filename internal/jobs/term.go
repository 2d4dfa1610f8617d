package jobs

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Intervals, timeouts and limits of a term.
const (
	tickInterval = 25 * time.Millisecond
	// flushInterval is the time between batches, unless a job has ended. It delays
	// the acknowledgement of ends to workers, not the start of a job's next step.
	flushInterval = 100 * time.Millisecond
	// orderRetry is the interval between retries of a stop or pace order until the
	// worker confirms it.
	orderRetry = 400 * time.Millisecond
	// clockDrift is the fraction by which a worker's clock may run slow.
	clockDrift = 0.02
	// maxChanges bounds both the changed jobs and the expired states of a batch, so
	// that it fits into the 100 entries of a transaction: a job that has ended needs
	// four, an expired state one, the fence two, which gives at most 92.
	maxChanges = 18
	// lastBatchTimeout bounds the last batch when the process stops.
	lastBatchTimeout = 500 * time.Millisecond
	// leaseCheckInterval is the time between checks of the lease.
	leaseCheckInterval = leaseRenewalInterval / 6
)

// term is one period of ownership by this process.
type term struct {
	c         *Candidate
	log       *telemetry.Logger
	epoch     types.Epoch
	holder    *lease.Holder
	coreActor *actors.Owner[*workflow.Owner]
	// validity holds the time from which the term may no longer act as the confirmed
	// owner.
	validity validity
	// leaseRevision is the last known revision of the lease's row.
	leaseRevision atomic.Uint64
	ctx           context.Context
	end           context.CancelFunc
	// fences are the revisions of the fence rows by partition. Only the batch in
	// flight accesses them.
	fences       map[string]uint64
	progressRows progressRowCounts
	// panicked is set when the core has panicked.
	panicked atomic.Bool
	// takeoverRevision is the revision of the transaction that took over the
	// ownership.
	takeoverRevision uint64
	// prepared are the rows that were read before the takeover; nil if none were.
	prepared       *preparedRows
	handover       termHandover
	activity       activityLog
	nextFlush      time.Duration
	nextLoadReport time.Duration
	// learned is the value of the row keyLearned that was last read, or sent to the
	// table.
	learned          []byte
	nextLearnedWrite time.Duration
	forecast         forecastPublisher
	links            map[types.VMID]*link
	linksMu          sync.Mutex
	wg               sync.WaitGroup
	metrics          *termMetrics
}

// newTerm returns a term. The argument revision is the revision of the takeover.
func newTerm(c *Candidate, h *lease.Holder, revision uint64) *term {
	row, _ := h.Row()
	t := &term{
		c: c, log: c.log.With(telemetry.Fields{"epoch": row.Epoch}), epoch: row.Epoch, holder: h, fences: make(map[string]uint64), progressRows: make(progressRowCounts), takeoverRevision: revision,
		links: make(map[types.VMID]*link), metrics: newTermMetrics(c.opts.Telemetry.Metrics),
	}
	t.validity.set(h.ValidUntil())
	t.leaseRevision.Store(revision)
	t.handover.init()
	for _, p := range partitionNames() {
		t.fences[p] = revision
	}
	return t
}

// ownershipConfirmed reports whether the ownership is certain at now.
func (t *term) ownershipConfirmed(now time.Duration) bool {
	return now < time.Duration(t.validity.until.Load())
}

// run acts as the owner until the ownership is lost or the context ends.
func (t *term) run(parent context.Context) {
	// The term outlives parent, so that it can commit a last batch before it ends.
	ctx, end := context.WithCancel(context.WithoutCancel(parent))
	t.ctx, t.end = ctx, end
	defer end()
	t.c.cancellations.setOpen(true)
	defer t.c.cancellations.setOpen(false)
	t.wg.Add(1)
	go t.maintainLease(ctx)
	t.wg.Add(1)
	go t.handOver(ctx, parent)
	if t.c.opts.Peers != nil {
		t.wg.Add(1)
		go t.yieldInEmergency(ctx)
	}
	if t.recoverGuarded(ctx) {
		t.runCore(ctx)
	}
	t.finish()
	t.metrics.setIdle(nil, 0) // the next owner reports its own
	t.metrics.setEvacuated(0, 0)
	t.metrics.setOverload(workflow.OverloadStatus{})
	t.metrics.setForecast(nil)
	t.metrics.setPreemption(workflow.PreemptionStatus{}, workflow.HeadroomStatus{})
	t.metrics.copies.Update(0)
	if parent.Err() != nil {
		t.release()
	}
}

// finish ends the goroutines of the term. The core is stopped before the wait: until
// then it may start new calls, and a wait group does not allow that during Wait.
func (t *term) finish() {
	t.end()
	if t.coreActor != nil {
		t.coreActor.Stop()
	}
	t.wg.Wait()
}

// release releases the lease if it was not released before, so that another entry can
// take over without waiting for leaseTTL.
func (t *term) release() {
	if t.holder.ValidUntil() == 0 {
		return // released or lost before
	}
	ctx, cancel := t.stopContext()
	defer cancel()
	if t.holder.NeedsRead() {
		t.readLease(ctx)
	}
	t.writeRelease(ctx, handover.Release{Cause: causeTermEnded})
}

// runCore runs the core until the term ends.
func (t *term) runCore(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			t.applyInput(func(*workflow.Owner) {})
		case <-t.c.cancellations.added:
			all := t.c.cancellations.take()
			t.applyInput(func(o *workflow.Owner) {
				for _, x := range all {
					o.Cancel(clock.Now(), x.job, x.revision)
				}
			})
		case <-t.c.queuesChanged:
			t.applyInput(t.setQueues)
		case <-t.c.evacuationChanged:
			t.applyInput(t.setEvacuated)
		case <-ctx.Done():
			return
		}
	}
}

func (t *term) setQueues(o *workflow.Owner) {
	if queues, ok := t.c.opts.Queues(); ok {
		o.SetQueues(queues)
	}
}

// flushOnStop commits the pending changes when the process stops, so that the next
// owner need not learn them from the workers.
func (t *term) flushOnStop() {
	done := make(chan struct{})
	t.coreActor.Enqueue(func(o *workflow.Owner) {
		b := o.Batch(clock.Now())
		if b == nil {
			close(done)
			return
		}
		t.wg.Add(1)
		go func() {
			defer close(done)
			t.commit(t.ctx, b)
		}()
	})
	select {
	case <-done:
	case <-time.After(lastBatchTimeout):
	}
}

// applyInput applies an input to the core and executes the resulting output.
func (t *term) applyInput(input func(*workflow.Owner)) {
	t.coreActor.Enqueue(func(o *workflow.Owner) {
		t.updateOwnershipConfirmed(o)
		input(o)
		t.executeOutput(o)
	})
}

// updateOwnershipConfirmed passes to the core whether the ownership is certain.
func (t *term) updateOwnershipConfirmed(o *workflow.Owner) {
	now := clock.Now()
	o.SetOwnershipConfirmed(now, t.ownershipConfirmed(now))
}

// executeOutput executes the output of the core: decisions, orders, ticket
// requests and batches. It runs on the core's actor.
func (t *term) executeOutput(o *workflow.Owner) {
	now := clock.Now()
	if o.Superseded() {
		t.log.Log(eventOwnershipLost, nil, telemetry.Fields{"why": "a worker has seen a higher epoch"})
		t.end()
		return
	}
	confirmed := t.ownershipConfirmed(now)
	o.SetOwnershipConfirmed(now, confirmed)
	out := o.Poll(now, unixNow())
	t.activity.decided(now, out.Decisions)
	t.logDecisions(out.Decisions)
	t.metrics.setIdle(o.IdleSteps(), o.BackgroundRuns())
	t.metrics.setEvacuated(o.EvacuatedDomains(), o.EvacuatedVMs())
	t.metrics.setOverload(o.Overload())
	t.metrics.setPreemption(o.Preemption(), o.Headroom())
	t.metrics.copies.Update(float64(o.Copies()))
	t.dispatch(out.Orders)
	t.requestAdvice(out.TicketRequests)
	t.logLoads(o, now)
	if !confirmed {
		return
	}
	t.storeLearned(o, now)
	t.publishForecast(o, now)
	if now >= t.nextFlush || o.BatchUrgent() {
		if b := o.Batch(now); b != nil {
			t.nextFlush = now + flushInterval
			t.wg.Add(1)
			go t.commit(t.ctx, b)
		}
	}
}

// requestAdvice sends ticket requests to the policy service without waiting; the core
// gets the responses later. The advisor bounds the time of a call itself, and the end of
// the term cancels it.
func (t *term) requestAdvice(requests []workflow.TicketRequest) {
	for _, q := range requests {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			advice := workflow.TicketResponse{Step: q.Step}
			err := errors.New("no policy service is set in the settings")
			begin := time.Now()
			if t.c.opts.Advisor != nil {
				advice, err = t.c.opts.Advisor.Advise(t.ctx, q)
			}
			if err != nil {
				t.log.Log(eventAdviceFailed, err, telemetry.Fields{"step": q.Step.String(), "workers": len(q.Workers)})
			} else {
				t.log.Log(eventTicketsReceived, nil, telemetry.Fields{
					"step": q.Step.String(), "workers": len(q.Workers), "tickets": len(advice.Tickets), "ms": time.Since(begin).Milliseconds(),
				})
			}
			t.applyInput(func(o *workflow.Owner) { o.Advised(clock.Now(), advice) })
		}()
	}
}

// dispatch passes orders to the links of their VMs. Orders for a VM without a link
// are dropped: links are deleted only when nothing can run on the VM.
func (t *term) dispatch(orders []workflow.Order) {
	byVM := make(map[types.VMID][]workflow.Order)
	for _, order := range orders {
		byVM[order.VM] = append(byVM[order.VM], order)
	}
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	for vm, list := range byVM {
		if l := t.links[vm]; l != nil {
			l.sendOrders(list)
		}
	}
}

// maintainLease renews the lease until the term ends.
func (t *term) maintainLease(ctx context.Context) {
	defer t.wg.Done()
	late := false
	for ctx.Err() == nil {
		now := clock.Now()
		t.holder.Announce(t.handover.reason())
		yieldedAt, yielded := t.validity.yieldTime()
		if yielded {
			t.holder.Yield()
		}
		switch {
		case t.holder.Lost():
			t.log.Log(eventOwnershipLost, nil, telemetry.Fields{"why": "the lease has another owner"})
			t.end()
			return
		case t.holder.NeedsRead():
			if t.readLease(ctx) && yielded && !t.holder.Lost() && now >= yieldedAt+yieldReclaimDelay {
				t.log.Log(eventOwnershipLost, nil, telemetry.Fields{"why": "no entry has taken over after a yield"})
				t.end()
				return
			}
		default:
			if renewal, ok := t.holder.BeginRenewal(now); ok {
				t.renew(ctx, renewal)
			}
		}
		t.validity.set(t.holder.ValidUntil())
		_, revision := t.holder.Row()
		t.leaseRevision.Store(revision)
		if over := !t.ownershipConfirmed(clock.Now()); over != late && !yielded {
			late = over
			e := eventLeaseRestored
			if late {
				e = eventLeaseLate
			}
			t.log.Log(e, nil, telemetry.Fields{"age": (clock.Now() - t.holder.ValidUntil()).String()})
		}
		t.handover.stored.Store(t.holder.Announced())
		if released := t.awaitLeaseCheck(ctx); released {
			return
		}
	}
}

func (t *term) renew(ctx context.Context, r lease.Renewal) {
	// The end of the term does not cancel the call: the release needs the revision of
	// the last renewal.
	began := clock.Now()
	res, err := t.writeLease(context.WithoutCancel(ctx), r)
	t.activity.renewed(clock.Now() - began)
	switch {
	case err == nil && res.Committed:
		t.holder.Committed(res.Revision)
	case err == nil:
		t.recordLease(res.Rows[0])
	case isUnavailable(err):
		t.holder.Refused()
	default:
		t.holder.Uncertain()
	}
}

// writeLease writes the lease.
func (t *term) writeLease(ctx context.Context, r lease.Renewal) (platform.TxnResult, error) {
	value, err := r.Row.Encode()
	if err != nil {
		return platform.TxnResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := lease.Key(jobsShard)
	return t.c.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: r.Revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
		Reads:      []string{key},
	})
}

// readLease reads the lease, and returns false if it could not be read.
func (t *term) readLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := t.c.opts.Table.Get(ctx, lease.Key(jobsShard))
	if err != nil {
		return false // maintainLease tries again
	}
	t.recordLease(rows[0])
	return true
}

func (t *term) recordLease(r platform.Row) {
	row, err := lease.Decode(r.Value)
	if err != nil && r.Revision != 0 {
		t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
	}
	t.holder.Observed(row, r.Revision, r.Revision != 0)
}

// spawn starts the actor that holds the core.
func (t *term) spawn(core *workflow.Owner) error {
	coreActor, err := actors.SpawnWithPanicHandler(t.c.opts.System, fmt.Sprintf("jobs-%d", t.epoch), core, t.endAfterPanic)
	if err != nil {
		return err
	}
	t.coreActor = coreActor
	t.handover.spawned.Store(true)
	return nil
}

// endAfterPanic ends a term whose core has panicked. The entry continues to serve
// callers; the next term rebuilds the core from the rows.
func (t *term) endAfterPanic(reason any, stack []byte) {
	t.log.Log(eventOwnerPanicked, fmt.Errorf("panic: %v", reason), telemetry.Fields{"stack": string(stack)})
	t.panicked.Store(true)
	t.end()
}

// recoverGuarded calls the method term.recover, and ends the term if a row makes the
// core panic while it is built. The panic is caught by the builtin recover.
func (t *term) recoverGuarded(ctx context.Context) (ok bool) {
	defer func() {
		if reason := recover(); reason != nil {
			t.endAfterPanic(reason, debug.Stack())
			ok = false
		}
	}()
	return t.recover(ctx)
}
