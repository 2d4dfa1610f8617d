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
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	return &System{actors: actor.NewActorSystem(actor.WithLoggerFactory(quiet))}
}

// Shutdown stops all actors.
func (s *System) Shutdown() { s.actors.Shutdown() }

// Owner owns a state of type S.
type Owner[S any] struct {
	system *actor.ActorSystem
	pid    *actor.PID
	done   chan struct{}
	ended  sync.Once
}

// work is a function to run on the state.
type work[S any] struct {
	run func(S)
}

// Spawn starts an owner of the state. Names are unique within a system. The process
// ends if a function panics: the state may be broken, and the restarted process
// rebuilds it from what lasts.
func Spawn[S any](s *System, name string, state S) (*Owner[S], error) {
	return SpawnGuarded(s, name, state, func(reason any, stack []byte) {
		fmt.Fprintf(os.Stderr, "state of %s is broken: %v\n%s", name, reason, stack)
		os.Exit(exitBroken)
	})
}

// exitBroken is the exit status of a process whose state is broken.
const exitBroken = 70

// SpawnGuarded starts an owner like Spawn. If a function panics, the state may be
// broken: no function runs on it any more, calls return ErrStopped, and broken is
// called once, on the actor, with the reason and the stack.
func SpawnGuarded[S any](s *System, name string, state S, broken func(reason any, stack []byte)) (*Owner[S], error) {
	o := &Owner[S]{system: s.actors, done: make(chan struct{})}
	intact := true
	props := actor.PropsFromFunc(func(c actor.Context) {
		switch m := c.Message().(type) {
		case *work[S]:
			if !intact {
				return
			}
			if reason, stack := run(state, m.run); reason != nil {
				intact = false
				o.end()
				broken(reason, stack)
			}
		case *actor.Stopped:
			o.end()
		}
	})
	pid, err := s.actors.Root.SpawnNamed(props, name)
	if err != nil {
		return nil, fmt.Errorf("actor %q cannot be started: %w", name, err)
	}
	o.pid = pid
	return o, nil
}

// run runs a function on the state, and returns why it panicked.
func run[S any](state S, f func(S)) (reason any, stack []byte) {
	defer func() {
		if r := recover(); r != nil {
			reason, stack = r, debug.Stack()
		}
	}()
	f(state)
	return nil, nil
}

func (o *Owner[S]) end() { o.ended.Do(func() { close(o.done) }) }

// Tell runs f on the state later. It does not wait.
func (o *Owner[S]) Tell(f func(S)) {
	o.system.Root.Send(o.pid, &work[S]{run: f})
}

// Do runs f on the state and waits for it. f must not call the same owner.
func (o *Owner[S]) Do(f func(S)) error {
	finished := make(chan struct{})
	o.Tell(func(s S) {
		f(s)
		close(finished)
	})
	select {
	case <-finished:
		return nil
	case <-o.done:
		return ErrStopped
	}
}

// Stop ends the owner after the functions that were sent before.
func (o *Owner[S]) Stop() {
	// A poison pill is queued behind earlier messages.
	o.system.Root.Poison(o.pid)
	<-o.done
}
