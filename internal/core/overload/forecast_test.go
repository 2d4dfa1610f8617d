package overload

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an expected time that ignores work ahead of the job, or counts work that
// goes after it or that is worthless before it could be done.
func TestExpectedTimes(t *testing.T) {
	// Jobs of 10 processor seconds with an objective of 5 s. The throughput is 10
	// processors.
	job := Arrival{Priority: 1, Size: 10, Path: 2 * time.Second, Objective: 5 * time.Second}
	item := func(left float64, due time.Duration) Work {
		return Work{Priority: 1, Left: left, Due: testNow + due, Abandon: testNow + due + time.Minute}
	}
	higher, lower, running := item(50, time.Hour), item(50, time.Hour), item(50, time.Hour)
	higher.Priority, lower.Priority, running.Started = 0, 2, true
	hopeless := item(5, time.Hour)
	hopeless.Abandon = testNow + 100*time.Millisecond
	for _, c := range []struct {
		name string
		work []Work
		// arrivals is the number of equal jobs that arrived in the last 10 s, in a queue of
		// the given priority.
		arrivals, priority int
		want               time.Duration
	}{
		{"nothing waits", nil, 0, 0, 2 * time.Second},
		{"equal work that came before", []Work{item(10, time.Hour)}, 0, 0, 3 * time.Second},
		{"larger work goes after it", []Work{item(50, time.Hour)}, 0, 0, 2 * time.Second},
		{"larger work that has started", []Work{running}, 0, 0, 7 * time.Second},
		{"higher priority", []Work{higher}, 0, 0, 7 * time.Second},
		{"lower priority", []Work{lower}, 0, 0, 2 * time.Second},
		{"late work while the job is in time", []Work{item(10, -time.Second)}, 0, 0, 2 * time.Second},
		{"late work once the job is late", []Work{item(10, -time.Second), higher}, 0, 0, 8 * time.Second},
		{"worthless work", []Work{{Left: 50, Abandon: testNow}, hopeless}, 0, 0, 2 * time.Second},
		{"arrivals take half of the throughput", []Work{item(10, time.Hour)}, 5, 0, 4 * time.Second},
		{"arrivals take all of the throughput for 10 s", []Work{higher}, 10, 0, (5 + 10 + 2) * time.Second},
		{"equal work that comes later", []Work{item(10, time.Hour)}, 5, 1, 3 * time.Second},
	} {
		p := Pool{Now: testNow, Throughput: testThroughput, Work: c.work, Arrivals: &Arrivals{}}
		job.At = testNow - time.Minute
		p.Arrivals.Add("q", job) // a usual job before the window
		for i := range c.arrivals {
			p.Arrivals.Add("p", Arrival{At: testNow - time.Duration(i)*time.Second, Priority: c.priority, Size: job.Size})
		}
		queues := Predict(p)
		q := queues[len(queues)-1]
		if got := q.Classes[q.class(job.Size)].Expected; (got - c.want).Abs() > time.Millisecond {
			t.Errorf("%s: expected time %v, want %v", c.name, got, c.want)
		}
	}
}

func drawPool(rt *rapid.T) Pool {
	p := Pool{Now: testNow, Throughput: rapid.Float64Range(0, 50).Draw(rt, "throughput"), Free: rapid.Bool().Draw(rt, "free"), Arrivals: &Arrivals{}}
	for _, oc := range drawOccurrences(rt, 40, 3, false) {
		p.Work = append(p.Work, Work{Priority: oc.Priority, Left: oc.Work, Path: oc.CriticalPath, Due: oc.Due, Abandon: oc.Due + 10*time.Second, Started: rapid.Bool().Draw(rt, "started")})
	}
	for range rapid.IntRange(1, 2*arrivalMemory).Draw(rt, "arrivals") {
		p.Arrivals.Add(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "queue"), Arrival{
			At: testNow - time.Duration(rapid.IntRange(-1, 20).Draw(rt, "age"))*time.Second, Priority: rapid.IntRange(0, 2).Draw(rt, "priority"),
			Size: rapid.Float64Range(0, 1000).Draw(rt, "size"), Path: time.Duration(rapid.IntRange(0, 9).Draw(rt, "path")) * time.Second, Objective: time.Duration(rapid.IntRange(0, 9).Draw(rt, "objective")) * time.Second,
		})
	}
	return p
}

// Guards against a forecast that depends on the order of its input or changes it, that is
// not finite, or that is shorter than the critical path.
func TestPropertyForecastIsFiniteAndDeterministic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPool(rt)
		work := slices.Clone(p.Work)
		queues := Predict(p)
		if !reflect.DeepEqual(work, p.Work) || !reflect.DeepEqual(queues, Predict(p)) {
			rt.Fatal("the forecast changes its input or is not deterministic")
		}
		if Changed(queues, Predict(p)) {
			rt.Fatal("an equal forecast counts as changed")
		}
		slices.Reverse(p.Work)
		if reversed := Predict(p); !reflect.DeepEqual(queues, reversed) {
			rt.Fatalf("the forecast depends on the order of the work: %+v and %+v", queues, reversed)
		}
		for _, q := range queues {
			for _, c := range q.Classes {
				if c.Expected < c.Path || c.Expected > maxExpected || math.IsNaN(c.Falls) || c.Falls < 0 || c.Falls > 1 {
					rt.Fatalf("forecast %+v of %+v", c, p)
				}
			}
		}
	})
}
