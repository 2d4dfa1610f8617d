package examples

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/inventory"
	"github.com/boragecrank/boragecrank/internal/settings"
)

// example holds the expected content of one operator's example. The sizes are
// from docs/design.md, section 1.
type example struct {
	dir               string
	region            types.Region
	domains           []types.FailureDomain
	capacity          types.Resources
	urgentService     types.ServiceName
	alwaysOnService   types.ServiceName
	nightlyJob        string
	teams             int
	favorsTailLatency bool
}

var examples = []example{
	{
		dir: "van-damme", region: "Flanders", domains: []types.FailureDomain{"Brugge", "Gent", "Leuven"},
		capacity:      types.Resources{MilliCPU: 16_000, MemoryBytes: 60e9},
		urgentService: "berth-check", alwaysOnService: "quay-watch", nightlyJob: "night-allocation", teams: 2, favorsTailLatency: true,
	},
	{
		dir: "pedal-library", region: "Kigali", domains: []types.FailureDomain{"Kimironko", "Nyabugogo", "Remera"},
		capacity:      types.Resources{MilliCPU: 64_000, MemoryBytes: 250e9},
		urgentService: "reservation-check", alwaysOnService: "lock-listener", nightlyJob: "fleet-plan", teams: 2,
	},
}

func compile(t *testing.T, dir string) *config.Config {
	t.Helper()
	source, report := inventory.Load(filepath.Join(dir, "inventory"))
	if !report.OK() {
		t.Fatal(report.Text())
	}
	cfg, _ := source.Compile(nil)
	return cfg
}

// Guards against examples whose inventory does not have the size of the operator's
// deployment.
func TestSizes(t *testing.T) {
	for _, e := range examples {
		t.Run(e.dir, func(t *testing.T) {
			cfg := compile(t, e.dir)
			if got := cfg.DomainsOf(e.region); !slices.Equal(got, e.domains) {
				t.Errorf("failure domains %v, want %v", got, e.domains)
			}
			workers := 0
			for _, d := range cfg.Content().Domains {
				workers += len(d.VMs)
				e.checkDomain(t, cfg, d)
			}
			if workers != 11 {
				t.Errorf("%d workers, want 11", workers)
			}
			if n := len(cfg.Shards()); n != 3 {
				t.Errorf("%d shards, want 3", n)
			}
			if n := len(cfg.Content().Teams); n != e.teams {
				t.Errorf("%d teams, want %d", n, e.teams)
			}
			e.checkWork(t, cfg)
			e.checkRules(t, cfg.Rules())
		})
	}
}

func (e example) checkDomain(t *testing.T, cfg *config.Config, d config.Domain) {
	for _, vm := range d.VMs {
		if vm.Capacity != e.capacity {
			t.Errorf("%s has capacity %v, want %v", vm.ID, vm.Capacity, e.capacity)
		}
		if vm.Slots != 8 || vm.Connections != 64 {
			t.Errorf("%s has %d slots and %d connections, want 8 and 64", vm.ID, vm.Slots, vm.Connections)
		}
	}
	for i, rack := range d.Racks {
		n := len(cfg.RackVMs(d.Name, rack))
		last := i == len(d.Racks)-1
		if n > 3 || n == 0 || n < 3 && !last {
			t.Errorf("rack %s has %d VMs, want 3, or 1 to 3 in the last rack of a failure domain", rack, n)
		}
	}
}

func (e example) checkWork(t *testing.T, cfg *config.Config) {
	if s, ok := cfg.Service(e.urgentService); !ok || !s.Urgent || s.Replicas != 11 {
		t.Errorf("service %s: %+v, want urgent with 11 replicas", e.urgentService, s)
	}
	if s, ok := cfg.Service(e.alwaysOnService); !ok || s.Urgent || s.Replicas < 1 {
		t.Errorf("service %s: %+v, want not urgent with at least 1 replica", e.alwaysOnService, s)
	}
	if k, ok := cfg.JobKind(e.nightlyJob); !ok || !k.Nightly || k.Priority != 0 || k.Urgent {
		t.Errorf("job %s: %+v, want nightly, not urgent and priority 0", e.nightlyJob, k)
	}
}

func (e example) checkRules(t *testing.T, r config.Rules) {
	if (r.Weights.TailLatency > r.Weights.Evictions) != e.favorsTailLatency || r.Weights.TailLatency == r.Weights.Evictions {
		t.Errorf("weights %+v, want different weights for tail latency and evictions, the larger one as in the example", r.Weights)
	}
	if !r.Guards {
		t.Error("guards are disabled")
	}
	if r.UrgentStartLimit != 2300*time.Millisecond || r.BatchRunRight != 5*time.Minute {
		t.Errorf("urgent_start_limit %v, batch_run_right %v; want 2.3s, 5m0s", r.UrgentStartLimit, r.BatchRunRight)
	}
	if r.Overnight.Start != 20*time.Hour || r.Overnight.Length() != 10*time.Hour {
		t.Errorf("overnight window %+v, want 10 h from 20:00", r.Overnight)
	}
}

// Guards against settings that do not load, do not match the inventory, or
// assign the same address to two processes.
func TestSettings(t *testing.T) {
	t.Setenv("BORAGECRANK_OPERATORS_TOKEN", "token-of-the-operators")
	t.Setenv("BORAGECRANK_SHARED_KEY", "0123456789abcdef0123456789abcdef")
	for _, e := range examples {
		t.Run(e.dir, func(t *testing.T) {
			cfg := compile(t, e.dir)
			files, err := os.ReadDir(filepath.Join(e.dir, "settings"))
			if err != nil {
				t.Fatal(err)
			}
			count := map[settings.Role]int{}
			internal := map[string]string{}
			for _, f := range files {
				s, err := settings.Load(filepath.Join(e.dir, "settings", f.Name()))
				if err != nil {
					t.Fatal(err)
				}
				count[s.Role]++
				addr := s.Listen.Internal.String()
				if other, ok := internal[addr]; ok {
					t.Errorf("%s and %s share the address %s", f.Name(), other, addr)
				}
				internal[addr] = f.Name()
				e.checkProcess(t, cfg, s)
			}
			if count[settings.RoleWorker] != 11 || count[settings.RoleEntry] != 3 {
				t.Errorf("process counts %v, want 11 workers and 3 entries", count)
			}
		})
	}
}

func (e example) checkProcess(t *testing.T, cfg *config.Config, s *settings.Settings) {
	if s.Region != e.region || !slices.Contains(e.domains, s.FailureDomain) || len(s.Peers) < 2 {
		t.Errorf("%s: region %s, failure domain %s, peers %v; want a region and a failure domain of the example and at least 2 peers", s.ID, s.Region, s.FailureDomain, s.Peers)
	}
	if s.Role != settings.RoleWorker {
		return
	}
	if vm, ok := cfg.VM(s.ID); !ok || vm.FailureDomain != s.FailureDomain {
		t.Errorf("worker %s is not a VM of failure domain %s in the inventory", s.ID, s.FailureDomain)
	}
}
