package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// allocateSlot returns the index of a free element of s.tasks.
func (s *State) allocateSlot() int {
	if n := len(s.freeSlots); n > 0 {
		t := s.freeSlots[n-1]
		s.freeSlots = s.freeSlots[:n-1]
		return t
	}
	s.tasks = append(s.tasks, taskState{})
	return len(s.tasks) - 1
}

func (s *State) mustRemove(id types.TaskID) Running {
	r, err := s.Remove(id)
	if err != nil {
		panic(fmt.Sprintf("placement index is inconsistent: %v", err))
	}
	return r
}

func (s *State) removeFromGang(job types.JobID, t int) {
	rest := slices.DeleteFunc(s.gangs[job], func(x int) bool { return x == t })
	if len(rest) == 0 {
		delete(s.gangs, job)
		return
	}
	s.gangs[job] = rest
}

// addReserved adds delta to the reserved amount of VM i, and to its evictable
// amount if the task is evictable.
func (s *State) addReserved(i int, task *taskState, delta types.Resources) {
	vm := &s.vms[i]
	vm.reserved = vm.reserved.Add(delta)
	if s.isEvictable(task) {
		vm.evictable = vm.evictable.Add(delta)
	}
	s.reindex(i)
}

// reindex updates the trees for VM i.
func (s *State) reindex(i int) {
	if s.dirty {
		return
	}
	vm := &s.vms[i]
	free := noCapacity
	preemptable := noCapacity
	if vm.usable {
		free = vm.Capacity.Sub(vm.reserved)
		preemptable = free.Add(vm.evictable)
	}
	s.free.set(vm.pos, free)
	s.preemptable.set(vm.pos, preemptable)
}

// rebuild recomputes the order of VMs, the trees and the shapes after VMs were
// added, changed or removed.
func (s *State) rebuild() {
	if !s.dirty {
		return
	}
	s.dirty = false
	s.order = s.interleavedOrder()
	s.free.reset(len(s.order))
	s.preemptable.reset(len(s.order))
	s.shapes = s.shapes[:0]
	s.headroomVMs = s.headroomVMs[:0]
	for pos, i := range s.order {
		s.vms[i].pos = pos
		s.reindex(i)
		s.countShape(&s.vms[i])
	}
}

func (s *State) countShape(vm *vmState) {
	for i := range s.shapes {
		if s.shapes[i].capacity == vm.Capacity && s.shapes[i].domain == vm.FailureDomain {
			s.shapes[i].count++
			return
		}
	}
	s.shapes = append(s.shapes, shape{capacity: vm.Capacity, domain: vm.FailureDomain, count: 1})
}

// interleavedOrder returns the VMs sorted by their rank within the rack, then
// by the rank of the rack within the domain, then by domain.
func (s *State) interleavedOrder() []int {
	sorted := make([]int, len(s.vms))
	for i := range sorted {
		sorted[i] = i
	}
	slices.SortFunc(sorted, func(a, b int) int {
		x, y := &s.vms[a], &s.vms[b]
		return cmp.Or(cmp.Compare(x.FailureDomain, y.FailureDomain), cmp.Compare(x.Rack, y.Rack), cmp.Compare(x.ID, y.ID))
	})
	inRack := make(map[rackKey]int)
	racks := make(map[types.FailureDomain]int)
	rackRank := make(map[rackKey]int)
	rank := make([][2]int, len(s.vms))
	for _, i := range sorted {
		key := rackKey{s.vms[i].FailureDomain, s.vms[i].Rack}
		if _, ok := rackRank[key]; !ok {
			rackRank[key] = racks[key.domain]
			racks[key.domain]++
		}
		rank[i] = [2]int{inRack[key], rackRank[key]}
		inRack[key]++
	}
	slices.SortStableFunc(sorted, func(a, b int) int {
		return cmp.Or(cmp.Compare(rank[a][0], rank[b][0]), cmp.Compare(rank[a][1], rank[b][1]))
	})
	return sorted
}

// addToSpread adds delta to the spread counters of the task's service.
func (s *State) addToSpread(task *taskState, delta int) {
	if task.Service == "" {
		return
	}
	c := s.spread[task.Service]
	if c == nil {
		c = &spreadCount{
			vm:     make(map[types.VMID]int),
			rack:   make(map[rackKey]int),
			domain: make(map[types.FailureDomain]int),
		}
		s.spread[task.Service] = c
	}
	vm := &s.vms[task.vm]
	c.vm[vm.ID] += delta
	c.rack[rackKey{vm.FailureDomain, vm.Rack}] += delta
	c.domain[vm.FailureDomain] += delta
}

// addVMToSpread adds delta to the spread counters of each replica on VM i.
func (s *State) addVMToSpread(i, delta int) {
	for _, t := range s.vms[i].tasks {
		s.addToSpread(&s.tasks[t], delta)
	}
}
