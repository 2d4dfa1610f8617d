package workflow

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Intervals between polls of a VM.
const (
	// minPollInterval is the shortest interval. Measurements cover a sliding
	// window of 500 ms; several polls in each window show early that a filling
	// task disturbs standing ones.
	minPollInterval = 120 * time.Millisecond
	// pollIntervalPerVM times the number of VMs limits the owner's polls to 250
	// a second, and those of contended VMs to another 250.
	pollIntervalPerVM = 4 * time.Millisecond
)

// PollInterval returns how long a VM's agent may hold a poll open before the
// owner reads its measurements. A large fleet cannot be polled often as a
// whole, so contended VMs, where tasks are slowed down or tails are too high,
// are polled as often as if they were the only ones.
func (o *Owner) PollInterval(id types.VMID) time.Duration {
	all := len(o.vmOrder)
	if v := o.vms[id]; v != nil && v.contended() {
		all = o.contended
	}
	return max(minPollInterval, time.Duration(all)*pollIntervalPerVM)
}

// contended reports whether the paces on the VM are likely to change soon.
func (v *vm) contended() bool {
	return v.targets > 0 && (v.lowestPace() < fullPace || v.filling > 0 && v.tail() > tailRising)
}
