package outage

import (
	"math/rand/v2"
	"testing"
	"time"
)

// replay simulates a process that reads every 300 ms and gets submissions, and a service
// with an outage, on a virtual clock.
type replay struct {
	t      *testing.T
	b      *Breaker
	now    time.Duration
	events map[time.Duration][]func()
	// respond returns the answer time and the result of a call.
	respond                  func(now time.Duration, c Call) (time.Duration, Result)
	probing                  bool
	served, refused, unknown int
}

func (r *replay) after(d time.Duration, event func()) {
	at := (r.now + d).Truncate(ms)
	r.events[at] = append(r.events[at], event)
}

func (r *replay) call(c Call, timeout time.Duration, then func(Result)) {
	started := r.now
	r.b.Started(started, c)
	took, result := r.respond(started, c)
	if took > timeout {
		took, result = timeout, TimedOut
	}
	r.after(max(took, ms), func() {
		r.b.Ended(r.now, started, c, result)
		then(result)
	})
}

// probe makes up to three reads, as internal/jobs does.
func (r *replay) probe(left int) {
	if left == 0 {
		r.probing = false
		return
	}
	r.probing = true
	r.call(Read, 650*ms, func(result Result) {
		if result != Lost {
			left = 1
		}
		r.after(60*ms, func() { r.probe(left - 1) })
	})
}

// submit sends a submission that its caller gives up 2.85 s after first. It waits until
// end for permission.
func (r *replay) submit(first, end time.Duration, attempt int) {
	again := func() { r.submit(first, r.now+700*ms, attempt+1) }
	refused := func() {
		switch {
		case attempt == 0:
			r.refused++
		case r.now >= first+2850*ms:
			r.unknown++
		default:
			r.after(80*ms, again)
		}
	}
	decision := r.b.Ask(r.now, attempt > 0)
	if state, _ := r.b.State(); decision == Admit && state == Open {
		r.t.Error("a submission was admitted while the breaker was open")
	}
	if decision == Probe && !r.probing {
		r.probe(3)
	}
	switch {
	case decision == Admit:
		r.call(Write, min(300*ms<<attempt, 1500*ms), func(result Result) {
			r.b.Done()
			switch {
			case result == Answered:
				r.served++
			case result == Refused:
				refused()
			case r.now >= first+2850*ms:
				r.unknown++
			default:
				r.after(80*ms, again)
			}
		})
	case decision == Reject || r.now >= end:
		refused()
	default:
		r.after(10*ms, func() { r.submit(first, end, attempt) })
	}
}

// Guards against submissions of unknown outcome during an outage, and against refusals
// when there is none. Four submissions arrive per second; callers do not retry. The first
// call of most outages is a submission, whose outcome stays unknown.
func TestBreakerInOutages(t *testing.T) {
	const begin = 10 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	always := func(took time.Duration, result Result) func(time.Duration, Call) (time.Duration, Result) {
		return func(time.Duration, Call) (time.Duration, Result) { return took, result }
	}
	writes := func(took time.Duration, result Result, share float64) func(time.Duration, Call) (time.Duration, Result) {
		return func(_ time.Duration, c Call) (time.Duration, Result) {
			if c == Write && random.Float64() < share {
				return took, result
			}
			return 4 * ms, Answered
		}
	}
	stale := map[Call]bool{} // kinds of calls that have met a reset idle connection
	for _, c := range []struct {
		name    string
		lasts   time.Duration
		respond func(time.Duration, Call) (time.Duration, Result)
		// The numbers are maxima, but for minRefused.
		unknown, refused, minRefused int
	}{
		{"silent for 4 s", 4 * time.Second, always(time.Hour, Answered), 1, 16, 13},
		{"silent for 9 s", 9 * time.Second, always(time.Hour, Answered), 1, 36, 33},
		{"busy", 9 * time.Second, always(4*ms, Refused), 0, 37, 33},
		{"connections reset", 4 * time.Second, always(ms, Lost), 1, 17, 14},
		{"60 times slower", 9 * time.Second, always(240*ms, Answered), 0, 0, 0},
		{"78 times slower", 9 * time.Second, always(400*ms, Answered), 0, 0, 0},
		{"reads take 600 ms", 9 * time.Second, func(_ time.Duration, c Call) (time.Duration, Result) {
			return map[Call]time.Duration{Read: 600 * ms, Write: 4 * ms}[c], Answered
		}, 0, 0, 0},
		{"30% of writes unanswered", 4500 * ms, writes(time.Hour, Answered, 0.3), 0, 2, 0},
		{"30% of connections lost in writes", 4500 * ms, writes(ms, Lost, 0.3), 0, 2, 0},
		{"all writes lose their connection", 4 * time.Second, writes(ms, Lost, 1), 3, 17, 10},
		{"all writes unanswered", 4 * time.Second, writes(time.Hour, Answered, 1), 9, 17, 5},
		{"idle connections reset once", 4 * time.Second, func(_ time.Duration, c Call) (time.Duration, Result) {
			if !stale[c] {
				stale[c] = true
				return ms, Lost
			}
			return 4 * ms, Answered
		}, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &replay{t: t, b: NewBreaker(800 * ms), now: 0, events: make(map[time.Duration][]func())}
			r.respond = func(now time.Duration, call Call) (time.Duration, Result) {
				if now < begin || now >= begin+c.lasts {
					return 4 * ms, Answered
				}
				return c.respond(now, call)
			}
			sent := 0
			for ; r.now < begin+c.lasts+10*time.Second; r.now += ms {
				if r.now%(300*ms) == 50*ms {
					r.call(Read, 700*ms, func(Result) {})
				}
				if r.now%(250*ms) == 100*ms && r.now < begin+c.lasts+6*time.Second {
					sent++
					r.submit(r.now, r.now+700*ms, 0)
				}
				for len(r.events[r.now]) > 0 {
					event := r.events[r.now][0]
					r.events[r.now] = r.events[r.now][1:]
					event()
				}
			}
			t.Logf("%d submissions: served %d, refused %d, unknown %d", sent, r.served, r.refused, r.unknown)
			if r.unknown > c.unknown || r.refused > c.refused || r.refused < c.minRefused || r.served+r.refused+r.unknown != sent {
				t.Errorf("want at most %d unknown and %d to %d refused", c.unknown, c.minRefused, c.refused)
			}
			if state, _ := r.b.State(); state != Closed {
				t.Errorf("the breaker is %v 10 s after the outage", state)
			}
		})
	}
}

// Guards against retry times with which the four retries of a caller end before an
// outage of 9 s, or that are long when the outage has just begun or is over.
func TestRetryAfterSpansAnOutage(t *testing.T) {
	b := NewBreaker(800 * ms)
	begin := time.Minute
	b.Started(begin, Read)
	retry := begin + ms
	for range 4 {
		b.Ended(retry, retry-ms, Read, Lost)
		wait := b.RetryAfter(retry)
		if retry < begin+time.Second && wait > time.Second {
			t.Errorf("retry after %v at the begin of an outage", wait)
		}
		retry += max(wait, time.Second) + 500*ms // with the mean jitter
	}
	if retry < begin+9*time.Second || retry > begin+10*time.Second {
		t.Errorf("the last retry is made %v after the begin of the outage, want 9 s to 10 s", retry-begin)
	}
	b.Ended(retry+ms, retry, Read, Answered)
	if wait := b.RetryAfter(retry + ms); wait != 0 {
		t.Errorf("retry after %v when calls are answered again", wait)
	}
}

// FuzzBreaker applies calls and submissions, each encoded in two bytes, and checks what
// must never happen: a submission admitted while the breaker is open, more in flight
// after an outage than writes were answered, or opening while calls are answered. If all
// calls are answered afterwards, the breaker must close within 6 s.
func FuzzBreaker(f *testing.F) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 400 {
		data := make([]byte, 300)
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b := NewBreaker(800 * ms)
		now := time.Minute
		var answered, writeAnswered time.Duration // latest start times
		writes, inFlight, last := 0, 0, Closed
		check := func() {
			state, cause := b.State()
			if state == Open && last == Closed {
				quiet := map[Cause]time.Duration{CauseSilent: 800 * ms, CauseRefused: 800 * ms, CauseLost: confirmAfter, CauseWrites: lostWritesPeriod}[cause]
				since := answered
				if cause == CauseWrites {
					since = writeAnswered
				}
				if now-since < quiet {
					t.Fatalf("opened (%s) %v after the start of an answered call", cause, now-since)
				}
			}
			if state == HalfOpen && last == Open {
				writes = 0
			}
			last = state
		}
		ask := func(resend bool) bool {
			before, cause := b.State()
			if d := b.Ask(now, resend); d != Admit {
				check()
				return false
			}
			inFlight++
			check()
			if last == Open || before == Open && cause != CauseWrites {
				t.Fatal("a submission was admitted while the breaker was open")
			}
			if last == HalfOpen && inFlight > 1+writes {
				t.Fatalf("%d submissions in flight after %d answered writes", inFlight, writes)
			}
			return true
		}
		end := func(started time.Duration, c Call, result Result) {
			if result == Answered {
				answered = max(answered, started)
				if c == Write {
					writeAnswered = max(writeAnswered, started)
					writes++
				}
			}
			b.Ended(now, started, c, result)
			check()
		}
		for ; len(data) >= 2; data = data[2:] {
			op, n := data[0], time.Duration(data[1])
			now += n * ms
			switch {
			case op < 100: // a call that takes up to 255 ms
				started, c := now, Call(op%3)
				b.Started(now, c)
				check()
				now += time.Duration(op) * n / 40 * ms
				end(started, c, Result(op/3%4))
			case op < 180: // calls that fail, as in an outage
				b.Started(now, Call(op%2))
				check()
				end(now, Call(op%2), Lost)
			case op < 220:
				ask(op%2 == 0)
			case inFlight > 0:
				b.Done()
				inFlight--
			}
		}
		for ; inFlight > 0; inFlight-- {
			b.Done()
		}
		for until := now + 6*time.Second; now < until; now += 100 * ms {
			for _, c := range []Call{Read, Write} {
				if c == Write && !ask(false) {
					continue
				}
				b.Started(now, c)
				now += 4 * ms
				end(now-4*ms, c, Answered)
				if c == Write {
					b.Done()
					inFlight--
				}
			}
		}
		if last != Closed {
			t.Fatalf("the breaker is %v after 6 s in which calls were answered", last)
		}
	})
}
