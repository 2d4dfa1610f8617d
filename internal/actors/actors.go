// Package actors runs state machines of the core inside protoactor-go actors.
//
// An Owner is an actor that owns a state. It is not related to the owner of a
// shard. Only functions that are queued on the actor access the state: they run
// one at a time, and those of one sender run in the order in which they were
// queued.
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

// ErrStopped is returned by calls to an actor that has stopped.
var ErrStopped = errors.New("actor has stopped")

// System holds the actors of one process.
type System struct {
	actors *actor.ActorSystem
}

// NewSystem returns a system without actors. The log of the library is
// discarded; package telemetry logs the events of the process.
func NewSystem() *System {
	discardLogger := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	return &System{actors: actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))}
}

// Shutdown stops all actors.
func (s *System) Shutdown() { s.actors.Shutdown() }

// Owner is an actor that owns a state of type S and runs functions on it. It
// is unrelated to the owners of shards and jobs.
type Owner[S any] struct {
	system  *actor.ActorSystem
	pid     *actor.PID
	done    chan struct{}
	endOnce sync.Once
}

// message is a function to run on the state.
type message[S any] struct {
	apply func(S)
}

// Spawn starts an actor that owns the state. Its name must be unique within the
// system. If a function panics, the process exits: the state may be inconsistent,
// and the restarted process rebuilds it from stored data.
func Spawn[S any](s *System, name string, state S) (*Owner[S], error) {
	return SpawnWithPanicHandler(s, name, state, func(reason any, stack []byte) {
		fmt.Fprintf(os.Stderr, "actor %s panicked: %v\n%s", name, reason, stack)
		os.Exit(exitPanicked)
	})
}

// exitPanicked is the exit status of a process in which an actor panicked. 70 is
// EX_SOFTWARE of sysexits.h.
const exitPanicked = 70

// SpawnWithPanicHandler starts an actor like Spawn. If a function panics, the
// state may be inconsistent: no further function runs on it, calls return
// ErrStopped, and onPanic is called once, on the actor's goroutine, with the
// value of the panic and the stack.
func SpawnWithPanicHandler[S any](s *System, name string, state S, onPanic func(reason any, stack []byte)) (*Owner[S], error) {
	o := &Owner[S]{system: s.actors, done: make(chan struct{})}
	intact := true
	props := actor.PropsFromFunc(func(c actor.Context) {
		switch m := c.Message().(type) {
		case *message[S]:
			if !intact {
				return
			}
			if reason, stack := apply(state, m.apply); reason != nil {
				intact = false
				o.closeDone()
				onPanic(reason, stack)
			}
		case *actor.Stopped:
			o.closeDone()
		}
	})
	pid, err := s.actors.Root.SpawnNamed(props, name)
	if err != nil {
		return nil, fmt.Errorf("actor %q cannot be started: %w", name, err)
	}
	o.pid = pid
	return o, nil
}

// apply runs a function on the state. If the function panics, it returns
// the value of the panic and the stack, otherwise a nil reason.
func apply[S any](state S, f func(S)) (reason any, stack []byte) {
	defer func() {
		if r := recover(); r != nil {
			reason, stack = r, debug.Stack()
		}
	}()
	f(state)
	return nil, nil
}

func (o *Owner[S]) closeDone() { o.endOnce.Do(func() { close(o.done) }) }

// Enqueue queues f to run on the state and returns without waiting for it. If the
// actor has stopped, f is dropped.
func (o *Owner[S]) Enqueue(f func(S)) {
	o.system.Root.Send(o.pid, &message[S]{apply: f})
}

// Do runs f on the state and waits until it has finished. It returns ErrStopped if
// the actor stops first; f may then have run in part or not at all. f must not
// call Do on the same actor.
func (o *Owner[S]) Do(f func(S)) error {
	finished := make(chan struct{})
	o.Enqueue(func(s S) {
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

// Stop stops the actor after it has run the functions that are already queued,
// and waits until it has stopped.
func (o *Owner[S]) Stop() {
	// Poison queues the stop message behind earlier messages.
	o.system.Root.Poison(o.pid)
	<-o.done
}
