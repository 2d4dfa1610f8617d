package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// loadedState returns a state with the task density of the target size: 12,900
// tasks on 950 VMs, 28% of them service replicas. If full is set, batch work
// fills every VM.
func loadedState(b *testing.B, vms int, full bool) *State {
	s := testState(vms, Options{Cost: func(types.VMID, *Request) float64 { return 0.1 }})
	for i := range vms * 12900 / 950 {
		r := batch(fmt.Sprint("t", i), types.Resources{MilliCPU: 1000, MemoryBytes: 3 * gib})
		if i%100 < 28 {
			r.Class, r.Service = types.ClassLatencyCritical, types.ServiceName(fmt.Sprint("s", i%40))
		}
		if d := s.Place(0, &r); d.Outcome == Placed {
			start(b, s, time.Duration(i)*time.Second, r, d.VM)
		}
	}
	for i := 0; full; i++ {
		r := batch(fmt.Sprint("f", i), types.Resources{MilliCPU: 500, MemoryBytes: gib / 2})
		d := s.Place(0, &r)
		if d.Outcome != Placed {
			break
		}
		start(b, s, time.Duration(i)*time.Second, r, d.VM)
	}
	return s
}

var benchSizes = []int{32, 128, 512, 950}

func BenchmarkPlaceAddRemove(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := loadedState(b, n, false)
			r := batch("new", types.Resources{MilliCPU: 500, MemoryBytes: gib})
			b.ReportAllocs()
			for b.Loop() {
				d := s.Place(time.Hour, &r)
				if err := s.Add(tentativeAllocation(0, &r, d.VM)); err != nil {
					b.Fatal(err)
				}
				s.mustRemove("new")
			}
		})
	}
}

func BenchmarkPlaceReplica(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := loadedState(b, n, false)
			r := Request{Task: "new", Service: "s1", Class: types.ClassLatencyCritical, Size: types.Resources{MilliCPU: 500, MemoryBytes: gib}}
			b.ReportAllocs()
			for b.Loop() {
				s.Place(time.Hour, &r)
			}
		})
	}
}

func BenchmarkPreempt(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := loadedState(b, n, true)
			r := batch("new", size(2, 4))
			r.Urgent = true
			if d := s.Place(5*time.Hour, &r); d.Outcome != Preempt {
				b.Fatalf("got %+v, want a preemption", d)
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Place(5*time.Hour, &r)
			}
		})
	}
}

func BenchmarkWaitFull(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := loadedState(b, n, true)
			r := batch("new", size(2, 4))
			b.ReportAllocs()
			for b.Loop() {
				s.Place(5*time.Hour, &r)
			}
		})
	}
}
