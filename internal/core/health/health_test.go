package health

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

func newTracker(n int) (*Tracker, []types.VMID) {
	ids := make([]types.VMID, 0, n)
	for i := range n {
		ids = append(ids, types.VMID(fmt.Sprintf("w%02d", i)))
	}
	t := New(Options{})
	t.SetWorkers(ids)
	return t, ids
}

// Guards against keeping a worker in service that fails every task, and against
// quarantining healthy workers for the failures of the bad one.
func TestBadWorkerIsQuarantined(t *testing.T) {
	tr, ids := newTracker(11)
	now := time.Duration(0)
	for i := range 60 {
		now += 10 * time.Second
		w := ids[i%11]
		tr.Report(now, w, fmt.Sprint("k", i%3), w != ids[4])
		tr.Decide(now)
	}
	for _, id := range ids {
		if tr.Quarantined(id) != (id == ids[4]) {
			t.Errorf("worker %s: quarantined is %v", id, tr.Quarantined(id))
		}
	}
}

// Guards against quarantining workers because of a job kind that fails everywhere,
// including when its first tasks all run on one worker.
func TestBadKindQuarantinesNobody(t *testing.T) {
	tr, ids := newTracker(11)
	now := time.Duration(0)
	for range 10 {
		now += time.Second
		tr.Report(now, ids[0], "broken", false)
		tr.Decide(now)
	}
	for i := range 100 {
		now += time.Second
		tr.Report(now, ids[i%11], "broken", false)
		tr.Report(now, ids[(i+5)%11], "fine", true)
		if a := tr.Decide(now); len(a) > 0 {
			t.Fatalf("actions %+v, want none", a)
		}
	}
	if !tr.FailsEverywhere("broken") || tr.FailsEverywhere("fine") {
		t.Errorf("fails everywhere: broken kind %v, healthy kind %v; want true, false", tr.FailsEverywhere("broken"), tr.FailsEverywhere("fine"))
	}
}

// Guards against probes at a fixed rate, and against keeping a repaired worker in
// quarantine.
func TestProbingAndReturn(t *testing.T) {
	tr, ids := newTracker(4)
	var probes []time.Duration
	repaired := 40 * time.Minute
	returned := time.Duration(0)
	for now := time.Second; now < 3*time.Hour; now += time.Second {
		for i, id := range ids {
			if now%(30*time.Second) == 0 && !tr.Quarantined(id) {
				tr.Report(now, id, fmt.Sprint("k", i%2), i != 0 || now > repaired)
			}
		}
		for _, a := range tr.Decide(now) {
			switch a.Kind {
			case Probe:
				probes = append(probes, now)
				tr.Report(now, a.Worker, "k0", now > repaired)
			case Return:
				returned = now
			case Quarantine:
				if a.Worker != ids[0] {
					t.Fatalf("healthy worker %s quarantined", a.Worker)
				}
			}
		}
	}
	if returned < repaired {
		t.Fatalf("returned at %v, repaired at %v", returned, repaired)
	}
	for i := 2; i < len(probes) && probes[i] < repaired; i++ {
		if probes[i]-probes[i-1] < 2*(probes[i-1]-probes[i-2])-2*time.Second {
			t.Errorf("probe interval did not double: %v", probes[:i+1])
		}
	}
}

// Guards against quarantining more than the allowed share of a shard when many
// workers fail.
func TestPropertyQuarantineBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 32).Draw(rt, "workers")
		tr, ids := newTracker(n)
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(rt, "s")) * time.Second
			w := rapid.SampledFrom(ids).Draw(rt, "worker")
			tr.Report(now, w, fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "kind")), rapid.IntRange(0, 3).Draw(rt, "ok") == 0)
			if rapid.Bool().Draw(rt, "batched") {
				continue // Evidence against several workers collects before a decision.
			}
			tr.Decide(now)
			if q := tr.quarantinedCount(); q > max(n/5, min(1, n-1)) {
				rt.Fatalf("%d of %d workers quarantined", q, n)
			}
		}
	})
}

// Guards against quarantining more workers than allowed in one decision.
func TestQuarantineBoundedInOneDecision(t *testing.T) {
	tr, ids := newTracker(10)
	for i, id := range ids {
		for range 8 {
			tr.Report(time.Second, id, "k", i >= 3)
		}
	}
	if got := len(tr.Decide(2 * time.Second)); got != 2 {
		t.Fatalf("%d of 10 workers quarantined at once, want 2", got)
	}
}

// Guards against a quarantine without an end: if no task of the shard may probe, no
// result returns the worker to service.
func TestQuarantineWithoutProbesEnds(t *testing.T) {
	tr, ids := newTracker(10)
	for i, id := range ids {
		for range 8 {
			tr.Report(time.Second, id, "k", i > 0)
		}
	}
	tr.Decide(2 * time.Second)
	if !tr.Quarantined(ids[0]) {
		t.Fatal("a worker that fails every task is not quarantined")
	}
	probed := 2*time.Second + tr.opt.ProbeFirst
	tr.Decide(probed)
	tr.Decide(probed + tr.opt.ProbeMax - time.Second)
	if !tr.Quarantined(ids[0]) {
		t.Error("the worker returned before the longest interval between probes had passed")
	}
	tr.Decide(probed + tr.opt.ProbeMax)
	if tr.Quarantined(ids[0]) {
		t.Errorf("the worker is still quarantined %v after a probe that brought no result", tr.opt.ProbeMax)
	}
}
