// Package soak runs long randomized simulations of the core on a virtual clock,
// with stand-ins that inject faults, and checks the invariants after each step.
// It is not part of the shipped binary.
//
// RunTasks simulates the owners and workers of one shard. RunRequests simulates
// entries and workers with claims. A run is single-threaded and determined by
// its seed and number of steps. A Drop disables one rule, to show that the
// checks detect violations of the invariants that the rule protects.
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

// maxShownEvents is the number of most recent events reported with a violation.
const maxShownEvents = 40

// Drop names a rule that the simulation disables.
type Drop string

// Rules that can be disabled. DropNone keeps all rules.
const (
	DropNone Drop = ""
	// DropIncarnation delivers commands and offers to whichever incarnation
	// runs on the VM.
	DropIncarnation Drop = "incarnation"
	// DropCommit sends start commands before the batch is committed instead of
	// afterwards.
	DropCommit Drop = "commit"
	// DropProof relocates attempts before their run right has expired: owners
	// assume a run right of 1 s, while workers keep the configured one.
	DropProof Drop = "proof"
	// DropFence omits the condition on the fence revision from batches and lets
	// owners continue after their lease has expired.
	DropFence Drop = "fence"
	// DropClaim dispatches an attempt before its claim is written.
	DropClaim Drop = "claim"
	// DropSeals makes workers forget which attempts they have sealed.
	DropSeals Drop = "seals"
	// DropLost treats a lost answer as proof that the attempt did not run.
	DropLost Drop = "lost"
	// DropCompare writes claim rows without comparing revisions.
	DropCompare Drop = "compare"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Steps is the number of steps with faults. Further steps without faults
	// follow until all work has ended.
	Steps int
	Drop  Drop
	// Trace, if not nil, is called with every event.
	Trace func(string)
}

// Violation is a violated invariant with the events that precede it.
type Violation struct {
	Seed        uint64
	Step        int
	Description string
	Events      []string
}

// Result summarizes one or more runs. Faults and Outcomes count by kind.
type Result struct {
	Seeds, Steps int
	Faults       map[string]int
	Outcomes     map[string]int
	Violations   []Violation
}

// Add adds the counts and violations of another result to r.
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

// FormatCounts returns one line for each count, sorted by kind.
func FormatCounts(counts map[string]int) []string {
	lines := make([]string, 0, len(counts))
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("  %-28s %d", k, counts[k]))
	}
	return lines
}

// host is a process that can be frozen or dead. Messages to a frozen process
// are queued until it continues.
type host struct {
	dead        bool
	frozenUntil time.Duration
	inbox       []func()
}

// envelope is a message. receiver returns the process that receives the message
// at the time of delivery. If receiver is nil, the table receives the message.
// handle processes the message at the receiver.
type envelope struct {
	receiver func() *host
	handle   func()
}

// simulation is the common part of the simulations of tasks and of requests.
// network carries the messages between processes, and tableCalls the calls to
// the table and their responses.
type simulation struct {
	opts        Options
	rng         *rand.Rand
	now         time.Duration
	res         Result
	events      []string
	faultsOff   bool
	network     *standin.FaultyNetwork[envelope]
	tableCalls  *standin.FaultyNetwork[envelope]
	platform    *standin.Platform
	injector    *standin.Injector
	outageUntil time.Duration
	reported    map[string]bool
}

func newSimulation(opts Options, platform standin.Options) *simulation {
	r := &simulation{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 7)), now: time.Minute,
		res:        Result{Seeds: 1, Faults: map[string]int{}, Outcomes: map[string]int{}},
		network:    standin.NewFaultyNetwork[envelope](opts.Seed, standin.NetworkFaults{}),
		tableCalls: standin.NewFaultyNetwork[envelope](opts.Seed+1, standin.NetworkFaults{MaxDelay: 20 * time.Millisecond}),
		reported:   map[string]bool{},
	}
	platform.Clock = func() time.Duration { return r.now }
	r.platform = standin.New(platform)
	r.injector = standin.NewInjector(opts.Seed, nil)
	return r
}

func (r *simulation) chance(p float64) bool {
	return r.rng.Float64() < p
}

// randomDuration returns a random duration from a to b.
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

// recordViolation records a violation. It ignores repetitions and everything
// after the tenth violation.
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

// violationFound reports whether a run with a disabled rule has had a
// violation. This ends a run of RunRequests, but not one of RunTasks.
func (r *simulation) violationFound() bool {
	return r.opts.Drop != DropNone && len(r.res.Violations) > 0
}

// call makes a table call after a delay and delivers the response, which is
// lost if the caller has died.
func (r *simulation) call(from *host, handle func() func()) {
	r.tableCalls.Send(r.now, envelope{handle: func() {
		answer := handle()
		r.tableCalls.Send(r.now, envelope{receiver: func() *host { return from }, handle: answer})
	}})
}

// deliver delivers all messages that are due, including those that become due
// by the deliveries.
func (r *simulation) deliver() {
	for {
		due := append(r.tableCalls.Deliver(r.now), r.network.Deliver(r.now)...)
		if len(due) == 0 {
			return
		}
		for _, e := range due {
			r.deliverOne(e)
		}
	}
}

func (r *simulation) deliverOne(e envelope) {
	if e.receiver == nil {
		e.handle()
		return
	}
	h := e.receiver()
	switch {
	case h == nil || h.dead:
	case r.now < h.frozenUntil:
		h.inbox = append(h.inbox, e.handle)
	default:
		e.handle()
	}
}

// processInbox processes the queued messages of a process that is neither dead
// nor frozen. It reports whether the process takes part in this step.
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

// changeFaults randomly changes the faults of the network and the table.
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
		r.tableCalls.Set(standin.NetworkFaults{MaxDelay: r.randomDuration(0, time.Second), Reorder: 0.05, ReorderDelay: 5 * time.Second})
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
	r.tableCalls.Set(standin.NetworkFaults{MaxDelay: 10 * time.Millisecond})
	r.injector.Set(standin.Faults{})
	r.recordEvent("faults off")
}

// result returns the result with the fault counts of the stand-ins added.
func (r *simulation) result() Result {
	for k, n := range r.network.Counts() {
		r.res.Faults["network "+string(k)] += n
	}
	for k, n := range r.tableCalls.Counts() {
		r.res.Faults["table calls "+string(k)] += n
	}
	for k, n := range r.injector.Counts() {
		r.res.Faults["table "+string(k)] += n
	}
	return r.res
}
