package standin

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/platform"
)

// Fault names a kind of injected fault. It is the key of the maps returned by
// Counts.
type Fault string

// An Injector counts the kinds from FaultDown to FaultLateWrite, and a
// FaultyNetwork the others.
const (
	FaultDown        Fault = "down"
	FaultDelay       Fault = "delay"
	FaultFreeze      Fault = "freeze"
	FaultLoseRequest Fault = "lose-request"
	FaultLoseAnswer  Fault = "lose-answer"
	FaultLateWrite   Fault = "late-write"
	FaultDrop        Fault = "drop"
	FaultDuplicate   Fault = "duplicate"
	FaultReorder     Fault = "reorder"
	FaultBlocked     Fault = "blocked"
)

// Faults configures the faults of a service. Probabilities are 0 to 1 per call.
type Faults struct {
	// Down makes every call fail with platform.ErrUnavailable.
	Down bool
	// Frozen blocks every call until the service is unfrozen. A write whose
	// context ends while it is blocked fails with platform.ErrUncertain and
	// takes effect during a later call, after the unfreeze.
	Frozen bool
	// Delay is added before each call takes effect. A write whose context ends
	// during the delay becomes a late write.
	Delay time.Duration
	// LoseRequest is the probability that a write is lost and has no effect.
	LoseRequest float64
	// LoseAnswer is the probability that a call takes effect but its response is
	// lost.
	LoseAnswer float64
	// LateWrite is the probability that a write gets no response and takes
	// effect only during a later, randomly chosen call.
	LateWrite float64
}

// Injector injects faults into the calls of a service and counts them. A seed
// determines which calls are affected. It is safe for concurrent use.
type Injector struct {
	sleep func(context.Context, time.Duration) error

	mu         sync.Mutex
	rng        *rand.Rand
	faults     Faults
	unfrozen   chan struct{} // closed when not frozen
	lateWrites []func()
	counts     map[Fault]int
}

// NewInjector returns an injector without faults. The sleep function waits for
// Faults.Delay; nil means waiting on the system clock.
func NewInjector(seed uint64, sleep func(context.Context, time.Duration) error) *Injector {
	if sleep == nil {
		sleep = sleepFor
	}
	unfrozen := make(chan struct{})
	close(unfrozen)
	return &Injector{
		sleep: sleep, unfrozen: unfrozen, counts: make(map[Fault]int),
		rng: rand.New(rand.NewPCG(seed, 0)),
	}
}

func sleepFor(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Set replaces the faults.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.Frozen != i.faults.Frozen {
		if f.Frozen {
			i.unfrozen = make(chan struct{})
		} else {
			close(i.unfrozen)
		}
	}
	i.faults = f
}

// Counts returns the number of injected faults by kind.
func (i *Injector) Counts() map[Fault]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.counts)
}

func (i *Injector) count(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[f]++
}

// read runs a call that does not change the service. A lost response is reported
// as platform.ErrUnavailable, because repeating a read is always safe.
func (i *Injector) read(ctx context.Context, do func(context.Context) error) error {
	i.runLateWrite()
	if err := i.admit(ctx); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if err := do(ctx); err != nil {
		return err
	}
	if i.shouldInject(FaultLoseAnswer, func(f Faults) float64 { return f.LoseAnswer }) {
		return fmt.Errorf("%w: response lost", platform.ErrUnavailable)
	}
	return nil
}

// write runs a call that changes the service. The function do may run after
// write has returned.
func (i *Injector) write(ctx context.Context, do func(context.Context) error) error {
	i.runLateWrite()
	lateWrite := func() { _ = do(context.WithoutCancel(ctx)) }
	if err := i.admit(ctx); err != nil {
		if ctx.Err() == nil {
			// The service is down, so the write has no effect.
			return err
		}
		i.addLateWrite(lateWrite)
		return fmt.Errorf("%w: %w", platform.ErrUncertain, err)
	}
	if i.shouldInject(FaultLoseRequest, func(f Faults) float64 { return f.LoseRequest }) {
		return fmt.Errorf("%w: request lost", platform.ErrUncertain)
	}
	if i.shouldInject(FaultLateWrite, func(f Faults) float64 { return f.LateWrite }) {
		i.addLateWrite(lateWrite)
		return fmt.Errorf("%w: request delayed", platform.ErrUncertain)
	}
	if err := do(ctx); err != nil {
		return err
	}
	if i.shouldInject(FaultLoseAnswer, func(f Faults) float64 { return f.LoseAnswer }) {
		return fmt.Errorf("%w: response lost", platform.ErrUncertain)
	}
	return nil
}

// admit applies the Down, Frozen and Delay faults to a call. It returns
// platform.ErrUnavailable if the service is down, and the context's error if the
// context ends while the call is blocked or delayed.
func (i *Injector) admit(ctx context.Context) error {
	i.mu.Lock()
	f, unfrozen := i.faults, i.unfrozen
	i.mu.Unlock()
	if f.Down {
		i.count(FaultDown)
		return platform.ErrUnavailable
	}
	if f.Frozen {
		i.count(FaultFreeze)
		select {
		case <-unfrozen:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Delay > 0 {
		i.count(FaultDelay)
		return i.sleep(ctx, f.Delay)
	}
	return nil
}

func (i *Injector) shouldInject(kind Fault, p func(Faults) float64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	share := p(i.faults)
	if share <= 0 || i.rng.Float64() >= share {
		return false
	}
	i.counts[kind]++
	return true
}

func (i *Injector) addLateWrite(f func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lateWrites = append(i.lateWrites, f)
}

// runLateWrite runs at the start of every call. With probability 1/2 it applies
// one pending late write chosen at random, so that late writes take effect out of
// order. It does nothing while the service is frozen.
func (i *Injector) runLateWrite() {
	i.mu.Lock()
	if len(i.lateWrites) == 0 || i.faults.Frozen || i.rng.IntN(2) == 0 {
		i.mu.Unlock()
		return
	}
	n := i.rng.IntN(len(i.lateWrites))
	f := i.lateWrites[n]
	i.lateWrites = append(i.lateWrites[:n], i.lateWrites[n+1:]...)
	i.mu.Unlock()
	f()
}
