package admission

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Limits are the fixed bounds of a worker.
type Limits struct {
	// Slots and Connections bound the total over all upstreams of the VM.
	Slots       int
	Connections int
	// MaxValidityAhead bounds how far in the future the end of an offer's
	// validity may be, and thereby how long an identity must be remembered. The
	// budget itself may be longer, because it includes the age of the echo.
	MaxValidityAhead time.Duration
	// Retention is how long a settled identity is remembered after its
	// validity ended, so that a late seal still gets an answer.
	Retention time.Duration
	// MaxIdentities is the number of remembered identities at which offers are
	// refused.
	MaxIdentities int
	// SealReserve is the number of identities above MaxIdentities that seals
	// and refusals may add.
	SealReserve int
	// MaxRetainedBytes bounds the total size of the responses kept for late
	// seals.
	MaxRetainedBytes int
	// AnnouncementTTL is how long an announcement is valid without renewal.
	AnnouncementTTL time.Duration
}

// DefaultLimits returns the limits of a worker on the given VM.
//
// 16,384 identities are enough for 270 requests/s over the 60 s of
// MaxValidityAhead plus Retention. Above that rate, identities are forgotten
// before their retention ends. Offers are refused only when identities that are
// still valid fill the memory. An announcement stays valid after two missed
// renewals.
func DefaultLimits(vm types.VM) Limits {
	return Limits{
		Slots:            vm.Slots,
		Connections:      vm.Connections,
		MaxValidityAhead: 30 * time.Second,
		Retention:        30 * time.Second,
		MaxIdentities:    16384,
		SealReserve:      4096,
		MaxRetainedBytes: 4 << 20,
		AnnouncementTTL:  3500 * time.Millisecond,
	}
}

// Offer is a request that a sender offers to the worker.
type Offer struct {
	ID types.RequestID
	// Target is the worker incarnation that the offer is addressed to.
	Target  types.Incarnation
	Service types.ServiceName
	// Config is the configuration version that the sender used.
	Config types.Version
	// Echo is a reading of the worker's clock that the sender received.
	Echo time.Duration
	// Budget is the time after Echo in which the offer is valid.
	Budget time.Duration
}

// ValidUntil returns the end of the offer's validity on the worker's clock.
func (o Offer) ValidUntil() time.Duration {
	return o.Echo + o.Budget
}

// Reason is the reason for refusing an offer.
type Reason string

// Reasons of refusals.
const (
	ReasonNone             Reason = ""
	ReasonWrongIncarnation Reason = "wrong-incarnation"
	// ReasonInvalid: the validity ends more than MaxValidityAhead ahead.
	ReasonInvalid Reason = "invalid"
	ReasonSealed  Reason = "sealed"
	// ReasonKnown: the request is running or has finished here.
	ReasonKnown Reason = "already-known"
	// ReasonForgotten: the identity may have been forgotten.
	ReasonForgotten Reason = "forgotten"
	// ReasonExpired: the validity of the offer has ended.
	ReasonExpired  Reason = "budget-over"
	ReasonDraining Reason = "draining"
	// ReasonUnconfirmed: the worker cannot confirm its configuration.
	ReasonUnconfirmed Reason = "configuration-unconfirmed"
	// ReasonOldConfig: the sender used a configuration version below the required
	// one.
	ReasonOldConfig Reason = "older-configuration"
	// ReasonNoUpstream: no upstream has a valid announcement for the service.
	ReasonNoUpstream   Reason = "no-upstream"
	ReasonNoSlot       Reason = "no-slot"
	ReasonNoConnection Reason = "no-connection"
	// ReasonMemoryFull: MaxIdentities identities are remembered.
	ReasonMemoryFull Reason = "identity-memory-full"
)

// Decision is the result of Admit.
type Decision struct {
	// Reason is ReasonNone for an admitted offer.
	Reason Reason
	// ProvenNotRun is set for a refusal that proves that the request has not run
	// and will not run. Otherwise the sender has to seal the request. With
	// ReasonWrongIncarnation the proof requires a transport that delivers each
	// offer to at most one incarnation, for example one HTTP exchange on one
	// connection.
	ProvenNotRun bool
	// Upstream is the upstream that runs an admitted request.
	Upstream UpstreamID
	// Reuse is set if the request uses an idle connection to the upstream.
	Reuse bool
	// CloseIdle is the upstream to which one idle connection has to be closed
	// first. It is empty if none has to be closed.
	CloseIdle UpstreamID
}

// Admitted reports whether the offer was admitted.
func (d Decision) Admitted() bool {
	return d.Reason == ReasonNone
}

// Requests is the request admission state of one worker incarnation.
type Requests struct {
	incarnation       types.Incarnation
	limits            Limits
	requiredConfig    types.Version
	configUnconfirmed bool
	draining          bool
	memory            memory
	upstreams         map[UpstreamID]*upstream
	slotsInUse        int
	connectionsInUse  int
}

// NewRequests returns the request admission state of a new incarnation.
func NewRequests(incarnation types.Incarnation, limits Limits) *Requests {
	return &Requests{
		incarnation: incarnation,
		limits:      limits,
		memory:      newMemory(),
		upstreams:   make(map[UpstreamID]*upstream),
	}
}

// RequireConfig sets the configuration version below which offers are refused. It
// ignores a version lower than the current one.
func (r *Requests) RequireConfig(v types.Version) {
	r.requiredConfig = max(r.requiredConfig, v)
}

// SetConfigUnconfirmed sets whether the worker cannot confirm its configuration.
// While it cannot, all offers are refused.
func (r *Requests) SetConfigUnconfirmed(configUnconfirmed bool) {
	r.configUnconfirmed = configUnconfirmed
}

// Drain makes Admit refuse all new requests from now on.
func (r *Requests) Drain() {
	r.draining = true
}

// Draining reports whether Drain was called.
func (r *Requests) Draining() bool {
	return r.draining
}

// Empty reports whether no request is in progress.
func (r *Requests) Empty() bool {
	return r.slotsInUse == 0
}

// InUse returns the slots and connections in use on the VM.
func (r *Requests) InUse() (slotsInUse, connectionsInUse int) {
	return r.slotsInUse, r.connectionsInUse
}

// Identities returns the number of remembered identities.
func (r *Requests) Identities() int {
	return len(r.memory.known)
}

// Admit admits or refuses an offer. An admitted request occupies its slot until
// Finish is called.
func (r *Requests) Admit(now time.Duration, o Offer) Decision {
	r.Forget(now)
	if d, refused := r.refuseByIdentity(now, o); refused {
		return d
	}
	if reason := r.refuseByState(o); reason != ReasonNone {
		return r.refuseAndSeal(o, reason)
	}
	if r.slotsInUse >= r.limits.Slots {
		return r.refuseAndSeal(o, ReasonNoSlot)
	}
	u, reason := r.choose(now, o.Service)
	if u == nil {
		return r.refuseAndSeal(o, reason)
	}
	d, ok := r.reserveConnection(u)
	if !ok {
		return r.refuseAndSeal(o, ReasonNoConnection)
	}
	u.active++
	r.slotsInUse++
	r.memory.addRunning(o.ID, o.ValidUntil(), u)
	return d
}

// refuseByIdentity refuses offers that must not run whatever the load: those with
// the wrong target, a known or forgotten identity, or an expired or excessive
// validity. It reports whether it refused the offer.
func (r *Requests) refuseByIdentity(now time.Duration, o Offer) (Decision, bool) {
	if o.Target != r.incarnation {
		return Decision{Reason: ReasonWrongIncarnation, ProvenNotRun: true}, true
	}
	if ident, known := r.memory.known[o.ID]; known {
		return refuseKnown(ident), true
	}
	if r.memory.forgotten(o.ValidUntil()) {
		return Decision{Reason: ReasonForgotten}, true
	}
	if o.ValidUntil() > now+r.limits.MaxValidityAhead {
		// The identity cannot be remembered that long, so the refusal proves
		// nothing.
		return Decision{Reason: ReasonInvalid}, true
	}
	if o.Budget <= 0 || now > o.ValidUntil() {
		return Decision{Reason: ReasonExpired, ProvenNotRun: true}, true
	}
	return Decision{}, false
}

// refuseKnown returns the refusal for an identity that is in memory. It proves
// that the request did not run only if the identity is sealed or finished without
// reaching the upstream.
func refuseKnown(ident *identity) Decision {
	if ident.state == identitySealed {
		return Decision{Reason: ReasonSealed, ProvenNotRun: true}
	}
	proven := ident.state == identityFinished && ident.outcome == apperr.OutcomeNotRun
	return Decision{Reason: ReasonKnown, ProvenNotRun: proven}
}

// refuseByState returns the reason for which the worker refuses an offer in its
// current state, whatever the service, or ReasonNone.
func (r *Requests) refuseByState(o Offer) Reason {
	switch {
	case r.draining:
		return ReasonDraining
	case r.configUnconfirmed:
		return ReasonUnconfirmed
	case o.Config < r.requiredConfig:
		return ReasonOldConfig
	case len(r.memory.known) >= r.limits.MaxIdentities:
		return ReasonMemoryFull
	default:
		return ReasonNone
	}
}

// refuseAndSeal refuses an offer and seals its identity, so that a second copy of
// the offer is not admitted once the reason no longer applies. If the memory has
// no room for the seal, the refusal proves nothing.
func (r *Requests) refuseAndSeal(o Offer, reason Reason) Decision {
	if !r.roomForSeal() {
		return Decision{Reason: reason}
	}
	r.memory.addSealed(o.ID, o.ValidUntil())
	return Decision{Reason: reason, ProvenNotRun: true}
}

func (r *Requests) roomForSeal() bool {
	return len(r.memory.known) < r.limits.MaxIdentities+r.limits.SealReserve
}

// reserveConnection reserves an idle connection to the upstream or a new one. At
// the VM's connection limit, a new connection replaces an idle one to another
// upstream. It reports whether a connection was available.
func (r *Requests) reserveConnection(u *upstream) (Decision, bool) {
	d := Decision{Upstream: u.Upstream}
	if u.idle > 0 {
		u.idle--
		d.Reuse = true
		return d, true
	}
	if r.connectionsInUse >= r.limits.Connections {
		other := r.idleUpstream()
		if other == nil {
			return d, false
		}
		d.CloseIdle = other.Upstream
		r.ConnectionClosed(other.Upstream)
	}
	r.connectionsInUse++
	return d, true
}
