package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// routerModel calls a router with random inputs and checks its properties.
type routerModel struct {
	r             *Router
	rng           *rand.Rand
	now           time.Duration
	inFlight      []Choice
	queued        map[types.RequestID]bool
	items         byte
	firstAttempts int
	retries       int
}

// Guards against orders of inputs after which the router exceeds known slots,
// routes to a draining worker, ejects too many members, takes queued requests
// out of order, loses one, or exceeds the retry budget.
func TestRouterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig("Gent")
		config.QueueLimit = 4
		config.RetryBurst = 2
		m := &routerModel{
			r: New(config), now: time.Minute, queued: make(map[types.RequestID]bool),
			rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond },
			"update":  m.update,
			"remove":  func(t *rapid.T) { m.r.Remove(m.now, anyState(t).VM) },
			"drain":   func(t *rapid.T) { m.r.Drain(m.now, anyState(t).VM, 1) },
			"pick":    m.pick,
			"finish":  m.finish,
			"fail":    m.fail,
			"probe":   m.probe,
			"enqueue": m.enqueue,
			"next":    m.next,
			"retry":   m.retry,
			"":        m.check,
		})
	})
}

func anyState(t *rapid.T) WorkerState {
	n := rapid.IntRange(0, 7).Draw(t, "worker")
	domain := []types.FailureDomain{"Gent", "Brugge"}[n%2]
	return workerState(n, domain, rapid.IntRange(0, 3).Draw(t, "slots"), rapid.IntRange(0, 2).Draw(t, "in use"))
}

func (m *routerModel) update(t *rapid.T) {
	s := anyState(t)
	s.Incarnation = types.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))
	s.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
	if rapid.IntRange(0, 9).Draw(t, "no services") == 0 {
		s.Services = nil
	}
	m.r.Update(m.now, s)
}

func (m *routerModel) start(t *rapid.T, c Choice) {
	w, known := m.r.workers[c.VM]
	if !known || w.draining || w.incarnation != c.Incarnation {
		t.Fatalf("picked %+v, but the router has %+v", c, w)
	}
	if c.member.load.ownUse >= c.member.load.limit || w.load.ownUse >= w.load.limit {
		t.Fatalf("picked a full worker: %+v %+v", c.member.load, w.load)
	}
	m.r.Started(c)
	m.inFlight = append(m.inFlight, c)
}

func (m *routerModel) pick(t *rapid.T) {
	if c, v := m.r.Pick(m.now, berths, m.now+time.Hour, m.rng); v == Picked {
		m.start(t, c)
	}
}

func (m *routerModel) finish(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "request")
	result := Result(rapid.IntRange(1, 4).Draw(t, "result"))
	m.r.Finished(m.now, m.inFlight[n], result, time.Duration(rapid.IntRange(1, 500).Draw(t, "ms"))*time.Millisecond)
	m.inFlight = append(m.inFlight[:n:n], m.inFlight[n+1:]...)
}

// fail ends all requests in flight as failures, so that members are ejected.
func (m *routerModel) fail(*rapid.T) {
	for _, c := range m.inFlight {
		for range m.r.config.FailuresToEject - 1 {
			c.member.health.recordFailure()
		}
		m.r.Finished(m.now, c, ResultFailure, 0)
	}
	m.inFlight = nil
}

func (m *routerModel) probe(t *rapid.T) {
	for _, p := range m.r.Probes(m.now, nil) {
		m.r.ProbeResult(m.now, p, rapid.Bool().Draw(t, "good"))
	}
}

func (m *routerModel) enqueue(t *rapid.T) {
	m.items++
	item := Item{
		ID: types.RequestID{m.items}, Service: berths, Urgent: rapid.Bool().Draw(t, "urgent"),
		Deadline: m.now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline"))*time.Millisecond,
	}
	if m.r.Enqueue(m.now, item) == Queued {
		m.queued[item.ID] = true
	}
	m.takeDropped(t)
}

func (m *routerModel) next(t *rapid.T) {
	item, c, ok := m.r.Next(m.now, m.rng)
	m.takeDropped(t)
	if !ok {
		return
	}
	if !m.queued[item.ID] || item.Deadline <= m.now {
		t.Fatalf("Next returned item %+v at %v, queued are %v", item, m.now, m.queued)
	}
	for _, other := range m.r.services[berths].queue {
		sooner := other.Deadline < item.Deadline || other.Deadline == item.Deadline && other.ID[0] < item.ID[0]
		if other.Urgent && !item.Urgent || other.Urgent == item.Urgent && sooner {
			t.Fatalf("%+v was taken before %+v", item, other)
		}
	}
	delete(m.queued, item.ID)
	m.start(t, c)
}

func (m *routerModel) takeDropped(t *rapid.T) {
	for _, item := range m.r.Dropped() {
		if !m.queued[item.ID] {
			t.Fatalf("dropped %+v was not queued", item)
		}
		delete(m.queued, item.ID)
	}
}

func (m *routerModel) retry(t *rapid.T) {
	if rapid.Bool().Draw(t, "first") {
		m.firstAttempts++
		m.r.RecordFirstAttempt()
	} else if m.r.TakeRetry() {
		m.retries++
	}
}

func (m *routerModel) check(t *rapid.T) {
	if m.r.QueueLength(berths) != len(m.queued) || len(m.queued) > m.r.config.QueueLimit {
		t.Fatalf("%d requests queued, want %d", m.r.QueueLength(berths), len(m.queued))
	}
	if m.r.InFlight(berths) != len(m.inFlight) {
		t.Fatalf("%d requests in flight, want %d", m.r.InFlight(berths), len(m.inFlight))
	}
	if budget := m.r.config.RetryBurst + m.r.config.RetryShare*float64(m.firstAttempts); float64(m.retries) > budget {
		t.Fatalf("%d retries with a budget of %v", m.retries, budget)
	}
	s, ok := m.r.services[berths]
	if ok && float64(len(s.ejected)) > m.r.config.MaxEjectedShare*float64(s.size()) {
		t.Fatalf("%d of %d members ejected", len(s.ejected), s.size())
	}
}

// newLoadedRouter returns a router with as many requests in flight as workers.
func newLoadedRouter(workers int) *Router {
	r := newRouter(workers, 8, "Gent", "Brugge", "Leuven")
	rng := newRNG()
	for range workers {
		c, _ := r.Pick(time.Minute, berths, time.Hour, rng)
		r.Started(c)
	}
	return r
}

// Guards against memory allocations on the path of every request.
func TestPickDoesNotAllocate(t *testing.T) {
	r := newLoadedRouter(11)
	rng := newRNG()
	allocations := testing.AllocsPerRun(1000, func() {
		c, _ := r.Pick(time.Minute, berths, time.Hour, rng)
		r.Started(c)
		r.Finished(time.Minute, c, ResultSuccess, time.Millisecond)
	})
	if allocations != 0 {
		t.Fatalf("%v allocations per request", allocations)
	}
}

func benchmarkPick(b *testing.B, workers int) {
	r := newLoadedRouter(workers)
	rng := newRNG()
	b.ReportAllocs()
	for b.Loop() {
		c, v := r.Pick(time.Minute, berths, time.Hour, rng)
		if v != Picked {
			b.Fatal(v)
		}
		_ = c
	}
}

func BenchmarkPick11(b *testing.B)  { benchmarkPick(b, 11) }
func BenchmarkPick950(b *testing.B) { benchmarkPick(b, 950) }

// BenchmarkPick950Full measures the search when no worker has a free slot.
func BenchmarkPick950Full(b *testing.B) {
	r := newRouter(950, 0, "Gent", "Brugge", "Leuven")
	rng := newRNG()
	b.ReportAllocs()
	for b.Loop() {
		r.Pick(time.Minute, berths, time.Hour, rng)
	}
}

func BenchmarkRequest950(b *testing.B) {
	r := newLoadedRouter(950)
	rng := newRNG()
	b.ReportAllocs()
	for b.Loop() {
		c, _ := r.Pick(time.Minute, berths, time.Hour, rng)
		r.Started(c)
		r.Finished(time.Minute, c, ResultSuccess, time.Millisecond)
	}
}
