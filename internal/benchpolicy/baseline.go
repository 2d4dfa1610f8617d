package benchpolicy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/interference"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// baseline places by declared size, in order of arrival with urgent work
// first. To start urgent work it evicts the newest batch tasks on the VM of
// its choice, after a checkpoint. A retry avoids the VM where the task failed.
type baseline struct {
	s     *sim
	rng   *rand.Rand
	pick  func(b *baseline, fits []int) int
	used  []types.Resources
	cap   types.Resources
	queue []*task
	// evicted collects victims while the queue is walked.
	evicted []*task
	// changed tells that a pass over the queue may start something; wakeAt is
	// when a task that backs off is ready.
	changed bool
	wakeAt  time.Duration
	// more is the number of VMs compared per request beyond two.
	more int
}

// firstFit takes the first VM with room.
func firstFit(_ *baseline, fits []int) int {
	return fits[0]
}

// leastLoaded takes the VM with the smallest reserved share.
func leastLoaded(b *baseline, fits []int) int {
	return slices.MinFunc(fits, func(x, y int) int { return cmp.Compare(b.load(x), b.load(y)) })
}

// twoChoices takes the less loaded of two random VMs with room.
func twoChoices(b *baseline, fits []int) int {
	x, y := fits[b.rng.IntN(len(fits))], fits[b.rng.IntN(len(fits))]
	if b.load(y) < b.load(x) {
		return y
	}
	return x
}

func newBaseline(pick func(*baseline, []int) int) func(*sim, *rand.Rand) policy {
	return func(s *sim, rng *rand.Rand) policy {
		return &baseline{s: s, rng: rng, pick: pick, used: make([]types.Resources, vmCount), cap: s.vmSpec(0).Capacity}
	}
}

func (b *baseline) load(vm int) float64 {
	return max(float64(b.used[vm].MilliCPU)/float64(b.cap.MilliCPU), float64(b.used[vm].MemoryBytes)/float64(b.cap.MemoryBytes))
}

func (b *baseline) arrive(_ time.Duration, t *task) {
	if !t.declared.Fits(b.cap) {
		b.s.refuse(t)
		return
	}
	b.queue = append(b.queue, t)
	b.changed = true
}

func (b *baseline) fits(t *task, extra []types.Resources) []int {
	var out []int
	for i, v := range b.s.vms {
		if !v.up || b.s.ids[i] == t.avoid {
			continue
		}
		if b.used[i].Add(t.declared).Add(extra[i]).Fits(b.cap) {
			out = append(out, i)
		}
	}
	return out
}

func (b *baseline) schedule(now time.Duration) {
	if !b.changed && now < b.wakeAt {
		return
	}
	b.changed, b.wakeAt = false, nightLength
	slices.SortStableFunc(b.queue, func(x, y *task) int {
		return cmp.Or(-cmp.Compare(x.priority, y.priority), cmp.Compare(x.arrival, y.arrival))
	})
	var left []*task
	tried := map[types.JobID]bool{}
	for i, t := range b.queue {
		switch {
		case t.state != waiting:
		case t.readyAt > now:
			b.wakeAt = min(b.wakeAt, t.readyAt)
			left = append(left, t)
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
	if fits := b.fits(t, noExtra); len(fits) > 0 {
		b.put(now, t, b.pick(b, fits), 0)
		return true
	}
	return t.urgent && b.preempt(now, t)
}

func (b *baseline) put(now time.Duration, t *task, vm int, after time.Duration) {
	b.used[vm] = b.used[vm].Add(t.declared)
	b.s.start(now, t, vm, after)
}

// preempt evicts the newest tasks on the VM that the rule picks among those
// where that makes enough room.
func (b *baseline) preempt(now time.Duration, t *task) bool {
	freed := make([]types.Resources, vmCount)
	for i, v := range b.s.vms {
		for _, x := range v.running {
			if !x.urgent {
				freed[i] = freed[i].Sub(x.declared)
			}
		}
	}
	fits := b.fits(t, freed)
	if len(fits) == 0 {
		return false
	}
	vm := b.pick(b, fits)
	victims := slices.Clone(b.s.vms[vm].running)
	slices.SortStableFunc(victims, func(x, y *task) int { return cmp.Compare(y.startedAt, x.startedAt) })
	for _, x := range victims {
		if b.used[vm].Add(t.declared).Fits(b.cap) {
			break
		}
		if !x.urgent {
			b.used[vm] = b.used[vm].Sub(x.declared)
			b.s.evict(now, x, true)
			b.evicted = append(b.evicted, x)
			b.changed = true
		}
	}
	b.put(now, t, vm, stopOfVictim)
	return true
}

// startGang starts all members or none.
func (b *baseline) startGang(now time.Duration, queue []*task, first *task) {
	extra := make([]types.Resources, vmCount)
	var members []*task
	var where []int
	for _, t := range queue {
		if t.job != first.job || t.state != waiting {
			continue
		}
		fits := b.fits(t, extra)
		if len(fits) == 0 {
			return
		}
		vm := b.pick(b, fits)
		extra[vm] = extra[vm].Add(t.declared)
		members, where = append(members, t), append(where, vm)
	}
	for i, t := range members {
		b.put(now, t, where[i], 0)
	}
}

func (b *baseline) ended(_ time.Duration, t *task, vm int, how ending) {
	b.used[vm] = b.used[vm].Sub(t.declared)
	b.changed = true
	if how != endDone {
		b.queue = append(b.queue, t)
	}
}

func (b *baseline) overfilled() int {
	n := 0
	for _, u := range b.used {
		if !u.Fits(b.cap) {
			n++
		}
	}
	return n
}

func (b *baseline) reserved(t *task) types.Resources                            { return t.declared }
func (b *baseline) usage(_, _ time.Duration, _ *task, _ types.Resources)        {}
func (b *baseline) measured(_ time.Duration, _ int, _ interference.Measurement) {}
func (b *baseline) vmDown(_ time.Duration, _ int)                               {}
func (b *baseline) vmUp(_ time.Duration, _ int)                                 { b.changed = true }
func (b *baseline) quarantined(_ int) bool                                      { return false }

// idle refuses all batch work: its latencies are the floor for all policies.
type idle struct {
	baseline
}

func newIdle(s *sim, rng *rand.Rand) policy {
	return &idle{baseline{s: s, rng: rng, pick: firstFit, used: make([]types.Resources, vmCount), cap: s.vmSpec(0).Capacity}}
}

func (i *idle) arrive(_ time.Duration, t *task) { i.s.refuse(t) }

func (b *baseline) routing(_ time.Duration) ([]float64, int) { return nil, b.more }

// newWideBaseline is two-choices placement with requests routed by load among
// more VMs, to tell the effect of more candidates from that of risks.
func newWideBaseline(s *sim, rng *rand.Rand) policy {
	b := newBaseline(twoChoices)(s, rng).(*baseline)
	b.more = manyCandidates
	return b
}
