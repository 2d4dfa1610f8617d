package workflow

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// submitMany submits jobs of one task each, and returns their IDs.
func (h *harness) submitMany(n int, s Step) []types.JobID {
	h.t.Helper()
	ids := make([]types.JobID, n)
	for i := range ids {
		ids[i] = types.JobID(fmt.Sprintf("j%02d", i))
		h.submit(ids[i], s)
	}
	return ids
}

// Load: 40 jobs that arrive at once in a queue with advice. Guards against calls that
// wait at the policy service until their callers give up: the service handled them in
// vain, and the jobs never started (review/7).
func TestPolicyCallsInProgressAreBounded(t *testing.T) {
	h := newHarness(t, 4, nil)
	p := newPolicy(h, h.vms...)
	const jobs = 40
	h.submitMany(jobs, Step{Tasks: 1, Demand: types.Resources{MilliCPU: 100}, RunTime: time.Hour})
	for end := h.now + jobs*200*time.Millisecond; h.now < end; {
		p.run(50 * time.Millisecond)
		if n := len(h.requests); n > maxPolicyCalls {
			t.Fatalf("%d requests wait for the policy service, want at most %d", n, maxPolicyCalls)
		}
	}
	if n := h.countRunning(); n != jobs {
		t.Errorf("%d of %d jobs run", n, jobs)
	}
}

// Load: a policy service that does not answer, or answers late. Guards against calls
// that are repeated while their responses may still arrive, without an end, against steps
// that wait for a lost response of others, and against late tickets that are not used.
func TestLatePolicyCalls(t *testing.T) {
	h := newHarness(t, 4, nil)
	newPolicy(h, h.vms...)
	ids := h.submitMany(8, Step{Tasks: 1, Demand: types.Resources{MilliCPU: 100}, RunTime: time.Hour})
	wait := func(d time.Duration, want int) {
		t.Helper()
		for end := h.now + d; h.now < end; {
			h.step(50 * time.Millisecond)
		}
		if n := len(h.requests); n != want {
			t.Errorf("%d requests without an answer, want %d", n, want)
		}
	}
	wait(latePolicyCall-200*time.Millisecond, maxPolicyCalls)
	wait(time.Second, maxLatePolicyCalls)
	wait(time.Minute, maxLatePolicyCalls)
	h.o.Advised(h.now, TicketResponse{Step: h.requests[0].Step, Tickets: map[string]string{"a": "t"}, Valid: 3 * time.Second})
	h.o.Advised(h.now, TicketResponse{Step: h.requests[1].Step}) // failed
	wait(time.Second, maxLatePolicyCalls+2)
	if n := len(h.running["a"]); n != 1 {
		t.Errorf("%d tasks run after the late answer, want 1", n)
	}
	// The end of a job does not make its request forgotten.
	for _, id := range ids {
		h.o.Cancel(h.now, id, 2)
	}
	for _, q := range h.requests[2:] {
		h.o.Advised(h.now, TicketResponse{Step: q.Step})
	}
	h.requests = nil
	h.submit("last", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 100}, RunTime: time.Hour})
	wait(time.Second, 1)
}

// Load: more waiting steps that no VM has room for than the policy service answers within
// the validity of tickets. Guards against a step that never gets tickets because those
// before it renew theirs.
func TestRenewedTicketsDoNotStarveOthers(t *testing.T) {
	h := newHarness(t, 4, nil)
	p := newPolicy(h, h.vms...)
	for _, vm := range h.vms {
		h.o.vms[vm].reserved.MilliCPU = harnessMilliCPU / 2
	}
	h.submitMany(60, Step{Tasks: 1, Demand: types.Resources{MilliCPU: harnessMilliCPU}, RunTime: time.Hour})
	p.run(5 * time.Second)
	// Its run time puts it behind the others.
	h.submit("small", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 100}, RunTime: 1000 * time.Hour})
	p.run(30 * time.Second)
	if n := h.countRunning(); n != 1 {
		t.Error("the small job does not run, though all VMs have room for it")
	}
}
