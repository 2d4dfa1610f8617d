package actors

import (
	"errors"
	"testing"
)

// Guards against a panic in one actor that ends the whole process, and against
// calls that wait forever for an actor that has panicked.
func TestPanicStopsOnlyItsActor(t *testing.T) {
	system := NewSystem()
	defer system.Shutdown()
	reasons := make(chan any, 2)
	a, err := SpawnWithPanicHandler(system, "guarded", new(int), func(reason any, _ []byte) { reasons <- reason })
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Do(func(n *int) { *n++ }); err != nil {
		t.Fatal(err)
	}
	if err := a.Do(func(*int) { panic("malformed") }); !errors.Is(err, ErrStopped) {
		t.Errorf("the call that panics returns %v, want %v", err, ErrStopped)
	}
	if reason := <-reasons; reason != "malformed" {
		t.Errorf("panic handler got %v, want malformed", reason)
	}
	ran := false
	if err := a.Do(func(*int) { ran = true }); !errors.Is(err, ErrStopped) || ran {
		t.Errorf("a call after the panic returns %v, ran: %t", err, ran)
	}
	a.Stop()
	if len(reasons) > 0 {
		t.Error("the panic handler was called twice")
	}
}
