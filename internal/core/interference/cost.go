package interference

import (
	"math"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Speed returns the speed at which a new task of a kind starts on a VM: that
// of the tasks of its kind already there.
func (c *Controller) Speed(vm types.VMID, kind string) float64 {
	if v := c.vms[vm]; v != nil {
		return c.factor(v.stage[kind])
	}
	return 1
}

// Cost returns the cost of placing a task of a kind that holds share of a VM's
// processors: the pressure it is predicted to add to the VM's services,
// weighted by the tail weight. Unknown pairings count at their mean where the
// services have slack and exploration is allowed, else at mean plus deviation.
func (c *Controller) Cost(now time.Duration, vm types.VMID, kind string, share float64) float64 {
	v := c.vms[vm]
	if v == nil {
		return 0
	}
	explore := c.mayExplore(now, v)
	var worst float64
	for name, r := range v.services {
		mean, deviation := c.model.Predict(kind, name, r.level)
		if !explore {
			mean += deviation
		}
		info := c.services[name]
		pressure := r.pressure + mean*share/max(info.ToleratedSlowdown-1, 0.1)
		worst = max(worst, pressure)
	}
	if v.stage[kind] > 0 {
		worst++ // It would start throttled.
	}
	return c.opt.Weights.TailLatency * worst
}

// mayExplore reports whether a VM may take a task whose effect is not known:
// all its services are measured, have slack, and none is urgent at high load;
// and few VMs explore already.
func (c *Controller) mayExplore(now time.Duration, v *vmControl) bool {
	for name, r := range v.services {
		if now-r.takenAt >= maxReadingAge || r.pressure >= maxSlackPressure {
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

// exploringCount is counted once per reading of the clock, since Cost asks for
// it on every candidate of a decision.
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

// Placed records that a task of a kind was started on a VM, so that trials of
// unknown pairings are counted until their measurements have arrived.
func (c *Controller) Placed(now time.Duration, vm types.VMID, kind string) {
	v := c.vms[vm]
	if v == nil {
		return
	}
	for name, r := range v.services {
		if _, deviation := c.model.Predict(kind, name, r.level); deviation > unknownDeviation {
			v.exploringUntil = now + maxReadingAge
			c.countedAt = -1
		}
	}
}

// riskPeakWeight is the weight of a kind's remembered peak in Risk.
const riskPeakWeight = 0.5

// Risk returns the pressure to expect on a VM for the choice between VMs that
// can serve a request: the measured one while it is fresh, or what the kinds
// on the VM are predicted to add, including part of their remembered peaks,
// since measurements show a new wave only after their delay.
func (c *Controller) Risk(now time.Duration, vm types.VMID) float64 {
	v := c.vms[vm]
	if v == nil {
		return 0
	}
	var worst float64
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
		predicted /= max(info.ToleratedSlowdown-1, 0.1)
		if now-r.takenAt < maxReadingAge {
			predicted = max(predicted, r.pressure)
		}
		worst = max(worst, predicted)
	}
	return worst
}
