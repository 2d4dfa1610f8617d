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
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Times and limits of a term.
const (
	tickInterval = 25 * time.Millisecond
	// flushInterval lies between batches, unless a job is over. It delays how
	// soon workers forget ends, not the start of a job's next step.
	flushInterval = 100 * time.Millisecond
	// stopRetry lies between repeats of a stop that is not proved.
	stopRetry = 400 * time.Millisecond
	// clockDrift is how much slower than true a worker's clock may be.
	clockDrift = 0.02
	// maxChanges keeps a batch within the 100 entries of a transaction: a job
	// that is over needs four, an expired state one, the fence two.
	maxChanges = 18
	// releaseTimeout bounds the write that gives the ownership up at a stop.
	releaseTimeout = 500 * time.Millisecond
)

// term is one time of ownership.
type term struct {
	c      *Candidate
	log    *telemetry.Logger
	epoch  types.Epoch
	holder *lease.Holder
	state  *actors.Owner[*workflow.Owner]
	// until is when the term may act no longer, as clock reading in nanoseconds.
	until atomic.Int64
	// leaseRevision is that of the lease's row as last known.
	leaseRevision atomic.Uint64
	ctx           context.Context
	end           context.CancelFunc
	// fences are the revisions of the fence rows by partition. Only the batch in
	// flight uses them.
	fences map[string]uint64
	// broken is set when the core has panicked.
	broken  atomic.Bool
	took    uint64
	flushAt time.Duration
	loadsAt time.Duration
	// learned is what was last read or written of what owners learn.
	learned   []byte
	learnedAt time.Duration
	links     map[types.VMID]*link
	linksMu   sync.Mutex
	wg        sync.WaitGroup
	metrics   *termMetrics
}

func newTerm(c *Candidate, h *lease.Holder, revision uint64) *term {
	row, _ := h.Row()
	t := &term{
		c: c, log: c.log.With(telemetry.Fields{"epoch": row.Epoch}), epoch: row.Epoch, holder: h, fences: make(map[string]uint64), took: revision,
		links: make(map[types.VMID]*link), metrics: newTermMetrics(c.opts.Telemetry.Metrics),
	}
	t.until.Store(int64(h.ValidUntil()))
	t.leaseRevision.Store(revision)
	for _, p := range partitionNames() {
		t.fences[p] = revision
	}
	return t
}

// mayAct reports whether the ownership surely lasts at now.
func (t *term) mayAct(now time.Duration) bool {
	return now < time.Duration(t.until.Load())
}

// run acts as the owner until the ownership is lost or the context ends.
func (t *term) run(parent context.Context) {
	ctx, end := context.WithCancel(context.WithoutCancel(parent))
	t.ctx, t.end = ctx, end
	defer end()
	t.wg.Add(1)
	go t.keepLease(ctx)
	if t.recoverGuarded(ctx) {
		t.drive(ctx, parent)
	}
	t.finish()
	if parent.Err() != nil {
		t.release()
	}
}

// finish ends what acts for the term. The core is stopped before the wait: until
// then it may start new calls, which a wait group does not allow while it is
// waited for.
func (t *term) finish() {
	t.end()
	if t.state != nil {
		t.state.Stop()
	}
	t.wg.Wait()
}

// release lets another entry take over without waiting for the TTL.
func (t *term) release() {
	renewal, ok := t.holder.Release()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := t.writeLease(ctx, renewal)
	t.log.Log(eventOwnerReleased, err, nil)
}

// drive runs the core until the term or the process ends.
func (t *term) drive(ctx, parent context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			t.step(func(*workflow.Owner) {})
		case x := <-t.c.cancelled:
			t.step(func(o *workflow.Owner) { o.Cancel(clock.Now(), x.job, x.revision) })
		case <-t.c.queues:
			t.step(t.setQueues)
		case <-parent.Done():
			t.flushLast()
			return
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

// flushLast commits what is left when the process stops, so that its successor
// need not learn it from the workers.
func (t *term) flushLast() {
	done := make(chan struct{})
	t.state.Tell(func(o *workflow.Owner) {
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
	case <-time.After(releaseTimeout):
	}
}

// step applies an input to the core and carries out what it wants.
func (t *term) step(input func(*workflow.Owner)) {
	t.state.Tell(func(o *workflow.Owner) {
		t.confirm(o)
		input(o)
		t.pump(o)
	})
}

// confirm tells the core whether the ownership surely lasts.
func (t *term) confirm(o *workflow.Owner) {
	now := clock.Now()
	o.SetOwnershipConfirmed(now, t.mayAct(now))
}

// pump carries out what the core wants. It runs on the core's actor.
func (t *term) pump(o *workflow.Owner) {
	now := clock.Now()
	if o.Deposed() {
		t.log.Log(eventOwnerLost, nil, telemetry.Fields{"why": "a worker has seen a higher epoch"})
		t.end()
		return
	}
	confirmed := t.mayAct(now)
	o.SetOwnershipConfirmed(now, confirmed)
	out := o.Next(now, unixNow())
	t.report(out.Decisions)
	t.dispatch(out.Orders)
	t.advise(out.TicketRequests)
	t.reportLoads(o, now)
	if !confirmed {
		return
	}
	t.keepLearned(o, now)
	if now >= t.flushAt || o.BatchUrgent() {
		if b := o.Batch(now); b != nil {
			t.flushAt = now + flushInterval
			t.wg.Add(1)
			go t.commit(t.ctx, b)
		}
	}
}

// advise asks the policy service; the answers come to the core later.
func (t *term) advise(questions []workflow.TicketRequest) {
	for _, q := range questions {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			advice := workflow.TicketResponse{Step: q.Step}
			err := errors.New("the settings name no policy service")
			if t.c.opts.Advisor != nil {
				advice, err = t.c.opts.Advisor.Advise(context.Background(), q)
			}
			if err != nil {
				t.log.Log(eventAdviceFailed, err, telemetry.Fields{"step": q.Step.String(), "workers": len(q.Workers)})
			}
			t.step(func(o *workflow.Owner) { o.Advised(clock.Now(), advice) })
		}()
	}
}

// dispatch hands orders to the links of their VMs.
func (t *term) dispatch(orders []workflow.Order) {
	byVM := make(map[types.VMID][]workflow.Order)
	for _, order := range orders {
		byVM[order.VM] = append(byVM[order.VM], order)
	}
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	for vm, list := range byVM {
		if l := t.links[vm]; l != nil {
			l.carry(list)
		}
	}
}

// keepLease renews the lease until the term ends.
func (t *term) keepLease(ctx context.Context) {
	defer t.wg.Done()
	late := false
	for ctx.Err() == nil {
		now := clock.Now()
		switch {
		case t.holder.Lost():
			t.log.Log(eventOwnerLost, nil, telemetry.Fields{"why": "the lease has another owner"})
			t.end()
			return
		case t.holder.NeedsRead():
			t.readLease(ctx)
		default:
			if renewal, ok := t.holder.BeginRenewal(now); ok {
				t.renew(ctx, renewal)
			}
		}
		t.until.Store(int64(t.holder.ValidUntil()))
		_, revision := t.holder.Row()
		t.leaseRevision.Store(revision)
		if over := !t.mayAct(clock.Now()); over != late {
			late = over
			e := eventLeaseBack
			if late {
				e = eventLeaseLate
			}
			t.log.Log(e, nil, telemetry.Fields{"age": (clock.Now() - t.holder.ValidUntil()).String()})
		}
		sleep(ctx, leaseRenewal/6)
	}
}

func (t *term) renew(ctx context.Context, r lease.Renewal) {
	res, err := t.writeLease(ctx, r)
	switch {
	case err == nil && res.Committed:
		t.holder.Committed(res.Revision)
	case err == nil:
		t.observed(res.Rows[0])
	case isUnavailable(err):
		t.holder.Unavailable()
	default:
		t.holder.Uncertain()
	}
}

func (t *term) writeLease(ctx context.Context, r lease.Renewal) (platform.TxnResult, error) {
	value, err := r.Row.Encode()
	if err != nil {
		return platform.TxnResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := lease.Key(ownership)
	return t.c.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: r.Revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
		Reads:      []string{key},
	})
}

func (t *term) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := t.c.opts.Table.Get(ctx, lease.Key(ownership))
	if err != nil {
		return // tried again
	}
	t.observed(rows[0])
}

func (t *term) observed(r platform.Row) {
	row, err := lease.Decode(r.Value)
	if err != nil && r.Revision != 0 {
		t.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
	}
	t.holder.Observed(row, r.Revision, r.Revision != 0)
}

// spawn starts the actor that holds the core.
func (t *term) spawn(core *workflow.Owner) error {
	state, err := actors.SpawnGuarded(t.c.opts.System, fmt.Sprintf("jobs-%d", t.epoch), core, t.brokenBy)
	if err != nil {
		return err
	}
	t.state = state
	return nil
}

// brokenBy ends a term whose core has panicked. The entry goes on serving callers;
// the next term rebuilds the core from the rows.
func (t *term) brokenBy(reason any, stack []byte) {
	t.log.Log(eventOwnerBroken, fmt.Errorf("panic: %v", reason), telemetry.Fields{"stack": string(stack)})
	t.broken.Store(true)
	t.end()
}

// recoverGuarded is recover for rows that may break the core while it is built.
func (t *term) recoverGuarded(ctx context.Context) (ok bool) {
	defer func() {
		if reason := recover(); reason != nil {
			t.brokenBy(reason, debug.Stack())
			ok = false
		}
	}()
	return t.recover(ctx)
}
