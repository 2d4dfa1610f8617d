package overload

import (
	"math"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

const (
	// headroomWindow is the number of seconds over which the use by short work counts. It
	// covers several bursts, which last for seconds, and forgets a busy hour within a
	// minute.
	headroomWindow = 60
	// headroomPercentile leaves out the highest twentieth of the seconds, so that a single
	// burst does not keep standing tasks waiting.
	headroomPercentile = 0.95
	// maxHeadroomShare limits headroom to a share of the service's capacity. Short work
	// that uses all that standing tasks leave would otherwise delay each of them.
	maxHeadroomShare = 0.25
	// MaxHeadroomDelay is how long a standing task may wait for headroom. It is short
	// beside the minutes for which standing tasks run, and below the 3 s within which an
	// accepted job must run if there is room for it. Most of the short work that was lost
	// with the capacity has started again by then.
	MaxHeadroomDelay = 2 * time.Second
)

// Headroom is the capacity that the short work of one service usually uses at the same
// time: a high percentile of the highest reservations in each of the last seconds. The
// zero value is ready for use.
type Headroom struct {
	// peaks are the highest reservations by second, of which the last one is that of the
	// given second, and the first known ones are set.
	peaks  [headroomWindow]types.Resources
	second int64
	known  int
	usual  types.Resources
}

// Observe adds the sum of the reservations of work that is not standing.
func (h *Headroom) Observe(now time.Duration, reserved types.Resources) {
	second := int64(now / time.Second)
	switch {
	case h.known == 0:
		h.second, h.known = second, 1
	case second > h.second:
		h.usual = h.percentile()
		for range min(second-h.second, headroomWindow) {
			copy(h.peaks[1:], h.peaks[:headroomWindow-1])
			h.peaks[0] = types.Resources{}
			h.known = min(h.known+1, headroomWindow)
		}
		h.second = second
	}
	h.peaks[0] = h.peaks[0].Max(reserved)
}

// Usual returns the headroom as of the last full second.
func (h *Headroom) Usual() types.Resources { return h.usual }

// percentile returns the percentile of the known peaks in each dimension.
func (h *Headroom) percentile() types.Resources {
	of := func(amount func(types.Resources) int64) int64 {
		amounts := make([]int64, h.known)
		for i := range amounts {
			amounts[i] = amount(h.peaks[i])
		}
		slices.Sort(amounts)
		return amounts[int(math.Ceil(headroomPercentile*float64(h.known)))-1]
	}
	return types.Resources{
		MilliCPU:    of(func(r types.Resources) int64 { return r.MilliCPU }),
		MemoryBytes: of(func(r types.Resources) int64 { return r.MemoryBytes }),
	}
}

// StandingLimit returns how much of a service's capacity standing tasks may reserve.
func (h *Headroom) StandingLimit(capacity types.Resources) types.Resources {
	left := func(capacity, usual int64) int64 {
		return capacity - min(usual, int64(maxHeadroomShare*float64(capacity)))
	}
	return types.Resources{
		MilliCPU: left(capacity.MilliCPU, h.usual.MilliCPU), MemoryBytes: left(capacity.MemoryBytes, h.usual.MemoryBytes), Accelerators: capacity.Accelerators,
	}
}

// Delays reports whether standing tasks that have waited for a time and demand the given
// resources in total must wait for headroom, where reserved is what standing tasks of the
// service reserve already. They wait only if they would take headroom that is needed in
// the dimension.
func (h *Headroom) Delays(waited time.Duration, capacity, reserved, demand types.Resources) bool {
	if waited >= MaxHeadroomDelay || h.usual.IsZero() {
		return false
	}
	limit, after := h.StandingLimit(capacity), reserved.Add(demand)
	return demand.MilliCPU > 0 && h.usual.MilliCPU > 0 && after.MilliCPU > limit.MilliCPU ||
		demand.MemoryBytes > 0 && h.usual.MemoryBytes > 0 && after.MemoryBytes > limit.MemoryBytes
}
