package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// fullShard returns 32 VMs that run 450 tasks of ten kinds.
func fullShard() ([]shard.Candidate, []types.Job) {
	jobs := make([]types.Job, 10)
	for i := range jobs {
		jobs[i] = types.Job{ID: types.JobID(fmt.Sprint("j", i)), Kind: fmt.Sprint("kind", i), Class: types.ClassBatch, Demand: types.Resources{MilliCPU: 1000}}
	}
	c := make([]shard.Candidate, 32)
	for i := range c {
		c[i].VM = types.VM{
			ID: types.VMID(fmt.Sprint("vm", i)), Rack: types.Rack(fmt.Sprint("r", i/3)),
			Capacity: types.Resources{MilliCPU: 16000, MemoryBytes: 60 << 30},
		}
		c[i].Available = true
	}
	for k := range 450 {
		vm := &c[k%len(c)]
		j := &jobs[k%len(jobs)]
		vm.Running = append(vm.Running, shard.Running{
			Task: types.TaskID(fmt.Sprint("t", k)), Attempt: 1, Job: j, Reserved: j.Demand, Evictable: true,
		})
	}
	for i := range c {
		c[i].Free = c[i].VM.Capacity.Sub(types.Resources{MilliCPU: 1000 * int64(len(c[i].Running))})
	}
	return c, jobs
}

// BenchmarkDecision measures a decision on a shard of 32 VMs with 450 tasks,
// when one VM has changed since the previous decision.
func BenchmarkDecision(b *testing.B) {
	c, jobs := fullShard()
	s := New(Options{Rand: rand.New(rand.NewPCG(1, 2))})
	now := time.Hour
	i := 0
	for b.Loop() {
		i++
		vm := &c[i%len(c)]
		vm.Running[0].Attempt++
		now += time.Millisecond
		s.Place(shard.Demand{Now: now, Task: "new", Job: &jobs[i%len(jobs)]}, c)
	}
}
