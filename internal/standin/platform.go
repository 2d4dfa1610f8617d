package standin

import (
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// Options configures a Platform. The zero value is usable.
type Options struct {
	// Clock is the monotonic clock of the runtimes. Nil means the time since New
	// was called.
	Clock func() time.Duration
	// Capacity returns the capacity of a VM, above which overloads are recorded.
	// With a nil function or a zero result the VM is not checked.
	Capacity func(types.VMID) types.Resources
	// UsageLag is the age of reported usage.
	UsageLag time.Duration
	// Usage returns the resources that an attempt uses after the given run time.
	// Nil means that every attempt uses its whole reservation.
	Usage func(vm types.VMID, spec platform.StartSpec, ran time.Duration) types.Resources
	// FaultSeed is the seed of the faults set through the admin interface.
	FaultSeed uint64
}

// Platform combines one table, one object store and a runtime for each VM.
// Runtimes are created on first use.
type Platform struct {
	Table   *Table
	Objects *Objects

	opts              Options
	violationRecorder violationRecorder

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

// SetCapacity sets the capacity of a VM, above which overloads are recorded.
func (p *Platform) SetCapacity(vm types.VMID, capacity types.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity[vm] = capacity
}

// SetUsageLag changes the age of reported usage.
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

// Violations advances every runtime to the current time and returns the
// violations recorded so far.
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
	return p.violationRecorder.snapshot()
}
