// Package interference estimates how batch kinds slow down services on the
// same VM, and decides when to throttle, move or evict batch tasks.
//
// Model learns, per pairing of job kind and service and per load level, the
// slowdown that a VM full of that kind would cause. Measurements arrive late;
// each is attributed to what ran on the VM, and to the load, when it was
// taken. Controller turns measurements into actions with hysteresis, weighted
// by the operator's rules.
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

// Load numLevels: below 30%, below 60%, and above.
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
	// occupancyRetention is how long occupancy is kept for late measurements, which are
	// up to 30 s late and cover up to 10 s.
	occupancyRetention = 60 * time.Second
	// mergeWindow is the time within which changes of one kind count as one,
	// which bounds the log when many short tasks start.
	mergeWindow = time.Second
	// priorMean and priorVar describe a pairing without measurements: the
	// slowdown added by a VM full of the kind.
	priorMean = 0.3
	priorVar  = 0.5
	// relativeNoiseVar is the variance of one measured slowdown, as a share of its square.
	relativeNoiseVar = 0.01
	// driftVarPerSecond is the variance that a pairing regains per second, so that it
	// follows kinds that change.
	driftVarPerSecond = 0.5 / 3600
	// maxVar bounds the variance that drift and volatility accumulate.
	maxVar = 50.0
	// volatilityRate is the weight of the last change of a pairing in its
	// volatility, the variance it regains per second. Kinds that come in waves
	// become volatile and take the blame for sudden changes; steady kinds keep
	// their estimates.
	volatilityRate = 0.1
	// peakHalfLife is the time after which a remembered peak counts half.
	peakHalfLife = 4 * time.Hour
	// minKindSamples is the number of measurements of a kind's other pairings
	// from which a new pairing takes their mean as its prior.
	minKindSamples = 5
	// soloMaxShare is the share of batch work below which a measurement counts
	// as the service's own latency.
	soloMaxShare = 0.02
	// baseLearningRate is the rate at which the own latency follows measurements.
	baseLearningRate = 0.05
)

// Measurement is one late reading of a service on a VM.
type Measurement struct {
	VM      types.VMID
	Service types.ServiceName
	// TakenAt is the end of the interval that was measured.
	TakenAt  time.Duration
	Interval time.Duration
	// Load is the share of slots that were busy, 0 to 1.
	Load float64
	// Latency is the median service time, without time spent queued.
	Latency time.Duration
}

type pairKey struct {
	kind    string
	service types.ServiceName
	level   Level
}

// pairing is the estimated slowdown of one pairing and its variance.
type pairing struct {
	mean, variance float64
	samples        int
	at             time.Duration
	// volatility is in variance per second, peak is the largest recent mean.
	volatility, peak float64
}

// kindSum adds up the means of a kind's pairings.
type kindSum struct {
	mean              float64
	pairings, samples int
}

type baseKey struct {
	service types.ServiceName
	level   Level
}

// Model holds the pairings of one shard.
type Model struct {
	pairs     map[pairKey]*pairing
	kinds     map[string]*kindSum
	base      map[baseKey]time.Duration
	occupancy map[types.VMID]*occupancy
}

// NewModel returns a model without measurements.
func NewModel() *Model {
	return &Model{
		pairs:     make(map[pairKey]*pairing),
		kinds:     make(map[string]*kindSum),
		base:      make(map[baseKey]time.Duration),
		occupancy: make(map[types.VMID]*occupancy),
	}
}

// SetSoloLatency declares the median service time of a service without batch work.
// It is a prior: quiet measurements replace it over time.
func (m *Model) SetSoloLatency(service types.ServiceName, latency time.Duration) {
	for level := range numLevels {
		key := baseKey{service, level}
		if _, ok := m.base[key]; !ok {
			m.base[key] = latency
		}
	}
}

// occupancy is the share of a VM's processors per kind, with recent changes.
type occupancy struct {
	share   map[string]float64
	changes []change // in order of time
}

type change struct {
	at    time.Duration
	kind  string
	delta float64
}

// SetShare records that tasks of a kind hold a share of the VM's processors
// from now on; throttled tasks hold less. Calls must be in order of time.
func (m *Model) SetShare(now time.Duration, vm types.VMID, kind string, share float64) {
	o := m.occupancy[vm]
	if o == nil {
		o = &occupancy{share: make(map[string]float64)}
		m.occupancy[vm] = o
	}
	delta := share - o.share[kind]
	if math.Abs(delta) < 1e-9 {
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

// Forget drops what ran on a VM, for example when the VM died.
func (m *Model) Forget(vm types.VMID) {
	delete(m.occupancy, vm)
}

// kindShare is the share of one kind, averaged over a measured interval.
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
		before := 1.0 // part of the interval before the change
		if c.at < to {
			before = float64(c.at-from) / float64(to-from)
		}
		avg[c.kind] -= c.delta * before
	}
	out := make([]kindShare, 0, len(avg))
	for kind, share := range avg {
		if share > 1e-6 {
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

// Observe learns from a measurement and returns the slowdown it shows, 1 for
// none; zero when the service's own latency is not known yet.
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
	key := baseKey{x.Service, level}
	base := m.base[key]
	if total < soloMaxShare {
		m.base[key] = smoothLatency(base, x.Latency)
		base = m.base[key]
	}
	if base == 0 {
		return 0
	}
	slowdown := float64(x.Latency) / float64(base)
	if total >= soloMaxShare && now-x.TakenAt <= occupancyRetention {
		m.learn(x, level, shares, slowdown)
	}
	return slowdown
}

func smoothLatency(base, latency time.Duration) time.Duration {
	if base == 0 {
		return latency
	}
	return base + time.Duration(baseLearningRate*float64(latency-base))
}

// learn updates all pairings present by the error of their joint prediction,
// each in proportion to its share and its uncertainty (a Kalman filter that
// keeps no covariances).
func (m *Model) learn(x Measurement, level Level, shares []kindShare, slowdown float64) {
	predicted := 1.0
	totalVar := relativeNoiseVar * slowdown * slowdown
	for _, s := range shares {
		p := m.pair(x.TakenAt, s.kind, x.Service, level)
		predicted += p.mean * s.share
		totalVar += p.variance * s.share * s.share
	}
	residual := slowdown - predicted
	for _, s := range shares {
		p := m.pair(x.TakenAt, s.kind, x.Service, level)
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

// pair returns a pairing, made from its prior when new. The prior of a kind
// that was measured in other pairings is their mean.
func (m *Model) pair(at time.Duration, kind string, service types.ServiceName, level Level) *pairing {
	key := pairKey{kind, service, level}
	if p := m.pairs[key]; p != nil {
		if at > p.at {
			p.variance = min(p.variance+(driftVarPerSecond+p.volatility)*(at-p.at).Seconds(), maxVar)
			p.peak *= math.Exp2(-float64(at-p.at) / float64(peakHalfLife))
			p.at = at
		}
		return p
	}
	mean := m.prior(kind)
	p := &pairing{mean: mean, variance: priorVar, at: at}
	m.pairs[key] = p
	sum := m.kinds[kind]
	if sum == nil {
		sum = &kindSum{}
		m.kinds[kind] = sum
	}
	sum.mean += mean
	sum.pairings++
	return p
}

// prior is the mean of a kind's other pairings if they were measured enough.
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
	if p := m.pairs[pairKey{kind, service, level}]; p != nil {
		return p.mean, math.Sqrt(p.variance)
	}
	return m.prior(kind), math.Sqrt(priorVar)
}

// Peak returns the largest slowdown that Predict's mean showed recently. Kinds
// that come in waves have a peak far above their mean.
func (m *Model) Peak(kind string, service types.ServiceName) float64 {
	var peak float64
	for level := range numLevels {
		if p := m.pairs[pairKey{kind, service, level}]; p != nil {
			peak = max(peak, p.peak)
		}
	}
	return peak
}

// Share returns the share of a VM's processors that a kind holds now.
func (m *Model) Share(vm types.VMID, kind string) float64 {
	if o := m.occupancy[vm]; o != nil {
		return o.share[kind]
	}
	return 0
}

// shares returns what each kind holds now of a VM's processors, sorted by kind
// so that sums over it do not depend on the order of a map.
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
