package overload

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// priorityBase is how many occurrences of one priority may be deferred for one of
	// the next higher priority. It is well above 1, since queues are otherwise ordered
	// strictly by priority, and low enough that one large job does not displace many.
	priorityBase = 4
	// maxPriority bounds the exponent of priorityBase, so that no weight is 0.
	maxPriority = 50
)

// Occurrence is one execution of a job that can still be in time.
type Occurrence struct {
	// Due is when it should be done.
	Due time.Duration
	// Work is the remaining work in processor seconds.
	Work float64
	// CriticalPath is the time that it takes at least, whatever the throughput.
	CriticalPath time.Duration
	// Priority is that of its queue; 0 is the highest.
	Priority int
	// Protected: it must not be deferred for its size.
	Protected bool
}

// weight is what it costs callers if the occurrence is late.
func (oc *Occurrence) weight() float64 { return weight(oc.Priority) }

// weight is what work of a priority counts, relative to work of priority 0.
func weight(priority int) float64 {
	return math.Pow(priorityBase, -float64(min(max(0, priority), maxPriority)))
}

// Position is the sort key of planned occurrences: when they are due. Protected ones go by
// when they must begin at the latest: a stream of smaller work that is due earlier would
// delay them until their critical path no longer fits, although each plan has capacity
// for all of their work.
func (oc *Occurrence) Position() time.Duration {
	if oc.Protected {
		return oc.Due - oc.CriticalPath
	}
	return oc.Due
}

// Plan returns for each occurrence whether it is deferred. The others are all in time if
// they get the throughput, in processors, in the order of their positions.
//
// It is the algorithm of Moore and Hodgson, which for equal weights maximizes the number
// of occurrences in time: go through them by due time, and whenever one would be late,
// defer the one with the most work for its weight. Occurrences are not deferred for one
// that weighs less than them. Protected ones are deferred only for one that weighs more,
// or if deferring all others that go before them and weigh no more does not suffice.
func Plan(now time.Duration, throughput float64, all []Occurrence) []bool {
	p := plan{all: all, deferred: make([]bool, len(all)), planned: candidates{cost: make([]float64, len(all))}, protected: candidates{cost: make([]float64, len(all))}}
	order := make([]int, len(all))
	for i := range all {
		order[i] = i
		p.planned.cost[i] = all[i].Work / all[i].weight()
		p.protected.cost[i] = 1 / all[i].weight()
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(all[a].Position(), all[b].Position()) })
	for _, i := range order {
		oc := &all[i]
		p.capacity = throughput * (oc.Due - now).Seconds()
		p.deferred[i] = oc.CriticalPath > oc.Due-now || oc.Work > p.capacity || !p.add(i)
	}
	return p.deferred
}

// plan is the state of Plan while it goes through the occurrences.
type plan struct {
	all      []Occurrence
	deferred []bool
	// planned holds the planned occurrences that are not protected, protected those that
	// are, with the lowest weight first; work is the sum of the work of both.
	planned, protected candidates
	work               float64
	// capacity is the work that can be done until the current occurrence is due.
	capacity float64
	// removed holds the occurrences that are deferred for the current one, skipped those
	// that weigh more than it.
	removed, skipped []int
}

// add plans an occurrence, and defers others for it if it would be late otherwise. It
// reports false, and changes nothing, if that does not suffice or costs more than it
// gains.
func (p *plan) add(i int) bool {
	work := p.work + p.all[i].Work
	p.removed, p.skipped = p.removed[:0], p.skipped[:0]
	if work > p.capacity {
		work = p.makeRoom(i, work)
	}
	for _, r := range p.skipped {
		heap.Push(&p.planned, r)
	}
	fits := work <= p.capacity
	for _, r := range p.removed {
		if fits {
			p.deferred[r] = true
		} else {
			heap.Push(p.heapOf(r), r)
		}
	}
	if fits {
		p.work = work
		heap.Push(p.heapOf(i), i)
	}
	return fits
}

func (p *plan) heapOf(i int) *candidates {
	if p.all[i].Protected {
		return &p.protected
	}
	return &p.planned
}

// makeRoom removes planned occurrences until the work fits or no other may be deferred for
// the given one, and returns the work that is left.
func (p *plan) makeRoom(i int, work float64) float64 {
	oc, lost := &p.all[i], 0.0
	for work > p.capacity && len(p.planned.order) > 0 {
		worst := p.planned.order[0]
		if oc.Protected && p.all[worst].weight() > oc.weight() {
			heap.Pop(&p.planned)
			p.skipped = append(p.skipped, worst)
			continue
		}
		lost += p.all[worst].weight()
		if !oc.Protected && (lost > oc.weight() || p.planned.cost[worst] <= p.planned.cost[i]) {
			lost -= p.all[worst].weight()
			break
		}
		work = p.remove(&p.planned, work)
	}
	for work > p.capacity && len(p.protected.order) > 0 {
		worst := p.protected.order[0]
		lost += p.all[worst].weight()
		if p.all[worst].weight() >= oc.weight() || !oc.Protected && lost > oc.weight() {
			break
		}
		work = p.remove(&p.protected, work)
	}
	return work
}

// remove removes the first occurrence of a heap, and returns the work without its own.
func (p *plan) remove(c *candidates, work float64) float64 {
	worst := heap.Pop(c).(int)
	p.removed = append(p.removed, worst)
	return work - p.all[worst].Work
}

// candidates is a heap of occurrences, with the one of the highest cost first.
type candidates struct {
	order []int
	cost  []float64
}

func (c *candidates) Len() int { return len(c.order) }

func (c *candidates) Less(a, b int) bool {
	i, j := c.order[a], c.order[b]
	return cmp.Or(cmp.Compare(c.cost[j], c.cost[i]), cmp.Compare(i, j)) < 0
}

func (c *candidates) Swap(a, b int) { c.order[a], c.order[b] = c.order[b], c.order[a] }

// Push implements heap.Interface.
func (c *candidates) Push(x any) { c.order = append(c.order, x.(int)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := c.order[len(c.order)-1]
	c.order = c.order[:len(c.order)-1]
	return last
}
