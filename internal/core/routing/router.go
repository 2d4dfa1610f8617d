package routing

import (
	"math/rand/v2"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Verdict is the result of Pick and Enqueue.
type Verdict uint8

// Verdicts.
const (
	// Picked means that a worker was chosen.
	Picked Verdict = iota + 1
	// Queued means that the request waits; Next returns it when a slot is free.
	Queued
	// NoUpstream means that there is no routable worker with the service.
	NoUpstream
	// Full means that all slots are in use; the request may be queued.
	Full
	// TooLate means that the request is unlikely to end by its deadline.
	TooLate
	// QueueFull means that the queue is full of requests that precede this one.
	QueueFull
)

// String returns the name of the verdict for logs.
func (v Verdict) String() string {
	names := [...]string{"none", "picked", "queued", "no-upstream", "full", "too-late", "queue-full"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Choice is a chosen worker.
type Choice struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// Echo is the kept reading of the worker's clock, and EchoAge is the time
	// since it arrived at this entry. The budget of an offer is EchoAge plus
	// the time within which the worker may start the request.
	Echo    time.Duration
	EchoAge time.Duration
	member  *member
}

// Result is the result of a request to a chosen worker.
type Result uint8

// Results of requests.
const (
	// ResultSuccess is a complete response.
	ResultSuccess Result = iota + 1
	// ResultFailure is a failure of the upstream or of its worker.
	ResultFailure
	// ResultFull is a refusal because no slot or connection was free.
	ResultFull
	// ResultOther is a result that does not depend on the upstream, for example
	// when the caller disconnects.
	ResultOther
)

// Router is the routing state of one entry.
type Router struct {
	config   Config
	workers  map[types.VMID]*worker
	services map[types.ServiceName]*service
	// ordered contains the services in the order of their creation.
	ordered []*service
	retries retryBudget
	// evacuated are the failure domains that get requests only as a last resort.
	evacuated []types.FailureDomain
	// sequence is the sequence number of the last request passed to Enqueue.
	sequence uint64
	// nextCall is the number of calls of Next.
	nextCall uint64
	dropped  []Item
}

// New returns a router without workers and with a full retry budget.
func New(config Config) *Router {
	return &Router{
		config:   config,
		workers:  make(map[types.VMID]*worker),
		services: make(map[types.ServiceName]*service),
		retries:  retryBudget{tokens: config.RetryBurst},
	}
}

// Pick chooses a worker for a request to the service that must end by the
// deadline. A caller that uses the choice must call Started.
func (r *Router) Pick(now time.Duration, name types.ServiceName, deadline time.Duration, rng *rand.Rand) (Choice, Verdict) {
	s, ok := r.services[name]
	if !ok || len(s.local)+len(s.remote)+len(s.evacuated) == 0 {
		return Choice{}, NoUpstream
	}
	if !s.times.inTime(now, 0, deadline) {
		return Choice{}, TooLate
	}
	m := r.pick(now, s, rng)
	if m == nil {
		return Choice{}, Full
	}
	return choiceOf(now, m), Picked
}

func choiceOf(now time.Duration, m *member) Choice {
	w := m.worker
	return Choice{
		VM:          w.vm,
		Incarnation: w.incarnation,
		Echo:        w.reading,
		EchoAge:     now - w.readingAt,
		member:      m,
	}
}

// pick returns a member with a free slot, or nil if all are full.
func (r *Router) pick(now time.Duration, s *service, rng *rand.Rand) *member {
	local := r.betterOfTwo(now, s.local, rng)
	if local != nil && r.utilization(now, local) < r.config.SpillThreshold {
		return local
	}
	remote := r.betterOfTwo(now, s.remote, rng)
	if remote != nil && (local == nil || r.utilization(now, remote)+r.config.SpillMargin < r.utilization(now, local)) {
		return remote
	}
	if local != nil {
		return local
	}
	if m := r.anyFree(now, s.local, rng); m != nil {
		return m
	}
	if m := r.anyFree(now, s.remote, rng); m != nil {
		return m
	}
	if m := r.betterOfTwo(now, s.evacuated, rng); m != nil {
		return m
	}
	return r.anyFree(now, s.evacuated, rng)
}

// betterOfTwo returns the less utilized of two random members, or nil if both
// are full.
func (r *Router) betterOfTwo(now time.Duration, set []*member, rng *rand.Rand) *member {
	if len(set) == 0 {
		return nil
	}
	a := r.draw(now, set, rng)
	b := r.draw(now, set, rng)
	switch {
	case r.full(now, a):
		a = b
	case r.full(now, b):
		b = a
	}
	if r.full(now, a) {
		return nil
	}
	if r.utilization(now, b) < r.utilization(now, a) {
		return b
	}
	return a
}

// draw returns a random member. A member in its slow start is replaced by a
// second draw with a probability that decreases to 0 over the slow start.
func (r *Router) draw(now time.Duration, set []*member, rng *rand.Rand) *member {
	m := set[rng.IntN(len(set))]
	age := now - m.slowStartAt
	if age >= r.config.SlowStart || rng.Int64N(int64(r.config.SlowStart)) < int64(age) {
		return m
	}
	return set[rng.IntN(len(set))]
}

// anyFree returns the first member with a free slot, searching from a random
// position, or nil if all members are full.
func (r *Router) anyFree(now time.Duration, set []*member, rng *rand.Rand) *member {
	if len(set) == 0 {
		return nil
	}
	start := rng.IntN(len(set))
	for i := range set {
		m := set[(start+i)%len(set)]
		if !r.full(now, m) {
			return m
		}
	}
	return nil
}

// full reports whether the member or its VM has no free slot.
func (r *Router) full(now time.Duration, m *member) bool {
	return m.load.full(now, &r.config) || m.worker.load.full(now, &r.config)
}

// utilization returns the higher utilization of the member and its VM after one
// more request.
func (r *Router) utilization(now time.Duration, m *member) float64 {
	return max(m.load.utilization(now, &r.config), m.worker.load.utilization(now, &r.config))
}

// Started records that a request to the chosen worker is in flight.
func (r *Router) Started(c Choice) {
	c.member.load.ownUse++
	c.member.worker.load.ownUse++
	c.member.service.inFlight++
}

// Finished records the result of a request that was started. took is the
// service time; it is used only for ResultSuccess.
func (r *Router) Finished(now time.Duration, c Choice, result Result, took time.Duration) {
	m := c.member
	m.load.ownUse--
	m.worker.load.ownUse--
	m.service.inFlight--
	switch result {
	case ResultSuccess:
		m.health.recordSuccess()
		m.service.times.record(now, took)
	case ResultFailure:
		m.health.recordFailure()
		if m.health.shouldEject(&r.config) {
			r.eject(now, m)
		}
	case ResultFull:
		m.load.markFull(now, &r.config)
	}
}

// InFlight returns the number of requests in flight from this entry to the
// service.
func (r *Router) InFlight(name types.ServiceName) int {
	s, ok := r.services[name]
	if !ok {
		return 0
	}
	return s.inFlight
}
