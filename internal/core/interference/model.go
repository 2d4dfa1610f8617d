// Package interference estimates how much kinds of batch jobs slow down services
// on the same VM, and decides when to throttle, move or evict batch tasks.
//
// Model estimates, for each pairing of a job kind and a service and each load
// level, the slowdown that a VM full of that kind would cause. Measurements
// arrive late, so each one is attributed to the tasks and the load that the VM
// had when it was taken. Controller turns measurements into actions, with
// hysteresis and according to the operator's weights.
//
// Pressure is the added slowdown of a service as a fraction of the added slowdown
// that it tolerates: 0 for no slowdown, 1 at the tolerated slowdown. The pressure
// of a VM is the highest one of its services.
//
// Neither type is safe for concurrent use.
package interference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Level is a range of load.
type Level uint8

// Load levels: below 30%, from 30% to below 60%, and from 60% up.
const (
	LoadLow Level = iota
	LoadMedium
	LoadHigh
	numLevels
)

// LevelOf returns the level of a load from 0 (idle) to 1 (all slots busy).
func LevelOf(load float64) Level {
	switch {
	case load < 0.3:
		return LoadLow
	case load < 0.6:
		return LoadMedium
	default:
		return LoadHigh
	}
}

const (
	// occupancyRetention is how long changes of occupancy are kept for late
	// measurements, which are up to 30 s late and cover up to 10 s.
	occupancyRetention = 60 * time.Second
	// mergeWindow is the time within which successive changes of one kind are
	// merged, which bounds the change log when many short tasks start.
	mergeWindow = time.Second
	// priorMean and priorVar are the mean and variance of a pairing without
	// measurements: the slowdown added by a VM full of the kind.
	priorMean = 0.3
	priorVar  = 0.5
	// relativeNoiseVar is the variance of one measured slowdown, as a fraction
	// of the square of the slowdown.
	relativeNoiseVar = 0.01
	// driftVarPerSecond is the variance added to a pairing per second, so that
	// the estimate follows kinds that change.
	driftVarPerSecond = 0.5 / 3600
	// maxVar is the upper bound of a pairing's variance, which grows by drift
	// and volatility.
	maxVar = 50.0
	// volatilityRate is the weight of the last change of a pairing in its
	// volatility, which is also variance added per second. Kinds that run in
	// bursts become volatile, so sudden changes are attributed to them and
	// steady kinds keep their estimates.
	volatilityRate = 0.1
	// peakHalfLife is the time in which a remembered peak decays to half.
	peakHalfLife = 4 * time.Hour
	// minKindSamples is the minimum number of measurements of a kind's other
	// pairings for their mean to be the prior of a new pairing.
	minKindSamples = 5
	// soloMaxShare is the fraction of the processors used by batch work below
	// which a measurement shows the service's latency without batch work.
	soloMaxShare = 0.02
	// soloLearningRate is the weight of a new measurement in the moving average
	// of a service's latency without batch work.
	soloLearningRate = 0.05
)

// Measurement is one measurement of a service on a VM. It arrives late.
type Measurement struct {
	VM      types.VMID
	Service types.ServiceName
	// TakenAt is the end of the measured interval, Interval its length.
	TakenAt  time.Duration
	Interval time.Duration
	// Load is the fraction of slots that were busy, 0 to 1.
	Load float64
	// Latency is the median service time, without time spent queued.
	Latency time.Duration
}

type pairingKey struct {
	kind    string
	service types.ServiceName
	level   Level
}

// pairing is the estimate for one pairing: the mean and variance of the slowdown
// that a VM full of the kind adds to the service.
type pairing struct {
	mean, variance float64
	samples        int
	// at is the time to which variance and peak were last advanced.
	at time.Duration
	// volatility is variance added per second, peak is the largest recent mean.
	volatility, peak float64
}

// kindSum holds sums over the pairings of a kind: of their means, their number and
// the number of their measurements.
type kindSum struct {
	mean              float64 // sum of the means
	pairings, samples int
}

type soloKey struct {
	service types.ServiceName
	level   Level
}

// Model holds the pairings of one shard.
type Model struct {
	pairingByKey map[pairingKey]*pairing
	kinds        map[string]*kindSum
	// soloLatency holds the median service time of each service on VMs without
	// batch work.
	soloLatency map[soloKey]time.Duration
	occupancy   map[types.VMID]*occupancy
}

// NewModel returns a model without measurements.
func NewModel() *Model {
	return &Model{
		pairingByKey: make(map[pairingKey]*pairing),
		kinds:        make(map[string]*kindSum),
		soloLatency:  make(map[soloKey]time.Duration),
		occupancy:    make(map[types.VMID]*occupancy),
	}
}

// SetSoloLatency sets the initial estimate of the median service time of a
// service without batch work. Measurements with hardly any batch work on the VM
// replace it over time.
func (m *Model) SetSoloLatency(service types.ServiceName, latency time.Duration) {
	for level := range numLevels {
		key := soloKey{service, level}
		if _, ok := m.soloLatency[key]; !ok {
			m.soloLatency[key] = latency
		}
	}
}

// occupancy holds the fraction of a VM's processors that each kind uses, and the
// recent changes of these fractions.
type occupancy struct {
	share   map[string]float64
	changes []change // in order of time
}

type change struct {
	at    time.Duration
	kind  string
	delta float64
}

// SetShare records that tasks of a kind use a fraction of the VM's processors
// from now on. Throttled tasks use less. Calls must be in order of time.
func (m *Model) SetShare(now time.Duration, vm types.VMID, kind string, share float64) {
	o := m.occupancy[vm]
	if o == nil {
		o = &occupancy{share: make(map[string]float64)}
		m.occupancy[vm] = o
	}
	delta := share - o.share[kind]
	if math.Abs(delta) < 1e-9 { // only a rounding error
		return
	}
	if share <= 1e-9 {
		delete(o.share, kind)
	} else {
		o.share[kind] = share
	}
	drop := 0
	for drop < len(o.changes) && o.changes[drop].at < now-occupancyRetention {
		drop++
	}
	o.changes = slices.Delete(o.changes, 0, drop)
	if n := len(o.changes); n > 0 && o.changes[n-1].kind == kind && now-o.changes[n-1].at < mergeWindow {
		o.changes[n-1].delta += delta
		return
	}
	o.changes = append(o.changes, change{now, kind, delta})
}

// Forget deletes the occupancy of a VM, for example when the VM has failed.
func (m *Model) Forget(vm types.VMID) {
	delete(m.occupancy, vm)
}

// kindShare is the fraction of a VM's processors that one kind uses.
type kindShare struct {
	kind  string
	share float64
}

// averageShares returns the average shares over an interval, sorted by kind.
func (o *occupancy) averageShares(from, to time.Duration) []kindShare {
	if o == nil {
		return nil
	}
	avg := make(map[string]float64, len(o.share)+2)
	for kind, share := range o.share {
		avg[kind] = share
	}
	for _, c := range o.changes {
		if c.at <= from {
			continue
		}
		before := 1.0 // fraction of the interval before the change
		if c.at < to {
			before = float64(c.at-from) / float64(to-from)
		}
		avg[c.kind] -= c.delta * before
	}
	out := make([]kindShare, 0, len(avg))
	for kind, share := range avg {
		if share > 1e-6 { // leaves out rounding errors
			out = append(out, kindShare{kind, share})
		}
	}
	slices.SortFunc(out, func(a, b kindShare) int {
		if a.kind < b.kind {
			return -1
		}
		return 1
	})
	return out
}

// Observe updates the model with a measurement and returns the measured
// slowdown, 1 for none. It returns 0 if the latency is not positive or if the
// service's latency without batch work is not known yet.
func (m *Model) Observe(now time.Duration, x Measurement) float64 {
	if x.Latency <= 0 {
		return 0
	}
	level := LevelOf(x.Load)
	shares := m.occupancy[x.VM].averageShares(x.TakenAt-max(x.Interval, time.Millisecond), x.TakenAt)
	var total float64
	for _, s := range shares {
		total += s.share
	}
	key := soloKey{x.Service, level}
	soloLatency := m.soloLatency[key]
	if total < soloMaxShare {
		m.soloLatency[key] = smoothLatency(soloLatency, x.Latency)
		soloLatency = m.soloLatency[key]
	}
	if soloLatency == 0 {
		return 0
	}
	slowdown := float64(x.Latency) / float64(soloLatency)
	if total >= soloMaxShare && now-x.TakenAt <= occupancyRetention {
		m.learn(x, level, shares, slowdown)
	}
	return slowdown
}

func smoothLatency(soloLatency, latency time.Duration) time.Duration {
	if soloLatency == 0 {
		return latency
	}
	return soloLatency + time.Duration(soloLearningRate*float64(latency-soloLatency))
}

// learn updates the pairings of all kinds on the VM by the error of their joint
// prediction, each in proportion to its share and its variance. This is a Kalman
// filter without covariances.
func (m *Model) learn(x Measurement, level Level, shares []kindShare, slowdown float64) {
	predicted := 1.0
	totalVar := relativeNoiseVar * slowdown * slowdown
	for _, s := range shares {
		p := m.pairingAt(x.TakenAt, s.kind, x.Service, level)
		predicted += p.mean * s.share
		totalVar += p.variance * s.share * s.share
	}
	residual := slowdown - predicted
	for _, s := range shares {
		p := m.pairingAt(x.TakenAt, s.kind, x.Service, level)
		gain := p.variance * s.share / totalVar
		before := p.mean
		p.mean = max(p.mean+gain*residual, 0)
		p.variance *= 1 - gain*s.share
		meanChange := p.mean - before
		p.volatility += volatilityRate * (meanChange*meanChange/max(x.Interval.Seconds(), 1) - p.volatility)
		p.peak = max(p.peak, p.mean)
		p.samples++
		sum := m.kinds[s.kind]
		sum.samples++
		sum.mean += (p.mean - before)
	}
}

// pairingAt returns a pairing with its variance and peak advanced to the given time.
// It creates a missing pairing from the prior.
func (m *Model) pairingAt(at time.Duration, kind string, service types.ServiceName, level Level) *pairing {
	key := pairingKey{kind, service, level}
	if p := m.pairingByKey[key]; p != nil {
		if at > p.at {
			p.variance = min(p.variance+(driftVarPerSecond+p.volatility)*(at-p.at).Seconds(), maxVar)
			p.peak *= math.Exp2(-float64(at-p.at) / float64(peakHalfLife))
			p.at = at
		}
		return p
	}
	mean := m.prior(kind)
	p := &pairing{mean: mean, variance: priorVar, at: at}
	m.pairingByKey[key] = p
	sum := m.kinds[kind]
	if sum == nil {
		sum = &kindSum{}
		m.kinds[kind] = sum
	}
	sum.mean += mean
	sum.pairings++
	return p
}

// prior returns the initial mean of a new pairing: the average of the kind's
// other pairings if they have minKindSamples measurements, else priorMean.
func (m *Model) prior(kind string) float64 {
	sum := m.kinds[kind]
	if sum == nil || sum.samples < minKindSamples {
		return priorMean
	}
	return sum.mean / float64(sum.pairings)
}

// Predict returns the slowdown that a VM full of a kind would add to a service
// at a load level, and its standard deviation.
func (m *Model) Predict(kind string, service types.ServiceName, level Level) (mean, deviation float64) {
	if p := m.pairingByKey[pairingKey{kind, service, level}]; p != nil {
		return p.mean, math.Sqrt(p.variance)
	}
	return m.prior(kind), math.Sqrt(priorVar)
}

// Peak returns the largest recent mean of a kind's pairings with a service, over
// all load levels; it decays with peakHalfLife. Kinds that run in bursts have a
// peak far above their mean.
func (m *Model) Peak(kind string, service types.ServiceName) float64 {
	var peak float64
	for level := range numLevels {
		if p := m.pairingByKey[pairingKey{kind, service, level}]; p != nil {
			peak = max(peak, p.peak)
		}
	}
	return peak
}

// Share returns the fraction of a VM's processors that a kind uses now.
func (m *Model) Share(vm types.VMID, kind string) float64 {
	if o := m.occupancy[vm]; o != nil {
		return o.share[kind]
	}
	return 0
}

// shares returns the fraction of a VM's processors that each kind uses now. It
// is sorted by kind, so that floating-point sums over it do not depend on the
// iteration order of a map.
func (m *Model) shares(vm types.VMID) []kindShare {
	o := m.occupancy[vm]
	if o == nil {
		return nil
	}
	out := make([]kindShare, 0, len(o.share))
	for kind, share := range o.share {
		out = append(out, kindShare{kind, share})
	}
	slices.SortFunc(out, func(a, b kindShare) int { return cmp.Compare(a.kind, b.kind) })
	return out
}
