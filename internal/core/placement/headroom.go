package placement

import "github.com/boragecrank/boragecrank/internal/core/types"

// vmsPerHeadroomVM bounds the VMs that hold headroom to one in so many, so that a
// small shard keeps its VMs for batch work.
const vmsPerHeadroomVM = 4

// SetHeadroom makes ordinary batch work leave room for size on a number of
// VMs, so that urgent work rarely has to preempt. At most a quarter of the
// VMs hold headroom. Zero VMs, the default, keeps none.
func (s *State) SetHeadroom(size types.Resources, vms int) {
	s.headroom, s.headroomCount = size, vms
	s.headroomVMs = s.headroomVMs[:0]
}

// usesHeadroom reports whether r on VM i would use room held for urgent work.
// Tasks with accelerators are exempt, since few VMs have them.
func (s *State) usesHeadroom(i int, r *Request) bool {
	if len(s.headroomVMs) == 0 || r.Urgent || r.Class != types.ClassBatch || r.Size.Accelerators > 0 {
		return false
	}
	for _, h := range s.headroomVMs {
		if h == i {
			free := s.vms[i].Capacity.Sub(s.vms[i].used)
			return !s.headroom.Fits(free.Sub(r.Size))
		}
	}
	return false
}

// updateHeadroomVMs keeps the VMs that hold headroom. A holder stays one until it
// is unusable or while another VM has the room and it has not; so a holder
// without room gains it as its tasks end.
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

func (s *State) hasHeadroom(i int) bool {
	return s.headroom.Fits(s.vms[i].Capacity.Sub(s.vms[i].used))
}

// findHeadroomVM returns a VM that is not yet a holder: one with room if there is
// any; otherwise the k-th holder if it is usable, or any usable VM. -1 if none.
func (s *State) findHeadroomVM(k int) int {
	if i := s.firstNonHeadroomVM(s.headroom); i >= 0 {
		return i
	}
	if k < len(s.headroomVMs) && s.vms[s.headroomVMs[k]].usable {
		return s.headroomVMs[k]
	}
	return s.firstNonHeadroomVM(types.Resources{})
}

// firstNonHeadroomVM returns the first VM in tree order with room for size that is not
// a holder, or -1.
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
