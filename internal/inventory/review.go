package inventory

import (
	"fmt"
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/jobshard"
	"github.com/boragecrank/boragecrank/internal/core/replicas"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

// Review compiles the content as Compile does and also reports what Compile
// accepts because a later change may make it valid: limits that contradict each
// other, as faults, and entries that have no effect, as warnings. The
// configuration is nil only if Compile would return nil.
func (s *Source) Review(previous *config.Config) (*config.Config, *Report) {
	c := s.newCompiler()
	cfg, report := c.finish(previous)
	if cfg == nil {
		return nil, report
	}
	r := reviewer{compiler: c, cfg: cfg}
	r.reviewServices()
	r.reviewJobs()
	r.reviewEmpty()
	r.reviewEvacuations(previous)
	report.Sort()
	return cfg, report
}

// reviewer checks a compiled configuration.
type reviewer struct {
	*compiler
	cfg *config.Config
}

// warn adds a warning about a key of a record.
func (r *reviewer) warn(record *tomlcheck.Record, key, problem, remedy string) {
	pos := record.KeyPos(key)
	r.report.AddFinding(Finding{
		File: pos.File, Line: pos.Line, Object: record.Object(), Key: key, Problem: problem, Remedy: remedy, Warning: true,
	})
}

// reviewServices reports services whose replicas do not all fit the VMs, and the
// first resource of which all services together need more than the VMs have.
func (r *reviewer) reviewServices() {
	for i := range r.cfg.Content().Services {
		s := &r.cfg.Content().Services[i]
		record := r.workloads[string(s.Name)].record
		all, open := r.copies(s.Demand, nil, false), r.copies(s.Demand, nil, true)
		switch {
		case all < s.Replicas:
			record.Add(r.report, "replicas", fmt.Sprintf("%d replicas cannot run at once: empty VMs have room for %d", s.Replicas, all),
				"lower replicas or the size of a replica, or add VMs")
		case len(replicas.Shares(r.cfg, *s)) == 0:
			r.warn(record, "replicas", "all failure domains that may run it are evacuated, so that no replica starts", "end one of the evacuations")
		case open < s.Replicas:
			r.warn(record, "replicas", fmt.Sprintf("failure domains that are not evacuated have room for %d of %d replicas", open, s.Replicas),
				"end an evacuation or add VMs")
		}
	}
	r.reviewTotal()
}

// reviewTotal reports resources of which the replicas of all services together
// need more than all VMs have.
func (r *reviewer) reviewTotal() {
	for _, d := range dimensions {
		var need, have int64
		for i := range r.cfg.Content().Teams {
			need = min(maxDemandSum, need+r.servicesDemand(r.cfg.Content().Teams[i].ID, d))
		}
		for _, vm := range r.vmsIn(nil) {
			have = min(maxDemandSum, have+d.amount(vm.Capacity))
		}
		if need > have {
			first := r.doc.All(tableService)[0]
			r.report.Add(first.Pos(), "services", d.key,
				fmt.Sprintf("all replicas of all services need %s and all VMs together have %s", d.format(need), d.format(have)),
				"lower replicas or sizes, or add VMs")
		}
	}
}

// copies returns how many tasks of one size fit on the empty VMs of the allowed
// failure domains, or on those that are not evacuated. An empty list allows all.
func (r *reviewer) copies(demand types.Resources, allowed []types.FailureDomain, onlyOpen bool) int {
	n := 0
	for i := range r.cfg.Content().Domains {
		d := &r.cfg.Content().Domains[i]
		if len(allowed) > 0 && !slices.Contains(allowed, d.Name) || onlyOpen && r.cfg.Evacuated(d.Name) {
			continue
		}
		for k := range d.VMs {
			n += copiesOn(demand, d.VMs[k].Capacity)
		}
	}
	return n
}

// copiesOn returns how many tasks of one size fit on an empty VM.
func copiesOn(demand, capacity types.Resources) int {
	n := int64(-1)
	for _, d := range dimensions {
		if need := d.amount(demand); need > 0 {
			if fit := d.amount(capacity) / need; n < 0 || fit < n {
				n = fit
			}
		}
	}
	return int(max(n, 0))
}

// reviewJobs reports gangs that no shard can start, failure domains that can never
// run a task of the job that lists them, and jobs that wait for the end of an
// evacuation.
func (r *reviewer) reviewJobs() {
	for i := range r.cfg.Content().Jobs {
		k := &r.cfg.Content().Jobs[i]
		record := r.workloads[k.Kind].record
		if k.Gang {
			r.reviewGang(k, record)
		}
		for _, d := range k.FailureDomains {
			if r.copies(k.Demand, []types.FailureDomain{d}, false) == 0 {
				r.warn(record, "failure_domains", fmt.Sprintf("failure domain %q has no VM that fits a task", string(d)), "remove it or add a larger VM there")
			}
		}
		job := k.Job(types.JobID(k.Kind), 0)
		if allowed := jobshard.Allowed(r.cfg, &job, ""); len(allowed) > 0 && r.cfg.Evacuated(r.cfg.ShardDomain(allowed[0])) {
			r.warn(record, "failure_domains", "all failure domains that may run it are evacuated, so that its tasks wait", "allow another failure domain or end one of the evacuations")
		}
	}
}

// reviewGang reports a gang that is too large for one transaction or for each
// shard: all its tasks start at once in one shard.
func (r *reviewer) reviewGang(k *config.JobKind, record *tomlcheck.Record) {
	if limit := shard.DefaultConfig().MaxBatchRows; k.Tasks > limit {
		record.Add(r.report, "tasks", fmt.Sprintf("a gang of %d tasks can never start: a gang has at most %d tasks", k.Tasks, limit),
			"lower tasks or remove gang")
		return
	}
	job := k.Job(types.JobID(k.Kind), 0)
	largest := 0
	for _, id := range r.cfg.Shards() {
		if len(job.FailureDomains) > 0 && !slices.Contains(job.FailureDomains, r.cfg.ShardDomain(id)) {
			continue
		}
		n := 0
		for _, name := range r.cfg.ShardVMs(id) {
			vm, _ := r.cfg.VM(name)
			n += copiesOn(k.Demand, vm.Capacity)
		}
		largest = max(largest, n)
	}
	if largest < k.Tasks {
		record.Add(r.report, "tasks", fmt.Sprintf("a gang of %d tasks can never start: the empty VMs of one shard have room for at most %d", k.Tasks, largest),
			"lower tasks or their size, or add VMs to a failure domain")
	}
}

// reviewEmpty reports declarations that nothing refers to, and quotas of a
// resource that no VM has.
func (r *reviewer) reviewEmpty() {
	content := r.cfg.Content()
	for i := range content.Domains {
		d := &content.Domains[i]
		if len(d.VMs) == 0 {
			r.warn(r.domains[string(d.Name)].record, "name", "the failure domain has no VM", "declare VMs in one of its racks or remove it")
		}
		for _, rack := range d.Racks {
			if len(d.VMs) > 0 && len(r.cfg.RackVMs(d.Name, rack)) == 0 {
				r.warn(r.racks[string(rack)].record, "name", "the rack has no VM", "declare VMs in it or remove it")
			}
		}
	}
	accelerators := slices.ContainsFunc(r.vmsIn(nil), func(vm types.VM) bool { return vm.Capacity.Accelerators > 0 })
	for i := range content.Teams {
		t := &content.Teams[i]
		record := r.teams[string(t.ID)].record
		owns := slices.ContainsFunc(content.Services, func(s types.Service) bool { return s.Team == t.ID }) ||
			slices.ContainsFunc(content.Jobs, func(k config.JobKind) bool { return k.Team == t.ID })
		if !owns {
			r.warn(record, "name", "the team has no service and no job", "declare its services or jobs or remove it")
		}
		if t.Quota.Accelerators > 0 && !accelerators {
			r.warn(record, "quota_accelerators", "no VM has accelerators", "remove the quota or add VMs with accelerators")
		}
	}
}

// reviewEvacuations reports evacuations by command that end because the inventory
// no longer declares their failure domain. previous may be nil.
func (r *reviewer) reviewEvacuations(previous *config.Config) {
	if previous == nil {
		return
	}
	for _, d := range previous.Rules().EvacuateByCommand {
		if _, ok := r.cfg.Domain(d); ok {
			continue
		}
		pos := r.doc.One(tableRules).Pos()
		if pos.File == "" {
			pos.File = "inventory" // no file has a table [rules]
		}
		r.report.AddFinding(Finding{
			File: pos.File, Line: pos.Line, Object: tableDomain + " " + quote(string(d)), Warning: true,
			Problem: "it is evacuated by command and no longer declared, so that the evacuation ends with it",
			Remedy:  "declare it until its VMs have stopped",
		})
	}
}
