package datagram

import "google.golang.org/protobuf/encoding/protowire"

// Field numbers of the header, shared by all messages.
const (
	fieldSender = iota + 1
	fieldIncarnation
	fieldSeq
	fieldConfigVersion
	fieldConfigAge
)

// Field numbers from here on belong to the message types.
const (
	fieldShard = iota + 10
	fieldClock
	fieldEpoch
	fieldDraining
	fieldTasksHash
	fieldAddress
	fieldUpstream
	fieldEcho
	fieldOwner
	fieldRelay
	fieldVersion
	fieldHash
	fieldMember
	fieldHave
	fieldRelayAddress
)

// Field numbers within an upstream.
const (
	upService = iota + 1
	upSlots
	upConnections
	upInFlight
	upLeaving
)

// Field numbers within a member.
const (
	memVM = iota + 1
	memIncarnation
	memChanged
	memAlive
	memDraining
	memClock
	memAddress
	memUpstream
)

// Message is a payload that can be encoded and decoded.
type Message interface {
	// Type returns the type byte of the message.
	Type() Type
	// Head returns the message's header.
	Head() *Header
	appendBody(b []byte) []byte
	// reset empties the message and keeps its slices.
	reset()
	setField(f field) bool
}

// Head returns the header itself.
func (h *Header) Head() *Header { return h }

func (h *Header) appendHeader(b []byte) []byte {
	b = appendFixed(b, fieldSender, h.Sender)
	b = appendFixed(b, fieldIncarnation, h.Incarnation)
	b = appendUint(b, fieldSeq, h.Seq)
	b = appendUint(b, fieldConfigVersion, h.ConfigVersion)
	return appendUint(b, fieldConfigAge, uint64(h.ConfigAgeMS))
}

func appendUpstreams(b []byte, num protowire.Number, ups []Upstream) []byte {
	for i := range ups {
		u := &ups[i]
		b = appendMessage(b, num, func(b []byte) []byte {
			b = appendFixed(b, upService, u.Service)
			b = appendUint(b, upSlots, uint64(u.Slots))
			b = appendUint(b, upConnections, uint64(u.Connections))
			b = appendUint(b, upInFlight, uint64(u.InFlight))
			return appendBool(b, upLeaving, u.Leaving)
		})
	}
	return b
}

// Type implements Message.
func (m *Heartbeat) Type() Type { return TypeHeartbeat }

func (m *Heartbeat) appendBody(b []byte) []byte {
	b = m.appendHeader(b)
	b = appendFixed(b, fieldShard, m.Shard)
	b = appendUint(b, fieldClock, uint64(m.Clock))
	b = appendUint(b, fieldEpoch, m.Epoch)
	b = appendBool(b, fieldDraining, m.Draining)
	b = appendFixed(b, fieldTasksHash, m.TasksHash)
	b = appendAddr(b, fieldAddress, m.Address)
	return appendUpstreams(b, fieldUpstream, m.Upstreams)
}

// Type implements Message.
func (m *HeartbeatAck) Type() Type { return TypeHeartbeatAck }

func (m *HeartbeatAck) appendBody(b []byte) []byte {
	b = m.appendHeader(b)
	b = appendFixed(b, fieldShard, m.Shard)
	b = appendUint(b, fieldEpoch, m.Epoch)
	b = appendUint(b, fieldEcho, uint64(m.Echo))
	b = appendBool(b, fieldOwner, m.Owner)
	b = appendFixed(b, fieldRelay, m.Relay)
	return appendAddr(b, fieldRelayAddress, m.RelayAddress)
}

// Type implements Message.
func (m *Digest) Type() Type { return TypeDigest }

func (m *Digest) appendBody(b []byte) []byte {
	b = m.appendHeader(b)
	b = appendFixed(b, fieldShard, m.Shard)
	b = appendUint(b, fieldEpoch, m.Epoch)
	b = appendUint(b, fieldVersion, m.Version)
	b = appendFixed(b, fieldHash, m.Hash)
	b = appendBool(b, fieldOwner, m.Owner)
	for i := range m.Members {
		b = appendMessage(b, fieldMember, m.Members[i].appendMember)
	}
	return b
}

func (m *Member) appendMember(b []byte) []byte {
	b = appendFixed(b, memVM, m.VM)
	b = appendFixed(b, memIncarnation, m.Incarnation)
	b = appendUint(b, memChanged, m.Changed)
	b = appendBool(b, memAlive, m.Alive)
	b = appendBool(b, memDraining, m.Draining)
	b = appendUint(b, memClock, uint64(m.Clock))
	b = appendAddr(b, memAddress, m.Address)
	return appendUpstreams(b, memUpstream, m.Upstreams)
}

// Type implements Message.
func (m *DigestRequest) Type() Type { return TypeDigestRequest }

func (m *DigestRequest) appendBody(b []byte) []byte {
	b = m.appendHeader(b)
	b = appendFixed(b, fieldShard, m.Shard)
	return appendUint(b, fieldHave, m.Have)
}

// Type implements Message.
func (m *Probe) Type() Type { return TypeProbe }

func (m *Probe) appendBody(b []byte) []byte {
	b = m.appendHeader(b)
	return appendFixed(b, fieldShard, m.Shard)
}

// Type implements Message.
func (m *VersionNotice) Type() Type { return TypeVersionNotice }

func (m *VersionNotice) appendBody(b []byte) []byte {
	b = m.appendHeader(b)
	return appendAddr(b, fieldAddress, m.Address)
}
