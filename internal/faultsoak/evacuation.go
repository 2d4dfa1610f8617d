package faultsoak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/lease"
)

const (
	// evacuationBound is the time from the acknowledgement of an evacuation after which
	// nothing may start in the failure domain.
	evacuationBound = 5 * time.Second
	// faultGrace is the time after a fault of the store or of the owner in which starts
	// there are allowed. An owner that does not learn of the evacuation, because it is
	// not served or does not run, goes on with the tasks and worker leases that it has,
	// and so does a successor of it that has to read the rows first.
	faultGrace = 4 * time.Second
	// agentCallTime is how long an agent waits for a worker, and thus how long after a
	// pause of the agent the worker may receive an order that was sent before.
	agentCallTime = 1500 * time.Millisecond
	// failureDomains is the number of failure domains of the workers.
	failureDomains      = 3
	ownerSampleInterval = 20 * time.Millisecond
)

func failureDomain(worker int) string { return fmt.Sprintf("z%d", worker%failureDomains) }

// period is a time span. It has not ended yet if to is zero.
type period struct{ from, to time.Time }

func (p period) includes(t time.Time, grace time.Duration) bool {
	return !t.Before(p.from) && (p.to.IsZero() || t.Before(p.to.Add(grace)))
}

// intersect returns the common part of two periods, which may be a point in time, and
// false if there is none.
func (p period) intersect(o period) (period, bool) {
	if o.from.After(p.from) {
		p.from = o.from
	}
	if p.to.IsZero() || !o.to.IsZero() && o.to.Before(p.to) {
		p.to = o.to
	}
	return p, p.to.IsZero() || !p.to.Before(p.from)
}

// faultLog records the periods of a fault. Its zero value is ready to use.
type faultLog struct {
	mu      sync.Mutex
	periods []period
}

func (l *faultLog) set(active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.periods) - 1
	open := last >= 0 && l.periods[last].to.IsZero()
	switch {
	case active && !open:
		l.periods = append(l.periods, period{from: time.Now()})
	case !active && open:
		l.periods[last].to = time.Now()
	}
}

func (l *faultLog) all() []period {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.periods)
}

type taskStart struct {
	at     time.Time
	worker int
	task   string
	run    uint64
}

// ownership is the period in which the lease row names an entry; -1 for none.
type ownership struct {
	entry int
	period
}

// evacuationChecker checks that no task starts in a failure domain later than
// evacuationBound after its evacuation was acknowledged. These starts are allowed:
//   - while the store did not serve its clients, and in faultGrace after that;
//   - while the owner was paused, killed or cut off from the store, and in faultGrace
//     after that or after another entry has become the owner;
//   - late orders: the worker's agent was paused, or a connection on the way from the
//     owner was slow, in the last agentCallTime. The owner can't recall an order.
type evacuationChecker struct {
	mu          sync.Mutex
	evacuations [failureDomains]faultLog
	starts      []taskStart
	owners      []ownership
	// store and entries are the faults of the store and of each entry, workers those that
	// deliver orders for each worker late.
	store            []*faultLog
	entries, workers [][]*faultLog
}

func (e *evacuationChecker) recordStart(worker int, task string, run uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts = append(e.starts, taskStart{time.Now(), worker, task, run})
}

func (e *evacuationChecker) recordOwner(entry int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if last := len(e.owners) - 1; last >= 0 {
		if e.owners[last].entry == entry {
			return
		}
		e.owners[last].to = now
	}
	e.owners = append(e.owners, ownership{entry, period{from: now}})
}

// check returns the violations and the number of starts that a fault excuses.
func (e *evacuationChecker) check() (violations []string, excused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.starts {
		for _, evacuation := range e.evacuations[s.worker%failureDomains].all() {
			if !evacuation.includes(s.at, 0) || s.at.Sub(evacuation.from) <= evacuationBound {
				continue
			}
			if includedIn(e.store, s.at, faultGrace) || includedIn(e.workers[s.worker], s.at, agentCallTime) || e.ownerFault(s.at) {
				excused++
				continue
			}
			violations = append(violations, fmt.Sprintf("%s task %s run %d started on worker %d %v after the evacuation of %s",
				s.at.Format("15:04:05.000"), s.task, s.run, s.worker, s.at.Sub(evacuation.from), failureDomain(s.worker)))
		}
	}
	return violations, excused
}

func includedIn(logs []*faultLog, t time.Time, grace time.Duration) bool {
	return slices.ContainsFunc(logs, func(l *faultLog) bool {
		return slices.ContainsFunc(l.all(), func(p period) bool { return p.includes(t, grace) })
	})
}

// ownerFault reports whether an entry had a fault while it was the owner, at the given
// time or less than faultGrace before.
func (e *evacuationChecker) ownerFault(t time.Time) bool {
	for _, o := range e.owners {
		if o.entry < 0 {
			continue
		}
		for _, l := range e.entries[o.entry] {
			for _, p := range l.all() {
				if common, ok := p.intersect(o.period); ok && common.includes(t, faultGrace) {
					return true
				}
			}
		}
	}
	return false
}

// owner returns the entry that the lease row names as the owner, or -1.
func (w *soakRun) owner() int {
	for _, row := range w.store.Rows("lease") {
		l, err := lease.Decode(row.Value)
		if err != nil {
			w.addViolation("lease row %s: %v", row.Key, err)
			continue
		}
		if i := slices.Index(w.entryAddresses, string(l.Owner)); i >= 0 {
			return i
		}
	}
	return -1
}

func (w *soakRun) sampleOwner(ctx context.Context) {
	for ctx.Err() == nil {
		w.evacuations.recordOwner(w.owner(), time.Now())
		time.Sleep(ownerSampleInterval)
	}
}
