package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// targetContent returns a configuration of the target size: 950 VMs in 3
// regions and 10 failure domains, 120 teams with 10 kinds of jobs each, and 300
// services.
func targetContent() Content {
	var c Content
	for d := range 10 {
		domain := Domain{Name: types.FailureDomain(fmt.Sprintf("domain-%02d", d)), Region: types.Region(fmt.Sprintf("region-%d", d%3))}
		for v := range 95 {
			domain.VMs = append(domain.VMs, types.VM{
				ID:       types.VMID(fmt.Sprintf("domain-%02d-%03d", d, v)),
				Rack:     types.Rack(fmt.Sprintf("domain-%02d-r%02d", d, v/3)),
				Capacity: types.Resources{MilliCPU: 64_000, MemoryBytes: 250e9},
				Slots:    8, Connections: 64,
			})
		}
		AssignShards(&domain, nil)
		c.Domains = append(c.Domains, domain)
	}
	for n := range 120 {
		team := types.TeamID(fmt.Sprintf("team-%03d", n))
		c.Teams = append(c.Teams, Team{ID: team, Quota: types.Resources{MilliCPU: 500_000, MemoryBytes: 2e12}})
		for j := range 10 {
			c.Jobs = append(c.Jobs, JobKind{
				Kind: fmt.Sprintf("job-%03d-%02d", n, j), Team: team, Priority: 50, Tasks: 20, RunTime: time.Hour,
				Demand: types.Resources{MilliCPU: 4000, MemoryBytes: 16e9},
			})
		}
	}
	for n := range 300 {
		c.Services = append(c.Services, types.Service{
			Name: types.ServiceName(fmt.Sprintf("service-%03d", n)), Team: c.Teams[n%120].ID, Replicas: 12,
			Demand: types.Resources{MilliCPU: 2000, MemoryBytes: 8e9}, Deadline: time.Second,
		})
	}
	return c
}

// Guards against a configuration that is too large for a process that holds it. One
// configuration must stay within 4 MB of the process's 32 MB of memory, and 700
// deltas a day within a tenth of its 3 KB/s of traffic.
func TestTargetSizeFitsMemoryAndTraffic(t *testing.T) {
	content := targetContent()
	first, err := New(1, content, nil)
	if err != nil {
		t.Fatal(err)
	}
	full, _ := json.Marshal(Difference(nil, first))
	encodedFirst, _ := first.Encode()
	heap := retainedHeap(func() any {
		c, err := Decode(encodedFirst)
		if err != nil {
			t.Fatal(err)
		}
		return c
	})
	runtime.KeepAlive(encodedFirst)
	content.Domains[3].VMs[7].Slots = 9
	second, _ := New(2, content, first)
	vmDelta, _ := json.Marshal(Difference(first, second))
	content.Jobs[40].Tasks++
	third, _ := New(3, content, second)
	jobDelta, _ := json.Marshal(Difference(second, third))
	perSecond := float64(700*len(vmDelta)) / (24 * 3600)
	t.Logf("full configuration %d B, delta of a VM %d B, of a job %d B, 700 VM deltas a day %.0f B/s, heap %d KB",
		len(full), len(vmDelta), len(jobDelta), perSecond, heap>>10)
	if heap < uint64(len(full)) {
		t.Errorf("measured heap of %d bytes is smaller than the bodies of the parts", heap)
	}
	if heap > 4<<20 {
		t.Errorf("one configuration uses %d bytes of heap, want at most 4 MB", heap)
	}
	if perSecond > 300 {
		t.Errorf("700 deltas a day cost %.0f B/s, want at most 300", perSecond)
	}
}

// retainedHeap returns the number of heap bytes that the result of build
// retains.
func retainedHeap(build func() any) uint64 {
	var before, after runtime.MemStats
	// Buffers in a sync.Pool survive the first collection.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return after.HeapAlloc - min(after.HeapAlloc, before.HeapAlloc)
}

func BenchmarkApplyTargetSize(b *testing.B) {
	content := targetContent()
	first, _ := New(1, content, nil)
	content.Domains[3].VMs[7].Slots = 9
	second, _ := New(2, content, first)
	d := Difference(first, second)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := first.Apply(d); err != nil {
			b.Fatal(err)
		}
	}
}
