package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

const (
	// StopTime is the time from the decision to stop a task until its capacity is used
	// again: a stop takes effect within 400 ms, and the next placement pass follows
	// within 100 ms.
	StopTime = 500 * time.Millisecond
	// RestoreTime is how long a task takes to restore a checkpoint.
	RestoreTime = 250 * time.Millisecond
	// MaxStops limits the tasks that one call of Preempt stops. It allows for a step of
	// 20 tasks that each displace one of equal size, the common size of large jobs, and
	// bounds the work that a call with wrong estimates discards.
	MaxStops = 32
	// maxStopsPerTask limits the candidates that are stopped for one waiting task,
	// maxHostSearch the sets that are compared for it on one VM, and maxSearch those in
	// one call of Preempt, which bounds its time to some milliseconds. VMs run tens of
	// tasks, of which few are needed, so that the search of a VM seldom takes 100 sets.
	maxStopsPerTask = 8
	maxHostSearch   = 2000
	maxSearch       = 50_000
	// pathMargin is the share of its critical path by which work must be about to miss
	// its objective before others are stopped for it. Until then tasks that end by
	// themselves may make room at no cost; the worth of a job does not fall before its
	// objective. Run times scatter around their estimate by about a third.
	pathMargin = 0.35
	// minMargin is the least such margin: two reports of a worker, which lists its tasks
	// every 500 ms.
	minMargin = time.Second
	// missedShare is the share of a job's worth that is lost when it misses its
	// objective: callers pay a seventh until three times the objective.
	missedShare = 6.0 / 7
	// standingOutage is what a standing task that is stopped is expected to be down for
	// beyond the stop itself: callers count shares of windows of 2 s.
	standingOutage = 2 * time.Second
	// StandingWork is the run time for which waiting standing tasks count: they hold their
	// capacity for minutes, and callers pay for the time that they run.
	StandingWork = time.Minute
	// protectionFactor times its expected run time is how long a task runs undisturbed
	// after a preemption; the time doubles with each further one, since the estimate may
	// be too low by a factor of ten, up to maxProtectionDoublings times.
	protectionFactor       = 2
	maxProtectionDoublings = 6
	// minProtection bounds the protection from below, and is that of standing tasks,
	// which have no run time and hold their capacity for minutes.
	minProtection      = 2 * time.Second
	standingProtection = time.Minute
)

// Claim is waiting work that has no capacity: the waiting tasks of a step, which all
// reserve the same. It is served as a whole or not at all.
type Claim struct {
	Priority int
	// Demand is what one task reserves, Tasks the number of tasks.
	Demand types.Resources
	Tasks  int
	// Places are the VMs that the tasks may use.
	Places []Place
	// Slack is how much later than now the tasks may start and still be in time, Path the
	// time that the job takes from then on.
	Slack, Path time.Duration
	// Work is the work of the whole job in processor seconds, which its worth is taken to
	// be proportional to.
	Work float64
}

// Place is a VM that may take up to Most tasks of a claim, as an index of the hosts.
type Place struct {
	Host, Most int
}

// Candidate is running work: a task, or all tasks of a gang.
type Candidate struct {
	Priority int
	// Parts are the reservations of the tasks on the hosts. Tasks of a gang on other VMs
	// have a negative host.
	Parts []Part
	// Unsaved is the work that a stop discards, in processor seconds, Delay the time until
	// the tasks have made up for it, and Processors what they use meanwhile.
	Unsaved, Processors float64
	Delay               time.Duration
	// Slack is how much the job can be delayed and still be in time; it is negative if
	// the job is late anyway. Work is the work of the whole job in processor seconds.
	Slack time.Duration
	Work  float64
	// Left is the expected time until the tasks end by themselves; standing ones do not.
	Left     time.Duration
	Standing bool
	// Group is the index of the limit that applies to a standing task.
	Group int
	// Protected: it was preempted before, see Protection.
	Protected bool
}

// Part is the reservation of one task on a host.
type Part struct {
	Host  int
	Holds types.Resources
}

// Preemption is the result of Preempt: the indices of the candidates to stop, each with
// the claim it is stopped for, and where the tasks of the served claims will fit.
type Preemption struct {
	Stops  []Stop
	Places []ClaimPlace
}

// Stop is a candidate that is stopped for a claim, and what that costs.
type Stop struct {
	Candidate, Claim int
	Cost             float64
}

// ClaimPlace is a number of tasks of a claim that a host will have room for.
type ClaimPlace struct {
	Claim, Host, Tasks int
}

// Protection returns how long a task runs undisturbed from its next start on after it has
// been preempted a number of times.
func Protection(standing bool, runTime time.Duration, preemptions int) time.Duration {
	switch {
	case preemptions == 0:
		return 0
	case standing:
		return standingProtection
	default:
		return max(minProtection, protectionFactor*runTime) << min(preemptions-1, maxProtectionDoublings)
	}
}

// Urgent reports whether others may be stopped for waiting work now: it would still be in
// time after a stop, and cannot wait for tasks to end by themselves.
func Urgent(slack, path time.Duration) bool {
	return slack >= StopTime && slack <= StopTime+max(minMargin, time.Duration(pathMargin*float64(path)))
}

// costWeight is what a processor second of a priority counts, relative to one of priority
// 1, the highest that may be stopped.
func costWeight(priority int) float64 { return priorityBase * weight(priority) }

// gain is what is lost if the claim is not served.
func (c *Claim) gain() float64 { return missedShare * costWeight(c.Priority) * c.Work }

// cost is what stopping the candidate costs: the work that it discards, and the delay of a
// job that would have been in time, by priority.
func (c *Candidate) cost() float64 {
	cost := c.Unsaved
	switch {
	case c.Standing:
		cost += costWeight(c.Priority) * c.Processors * (c.Delay + standingOutage).Seconds()
	case c.Slack >= c.Delay:
		// A delay that leaves the job in time costs something, since the estimate of its
		// slack may be wrong.
		cost += costWeight(c.Priority) * lateCost * c.Processors * c.Delay.Seconds()
	case c.Slack >= 0:
		cost += costWeight(c.Priority) * (c.Processors*c.Delay.Seconds() + missedShare*c.Work)
	}
	return cost
}

// endsItself reports whether the candidate is expected to end within the time that a stop
// takes.
func (c *Candidate) endsItself() bool { return !c.Standing && c.Left <= StopTime }

// Preempt chooses what is stopped for the claims, which are in the order in which they are
// placed. free is the capacity of each host that no task holds, or that is being given up,
// and limits are the numbers of standing tasks of each group that may still be stopped.
//
// For each waiting task it takes, of the sets of candidates that would make room for it on
// one host, the one with the lowest cost for each task that then fits. A claim is served
// only if all of its tasks get room and the total cost is below what is lost otherwise.
func Preempt(claims []Claim, free []types.Resources, candidates []Candidate, limits []int) Preemption {
	p := newPreemption(free, candidates, limits)
	var result Preemption
	for i := range claims {
		c := &claims[i]
		if !Urgent(c.Slack, c.Path) || c.Tasks == 0 {
			continue
		}
		attempt := p.clone()
		if !attempt.serve(c) {
			continue
		}
		for _, s := range attempt.chosen {
			result.Stops = append(result.Stops, Stop{Candidate: s, Claim: i, Cost: attempt.cost[s]})
		}
		for _, place := range c.Places {
			if n := attempt.placed[place.Host]; n > 0 {
				result.Places = append(result.Places, ClaimPlace{Claim: i, Host: place.Host, Tasks: n})
				attempt.placed[place.Host] = 0
			}
		}
		attempt.chosen = nil
		p = attempt
	}
	return result
}

// preemption is the state of Preempt.
type preemption struct {
	candidates []Candidate
	cost       []float64
	// byHost holds the candidates with a part on each host, the cheapest first.
	byHost [][]int
	free   []types.Resources
	limits []int
	// stopped marks the candidates that end anyway or are stopped. chosen are those that
	// are stopped for the current claim.
	stopped []bool
	chosen  []int
	// stops counts the tasks that are stopped, placed those of the current claim by host.
	stops  int
	placed []int
	// searched counts the sets that the call has compared.
	searched *int
}

func newPreemption(free []types.Resources, candidates []Candidate, limits []int) *preemption {
	p := &preemption{
		candidates: candidates, cost: make([]float64, len(candidates)), byHost: make([][]int, len(free)), free: slices.Clone(free),
		limits: slices.Clone(limits), stopped: make([]bool, len(candidates)), placed: make([]int, len(free)), searched: new(int),
	}
	for i := range candidates {
		c := &candidates[i]
		p.cost[i] = c.cost()
		if c.endsItself() {
			p.stopped[i] = true
			p.addFree(c)
			continue
		}
		for _, part := range c.Parts {
			if part.Host >= 0 && !slices.Contains(p.byHost[part.Host], i) {
				p.byHost[part.Host] = append(p.byHost[part.Host], i)
			}
		}
	}
	for _, all := range p.byHost {
		slices.SortStableFunc(all, func(a, b int) int {
			return cmp.Or(cmp.Compare(p.cost[a], p.cost[b]), cmp.Compare(candidates[a].Unsaved, candidates[b].Unsaved))
		})
	}
	return p
}

func (p *preemption) clone() *preemption {
	next := *p
	next.free, next.limits, next.stopped, next.placed = slices.Clone(p.free), slices.Clone(p.limits), slices.Clone(p.stopped), make([]int, len(p.free))
	return &next
}

// addFree adds the capacity that a candidate gives up.
func (p *preemption) addFree(c *Candidate) {
	for _, part := range c.Parts {
		if part.Host >= 0 {
			p.free[part.Host] = p.free[part.Host].Add(part.Holds)
		}
	}
}

// serve makes room for all tasks of a claim. It reports false if that is not possible or
// costs more than it gains.
func (p *preemption) serve(c *Claim) bool {
	left, total := c.Tasks, 0.0
	for _, place := range c.Places {
		for left > 0 && p.placed[place.Host] < place.Most && c.Demand.Fits(p.free[place.Host]) {
			p.take(c, place.Host)
			left--
		}
	}
	found := make([]*set, len(c.Places))
	for left > 0 {
		best := -1
		bestCost := math.Inf(1)
		for i, place := range c.Places {
			if p.placed[place.Host] >= place.Most {
				continue
			}
			if found[i] == nil {
				found[i] = p.cheapest(place.Host, c)
			}
			if cost := found[i].costPerTask(min(left, place.Most-p.placed[place.Host])); cost < bestCost {
				best, bestCost = i, cost
			}
		}
		if best < 0 {
			return false
		}
		place, s := c.Places[best], found[best]
		total += s.cost
		if total > c.gain() || !p.stopAll(s.members) {
			return false
		}
		for left > 0 && p.placed[place.Host] < place.Most && c.Demand.Fits(p.free[place.Host]) {
			p.take(c, place.Host)
			left--
		}
		found[best] = nil
		if p.affectsOthers(s.members, place.Host) {
			clear(found)
		}
	}
	return true
}

// take uses free capacity of a host for a task of a claim.
func (p *preemption) take(c *Claim, host int) {
	p.free[host] = p.free[host].Sub(c.Demand)
	p.placed[host]++
}

// stopAll stops candidates. It reports false if that exceeds MaxStops.
func (p *preemption) stopAll(members []int) bool {
	for _, i := range members {
		c := &p.candidates[i]
		p.stopped[i] = true
		p.chosen = append(p.chosen, i)
		p.stops += len(c.Parts)
		if c.Standing {
			p.limits[c.Group] -= len(c.Parts)
		}
		p.addFree(c)
	}
	return p.stops <= MaxStops
}

// affectsOthers reports whether stopping candidates on a host changes what is possible on
// others: gangs free capacity there, and standing tasks share limits.
func (p *preemption) affectsOthers(members []int, host int) bool {
	return slices.ContainsFunc(members, func(i int) bool {
		c := &p.candidates[i]
		return c.Standing || slices.ContainsFunc(c.Parts, func(part Part) bool { return part.Host != host })
	})
}

// mayStop reports whether a candidate may be stopped for a claim.
func (p *preemption) mayStop(i int, claim *Claim) bool {
	c := &p.candidates[i]
	return !p.stopped[i] && !c.Protected && c.Priority > claim.Priority && len(c.Parts) <= MaxStops && (!c.Standing || p.limits[c.Group] >= len(c.Parts))
}

// set is a set of candidates whose stop makes room for tasks of a claim on a host.
type set struct {
	members []int
	cost    float64
	// tasks is how many tasks fit then. It is 0 if there is no such set.
	tasks int
}

// costPerTask returns the cost for each task that fits, of which at most some wait. It is
// infinite if there is no set.
func (s *set) costPerTask(waiting int) float64 {
	if s.tasks == 0 {
		return math.Inf(1)
	}
	return s.cost / float64(min(s.tasks, waiting))
}

// cheapest returns the set with the lowest cost that makes room for one more task of a
// claim on a host, as far as the search finds it within its bounds.
func (p *preemption) cheapest(host int, claim *Claim) *set {
	s := search{p: p, host: host, claim: claim, cost: math.Inf(1), group: make(map[int]int)}
	for _, i := range p.byHost[host] {
		if p.mayStop(i, claim) {
			s.usable = append(s.usable, i)
		}
	}
	s.from(0, p.free[host], 0)
	if s.best == nil {
		return &set{}
	}
	free := p.free[host]
	for _, i := range s.best {
		free = free.Add(p.holds(i, host))
	}
	result := &set{members: s.best, cost: s.cost}
	for claim.Demand.Fits(free) && result.tasks < claim.Tasks {
		free = free.Sub(claim.Demand)
		result.tasks++
	}
	return result
}

// holds returns what a candidate holds on a host.
func (p *preemption) holds(i, host int) types.Resources {
	var sum types.Resources
	for _, part := range p.candidates[i].Parts {
		if part.Host == host {
			sum = sum.Add(part.Holds)
		}
	}
	return sum
}

// search finds the cheapest set of usable candidates on a host by branch and bound.
type search struct {
	p       *preemption
	host    int
	claim   *Claim
	usable  []int
	members []int
	// group counts the standing tasks among the members by group.
	group map[int]int
	nodes int
	best  []int
	cost  float64
}

// from extends the members, whose stop leaves the given capacity free at the given cost,
// by candidates from index n on.
func (s *search) from(n int, free types.Resources, cost float64) {
	if s.claim.Demand.Fits(free) {
		if cost < s.cost {
			s.best, s.cost = append([]int{}, s.members...), cost
		}
		return
	}
	if len(s.members) == maxStopsPerTask {
		return
	}
	for ; n < len(s.usable) && s.nodes < maxHostSearch && *s.p.searched < maxSearch; n++ {
		i := s.usable[n]
		next := cost + s.p.cost[i]
		if next >= s.cost {
			return // the others cost as much or more
		}
		c := &s.p.candidates[i]
		holds := s.p.holds(i, s.host)
		if !contributes(holds, free, s.claim.Demand) || c.Standing && s.group[c.Group]+len(c.Parts) > s.p.limits[c.Group] {
			continue
		}
		s.nodes++
		*s.p.searched++
		s.count(c, len(c.Parts))
		s.members = append(s.members, i)
		s.from(n+1, free.Add(holds), next)
		s.members = s.members[:len(s.members)-1]
		s.count(c, -len(c.Parts))
	}
}

func (s *search) count(c *Candidate, tasks int) {
	if c.Standing {
		s.group[c.Group] += tasks
	}
}

// contributes reports whether released resources reduce what is missing for a demand.
func contributes(released, free, demand types.Resources) bool {
	return released.MilliCPU > 0 && free.MilliCPU < demand.MilliCPU ||
		released.MemoryBytes > 0 && free.MemoryBytes < demand.MemoryBytes ||
		released.Accelerators > 0 && free.Accelerators < demand.Accelerators
}
