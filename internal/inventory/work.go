package inventory

import (
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

// Priorities of jobs for which [[priority]] sets none.
const (
	defaultPriority = 50
	mayWaitPriority = 0
)

func (c *compiler) compileTeams() {
	for _, r := range c.doc.All(tableTeam) {
		if !c.declareNamed(c.teams, "team", r) {
			continue
		}
		c.content.Teams = append(c.content.Teams, config.Team{
			ID:    types.TeamID(r.String("name")),
			Quota: r.Resources("quota_"),
		})
	}
}

// declareWorkload declares a service or a job and checks its team. It reports whether
// the name was declared.
func (c *compiler) declareWorkload(r *tomlcheck.Record) bool {
	if r.Valid("team") {
		c.checkReference(c.teams, "team", tableTeam, r.String("team"), "team", r)
	}
	if !c.declareNamed(c.workloads, "service or job", r) {
		return false
	}
	sizeValid := r.Valid("cores") && r.Valid("memory") && r.Valid("accelerators")
	c.workloads[r.String("name")].sizeInvalid = !sizeValid
	return true
}

func (c *compiler) compileServices() {
	for _, r := range c.doc.All(tableService) {
		if !c.declareWorkload(r) {
			continue
		}
		c.content.Services = append(c.content.Services, types.Service{
			Name:          types.ServiceName(r.String("name")),
			Team:          types.TeamID(r.String("team")),
			Replicas:      int(r.Int("replicas")),
			Demand:        r.Resources(""),
			Deadline:      r.Duration("deadline"),
			SpreadDomains: r.Bool("spread"),
		})
	}
}

func (c *compiler) compileJobs() {
	for _, r := range c.doc.All(tableJob) {
		if !c.declareWorkload(r) {
			continue
		}
		c.content.Jobs = append(c.content.Jobs, config.JobKind{
			Kind:           r.String("name"),
			Team:           types.TeamID(r.String("team")),
			Priority:       defaultPriority,
			Demand:         r.Resources(""),
			RunTime:        r.Duration("run_time"),
			Tasks:          int(r.Int("tasks")),
			Gang:           r.Bool("gang"),
			Nightly:        r.Bool("nightly"),
			FailureDomains: c.declaredDomains(r, "failure_domains"),
		})
	}
}

// declaredDomains returns the failure domains that a key lists, and reports those
// that are not declared.
func (c *compiler) declaredDomains(r *tomlcheck.Record, key string) []types.FailureDomain {
	domains := make([]types.FailureDomain, 0, len(r.Strings(key)))
	for _, name := range r.Strings(key) {
		c.checkReference(c.domains, "failure domain", tableDomain, name, key, r)
		domains = append(domains, types.FailureDomain(name))
	}
	return domains
}

// applyUrgency applies the lists urgent and may_wait of the rules.
func (c *compiler) applyUrgency(r *tomlcheck.Record) {
	for _, name := range r.Strings("urgent") {
		switch {
		case c.service(name) != nil:
			c.service(name).Urgent = true
		case c.job(name) != nil:
			c.job(name).Urgent = true
		default:
			c.checkWorkloadReference(name, "urgent", r)
		}
	}
	for _, name := range r.Strings("may_wait") {
		c.applyMayWait(name, r)
	}
}

func (c *compiler) applyMayWait(name string, r *tomlcheck.Record) {
	job := c.job(name)
	switch {
	case slices.Contains(r.Strings("urgent"), name):
		r.Add(c.report, "may_wait", quote(name)+" is urgent and may wait at once", "remove it from one of the two lists")
	case c.service(name) != nil:
		r.Add(c.report, "may_wait", "service "+quote(name)+" cannot wait: services always run",
			"list jobs only, or declare it with [[job]]")
	case job != nil:
		job.Priority = mayWaitPriority
	default:
		c.checkWorkloadReference(name, "may_wait", r)
	}
}

// checkWorkloadReference adds a finding if the name is neither a service nor a job,
// unless a fault may hide its declaration.
func (c *compiler) checkWorkloadReference(name, key string, r *tomlcheck.Record) {
	if c.declarationsMayBeHidden(tableService) {
		return
	}
	c.checkReference(c.workloads, "service or job", tableJob, name, key, r)
}

func (c *compiler) applyPriorities() {
	seen := make(map[string]*tomlcheck.Record)
	mayWait := c.doc.One(tableRules).Strings("may_wait")
	for _, r := range c.doc.All(tablePriority) {
		if !r.Valid("job") {
			continue
		}
		name := r.String("job")
		job := c.job(name)
		switch {
		case seen[name] != nil:
			r.Add(c.report, "job", "the priority of "+quote(name)+" is already given at "+seen[name].KeyPos("job").String(),
				"keep one of the two")
		case c.service(name) != nil:
			r.Add(c.report, "job", quote(name)+" is a service and has no priority", "list it under urgent in [rules] instead")
		case job == nil:
			c.checkReference(c.workloads, "job", tableJob, name, "job", r)
		case slices.Contains(mayWait, name):
			r.Add(c.report, "job", quote(name)+" is listed under may_wait, which sets its priority to 0",
				"remove the [[priority]] or remove the job from may_wait")
		case r.Valid("value"):
			job.Priority = int(r.Int("value"))
		}
		seen[name] = r
	}
}

// applyDeadlines sets the deadline of services without one to request_deadline.
func (c *compiler) applyDeadlines() {
	for i := range c.content.Services {
		s := &c.content.Services[i]
		if s.Deadline == 0 {
			s.Deadline = c.content.Rules.RequestDeadline
		}
	}
}

func (c *compiler) service(name string) *types.Service {
	i := slices.IndexFunc(c.content.Services, func(s types.Service) bool { return string(s.Name) == name })
	if i < 0 {
		return nil
	}
	return &c.content.Services[i]
}

func (c *compiler) job(name string) *config.JobKind {
	i := slices.IndexFunc(c.content.Jobs, func(k config.JobKind) bool { return k.Kind == name })
	if i < 0 {
		return nil
	}
	return &c.content.Jobs[i]
}
