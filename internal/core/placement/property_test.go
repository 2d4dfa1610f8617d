package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against overcommitted VMs, trees that disagree with the sums, a
// refusal while some VM has room, and victims that do not make enough room.
func TestPropertyNoOverfill(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := testState(rapid.IntRange(1, 40).Draw(rt, "vms"), Options{})
		var ids []types.TaskID
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Minute
			switch op := rapid.IntRange(0, 9).Draw(rt, "op"); {
			case op < 6:
				r := batch(fmt.Sprint(step), size(rapid.Int64Range(0, 18).Draw(rt, "cpu"), rapid.Int64Range(0, 64).Draw(rt, "mem")))
				r.Urgent = op == 0
				if placeAndApply(rt, s, now, &r) {
					ids = append(ids, r.Task)
				}
			case op < 8 && len(ids) > 0:
				id := rapid.SampledFrom(ids).Draw(rt, "task")
				_ = s.Resize(id, size(rapid.Int64Range(0, 20).Draw(rt, "cpu"), 4))
			case op == 8 && len(ids) > 0:
				_, _ = s.Remove(rapid.SampledFrom(ids).Draw(rt, "task"))
			case op == 9:
				toggleOrReplace(rt, s)
			}
			checkIndex(rt, s)
		}
	})
}

func toggleOrReplace(rt *rapid.T, s *State) {
	id := types.VMID(fmt.Sprintf("vm%03d", rapid.IntRange(0, 39).Draw(rt, "vm")))
	if rapid.Bool().Draw(rt, "usable") {
		_ = s.SetUsable(id, rapid.Bool().Draw(rt, "on"))
		return
	}
	if i, ok := s.vmByID[id]; ok {
		vm := s.vms[i].VM
		s.RemoveVM(id)
		s.SetVM(vm)
	}
}

func placeAndApply(rt *rapid.T, s *State, now time.Duration, r *Request) bool {
	d := s.Place(now, r)
	anyFits := false
	for i := range s.vms {
		vm := &s.vms[i]
		anyFits = anyFits || vm.usable && r.Size.Fits(vm.Capacity.Sub(vm.reserved))
	}
	if anyFits != (d.Outcome == Placed) {
		rt.Fatalf("some VM has room: %v, but the decision is %+v", anyFits, d)
	}
	if d.Outcome != Placed && d.Outcome != Preempt {
		return false
	}
	for _, id := range slices.Clone(d.Victims) {
		s.mustRemove(id)
	}
	run := tentativeAllocation(now, r, d.VM)
	run.Urgent = r.Urgent
	if err := s.Add(run); err != nil {
		rt.Fatalf("decision exceeds the free capacity: %v", err)
	}
	return true
}

func checkIndex(rt *rapid.T, s *State) {
	if over := s.Overcommitted(); len(over) > 0 {
		rt.Fatalf("overcommitted VMs: %v", over)
	}
	s.rebuild()
	for i := range s.vms {
		vm := &s.vms[i]
		var reserved, evictable types.Resources
		for _, t := range vm.tasks {
			reserved = reserved.Add(s.tasks[t].Reserved)
			if s.isEvictable(&s.tasks[t]) {
				evictable = evictable.Add(s.tasks[t].Reserved)
			}
		}
		if reserved != vm.reserved || evictable != vm.evictable {
			rt.Fatalf("sums of %s: used %v want %v, evictable %v want %v", vm.ID, vm.reserved, reserved, vm.evictable, evictable)
		}
		want := noCapacity
		if vm.usable {
			want = vm.Capacity.Sub(reserved)
		}
		if got := s.free.node[s.free.leaves+vm.pos]; got != want {
			rt.Fatalf("tree leaf of %s is %v, want %v", vm.ID, got, want)
		}
	}
}

// Guards against a gang that starts in part, and against PlaceGang leaving
// tentative allocations behind.
func TestPropertyGangAllOrNone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := testState(6, Options{})
		for i := range rapid.IntRange(0, 12).Draw(rt, "running") {
			r := batch(fmt.Sprint("b", i), size(rapid.Int64Range(1, 12).Draw(rt, "cpu"), 4))
			placeAndApply(rt, s, 0, &r)
		}
		before := allocations(s)
		reqs := make([]Request, rapid.IntRange(1, 10).Draw(rt, "gang"))
		urgent := rapid.Bool().Draw(rt, "urgent")
		cores := rapid.Int64Range(1, 17).Draw(rt, "size")
		for i := range reqs {
			reqs[i] = batch(fmt.Sprint("g/", i), size(cores, 2))
			reqs[i].Urgent = urgent
		}
		d := s.PlaceGang(time.Hour, reqs)
		if !maps.Equal(before, allocations(s)) {
			rt.Fatalf("PlaceGang changed the state")
		}
		checkIndex(rt, s)
		if d.Outcome != Placed && d.Outcome != Preempt {
			if len(d.VMs) != 0 || len(d.Victims) != 0 {
				rt.Fatalf("refused gang has placements: %+v", d)
			}
			return
		}
		if len(d.VMs) != len(reqs) {
			rt.Fatalf("%d of %d members placed", len(d.VMs), len(reqs))
		}
		for _, id := range d.Victims {
			s.mustRemove(id)
		}
		for i := range reqs {
			start(t, s, time.Hour, reqs[i], d.VMs[i])
		}
		checkIndex(rt, s)
	})
}

func allocations(s *State) map[types.TaskID]types.VMID {
	out := make(map[types.TaskID]types.VMID)
	for id, t := range s.taskByID {
		out[id] = s.tasks[t].VM
	}
	return out
}

// Guards against a stream of urgent work evicting the same task again and
// again.
func TestPropertyNoThrashing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := testState(2, Options{})
		evicted := map[types.TaskID]int{}
		restarted := map[types.TaskID]time.Duration{}
		var waiting []types.TaskID
		for i := range 4 {
			waiting = append(waiting, types.TaskID(fmt.Sprint("b", i)))
		}
		for step := range 80 {
			now := time.Duration(step) * time.Minute
			for _, id := range waiting {
				r := batch(string(id), size(8, 4))
				if d := s.Place(now, &r); d.Outcome == Placed {
					run := tentativeAllocation(now, &r, d.VM)
					run.Urgent, run.Evictions = false, evicted[id]
					_ = s.Add(run)
					restarted[id] = now
				}
			}
			waiting = slices.DeleteFunc(waiting, func(id types.TaskID) bool { _, ok := s.Get(id); return ok })
			u := batch("u", size(rapid.Int64Range(1, 16).Draw(rt, "cpu"), 4))
			u.Urgent = true
			d := s.Place(now, &u)
			for _, id := range d.Victims {
				if evicted[id] > 0 && now-restarted[id] < defaultMinEvictionInterval {
					rt.Fatalf("%s evicted again after %v", id, now-restarted[id])
				}
				evicted[id]++
				if evicted[id] > defaultMaxEvictions {
					rt.Fatalf("%s evicted %d times", id, evicted[id])
				}
				s.mustRemove(id)
				waiting = append(waiting, id)
			}
		}
	})
}
