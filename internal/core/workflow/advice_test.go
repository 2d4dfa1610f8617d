package workflow

import (
	"testing"
	"time"

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
