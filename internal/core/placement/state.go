package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// State holds the VMs and allocations on which decisions are based.
type State struct {
	opt       Options
	rng       *rand.Rand
	vms       []vmState
	vmByID    map[types.VMID]int
	tasks     []taskState
	freeSlots []int // indexes of free elements of tasks
	taskByID  map[types.TaskID]int
	gangs     map[types.JobID][]int
	spread    map[types.ServiceName]*spreadCount

	// order maps tree positions to indexes of vms. It alternates domains and
	// racks, so that neighbouring positions cover all of them.
	order []int
	free  maxTree
	// preemptable holds free capacity plus the amounts reserved by evictable
	// batch tasks.
	preemptable maxTree
	dirty       bool
	shapes      []shape
	scratch     preemptScratch

	headroom      types.Resources
	headroomCount int
	headroomVMs   []int
}

type vmState struct {
	types.VM
	usable   bool
	pos      int
	reserved types.Resources
	// evictable is the part of reserved that preemption can ever free.
	evictable types.Resources
	tasks     []int
}

type taskState struct {
	Running
	vm    int
	index int // in vmState.tasks
}

// shape is a distinct pair of capacity and failure domain, with the number of
// its VMs.
type shape struct {
	capacity types.Resources
	domain   types.FailureDomain
	count    int64
}

type rackKey struct {
	domain types.FailureDomain
	rack   types.Rack
}

// spreadCount counts the replicas of one service.
type spreadCount struct {
	vm     map[types.VMID]int
	rack   map[rackKey]int
	domain map[types.FailureDomain]int
}

// New returns an empty state. rng chooses where sampling starts, and so decides
// between equal candidates.
func New(opt Options, rng *rand.Rand) *State {
	if opt.MaxEvictions == 0 {
		opt.MaxEvictions = defaultMaxEvictions
	}
	if opt.MinEvictionInterval == 0 {
		opt.MinEvictionInterval = defaultMinEvictionInterval
	}
	return &State{
		opt:      opt,
		rng:      rng,
		vmByID:   make(map[types.VMID]int),
		taskByID: make(map[types.TaskID]int),
		gangs:    make(map[types.JobID][]int),
		spread:   make(map[types.ServiceName]*spreadCount),
	}
}

// SetVM adds a usable VM, or updates an existing one, which keeps its tasks and
// its usability. A smaller capacity may leave the VM overcommitted; see
// Overcommitted.
func (s *State) SetVM(vm types.VM) {
	s.dirty = true
	if i, ok := s.vmByID[vm.ID]; ok {
		s.addVMToSpread(i, -1)
		s.vms[i].VM = vm
		s.addVMToSpread(i, +1)
		return
	}
	s.vmByID[vm.ID] = len(s.vms)
	s.vms = append(s.vms, vmState{VM: vm, usable: true})
}

// RemoveVM removes a VM with all its allocations, and returns them.
func (s *State) RemoveVM(id types.VMID) []Running {
	i, ok := s.vmByID[id]
	if !ok {
		return nil
	}
	lost := s.TasksOn(id)
	for _, r := range lost {
		s.mustRemove(r.Task)
	}
	last := len(s.vms) - 1
	s.vms[i] = s.vms[last]
	s.vmByID[s.vms[i].ID] = i
	for _, t := range s.vms[i].tasks {
		s.tasks[t].vm = i
	}
	s.vms = s.vms[:last]
	delete(s.vmByID, id)
	s.dirty = true
	return lost
}

// SetUsable allows or forbids new tasks on a VM (drain, quarantine).
func (s *State) SetUsable(id types.VMID, usable bool) error {
	i, ok := s.vmByID[id]
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknownVM, id)
	}
	s.vms[i].usable = usable
	s.reindex(i)
	return nil
}

// Add records an allocation. It returns ErrInsufficientCapacity if the VM lacks
// the free capacity.
func (s *State) Add(r Running) error {
	i, ok := s.vmByID[r.VM]
	if ok && !r.Reserved.Fits(s.vms[i].Capacity.Sub(s.vms[i].reserved)) {
		return fmt.Errorf("%w: task %s on %s", ErrInsufficientCapacity, r.Task, r.VM)
	}
	return s.Adopt(r)
}

// Adopt records an allocation that already runs, without the capacity check. A
// new owner rebuilds its state with it. If the capacity is exceeded,
// Overcommitted lists the VM.
func (s *State) Adopt(r Running) error {
	i, ok := s.vmByID[r.VM]
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknownVM, r.VM)
	}
	if _, dup := s.taskByID[r.Task]; dup {
		return fmt.Errorf("%w: %s", ErrDuplicateTask, r.Task)
	}
	t := s.allocateSlot()
	s.tasks[t] = taskState{Running: r, vm: i, index: len(s.vms[i].tasks)}
	s.taskByID[r.Task] = t
	s.vms[i].tasks = append(s.vms[i].tasks, t)
	if r.Gang {
		s.gangs[r.Job] = append(s.gangs[r.Job], t)
	}
	s.addToSpread(&s.tasks[t], +1)
	s.addReserved(i, &s.tasks[t], r.Reserved)
	return nil
}

// Remove deletes the allocation of a task and returns it.
func (s *State) Remove(id types.TaskID) (Running, error) {
	t, ok := s.taskByID[id]
	if !ok {
		return Running{}, fmt.Errorf("%w: %s", ErrUnknownTask, id)
	}
	task := &s.tasks[t]
	r := task.Running
	i := task.vm
	s.addReserved(i, task, types.Resources{}.Sub(r.Reserved))
	s.addToSpread(task, -1)
	list := s.vms[i].tasks
	last := list[len(list)-1]
	list[task.index] = last
	s.tasks[last].index = task.index
	s.vms[i].tasks = list[:len(list)-1]
	if r.Gang {
		s.removeFromGang(r.Job, t)
	}
	s.tasks[t] = taskState{}
	s.freeSlots = append(s.freeSlots, t)
	delete(s.taskByID, id)
	return r, nil
}

// Resize changes the reserved amount of a task. Growth beyond the VM's free
// capacity returns ErrInsufficientCapacity and changes nothing.
func (s *State) Resize(id types.TaskID, size types.Resources) error {
	t, ok := s.taskByID[id]
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknownTask, id)
	}
	task := &s.tasks[t]
	grow := size.Sub(task.Reserved)
	vm := &s.vms[task.vm]
	if !grow.Max(types.Resources{}).Fits(vm.Capacity.Sub(vm.reserved).Max(types.Resources{})) {
		return fmt.Errorf("%w: task %s on %s", ErrInsufficientCapacity, id, vm.ID)
	}
	s.addReserved(task.vm, task, grow)
	task.Reserved = size
	return nil
}

// SetCheckpointed records the time of a task's last checkpoint. It ignores
// unknown tasks.
func (s *State) SetCheckpointed(id types.TaskID, at time.Duration) {
	if t, ok := s.taskByID[id]; ok {
		s.tasks[t].CheckpointedAt = at
	}
}

// Get returns the allocation of a task.
func (s *State) Get(id types.TaskID) (Running, bool) {
	t, ok := s.taskByID[id]
	if !ok {
		return Running{}, false
	}
	return s.tasks[t].Running, true
}

// Free returns the VM's capacity that is not reserved; zero for an unknown VM.
// Amounts are negative when the VM is overcommitted.
func (s *State) Free(id types.VMID) types.Resources {
	i, ok := s.vmByID[id]
	if !ok {
		return types.Resources{}
	}
	return s.vms[i].Capacity.Sub(s.vms[i].reserved)
}

// TasksOn returns the allocations on a VM, sorted by task ID.
func (s *State) TasksOn(id types.VMID) []Running {
	i, ok := s.vmByID[id]
	if !ok {
		return nil
	}
	out := make([]Running, 0, len(s.vms[i].tasks))
	for _, t := range s.vms[i].tasks {
		out = append(out, s.tasks[t].Running)
	}
	slices.SortFunc(out, func(a, b Running) int { return cmp.Compare(a.Task, b.Task) })
	return out
}

// Len returns the number of allocations.
func (s *State) Len() int {
	return len(s.taskByID)
}

// Overcommitted returns the VMs whose reserved sizes exceed their capacity. Only
// Adopt and a smaller capacity in SetVM can cause that.
func (s *State) Overcommitted() []types.VMID {
	var out []types.VMID
	for i := range s.vms {
		if !s.vms[i].reserved.Fits(s.vms[i].Capacity) {
			out = append(out, s.vms[i].ID)
		}
	}
	return out
}
