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
	b := newHarness(t, 1, nil)
	b.step(50 * time.Millisecond)
	step := Step{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}, RunTime: 800 * time.Millisecond}
	second, third := step, step
	second.After, third.After = []int{0}, []int{1}
	b.submit("j", step, second, third)
	b.step(50 * time.Millisecond)
	b.o.SetOwnershipConfirmed(b.now, false)
	for outage := b.now + 4*time.Second; b.now < outage; {
		b.step(50 * time.Millisecond)
	}
	if starts := b.starts["a"]; starts != 3 {
		t.Errorf("%d of 3 steps were started while the store was unavailable", starts)
	}
	if b.o.jobs["j"].outcome != JobCompleted {
		t.Error("the job is not completed")
	}
}

// Guards against an owner that extends leases while it may have a successor,
// and against starts that would be cut off at once by the end of the lease.
func TestLeasesEndWhileStoreIsUnavailable(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.step(50 * time.Millisecond)
	granted := b.o.Grant("a").LeaseEnd
	b.o.SetOwnershipConfirmed(b.now, false)
	for b.now < granted-minLeaseLeft {
		b.step(50 * time.Millisecond)
		if g := b.o.Grant("a"); g.LeaseEnd > granted {
			t.Fatalf("the lease was extended from %v to %v", granted, g.LeaseEnd)
		}
	}
	b.submit("late", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}, RunTime: time.Second})
	b.step(50 * time.Millisecond)
	if b.starts["a"] > 0 {
		t.Error("a task was started under a lease that is about to end")
	}
	b.o.SetOwnershipConfirmed(b.now, true)
	b.step(50 * time.Millisecond)
	if b.starts["a"] != 1 {
		t.Error("the task was not started after the store was available again")
	}
}
