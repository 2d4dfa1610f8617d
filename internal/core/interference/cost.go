package interference

import (
	"math"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Speed returns the speed at which a new task of a kind starts on a VM, as a
// fraction of full speed. It equals the speed of the tasks of that kind that
// already run on the VM.
func (c *Controller) Speed(vm types.VMID, kind string) float64 {
	if v := c.vms[vm]; v != nil {
		return c.factor(v.stage[kind])
	}
	return 1
}

// Cost returns the cost of placing a task of a kind that uses share of a VM's
// processors: the highest pressure predicted for the VM's services with the
// task, multiplied by the tail latency weight. If the VM may explore, the
// prediction is the mean of each pairing, otherwise mean plus standard deviation.
// If the kind is throttled on the VM, the pressure counts as higher by 1. The cost
// of an unknown VM is 0.
func (c *Controller) Cost(now time.Duration, vm types.VMID, kind string, share float64) float64 {
	v := c.vms[vm]
	if v == nil {
		return 0
	}
	explore := c.mayExplore(now, v)
	var maxPressure float64
	for name, r := range v.services {
		mean, deviation := c.model.Predict(kind, name, r.level)
		if !explore {
			mean += deviation
		}
		info := c.services[name]
		// The lower bound 0.1 prevents a division by values near zero.
		pressure := r.pressure + mean*share/max(info.ToleratedSlowdown-1, 0.1)
		maxPressure = max(maxPressure, pressure)
	}
	if v.stage[kind] > 0 {
		maxPressure++ // The task would start throttled.
	}
	return c.opt.Weights.TailLatency * maxPressure
}

// mayExplore reports whether a VM may run a task whose effect on its services is
// unknown. All services on the VM must have a recent measurement and a pressure
// below maxExplorationPressure, and none of them may be an urgent service at high
// load. Unless the VM explores already, the share of VMs that do must also be
// below maxExploringShare, but one VM may always explore.
func (c *Controller) mayExplore(now time.Duration, v *vmControl) bool {
	for name, r := range v.services {
		if now-r.takenAt >= maxReadingAge || r.pressure >= maxExplorationPressure {
			return false
		}
		if c.services[name].Urgent && r.level == LoadHigh {
			return false
		}
	}
	if now < v.exploringUntil {
		return true
	}
	return float64(c.exploringCount(now)) < math.Max(1, maxExploringShare*float64(len(c.vms)))
}

// exploringCount returns the number of VMs that explore. It counts them once per
// value of now, because Cost calls it for every candidate VM of a decision.
func (c *Controller) exploringCount(now time.Duration) int {
	if now == c.countedAt {
		return c.exploringVMs
	}
	c.countedAt, c.exploringVMs = now, 0
	for _, v := range c.vms {
		if now < v.exploringUntil {
			c.exploringVMs++
		}
	}
	return c.exploringVMs
}

// Placed records that a task of a kind was started on a VM. If one of its
// pairings is unknown, the VM counts as exploring until the measurements of the
// pairing have arrived.
func (c *Controller) Placed(now time.Duration, vm types.VMID, kind string) {
	v := c.vms[vm]
	if v == nil {
		return
	}
	for name, r := range v.services {
		if _, deviation := c.model.Predict(kind, name, r.level); deviation > unknownDeviation {
			v.exploringUntil = now + maxReadingAge
			c.countedAt = -1 // makes exploringCount count again
		}
	}
}

// riskPeakWeight is the weight of a kind's remembered peak in Risk, where the
// weighted peak is a lower bound of the predicted slowdown. In harmfulKinds, the
// peak weighted by attributionPeakWeight is added to the mean.
const riskPeakWeight = 0.5

// Risk returns the expected pressure of a VM, not weighted. It is used to choose
// between VMs that can serve a request. It is the larger of the measured
// pressure, if that is recent, and the pressure predicted from the kinds on the
// VM. The prediction includes part of their remembered peaks, because
// measurements are late and do not show a new burst at once.
func (c *Controller) Risk(now time.Duration, vm types.VMID) float64 {
	v := c.vms[vm]
	if v == nil {
		return 0
	}
	var maxPressure float64
	for name, r := range v.services {
		info, known := c.services[name]
		if !known {
			continue
		}
		var predicted float64
		for _, k := range c.model.shares(vm) {
			mean, _ := c.model.Predict(k.kind, name, r.level)
			predicted += k.share * max(mean, riskPeakWeight*c.model.Peak(k.kind, name))
		}
		// The lower bound 0.1 prevents a division by values near zero.
		predicted /= max(info.ToleratedSlowdown-1, 0.1)
		if now-r.takenAt < maxReadingAge {
			predicted = max(predicted, r.pressure)
		}
		maxPressure = max(maxPressure, predicted)
	}
	return maxPressure
}
