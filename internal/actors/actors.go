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
}

// work is a function to run on the state.
type work[S any] struct {
	run func(S)
}

// Spawn starts an owner of the state. Names are unique within a system.
func Spawn[S any](s *System, name string, state S) (*Owner[S], error) {
	o := &Owner[S]{system: s.actors, done: make(chan struct{})}
	props := actor.PropsFromFunc(func(c actor.Context) {
		switch m := c.Message().(type) {
		case *work[S]:
			runOrExit(name, state, m.run)
		case *actor.Stopped:
			close(o.done)
		}
	})
	pid, err := s.actors.Root.SpawnNamed(props, name)
	if err != nil {
		return nil, fmt.Errorf("actor %q cannot be started: %w", name, err)
	}
	o.pid = pid
	return o, nil
}

// runOrExit ends the process if the function panics: the state may be broken,
// and the restarted process rebuilds it from what lasts.
func runOrExit[S any](name string, state S, f func(S)) {
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintf(os.Stderr, "state of %s is broken: %v\n%s", name, r, debug.Stack())
			os.Exit(70)
		}
	}()
	f(state)
}

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
