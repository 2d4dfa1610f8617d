package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Names of parts, and prefixes of the names of parts.
const (
	PartServices     = "services"
	PartTeams        = "teams"
	PartRules        = "rules"
	PartDomainPrefix = "domain/"
	PartJobsPrefix   = "jobs/"
)

// Ref identifies the content of a part.
type Ref struct {
	Name string `json:"name"`
	// Version is the version of the configuration that last changed the part.
	Version types.Version `json:"version"`
	// Hash is the xxhash of the body. It detects damage and changes, but not
	// forgery.
	Hash uint64 `json:"hash"`
}

// Part is one part of a configuration. Its body is canonical JSON: the fields
// are in a fixed order, lists are sorted by name, and there is no white space.
type Part struct {
	Ref
	Body json.RawMessage `json:"body"`
}

// domainBody is the body of the part for a failure domain. This is the largest
// kind of part, so values that all VMs share are stored once.
type domainBody struct {
	Region types.Region `json:"region"`
	Racks  []types.Rack `json:"racks"`
	VMs    []vmBody     `json:"vms"`
}

type vmBody struct {
	ID           types.VMID    `json:"id"`
	Rack         types.Rack    `json:"rack"`
	Shard        types.ShardID `json:"shard"`
	MilliCPU     int64         `json:"mcpu"`
	MemoryBytes  int64         `json:"mem"`
	Accelerators int64         `json:"acc,omitempty"`
	Slots        int           `json:"slots"`
	Connections  int           `json:"conns"`
}

// split encodes content as parts that all have the given version.
func split(version types.Version, content Content) ([]Part, error) {
	s := splitter{version: version}
	for _, d := range content.Domains {
		s.add(PartDomainPrefix+string(d.Name), domainToBody(d))
	}
	services := sortedBy(content.Services, func(v types.Service) string { return string(v.Name) })
	s.add(PartServices, services)
	s.addJobs(content.Jobs)
	teams := sortedBy(content.Teams, func(v Team) string { return string(v.ID) })
	s.add(PartTeams, teams)
	rules := content.Rules
	rules.Evacuate = sortedSet(rules.Evacuate)
	rules.EvacuateByCommand = sortedSet(rules.EvacuateByCommand)
	s.add(PartRules, rules)
	return s.parts, s.err
}

// splitter collects the parts of a configuration. After the first error, add does
// nothing.
type splitter struct {
	version types.Version
	parts   []Part
	err     error
}

func (s *splitter) add(name string, content any) {
	if s.err != nil {
		return
	}
	body, err := json.Marshal(content)
	if err != nil {
		s.err = fmt.Errorf("cannot encode configuration part %q: %w", name, err)
		return
	}
	if slices.ContainsFunc(s.parts, func(p Part) bool { return p.Name == name }) {
		s.err = fmt.Errorf("configuration part %q occurs twice", name)
		return
	}
	ref := Ref{Name: name, Version: s.version, Hash: xxhash.Sum64(body)}
	s.parts = append(s.parts, Part{Ref: ref, Body: body})
}

// addJobs adds one part for the jobs of each team.
func (s *splitter) addJobs(jobs []JobKind) {
	sorted := slices.Clone(jobs)
	for i := range sorted {
		// An empty list becomes nil, because null and [] have different hashes.
		domains := append([]types.FailureDomain(nil), sorted[i].FailureDomains...)
		slices.Sort(domains)
		sorted[i].FailureDomains = domains
	}
	slices.SortFunc(sorted, func(a, b JobKind) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), strings.Compare(a.Kind, b.Kind))
	})
	for len(sorted) > 0 {
		team := sorted[0].Team
		n := 1
		for n < len(sorted) && sorted[n].Team == team {
			n++
		}
		s.add(PartJobsPrefix+string(team), sorted[:n])
		sorted = sorted[n:]
	}
}

func sortedBy[T any](list []T, key func(T) string) []T {
	sorted := append(make([]T, 0, len(list)), list...)
	slices.SortFunc(sorted, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return sorted
}

func domainToBody(d Domain) domainBody {
	b := domainBody{Region: d.Region, Racks: sortedBy(d.Racks, func(r types.Rack) string { return string(r) })}
	b.VMs = make([]vmBody, 0, len(d.VMs))
	for _, vm := range sortedBy(d.VMs, func(v types.VM) string { return string(v.ID) }) {
		b.VMs = append(b.VMs, vmBody{
			ID:           vm.ID,
			Rack:         vm.Rack,
			Shard:        vm.Shard,
			MilliCPU:     vm.Capacity.MilliCPU,
			MemoryBytes:  vm.Capacity.MemoryBytes,
			Accelerators: vm.Capacity.Accelerators,
			Slots:        vm.Slots,
			Connections:  vm.Connections,
		})
	}
	return b
}

func bodyToDomain(name types.FailureDomain, b domainBody) Domain {
	d := Domain{Name: name, Region: b.Region, Racks: b.Racks, VMs: make([]types.VM, 0, len(b.VMs))}
	for _, vm := range b.VMs {
		d.VMs = append(d.VMs, types.VM{
			ID:            vm.ID,
			Region:        b.Region,
			FailureDomain: name,
			Rack:          vm.Rack,
			Shard:         vm.Shard,
			Capacity: types.Resources{
				MilliCPU:     vm.MilliCPU,
				MemoryBytes:  vm.MemoryBytes,
				Accelerators: vm.Accelerators,
			},
			Slots:       vm.Slots,
			Connections: vm.Connections,
		})
	}
	return d
}

// verify returns an error if the body does not have the hash in the reference.
func (p Part) verify() error {
	if got := xxhash.Sum64(p.Body); got != p.Hash {
		return &DamagedError{Part: p.Name, Want: p.Hash, Got: got}
	}
	return nil
}

// decodeInto decodes the part and adds it to content.
func (p Part) decodeInto(content *Content) error {
	switch {
	case strings.HasPrefix(p.Name, PartDomainPrefix):
		var body domainBody
		if err := decodeBody(p, &body); err != nil {
			return err
		}
		name := types.FailureDomain(strings.TrimPrefix(p.Name, PartDomainPrefix))
		content.Domains = append(content.Domains, bodyToDomain(name, body))
		return nil
	case strings.HasPrefix(p.Name, PartJobsPrefix):
		var jobs []JobKind
		if err := decodeBody(p, &jobs); err != nil {
			return err
		}
		content.Jobs = append(content.Jobs, jobs...)
		return nil
	case p.Name == PartServices:
		return decodeBody(p, &content.Services)
	case p.Name == PartTeams:
		return decodeBody(p, &content.Teams)
	case p.Name == PartRules:
		return decodeBody(p, &content.Rules)
	default:
		return fmt.Errorf("configuration part %q has an unknown kind", p.Name)
	}
}

// decodeBody rejects unknown fields: a process of an older release must not
// silently drop a rule that it does not support.
func decodeBody(p Part, into any) error {
	dec := json.NewDecoder(bytes.NewReader(p.Body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("cannot decode configuration part %q: %w", p.Name, err)
	}
	return nil
}

// Encode returns the version and all parts of the configuration as JSON.
func (c *Config) Encode() ([]byte, error) {
	return json.Marshal(encoded{Version: c.version, Parts: c.parts})
}

// Decode parses the format written by Encode and verifies the hash of each
// part.
func Decode(data []byte) (*Config, error) {
	var e encoded
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("cannot decode configuration: %w", err)
	}
	for _, p := range e.Parts {
		if err := p.verify(); err != nil {
			return nil, err
		}
	}
	return assemble(e.Version, e.Parts)
}

type encoded struct {
	Version types.Version `json:"version"`
	Parts   []Part        `json:"parts"`
}
