package jobshard

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// testConfig returns four failure domains of one VM each, a to c in region r and d
// in region q, of which some are evacuated. The VM in c is small.
func testConfig(t interface{ Fatal(...any) }, evacuated ...types.FailureDomain) *config.Config {
	var content config.Content
	for _, name := range []types.FailureDomain{"a", "b", "c", "d"} {
		d := config.Domain{Name: name, Region: "r", VMs: []types.VM{{ID: types.VMID(name), Capacity: types.Resources{MilliCPU: 4000}}}}
		switch name {
		case "c":
			d.VMs[0].Capacity.MilliCPU = 1000
		case "d":
			d.Region = "q"
		}
		config.AssignShards(&d, nil)
		content.Domains = append(content.Domains, d)
	}
	content.Rules.Evacuate = evacuated
	c, err := config.New(1, content, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func job(id string, milli int64, domains ...types.FailureDomain) *types.Job {
	return &types.Job{ID: types.JobID(id), Demand: types.Resources{MilliCPU: milli}, FailureDomains: domains}
}

// Guards against jobs that go to an evacuated failure domain although another may
// run them, and against jobs that are refused because their only one is evacuated.
func TestAllowed(t *testing.T) {
	tests := []struct {
		name      string
		job       *types.Job
		evacuated []types.FailureDomain
		want      []types.ShardID
	}{
		{"none evacuated", job("j", 500), nil, []types.ShardID{"a-s00", "b-s00", "c-s00"}},
		{"one evacuated", job("j", 500), []types.FailureDomain{"a"}, []types.ShardID{"b-s00", "c-s00"}},
		{"the rest is too small", job("j", 2000), []types.FailureDomain{"a", "b"}, []types.ShardID{"a-s00", "b-s00"}},
		{"its only one evacuated", job("j", 500, "b"), []types.FailureDomain{"b"}, []types.ShardID{"b-s00"}},
		{"all evacuated", job("j", 500), []types.FailureDomain{"a", "b", "c"}, []types.ShardID{"a-s00", "b-s00", "c-s00"}},
		{"fits nowhere", job("j", 9000), []types.FailureDomain{"a"}, nil},
	}
	for _, tt := range tests {
		if got := Allowed(testConfig(t, tt.evacuated...), tt.job, "r"); !slices.Equal(got, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a job that moves against its declaration, to another region
// without need, or after the end of the evacuation.
func TestTarget(t *testing.T) {
	tests := []struct {
		name      string
		job       *types.Job
		evacuated []types.FailureDomain
		want      types.ShardID
	}{
		{"not evacuated", job("j", 2000), nil, ""},
		{"another failure domain", job("j", 2000), []types.FailureDomain{"a"}, "b-s00"},
		{"two evacuated", job("j", 500), []types.FailureDomain{"a", "b"}, "c-s00"},
		{"another region", job("j", 2000), []types.FailureDomain{"a", "b"}, "d-s00"},
		{"declaration excludes others", job("j", 500, "a"), []types.FailureDomain{"a"}, ""},
		{"all evacuated", job("j", 500), []types.FailureDomain{"a", "b", "c", "d"}, ""},
	}
	for _, tt := range tests {
		got, ok := Target(testConfig(t, tt.evacuated...), tt.job, "a-s00")
		if got != tt.want || ok != (tt.want != "") {
			t.Errorf("%s: %q, %v, want %q", tt.name, got, ok, tt.want)
		}
	}
}

// Guards against a target that is evacuated or that the declaration excludes, and
// against jobs that all move to one shard.
func TestTargetsAreAllowedAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []types.FailureDomain{"a", "b", "c", "d"}
		subset := rapid.SliceOfNDistinct(rapid.SampledFrom(domains), 0, 4, rapid.ID)
		c := testConfig(t, subset.Draw(t, "evacuated")...)
		j := job("j", rapid.SampledFrom([]int64{500, 2000}).Draw(t, "size"), subset.Draw(t, "declared")...)
		id, ok := Target(c, j, "a-s00")
		if ok && (c.Evacuated(c.ShardDomain(id)) || !fits(c, id, j, "")) {
			t.Fatalf("job moves to %s", id)
		}
	})
	got := map[types.ShardID]int{}
	for i := range 1000 {
		id, _ := Target(testConfig(t, "a"), job(fmt.Sprint("j", i), 500), "a-s00")
		got[id]++
	}
	if got["b-s00"] < 400 || got["c-s00"] < 400 {
		t.Fatalf("1000 jobs move to %v", got)
	}
}
