package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Load: short work reserves 10 cores for a minute, with a burst of 40 for two seconds, then
// nothing. Guards against headroom that follows single bursts, forgets at once, or stays.
func TestHeadroomFollowsShortWork(t *testing.T) {
	var h Headroom
	now := time.Minute
	run := func(seconds int, n int64) {
		for range 10 * seconds {
			h.Observe(now, cores(n))
			now += 100 * time.Millisecond
		}
	}
	for _, c := range []struct {
		seconds     int
		cores, want int64
	}{{2, 10, 10}, {60, 10, 10}, {2, 40, 10}, {20, 10, 10}, {20, 0, 10}, {50, 0, 0}} {
		run(c.seconds, c.cores)
		if got := h.Usual(); got != cores(c.want) {
			t.Errorf("after %d s with %d cores in use: headroom %v, want %d cores", c.seconds, c.cores, got, c.want)
		}
	}
}

// Guards against standing tasks that are refused, that wait although the service has no
// short work, and against headroom that leaves them less than their share.
func TestPropertyHeadroomDelaysForABoundedTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var h Headroom
		short := drawResources(rt, "short", 0, 200)
		for now := time.Duration(0); now < 3*time.Second; now += 100 * time.Millisecond {
			h.Observe(now, short)
		}
		capacity, reserved, demand := drawResources(rt, "capacity", 1, 100), drawResources(rt, "reserved", 0, 100), drawResources(rt, "demand", 0, 10)
		if h.Delays(MaxHeadroomDelay, capacity, reserved, demand) {
			rt.Fatal("a task that has waited for the longest time is delayed")
		}
		delayed := h.Delays(0, capacity, reserved, demand)
		if delayed && (short.IsZero() || demand.IsZero()) {
			rt.Fatalf("demand %v is delayed for short work of %v", demand, short)
		}
		limit := h.StandingLimit(capacity)
		if float64(limit.MilliCPU) < (1-maxHeadroomShare)*float64(capacity.MilliCPU) || !limit.Fits(capacity) {
			rt.Fatalf("standing tasks get %v of %v", limit, capacity)
		}
		if after := reserved.Add(demand); after.Fits(limit) && delayed {
			rt.Fatalf("%v fits into %v and is delayed", after, limit)
		}
		if (types.Resources{}) != h.Usual() && !h.Delays(0, capacity, capacity, cores(1)) && short.MilliCPU > 0 {
			rt.Fatalf("a task that would take all headroom is not delayed")
		}
	})
}
