package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// AbandonFactor is a multiple of the objective of a job. The result of a job that
	// takes longer is worthless to its caller.
	AbandonFactor = 3
	// arrivalWindow is the time over which arrivals are counted, and for which a
	// forecast assumes that they go on. In 10 s about 20 large jobs of the deployments
	// arrive, which gives the rate a standard error of 22%; bursts last for about 6 s.
	arrivalWindow = 10 * time.Second
	// arrivalMemory is the number of arrivals of a queue that are kept: those of
	// arrivalWindow at the 14 short jobs per second of the deployments.
	arrivalMemory = 150
	// publishChange is the relative change of an expected time from which on a
	// forecast is published again. It is half of the forecast error that forecastMargin
	// allows for.
	publishChange = 0.1
	// minPublishChange is the least change of an expected time that counts: the interval
	// between two forecasts, since an expected time cannot be more exact.
	minPublishChange = time.Second
	// minForecastThroughput keeps expected times finite.
	minForecastThroughput = 1e-3
	// maxExpected bounds expected times. Callers' objectives are seconds to minutes.
	maxExpected = time.Hour
)

// ClassNames are the names of size classes in metrics.
var ClassNames = [classCount]string{classOther: "other", classUpper: "upper", classLargest: "largest"}

// Work is an unfinished occurrence of a job. Due and Abandon are times on the clock of
// the forecast.
type Work struct {
	Priority int
	// Left is the remaining work in processor seconds, Path the remaining critical path.
	Left float64
	Path time.Duration
	// Due is when its objective ends, Abandon when its result becomes worthless.
	Due, Abandon time.Duration
	// Started: a task of it runs or is done.
	Started bool
}

// Arrival is an occurrence that has arrived.
type Arrival struct {
	At       time.Duration
	Priority int
	// Size is its work in processor seconds, Path its critical path.
	Size            float64
	Path, Objective time.Duration
}

// Arrivals records the last arrivals of each queue. The zero value is ready for use. It
// is not safe for concurrent use.
type Arrivals struct {
	queues map[string]*arrivalRing
}

// arrivalRing holds the last arrivals; next is the index of the oldest once it is full.
type arrivalRing struct {
	recent []Arrival
	next   int
}

// Add records an arrival.
func (a *Arrivals) Add(queue string, x Arrival) {
	r := a.queues[queue]
	if r == nil {
		if a.queues == nil {
			a.queues = make(map[string]*arrivalRing)
		}
		r = &arrivalRing{}
		a.queues[queue] = r
	}
	if len(r.recent) < arrivalMemory {
		r.recent = append(r.recent, x)
		return
	}
	r.recent[r.next] = x
	r.next = (r.next + 1) % arrivalMemory
}

// Len returns the number of queues.
func (a *Arrivals) Len() int { return len(a.queues) }

// Retain drops the queues for which keep returns false.
func (a *Arrivals) Retain(keep func(queue string) bool) {
	for queue := range a.queues {
		if !keep(queue) {
			delete(a.queues, queue)
		}
	}
}

// window returns the time over which the rate of arrivals is taken: arrivalWindow, or
// less if the ring does not reach back as far.
func (r *arrivalRing) window(now time.Duration) time.Duration {
	if len(r.recent) < arrivalMemory {
		return arrivalWindow
	}
	// The lower bound keeps the rate finite when all arrivals have the same time.
	return max(time.Second, min(arrivalWindow, now-r.recent[r.next].At))
}

// Pool is the work that competes for the same processors.
type Pool struct {
	Now time.Duration
	// Throughput is the processors that the work gets.
	Throughput float64
	// Free: capacity is free, or it is not known that none is.
	Free     bool
	Work     []Work
	Arrivals *Arrivals
}

// RunTimeLine estimates run times: the logarithm of the expected run time in seconds is
// Intercept plus Slope times that of the declared one.
type RunTimeLine struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
}

// Expected returns the expected run time, at most maxExpected, for a positive declared
// one.
func (l RunTimeLine) Expected(declared time.Duration) time.Duration {
	log := l.Intercept + l.Slope*math.Log(max(declared, time.Millisecond).Seconds())
	return time.Duration(math.Exp(min(log, math.Log(maxExpected.Seconds()))) * float64(time.Second))
}

// ClassForecast is the forecast for a size class of a queue.
type ClassForecast struct {
	// Expected is the time from acceptance to completion of a job that arrives now, of
	// which Path is its critical path. Objective is the usual one of the class.
	Expected  time.Duration `json:"expected"`
	Path      time.Duration `json:"path"`
	Objective time.Duration `json:"objective"`
	// Falls is by how much Expected falls in a unit of time, from 0 to 1.
	Falls float64 `json:"falls"`
}

// over reports whether a usual job of the class would complete when it is worthless.
func (c *ClassForecast) over() bool {
	return c.Objective > 0 && c.Path <= AbandonFactor*c.Objective && c.Expected > AbandonFactor*c.Objective
}

// QueueForecast is the forecast for the jobs of a queue whose work competes in one pool.
type QueueForecast struct {
	Queue string `json:"queue"`
	// Fills: the pool is that of filling work.
	Fills bool `json:"fills,omitempty"`
	// Free: capacity is free, so that nothing may be rejected.
	Free       bool    `json:"free,omitempty"`
	Throughput float64 `json:"throughput"`
	// Upper and Largest are the least sizes of the fifth below the largest tenth and of
	// the largest tenth, in processor seconds. 0 means that there are no classes yet.
	Upper   float64                   `json:"upper,omitempty"`
	Largest float64                   `json:"largest,omitempty"`
	Line    RunTimeLine               `json:"line"`
	Classes [classCount]ClassForecast `json:"classes"`
}

// Over reports whether jobs of a size class would complete when they are worthless, and
// no capacity is free.
func (q *QueueForecast) Over() bool {
	return !q.Free && slices.ContainsFunc(q.Classes[:], func(c ClassForecast) bool { return c.over() })
}

// Worst returns the expected time and the limit of the size class that exceeds its limit
// by the greatest factor.
func (q *QueueForecast) Worst() (expected, limit time.Duration) {
	worst := 0.0
	for i := range q.Classes {
		c := &q.Classes[i]
		if factor := float64(c.Expected) / float64(AbandonFactor*c.Objective); c.over() && factor > worst {
			worst, expected, limit = factor, c.Expected, AbandonFactor*c.Objective
		}
	}
	return expected, limit
}

// class returns the size class of a job.
func (q *QueueForecast) class(size float64) sizeClass {
	switch {
	case q.Largest > 0 && size >= q.Largest:
		return classLargest
	case q.Upper > 0 && size >= q.Upper:
		return classUpper
	default:
		return classOther
	}
}

// Predict returns the forecasts of the queues that have arrivals, ordered by queue. It
// follows the order in which the owner places work: work that can be in time before late
// work, then by priority, then what has started, then the least remaining work.
func Predict(p Pool) []QueueForecast {
	s := newSchedule(&p)
	queues := make([]QueueForecast, 0, p.Arrivals.Len())
	for queue, ring := range p.Arrivals.queues {
		queues = append(queues, s.queue(queue, ring))
	}
	slices.SortFunc(queues, func(a, b QueueForecast) int { return cmp.Compare(a.Queue, b.Queue) })
	return queues
}

// schedule is the work of a pool in the order in which it is served.
type schedule struct {
	pool       *Pool
	throughput float64
	inTime     []Work
	late       []Work
	// rates holds the work per second that arrives, by the arrivals that have caused it.
	rates []arrivalRate
}

type arrivalRate struct {
	priority int
	size     float64
	rate     float64 // processor seconds per second
}

func newSchedule(p *Pool) *schedule {
	s := &schedule{pool: p, throughput: max(p.Throughput, minForecastThroughput)}
	for _, w := range p.Work {
		switch {
		case p.Now >= w.Abandon:
		case p.Now+w.Path <= w.Due:
			s.inTime = append(s.inTime, w)
		default:
			s.late = append(s.late, w)
		}
	}
	slices.SortFunc(s.inTime, compareWork)
	slices.SortFunc(s.late, compareWork)
	for _, ring := range p.Arrivals.queues {
		window := ring.window(p.Now)
		for _, x := range ring.recent {
			if x.At >= p.Now-window {
				s.rates = append(s.rates, arrivalRate{x.Priority, x.Size, x.Size / window.Seconds()})
			}
		}
	}
	// Sums of floating-point numbers depend on their order, that of a map varies.
	slices.SortFunc(s.rates, func(a, b arrivalRate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.size, b.size), cmp.Compare(a.rate, b.rate))
	})
	return s
}

func compareWork(a, b Work) int {
	started := func(w Work) int {
		if w.Started {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(started(a), started(b)), cmp.Compare(a.Left, b.Left), cmp.Compare(a.Abandon, b.Abandon))
}

// queue returns the forecast of a queue.
func (s *schedule) queue(queue string, ring *arrivalRing) QueueForecast {
	q := QueueForecast{Queue: queue, Free: s.pool.Free, Throughput: s.throughput}
	if n := len(ring.recent); n >= minSizes {
		sizes := make([]float64, n)
		for i := range ring.recent {
			sizes[i] = ring.recent[i].Size
		}
		slices.Sort(sizes)
		q.Upper, q.Largest = sizes[n*7/10], sizes[n*9/10]
	}
	var sums [classCount]struct {
		n, size, path, objective float64
		priority                 int
	}
	for i := range ring.recent {
		x := &ring.recent[i]
		sum := &sums[q.class(x.Size)]
		sum.n++
		sum.size += x.Size
		sum.path += float64(x.Path)
		sum.objective += float64(x.Objective)
		sum.priority = x.Priority
	}
	for class, sum := range sums {
		if sum.n > 0 {
			q.Classes[class] = s.predict(sum.priority, sum.size/sum.n, time.Duration(sum.path/sum.n), time.Duration(sum.objective/sum.n))
		}
	}
	return q
}

// predict returns the forecast for a job that arrives now. While it can be in time, only
// other such work goes before it; afterwards all of that, and late work with less work.
func (s *schedule) predict(priority int, size float64, path, objective time.Duration) ClassForecast {
	c := ClassForecast{Path: path, Objective: objective}
	// Among equal work, what came before goes first.
	arrived := Work{Priority: priority, Left: size, Abandon: math.MaxInt64}
	before := func(w Work) bool { return compareWork(w, arrived) <= 0 }
	rate, all := 0.0, 0.0
	for _, x := range s.rates {
		all += x.rate
		if compareWork(Work{Priority: x.priority, Left: x.size, Abandon: math.MaxInt64}, arrived) < 0 {
			rate += x.rate
		}
	}
	wait := s.wait(s.workBefore(0, s.inTime, before), rate)
	if wait > objective-path {
		rate = all
		ahead := s.workBefore(0, s.inTime, func(Work) bool { return true })
		wait = max(wait, s.wait(s.workBefore(ahead, s.late, before), rate))
	}
	c.Expected = min(maxExpected, wait+max(path, seconds(size/s.throughput)))
	c.Falls = max(0, 1-rate/s.throughput)
	return c
}

// workBefore adds to the work that is ahead of a job that of the given items, up to the
// first one that does not go before it. Items that become worthless before they could be
// done do not count.
func (s *schedule) workBefore(ahead float64, items []Work, before func(Work) bool) float64 {
	for _, w := range items {
		if !before(w) {
			break
		}
		if s.pool.Now+seconds((ahead+w.Left)/s.throughput) <= w.Abandon {
			ahead += w.Left
		}
	}
	return ahead
}

// wait returns how long it takes to do the work ahead, and the work that arrives at a
// rate meanwhile, but for arrivalWindow at most.
func (s *schedule) wait(ahead, rate float64) time.Duration {
	all := seconds((ahead + rate*arrivalWindow.Seconds()) / s.throughput)
	if all >= arrivalWindow {
		return all
	}
	return seconds(ahead / (s.throughput - rate))
}

// seconds converts a number of seconds, at most maxExpected.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxExpected.Seconds()) * float64(time.Second))
}

// Changed reports whether a forecast differs so much from the published one that it
// should be published again.
func Changed(published, current []QueueForecast) bool {
	return !slices.EqualFunc(published, current, func(a, b QueueForecast) bool {
		if a.Queue != b.Queue || a.Fills != b.Fills || a.Free != b.Free {
			return false
		}
		for i := range a.Classes {
			before, after := a.Classes[i].Expected, b.Classes[i].Expected
			if (after - before).Abs() > max(minPublishChange, time.Duration(publishChange*float64(before))) {
				return false
			}
		}
		return true
	})
}
