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
	// Capacity returns the capacity of a VM. An overload is recorded when live
	// tasks reserve more. With a nil function or a zero result the VM is not
	// checked. A capacity set with SetCapacity takes precedence.
	Capacity func(types.VMID) types.Resources
	// UsageLag is how far the usage in a task status lags behind the runtime's
	// clock.
	UsageLag time.Duration
	// Usage returns the resources that an attempt uses once it has run for ran,
	// measured at full speed. Nil means that every attempt uses its whole
	// reservation.
	Usage func(vm types.VMID, spec platform.StartSpec, ran time.Duration) types.Resources
	// FaultSeed is the seed of the faults set through the admin interface. Each
	// service has its own sequence derived from it.
	FaultSeed uint64
}

// Platform combines one table, one object store and a runtime for each VM.
// Runtime creates a VM's runtime on first use.
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

// SetCapacity sets the capacity of a VM. It takes precedence over
// Options.Capacity.
func (p *Platform) SetCapacity(vm types.VMID, capacity types.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity[vm] = capacity
}

// SetUsageLag changes how far the usage in a task status lags behind the
// runtime's clock.
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
