package outage

import (
	"testing"
	"time"
)

// serialQueue is a service that processes calls one after another, including those
// whose callers have timed out. It refuses calls while its queue is longer than 1 s.
type serialQueue struct {
	serviceTime time.Duration
	freeAt      time.Duration
}

// call returns the time at which a call that is sent at now is answered, and false
// if the call is refused.
func (q *serialQueue) call(now time.Duration) (time.Duration, bool) {
	if q.freeAt > now+time.Second {
		return 0, false
	}
	q.freeAt = max(q.freeAt, now) + q.serviceTime
	return q.freeAt, true
}

// countAnswered simulates 8 s with 4 submissions per second to a queue that takes
// 180 ms for each, and returns the number of answered ones. A submission is retried
// after each timeout and given up after 2.85 s.
func countAnswered(timeout func() time.Duration, answered func(time.Duration), expired func()) int {
	const gap, giveUpAfter, tick = 250 * ms, 2850 * ms, 10 * ms
	q := serialQueue{serviceTime: 180 * ms}
	events := make(map[time.Duration][]func())
	n := 0
	var send func(now time.Duration, first time.Duration)
	send = func(now, first time.Duration) {
		at, ok := q.call(now)
		if !ok || now >= first+giveUpAfter {
			return // refused or given up
		}
		if deadline := now + timeout(); at <= deadline {
			events[at.Round(tick)] = append(events[at.Round(tick)], func() { answered(at - now); n++ })
		} else {
			events[deadline.Round(tick)] = append(events[deadline.Round(tick)], func() { expired(); send(deadline, first) })
		}
	}
	for now := time.Duration(0); now < 8*time.Second; now += tick {
		if now%gap == 0 {
			send(now, now)
		}
		for len(events[now]) > 0 {
			event := events[now][0]
			events[now] = events[now][1:]
			event()
		}
	}
	return n
}

// Guards against retries that keep a slow service overloaded. 32 submissions arrive
// in 8 s, in which the service can process 44 calls.
func TestSlowServiceIsNotOverloadedByRetries(t *testing.T) {
	timeout := Timeout{Min: 300 * ms, Max: 1500 * ms}
	for range 20 {
		timeout.Answered(8 * ms)
	}
	if n := countAnswered(timeout.Value, timeout.Answered, timeout.Expired); n < 26 {
		t.Errorf("%d of 32 submissions were answered, want at least 26", n)
	}
	fixed := countAnswered(func() time.Duration { return 150 * ms }, func(time.Duration) {}, func() {})
	if fixed > 16 {
		t.Errorf("%d of 32 were answered with a timeout below the service's answer time, want at most 16; the load does not show the fault", fixed)
	}
}

// Guards against a long timeout for a fast service, with which a lost answer would
// use up most of a request's time. Earlier lost answers must not lengthen it.
func TestLostAnswerIsNoticedSoon(t *testing.T) {
	timeout := Timeout{Min: 300 * ms, Max: 1500 * ms}
	for i := range 30 {
		if i%3 == 0 {
			timeout.Expired()
		}
		timeout.Answered(8 * ms)
	}
	if v := timeout.Value(); v > 300*ms {
		t.Errorf("timeout %v after answers within 8 ms, want 300 ms", v)
	}
	timeout.Expired()
	timeout.Expired()
	timeout.Expired()
	if v := timeout.Value(); v != 1500*ms {
		t.Errorf("timeout %v after three calls without an answer, want 1.5 s", v)
	}
}

// Guards against a first timeout below the answer time of a slow service. A candidate
// for ownership would then give up its first write and never take over in time.
func TestFirstCallIsGivenTime(t *testing.T) {
	timeout := Timeout{Min: 300 * ms, Max: 1500 * ms}
	if v := timeout.Value(); v < 600*ms {
		t.Errorf("timeout %v before the first answer; a slow service takes 600 ms", v)
	}
}
