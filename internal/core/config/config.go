// Package config implements the compiled configuration.
//
// A Config is immutable. Its content is split into parts: one for each failure
// domain, one for the services, one for the jobs of each team, one for the
// teams and one for the rules. Each part has a content hash and the version of
// the configuration that last changed it, so that a change is distributed by
// sending only the parts that it changed.
package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Domain is the inventory of one failure domain.
type Domain struct {
	Name   types.FailureDomain
	Region types.Region
	// Racks is sorted by name.
	Racks []types.Rack
	// VMs is sorted by ID. Region, failure domain and shard are set on each VM.
	VMs []types.VM
}

// Team owns services and jobs and has a quota.
type Team struct {
	ID types.TeamID
	// Quota limits the resources that the team's tasks, including those of its
	// services, use at the same time.
	Quota types.Resources
}

// Content is everything that operators declare, before it is split into parts.
type Content struct {
	Domains  []Domain
	Services []types.Service
	Jobs     []JobKind
	Teams    []Team
	Rules    Rules
}

// Config is one accepted configuration. It must not be changed after New, Apply
// or Decode has returned it. Lookups are safe for concurrent use.
type Config struct {
	version types.Version
	parts   []Part
	content Content
	index   index
}

// New compiles content into the configuration with the given version. Parts
// whose content is the same as in previous keep their version. previous may be
// nil. New fails if a name occurs twice, if content cannot be encoded, or if
// the version is not higher than the version of previous.
func New(version types.Version, content Content, previous *Config) (*Config, error) {
	if previous != nil && version <= previous.version {
		return nil, fmt.Errorf("configuration version %d is not higher than version %d", version, previous.version)
	}
	parts, err := split(version, content)
	if err != nil {
		return nil, err
	}
	if previous != nil {
		keepVersions(parts, previous)
	}
	return assemble(version, parts)
}

// keepVersions sets the version of unchanged parts to the version that last
// changed them.
func keepVersions(parts []Part, previous *Config) {
	for i := range parts {
		old, ok := previous.Part(parts[i].Name)
		if ok && old.Hash == parts[i].Hash {
			parts[i].Version = old.Version
		}
	}
}

// assemble decodes the parts and builds the index.
func assemble(version types.Version, parts []Part) (*Config, error) {
	slices.SortFunc(parts, func(a, b Part) int { return strings.Compare(a.Name, b.Name) })
	c := &Config{version: version, parts: parts}
	for _, p := range parts {
		if err := p.decodeInto(&c.content); err != nil {
			return nil, err
		}
	}
	var err error
	c.index, err = buildIndex(&c.content)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Version returns the version of the configuration. Versions start at 1.
func (c *Config) Version() types.Version {
	return c.version
}

// Parts returns the parts sorted by name. The slice must not be changed.
func (c *Config) Parts() []Part {
	return c.parts
}

// Part returns the part with the given name.
func (c *Config) Part(name string) (Part, bool) {
	i, ok := slices.BinarySearchFunc(c.parts, name, func(p Part, n string) int {
		return strings.Compare(p.Name, n)
	})
	if !ok {
		return Part{}, false
	}
	return c.parts[i], true
}

// Head returns the version and the references of all parts.
func (c *Config) Head() Head {
	h := Head{Version: c.version, Parts: make([]Ref, 0, len(c.parts))}
	for _, p := range c.parts {
		h.Parts = append(h.Parts, p.Ref)
	}
	return h
}

// Content returns the decoded content. Its slices must not be changed.
func (c *Config) Content() *Content {
	return &c.content
}

// Rules returns the operators' rules.
func (c *Config) Rules() Rules {
	return c.content.Rules
}

// SameContent reports whether both configurations have the same parts with the
// same content, whatever their versions.
func (c *Config) SameContent(o *Config) bool {
	return slices.EqualFunc(c.parts, o.parts, func(a, b Part) bool {
		return a.Name == b.Name && a.Hash == b.Hash
	})
}
