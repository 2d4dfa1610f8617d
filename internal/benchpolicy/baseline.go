package benchpolicy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/interference"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// baseline places tasks by declared size, ordered by priority and then arrival,
// with urgent tasks first. To start an urgent task it checkpoints and evicts
// the most recently started batch tasks on the VM that pick selects. A retry
// avoids the VM on which the task failed.
type baseline struct {
	s        *sim
	rng      *rand.Rand
	pick     func(b *baseline, fits []int) int
	reserved []types.Resources
	capacity types.Resources
	queue    []*task
	// evicted collects the evicted tasks during a pass over the queue.
	evicted []*task
	// changed reports whether a pass over the queue may start a task.
	// nextReadyAt is the earliest time at which a task in backoff becomes
	// ready.
	changed     bool
	nextReadyAt time.Duration
	// extraCandidates is the number of VMs, beyond two, that are compared for
	// each request.
	extraCandidates int
}

// firstFit picks the first VM with room.
func firstFit(_ *baseline, fits []int) int {
	return fits[0]
}

// leastLoaded picks the VM with the smallest reserved share.
func leastLoaded(b *baseline, fits []int) int {
	return slices.MinFunc(fits, func(x, y int) int { return cmp.Compare(b.load(x), b.load(y)) })
}

// twoChoices picks the less loaded of two random VMs with room.
func twoChoices(b *baseline, fits []int) int {
	x, y := fits[b.rng.IntN(len(fits))], fits[b.rng.IntN(len(fits))]
	if b.load(y) < b.load(x) {
		return y
	}
	return x
}

func newBaseline(pick func(*baseline, []int) int) func(*sim, *rand.Rand) policy {
	return func(s *sim, rng *rand.Rand) policy {
		return &baseline{s: s, rng: rng, pick: pick, reserved: make([]types.Resources, vmCount), capacity: s.vmSpec(0).Capacity}
	}
}

func (b *baseline) load(vm int) float64 {
	return max(float64(b.reserved[vm].MilliCPU)/float64(b.capacity.MilliCPU), float64(b.reserved[vm].MemoryBytes)/float64(b.capacity.MemoryBytes))
}

func (b *baseline) handleArrival(_ time.Duration, t *task) {
	if !t.declared.Fits(b.capacity) {
		b.s.refuseTask(t)
		return
	}
	b.queue = append(b.queue, t)
	b.changed = true
}

// candidates returns the VMs with room for a task. extra is added to the
// reservation of each VM; negative values are room that evictions would free.
func (b *baseline) candidates(t *task, extra []types.Resources) []int {
	var out []int
	for i, v := range b.s.vms {
		if !v.up || b.s.ids[i] == t.avoid {
			continue
		}
		if b.reserved[i].Add(t.declared).Add(extra[i]).Fits(b.capacity) {
			out = append(out, i)
		}
	}
	return out
}

func (b *baseline) schedule(now time.Duration) {
	if !b.changed && now < b.nextReadyAt {
		return
	}
	b.changed, b.nextReadyAt = false, nightLength
	slices.SortStableFunc(b.queue, func(x, y *task) int {
		return cmp.Or(-cmp.Compare(x.priority, y.priority), cmp.Compare(x.arrival, y.arrival))
	})
	var left []*task
	tried := map[types.JobID]bool{}
	for i, t := range b.queue {
		switch {
		case t.state != waiting:
		case t.readyAt > now:
			b.nextReadyAt = min(b.nextReadyAt, t.readyAt)
			left = append(left, t)
		// Only the first start of a gang is common. A member that has failed, was
		// evicted or has saved progress starts alone.
		case t.gang > 0 && t.failures == 0 && t.evictions == 0 && t.saved == 0:
			if !tried[t.job] {
				tried[t.job] = true
				b.startGang(now, b.queue[i:], t)
			}
			if t.state == waiting {
				left = append(left, t)
			}
		case !b.startOne(now, t):
			left = append(left, t)
		}
	}
	b.queue = append(left, b.evicted...)
	b.evicted = b.evicted[:0]
}

var noExtra = make([]types.Resources, vmCount)

func (b *baseline) startOne(now time.Duration, t *task) bool {
	if candidates := b.candidates(t, noExtra); len(candidates) > 0 {
		b.startOnVM(now, t, b.pick(b, candidates), 0)
		return true
	}
	return t.urgent && b.preempt(now, t)
}

func (b *baseline) startOnVM(now time.Duration, t *task, vm int, after time.Duration) {
	b.reserved[vm] = b.reserved[vm].Add(t.declared)
	b.s.startTask(now, t, vm, after)
}

// preempt starts an urgent task on a VM that pick selects among those where
// evictions can make enough room, and evicts the most recently started tasks
// there.
func (b *baseline) preempt(now time.Duration, t *task) bool {
	freed := make([]types.Resources, vmCount)
	for i, v := range b.s.vms {
		for _, victim := range v.running {
			if !victim.urgent {
				freed[i] = freed[i].Sub(victim.declared)
			}
		}
	}
	candidates := b.candidates(t, freed)
	if len(candidates) == 0 {
		return false
	}
	vm := b.pick(b, candidates)
	victims := slices.Clone(b.s.vms[vm].running)
	slices.SortStableFunc(victims, func(victim, other *task) int { return cmp.Compare(other.startedAt, victim.startedAt) })
	for _, victim := range victims {
		if b.reserved[vm].Add(t.declared).Fits(b.capacity) {
			break
		}
		if !victim.urgent {
			b.reserved[vm] = b.reserved[vm].Sub(victim.declared)
			b.s.evictTask(now, victim, true)
			b.evicted = append(b.evicted, victim)
			b.changed = true
		}
	}
	b.startOnVM(now, t, vm, victimStopTime)
	return true
}

// startGang starts all members of a gang or none.
func (b *baseline) startGang(now time.Duration, queue []*task, first *task) {
	extra := make([]types.Resources, vmCount)
	var members []*task
	var chosen []int
	for _, t := range queue {
		if t.job != first.job || t.state != waiting {
			continue
		}
		candidates := b.candidates(t, extra)
		if len(candidates) == 0 {
			return
		}
		vm := b.pick(b, candidates)
		extra[vm] = extra[vm].Add(t.declared)
		members, chosen = append(members, t), append(chosen, vm)
	}
	for i, t := range members {
		b.startOnVM(now, t, chosen[i], 0)
	}
}

func (b *baseline) handleEnd(_ time.Duration, t *task, vm int, how ending) {
	b.reserved[vm] = b.reserved[vm].Sub(t.declared)
	b.changed = true
	if how != endDone {
		b.queue = append(b.queue, t)
	}
}

func (b *baseline) countOvercommitted() int {
	n := 0
	for _, u := range b.reserved {
		if !u.Fits(b.capacity) {
			n++
		}
	}
	return n
}

func (b *baseline) reservation(t *task) types.Resources                                  { return t.declared }
func (b *baseline) handleUsage(_, _ time.Duration, _ *task, _ types.Resources)           {}
func (b *baseline) handleMeasurement(_ time.Duration, _ int, _ interference.Measurement) {}
func (b *baseline) handleVMDown(_ time.Duration, _ int)                                  {}
func (b *baseline) handleVMUp(_ time.Duration, _ int)                                    { b.changed = true }
func (b *baseline) isQuarantined(_ int) bool                                             { return false }

// noBatch refuses all batch work. Its latencies are the lower bound for all
// policies.
type noBatch struct {
	baseline
}

func newNoBatch(s *sim, rng *rand.Rand) policy {
	return &noBatch{baseline{s: s, rng: rng, pick: firstFit, reserved: make([]types.Resources, vmCount), capacity: s.vmSpec(0).Capacity}}
}

func (i *noBatch) handleArrival(_ time.Duration, t *task) { i.s.refuseTask(t) }

func (b *baseline) routingHints(_ time.Duration) ([]float64, int) { return nil, b.extraCandidates }

// newWideBaseline returns two-choices placement with requests routed by load
// among more VMs. It separates the effect of more candidates from that of
// routing by risk.
func newWideBaseline(s *sim, rng *rand.Rand) policy {
	b := newBaseline(twoChoices)(s, rng).(*baseline)
	b.extraCandidates = manyCandidates
	return b
}
