package workflow

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// maxIdleTime is how long an accepted job may have nothing running while a VM has room
// for a task whose turn has come.
const maxIdleTime = 3 * time.Second

// longestIdle runs the harness for a time and returns the longest time during which a
// job had a ready step and no run, with the job.
func (h *harness) longestIdle(d time.Duration) (time.Duration, types.JobID) {
	since := make(map[types.JobID]time.Duration)
	var longest time.Duration
	var idlest types.JobID
	for end := h.now + d; h.now < end; {
		h.step(120 * time.Millisecond)
		running := make(map[types.JobID]bool)
		for _, runs := range h.running {
			for key := range runs {
				running[key.Job] = true
			}
		}
		for id, j := range h.o.jobs {
			if running[id] || j.outcome != "" {
				delete(since, id)
				continue
			}
			if _, ok := since[id]; !ok {
				since[id] = h.now
			}
			if idle := h.now - since[id]; idle > longest {
				longest, idlest = idle, id
			}
		}
	}
	return longest, idlest
}

// Load: standing tasks on all VMs leave nothing to filling work, and long filling tasks
// hold the place for disturbing work on each. Guards against accepted jobs that have
// nothing running for as long as the long tasks take, with most of the room free.
func TestJobsBesideLongFillingTasksStart(t *testing.T) {
	h := newHarness(t, 3, map[string]float64{"press": 4})
	h.usersLoad = func(time.Duration) float64 { return 0.6 }
	h.submit("s", standingStep(9))
	h.overTarget(time.Second)
	for i := range 3 {
		h.submit(types.JobID(fmt.Sprintf("long%d", i)), Step{Tasks: 2, Demand: types.Resources{MilliCPU: 2000}, RunTime: time.Minute, Fills: true, Image: "press"})
	}
	h.overTarget(3 * time.Second)
	for i := range 6 {
		h.submit(types.JobID(fmt.Sprintf("j%d", i)), fillingStep("press", 7))
	}
	if idle, job := h.longestIdle(20 * time.Second); idle > maxIdleTime {
		t.Errorf("job %s had nothing running for %v, want at most %v", job, idle, maxIdleTime)
	}
}
