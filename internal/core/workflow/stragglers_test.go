package workflow

import (
	"hash/fnv"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// tailFactor is how many times as long as the others long runs take.
const tailFactor = 7

// longRuns makes a share of the runs, in percent, take tailFactor times as long.
func longRuns(percent uint32) func(TaskKey, uint64) float64 {
	return func(key TaskKey, run uint64) float64 {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(key.String()))
		if (hash.Sum32()+uint32(run)*977)%100 < percent { //nolint:gosec // any low bits do
			return tailFactor
		}
		return 1
	}
}

// runTailLoad runs jobs of long tasks beside bursts of short ones for a time. It returns
// how often each VM was paused and when the first one was.
func (h *harness) runTailLoad(d time.Duration) (pauses map[types.VMID]int, first time.Duration) {
	pauses = make(map[types.VMID]int)
	until := make(map[types.VMID]time.Duration)
	begin := h.now
	for i := 0; h.now < begin+d; i++ {
		demand := types.Resources{MilliCPU: 1000}
		if i%300 == 0 {
			h.submit(types.JobID("long"+h.now.String()), Step{Tasks: 18, Demand: demand, RunTime: 10 * time.Second, MaxPerVM: 3})
		}
		if i%20 == 0 {
			h.submit(types.JobID("short"+h.now.String()), Step{Tasks: 12, Demand: demand, RunTime: 500 * time.Millisecond, MaxPerVM: 2})
		}
		h.vms = append(h.vms[1:], h.vms[0]) // reports come in any order
		h.step(50 * time.Millisecond)
		for _, v := range h.o.vmOrder {
			if v.slowUntil > until[v.id] {
				until[v.id] = v.slowUntil
				pauses[v.id]++
				if first == 0 {
					first = h.now - begin
				}
			}
		}
	}
	return pauses, first
}

// Load: 8% of the run times are seven times as long as the others. Guards against pausing
// sound VMs for that: without the exemption of stragglers this
// happened 6 times in 5 minutes.
func TestStragglersDoNotPauseSoundWorkers(t *testing.T) {
	h := newHarness(t, 6, nil)
	h.long = longRuns(8)
	h.step(50 * time.Millisecond)
	if pauses, first := h.runTailLoad(5 * time.Minute); len(pauses) > 0 {
		t.Errorf("sound VMs are paused %v times, first after %v", pauses, first)
	}
}

// Load: the same, and one VM becomes six times slower at some time. Guards against finding
// it later because its tasks are taken for stragglers. The limits are the times at which
// it is found if no task is exempt.
func TestSlowWorkerIsFoundAmongStragglers(t *testing.T) {
	for begin, limit := range map[time.Duration]time.Duration{
		30 * time.Second: 600 * time.Millisecond, 31 * time.Second: 3 * time.Second, 33 * time.Second: 8 * time.Second, 41 * time.Second: 600 * time.Millisecond,
	} {
		h := newHarness(t, 6, nil)
		h.long = longRuns(8)
		h.step(50 * time.Millisecond)
		h.runTailLoad(begin)
		h.speed = map[types.VMID]float64{"c": 1.0 / 6}
		if pauses, first := h.runTailLoad(20 * time.Second); pauses["c"] == 0 || first > limit {
			t.Errorf("slow from %v on: paused %v times, first after %v, want the slow VM within %v", begin, pauses, first, limit)
		}
	}
}
