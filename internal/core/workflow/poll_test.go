package workflow

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Load: 300 VMs, on one of which the users of a standing task raise its tail
// beside a filling task. Guards against slow pace control in large fleets: with
// 300 VMs, each would be polled only every 1.2 s.
func TestContendedVMsArePolledOften(t *testing.T) {
	const fleet = 300
	o := newHarness(t, 0, nil).o
	for i := range fleet {
		o.AddVM(time.Minute, types.VMID(fmt.Sprintf("vm%03d", i)))
	}
	calm, busy := o.vmOrder[0], o.vmOrder[1]
	job := &job{spec: Job{ID: "j", Steps: []Step{standingStep(1), fillingStep("f", 1)}}}
	oc := o.beginOccurrence(job, 0)
	for _, s := range oc.steps {
		busy.bind(&s.tasks[0])
		s.tasks[0].phase = phaseRunning
	}
	if wait := o.PollInterval(busy.id); wait != fleet*pollIntervalPerVM {
		t.Errorf("poll interval %v of a VM without contention, want %v", wait, fleet*pollIntervalPerVM)
	}
	for name, disturb := range map[string]func(){
		"a filling task is slowed down": func() { oc.steps[1].tasks[0].wantedPace = 20 },
		"a tail is high": func() {
			s := &oc.steps[0].tasks[0]
			s.progress, s.measurement = progressServing, 0.9*float64(s.step.spec.TailTarget/time.Millisecond)
		},
	} {
		oc.steps[1].tasks[0].wantedPace, oc.steps[0].tasks[0].measurement = fullPace, 0
		disturb()
		o.sendPaces()
		if wait := o.PollInterval(busy.id); wait != minPollInterval {
			t.Errorf("poll interval %v while %s, want %v", wait, name, minPollInterval)
		}
		if wait := o.PollInterval(calm.id); wait != fleet*pollIntervalPerVM {
			t.Errorf("poll interval %v of another VM, want %v", wait, fleet*pollIntervalPerVM)
		}
	}
}

// Guards against an unlimited number of polls when all VMs are contended. The
// limit is 250 a second, and the check allows one more for rounding.
func TestPollsAreBounded(t *testing.T) {
	o := newHarness(t, 0, nil).o
	for i := range 300 {
		id := types.VMID(fmt.Sprintf("vm%03d", i))
		o.AddVM(time.Minute, id)
		oc := o.beginOccurrence(&job{spec: Job{ID: "j", Steps: []Step{standingStep(1), fillingStep("f", 1)}}}, 0)
		for _, s := range oc.steps {
			o.vms[id].bind(&s.tasks[0])
			s.tasks[0].phase, s.tasks[0].wantedPace = phaseRunning, 20
		}
	}
	o.sendPaces()
	polls := 0.0
	for _, v := range o.vmOrder {
		polls += 1 / o.PollInterval(v.id).Seconds()
	}
	if polls > 251 {
		t.Errorf("%.0f polls a second with 300 contended VMs, want at most 250", polls)
	}
}
