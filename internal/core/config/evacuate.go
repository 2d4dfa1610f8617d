package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// EvacuatedDomains returns the failure domains that are evacuated by the
// inventory or by command, sorted and without duplicates.
func (r *Rules) EvacuatedDomains() []types.FailureDomain {
	return sortedSet(slices.Concat(r.Evacuate, r.EvacuateByCommand))
}

// Evacuated reports whether no new work may start in the failure domain.
func (c *Config) Evacuated(domain types.FailureDomain) bool {
	r := &c.content.Rules
	return slices.Contains(r.Evacuate, domain) || slices.Contains(r.EvacuateByCommand, domain)
}

// ShardDomain returns the failure domain of a shard's VMs, or an empty name if
// the shard is unknown.
func (c *Config) ShardDomain(id types.ShardID) types.FailureDomain {
	vms := c.ShardVMs(id)
	if len(vms) == 0 {
		return ""
	}
	vm, _ := c.VM(vms[0])
	return vm.FailureDomain
}

// UnknownDomainError means that a failure domain to evacuate is not declared.
type UnknownDomainError struct {
	Domain types.FailureDomain
	// Known are the declared failure domains, sorted.
	Known []types.FailureDomain
}

// Error returns a message with the unknown and the known failure domains.
func (e *UnknownDomainError) Error() string {
	known := make([]string, len(e.Known))
	for i, d := range e.Known {
		known[i] = string(d)
	}
	return fmt.Sprintf("failure domain %q is not declared; the declared ones are: %s", e.Domain, strings.Join(known, ", "))
}

// DeclaredEvacuationError means that an evacuation cannot be ended by command,
// because the inventory declares it: the next apply would begin it again.
type DeclaredEvacuationError struct {
	Domain types.FailureDomain
}

// Error returns a message with the failure domain.
func (e *DeclaredEvacuationError) Error() string {
	return fmt.Sprintf("the evacuation of failure domain %q is declared in the inventory", e.Domain)
}

// CheckEvacuation returns an *UnknownDomainError if the rules evacuate a failure
// domain that is not declared. A configuration with such a rule must not be
// accepted: the evacuation would be without effect.
func (c *Config) CheckEvacuation() error {
	for _, d := range c.content.Rules.EvacuatedDomains() {
		if err := c.checkDomain(d); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkDomain(domain types.FailureDomain) error {
	if _, ok := c.Domain(domain); ok {
		return nil
	}
	known := make([]types.FailureDomain, 0, len(c.content.Domains))
	for i := range c.content.Domains {
		known = append(known, c.content.Domains[i].Name)
	}
	slices.Sort(known)
	return &UnknownDomainError{Domain: domain, Known: known}
}

// WithEvacuation returns the configuration that succeeds c, in which the failure
// domain is evacuated by command or, if end is set, is no longer evacuated. It
// returns c itself if nothing changes. Errors include *UnknownDomainError and
// *DeclaredEvacuationError.
func (c *Config) WithEvacuation(domain types.FailureDomain, end bool) (*Config, error) {
	if err := c.checkDomain(domain); err != nil {
		return nil, err
	}
	r := c.content.Rules
	if end && slices.Contains(r.Evacuate, domain) {
		return nil, &DeclaredEvacuationError{Domain: domain}
	}
	if slices.Contains(r.EvacuateByCommand, domain) != end {
		return c, nil
	}
	if end {
		r.EvacuateByCommand = slices.DeleteFunc(slices.Clone(r.EvacuateByCommand), func(d types.FailureDomain) bool { return d == domain })
	} else {
		r.EvacuateByCommand = append(slices.Clone(r.EvacuateByCommand), domain)
	}
	content := c.content
	content.Rules = r
	return New(c.version+1, content, c)
}

// KeepEvacuations sets the evacuations by command of content to those of
// previous whose failure domain is still declared, so that applying an inventory
// ends none. previous may be nil.
func KeepEvacuations(content *Content, previous *Config) {
	content.Rules.EvacuateByCommand = nil
	if previous == nil {
		return
	}
	for _, domain := range previous.content.Rules.EvacuateByCommand {
		if slices.ContainsFunc(content.Domains, func(d Domain) bool { return d.Name == domain }) {
			content.Rules.EvacuateByCommand = append(content.Rules.EvacuateByCommand, domain)
		}
	}
}

// sortedSet returns a sorted copy without duplicates, or nil if the list is
// empty.
func sortedSet(domains []types.FailureDomain) []types.FailureDomain {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if len(sorted) == 0 {
		return nil
	}
	return sorted
}
