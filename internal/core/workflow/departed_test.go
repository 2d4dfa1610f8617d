package workflow

import (
	"testing"
	"time"
)

// Guards against VMs that count as having left although something may still
// run or start there, and against VMs that have left but do not count as such: a new
// owner would wait for their leases, for instance after many workers have left.
func TestDepartedWorkers(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.step(120 * time.Millisecond)
	h.submit("j", fillingStep("f", 1))
	h.step(120 * time.Millisecond)
	draining := func() Report {
		h.seq++
		r := h.report("a", 0)
		r.Upstream.Draining = true
		return r
	}
	gone := Report{VM: "a", Agent: 1, Gone: true}
	h.o.Report(h.now, draining())
	if h.o.HasLeft("a") {
		t.Error("a draining worker counts as having left")
	}
	h.o.Report(h.now, gone)
	if !h.o.HasLeft("a") {
		t.Error("a worker that ended after draining does not count as having left")
	}
	h.seq++
	r := h.report("a", 0)
	r.Boot.Born, r.Upstream.Boot.Born, r.Running = 2, 2, nil
	h.o.Report(h.now, r)
	if h.o.HasLeft("a") {
		t.Error("a restarted worker counts as having left")
	}
	h.o.Report(h.now, gone)
	if h.o.HasLeft("a") {
		t.Error("a crashed worker counts as having left")
	}
}

// Guards against a VM that counts as having left while an unanswered start may
// still be carried out by a later boot of its worker.
func TestWorkerWithUnansweredStartHasNotDeparted(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.step(120 * time.Millisecond)
	h.submit("j", fillingStep("f", 1))
	h.now += 120 * time.Millisecond
	if orders := h.o.Poll(h.now, h.now).Orders; len(orders) != 1 {
		t.Fatalf("%d orders, want a start", len(orders))
	}
	h.seq++
	r := h.report("a", 0)
	r.Upstream.Draining = true
	h.o.Report(h.now, r)
	h.o.Report(h.now, Report{VM: "a", Agent: 1, Gone: true})
	if h.o.HasLeft("a") {
		t.Error("a worker counts as having left while a start has no answer")
	}
}
