package shard

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Sim is a simulation of one owner and its workers for the tests of package
// shard_test.
type Sim struct{ *sim }

// NewSim returns a simulation with the given number of VMs, cores per VM, and
// placer.
func NewSim(t testing.TB, vms, cores int, p Placer) Sim { return Sim{newSimWith(t, vms, cores, p)} }

// Submit submits a job to the owner.
func (s Sim) Submit(j types.Job) { s.submit(j) }

// Run advances the virtual clock by d.
func (s Sim) Run(d time.Duration) { s.run(d) }

// Row returns the row of a task from the table.
func (s Sim) Row(id types.TaskID) task.Row { return s.table.task(s.t, id) }

// OnStart sets a function that changes the initial state of attempts on a VM.
func (s Sim) OnStart(vm int, f func(*TaskReport)) { s.workers[vm].onStart = f }

// FinishAll completes all attempts that the workers have.
func (s Sim) FinishAll() {
	for _, w := range s.workers {
		for _, tr := range w.tasks {
			tr.Phase = PhaseDone
		}
	}
}

// BatchJob returns a batch job whose tasks run for one minute.
func BatchJob(id string, tasks int, cores int64) types.Job { return job(id, tasks, cores) }
