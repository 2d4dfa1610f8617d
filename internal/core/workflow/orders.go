package workflow

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// longestOrderDelay is how long after it was sent an order without answer may
// still be carried out: the platform states 12 s, and clocks drift.
const longestOrderDelay = 13 * time.Second

// stray stops a run that is none of the owner's.
func (o *Owner) stray(v *vm, k TaskKey, run uint64) {
	id := runID{k, run}
	if last, ok := v.foreign[id]; ok && o.now < last+o.cfg.StopRetry {
		return
	}
	v.foreign[id] = o.now
	o.orders = append(o.orders, Order{Kind: OrderStop, VM: v.id, Boot: v.boot, Task: k, Run: run})
}

// Results applies the answers to orders that were given to an agent.
func (o *Owner) Results(now time.Duration, agent types.Incarnation, results []OrderResult) {
	o.now = now
	for i := range results {
		r := &results[i]
		if r.Result == ResultFenced {
			o.deposed = true
			return
		}
		t := o.find(r.Order.Task)
		if t == nil || t.run != r.Order.Run || !t.phase.live() || t.vmID() != r.Order.VM {
			continue
		}
		switch r.Order.Kind {
		case OrderStart:
			o.startAnswered(t, agent, r)
		case OrderStop:
			o.stopAnswered(t, agent, r)
		case OrderPace:
			if r.Result == ResultDone {
				t.pace = r.Order.Pace
			}
		}
	}
}

func (o *Owner) startAnswered(t *task, agent types.Incarnation, r *OrderResult) {
	t.inFlight = false
	switch r.Result {
	case ResultDone:
		t.settledSeq, t.settledBy = r.Seq, agent
		if t.phase == phaseStarting {
			o.running(t)
		}
	case ResultUnknown, ResultWrongBoot, ResultOldRun:
		// A run that is not lower has been seen, or the run may begin later. One
		// that a list has shown since then goes on.
		if t.phase == phaseStarting {
			o.stop(t)
		}
	case ResultNoTicket:
		delete(t.step.tickets.held, t.vm.id)
		o.again(t, r.Result.String())
	case ResultNoRoom:
		t.vm.noRoomUntil = o.now + noRoomRest
		o.again(t, r.Result.String())
	case ResultRefused:
		t.vm.restUntil = o.now + refusedRest
		o.again(t, r.Result.String())
	case ResultInvalid:
		t.notBefore = o.now + invalidRest
		o.again(t, r.Result.String())
	default:
		o.again(t, r.Result.String())
	}
}

func (o *Owner) stopAnswered(t *task, agent types.Incarnation, r *OrderResult) {
	t.inFlight = false
	if r.Result == ResultDone && t.phase == phaseStopping && r.Order.Boot.Born == t.vm.boot.Born {
		t.stopAcked = true
		t.settledSeq, t.settledBy = r.Seq, agent
	}
}

// stops repeats the stops that are not proved.
func (o *Owner) stops() {
	for _, v := range o.vmOrder {
		if v.boot.Born == 0 {
			o.dropLate(v)
			continue
		}
		for _, t := range v.tasks {
			if t.phase != phaseStopping || t.inFlight || o.now < t.orderAt+o.stopInterval(t) {
				continue
			}
			t.orderAt = o.now
			t.inFlight = true
			o.orders = append(o.orders, Order{Kind: OrderStop, VM: v.id, Boot: v.boot, Task: t.key(), Run: t.run})
		}
	}
}

// acknowledgedRetries is how many times longer a stop is repeated that the worker
// has acknowledged: a list that was asked for after the acknowledgement proves
// the end, and a repeat would make it count from anew.
const acknowledgedRetries = 10

// stopInterval returns the time between repeats of a task's stop.
func (o *Owner) stopInterval(t *task) time.Duration {
	if t.stopAcked {
		return acknowledgedRetries * o.cfg.StopRetry
	}
	return o.cfg.StopRetry
}

// dropLate lets tasks go whose starts a worker that is gone can have kept.
func (o *Owner) dropLate(v *vm) {
	for _, t := range slices.Clone(v.tasks) {
		if o.now >= t.startedAt+longestOrderDelay {
			o.again(t, "worker is gone and its late orders are over")
		}
	}
}

// lapse ends what ran on workers whose leases have surely run out, and lets
// held jobs go once nothing of an earlier owner can be unknown.
func (o *Owner) lapse() {
	if !o.confirmed {
		return
	}
	settled := true
	for _, v := range o.vmOrder {
		if !v.lapsed && o.now >= o.lapsesAt(v) {
			o.note(Decision{Kind: DecisionVMLost, VM: v.id, Reason: "lease has run out", Age: o.now - v.contact})
			o.lose(v, false, "lease has run out")
			v.lapsed, v.reached = true, false
		}
		settled = settled && (v.reached || v.lapsed)
	}
	if settled && !o.clear {
		o.clear = true
		o.placeDue = true
	}
}

// lapsesAt returns when nothing granted to the VM's worker can last any longer.
func (o *Owner) lapsesAt(v *vm) time.Duration {
	if v.granted == 0 {
		return v.unreachedSince + slow(o.cfg.LongestHold, o.cfg.ClockDrift) + lapseMargin
	}
	return v.clockAt + slow(v.granted-v.clock, o.cfg.ClockDrift) + lapseMargin
}

// slow returns the longest true time that a span on a slow clock can take.
func slow(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) / (1 - drift))
}
