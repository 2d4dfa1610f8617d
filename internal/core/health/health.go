// Package health tells workers that fail every task from tasks that fail
// everywhere, and takes such workers out of service for a while.
//
// The evidence is a table of results by worker and job kind. A failure counts
// against a worker only as far as the kind succeeds on other workers.
// Quarantined workers get single probe tasks at growing intervals and return
// after successes in a row. At most a share of a shard is quarantined.
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

// Options configure a Tracker. The zero value of a field means its default.
type Options struct {
	// HalfLife is the time after which a result counts half. Default 10 minutes.
	HalfLife time.Duration
	// MaxShare is the largest share of a shard in quarantine; at least one
	// worker of a shard of two or more. Default 0.2.
	MaxShare float64
	// ProbeFirst and ProbeMax bound the interval between probes. Defaults one
	// minute and one hour.
	ProbeFirst, ProbeMax time.Duration
}

const (
	// quarantineEvidence is the log likelihood ratio that quarantines: a thousand to
	// one for a bad worker.
	quarantineEvidence = 6.9
	// badWorkerFailureRate is the failure rate assumed of a worker that fails
	// everything; not 1, so that a single success does not clear it.
	badWorkerFailureRate = 0.9
	// priorFailures of priorResults is the failure rate assumed of a kind
	// without results.
	priorFailures = 0.2
	priorResults  = 2.2
	// minResultsElsewhere is the number of results elsewhere below which a kind
	// may itself be broken; its failures then count once.
	minResultsElsewhere = 3.0
	// probesToReturn is the number of successes in a row that end a
	// quarantine.
	probesToReturn = 2
	// brokenKindWorkers and brokenKindRate say when a kind fails everywhere.
	brokenKindWorkers = 3
	brokenKindRate    = 0.8
	// minResultWeight is the weight below which a table entry is removed.
	minResultWeight = 0.01
)

// ActionKind is what to do with a worker.
type ActionKind uint8

// Kinds of actions.
const (
	// Quarantine: place nothing on the worker, except probes.
	Quarantine ActionKind = iota + 1
	// Probe: place one batch task, neither urgent nor part of a gang, there.
	Probe
	// Return: place work there as usual.
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
	table       map[string]*resultCounts
	quarantined bool
	interval    time.Duration
	nextProbe   time.Duration
	probing     bool
	successes   int
	quarantines int
	returnedAt  time.Duration
}

// Tracker holds the results and quarantines of one shard.
type Tracker struct {
	opt       Options
	workers   map[types.VMID]*worker
	kinds     map[string]*resultCounts
	decayedAt time.Duration
	// hasNewResults tells that results arrived since evidence was last weighed.
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

// SetWorkers sets the members of the shard. New ones start in service; the
// results of removed ones are dropped.
func (t *Tracker) SetWorkers(ids []types.VMID) {
	for id := range t.workers {
		if !slices.Contains(ids, id) {
			t.dropResults(t.workers[id])
			delete(t.workers, id)
		}
	}
	for _, id := range ids {
		if t.workers[id] == nil {
			t.workers[id] = &worker{table: make(map[string]*resultCounts)}
		}
	}
}

// Reset forgets what is known about a worker, for example when its VM was
// replaced.
func (t *Tracker) Reset(id types.VMID) {
	if w := t.workers[id]; w != nil {
		t.dropResults(w)
		t.workers[id] = &worker{table: make(map[string]*resultCounts)}
	}
}

func (t *Tracker) dropResults(w *worker) {
	for kind, r := range w.table {
		k := t.kinds[kind]
		k.ok = max(k.ok-r.ok, 0)
		k.failed = max(k.failed-r.failed, 0)
	}
	clear(w.table)
}

// Report records the result of a task. Evictions, cancellations and lost VMs
// are not results.
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
	r := w.table[kind]
	if r == nil {
		r = &resultCounts{}
		w.table[kind] = r
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
		w.successes++
		w.nextProbe = now
		return
	}
	w.successes = 0
	w.interval = min(2*w.interval, t.opt.ProbeMax)
	w.nextProbe = now + w.interval
}

// ProbeLost records that a probe ended without a result (evicted, cancelled),
// so that another one is sent.
func (t *Tracker) ProbeLost(now time.Duration, id types.VMID) {
	if w := t.workers[id]; w != nil && w.probing {
		w.probing = false
		w.nextProbe = now + w.interval
	}
}

// decay reduces the weight of all results in steps of 1/16 half-life.
func (t *Tracker) decay(now time.Duration) {
	step := float64(now-t.decayedAt) / float64(t.opt.HalfLife)
	if step < 1.0/16 {
		return
	}
	t.decayedAt = now
	factor := math.Exp2(-step)
	for _, w := range t.workers {
		decayTable(w.table, factor)
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

// evidence is the log likelihood ratio between a worker that fails everything
// and one whose results follow the kinds' rates elsewhere.
func (t *Tracker) evidence(w *worker) float64 {
	kinds := make([]string, 0, len(w.table))
	for kind := range w.table {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds) // Sums of floats must not depend on the map's order.
	var sum float64
	for _, kind := range kinds {
		own := w.table[kind]
		all := t.kinds[kind]
		others := resultCounts{ok: max(all.ok-own.ok, 0), failed: max(all.failed-own.failed, 0)}
		rate := (others.failed + priorFailures) / (others.total() + priorResults)
		rate = min(max(rate, 0.02), 0.98)
		term := own.failed*math.Log(badWorkerFailureRate/rate) + own.ok*math.Log((1-badWorkerFailureRate)/(1-rate))
		if others.total() < minResultsElsewhere {
			term = min(term, math.Log(badWorkerFailureRate/rate))
		}
		sum += term
	}
	return sum
}

// maxQuarantined is the number of workers that may be in quarantine at once.
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

// Decide returns the actions due, by worker. Call it after reports and about
// once a second. A probe is due again only after its result was reported.
func (t *Tracker) Decide(now time.Duration) []Action {
	t.decay(now)
	var out []Action
	for _, id := range t.sortedWorkers() {
		w := t.workers[id]
		if !w.quarantined {
			continue
		}
		switch {
		case w.successes >= probesToReturn:
			t.dropResults(w)
			w.quarantined, w.successes, w.returnedAt = false, 0, now
			out = append(out, Action{Kind: Return, Worker: id})
		case !w.probing && now >= w.nextProbe:
			w.probing = true
			out = append(out, Action{Kind: Probe, Worker: id})
		}
	}
	return append(out, t.quarantineSuspects(now)...)
}

// quarantineSuspects takes workers out of service, the strongest evidence first.
func (t *Tracker) quarantineSuspects(now time.Duration) []Action {
	available := t.maxQuarantined() - t.quarantinedCount()
	if !t.hasNewResults || available <= 0 {
		return nil
	}
	t.hasNewResults = false
	var out []Action
	for _, id := range t.sortedWorkers() {
		w := t.workers[id]
		if w.quarantined || len(w.table) == 0 {
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

// startQuarantine starts a quarantine. A worker that fails again soon after its return
// starts with a longer interval.
func (t *Tracker) startQuarantine(now time.Duration, w *worker) {
	if w.quarantines > 0 && now-w.returnedAt < t.opt.ProbeMax {
		w.interval = min(2*w.interval, t.opt.ProbeMax)
	} else {
		w.interval = t.opt.ProbeFirst
	}
	w.quarantined, w.probing, w.successes = true, false, 0
	w.quarantines++
	w.nextProbe = now + w.interval
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

// FailsEverywhere reports whether a kind fails on several workers and
// succeeds on hardly any; retries then wait or stop.
func (t *Tracker) FailsEverywhere(kind string) bool {
	all := t.kinds[kind]
	if all == nil || all.failed < brokenKindRate*all.total() {
		return false
	}
	failingWorkers := 0
	for _, w := range t.workers {
		if r := w.table[kind]; r != nil && r.failed > r.ok && !w.quarantined {
			failingWorkers++
		}
	}
	return failingWorkers >= min(brokenKindWorkers, len(t.workers))
}
