package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

const berths types.ServiceName = "berths"

func newRNG() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

func workerState(n int, domain types.FailureDomain, slots, inUse int) WorkerState {
	connections := max(64, slots)
	return WorkerState{
		VM: types.VMID(fmt.Sprintf("v%03d", n)), Incarnation: 1, Domain: domain,
		Slots: slots, Connections: connections, InUse: inUse,
		Services: []ServiceState{{Service: berths, Slots: slots, Connections: connections, InUse: inUse}},
	}
}

// newRouter returns the router of an entry in Gent with workers that are
// assigned to the given failure domains in turn.
func newRouter(workers, slots int, domains ...types.FailureDomain) *Router {
	r := New(DefaultConfig("Gent"))
	for n := range workers {
		r.Update(0, workerState(n, domains[n%len(domains)], slots, 0))
	}
	return r
}

// startRequests starts count requests and returns the number sent to each
// worker.
func startRequests(t *testing.T, r *Router, now time.Duration, count int) map[types.VMID]int {
	t.Helper()
	rng := newRNG()
	got := make(map[types.VMID]int)
	for range count {
		c, v := r.Pick(now, berths, time.Hour, rng)
		if v != Picked {
			t.Fatalf("verdict after requests %v: %v", got, v)
		}
		r.Started(c)
		got[c.VM]++
	}
	return got
}

// Guards against requests being sent to other failure domains while the entry's
// own has free slots, and against overloading the entry's own failure domain while
// others have free slots.
func TestSpill(t *testing.T) {
	const now = time.Minute
	r := newRouter(6, 8, "Gent", "Brugge")
	local := func(got map[types.VMID]int) int { return got["v000"] + got["v002"] + got["v004"] }
	if n := local(startRequests(t, r, now, 15)); n != 15 {
		t.Fatalf("%d of 15 requests stayed local", n)
	}
	if n := local(startRequests(t, r, now, 9)); n > 6 {
		t.Fatalf("%d of the next 9 requests went to nearly full local workers", n)
	}
	startRequests(t, r, now, 24)
	if _, v := r.Pick(now, berths, time.Hour, newRNG()); v != Full {
		t.Fatalf("verdict with all slots in use: %v", v)
	}
}

// Guards against a stale load report that excludes a worker forever, and
// against a fresh report that is ignored.
func TestReportAge(t *testing.T) {
	r := New(DefaultConfig("Gent"))
	r.Update(0, workerState(1, "Gent", 8, 8))
	if _, v := r.Pick(time.Second, berths, time.Hour, newRNG()); v != Full {
		t.Fatalf("verdict with a fresh report of a full worker: %v", v)
	}
	if _, v := r.Pick(5*time.Second, berths, time.Hour, newRNG()); v != Picked {
		t.Fatalf("verdict with an old report of a full worker: %v", v)
	}
}

// Guards against offers that expire too early because a digest repeated an old
// reading of the worker's clock.
func TestRepeatedReading(t *testing.T) {
	r := New(DefaultConfig("Gent"))
	state := workerState(1, "Gent", 8, 0)
	state.Reading = time.Second
	r.Update(2*time.Second, state)
	if c, _ := r.Pick(2*time.Second, berths, time.Hour, newRNG()); c.Echo != time.Second || c.EchoAge != 0 {
		t.Fatalf("first reading: %v, %v ago", c.Echo, c.EchoAge)
	}
	r.Remove(2*time.Second, state.VM)
	state.Reading = time.Hour
	r.Update(0, state)
	clock := func(now time.Duration) time.Duration {
		c, _ := r.Pick(now, berths, time.Hour, newRNG())
		return c.Echo + c.EchoAge
	}
	r.Update(time.Second, state)
	if got := clock(time.Second); got != time.Hour+time.Second {
		t.Fatalf("after a repeated reading: %v", got)
	}
	r.Report(2*time.Second, state.VM, 1, time.Hour+2500*time.Millisecond, 0)
	if got := clock(2 * time.Second); got != time.Hour+2500*time.Millisecond {
		t.Fatalf("after a later reading: %v", got)
	}
	r.Report(time.Minute, state.VM, 1, time.Hour+59*time.Second, 0)
	if got := clock(time.Minute); got != time.Hour+59*time.Second {
		t.Fatalf("after the maximum age of a reading: %v", got)
	}
}

// Guards against a new upstream that receives its full share of requests at
// once.
func TestSlowStart(t *testing.T) {
	r := newRouter(3, 1000, "Gent")
	now := time.Minute
	r.Update(now, workerState(3, "Gent", 1000, 0))
	early := startRequests(t, r, now+time.Second, 400)["v003"]
	if early >= 80 {
		t.Fatalf("new upstream got %d of the first 400 requests", early)
	}
	if late := startRequests(t, r, now+time.Minute, 400)["v003"]; late <= early {
		t.Fatalf("upstream got %d requests after its slow start, %d during it", late, early)
	}
}

// Guards against a failing upstream that stays in use, against too many
// ejections, and against a readmission without a successful probe.
func TestEjection(t *testing.T) {
	const now = time.Minute
	r := newRouter(4, 8, "Gent")
	rng := newRNG()
	for range 100 {
		c, _ := r.Pick(now, berths, time.Hour, rng)
		r.Started(c)
		r.Finished(now, c, ResultFailure, 0)
	}
	s := r.services[berths]
	if len(s.ejected) != 1 {
		t.Fatalf("%d of 4 members ejected, want 1 (30%%)", len(s.ejected))
	}
	if got := r.Probes(now+time.Second, nil); len(got) != 0 {
		t.Fatalf("probe due too early: %v", got)
	}
	due := r.Probes(now+5*time.Second, nil)
	if len(due) != 1 || len(r.Probes(now+5*time.Second, nil)) != 0 {
		t.Fatalf("probes: %v", due)
	}
	r.ProbeResult(now+5*time.Second, due[0], false)
	if len(r.Probes(now+14*time.Second, nil)) != 0 {
		t.Fatal("failed probe was repeated without backoff")
	}
	r.ProbeResult(now+15*time.Second, r.Probes(now+15*time.Second, nil)[0], true)
	if len(s.ejected) != 0 || len(s.local) != 4 {
		t.Fatalf("after a successful probe: %d ejected, %d local", len(s.ejected), len(s.local))
	}
}

// Guards against retries that multiply the load in an outage.
func TestRetryBudget(t *testing.T) {
	r := New(DefaultConfig("Gent"))
	retries := 0
	for range 1000 {
		r.RecordFirstAttempt()
		if r.TakeRetry() {
			retries++
		}
	}
	if retries > 110 {
		t.Fatalf("%d retries for 1000 first attempts", retries)
	}
}

// Guards against requests to a draining worker or to an earlier incarnation,
// and against requests in flight that still count after a new incarnation
// started.
func TestDrainAndNewIncarnation(t *testing.T) {
	r := newRouter(1, 2, "Gent")
	startRequests(t, r, 0, 2)
	r.Drain(0, "v000", 1)
	if _, v := r.Pick(0, berths, time.Hour, newRNG()); v != NoUpstream {
		t.Fatalf("draining: %v", v)
	}
	state := workerState(0, "Gent", 2, 0)
	state.Incarnation = 2
	r.Update(0, state)
	c, v := r.Pick(0, berths, time.Hour, newRNG())
	if v != Picked || c.Incarnation != 2 {
		t.Fatalf("new incarnation: %v %v", c, v)
	}
}

// recordServiceTimes records minSamples service times of 100 ms.
func recordServiceTimes(r *Router, now time.Duration) {
	rng := newRNG()
	for range minSamples {
		c, _ := r.Pick(now, berths, time.Hour, rng)
		r.Started(c)
		r.Finished(now, c, ResultSuccess, 100*time.Millisecond)
	}
}

// Guards against accepting requests that cannot be served in time, and against
// an estimate that refuses every request and is therefore never updated.
func TestTooLate(t *testing.T) {
	r := newRouter(1, 2, "Gent")
	recordServiceTimes(r, 0)
	if _, v := r.Pick(0, berths, 90*time.Millisecond, newRNG()); v != TooLate {
		t.Fatalf("verdict for a deadline of 90 ms with service times of 100 ms: %v", v)
	}
	startRequests(t, r, 0, 2)
	for n := range 4 {
		item := Item{ID: types.RequestID{byte(n)}, Service: berths, Deadline: 290 * time.Millisecond}
		want := Queued
		if n == 3 {
			want = TooLate
		}
		if v := r.Enqueue(0, item); v != want {
			t.Fatalf("item %d: %v, want %v", n, v, want)
		}
	}
	later := 2 * time.Minute
	if v := r.Enqueue(later, Item{Service: berths, Deadline: later + time.Millisecond}); v != Queued {
		t.Fatalf("verdict with expired service times: %v", v)
	}
}

// Guards against a full queue that refuses an urgent item instead of dropping
// its last one, and against dropped items that are not returned.
func TestQueueFull(t *testing.T) {
	config := DefaultConfig("Gent")
	config.QueueLimit = 2
	r := New(config)
	r.Update(0, workerState(0, "Gent", 1, 1))
	enqueue := func(n byte, urgent bool) Verdict {
		return r.Enqueue(0, Item{ID: types.RequestID{n}, Service: berths, Deadline: time.Duration(n) * time.Second, Urgent: urgent})
	}
	enqueue(1, false)
	enqueue(2, false)
	if v := enqueue(3, false); v != QueueFull {
		t.Fatalf("third item: %v", v)
	}
	if v := enqueue(4, true); v != Queued {
		t.Fatalf("urgent item: %v", v)
	}
	dropped := r.Dropped()
	if len(dropped) != 1 || dropped[0].ID != (types.RequestID{2}) || len(r.Dropped()) != 0 {
		t.Fatalf("dropped items: %v", dropped)
	}
	r.Update(0, workerState(0, "Gent", 1, 0))
	item, _, ok := r.Next(0, newRNG())
	if !ok || !item.Urgent {
		t.Fatalf("next item: %v %v", item, ok)
	}
}
