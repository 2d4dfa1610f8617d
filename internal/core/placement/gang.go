package placement

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// GangDecision answers a request for a whole gang.
type GangDecision struct {
	// Outcome is Placed, Preempt, Wait or Infeasible for all tasks together.
	Outcome Outcome
	// VMs holds one VM per task, in order; nil unless Placed or Preempt.
	VMs []types.VMID
	// Victims must have stopped before any task of the gang starts.
	Victims  []types.TaskID
	LostWork time.Duration
	// Binding is the constraint that prevents the placement, and Task the first
	// task that it applies to. Limit is as in Decision, except that it is the
	// total of the allowed VMs when all tasks together are infeasible.
	Binding        Constraint
	Limit          types.Resources
	Task           types.TaskID
	MissesDeadline bool
}

// PlaceGang places all tasks of a gang or none, and leaves the state unchanged.
// All requests belong to one team; each Quota is the quota before any task of
// the gang is counted.
func (s *State) PlaceGang(now time.Duration, reqs []Request) GangDecision {
	s.rebuild()
	if c, limit := s.gangInfeasible(reqs); c != NoConstraint {
		return GangDecision{Outcome: Infeasible, Binding: c, Limit: limit, Task: reqs[0].Task}
	}
	var out GangDecision
	var undo []func()
	used := types.Resources{}
	for i := range reqs {
		r := reqs[i]
		r.Quota.Remaining = r.Quota.Remaining.Sub(used)
		d := s.Place(now, &r)
		if d.Outcome != Placed && d.Outcome != Preempt {
			out = s.gangRefusal(d, &r, i)
			break
		}
		out.MissesDeadline = out.MissesDeadline || d.MissesDeadline
		out.VMs = append(out.VMs, d.VM)
		out.LostWork += d.LostWork
		for _, id := range slices.Clone(d.Victims) {
			victim := s.mustRemove(id)
			undo = append(undo, func() { s.mustAdopt(victim) })
			out.Victims = append(out.Victims, id)
		}
		s.mustAdopt(tentativeAllocation(now, &r, d.VM))
		undo = append(undo, func() { s.mustRemove(r.Task) })
		used = used.Add(r.Size)
	}
	for i := len(undo) - 1; i >= 0; i-- {
		undo[i]()
	}
	return s.gangOutcome(out, len(reqs))
}

// tentativeAllocation returns the allocation of a gang member while the other
// members are placed. It counts as urgent, so that no member evicts another.
func tentativeAllocation(now time.Duration, r *Request, vm types.VMID) Running {
	return Running{
		Allocation: types.Allocation{Task: r.Task, VM: vm, Reserved: r.Size, Class: r.Class},
		Job:        r.Job,
		Kind:       r.Kind,
		Service:    r.Service,
		Priority:   r.Priority,
		Urgent:     true,
		Started:    now,
	}
}

// gangRefusal returns the decision for a gang whose member at index i cannot be
// placed. If a member other than the first waits for room, not for quota, the
// constraint is ConstraintGang.
func (s *State) gangRefusal(d Decision, r *Request, i int) GangDecision {
	binding := d.Binding
	if d.Outcome == Wait && i > 0 && binding != ConstraintQuota {
		binding = ConstraintGang
	}
	return GangDecision{Outcome: d.Outcome, Binding: binding, Limit: d.Limit, Task: r.Task, MissesDeadline: d.MissesDeadline}
}

// gangOutcome sets the outcome of a gang of n tasks unless it is set already.
func (s *State) gangOutcome(out GangDecision, n int) GangDecision {
	switch {
	case out.Outcome != 0:
	case n == 0:
		out.Outcome = Wait
	case len(out.Victims) > 0:
		out.Outcome = Preempt
	default:
		out.Outcome = Placed
	}
	return out
}

func (s *State) mustAdopt(r Running) {
	if err := s.Adopt(r); err != nil {
		panic("placement index is inconsistent: " + err.Error())
	}
}

// gangInfeasible returns the constraint that prevents the gang from running
// even on an empty shard, or NoConstraint. It compares the total size with the
// team's quota, then with the total capacity of the VMs in the failure domains
// of the first request, which stand for the whole gang. For tasks of one size,
// it also counts how many fit on these VMs.
func (s *State) gangInfeasible(reqs []Request) (Constraint, types.Resources) {
	if len(reqs) == 0 || len(s.shapes) == 0 {
		return NoConstraint, types.Resources{}
	}
	first := &reqs[0]
	var total types.Resources
	same := true
	for i := range reqs {
		total = total.Add(reqs[i].Size)
		same = same && reqs[i].Size == first.Size
	}
	if first.Quota.Limited && !total.Fits(first.Quota.Total) {
		return ConstraintQuota, first.Quota.Total
	}
	var sum types.Resources
	var fitCount int64
	for i := range s.shapes {
		sh := &s.shapes[i]
		if len(first.Domains) > 0 && !slices.Contains(first.Domains, sh.domain) {
			continue
		}
		fitCount += sh.count * copiesThatFit(first.Size, sh.capacity)
		for range sh.count {
			sum = sum.Add(sh.capacity)
		}
	}
	if fitCount == 0 {
		return NoConstraint, sum // Place returns the constraint of a single task.
	}
	if !total.Fits(sum) || same && fitCount < int64(len(reqs)) {
		return ConstraintGang, sum
	}
	return NoConstraint, sum
}

// copiesThatFit returns the number of tasks of one size that fit on an empty
// VM.
func copiesThatFit(size, capacity types.Resources) int64 {
	const unlimited = 1 << 20
	n := int64(unlimited)
	if size.MilliCPU > 0 {
		n = min(n, capacity.MilliCPU/size.MilliCPU)
	}
	if size.MemoryBytes > 0 {
		n = min(n, capacity.MemoryBytes/size.MemoryBytes)
	}
	if size.Accelerators > 0 {
		n = min(n, capacity.Accelerators/size.Accelerators)
	}
	return n
}
