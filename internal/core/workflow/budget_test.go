package workflow

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against attempts beyond the limit of a queue: a new owner adopts the
// second run of a task before it reads that the first one has failed.
func TestFailureOfAnEarlierRunCounts(t *testing.T) {
	now := time.Minute
	o := New(simConfig(mutantNone, 2), now)
	o.SetQueues(map[string]Queue{"q": {Name: "q", Service: "svc", MaxAttempts: 2}})
	o.AddVM(now, "a")
	o.AddVM(now, "b")
	job := Job{ID: "j", Queue: "q", Steps: []Step{{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}}}}
	if err := o.AddJob(now, now, job, JobRunning, 1, Progress{}, false); err != nil {
		t.Fatal(err)
	}
	key := TaskKey{Job: "j"}
	seq := uint64(0)
	report := func(vm types.VMID, running []Run, ended []End) {
		seq++
		boot := Boot{ID: string(vm), Born: 1}
		o.Report(now, Report{
			VM: vm, Agent: 1, Fence: FirstFence(2), Boot: boot, Clock: now, ListSeq: seq, Running: running, Ended: ended,
			Upstream: &Upstream{Boot: boot, Service: "svc", Capacity: types.Resources{MilliCPU: 1000, MemoryBytes: 1}},
		})
	}
	// Run numbers of epoch 1: the epoch has the same position in a fence and in
	// a run number.
	first, second := FirstFence(1), FirstFence(1)+1
	report("b", []Run{{Task: key, Run: uint64(second)}}, nil)
	report("a", nil, []End{{Number: 1, Task: key, Run: uint64(first), Kind: EndFailed}})
	report("b", nil, []End{{Number: 1, Task: key, Run: uint64(second), Kind: EndFailed}})
	now += time.Second
	for _, order := range o.Poll(now, now).Orders {
		if order.Kind == OrderStart {
			t.Errorf("run %d starts after two failed runs", order.Run)
		}
	}
	if b := o.Batch(now); b == nil || b.Changes[0].State != JobFailed {
		t.Errorf("batch %+v, want the job as failed", b)
	}
}

// Guards against a job that exhausts the memory of the entry that owns it, and
// of each later one: a submission of a few kilobytes can hold 64 wide
// steps and 10,000 occurrences that are due at once (found by FuzzSubmission).
func TestOccurrencesDueAtOnceAreBounded(t *testing.T) {
	steps := make([]Step, 4)
	for i := range steps {
		steps[i] = Step{Tasks: maxTasks, Demand: types.Resources{MilliCPU: 1000}}
	}
	job := Job{ID: "j", Queue: "q", Steps: steps, Occurrences: maxOccurrences}
	if err := job.Check(); err != nil {
		t.Fatal(err)
	}
	h := newHarness(t, 1, nil)
	if err := h.o.AddJob(h.now, h.now, job, JobQueued, 1, Progress{}, true); err != nil {
		t.Fatal(err)
	}
	h.step(100 * time.Millisecond)
	if n := len(h.o.jobs["j"].occurrences) * job.tasks(); n == 0 || n > maxOpenTasks {
		t.Errorf("%d tasks are open, want at most %d and some", n, maxOpenTasks)
	}
	job.Steps = append(job.Steps, Step{Tasks: 1})
	if job.Check() == nil {
		t.Errorf("a job of %d tasks is accepted", job.tasks())
	}
}

// Guards against occurrences that never begin when more of them are due at once
// than may be open.
func TestEveryOccurrenceEventuallyBegins(t *testing.T) {
	h := newHarness(t, 1, nil)
	wide := Step{Tasks: maxTasks, Demand: types.Resources{MilliCPU: 1}, RunTime: 10 * time.Millisecond}
	job := Job{ID: "j", Queue: "q", Steps: []Step{wide}, Occurrences: 2 + maxOpenTasks/maxTasks}
	if err := h.o.AddJob(h.now, h.now, job, JobQueued, 1, Progress{}, true); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		h.step(120 * time.Millisecond)
	}
	if j := h.o.jobs["j"]; j.outcome != JobCompleted {
		t.Errorf("%d of %d occurrences are done", j.finished, job.Occurrences)
	}
}

// Guards against gangs that run more often than their attempts allow: in each run, the
// failure of another task was reported first, and each task counted only its own.
func TestFailuresOfAGangCountTogether(t *testing.T) {
	for _, c := range []struct {
		name string
		// stored is the progress that an earlier owner stored.
		stored []StepProgress
		// runs are the ends of the two tasks in each run of this owner.
		runs [][2]EndKind
	}{
		{"all tasks fail", nil, [][2]EndKind{{EndFailed, EndFailed}, {EndFailed, EndFailed}}},
		{"in turns", nil, [][2]EndKind{{EndFailed, EndBroken}, {EndBroken, EndFailed}}},
		{"after a takeover", []StepProgress{{Failures: map[int]Failures{0: {1}}}}, [][2]EndKind{{EndBroken, EndFailed}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Minute
			o := New(simConfig(mutantNone, 1), now)
			o.SetQueues(map[string]Queue{"q": {Name: "q", Service: "svc", MaxAttempts: 2}})
			seq := uint64(0)
			report := func(vm types.VMID, ended ...End) {
				seq++
				boot := Boot{ID: string(vm), Born: 1}
				o.Report(now, Report{
					VM: vm, Agent: 1, Fence: FirstFence(1), Boot: boot, Clock: now, ListSeq: seq, Ended: ended,
					Upstream: &Upstream{Boot: boot, Service: "svc", Capacity: types.Resources{MilliCPU: 1000}},
				})
			}
			report("a")
			report("b")
			job := Job{ID: "j", Queue: "q", Steps: []Step{{Tasks: 2, Gang: true, Demand: types.Resources{MilliCPU: 1000}}}}
			if err := o.AddJob(now, now, job, JobQueued, 1, Progress{Occurrences: []OccurrenceProgress{{Steps: c.stored}}}, true); err != nil {
				t.Fatal(err)
			}
			for n, ends := range c.runs {
				now += avoidDuration
				report("a")
				report("b")
				orders := o.Poll(now, now).Orders
				if len(orders) != 2 {
					t.Fatalf("run %d: %d orders, want two starts", n, len(orders))
				}
				// The failure of task n is reported first.
				for i := range orders {
					order := orders[(i+n)%2]
					seq++
					o.ApplyResults(now, 1, []OrderResult{{Order: order, Result: ResultDone, Seq: seq}})
					report(order.VM, End{Number: uint64(n + 1), Task: order.Task, Run: order.Run, Kind: ends[order.Task.Index]})
				}
			}
			if outcome := o.jobs["j"].outcome; outcome != JobFailed {
				t.Errorf("job is %q after two failed runs of the gang, want failed", outcome)
			}
		})
	}
}
