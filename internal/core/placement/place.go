package placement

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Weights of the score, in which a full VM counts 1. The first three apply to
// each replica of the same service. They add up: a replica on the same VM also
// counts for its rack and failure domain. Their order is weightDomain >
// weightRack > weightSameVM > 1, the load of a full VM.
const (
	weightDomain = 16.0
	weightRack   = 4.0
	weightSameVM = 2.0
	// weightAcceleratorVM keeps tasks without accelerators off VMs that have
	// them while other VMs have room.
	weightAcceleratorVM = 0.5
)

// Place decides where a task should run. It changes no allocation, and
// allocates no memory unless it preempts.
func (s *State) Place(now time.Duration, r *Request) Decision {
	s.rebuild()
	late := r.Deadline > 0 && now+r.RunTime > r.Deadline
	if d, ok := s.checkRequest(r); !ok {
		d.MissesDeadline = late
		return d
	}
	s.updateHeadroomVMs()
	if i := s.bestFreeVM(r); i >= 0 {
		return Decision{Outcome: Placed, VM: s.vms[i].ID, MissesDeadline: late}
	}
	if c, limit := s.infeasibleConstraint(r); c != NoConstraint {
		return Decision{Outcome: Infeasible, Binding: c, Limit: limit, MissesDeadline: late}
	}
	if mayPreempt(r) {
		if d, ok := s.preempt(now, r); ok {
			d.MissesDeadline = late
			return d
		}
	}
	return Decision{Outcome: Wait, Binding: s.waitConstraint(r), MissesDeadline: late}
}

// checkRequest checks the size of the request and the quota. If it returns
// false, the decision is final.
func (s *State) checkRequest(r *Request) (Decision, bool) {
	if r.Size.Negative() {
		return Decision{Outcome: Infeasible, Binding: ConstraintInvalid}, false
	}
	if r.Quota.Limited && !r.Size.Fits(r.Quota.Total) {
		return Decision{Outcome: Infeasible, Binding: ConstraintQuota, Limit: r.Quota.Total}, false
	}
	if r.Quota.Limited && !r.Size.Fits(r.Quota.Remaining) {
		return Decision{Outcome: Wait, Binding: ConstraintQuota}, false
	}
	return Decision{}, true
}

// bestFreeVM returns the candidate with the lowest score among VMs with room, or
// -1. The search starts at a random position and wraps around.
func (s *State) bestFreeVM(r *Request) int {
	n := len(s.order)
	if n == 0 {
		return -1
	}
	start := s.rng.IntN(n)
	best, bestScore, scored := -1, 0.0, 0
	for part := 0; part < 2 && scored < maxCandidates; part++ {
		from, end := start, n
		if part == 1 {
			from, end = 0, start
		}
		for scored < maxCandidates {
			pos := s.free.nextFit(from, r.Size)
			if pos < 0 || pos >= end {
				break
			}
			from = pos + 1
			i := s.order[pos]
			if !allowed(&s.vms[i], r) || s.usesHeadroom(i, r) {
				continue
			}
			scored++
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

// score rates VM i for the request; lower is better. It combines the load after
// the start, the spread of the service and the caller's cost.
func (s *State) score(i int, r *Request) float64 {
	vm := &s.vms[i]
	score := utilization(vm.reserved.Add(r.Size), vm.Capacity)
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

// utilization returns the larger of the used fractions of processors and
// memory.
func utilization(used, capacity types.Resources) float64 {
	var share float64
	if capacity.MilliCPU > 0 {
		share = float64(used.MilliCPU) / float64(capacity.MilliCPU)
	}
	if capacity.MemoryBytes > 0 {
		share = max(share, float64(used.MemoryBytes)/float64(capacity.MemoryBytes))
	}
	return share
}

// CheckFeasible returns the constraint that no VM of the state can ever meet
// for r, with the largest amounts that allowed VMs offer, or NoConstraint. Call
// it with the declared size when a job is submitted: sizes learned from other
// jobs of the kind may be smaller.
func (s *State) CheckFeasible(r *Request) (Constraint, types.Resources) {
	s.rebuild()
	if r.Size.Negative() {
		return ConstraintInvalid, types.Resources{}
	}
	if r.Quota.Limited && !r.Size.Fits(r.Quota.Total) {
		return ConstraintQuota, r.Quota.Total
	}
	return s.infeasibleConstraint(r)
}

// infeasibleConstraint returns the constraint that no VM of the state can ever
// meet for r, with the largest amounts that allowed VMs offer, or NoConstraint.
// Unusable VMs count, since they may become usable again. Without VMs, it
// returns NoConstraint, so that the request waits for VMs.
func (s *State) infeasibleConstraint(r *Request) (Constraint, types.Resources) {
	if len(s.shapes) == 0 {
		return NoConstraint, types.Resources{}
	}
	var maxCapacity types.Resources
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
		maxCapacity = maxCapacity.Max(sh.capacity)
	}
	switch {
	case !inDomain:
		return ConstraintFailureDomain, maxCapacity
	case r.Size.MilliCPU > maxCapacity.MilliCPU:
		return ConstraintProcessors, maxCapacity
	case r.Size.MemoryBytes > maxCapacity.MemoryBytes:
		return ConstraintMemory, maxCapacity
	case r.Size.Accelerators > maxCapacity.Accelerators:
		return ConstraintAccelerators, maxCapacity
	default:
		return ConstraintCombination, maxCapacity
	}
}

// waitConstraint returns the reason why a request waits. It is the first that
// applies of:
//
//   - ConstraintNoVM if there is no usable VM,
//   - the first resource of which no usable VM has enough free,
//   - ConstraintFailureDomain if the request is restricted to domains,
//   - ConstraintCombination, also when only headroom or Avoid prevents the
//     placement.
//
// The root of the free tree holds the largest free amounts.
func (s *State) waitConstraint(r *Request) Constraint {
	if len(s.order) == 0 || s.free.node[1] == noCapacity {
		return ConstraintNoVM
	}
	maxFree := s.free.node[1]
	switch {
	case r.Size.MilliCPU > maxFree.MilliCPU:
		return ConstraintProcessors
	case r.Size.MemoryBytes > maxFree.MemoryBytes:
		return ConstraintMemory
	case r.Size.Accelerators > maxFree.Accelerators:
		return ConstraintAccelerators
	case len(r.Domains) > 0:
		return ConstraintFailureDomain
	default:
		return ConstraintCombination
	}
}
