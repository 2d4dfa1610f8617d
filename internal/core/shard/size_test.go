package shard

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
)

// fullShard returns an owner with 32 VMs and 450 running tasks.
func fullShard(t testing.TB) *sim {
	s := newSim(t, 32, 64)
	s.submit(job("hold", 450, 1))
	s.run(15 * time.Second)
	if s.starts != 450 {
		t.Fatalf("%d of 450 tasks started", s.starts)
	}
	return s
}

// Guards against an owner that needs more than 4 MB of memory for a full shard.
func TestFullShardMemory(t *testing.T) {
	var before, after runtime.MemStats
	// Two collections each time: the second frees what finalizers and pools kept
	// alive in the first.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := fullShard(t)
	table, workers := s.table, s.workers
	s.table, s.workers = nil, nil
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	all := after.HeapAlloc - min(after.HeapAlloc, before.HeapAlloc)
	s.owner = nil
	runtime.GC()
	runtime.GC()
	var rest runtime.MemStats
	runtime.ReadMemStats(&rest)
	runtime.KeepAlive(table)
	runtime.KeepAlive(workers)
	held := after.HeapAlloc - min(after.HeapAlloc, rest.HeapAlloc)
	t.Logf("owner with 32 VMs and 450 tasks: %d KB; including the table and workers of the simulation: %d KB", held>>10, all>>10)
	if held == 0 || held > 4<<20 {
		t.Errorf("owner holds %d bytes, want more than 0 and at most 4 MB", held)
	}
}

// BenchmarkFullShardPoll measures one poll of an owner of 450 running tasks
// when nothing has changed. An owner is polled ten times per second.
func BenchmarkFullShardPoll(b *testing.B) {
	s := fullShard(b)
	b.ReportAllocs()
	for b.Loop() {
		s.now += 10 * time.Microsecond
		s.owner.Poll(s.now)
	}
}

// BenchmarkFullShardStarts measures the submission, placement and start of a
// job of 24 tasks in a shard with 450 running tasks, including the reports and
// heartbeats of all VMs.
func BenchmarkFullShardStarts(b *testing.B) {
	s := fullShard(b)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		before := s.starts
		s.submit(job(fmt.Sprintf("burst%d", n), 24, 1))
		s.run(time.Second)
		if s.starts-before != 24 {
			b.Fatalf("%d starts, want 24", s.starts-before)
		}
		b.StopTimer()
		for _, w := range s.workers {
			for _, id := range w.taskIDs() {
				if id[0] == 'b' {
					w.tasks[id].Phase = PhaseDone
				}
			}
		}
		s.run(3 * time.Second)
		b.StartTimer()
	}
}

// BenchmarkInvariantChecks measures the placement of a task with and without the
// invariant checks.
func BenchmarkInvariantChecks(b *testing.B) {
	for _, disabled := range []bool{false, true} {
		b.Run(fmt.Sprintf("off=%t", disabled), func(b *testing.B) {
			s := fullShard(b)
			s.owner.cfg.DisableInvariantChecks = disabled
			t := s.owner.sortedTasks()[0]
			base := t.row
			vm := s.owner.vms[base.VM]
			b.ReportAllocs()
			for b.Loop() {
				waiting := base
				waiting.State = task.Pending
				s.owner.setRow(t, waiting)
				ev := task.Event{Kind: task.EventPlace, Attempt: base.Attempt + 1, VM: vm.vm.ID, Incarnation: base.Incarnation, Reserved: base.Reserved}
				if v := s.owner.apply(t, ev); v != task.Accepted {
					b.Fatalf("placement was not accepted: %v", v)
				}
				t.row.Attempt = base.Attempt
			}
		})
	}
}
