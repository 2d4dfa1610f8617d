package workflow

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// maxOrderDelay is how long after it was sent an unanswered order may still be
// carried out: 12 s by the platform's specification, plus clock drift.
const maxOrderDelay = 13 * time.Second

// ApplyResults applies the answers to orders that an agent has forwarded.
func (o *Owner) ApplyResults(now time.Duration, agent types.Incarnation, results []OrderResult) {
	o.now = now
	for i := range results {
		r := &results[i]
		if r.Result == ResultFenced {
			o.superseded = true
			return
		}
		t := o.findRun(o.vms[r.Order.VM], r.Order.Task, r.Order.Run)
		if t == nil || t.run != r.Order.Run || !t.phase.live() || t.vmID() != r.Order.VM {
			continue
		}
		switch r.Order.Kind {
		case OrderStart:
			o.applyStartResult(t, agent, r)
		case OrderStop:
			o.applyStopResult(t, agent, r)
		case OrderPace:
			if r.Result == ResultDone {
				t.pace = r.Order.Pace
			}
		}
	}
}

func (o *Owner) applyStartResult(t *task, agent types.Incarnation, r *OrderResult) {
	t.inFlight = false
	switch r.Result {
	case ResultDone:
		t.answerSeq, t.answerAgent = r.Seq, agent
		if t.phase == phaseStarting {
			o.markRunning(t)
		}
	case ResultUnknown, ResultWrongBoot, ResultOldRun:
		// The worker has seen the same or a higher run number, or the run may
		// still begin later. If a list has shown the run since, it is already
		// running and continues.
		if t.phase == phaseStarting {
			o.stop(t)
		}
	case ResultNoTicket:
		t.step.tickets.reject(o.now, t.vm)
		o.requeue(t, r.Result.String())
	case ResultNoRoom:
		t.vm.noRoomUntil = o.now + noRoomBackoff
		o.requeue(t, r.Result.String())
	case ResultRefused:
		t.vm.refusedUntil = o.now + refusedBackoff
		o.requeue(t, r.Result.String())
	case ResultInvalid:
		t.notBefore = o.now + invalidBackoff
		o.requeue(t, r.Result.String())
	default:
		o.requeue(t, r.Result.String())
	}
}

func (o *Owner) applyStopResult(t *task, agent types.Incarnation, r *OrderResult) {
	t.inFlight = false
	if r.Result == ResultDone && t.phase == phaseStopping && r.Order.Boot.Born == t.vm.boot.Born {
		t.stopAcked = true
		t.answerSeq, t.answerAgent = r.Seq, agent
	}
}

// sendStops sends the first and the repeated stops of runs that have not
// provably ended, and requeues the tasks of workers that are gone.
func (o *Owner) sendStops() {
	for _, v := range o.vmOrder {
		if v.boot.Born == 0 {
			o.requeueUnanswered(v)
			continue
		}
		for _, t := range v.tasks {
			if t.phase != phaseStopping || t.inFlight || o.now < t.orderedAt+o.stopInterval(t) {
				continue
			}
			t.orderedAt = o.now
			t.inFlight = true
			o.orders = append(o.orders, Order{Kind: OrderStop, VM: v.id, Boot: v.boot, Task: t.key(), Run: t.run})
		}
	}
}

// acknowledgedRetryFactor multiplies the interval between repeats of a stop
// that the worker has acknowledged. Only a list requested after the
// acknowledgement proves the end of the run, and each repeat brings a new
// acknowledgement to wait for.
const acknowledgedRetryFactor = 10

// stopInterval returns the time between repeats of a task's stop.
func (o *Owner) stopInterval(t *task) time.Duration {
	if t.stopAcked {
		return acknowledgedRetryFactor * o.cfg.OrderRetry
	}
	return o.cfg.OrderRetry
}

// requeueUnanswered requeues the tasks of a worker that is gone once a start
// sent to it can no longer be carried out.
func (o *Owner) requeueUnanswered(v *vm) {
	for _, t := range slices.Clone(v.tasks) {
		if o.now >= t.startedAt+maxOrderDelay {
			o.requeue(t, "worker is gone and no late order can arrive any more")
		}
	}
}

// expireLeases requeues the tasks of workers whose leases have provably
// expired. It completes the takeover, which lets inherited jobs start, once
// every run that an earlier owner may have started is listed or has provably
// ended.
func (o *Owner) expireLeases() {
	if !o.confirmed {
		return
	}
	allReached := true
	for _, v := range o.vmOrder {
		if !v.provenIdle && o.now >= o.leaseExpiry(v) {
			o.recordDecision(Decision{Kind: DecisionVMLost, VM: v.id, Reason: "lease has expired", Age: o.now - v.lastContact})
			for _, t := range slices.Clone(v.tasks) {
				o.requeue(t, "lease has expired")
			}
			v.provenIdle, v.reached = true, false
		}
		allReached = allReached && (v.reached || v.provenIdle)
	}
	if allReached && !o.takeoverComplete {
		o.takeoverComplete = true
		o.placeDue = true
		o.markDeletable()
	}
}

// leaseExpiry returns when every lease granted to the VM's worker has provably
// expired.
func (o *Owner) leaseExpiry(v *vm) time.Duration {
	if v.grantedUntil == 0 {
		longest := o.cfg.LeaseDuration
		if v.earlierOrders {
			longest = o.cfg.WorkerMaxLease
		}
		return v.unreachedSince + maxTrueDuration(longest, o.cfg.ClockDrift) + leaseMargin
	}
	return v.clockAt + maxTrueDuration(max(v.grantedUntil, v.earlierOrdersUntil)-v.clock, o.cfg.ClockDrift) + leaseMargin
}

// maxTrueDuration returns the longest true time that a duration on a slow clock
// can take.
func maxTrueDuration(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) / (1 - drift))
}
