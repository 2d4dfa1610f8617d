package membership

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Status is the state of a member in one view.
type Status uint8

// Statuses. The zero value means that the view has no such member.
const (
	Unknown Status = iota
	Alive
	// Draining members run what they have and take no new work.
	Draining
	// Leaving members have announced their end; their incarnation never returns.
	Leaving
	Dead
)

// String returns the status as written in logs.
func (s Status) String() string {
	return [...]string{"unknown", "alive", "draining", "leaving", "dead"}[min(s, Dead)]
}

// Running reports whether the member's process is thought to run.
func (s Status) Running() bool {
	return s == Alive || s == Draining
}

// Echo returns a listener's reading to it: proof that the sender was alive
// after the reading.
type Echo struct {
	Listener types.Incarnation
	ReadAt   time.Duration
}

// Heartbeat is sent by a worker to the owner and the relay of its shard.
type Heartbeat struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// Seq increases with each heartbeat of the incarnation, from 1.
	Seq uint64
	// SentAt is the sender's own reading.
	SentAt   time.Duration
	Draining bool
	Leaving  bool
	// Echo is from the last acknowledgement of this listener; zero if none.
	Echo Echo
	// Content is a hash of what the worker serves. A change of it is spread
	// like a change of status.
	Content uint64
}

// Ack answers a heartbeat. It is addressed to one incarnation.
type Ack struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// SentAt is the heartbeat's SentAt.
	SentAt time.Duration
	// Echo is to be returned in the next heartbeat.
	Echo Echo
	// Challenge asks for a heartbeat at once: the incarnation is not confirmed.
	Challenge bool
	// Superseded tells the process that another incarnation has replaced it.
	// It must end and may start again with a new incarnation.
	Superseded bool
}

// Change is a change of a member's entry.
type Change struct {
	VM          types.VMID
	Incarnation types.Incarnation
	Status      Status
	// Previous is the incarnation that was replaced; zero if none.
	Previous types.Incarnation
}

// Verdict tells what became of a heartbeat.
type Verdict uint8

// Verdicts.
const (
	// Refreshed: the heartbeat changed nothing but the time of hearing.
	Refreshed Verdict = iota + 1
	// Changed: the member's entry changed.
	Changed
	// Outdated: a later heartbeat of the incarnation was heard before.
	Outdated
	// Challenged: an unconfirmed incarnation must answer an echo before it
	// replaces the present one.
	Challenged
	// Superseded: the incarnation was replaced and never returns.
	Superseded
)

// maxSuperseded is the number of superseded incarnations remembered per VM.
// One that is forgotten still cannot return with delayed heartbeats, because
// it would have to answer a challenge.
const maxSuperseded = 16

// member is the state of one VM.
type member struct {
	entry Entry
	// countedHash is the entry's hash as it is contained in the detector's.
	countedHash uint64
	seq         uint64
	heardAt     time.Duration
	firstSeen   time.Duration
	confirmed   bool
	// candidate is an unconfirmed incarnation beside the present one.
	candidate      types.Incarnation
	candidateSeen  time.Duration
	superseded     [maxSuperseded]types.Incarnation
	nextSuperseded int
}

// Detector is the state of a listener to the heartbeats of one shard.
type Detector struct {
	cfg      Config
	self     types.Incarnation
	members  map[types.VMID]*member
	order    []*member
	version  uint64
	hash     uint64
	lastTick time.Duration
	ticked   bool
}

// NewDetector returns a detector without members. Self is the listener's own
// incarnation.
func NewDetector(cfg Config, self types.Incarnation) *Detector {
	return &Detector{cfg: cfg, self: self, members: make(map[types.VMID]*member)}
}

// Heartbeat applies a heartbeat received at now.
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
	if hb.Incarnation != m.entry.Incarnation {
		if !d.tryReplace(now, m, hb) {
			ack.Challenge = true
			return ack, Change{}, Challenged
		}
		return ack, d.setEntry(m, statusOf(hb), hb.Content), Changed
	}
	if hb.Seq <= m.seq {
		return ack, Change{}, Outdated
	}
	m.seq = hb.Seq
	m.heardAt = now
	confirmedNow := !m.confirmed && d.validEcho(hb.Echo, m.firstSeen, now)
	m.confirmed = m.confirmed || confirmedNow
	ack.Challenge = !m.confirmed
	status := statusOf(hb)
	if m.entry.Status == Leaving {
		status = Leaving
	}
	if status == m.entry.Status && hb.Content == m.entry.Content && !confirmedNow {
		return ack, Change{}, Refreshed
	}
	return ack, d.setEntry(m, status, hb.Content), Changed
}

// Tick declares dead the members that were silent for too long, and appends
// the changes to dst. A gap between ticks longer than PauseThreshold is the
// listener's own pause and not silence of the members.
func (d *Detector) Tick(now time.Duration, dst []Change) []Change {
	if d.ticked && now-d.lastTick > d.cfg.PauseThreshold {
		gap := now - d.lastTick
		for _, m := range d.order {
			m.heardAt = min(m.heardAt+gap, now)
		}
	}
	d.ticked = true
	d.lastTick = now
	for _, m := range d.order {
		if m.entry.Status.Running() && now-m.heardAt >= d.cfg.DeadAfter {
			dst = append(dst, d.setEntry(m, Dead, m.entry.Content))
		}
	}
	return dst
}

// Lookup returns the entry of a VM and whether its incarnation is confirmed:
// it answered an echo of this listener, so no earlier incarnation is later.
func (d *Detector) Lookup(vm types.VMID) (entry Entry, confirmed bool) {
	m := d.members[vm]
	if m == nil {
		return Entry{}, false
	}
	return m.entry, m.confirmed
}

// Live appends the VMs whose process is thought to run to dst.
func (d *Detector) Live(dst []types.VMID) []types.VMID {
	for _, m := range d.order {
		if m.entry.Status.Running() {
			dst = append(dst, m.entry.VM)
		}
	}
	return dst
}

func (d *Detector) addMember(now time.Duration, hb Heartbeat) *member {
	m := &member{firstSeen: now, heardAt: now}
	m.entry = Entry{VM: hb.VM, Incarnation: hb.Incarnation}
	d.members[hb.VM] = m
	d.order = append(d.order, m)
	return m
}

// tryReplace decides whether another incarnation replaces the present one: when it
// has echoed a reading that was given after it was first seen.
func (d *Detector) tryReplace(now time.Duration, m *member, hb Heartbeat) bool {
	if m.candidate != hb.Incarnation {
		m.candidate = hb.Incarnation
		m.candidateSeen = now
		return false
	}
	if !d.validEcho(hb.Echo, m.candidateSeen, now) {
		return false
	}
	m.markSuperseded(m.entry.Incarnation)
	m.entry.Previous = m.entry.Incarnation
	m.entry.Incarnation = hb.Incarnation
	m.entry.Status = Unknown
	m.seq = hb.Seq
	m.heardAt = now
	m.firstSeen = m.candidateSeen
	m.confirmed = true
	m.candidate = 0
	return true
}

func (d *Detector) validEcho(e Echo, since, now time.Duration) bool {
	return e.Listener == d.self && e.ReadAt >= since && e.ReadAt <= now
}

// setEntry changes the status and gives the entry a new version.
func (d *Detector) setEntry(m *member, status Status, content uint64) Change {
	if m.entry.Version != 0 {
		d.hash -= m.countedHash
	}
	d.version++
	m.entry.Status = status
	m.entry.Content = content
	m.entry.Version = d.version
	m.countedHash = m.entry.hash()
	d.hash += m.countedHash
	return Change{VM: m.entry.VM, Incarnation: m.entry.Incarnation, Status: status, Previous: m.entry.Previous}
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
