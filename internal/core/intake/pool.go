package intake

import (
	"container/list"
	"time"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Bytes is the highest sum of all charges.
	Bytes int64
	// Reserve is the part of Bytes that only small charges may use. Large ones do not
	// wait for small ones that use no more than it.
	Reserve int64
	// Small is the size in bytes up to which a charge is small.
	Small int64
	// MinStall is how long a holder must have made no progress before it may be
	// given up.
	MinStall time.Duration
}

// Pool admits charges up to a sum.
type Pool struct {
	cfg  PoolConfig
	used int64
	// large is the part of used that charges above Small hold.
	large int64
	// leaving is the sum of the charges that were given up and not yet released.
	leaving int64
	// waiting holds the *Charge that wait: small ones, large ones.
	waiting [2]*list.List
	// incomplete holds the *Charge that may be given up, in the order of their last
	// progress.
	incomplete *list.List
}

// Charge is a sum of bytes that is held, or waited for, by one request.
type Charge struct {
	// Owner is for the use of the caller.
	Owner any
	held  int64
	// want is the part that is waited for.
	want       int64
	last       time.Duration
	incomplete *list.Element
	queued     *list.Element
	queue      int
	evicted    bool
	released   bool
}

// Held returns the bytes that the charge holds.
func (c *Charge) Held() int64 { return c.held }

// Waiting reports whether a part of the charge has not been admitted.
func (c *Charge) Waiting() bool { return c.queued != nil }

// Evicted reports whether the charge was given up. The owner must release it.
func (c *Charge) Evicted() bool { return c.evicted }

// NewPool returns a pool with nothing charged.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, waiting: [2]*list.List{list.New(), list.New()}, incomplete: list.New()}
}

// Used returns the sum of all charges in bytes.
func (p *Pool) Used() int64 { return p.used }

// Queued returns the number of charges that wait.
func (p *Pool) Queued() int { return p.waiting[0].Len() + p.waiting[1].Len() }

// Largest returns the largest charge that is not cut.
func (p *Pool) Largest() int64 { return max(p.cfg.Bytes-p.cfg.Reserve, p.cfg.Small) }

// Acquire charges n bytes, or queues the charge if they do not fit.
func (p *Pool) Acquire(now time.Duration, n int64) *Charge {
	c := &Charge{}
	p.Extend(c, now, n)
	return c
}

// Extend charges n more bytes, or queues the charge for them. It must not be called
// while the charge waits.
func (p *Pool) Extend(c *Charge, now time.Duration, n int64) {
	c.last = now
	if c.incomplete != nil {
		p.incomplete.MoveToBack(c.incomplete) // Press relies on the order
	}
	c.want = max(0, min(n, p.Largest()-c.held))
	if c.queue == 0 && c.held+c.want > p.cfg.Small {
		c.queue = 1
		p.large += c.held
	}
	if p.waiting[c.queue].Len() == 0 && p.fits(c) {
		p.admit(c)
		return
	}
	c.queued = p.waiting[c.queue].PushBack(c)
}

// fits reports whether the wanted part of a charge can be admitted. Large charges together
// leave the reserve free; small ones that use no more than it do not keep out a large one.
func (p *Pool) fits(c *Charge) bool {
	if c.queue == 1 && p.large+c.want > p.Largest() {
		return false
	}
	return p.used+c.want <= p.cfg.Bytes
}

func (p *Pool) admit(c *Charge) {
	p.used += c.want
	if c.queue == 1 {
		p.large += c.want
	}
	c.held += c.want
	c.want = 0
}

// Progress records that the client has sent a part, and that the charge may be given up
// when no further one follows.
func (p *Pool) Progress(c *Charge, now time.Duration) {
	if c.evicted || c.released {
		return
	}
	c.last = now
	if c.incomplete == nil {
		c.incomplete = p.incomplete.PushBack(c)
		return
	}
	p.incomplete.MoveToBack(c.incomplete)
}

// Complete records that the client has nothing left to send. It returns false if the
// charge was given up before.
func (p *Pool) Complete(c *Charge) bool {
	p.forget(c)
	return !c.evicted
}

func (p *Pool) forget(c *Charge) {
	if c.incomplete != nil {
		p.incomplete.Remove(c.incomplete)
		c.incomplete = nil
	}
}

// Release returns what the charge holds, and ends its wait. It returns the waiting
// charges that are admitted instead. Only the first call has an effect.
func (p *Pool) Release(c *Charge) []*Charge {
	if c.released {
		return nil
	}
	c.released = true
	p.forget(c)
	if c.queued != nil {
		p.waiting[c.queue].Remove(c.queued)
		c.queued = nil
	}
	p.used -= c.held
	if c.queue == 1 {
		p.large -= c.held
	}
	if c.evicted {
		p.leaving -= c.held
	}
	c.held = 0
	return p.admitWaiting()
}

func (p *Pool) admitWaiting() []*Charge {
	var admitted []*Charge
	for _, queue := range p.waiting {
		for first := queue.Front(); first != nil; first = queue.Front() {
			c := first.Value.(*Charge)
			if !p.fits(c) {
				break
			}
			queue.Remove(first)
			c.queued = nil
			p.admit(c)
			admitted = append(admitted, c)
		}
	}
	return admitted
}

// Press returns the holders to give up so that the waiting charges are admitted, those
// first that have made no progress for longest. Each is returned once.
func (p *Pool) Press(now time.Duration) []*Charge {
	var victims []*Charge
	for need := p.shortfall(); need > 0; {
		first := p.incomplete.Front()
		if first == nil {
			break
		}
		c := first.Value.(*Charge)
		if now-c.last < p.cfg.MinStall {
			break
		}
		p.forget(c)
		if c.queued != nil {
			// It waits for the pool and not for its client.
			continue
		}
		c.evicted = true
		p.leaving += c.held
		need -= c.held
		victims = append(victims, c)
	}
	return victims
}

// shortfall returns how many bytes must still be given up to admit what waits.
func (p *Pool) shortfall() int64 {
	need := -p.leaving
	for _, queue := range p.waiting {
		for e := queue.Front(); e != nil; e = e.Next() {
			need += e.Value.(*Charge).want
			if need > p.cfg.Bytes {
				return need // more than can be given up
			}
		}
	}
	return need
}
