package workflow

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Times between looks at a VM.
const (
	// minPollInterval is the least: figures of tasks cover the last half second and slide
	// with it, so that a task that presses on standing ones shows within it.
	minPollInterval = 120 * time.Millisecond
	// pollIntervalPerVM times the number of VMs bounds the owner's calls to 250 a second, and
	// those to VMs in conflict to as many.
	pollIntervalPerVM = 4 * time.Millisecond
)

// PollInterval returns how long the agent of a VM may wait for news before the owner
// looks at its figures. The load that it answers is a fleet so large that the owner
// cannot look at all VMs often: those where tasks are slowed down, or tails are above
// what is wanted, are looked at as often as if there were no others.
func (o *Owner) PollInterval(id types.VMID) time.Duration {
	all := len(o.vmOrder)
	if v := o.vms[id]; v != nil && v.contended() {
		all = o.contended
	}
	return max(minPollInterval, time.Duration(all)*pollIntervalPerVM)
}

// contended reports whether the paces on the VM are likely to change soon.
func (v *vm) contended() bool {
	return v.targets > 0 && (v.slowest() < fullPace || v.filling > 0 && v.tail() > tailWanted)
}
