package config

import (
	"fmt"
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// index looks up the elements of a Content by name or ID. Its pointers refer to
// the slices of the Content.
type index struct {
	vms      map[types.VMID]*types.VM
	services map[types.ServiceName]*types.Service
	jobs     map[string]*JobKind
	teams    map[types.TeamID]*Team
	domains  map[types.FailureDomain]*Domain
	shards   map[types.ShardID][]types.VMID
}

func buildIndex(c *Content) (index, error) {
	x := index{
		vms:      make(map[types.VMID]*types.VM),
		services: make(map[types.ServiceName]*types.Service),
		jobs:     make(map[string]*JobKind),
		teams:    make(map[types.TeamID]*Team),
		domains:  make(map[types.FailureDomain]*Domain),
		shards:   make(map[types.ShardID][]types.VMID),
	}
	for i := range c.Domains {
		d := &c.Domains[i]
		if err := insert(x.domains, d.Name, d, "failure domain"); err != nil {
			return x, err
		}
		if err := x.addVMs(d); err != nil {
			return x, err
		}
	}
	for i := range c.Services {
		if err := insert(x.services, c.Services[i].Name, &c.Services[i], "service"); err != nil {
			return x, err
		}
	}
	for i := range c.Jobs {
		if err := insert(x.jobs, c.Jobs[i].Kind, &c.Jobs[i], "job"); err != nil {
			return x, err
		}
	}
	for i := range c.Teams {
		if err := insert(x.teams, c.Teams[i].ID, &c.Teams[i], "team"); err != nil {
			return x, err
		}
	}
	return x, nil
}

func (x *index) addVMs(d *Domain) error {
	for i := range d.VMs {
		vm := &d.VMs[i]
		if err := insert(x.vms, vm.ID, vm, "VM"); err != nil {
			return err
		}
		x.shards[vm.Shard] = append(x.shards[vm.Shard], vm.ID)
	}
	return nil
}

func insert[K ~string, V any](m map[K]*V, key K, v *V, kind string) error {
	if _, ok := m[key]; ok {
		return fmt.Errorf("%s %q occurs twice", kind, key)
	}
	m[key] = v
	return nil
}

func lookup[K comparable, V any](m map[K]*V, key K) (V, bool) {
	v, ok := m[key]
	if !ok {
		var zero V
		return zero, false
	}
	return *v, true
}

// VM returns the VM with the given ID.
func (c *Config) VM(id types.VMID) (types.VM, bool) {
	return lookup(c.index.vms, id)
}

// Service returns the service with the given name.
func (c *Config) Service(name types.ServiceName) (types.Service, bool) {
	return lookup(c.index.services, name)
}

// JobKind returns the kind of job with the given name.
func (c *Config) JobKind(kind string) (JobKind, bool) {
	return lookup(c.index.jobs, kind)
}

// Team returns the team with the given ID.
func (c *Config) Team(id types.TeamID) (Team, bool) {
	return lookup(c.index.teams, id)
}

// Domain returns the failure domain with the given name.
func (c *Config) Domain(name types.FailureDomain) (Domain, bool) {
	return lookup(c.index.domains, name)
}

// ShardVMs returns the VMs of a shard sorted by ID. The slice must not be
// changed.
func (c *Config) ShardVMs(id types.ShardID) []types.VMID {
	return c.index.shards[id]
}

// Shards returns the sorted IDs of all shards.
func (c *Config) Shards() []types.ShardID {
	ids := make([]types.ShardID, 0, len(c.index.shards))
	for id := range c.index.shards {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// DomainsOf returns the failure domains of a region sorted by name.
func (c *Config) DomainsOf(region types.Region) []types.FailureDomain {
	var names []types.FailureDomain
	for i := range c.content.Domains {
		if c.content.Domains[i].Region == region {
			names = append(names, c.content.Domains[i].Name)
		}
	}
	return names
}

// RackVMs returns the VMs of one rack sorted by ID.
func (c *Config) RackVMs(domain types.FailureDomain, rack types.Rack) []types.VMID {
	d, ok := c.Domain(domain)
	if !ok {
		return nil
	}
	var ids []types.VMID
	for i := range d.VMs {
		if d.VMs[i].Rack == rack {
			ids = append(ids, d.VMs[i].ID)
		}
	}
	return ids
}
