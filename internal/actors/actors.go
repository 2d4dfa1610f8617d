// Package actors runs state machines of the core inside protoactor-go actors.
//
// An Owner is the only code that touches its state: functions sent to it run
// one after the other in the order in which they were sent by each sender.
package actors

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"

	"github.com/asynkron/protoactor-go/actor"
)

// ErrStopped is returned by calls to an owner that has been stopped.
var ErrStopped = errors.New("owner of the state has been stopped")

// System holds the actors of one process.
type System struct {
	actors *actor.ActorSystem
}

// NewSystem returns an empty system. The library's own log is dropped; events
// of the product are logged by package telemetry.
func NewSystem() *System {
	discardLogger := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	return &System{actors: actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))}
}

// Shutdown stops all actors.
func (s *System) Shutdown() { s.actors.Shutdown() }

// Actor owns a state of type S.
type Actor[S any] struct {
	system  *actor.ActorSystem
	pid     *actor.PID
	done    chan struct{}
	endOnce sync.Once
}

// message is a function to run on the state.
type message[S any] struct {
	apply func(S)
}

// Spawn starts an owner of the state. Names are unique within a system. The process
// ends if a function panics: the state may be broken, and the restarted process
// rebuilds it from what lasts.
func Spawn[S any](s *System, name string, state S) (*Actor[S], error) {
	return SpawnWithPanicHandler(s, name, state, func(reason any, stack []byte) {
		fmt.Fprintf(os.Stderr, "state of %s is broken: %v\n%s", name, reason, stack)
		os.Exit(exitPanicked)
	})
}

// exitPanicked is the exit status of a process whose state is broken.
const exitPanicked = 70

// SpawnWithPanicHandler starts an owner like Spawn. If a function panics, the state may be
// broken: no function runs on it any more, calls return ErrStopped, and broken is
// called once, on the actor, with the reason and the stack.
func SpawnWithPanicHandler[S any](s *System, name string, state S, onPanic func(reason any, stack []byte)) (*Actor[S], error) {
	a := &Actor[S]{system: s.actors, done: make(chan struct{})}
	intact := true
	props := actor.PropsFromFunc(func(c actor.Context) {
		switch m := c.Message().(type) {
		case *message[S]:
			if !intact {
				return
			}
			if reason, stack := runRecovered(state, m.apply); reason != nil {
				intact = false
				a.closeDone()
				onPanic(reason, stack)
			}
		case *actor.Stopped:
			a.closeDone()
		}
	})
	pid, err := s.actors.Root.SpawnNamed(props, name)
	if err != nil {
		return nil, fmt.Errorf("actor %q cannot be started: %w", name, err)
	}
	a.pid = pid
	return a, nil
}

// runRecovered runs a function on the state, and returns why it panicked.
func runRecovered[S any](state S, f func(S)) (reason any, stack []byte) {
	defer func() {
		if r := recover(); r != nil {
			reason, stack = r, debug.Stack()
		}
	}()
	f(state)
	return nil, nil
}

func (a *Actor[S]) closeDone() { a.endOnce.Do(func() { close(a.done) }) }

// Send runs f on the state later. It does not wait.
func (a *Actor[S]) Send(f func(S)) {
	a.system.Root.Send(a.pid, &message[S]{apply: f})
}

// Do runs f on the state and waits for it. f must not call the same owner.
func (a *Actor[S]) Do(f func(S)) error {
	finished := make(chan struct{})
	a.Send(func(s S) {
		f(s)
		close(finished)
	})
	select {
	case <-finished:
		return nil
	case <-a.done:
		return ErrStopped
	}
}

// Stop ends the owner after the functions that were sent before.
func (a *Actor[S]) Stop() {
	// A poison pill is queued behind earlier messages.
	a.system.Root.Poison(a.pid)
	<-a.done
}
