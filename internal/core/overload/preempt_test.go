package overload

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

func cores(n int64) types.Resources { return types.Resources{MilliCPU: 1000 * n} }

// runningTask returns a task of priority 1 on host 0 whose job is late and that discards
// the given work.
func runningTask(n int64, unsaved float64) Candidate {
	return Candidate{Priority: 1, Parts: []Part{{0, cores(n)}}, Unsaved: unsaved, Processors: float64(n), Delay: time.Second, Slack: -1, Left: time.Minute, Work: 100}
}

func change(c Candidate, edit func(*Candidate)) Candidate {
	edit(&c)
	return c
}

func stopped(p Preemption) []int {
	var all []int
	for _, s := range p.Stops {
		all = append(all, s.Candidate)
	}
	slices.Sort(all)
	return all
}

// Load: work of priority 0 waits for four cores on a full VM. Guards against stops that
// cost more than others, that rules forbid, or that do not help.
func TestPreempt(t *testing.T) {
	claim := Claim{Demand: cores(4), Tasks: 1, Places: []Place{{0, 9}}, Slack: time.Second, Path: time.Second, Work: 40}
	with := func(edit func(*Claim)) Claim {
		c := claim
		edit(&c)
		return c
	}
	a, b := runningTask(4, 3), runningTask(4, 1)
	small := runningTask(2, 1)
	standing := change(a, func(c *Candidate) { c.Standing, c.Unsaved, c.Left, c.Processors = true, 0, 0, 1 })
	for _, c := range []struct {
		name       string
		claim      Claim
		candidates []Candidate
		limits     []int
		want       []int
	}{
		{"the least unsaved work", claim, []Candidate{a, b}, nil, []int{1}},
		{"two small ones cost less", claim, []Candidate{a, small, small}, nil, []int{1, 2}},
		{"the same priority", claim, []Candidate{change(b, func(c *Candidate) { c.Priority = 0 })}, nil, nil},
		{"a late job before one in time", claim, []Candidate{a, change(b, func(c *Candidate) { c.Slack = 2 * time.Second; c.Processors = 40 })}, nil, []int{0}},
		{"not one that would then be late", claim, []Candidate{a, change(b, func(c *Candidate) { c.Slack = time.Millisecond })}, nil, []int{0}},
		{"lower priorities weigh less", claim, []Candidate{change(b, func(c *Candidate) { c.Slack = time.Hour }), change(b, func(c *Candidate) { c.Slack, c.Priority = time.Hour, 2 })}, nil, []int{1}},
		{"would be late anyway", with(func(c *Claim) { c.Slack = StopTime - 1 }), []Candidate{b}, nil, nil},
		{"can still wait", with(func(c *Claim) { c.Slack = time.Minute }), []Candidate{b}, nil, nil},
		{"ends by itself in time", claim, []Candidate{a, change(b, func(c *Candidate) { c.Left = StopTime })}, nil, nil},
		{"costs more than it gains", with(func(c *Claim) { c.Work = 0.25 }), []Candidate{b}, nil, nil},
		{"preempted before", claim, []Candidate{a, change(b, func(c *Candidate) { c.Protected = true })}, nil, []int{0}},
		{"standing within its limit", claim, []Candidate{a, standing}, []int{1}, []int{1}},
		{"standing beyond its limit", claim, []Candidate{a, standing}, []int{0}, []int{0}},
		{"two standing with a limit of one", with(func(c *Claim) { c.Tasks = 2 }), []Candidate{standing, standing}, []int{1}, nil},
		{"more stops than the limit", with(func(c *Claim) { c.Demand, c.Tasks, c.Places, c.Work = cores(1), MaxStops+1, []Place{{0, 99}}, 1e6 }), slices.Repeat([]Candidate{runningTask(1, 1)}, MaxStops+8), nil, nil},
		{"not all tasks fit", with(func(c *Claim) { c.Tasks = 3 }), []Candidate{a, b}, nil, nil},
		{"limit per VM", with(func(c *Claim) { c.Tasks, c.Places = 2, []Place{{0, 1}} }), []Candidate{a, b}, nil, nil},
		{"a gang as a whole", claim, []Candidate{change(b, func(c *Candidate) { c.Parts = []Part{{0, cores(2)}, {0, cores(2)}, {-1, cores(2)}} })}, nil, []int{0}},
		{"a gang beyond the limit of stops", claim, []Candidate{change(b, func(c *Candidate) { c.Parts = slices.Repeat([]Part{{0, cores(2)}}, MaxStops+1) })}, nil, nil},
		{"frees the wrong resource", with(func(c *Claim) { c.Demand = types.Resources{MemoryBytes: 1} }), []Candidate{b}, nil, nil},
	} {
		p := Preempt([]Claim{c.claim}, []types.Resources{{}}, c.candidates, c.limits)
		if got := stopped(p); !slices.Equal(got, c.want) {
			t.Errorf("%s: stops %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against starvation: each preemption must protect the task for longer, up to a
// bound.
func TestProtectionGrows(t *testing.T) {
	last := time.Duration(0)
	for n := range 20 {
		p := Protection(false, 2*time.Second, n)
		if n > 0 && p < 4*time.Second || p < last || p > time.Hour {
			t.Errorf("protection of %v after %d preemptions, %v after one less", p, n, last)
		}
		last = p
	}
}

func drawResources(rt *rapid.T, label string, least, most int64) types.Resources {
	return types.Resources{MilliCPU: 1000 * rapid.Int64Range(least, most).Draw(rt, label+" cores"), MemoryBytes: rapid.Int64Range(0, most).Draw(rt, label+" memory")}
}

func drawCandidates(rt *rapid.T, most, hosts int) []Candidate {
	all := make([]Candidate, rapid.IntRange(0, most).Draw(rt, "candidates"))
	for i := range all {
		all[i] = Candidate{
			Priority: rapid.IntRange(0, 2).Draw(rt, "priority"), Unsaved: float64(rapid.IntRange(0, 20).Draw(rt, "unsaved")), Processors: 1, Work: 5,
			Delay: time.Second, Slack: time.Duration(rapid.IntRange(-1, 2).Draw(rt, "slack in s")) * time.Second, Left: time.Duration(rapid.IntRange(0, 3).Draw(rt, "left in s")) * time.Second,
			Standing: rapid.IntRange(0, 4).Draw(rt, "standing") == 0, Group: rapid.IntRange(0, 1).Draw(rt, "group"), Protected: rapid.IntRange(0, 5).Draw(rt, "protected") == 0,
		}
		for range 1 + rapid.IntRange(0, 4).Draw(rt, "gang")/3 {
			all[i].Parts = append(all[i].Parts, Part{rapid.IntRange(0, hosts-1).Draw(rt, "host"), drawResources(rt, "holds", 1, 4)})
		}
	}
	return all
}

// Guards against each stop that must never happen, capacity that is promised twice or does
// not suffice, claims that are served in part, and decisions that differ on the same input
// or modify it.
func TestPropertyPreemptionIsSafe(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const hosts = 3
		candidates, limits := drawCandidates(rt, 14, hosts), []int{rapid.IntRange(-1, 2).Draw(rt, "limit"), rapid.IntRange(0, 1).Draw(rt, "limit")}
		free := make([]types.Resources, hosts)
		for i := range free {
			free[i] = drawResources(rt, "free", 0, 2)
		}
		claims := make([]Claim, rapid.IntRange(0, 4).Draw(rt, "claims"))
		for i := range claims {
			claims[i] = Claim{
				Priority: rapid.IntRange(0, 1).Draw(rt, "claim priority"), Demand: drawResources(rt, "demand", 1, 4), Tasks: rapid.IntRange(1, 4).Draw(rt, "tasks"),
				Slack: time.Duration(rapid.IntRange(0, 20).Draw(rt, "claim slack")) * 100 * time.Millisecond, Path: time.Second, Work: float64(rapid.IntRange(0, 100).Draw(rt, "work")),
			}
			for host := range hosts {
				if rapid.Bool().Draw(rt, "place") {
					claims[i].Places = append(claims[i].Places, Place{host, rapid.IntRange(1, 4).Draw(rt, "most")})
				}
			}
		}
		freeBefore, limitsBefore := slices.Clone(free), slices.Clone(limits)
		p := Preempt(claims, free, candidates, limits)
		if !slices.Equal(free, freeBefore) || !slices.Equal(limits, limitsBefore) || !reflect.DeepEqual(p, Preempt(claims, free, candidates, limits)) {
			rt.Fatal("the input is modified, or a second call differs")
		}
		for i := range candidates {
			if c := &candidates[i]; c.endsItself() {
				addParts(free, c)
			}
		}
		stops, seen, costs := 0, map[int]bool{}, map[int]float64{}
		for _, s := range p.Stops {
			c := &candidates[s.Candidate]
			if seen[s.Candidate] || c.Protected || c.Priority <= claims[s.Claim].Priority || c.endsItself() || !Urgent(claims[s.Claim].Slack, claims[s.Claim].Path) {
				rt.Fatalf("candidate %+v is stopped twice or against the rules for %+v", c, claims[s.Claim])
			}
			seen[s.Candidate] = true
			stops += len(c.Parts)
			costs[s.Claim] += s.Cost
			if c.Standing {
				limits[c.Group] -= len(c.Parts)
			}
			addParts(free, c)
		}
		if stops > MaxStops || min(limits[0]-min(0, limitsBefore[0]), limits[1]) < 0 {
			rt.Fatalf("%d stops, limits %v before and %v after", stops, limitsBefore, limits)
		}
		served := make(map[int]int)
		for _, place := range p.Places {
			served[place.Claim] += place.Tasks
			at := slices.IndexFunc(claims[place.Claim].Places, func(x Place) bool { return x.Host == place.Host })
			if at < 0 || place.Tasks > claims[place.Claim].Places[at].Most {
				rt.Fatalf("claim %+v gets %d tasks on host %d", claims[place.Claim], place.Tasks, place.Host)
			}
			for range place.Tasks {
				free[place.Host] = free[place.Host].Sub(claims[place.Claim].Demand)
			}
		}
		for i, r := range free {
			if r.Negative() {
				rt.Fatalf("host %d is promised beyond its capacity: %v", i, r)
			}
		}
		for i := range claims {
			if served[i] != 0 && served[i] != claims[i].Tasks || served[i] == 0 && costs[i] > 0 || costs[i] > claims[i].gain()+1e-9 {
				rt.Fatalf("claim %+v: %d tasks served at a cost of %v", claims[i], served[i], costs[i])
			}
		}
	})
}

func addParts(free []types.Resources, c *Candidate) {
	for _, part := range c.Parts {
		free[part.Host] = free[part.Host].Add(part.Holds)
	}
}

// Guards against stops that cost more than necessary: for one waiting task, no set of
// candidates on one host costs less.
func TestPropertyPreemptionIsCheapest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		candidates := drawCandidates(rt, maxStopsPerTask, 2)
		limits := []int{1, 0}
		claim := Claim{Demand: drawResources(rt, "demand", 1, 8), Tasks: 1, Places: []Place{{0, 1}, {1, 1}}, Slack: time.Second, Path: time.Second, Work: 1e6}
		free := make([]types.Resources, 2)
		got := 0.0
		p := Preempt([]Claim{claim}, free, candidates, limits)
		for _, s := range p.Stops {
			got += s.Cost
		}
		best := math.Inf(1)
		for set := range 1 << len(candidates) {
			room, cost, left := make([]types.Resources, 2), 0.0, slices.Clone(limits)
			allowed := true
			for i := range candidates {
				c := &candidates[i]
				switch {
				case c.endsItself():
					addParts(room, c)
				case set>>i&1 == 1:
					addParts(room, c)
					cost += c.cost()
					if c.Standing {
						left[c.Group] -= len(c.Parts)
					}
					allowed = allowed && c.Priority > 0 && !c.Protected
				}
			}
			if allowed && left[0] >= 0 && left[1] >= 0 && (claim.Demand.Fits(room[0]) || claim.Demand.Fits(room[1])) {
				best = min(best, cost)
			}
		}
		if len(p.Places) > 0 != (best < 1e5) || len(p.Places) > 0 && math.Abs(got-best) > 1e-9 {
			rt.Fatalf("cost %v for %d places, %v is possible: %+v of %+v", got, len(p.Places), best, p.Stops, candidates)
		}
	})
}

// BenchmarkPreempt measures a call at the target size, where each VM runs 14 tasks, of
// which several must be stopped for each waiting one.
func BenchmarkPreempt(b *testing.B) {
	const hosts, tasks, claims = 950, 14, 8
	var candidates []Candidate
	places := make([]Place, hosts)
	for host := range hosts {
		places[host] = Place{host, 20}
		for i := range tasks {
			c := runningTask(1+int64(i%3), float64((7*host+5*i)%23)/10)
			c.Parts[0].Host = host
			candidates = append(candidates, c)
		}
	}
	all := make([]Claim, claims)
	for i := range all {
		all[i] = Claim{Demand: cores(4), Tasks: 4, Places: places, Slack: time.Second, Path: time.Second, Work: 1000}
	}
	stops := 0
	for b.Loop() {
		stops = len(Preempt(all, make([]types.Resources, hosts), candidates, nil).Stops)
	}
	b.ReportMetric(float64(stops), "stops")
}
