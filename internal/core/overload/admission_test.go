package overload

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// overForecast returns a forecast of a queue whose jobs are expected after 60 s.
func overForecast() Forecast {
	q := QueueForecast{Queue: "q", Throughput: 10, Upper: 70, Largest: 90, Line: RunTimeLine{Slope: 1}}
	for i := range q.Classes {
		q.Classes[i] = ClassForecast{Expected: time.Minute, Path: 2 * time.Second, Objective: 5 * time.Second, Falls: 0.5}
	}
	return Forecast{Epoch: 1, Entries: 2, Queues: []QueueForecast{q}}
}

// testSubmission returns a job with an objective of 5 s.
func testSubmission(job string, size float64) Submission {
	return Submission{
		Job: job, Queue: "q", Measure: func(RunTimeLine) (time.Duration, float64) { return 2 * time.Second, size },
		Objective: func(time.Duration) time.Duration { return 5 * time.Second },
	}
}

// Guards against rejections for any reason but a valid forecast that the job would
// complete after its limit, with the margin, while no capacity is free.
func TestOnlyAValidForecastRejects(t *testing.T) {
	change := func(f func(*QueueForecast)) Forecast {
		forecast := overForecast()
		f(&forecast.Queues[0])
		return forecast
	}
	const limit = AbandonFactor * 5 * time.Second
	sub := testSubmission("j", 10)
	other, filling, noObjective, longest := sub, sub, sub, sub
	other.Queue, filling.Fills = "other", true
	noObjective.Objective = func(time.Duration) time.Duration { return 0 }
	longest.Measure = func(RunTimeLine) (time.Duration, float64) { return limit + 1, 10 }
	expected := func(d time.Duration) Forecast {
		return change(func(q *QueueForecast) { q.Classes[classOther].Expected = d })
	}
	for _, c := range []struct {
		name     string
		forecast Forecast
		seen     bool
		age      time.Duration
		sub      Submission
		cause    ForecastCause
		reject   bool
	}{
		{"over the limit", overForecast(), true, 0, sub, CauseNone, true},
		{"within the margin", expected(limit * 5 / 4), true, 0, sub, CauseNone, false},
		{"beyond the margin", expected(limit*5/4 + 1), true, 0, sub, CauseNone, true},
		{"capacity is free", change(func(q *QueueForecast) { q.Free = true }), true, 0, sub, CauseNone, false},
		{"other queue", overForecast(), true, 0, other, CauseNone, false},
		{"other pool", overForecast(), true, 0, filling, CauseNone, false},
		{"no objective", overForecast(), true, 0, noObjective, CauseNone, false},
		{"critical path over the limit", overForecast(), true, 0, longest, CauseNone, false},
		{"not stale yet", overForecast(), true, maxForecastAge, sub, CauseNone, true},
		{"stale", overForecast(), true, maxForecastAge + 1, sub, CauseStale, false},
		{"of unknown age", overForecast(), false, 0, sub, CauseStale, false},
		{"old, and no queue is over", Forecast{Epoch: 1}, true, time.Hour, sub, CauseNone, false},
	} {
		var a Admission
		a.Observe(c.forecast, testNow-c.age, c.seen)
		if cause := a.Cause(testNow); cause != c.cause {
			t.Errorf("%s: cause %q, want %q", c.name, cause, c.cause)
		}
		if v := a.Decide(testNow, c.sub); v.Reject != c.reject || v.Reject && (v.RetryAfter <= 0 || v.Limit != limit) {
			t.Errorf("%s: verdict %+v, want reject %v with limit %v and a retry time", c.name, v, c.reject, limit)
		}
	}
}

// Guards against size classes that are admitted less than half as often as their queue
// (counting each job once, however often its caller returns), and against rejections
// beside free capacity, in sequences of any sizes and forecasts.
func TestPropertyClassesAreAdmitted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var a Admission
		var seen, admitted [classCount]float64
		now := testNow
		// overShare is how many tenths of the forecasts of a class are over the limit.
		overShare := rapid.SliceOfN(rapid.IntRange(0, 10), int(classCount), int(classCount)).Draw(rt, "over share")
		for i := range rapid.IntRange(1, 300).Draw(rt, "jobs") {
			f := overForecast()
			q := &f.Queues[0]
			for class := range q.Classes {
				if rapid.IntRange(0, 9).Draw(rt, "over") >= overShare[class] {
					q.Classes[class].Expected = 18 * time.Second // within the margin
				}
			}
			q.Free = rapid.IntRange(0, 9).Draw(rt, "free") == 0
			a.Observe(f, now, true)
			size := rapid.SampledFrom([]float64{10, 80, 95}).Draw(rt, "size")
			sub, class := testSubmission(fmt.Sprint(i), size), q.class(size)
			seen[class]++
			for range rapid.IntRange(1, 4).Draw(rt, "attempts") {
				now += 500 * time.Millisecond
				v := a.Decide(now, sub)
				if !v.Reject {
					admitted[class]++
					break
				}
				if q.Free || q.Classes[class].Expected < AbandonFactor*5*time.Second*5/4 {
					rt.Fatalf("job %d is rejected with the forecast %+v", i, *q)
				}
			}
			all, allAdmitted := seen[0]+seen[1]+seen[2], admitted[0]+admitted[1]+admitted[2]
			// Other classes may be admitted until the next job of the class arrives.
			if admitted[class]+2 < minServed*allAdmitted/all*seen[class] {
				rt.Fatalf("admitted %v of %v jobs by class", admitted, seen)
			}
		}
	})
}

// Guards against callers that return at the same time, and retry times that ignore what
// was rejected before, are too long, or count callers that no longer return.
func TestRetryTimesAreSpread(t *testing.T) {
	var a Admission
	a.Observe(overForecast(), testNow, true)
	// The excess of 45 s falls by half of that time.
	if v := a.Decide(testNow, testSubmission("0", 1)); v.RetryAfter != maxRetry {
		t.Errorf("%+v, want a retry after %v", v, maxRetry)
	}
	f := overForecast()
	f.Queues[0].Classes[classOther].Expected = 20 * time.Second
	a.Observe(f, testNow, true)
	last := time.Duration(0)
	for i := range 5 {
		// Each job of 5 processor seconds stands for those of two entries.
		v := a.Decide(testNow, testSubmission(fmt.Sprint("job", i), 5))
		if !v.Reject || v.RetryAfter <= last || i > 0 && (v.RetryAfter-last-2*time.Second).Abs() > time.Millisecond {
			t.Errorf("rejection %d: %+v, want 2 s after the one before at %v", i, v, last)
		}
		last = v.RetryAfter
	}
	later := testNow + returnWindow + time.Millisecond
	a.Observe(f, later, true)
	if v := a.Decide(later, testSubmission("late", 5)); v.RetryAfter != 10*time.Second {
		t.Errorf("%+v after the callers are gone, want a retry after 10 s", v)
	}
}
