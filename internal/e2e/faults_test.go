package e2e

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/localrun"
	"github.com/boragecrank/boragecrank/internal/operatorapi"
	"github.com/boragecrank/boragecrank/internal/standin"
)

// Kinds of faults. faultTablePrefix is followed by the kind of the table fault.
const (
	faultKill         = "kill"
	faultFreeze       = "freeze"
	faultGracefulStop = "graceful"
	faultTablePrefix  = "table"
)

// stopTimeout is the time limit for a graceful stop. It exceeds the drain delay of
// 1 s and the drain timeout of 30 s in the settings of localrun, plus 5 s that the
// command allows for closing.
const stopTimeout = 45 * time.Second

// fleet is a localrun.Deployment with the record of the faults injected into it.
type fleet struct {
	t       *testing.T
	d       *localrun.Deployment
	opts    localrun.Options
	started time.Time

	mu      sync.Mutex
	faulted map[string]bool // targets with a fault in progress
	events  []faultEvent
}

// faultEvent is an injected fault.
type faultEvent struct {
	kind, target string
	from, to     time.Time
}

// process is a process that can be stopped and restarted.
type process struct {
	name  string
	start func(context.Context) error
}

func (f *fleet) entry(i int) process {
	return process{localrun.EntryName(i), func(ctx context.Context) error { return f.d.StartEntry(ctx, i) }}
}

func (f *fleet) worker(domain, worker int) process {
	return process{localrun.WorkerName(domain, worker), func(ctx context.Context) error { return f.d.StartWorker(ctx, domain, worker) }}
}

// owner returns the current owner of a random shard, or a random worker if the
// owner is unknown.
func (f *fleet) owner(ctx context.Context, rng *rand.Rand) process {
	fallback := f.worker(rng.IntN(f.opts.Domains)+1, rng.IntN(f.opts.Workers)+1)
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	status, err := f.operatorClient().Status(ctx)
	if err != nil || len(status.Shards) == 0 {
		return fallback
	}
	name := status.Shards[rng.IntN(len(status.Shards))].GetOwner()
	for domain := 1; domain <= f.opts.Domains; domain++ {
		for worker := 1; worker <= f.opts.Workers; worker++ {
			if localrun.WorkerName(domain, worker) == name {
				return f.worker(domain, worker)
			}
		}
	}
	return fallback
}

func (f *fleet) operatorClient() *operatorapi.Client {
	var urls []string
	for i := 1; i <= f.opts.Entries; i++ {
		urls = append(urls, "http://"+f.d.OperatorAddr(i))
	}
	c, err := operatorapi.New(operatorapi.Options{Entries: urls, Token: localrun.Token, Timeout: 3 * time.Second})
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// reserveTarget marks a target as having a fault in progress. It reports false
// if the target already had one.
func (f *fleet) reserveTarget(target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faulted[target] {
		return false
	}
	f.faulted[target] = true
	return true
}

// endFault sets the end time of the fault, records and logs it, and releases its
// target.
func (f *fleet) endFault(e faultEvent) {
	e.to = time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faulted[e.target] = false
	f.events = append(f.events, e)
	f.t.Logf("%6.1f s to %6.1f s: %s %s", e.from.Sub(f.started).Seconds(), e.to.Sub(f.started).Seconds(), e.kind, e.target)
}

// inject injects a fault into a process and returns when the fault has ended. It
// does nothing if the process already has a fault in progress.
func (f *fleet) inject(ctx context.Context, kind string, n process, rng *rand.Rand) {
	if !f.reserveTarget(n.name) {
		return
	}
	e := faultEvent{kind: kind, target: n.name, from: time.Now()}
	defer func() { f.endFault(e) }()
	switch kind {
	case faultKill:
		if err := f.d.Kill(n.name); err != nil {
			f.t.Errorf("kill %s: %v", n.name, err)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
		f.start(ctx, n)
	case faultGracefulStop:
		if err := f.d.Stop(n.name, stopTimeout); err != nil {
			f.t.Errorf("graceful stop failed: %v", err)
			_ = f.d.Kill(n.name)
		}
		f.start(ctx, n)
	case faultFreeze:
		f.freeze(n.name, time.Second+time.Duration(rng.Int64N(int64(7*time.Second))))
	}
}

// start starts a process and retries up to three times, as a supervisor would.
func (f *fleet) start(ctx context.Context, n process) {
	var err error
	for range 4 {
		if err = n.start(ctx); err == nil {
			return
		}
		_ = f.d.Kill(n.name)
	}
	f.t.Errorf("%s did not start: %v", n.name, err)
}

func (f *fleet) freeze(name string, d time.Duration) {
	if err := f.d.Signal(name, syscall.SIGSTOP); err != nil {
		f.t.Errorf("freeze %s: %v", name, err)
		return
	}
	time.Sleep(d)
	if err := f.d.Signal(name, syscall.SIGCONT); err != nil {
		f.t.Errorf("unfreeze %s: %v", name, err)
	}
}

// injectTableFault injects a fault into the table service or freezes the whole
// platform process.
func (f *fleet) injectTableFault(ctx context.Context, rng *rand.Rand) {
	const platform = "platform"
	if !f.reserveTarget(platform) {
		return
	}
	faults := []standin.Faults{
		{Down: true},
		{Frozen: true},
		{Delay: time.Duration(100+rng.IntN(1500)) * time.Millisecond},
		{LoseAnswer: 0.3, LoseRequest: 0.1},
		{LateWrite: 0.2, LoseAnswer: 0.2},
		{}, // freezes the platform process instead
	}
	n := rng.IntN(len(faults))
	length := time.Second + time.Duration(rng.Int64N(int64(6*time.Second)))
	e := faultEvent{kind: faultTablePrefix + "-" + [...]string{"down", "frozen", "slow", "lossy", "late", "process-frozen"}[n], target: platform, from: time.Now()}
	defer func() { f.endFault(e) }()
	if faults[n] == (standin.Faults{}) {
		f.freeze(platform, length)
		return
	}
	f.setTableFaults(ctx, faults[n])
	time.Sleep(length)
	f.setTableFaults(ctx, standin.Faults{})
}

func (f *fleet) setTableFaults(ctx context.Context, faults standin.Faults) {
	err := f.d.Post(ctx, "http://"+f.d.PlatformAddr()+"/admin/faults", standin.FaultsRequest{Service: standin.ServiceTable, Faults: faults})
	if err != nil {
		f.t.Errorf("set faults of the table: %v", err)
	}
}

// injectFaults injects faults for the given time, sometimes two at a time. It
// returns when the last fault has ended and all processes run again.
func (f *fleet) injectFaults(ctx context.Context, rng *rand.Rand, length time.Duration) {
	var running sync.WaitGroup
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		count := 1 + rng.IntN(2)
		for range count {
			childRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
			running.Go(func() { f.injectRandomFault(ctx, childRNG) })
		}
		time.Sleep(time.Second + time.Duration(rng.Int64N(int64(2*time.Second))))
	}
	running.Wait()
}

// injectRandomFault injects a fault chosen at random.
func (f *fleet) injectRandomFault(ctx context.Context, rng *rand.Rand) {
	kind := [...]string{faultKill, faultFreeze, faultGracefulStop}[rng.IntN(3)]
	switch rng.IntN(4) {
	case 0:
		f.inject(ctx, kind, f.entry(rng.IntN(f.opts.Entries)+1), rng)
	case 1:
		f.inject(ctx, kind, f.worker(rng.IntN(f.opts.Domains)+1, rng.IntN(f.opts.Workers)+1), rng)
	case 2:
		f.inject(ctx, kind, f.owner(ctx, rng), rng)
	default:
		f.injectTableFault(ctx, rng)
	}
}

// hadFault reports whether a fault of the kind on the target overlapped the
// given interval. Faults in progress are not included.
func (f *fleet) hadFault(kind, target string, from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if e.kind == kind && e.target == target && !e.to.Before(from) && !e.from.After(to) {
			return true
		}
	}
	return false
}

// faultCounts returns the number of injected faults by kind.
func (f *fleet) faultCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int)
	for _, e := range f.events {
		counts[e.kind]++
	}
	return counts
}

// await polls until the condition holds, and fails the test after the limit.
func await(t *testing.T, what string, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: condition not met within %v", what, limit)
}
