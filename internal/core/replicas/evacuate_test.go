package replicas

import (
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// evacuate returns the configuration with the failure domains evacuated.
func evacuate(t *testing.T, c *config.Config, domains ...types.FailureDomain) *config.Config {
	t.Helper()
	for _, d := range domains {
		next, err := c.WithEvacuation(d, false)
		if err != nil {
			t.Fatal(err)
		}
		c = next
	}
	return c
}

// rowsOf returns the rows of the jobs that a plan submits.
func rowsOf(p Plan) []task.JobRow {
	rows := make([]task.JobRow, 0, len(p.Submit))
	for _, j := range p.Submit {
		rows = append(rows, task.JobRow{Job: j})
	}
	return rows
}

// Guards against replicas that an evacuated failure domain should run and nobody
// runs, with one and with two evacuated failure domains.
func TestSharesMoveToOtherDomains(t *testing.T) {
	c := testConfig(t, 9, true, 4, 4, 4)
	if got := shares(evacuate(t, c, "d1")); got["d0-s00"]+got["d2-s00"] != 9 || got["d1-s00"] != 0 {
		t.Fatalf("one evacuated: %v, want 9 replicas in the two others", got)
	}
	if got := shares(evacuate(t, c, "d1", "d2")); got["d0-s00"] != 9 {
		t.Fatalf("two evacuated: %v, want 9 replicas in d0", got)
	}
}

// Guards against an evacuation that stops running replicas, in the failure domain
// itself or in one that took over others before it was evacuated too, or that
// starts replicas there.
func TestEvacuatedShardKeepsItsReplicas(t *testing.T) {
	c := testConfig(t, 9, true, 4, 4, 4)
	one := evacuate(t, c, "d1")
	rows := rowsOf(Reconcile(one, "d2-s00", nil))
	if len(rows) < 4 {
		t.Fatalf("d2 runs %d replicas while d1 is evacuated, want more than its third", len(rows))
	}
	rows[0].Finished = true
	two := evacuate(t, one, "d2")
	if p := Reconcile(two, "d2-s00", rows); len(p.Submit)+len(p.Cancel) != 0 {
		t.Fatalf("plan of an evacuated shard: %+v, want no change", p)
	}
	fewer := *two.Content()
	fewer.Services = nil
	removed, _ := config.New(two.Version()+1, fewer, two)
	if p := Reconcile(removed, "d2-s00", rows); len(p.Cancel) != len(rows)-1 {
		t.Fatalf("%d replicas of a removed service are cancelled, want %d", len(p.Cancel), len(rows)-1)
	}
}

// Guards against replicas that run twice, or nowhere, after the end.
func TestReplicasReturnAtTheEnd(t *testing.T) {
	c := testConfig(t, 9, true, 4, 4, 4)
	during := evacuate(t, c, "d1")
	after, err := during.WithEvacuation("d1", true)
	if err != nil {
		t.Fatal(err)
	}
	left := 0
	for _, id := range []types.ShardID{"d0-s00", "d2-s00"} {
		rows := rowsOf(Reconcile(during, id, nil))
		left += len(rows) - len(Reconcile(after, id, rows).Cancel)
	}
	if n := len(Reconcile(after, "d1-s00", nil).Submit); n != 3 || left != 6 {
		t.Fatalf("%d replicas start in d1 and %d stay in the others, want 3 and 6", n, left)
	}
}

// Guards against the loss of a service whose failure domains are all evacuated:
// what runs goes on, and nothing starts.
func TestAllDomainsOfAServiceEvacuated(t *testing.T) {
	c := testConfig(t, 3, true, 4)
	rows := rowsOf(Reconcile(c, "d0-s00", nil))
	all := evacuate(t, c, "d0")
	if p := Reconcile(all, "d0-s00", rows); len(rows) != 3 || len(p.Submit)+len(p.Cancel) != 0 {
		t.Fatalf("plan %+v for %d replicas, want no change", p, len(rows))
	}
	if p := Reconcile(all, "d0-s00", nil); len(p.Submit) != 0 {
		t.Fatalf("%d replicas start", len(p.Submit))
	}
}
