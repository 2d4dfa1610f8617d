package faultsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

const (
	// The limits of a small entry of the demanding customers.
	entryMemoryMB, entryOpenFiles = 184, 4100
	// slowCall is the time of a call to a slow store, in which a renewal of the lease
	// takes a large part of the lease.
	slowCall = 300 * time.Millisecond
	// Faults of the store. The longest one exceeds the lease of the owner.
	minStoreFault, maxStoreFault = time.Second, 5 * time.Second
	// Evacuations last longer than evacuationBound, and overlap.
	minEvacuation, maxEvacuation = evacuationBound + time.Second, 8 * time.Second
	// soleEvacuation exceeds the longest fault of the store and faultGrace by 3 s, in
	// which no earlier fault excuses a start.
	soleEvacuation = maxStoreFault + faultGrace + 3*time.Second
	// maxStopInterval is the longest time between the stops of two owners that overlap.
	maxStopInterval = 1500 * time.Millisecond
	// partitions is the number of partitions of the store's tables.
	partitions = 32
	// crowdSize is the number of connections of untrusted clients to one entry, and
	// crowdBody the size of their bodies, the largest one that is allowed.
	crowdSize, crowdBody = 40, 256 << 10
	// announcedBody is the size of a body far over the limit.
	announcedBody = 1 << 30
)

// gateMode is the fault of a gate.
type gateMode int

const (
	gatePass gateMode = iota
	gateSlow
	gateReset
	gateBusy
	gateTooMany
	gateSilent
)

// gate passes calls on to the store, unless a fault is set.
type gate struct {
	next   http.Handler
	mode   atomic.Int64
	faults faultLog
}

func (g *gate) set(m gateMode) {
	g.faults.set(m != gatePass)
	g.mode.Store(int64(m))
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch gateMode(g.mode.Load()) {
	case gateSlow:
		time.Sleep(slowCall)
	case gateReset:
		panic(http.ErrAbortHandler)
	case gateBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case gateTooMany:
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	case gateSilent:
		time.Sleep(maxStoreFault)
		panic(http.ErrAbortHandler)
	}
	g.next.ServeHTTP(w, r)
}

// platformFaults injects evacuations, faults of the store for all entries, for one and
// in some partitions, owners that stop in series, and untrusted clients.
type platformFaults struct {
	w   *soakRun
	rng *rand.Rand
	// stopping is set while a series of stops is in progress.
	stopping atomic.Bool
}

func newPlatformFaults(w *soakRun) *platformFaults {
	return &platformFaults{w: w, rng: rand.New(rand.NewPCG(w.opts.Seed, 19))} //nolint:gosec // reproducible
}

func (f *platformFaults) duration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(f.rng.Int64N(int64(longest-shortest)))
}

// platformFaultKinds are the names of the faults, in the order of inject.
var platformFaultKinds = []string{
	"evacuation", "evacuation of two domains", "store resets", "store slow", "store resets an entry", "store resets partitions",
	"store refuses the owner", "owner stops", "owners stop in series", "owners overlap in stopping while the store is slow", "crowd",
}

// run injects all kinds of faults in random order, again and again. In between it
// evacuates two domains without other faults of its own, if there is time.
func (f *platformFaults) run(ctx context.Context, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		for _, kind := range f.rng.Perm(len(platformFaultKinds)) {
			if time.Now().Before(end) && ctx.Err() == nil {
				f.inject(kind)
				time.Sleep(f.duration(faultInterval/2, faultInterval*3/2))
			}
		}
		if time.Until(end) >= soleEvacuation {
			f.w.countFault("sole evacuation of two domains")
			for _, domain := range f.rng.Perm(failureDomains)[:2] {
				f.evacuate(domain, soleEvacuation)
			}
			time.Sleep(soleEvacuation)
		}
	}
}

// inBackground performs a fault that ends by itself.
func (f *platformFaults) inBackground(fault func()) {
	f.w.pendingUndos.Add(1)
	go func() {
		defer f.w.pendingUndos.Done()
		fault()
	}()
}

func (f *platformFaults) inject(kind int) {
	w := f.w
	w.countFault(platformFaultKinds[kind])
	entry := f.rng.IntN(len(w.entries))
	length := f.duration(minStoreFault, maxStoreFault)
	switch kind {
	case 0, 1:
		for _, domain := range f.rng.Perm(failureDomains)[:kind+1] {
			f.evacuate(domain, f.duration(minEvacuation, maxEvacuation))
		}
	case 2:
		f.closeGate(w.allGate, gateReset, length)
	case 3:
		f.closeGate(w.allGate, gateSlow, length)
	case 4:
		f.closeGate(w.entryGates[entry], gateReset, length)
	case 5:
		parts := make([]string, 1+f.rng.IntN(partitions/2))
		for i, p := range f.rng.Perm(partitions)[:len(parts)] {
			parts[i] = strconv.Itoa(p)
		}
		w.setStoreFaults(standin.Faults{ResetParts: parts})
		f.inBackground(func() {
			time.Sleep(length)
			w.setStoreFaults(standin.Faults{})
		})
	case 6:
		mode := gateReset + gateMode(f.rng.IntN(int(gateSilent-gateReset)+1))
		if owner := w.owner(); owner >= 0 {
			entry = owner
		}
		f.closeGate(w.entryGates[entry], mode, length)
	case 7:
		f.stopOwners(1, 0)
	case 8:
		f.stopOwners(len(w.entries), 0)
	case 9:
		f.closeGate(w.allGate, gateSlow, maxStoreFault)
		f.stopOwners(len(w.entries), f.duration(0, maxStopInterval))
	default:
		f.inBackground(func() { crowd(context.Background(), w.callerAddresses[entry], length) })
	}
}

func (f *platformFaults) closeGate(g *gate, m gateMode, length time.Duration) {
	g.set(m)
	f.inBackground(func() {
		time.Sleep(length)
		g.set(gatePass)
	})
}

// evacuate evacuates a failure domain, unless it is evacuated.
func (f *platformFaults) evacuate(domain int, length time.Duration) {
	evacuations := &f.w.evacuations.evacuations[domain]
	if includedIn([]*faultLog{evacuations}, time.Now(), 0) {
		return
	}
	key := standin.EvacuatePrefix + failureDomain(domain)
	f.w.store.PutRaw(standin.ConfigTable, key, []byte("{}"))
	evacuations.set(true)
	f.inBackground(func() {
		time.Sleep(length)
		evacuations.set(false)
		f.w.store.Remove(standin.ConfigTable, key)
	})
}

// stopOwners stops the owner and starts it again, n times, each when the former process
// has started again. With an interval, it stops the owner and then the other entries,
// each that much later, whether the former one has ended or not.
func (f *platformFaults) stopOwners(n int, interval time.Duration) {
	if !f.stopping.CompareAndSwap(false, true) {
		return
	}
	f.inBackground(func() {
		defer f.stopping.Store(false)
		var stops sync.WaitGroup
		defer stops.Wait()
		first := max(0, f.w.owner())
		for i := range n {
			entry := (first + i) % len(f.w.entries)
			if owner := f.w.owner(); owner >= 0 && interval == 0 {
				entry = owner
			}
			stops.Go(func() { f.w.stopAndRestart(f.w.entries[entry]) })
			if interval == 0 {
				stops.Wait()
			}
			time.Sleep(interval)
		}
	})
}

// crowd opens connections to an entry with bodies that stall before their end, and
// others that exceed the limit, with and without an announced length.
func crowd(ctx context.Context, address string, length time.Duration) {
	body := standin.ManyStepsBody(crowdBody)
	stalled := body[:len(body)-1]
	chunked := fmt.Appendf(nil, "%x\r\n%s", len(body), stalled)
	excess := fmt.Appendf(nil, "%x\r\n%s\r\n", len(body), body)
	var clients sync.WaitGroup
	for i := range crowdSize {
		clients.Go(func() {
			conn, err := (&net.Dialer{Timeout: length}).DialContext(ctx, "tcp", address)
			if err != nil {
				return // the entry is restarted, or has too many connections
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(length))
			transfer, data, repeat := "Transfer-Encoding: chunked", chunked, 1
			switch i % 4 {
			case 1:
				transfer, data = fmt.Sprintf("Content-Length: %d", len(body)), stalled
			case 2:
				transfer, data, repeat = fmt.Sprintf("Content-Length: %d", announcedBody), body, 8
			case 3:
				data, repeat = excess, 8
			}
			if _, err := fmt.Fprintf(conn, "POST %s%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", prefix, announcedBody+i, host, transfer); err != nil {
				return
			}
			for range repeat {
				if _, err := conn.Write(data); err != nil {
					return
				}
			}
			_, _ = conn.Read(make([]byte, 1)) // the answer, the end of the connection, or the deadline
		})
	}
	clients.Wait()
}
