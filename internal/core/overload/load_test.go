package overload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The large jobs of the first deployment (docs/design/parts.md): two steps of 20 tasks,
// each 2.2 s on 1.8 cores, with sizes that spread log-normally.
const (
	simTick  = 50 * time.Millisecond
	simPath  = 4400 * time.Millisecond
	simWork  = 2 * 20 * 2.2 * 1.8
	simUsual = 2.08 // jobs per second
)

// simJob is a job whose work is divisible. It uses at most size/path processors.
type simJob struct {
	due             time.Duration
	size, left      float64
	path            time.Duration
	settled, inTime bool
}

// simQueue runs jobs on a fixed throughput in the order of a policy.
type simQueue struct {
	throughput float64
	now        time.Duration
	active     []*simJob
	classes    Classes
	less       func(q *simQueue) func(a, b *simJob) int
}

func (q *simQueue) pathLeft(j *simJob) time.Duration {
	return time.Duration(float64(j.path) * j.left / j.size)
}

func (q *simQueue) tick() {
	q.now += simTick
	slices.SortStableFunc(q.active, q.less(q))
	capacity := q.throughput * simTick.Seconds()
	for _, j := range q.active {
		work := min(capacity, j.left, j.size/j.path.Seconds()*simTick.Seconds())
		j.left -= work
		capacity -= work
		if done := j.left <= 1e-9; !j.settled && (done || q.now > j.due) {
			j.settled, j.inTime = true, q.now <= j.due
			q.classes.Ended("q", j.size, j.inTime)
		}
	}
	q.active = slices.DeleteFunc(q.active, func(j *simJob) bool { return j.left <= 1e-9 || q.now > j.due+time.Minute })
}

func boolKey(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (q *simQueue) late(j *simJob) int { return boolKey(q.now+q.pathLeft(j) > j.due) }

// byLeastWork is the order without a plan.
func byLeastWork(q *simQueue) func(a, b *simJob) int {
	return func(a, b *simJob) int {
		return cmp.Or(cmp.Compare(q.late(a), q.late(b)), cmp.Compare(boolKey(a.left == a.size), boolKey(b.left == b.size)), cmp.Compare(a.left, b.left))
	}
}

// byPlan is the order with a plan.
func byPlan(q *simQueue) func(a, b *simJob) int {
	inTime := slices.DeleteFunc(slices.Clone(q.active), func(j *simJob) bool { return q.late(j) == 1 })
	input := make([]Occurrence, len(inTime))
	for i, j := range inTime {
		input[i] = Occurrence{Due: j.due, Work: j.left, CriticalPath: q.pathLeft(j), Protected: q.classes.Protected("q", j.size)}
	}
	position := make(map[*simJob]time.Duration)
	for i, deferred := range Plan(q.now, q.throughput, input) {
		position[inTime[i]] = input[i].Position()
		if deferred {
			position[inTime[i]] = math.MaxInt64
		}
	}
	return func(a, b *simJob) int {
		return cmp.Or(cmp.Compare(q.late(a), q.late(b)), cmp.Compare(position[a], position[b]), cmp.Compare(a.left, b.left))
	}
}

// simLoad is arrivals: rate, multiplied by burst between burstAt and burstEnd.
type simLoad struct {
	rate, burst             float64
	burstAt, burstEnd, ends time.Duration
}

// run returns the shares of jobs that were in time: of all, of the fifth below the largest
// tenth, and of the largest tenth.
func run(seed uint64, load simLoad, throughput float64, less func(*simQueue) func(a, b *simJob) int) [3]float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	q := &simQueue{throughput: throughput, less: less}
	var all []*simJob
	for next := time.Duration(0); q.now < load.ends || len(q.active) > 0; q.tick() {
		for next <= q.now && next < load.ends {
			scale := math.Exp(0.6 * rng.NormFloat64())
			j := &simJob{size: simWork * scale, left: simWork * scale, path: time.Duration(float64(simPath) * math.Sqrt(scale))}
			j.due = q.now + time.Second + 2*j.path
			q.classes.Arrived("q", j.size)
			q.active, all = append(q.active, j), append(all, j)
			rate := load.rate
			if next >= load.burstAt && next < load.burstEnd {
				rate *= load.burst
			}
			next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		}
	}
	slices.SortFunc(all, func(a, b *simJob) int { return cmp.Compare(a.size, b.size) })
	share := func(jobs []*simJob) float64 {
		in := 0
		for _, j := range jobs {
			in += boolKey(j.inTime)
		}
		return float64(in) / float64(len(jobs))
	}
	n := len(all)
	return [3]float64{share(all), share(all[n*7/10 : n*9/10]), share(all[n*9/10:])}
}

// Load: a burst of large jobs of 2.4 times the usual rate for 6 s, and overload for
// minutes, on a fixed throughput. Guards against a plan that gets fewer jobs in time than
// least remaining work in the burst, and against size classes that are in time less than
// half as often as all jobs. Without protection, 0.20 of the largest tenth are in time in
// overload of 1.5 times the usual rate, and 0.84 of all jobs.
func TestBurstAndOverload(t *testing.T) {
	burst := simLoad{rate: simUsual, burst: 2.4, burstAt: 10 * time.Second, burstEnd: 16 * time.Second, ends: 30 * time.Second}
	long := func(factor float64) simLoad { return simLoad{rate: factor * simUsual, ends: 4 * time.Minute} }
	for _, c := range []struct {
		name       string
		load       simLoad
		throughput float64 // as a multiple of the mean work per second of the usual rate
		seeds      uint64
		better     bool
	}{
		{"burst, throughput 1.25", burst, 1.25, 8, true},
		{"burst, throughput 1.5", burst, 1.5, 8, true},
		{"overload 1.5", long(1.5), 1.2, 2, false},
		{"overload 2.4", long(2.4), 1.2, 2, false},
		{"overload 3", long(3), 1, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var plan, leastWork [3]float64
			for seed := range c.seeds {
				p, l := run(seed, c.load, c.throughput*simUsual*simWork, byPlan), run(seed, c.load, c.throughput*simUsual*simWork, byLeastWork)
				for i := range plan {
					plan[i] += p[i] / float64(c.seeds)
					leastWork[i] += l[i] / float64(c.seeds)
				}
			}
			t.Logf("in time with the plan %.2f, by least work %.2f (all, fifth below the largest tenth, largest tenth)", plan, leastWork)
			if c.better && plan[0] <= leastWork[0] {
				t.Errorf("%.3f of the jobs are in time with the plan, %.3f by least remaining work", plan[0], leastWork[0])
			}
			if least := min(plan[1], plan[2]); least < plan[0]/2 {
				t.Errorf("%.2f of a size class are in time, %.2f of all jobs", least, plan[0])
			}
		})
	}
}
