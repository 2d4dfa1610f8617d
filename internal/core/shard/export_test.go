package shard

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Sim runs an owner with a given placer, for tests of package shard_test.
type Sim struct{ *sim }

// NewSim returns a simulation of VMs with the given number of cores.
func NewSim(t testing.TB, vms, cores int, p Placer) Sim { return Sim{newSimWith(t, vms, cores, p)} }

// Submit adds a job.
func (s Sim) Submit(j types.Job) { s.submit(j) }

// Run advances the virtual clock.
func (s Sim) Run(d time.Duration) { s.run(d) }

// Row returns the row of a task in the table.
func (s Sim) Row(id types.TaskID) task.Row { return s.table.task(s.t, id) }

// OnStart sets how attempts begin on a VM.
func (s Sim) OnStart(vm int, f func(*TaskReport)) { s.workers[vm].onStart = f }

// Finish ends all running attempts.
func (s Sim) Finish() {
	for _, w := range s.workers {
		for _, tr := range w.tasks {
			tr.Phase = PhaseDone
		}
	}
}

// BatchJob returns a job of one-minute tasks.
func BatchJob(id string, tasks int, cores int64) types.Job { return job(id, tasks, cores) }
