package workflow

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against a scheduler that stops while the store is unavailable: during
// an outage of 4 s the first step of a job ends, and its next steps must run
// under the leases that workers hold.
func TestNextStepsStartWhileStoreIsUnavailable(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.step(50 * time.Millisecond)
	step := Step{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}, RunTime: 800 * time.Millisecond}
	second, third := step, step
	second.After, third.After = []int{0}, []int{1}
	h.submit("j", step, second, third)
	h.step(50 * time.Millisecond)
	h.o.SetOwnershipConfirmed(h.now, false)
	for outage := h.now + 4*time.Second; h.now < outage; {
		h.step(50 * time.Millisecond)
	}
	if starts := h.starts["a"]; starts != 3 {
		t.Errorf("%d of 3 steps were started while the store was unavailable", starts)
	}
	if h.o.jobs["j"].outcome != JobCompleted {
		t.Error("the job is not completed")
	}
}

// Guards against an owner that extends leases while it may have a successor,
// and against starts that would be cut off at once by the end of the lease.
func TestLeasesEndWhileStoreIsUnavailable(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.step(50 * time.Millisecond)
	granted := h.o.Grant("a").LeaseEnd
	h.o.SetOwnershipConfirmed(h.now, false)
	for h.now < granted-minLeaseLeft {
		h.step(50 * time.Millisecond)
		if g := h.o.Grant("a"); g.LeaseEnd > granted {
			t.Fatalf("the lease was extended from %v to %v", granted, g.LeaseEnd)
		}
	}
	h.submit("late", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}, RunTime: time.Second})
	h.step(50 * time.Millisecond)
	if h.starts["a"] > 0 {
		t.Error("a task was started under a lease that is about to end")
	}
	h.o.SetOwnershipConfirmed(h.now, true)
	h.step(50 * time.Millisecond)
	if h.starts["a"] != 1 {
		t.Error("the task was not started after the store was available again")
	}
}
