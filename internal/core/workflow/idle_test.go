package workflow

import (
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// lastIdleDecision returns the last decision about an idle step within a time.
func (h *harness) lastIdleDecision(d time.Duration) Decision {
	h.t.Helper()
	var last Decision
	for end := h.now + d; h.now < end; {
		h.now += 120 * time.Millisecond
		for _, decision := range h.o.Poll(h.now, h.now).Decisions {
			if decision.Kind == DecisionWaiting || decision.Kind == DecisionBlocked {
				last = decision
			}
		}
	}
	return last
}

// Guards against a job without a running task for which the log and the metrics do not
// tell whether it lacks a VM, waits for an undecided run, or waits for a takeover.
func TestIdleStepNamesItsCause(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(h *harness)
		cause   IdleCause
		kind    DecisionKind
		reason  string
	}{
		"no room": {
			prepare: func(h *harness) {
				h.step(120 * time.Millisecond)
				h.submit("j", Step{Tasks: 1, Demand: types.Resources{MilliCPU: 2 * harnessMilliCPU}, RunTime: time.Second})
			},
			cause: IdleNoVM, kind: DecisionWaiting, reason: "no room:1",
		},
		"gang": {
			prepare: func(h *harness) {
				h.step(120 * time.Millisecond)
				h.submit("j", Step{Tasks: 3, Demand: types.Resources{MilliCPU: harnessMilliCPU / 2}, RunTime: time.Second, Gang: true})
			},
			cause: IdleNoVM, kind: DecisionWaiting, reason: "2 of 3 members of the gang find a VM",
		},
		"slow": {
			prepare: func(h *harness) {
				h.step(120 * time.Millisecond)
				h.o.vms["a"].slowUntil = h.now + time.Minute
				h.submit("j", fillingStep("f", 1))
			},
			cause: IdleNoVM, kind: DecisionWaiting, reason: "slow:1",
		},
		"unanswered start": {
			prepare: func(h *harness) {
				h.step(120 * time.Millisecond)
				h.submit("j", fillingStep("f", 1))
			},
			cause: IdleUndecidedRun, kind: DecisionBlocked, reason: "start is not answered",
		},
		"takeover": {
			prepare: func(h *harness) {
				h.o.AddVM(h.now, "a")
				job := Job{ID: "j", Queue: "q", Steps: []Step{fillingStep("f", 1)}, Accepted: h.now}
				if err := h.o.AddJob(h.now, h.now, job, JobQueued, 1, Progress{}, false); err != nil {
					h.t.Fatal(err)
				}
			},
			cause: IdleTakeover, kind: DecisionBlocked, reason: "VMs out of reach: a for up to",
		},
		"ownership not confirmed": {
			prepare: func(h *harness) {
				h.step(120 * time.Millisecond)
				h.o.SetOwnershipConfirmed(h.now, false)
				h.submit("j", fillingStep("f", 1))
			},
			cause: IdleUnconfirmed, kind: DecisionBlocked, reason: "not confirmed",
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, nil)
			test.prepare(h)
			d := h.lastIdleDecision(3 * time.Second)
			if d.Kind != test.kind || d.Task.Job != "j" || !strings.Contains(d.Reason, test.reason) {
				t.Errorf("decision %+v, want kind %d about job j with the reason %q", d, test.kind, test.reason)
			}
			if n := h.o.IdleSteps()[test.cause]; n != 1 {
				t.Errorf("idle steps %v, want 1 because of %s", h.o.IdleSteps(), test.cause)
			}
		})
	}
}

// Guards against steps that are reported as idle although a task of them runs.
func TestRunningStepIsNotIdle(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.submit("s", standingStep(1))
	h.overTarget(6 * time.Second)
	if idle := h.o.IdleSteps(); len(idle) != 0 {
		t.Errorf("idle steps %v, want none", idle)
	}
}
