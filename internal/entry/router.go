package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/routing"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// target is a worker chosen for one attempt.
type target struct {
	routing.Choice
	address string
}

// pickResult is the answer to a request that waits for a worker.
type pickResult struct {
	target  target
	verdict routing.Verdict
}

// routerState is the state of the router. Only its actor accesses it.
type routerState struct {
	router    *routing.Router
	rng       *rand.Rand
	addresses map[types.VMID]string
	waiting   map[types.RequestID]chan pickResult
}

// router assigns requests to workers. An actor serializes its decisions.
type router struct {
	stateActor *actors.Owner[*routerState]
	now        clock.Func
}

func newRouter(system *actors.System, now clock.Func, config routing.Config) (*router, error) {
	s := &routerState{
		router:    routing.New(config),
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		addresses: make(map[types.VMID]string),
		waiting:   make(map[types.RequestID]chan pickResult),
	}
	stateActor, err := actors.Spawn(system, "router", s)
	if err != nil {
		return nil, err
	}
	return &router{stateActor: stateActor, now: now}, nil
}

// pick returns a worker with a free slot. If no slot is free, it waits in the
// queue. The slot counts as taken until finish is called.
func (r *router) pick(ctx context.Context, item routing.Item) (target, routing.Verdict) {
	answer := make(chan pickResult, 1)
	err := r.stateActor.Do(func(s *routerState) { s.pickOrQueue(r.now(), item, answer) })
	if err != nil {
		return target{}, routing.NoUpstream
	}
	select {
	case p := <-answer:
		return p.target, p.verdict
	case <-ctx.Done():
		return r.cancel(item, answer)
	}
}

// cancel withdraws a waiting request. If a worker was assigned in the meantime,
// it returns that worker.
func (r *router) cancel(item routing.Item, answer chan pickResult) (target, routing.Verdict) {
	err := r.stateActor.Do(func(s *routerState) {
		s.router.Cancel(item.Service, item.ID)
		delete(s.waiting, item.ID)
	})
	if err != nil {
		return target{}, routing.NoUpstream
	}
	select {
	case p := <-answer:
		return p.target, p.verdict
	default:
		return target{}, routing.TooLate
	}
}

func (s *routerState) pickOrQueue(now time.Duration, item routing.Item, answer chan pickResult) {
	choice, verdict := s.router.Pick(now, item.Service, item.Deadline, s.rng)
	if verdict == routing.Picked {
		s.router.Started(choice)
		answer <- pickResult{s.target(choice), verdict}
		return
	}
	if verdict != routing.Full {
		answer <- pickResult{verdict: verdict}
		return
	}
	verdict = s.router.Enqueue(now, item)
	if verdict != routing.Queued {
		answer <- pickResult{verdict: verdict}
		return
	}
	s.waiting[item.ID] = answer
	s.dispatchQueued(now)
}

// dispatchQueued assigns free slots to waiting requests and answers the requests
// that the queue has dropped.
func (s *routerState) dispatchQueued(now time.Duration) {
	for {
		item, choice, ok := s.router.Next(now, s.rng)
		if !ok {
			break
		}
		s.router.Started(choice)
		s.deliver(item.ID, pickResult{s.target(choice), routing.Picked})
	}
	for _, item := range s.router.Dropped() {
		s.deliver(item.ID, pickResult{verdict: routing.TooLate})
	}
}

func (s *routerState) deliver(id types.RequestID, p pickResult) {
	if c, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		c <- p
	}
}

func (s *routerState) target(c routing.Choice) target {
	return target{Choice: c, address: s.addresses[c.VM]}
}

// finish frees the slot of an attempt and records its result and duration.
func (r *router) finish(t target, result routing.Result, duration time.Duration) {
	r.stateActor.Enqueue(func(s *routerState) {
		now := r.now()
		s.router.Finished(now, t.Choice, result, duration)
		s.dispatchQueued(now)
	})
}

// recordReport updates the router from the report in a worker's reply.
func (r *router) recordReport(vm types.VMID, inc types.Incarnation, reading time.Duration, inUse int, draining bool) {
	r.stateActor.Enqueue(func(s *routerState) {
		now := r.now()
		if draining {
			s.router.Drain(now, vm, inc)
			return
		}
		s.router.Report(now, vm, inc, reading, inUse)
	})
}

// drainIncarnation makes the router send no new requests to an incarnation that
// has ended.
func (r *router) drainIncarnation(vm types.VMID, inc types.Incarnation) {
	r.stateActor.Enqueue(func(s *routerState) { s.router.Drain(r.now(), vm, inc) })
}

// update sets the state and the address of a worker.
func (r *router) update(state routing.WorkerState, address string) {
	r.stateActor.Enqueue(func(s *routerState) {
		now := r.now()
		s.addresses[state.VM] = address
		s.router.Update(now, state)
		s.dispatchQueued(now)
	})
}

// setEvacuated makes the router send requests to failure domains that the current
// configuration evacuates only if no other worker has a free slot. It reads the
// configuration on the actor, because watchers may be called out of order.
func (r *router) setEvacuated(current func() *config.Config) {
	r.stateActor.Enqueue(func(s *routerState) {
		rules := current().Rules()
		s.router.SetEvacuated(rules.EvacuatedDomains())
		s.dispatchQueued(r.now())
	})
}

// remove removes a worker that is dead or has left. Its address is kept, because
// seal calls still need it.
func (r *router) remove(vm types.VMID) {
	r.stateActor.Enqueue(func(s *routerState) { s.router.Remove(r.now(), vm) })
}

// address returns the last known address of a worker, or "".
func (r *router) address(vm types.VMID) string {
	var address string
	if err := r.stateActor.Do(func(s *routerState) { address = s.addresses[vm] }); err != nil {
		return ""
	}
	return address
}

// dueProbes returns the ejected workers that are due for a probe.
func (r *router) dueProbes() []routing.Probe {
	var due []routing.Probe
	if err := r.stateActor.Do(func(s *routerState) { due = s.router.Probes(r.now(), nil) }); err != nil {
		return nil
	}
	return due
}

func (r *router) recordProbe(p routing.Probe, ok bool) {
	r.stateActor.Enqueue(func(s *routerState) {
		now := r.now()
		s.router.ProbeResult(now, p, ok)
		s.dispatchQueued(now)
	})
}

// recordFirstAttempt counts a first attempt, which adds to the retry budget.
func (r *router) recordFirstAttempt() {
	r.stateActor.Enqueue(func(s *routerState) { s.router.RecordFirstAttempt() })
}

// allowRetry takes one retry from the budget and reports whether there was one.
func (r *router) allowRetry() bool {
	var ok bool
	if err := r.stateActor.Do(func(s *routerState) { ok = s.router.TakeRetry() }); err != nil {
		return false
	}
	return ok
}
