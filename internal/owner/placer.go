package owner

import (
	"fmt"

	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// WorstFit places each task on the available VM with the most free processors,
// so that load spreads.
type WorstFit struct{}

// Place implements shard.Placer.
func (WorstFit) Place(d shard.Demand, candidates []shard.Candidate) shard.Decision {
	best := -1
	feasible := false
	for i := range candidates {
		c := &candidates[i]
		if !allowed(d.Job, c.VM.FailureDomain) || !d.Job.Demand.Fits(c.VM.Capacity) {
			continue
		}
		feasible = true
		if !c.Available || !d.Job.Demand.Fits(c.Free) {
			continue
		}
		if best < 0 || c.Free.MilliCPU > candidates[best].Free.MilliCPU {
			best = i
		}
	}
	switch {
	case best >= 0:
		return shard.Decision{VM: candidates[best].VM.ID}
	case !feasible && len(candidates) > 0:
		return shard.Decision{Infeasible: fmt.Sprintf("no VM of the shard holds %s", d.Job.Demand)}
	default:
		return shard.Decision{}
	}
}

func allowed(j *types.Job, domain types.FailureDomain) bool {
	if len(j.FailureDomains) == 0 {
		return true
	}
	for _, d := range j.FailureDomains {
		if d == domain {
			return true
		}
	}
	return false
}
