package scheduler

import (
	"fmt"
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/placement"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// vmState is the state of one VM as of the last decision.
type vmState struct {
	vm        types.VM
	available bool
	free      types.Resources
	running   []shard.Running
	// kinds holds the millicores reserved by batch attempts, by job kind.
	kinds map[string]int64
	// hosted holds the services that have a replica on the VM.
	hosted map[types.ServiceName]bool
}

// cpuFraction returns the processors of size as a fraction of the VM's capacity.
func (v *vmState) cpuFraction(size types.Resources) float64 {
	if v == nil || v.vm.Capacity.MilliCPU <= 0 {
		return 0
	}
	return float64(size.MilliCPU) / float64(v.vm.Capacity.MilliCPU)
}

// heldTaskID returns the ID of the allocation that represents what a VM holds
// beside its listed attempts: capacity held for tasks, and reported attempts
// that are not live in any row. This allocation is never evicted.
func heldTaskID(vm types.VMID) types.TaskID { return types.TaskID("\x00held/" + string(vm)) }

// syncCandidates updates the placement state to match the owner's candidates.
func (s *Scheduler) syncCandidates(candidates []shard.Candidate) {
	vmsChanged := false
	for i := range candidates {
		c := &candidates[i]
		v := s.vms[c.VM.ID]
		if c.VM.Capacity.IsZero() {
			// The VM was removed from the configuration.
			vmsChanged = s.removeVM(c.VM.ID) || vmsChanged
			continue
		}
		if v == nil {
			v = &vmState{kinds: make(map[string]int64), hosted: make(map[types.ServiceName]bool)}
			s.vms[c.VM.ID] = v
			vmsChanged = true
		}
		if v.vm != c.VM {
			v.vm = c.VM
			s.state.SetVM(c.VM)
			v.available = false
			s.usable(c.VM.ID, false)
		}
		if v.available != c.Available {
			v.available = c.Available
			s.usable(c.VM.ID, c.Available && !s.health.Quarantined(c.VM.ID))
		}
		if v.free != c.Free || !slices.Equal(v.running, c.Running) {
			s.syncTasks(v, c)
		}
	}
	if vmsChanged {
		s.refreshVMIDs()
	}
}

// removeVM removes a VM with its allocations and reports whether it was
// present.
func (s *Scheduler) removeVM(id types.VMID) bool {
	if s.vms[id] == nil {
		return false
	}
	for i := range s.vms[id].running {
		s.removeAttempt(s.vms[id], &s.vms[id].running[i])
	}
	delete(s.vms, id)
	s.state.RemoveVM(id)
	s.control.Forget(id)
	return true
}

// refreshVMIDs rebuilds the sorted list of VMs and passes it to the health
// tracker.
func (s *Scheduler) refreshVMIDs() {
	s.vmIDs = s.vmIDs[:0]
	for id := range s.vms {
		s.vmIDs = append(s.vmIDs, id)
	}
	slices.Sort(s.vmIDs)
	s.health.SetWorkers(s.vmIDs)
}

// usable sets whether a VM accepts new tasks.
func (s *Scheduler) usable(id types.VMID, usable bool) {
	s.must(s.state.SetUsable(id, usable))
}

// syncTasks replaces those allocations of one VM that differ from the attempts
// listed in c.
func (s *Scheduler) syncTasks(v *vmState, c *shard.Candidate) {
	before := make(map[types.TaskID]*shard.Running, len(v.running))
	for i := range v.running {
		before[v.running[i].Task] = &v.running[i]
	}
	held := c.VM.Capacity.Sub(c.Free)
	var added []*shard.Running
	for i := range c.Running {
		r := &c.Running[i]
		held = held.Sub(r.Reserved)
		old := before[r.Task]
		if old != nil && *old == *r {
			delete(before, r.Task)
			continue
		}
		added = append(added, r)
	}
	for _, old := range before {
		s.removeAttempt(v, old)
	}
	for _, r := range added {
		s.addAttempt(v, r, before[r.Task])
	}
	s.setHeldAllocation(v.vm.ID, held.Max(types.Resources{}))
	s.updateOccupancy(v, c)
	v.free = c.Free
	v.running = append(v.running[:0], c.Running...)
}

// addAttempt records an attempt. If old is the same attempt with other values,
// its learned data is kept.
func (s *Scheduler) addAttempt(v *vmState, r, old *shard.Running) {
	id := v.vm.ID
	if _, ok := s.state.Get(r.Task); ok {
		// The VM of the task's previous attempt has not been compared yet.
		_, err := s.state.Remove(r.Task)
		s.must(err)
	}
	s.must(s.state.Adopt(placement.Running{
		Allocation: types.Allocation{Task: r.Task, Attempt: r.Attempt, VM: id, Reserved: r.Reserved, Class: r.Job.Class},
		Job:        r.Job.ID, Kind: r.Job.Kind, Service: serviceOf(r.Job), Priority: r.Job.Priority,
		// The owner refuses to evict attempts that are not evictable; placement
		// never evicts urgent tasks.
		Urgent: r.Job.Urgent || !r.Evictable,
		Gang:   r.Job.Gang, Started: r.Started, Evictions: r.Evictions,
	}))
	s.charge(r.Job.Team, r.Task, r.Reserved)
	if old == nil || old.Attempt != r.Attempt {
		s.est.Start(r.Started, r.Task, r.Job.Kind, r.Job.Demand, r.Reserved, 0)
		s.control.Placed(s.now, id, r.Job.Kind)
	}
}

func (s *Scheduler) removeAttempt(v *vmState, old *shard.Running) {
	if run, ok := s.state.Get(old.Task); ok && run.VM == v.vm.ID {
		s.releaseCharge(old.Job.Team, old.Task)
		_, err := s.state.Remove(old.Task)
		s.must(err)
	}
}

// setHeldAllocation sets the size of the allocation named by heldTaskID.
func (s *Scheduler) setHeldAllocation(vm types.VMID, held types.Resources) {
	id := heldTaskID(vm)
	current, ok := s.state.Get(id)
	if current.Reserved == held {
		return
	}
	if ok {
		_, err := s.state.Remove(id)
		s.must(err)
	}
	if !held.IsZero() {
		s.must(s.state.Adopt(placement.Running{
			Allocation: types.Allocation{Task: id, VM: vm, Reserved: held, Class: types.ClassBatch}, Urgent: true,
		}))
	}
}

// updateOccupancy reports the job kinds that run on a VM to the interference
// model, and the services to its controller.
func (s *Scheduler) updateOccupancy(v *vmState, c *shard.Candidate) {
	kinds := make(map[string]int64)
	hosted := make(map[types.ServiceName]bool)
	for i := range c.Running {
		r := &c.Running[i]
		if service := serviceOf(r.Job); service != "" {
			hosted[service] = true
			continue
		}
		kinds[r.Job.Kind] += r.Reserved.MilliCPU
	}
	for kind := range v.kinds {
		if _, still := kinds[kind]; !still {
			s.model.SetShare(s.now, v.vm.ID, kind, 0)
		}
	}
	for kind, cpu := range kinds {
		if v.kinds[kind] != cpu {
			s.model.SetShare(s.now, v.vm.ID, kind, v.cpuFraction(types.Resources{MilliCPU: cpu}))
		}
	}
	for service := range v.hosted {
		if !hosted[service] {
			s.control.SetHosted(v.vm.ID, service, false)
		}
	}
	for service := range hosted {
		s.control.SetHosted(v.vm.ID, service, true)
	}
	v.kinds, v.hosted = kinds, hosted
}

// maxCapacity returns the maxCapacity amount of each resource that any VM has.
func (s *Scheduler) maxCapacity() types.Resources {
	var largest types.Resources
	for _, v := range s.vms {
		largest = largest.Max(v.vm.Capacity)
	}
	return largest
}

// must panics if vms and the placement state are inconsistent, since all
// later decisions would be wrong.
func (s *Scheduler) must(err error) {
	if err != nil {
		panic(fmt.Sprintf("scheduler and placement state differ: %v", err))
	}
}
