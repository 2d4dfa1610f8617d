package inventory

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// dimension is one kind of resource and the key that declares it in a file.
type dimension struct {
	key    string
	amount func(types.Resources) int64
	format func(int64) string
}

var dimensions = []dimension{
	{"cores", func(r types.Resources) int64 { return r.MilliCPU }, formatCores},
	{"memory", func(r types.Resources) int64 { return r.MemoryBytes }, formatMemory},
	{"accelerators", func(r types.Resources) int64 { return r.Accelerators }, formatAccelerators},
}

func formatCores(milli int64) string {
	return fmt.Sprintf("%g cores", float64(milli)/1000)
}

func formatMemory(bytes int64) string {
	return fmt.Sprintf("%g GB memory", float64(bytes)/1e9)
}

func formatAccelerators(n int64) string {
	return fmt.Sprintf("%d accelerators", n)
}

// checkWorkloadsFit reports services and jobs whose tasks fit no VM, and nightly
// jobs whose tasks run longer than the overnight window.
func (c *compiler) checkWorkloadsFit() {
	for i := range c.content.Jobs {
		c.checkOvernightRunTime(&c.content.Jobs[i])
	}
	if c.vmsIncomplete || c.doc.Incomplete() {
		return
	}
	if len(c.vms) == 0 && len(c.workloads) > 0 {
		c.reportNoVMs()
		return
	}
	for i := range c.content.Services {
		s := &c.content.Services[i]
		c.checkTaskFits(string(s.Name), s.Demand, nil)
	}
	for i := range c.content.Jobs {
		k := &c.content.Jobs[i]
		c.checkTaskFits(k.Kind, k.Demand, k.FailureDomains)
	}
}

func (c *compiler) reportNoVMs() {
	first := c.workloads[namesOf(c.workloads)[0]]
	c.report.Add(first.record.Pos(), first.record.Object(), "", "the inventory declares services or jobs but no VM",
		"declare VMs with [[vm]] or pass the file that declares them")
}

// checkTaskFits reports a service or job if no allowed VM has the capacity for
// one of its tasks. It reports each resource of which no VM has enough. If every
// single resource fits some VM, it reports the combination. An empty allowed list
// allows all failure domains.
func (c *compiler) checkTaskFits(name string, demand types.Resources, allowed []types.FailureDomain) {
	decl := c.workloads[name]
	if decl == nil || decl.sizeInvalid {
		return
	}
	vms := c.vmsIn(allowed)
	if len(vms) == 0 {
		if len(allowed) > 0 && c.allDeclared(allowed) {
			decl.record.Add(c.report, "failure_domains", "the failure domains have no VM",
				"allow a failure domain with VMs")
		}
		return
	}
	// maxCapacity is the largest amount of each resource on any allowed VM.
	var maxCapacity types.Resources
	for _, vm := range vms {
		if demand.Fits(vm.Capacity) {
			return
		}
		maxCapacity = maxCapacity.Max(vm.Capacity)
	}
	c.reportNoFit(decl, demand, maxCapacity)
}

func (c *compiler) reportNoFit(decl *declaration, demand, maxCapacity types.Resources) {
	combinationOnly := true
	for _, d := range dimensions {
		need, have := d.amount(demand), d.amount(maxCapacity)
		if need <= have {
			continue
		}
		combinationOnly = false
		decl.record.Add(c.report, d.key,
			fmt.Sprintf("fits no VM: it needs %s and the largest allowed VM has %s", d.format(need), d.format(have)),
			"lower "+d.key+" or add a larger VM")
	}
	if combinationOnly {
		decl.record.Add(c.report, "cores",
			fmt.Sprintf("fits no VM: no single VM has %s and %s and %s together",
				formatCores(demand.MilliCPU), formatMemory(demand.MemoryBytes), formatAccelerators(demand.Accelerators)),
			"lower one of the amounts or add a VM that has them all")
	}
}

func (c *compiler) vmsIn(allowed []types.FailureDomain) []types.VM {
	var vms []types.VM
	for _, d := range c.content.Domains {
		if len(allowed) == 0 || slices.Contains(allowed, d.Name) {
			vms = append(vms, d.VMs...)
		}
	}
	return vms
}

func (c *compiler) allDeclared(domains []types.FailureDomain) bool {
	for _, d := range domains {
		if c.domains[string(d)] == nil {
			return false
		}
	}
	return true
}

// checkOvernightRunTime reports a nightly job if one task runs longer than the
// overnight window.
func (c *compiler) checkOvernightRunTime(k *config.JobKind) {
	decl := c.workloads[k.Kind]
	window := c.content.Rules.Overnight.Length()
	if !k.Nightly || !decl.record.Valid("run_time") || k.RunTime <= window || window < minOvernight {
		return
	}
	decl.record.Add(c.report, "run_time",
		fmt.Sprintf("a nightly task of %s cannot end in an overnight window of %s", formatDuration(k.RunTime), formatDuration(window)),
		"split the job into more tasks or widen overnight_start to overnight_end in [rules]")
}

// formatDuration omits the minutes and seconds of whole hours.
func formatDuration(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return d.String()
}

// checkQuotas reports quotas that are smaller than the demand of the team's
// services, and jobs that do not fit in the rest of the quota.
func (c *compiler) checkQuotas() {
	for _, team := range c.content.Teams {
		decl := c.teams[string(team.ID)]
		for _, d := range dimensions {
			key := "quota_" + d.key
			if !decl.record.Valid(key) {
				continue
			}
			quota, need := d.amount(team.Quota), c.servicesDemand(team.ID, d)
			if quota < need {
				decl.record.Add(c.report, key,
					fmt.Sprintf("the quota of %s is below the standing need of the team's services, %s", d.format(quota), d.format(need)),
					fmt.Sprintf("raise the quota to at least %s or lower the services' replicas or sizes", d.format(need)))
				continue
			}
			c.checkJobsFitQuota(team, key, d, quota-need)
		}
	}
}

// maxDemandSum caps sums of declared sizes so that they cannot overflow 64 bits.
// It is above every quota that a file can declare.
const maxDemandSum = 1 << 61

// servicesDemand returns the demand of all replicas of a team's services for one
// resource, capped at maxDemandSum. Services of invalid size are left out.
func (c *compiler) servicesDemand(team types.TeamID, d dimension) int64 {
	var sum int64
	for i := range c.content.Services {
		s := &c.content.Services[i]
		if s.Team != team || c.workloads[string(s.Name)].sizeInvalid {
			continue
		}
		sum = min(maxDemandSum, sum+d.amount(s.Demand)*int64(s.Replicas))
	}
	return sum
}

// checkJobsFitQuota reports jobs that can never start in addition to the services,
// because one task, or all tasks of a gang, need more than the remaining quota.
func (c *compiler) checkJobsFitQuota(team config.Team, key string, d dimension, remaining int64) {
	for i := range c.content.Jobs {
		k := &c.content.Jobs[i]
		decl := c.workloads[k.Kind]
		if k.Team != team.ID || decl.sizeInvalid {
			continue
		}
		need := d.amount(k.Demand)
		subject := "one task"
		if k.Gang {
			need *= int64(k.Tasks)
			subject = "all tasks of the gang"
		}
		if need > remaining {
			decl.record.Add(c.report, d.key,
				fmt.Sprintf("can never run: %s needs %s and the quota of team %q leaves %s beside its services",
					subject, d.format(need), string(team.ID), d.format(remaining)),
				"raise "+key+" of the team or lower "+d.key)
		}
	}
}
