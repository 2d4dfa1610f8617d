// Package soak runs the core for long times from a seed, on a virtual clock and
// over the faulty stand-ins, and checks the invariants after each step. It is
// not part of the shipped binary.
//
// RunTasks runs the owners and workers of one shard; RunRequests runs entries and
// workers with claims. A run is single-threaded, and its seed and number of
// steps decide everything that happens in it. A Drop removes one rule, to show
// that the checks find what the rule is for.
package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/standin"
)

// Tick is the virtual time of one step.
const Tick = 100 * time.Millisecond

// maxShownEvents is the number of last events shown with a violation.
const maxShownEvents = 40

// Drop names a rule that the driver leaves out.
type Drop string

// Rules that can be left out. DropNone keeps all.
const (
	DropNone Drop = ""
	// DropIncarnation addresses commands and offers to whatever runs at the VM.
	DropIncarnation Drop = "incarnation"
	// DropCommit sends start commands with the batch instead of after it.
	DropCommit Drop = "commit"
	// DropProof relocates attempts before their run right has ended.
	DropProof Drop = "proof"
	// DropFence drops the condition on the epoch from batches and the end of the lease.
	DropFence Drop = "fence"
	// DropClaim dispatches an attempt before its claim is written.
	DropClaim Drop = "claim"
	// DropSeals makes workers forget what they have sealed.
	DropSeals Drop = "seals"
	// DropLost takes a lost answer as proof that the attempt did not run.
	DropLost Drop = "lost"
	// DropCompare writes claim rows without comparing revisions.
	DropCompare Drop = "compare"
)

// Options choose a run.
type Options struct {
	Seed uint64
	// Steps is the number of steps with faults; the steps until everything has
	// settled without faults come on top.
	Steps int
	Drop  Drop
	// Trace gets every event; nil for none.
	Trace func(string)
}

// Violation is a broken invariant with the events before it.
type Violation struct {
	Seed        uint64
	Step        int
	Description string
	Events      []string
}

// Result is what a run did. The maps count by kind.
type Result struct {
	Seeds, Steps int
	Faults       map[string]int
	Outcomes     map[string]int
	Violations   []Violation
}

// Add adds another result to r.
func (r *Result) Add(o Result) {
	r.Seeds += o.Seeds
	r.Steps += o.Steps
	r.Violations = append(r.Violations, o.Violations...)
	r.Faults = addCounts(r.Faults, o.Faults)
	r.Outcomes = addCounts(r.Outcomes, o.Outcomes)
}

func addCounts(a, b map[string]int) map[string]int {
	if a == nil {
		return maps.Clone(b)
	}
	for k, n := range b {
		a[k] += n
	}
	return a
}

// FormatCounts returns the counts, one a line and sorted.
func FormatCounts(counts map[string]int) []string {
	lines := make([]string, 0, len(counts))
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("  %-28s %d", k, counts[k]))
	}
	return lines
}

// host is a process that can be frozen or dead. What arrives at a frozen one
// waits until it goes on.
type host struct {
	dead        bool
	frozenUntil time.Duration
	inbox       []func()
}

// envelope is a message; to finds the receiver at the time of delivery, and a
// nil function means the table.
type envelope struct {
	to func() *host
	do func()
}

// simulation is what both worlds have in common.
type simulation struct {
	opts        Options
	rng         *rand.Rand
	now         time.Duration
	res         Result
	events      []string
	faultsOff   bool
	network     *standin.FaultyNetwork[envelope]
	calls       *standin.FaultyNetwork[envelope]
	platform    *standin.Platform
	injector    *standin.Injector
	outageUntil time.Duration
	reported    map[string]bool
}

func newSimulation(opts Options, platform standin.Options) *simulation {
	r := &simulation{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 7)), now: time.Minute,
		res:      Result{Seeds: 1, Faults: map[string]int{}, Outcomes: map[string]int{}},
		network:  standin.NewFaultyNetwork[envelope](opts.Seed, standin.NetworkFaults{}),
		calls:    standin.NewFaultyNetwork[envelope](opts.Seed+1, standin.NetworkFaults{MaxDelay: 20 * time.Millisecond}),
		reported: map[string]bool{},
	}
	platform.Clock = func() time.Duration { return r.now }
	r.platform = standin.New(platform)
	r.injector = standin.NewInjector(opts.Seed, nil)
	return r
}

func (r *simulation) chance(p float64) bool {
	return r.rng.Float64() < p
}

// randomDuration returns a time from a to b.
func (r *simulation) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(r.rng.Int64N(int64(b-a)+1))
}

func (r *simulation) recordEvent(format string, args ...any) {
	if len(r.events) >= 4*maxShownEvents {
		r.events = append(r.events[:0], r.events[len(r.events)-maxShownEvents:]...)
	}
	line := fmt.Sprintf("%v ", r.now) + fmt.Sprintf(format, args...)
	r.events = append(r.events, line)
	if r.opts.Trace != nil {
		r.opts.Trace(line)
	}
}

func (r *simulation) countFault(kind string) {
	r.res.Faults[kind]++
}

// recordViolation records a violation once.
func (r *simulation) recordViolation(format string, args ...any) {
	description := fmt.Sprintf(format, args...)
	if r.reported[description] || len(r.reported) >= 10 {
		return
	}
	r.reported[description] = true
	last := r.events[max(0, len(r.events)-maxShownEvents):]
	r.res.Violations = append(r.res.Violations, Violation{
		Seed: r.opts.Seed, Step: r.res.Steps, Description: description, Events: slices.Clone(last),
	})
}

// violationFound ends a run without a rule at its first violation.
func (r *simulation) violationFound() bool {
	return r.opts.Drop != DropNone && len(r.res.Violations) > 0
}

// call runs a call of the table after a delay and delivers its answer, which
// is lost if the caller has died.
func (r *simulation) call(from *host, do func() func()) {
	r.calls.Send(r.now, envelope{do: func() {
		answer := do()
		r.calls.Send(r.now, envelope{to: func() *host { return from }, do: answer})
	}})
}

// deliver hands over what is due, until nothing more is due now.
func (r *simulation) deliver() {
	for {
		due := append(r.calls.Deliver(r.now), r.network.Deliver(r.now)...)
		if len(due) == 0 {
			return
		}
		for _, e := range due {
			r.deliverOne(e)
		}
	}
}

func (r *simulation) deliverOne(e envelope) {
	if e.to == nil {
		e.do()
		return
	}
	h := e.to()
	switch {
	case h == nil || h.dead:
	case r.now < h.frozenUntil:
		h.inbox = append(h.inbox, e.do)
	default:
		e.do()
	}
}

// processInbox reports whether a process does anything in this step, after it has
// taken what waited for it.
func (r *simulation) processInbox(h *host) bool {
	if h == nil || h.dead || r.now < h.frozenUntil {
		return false
	}
	inbox := h.inbox
	h.inbox = nil
	for _, do := range inbox {
		if !h.dead {
			do()
		}
	}
	return !h.dead
}

// changeFaults changes the faults of network and table from time to time.
func (r *simulation) changeFaults() {
	if r.faultsOff {
		return
	}
	if r.chance(0.02) {
		f := standin.NetworkFaults{MinDelay: time.Millisecond, MaxDelay: 30 * time.Millisecond}
		if r.chance(0.7) {
			f.Drop, f.Duplicate, f.Reorder = r.rng.Float64()*0.3, r.rng.Float64()*0.2, r.rng.Float64()*0.3
			f.ReorderDelay = r.randomDuration(time.Second, 20*time.Second)
		}
		r.network.Set(f)
	}
	if r.chance(0.01) {
		r.calls.Set(standin.NetworkFaults{MaxDelay: r.randomDuration(0, time.Second), Reorder: 0.05, ReorderDelay: 5 * time.Second})
	}
	if r.now >= r.outageUntil && r.chance(0.02) {
		f := standin.Faults{LoseRequest: r.rng.Float64() * 0.1, LoseAnswer: r.rng.Float64() * 0.2, LateWrite: r.rng.Float64() * 0.1}
		if r.chance(0.2) {
			f.Down = true
			r.outageUntil = r.now + r.randomDuration(time.Second, 20*time.Second)
			r.countFault("table outage")
			r.recordEvent("table down until %v", r.outageUntil)
		}
		r.injector.Set(f)
	}
	if r.outageUntil != 0 && r.now >= r.outageUntil {
		r.outageUntil = 0
		r.injector.Set(standin.Faults{})
	}
}

// disableFaults turns all faults off.
func (r *simulation) disableFaults() {
	r.faultsOff = true
	r.network.Set(standin.NetworkFaults{MaxDelay: 10 * time.Millisecond})
	r.calls.Set(standin.NetworkFaults{MaxDelay: 10 * time.Millisecond})
	r.injector.Set(standin.Faults{})
	r.recordEvent("faults off")
}

// result adds the counts of the stand-ins.
func (r *simulation) result() Result {
	for k, n := range r.network.Counts() {
		r.res.Faults["network "+string(k)] += n
	}
	for k, n := range r.calls.Counts() {
		r.res.Faults["table calls "+string(k)] += n
	}
	for k, n := range r.injector.Counts() {
		r.res.Faults["table "+string(k)] += n
	}
	return r.res
}
