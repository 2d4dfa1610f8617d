package task

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

func apply(t *testing.T, row Row, ev Event, want Verdict) Row {
	t.Helper()
	next, got := Apply(row, ev)
	if got != want {
		t.Fatalf("event %s in state %s: got verdict %s, want %s", ev.Kind, row.State, got, want)
	}
	return next
}

// Guards against an eviction that loses the checkpoint or is resumed twice.
func TestEvictionResumesOnce(t *testing.T) {
	r := Row{Task: "j/0", Job: "j", State: Pending}
	r = apply(t, r, Event{Kind: EventPlace, Attempt: 1, Epoch: 1, VM: "a"}, Accepted)
	r = apply(t, r, Event{Kind: EventStarted, Attempt: 1, Epoch: 1}, Accepted)
	r = apply(t, r, Event{Kind: EventCheckpointed, Attempt: 1, Epoch: 1, Checkpoint: "c"}, Accepted)
	r = apply(t, r, Event{Kind: EventPlace, Attempt: 2, Epoch: 1}, NotAllowed)
	r = apply(t, r, Event{Kind: EventStopped, Attempt: 1, Epoch: 1}, Accepted)
	if r.State != Evicted || r.Checkpoint != "c" {
		t.Fatalf("row is %+v, want evicted with checkpoint c", r)
	}
	r = apply(t, r, Event{Kind: EventPlace, Attempt: 2, Epoch: 2, VM: "b"}, Accepted)
	r = apply(t, r, Event{Kind: EventPlace, Attempt: 2, Epoch: 2, VM: "a"}, StaleAttempt)
	r = apply(t, r, Event{Kind: EventFinished, Attempt: 1, Epoch: 2}, StaleAttempt)
	r = apply(t, r, Event{Kind: EventStarted, Attempt: 2, Epoch: 1}, StaleEpoch)
	r = apply(t, r, Event{Kind: EventFinished, Attempt: 2, Epoch: 2}, Accepted)
	apply(t, r, Event{Kind: EventFinished, Attempt: 2, Epoch: 2}, Ended)
}

// Guards against a cancelled task that is treated as ended while its attempt is
// still running.
func TestCancelWaitsForStop(t *testing.T) {
	r := Row{Task: "j/0", Job: "j", State: Running, Attempt: 1, Epoch: 1, Checkpoint: "c"}
	r = apply(t, r, Event{Kind: EventCancel, Epoch: 1}, Accepted)
	if r.State != Running {
		t.Fatalf("state is %s after the cancellation, want running", r.State)
	}
	r = apply(t, r, Event{Kind: EventCancel, Epoch: 1}, Repeated)
	r = apply(t, r, Event{Kind: EventStopped, Attempt: 1, Epoch: 1}, Accepted)
	if r.State != Cancelled {
		t.Fatalf("state is %s after the stop, want cancelled", r.State)
	}
}

// Guards against sequences of events that decrease the attempt or epoch, leave
// a terminal state, or place a second attempt while one is live. It also checks
// that Decode restores what Encode wrote.
func TestAnySequence(t *testing.T) {
	kinds := []EventKind{EventPlace, EventStarted, EventAdopted, EventCheckpointed, EventStopped,
		EventFinished, EventFailed, EventCancel, EventInfeasible, EventFeasible}
	rapid.Check(t, func(t *rapid.T) {
		row := Row{Task: "j/0", Job: "j", State: Pending}
		for range 30 {
			ev := Event{
				Kind:       rapid.SampledFrom(kinds).Draw(t, "kind"),
				Attempt:    row.Attempt + types.Attempt(rapid.IntRange(0, 1).Draw(t, "step")),
				Epoch:      types.Epoch(rapid.IntRange(1, 3).Draw(t, "epoch")),
				Checkpoint: rapid.SampledFrom([]string{"", "c"}).Draw(t, "checkpoint"),
			}
			next, v := Apply(row, ev)
			if v != Accepted && next != row {
				t.Fatalf("%s changed the row although the verdict is %s", ev.Kind, v)
			}
			if next.Attempt < row.Attempt || next.Epoch < row.Epoch {
				t.Fatalf("attempt or epoch decreased: from %+v to %+v", row, next)
			}
			if row.State.Final() && next.State != row.State {
				t.Fatalf("terminal state %s left on event %s", row.State, ev.Kind)
			}
			if next.Attempt > row.Attempt && row.State.Live() {
				t.Fatalf("attempt %d placed while another attempt is live", next.Attempt)
			}
			b, err := next.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if back, err := Decode(b); err != nil || back != next {
				t.Fatalf("decoding the encoded row: got %+v, error %v", back, err)
			}
			row = next
		}
	})
}
