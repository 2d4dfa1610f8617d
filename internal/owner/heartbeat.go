package owner

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
)

// relay is the state of a worker that is the relay: it also receives the
// heartbeats that workers send to the owner, and sends digests to the entries.
type relay struct {
	epoch       types.Epoch
	appointment uint64
	detector    *membership.Detector
}

// tick updates the failure detector and sends digests to the entries if the
// status of a member changed.
func (r *relay) tick(s *hostState, now time.Duration) {
	if changes := r.detector.Tick(now, nil); len(changes) > 0 {
		s.sendDigests(now)
	}
}

// Heartbeat processes a heartbeat that the socket received. It copies the
// message.
func (h *Host) Heartbeat(m *datagram.Heartbeat, from netip.AddrPort) {
	copied := *m
	copied.Upstreams = slices.Clone(m.Upstreams)
	h.state.Enqueue(func(s *hostState) { s.handleHeartbeat(&copied, from) })
}

func (s *hostState) handleHeartbeat(m *datagram.Heartbeat, from netip.AddrPort) {
	vm, known := s.memberByHash[m.Sender]
	if !known || m.Shard != datagram.HashName(string(s.h.opts.Shard)) {
		return
	}
	now := s.h.node.Clock()
	hb := membership.Heartbeat{
		VM:          vm,
		Incarnation: types.Incarnation(m.Incarnation),
		Seq:         m.Seq,
		SentAt:      time.Duration(m.Clock),
		Draining:    m.Draining,
		Leaving:     m.Leaving,
		Echo: membership.Echo{
			Listener: types.Incarnation(m.EchoListener),
			ReadAt:   time.Duration(m.EchoReadAt),
		},
		Content: contentHash(m.Upstreams, from),
	}
	switch {
	case s.term != nil:
		s.handleAsOwner(now, hb, m, from)
	case s.relay != nil:
		ack, _, verdict := s.relay.detector.Heartbeat(now, hb)
		s.storeMemberState(now, hb, m, from, verdict)
		s.sendAck(ack, from, func(a *datagram.HeartbeatAck) { a.Epoch = uint64(s.relay.epoch) })
	}
}

func (s *hostState) handleAsOwner(now time.Duration, hb membership.Heartbeat, m *datagram.Heartbeat, from netip.AddrPort) {
	t := s.term
	reply, ok := t.machine.Heartbeat(now, hb)
	if !ok {
		return
	}
	entry, confirmed := t.machine.Detector().Lookup(hb.VM)
	if entry.Incarnation == hb.Incarnation {
		s.memberStates[hb.VM] = newMemberState(now, hb, m, from)
	}
	l := t.link(hb.VM)
	if confirmed && (reply.NeedReport || l.reportedIncarnation != hb.Incarnation || l.reportedHash != m.TasksHash) {
		l.wantReport = true
	}
	s.sendAck(reply.Ack, from, func(a *datagram.HeartbeatAck) {
		a.Owner = true
		a.Right = reply.Right
		a.Epoch = uint64(reply.Epoch)
		a.Appointment = t.appointment
		if c := s.memberStates[t.relay]; c != nil {
			a.Relay = datagram.HashName(string(t.relay))
			a.RelayAddress = c.address
		}
	})
}

// storeMemberState stores the content of a member's heartbeat if the detector
// accepted the heartbeat, and sends digests if it changed the membership.
func (s *hostState) storeMemberState(now time.Duration, hb membership.Heartbeat, m *datagram.Heartbeat, from netip.AddrPort, v membership.Verdict) {
	if v == membership.Refreshed || v == membership.Changed {
		s.memberStates[hb.VM] = newMemberState(now, hb, m, from)
	}
	if v == membership.Changed {
		s.sendDigests(now)
	}
}

func newMemberState(now time.Duration, hb membership.Heartbeat, m *datagram.Heartbeat, from netip.AddrPort) *memberState {
	return &memberState{
		incarnation: hb.Incarnation,
		address:     from,
		senderClock: hb.SentAt,
		receivedAt:  now,
		tasksHash:   m.TasksHash,
		upstreams:   m.Upstreams,
	}
}

// contentHash returns a hash of the upstreams, their limits and the sender's
// address. It excludes the load, which entries learn from replies.
func contentHash(ups []datagram.Upstream, from netip.AddrPort) uint64 {
	h := xxhash.New()
	var b [17]byte
	for _, u := range ups {
		binary.LittleEndian.PutUint64(b[0:], u.Service)
		binary.LittleEndian.PutUint32(b[8:], u.Slots)
		binary.LittleEndian.PutUint32(b[12:], u.Connections)
		b[16] = 0
		if u.Leaving {
			b[16] = 1
		}
		// Writes to a hash never fail.
		_, _ = h.Write(b[:])
	}
	_, _ = h.WriteString(from.String())
	return h.Sum64()
}

func (s *hostState) sendAck(a membership.Ack, to netip.AddrPort, fill func(*datagram.HeartbeatAck)) {
	m := &datagram.HeartbeatAck{
		Header:        s.h.node.Header(),
		Shard:         datagram.HashName(string(s.h.opts.Shard)),
		ToIncarnation: uint64(a.Incarnation),
		Echo:          int64(a.SentAt),
		ReadAt:        int64(a.Echo.ReadAt),
		Challenge:     a.Challenge,
		Superseded:    a.Superseded,
	}
	fill(m)
	s.h.node.Socket.Send(m, to)
}

// chooseRelay appoints another relay if the current one is no longer live.
func (s *hostState) chooseRelay() {
	t := s.term
	self := types.VMID(s.h.node.Name)
	live := t.machine.Detector().Live(nil)
	chosen := membership.ChooseRelay(s.h.opts.Shard, t.epoch, self, t.relay, live)
	if chosen == t.relay {
		return
	}
	t.relay = chosen
	t.appointment++
}

// HandleAck processes an acknowledgement that this worker received. One from the
// owner also states whether this worker is the relay.
func (h *Host) HandleAck(m *datagram.HeartbeatAck) {
	if !m.Owner {
		return
	}
	epoch, appointment := types.Epoch(m.Epoch), m.Appointment
	appointed := m.Relay == h.node.Hash()
	h.state.Enqueue(func(s *hostState) {
		s.ownerHeardAt = h.node.Clock()
		s.setRelay(appointed, epoch, appointment)
	})
}

func (s *hostState) setRelay(appointed bool, epoch types.Epoch, appointment uint64) {
	if s.term != nil {
		return
	}
	if !appointed {
		s.relay = nil
		return
	}
	if s.relay != nil && s.relay.epoch == epoch && s.relay.appointment == appointment {
		return
	}
	if s.relay == nil {
		s.relay = &relay{detector: membership.NewDetector(MembershipConfig(), s.h.node.Incarnation)}
		s.nextEntryScanAt, s.nextObserveAt = 0, 0
	}
	s.relay.epoch, s.relay.appointment = epoch, appointment
	s.h.tel.Log.Log(eventRelay, nil, telemetry.Fields{"epoch": uint64(epoch)})
}
