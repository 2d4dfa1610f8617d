package shard

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
)

// finishAll completes all attempts that the workers have.
func (s *sim) finishAll() {
	for _, w := range s.workers {
		for _, tr := range w.tasks {
			tr.Phase = PhaseDone
		}
	}
}

// Guards against a job row that was read before the end of the job and is
// submitted after it. The owner added the job again with all tasks at attempt
// 0, and then treated reports of its old attempts as second attempts.
func TestOldRowDoesNotBringFinishedJobBack(t *testing.T) {
	s := newSim(t, 2, 4)
	s.run(2 * time.Second)
	s.submit(job("j", 1, 2))
	old := s.table.rows[task.JobKey(testShard, "j")]
	s.run(3 * time.Second)
	s.finishAll()
	s.run(3 * time.Second)
	s.wantTask("j/0", task.Done, 1)
	s.owner.Submit(old)
	if row, known := s.owner.Task("j/0"); known {
		t.Fatalf("the owner added the finished job again: %+v", row)
	}
}

// Guards against writing a job's final row twice. The batch with the row is
// committed after a read showed it as not committed, and the next batch, which
// also contains other rows, gets a conflict.
func TestFinalRowOfLateBatchIsNotWrittenAgain(t *testing.T) {
	s := newSim(t, 2, 4)
	s.run(2 * time.Second)
	s.submit(job("j", 1, 2))
	s.run(3 * time.Second)
	s.finishAll()
	key := task.JobKey(testShard, "j")
	late := s.runUntilWrite(key)
	s.owner.BatchDone(s.now, late.ID, BatchUncertain, 0, nil)
	read := s.owner.Poll(s.now).Read
	s.owner.ReadDone(s.now, read.ID, s.table.read(read.Keys), true)
	s.submit(job("other", 1, 2))
	next := s.runUntilWrite(key)
	if len(next.Writes) < 2 {
		t.Fatalf("the next batch has only %d rows, want at least 2", len(next.Writes))
	}
	final, ok := s.table.commit(late, false)
	if !ok {
		t.Fatal("the late batch was not committed")
	}
	s.owner.BatchDone(s.now, next.ID, BatchConflict, 0, s.table.read(next.Keys()))
	s.run(5 * time.Second)
	if r := s.table.rows[key].Revision; r != final {
		t.Fatalf("the final row was written again: revision %d, want %d", r, final)
	}
	if len(s.owner.jobs) != 1 {
		t.Fatalf("the owner has %d jobs, want only the unfinished one", len(s.owner.jobs))
	}
	s.wantTask("other/0", task.Running, 1)
}

// runUntilWrite runs the simulation until a batch writes the row with the given
// key. It returns the batch without committing it.
func (s *sim) runUntilWrite(key string) *Batch {
	s.t.Helper()
	for range 100 {
		s.now += 100 * time.Millisecond
		for _, w := range s.workers {
			if reply, ok := s.owner.Heartbeat(s.now, w.heartbeat(s.now)); ok {
				w.acked(s.now, reply)
			}
			s.owner.Report(s.now, w.buildReport(s.now))
		}
		out := s.owner.Poll(s.now)
		if b := out.Batch; b != nil {
			for _, w := range b.Writes {
				if w.Key == key {
					return b
				}
			}
		}
		s.applyOutput(out)
	}
	s.t.Fatalf("no batch writes row %s", key)
	return nil
}
