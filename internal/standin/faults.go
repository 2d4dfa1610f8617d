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

// Fault names a kind of injected fault in counts.
type Fault string

// Kinds of faults.
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

// Faults is what a service does wrong. Probabilities are 0 to 1 per call.
type Faults struct {
	// Down refuses every call with platform.ErrUnavailable.
	Down bool
	// Frozen holds every call until the service is unfrozen. A write whose
	// caller gives up meanwhile still takes effect afterwards.
	Frozen bool
	// Delay is added before each call takes effect.
	Delay time.Duration
	// LoseRequest is the probability that a write gets lost without effect.
	LoseRequest float64
	// LoseAnswer is the probability that a call takes effect without answer.
	LoseAnswer float64
	// LateWrite is the probability that a write gets no answer and takes
	// effect only during a later call.
	LateWrite float64
}

// Injector decides by a seed which calls of a service go wrong and counts them.
type Injector struct {
	sleep func(context.Context, time.Duration) error

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	thaw   chan struct{} // closed when not frozen
	late   []func()
	counts map[Fault]int
}

// NewInjector returns an injector without faults. A nil sleep function waits
// on the system's clock.
func NewInjector(seed uint64, sleep func(context.Context, time.Duration) error) *Injector {
	if sleep == nil {
		sleep = sleepFor
	}
	thaw := make(chan struct{})
	close(thaw)
	return &Injector{
		sleep: sleep, thaw: thaw, counts: make(map[Fault]int),
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
			i.thaw = make(chan struct{})
		} else {
			close(i.thaw)
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

// read runs a call without effect.
func (i *Injector) read(ctx context.Context, do func(context.Context) error) error {
	i.runLate()
	if err := i.hold(ctx); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if err := do(ctx); err != nil {
		return err
	}
	if i.draw(FaultLoseAnswer, func(f Faults) float64 { return f.LoseAnswer }) {
		return fmt.Errorf("%w: answer lost", platform.ErrUnavailable)
	}
	return nil
}

// write runs a call with an effect. The function may run after the return.
func (i *Injector) write(ctx context.Context, do func(context.Context) error) error {
	i.runLate()
	later := func() { _ = do(context.WithoutCancel(ctx)) }
	if err := i.hold(ctx); err != nil {
		if ctx.Err() == nil {
			return err
		}
		i.addLate(later)
		return fmt.Errorf("%w: %w", platform.ErrUncertain, err)
	}
	if i.draw(FaultLoseRequest, func(f Faults) float64 { return f.LoseRequest }) {
		return fmt.Errorf("%w: request lost", platform.ErrUncertain)
	}
	if i.draw(FaultLateWrite, func(f Faults) float64 { return f.LateWrite }) {
		i.addLate(later)
		return fmt.Errorf("%w: request delayed", platform.ErrUncertain)
	}
	if err := do(ctx); err != nil {
		return err
	}
	if i.draw(FaultLoseAnswer, func(f Faults) float64 { return f.LoseAnswer }) {
		return fmt.Errorf("%w: answer lost", platform.ErrUncertain)
	}
	return nil
}

// hold applies down, frozen and delay. Its error is platform.ErrUnavailable or
// that of the context.
func (i *Injector) hold(ctx context.Context) error {
	i.mu.Lock()
	f, thaw := i.faults, i.thaw
	i.mu.Unlock()
	if f.Down {
		i.count(FaultDown)
		return platform.ErrUnavailable
	}
	if f.Frozen {
		i.count(FaultFreeze)
		select {
		case <-thaw:
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

func (i *Injector) draw(kind Fault, p func(Faults) float64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	share := p(i.faults)
	if share <= 0 || i.rng.Float64() >= share {
		return false
	}
	i.counts[kind]++
	return true
}

func (i *Injector) addLate(f func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.late = append(i.late, f)
}

// runLate lets a late write, chosen at random, take effect on every other call.
func (i *Injector) runLate() {
	i.mu.Lock()
	if len(i.late) == 0 || i.faults.Frozen || i.rng.IntN(2) == 0 {
		i.mu.Unlock()
		return
	}
	n := i.rng.IntN(len(i.late))
	f := i.late[n]
	i.late = append(i.late[:n], i.late[n+1:]...)
	i.mu.Unlock()
	f()
}
