package shard_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/quota"
	"github.com/boragecrank/boragecrank/internal/core/scheduler"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

func newScheduler() *scheduler.Scheduler {
	return scheduler.New(scheduler.Options{Rand: rand.New(rand.NewPCG(1, 2))})
}

// noPreemption is a scheduler that drops decisions with evictions.
type noPreemption struct{ *scheduler.Scheduler }

func (n noPreemption) Place(d shard.Demand, c []shard.Candidate) shard.Decision {
	a := n.Scheduler.Place(d, c)
	if len(a.Evict) > 0 {
		return shard.Decision{}
	}
	return a
}

// urgentOnFullShard returns the states of two urgent tasks 2.3 s after their
// submission to a shard that is full of batch work.
func urgentOnFullShard(t *testing.T, p shard.Placer) []task.State {
	s := shard.NewSim(t, 4, 4, p)
	s.Submit(shard.BatchJob("low", 16, 1))
	s.Run(8 * time.Second)
	for i := range 16 {
		if r := s.Row(types.TaskID(fmt.Sprintf("low/%d", i))); r.State != task.Running {
			t.Fatalf("task %d of the batch job is %s", i, r.State)
		}
	}
	high := shard.BatchJob("high", 2, 4)
	high.Urgent = true
	s.Submit(high)
	s.Run(2300 * time.Millisecond)
	return []task.State{s.Row("high/0").State, s.Row("high/1").State}
}

// Guards against urgent tasks that wait for batch tasks on a full shard.
func TestUrgentStartsOnFullShard(t *testing.T) {
	for _, state := range urgentOnFullShard(t, newScheduler()) {
		if state != task.Running {
			t.Errorf("urgent task is %s after 2.3 s, want running", state)
		}
	}
	// The shard is so full that an urgent task cannot start without preemption.
	for _, state := range urgentOnFullShard(t, noPreemption{newScheduler()}) {
		if state != task.Pending {
			t.Errorf("without preemption the urgent task is %s, want pending", state)
		}
	}
}

// Guards against infeasible tasks whose reason does not name the constraint.
func TestInfeasibleNamesConstraint(t *testing.T) {
	s := shard.NewSim(t, 2, 4, newScheduler())
	s.Submit(shard.BatchJob("big", 1, 64))
	s.Run(6 * time.Second)
	if r := s.Row("big/0"); r.State != task.Infeasible || !strings.Contains(r.Reason, "processors") {
		t.Fatalf("task is %s: %q, want infeasible with a reason that names processors", r.State, r.Reason)
	}
}

// Guards against a refused task that is started again without backoff. That
// made 1,064 attempts in ten minutes.
func TestRefusedTaskBacksOff(t *testing.T) {
	s := shard.NewSim(t, 1, 4, newScheduler())
	s.OnStart(0, func(r *shard.TaskReport) { r.Phase, r.Blameless = shard.PhaseFailed, true })
	s.Submit(shard.BatchJob("j", 1, 1))
	s.Run(10 * time.Minute)
	if n := s.Row("j/0").Attempt; n < 4 || n > 12 {
		t.Fatalf("%d attempts in ten minutes, want 4 to 12", n)
	}
}

// Guards against placing a task again on the VM that refused it.
func TestRefusingVMIsAvoided(t *testing.T) {
	s := shard.NewSim(t, 2, 4, newScheduler())
	refused := 0
	refuse := func(r *shard.TaskReport) {
		if refused == 0 {
			refused++
			r.Phase, r.Blameless = shard.PhaseFailed, true
		}
	}
	s.OnStart(0, refuse)
	s.OnStart(1, refuse)
	s.Run(4 * time.Second)
	s.Submit(shard.BatchJob("j", 1, 1))
	s.Run(1 * time.Second)
	first := s.Row("j/0").VM
	s.Run(4 * time.Second)
	if r := s.Row("j/0"); r.State != task.Running || r.VM == first || r.Attempt != 2 {
		t.Fatalf("refused on %s; now %s on %s with attempt %d, want running on the other VM with attempt 2", first, r.State, r.VM, r.Attempt)
	}
}

// Guards against jobs that fail because one worker fails every task, and
// against task results that do not reach the health tracker.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	p := newScheduler()
	s := shard.NewSim(t, 6, 4, p)
	s.OnStart(2, func(r *shard.TaskReport) { r.Phase, r.Error = shard.PhaseFailed, "broken disk" })
	for i := range 40 {
		s.Submit(shard.BatchJob(fmt.Sprintf("j%02d", i), 6, 1))
		s.Run(4 * time.Second)
		for k := range 6 {
			if r := s.Row(types.TaskID(fmt.Sprintf("j%02d/%d", i, k))); r.State == task.Failed {
				t.Fatalf("task %s failed: %s", r.Task, r.Reason)
			}
		}
		s.FinishAll()
	}
	if !p.Quarantined("vm02") {
		t.Fatal("the failing worker is not quarantined")
	}
	if p.Quarantined("vm01") {
		t.Fatal("a healthy worker is quarantined")
	}
}

// Guards against measured usage that does not reduce the reservations of later
// tasks.
func TestReservationFollowsUsage(t *testing.T) {
	s := shard.NewSim(t, 2, 8, newScheduler())
	for i := range 2 {
		s.OnStart(i, func(r *shard.TaskReport) { r.Usage = types.Resources{MilliCPU: 500} })
	}
	for i := range 20 {
		j := shard.BatchJob(fmt.Sprintf("j%02d", i), 2, 4)
		j.Kind = "plan"
		s.Submit(j)
		s.Run(2 * time.Minute)
		s.FinishAll()
	}
	j := shard.BatchJob("last", 1, 4)
	j.Kind = "plan"
	s.Submit(j)
	s.Run(5 * time.Second)
	if r := s.Row("last/0"); r.Reserved.MilliCPU == 0 || r.Reserved.MilliCPU > 2000 {
		t.Fatalf("task is %s (%s), reserved %s for a kind that uses half a core", r.State, r.Reason, r.Reserved)
	}
}

// Guards against an ended replica that is not replaced, that ends its job, or
// that is started again without backoff.
func TestEndedReplicaIsReplaced(t *testing.T) {
	s := shard.NewSim(t, 2, 4, newScheduler())
	j := shard.BatchJob("replica", 1, 1)
	j.Class = types.ClassLatencyCritical
	s.Submit(j)
	s.Run(5 * time.Second)
	for attempt := types.Attempt(1); attempt <= 5; attempt++ {
		if r := s.Row("replica/0"); r.State != task.Running || r.Attempt != attempt {
			t.Fatalf("replica is %s, attempt %d; want attempt %d", r.State, r.Attempt, attempt)
		}
		s.FinishAll()
		s.Run(600 * time.Millisecond)
		if r := s.Row("replica/0"); r.State.Live() {
			t.Fatalf("the attempt after attempt %d started without backoff", attempt)
		}
		s.Run(20 * time.Second)
	}
}

// Guards against shards that together give a team more than its quota, and
// against an idle shard that keeps its share of the quota while another shard
// needs it.
func TestQuotaOverShards(t *testing.T) {
	teams := []config.Team{{ID: "team", Quota: types.Resources{MilliCPU: 6000}}}
	row := quota.Row{Team: "team", Total: teams[0].Quota}
	var sims [2]shard.Sim
	var policies [2]*scheduler.Scheduler
	for i := range sims {
		policies[i] = scheduler.New(scheduler.Options{
			Shard: types.ShardID(fmt.Sprint("s", i)), Rand: rand.New(rand.NewPCG(1, 2)),
		})
		policies[i].SetTeams(teams)
		sims[i] = shard.NewSim(t, 2, 8, policies[i])
		j := shard.BatchJob("j", 8, 1)
		j.Team = "team"
		sims[i].Submit(j)
	}
	count := func(s shard.Sim) (n int) {
		for k := range 8 {
			if s.Row(types.TaskID(fmt.Sprint("j/", k))).State.Live() {
				n++
			}
		}
		return n
	}
	step := func() {
		for i, p := range policies {
			sims[i].Run(500 * time.Millisecond)
			if active, _ := p.QuotaTeams(); len(active) > 0 {
				if next, changed := p.PlanQuota(&row); changed {
					next.Revision = row.Revision + 1
					row = next
					p.LoadQuota(&row)
				}
			}
		}
		if a, b := count(sims[0]), count(sims[1]); a+b > 6 {
			t.Fatalf("%d and %d tasks run, the quota holds 6", a, b)
		}
	}
	for range 30 {
		step()
	}
	if a, b := count(sims[0]), count(sims[1]); a+b != 6 {
		t.Fatalf("%d and %d tasks run, the quota holds 6", a, b)
	}
	// Shard 0 is idle after its eight tasks have finished.
	for range 4 {
		sims[0].FinishAll()
		for range 10 {
			step()
		}
	}
	if a, b := count(sims[0]), count(sims[1]); a != 0 || b != 6 {
		t.Fatalf("%d and %d tasks run, want 0 and 6: the second shard has eight tasks to run", a, b)
	}
}

// Guards against a share of a quota that grows by only one task of a job at a
// time. That delayed a job of 24 tasks for seconds although the quota allowed
// all.
func TestShareGrowsForWholeJob(t *testing.T) {
	teams := []config.Team{{ID: "team", Quota: types.Resources{MilliCPU: 100_000}}}
	row := quota.Row{Team: "team", Total: teams[0].Quota}
	p := scheduler.New(scheduler.Options{Shard: "s0", Rand: rand.New(rand.NewPCG(1, 2))})
	p.SetTeams(teams)
	s := shard.NewSim(t, 4, 8, p)
	j := shard.BatchJob("j", 24, 1)
	j.Team = "team"
	s.Submit(j)
	s.Run(500 * time.Millisecond)
	next, changed := p.PlanQuota(&row)
	if held := next.Get("s0").Held; !changed || held.MilliCPU < 24*j.Demand.MilliCPU {
		t.Fatalf("share after one plan is %s, want room for 24 tasks of %s", held, j.Demand)
	}
}
