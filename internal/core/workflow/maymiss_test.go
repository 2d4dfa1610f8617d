package workflow

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Load: the users of standing tasks take more, and the standing filling tasks beside
// them are throttled on three VMs at once, while three other VMs are free. Guards
// against moves that stop more tasks of a step at a time than MayMiss allows.
func TestMovesOfThrottledStandingTasksRespectMayMiss(t *testing.T) {
	h := newHarness(t, 6, map[string]float64{"index": 1})
	usersLoad := 0.2
	h.usersLoad = func(time.Duration) float64 { return usersLoad }
	free := h.vms[3:]
	h.vms = h.vms[:3]
	h.submit("serve", Step{Tasks: 3, Demand: types.Resources{MilliCPU: 8000}, Standing: true, Image: "serve", TailTarget: 125 * time.Millisecond, MaxPerVM: 1})
	h.overTarget(time.Second)
	h.submit("index", Step{Tasks: 3, Demand: types.Resources{MilliCPU: 5000}, Standing: true, Fills: true, Image: "index", MaxPerVM: 1, MayMiss: 1, Checkpoints: true})
	h.overTarget(4 * time.Second)
	h.vms = append(h.vms, free...)
	h.overTarget(time.Second)
	usersLoad = 0.78
	s, stops := h.o.jobs["index"].occurrences[0].steps[0], 0
	for range 60 {
		running := s.runningTasks()
		h.step(120 * time.Millisecond)
		stops += max(0, running-s.runningTasks())
		if down := len(s.tasks) - s.runningTasks(); down > 1 {
			t.Fatalf("%d tasks of the step are down at once, MayMiss allows 1", down)
		}
	}
	if stops == 0 {
		t.Error("no throttled task was moved")
	}
}

func (s *step) runningTasks() int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].phase == phaseRunning {
			n++
		}
	}
	return n
}
