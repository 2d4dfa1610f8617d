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

// Times of the link to an agent.
const (
	// callGrace is added for an agent that is slow to answer.
	callGrace = 800 * time.Millisecond
	// carryTimeout is above the agent's own limit for one order.
	carryTimeout = 1500 * time.Millisecond
	// Pauses after a failed call.
	linkRetryFirst = 50 * time.Millisecond
	linkRetryLast  = 400 * time.Millisecond
	// forgetAfter is how long a VM must be out of reach, with nothing left that
	// could run there, before its row is deleted: a new owner waits for the lease
	// of each VM that has one. An agent that no owner calls registers again.
	forgetAfter = 2500 * time.Millisecond
)

var (
	eventAgentLost = telemetry.Define(550, logrus.WarnLevel, "agent does not answer",
		"The owner cannot reach the agent of a VM. Its tasks are started elsewhere once their lease has surely run out. Fields: vm, address.")
	eventAgentBack      = telemetry.Define(551, logrus.InfoLevel, "agent answers", "Fields: vm, address. No action.")
	eventAgentForgotten = telemetry.Define(552, logrus.InfoLevel, "agent forgotten",
		"The VM was out of reach and nothing can run there. It registers again if it comes back. Fields: vm.")
	eventNotGiven = telemetry.Define(553, logrus.WarnLevel, "orders without answer",
		"The agent gave no answer to orders; the owner finds out what became of them before it starts the tasks elsewhere. Fields: vm, orders.")
)

// link is the owner's connection to one agent.
type link struct {
	t      *term
	vm     types.VMID
	row    agentRow
	client *agentapi.Client
	// registered is the revision of the agent's row.
	registered atomic.Uint64
	cancel     context.CancelFunc
	sendCtx    context.Context
}

// connect opens links to agents that are new or have moved.
func (t *term) connect(ctx context.Context, agents map[types.VMID]agentRow) {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	for vm, row := range agents {
		old := t.links[vm]
		if old != nil && old.row.Address == row.Address {
			old.registered.Store(max(old.registered.Load(), row.revision))
			continue
		}
		if old != nil {
			old.cancel()
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{t: t, vm: vm, row: row, client: agentapi.NewClient(vm, row.Address, t.c.opts.Agents), cancel: cancel, sendCtx: linkCtx}
		l.registered.Store(row.revision)
		t.links[vm] = l
		t.wg.Add(1)
		go l.run(linkCtx)
	}
}

// run watches the agent until the context ends.
func (l *link) run(ctx context.Context) {
	defer l.t.wg.Done()
	l.t.state.Tell(func(o *workflow.Owner) { o.AddVM(clock.Now(), l.vm) })
	lost := true
	pause := linkRetryFirst
	for ctx.Err() == nil {
		departed, err := l.watch(ctx)
		if departed && l.drop(ctx) {
			return
		}
		switch {
		case err == nil && lost:
			l.t.log.Log(eventAgentBack, nil, telemetry.Fields{"vm": l.vm, "address": l.row.Address})
			lost, pause = false, linkRetryFirst
		case err == nil:
			pause = linkRetryFirst
		case ctx.Err() != nil:
			return
		default:
			if !lost {
				l.t.log.Log(eventAgentLost, err, telemetry.Fields{"vm": l.vm, "address": l.row.Address})
				lost = true
			}
			if l.forget(ctx) {
				return
			}
			sleep(ctx, jitter(pause))
			pause = min(2*pause, linkRetryLast)
		}
	}
}

// watch makes one call and hands the report to the core. It reports whether the VM's
// worker has left.
func (l *link) watch(ctx context.Context) (departed bool, err error) {
	var grant workflow.Grant
	var wait time.Duration
	if err := l.t.state.Do(func(o *workflow.Owner) {
		l.t.confirm(o)
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
	l.t.step(func(o *workflow.Owner) { o.Report(clock.Now(), report) })
	if !report.Gone {
		return false, nil
	}
	err = l.t.state.Do(func(o *workflow.Owner) { departed = o.Departed(l.vm) })
	return departed, err
}

// carry sends orders; their results come to the core later.
func (l *link) carry(orders []workflow.Order) {
	l.t.wg.Add(1)
	go func() {
		defer l.t.wg.Done()
		ctx, cancel := context.WithTimeout(l.sendCtx, carryTimeout)
		defer cancel()
		agent, results, err := l.client.Carry(ctx, l.t.epoch, orders)
		if err != nil {
			l.t.log.Log(eventNotGiven, err, telemetry.Fields{"vm": l.vm, "orders": len(orders)})
		}
		l.t.step(func(o *workflow.Owner) { o.ApplyResults(clock.Now(), agent, results) })
	}()
}

// forget deletes the row of a VM that has been out of reach for long, and
// reports whether it did.
func (l *link) forget(ctx context.Context) bool {
	var away time.Duration
	var lapsed bool
	if err := l.t.state.Do(func(o *workflow.Owner) { away, lapsed = o.ProvenIdleFor(clock.Now(), l.vm) }); err != nil {
		return false
	}
	return lapsed && away >= forgetAfter && l.drop(ctx)
}

// drop deletes the row of a VM where nothing can run, and reports whether it did;
// if not, the next call tries again.
func (l *link) drop(ctx context.Context) bool {
	if !l.t.mayAct(clock.Now()) || !l.deleteRow(ctx) {
		return false
	}
	l.t.log.Log(eventAgentForgotten, nil, telemetry.Fields{"vm": l.vm})
	l.t.state.Tell(func(o *workflow.Owner) { o.RemoveVM(l.vm) })
	l.t.linksMu.Lock()
	defer l.t.linksMu.Unlock()
	delete(l.t.links, l.vm)
	return true
}

// deleteRow deletes the agent's row, and reports whether it is gone. The agent may
// register again at any time, and a write without an answer may be carried out
// later: a successor that does not find the row would not know what runs on the VM.
// So the write is conditional on the row and on the lease, which is renewed all the
// time, and the link calls the agent again only when the outcome is known.
func (l *link) deleteRow(ctx context.Context) bool {
	uncertain := false
	for ctx.Err() == nil {
		key := prefixAgent + string(l.vm)
		callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		res, err := l.t.c.opts.Table.Commit(callCtx, platform.Txn{
			Conditions: []platform.Condition{
				{Key: key, Revision: l.registered.Load()}, {Key: lease.Key(ownership), Revision: l.t.leaseRevision.Load()},
			},
			Writes: []platform.Write{{Key: key, Delete: true}},
			Reads:  []string{key},
		})
		cancel()
		switch {
		case err == nil && res.Committed:
			return true
		case err == nil:
			// A condition has changed, so attempts before this one have been carried
			// out or never will be.
			gone := res.Rows[0].Revision == 0
			if !gone {
				l.registered.Store(res.Rows[0].Revision)
			}
			return gone
		case errors.Is(err, platform.ErrUncertain):
			uncertain = true
		case !uncertain:
			return false
		}
		sleep(ctx, jitter(leaseRenewal))
	}
	return false
}
