package outage

import (
	"testing"
	"time"
)

// serialQueue is a service that carries calls out one after another, whether or not
// somebody still waits for them, and refuses calls while a second of them waits.
type serialQueue struct {
	serviceTime time.Duration
	freeAt      time.Duration
}

// call returns when a call that was sent at now is answered, and false if it is
// refused.
func (q *serialQueue) call(now time.Duration) (time.Duration, bool) {
	if q.freeAt > now+time.Second {
		return 0, false
	}
	q.freeAt = max(q.freeAt, now) + q.serviceTime
	return q.freeAt, true
}

// countAnswered plays 8 s of 4 submissions a second against a queue that takes 180 ms for
// each. A submission is repeated after each timeout and given up after 2.85 s.
func countAnswered(timeout func() time.Duration, answered func(time.Duration), expired func()) int {
	const gap, giveUpAfter, tick = 250 * ms, 2850 * ms, 10 * ms
	q := serialQueue{serviceTime: 180 * ms}
	events := make(map[time.Duration][]func())
	n := 0
	var send func(now time.Duration, first time.Duration)
	send = func(now, first time.Duration) {
		at, ok := q.call(now)
		if !ok || now >= first+giveUpAfter {
			return // refused, or given up
		}
		if limit := now + timeout(); at <= limit {
			events[at.Round(tick)] = append(events[at.Round(tick)], func() { answered(at - now); n++ })
		} else {
			events[limit.Round(tick)] = append(events[limit.Round(tick)], func() { expired(); send(limit, first) })
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

// Guards against repeats that keep a slow service overloaded: 32 submissions come
// in 8 s, and the service can carry out 44.
func TestSlowServiceIsNotOverloadedByRepeats(t *testing.T) {
	limit := Timeout{Min: 300 * ms, Max: 1500 * ms}
	for range 20 {
		limit.Answered(8 * ms)
	}
	if n := countAnswered(limit.Value, limit.Answered, limit.Expired); n < 26 {
		t.Errorf("%d of 32 submissions were stored", n)
	}
	fixed := countAnswered(func() time.Duration { return 150 * ms }, func(time.Duration) {}, func() {})
	if fixed > 16 {
		t.Errorf("%d of 32 were stored with a timeout below the service's time: the load shows nothing", fixed)
	}
}

// Guards against a lost answer of a fast service that costs a request most of its
// time, also after other answers were lost.
func TestLostAnswerIsNoticedSoon(t *testing.T) {
	limit := Timeout{Min: 300 * ms, Max: 1500 * ms}
	for i := range 30 {
		if i%3 == 0 {
			limit.Expired()
		}
		limit.Answered(8 * ms)
	}
	if v := limit.Value(); v > 300*ms {
		t.Errorf("timeout %v after answers within 8 ms, want 300 ms", v)
	}
	limit.Expired()
	limit.Expired()
	limit.Expired()
	if v := limit.Value(); v != 1500*ms {
		t.Errorf("timeout %v after three calls without answer, want 1.5 s", v)
	}
}

// Guards against a process that has written nothing yet and gives its first write up
// while the service is slow: a candidate for ownership then never takes over in time.
func TestFirstCallIsGivenTime(t *testing.T) {
	limit := Timeout{Min: 300 * ms, Max: 1500 * ms}
	if v := limit.Value(); v < 600*ms {
		t.Errorf("timeout %v before the first answer; a slow service takes 600 ms", v)
	}
}
