package jobs

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// emergencyInterval is the time between the owner's checks whether it reaches the
	// table. It is short beside the 0.6 s after which the owner asks other entries.
	emergencyInterval = 25 * time.Millisecond
	// yieldReclaimDelay is how long an owner that has yielded, and reaches the table
	// again, leaves its lease to others. A takeover may take as long.
	yieldReclaimDelay = takeoverTimeout
)

var (
	eventOwnerAsks = telemetry.Define(565, logrus.WarnLevel, "owner does not reach the table and asks other entries",
		"The table has not answered this entry's last calls. If it serves another entry, 566 follows; if not, the owner goes on as in any outage (544). Logged once until calls are answered again. Fields: epoch; answer_age in ms; failed, the calls that have failed since the last answer; peers, the number of entries asked. Check the network path from this entry to the platform's store, and whether the store rejects this entry.")
	eventYielded = telemetry.Define(566, logrus.WarnLevel, "ownership yielded",
		"The table serves another entry, but not this one, which ceases to act as the confirmed owner. 567 and 540 of the other entry follow. Fields: epoch, to, revision; ms since the last answer of the table.")
	eventYieldReceived = telemetry.Define(567, logrus.InfoLevel, "yield received",
		"The owner has yielded to this entry. If accepted is true, this entry takes over at once (540), unless another one has done so. If not, the error says why: an old or repeated yield has no effect. Fields: from, epoch, accepted. No action.")
)

// PeerClient calls other entries.
type PeerClient interface {
	// ReadLease asks the entry at an address to read the lease row.
	ReadLease(ctx context.Context, address string) (handover.LeaseRead, error)
	// Yield sends a yield to the entry at an address, and reports whether the entry will
	// check it.
	Yield(ctx context.Context, address string, y handover.Yield) (bool, error)
}

// validity is the time until which a term may act as the confirmed owner.
type validity struct {
	until atomic.Int64 // clock reading in nanoseconds
	mu    sync.Mutex
	// yielded is set for the rest of the term once the owner has yielded.
	yielded   bool
	yieldedAt time.Duration
}

// set sets the end of the validity. After a yield the validity has ended for good: a
// renewal that was in flight then does not restore it.
func (v *validity) set(until time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.yielded {
		until = 0
	}
	v.until.Store(int64(until))
}

// yield ends the validity.
func (v *validity) yield(now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.yielded, v.yieldedAt = true, now
	v.until.Store(0)
}

// yieldTime returns when the owner has last yielded, and false if it has not.
func (v *validity) yieldTime() (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.yieldedAt, v.yielded
}

// emergency runs the emergency handover of a term. All fields belong to the goroutine
// of run.
type emergency struct {
	t       *term
	machine *handover.Emergency
	// answers are the answers to calls, applied one after another.
	answers chan func()
	asking  bool // 565 was logged, and no call was answered since
}

// yieldInEmergency hands the ownership over if the table serves other entries but not this
// one. It returns when the term ends.
func (t *term) yieldInEmergency(ctx context.Context) {
	defer t.wg.Done()
	e := &emergency{
		t: t, answers: make(chan func()),
		machine: handover.NewEmergency(handover.DefaultEmergencyConfig(), t.id()),
	}
	ticker := time.NewTicker(emergencyInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		e.step(ctx)
		select {
		case <-ticker.C:
		case answer := <-e.answers:
			answer()
		case <-ctx.Done():
		}
	}
}

// id returns what identifies the term.
func (t *term) id() handover.Term {
	return handover.Term{Owner: t.c.opts.VM, Incarnation: t.c.opts.Incarnation, Epoch: t.epoch}
}

func (e *emergency) step(ctx context.Context) {
	now, contact := clock.Now(), e.t.contact()
	if e.asking && !e.machine.Suspects(now, contact) {
		e.asking = false
	}
	step := e.machine.Next(now, contact, e.t.c.opts.Peers())
	switch step.Kind {
	case handover.StepAsk:
		if !e.asking {
			e.asking = true
			e.t.log.Log(eventOwnerAsks, nil, telemetry.Fields{"answer_age": (now - contact.AnsweredAt).Milliseconds(), "failed": contact.Failed, "peers": len(step.Peers)})
		}
		e.t.metrics.countEmergency("asked")
		for _, p := range step.Peers {
			e.ask(ctx, step.Number, p)
		}
	case handover.StepProbe:
		e.probe(ctx, step.Number)
	case handover.StepYield:
		e.yield(ctx, step)
	case handover.StepNone:
	}
}

// contact returns what the owner knows of its calls to the table.
func (t *term) contact() handover.Contact {
	answeredAt, failed := t.c.contact.state()
	return handover.Contact{
		AnsweredAt: answeredAt, Failed: failed,
		RenewedAt: time.Duration(t.validity.until.Load()) - (leaseTTL - leaseMargin), Revision: t.leaseRevision.Load(),
	}
}

// call runs a call in a goroutine of the term. The call returns what to do with its answer.
func (e *emergency) call(ctx context.Context, call func() func()) {
	e.t.wg.Add(1)
	go func() {
		defer e.t.wg.Done()
		answer := call()
		select {
		case e.answers <- answer:
		case <-ctx.Done():
		}
	}()
}

func (e *emergency) ask(ctx context.Context, number uint64, p handover.Peer) {
	e.call(ctx, func() func() {
		callCtx, cancel := context.WithTimeout(ctx, handover.DefaultEmergencyConfig().AskTimeout)
		defer cancel()
		read, err := e.t.c.opts.PeerClient.ReadLease(callCtx, p.Address)
		if err != nil {
			return func() { e.machine.NotConfirmed(number, p.VM) }
		}
		return func() { e.machine.Confirmed(number, p.VM, read) }
	})
}

// probe reads the table. A success is recorded by the table itself.
func (e *emergency) probe(ctx context.Context, number uint64) {
	e.call(ctx, func() func() {
		callCtx, cancel := context.WithTimeout(ctx, handover.DefaultEmergencyConfig().ProbeTimeout)
		defer cancel()
		if _, err := e.t.c.opts.Table.Get(callCtx, lease.Key(jobsShard)); err != nil {
			return func() { e.machine.ProbeFailed(number) }
		}
		return func() {}
	})
}

// yield ends the confirmed ownership, and then sends the yield: the other entry may take
// over as soon as it has received it. The end of the term does not cancel the call.
func (e *emergency) yield(ctx context.Context, step handover.Step) {
	t, to := e.t, step.Peers[0]
	answeredAt, _ := t.c.contact.state()
	t.validity.yield(clock.Now())
	t.stopConfirmedCore()
	t.log.Log(eventYielded, nil, telemetry.Fields{"to": to.VM, "revision": step.Yield.Revision, "ms": (clock.Now() - answeredAt).Milliseconds()})
	t.metrics.countEmergency("yielded")
	e.call(ctx, func() func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handover.DefaultEmergencyConfig().YieldTimeout)
		defer cancel()
		accepted, err := t.c.opts.PeerClient.Yield(callCtx, to.Address, step.Yield)
		return func() { e.machine.YieldAnswered(step.Number, accepted && err == nil) }
	})
}

// stopConfirmedCore waits until the core acts as an unconfirmed owner. The validity must
// have ended before.
func (t *term) stopConfirmedCore() {
	if t.handover.spawned.Load() {
		// Waits for an input that began as the confirmed owner. The actor may have
		// ended, which has the same effect.
		_ = t.coreActor.Do(func(o *workflow.Owner) { t.updateOwnershipConfirmed(o) })
	} else {
		t.end() // the core does not exist yet and must not begin as the confirmed owner
	}
}

// errNoCandidate is the answer of an entry that cannot take over.
var errNoCandidate = errors.New("this entry is the owner, has no configuration yet, or stops")

// ReadLease reads the lease row for the owner, which does not reach the table. It fails if
// this entry cannot take over.
func (c *Candidate) ReadLease(ctx context.Context) (handover.LeaseRead, error) {
	if !c.available.Load() {
		return handover.LeaseRead{}, errNoCandidate
	}
	return c.ReadLeaseForSubmissions(ctx)
}

// ReadLeaseForSubmissions reads the lease row for an entry that the table does not serve.
// It fails if the table does not serve this entry either.
func (c *Candidate) ReadLeaseForSubmissions(ctx context.Context) (handover.LeaseRead, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := c.opts.Table.Get(ctx, lease.Key(jobsShard))
	if err != nil {
		return handover.LeaseRead{}, err
	}
	if rows[0].Revision == 0 {
		return handover.LeaseRead{}, nil
	}
	row, err := lease.Decode(rows[0].Value)
	return leaseRead(row, rows[0].Revision), err
}

func leaseRead(row lease.Row, revision uint64) handover.LeaseRead {
	return handover.LeaseRead{Term: handover.Term{Owner: row.Owner, Incarnation: row.Incarnation, Epoch: row.Epoch}, Revision: revision}
}

// AcceptYield passes a yield on to Run, and reports whether it will be checked.
func (c *Candidate) AcceptYield(y handover.Yield) bool {
	if !c.available.Load() {
		return false
	}
	for {
		select {
		case c.yields <- y:
			return true
		default:
		}
		select {
		case <-c.yields: // an earlier one that Run has not received
		default:
		}
	}
}

// applyYield checks a yield. If the row as last read does not allow it, the row is read
// once more: it may have changed since.
func (c *Candidate) applyYield(ctx context.Context, y handover.Yield) bool {
	err := c.checkYield(y)
	if err != nil && !errors.Is(err, handover.ErrOwnYield) {
		c.observeLease(ctx)
		err = c.checkYield(y)
	}
	c.log.Log(eventYieldReceived, err, telemetry.Fields{"from": y.Owner, "epoch": y.Epoch, "accepted": err == nil})
	if err == nil {
		c.observer.SetOwnerYielded()
	}
	return err == nil
}

func (c *Candidate) checkYield(y handover.Yield) error {
	row, _ := c.observer.Row()
	return y.Accept(c.opts.VM, leaseRead(row, c.observer.Revision()))
}

// awaitPoll waits until the next read of the lease is due. If the owner yields to this
// candidate meanwhile, it tries to take over at once.
func (c *Candidate) awaitPoll(ctx context.Context) {
	timer := time.NewTimer(c.untilNextPoll(clock.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case y := <-c.yields:
		if c.applyYield(ctx, y) {
			c.tryTakeover(ctx)
		}
	case <-ctx.Done():
	}
}
