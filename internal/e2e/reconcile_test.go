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

// widest returns the longest time between two neighbours and its start.
func widest(times []time.Time) (gap time.Duration, start time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	for i := 1; i < len(times); i++ {
		if d := times[i].Sub(times[i-1]); d > gap {
			gap, start = d, times[i-1]
		}
	}
	return gap, start
}

// record is what one upstream ran.
type record struct {
	worker    string
	runs, cut map[string]int
}

// records reads the records of all upstreams.
func (f *fleet) records() []record {
	var all []record
	for domain := 1; domain <= f.o.Domains; domain++ {
		for worker := 1; worker <= f.o.Workers; worker++ {
			all = append(all, f.record(domain, worker))
		}
	}
	return all
}

func (f *fleet) record(domain, worker int) record {
	r := record{worker: localrun.WorkerName(domain, worker)}
	base := "http://" + f.d.Upstream(domain, worker)
	for path, into := range map[string]*map[string]int{"/record": &r.runs, "/cut": &r.cut} {
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

// reconcile compares what callers were told with what upstreams ran.
func (c *callers) reconcile(records []record) {
	t := c.f.t
	runs := make(map[string]int)
	for _, r := range records {
		for id, n := range r.runs {
			runs[id] += n
		}
	}
	known := make(map[string]*booking)
	for _, b := range c.bookings {
		known[b.ID] = b
		n := runs[b.ID]
		switch {
		case n > 1:
			t.Errorf("booking %s (keyed %v) ran %d times: %+v", b.ID, b.keyed, n, b.answers)
		case n == 0 && b.is(apperr.OutcomeDone):
			t.Errorf("booking %s (keyed %v) is reported done and did not run: %+v", b.ID, b.keyed, b.answers)
		case n == 1 && b.certainlyNotRun():
			t.Errorf("booking %s (keyed %v) is reported not run and ran: %+v", b.ID, b.keyed, b.answers)
		case n == 1 && b.keyed && b.last().outcome == apperr.OutcomeNotRun:
			t.Errorf("key of booking %s is reported not run in the end and ran: %+v", b.ID, b.answers)
		}
		c.checkAnswers(b)
	}
	for _, r := range records {
		for id := range r.cut {
			c.checkCut(r.worker, known[id])
		}
	}
}

// checkAnswers fails for answers that no fault explains.
func (c *callers) checkAnswers(b *booking) {
	for _, a := range b.answers {
		if a.err == nil || a.refused {
			continue
		}
		if a.whole {
			c.f.t.Errorf("booking %s has a wrong response: %v", b.ID, a.err)
			continue
		}
		entry := localrun.EntryName(a.entry)
		if !c.f.struck(faultKill, entry, a.from, a.to) && !c.f.struck(faultFreeze, entry, a.from, a.to) {
			c.f.t.Errorf("booking %s got no answer from %s, which was neither killed nor frozen, after %v: %v",
				b.ID, entry, a.to.Sub(a.from), a.err)
		}
	}
}

// checkCut fails for bookings that were cut off at an upstream although its
// worker was not killed.
func (c *callers) checkCut(worker string, b *booking) {
	if b == nil {
		c.f.t.Errorf("an upstream of %s cut a booking of unknown identity", worker)
		return
	}
	for _, a := range b.answers {
		// The worker may be killed while the entry has given up.
		if c.f.struck(faultKill, worker, a.from, a.to.Add(callerTimeout)) {
			return
		}
	}
	c.f.t.Errorf("booking %s was cut off at %s, which was not killed: %+v", b.ID, worker, b.answers)
}

// figures logs what happened.
func (c *callers) figures(records []record, from, to time.Time) {
	outcomes := make(map[string]int)
	problems := make(map[string]int)
	exchanges, slowest := 0, time.Duration(0)
	for _, b := range c.bookings {
		exchanges += len(b.answers)
		outcomes[c.verdict(b)]++
		for _, a := range b.answers {
			if a.problem != "" {
				problems[string(a.outcome)+": "+a.problem]++
			}
			if a.whole {
				slowest = max(slowest, a.to.Sub(a.from))
			}
		}
	}
	runs, cut, afterUnknown := 0, 0, 0
	ran := make(map[string]bool)
	for _, r := range records {
		runs += len(r.runs)
		cut += len(r.cut)
		for id := range r.runs {
			ran[id] = true
		}
	}
	shown := 0
	for _, b := range c.bookings {
		if b.keyed && !ran[b.ID] && b.last().outcome == apperr.OutcomeUnknown && shown < 5 {
			shown++
			c.f.t.Logf("open although never run: %s: %s", b.ID, history(b))
		}
		if ran[b.ID] && b.is(apperr.OutcomeNotRun) && !b.is(apperr.OutcomeDone) {
			afterUnknown++
		}
	}
	c.f.t.Logf("bookings %d, exchanges %d, runs %d, cut by killed workers %d", len(c.bookings), exchanges, runs, cut)
	c.f.t.Logf("bookings by final outcome: %v", outcomes)
	for p, n := range problems {
		c.f.t.Logf("%5d times %s", n, p)
	}
	c.f.t.Logf("ran, never reported done, and one repeat reported not-run: %d", afterUnknown)
	c.f.t.Logf("faults by kind: %v", c.f.faultCounts())
	gap, start := c.longestGap(from, to)
	c.f.t.Logf("longest time without service %v from %.1f s on, slowest whole answer %v",
		gap.Round(time.Millisecond), start.Sub(c.f.started).Seconds(), slowest.Round(time.Millisecond))
}

// history tells the answers to a booking in order.
func history(b *booking) string {
	var parts []string
	for _, a := range b.answers {
		parts = append(parts, fmt.Sprintf("entry-%d %s %s %v", a.entry, a.outcome, a.problem, a.err))
	}
	return strings.Join(parts, " | ")
}

func (c *callers) verdict(b *booking) string {
	keyed := "plain "
	if b.keyed {
		keyed = "keyed "
	}
	a := b.last()
	switch {
	case b.is(apperr.OutcomeDone):
		return keyed + "done"
	case a.refused:
		return keyed + "no connection"
	case a.err != nil:
		return keyed + "no answer"
	default:
		return keyed + string(a.outcome)
	}
}
