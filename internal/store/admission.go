package store

import "time"

// admission decides when an attempt may be sent to the table. The caller
// passes in the time and the random numbers.
type admission struct {
	backoff backoff
	budgets [numAccesses]*budget
	// waiting counts the attempts that are waiting for admission.
	waiting [numAccesses][numClasses]int
}

// decision is the result of asking for the admission of an attempt.
type decision struct {
	granted bool
	ticket  ticket
	// wait is how long the attempt waits before it asks again; zero means until
	// another attempt ends or stops waiting.
	wait time.Duration
	// tableFailing is set if the attempt waits because the table is failing
	// rather than because the budget is used up.
	tableFailing bool
}

func newAdmission(limits Limits, now time.Duration) *admission {
	a := &admission{}
	a.budgets[accessRead] = newBudget(limits.ReadsPerSecond, limits.LeaseShare, now)
	a.budgets[accessWrite] = newBudget(limits.WritesPerSecond, limits.LeaseShare, now)
	return a
}

// decide decides whether an attempt of the class is admitted at the given time.
func (a *admission) decide(acc access, class Class, now time.Duration) decision {
	b := a.budgets[acc]
	b.raiseLimit(now, a.noneWaiting(acc))
	if a.backoff.blocked(now) {
		return decision{tableFailing: true, wait: a.backoffRemaining(now)}
	}
	if a.higherClassWaiting(acc, class) {
		return decision{tableFailing: a.backoff.failures > 0}
	}
	ok, wait := b.take(class, now)
	if !ok {
		return decision{wait: wait}
	}
	t := ticket{access: acc, probe: a.backoff.failures > 0}
	a.backoff.probeInFlight = t.probe
	return decision{granted: true, ticket: t}
}

// backoffRemaining returns the time left of the backoff, or zero while a probe
// is in flight.
func (a *admission) backoffRemaining(now time.Duration) time.Duration {
	if a.backoff.probeInFlight {
		return 0
	}
	return a.backoff.until - now
}

// higherClassWaiting reports whether an attempt of a class with precedence over
// the given one is waiting. While the table is failing, reads and writes compete
// for the same probe.
func (a *admission) higherClassWaiting(acc access, class Class) bool {
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

func (a *admission) noneWaiting(acc access) bool {
	return a.waiting[acc] == [numClasses]int{}
}

// recordFailure records a failed attempt and reports whether it started an
// outage.
func (a *admission) recordFailure(t ticket, now time.Duration, u float64) bool {
	healthy, outage := a.backoff.failures == 0, a.backoff.outage()
	a.backoff.recordFailure(t, now, u)
	if healthy {
		for _, b := range a.budgets {
			b.freezeEstimate(now)
		}
	}
	return !outage && a.backoff.outage()
}

// recordSuccess records an answer of the table and reports whether it ended an
// outage.
func (a *admission) recordSuccess(t ticket, now time.Duration) bool {
	failing, outage := a.backoff.failures > 0, a.backoff.outage()
	a.backoff.recordSuccess(t)
	if !failing || a.backoff.failures > 0 {
		return false
	}
	for _, b := range a.budgets {
		b.endFailure(now, outage)
	}
	return outage
}
