package workflow

import (
	"testing"
	"time"
)

// Guards against VMs that count as having left although something may still
// run or start there, and against VMs that have left but do not count as such: a new
// owner would wait for their leases, for instance after many workers have left.
func TestDepartedWorkers(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.step(120 * time.Millisecond)
	b.submit("j", fillingStep("f", 1))
	b.step(120 * time.Millisecond)
	draining := func() Report {
		b.seq++
		r := b.report("a", 0)
		r.Upstream.Draining = true
		return r
	}
	gone := Report{VM: "a", Agent: 1, Gone: true}
	b.o.Report(b.now, draining())
	if b.o.HasLeft("a") {
		t.Error("a draining worker counts as having left")
	}
	b.o.Report(b.now, gone)
	if !b.o.HasLeft("a") {
		t.Error("a worker that ended after draining does not count as having left")
	}
	b.seq++
	r := b.report("a", 0)
	r.Boot.Born, r.Upstream.Boot.Born, r.Running = 2, 2, nil
	b.o.Report(b.now, r)
	if b.o.HasLeft("a") {
		t.Error("a restarted worker counts as having left")
	}
	b.o.Report(b.now, gone)
	if b.o.HasLeft("a") {
		t.Error("a crashed worker counts as having left")
	}
}

// Guards against a VM that counts as having left while an unanswered start may
// still be carried out by a later boot of its worker.
func TestWorkerWithUnansweredStartHasNotDeparted(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.step(120 * time.Millisecond)
	b.submit("j", fillingStep("f", 1))
	b.now += 120 * time.Millisecond
	if orders := b.o.Poll(b.now, b.now).Orders; len(orders) != 1 {
		t.Fatalf("%d orders, want a start", len(orders))
	}
	b.seq++
	r := b.report("a", 0)
	r.Upstream.Draining = true
	b.o.Report(b.now, r)
	b.o.Report(b.now, Report{VM: "a", Agent: 1, Gone: true})
	if b.o.HasLeft("a") {
		t.Error("a worker counts as having left while a start has no answer")
	}
}
