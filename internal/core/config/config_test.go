package config

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// content returns a small configuration. n selects one part and a value in it.
func content(n int) Content {
	var c Content
	for d := range 3 {
		domain := Domain{Name: types.FailureDomain(fmt.Sprintf("d%d", d)), Region: "r"}
		for v := range 4 {
			domain.VMs = append(domain.VMs, types.VM{ID: types.VMID(fmt.Sprintf("d%d-%d", d, v)), Slots: 8})
		}
		AssignShards(&domain, nil)
		c.Domains = append(c.Domains, domain)
	}
	c.Teams = []Team{{ID: "t"}, {ID: "a"}}
	switch n % 4 {
	case 0:
		c.Domains[n%3].VMs[0].Slots = n + 1
	case 1:
		c.Services = []types.Service{{Name: "s", Replicas: n}}
	case 2:
		c.Jobs = []JobKind{{Kind: "j", Team: "t", Tasks: n}, {Kind: "i", Team: "a"}}
	default:
		c.Rules.RetryBudget = float64(n)
	}
	return c
}

// history returns the configurations of versions 1 to n.
func history(t interface{ Fatal(...any) }, n int) []*Config {
	var all []*Config
	var previous *Config
	for v := 1; v <= n; v++ {
		c, err := New(types.Version(v), content(v), previous)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		previous = c
	}
	return all
}

// Guards against a version that decreases, or a mix of two versions, when
// deltas arrive late, twice, with gaps or out of order.
func TestDeltasInAnyOrderNeverLowerTheVersion(t *testing.T) {
	all := history(t, 12)
	rapid.Check(t, func(t *rapid.T) {
		var held *Config
		for range rapid.IntRange(1, 40).Draw(t, "deltas") {
			to := rapid.IntRange(0, len(all)-1).Draw(t, "to")
			from := rapid.IntRange(-1, to).Draw(t, "from")
			var base *Config
			if from >= 0 {
				base = all[from]
			}
			before := held.versionOrZero()
			next, err := held.Apply(Difference(base, all[to]))
			if next.versionOrZero() < before {
				t.Fatalf("version decreased from %d to %d", before, next.versionOrZero())
			}
			var gap *GapError
			if err != nil && !errors.As(err, &gap) {
				t.Fatalf("apply: %v", err)
			}
			if err == nil && next.versionOrZero() < all[to].version {
				t.Fatalf("delta to %d left version %d without an error", all[to].version, next.versionOrZero())
			}
			if err != nil && from <= int(before)-1 {
				t.Fatalf("delta from %d rejected by a process that holds version %d: %v", from+1, before, err)
			}
			if next != nil && !next.SameContent(all[next.version-1]) {
				t.Fatalf("version %d has the content of another version", next.version)
			}
			held = next
		}
	})
}

// Guards against a change whose delta contains the whole inventory.
func TestDeltaContainsOnlyChangedParts(t *testing.T) {
	base := content(0)
	first, _ := New(1, base, nil)
	base.Rules.RetryBudget = 0.5
	second, _ := New(2, base, first)
	d := Difference(first, second)
	if len(d.Parts) != 1 || d.Parts[0].Name != PartRules {
		t.Fatalf("delta contains %v, want only %q", d.Parts, PartRules)
	}
	if p, _ := second.Part(PartServices); p.Version != 1 {
		t.Fatalf("unchanged part has version %d, want 1", p.Version)
	}
}

// Guards against accepting a damaged part, or two different configurations of
// one version.
func TestApplyRefusesDamageAndDivergence(t *testing.T) {
	all := history(t, 3)
	d := Difference(all[0], all[1])
	d.Parts[0].Body = append([]byte{}, d.Parts[0].Body...)
	d.Parts[0].Body[0] ^= 1
	var damaged *DamagedError
	if _, err := all[0].Apply(d); !errors.As(err, &damaged) {
		t.Fatalf("damaged part: got %v", err)
	}
	var diverged *DivergedError
	other, _ := New(2, content(7), nil)
	if _, err := all[1].Apply(Difference(nil, other)); !errors.As(err, &diverged) {
		t.Fatalf("different content of version 2: got %v", err)
	}
	older := Difference(all[1], all[2])
	for i := range older.Head.Parts {
		older.Head.Parts[i].Version = 0
	}
	if _, err := all[1].Apply(older); !errors.As(err, &diverged) {
		t.Fatalf("older part in a later version: got %v", err)
	}
	if _, err := New(3, content(3), all[2]); err == nil {
		t.Fatal("New accepted the version of the previous configuration")
	}
}

// Guards against content whose hash depends on the order of declarations, and
// against an encoding that loses information.
func TestCanonicalForm(t *testing.T) {
	a := content(2)
	b := content(2)
	b.Teams[0], b.Teams[1] = b.Teams[1], b.Teams[0]
	b.Jobs[0], b.Jobs[1] = b.Jobs[1], b.Jobs[0]
	b.Domains[0], b.Domains[2] = b.Domains[2], b.Domains[0]
	a.Jobs[0].FailureDomains = []types.FailureDomain{"x", "y"}
	b.Jobs[1].FailureDomains = []types.FailureDomain{"y", "x"}
	first, _ := New(1, a, nil)
	second, _ := New(2, b, first)
	if !first.SameContent(second) {
		t.Fatal("the order of declarations changed the content")
	}
	data, err := first.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := Decode(data)
	if err != nil || !back.SameContent(first) || back.Version() != 1 {
		t.Fatalf("round trip: %v", err)
	}
	if vm, ok := back.VM("d1-2"); !ok || vm.FailureDomain != "d1" || vm.Region != "r" || vm.Shard != "d1-s00" {
		t.Fatalf("VM after round trip: %+v", vm)
	}
	data[len(data)-10] ^= 1
	if _, err := Decode(data); err == nil {
		t.Fatal("damaged encoding was accepted")
	}
}

// Guards against VMs that move between shards, and shards that are too large or
// unevenly filled.
func TestShardsAreSticky(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var previous *Config
		for version := 1; version <= 4; version++ {
			d := Domain{Name: "d", Region: "r"}
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 150), 1, 120, rapid.ID[int]).Draw(t, "vms") {
				d.VMs = append(d.VMs, types.VM{ID: types.VMID(fmt.Sprintf("vm-%03d", n))})
			}
			AssignShards(&d, previous)
			vmCounts := map[types.ShardID]int{}
			for _, vm := range d.VMs {
				vmCounts[vm.Shard]++
				if old, ok := previous.lookupVM(vm.ID); ok && old.Shard != vm.Shard {
					t.Fatalf("VM %s moved from %s to %s", vm.ID, old.Shard, vm.Shard)
				}
			}
			lo, hi := len(d.VMs), 0
			for id, n := range vmCounts {
				lo, hi = min(lo, n), max(hi, n)
				if n > MaxShardVMs {
					t.Fatalf("shard %s has %d VMs", id, n)
				}
			}
			if previous == nil && hi-lo > 1 {
				t.Fatalf("first assignment has uneven shards: %v", vmCounts)
			}
			next, err := New(types.Version(version), Content{Domains: []Domain{d}}, previous)
			if err != nil {
				t.Fatal(err)
			}
			previous = next
		}
	})
}

// Guards against taking new work without any recent contact, and against
// refusing it in an outage of the table alone.
func TestConfirmer(t *testing.T) {
	cfg, _ := New(1, content(0), nil)
	const s = time.Second
	steps := []struct {
		name string
		do   func(c *Confirmer)
		now  time.Duration
		want Basis
	}{
		{"no configuration", func(c *Confirmer) { c.Confirmed(0, 1) }, 0, BasisNoConfiguration},
		{"held version confirmed", func(c *Confirmer) { c.Hold(cfg, "r") }, 5 * s, BasisConfirmed},
		{"cut off", func(*Confirmer) {}, 5*s + 1, BasisNoContact},
		{"table reached", func(c *Confirmer) { c.TableReached(6 * s) }, 11 * s, BasisTable},
		{"one domain of three", func(c *Confirmer) { c.PeerReached(12*s, "d0") }, 12 * s, BasisNoContact},
		{"the same domain again", func(c *Confirmer) { c.PeerReached(13*s, "d0") }, 13 * s, BasisNoContact},
		{"domain of another region", func(c *Confirmer) { c.PeerReached(13*s, "far") }, 13 * s, BasisNoContact},
		{"two of three", func(c *Confirmer) { c.PeerReached(14*s, "d2") }, 18 * s, BasisMajority},
		{"late record of an old contact", func(c *Confirmer) { c.PeerReached(1*s, "d2") }, 18 * s, BasisMajority},
		{"contacts expired", func(*Confirmer) {}, 18*s + 1, BasisNoContact},
	}
	c := NewConfirmer()
	for _, step := range steps {
		step.do(c)
		got := c.MayTakeNew(step.now)
		mayTake := step.want >= BasisConfirmed
		if got.Basis != step.want || got.MayTakeNew != mayTake {
			t.Fatalf("%s: got %v %v, want %v", step.name, got.Basis, got.MayTakeNew, step.want)
		}
	}
	c.Confirmed(20*s, 3)
	if d, v := c.Behind(23 * s); d != 3*s || v != 3 {
		t.Fatalf("behind by %v and version %d, want 3s and version 3", d, v)
	}
	third, _ := New(3, content(0), cfg)
	c.Hold(third, "r")
	c.Hold(cfg, "r")
	if d, _ := c.Behind(24 * s); d != 0 || c.Held() != 3 {
		t.Fatalf("after catching up: behind by %v, held version %d", d, c.Held())
	}
}

// Guards against wrong results for a window that crosses midnight.
func TestWindow(t *testing.T) {
	w := Window{Start: 20 * time.Hour, End: 6 * time.Hour}
	if w.Length() != 10*time.Hour || w.UntilEnd(23*time.Hour) != 7*time.Hour || w.UntilStart(19*time.Hour) != time.Hour {
		t.Fatalf("length %v, until end %v, until start %v", w.Length(), w.UntilEnd(23*time.Hour), w.UntilStart(19*time.Hour))
	}
	for at, want := range map[time.Duration]bool{20 * time.Hour: true, 0: true, 6 * time.Hour: false, 12 * time.Hour: false} {
		if w.Contains(at) != want {
			t.Fatalf("window contains %v: got %v", at, !want)
		}
	}
}

// Guards against lookups that miss elements.
func TestLookups(t *testing.T) {
	in := content(2)
	in.Domains[0].VMs[1].Rack = "k"
	in.Domains[0].VMs[3].Rack = "k"
	c, err := New(1, in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := c.RackVMs("d0", "k"); len(got) != 2 || got[1] != "d0-3" {
		t.Fatalf("rack VMs %v", got)
	}
	if len(c.Shards()) != 3 || len(c.ShardVMs("d2-s00")) != 4 || len(c.DomainsOf("r")) != 3 {
		t.Fatalf("shards %v", c.Shards())
	}
	if k, ok := c.JobKind("j"); !ok || k.Job("x", 0).Kind != "j" {
		t.Fatalf("job kind %+v", k)
	}
	if _, ok := c.Team("none"); ok {
		t.Fatal("unknown team was found")
	}
}
