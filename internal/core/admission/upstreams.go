package admission

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// UpstreamID identifies one run of an upstream on the VM. An upstream that
// restarts announces itself under a new ID.
type UpstreamID string

// Announcement is the message with which an upstream announces itself every
// second.
type Announcement struct {
	Upstream UpstreamID
	Service  types.ServiceName
	// Slots is the maximum number of concurrent requests at the upstream.
	Slots int
	// Connections is the maximum number of connections that the upstream accepts.
	Connections int
}

// upstream is an announced upstream with its requests and connections.
type upstream struct {
	Announcement
	expires   time.Duration
	withdrawn bool
	active    int
	// idle is the number of open connections that carry no request.
	idle int
}

// openConnections returns the number of open connections to the upstream.
func (u *upstream) openConnections() int {
	return u.active + u.idle
}

// Announce records or renews an announcement. It reports whether the upstream is
// new, so that the worker can send a heartbeat with the change at once.
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

// Leave withdraws an upstream at its own request. Its requests in progress
// continue. Leave reports whether the upstream was announced.
func (r *Requests) Leave(id UpstreamID) bool {
	u, ok := r.upstreams[id]
	if !ok || u.withdrawn {
		return false
	}
	r.withdraw(u)
	return true
}

// Expire withdraws the upstreams whose announcements have expired and appends
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
	r.connectionsInUse--
	r.dropIfUnused(u)
}

// withdraw marks an upstream as withdrawn and no longer counts its idle
// connections. The upstream is kept until its requests in progress have ended.
func (r *Requests) withdraw(u *upstream) {
	u.withdrawn = true
	r.connectionsInUse -= u.idle
	u.idle = 0
	r.dropIfUnused(u)
}

func (r *Requests) dropIfUnused(u *upstream) {
	if u.withdrawn && u.active == 0 {
		delete(r.upstreams, u.Upstream)
	}
}

// serves reports whether the upstream has a valid announcement for the service.
func (u *upstream) serves(now time.Duration, service types.ServiceName) bool {
	return !u.withdrawn && now < u.expires && u.Service == service
}

// choose returns the upstream of the service with the most free slots, or nil and
// the reason why no upstream can take a request.
func (r *Requests) choose(now time.Duration, service types.ServiceName) (*upstream, Reason) {
	var best *upstream
	reason := ReasonNoUpstream
	for _, u := range r.upstreams {
		if !u.serves(now, service) {
			continue
		}
		if u.active >= u.Slots {
			reason = moreSpecificReason(reason, ReasonNoSlot)
			continue
		}
		if u.idle == 0 && u.openConnections() >= u.Connections {
			reason = moreSpecificReason(reason, ReasonNoConnection)
			continue
		}
		if best == nil || preferred(u, best) {
			best = u
		}
	}
	return best, reason
}

// moreSpecificReason returns b if a is ReasonNoUpstream, else a.
func moreSpecificReason(a, b Reason) Reason {
	if a == ReasonNoUpstream {
		return b
	}
	return a
}

// preferred reports whether a is preferred over b: it has more free slots, or as
// many and the lower ID, so that the choice does not depend on map order.
func preferred(a, b *upstream) bool {
	freeA, freeB := a.Slots-a.active, b.Slots-b.active
	if freeA != freeB {
		return freeA > freeB
	}
	return a.Upstream < b.Upstream
}

// idleUpstream returns the upstream with the lowest ID of those with an idle
// connection, which can be closed to make room for a new one. It returns nil if
// there is none.
func (r *Requests) idleUpstream() *upstream {
	var found *upstream
	for _, u := range r.upstreams {
		if u.idle > 0 && (found == nil || u.Upstream < found.Upstream) {
			found = u
		}
	}
	return found
}

// Announced returns the announcement of an upstream and reports whether the
// upstream is announced and not withdrawn.
func (r *Requests) Announced(id UpstreamID) (Announcement, bool) {
	u, ok := r.upstreams[id]
	if !ok || u.withdrawn {
		return Announcement{}, false
	}
	return u.Announcement, true
}
