package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// history records the offers of a test and the observed states of their
// identities.
type history struct {
	offers   []Offer
	admitted map[types.RequestID]bool
	running  []types.RequestID
	// mustNotRun holds the identities that a refusal or a seal reported as proven
	// not run. They must not run later.
	mustNotRun map[types.RequestID]bool
	// endedNotRun holds the identities that were admitted and finished with the
	// outcome not-run.
	endedNotRun map[types.RequestID]bool
}

// Guards against any order of inputs that exceeds the slots, the connections or
// the identity memory, admits an identity twice, or admits one that a refusal or a
// seal reported as proven not run.
func TestRequestsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := testLimits()
		limits.Connections = rapid.IntRange(1, 4).Draw(t, "VM connections")
		limits.MaxIdentities = rapid.IntRange(1, 4).Draw(t, "identities")
		r := NewRequests(testIncarnation, limits)
		h := &history{
			admitted:    make(map[types.RequestID]bool),
			mustNotRun:  make(map[types.RequestID]bool),
			endedNotRun: make(map[types.RequestID]bool),
		}
		now := 20 * time.Second
		t.Repeat(map[string]func(*rapid.T){
			"advance":  func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond },
			"announce": func(t *rapid.T) { announceRandom(t, r, now) },
			"leave":    func(t *rapid.T) { r.Leave(drawUpstream(t)) },
			"expire":   func(*rapid.T) { r.Expire(now, nil) },
			"close":    func(t *rapid.T) { r.ConnectionClosed(drawUpstream(t)) },
			"offer":    func(t *rapid.T) { h.offer(t, r, now) },
			"finish":   func(t *rapid.T) { h.finish(t, r) },
			"seal":     func(t *rapid.T) { h.seal(t, r, now) },
			// Sets whether the configuration is unconfirmed.
			"pause": func(t *rapid.T) { r.SetConfigUnconfirmed(rapid.Bool().Draw(t, "unconfirmed")) },
			"":      func(t *rapid.T) { checkLimits(t, r, len(h.running)) },
		})
	})
}

func drawUpstream(t *rapid.T) UpstreamID {
	return UpstreamID(rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "upstream"))
}

func announceRandom(t *rapid.T, r *Requests, now time.Duration) {
	r.Announce(now, Announcement{
		Upstream:    drawUpstream(t),
		Service:     types.ServiceName(rapid.SampledFrom([]string{"berths", "locks"}).Draw(t, "service")),
		Slots:       rapid.IntRange(0, 2).Draw(t, "slots"),
		Connections: rapid.IntRange(0, 2).Draw(t, "connections"),
	})
}

// drawOffer draws a new offer or one that was drawn before.
func (h *history) drawOffer(t *rapid.T, now time.Duration) Offer {
	n := rapid.IntRange(0, len(h.offers)).Draw(t, "offer")
	if n < len(h.offers) {
		return h.offers[n]
	}
	o := newOffer(byte(n), now-time.Duration(rapid.IntRange(0, 2000).Draw(t, "age"))*time.Millisecond)
	o.ID[14] = byte(n >> 8)
	o.Service = types.ServiceName(rapid.SampledFrom([]string{"berths", "locks"}).Draw(t, "service"))
	o.Budget = time.Duration(rapid.IntRange(-1, 8).Draw(t, "budget")) * time.Second
	h.offers = append(h.offers, o)
	return o
}

func (h *history) offer(t *rapid.T, r *Requests, now time.Duration) {
	o := h.drawOffer(t, now)
	d := r.Admit(now, o)
	if !d.Admitted() {
		if d.ProvenNotRun && h.admitted[o.ID] && !h.endedNotRun[o.ID] {
			t.Fatalf("refusal %q of a request that ran reports it as proven not run", d.Reason)
		}
		h.mustNotRun[o.ID] = h.mustNotRun[o.ID] || d.ProvenNotRun
		return
	}
	u := r.upstreams[d.Upstream]
	if h.admitted[o.ID] || h.mustNotRun[o.ID] || now > o.ValidUntil() {
		t.Fatalf("admitted a request that was admitted before (%v), must not run (%v) or whose validity ended %v ago", h.admitted[o.ID], h.mustNotRun[o.ID], now-o.ValidUntil())
	}
	if u.active > u.Slots || u.openConnections() > u.Connections && !d.Reuse || u.Service != o.Service {
		t.Fatalf("admitted to %+v for %q", u, o.Service)
	}
	h.admitted[o.ID] = true
	h.running = append(h.running, o.ID)
}

func (h *history) finish(t *rapid.T, r *Requests) {
	if len(h.running) == 0 {
		return
	}
	n := rapid.IntRange(0, len(h.running)-1).Draw(t, "running")
	id := h.running[n]
	h.running = append(h.running[:n:n], h.running[n+1:]...)
	outcome := rapid.SampledFrom([]apperr.Outcome{apperr.OutcomeDone, apperr.OutcomeNotRun, apperr.OutcomeUnknown}).Draw(t, "outcome")
	h.endedNotRun[id] = outcome == apperr.OutcomeNotRun
	if !r.Finish(id, outcome, []byte("abc"), rapid.Bool().Draw(t, "reusable")) {
		t.Fatalf("Finish did not find the running request %v", id)
	}
}

func (h *history) seal(t *rapid.T, r *Requests, now time.Duration) {
	o := h.drawOffer(t, now)
	s := r.Seal(now, SealRequest{ID: o.ID, Target: testIncarnation, ValidUntil: o.ValidUntil()})
	ran := h.admitted[o.ID] && !h.endedNotRun[o.ID]
	switch s.State {
	case SealNeverRan:
		if ran {
			t.Fatalf("%v ran but its seal reports that it never ran", o.ID)
		}
		h.mustNotRun[o.ID] = true
	case SealFinished, SealInProgress:
		if !ran {
			t.Fatalf("%v did not run but its seal reports %q", o.ID, s.State)
		}
	}
}

func checkLimits(t *rapid.T, r *Requests, running int) {
	active, openConnections := 0, 0
	for _, u := range r.upstreams {
		active += u.active
		openConnections += u.openConnections()
	}
	slots, connections := r.InUse()
	if slots != active || slots != running || connections != openConnections {
		t.Fatalf("%d slots in use for %d active and %d running requests, %d connections in use for %d open ones", slots, active, running, connections, openConnections)
	}
	l := r.limits
	if slots > l.Slots || connections > l.Connections {
		t.Fatalf("%d slots and %d connections in use, above the limits", slots, connections)
	}
	if r.Identities() > l.MaxIdentities+l.SealReserve {
		t.Fatalf("%d remembered identities, above the limit", r.Identities())
	}
}
