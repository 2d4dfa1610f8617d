package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// evacuationVMs returns VMs of 4 cores that are assigned to the failure domains in
// turn.
func evacuationVMs(n int, domains ...types.FailureDomain) []types.VM {
	vms := vmsOf(n, 4)
	for i := range vms {
		vms[i].FailureDomain = domains[i%len(domains)]
	}
	return vms
}

// newEvacuationSim returns a ready simulation of such VMs.
func newEvacuationSim(t testing.TB, n int, domains ...types.FailureDomain) *sim {
	s := newSim(t, n, 4)
	s.owner.SetVMs(evacuationVMs(n, domains...))
	s.run(4 * time.Second)
	return s
}

// step polls the owner once, without heartbeats and reports, and returns the
// output.
func (s *sim) step() Output {
	s.now += 100 * time.Millisecond
	return s.owner.Poll(s.now)
}

// Guards against work that starts in an evacuated failure domain because its
// placement was decided, written or committed just before the evacuation arrived
// at the owner, and against running work that the evacuation stops.
func TestEvacuationBetweenTwoPlacements(t *testing.T) {
	phases := map[string]func(s *sim){
		"decided": func(s *sim) { s.owner.place(s.now) },
		"batch in flight": func(s *sim) {
			for range 20 {
				if out := s.step(); out.Batch != nil {
					s.owner.SetEvacuated([]types.FailureDomain{"d0"})
					s.applyOutput(out)
					return
				}
			}
		},
		"start lost": func(s *sim) {
			for range 20 {
				out := s.step()
				if len(out.Commands) > 0 {
					return // the commands are not delivered
				}
				s.applyOutput(out)
			}
		},
	}
	for name, reach := range phases {
		t.Run(name, func(t *testing.T) {
			s := newEvacuationSim(t, 2, "d0")
			s.submit(job("old", 2, 1))
			s.run(3 * time.Second)
			s.submit(job("new", 1, 1))
			reach(s)
			if r, _ := s.owner.Task("new/0"); !r.State.Live() && name != "batch in flight" {
				t.Fatalf("the task is %s before the evacuation, want a placement", r.State)
			}
			s.owner.SetEvacuated([]types.FailureDomain{"d0"})
			s.run(20 * time.Second)
			if s.starts != 2 {
				t.Fatalf("%d starts, want 2 from before the evacuation", s.starts)
			}
			s.wantTask("old/0", task.Running, 1)
			if r, _ := s.owner.Task("new/0"); !r.State.Waiting() {
				t.Fatalf("the new task is %s, want waiting", r.State)
			}
			s.owner.SetEvacuated(nil)
			s.run(5 * time.Second)
			if r := s.table.task(t, "new/0"); r.State != task.Running {
				t.Fatalf("after the end the new task is %s", r.State)
			}
		})
	}
}

// Guards against an attempt that is stopped although it had begun before the
// evacuation, because only its first report is late.
func TestBegunAttemptGoesOn(t *testing.T) {
	s := newEvacuationSim(t, 1, "d0")
	s.submit(job("j", 1, 1))
	for range 20 {
		out := s.step()
		s.applyOutput(out)
		if s.starts == 1 {
			break
		}
	}
	s.owner.SetEvacuated([]types.FailureDomain{"d0"})
	for range 30 {
		s.applyOutput(s.step())
	}
	s.run(15 * time.Second)
	s.wantTask("j/0", task.Running, 1)
}

// Guards against a new owner that places work in an evacuated failure domain, or
// stops what runs there.
func TestTakeoverDuringEvacuation(t *testing.T) {
	s := newEvacuationSim(t, 2, "d0")
	s.submit(job("j", 2, 1))
	s.run(3 * time.Second)
	s.owner.SetEvacuated([]types.FailureDomain{"d0"})
	s.submit(job("k", 1, 1))
	s.run(time.Second)
	// The order of calls is that of package owner: configuration, then rows.
	cfg := DefaultConfig()
	cfg.Shard, cfg.Epoch, cfg.Incarnation = testShard, 2, 1002
	cfg.FenceRevision = s.table.put(lease.FenceKey(testShard), []byte("2")).Revision
	o := NewOwner(cfg, membership.DefaultConfig(), firstFit{}, s.now)
	o.SetLease(s.now + time.Hour)
	o.SetVMs(evacuationVMs(2, "d0"))
	o.SetEvacuated([]types.FailureDomain{"d0"})
	o.Recover(s.table.scan(task.JobPrefix(testShard)), s.table.scan(task.Prefix(testShard)))
	s.owner = o
	s.run(10 * time.Second)
	if s.starts != 2 {
		t.Fatalf("%d starts, want 2", s.starts)
	}
	s.wantTask("j/1", task.Running, 1)
	s.wantTask("k/0", task.Pending, 0)
	if _, ok := o.NextMove(s.now, acceptAll); !ok {
		t.Fatal("the new owner does not move the waiting job")
	}
}

func acceptAll(*types.Job) bool { return true }

// Guards against one evacuation that ends or hides another.
func TestTwoEvacuatedDomains(t *testing.T) {
	s := newEvacuationSim(t, 2, "d0", "d1")
	s.owner.SetEvacuated([]types.FailureDomain{"d0"})
	s.submit(job("a", 1, 1))
	s.run(3 * time.Second)
	if r := s.wantTask("a/0", task.Running, 1); r.VM != "vm01" {
		t.Fatalf("task runs on %s, want the VM of the other failure domain", r.VM)
	}
	s.owner.SetEvacuated([]types.FailureDomain{"d0", "d1"})
	s.submit(job("b", 1, 1))
	s.run(3 * time.Second)
	s.wantTask("b/0", task.Pending, 0)
	s.owner.SetEvacuated([]types.FailureDomain{"d1"})
	s.run(3 * time.Second)
	if r := s.wantTask("b/0", task.Running, 1); r.VM != "vm00" {
		t.Fatalf("task runs on %s after the end of one evacuation", r.VM)
	}
}

// Guards against an eviction for work that may no longer start there, which would
// stop running work for nothing.
func TestEvacuationAbandonsPreemption(t *testing.T) {
	s := newEvacuationSim(t, 1, "d0")
	s.submit(job("low", 1, 4))
	s.run(3 * time.Second)
	s.workers[0].ignoresCheckpoints = true
	high := job("high", 1, 4)
	high.Urgent = true
	s.submit(high)
	s.run(time.Second)
	if !s.owner.tasks["low/0"].evicting {
		t.Fatal("no eviction has begun")
	}
	s.owner.SetEvacuated([]types.FailureDomain{"d0"})
	s.workers[0].ignoresCheckpoints = false
	s.run(5 * time.Second)
	s.wantTask("low/0", task.Running, 1)
	if held := s.owner.vms["vm00"].held; !held.IsZero() {
		t.Fatalf("%s are still held", held)
	}
}

// moveRows executes a move in the table of another shard and returns its rows.
func moveRows(m Move, to *simTable) (job TableRow, tasks []TableRow) {
	job = to.put(m.JobRow.Key, m.JobRow.Value)
	for _, r := range m.TaskRows {
		if r.Value != nil {
			tasks = append(tasks, to.put(r.Key, r.Value))
		}
	}
	return job, tasks
}

// Guards against work that is lost with an evacuated VM and never placed again,
// or that begins again from its first attempt in the other shard.
func TestLostWorkMovesToAnotherShard(t *testing.T) {
	from, to := newEvacuationSim(t, 2, "d0"), newEvacuationSim(t, 2, "d1")
	from.submit(job("j", 2, 1))
	from.run(3 * time.Second)
	from.owner.SetEvacuated([]types.FailureDomain{"d0"})
	for _, w := range from.workers {
		for _, tr := range w.tasks {
			tr.Phase = PhaseDone
			if tr.Task == "j/1" {
				tr.Phase = PhaseFailed
			}
		}
	}
	if _, ok := from.owner.NextMove(from.now, acceptAll); ok {
		t.Fatal("a job with a live attempt is moved")
	}
	from.run(3 * time.Second)
	if _, ok := from.owner.NextMove(from.now, func(*types.Job) bool { return false }); ok {
		t.Fatal("a job that no other shard may run is moved")
	}
	m, ok := from.owner.NextMove(from.now, acceptAll)
	if !ok || len(m.TaskRows) != 2 {
		t.Fatalf("move %+v, %v", m, ok)
	}
	row, tasks := moveRows(m, to.table)
	from.owner.Moved("j", 1000)
	from.owner.SetEvacuated(nil)
	from.run(3 * time.Second)
	if _, known := from.owner.Task("j/1"); known || from.starts != 2 {
		t.Fatalf("the old owner still has the job, %d starts", from.starts)
	}
	to.owner.Submit(row)
	if out := to.owner.Poll(to.now); len(out.MovedHere) != 1 {
		t.Fatalf("moved jobs %v, want j", out.MovedHere)
	}
	to.owner.SubmitMoved(row, tasks)
	to.run(3 * time.Second)
	to.wantTask("j/0", task.Done, 1)
	if r := to.wantTask("j/1", task.Running, 2); r.Failures != 1 {
		t.Fatalf("row after the move: %+v", r)
	}
	to.finishAll()
	to.run(3 * time.Second)
	if j, _ := task.DecodeJob(to.table.rows[m.JobRow.Key].Value); !j.Finished || j.Done != 2 {
		t.Fatalf("job row %+v, want 2 done tasks", j)
	}
}

// Guards against a job that is placed here while its move is undecided, so that it
// would run in two shards, and against one that a failed move leaves without an
// owner.
func TestUndecidedMoveBlocksPlacement(t *testing.T) {
	s := newEvacuationSim(t, 1, "d0")
	s.owner.SetEvacuated([]types.FailureDomain{"d0"})
	s.submit(job("j", 1, 1))
	s.run(time.Second)
	if _, ok := s.owner.NextMove(s.now, acceptAll); !ok {
		t.Fatal("no move")
	}
	s.owner.SetEvacuated(nil)
	s.run(5 * time.Second)
	s.wantTask("j/0", task.Pending, 0)
	s.owner.NotMoved("j", nil)
	s.run(3 * time.Second)
	s.wantTask("j/0", task.Running, 1)
}

// Guards against a job that moves away and back and is then ignored as finished.
func TestJobMovesBack(t *testing.T) {
	s := newEvacuationSim(t, 1, "d0")
	s.owner.SetEvacuated([]types.FailureDomain{"d0"})
	s.submit(job("j", 1, 1))
	s.run(time.Second)
	stale := s.table.rows[task.JobKey(testShard, "j")]
	m, _ := s.owner.NextMove(s.now, acceptAll)
	s.table.revision++
	s.owner.Moved("j", s.table.revision)
	s.owner.Submit(stale)
	if _, known := s.owner.Task("j/0"); known {
		t.Fatal("a row from before the move adds the job again")
	}
	s.owner.SetEvacuated(nil)
	row, tasks := moveRows(m, s.table)
	s.owner.SubmitMoved(row, tasks)
	s.run(3 * time.Second)
	s.wantTask("j/0", task.Running, 1)
}

// Guards against a moved job whose ended tasks count twice, because it arrives
// while the owner recovers: the job would then finish before its last task.
func TestMovedJobArrivesBeforeRecovery(t *testing.T) {
	s := newEvacuationSim(t, 1, "d0")
	moved := task.JobRow{Job: job("j", 2, 1), Moved: true}
	value, err := moved.Encode()
	if err != nil {
		t.Fatal(err)
	}
	done, err := task.Row{Task: "j/0", Job: "j", State: task.Done, Attempt: 1}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	row := s.table.put(task.JobKey(testShard, "j"), value)
	tasks := []TableRow{s.table.put(task.Key(testShard, "j/0"), done)}
	o := NewOwner(DefaultConfig(), membership.DefaultConfig(), firstFit{}, s.now)
	o.SubmitMoved(row, tasks)
	o.Recover([]TableRow{row}, tasks)
	o.SubmitMoved(row, tasks)
	if n := o.jobs["j"].ended; n != 1 {
		t.Fatalf("%d of 2 tasks count as ended, want 1", n)
	}
}

// Guards against an owner that ignores a placement which a late batch has written
// while a move was undecided: it would place the task a second time.
func TestFailedMoveAdoptsLateRows(t *testing.T) {
	s := newEvacuationSim(t, 1, "d0")
	s.owner.SetEvacuated([]types.FailureDomain{"d0"})
	s.submit(job("j", 1, 1))
	s.run(time.Second)
	if _, ok := s.owner.NextMove(s.now, acceptAll); !ok {
		t.Fatal("no move")
	}
	late, err := task.Row{Task: "j/0", Job: "j", State: task.Placed, Attempt: 1, VM: "vm00", Incarnation: 1, Epoch: 1}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.owner.NotMoved("j", []TableRow{s.table.put(task.Key(testShard, "j/0"), late)})
	s.run(5 * time.Second)
	if s.starts != 0 {
		t.Fatalf("%d starts on the evacuated VM", s.starts)
	}
	s.wantTask("j/0", task.Pending, 1)
	s.owner.SetEvacuated(nil)
	s.run(5 * time.Second)
	s.wantTask("j/0", task.Running, 2)
}

// Guards against any start command to an evacuated VM and any job that is not
// placed after the end, in random orders of submissions, losses, table outages
// and evacuations of two failure domains.
func TestNoStartWhileEvacuated(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newEvacuationSim(t, 4, "d0", "d1")
		evacuated := map[types.FailureDomain]bool{}
		jobs := 0
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "action") {
			case 0:
				s.submit(job(fmt.Sprint("j", jobs), rapid.IntRange(1, 4).Draw(rt, "tasks"), 1))
				jobs++
			case 1:
				d := types.FailureDomain(rapid.SampledFrom([]string{"d0", "d1"}).Draw(rt, "domain"))
				evacuated[d] = !evacuated[d]
				s.setEvacuated(evacuated)
			case 2:
				s.finishAll()
			case 3:
				s.tableDown = !s.tableDown
			}
			for range rapid.IntRange(0, 8).Draw(rt, "polls") {
				s.checkedStep(rt, evacuated, rapid.Bool().Draw(rt, "lost"))
			}
		}
		s.tableDown = false
		s.setEvacuated(nil)
		for range 6 {
			s.run(20 * time.Second)
			s.finishAll()
		}
		s.run(20 * time.Second)
		for _, r := range s.owner.Tasks() {
			rt.Fatalf("task %s is %s long after the end", r.Task, r.State)
		}
	})
}

func (s *sim) setEvacuated(evacuated map[types.FailureDomain]bool) {
	var domains []types.FailureDomain
	for _, d := range []types.FailureDomain{"d0", "d1"} {
		if evacuated[d] {
			domains = append(domains, d)
		}
	}
	s.owner.SetEvacuated(domains)
}

// checkedStep advances the simulation by 100 ms, in which commands may be lost,
// and fails on a start command to an evacuated VM.
func (s *sim) checkedStep(t *rapid.T, evacuated map[types.FailureDomain]bool, lost bool) {
	s.now += 100 * time.Millisecond
	for _, w := range s.workers {
		if reply, ok := s.owner.Heartbeat(s.now, w.heartbeat(s.now)); ok {
			w.acked(s.now, reply)
		}
		s.owner.Report(s.now, w.buildReport(s.now))
	}
	out := s.owner.Poll(s.now)
	for _, c := range out.Commands {
		if c.Kind == CommandStart && evacuated[s.owner.vms[c.VM].vm.FailureDomain] {
			t.Fatalf("start of %s on evacuated VM %s", c.Task, c.VM)
		}
	}
	if lost {
		out.Commands = nil
	}
	s.applyOutput(out)
}
