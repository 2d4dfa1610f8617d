package admission

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Limits are the fixed bounds of a worker.
type Limits struct {
	// Slots and Connections bound all upstreams of the VM together.
	Slots       int
	Connections int
	// MaxBudget bounds how far the end of an offer's validity may lie ahead, and
	// with it the time that an identity must be remembered. The budget itself
	// may be longer, because it includes the age of the echo.
	MaxBudget time.Duration
	// Retention is how long a settled identity is remembered after its
	// validity ended, so that a late seal still gets an answer.
	Retention time.Duration
	// MaxIdentities bounds remembered identities; no offer is admitted above.
	MaxIdentities int
	// SealReserve is the number of identities above MaxIdentities that seals
	// and refusals may use.
	SealReserve int
	// MaxRetainedBytes bounds the response bytes kept for late seals.
	MaxRetainedBytes int
	// AnnouncementTTL is how long an announcement counts without renewal.
	AnnouncementTTL time.Duration
}

// DefaultLimits returns the limits of a worker on the given VM.
//
// 16,384 identities hold 270 requests/s for 60 s; above that rate identities
// are forgotten before their retention ends, and nothing is refused until the
// valid ones alone fill the memory. An announcement outlives two missed
// renewals.
func DefaultLimits(vm types.VM) Limits {
	return Limits{
		Slots:            vm.Slots,
		Connections:      vm.Connections,
		MaxBudget:        30 * time.Second,
		Retention:        30 * time.Second,
		MaxIdentities:    16384,
		SealReserve:      4096,
		MaxRetainedBytes: 4 << 20,
		AnnouncementTTL:  3500 * time.Millisecond,
	}
}

// Offer is a request as a sender offers it to the worker.
type Offer struct {
	ID types.RequestID
	// Target is the incarnation that the offer is meant for.
	Target  types.Incarnation
	Service types.ServiceName
	// Config is the configuration version that the sender used.
	Config types.Version
	// Echo is a reading of the worker's clock that the sender received.
	Echo time.Duration
	// Budget is the time after Echo in which the offer is valid.
	Budget time.Duration
}

// ValidUntil is the end of the offer's validity on the worker's clock.
func (o Offer) ValidUntil() time.Duration {
	return o.Echo + o.Budget
}

// Reason tells why an offer was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonNone             Reason = ""
	ReasonWrongIncarnation Reason = "wrong-incarnation"
	ReasonInvalid          Reason = "invalid"
	ReasonSealed           Reason = "sealed"
	ReasonKnown            Reason = "already-known"
	ReasonForgotten        Reason = "forgotten"
	ReasonBudgetOver       Reason = "budget-over"
	ReasonDraining         Reason = "draining"
	ReasonUnconfirmed      Reason = "configuration-unconfirmed"
	ReasonOldConfig        Reason = "older-configuration"
	ReasonNoUpstream       Reason = "no-upstream"
	ReasonNoSlot           Reason = "no-slot"
	ReasonNoConnection     Reason = "no-connection"
	ReasonMemoryFull       Reason = "identity-memory-full"
)

// Decision is the result of Admit.
type Decision struct {
	// Reason is ReasonNone for an admitted offer.
	Reason Reason
	// ProvenNotRun tells, for a refusal, that the request has not run and will not
	// run. Without it the sender has to seal. For a refusal because of another
	// incarnation it holds for a transport that delivers each offer to at most
	// one incarnation, as one HTTP exchange on one connection does.
	ProvenNotRun bool
	// Upstream is the upstream that an admitted request runs at.
	Upstream UpstreamID
	// Reuse tells that an idle connection to the upstream is used.
	Reuse bool
	// CloseIdle names an upstream of which one idle connection has to be
	// closed first; empty if none.
	CloseIdle UpstreamID
}

// Admitted reports whether the offer was admitted.
func (d Decision) Admitted() bool {
	return d.Reason == ReasonNone
}

// Requests is the request admission of one worker incarnation.
type Requests struct {
	incarnation    types.Incarnation
	limits         Limits
	requiredConfig types.Version
	unconfirmed    bool
	draining       bool
	memory         memory
	upstreams      map[UpstreamID]*upstream
	slots          int
	connections    int
}

// NewRequests returns the admission state of a new incarnation.
func NewRequests(incarnation types.Incarnation, limits Limits) *Requests {
	return &Requests{
		incarnation: incarnation,
		limits:      limits,
		memory:      newMemory(),
		upstreams:   make(map[UpstreamID]*upstream),
	}
}

// RequireConfig sets the configuration version below which offers are refused. A
// lower version than the present one is ignored.
func (r *Requests) RequireConfig(v types.Version) {
	r.requiredConfig = max(r.requiredConfig, v)
}

// SetConfigUnconfirmed stops or allows new work while the worker cannot confirm its
// configuration.
func (r *Requests) SetConfigUnconfirmed(unconfirmed bool) {
	r.unconfirmed = unconfirmed
}

// Drain refuses all new work from now on.
func (r *Requests) Drain() {
	r.draining = true
}

// Draining reports whether Drain was called.
func (r *Requests) Draining() bool {
	return r.draining
}

// Empty reports whether no request is in progress.
func (r *Requests) Empty() bool {
	return r.slots == 0
}

// InUse returns the slots and connections in use on the VM.
func (r *Requests) InUse() (slots, connections int) {
	return r.slots, r.connections
}

// Identities returns the number of remembered identities.
func (r *Requests) Identities() int {
	return len(r.memory.known)
}

// Admit decides on an offer. An admitted request occupies its slot until
// Finish.
func (r *Requests) Admit(now time.Duration, o Offer) Decision {
	r.Forget(now)
	if d, refused := r.refuseByIdentity(now, o); refused {
		return d
	}
	if reason := r.refuseByState(o); reason != ReasonNone {
		return r.refuseFinally(o, reason)
	}
	if r.slots >= r.limits.Slots {
		return r.refuseFinally(o, ReasonNoSlot)
	}
	u, reason := r.choose(now, o.Service)
	if u == nil {
		return r.refuseFinally(o, reason)
	}
	d, ok := r.connect(u)
	if !ok {
		return r.refuseFinally(o, ReasonNoConnection)
	}
	u.active++
	r.slots++
	r.memory.addRunning(o.ID, o.ValidUntil(), u)
	return d
}

// refuseByIdentity refuses offers that must not run whatever the load is.
func (r *Requests) refuseByIdentity(now time.Duration, o Offer) (Decision, bool) {
	if o.Target != r.incarnation {
		return Decision{Reason: ReasonWrongIncarnation, ProvenNotRun: true}, true
	}
	if entry, known := r.memory.known[o.ID]; known {
		return refuseKnown(entry), true
	}
	if r.memory.forgotten(o.ValidUntil()) {
		return Decision{Reason: ReasonForgotten}, true
	}
	if o.ValidUntil() > now+r.limits.MaxBudget {
		// Such a validity is not remembered, so nothing is proven.
		return Decision{Reason: ReasonInvalid}, true
	}
	if o.Budget <= 0 || now > o.ValidUntil() {
		return Decision{Reason: ReasonBudgetOver, ProvenNotRun: true}, true
	}
	return Decision{}, false
}

// refuseKnown refuses an identity that is in memory. Only a sealed one, or one
// that finished without reaching the upstream, is proven not run.
func refuseKnown(entry *identity) Decision {
	if entry.state == identitySealed {
		return Decision{Reason: ReasonSealed, ProvenNotRun: true}
	}
	proven := entry.state == identityFinished && entry.outcome == apperr.OutcomeNotRun
	return Decision{Reason: ReasonKnown, ProvenNotRun: proven}
}

// refuseByState refuses offers that the worker cannot take as a whole.
func (r *Requests) refuseByState(o Offer) Reason {
	switch {
	case r.draining:
		return ReasonDraining
	case r.unconfirmed:
		return ReasonUnconfirmed
	case o.Config < r.requiredConfig:
		return ReasonOldConfig
	case len(r.memory.known) >= r.limits.MaxIdentities:
		return ReasonMemoryFull
	default:
		return ReasonNone
	}
}

// refuseFinally seals the identity, so that a second copy of the offer is not
// admitted once the reason has gone. Without room for the seal the refusal
// proves nothing.
func (r *Requests) refuseFinally(o Offer, reason Reason) Decision {
	if !r.roomForSeal() {
		return Decision{Reason: reason}
	}
	r.memory.addSealed(o.ID, o.ValidUntil())
	return Decision{Reason: reason, ProvenNotRun: true}
}

func (r *Requests) roomForSeal() bool {
	return len(r.memory.known) < r.limits.MaxIdentities+r.limits.SealReserve
}

// connect takes an idle connection of the upstream or opens one, if need be
// in place of an idle connection to another upstream.
func (r *Requests) connect(u *upstream) (Decision, bool) {
	d := Decision{Upstream: u.Upstream}
	if u.idle > 0 {
		u.idle--
		d.Reuse = true
		return d, true
	}
	if r.connections >= r.limits.Connections {
		other := r.idleUpstream()
		if other == nil {
			return d, false
		}
		d.CloseIdle = other.Upstream
		r.ConnectionClosed(other.Upstream)
	}
	r.connections++
	return d, true
}
