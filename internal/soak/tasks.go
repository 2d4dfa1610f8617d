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
	// maxSettleSteps limits the steps without faults until all tasks have
	// ended.
	maxSettleSteps = 6000
	// maxOpenTasks prevents a run from submitting more than it can finish.
	maxOpenTasks = 60
)

// tasks is a simulation of the owners and workers of one shard.
type tasks struct {
	*simulation
	table     *standin.FaultyTable
	checked   *checkedTable
	vms       []types.VM
	ids       []types.VMID
	processes map[types.VMID]*process
	downUntil map[types.VMID]time.Duration
	// offsets holds the offsets of the VMs' clocks from the virtual clock.
	// The clock of a VM restarts at zero when the VM is reset.
	offsets      map[types.VMID]time.Duration
	incarnations types.Incarnation
	jobs         []types.Job
	finished     map[types.JobID]bool
	failures     map[types.TaskID]int
}

// RunTasks simulates the owners and workers of one shard, and submissions to
// it.
func RunTasks(opts Options) Result {
	w := &tasks{
		processes: map[types.VMID]*process{}, downUntil: map[types.VMID]time.Duration{},
		offsets:  map[types.VMID]time.Duration{},
		finished: map[types.JobID]bool{}, failures: map[types.TaskID]int{},
	}
	capacity := types.Resources{MilliCPU: 4000}
	w.simulation = newSimulation(opts, standin.Options{Capacity: func(types.VMID) types.Resources { return capacity }})
	w.checked = &checkedTable{Table: w.platform.Table, w: w, tasks: map[types.TaskID]task.Row{}, jobs: map[types.JobID]task.JobRow{}}
	w.table = standin.NewFaultyTable(w.checked, w.injector)
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
	w.disableFaults()
	w.restartDrained()
	for n := 0; n < maxSettleSteps && !w.allEnded(); n++ {
		w.step()
	}

	w.checkEnd()
	return w.result()
}

// restartDrained restarts drained workers, as an operator does after
// maintenance of a VM. While most VMs are draining, a gang may fit nowhere, such
// as a gang of four with three VMs that accept work (seed 31). This is not a
// fault of the owner.
func (w *tasks) restartDrained() {
	for _, vm := range w.ids {
		if p := w.processes[vm]; p != nil && p.draining {
			w.restart(p, "restart after drain")
		}
	}
}

func (w *tasks) step() {
	w.res.Steps++
	w.now += Tick
	w.changeFaults()
	if !w.faultsOff {
		w.injectFaults()
		w.submitAndCancelJobs()
	}
	w.notifyOwners()
	w.deliver()
	for _, vm := range w.vms {
		if p := w.processes[vm.ID]; p != nil && w.processInbox(&p.host) {
			p.step()
		} else if p == nil && w.now >= w.downUntil[vm.ID] {
			w.processes[vm.ID] = w.newProcess(vm)
		}
	}
	w.checkRuntimes()
}

// send delivers a call to the process that runs on the VM at that time, if any.
func (w *tasks) send(vm types.VMID, handle func(*process)) {
	w.network.Send(w.now, envelope{
		receiver: func() *host {
			if p := w.processes[vm]; p != nil {
				return &p.host
			}
			return nil
		},
		handle: func() {
			if p := w.processes[vm]; p != nil {
				handle(p)
			}
		},
	})
}

// injectFaults injects faults into processes and VMs.
func (w *tasks) injectFaults() {
	vm := w.ids[w.rng.IntN(vmCount)]
	p := w.processes[vm]
	if p == nil {
		return
	}
	switch x := w.rng.Float64(); {
	case x < 0.008:
		w.restart(p, "restart")
	case x < 0.012:
		p.freeze(w.randomDuration(0, time.Minute))
	case x < 0.0135:
		w.recordEvent("%s reset", vm)
		p.runtime.Reset()
		w.offsets[vm] = -w.now
		w.restart(p, "VM reset")
	case x < 0.015:
		p.draining = true
		w.countFault("drain")
	case x < 0.02:
		w.injectOwnerFault()
	case x < 0.035:
		w.evictRandomTasks()
	case x < 0.038:
		w.failRunningTask(p)
	}
}

func (w *tasks) injectOwnerFault() {
	for _, vm := range w.ids {
		p := w.processes[vm]
		if p == nil || p.term == nil {
			continue
		}
		switch w.rng.IntN(3) {
		case 0:
			w.restart(p, "owner death")
		case 1:
			w.countFault("owner freeze")
			p.freeze(w.randomDuration(3*time.Second, 15*time.Second))
		default:
			if w.now >= p.frozenUntil {
				w.countFault("lease release")
				p.term.releaseLease()
			}
		}
	}
}

func (w *tasks) evictRandomTasks() {
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

func (w *tasks) failRunningTask(p *process) {
	for _, t := range p.state().Tasks {
		if isLive(t.Phase) && p.runtime.Fail(context.Background(), t.Task, t.Attempt, "injected") == nil {
			w.failures[t.Task]++
			w.countFault("task failure")
			return
		}
	}
}

// restart ends a process, which starts again later. The runtime keeps its
// state.
func (w *tasks) restart(p *process, cause string) {
	w.countFault(cause)
	w.recordEvent("%s@%d %s", p.vm.ID, p.incarnation, cause)
	p.dead = true
	delete(w.processes, p.vm.ID)
	w.downUntil[p.vm.ID] = w.now + w.randomDuration(0, 2*time.Second)
	if w.chance(0.2) && !w.faultsOff {
		w.downUntil[p.vm.ID] = w.now + w.randomDuration(30*time.Second, time.Minute)
	}
}

// submitAndCancelJobs randomly submits and cancels jobs, sometimes many at
// once.
func (w *tasks) submitAndCancelJobs() {
	if w.chance(0.02) && w.countOpenTasks() < maxOpenTasks {
		for range 1 + w.rng.IntN(6) {
			w.submitJob()
		}
	}
	if w.chance(0.003) {
		w.countFault("cancellation burst")
		for _, j := range w.jobs {
			if !w.finished[j.ID] && w.chance(0.5) {
				w.cancelJob(j.ID)
			}
		}
	}
}

func (w *tasks) countOpenTasks() int {
	n := 0
	for _, j := range w.jobs {
		if !w.finished[j.ID] {
			n += j.Tasks
		}
	}
	return n
}

func (w *tasks) submitJob() {
	j := types.Job{
		ID: types.JobID(fmt.Sprintf("j%03d", len(w.jobs))), Class: types.ClassBatch, Tasks: 1 + w.rng.IntN(4),
		Demand:  types.Resources{MilliCPU: int64(500 * (1 + w.rng.IntN(5)))},
		RunTime: w.randomDuration(time.Second, 90*time.Second), Urgent: w.chance(0.2), Gang: w.chance(0.2),
	}
	if w.chance(0.03) {
		j.Demand.MilliCPU = 5000
	}
	w.jobs = append(w.jobs, j)
	w.res.Outcomes["tasks submitted"] += j.Tasks
	w.writeJobRow(task.JobRow{Job: j}, 0)
}

func (w *tasks) writeJobRow(row task.JobRow, revision uint64) {
	key := task.JobKey(shardID, row.Job.ID)
	_, err := w.checked.Commit(context.Background(), platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: w.encode(row.Encode())}},
	})
	if err != nil {
		w.recordViolation("submission: %v", err)
	}
}

func (w *tasks) readJobRow(id types.JobID) (task.JobRow, platform.Row) {
	rows, err := w.checked.Get(context.Background(), task.JobKey(shardID, id))
	if err != nil {
		w.recordViolation("read of job: %v", err)
		return task.JobRow{}, platform.Row{}
	}
	row, err := task.DecodeJob(rows[0].Value)
	if err != nil {
		w.recordViolation("job row: %v", err)
	}
	return row, rows[0]
}

func (w *tasks) cancelJob(id types.JobID) {
	row, r := w.readJobRow(id)
	if row.Finished || row.Cancel {
		return
	}
	row.Cancel = true
	w.writeJobRow(row, r.Revision)
	w.res.Outcomes["jobs cancelled"]++
}

// notifyOwners notifies the owner of the shard about each unfinished job. It
// does so repeatedly because messages can be lost.
func (w *tasks) notifyOwners() {
	if w.res.Steps%10 != 0 {
		return
	}
	for i := range w.jobs {
		if id := w.jobs[i].ID; !w.finished[id] {
			// An entry gets the owner from digests. Here a random worker
			// supplies it.
			w.send(w.ids[w.rng.IntN(vmCount)], func(p *process) {
				w.send(p.owner, func(o *process) { o.handleJobNotice(id) })
			})
		}
	}
}

func (w *tasks) encode(b []byte, err error) []byte {
	if err != nil {
		w.recordViolation("encoding: %v", err)
	}
	return b
}

func (w *tasks) leaseRow(r platform.Row) lease.Row {
	if r.Revision == 0 {
		return lease.Row{}
	}
	row, err := lease.Decode(r.Value)
	if err != nil {
		w.recordViolation("lease row: %v", err)
	}
	return row
}
