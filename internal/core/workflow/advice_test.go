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
