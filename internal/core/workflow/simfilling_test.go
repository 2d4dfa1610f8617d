package workflow

import (
	"fmt"
	"slices"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// makeFilling turns three of four steps of the jobs from index known on into filling
// ones of different sizes.
func (s *sim) makeFilling(known int) {
	for _, id := range s.order[known:] {
		for i := range s.rows[id].job.Steps {
			if step := &s.rows[id].job.Steps[i]; s.restartRNG.IntN(4) > 0 {
				step.Fills = true
				step.Demand.MilliCPU = []int64{1000, 3000, 12000}[s.restartRNG.IntN(3)]
				step.Demand.MemoryBytes = []int64{1, 8}[s.restartRNG.IntN(2)]
			}
		}
	}
}

// checkSums returns the first sum of an owner that does not agree with its tasks.
func checkSums(o *Owner) error {
	running := 0
	copies := make(map[*step][]*task)
	for _, v := range o.vmOrder {
		sums := vm{reserved: types.Resources{}}
		for _, t := range v.tasks {
			if t.vm != v || !t.phase.live() {
				return fmt.Errorf("task %v in phase %d of VM %s is listed at VM %s", t.key(), t.phase, t.vmID(), v.id)
			}
			if t.copyOf != nil {
				sums.copies++
				running++
				copies[t.step] = append(copies[t.step], t)
			}
			sums.reserved = sums.reserved.Add(t.step.reservation())
			switch demand := t.step.spec.Demand; {
			case t.background:
				sums.background += demand.MilliCPU
				sums.backgroundMemory += demand.MemoryBytes
			case t.step.spec.Fills:
				sums.filling += demand.MilliCPU
			}
		}
		if sums.reserved != v.reserved || sums.filling != v.filling || sums.background != v.background || sums.backgroundMemory != v.backgroundMemory || sums.copies != v.copies {
			return fmt.Errorf("VM %s: reserved %v, filling %d, background %d and %d, copies %d; tasks: %v, %d, %d, %d and %d",
				v.id, v.reserved, v.filling, v.background, v.backgroundMemory, v.copies, sums.reserved, sums.filling, sums.background, sums.backgroundMemory, sums.copies)
		}
	}
	if running != o.Copies() {
		return fmt.Errorf("%d copies are counted, and %d are on VMs", o.Copies(), running)
	}
	for _, j := range o.jobs {
		for _, oc := range j.occurrences {
			for _, s := range oc.steps {
				if err := s.checkSums(copies[s]); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (s *step) checkSums(copies []*task) error {
	var live, background, waiting, done int
	for _, c := range copies {
		live++
		if c.background {
			background++
		}
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		switch {
		case t.copy != nil && (!slices.Contains(copies, t.copy) || !t.phase.live() && t.phase != phaseDone):
			return fmt.Errorf("the copy of task %v in phase %d is on no VM or alone", t.key(), t.phase)
		case t.phase.live():
			live++
			if t.background {
				background++
			}
		case t.background || t.forced:
			return fmt.Errorf("task %v is not live: background %t, forced %t", t.key(), t.background, t.forced)
		case t.phase == phaseWaiting:
			waiting++
		default:
			done++
		}
	}
	if live != s.live || background != s.background || waiting != s.waiting || done != s.done {
		return fmt.Errorf("step %d of job %s: live %d, background %d, waiting %d, done %d; tasks: %d, %d, %d, %d",
			s.index, s.job.spec.ID, s.live, s.background, s.waiting, s.done, live, background, waiting, done)
	}
	return nil
}

// Guards against tasks that run in two places, are lost or are counted wrongly, when
// filling steps run by force or in the background under faults of workers, owners,
// orders and the store.
func TestRandomRunsWithFillingSteps(t *testing.T) {
	t.Parallel()
	background := 0
	for seed := *simFirst; seed < *simFirst+*simSeeds; seed++ {
		s := newSim(seed, mutantNone)
		s.filling = true
		s.afterTick = func() {
			for _, o := range []*Owner{s.owner, s.former} {
				if o == nil {
					continue
				}
				background += o.BackgroundRuns()
				if err := checkSums(o); err != nil {
					s.fail("%v", err)
				}
			}
		}
		s.run()
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, s.violations[0], lastEvents(s))
		}
	}
	if background == 0 {
		t.Error("no filling task has run in the background")
	}
}
