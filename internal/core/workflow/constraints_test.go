package workflow

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// constraintHarness drives an owner whose VMs differ in service, labels and
// size, and checks each start against the constraints of its step.
type constraintHarness struct {
	t       *rapid.T
	o       *Owner
	now     time.Duration
	seq     uint64
	ups     map[types.VMID]Upstream
	running map[types.VMID]map[TaskKey]uint64
	endList map[types.VMID][]End
	lastEnd map[types.VMID]uint64
}

var constraintQueues = map[string]Queue{
	"q0": {Name: "q0", Service: "s0", MaxAttempts: 3, Stretch: 2, Target: time.Second},
	"q1": {Name: "q1", Service: "s1", MaxAttempts: 3, Stretch: 2, Target: time.Second, Priority: 1},
}

func newConstraintHarness(t *rapid.T) *constraintHarness {
	c := &constraintHarness{
		t: t, now: time.Minute, ups: make(map[types.VMID]Upstream), running: make(map[types.VMID]map[TaskKey]uint64),
		endList: make(map[types.VMID][]End), lastEnd: make(map[types.VMID]uint64),
	}
	c.o = New(simConfig(mutantNone, 1), c.now)
	c.o.SetQueues(constraintQueues)
	for i := range 6 {
		vm := types.VMID(fmt.Sprintf("vm%d", i))
		c.ups[vm] = Upstream{
			Boot:    Boot{ID: string(vm), Born: 1},
			Service: types.ServiceName(fmt.Sprintf("s%d", i%2)),
			Labels:  []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "label")},
			Rack:    types.Rack(fmt.Sprintf("r%d", i/2)),
			Capacity: types.Resources{
				MilliCPU: rapid.Int64Range(2, 6).Draw(t, "cpu") * 1000, MemoryBytes: rapid.Int64Range(2, 6).Draw(t, "memory"),
			},
		}
		c.running[vm] = make(map[TaskKey]uint64)
	}
	return c
}

func (c *constraintHarness) submit(id int) {
	spec := Step{
		Tasks: rapid.IntRange(1, 5).Draw(c.t, "tasks"), RunTime: time.Second,
		Demand: types.Resources{MilliCPU: rapid.Int64Range(1, 3).Draw(c.t, "demand") * 1000, MemoryBytes: rapid.Int64Range(1, 2).Draw(c.t, "memory")},
		Label:  rapid.SampledFrom([]string{"", "a", "b"}).Draw(c.t, "label"), MaxPerVM: rapid.IntRange(0, 2).Draw(c.t, "limit"),
		Gang: rapid.IntRange(0, 3).Draw(c.t, "gang") == 0, Fills: rapid.IntRange(0, 3).Draw(c.t, "fills") == 0,
		SameRack: rapid.Bool().Draw(c.t, "rack"),
	}
	job := Job{ID: types.JobID(fmt.Sprintf("j%02d", id)), Queue: fmt.Sprintf("q%d", id%2), Steps: []Step{spec}, Accepted: c.now}
	if err := c.o.AddJob(c.now, c.now, job, JobQueued, 1, Progress{}, true); err != nil {
		c.t.Fatal(err)
	}
}

// step ends some runs, reports all VMs and checks the resulting starts.
func (c *constraintHarness) step() {
	c.now += 100 * time.Millisecond
	for _, vm := range slices.Sorted(maps.Keys(c.ups)) {
		up := c.ups[vm]
		keys := slices.SortedFunc(maps.Keys(c.running[vm]), func(a, b TaskKey) int { return strings.Compare(a.String(), b.String()) })
		for _, key := range keys {
			run := c.running[vm][key]
			if rapid.IntRange(0, 9).Draw(c.t, "ends") > 0 {
				continue
			}
			kind := EndDone
			if c.o.findTask(key) != nil && !c.o.findTask(key).step.spec.Gang && rapid.IntRange(0, 4).Draw(c.t, "fails") == 0 {
				kind = EndFailed
			}
			delete(c.running[vm], key)
			c.lastEnd[vm]++
			c.endList[vm] = append(c.endList[vm], End{Number: c.lastEnd[vm], Task: key, Run: run, Kind: kind})
		}
		c.seq++
		r := Report{VM: vm, Agent: 1, Fence: FirstFence(1), Boot: up.Boot, Upstream: &up, Clock: c.now, ListSeq: c.seq, Ended: c.endList[vm]}
		for key, run := range c.running[vm] {
			r.Running = append(r.Running, Run{Task: key, Run: run, Progress: 50, Figure: 1000})
		}
		c.o.Report(c.now, r)
		c.o.Grant(vm)
	}
	gangs := make(map[*step]map[uint64]int)
	for _, order := range c.o.Poll(c.now, c.now).Orders {
		c.seq++
		t := c.o.findTask(order.Task)
		switch order.Kind {
		case OrderStart:
			c.checkStart(order, t)
			if t.step.spec.Gang {
				if gangs[t.step] == nil {
					gangs[t.step] = make(map[uint64]int)
				}
				gangs[t.step][order.Run]++
			}
			c.running[order.VM][order.Task] = order.Run
		case OrderStop:
			delete(c.running[order.VM], order.Task)
		}
		c.o.ApplyResults(c.now, 1, []OrderResult{{Order: order, Result: ResultDone, Seq: c.seq}})
	}
	for s, runs := range gangs {
		for run, n := range runs {
			if n != len(s.tasks) {
				c.t.Fatalf("run %d of a gang of %d starts with %d members", run, len(s.tasks), n)
			}
		}
	}
}

func (c *constraintHarness) checkStart(order Order, t *task) {
	up, spec := c.ups[order.VM], t.step.spec
	if want := constraintQueues[t.step.job.spec.Queue].Service; up.Service != want {
		c.t.Fatalf("task %s of service %s starts on a VM of %s", order.Task, want, up.Service)
	}
	if spec.Label != "" && up.Labels[0] != spec.Label {
		c.t.Fatalf("task %s with label %q starts on a VM with %v", order.Task, spec.Label, up.Labels)
	}
	used, same := t.step.reservation(), 1
	for key := range c.running[order.VM] {
		other := c.o.findTask(key)
		if other == nil {
			continue
		}
		used = used.Add(other.step.reservation())
		if other.step == t.step {
			same++
		}
	}
	if !used.Fits(up.Capacity) {
		c.t.Fatalf("task %s raises the reservations on %s to %+v of %+v", order.Task, order.VM, used, up.Capacity)
	}
	if spec.MaxPerVM > 0 && same > spec.MaxPerVM {
		c.t.Fatalf("%d tasks of a step with a limit of %d run on %s", same, spec.MaxPerVM, order.VM)
	}
}

// Guards against starts on workers of another service, without the required
// label, over the per-VM limit of a step or the capacity of the VM, and against
// gangs that start in part, for any mix of steps, ends and failures.
func TestPropertyStartsKeepConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newConstraintHarness(t)
		for i := range rapid.IntRange(10, 40).Draw(t, "steps") {
			if i < 20 && rapid.Bool().Draw(t, "submit") {
				c.submit(i)
			}
			c.step()
		}
	})
}
