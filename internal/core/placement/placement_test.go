package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

const gib = 1 << 30

func size(cores, memGiB int64) types.Resources {
	return types.Resources{MilliCPU: cores * 1000, MemoryBytes: memGiB * gib}
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 1))
}

// testState returns a state with vms VMs of 16 cores and 60 GiB, three per
// rack, in three domains.
func testState(vms int, opt Options) *State {
	s := New(opt, newRand(1))
	for i := range vms {
		s.SetVM(types.VM{
			ID:            types.VMID(fmt.Sprintf("vm%03d", i)),
			FailureDomain: types.FailureDomain(fmt.Sprintf("d%d", i%3)),
			Rack:          types.Rack(fmt.Sprintf("r%d", i/9)),
			Capacity:      size(16, 60),
		})
	}
	return s
}

func batch(task string, r types.Resources) Request {
	return Request{Task: types.TaskID(task), Job: types.JobID(task), Class: types.ClassBatch, Size: r}
}

func start(t testing.TB, s *State, now time.Duration, r Request, vm types.VMID) {
	t.Helper()
	run := tentativeAllocation(now, &r, vm)
	run.Urgent = r.Urgent
	if err := s.Add(run); err != nil {
		t.Fatal(err)
	}
}

// Guards against a task that can never run being left waiting, and against a
// wrong constraint in the message to the operator.
func TestInfeasibleNamesBindingConstraint(t *testing.T) {
	gpu := types.Resources{MilliCPU: 1000, Accelerators: 1}
	cases := []struct {
		name string
		edit func(*Request)
		want Constraint
	}{
		{"processors", func(r *Request) { r.Size = size(17, 1) }, ConstraintProcessors},
		{"memory", func(r *Request) { r.Size = size(1, 61) }, ConstraintMemory},
		{"accelerators", func(r *Request) { r.Size = gpu }, ConstraintAccelerators},
		{"domain", func(r *Request) { r.Domains = []types.FailureDomain{"other"} }, ConstraintFailureDomain},
		{"quota", func(r *Request) { r.Quota = Quota{Limited: true, Total: size(1, 1)} }, ConstraintQuota},
		{"negative", func(r *Request) { r.Size.MilliCPU = -1 }, ConstraintInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := batch("j/0", size(2, 2))
			c.edit(&r)
			d := testState(11, Options{}).Place(0, &r)
			if d.Outcome != Infeasible || d.Binding != c.want {
				t.Fatalf("got outcome %v with constraint %v, want Infeasible with %v", d.Outcome, d.Binding, c.want)
			}
			if got, _ := testState(11, Options{}).CheckFeasible(&r); got != c.want {
				t.Fatalf("CheckFeasible returned %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a combination of amounts that no single VM has being placed
// or left waiting.
func TestInfeasibleCombination(t *testing.T) {
	s := New(Options{}, newRand(1))
	s.SetVM(types.VM{ID: "cpu", Capacity: size(64, 10)})
	s.SetVM(types.VM{ID: "mem", Capacity: size(4, 250)})
	r := batch("j/0", size(32, 100))
	if d := s.Place(0, &r); d.Outcome != Infeasible || d.Binding != ConstraintCombination {
		t.Fatalf("got %+v, want Infeasible with ConstraintCombination", d)
	}
}

// Guards against replicas of a service that are placed in the same domain or
// rack while another one has no replica of the service.
func TestReplicasSpread(t *testing.T) {
	s := testState(27, Options{})
	domains := map[types.FailureDomain]int{}
	racks := map[string]int{}
	for i := range 9 {
		r := Request{Task: types.TaskID(fmt.Sprint(i)), Service: "berth", Class: types.ClassLatencyCritical, Size: size(2, 4)}
		d := s.Place(0, &r)
		start(t, s, 0, r, d.VM)
		vm := s.vms[s.vmByID[d.VM]]
		domains[vm.FailureDomain]++
		racks[string(vm.FailureDomain)+string(vm.Rack)]++
	}
	for d, n := range domains {
		if n != 3 {
			t.Errorf("domain %s has %d replicas, want 3", d, n)
		}
	}
	for r, n := range racks {
		if n != 1 {
			t.Errorf("rack %s has %d replicas, want 1", r, n)
		}
	}
}

// Guards against preemption that discards more work than needed.
func TestPreemptionMinimizesLostWork(t *testing.T) {
	s := testState(3, Options{})
	for i := range 3 {
		start(t, s, time.Duration(i)*time.Hour, batch(fmt.Sprintf("old%d", i), size(16, 8)), s.vms[i].ID)
	}
	s.SetCheckpointed("old0", 4*time.Hour)
	r := batch("urgent", size(4, 4))
	r.Urgent = true
	d := s.Place(4*time.Hour+time.Minute, &r)
	if d.Outcome != Preempt || !slices.Equal(d.Victims, []types.TaskID{"old0"}) {
		t.Fatalf("got %+v, want the task with a fresh checkpoint as victim", d)
	}
	if d.LostWork != 16*time.Minute {
		t.Errorf("lost work %v, want 16 core minutes", d.LostWork)
	}
}

// Guards against batch work evicting batch work, which would thrash.
func TestOrdinaryBatchWaits(t *testing.T) {
	s := testState(1, Options{})
	start(t, s, 0, batch("a", size(16, 8)), "vm000")
	r := batch("b", size(1, 1))
	r.Priority = 100
	if d := s.Place(time.Hour, &r); d.Outcome != Wait || d.Binding != ConstraintProcessors {
		t.Fatalf("got %+v, want Wait with ConstraintProcessors", d)
	}
}

// Guards against evicting one member of a gang while the others keep running.
func TestEvictionTakesWholeGang(t *testing.T) {
	s := testState(2, Options{})
	for i := range 2 {
		r := batch(fmt.Sprintf("g/%d", i), size(16, 8))
		run := tentativeAllocation(0, &r, s.vms[i].ID)
		run.Urgent, run.Gang, run.Job = false, true, "g"
		if err := s.Add(run); err != nil {
			t.Fatal(err)
		}
	}
	r := batch("urgent", size(4, 4))
	r.Urgent = true
	if d := s.Place(time.Minute, &r); len(d.Victims) != 2 {
		t.Fatalf("victims %v, want both members", d.Victims)
	}
}

// Guards against a gang that waits forever although it does not fit on an empty
// shard.
func TestGangInfeasible(t *testing.T) {
	s := testState(3, Options{})
	reqs := make([]Request, 4)
	for i := range reqs {
		reqs[i] = batch(fmt.Sprintf("g/%d", i), size(9, 8))
	}
	if d := s.PlaceGang(0, reqs); d.Outcome != Infeasible || d.Binding != ConstraintGang {
		t.Fatalf("got %+v, want Infeasible with ConstraintGang", d)
	}
	if d := s.PlaceGang(0, reqs[:3]); d.Outcome != Placed {
		t.Fatalf("got %+v, want Placed", d)
	}
}

// Guards against a task with a tight deadline waiting behind tasks of higher
// priority, and against a task whose deadline is lost displacing one that can
// still meet its deadline.
func TestQueueOrder(t *testing.T) {
	var q Queue
	push := func(id string, edit func(*Request)) {
		r := batch(id, size(1, 1))
		r.RunTime = time.Hour
		edit(&r)
		q.Push(r)
	}
	push("low", func(*Request) {})
	push("high", func(r *Request) { r.Priority = 50 })
	push("tight", func(r *Request) { r.Deadline = 3*time.Hour + 20*time.Minute })
	push("roomy", func(r *Request) { r.Deadline = 9 * time.Hour })
	push("lost", func(r *Request) { r.Deadline = 2 * time.Hour })
	push("urgent", func(r *Request) { r.Urgent = true })
	push("cancelled", func(r *Request) { r.Urgent = true })
	push("service", func(r *Request) { r.Class = types.ClassLatencyCritical })
	q.Remove("cancelled")
	want := []types.TaskID{"urgent", "service", "tight", "high", "lost", "roomy", "low"}
	var got []types.TaskID
	for {
		r, ok := q.Pop(2 * time.Hour)
		if !ok {
			break
		}
		got = append(got, r.Task)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("order %v, want %v", got, want)
	}
}

// Guards against memory allocation when a task is placed without preemption.
func TestPlaceDoesNotAllocate(t *testing.T) {
	s := testState(32, Options{})
	r := batch("j/0", size(1, 1))
	s.Place(0, &r)
	if n := testing.AllocsPerRun(100, func() { s.Place(0, &r) }); n != 0 {
		t.Fatalf("%v allocations per decision, want 0", n)
	}
}

// Guards against batch work filling the room that is kept for urgent work, and
// against small shards giving up a large share of their VMs.
func TestHeadroomIsKept(t *testing.T) {
	s := testState(8, Options{})
	s.SetHeadroom(size(6, 8), 2)
	for i := 0; ; i++ {
		r := batch(fmt.Sprint("b", i), size(2, 2))
		d := s.Place(0, &r)
		if d.Outcome != Placed {
			break
		}
		start(t, s, 0, r, d.VM)
	}
	// Eight tasks per VM, three fewer on each of the two VMs with headroom.
	if got, want := s.Len(), 8*8-2*3; got != want {
		t.Errorf("%d batch tasks placed, want %d", got, want)
	}
	for i := range 2 {
		r := batch(fmt.Sprint("u", i), size(6, 8))
		r.Urgent = true
		d := s.Place(0, &r)
		if d.Outcome != Placed {
			t.Fatalf("urgent request %d: %+v", i, d)
		}
		start(t, s, 0, r, d.VM)
	}
	small := testState(3, Options{})
	small.SetHeadroom(size(16, 60), 2)
	r := batch("whole", size(16, 8))
	for i := range 3 {
		r.Task = types.TaskID(fmt.Sprint(i))
		d := small.Place(0, &r)
		if d.Outcome != Placed {
			t.Fatalf("task %d on a shard of three: %+v", i, d)
		}
		start(t, small, 0, r, d.VM)
	}
}

// Guards against parked requests being lost, returned before Unpark, or
// returned after they were cancelled.
func TestQueueParks(t *testing.T) {
	var q Queue
	for _, id := range []string{"a", "b", "c"} {
		r := batch(id, size(1, 1))
		r.Deadline = 9 * time.Hour
		q.Push(r)
	}
	for range 3 {
		r, _ := q.Pop(0)
		q.Park(r)
	}
	if r, ok := q.Pop(0); ok {
		t.Fatalf("parked request %s returned", r.Task)
	}
	q.Remove("b")
	q.Unpark()
	var got []types.TaskID
	for r, ok := q.Pop(0); ok; r, ok = q.Pop(0) {
		got = append(got, r.Task)
	}
	if !slices.Equal(got, []types.TaskID{"a", "c"}) {
		t.Fatalf("after Unpark got %v, want [a c]", got)
	}
}
