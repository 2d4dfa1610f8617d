package intake

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	kb   = 1 << 10
	body = 256 * kb
)

func newPool() *Pool {
	return NewPool(PoolConfig{Bytes: 4 << 20, Reserve: 1 << 20, Small: 16 * kb, MinStall: 500 * time.Millisecond})
}

// Guards against a crowd of large bodies that stall just before their end and keep small
// requests, or a large one that is sent at once, from being admitted.
func TestStalledCrowd(t *testing.T) {
	for _, c := range []struct {
		name string
		// crowd is the number of clients, each with a body of size.
		crowd int
		size  int64
		// next is the size of the ordinary request; admitted whether it needs no wait.
		next     int64
		admitted bool
		// evicted is the number of holders given up for it at least.
		evicted int
	}{
		{"small beside large", 800, body, 1 * kb, true, 0},
		{"large beside large", 800, body, body, false, 1},
		{"small beside small", 800, 16 * kb, 1 * kb, false, 1},
		{"large in calm", 0, 0, body, true, 0},
		{"larger than the pool, in calm", 0, 0, 64 << 20, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool()
			now := time.Second
			var held, queued []*Charge
			for range c.crowd {
				x := p.Acquire(now, c.size)
				if x.Waiting() {
					queued = append(queued, x)
					continue
				}
				p.Progress(x, now)
				held = append(held, x)
			}
			for _, x := range queued { // the crowd beyond the pool is refused
				p.Release(x)
			}
			x := p.Acquire(now, c.next)
			if x.Waiting() == c.admitted {
				t.Fatalf("waiting: %v, want admitted: %v", x.Waiting(), c.admitted)
			}
			if v := p.Press(now + 499*time.Millisecond); len(v) > 0 {
				t.Errorf("%d holders given up before MinStall", len(v))
			}
			victims := p.Press(now + 500*time.Millisecond)
			if len(victims) < c.evicted || len(victims) > c.evicted+1 {
				t.Fatalf("%d holders given up, want %d", len(victims), c.evicted)
			}
			for i, v := range victims {
				if v != held[i] || !v.Evicted() || p.Complete(v) {
					t.Errorf("victim %d is not the holder that was silent for longest", i)
				}
				p.Release(v)
			}
			if x.Waiting() {
				t.Error("the request waits after the holders were released")
			}
		})
	}
}

// Guards against giving up a body that is complete, or one that waits for the pool.
func TestCompleteIsNotEvicted(t *testing.T) {
	p := newPool()
	var held []*Charge
	for range 12 { // what the reserve leaves over
		c := p.Acquire(0, body)
		p.Progress(c, 0)
		held = append(held, c)
	}
	if !p.Complete(held[0]) {
		t.Fatal("a complete body counts as given up")
	}
	next := p.Acquire(0, body)
	if v := p.Press(time.Hour); len(v) != 1 || v[0] != held[1] {
		t.Errorf("given up: %v, want only the first incomplete body", v)
	}
	if v := p.Press(time.Hour); len(v) != 0 {
		t.Errorf("%d more holders given up for the same request", len(v))
	}
	if got := p.Release(held[1]); len(got) != 1 || got[0] != next {
		t.Errorf("admitted after release: %v", got)
	}
}

// Guards against a holder at the front of the order that has sent a part recently, waits
// for more of the pool, and hides those behind it that have been silent for longer.
func TestWaitingHolderDoesNotHideSilentOnes(t *testing.T) {
	p := newPool()
	growing := p.Acquire(0, 16*kb)
	p.Progress(growing, 0)
	var silent []*Charge
	for range 11 {
		c := p.Acquire(0, body)
		p.Progress(c, 0)
		silent = append(silent, c)
	}
	p.Extend(growing, 450*time.Millisecond, body)
	if !growing.Waiting() {
		t.Fatal("the pool has room for the extension")
	}
	if v := p.Press(500 * time.Millisecond); len(v) != 1 || v[0] != silent[0] {
		t.Errorf("%d holders given up, want the one that was silent for longest", len(v))
	}
}

// Guards against a large charge, in particular one that was cut to the largest that fits,
// that waits for small ones although these use no more than their reserve.
func TestSmallChargesDoNotKeepOutLargeOne(t *testing.T) {
	p := newPool()
	for range 64 { // 1 MB, the reserve
		if p.Acquire(0, 16*kb).Waiting() {
			t.Fatal("a small charge waits")
		}
	}
	large := p.Acquire(0, 64<<20)
	if large.Waiting() {
		t.Error("the largest charge waits for small ones within the reserve")
	}
	if !p.Acquire(0, 17*kb).Waiting() {
		t.Error("a second large charge uses the reserve")
	}
	p.Release(large)
	if p.Used() != 64*16*kb+17*kb {
		t.Errorf("%d bytes used after the release", p.Used())
	}
}

// Guards against a sum above the budget, a release that counts twice, and a small
// request that waits although only large incomplete bodies hold the budget.
func FuzzPool(f *testing.F) {
	f.Add(uint64(1))
	f.Add(uint64(2))
	f.Fuzz(func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 4))
		p := newPool()
		var all []*Charge
		now := time.Second
		for range 400 {
			now += time.Duration(r.IntN(200)) * time.Millisecond
			var c *Charge
			if len(all) > 0 {
				c = all[r.IntN(len(all))]
			}
			switch r.IntN(6) {
			case 0, 1:
				n := int64(r.IntN(2 * body))
				if r.IntN(3) == 0 {
					n = int64(r.IntN(16 * kb))
				}
				all = append(all, p.Acquire(now, n))
			case 2:
				if c != nil && !c.Waiting() && !c.released {
					p.Progress(c, now)
				}
			case 3:
				if c != nil && !c.Waiting() && !c.released && !c.evicted {
					p.Extend(c, now, int64(r.IntN(body)))
				}
			case 4:
				if c != nil {
					p.Release(c)
				}
			case 5:
				p.Press(now)
			}
			checkPool(t, p, all)
		}
		for _, c := range all {
			p.Release(c)
			p.Release(c)
		}
		if p.Used() != 0 || p.large != 0 || p.Queued() != 0 || p.leaving != 0 || p.incomplete.Len() != 0 {
			t.Fatalf("after all releases: used %d, queued %d, leaving %d, incomplete %d", p.Used(), p.Queued(), p.leaving, p.incomplete.Len())
		}
	})
}

func checkPool(t *testing.T, p *Pool, all []*Charge) {
	t.Helper()
	var sum, small, large int64
	smallWaits := int64(0)
	for _, c := range all {
		sum += c.held
		if c.queue == 0 {
			small += c.held
			if c.Waiting() {
				smallWaits = max(smallWaits, c.want)
			}
		} else {
			large += c.held
		}
	}
	if large != p.large {
		t.Fatalf("large charges hold %d, counted %d", large, p.large)
	}
	if sum != p.Used() || sum > p.cfg.Bytes {
		t.Fatalf("sum of charges %d, used %d, budget %d", sum, p.Used(), p.cfg.Bytes)
	}
	if smallWaits > 0 && small+smallWaits <= p.cfg.Reserve {
		t.Fatalf("a small request waits although small ones hold %d of %d", small, p.cfg.Reserve)
	}
}

// Guards against connections that are given up while their request is in progress, in
// the wrong order, or counted twice.
func TestSlots(t *testing.T) {
	s := NewSlots(4, time.Second)
	open := func() *Conn {
		c := s.Open(0)
		if c == nil {
			t.Fatal("no slot")
		}
		return c
	}
	handling, idle, sending, silent := open(), open(), open(), open()
	s.Enter(handling, Handling, 0)
	s.Enter(idle, Idle, 0)
	s.Enter(sending, Body, 0)
	if s.Open(0) != nil {
		t.Error("more connections than slots")
	}
	if s.Victim(999*time.Millisecond) != nil {
		t.Error("connection given up before minStall")
	}
	for i, want := range []*Conn{silent, sending, idle, nil} {
		if got := s.Victim(time.Minute); got != want {
			t.Errorf("victim %d is %+v, want %+v", i, got, want)
		}
	}
	if s.Open(0) != nil {
		t.Error("the slot of a victim is free before it is closed")
	}
	s.Close(silent)
	s.Close(silent)
	s.Enter(silent, Idle, 0)
	if s.InUse() != 3 || s.Open(0) == nil || s.Open(0) != nil {
		t.Errorf("%d in use after one was closed twice", s.InUse())
	}
}

// Guards against a connection that makes progress and is given up before a silent one.
func TestProgressDefersExpiry(t *testing.T) {
	s := NewSlots(2, 0)
	first, second := s.Open(0), s.Open(0)
	s.Enter(first, Header, time.Second)
	if got := s.Expired(Header, 3*time.Second, 3*time.Second); got != second {
		t.Errorf("expired %+v, want the silent one", got)
	}
	if got := s.Expired(Header, 3*time.Second, 3*time.Second); got != nil {
		t.Errorf("expired %+v, want none", got)
	}
}
