package admission

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// UpstreamID names one run of an upstream on the VM. An upstream that restarts
// announces itself under a new ID.
type UpstreamID string

// Announcement is what an upstream says about itself every second.
type Announcement struct {
	Upstream UpstreamID
	Service  types.ServiceName
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Connections is the number of connections that the upstream accepts.
	Connections int
}

// upstream is one announced upstream and what is in use at it.
type upstream struct {
	Announcement
	expires   time.Duration
	withdrawn bool
	active    int
	// idle is the number of open connections that carry no request.
	idle int
}

// openConnections is the number of open connections.
func (u *upstream) openConnections() int {
	return u.active + u.idle
}

// Announce takes or renews an announcement. It reports whether the upstream
// is new, so that the shell can push the change.
func (r *Requests) Announce(now time.Duration, a Announcement) bool {
	u, known := r.upstreams[a.Upstream]
	if !known {
		u = &upstream{}
		r.upstreams[a.Upstream] = u
	}
	isNew := !known || u.withdrawn
	u.Announcement = a
	u.expires = now + r.limits.AnnouncementTTL
	u.withdrawn = false
	return isNew
}

// Leave withdraws an upstream at its own request. Requests in progress at it
// continue. It reports whether the upstream was announced.
func (r *Requests) Leave(id UpstreamID) bool {
	u, ok := r.upstreams[id]
	if !ok || u.withdrawn {
		return false
	}
	r.withdraw(u)
	return true
}

// Expire withdraws the upstreams whose announcement has expired and appends
// their IDs to withdrawn.
func (r *Requests) Expire(now time.Duration, withdrawn []UpstreamID) []UpstreamID {
	for id, u := range r.upstreams {
		if !u.withdrawn && now >= u.expires {
			withdrawn = append(withdrawn, id)
			r.withdraw(u)
		}
	}
	return withdrawn
}

// ConnectionClosed records that an idle connection to the upstream was closed.
func (r *Requests) ConnectionClosed(id UpstreamID) {
	u, ok := r.upstreams[id]
	if !ok || u.idle == 0 {
		return
	}
	u.idle--
	r.connections--
	r.dropIfUnused(u)
}

// withdraw keeps an upstream only for the requests that still run at it.
func (r *Requests) withdraw(u *upstream) {
	u.withdrawn = true
	r.connections -= u.idle
	u.idle = 0
	r.dropIfUnused(u)
}

func (r *Requests) dropIfUnused(u *upstream) {
	if u.withdrawn && u.active == 0 {
		delete(r.upstreams, u.Upstream)
	}
}

// serves reports whether the upstream is announced for the service at now.
func (u *upstream) serves(now time.Duration, service types.ServiceName) bool {
	return !u.withdrawn && now < u.expires && u.Service == service
}

// choose returns the upstream of the service with the most free slots, and
// the reason when none can take a request.
func (r *Requests) choose(now time.Duration, service types.ServiceName) (*upstream, Reason) {
	var best *upstream
	reason := ReasonNoUpstream
	for _, u := range r.upstreams {
		if !u.serves(now, service) {
			continue
		}
		if u.active >= u.Slots {
			reason = closestReason(reason, ReasonNoSlot)
			continue
		}
		if u.idle == 0 && u.openConnections() >= u.Connections {
			reason = closestReason(reason, ReasonNoConnection)
			continue
		}
		if best == nil || preferred(u, best) {
			best = u
		}
	}
	return best, reason
}

// closestReason keeps the reason that is closest to admission.
func closestReason(a, b Reason) Reason {
	if a == ReasonNoUpstream {
		return b
	}
	return a
}

// preferred orders upstreams by free slots, then by ID so that the choice does
// not depend on map order.
func preferred(a, b *upstream) bool {
	freeA, freeB := a.Slots-a.active, b.Slots-b.active
	if freeA != freeB {
		return freeA > freeB
	}
	return a.Upstream < b.Upstream
}

// idleUpstream returns an upstream with an idle connection that can be
// closed to make room for a new one.
func (r *Requests) idleUpstream() *upstream {
	var found *upstream
	for _, u := range r.upstreams {
		if u.idle > 0 && (found == nil || u.Upstream < found.Upstream) {
			found = u
		}
	}
	return found
}

// Announced returns the announcement of an upstream that takes requests.
func (r *Requests) Announced(id UpstreamID) (Announcement, bool) {
	u, ok := r.upstreams[id]
	if !ok || u.withdrawn {
		return Announcement{}, false
	}
	return u.Announcement, true
}
