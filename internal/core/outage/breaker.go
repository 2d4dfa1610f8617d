package outage

import "time"

// Call is the kind of a call.
type Call int

// Kinds of calls. A Wait is a read that the service may answer late on purpose.
const (
	Read Call = iota
	Write
	Wait
)

// Result is the result of a call.
type Result int

// Results of calls. A refusal is a response which says that the call had no effect, and
// a lost call one whose connection failed before the response. A service that refuses
// calls can be reached but serves none, so that a refusal is evidence neither for nor
// against suspecting an outage.
const (
	Answered Result = iota
	Refused
	Lost
	TimedOut
)

// State is the state of a Breaker.
type State int

// States of a Breaker, in the order of severity.
const (
	Closed State = iota
	HalfOpen
	Open
)

func (s State) String() string { return [...]string{"closed", "half-open", "open"}[s] }

// Cause is the reason for which a Breaker opened.
type Cause string

// Causes of opening.
const (
	// CauseSilent: no call was answered for SilentAfter.
	CauseSilent Cause = "silent"
	// CauseRefused: the same, and the last result was a refusal.
	CauseRefused Cause = "refused"
	// CauseLost: connections fail, also new ones.
	CauseLost Cause = "connections_lost"
	// CauseWrites: writes are lost, whether or not reads are answered.
	CauseWrites Cause = "writes_lost"
)

// Decision is the answer to a submission that asks to be sent.
type Decision int

// Decisions. Probe and Queue ask the submission to wait and ask again: until a probe
// that the caller makes has ended, or until another submission has ended.
const (
	Admit Decision = iota
	Probe
	Queue
	Reject
)

const (
	// confirmAfter is the least time from the first lost connection to opening, and
	// confirmLost the number of calls that must be lost that were started after it.
	// All idle connections may be reset at the same time while new ones work.
	confirmAfter = 100 * time.Millisecond
	confirmLost  = 2
	// minSuspectAfter is the least time for which a call is unanswered before
	// submissions wait for a probe. It is 40 times the usual answer time; the actual
	// time follows the answer times of reads.
	minSuspectAfter = 150 * time.Millisecond
	// lostWrites is the number of writes without any answered one that must be lost
	// before the Breaker opens because of them. If 30% are lost at random, four in a
	// row are lost with a probability of 0.8%.
	lostWrites = 4
	// lostWritesPeriod and unansweredWritesPeriod are the least times from the first
	// of these writes to the last, without and with timeouts among them. A slow
	// service carries out writes late, and answers them when the timeout has grown,
	// which takes up to 1.5 s.
	lostWritesPeriod       = 500 * time.Millisecond
	unansweredWritesPeriod = 1500 * time.Millisecond
	// resendPause and submissionPause are the times after opening because of lost
	// writes from which one write is sent as a trial. Submissions of unknown outcome
	// go first, since a lost trial costs them nothing.
	resendPause     = 250 * time.Millisecond
	submissionPause = time.Second
	// closingWindow is the number of concurrent submissions from which on they need
	// no bound: an entry gets 2 to 15 submissions per second, and holds the few of them
	// that arrive within 0.7 s.
	closingWindow = 32
	// maxHalfOpen is the time after which a Breaker closes that has seen no failure
	// since it became half-open, also without submissions.
	maxHalfOpen = 2 * time.Second
	// maxRetryAfter bounds the time after which rejected callers are asked to retry.
	// Callers make four retries. With two thirds of the age of an outage and up to 1 s
	// of jitter they retry about 1.5, 3, 5.5 and 9 s after its begin, so that the last
	// one is made after the longest outage.
	maxRetryAfter = 3 * time.Second
)

// Breaker is a circuit breaker for submissions to one service. Times are readings of
// one monotonic clock; they must be positive and in order, except for the start times
// given to Ended. A Breaker is not safe for concurrent use.
type Breaker struct {
	silence   Detector
	readTimes Timeout

	state State
	cause Cause
	// openedAt is the time of the last opening, halfOpenAt that of the last change to
	// half-open, and outageSince the time of the first opening since it was closed.
	openedAt, halfOpenAt, outageSince time.Duration
	// lastAnswered and lastFailed are the latest start times of an answered call, and
	// of one that was lost or timed out.
	lastAnswered, lastFailed time.Duration
	lastResult               Result
	// suspectedAt is the time of the first failure since a later call was answered, or
	// 0. The field lost counts the calls started since then that were lost.
	suspectedAt time.Duration
	lost        int
	// unservedSince is the start time of the first call of any result but Answered
	// since a later one was answered, or 0, and lastUnserved that of the latest.
	unservedSince, lastUnserved time.Duration
	// writesLost counts the lost writes in a row, the first of which started at
	// writesLostSince. writeTimedOut is set if one of them timed out.
	writesLost      int
	writesLostSince time.Duration
	writeTimedOut   bool
	// inFlight counts the admitted submissions that have not ended, window bounds it
	// while the Breaker is half-open, and writeAnswered is set once a write was
	// answered in that state.
	inFlight, window int
	writeAnswered    bool
	// closingWindow is the window above which the Breaker closes.
	closingWindow int
}

// NewBreaker returns a closed Breaker. It opens when calls are unanswered for
// silentAfter, which must be well above the slowest answer times.
func NewBreaker(silentAfter time.Duration) *Breaker {
	return &Breaker{
		closingWindow: closingWindow, silence: Detector{SilentAfter: silentAfter},
		readTimes: Timeout{Min: min(minSuspectAfter, silentAfter), Max: silentAfter},
	}
}

// Started records the start of a call. The start of a Wait is not recorded: that it is
// unanswered means nothing.
func (b *Breaker) Started(now time.Duration, call Call) {
	b.advance(now)
	if call != Wait {
		b.silence.Started(now)
	}
}

// GivenUp records that the caller of a call that was started at the given time does not
// wait for its result any more. If reads usually take as long, the missing answer is no
// evidence of an outage.
func (b *Breaker) GivenUp(now, started time.Duration) {
	b.advance(now)
	if now-started < b.readTimes.Value() {
		b.silence.GivenUp(started)
	}
}

// Ended records the result of a call that was started at the given time. A call that
// its caller has abandoned has no result; see GivenUp.
func (b *Breaker) Ended(now, started time.Duration, call Call, r Result) {
	b.lastResult = r
	switch r {
	case Answered:
		b.answered(now, started, call)
	case Refused:
		b.unserved(started)
		if b.state == HalfOpen {
			b.window = max(1, b.window/2)
		}
	case Lost, TimedOut:
		b.unserved(started)
		b.failed(now, started, call, r)
	}
	b.advance(now)
}

func (b *Breaker) unserved(started time.Duration) {
	if started <= b.lastAnswered {
		return
	}
	b.lastUnserved = max(b.lastUnserved, started)
	if b.unservedSince == 0 {
		b.unservedSince = started
	}
}

func (b *Breaker) answered(now, started time.Duration, call Call) {
	b.silence.Answered(started)
	b.lastAnswered = max(b.lastAnswered, started)
	if call == Read {
		b.readTimes.Answered(now - started)
	}
	if started > b.lastFailed || started >= b.suspectedAt {
		b.suspectedAt, b.lost = 0, 0
	}
	if started > b.lastUnserved {
		b.unservedSince = 0
	}
	if call == Write && started >= b.writesLostSince {
		b.clearLostWrites()
	}
	b.resume(now, started, call)
}

// resume changes the state after an answer to a call that was started at the given time.
func (b *Breaker) resume(now, started time.Duration, call Call) {
	switch {
	case b.state == Open && b.cause == CauseWrites && call == Write && started >= b.openedAt:
		b.toHalfOpen(now)
		b.writeAnswered = true
	case b.state == Open && b.cause != CauseWrites && b.suspectedAt == 0 && !b.silence.Silent(now):
		b.toHalfOpen(now)
	case b.state == HalfOpen && call == Write && started >= b.halfOpenAt:
		b.writeAnswered = true
		if b.window++; b.window > b.closingWindow {
			b.close()
		}
	}
}

func (b *Breaker) failed(now, started time.Duration, call Call, r Result) {
	if call == Write {
		b.writeFailed(now, started, r)
	}
	if started <= b.lastAnswered {
		return // the service answered a later call
	}
	b.lastFailed = max(b.lastFailed, started)
	switch {
	case b.suspectedAt == 0:
		b.suspectedAt = now
	case r == Lost && started >= b.suspectedAt:
		b.lost++
	}
	if b.lost >= confirmLost && now >= b.suspectedAt+confirmAfter {
		b.open(now, CauseLost)
	}
}

func (b *Breaker) writeFailed(now, started time.Duration, r Result) {
	if b.writesLost == 0 {
		b.writesLostSince = started
	}
	b.writesLost++
	b.writeTimedOut = b.writeTimedOut || r == TimedOut
	period := lostWritesPeriod
	if b.writeTimedOut {
		period = unansweredWritesPeriod
	}
	trialLost := b.state == HalfOpen && b.cause == CauseWrites && !b.writeAnswered && started >= b.halfOpenAt
	if trialLost || b.writesLost >= lostWrites && now >= b.writesLostSince+period {
		b.open(now, CauseWrites)
	}
}

func (b *Breaker) clearLostWrites() {
	b.writesLost, b.writesLostSince, b.writeTimedOut = 0, 0, false
}

// advance makes the changes that depend on the time only.
func (b *Breaker) advance(now time.Duration) {
	if b.silence.Silent(now) {
		cause := CauseSilent
		if b.lastResult == Refused {
			cause = CauseRefused
		}
		b.open(now, cause)
	}
	if b.state == HalfOpen && (b.cause != CauseWrites || b.writeAnswered) && b.suspectedAt == 0 && now >= b.halfOpenAt+maxHalfOpen {
		b.close()
	}
}

func (b *Breaker) open(now time.Duration, cause Cause) {
	if b.state == Open {
		return
	}
	if b.state == Closed {
		b.outageSince = now
	}
	b.state, b.cause, b.openedAt = Open, cause, now
}

func (b *Breaker) toHalfOpen(now time.Duration) {
	b.state, b.halfOpenAt, b.window, b.writeAnswered = HalfOpen, now, 1, false
	b.clearLostWrites()
}

func (b *Breaker) close() {
	b.state, b.outageSince = Closed, 0
	b.clearLostWrites()
}

// Ask decides whether a submission may be sent now. resend is set for a submission that
// was sent before and whose outcome is unknown. Each one that is admitted must be
// followed by Done.
func (b *Breaker) Ask(now time.Duration, resend bool) Decision {
	if b.rejects(now, resend) {
		return Reject
	}
	if b.state == Open {
		b.toHalfOpen(now)
	}
	switch {
	case b.Suspected(now):
		return Probe
	case b.state == HalfOpen && b.inFlight >= b.window:
		return Queue
	}
	b.inFlight++
	return Admit
}

// rejects reports whether a submission would be rejected now, and changes nothing but
// what depends on the time.
func (b *Breaker) rejects(now time.Duration, resend bool) bool {
	b.advance(now)
	trial := b.cause == CauseWrites && b.inFlight == 0 && now >= b.openedAt+trialPause(resend)
	return b.state == Open && !trial
}

func trialPause(resend bool) time.Duration {
	if resend {
		return resendPause
	}
	return submissionPause
}

// Done records the end of an admitted submission's call.
func (b *Breaker) Done() { b.inFlight-- }

// Suspected reports whether the last calls have failed or are unanswered for longer than
// reads usually take. After a refusal nothing is suspected until the Breaker opens: a
// submission that is sent is refused too, and has not run.
func (b *Breaker) Suspected(now time.Duration) bool {
	return b.suspectedAt != 0 || b.lastResult != Refused && b.silence.UnansweredFor(now) >= b.readTimes.Value()
}

// State returns the state, and the cause of the last opening.
func (b *Breaker) State() (State, Cause) { return b.state, b.cause }

// RetryAfter returns the time after which a caller that is rejected now should retry,
// before jitter: short at first, since another process may be served or the outage may
// be short, and longer as the outage lasts, so that the caller's retries do not run out.
// It is 0 while the service serves calls; a minimum is up to the caller of this method.
func (b *Breaker) RetryAfter(now time.Duration) time.Duration {
	since := b.unservedSince
	switch {
	case b.state == HalfOpen:
		return 0
	case b.state == Open && (since == 0 || b.outageSince < since):
		since = b.outageSince
	case since == 0:
		return 0
	}
	return min(maxRetryAfter, (now-since)*2/3)
}
