package store

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a wrong verdict on a write whose answer was lost. A write that
// is wrongly taken as committed is lost; any other wrong verdict repeats it.
func TestClassify(t *testing.T) {
	me, other, third := mark{1, 5}, mark{2, 9}, mark{3, 1}
	lane := func(rev uint64, m, replaced mark, replacedRev uint64) laneState {
		return laneState{rev, laneValue{m, replaced, replacedRev}}
	}
	cases := []struct {
		name string
		now  laneState
		want verdict
		rev  uint64
	}{
		{"unchanged", lane(10, mark{1, 4}, mark{}, 0), verdictPending, 0},
		{"own mark", lane(11, me, mark{}, 0), verdictCommitted, 11},
		{"earlier write committed late", lane(11, mark{1, 3}, mark{}, 0), verdictNotCommitted, 0},
		{"sealed", lane(11, mark{1, 6}, mark{}, 0), verdictNotCommitted, 0},
		{"taken over after commit", lane(13, other, me, 11), verdictCommitted, 11},
		{"taken over before commit", lane(13, other, mark{1, 4}, 10), verdictNotCommitted, 0},
		{"taken over from a third process at the same revision", lane(13, other, third, 10), verdictNotCommitted, 0},
		{"taken over twice", lane(14, other, third, 13), verdictUnknown, 0},
		{"deleted", lane(0, mark{}, mark{}, 0), verdictUnknown, 0},
	}
	for _, c := range cases {
		if v, rev := classify(me, 10, c.now); v != c.want || rev != c.rev {
			t.Errorf("%s: verdict %d at %d, want %d at %d", c.name, v, rev, c.want, c.rev)
		}
	}
}

// Guards against an incarnation that drops the mark it replaced from the lane.
// The outcome of its predecessor's write could then not be determined.
func TestLaneValueKeepsReplacedMark(t *testing.T) {
	st := laneState{10, laneValue{Mark: mark{1, 5}}}
	v := st.next(mark{2, 1})
	v = laneState{11, v}.next(mark{2, 2})
	if v.Replaced != (mark{1, 5}) || v.ReplacedRevision != 10 {
		t.Fatalf("lane value is %+v", v)
	}
}

// Guards against a backoff that exceeds its cap, does not grow, or has no
// jitter. Without jitter all stores retry at the same time.
func TestBackoff(t *testing.T) {
	var b backoff
	now := time.Duration(0)
	rng := rand.New(rand.NewPCG(1, 1))
	b.recordFailure(ticket{}, now, 0)
	b.recordFailure(ticket{}, now, 0) // in flight at the first failure
	if b.failures != 1 || !b.blocked(now) {
		t.Fatalf("after concurrent failures: %+v", b)
	}
	for range 100 {
		now = b.until
		b.probeInFlight = true
		if !b.blocked(now) {
			t.Fatal("a second probe is allowed while one is in flight")
		}
		b.recordFailure(ticket{probe: true}, now, rng.Float64())
	}
	if d := b.until - now; d < backoffCap/2 || d > backoffCap {
		t.Fatalf("delay after many failures is %v", d)
	}
	if backoffDelay(5, 0) == backoffDelay(5, 0.9) {
		t.Fatal("backoff has no jitter")
	}
	b.recordSuccess(ticket{})
	if !b.outage() {
		t.Fatal("the answer to an attempt sent before the outage ended the outage")
	}
	b.recordSuccess(ticket{probe: true})
	if b.blocked(now) {
		t.Fatal("attempts are blocked after a successful probe")
	}
}

// Guards against reports or placements that take tokens while leases or claims
// are waiting, and against leases that wait because the shared budget is used up.
func TestPrecedenceAndLeaseShare(t *testing.T) {
	a := newAdmission(Limits{WritesPerSecond: 10, ReadsPerSecond: 10, LeaseShare: 0.2}, 0)
	for a.decide(accessWrite, Report, 0).granted {
	}
	if !a.decide(accessWrite, Lease, 0).granted {
		t.Fatal("a lease waits although its reserved share is unused")
	}
	a.waiting[accessWrite][Claim]++
	later := time.Second
	for _, c := range []Class{Placement, Report} {
		if a.decide(accessWrite, c, later).granted {
			t.Errorf("%v is granted before a waiting claim", c)
		}
	}
	if !a.decide(accessWrite, Claim, later).granted {
		t.Error("a claim waits for classes of lower precedence")
	}
	a.recordFailure(ticket{access: accessWrite}, later, 0)
	a.waiting[accessWrite][Claim] = 0
	a.waiting[accessRead][Lease]++
	if a.decide(accessWrite, Placement, later+time.Second).granted {
		t.Error("a placement gets the probe that a lease is waiting for")
	}
}
