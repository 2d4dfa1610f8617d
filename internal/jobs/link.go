package jobs

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/agentapi"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Times of the link to an agent.
const (
	// watchWait is how long an agent waits for news, and so how often the figures
	// of tasks are read. They cover the last half second and slide with it: with
	// readings every 120 ms in place of 500 a task that presses on standing ones
	// is slowed down sooner. watchWaitPerVM bounds the owner's traffic.
	watchWait      = 120 * time.Millisecond
	watchWaitPerVM = 4 * time.Millisecond
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
	t       *term
	vm      types.VMID
	row     agentRow
	client  *agentapi.Client
	cancel  context.CancelFunc
	sendCtx context.Context
}

// connect opens links to agents that are new or have moved.
func (t *term) connect(ctx context.Context, agents map[types.VMID]agentRow) {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	for vm, row := range agents {
		old := t.links[vm]
		if old != nil && old.row.Address == row.Address {
			continue
		}
		if old != nil {
			old.cancel()
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{t: t, vm: vm, row: row, client: agentapi.NewClient(vm, row.Address, t.c.opts.Agents), cancel: cancel, sendCtx: linkCtx}
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
		err := l.watch(ctx)
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

// watch makes one call and hands the report to the core.
func (l *link) watch(ctx context.Context) error {
	var grant workflow.Grant
	if err := l.t.state.Do(func(o *workflow.Owner) {
		l.t.confirm(o)
		grant = o.Grant(l.vm)
	}); err != nil {
		return err
	}
	wait := l.t.watchWait()
	callCtx, cancel := context.WithTimeout(ctx, 2*wait+callGrace)
	defer cancel()
	report, err := l.client.Watch(callCtx, grant, wait)
	if err != nil {
		return err
	}
	l.t.step(func(o *workflow.Owner) { o.Report(clock.Now(), report) })
	return nil
}

// watchWait returns how long agents wait for news.
func (t *term) watchWait() time.Duration {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	return max(watchWait, time.Duration(len(t.links))*watchWaitPerVM)
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
		l.t.step(func(o *workflow.Owner) { o.Results(clock.Now(), agent, results) })
	}()
}

// forget deletes the row of a VM that has been out of reach for long, and
// reports whether it did.
func (l *link) forget(ctx context.Context) bool {
	var away time.Duration
	var lapsed bool
	if err := l.t.state.Do(func(o *workflow.Owner) { away, lapsed = o.LapsedFor(clock.Now(), l.vm) }); err != nil {
		return false
	}
	if !lapsed || away < forgetAfter || !l.t.mayAct(clock.Now()) {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := l.t.c.opts.Table.Commit(callCtx, platform.Txn{Writes: []platform.Write{{Key: prefixAgent + string(l.vm), Delete: true}}})
	if err != nil {
		return false // tried again after the next failed call
	}
	l.t.log.Log(eventAgentForgotten, nil, telemetry.Fields{"vm": l.vm})
	l.t.state.Tell(func(o *workflow.Owner) { o.RemoveVM(l.vm) })
	l.t.linksMu.Lock()
	defer l.t.linksMu.Unlock()
	delete(l.t.links, l.vm)
	return true
}
