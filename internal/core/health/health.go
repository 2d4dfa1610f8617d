// Package health distinguishes workers that fail every task from job kinds that
// fail on every worker, and quarantines such workers.
//
// The tracker counts results by worker and job kind. The more often a kind
// succeeds on other workers, the more its failure counts against a worker. A
// quarantined worker gets single probe tasks at growing intervals and returns to
// service after consecutive successes, or if no probe has had a result for the longest
// interval. The quarantined share of a shard is bounded.
//
// A Tracker is not safe for concurrent use.
package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Options configure a Tracker. A field with the zero value takes its default.
type Options struct {
	// HalfLife is the time in which the weight of a result decays to half. The
	// default is 10 minutes.
	HalfLife time.Duration
	// MaxShare is the maximum fraction of a shard's workers in quarantine. In a
	// shard of two or more workers, at least one may be in quarantine. The
	// default is 0.2.
	MaxShare float64
	// ProbeFirst is the first and ProbeMax the maximum interval between probes.
	// The defaults are one minute and one hour.
	ProbeFirst, ProbeMax time.Duration
}

const (
	// quarantineEvidence is the log likelihood ratio at which a worker is
	// quarantined: its results are 1000 times as likely from a bad worker as from
	// a good one.
	quarantineEvidence = 6.9
	// badWorkerFailureRate is the assumed failure rate of a bad worker. It is
	// below 1, so that a single success does not clear the worker.
	badWorkerFailureRate = 0.9
	// priorFailures divided by priorResults is the assumed failure rate of a
	// kind without results.
	priorFailures = 0.2
	priorResults  = 2.2
	// minResultsElsewhere is the number of results on other workers below which
	// the kind itself may be broken, so that all its failures on a worker
	// together count as at most one.
	minResultsElsewhere = 3.0
	// probesToReturn is the number of consecutive successful probes that end a
	// quarantine.
	probesToReturn = 2
	// A kind fails everywhere if it fails on at least failsEverywhereWorkers
	// workers, with a failure rate of at least failsEverywhereRate.
	failsEverywhereWorkers = 3
	failsEverywhereRate    = 0.8
	// minResultWeight is the total weight of results below which a table entry
	// is removed.
	minResultWeight = 0.01
)

// ActionKind is a kind of action on a worker.
type ActionKind uint8

// Kinds of actions.
const (
	// Quarantine: place nothing but probes on the worker.
	Quarantine ActionKind = iota + 1
	// Probe: place one batch task on the worker that is neither urgent nor part
	// of a gang.
	Probe
	// Return: place work on the worker as usual again, after successful probes or
	// after a probe that brought no result for ProbeMax.
	Return
)

// Action is a decision about one worker.
type Action struct {
	Kind   ActionKind
	Worker types.VMID
	// Evidence is the log likelihood ratio, set on Quarantine.
	Evidence float64
}

type resultCounts struct {
	ok, failed float64
}

func (r resultCounts) total() float64 { return r.ok + r.failed }

type worker struct {
	results     map[string]*resultCounts // by job kind
	quarantined bool
	// probeInterval is the current interval between probes.
	probeInterval time.Duration
	nextProbe     time.Duration
	// probing: a probe was requested at probingSince and has no result yet.
	probing      bool
	probingSince time.Duration
	// probeSuccesses is the number of consecutive successful probes.
	probeSuccesses int
	quarantines    int
	returnedAt     time.Duration
}

// Tracker holds the results and quarantines of one shard.
type Tracker struct {
	opt       Options
	workers   map[types.VMID]*worker
	kinds     map[string]*resultCounts
	decayedAt time.Duration
	// hasNewResults is set if results arrived since the evidence was last
	// evaluated.
	hasNewResults bool
}

// New returns a tracker without workers.
func New(opt Options) *Tracker {
	if opt.HalfLife == 0 {
		opt.HalfLife = 10 * time.Minute
	}
	if opt.MaxShare == 0 {
		opt.MaxShare = 0.2
	}
	if opt.ProbeFirst == 0 {
		opt.ProbeFirst = time.Minute
	}
	if opt.ProbeMax == 0 {
		opt.ProbeMax = time.Hour
	}
	return &Tracker{opt: opt, workers: make(map[types.VMID]*worker), kinds: make(map[string]*resultCounts)}
}

// SetWorkers sets the workers of the shard. New workers start in service; the
// results of removed workers are deleted.
func (t *Tracker) SetWorkers(ids []types.VMID) {
	for id := range t.workers {
		if !slices.Contains(ids, id) {
			t.dropResults(t.workers[id])
			delete(t.workers, id)
		}
	}
	for _, id := range ids {
		if t.workers[id] == nil {
			t.workers[id] = &worker{results: make(map[string]*resultCounts)}
		}
	}
}

// Reset deletes the results of a worker and returns it to service, for example when
// its VM was replaced.
func (t *Tracker) Reset(id types.VMID) {
	if w := t.workers[id]; w != nil {
		t.dropResults(w)
		t.workers[id] = &worker{results: make(map[string]*resultCounts)}
	}
}

func (t *Tracker) dropResults(w *worker) {
	for kind, r := range w.results {
		k := t.kinds[kind]
		k.ok = max(k.ok-r.ok, 0)
		k.failed = max(k.failed-r.failed, 0)
	}
	clear(w.results)
}

// Report records the result of a task. Do not call it for tasks that ended by an
// eviction, a cancellation or the loss of their VM. While a probe is outstanding,
// any result of the worker counts as the probe's, also of a task that was started
// before the probe.
func (t *Tracker) Report(now time.Duration, id types.VMID, kind string, ok bool) {
	w := t.workers[id]
	if w == nil {
		return
	}
	t.decay(now)
	t.hasNewResults = true
	if w.quarantined && w.probing {
		t.recordProbe(now, w, ok)
	}
	r := w.results[kind]
	if r == nil {
		r = &resultCounts{}
		w.results[kind] = r
	}
	k := t.kinds[kind]
	if k == nil {
		k = &resultCounts{}
		t.kinds[kind] = k
	}
	if ok {
		r.ok++
		k.ok++
		return
	}
	r.failed++
	k.failed++
}

func (t *Tracker) recordProbe(now time.Duration, w *worker, ok bool) {
	w.probing = false
	if ok {
		w.probeSuccesses++
		w.nextProbe = now
		return
	}
	w.probeSuccesses = 0
	w.probeInterval = min(2*w.probeInterval, t.opt.ProbeMax)
	w.nextProbe = now + w.probeInterval
}

// ProbeLost records that a probe ended without a result, for example because it was
// evicted or cancelled. Another probe becomes due after the current interval.
func (t *Tracker) ProbeLost(now time.Duration, id types.VMID) {
	if w := t.workers[id]; w != nil && w.probing {
		w.probing = false
		w.nextProbe = now + w.probeInterval
	}
}

// decay reduces the weight of all results, in steps of at least 1/16 half-life,
// because each step visits all results.
func (t *Tracker) decay(now time.Duration) {
	step := float64(now-t.decayedAt) / float64(t.opt.HalfLife)
	if step < 1.0/16 {
		return
	}
	t.decayedAt = now
	factor := math.Exp2(-step)
	for _, w := range t.workers {
		decayTable(w.results, factor)
	}
	decayTable(t.kinds, factor)
}

func decayTable(table map[string]*resultCounts, f float64) {
	for kind, r := range table {
		r.ok *= f
		r.failed *= f
		if r.total() < minResultWeight {
			delete(table, kind)
		}
	}
}

// evidence returns the log likelihood ratio of a worker's results between a bad
// worker and one where each kind fails at the rate seen on the other workers.
func (t *Tracker) evidence(w *worker) float64 {
	kinds := make([]string, 0, len(w.results))
	for kind := range w.results {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds) // Floating-point sums must not depend on map order.
	var sum float64
	for _, kind := range kinds {
		own := w.results[kind]
		all := t.kinds[kind]
		others := resultCounts{ok: max(all.ok-own.ok, 0), failed: max(all.failed-own.failed, 0)}
		rate := (others.failed + priorFailures) / (others.total() + priorResults)
		rate = min(max(rate, 0.02), 0.98) // keeps the logarithms finite
		term := own.failed*math.Log(badWorkerFailureRate/rate) + own.ok*math.Log((1-badWorkerFailureRate)/(1-rate))
		if others.total() < minResultsElsewhere {
			term = min(term, math.Log(badWorkerFailureRate/rate))
		}
		sum += term
	}
	return sum
}

// maxQuarantined returns the maximum number of workers in quarantine at once.
func (t *Tracker) maxQuarantined() int {
	n := len(t.workers)
	if n < 2 {
		return 0
	}
	return max(1, int(t.opt.MaxShare*float64(n)))
}

func (t *Tracker) quarantinedCount() int {
	n := 0
	for _, w := range t.workers {
		if w.quarantined {
			n++
		}
	}
	return n
}

// Decide returns the due actions: probes and returns in the order of the workers,
// then quarantines. Call it after reports and about once a second. The next probe
// of a worker is due only after Report or ProbeLost was called for the last one.
func (t *Tracker) Decide(now time.Duration) []Action {
	t.decay(now)
	var out []Action
	for _, id := range t.sortedWorkers() {
		w := t.workers[id]
		if !w.quarantined {
			continue
		}
		unprobed := w.probing && now >= w.probingSince+t.opt.ProbeMax
		switch {
		case w.probeSuccesses >= probesToReturn || unprobed:
			// Without tasks that may probe, nothing else would end the quarantine.
			t.dropResults(w)
			w.quarantined, w.probing, w.probeSuccesses, w.returnedAt = false, false, 0, now
			out = append(out, Action{Kind: Return, Worker: id})
		case !w.probing && now >= w.nextProbe:
			w.probing, w.probingSince = true, now
			out = append(out, Action{Kind: Probe, Worker: id})
		}
	}
	return append(out, t.quarantineSuspects(now)...)
}

// quarantineSuspects quarantines the workers with enough evidence against them,
// those with the strongest evidence first, up to the maximum number.
func (t *Tracker) quarantineSuspects(now time.Duration) []Action {
	available := t.maxQuarantined() - t.quarantinedCount()
	if !t.hasNewResults || available <= 0 {
		return nil
	}
	t.hasNewResults = false
	var out []Action
	for _, id := range t.sortedWorkers() {
		w := t.workers[id]
		if w.quarantined || len(w.results) == 0 {
			continue
		}
		if e := t.evidence(w); e >= quarantineEvidence {
			out = append(out, Action{Kind: Quarantine, Worker: id, Evidence: e})
		}
	}
	slices.SortStableFunc(out, func(a, b Action) int { return cmp.Compare(b.Evidence, a.Evidence) })
	out = out[:min(len(out), available)]
	for _, a := range out {
		t.startQuarantine(now, t.workers[a.Worker])
	}
	return out
}

// startQuarantine starts a worker's quarantine. A worker that is quarantined again
// within ProbeMax after its return starts with a doubled probe interval.
func (t *Tracker) startQuarantine(now time.Duration, w *worker) {
	if w.quarantines > 0 && now-w.returnedAt < t.opt.ProbeMax {
		w.probeInterval = min(2*w.probeInterval, t.opt.ProbeMax)
	} else {
		w.probeInterval = t.opt.ProbeFirst
	}
	w.quarantined, w.probing, w.probeSuccesses = true, false, 0
	w.quarantines++
	w.nextProbe = now + w.probeInterval
}

func (t *Tracker) sortedWorkers() []types.VMID {
	ids := make([]types.VMID, 0, len(t.workers))
	for id := range t.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Quarantined reports whether a worker is in quarantine.
func (t *Tracker) Quarantined(id types.VMID) bool {
	w := t.workers[id]
	return w != nil && w.quarantined
}

// FailsEverywhere reports whether a kind fails on several workers and rarely
// succeeds. Its retries are then delayed or stopped.
func (t *Tracker) FailsEverywhere(kind string) bool {
	all := t.kinds[kind]
	if all == nil || all.failed < failsEverywhereRate*all.total() {
		return false
	}
	failingWorkers := 0
	for _, w := range t.workers {
		if r := w.results[kind]; r != nil && r.failed > r.ok && !w.quarantined {
			failingWorkers++
		}
	}
	return failingWorkers >= min(failsEverywhereWorkers, len(t.workers))
}
