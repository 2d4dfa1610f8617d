package replicas

import (
	"fmt"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// testConfig returns a configuration with one service and one failure domain
// per element of vms, which is its number of VMs.
func testConfig(t *testing.T, replicas int, spread bool, vms ...int) *config.Config {
	t.Helper()
	var content config.Content
	for d, n := range vms {
		domain := config.Domain{Name: types.FailureDomain(fmt.Sprint("d", d)), Racks: []types.Rack{"r"}}
		for i := range n {
			domain.VMs = append(domain.VMs, types.VM{
				ID: types.VMID(fmt.Sprintf("d%d-%02d", d, i)), Rack: "r", Capacity: types.Resources{MilliCPU: 8000},
			})
		}
		config.AssignShards(&domain, nil)
		content.Domains = append(content.Domains, domain)
	}
	content.Services = []types.Service{{Name: "check", Replicas: replicas, SpreadDomains: spread, Demand: types.Resources{MilliCPU: 500}}}
	c, err := config.New(1, content, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// shares returns the number of replicas of the service of testConfig by shard.
func shares(c *config.Config) map[types.ShardID]int {
	s, _ := c.Service("check")
	return Shares(c, s)
}

// Guards against replicas that no shard or two shards run, shares that are not
// proportional to the number of VMs, and more than one share changing when the
// number of replicas changes by one.
func TestShares(t *testing.T) {
	var before map[types.ShardID]int
	for n := range 60 {
		now := shares(testConfig(t, n, false, 40, 20, 10))
		sum, changed := 0, 0
		for id, k := range now {
			sum += k
			changed += max(k-before[id], before[id]-k)
		}
		if sum != n || (n > 0 && changed != 1) {
			t.Fatalf("%d replicas: the shares add up to %d and changed by %d, want a change of 1", n, sum, changed)
		}
		before = now
	}
	c := testConfig(t, 70, false, 40, 20, 10)
	if got := shares(c); got["d1-s00"] != 20 || got["d2-s00"] != 10 {
		t.Fatalf("got shares %v, want 20 for d1-s00 and 10 for d2-s00", got)
	}
	got := shares(testConfig(t, 6, true, 40, 20, 10))
	if got["d0-s00"]+got["d0-s01"] != 2 || got["d1-s00"] != 2 || got["d2-s00"] != 2 {
		t.Fatalf("got shares of a spread service %v, want 2 for each domain", got)
	}
}

// Guards against replicas that are submitted twice, kept after their removal
// from the configuration, or replaced under an ID that was already used.
func TestReconcile(t *testing.T) {
	c := testConfig(t, 3, false, 4)
	plan := Reconcile(c, "d0-s00", nil)
	if len(plan.Submit) != 3 || len(plan.Cancel) != 0 {
		t.Fatalf("got plan %+v, want 3 jobs to submit and none to cancel", plan)
	}
	var rows []task.JobRow
	for _, j := range plan.Submit {
		rows = append(rows, task.JobRow{Job: j})
	}
	if p := Reconcile(c, "d0-s00", rows); len(p.Submit)+len(p.Cancel) != 0 {
		t.Fatalf("second plan is not empty: %+v", p)
	}
	if p := Reconcile(testConfig(t, 1, false, 4), "d0-s00", rows); len(p.Submit) != 0 || len(p.Cancel) != 2 {
		t.Fatalf("got plan for fewer replicas %+v, want none to submit and 2 jobs to cancel", p)
	}
	rows[1].Finished = true
	p := Reconcile(c, "d0-s00", rows)
	if len(p.Submit) != 1 || p.Submit[0].ID == rows[1].Job.ID {
		t.Fatalf("got plan for a finished replica %+v, want one job with a new ID", p)
	}
}
