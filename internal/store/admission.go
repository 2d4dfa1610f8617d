package store

import "time"

// admission decides when an attempt may go to the table. It has no clock and
// no randomness of its own.
type admission struct {
	backoff backoff
	budgets [accesses]*budget
	// waiting counts the attempts that were told to wait.
	waiting [accesses][classes]int
}

// decision is the answer to an attempt.
type decision struct {
	granted bool
	ticket  ticket
	// wait is how long the attempt waits before it asks again; zero means until
	// something changes.
	wait time.Duration
	// held tells that the table fails, rather than that the budget is used up.
	held bool
}

func newAdmission(limits Limits, now time.Duration) *admission {
	a := &admission{}
	a.budgets[accessRead] = newBudget(limits.ReadsPerSecond, limits.LeaseShare, now)
	a.budgets[accessWrite] = newBudget(limits.WritesPerSecond, limits.LeaseShare, now)
	return a
}

// ask decides on an attempt of the class at the given time.
func (a *admission) ask(acc access, class Class, now time.Duration) decision {
	b := a.budgets[acc]
	b.relax(now, a.idle(acc))
	if a.backoff.closed(now) {
		return decision{held: true, wait: a.holdTime(now)}
	}
	if a.precedes(acc, class) {
		return decision{held: a.backoff.failures > 0}
	}
	ok, wait := b.take(class, now)
	if !ok {
		return decision{wait: wait}
	}
	t := ticket{access: acc, probe: a.backoff.failures > 0}
	a.backoff.probing = t.probe
	return decision{granted: true, ticket: t}
}

// holdTime returns how long the back-off lasts; zero while a probe is out.
func (a *admission) holdTime(now time.Duration) time.Duration {
	if a.backoff.probing {
		return 0
	}
	return a.backoff.until - now
}

// precedes reports whether an attempt of a class that goes first waits. While
// the table fails, reads and writes compete for the same probe.
func (a *admission) precedes(acc access, class Class) bool {
	for c := Lease; c < class; c++ {
		if a.waiting[acc][c] > 0 {
			return true
		}
		if a.backoff.failures > 0 && a.waiting[accessRead][c]+a.waiting[accessWrite][c] > 0 {
			return true
		}
	}
	return false
}

func (a *admission) idle(acc access) bool {
	return a.waiting[acc] == [classes]int{}
}

// failed records a failure and reports whether an outage began with it.
func (a *admission) failed(t ticket, now time.Duration, u float64) bool {
	healthy, outage := a.backoff.failures == 0, a.backoff.outage()
	a.backoff.failed(t, now, u)
	if healthy {
		for _, b := range a.budgets {
			b.pause(now)
		}
	}
	return !outage && a.backoff.outage()
}

// succeeded records an answer and reports whether an outage ended with it.
func (a *admission) succeeded(t ticket, now time.Duration) bool {
	failing, outage := a.backoff.failures > 0, a.backoff.outage()
	a.backoff.succeeded(t)
	if !failing || a.backoff.failures > 0 {
		return false
	}
	for _, b := range a.budgets {
		b.resume(now, outage)
	}
	return outage
}
