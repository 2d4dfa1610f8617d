package httpserve

import (
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/intake"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Shares of the memory of a process. Together they are 5/16; the garbage collector may
// let the heap grow to twice what is in use, and a process without requests takes about
// 27 MB.
const (
	// connectionMemoryShare of the memory is for connections, headerMemoryShare for
	// parsed headers, receiveMemoryShare for bodies that are being received, and
	// handleMemoryShare for requests that are being decoded and handled.
	connectionMemoryShare = 8
	headerMemoryShare     = 16
	receiveMemoryShare    = 16
	handleMemoryShare     = 16
	// reserveShare of each sum is for small requests.
	reserveShare = 4
)

const (
	// connectionBytes is what one connection takes: two buffers of 4 KB, the stacks
	// of two goroutines and a small header.
	connectionBytes = 24 << 10
	// freeHeaderBytes of a header are part of connectionBytes. Each byte beyond it
	// counts headerFactor times: a header of 16,000 bytes with many short fields
	// took 133 KB, and up to twice that with garbage.
	freeHeaderBytes = 1 << 10
	headerFactor    = 16
	// smallBodyBytes is the size up to which a body is small. Ordinary submissions
	// have a few hundred bytes and at most maxPayloadBytes (4000) and 64 steps.
	smallBodyBytes = 16 << 10
	// filesReserve is the number of descriptors that are reserved for files.
	filesReserve = 200
	// descriptorShare of the other descriptors are for accepted connections, the rest
	// for connections to other processes.
	descriptorShare = 2
)

const (
	// bodyGrace and minBodyRate (bytes per second) are the time that a client has for
	// a body: callers wait 3 s for the response, so none within the limits meets
	// them.
	bodyGrace   = 3 * time.Second
	minBodyRate = 32 << 10
	// bodyStall and connectionStall are how long a client must have been silent
	// before its body or connection is given up for another one. Two retransmissions
	// of a lost segment take 600 ms at least on the slowest links in use and much
	// less within a data centre.
	bodyStall       = 500 * time.Millisecond
	connectionStall = 200 * time.Millisecond
	// maxBudgetWait is how long a request waits for memory before it is refused. It
	// leaves a caller who waits 3 s the time for the answer.
	maxBudgetWait = 1500 * time.Millisecond
	// pressInterval is how often a waiting request looks for a silent one.
	pressInterval = 100 * time.Millisecond
	// sweepInterval is how often timeouts of connections are checked, and
	// reportInterval how often refusals are logged at most.
	sweepInterval  = 250 * time.Millisecond
	reportInterval = 10 * time.Second
)

// DefaultMemoryBytes and DefaultOpenFiles apply to processes whose settings have no
// limits.
const (
	DefaultMemoryBytes = 256 << 20
	DefaultOpenFiles   = 4096
)

var (
	eventRefused = telemetry.Define(145, logrus.WarnLevel, "requests or connections refused",
		"Clients exceed the limits of this listener, or many of them stall. Fields: listener, cause, count since the last line of this cause. Causes: too_large (413), header_too_large (431), no_memory (503, not run), slow (408), stalled (408, given up for another request), truncated (400), connection (closed for another one), header_slow and header_memory (closed before a request). If ordinary callers are affected, find the clients, or give the VM more memory.")
	eventLimits = telemetry.Define(146, logrus.InfoLevel, "limits on untrusted clients",
		"Limits that follow from the settings of the process. Fields: memory_bytes, open_files, connections, receive_bytes, handle_bytes, header_bytes. No action.")
	eventBodyLimitCut = telemetry.Define(147, logrus.WarnLevel, "limit on bodies does not fit the memory",
		"The configured limit on bodies is above what this process can hold. Larger bodies are refused with status 413. Fields: listener, configured, used. Lower the limit or give the VM more memory.")
)

// Cause is why a request was refused or a connection closed.
type Cause string

// Causes, as in the metrics and event 145.
const (
	TooLarge         Cause = "too_large"
	HeaderTooLarge   Cause = "header_too_large"
	NoMemory         Cause = "no_memory"
	Slow             Cause = "slow"
	Stalled          Cause = "stalled"
	Truncated        Cause = "truncated"
	connectionClosed Cause = "connection"
	headerSlow       Cause = "header_slow"
	headerMemory     Cause = "header_memory"
)

var causes = []Cause{TooLarge, HeaderTooLarge, NoMemory, Slow, Stalled, Truncated, connectionClosed, headerSlow, headerMemory}

// Status returns the HTTP status of a refusal.
func (c Cause) Status() int {
	switch c {
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case Truncated:
		return http.StatusBadRequest
	case Slow, Stalled:
		return http.StatusRequestTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Guard bounds what the untrusted clients of all listeners of a process together may
// take of its memory and descriptors.
type Guard struct {
	tel         *telemetry.Telemetry
	connections int
	headers     *budget
	receive     *budget
	handle      *budget

	mu        sync.Mutex
	listeners []*guardedListener
	sweeping  bool
}

// NewGuard returns a guard for a process that may use this much memory and this many
// descriptors. Zero means the default.
func NewGuard(memoryBytes int64, openFiles int, tel *telemetry.Telemetry) *Guard {
	if memoryBytes <= 0 {
		memoryBytes = DefaultMemoryBytes
	}
	if openFiles <= 0 {
		openFiles = DefaultOpenFiles
	}
	g := &Guard{
		tel:         tel,
		connections: max(1, min((openFiles-filesReserve)/descriptorShare, int(memoryBytes/connectionMemoryShare/connectionBytes))),
		headers:     newBudget(memoryBytes/headerMemoryShare, headerFactor*freeHeaderBytes),
		receive:     newBudget(memoryBytes/receiveMemoryShare, smallBodyBytes),
		handle:      newBudget(memoryBytes/handleMemoryShare, smallBodyBytes*maxSmallFactor),
	}
	for name, b := range map[string]*budget{"headers": g.headers, "receive": g.receive, "handle": g.handle} {
		tel.GaugeFunc("intake_bytes", "Memory charged to requests in progress.", telemetry.Labels{"budget": name}, b.used)
	}
	tel.Log.Log(eventLimits, nil, telemetry.Fields{
		"memory_bytes": memoryBytes, "open_files": openFiles, "connections": g.connections,
		"receive_bytes": g.receive.bytes, "handle_bytes": g.handle.bytes, "header_bytes": g.headers.bytes,
	})
	return g
}

// maxSmallFactor is the largest HandleFactor in use, plus one for the body itself, so
// that a small body stays small when it is handled.
const maxSmallFactor = 9

// add registers a listener and starts the sweep with the first one.
func (g *Guard) add(l *guardedListener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
	for _, c := range causes {
		g.tel.CounterFunc("intake_refused", "Requests refused and connections closed to protect the process.",
			telemetry.Labels{"listener": l.name, "cause": string(c)}, l.refused[c].Load)
	}
	g.tel.GaugeFunc("intake_connections", "Open connections.", telemetry.Labels{"listener": l.name}, l.inUse)
	if !g.sweeping {
		g.sweeping = true
		go g.sweep()
	}
}

func (g *Guard) remove(l *guardedListener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.listeners {
		if other == l {
			g.listeners = append(g.listeners[:i:i], g.listeners[i+1:]...)
			return
		}
	}
}

// sweep closes connections whose time is over and reports refusals, until the last
// listener is closed.
func (g *Guard) sweep() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for range tick.C {
		g.mu.Lock()
		listeners := g.listeners
		g.sweeping = len(listeners) > 0
		g.mu.Unlock()
		if len(listeners) == 0 {
			return
		}
		now := clock.Now()
		for _, l := range listeners {
			l.closeExpired(now)
			l.report(now, g.tel.Log)
		}
	}
}

// budget is a pool that requests of several goroutines share.
type budget struct {
	bytes int64
	mu    sync.Mutex
	pool  *intake.Pool
}

// newBudget returns a budget in which charges up to small bytes are small.
func newBudget(bytes, small int64) *budget {
	return &budget{bytes: bytes, pool: intake.NewPool(intake.PoolConfig{
		Bytes: bytes, Reserve: bytes / reserveShare, Small: min(small, bytes/reserveShare), MinStall: bodyStall,
	})}
}

func (b *budget) used() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.pool.Used())
}

// largest returns the largest charge that is not cut.
func (b *budget) largest() int64 { return b.pool.Largest() }

// holding is the charge of one request to a budget.
type holding struct {
	budget *budget
	charge *intake.Charge
	// giveUp makes the reader of the client's bytes fail; it is nil for a request that
	// has been read.
	giveUp func()
	// admitted receives a value when a wait ends.
	admitted chan struct{}
}

// hold returns a holding of nothing.
func (b *budget) hold(giveUp func()) *holding {
	h := &holding{budget: b, charge: &intake.Charge{}, giveUp: giveUp, admitted: make(chan struct{}, 1)}
	h.charge.Owner = h
	return h
}

// extend charges n more bytes. It waits for them until the time limit or done, and
// reports whether they are charged.
func (h *holding) extend(n int64, limit time.Duration, done <-chan struct{}) bool {
	b := h.budget
	b.mu.Lock()
	b.pool.Extend(h.charge, clock.Now(), n)
	waiting := h.charge.Waiting()
	b.mu.Unlock()
	if !waiting {
		return true
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	press := time.NewTicker(pressInterval)
	defer press.Stop()
	for {
		b.press()
		select {
		case <-h.admitted:
			return true
		case <-press.C:
		case <-done:
			return false
		case <-timeout.C:
			return false
		}
	}
}

// press gives up silent holders for what waits.
func (b *budget) press() {
	b.mu.Lock()
	victims := b.pool.Press(clock.Now())
	b.mu.Unlock()
	for _, v := range victims {
		if h := v.Owner.(*holding); h.giveUp != nil {
			h.giveUp()
		}
	}
}

func (h *holding) progress() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.pool.Progress(h.charge, clock.Now())
}

// complete reports whether the holding was not given up.
func (h *holding) complete() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.pool.Complete(h.charge)
}

func (h *holding) release() {
	h.budget.mu.Lock()
	admitted := h.budget.pool.Release(h.charge)
	h.budget.mu.Unlock()
	for _, c := range admitted {
		c.Owner.(*holding).admitted <- struct{}{}
	}
}
