// Package scheduler decides where the tasks of one shard run. It implements
// shard.Placer and shard.Learner on top of the policy packages: core/estimate
// provides task sizes, core/health the VMs in quarantine, core/interference the
// cost of running a kind on a VM with services, and core/placement the choice
// of the VM.
//
// The placement state is kept between decisions: each decision compares the
// owner's candidates with those of the previous decision and applies the
// differences. A Scheduler serves one ownership term and is not safe for
// concurrent use.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/estimate"
	"github.com/boragecrank/boragecrank/internal/core/health"
	"github.com/boragecrank/boragecrank/internal/core/interference"
	"github.com/boragecrank/boragecrank/internal/core/placement"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

const (
	// reviewInterval is how often quarantines and probes are reviewed.
	reviewInterval = time.Second
	// sweepInterval is how often learned sizes are updated.
	sweepInterval = time.Minute
	// urgentSampleSize is the number of recent urgent tasks that determine the
	// size of the headroom.
	urgentSampleSize = 8
	// maxKinds bounds the number of job kinds with learned data, at 15 KB each.
	maxKinds = 256
	// runTimeQuantile is the share of tasks that end within the expected run
	// time.
	runTimeQuantile = 0.9
)

// Options configure a Scheduler.
type Options struct {
	Shard types.ShardID
	// Weights are the operators' weights of tail latency and evictions.
	Weights interference.Weights
	// Rand breaks ties between equal VMs.
	Rand *rand.Rand
}

// Scheduler chooses VMs for the tasks of one shard.
type Scheduler struct {
	opt     Options
	state   *placement.State
	est     *estimate.Estimator
	health  *health.Tracker
	control *interference.Controller
	model   *interference.Model
	now     time.Duration

	teams map[types.TeamID]*teamShare

	vms   map[types.VMID]*vmState
	vmIDs []types.VMID
	// probeDue holds the VMs in quarantine that are due for a probe task, and
	// probeTasks the VM of each task that serves as a probe.
	probeDue   map[types.VMID]bool
	probeTasks map[types.TaskID]types.VMID
	lastReview time.Duration
	lastSweep  time.Duration
	// urgentSizes holds the sizes of the most recent urgent tasks, and
	// urgentOrder their IDs from oldest to newest.
	urgentSizes map[types.TaskID]types.Resources
	urgentOrder []types.TaskID
}

// New returns a scheduler without VMs or learned data.
func New(opt Options) *Scheduler {
	s := &Scheduler{
		opt:         opt,
		est:         estimate.New(estimate.Options{MaxKinds: maxKinds}),
		health:      health.New(health.Options{}),
		model:       interference.NewModel(),
		teams:       make(map[types.TeamID]*teamShare),
		vms:         make(map[types.VMID]*vmState),
		probeDue:    make(map[types.VMID]bool),
		probeTasks:  make(map[types.TaskID]types.VMID),
		urgentSizes: make(map[types.TaskID]types.Resources),
	}
	s.control = interference.NewController(interference.Options{Weights: opt.Weights}, s.model)
	s.state = placement.New(placement.Options{Cost: s.cost}, opt.Rand)
	return s
}

func (s *Scheduler) cost(vm types.VMID, r *placement.Request) float64 {
	return s.control.Cost(s.now, vm, r.Kind, s.vms[vm].cpuFraction(r.Size))
}

// Place implements shard.Placer.
func (s *Scheduler) Place(d shard.Demand, candidates []shard.Candidate) shard.Decision {
	s.now = d.Now
	s.syncCandidates(candidates)
	s.runPeriodicUpdates()
	r := s.request(d)
	if a, ok := s.checkQuota(&d, &r); !ok {
		return a
	}
	if vm, ok := s.placeProbe(d, &r); ok {
		s.probeTasks[r.Task] = vm
		s.charge(d.Job.Team, r.Task, r.Size)
		return shard.Decision{VM: vm, Reserved: r.Size}
	}
	if r.Urgent {
		s.updateHeadroom(&r)
	}
	result := s.state.Place(d.Now, &r)
	if result.Outcome == placement.Infeasible && r.Avoid != "" {
		r.Avoid = "" // A VM to avoid for a while does not make the task infeasible.
		if s.state.Place(d.Now, &r).Outcome != placement.Infeasible {
			return shard.Decision{}
		}
	}
	if result.Outcome == placement.Placed || result.Outcome == placement.Preempt {
		// Charge now: a task that waits for evictions is not listed among the
		// VM's attempts yet, so syncTasks does not charge it.
		s.charge(d.Job.Team, r.Task, r.Size)
	}
	return s.decision(&r, result)
}

func (s *Scheduler) decision(r *placement.Request, a placement.Decision) shard.Decision {
	switch a.Outcome {
	case placement.Placed:
		return shard.Decision{VM: a.VM, Reserved: r.Size}
	case placement.Preempt:
		// The next decision reuses the slice a.Victims.
		return shard.Decision{VM: a.VM, Reserved: r.Size, Evict: append([]types.TaskID(nil), a.Victims...)}
	case placement.Infeasible:
		return shard.Decision{Infeasible: "no VM of the shard can hold the task: limited by " + a.Binding.String() +
			", needs " + r.Size.String() + ", the largest amount available is " + a.Limit.String()}
	default:
		return shard.Decision{}
	}
}

// request builds the placement request of a task. A learned size is limited to
// the largest VM unless the declared size exceeds it.
func (s *Scheduler) request(d shard.Demand) placement.Request {
	j := d.Job
	size := s.est.Size(d.Now, j.Kind, j.Demand)
	if maxCapacity := s.maxCapacity(); j.Demand.Fits(maxCapacity) {
		size = minCPUAndMemory(size, maxCapacity)
	}
	r := placement.Request{
		Task: d.Task, Job: j.ID, Kind: j.Kind, Class: j.Class,
		Priority: j.Priority, Urgent: j.Urgent, Size: size,
		RunTime: s.est.RunTime(d.Now, j.Kind, j.RunTime, 0, runTimeQuantile),
		Domains: j.FailureDomains, Avoid: d.Avoid,
	}
	r.Service = serviceOf(j)
	return r
}

// serviceOf returns the service that a job is a replica of, or an empty name
// for a batch job.
func serviceOf(j *types.Job) types.ServiceName {
	if j.Class != types.ClassLatencyCritical {
		return ""
	}
	return types.ServiceName(j.Kind)
}

// updateHeadroom sets the headroom to the largest of the recent urgent sizes:
// on two VMs if the operators weight evictions higher than tail latency,
// otherwise on one.
func (s *Scheduler) updateHeadroom(r *placement.Request) {
	if _, known := s.urgentSizes[r.Task]; !known {
		s.urgentOrder = append(s.urgentOrder, r.Task)
	}
	s.urgentSizes[r.Task] = r.Size
	if len(s.urgentOrder) > urgentSampleSize {
		delete(s.urgentSizes, s.urgentOrder[0])
		s.urgentOrder = s.urgentOrder[1:]
	}
	var maxSize types.Resources
	for _, size := range s.urgentSizes {
		maxSize = maxSize.Max(size)
	}
	vms := 1
	if s.opt.Weights.Eviction > s.opt.Weights.TailLatency {
		vms = 2
	}
	s.state.SetHeadroom(maxSize, vms)
}

// minCPUAndMemory returns a with processors and memory limited to those of b.
func minCPUAndMemory(a, b types.Resources) types.Resources {
	a.MilliCPU = min(a.MilliCPU, b.MilliCPU)
	a.MemoryBytes = min(a.MemoryBytes, b.MemoryBytes)
	return a
}
