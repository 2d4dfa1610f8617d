package placement

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Weights of the score. One replica more in the same failure domain outweighs
// one in the same rack, which outweighs one on the same VM and any load. A
// single full VM counts 1.
const (
	weightDomain = 16.0
	weightRack   = 4.0
	weightSameVM = 2.0
	// weightAcceleratorVM keeps tasks without accelerators off VMs that have
	// them while others have room.
	weightAcceleratorVM = 0.5
)

// Place decides where a task should run. It changes nothing. It allocates
// nothing unless it preempts.
func (s *State) Place(now time.Duration, r *Request) Decision {
	s.rebuild()
	late := r.Deadline > 0 && now+r.RunTime > r.Deadline
	if d, ok := s.checkInput(r); !ok {
		d.Late = late
		return d
	}
	s.chooseHolders()
	if i := s.bestFree(r); i >= 0 {
		return Decision{Outcome: Placed, VM: s.vms[i].ID, Late: late}
	}
	if c, limit := s.infeasible(r); c != NoConstraint {
		return Decision{Outcome: Infeasible, Binding: c, Limit: limit, Late: late}
	}
	if mayPreempt(r) {
		if d, ok := s.preempt(now, r); ok {
			d.Late = late
			return d
		}
	}
	return Decision{Outcome: Wait, Binding: s.waitsFor(r), Late: late}
}

func (s *State) checkInput(r *Request) (Decision, bool) {
	if r.Size.Negative() {
		return Decision{Outcome: Infeasible, Binding: ConstraintInvalid}, false
	}
	if r.Quota.Limited && !r.Size.Fits(r.Quota.Total) {
		return Decision{Outcome: Infeasible, Binding: ConstraintQuota, Limit: r.Quota.Total}, false
	}
	if r.Quota.Limited && !r.Size.Fits(r.Quota.Left) {
		return Decision{Outcome: Wait, Binding: ConstraintQuota}, false
	}
	return Decision{}, true
}

// bestFree returns the candidate with the lowest score among VMs with room, or
// -1. The search starts at a random position and wraps around.
func (s *State) bestFree(r *Request) int {
	n := len(s.order)
	if n == 0 {
		return -1
	}
	start := s.rng.IntN(n)
	best, bestScore, seen := -1, 0.0, 0
	for part := 0; part < 2 && seen < candidateLimit; part++ {
		from, end := start, n
		if part == 1 {
			from, end = 0, start
		}
		for seen < candidateLimit {
			pos := s.free.next(from, r.Size)
			if pos < 0 || pos >= end {
				break
			}
			from = pos + 1
			i := s.order[pos]
			if !allowed(&s.vms[i], r) || s.takesHeadroom(i, r) {
				continue
			}
			seen++
			if score := s.score(i, r); best < 0 || score < bestScore {
				best, bestScore = i, score
			}
		}
	}
	return best
}

// allowed reports whether the request's restrictions admit the VM.
func allowed(vm *vmState, r *Request) bool {
	if r.Avoid != "" && vm.ID == r.Avoid {
		return false
	}
	return len(r.Domains) == 0 || slices.Contains(r.Domains, vm.FailureDomain)
}

// score is lower for better VMs: spread of the service, load after the start,
// and the caller's cost.
func (s *State) score(i int, r *Request) float64 {
	vm := &s.vms[i]
	score := fill(vm.used.Add(r.Size), vm.Capacity)
	if vm.Capacity.Accelerators > 0 && r.Size.Accelerators == 0 {
		score += weightAcceleratorVM
	}
	if r.Service != "" {
		if c := s.spread[r.Service]; c != nil {
			score += weightDomain * float64(c.domain[vm.FailureDomain])
			score += weightRack * float64(c.rack[rackKey{vm.FailureDomain, vm.Rack}])
			score += weightSameVM * float64(c.vm[vm.ID])
		}
	}
	if s.opt.Cost != nil {
		score += s.opt.Cost(vm.ID, r)
	}
	return score
}

// fill returns the larger of the used shares of processors and memory.
func fill(used, capacity types.Resources) float64 {
	var share float64
	if capacity.MilliCPU > 0 {
		share = float64(used.MilliCPU) / float64(capacity.MilliCPU)
	}
	if capacity.MemoryBytes > 0 {
		share = max(share, float64(used.MemoryBytes)/float64(capacity.MemoryBytes))
	}
	return share
}

// Feasible names the constraint that no VM of the state can ever meet for r,
// with the most that allowed VMs offer, or returns NoConstraint. Call it with
// the declared size when a job is submitted: sizes learned from other jobs of
// the kind may be smaller.
func (s *State) Feasible(r *Request) (Constraint, types.Resources) {
	s.rebuild()
	if r.Size.Negative() {
		return ConstraintInvalid, types.Resources{}
	}
	if r.Quota.Limited && !r.Size.Fits(r.Quota.Total) {
		return ConstraintQuota, r.Quota.Total
	}
	return s.infeasible(r)
}

// infeasible names the constraint that no VM of the state can ever meet, with
// the most that allowed VMs offer. Unusable VMs count, since they may return.
func (s *State) infeasible(r *Request) (Constraint, types.Resources) {
	if len(s.shapes) == 0 {
		return NoConstraint, types.Resources{}
	}
	var most types.Resources
	inDomain := false
	for i := range s.shapes {
		sh := &s.shapes[i]
		if len(r.Domains) > 0 && !slices.Contains(r.Domains, sh.domain) {
			continue
		}
		inDomain = true
		if r.Size.Fits(sh.capacity) {
			return NoConstraint, types.Resources{}
		}
		most = most.Max(sh.capacity)
	}
	switch {
	case !inDomain:
		return ConstraintFailureDomain, most
	case r.Size.MilliCPU > most.MilliCPU:
		return ConstraintProcessors, most
	case r.Size.MemoryBytes > most.MemoryBytes:
		return ConstraintMemory, most
	case r.Size.Accelerators > most.Accelerators:
		return ConstraintAccelerators, most
	default:
		return ConstraintCombination, most
	}
}

// waitsFor names what is short now: the first dimension in which no usable VM
// has room. The root of the free tree holds the largest free amounts.
func (s *State) waitsFor(r *Request) Constraint {
	if len(s.order) == 0 || s.free.node[1] == noCapacity {
		return ConstraintNoVM
	}
	most := s.free.node[1]
	switch {
	case r.Size.MilliCPU > most.MilliCPU:
		return ConstraintProcessors
	case r.Size.MemoryBytes > most.MemoryBytes:
		return ConstraintMemory
	case r.Size.Accelerators > most.Accelerators:
		return ConstraintAccelerators
	case len(r.Domains) > 0:
		return ConstraintFailureDomain
	default:
		return ConstraintCombination
	}
}
