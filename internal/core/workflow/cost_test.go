package workflow

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Load: a large deployment under peak load. Standing tasks with targets reserve
// most of the VMs, wide filling steps of 30 images arrive faster than they can
// run, and small steps arrive at the same time.
const (
	fleetVMs       = 160
	fleetStanding  = 20
	fleetImages    = 30
	fleetSettling  = 2 * time.Second
	fleetStep      = 120 * time.Millisecond
	fleetWideTasks = 39
)

func newFleet(tb testing.TB) *harness {
	tb.Helper()
	factors := make(map[string]float64)
	for i := range fleetImages {
		factors[fmt.Sprint("fill", i)] = []float64{0.05, 2.5}[i%2]
	}
	h := newHarness(tb, fleetVMs, factors)
	for i := range fleetStanding {
		s := Step{Tasks: 24, Demand: types.Resources{MilliCPU: 3200}, Standing: true, Image: fmt.Sprint("serve", i%16), TailTarget: 125 * time.Millisecond}
		h.submit(types.JobID(fmt.Sprint("standing", i)), s)
	}
	for h.now < time.Minute+fleetSettling {
		h.step(fleetStep)
	}
	return h
}

// wave submits wide filling steps and small ones.
func (h *harness) wave(i int) {
	if i%2 == 0 {
		h.submit(types.JobID(fmt.Sprint("wide", i)), fillingStep(fmt.Sprint("fill", i%fleetImages), fleetWideTasks))
	}
	for k := range 2 {
		h.submit(types.JobID(fmt.Sprint("small", i, k)), Step{Tasks: 9, Demand: types.Resources{MilliCPU: 950}, RunTime: 600 * time.Millisecond})
	}
}

// BenchmarkLargeFleet measures the time that the owner takes for each 120 ms of
// the load described at fleetVMs.
func BenchmarkLargeFleet(b *testing.B) {
	f := newFleet(b)
	b.ResetTimer()
	spent := time.Duration(0)
	for i := range b.N {
		f.wave(i)
		f.step(fleetStep)
		spent += f.spent
	}
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N)/1000, "owner-ms/op")
}
