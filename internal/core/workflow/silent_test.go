package workflow

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// silentHarness has a task on VM a, and returns the last report of a's agent.
func silentHarness(t *testing.T, answered bool) (*harness, Report) {
	t.Helper()
	h := newHarness(t, 2, nil)
	h.step(120 * time.Millisecond)
	h.submit("j", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 2000}, RunTime: time.Hour})
	h.o.vms["b"].slowUntil = h.now + time.Second
	h.now += 120 * time.Millisecond
	orders := h.o.Poll(h.now, h.now).Orders
	if len(orders) != 1 || orders[0].VM != "a" {
		t.Fatalf("orders %+v, want one start on VM a", orders)
	}
	h.o.vms["b"].slowUntil = 0
	result := OrderResult{Order: orders[0], Result: ResultUnknown}
	if answered {
		h.carryOut(orders[0])
		h.seq++
		result.Result, result.Seq = ResultDone, h.seq
	}
	h.o.ApplyResults(h.now, 1, []OrderResult{result})
	h.seq++
	return h, h.report("a", 0)
}

// Guards against tasks that wait forever on a worker that answers nothing, while its
// agent goes on and repeats the last report: the lease of the worker must expire, and
// the repeated report must not make its VM usable again.
func TestLeaseOfSilentWorkerExpires(t *testing.T) {
	for name, answered := range map[string]bool{"listed run": true, "unanswered start": false} {
		t.Run(name, func(t *testing.T) {
			h, repeated := silentHarness(t, answered)
			startedOnB := false
			for end := h.now + 12*time.Second; h.now < end; h.now += 240 * time.Millisecond {
				h.seq++
				h.o.Report(h.now, h.report("b", 0))
				h.o.Grant("b")
				h.o.Report(h.now, repeated)
				h.o.Grant("a")
				for _, order := range h.o.Poll(h.now, h.now).Orders {
					if order.VM == "b" {
						startedOnB = startedOnB || order.Kind == OrderStart
						h.carryOut(order)
						h.seq++
						h.o.ApplyResults(h.now, 1, []OrderResult{{Order: order, Result: ResultDone, Seq: h.seq}})
						continue
					}
					h.o.ApplyResults(h.now, 1, []OrderResult{{Order: order, Result: ResultUnknown}})
				}
			}
			if !startedOnB {
				t.Error("the task has not been started on another VM 12 s after its worker fell silent")
			}
			if a := h.o.vms["a"]; a.reached || !a.provenIdle {
				t.Errorf("VM a: reached %t, idle %t, want a VM that is out of reach", a.reached, a.provenIdle)
			}
			h.seq++
			h.o.Report(h.now, h.report("a", 0))
			if !h.o.vms["a"].reached {
				t.Error("VM a is not reached after its worker has answered again")
			}
		})
	}
}
