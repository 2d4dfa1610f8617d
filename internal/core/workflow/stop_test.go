package workflow

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against a task that never starts again: its stop was acknowledged, but
// repeated before each list, so that no list was newer than the last
// acknowledgement.
func TestAcknowledgedStopIsRepeatedLessOften(t *testing.T) {
	now := time.Minute
	o := New(simConfig(mutantNone, 1), now)
	o.SetQueues(map[string]Queue{"q": {Name: "q", Service: "svc", MaxAttempts: 2}})
	boot := Boot{ID: "w", Born: 1}
	report := func(seq uint64) {
		o.Report(now, Report{
			VM: "vm", Agent: 1, Fence: FirstFence(1), Boot: boot, Clock: now, ListSeq: seq,
			Upstream: &Upstream{Boot: boot, Service: "svc", Capacity: types.Resources{MilliCPU: 1000, MemoryBytes: 1}},
		})
	}
	report(1)
	job := Job{ID: "j", Queue: "q", Steps: []Step{{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}}}}
	if err := o.AddJob(now, now, job, JobQueued, 1, Progress{}, true); err != nil {
		t.Fatal(err)
	}
	seq, requestedSeq, starts := uint64(2), uint64(2), 0
	for range 40 { // 8 s with a stop retry of 200 ms and a list every 400 ms
		now += 200 * time.Millisecond
		if now%(400*time.Millisecond) == 0 {
			report(requestedSeq) // requested after the last list
			o.Grant("vm")
			seq++
			requestedSeq = seq
		}
		for _, order := range o.Poll(now, now).Orders {
			result := ResultDone
			if order.Kind == OrderStart {
				starts++
				result = ResultUnknown
			}
			seq++
			o.ApplyResults(now, 1, []OrderResult{{Order: order, Result: result, Seq: seq}})
		}
	}
	if starts < 3 {
		t.Errorf("the task was started %d times in 8 s, want 3 or more", starts)
	}
}
