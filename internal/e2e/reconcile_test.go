package e2e

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/localrun"
)

// maxInterval returns the longest interval between consecutive times and its
// start. It sorts times.
func maxInterval(times []time.Time) (gap time.Duration, start time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	for i := 1; i < len(times); i++ {
		if d := times[i].Sub(times[i-1]); d > gap {
			gap, start = d, times[i-1]
		}
	}
	return gap, start
}

// upstreamRecord holds the executions at one upstream by booking ID.
type upstreamRecord struct {
	worker              string
	executions, aborted map[string]int
}

// upstreamRecords returns the executions at all upstreams.
func (f *fleet) upstreamRecords() []upstreamRecord {
	var all []upstreamRecord
	for domain := 1; domain <= f.opts.Domains; domain++ {
		for worker := 1; worker <= f.opts.Workers; worker++ {
			all = append(all, f.upstreamRecord(domain, worker))
		}
	}
	return all
}

func (f *fleet) upstreamRecord(domain, worker int) upstreamRecord {
	r := upstreamRecord{worker: localrun.WorkerName(domain, worker)}
	base := "http://" + f.d.UpstreamAddr(domain, worker)
	for path, into := range map[string]*map[string]int{"/record": &r.executions, "/cut": &r.aborted} {
		b, err := f.d.Get(f.t.Context(), base+path)
		if err == nil {
			err = json.Unmarshal(b, into)
		}
		if err != nil {
			f.t.Fatalf("upstream of %s: %v", r.worker, err)
		}
	}
	return r
}

// reconcile compares the outcomes reported to callers with the executions at the
// upstreams.
func (c *callers) reconcile(records []upstreamRecord) {
	t := c.f.t
	executions := make(map[string]int)
	for _, r := range records {
		for id, n := range r.executions {
			executions[id] += n
		}
	}
	known := make(map[string]*booking)
	for _, b := range c.bookings {
		known[b.ID] = b
		n := executions[b.ID]
		switch {
		case n > 1:
			t.Errorf("booking %s (keyed %v) executed %d times: %+v", b.ID, b.keyed, n, b.results)
		case n == 0 && b.hasOutcome(apperr.OutcomeDone):
			t.Errorf("booking %s (keyed %v) reported as done but not executed: %+v", b.ID, b.keyed, b.results)
		case n == 1 && b.knownNotRun():
			t.Errorf("booking %s (keyed %v) reported as not run but executed: %+v", b.ID, b.keyed, b.results)
		// A later response for the same key must report the execution.
		case n == 1 && b.keyed && b.lastResult().outcome == apperr.OutcomeNotRun:
			t.Errorf("keyed booking %s last reported as not run but executed: %+v", b.ID, b.results)
		}
		c.checkResults(b)
	}
	for _, r := range records {
		for id := range r.aborted {
			c.checkAborted(r.worker, known[id])
		}
	}
}

// checkResults fails the test for every incorrect response, and for missing valid
// responses from an entry that was neither killed nor frozen.
func (c *callers) checkResults(b *booking) {
	for _, a := range b.results {
		if a.err == nil || a.notConnected {
			continue
		}
		if a.complete {
			c.f.t.Errorf("incorrect response to booking %s: %v", b.ID, a.err)
			continue
		}
		entry := localrun.EntryName(a.entry)
		if !c.f.hadFault(faultKill, entry, a.from, a.to) && !c.f.hadFault(faultFreeze, entry, a.from, a.to) {
			c.f.t.Errorf("no valid response to booking %s from %s, which was neither killed nor frozen, after %v: %v",
				b.ID, entry, a.to.Sub(a.from), a.err)
		}
	}
}

// checkAborted fails the test for a booking that was aborted at an upstream
// although the upstream's worker was not killed.
func (c *callers) checkAborted(worker string, b *booking) {
	if b == nil {
		c.f.t.Errorf("unknown booking aborted at the upstream of %s", worker)
		return
	}
	for _, a := range b.results {
		// The worker may have been killed after the entry stopped waiting.
		if c.f.hadFault(faultKill, worker, a.from, a.to.Add(callerTimeout)) {
			return
		}
	}
	c.f.t.Errorf("booking %s aborted at the upstream of %s, which was not killed: %+v", b.ID, worker, b.results)
}

// logSummary logs the numbers of bookings, outcomes and faults, and the longest
// time without service.
func (c *callers) logSummary(records []upstreamRecord, from, to time.Time) {
	outcomes := make(map[string]int)
	problems := make(map[string]int)
	requests, slowest := 0, time.Duration(0)
	for _, b := range c.bookings {
		requests += len(b.results)
		outcomes[c.finalOutcome(b)]++
		for _, a := range b.results {
			if a.message != "" {
				problems[string(a.outcome)+": "+a.message]++
			}
			if a.complete {
				slowest = max(slowest, a.to.Sub(a.from))
			}
		}
	}
	executions, aborted, executedReportedNotRun := 0, 0, 0
	ran := make(map[string]bool)
	for _, r := range records {
		executions += len(r.executions)
		aborted += len(r.aborted)
		for id := range r.executions {
			ran[id] = true
		}
	}
	shown := 0 // at most 5 bookings are logged
	for _, b := range c.bookings {
		if b.keyed && !ran[b.ID] && b.lastResult().outcome == apperr.OutcomeUnknown && shown < 5 {
			shown++
			c.f.t.Logf("outcome unknown although never executed: %s: %s", b.ID, formatResults(b))
		}
		if ran[b.ID] && b.hasOutcome(apperr.OutcomeNotRun) && !b.hasOutcome(apperr.OutcomeDone) {
			executedReportedNotRun++
		}
	}
	c.f.t.Logf("%d bookings, %d requests, %d executions, %d aborted at upstreams", len(c.bookings), requests, executions, aborted)
	c.f.t.Logf("bookings by final outcome: %v", outcomes)
	for p, n := range problems {
		c.f.t.Logf("%5d times %s", n, p)
	}
	c.f.t.Logf("executed, never reported done and reported not-run at least once: %d", executedReportedNotRun)
	c.f.t.Logf("faults by kind: %v", c.f.faultCounts())
	gap, start := c.longestOutage(from, to)
	c.f.t.Logf("longest time without service %v starting at %.1f s, slowest complete response %v",
		gap.Round(time.Millisecond), start.Sub(c.f.started).Seconds(), slowest.Round(time.Millisecond))
}

// formatResults formats the results of a booking in order.
func formatResults(b *booking) string {
	var parts []string
	for _, a := range b.results {
		parts = append(parts, fmt.Sprintf("entry-%d %s %s %v", a.entry, a.outcome, a.message, a.err))
	}
	return strings.Join(parts, " | ")
}

// finalOutcome returns the final outcome of a booking, prefixed with keyed or
// unkeyed.
func (c *callers) finalOutcome(b *booking) string {
	keyed := "unkeyed "
	if b.keyed {
		keyed = "keyed "
	}
	a := b.lastResult()
	switch {
	case b.hasOutcome(apperr.OutcomeDone):
		return keyed + "done"
	case a.notConnected:
		return keyed + "no connection"
	case a.err != nil:
		return keyed + "no response"
	default:
		return keyed + string(a.outcome)
	}
}
