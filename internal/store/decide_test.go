package store

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a wrong guess about a write whose answer was lost: a guess of
// "committed" loses a write, any other wrong guess repeats one.
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
		{"earlier write landed late", lane(11, mark{1, 3}, mark{}, 0), verdictNotCommitted, 0},
		{"sealed", lane(11, mark{1, 6}, mark{}, 0), verdictNotCommitted, 0},
		{"taken over after commit", lane(13, other, me, 11), verdictCommitted, 11},
		{"taken over before commit", lane(13, other, mark{1, 4}, 10), verdictNotCommitted, 0},
		{"taken over from a third at the same revision", lane(13, other, third, 10), verdictNotCommitted, 0},
		{"taken over twice", lane(14, other, third, 13), verdictUnknown, 0},
		{"deleted", lane(0, mark{}, mark{}, 0), verdictUnknown, 0},
	}
	for _, c := range cases {
		if v, rev := classify(me, 10, c.now); v != c.want || rev != c.rev {
			t.Errorf("%s: verdict %d at %d, want %d at %d", c.name, v, rev, c.want, c.rev)
		}
	}
}

// Guards against an incarnation that forgets which mark it replaced, which
// would make its predecessor's write undecidable.
func TestLaneValueKeepsReplacedMark(t *testing.T) {
	st := laneState{10, laneValue{Mark: mark{1, 5}}}
	v := st.next(mark{2, 1})
	v = laneState{11, v}.next(mark{2, 2})
	if v.Replaced != (mark{1, 5}) || v.ReplacedRevision != 10 {
		t.Fatalf("lane value is %+v", v)
	}
}

// Guards against back-off that grows past its cap, does not grow, or has no
// jitter, so that all stores return at the same time.
func TestBackoff(t *testing.T) {
	var b backoff
	now := time.Duration(0)
	rng := rand.New(rand.NewPCG(1, 1))
	b.recordFailure(ticket{}, now, 0)
	b.recordFailure(ticket{}, now, 0) // was under way with the first
	if b.failures != 1 || !b.blocked(now) {
		t.Fatalf("after concurrent failures: %+v", b)
	}
	for range 100 {
		now = b.until
		b.probeInFlight = true
		if !b.blocked(now) {
			t.Fatal("two probes at a time")
		}
		b.recordFailure(ticket{probe: true}, now, rng.Float64())
	}
	if d := b.until - now; d < backoffCap/2 || d > backoffCap {
		t.Fatalf("delay after many failures is %v", d)
	}
	if backoffDelay(5, 0) == backoffDelay(5, 0.9) {
		t.Fatal("no jitter")
	}
	b.recordSuccess(ticket{})
	if !b.outage() {
		t.Fatal("the answer to an attempt from before the outage ended it")
	}
	b.recordSuccess(ticket{probe: true})
	if b.blocked(now) {
		t.Fatal("closed after a successful probe")
	}
}

// Guards against reports or placements that take tokens while leases or claims
// wait, and against leases that wait for a used-up shared budget.
func TestPrecedenceAndLeaseShare(t *testing.T) {
	a := newAdmission(Limits{WritesPerSecond: 10, ReadsPerSecond: 10, LeaseShare: 0.2}, 0)
	for a.decide(accessWrite, Report, 0).granted {
	}
	if !a.decide(accessWrite, Lease, 0).granted {
		t.Fatal("a lease waits although its share is unused")
	}
	a.waiting[accessWrite][Claim]++
	later := time.Second
	for _, c := range []Class{Placement, Report} {
		if a.decide(accessWrite, c, later).granted {
			t.Errorf("%v goes before a waiting claim", c)
		}
	}
	if !a.decide(accessWrite, Claim, later).granted {
		t.Error("a claim waits for lower classes")
	}
	a.recordFailure(ticket{access: accessWrite}, later, 0)
	a.waiting[accessWrite][Claim] = 0
	a.waiting[accessRead][Lease]++
	if a.decide(accessWrite, Placement, later+time.Second).granted {
		t.Error("a placement takes the probe that a lease waits for")
	}
}
