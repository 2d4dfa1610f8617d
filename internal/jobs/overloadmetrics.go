package jobs

import (
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/core/workflow"
)

// overloadGauges are the gauges of preemption and of the headroom for short work.
type overloadGauges struct {
	claims, served, held              tally.Gauge
	headroom, headroomMemory, waiting tally.Gauge
}

func newOverloadGauges(scope tally.Scope) overloadGauges {
	return overloadGauges{
		claims: scope.Gauge("jobs_preemption_claims"), served: scope.Gauge("jobs_preemption_claims_served"), held: scope.Gauge("jobs_preemption_held_processors"),
		headroom: scope.Gauge("jobs_headroom_processors"), headroomMemory: scope.Gauge("jobs_headroom_memory_bytes"), waiting: scope.Gauge("jobs_headroom_delayed_tasks"),
	}
}

// setPreemption updates the gauges.
func (g *overloadGauges) setPreemption(p workflow.PreemptionStatus, h workflow.HeadroomStatus) {
	const milli = 1000
	g.claims.Update(float64(p.Claims))
	g.served.Update(float64(p.Served))
	g.held.Update(float64(p.HeldMilliCPU) / milli)
	g.headroom.Update(float64(h.Usual.MilliCPU) / milli)
	g.headroomMemory.Update(float64(h.Usual.MemoryBytes))
	g.waiting.Update(float64(h.Delayed))
}
