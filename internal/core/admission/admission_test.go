package admission

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

const testIncarnation types.Incarnation = 7

func testLimits() Limits {
	return Limits{
		Slots: 2, Connections: 2, MaxValidityAhead: 10 * time.Second, Retention: 5 * time.Second,
		MaxIdentities: 4, SealReserve: 2, MaxRetainedBytes: 8, AnnouncementTTL: 3 * time.Second,
	}
}

func newTestRequests() *Requests {
	r := NewRequests(testIncarnation, testLimits())
	r.Announce(0, Announcement{Upstream: "u1", Service: "berths", Slots: 2, Connections: 2})
	return r
}

func requestID(n byte) types.RequestID {
	return types.RequestID{15: n}
}

func newOffer(n byte, echo time.Duration) Offer {
	return Offer{ID: requestID(n), Target: testIncarnation, Service: "berths", Config: 1, Echo: echo, Budget: time.Second}
}

// Guards against admitting an offer that a rule forbids, and against a refusal
// that wrongly reports the request as proven not run.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Requests, *Offer)
		now    time.Duration
		want   Reason
		proven bool
	}{
		{"incarnation", func(_ *Requests, o *Offer) { o.Target = 8 }, 0, ReasonWrongIncarnation, true},
		{"sealed", func(r *Requests, o *Offer) {
			r.Seal(0, SealRequest{ID: o.ID, Target: testIncarnation, ValidUntil: o.ValidUntil()})
		}, 0, ReasonSealed, true},
		{"running", func(r *Requests, o *Offer) { r.Admit(0, *o) }, 0, ReasonKnown, false},
		{"finished", func(r *Requests, o *Offer) {
			r.Admit(0, *o)
			r.Finish(o.ID, apperr.OutcomeDone, nil, true)
		}, 0, ReasonKnown, false},
		// The offer has expired.
		{"budget", func(*Requests, *Offer) {}, 1001 * time.Millisecond, ReasonExpired, true},
		{"echo far ahead of the clock", func(_ *Requests, o *Offer) { o.Echo = 9*time.Second + 1 }, 0, ReasonInvalid, false},
		{"budget too long", func(_ *Requests, o *Offer) { o.Budget = time.Minute }, 0, ReasonInvalid, false},
		{"draining", func(r *Requests, _ *Offer) { r.Drain() }, 0, ReasonDraining, true},
		{"unconfirmed", func(r *Requests, _ *Offer) { r.SetConfigUnconfirmed(true) }, 0, ReasonUnconfirmed, true},
		{"old configuration", func(r *Requests, _ *Offer) { r.RequireConfig(2) }, 0, ReasonOldConfig, true},
		// No upstream announced the service.
		{"service", func(_ *Requests, o *Offer) { o.Service = "locks" }, 0, ReasonNoUpstream, true},
		{"left", func(r *Requests, _ *Offer) { r.Leave("u1") }, 0, ReasonNoUpstream, true},
		// The announcement of the upstream has expired.
		{"expired", func(_ *Requests, o *Offer) { o.Budget = 5 * time.Second }, 3 * time.Second, ReasonNoUpstream, true},
		{"slots", func(r *Requests, _ *Offer) {
			r.Admit(0, newOffer(8, 0))
			r.Admit(0, newOffer(9, 0))
		}, 0, ReasonNoSlot, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRequests()
			o := newOffer(1, 0)
			c.change(r, &o)
			d := r.Admit(c.now, o)
			if d.Reason != c.want || d.ProvenNotRun != c.proven {
				t.Fatalf("refusal %q, proven not run %v, want %q, %v", d.Reason, d.ProvenNotRun, c.want, c.proven)
			}
		})
	}
}

// Guards against refusing the offer of a sender whose last clock reading of an idle
// worker is older than the maximum validity.
func TestOldEcho(t *testing.T) {
	r := newTestRequests()
	r.Announce(time.Hour, Announcement{Upstream: "u1", Service: "berths", Slots: 2, Connections: 2})
	o := newOffer(1, 0)
	o.Budget = time.Hour + time.Second
	if d := r.Admit(time.Hour, o); !d.Admitted() {
		t.Fatalf("offer with an echo one hour old: %+v, want admitted", d)
	}
}

// Guards against a second copy of a refused offer being admitted after the
// sender has acted on the refusal.
func TestRefusalIsFinal(t *testing.T) {
	r := newTestRequests()
	r.Admit(0, newOffer(1, 0))
	r.Admit(0, newOffer(2, 0))
	r.Admit(0, newOffer(3, 0))
	r.Finish(requestID(1), apperr.OutcomeDone, nil, true)
	if d := r.Admit(0, newOffer(3, 0)); d.Reason != ReasonSealed {
		t.Fatalf("second copy after a refusal: %q, want %q", d.Reason, ReasonSealed)
	}
}

// Guards against a seal that reports a wrong state of the request.
func TestSeal(t *testing.T) {
	r := newTestRequests()
	seal := func(n byte) SealResult {
		return r.Seal(0, SealRequest{ID: requestID(n), Target: testIncarnation, ValidUntil: time.Second})
	}
	if got := seal(1).State; got != SealNeverRan {
		t.Fatalf("seal of an unknown identity: %q", got)
	}
	r.Admit(0, newOffer(2, 0))
	if got := seal(2).State; got != SealInProgress {
		t.Fatalf("seal of a running request: %q", got)
	}
	r.Finish(requestID(2), apperr.OutcomeDone, []byte("berth 4"), true)
	if got := seal(2); got.State != SealFinished || string(got.Response) != "berth 4" {
		t.Fatalf("seal of a finished request: %+v", got)
	}
	r.Admit(0, newOffer(3, 0))
	r.Finish(requestID(3), apperr.OutcomeNotRun, nil, false)
	if got := seal(3).State; got != SealNeverRan {
		t.Fatalf("seal of a request that did not reach the upstream: %q", got)
	}
	if got := r.Seal(0, SealRequest{ID: requestID(4), Target: 8}).State; got != SealIncarnationEnded {
		t.Fatalf("seal for another incarnation: %q", got)
	}
}

// Guards against a forgotten identity being reported as never run, and against
// an offer that is still valid being forgotten.
func TestForgetting(t *testing.T) {
	r := newTestRequests()
	r.Admit(0, newOffer(1, 0))
	r.Finish(requestID(1), apperr.OutcomeDone, nil, true)
	r.Forget(6 * time.Second)
	if r.Identities() != 1 {
		t.Fatal("identity was forgotten before its retention ended")
	}
	r.Forget(6*time.Second + 1)
	if r.Identities() != 0 {
		t.Fatal("identity was kept after its retention")
	}
	got := r.Seal(7*time.Second, SealRequest{ID: requestID(1), Target: testIncarnation, ValidUntil: time.Second})
	if got.State != SealUnknown {
		t.Fatalf("seal of a forgotten identity: %q", got.State)
	}
	if d := r.Admit(7*time.Second, newOffer(1, 0)); d.ProvenNotRun {
		t.Fatalf("copy of a forgotten offer: %+v", d)
	}
}

// Guards against the upstreams of a VM together exceeding the VM's slots or
// connections, and against idle connections blocking other upstreams.
func TestVMLimits(t *testing.T) {
	limits := testLimits()
	limits.Connections = 1
	r := NewRequests(testIncarnation, limits)
	r.Announce(0, Announcement{Upstream: "u1", Service: "berths", Slots: 4, Connections: 4})
	r.Announce(0, Announcement{Upstream: "u2", Service: "locks", Slots: 4, Connections: 4})
	r.Admit(0, newOffer(1, 0))
	if d := r.Admit(0, newOffer(2, 0)); d.Reason != ReasonNoConnection {
		t.Fatalf("second request at a limit of one connection: %+v", d)
	}
	r.Finish(requestID(1), apperr.OutcomeDone, nil, true)
	o := newOffer(3, 0)
	o.Service = "locks"
	if d := r.Admit(0, o); d.Upstream != "u2" || d.CloseIdle != "u1" {
		t.Fatalf("with an idle connection to another upstream: %+v", d)
	}
	r = newTestRequests()
	r.Announce(0, Announcement{Upstream: "u2", Service: "berths", Slots: 2, Connections: 2})
	r.limits.Connections = 4
	r.Admit(0, newOffer(1, 0))
	r.Admit(0, newOffer(2, 0))
	if d := r.Admit(0, newOffer(3, 0)); d.Reason != ReasonNoSlot {
		t.Fatalf("third request at a limit of two slots: %+v", d)
	}
}

// Guards against unbounded growth of the identity memory, and against refusals and
// seals that claim a proof without room to remember the identity.
func TestMemoryFull(t *testing.T) {
	r := newTestRequests()
	for n := byte(1); n <= 4; n++ {
		r.Admit(0, newOffer(n, 0))
		r.Finish(requestID(n), apperr.OutcomeDone, nil, true)
	}
	if d := r.Admit(0, newOffer(5, 0)); d.Reason != ReasonMemoryFull || !d.ProvenNotRun {
		t.Fatalf("fifth identity: %+v", d)
	}
	r.Admit(0, newOffer(6, 0))
	if d := r.Admit(0, newOffer(7, 0)); d.ProvenNotRun {
		t.Fatal("refusal without room for its seal claims that the request is proven not run")
	}
	s := r.Seal(0, SealRequest{ID: requestID(8), Target: testIncarnation, ValidUntil: time.Second})
	if s.State != SealDeferred {
		t.Fatalf("seal without room: %q", s.State)
	}
	if d := r.Admit(2*time.Second, newOffer(9, 2*time.Second)); !d.Admitted() {
		t.Fatalf("after the validity of the others ended: %+v", d)
	}
}

// Guards against running a task attempt twice, a start command of a superseded
// owner, and reservations above the VM's capacity.
func TestTasks(t *testing.T) {
	tasks := NewTasks(testIncarnation, types.Resources{MilliCPU: 4000, MemoryBytes: 8}, 10*time.Second)
	cmd := StartCommand{
		Task: "plan/0", Attempt: 1, Shard: "s", Epoch: 2, Target: testIncarnation,
		Reservation: types.Resources{MilliCPU: 3000, MemoryBytes: 4}, Budget: time.Second,
	}
	with := func(change func(*StartCommand)) StartCommand {
		c := cmd
		change(&c)
		return c
	}
	check := func(name string, now time.Duration, c StartCommand, want TaskDecision) {
		t.Helper()
		if got := tasks.Reserve(now, c); got != want {
			t.Fatalf("%s: %+v, want %+v", name, got, want)
		}
	}
	check("first", 0, cmd, TaskDecision{})
	check("copy", 0, cmd, TaskDecision{Repeat: true})
	check("old owner", 0, with(func(c *StartCommand) { c.Epoch, c.Task = 1, "plan/1" }), TaskDecision{Reason: TaskLowerEpoch})
	check("no room", 0, with(func(c *StartCommand) { c.Task = "plan/1" }), TaskDecision{Reason: TaskNoCapacity})
	check("next attempt while held", 0, with(func(c *StartCommand) { c.Attempt = 2 }), TaskDecision{Reason: TaskOtherAttempt})
	check("after a freeze", 2*time.Second, with(func(c *StartCommand) { c.Task = "plan/1" }), TaskDecision{Reason: TaskExpired})
	check("other incarnation", 0, with(func(c *StartCommand) { c.Target = 1 }), TaskDecision{Reason: TaskWrongIncarnation})
	if !tasks.Release("plan/0", 1) || !tasks.Used().IsZero() {
		t.Fatalf("release: used %v", tasks.Used())
	}
	tasks.Forget(time.Hour)
	check("copy after the end", time.Hour, with(func(c *StartCommand) { c.Echo = time.Hour }), TaskDecision{Reason: TaskReleased})
	tasks.Settle(time.Hour, "plan/0", 1)
	check("next attempt", time.Hour, with(func(c *StartCommand) { c.Attempt, c.Echo = 2, time.Hour }), TaskDecision{})
}
