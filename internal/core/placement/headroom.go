package placement

import "github.com/boragecrank/boragecrank/internal/core/types"

// headroomShare bounds the VMs that hold headroom to one in so many, so that a
// small shard keeps its VMs for batch work.
const headroomShare = 4

// SetHeadroom makes ordinary batch work leave room for size on a number of
// VMs, so that urgent work rarely has to preempt. At most a quarter of the
// VMs hold headroom. Zero VMs, the default, keeps none.
func (s *State) SetHeadroom(size types.Resources, vms int) {
	s.headroom, s.headroomCount = size, vms
	s.holders = s.holders[:0]
}

// takesHeadroom reports whether r on VM i would use room held for urgent work.
// Tasks with accelerators are exempt, since few VMs have them.
func (s *State) takesHeadroom(i int, r *Request) bool {
	if len(s.holders) == 0 || r.Urgent || r.Class != types.ClassBatch || r.Size.Accelerators > 0 {
		return false
	}
	for _, h := range s.holders {
		if h == i {
			free := s.vms[i].Capacity.Sub(s.vms[i].used)
			return !s.headroom.Fits(free.Sub(r.Size))
		}
	}
	return false
}

// chooseHolders keeps the VMs that hold headroom. A holder stays one until it
// is unusable or while another VM has the room and it has not; so a holder
// without room gains it as its tasks end.
func (s *State) chooseHolders() {
	want := min(s.headroomCount, len(s.order)/headroomShare)
	for k := 0; k < want; k++ {
		if k < len(s.holders) && s.vms[s.holders[k]].usable && s.hasHeadroom(s.holders[k]) {
			continue
		}
		next := s.findHolder(k)
		switch {
		case next >= 0 && k < len(s.holders):
			s.holders[k] = next
		case next >= 0:
			s.holders = append(s.holders, next)
		}
	}
}

func (s *State) hasHeadroom(i int) bool {
	return s.headroom.Fits(s.vms[i].Capacity.Sub(s.vms[i].used))
}

// findHolder returns a VM that is not yet a holder: one with room if there is
// any; otherwise the k-th holder if it is usable, or any usable VM. -1 if none.
func (s *State) findHolder(k int) int {
	if i := s.nonHolder(s.headroom); i >= 0 {
		return i
	}
	if k < len(s.holders) && s.vms[s.holders[k]].usable {
		return s.holders[k]
	}
	return s.nonHolder(types.Resources{})
}

// nonHolder returns the first VM in tree order with room for size that is not
// a holder, or -1.
func (s *State) nonHolder(size types.Resources) int {
	for pos := s.free.next(0, size); pos >= 0; pos = s.free.next(pos+1, size) {
		if !s.isHolder(s.order[pos]) {
			return s.order[pos]
		}
	}
	return -1
}

func (s *State) isHolder(i int) bool {
	for _, h := range s.holders {
		if h == i {
			return true
		}
	}
	return false
}
