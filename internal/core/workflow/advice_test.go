package workflow

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against tasks of an advised queue that start without a ticket, on a
// worker that the policy does not allow, or again after the worker has rejected
// the ticket.
func TestAdvisedQueue(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.o.SetQueues(map[string]Queue{"q": {Name: "q", Service: "svc", MaxAttempts: 3, Advised: true}})
	h.step(100 * time.Millisecond)
	h.submit("j", Step{Tasks: 2, Demand: types.Resources{MilliCPU: 1000}, RunTime: time.Minute})
	h.now += 100 * time.Millisecond
	out := h.o.Poll(h.now, h.now)
	if len(out.Orders) != 0 || len(out.TicketRequests) != 1 || len(out.TicketRequests[0].Workers) != 3 {
		t.Fatalf("without tickets: %d orders, requests %v", len(out.Orders), out.TicketRequests)
	}
	h.o.Advised(h.now, TicketResponse{Step: out.TicketRequests[0].Step, Tickets: map[string]string{"b": "t1"}, Valid: 2 * time.Second})
	h.now += 100 * time.Millisecond
	out = h.o.Poll(h.now, h.now)
	if len(out.Orders) != 2 {
		t.Fatalf("with a ticket: orders %v", out.Orders)
	}
	for _, order := range out.Orders {
		if order.VM != "b" || order.Ticket != "t1" {
			t.Errorf("start on %s with ticket %q, want b and t1", order.VM, order.Ticket)
		}
	}
	h.seq++
	h.o.ApplyResults(h.now, 1, []OrderResult{{Order: out.Orders[0], Result: ResultNoTicket, Seq: h.seq}})
	h.now += 100 * time.Millisecond
	if out = h.o.Poll(h.now, h.now); len(out.Orders) != 0 {
		t.Errorf("starts %v after the ticket was refused", out.Orders)
	}
}

// ticketRequest returns the next ticket request, or nil if there is none within 2 s.
func (h *harness) ticketRequest() *TicketRequest {
	for range 20 {
		h.step(100 * time.Millisecond)
		if requests := h.requests; len(requests) > 0 {
			h.requests = nil
			return &requests[0]
		}
	}
	return nil
}

// Load: more workers than a ticket request names. Guards against a job that waits for
// good because the policy allows none of the workers named first, or only ones that
// are full (review, "Tried without a case").
func TestTicketRequestsReachAllWorkers(t *testing.T) {
	for name, allowedFirst := range map[string]string{"none of the first": "", "a full one of the first": "a"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, maxTicketWorkers+4, nil)
			h.o.SetQueues(map[string]Queue{"q": {Name: "q", Service: "svc", MaxAttempts: 3, Advised: true}, "full": {Name: "full", Service: "svc"}})
			h.step(100 * time.Millisecond)
			last := h.vms[len(h.vms)-1]
			h.o.vms["a"].reserved.MilliCPU = harnessMilliCPU
			h.submit("j", Step{Tasks: 2, Demand: types.Resources{MilliCPU: 1000}, RunTime: time.Minute})
			for range 4 {
				q := h.ticketRequest()
				if q == nil {
					break
				}
				tickets := map[string]string{}
				for _, id := range q.Workers {
					if id == allowedFirst || id == string(last) {
						tickets[id] = "t"
					}
				}
				h.o.Advised(h.now, TicketResponse{Step: q.Step, Tickets: tickets, Valid: 5 * time.Second})
			}
			if n := len(h.running[last]); n != 2 {
				t.Errorf("%d tasks run on the allowed VM with room, want 2", n)
			}
		})
	}
}

// Guards against tickets that are lost while their VM cannot be used for a moment.
func TestTicketsOutlastAPauseOfTheirVM(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.o.SetQueues(map[string]Queue{"q": {Name: "q", Service: "svc", MaxAttempts: 3, Advised: true}})
	h.step(100 * time.Millisecond)
	h.submit("j", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}, RunTime: time.Minute})
	q := h.ticketRequest()
	h.o.Advised(h.now, TicketResponse{Step: q.Step, Tickets: map[string]string{"a": "t"}, Valid: 5 * time.Second})
	h.o.vms["a"].noRoomUntil = h.now + time.Second
	h.overTarget(2 * time.Second)
	if n := len(h.running["a"]); n != 1 {
		t.Errorf("%d tasks run on the VM with the ticket after its pause, want 1", n)
	}
}

// policy answers the ticket requests of a harness one at a time, as the policy service
// does. Tickets are valid for 3 s.
type policy struct {
	h       *harness
	allowed map[types.VMID]bool
	// busyUntil is when the service has answered the request in progress.
	busyUntil time.Duration
	// named counts how often the requests named each worker.
	named map[types.VMID]int
}

func newPolicy(h *harness, allowed ...types.VMID) *policy {
	p := &policy{h: h, allowed: make(map[types.VMID]bool), named: make(map[types.VMID]int)}
	for _, vm := range allowed {
		p.allowed[vm] = true
	}
	h.o.SetQueues(map[string]Queue{"q": {Name: "q", Service: "svc", MaxAttempts: 3, Advised: true}, "other": {Name: "other", Service: "svc"}})
	h.step(100 * time.Millisecond)
	return p
}

// run advances the harness. An answer takes 50 ms, and 5 ms more for each worker.
func (p *policy) run(d time.Duration) {
	for end := p.h.now + d; p.h.now < end; {
		p.h.step(50 * time.Millisecond)
		if len(p.h.requests) == 0 {
			p.busyUntil = 0
			continue
		}
		q := p.h.requests[0]
		if p.busyUntil == 0 {
			p.busyUntil = p.h.now + 50*time.Millisecond + time.Duration(len(q.Workers))*5*time.Millisecond
		}
		if p.h.now < p.busyUntil {
			continue
		}
		tickets := make(map[string]string)
		for _, id := range q.Workers {
			p.named[types.VMID(id)]++
			if p.allowed[types.VMID(id)] {
				tickets[id] = "t"
			}
		}
		p.h.requests, p.busyUntil = p.h.requests[1:], 0
		p.h.o.Advised(p.h.now, TicketResponse{Step: q.Step, Tickets: tickets, Valid: 3 * time.Second})
	}
}

// lose ends a VM for good, and the other members of gangs that run there.
func (h *harness) lose(vm types.VMID) {
	for lost, run := range h.running[vm] {
		for _, runs := range h.running {
			maps.DeleteFunc(runs, func(key TaskKey, _ *harnessRun) bool {
				return run.spec.Gang && key.Job == lost.Job && key.Step == lost.Step
			})
		}
	}
	h.vms = slices.DeleteFunc(h.vms, func(other types.VMID) bool { return other == vm })
	delete(h.running, vm)
	h.seq++ // the call that finds no worker is newer than all answers
	h.o.Report(h.now, Report{VM: vm, Agent: 1, Gone: true, ListSeq: h.seq})
}

// countRunning returns how many tasks run.
func (h *harness) countRunning() int {
	n := 0
	for _, runs := range h.running {
		n += len(runs)
	}
	return n
}

// The first time within which a standing task must run again after a loss (LOST).
const lastingTaskTimeout = 6 * time.Second

// Load: more workers than a ticket request names, and a ticket for a worker that the
// waiting tasks cannot use. Guards against a step that renews this ticket for good and
// never asks for those that it lacks (review/8).
func TestTicketsAreRequestedForWaitingTasks(t *testing.T) {
	spread := standingStep(2)
	spread.MaxPerVM = 1
	wide := Step{Tasks: 5, Demand: types.Resources{MilliCPU: 1000}, RunTime: time.Hour, MaxPerVM: 1}
	gang := Step{Tasks: 5, Demand: types.Resources{MilliCPU: harnessMilliCPU}, RunTime: time.Hour, Gang: true}
	large := Step{Tasks: 5, Demand: types.Resources{MilliCPU: harnessMilliCPU - 1000}, RunTime: time.Hour}
	for name, test := range map[string]struct {
		step Step
		lost bool // the worker of one task is lost
	}{
		"limit per VM after a loss":              {spread, true},
		"limit per VM, wider than one answer":    {wide, false},
		"gang, wider than one answer":            {gang, false},
		"full workers, wider than one answer":    {large, false},
		"gang, wider than one answer and a loss": {gang, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2*maxTicketWorkers+4, nil)
			all := slices.Clone(h.vms)
			p := newPolicy(h, append(slices.Clone(all[:2]), all[len(all)-4:]...)...)
			h.submit("j", test.step)
			p.run(3 * time.Second)
			if test.lost {
				h.lose(all[0])
				p.run(lastingTaskTimeout)
			}
			if n := h.countRunning(); n != test.step.Tasks {
				t.Errorf("%d of %d tasks run, though the allowed workers have room", n, test.step.Tasks)
			}
		})
	}
}

// Load: a step that waits for a long time. Guards against requests that ask again
// about workers that the policy does not allow, while others of the service wait for
// its answers.
func TestRefusedWorkersAreNotNamedAgain(t *testing.T) {
	h := newHarness(t, maxTicketWorkers+4, nil)
	last := h.vms[len(h.vms)-1]
	p := newPolicy(h, last)
	h.o.vms[last].reserved.MilliCPU = harnessMilliCPU
	h.submit("j", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}, RunTime: time.Hour})
	p.run(refusalLifetime - time.Second)
	delete(p.named, last)
	for vm, n := range p.named {
		if n > 1 {
			t.Fatalf("worker %q was named %d times in %v, want once", vm, n, refusalLifetime)
		}
	}
	h.o.vms[last].reserved.MilliCPU = 0
	p.run(time.Second)
	if n := h.countRunning(); n != 1 {
		t.Error("the task does not run 1 s after the allowed worker has room")
	}
}

// Guards against work far from its data because the workers of that rack are not among
// the first ones named.
func TestTicketsAreRequestedForTheRackOfTheData(t *testing.T) {
	h := newHarness(t, maxTicketWorkers+4, nil)
	last := h.vms[len(h.vms)-1]
	p := newPolicy(h, h.vms...)
	h.o.vms[last].upstream.Rack = "r9"
	h.racks = map[types.VMID]types.Rack{last: "r9"}
	h.submit("j", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}, RunTime: time.Hour, DataRack: "r9"})
	p.run(time.Second)
	if n := len(h.running[last]); n != 1 {
		t.Error("the task does not run on the rack of its data")
	}
}

// Guards against a quarantined worker that is the only one allowed, and gets no ticket
// when it is due for a probe because another one, which is full, has one.
func TestTicketForTheProbeOfAQuarantinedWorker(t *testing.T) {
	h := quarantineHarness(t)
	p := newPolicy(h, "a", "b")
	h.o.vms["a"].reserved.MilliCPU = harnessMilliCPU
	h.submit("j", batchStep(1))
	p.run(time.Second)
	if h.starts["b"] == 0 || h.o.jobs["j"] != nil && h.o.jobs["j"].outcome != JobCompleted {
		t.Error("the task has not run on the quarantined worker, the only allowed one with room")
	}
}

// Guards against any step of an advised queue that waits although allowed workers have
// room, for workers that are few or many, full, allowed or not, and lost on the way.
func TestPropertyAdvisedStepsStart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, rapid.IntRange(3, 100).Draw(rt, "workers"), nil)
		share := rapid.IntRange(1, 10).Draw(rt, "share of allowed workers")
		room := make(map[types.VMID]int64) // in tasks of 4 cores
		var allowed []types.VMID
		for _, vm := range h.vms {
			if rapid.IntRange(0, 9).Draw(rt, "allowed") < share {
				allowed = append(allowed, vm)
				room[vm] = rapid.Int64Range(0, 4).Draw(rt, "room")
			}
		}
		p := newPolicy(h, allowed...)
		for vm, n := range room {
			h.o.vms[vm].reserved.MilliCPU = (4 - n) * harnessMilliCPU / 4
		}
		step := Step{
			Demand: types.Resources{MilliCPU: harnessMilliCPU / 4}, RunTime: time.Hour, MaxPerVM: rapid.IntRange(0, 2).Draw(rt, "limit"),
			Gang: rapid.Bool().Draw(rt, "gang"), Tasks: 1,
		}
		slots := func() (n int) {
			for vm := range maps.Keys(room) {
				if limit := int64(step.MaxPerVM); limit > 0 {
					n += int(min(room[vm], limit))
				} else {
					n += int(room[vm])
				}
			}
			return n
		}
		if slots() == 0 {
			return
		}
		step.Tasks = rapid.IntRange(1, min(slots(), 40)).Draw(rt, "tasks")
		h.submit("j", step)
		p.run(3 * time.Second)
		if n := h.countRunning(); n != step.Tasks {
			rt.Fatalf("%d of %d tasks run in 3 s, though the allowed workers have room for %d", n, step.Tasks, slots())
		}
		lost := rapid.SampledFrom(allowed).Draw(rt, "lost")
		delete(room, lost)
		h.lose(lost)
		if slots() < step.Tasks {
			return
		}
		p.run(lastingTaskTimeout)
		if n := h.countRunning(); n != step.Tasks {
			rt.Fatalf("%d of %d tasks run %v after the loss of a worker, though the others have room for %d", n, step.Tasks, lastingTaskTimeout, slots())
		}
	})
}
