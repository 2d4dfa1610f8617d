package jobs

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/agentapi"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Timeouts and intervals of the link to an agent.
const (
	// callGrace is added to the timeout of a call, because an agent may be slow to
	// answer.
	callGrace = 800 * time.Millisecond
	// ordersTimeout bounds a call with orders. It is longer than the agent's own
	// timeout of one order.
	ordersTimeout = 1500 * time.Millisecond
	// The pause after a failed call doubles from linkBackoffMin to linkBackoffMax.
	linkBackoffMin = 50 * time.Millisecond
	linkBackoffMax = 400 * time.Millisecond
	// vmRemovalDelay is how long a VM whose lease has expired must be unreachable
	// before the row of its agent is deleted: a new owner waits for the lease of
	// each VM that has a row. An agent that no owner calls registers again.
	vmRemovalDelay = 2500 * time.Millisecond
)

var (
	eventAgentUnreachable = telemetry.Define(550, logrus.WarnLevel, "agent does not answer",
		"The owner cannot reach the agent of a VM. Its tasks are started elsewhere once their lease has certainly expired. Fields: vm, address.")
	eventAgentReachable = telemetry.Define(551, logrus.InfoLevel, "agent answers", "Fields: vm, address. No action.")
	eventAgentRemoved   = telemetry.Define(552, logrus.InfoLevel, "agent removed",
		"The VM was unreachable and nothing can run on it. Its agent registers again if it returns. Fields: vm.")
	eventOrdersUnanswered = telemetry.Define(553, logrus.WarnLevel, "orders not answered",
		"The agent did not answer orders; the owner finds out whether they were carried out before it starts the tasks elsewhere. Fields: vm, orders.")
)

// link is the owner's connection to one agent.
type link struct {
	t      *term
	vm     types.VMID
	row    agentRow
	client *agentapi.Client
	// rowRevision is the last known revision of the agent's row.
	rowRevision atomic.Uint64
	cancel      context.CancelFunc
	// sendCtx ends with the link; calls with orders use it.
	sendCtx context.Context
}

// connect opens links to new agents and to agents whose address has changed.
func (t *term) connect(ctx context.Context, agents map[types.VMID]agentRow) {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	for vm, row := range agents {
		old := t.links[vm]
		if old != nil && old.row.Address == row.Address && old.row.FailureDomain == row.FailureDomain {
			old.rowRevision.Store(max(old.rowRevision.Load(), row.revision))
			continue
		}
		if old != nil {
			old.cancel()
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{t: t, vm: vm, row: row, client: agentapi.NewClient(vm, row.Address, t.c.opts.Agents), cancel: cancel, sendCtx: linkCtx}
		l.rowRevision.Store(row.revision)
		t.links[vm] = l
		t.wg.Add(1)
		go l.run(linkCtx)
	}
}

// run calls the agent until the context ends or the VM is removed.
func (l *link) run(ctx context.Context) {
	defer l.t.wg.Done()
	l.t.coreActor.Enqueue(func(o *workflow.Owner) {
		o.AddVM(clock.Now(), l.vm)
		o.SetFailureDomain(l.vm, l.row.FailureDomain)
	})
	unreachable := true
	pause := linkBackoffMin
	for ctx.Err() == nil {
		seen := l.rowRevision.Load() // a later row is of an agent that this call may not reach
		left, err := l.watch(ctx)
		if left && l.removeVM(ctx, seen) {
			return
		}
		switch {
		case err == nil && unreachable:
			l.t.log.Log(eventAgentReachable, nil, telemetry.Fields{"vm": l.vm, "address": l.row.Address})
			unreachable, pause = false, linkBackoffMin
		case err == nil:
			pause = linkBackoffMin
		case ctx.Err() != nil:
			return
		default:
			if !unreachable {
				l.t.log.Log(eventAgentUnreachable, err, telemetry.Fields{"vm": l.vm, "address": l.row.Address})
				unreachable = true
			}
			if l.removeIfUnreachable(ctx, seen) {
				return
			}
			sleep(ctx, jitter(pause))
			pause = min(2*pause, linkBackoffMax)
		}
	}
}

// watch makes one Watch call and passes the agent's report to the core. It reports
// whether the VM's worker has ended as announced and nothing can run on the VM any
// more.
func (l *link) watch(ctx context.Context) (left bool, err error) {
	var grant workflow.Grant
	var wait time.Duration
	if err := l.t.coreActor.Do(func(o *workflow.Owner) {
		l.t.updateOwnershipConfirmed(o)
		grant, wait = o.Grant(l.vm), o.PollInterval(l.vm)
	}); err != nil {
		return false, err
	}
	callCtx, cancel := context.WithTimeout(ctx, 2*wait+callGrace)
	defer cancel()
	report, err := l.client.Watch(callCtx, grant, wait)
	if err != nil {
		return false, err
	}
	l.t.applyInput(func(o *workflow.Owner) { o.Report(clock.Now(), report) })
	if !report.Gone {
		return false, nil
	}
	err = l.t.coreActor.Do(func(o *workflow.Owner) { left = o.HasLeft(l.vm) })
	return left, err
}

// sendOrders sends orders without waiting; the core gets their results later.
func (l *link) sendOrders(orders []workflow.Order) {
	l.t.wg.Add(1)
	decided := clock.Now()
	go func() {
		defer l.t.wg.Done()
		ctx, cancel := context.WithTimeout(l.sendCtx, ordersTimeout)
		defer cancel()
		orders, withheld := l.withhold(orders, decided)
		if len(withheld) > 0 {
			l.t.applyInput(func(o *workflow.Owner) { o.ApplyResults(clock.Now(), 0, withheld) })
		}
		if len(orders) == 0 {
			return
		}
		agent, results, err := l.client.Carry(ctx, l.t.epoch, orders)
		if err != nil {
			l.t.log.Log(eventOrdersUnanswered, err, telemetry.Fields{"vm": l.vm, "orders": len(orders)})
		}
		l.t.applyInput(func(o *workflow.Owner) { o.ApplyResults(clock.Now(), agent, results) })
	}()
}

// removeIfUnreachable removes the VM, whose row has the given revision, if its lease
// has expired and its last report is at least vmRemovalDelay old. It reports whether the
// link is no longer needed.
func (l *link) removeIfUnreachable(ctx context.Context, revision uint64) bool {
	var idleFor time.Duration
	var idle bool
	if err := l.t.coreActor.Do(func(o *workflow.Owner) { idleFor, idle = o.ProvenIdle(clock.Now(), l.vm) }); err != nil {
		return false
	}
	return idle && idleFor >= vmRemovalDelay && l.removeVM(ctx, revision)
}

// removeVM deletes the row, of the given revision, of a VM on which nothing can run and
// removes the VM from the core. It reports whether the link is no longer needed. If it is, run tries again
// after its next Watch call.
func (l *link) removeVM(ctx context.Context, revision uint64) bool {
	if !l.t.ownershipConfirmed(clock.Now()) {
		return false
	}
	if !l.deleteRow(ctx, revision) {
		return false
	}
	l.t.linksMu.Lock()
	defer l.t.linksMu.Unlock()
	if l.t.links[l.vm] != l {
		return true // the agent has registered at another address
	}
	if l.rowRevision.Load() > revision {
		return false // the agent has registered again at this address
	}
	l.t.log.Log(eventAgentRemoved, nil, telemetry.Fields{"vm": l.vm})
	l.t.coreActor.Enqueue(func(o *workflow.Owner) { o.RemoveVM(l.vm) })
	delete(l.t.links, l.vm)
	l.cancel()
	return true
}

// deleteRow deletes the agent's row of the given revision and reports whether the row
// no longer exists.
// The agent may register again at any time, and the table may carry out an
// unanswered write later. If that deleted a newer row, the next owner would not
// learn what runs on the VM. Therefore the write is conditional on the revisions of
// the row and of the owner's lease. The condition on the lease makes every earlier
// attempt fail once the lease is renewed, so the link pauses for about one renewal
// between attempts. It does not call the agent again until the outcome is known.
func (l *link) deleteRow(ctx context.Context, revision uint64) bool {
	uncertain := false
	for ctx.Err() == nil {
		key := prefixAgent + string(l.vm)
		callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		res, err := l.t.c.opts.Table.Commit(callCtx, platform.Txn{
			Conditions: []platform.Condition{
				{Key: key, Revision: revision}, {Key: lease.Key(jobsShard), Revision: l.t.leaseRevision.Load()},
			},
			Writes: []platform.Write{{Key: key, Delete: true}},
			Reads:  []string{key},
		})
		cancel()
		switch {
		case err == nil && res.Committed:
			return true
		case err == nil:
			// A condition no longer holds: earlier attempts have either been carried
			// out or will fail.
			gone := res.Rows[0].Revision == 0
			if !gone {
				l.rowRevision.Store(res.Rows[0].Revision)
			}
			return gone
		case errors.Is(err, platform.ErrUncertain):
			uncertain = true
		case !uncertain:
			return false
		}
		sleep(ctx, jitter(leaseRenewalInterval))
	}
	return false
}
