package membership

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Status is the status of a member in one view.
type Status uint8

// Statuses of members. The zero value means that the view has no such member.
const (
	Unknown Status = iota
	Alive
	// Draining members finish their current work and take no new work.
	Draining
	// Leaving members have announced that they stop; their incarnation never
	// returns.
	Leaving
	Dead
)

// String returns the name of the status for logs.
func (s Status) String() string {
	return [...]string{"unknown", "alive", "draining", "leaving", "dead"}[min(s, Dead)]
}

// Running reports whether the member's process is considered running.
func (s Status) Running() bool {
	return s == Alive || s == Draining
}

// Echo is a clock reading of a listener that a worker sends back to that
// listener. It proves that the worker was alive after the reading was taken.
type Echo struct {
	Listener types.Incarnation
	ReadAt   time.Duration
}

// Heartbeat is a message that a worker sends to the owner and the relay of its
// shard.
type Heartbeat struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// Seq increases with each heartbeat of the incarnation, from 1.
	Seq uint64
	// SentAt is the sender's clock reading.
	SentAt   time.Duration
	Draining bool
	Leaving  bool
	// Echo is taken from the last acknowledgement of this listener; zero if
	// there is none.
	Echo Echo
	// Content is a hash of what the worker serves. A changed hash is sent to
	// entries like a changed status.
	Content uint64
}

// Ack is the acknowledgement of a heartbeat, addressed to one incarnation.
type Ack struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// SentAt is copied from the heartbeat.
	SentAt time.Duration
	// Echo must be returned in the next heartbeat.
	Echo Echo
	// Challenge asks for a heartbeat at once, because the incarnation is not
	// confirmed yet.
	Challenge bool
	// Superseded means that another incarnation has replaced the process. The
	// process must exit and may restart with a new incarnation.
	Superseded bool
}

// Change is a change of a member's state.
type Change struct {
	VM          types.VMID
	Incarnation types.Incarnation
	Status      Status
	// Previous is the incarnation that was replaced; zero if there is none.
	Previous types.Incarnation
}

// Verdict is the result of handling a heartbeat.
type Verdict uint8

// Verdicts.
const (
	// Refreshed: the heartbeat changed only the time of the last contact.
	Refreshed Verdict = iota + 1
	// Changed: the member's state changed.
	Changed
	// Outdated: this or a later heartbeat of the incarnation was received
	// before.
	Outdated
	// Challenged: the unconfirmed incarnation must return an echo before it
	// replaces the current one.
	Challenged
	// Superseded: the incarnation was replaced and never returns.
	Superseded
)

// maxSuperseded is the number of superseded incarnations stored per VM. Delayed
// heartbeats of an incarnation that is no longer stored cannot bring it back,
// because the incarnation would first have to answer a challenge.
const maxSuperseded = 16

// member is the state of one VM.
type member struct {
	state MemberState
	// countedHash is the hash of state as included in Detector.hash.
	countedHash     uint64
	seq             uint64
	lastHeartbeatAt time.Duration
	firstSeen       time.Duration
	confirmed       bool
	// pendingIncarnation is an unconfirmed incarnation that may replace the
	// current one.
	pendingIncarnation types.Incarnation
	pendingSince       time.Duration
	superseded         [maxSuperseded]types.Incarnation
	nextSuperseded     int
}

// Detector is the state of a listener that receives the heartbeats of one
// shard.
type Detector struct {
	cfg      Config
	self     types.Incarnation
	members  map[types.VMID]*member
	ordered  []*member // in the order of their first heartbeat
	version  uint64
	hash     uint64
	lastTick time.Duration
	ticked   bool
}

// NewDetector returns a detector without members. self is the incarnation of
// the listener.
func NewDetector(cfg Config, self types.Incarnation) *Detector {
	return &Detector{cfg: cfg, self: self, members: make(map[types.VMID]*member)}
}

// Heartbeat handles a heartbeat received at now. It returns the acknowledgement
// to send and, if the verdict is Changed, the change of the member's state.
func (d *Detector) Heartbeat(now time.Duration, hb Heartbeat) (Ack, Change, Verdict) {
	ack := Ack{
		VM: hb.VM, Incarnation: hb.Incarnation, SentAt: hb.SentAt,
		Echo: Echo{Listener: d.self, ReadAt: now},
	}
	m := d.members[hb.VM]
	if m == nil {
		m = d.addMember(now, hb)
	}
	if m.wasSuperseded(hb.Incarnation) {
		ack.Superseded = true
		return ack, Change{}, Superseded
	}
	if hb.Incarnation != m.state.Incarnation {
		if !d.tryReplace(now, m, hb) {
			ack.Challenge = true
			return ack, Change{}, Challenged
		}
		return ack, d.setState(m, statusOf(hb), hb.Content), Changed
	}
	if hb.Seq <= m.seq {
		return ack, Change{}, Outdated
	}
	m.seq = hb.Seq
	m.lastHeartbeatAt = now
	confirmedNow := !m.confirmed && d.validEcho(hb.Echo, m.firstSeen, now)
	m.confirmed = m.confirmed || confirmedNow
	ack.Challenge = !m.confirmed
	status := statusOf(hb)
	if m.state.Status == Leaving {
		status = Leaving
	}
	if status == m.state.Status && hb.Content == m.state.Content && !confirmedNow {
		return ack, Change{}, Refreshed
	}
	return ack, d.setState(m, status, hb.Content), Changed
}

// Tick declares dead the members that sent no heartbeat for DeadAfter, and
// appends the changes to dst. A gap between ticks longer than PauseThreshold is
// taken as a pause of the listener itself and not counted as silence of the
// members.
func (d *Detector) Tick(now time.Duration, dst []Change) []Change {
	if d.ticked && now-d.lastTick > d.cfg.PauseThreshold {
		gap := now - d.lastTick
		for _, m := range d.ordered {
			m.lastHeartbeatAt = min(m.lastHeartbeatAt+gap, now)
		}
	}
	d.ticked = true
	d.lastTick = now
	for _, m := range d.ordered {
		if m.state.Status.Running() && now-m.lastHeartbeatAt >= d.cfg.DeadAfter {
			dst = append(dst, d.setState(m, Dead, m.state.Content))
		}
	}
	return dst
}

// Lookup returns the state of a VM, and whether its incarnation is confirmed. A
// confirmed incarnation has returned an echo of this listener, so it is newer
// than every incarnation that the listener saw before it.
func (d *Detector) Lookup(vm types.VMID) (state MemberState, confirmed bool) {
	m := d.members[vm]
	if m == nil {
		return MemberState{}, false
	}
	return m.state, m.confirmed
}

// Live appends to dst the VMs whose process is considered running.
func (d *Detector) Live(dst []types.VMID) []types.VMID {
	for _, m := range d.ordered {
		if m.state.Status.Running() {
			dst = append(dst, m.state.VM)
		}
	}
	return dst
}

func (d *Detector) addMember(now time.Duration, hb Heartbeat) *member {
	m := &member{firstSeen: now, lastHeartbeatAt: now}
	m.state = MemberState{VM: hb.VM, Incarnation: hb.Incarnation}
	d.members[hb.VM] = m
	d.ordered = append(d.ordered, m)
	return m
}

// tryReplace replaces the current incarnation with the heartbeat's incarnation if
// the heartbeat echoes a reading taken after that incarnation was first seen. It
// reports whether it replaced the incarnation.
func (d *Detector) tryReplace(now time.Duration, m *member, hb Heartbeat) bool {
	if m.pendingIncarnation != hb.Incarnation {
		m.pendingIncarnation = hb.Incarnation
		m.pendingSince = now
		return false
	}
	if !d.validEcho(hb.Echo, m.pendingSince, now) {
		return false
	}
	m.markSuperseded(m.state.Incarnation)
	m.state.Previous = m.state.Incarnation
	m.state.Incarnation = hb.Incarnation
	m.state.Status = Unknown
	m.seq = hb.Seq
	m.lastHeartbeatAt = now
	m.firstSeen = m.pendingSince
	m.confirmed = true
	m.pendingIncarnation = 0
	return true
}

// validEcho reports whether the echo proves that its sender was running after since.
func (d *Detector) validEcho(e Echo, since, now time.Duration) bool {
	return e.Listener == d.self && e.ReadAt >= since && e.ReadAt <= now
}

// setState sets the status and the content, and gives the member a new version.
func (d *Detector) setState(m *member, status Status, content uint64) Change {
	if m.state.Version != 0 {
		d.hash -= m.countedHash
	}
	d.version++
	m.state.Status = status
	m.state.Content = content
	m.state.Version = d.version
	m.countedHash = m.state.hash()
	d.hash += m.countedHash
	return Change{VM: m.state.VM, Incarnation: m.state.Incarnation, Status: status, Previous: m.state.Previous}
}

func (m *member) wasSuperseded(i types.Incarnation) bool {
	for _, s := range m.superseded {
		if s == i && i != 0 {
			return true
		}
	}
	return false
}

func (m *member) markSuperseded(i types.Incarnation) {
	m.superseded[m.nextSuperseded] = i
	m.nextSuperseded = (m.nextSuperseded + 1) % maxSuperseded
}

func statusOf(hb Heartbeat) Status {
	switch {
	case hb.Leaving:
		return Leaving
	case hb.Draining:
		return Draining
	default:
		return Alive
	}
}
