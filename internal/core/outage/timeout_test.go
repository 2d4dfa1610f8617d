package outage

import (
	"testing"
	"time"
)

// partQueue is a service that carries calls out one after another, whether or not
// somebody still waits for them, and refuses calls while a second of them waits.
type partQueue struct {
	takes time.Duration
	free  time.Duration
}

// call returns when a call that was sent at now is answered, and false if it is
// refused.
func (q *partQueue) call(now time.Duration) (time.Duration, bool) {
	if q.free > now+time.Second {
		return 0, false
	}
	q.free = max(q.free, now) + q.takes
	return q.free, true
}

// served plays 8 s of 4 submissions a second against a queue that takes 180 ms for
// each. A submission is repeated after each timeout and given up after 2.85 s.
func served(timeout func() time.Duration, answered func(time.Duration), expired func()) int {
	const gap, patience, tick = 250 * ms, 2850 * ms, 10 * ms
	q := partQueue{takes: 180 * ms}
	ends := make(map[time.Duration][]func())
	n := 0
	var try func(now time.Duration, first time.Duration)
	try = func(now, first time.Duration) {
		at, ok := q.call(now)
		if !ok || now >= first+patience {
			return // refused, or given up
		}
		if limit := now + timeout(); at <= limit {
			ends[at.Round(tick)] = append(ends[at.Round(tick)], func() { answered(at - now); n++ })
		} else {
			ends[limit.Round(tick)] = append(ends[limit.Round(tick)], func() { expired(); try(limit, first) })
		}
	}
	for now := time.Duration(0); now < 8*time.Second; now += tick {
		if now%gap == 0 {
			try(now, now)
		}
		for len(ends[now]) > 0 {
			end := ends[now][0]
			ends[now] = ends[now][1:]
			end()
		}
	}
	return n
}

// Guards against repeats that keep a slow service overloaded: 32 submissions come
// in 8 s, and the service can carry out 44.
func TestSlowServiceIsNotOverloadedByRepeats(t *testing.T) {
	limit := Timeout{Least: 300 * ms, Most: 1500 * ms}
	for range 20 {
		limit.Answered(8 * ms)
	}
	if n := served(limit.Value, limit.Answered, limit.Expired); n < 26 {
		t.Errorf("%d of 32 submissions were stored", n)
	}
	fixed := served(func() time.Duration { return 150 * ms }, func(time.Duration) {}, func() {})
	if fixed > 16 {
		t.Errorf("%d of 32 were stored with a timeout below the service's time: the load shows nothing", fixed)
	}
}

// Guards against a lost answer of a fast service that costs a request most of its
// time, also after other answers were lost.
func TestLostAnswerIsNoticedSoon(t *testing.T) {
	limit := Timeout{Least: 300 * ms, Most: 1500 * ms}
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
	limit := Timeout{Least: 300 * ms, Most: 1500 * ms}
	if v := limit.Value(); v < 600*ms {
		t.Errorf("timeout %v before the first answer; a slow service takes 600 ms", v)
	}
}
