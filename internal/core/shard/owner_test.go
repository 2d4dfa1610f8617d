package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// wantTask checks the state and attempt of a task's row in the table and
// returns the row.
func (s *sim) wantTask(id types.TaskID, state task.State, attempt types.Attempt) task.Row {
	s.t.Helper()
	r := s.table.task(s.t, id)
	if r.State != state || r.Attempt != attempt {
		s.t.Fatalf("task %s is %s with attempt %d, want %s with attempt %d", id, r.State, r.Attempt, state, attempt)
	}
	return r
}

// Guards against tasks that are not started, are started twice or do not
// complete.
func TestSubmitRunFinish(t *testing.T) {
	s := newSim(t, 2, 4)
	s.run(2 * time.Second)
	s.submit(job("j", 3, 2))
	s.run(3 * time.Second)
	s.wantTask("j/2", task.Running, 1)
	if s.starts != 3 {
		t.Fatalf("%d starts, want 3", s.starts)
	}
	for _, w := range s.workers {
		for _, tr := range w.tasks {
			tr.Phase = PhaseDone
		}
	}
	s.run(3 * time.Second)
	s.wantTask("j/0", task.Done, 1)
	j, err := task.DecodeJob(s.table.rows[task.JobKey(testShard, "j")].Value)
	if err != nil || !j.Finished || j.Done != 3 {
		t.Fatalf("job row is %+v, error %v; want a finished job with 3 done tasks", j, err)
	}
	if n := len(s.workers[0].tasks) + len(s.workers[1].tasks); n != 0 {
		t.Fatalf("workers still list %d attempts of the finished job", n)
	}
}

// Guards against preemption that loses the evicted task, starts the urgent task
// before the evicted one has stopped, or exceeds the limit of 2.3 s on urgent
// starts.
func TestUrgentPreempts(t *testing.T) {
	s := newSim(t, 1, 2)
	s.submit(job("low", 1, 2))
	s.run(6 * time.Second)
	s.wantTask("low/0", task.Running, 1)
	high := job("high", 1, 2)
	high.Urgent = true
	s.submit(high)
	s.run(2300 * time.Millisecond)
	s.wantTask("high/0", task.Running, 1)
	if r := s.wantTask("low/0", task.Evicted, 1); r.Checkpoint == "" {
		t.Fatal("task was evicted without a checkpoint")
	}
	s.workers[0].tasks["high/0"].Phase = PhaseDone
	s.run(4 * time.Second)
	s.wantTask("low/0", task.Running, 2)
}

// Load: urgent work on a full shard. Guards against an urgent task that waits for an
// eviction, up to EvictTimeout, although another VM has become free.
func TestHeldTaskTakesAFreeVM(t *testing.T) {
	s := newSim(t, 2, 4)
	s.run(2 * time.Second)
	s.submit(job("low", 2, 4))
	s.run(3 * time.Second)
	victim := s.workers[0]
	victim.ignoresCheckpoints = true
	urgent := job("high", 1, 4)
	urgent.Urgent = true
	s.submit(urgent)
	s.run(time.Second)
	if held := s.owner.tasks["high/0"].heldOn; held == nil || held.vm.ID != victim.vm {
		t.Fatalf("the urgent task is not held on %s: %+v", victim.vm, held)
	}
	for _, tr := range s.workers[1].tasks {
		tr.Phase = PhaseDone
	}
	s.run(2300 * time.Millisecond)
	if r := s.wantTask("high/0", task.Running, 1); r.VM != s.workers[1].vm {
		t.Errorf("the urgent task runs on %s, want %s", r.VM, s.workers[1].vm)
	}
	if held := s.owner.vms[victim.vm].held; !held.IsZero() {
		t.Errorf("%+v are still held for the task that runs elsewhere", held)
	}
}

// Guards against placing only a part of a gang.
func TestGangAllOrNone(t *testing.T) {
	s := newSim(t, 2, 4)
	s.submit(job("other", 1, 1))
	s.run(6 * time.Second)
	gang := job("gang", 2, 4)
	gang.Gang = true
	s.submit(gang)
	s.run(3 * time.Second)
	s.wantTask("gang/0", task.Pending, 0)
	s.wantTask("gang/1", task.Pending, 0)
	for _, w := range s.workers {
		if tr := w.tasks["other/0"]; tr != nil {
			tr.Phase = PhaseDone
		}
	}
	s.run(3 * time.Second)
	a, b := s.wantTask("gang/0", task.Running, 1), s.wantTask("gang/1", task.Running, 1)
	if a.VM == b.VM {
		t.Fatal("both tasks of the gang are on one VM")
	}
}

// Guards against one write per task when a job with many tasks is cancelled.
func TestCancelBurstIsBatched(t *testing.T) {
	s := newSim(t, 2, 4)
	s.submit(job("j", 500, 1))
	s.run(6 * time.Second)
	s.batches = 0
	s.owner.Cancel([]types.JobID{"j"})
	s.run(20 * time.Second)
	s.wantTask("j/0", task.Cancelled, 1)
	s.wantTask("j/499", task.Cancelled, 0)
	if s.batches > 15 || s.maxRows > DefaultConfig().MaxBatchRows {
		t.Fatalf("%d batches with at most %d rows each, want at most 15 batches within the row limit", s.batches, s.maxRows)
	}
}

// Guards against placing a task again before the run right of its attempt has
// ended, and against a worker that resumes the old attempt when it is reachable
// again.
func TestRelocationWaitsForRight(t *testing.T) {
	s := newSim(t, 2, 4)
	s.submit(job("j", 1, 1))
	s.run(6 * time.Second)
	first := s.wantTask("j/0", task.Running, 1)
	lost := s.workers[0]
	if lost.vm != first.VM {
		t.Fatalf("task was placed on %s, want the first VM", first.VM)
	}
	s.workers = s.workers[1:]
	s.run(DefaultConfig().RunRight)
	s.wantTask("j/0", task.Running, 1)
	s.run(10 * time.Second)
	s.wantTask("j/0", task.Running, 2)
	s.workers = append(s.workers, lost)
	s.run(3 * time.Second)
	if tr := lost.tasks["j/0"]; tr != nil && lost.isRunning(s.now, tr) {
		t.Fatal("the old attempt is running again")
	}
}

// Guards against a new owner that is not ready within 3 s, restarts attempts
// that are still running, or treats the capacity of a VM without a report as
// free.
func TestNewOwnerRecovers(t *testing.T) {
	s := newSim(t, 2, 4)
	s.submit(job("j", 4, 2))
	s.run(6 * time.Second)
	silent := s.workers[1]
	s.workers = s.workers[:1]
	s.owner = s.table.takeOver(s.now, DefaultConfig(), 2, vmsOf(2, 4))
	s.submit(job("k", 1, 1))
	s.run(3100 * time.Millisecond)
	if !s.owner.Ready(s.now) {
		t.Fatal("owner is not ready 3.1 s after the takeover")
	}
	s.run(2 * time.Second)
	s.wantTask("k/0", task.Pending, 0)
	s.workers = append(s.workers, silent)
	s.run(3 * time.Second)
	s.wantTask("j/3", task.Running, 1)
	if s.starts != 4 {
		t.Fatalf("%d starts, want 4", s.starts)
	}
}

// Guards against a worker restart that restarts the worker's attempts or leaves
// them suspended, and against an attempt that was lost and is not placed again.
func TestWorkerRestartAdopts(t *testing.T) {
	s := newSim(t, 1, 4)
	s.submit(job("j", 2, 1))
	s.run(6 * time.Second)
	w := s.workers[0]
	delete(w.tasks, "j/1")
	w.restart(DefaultConfig(), 77)
	s.run(3 * time.Second)
	if r := s.wantTask("j/0", task.Running, 1); r.Incarnation != 77 {
		t.Fatalf("row has incarnation %d, want 77", r.Incarnation)
	}
	if !w.gate.MayRun(s.now, "j/0", 1) {
		t.Fatal("the adopted attempt is not confirmed")
	}
	s.wantTask("j/1", task.Running, 2)
}

// Guards against starts while the table is unavailable, and against a task that
// is started twice or never because the answer to its batch was lost.
func TestTableOutage(t *testing.T) {
	s := newSim(t, 2, 4)
	s.run(4 * time.Second)
	s.tableDown = true
	s.submit(job("j", 2, 1))
	s.run(20 * time.Second)
	if s.starts != 0 {
		t.Fatal("a task was started before its placement was committed")
	}
	s.tableDown = false
	s.run(5 * time.Second)
	s.wantTask("j/0", task.Running, 1)
	s.wantTask("j/1", task.Running, 1)
	if s.starts != 2 {
		t.Fatalf("%d starts, want 2", s.starts)
	}
}

// Guards against an owner that still acts after its lease has expired or after
// a takeover.
func TestOldOwnerStops(t *testing.T) {
	s := newSim(t, 1, 4)
	s.run(4 * time.Second)
	old := s.owner
	s.submit(job("j", 1, 1))
	out := old.Poll(s.now)
	for out.Batch == nil {
		s.now += 100 * time.Millisecond
		out = old.Poll(s.now)
	}
	s.table.takeOver(s.now, DefaultConfig(), 2, vmsOf(1, 4))
	s.applyOutput(out)
	if !old.Lost() || s.table.task(t, "j/0").State != task.Pending {
		t.Fatal("a batch of the old epoch was committed")
	}
	old.SetLease(s.now)
	if _, ok := old.Heartbeat(s.now, s.workers[0].heartbeat(s.now)); ok {
		t.Fatal("the owner acknowledged a heartbeat without a lease")
	}
}

// Guards against a task that waits although a VM has room for it, behind more jobs that
// fit nowhere than one placement pass tries.
func TestPlacementReachesTasksBehindUnplaceableJobs(t *testing.T) {
	s := newSim(t, 1, 4)
	s.run(2 * time.Second)
	s.submit(job("holder", 1, 2))
	s.run(3 * time.Second)
	for i := range 140 {
		s.submit(job(fmt.Sprintf("large%03d", i), 1, 3))
	}
	s.run(3 * time.Second)
	s.submit(job("small", 1, 1))
	s.run(10 * time.Second)
	if r := s.table.task(t, "small/0"); r.State != task.Running {
		t.Errorf("the small task is %s after 10 s with 2 of 4 cores free", r.State)
	}
}

// Guards against capacity that comes in the middle of a placement round and goes to a job
// of lower priority, because the first jobs have been tried before.
func TestFreedCapacityGoesToTheFirstJob(t *testing.T) {
	ranked := func(id string, cores int64, priority int) types.Job {
		j := job(id, 1, cores)
		j.Priority = priority
		return j
	}
	for delay := range 12 {
		s := newSim(t, 1, 4)
		s.run(2 * time.Second)
		s.submit(ranked("holder", 4, 9))
		s.run(3 * time.Second)
		s.submit(ranked("first", 4, 8))
		for i := range 400 {
			s.submit(ranked(fmt.Sprintf("large%03d", i), 8, 5))
		}
		s.submit(ranked("last", 4, 0))
		s.run(3*time.Second + time.Duration(delay)*100*time.Millisecond)
		s.owner.Cancel([]types.JobID{"holder"})
		s.run(5 * time.Second)
		if last := s.table.task(t, "last/0"); last.State == task.Running {
			t.Errorf("capacity freed after %d ms went to the job of the lowest priority", 100*delay)
		}
	}
}
