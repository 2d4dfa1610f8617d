package estimate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

func resources(m int64) types.Resources { return types.Resources{MilliCPU: m, MemoryBytes: m << 20} }

// finish runs n tasks of kind k to their end, one after another, with the given
// peak and run time. It returns the time at which their reports are complete.
func finish(e *Estimator, now time.Duration, n int, peak types.Resources, run time.Duration) time.Duration {
	for i := range n {
		id := types.TaskID(fmt.Sprintf("k/%d/%d", now, i))
		e.Start(now, id, "k", resources(1000), resources(1000), 0)
		e.Usage(now+run/2, now+run/2, id, peak)
		now += run
		e.End(now, id, EndCompleted)
	}
	now += lateReportWindow
	e.Sweep(now)
	return now
}

func checkWithin(t *testing.T, what string, got, want int64, tolerance float64) {
	t.Helper()
	if f := float64(got) / float64(want); f > 1+tolerance || f < 1-tolerance {
		t.Errorf("%s = %d, want %d within %.0f%%", what, got, want, 100*tolerance)
	}
}

// Guards against declared sizes that are off by a factor of five either way
// being kept forever.
func TestSizeLearnsFromWrongDeclaration(t *testing.T) {
	for _, actual := range []int64{200, 5000} {
		e := New(Options{})
		if got := e.Size(0, "k", resources(1000)); got != resources(1000) {
			t.Fatalf("without samples got %v, want the declared size", got)
		}
		now := time.Hour
		for range 40 {
			now = finish(e, now, 5, resources(actual), 10*time.Minute)
			e.Size(now, "k", resources(1000))
		}
		got := e.Size(now, "k", resources(1000))
		// A bucket is 4.5% wide, and a reservation may stay up to 9% above its
		// target (lowerThreshold).
		checkWithin(t, fmt.Sprint("size for ", actual), got.MilliCPU, actual, 0.3)
	}
}

// Guards against a slow raise: one finished task far above the declared size
// must move the next reservation most of the way to it.
func TestSizeRaisesFast(t *testing.T) {
	e := New(Options{})
	now := finish(e, time.Hour, 1, resources(4000), time.Minute)
	if got := e.Size(now, "k", resources(1000)); got.MilliCPU < 2000 {
		t.Fatalf("after one sample of 4000m got %dm, want at least 2000m", got.MilliCPU)
	}
}

// Guards against interrupted and running tasks lowering the learned run times:
// for long tasks interrupted after 10 minutes, a plain average gives 10
// minutes.
func TestCensoredRunTimes(t *testing.T) {
	e := New(Options{})
	now := time.Hour
	for i := range 20 {
		id := types.TaskID(fmt.Sprint("cut", i))
		e.Start(now, id, "k", resources(1000), resources(1000), 0)
		e.End(now+10*time.Minute, id, EndInterrupted)
	}
	now = finish(e, now, 10, resources(500), time.Hour)
	got := e.RunTime(now, "k", time.Minute, 0, 0.5)
	checkWithin(t, "median run time in seconds", int64(got.Seconds()), 3600, 0.3)
	left := e.RunTime(now, "k", time.Minute, 50*time.Minute, 0.5)
	// 1 h minus 50 min is 600 s. The bucket width and the prior of 50 min, as the
	// declared time has passed, raise the estimate.
	checkWithin(t, "time left after 50 minutes", int64(left.Seconds()), 700, 0.5)
}

// Guards against losing reports that arrive after the task ended, and against
// counting reports of an earlier attempt.
func TestLateReports(t *testing.T) {
	e := New(Options{})
	e.Start(time.Hour, "t", "k", resources(1000), resources(1000), 0)
	e.Usage(time.Hour, time.Hour-time.Second, "t", resources(9000))
	e.End(time.Hour+time.Minute, "t", EndCompleted)
	e.Usage(time.Hour+80*time.Second, time.Hour+50*time.Second, "t", resources(3000))
	e.Sweep(time.Hour + 3*time.Minute)
	got := e.Size(time.Hour+3*time.Minute, "k", resources(1000))
	if got.MilliCPU < 2000 || got.MilliCPU > 4000 {
		t.Fatalf("size %dm, want it from the late report of 3000m", got.MilliCPU)
	}
}

// Guards against reservations below observed use, reservations that are lowered
// faster than the hold time and step allow, and reservations that are raised
// late.
func TestPropertyReservationHysteresis(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := New(Options{})
		now := finish(e, time.Hour, rapid.IntRange(0, 20).Draw(rt, "history"), resources(300), time.Minute)
		reserved := resources(2000)
		e.Start(now, "t", "k", resources(2000), reserved, 0)
		var peak types.Resources
		loweredAt := now - lowerHold
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Minute
			use := resources(rapid.Int64Range(10, 4000).Draw(rt, "use"))
			peak = peak.Max(use)
			if c, ok := e.Usage(now, now-30*time.Second, "t", use); ok {
				reserved = c.Reserved
			}
			if !peak.Fits(reserved) {
				rt.Fatalf("reserved %v below observed %v", reserved, peak)
			}
			for _, c := range e.Sweep(now) {
				if c.Reserved.MilliCPU < reserved.MilliCPU {
					if float64(c.Reserved.MilliCPU) < lowerStep*float64(reserved.MilliCPU)-1 || now-loweredAt < lowerHold {
						rt.Fatalf("lowered from %v to %v after %v", reserved, c.Reserved, now-loweredAt)
					}
					loweredAt = now
				}
				reserved = c.Reserved
			}
			if !peak.Fits(reserved) {
				rt.Fatalf("sweep left %v below observed %v", reserved, peak)
			}
		}
	})
}

// Guards against unbounded memory when each job has a kind of its own.
func TestKindsBounded(t *testing.T) {
	e := New(Options{MaxKinds: 10})
	for i := range 100 {
		e.Size(time.Duration(i), fmt.Sprint(i), resources(1))
	}
	if len(e.kinds) != 10 {
		t.Fatalf("%d kinds kept, want 10", len(e.kinds))
	}
}

// Guards against losing the learned data when the owner changes.
func TestSnapshotRestores(t *testing.T) {
	e := New(Options{})
	now := finish(e, time.Hour, 30, resources(5000), time.Minute)
	f := New(Options{})
	f.Restore(time.Second, e.Snapshot())
	if got, want := f.Size(time.Second, "k", resources(1000)), e.Size(now, "k", resources(1000)); got != want {
		t.Fatalf("restored size %v, want %v", got, want)
	}
}
