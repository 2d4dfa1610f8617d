package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
)

const (
	vmCount = 8
	// settleSteps bounds the steps without faults until all tasks have ended.
	settleSteps = 6000
	// maxOpenTasks keeps a run from submitting more than it can finish.
	maxOpenTasks = 60
)

// tasks is the world of one shard.
type tasks struct {
	*run
	table     *standin.FaultyTable
	check     *checkedTable
	vms       []types.VM
	ids       []types.VMID
	processes map[types.VMID]*process
	down      map[types.VMID]time.Duration
	// offsets are those of the VMs' clocks, which start anew when a VM does.
	offsets      map[types.VMID]time.Duration
	incarnations types.Incarnation
	jobs         []types.Job
	finished     map[types.JobID]bool
	failures     map[types.TaskID]int
}

// Tasks runs owners, workers and submissions of one shard.
func Tasks(opts Options) Result {
	w := &tasks{
		processes: map[types.VMID]*process{}, down: map[types.VMID]time.Duration{},
		offsets:  map[types.VMID]time.Duration{},
		finished: map[types.JobID]bool{}, failures: map[types.TaskID]int{},
	}
	capacity := types.Resources{MilliCPU: 4000}
	w.run = newRun(opts, standin.Options{Capacity: func(types.VMID) types.Resources { return capacity }})
	w.check = &checkedTable{Table: w.platform.Table, w: w, tasks: map[types.TaskID]task.Row{}, jobs: map[types.JobID]task.JobRow{}}
	w.table = standin.NewFaultyTable(w.check, w.injector)
	for i := range vmCount {
		vm := types.VM{ID: types.VMID(fmt.Sprintf("vm%d", i)), Shard: shardID, Capacity: capacity}
		w.vms = append(w.vms, vm)
		w.ids = append(w.ids, vm.ID)
	}
	for i, vm := range w.vms {
		w.offsets[vm.ID] = time.Duration(i) * time.Hour
		w.processes[vm.ID] = w.newProcess(vm)
	}
	for range opts.Steps {
		w.step()
	}
	w.calm()
	w.endDrains()
	for n := 0; n < settleSteps && !w.settled(); n++ {
		w.step()
	}

	w.atEnd()
	return w.result()
}

// endDrains restarts drained workers, as an operator does after the work on a
// VM. With most VMs draining a gang may fit nowhere (seed 31: a gang of four
// with three VMs that take work), which is not a fault of the owner.
func (w *tasks) endDrains() {
	for _, vm := range w.ids {
		if p := w.processes[vm]; p != nil && p.draining {
			w.restart(p, "restart after drain")
		}
	}
}

func (w *tasks) step() {
	w.res.Steps++
	w.now += Tick
	w.disturb()
	if !w.quiet {
		w.faults()
		w.submissions()
	}
	w.notify()
	w.deliver()
	for _, vm := range w.vms {
		if p := w.processes[vm.ID]; p != nil && w.awake(&p.host) {
			p.step()
		} else if p == nil && w.now >= w.down[vm.ID] {
			w.processes[vm.ID] = w.newProcess(vm)
		}
	}
	w.witness()
}

// send carries a call to whatever process runs at the VM.
func (w *tasks) send(vm types.VMID, do func(*process)) {
	w.net.Send(w.now, envelope{
		to: func() *host {
			if p := w.processes[vm]; p != nil {
				return &p.host
			}
			return nil
		},
		do: func() {
			if p := w.processes[vm]; p != nil {
				do(p)
			}
		},
	})
}

// faults injects faults into processes and VMs.
func (w *tasks) faults() {
	vm := w.ids[w.rng.IntN(vmCount)]
	p := w.processes[vm]
	if p == nil {
		return
	}
	switch x := w.rng.Float64(); {
	case x < 0.008:
		w.restart(p, "restart")
	case x < 0.012:
		p.freeze(w.between(0, time.Minute))
	case x < 0.0135:
		w.event("%s reset", vm)
		p.runtime.Reset()
		w.offsets[vm] = -w.now
		w.restart(p, "VM reset")
	case x < 0.015:
		p.draining = true
		w.fault("drain")
	case x < 0.02:
		w.disturbOwner()
	case x < 0.035:
		w.evict()
	case x < 0.038:
		w.failTask(p)
	}
}

func (w *tasks) disturbOwner() {
	for _, vm := range w.ids {
		p := w.processes[vm]
		if p == nil || p.term == nil {
			continue
		}
		switch w.rng.IntN(3) {
		case 0:
			w.restart(p, "owner death")
		case 1:
			w.fault("owner freeze")
			p.freeze(w.between(3*time.Second, 15*time.Second))
		default:
			if w.now >= p.frozenUntil {
				w.fault("lease release")
				p.term.release()
			}
		}
	}
}

func (w *tasks) evict() {
	for _, vm := range w.ids {
		p := w.processes[vm]
		if p == nil || p.term == nil || w.now < p.frozenUntil || len(w.jobs) == 0 {
			continue
		}
		job := &w.jobs[w.rng.IntN(len(w.jobs))]
		if p.term.machine.Evict(p.clock(), job.TaskID(w.rng.IntN(job.Tasks))) {
			w.res.Outcomes["evictions begun"]++
		}
	}
}

func (w *tasks) failTask(p *process) {
	for _, t := range p.state().Tasks {
		if live(t.Phase) && p.runtime.Fail(context.Background(), t.Task, t.Attempt, "injected") == nil {
			w.failures[t.Task]++
			w.fault("task failure")
			return
		}
	}
}

// restart ends a process; the runtime keeps what it has.
func (w *tasks) restart(p *process, why string) {
	w.fault(why)
	w.event("%s@%d %s", p.vm.ID, p.incarnation, why)
	p.dead = true
	delete(w.processes, p.vm.ID)
	w.down[p.vm.ID] = w.now + w.between(0, 2*time.Second)
	if w.chance(0.2) && !w.quiet {
		w.down[p.vm.ID] = w.now + w.between(30*time.Second, time.Minute)
	}
}

// submissions adds and cancels jobs, at times many at once.
func (w *tasks) submissions() {
	if w.chance(0.02) && w.open() < maxOpenTasks {
		for range 1 + w.rng.IntN(6) {
			w.submit()
		}
	}
	if w.chance(0.003) {
		w.fault("cancellation burst")
		for _, j := range w.jobs {
			if !w.finished[j.ID] && w.chance(0.5) {
				w.cancel(j.ID)
			}
		}
	}
}

func (w *tasks) open() int {
	n := 0
	for _, j := range w.jobs {
		if !w.finished[j.ID] {
			n += j.Tasks
		}
	}
	return n
}

func (w *tasks) submit() {
	j := types.Job{
		ID: types.JobID(fmt.Sprintf("j%03d", len(w.jobs))), Class: types.ClassBatch, Tasks: 1 + w.rng.IntN(4),
		Demand:  types.Resources{MilliCPU: int64(500 * (1 + w.rng.IntN(5)))},
		RunTime: w.between(time.Second, 90*time.Second), Urgent: w.chance(0.2), Gang: w.chance(0.2),
	}
	if w.chance(0.03) {
		j.Demand.MilliCPU = 5000
	}
	w.jobs = append(w.jobs, j)
	w.res.Outcomes["tasks submitted"] += j.Tasks
	w.put(task.JobRow{Job: j}, 0)
}

func (w *tasks) put(row task.JobRow, revision uint64) {
	key := task.JobKey(shardID, row.Job.ID)
	_, err := w.check.Commit(context.Background(), platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: w.encode(row.Encode())}},
	})
	if err != nil {
		w.fail("submission: %v", err)
	}
}

func (w *tasks) jobRow(id types.JobID) (task.JobRow, platform.Row) {
	rows, err := w.check.Get(context.Background(), task.JobKey(shardID, id))
	if err != nil {
		w.fail("read of job: %v", err)
		return task.JobRow{}, platform.Row{}
	}
	row, err := task.DecodeJob(rows[0].Value)
	if err != nil {
		w.fail("job row: %v", err)
	}
	return row, rows[0]
}

func (w *tasks) cancel(id types.JobID) {
	row, r := w.jobRow(id)
	if row.Finished || row.Cancel {
		return
	}
	row.Cancel = true
	w.put(row, r.Revision)
	w.res.Outcomes["jobs cancelled"]++
}

// notify tells owners of unfinished jobs, repeatedly because calls get lost.
func (w *tasks) notify() {
	if w.res.Steps%10 != 0 {
		return
	}
	for i := range w.jobs {
		if id := w.jobs[i].ID; !w.finished[id] {
			// An entry knows the owner from digests; here any worker tells it.
			w.send(w.ids[w.rng.IntN(vmCount)], func(p *process) {
				w.send(p.owner, func(o *process) { o.notified(id) })
			})
		}
	}
}

func (w *tasks) encode(b []byte, err error) []byte {
	if err != nil {
		w.fail("encoding: %v", err)
	}
	return b
}

func (w *tasks) leaseRow(r platform.Row) lease.Row {
	if r.Revision == 0 {
		return lease.Row{}
	}
	row, err := lease.Decode(r.Value)
	if err != nil {
		w.fail("lease row: %v", err)
	}
	return row
}
