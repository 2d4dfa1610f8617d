package shard

import (
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// round advances the time by one second and lets every process act.
func (m *model) round() {
	m.now += time.Second
	for i := range m.owners {
		if !m.owners[i].frozen {
			m.stepLease(i)
		}
	}
	for _, worker := range m.workers {
		if !worker.frozen && !worker.unreachable {
			m.sendHeartbeats(worker)
		}
	}
	for i := range m.owners {
		// Four polls are enough for a batch, its commit and the commands that
		// depend on it.
		for range 4 {
			if m.owners[i].frozen || m.owners[i].owner == nil || !m.poll(i) {
				break
			}
		}
	}
}

// stepLease lets a process renew its lease, or observe the lease of the other
// process and take it over.
func (m *model) stepLease(i int) {
	o := m.owners[i]
	if o.owner != nil && (o.owner.Lost() || o.holder.Lost()) {
		o.owner, o.holder = nil, nil
	}
	if m.tableDown || o.isolated {
		return
	}
	key := lease.Key(testShard)
	read := func() (lease.Row, uint64, bool) {
		return m.leaseRow, m.table.rows[key].Revision, m.table.rows[key].Revision != 0
	}
	if o.holder == nil {
		row, rev, ok := read()
		o.observer.Observe(row, rev, ok, m.now, nil)
		if take, ok := o.observer.TryTakeover(m.now, nil); ok {
			m.takeOver(i, take)
		}
		return
	}
	renewal, ok := o.holder.BeginRenewal(m.now)
	if !ok {
		return
	}
	if _, rev, _ := read(); rev != renewal.Revision {
		row, rev, ok := read()
		o.holder.Observed(row, rev, ok)
		return
	}
	m.leaseRow = renewal.Row
	o.holder.Committed(m.table.put(key, nil).Revision)
	o.owner.SetLease(m.scenario.leaseUntil(o.holder.ValidUntil()))
}

// takeOver writes the new lease and fence rows and starts an owner on the
// process.
func (m *model) takeOver(i int, take lease.Takeover) {
	o := m.owners[i]
	m.leaseRow = take.Row
	rev := m.table.put(lease.Key(testShard), nil).Revision
	cfg := m.scenario.config()
	cfg.Incarnation = o.incarnation
	cfg.Epoch = take.Row.Epoch
	cfg.FenceRevision = m.table.put(lease.FenceKey(testShard), nil).Revision
	o.holder = lease.NewHolder(modelLease(), take.Row, rev, m.now)
	o.owner = NewOwner(cfg, modelMembers(), otherVMPlacer{}, m.now)
	o.owner.SetLease(m.scenario.leaseUntil(o.holder.ValidUntil()))
	o.owner.SetVMs(m.inventory)
	o.owner.Recover(m.table.scan(task.JobPrefix(testShard)), m.table.scan(task.Prefix(testShard)))
}

// sendHeartbeats sends heartbeats and a report to every owner. Two heartbeats
// are sent to each owner, so that the worker answers the owner's challenge
// within the round.
func (m *model) sendHeartbeats(worker *modelWorker) {
	for i, o := range m.owners {
		if o.owner == nil || o.frozen || (worker.reachesOnlyFirst && i == 1) {
			continue
		}
		for range 2 {
			reply, ok := o.owner.Heartbeat(m.now, worker.heartbeat(m.now+worker.offset))
			if !ok {
				break
			}
			if m.roundFault == "delay replies" {
				m.send(message{kind: "reply", reply: &reply})
				break
			}
			m.deliver(message{kind: "reply", reply: &reply}, false)
		}
		report := worker.buildReport(m.now + worker.offset)
		if m.roundFault == "delay reports" {
			m.send(message{kind: "report", owner: i, report: &report})
		} else {
			m.deliver(message{kind: "report", owner: i, report: &report}, false)
		}
	}
}

// poll polls an owner and executes its output. It returns whether the output
// had a batch or a read.
func (m *model) poll(i int) bool {
	o := m.owners[i].owner
	m.scenario.beforePoll(o)
	out := o.Poll(m.now)
	m.scenario.afterPoll(o, &out, m.now)
	for _, v := range out.Violations {
		m.fail("%v", v)
	}
	for _, p := range out.Problems {
		m.fail("%v", p)
	}
	stalled := m.roundFault == fmt.Sprint("stall owner ", i)
	if out.Batch != nil {
		m.batch(i, out.Batch, stalled)
	}
	for _, c := range out.Commands {
		msg := message{kind: "command", command: &c}
		if stalled || m.roundFault == "delay commands" {
			m.send(msg)
			continue
		}
		if m.roundFault == "duplicate commands" {
			m.send(msg)
		}
		m.deliver(msg, false)
	}
	if out.Read != nil {
		o.ReadDone(m.now, out.Read.ID, m.table.read(out.Read.Keys), !m.tableDown && !m.owners[i].isolated)
	}
	m.owners[i].frozen = stalled // until a "thaw owner" move
	return out.Batch != nil || out.Read != nil
}

// batch executes a table batch and passes its outcome to the owner.
func (m *model) batch(i int, b *Batch, stalled bool) {
	o := m.owners[i].owner
	switch {
	case stalled || m.roundFault == "delay batch":
		m.send(message{kind: "batch", batch: b})
		o.BatchDone(m.now, b.ID, BatchUncertain, 0, nil)
	case m.tableDown || m.owners[i].isolated:
		o.BatchDone(m.now, b.ID, BatchUnavailable, 0, nil)
	default:
		rev, ok := m.table.commit(b, m.scenario.noFence)
		m.check()
		switch {
		case m.roundFault == "lose answer":
			o.BatchDone(m.now, b.ID, BatchUncertain, 0, nil)
		case ok:
			o.BatchDone(m.now, b.ID, BatchCommitted, rev, nil)
		default:
			o.BatchDone(m.now, b.ID, BatchConflict, 0, m.table.read(b.Keys()))
		}
	}
}

// send puts a message in transit. It may be delivered later or never.
func (m *model) send(msg message) {
	m.inTransit = append(m.inTransit, msg)
}

// deliver delivers a message, keeps it if the receiver is frozen, or drops it
// if the receiver is cut off. late is set for messages that were already in
// transit and therefore reach a receiver that was cut off in the meantime.
func (m *model) deliver(msg message, late bool) {
	defer m.checkRunning()
	switch msg.kind {
	case "batch":
		if !m.tableDown {
			m.table.commit(msg.batch, m.scenario.noFence)
		}
	case "report":
		o := m.owners[msg.owner]
		if o.frozen {
			m.send(msg)
		} else if o.owner != nil {
			m.scenario.report(o.owner, m.now, msg.report)
		}
	case "reply":
		worker := m.workerOf(msg.reply.Ack.VM)
		if worker.frozen {
			m.send(msg)
		} else if (late || !worker.unreachable) && msg.reply.Ack.Incarnation == worker.incarnation {
			m.scenario.acked(worker, m.now+worker.offset, *msg.reply)
		}
	case "command":
		m.deliverCommand(msg, late)
	}
}

func (m *model) deliverCommand(msg message, late bool) {
	worker := m.workerOf(msg.command.VM)
	if worker.frozen {
		m.send(msg)
		return
	}
	if worker.unreachable && !late {
		return
	}
	c := m.scenario.command(worker, *msg.command)
	if worker.command(m.now+worker.offset, c) != Execute || c.Kind != CommandStart {
		return
	}
	if c.Task != modelTask {
		return
	}
	if on, ok := m.startedOn[c.Attempt]; ok && on != c.VM {
		m.fail("attempt %d was started on two VMs", c.Attempt)
	}
	m.startedOn[c.Attempt] = c.VM
	if m.hasCheckpoint && c.Checkpoint == "" {
		m.fail("attempt %d of an evicted task was started without its checkpoint", c.Attempt)
	}
}

func (m *model) workerOf(vm types.VMID) *modelWorker {
	for _, worker := range m.workers {
		if worker.vm == vm {
			return worker
		}
	}
	return nil
}
