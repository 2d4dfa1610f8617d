package standin

import (
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// Options configures a Platform. The zero value is usable.
type Options struct {
	// Clock is the monotonic clock of the runtimes; nil counts from now.
	Clock func() time.Duration
	// Capacity gives the capacity of a VM for the overload record. A nil
	// function or a zero result means that the VM is not checked.
	Capacity func(types.VMID) types.Resources
	// UsageLag is the age of reported usage.
	UsageLag time.Duration
	// Usage gives what an attempt uses after having run for a time; nil means
	// its reservation.
	Usage func(vm types.VMID, spec platform.StartSpec, ran time.Duration) types.Resources
	// FaultSeed decides the faults that the admin interface turns on.
	FaultSeed uint64
}

// Platform is the whole stand-in: one table, one object store and a runtime
// for each VM, created on first use.
type Platform struct {
	Table   *Table
	Objects *Objects

	opts     Options
	recorder violationRecorder

	mu       sync.Mutex
	runtimes map[types.VMID]*Runtime
	capacity map[types.VMID]types.Resources
	usageLag time.Duration
}

// New returns an empty platform.
func New(opts Options) *Platform {
	if opts.Clock == nil {
		start := time.Now()
		opts.Clock = func() time.Duration { return time.Since(start) }
	}
	return &Platform{
		Table:    NewTable(),
		Objects:  NewObjects(),
		opts:     opts,
		runtimes: make(map[types.VMID]*Runtime),
		capacity: make(map[types.VMID]types.Resources),
		usageLag: opts.UsageLag,
	}
}

// Runtime returns the task runtime of the VM.
func (p *Platform) Runtime(vm types.VMID) *Runtime {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.runtimes[vm]
	if !ok {
		r = &Runtime{p: p, vm: vm, tasks: make(map[types.TaskID]*runtimeTask)}
		p.runtimes[vm] = r
	}
	return r
}

// SetCapacity sets the capacity that the overload record compares with.
func (p *Platform) SetCapacity(vm types.VMID, capacity types.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity[vm] = capacity
}

// SetUsageLag sets the age of reported usage from now on.
func (p *Platform) SetUsageLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usageLag = lag
}

func (p *Platform) currentUsageLag() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usageLag
}

func (p *Platform) vmCapacity(vm types.VMID) types.Resources {
	p.mu.Lock()
	c, ok := p.capacity[vm]
	p.mu.Unlock()
	if !ok && p.opts.Capacity != nil {
		c = p.opts.Capacity(vm)
	}
	return c
}

// Violations advances every runtime to now and returns what was recorded.
func (p *Platform) Violations() ViolationRecord {
	p.mu.Lock()
	all := make([]*Runtime, 0, len(p.runtimes))
	for _, r := range p.runtimes {
		all = append(all, r)
	}
	p.mu.Unlock()
	for _, r := range all {
		r.lockAndAdvance()
	}
	return p.recorder.snapshot()
}
