package jobs

import (
	"errors"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// quietly enables handovers in quiet periods, soon after the begin of a term and for any
// number of VMs.
func quietly(c *Candidate) {
	c.opts.QuietHandover = true
	c.quiet.MinVMs, c.quiet.MinInterval, c.quiet.CalmFor, c.quiet.Timeout = 0, 600*time.Millisecond, 300*time.Millisecond, 3*time.Second
}

// Guards against a small owner that stays although a larger candidate is alive; against two
// owners, a gap, or unread rows at the change; against a former owner that is no candidate any
// more or takes the ownership back; and against a large owner that hands over.
func TestSmallOwnerHandsOverWhenQuiet(t *testing.T) {
	t.Parallel()
	bestOf(t, func(t *testing.T) error {
		m := newMemoryTable()
		entries := map[string]*handoverEntry{"a": startEntry(t, m, "a", 0.1, time.Millisecond, quietly)}
		entries["a"].await(t, 542)
		entries["c"] = startEntry(t, m, "ccc", 0.3, time.Millisecond, quietly)
		time.Sleep(1500 * time.Millisecond)
		if entries["a"].event(570, time.Time{}) != nil {
			t.Error("a handover begins although no larger candidate is alive")
		}
		entries["b"] = startEntry(t, m, "bb", 0.8, time.Millisecond, quietly)
		released := entries["a"].await(t, 543)
		taken := entries["b"].await(t, 540)
		if recovered := entries["b"].await(t, 542); recovered.Data["prepared"] != true || released.Data["successor"] != entries["b"].c.opts.VM {
			t.Errorf("released %v, recovered %v, want the prepared successor bb", released.Data, recovered.Data)
		}
		time.Sleep(formerOwnerLimit + 2*time.Second)
		requireOneOwnerPerEpoch(t, entries)
		for name, e := range entries {
			if later := e.event(540, taken.Time); later != nil {
				t.Errorf("%s took the ownership after b", name)
			}
		}
		entries["b"].stop()
		<-entries["b"].done
		delete(entries, "b")
		awaitAny(t, 540, taken.Time, entries)
		t.Logf("no owner for %v", taken.Time.Sub(released.Time))
		if gap := taken.Time.Sub(released.Time); gap > 100*time.Millisecond {
			return errors.New("no owner for " + gap.String())
		}
		return nil
	})
}

// Guards against an owner that releases the lease, or stops to be confirmed, when the larger
// candidate does not become ready, and against one that does not hand over afterwards when its
// process stops, or then trusts the reservation of the earlier attempt.
func TestQuietHandoverWithoutReadySuccessor(t *testing.T) {
	t.Parallel()
	m := newMemoryTable()
	a := startEntry(t, m, "a", 0.1, time.Millisecond, quietly)
	a.await(t, 542)
	a.table.intercept(func(txn platform.Txn) (bool, error) {
		if releaseOf(txn) && a.event(560, time.Time{}) == nil {
			t.Error("the lease is released in the attempt that fails")
		}
		return false, nil
	})
	b := startEntry(t, m, "bb", 0.8, time.Millisecond, quietly)
	// The reservation is stored, but never marked as ready, and is not deleted.
	b.table.intercept(func(txn platform.Txn) (bool, error) {
		if w := txn.Writes[0]; w.Key == handover.Key {
			row, err := handover.Decode(w.Value)
			return w.Delete || err == nil && row.Ready, platform.ErrUnavailable
		}
		return false, nil
	})
	a.await(t, 570)
	ended := a.await(t, 571)
	if a.event(544, time.Time{}) != nil || a.event(543, time.Time{}) != nil {
		t.Errorf("the owner was not confirmed throughout, or the attempt ended with %v", ended.Data)
	}
	begin := time.Now()
	a.stop()
	<-a.done
	release := awaitAny(t, 543, begin, map[string]*handoverEntry{"": a})
	if release.Data["successor"] == b.c.opts.VM {
		t.Errorf("released to a candidate that is not ready: %v", release.Data)
	}
	b.await(t, 540)
	requireOneOwnerPerEpoch(t, map[string]*handoverEntry{"a": a, "b": b})
}

// Guards against a burst that counts as quiet as soon as its second is over, and against one
// that counts for longer.
func TestStartsPerSecond(t *testing.T) {
	many := make([]workflow.Decision, 150)
	for i := range many {
		many[i].Kind = workflow.DecisionPlaced
	}
	now := clock.Now()
	for after, want := range map[time.Duration]int{0: 150, 1100 * time.Millisecond: 150, 2500 * time.Millisecond: 0} {
		var a activityLog
		a.decided(now, many)
		if n, _, _ := a.state(now + after); n != want {
			t.Errorf("%d starts %v after the burst, want %d", n, after, want)
		}
	}
}
