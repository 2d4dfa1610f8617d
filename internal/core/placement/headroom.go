package placement

import "github.com/boragecrank/boragecrank/internal/core/types"

// vmsPerHeadroomVM is the number of VMs that a shard must have for each VM that
// holds headroom, so that a small shard keeps its VMs for batch work.
const vmsPerHeadroomVM = 4

// SetHeadroom keeps room for size free of ordinary batch work on up to vms VMs,
// so that urgent work rarely has to preempt. At most a quarter of the VMs hold
// headroom. Zero VMs, the default, keeps none.
func (s *State) SetHeadroom(size types.Resources, vms int) {
	s.headroom, s.headroomCount = size, vms
	s.headroomVMs = s.headroomVMs[:0]
}

// usesHeadroom reports whether r on VM i would use room reserved for urgent
// work. Only batch work that is not urgent is kept out. Tasks with accelerators
// are exempt, since few VMs have them.
func (s *State) usesHeadroom(i int, r *Request) bool {
	if len(s.headroomVMs) == 0 || r.Urgent || r.Class != types.ClassBatch || r.Size.Accelerators > 0 {
		return false
	}
	for _, h := range s.headroomVMs {
		if h == i {
			free := s.vms[i].Capacity.Sub(s.vms[i].reserved)
			return !s.headroom.Fits(free.Sub(r.Size))
		}
	}
	return false
}

// updateHeadroomVMs chooses the VMs that hold headroom. A VM is replaced if it
// is unusable, or if it lacks the room and another VM has it. A VM that lacks
// the room and is not replaced gains the room as its tasks end.
func (s *State) updateHeadroomVMs() {
	want := min(s.headroomCount, len(s.order)/vmsPerHeadroomVM)
	for k := 0; k < want; k++ {
		if k < len(s.headroomVMs) && s.vms[s.headroomVMs[k]].usable && s.hasHeadroom(s.headroomVMs[k]) {
			continue
		}
		next := s.findHeadroomVM(k)
		switch {
		case next >= 0 && k < len(s.headroomVMs):
			s.headroomVMs[k] = next
		case next >= 0:
			s.headroomVMs = append(s.headroomVMs, next)
		}
	}
}

// hasHeadroom reports whether VM i has room for the headroom.
func (s *State) hasHeadroom(i int) bool {
	return s.headroom.Fits(s.vms[i].Capacity.Sub(s.vms[i].reserved))
}

// findHeadroomVM returns the VM for position k of headroomVMs: a VM that has
// the room and holds no headroom yet; otherwise the current VM at k if it is
// usable; otherwise any usable VM that holds no headroom; otherwise -1.
func (s *State) findHeadroomVM(k int) int {
	if i := s.firstNonHeadroomVM(s.headroom); i >= 0 {
		return i
	}
	if k < len(s.headroomVMs) && s.vms[s.headroomVMs[k]].usable {
		return s.headroomVMs[k]
	}
	return s.firstNonHeadroomVM(types.Resources{})
}

// firstNonHeadroomVM returns the first VM in tree order that has room for size
// and holds no headroom, or -1.
func (s *State) firstNonHeadroomVM(size types.Resources) int {
	for pos := s.free.nextFit(0, size); pos >= 0; pos = s.free.nextFit(pos+1, size) {
		if !s.isHeadroomVM(s.order[pos]) {
			return s.order[pos]
		}
	}
	return -1
}

func (s *State) isHeadroomVM(i int) bool {
	for _, h := range s.headroomVMs {
		if h == i {
			return true
		}
	}
	return false
}
