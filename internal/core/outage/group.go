package outage

import "time"

// recentAnswer is the time for which an answer in one partition shows that the service
// as a whole can be reached. A process that follows changes gets an answer each second.
const recentAnswer = 1200 * time.Millisecond

// forgetOpen is the time after the last failure from which an open partition without
// calls no longer counts as failing. Probes are at most 0.4 s apart while it is used.
const forgetOpen = 2 * time.Second

// partitionClosingWindow closes the breaker of a partition at its first answered write.
// The breaker of the whole service bounds the burst after an outage of all partitions;
// of a single one, few submissions wait.
const partitionClosingWindow = 1

// Group holds the circuit breakers of a service that may be unavailable as a whole or in
// some of its partitions only. A submission is admitted if both the breaker of its
// partition and that of the whole service admit it.
//
// The breaker of the whole service counts a failure only if no other partition has
// answered recently: otherwise an outage of a few partitions would suspend submissions
// to all. The first lost call of a partition makes the others suspect, so that the next
// submission to each waits for a probe there, and an outage of the whole service is not
// learned anew by a lost submission in each partition.
//
// Times are readings of one monotonic clock, as for a Breaker. A Group is not safe for
// concurrent use.
type Group struct {
	silentAfter time.Duration
	whole       *Breaker
	partitions  map[string]*Breaker
	// answeredAt holds, for each partition, the time of its last answer.
	answeredAt map[string]time.Duration
}

// NewGroup returns a group of closed breakers. Each opens when calls are unanswered for
// silentAfter.
func NewGroup(silentAfter time.Duration) *Group {
	return &Group{
		silentAfter: silentAfter, whole: NewBreaker(silentAfter),
		partitions: make(map[string]*Breaker), answeredAt: make(map[string]time.Duration),
	}
}

func (g *Group) partition(name string) *Breaker {
	b := g.partitions[name]
	if b == nil {
		b = NewBreaker(g.silentAfter)
		b.closingWindow = partitionClosingWindow
		g.partitions[name] = b
	}
	return b
}

// Started records the start of a call to a partition.
func (g *Group) Started(now time.Duration, partition string, call Call) {
	g.whole.Started(now, call)
	g.partition(partition).Started(now, call)
}

// Ended records the result of a call. It reports whether the call is the first lost one
// of a partition that was not known to fail.
func (g *Group) Ended(now, started time.Duration, partition string, call Call, r Result) (firstLost bool) {
	b := g.partition(partition)
	firstLost = r == Lost && b.state != Open && b.suspectedAt == 0
	b.Ended(now, started, call, r)
	if r == Answered {
		g.answeredAt[partition] = now
	}
	if r == Answered || !g.otherAnswered(now, partition) {
		g.whole.Ended(now, started, call, r)
	}
	if firstLost {
		g.suspectOthers(now, partition)
	}
	return firstLost
}

// GivenUp records a call without a result, see Breaker.GivenUp. The breaker of a partition
// needs it, since a later call there, whose answer would prove that the service is not
// silent, may follow only after a long time.
func (g *Group) GivenUp(now, started time.Duration, partition string, call Call) {
	if call == Wait {
		return // its start was not recorded
	}
	g.whole.GivenUp(now, started)
	g.partition(partition).GivenUp(now, started)
}

// otherAnswered reports whether another partition has answered recently.
func (g *Group) otherAnswered(now time.Duration, except string) bool {
	for name, at := range g.answeredAt {
		if name != except && now < at+recentAnswer {
			return true
		}
	}
	return false
}

func (g *Group) suspectOthers(now time.Duration, except string) {
	for name, b := range g.partitions {
		if name != except && b.suspectedAt == 0 {
			b.suspectedAt, b.lost = now, 0
		}
	}
}

// Ask decides whether a submission to a partition may be sent now. Each one that is
// admitted must be followed by Done. A probe must read from the same partition.
func (g *Group) Ask(now time.Duration, partition string, resend bool) Decision {
	if g.whole.rejects(now, resend) {
		return Reject // also if the partition is only suspected: a probe would be in vain
	}
	b := g.partition(partition)
	if d := b.Ask(now, resend); d != Admit {
		return d
	}
	d := g.whole.Ask(now, resend)
	if d != Admit {
		b.Done()
	}
	return d
}

// Done records the end of an admitted submission's call.
func (g *Group) Done(partition string) {
	g.partition(partition).Done()
	g.whole.Done()
}

// RetryAfter returns the time after which a caller that is rejected now should retry;
// see Breaker.RetryAfter.
func (g *Group) RetryAfter(now time.Duration, partition string) time.Duration {
	return max(g.partition(partition).RetryAfter(now), g.whole.RetryAfter(now))
}

// Reachable reports whether the service as a whole admits submissions, so that a probe
// of a partition that is open is worth a short wait.
func (g *Group) Reachable() bool { return g.whole.state != Open }

// State returns the most severe state of all breakers and its cause, and the number of
// partitions that are open. A partition that is open counts for forgetOpen after its last
// failure: without calls it stays open until the next submission probes it.
func (g *Group) State(now time.Duration) (worst State, cause Cause, open int) {
	g.whole.advance(now)
	worst, cause = g.whole.State()
	for _, b := range g.partitions {
		b.advance(now)
		s, c := b.State()
		if s == Open && now >= max(b.openedAt, b.lastFailed, b.lastUnserved)+forgetOpen {
			continue
		}
		if s > worst {
			worst, cause = s, c
		}
		if s == Open {
			open++
		}
	}
	return worst, cause, open
}
