package datagram

import "google.golang.org/protobuf/encoding/protowire"

// Field numbers of the header, shared by all messages. In each list of field numbers
// the order is part of the wire format: new fields are only appended.
const (
	fieldSender = iota + 1
	fieldIncarnation
	fieldSeq
	fieldConfigVersion
	fieldConfigAge
)

// Field numbers of the message bodies. Numbers below 10 are reserved for the header.
const (
	fieldShard = iota + 10
	fieldClock
	fieldEpoch
	fieldDraining
	fieldTasksHash
	fieldUpstream
	fieldEcho
	fieldOwner
	fieldRelay
	fieldVersion
	fieldHash
	fieldRelayAddress
	fieldLeaving
	fieldEchoListener
	fieldEchoReadAt
	fieldToIncarnation
	fieldReadAt
	fieldChallenge
	fieldSuperseded
	fieldRight
	fieldAppointment
	fieldFreeMilliCPU
	fieldFreeMemory
	fieldFreeAccelerators
)

// Field numbers of an upstream.
const (
	upstreamService = iota + 1
	upstreamSlots
	upstreamConnections
	upstreamInFlight
	upstreamLeaving
)

// Message is a payload that can be encoded and decoded.
type Message interface {
	// Type returns the type byte of the message.
	Type() Type
	// Head returns the header of the message.
	Head() *Header
	// appendBody appends the header and the body to b.
	appendBody(b []byte) []byte
	// reset clears the message but keeps the capacity of its slices.
	reset()
	// setField stores a field of the body. Unknown fields are ignored. It returns
	// false if the field is malformed or has too many elements.
	setField(f field) bool
}

// Head returns h. It implements Message for the types that embed Header.
func (h *Header) Head() *Header { return h }

func (h *Header) appendHeader(b []byte) []byte {
	b = appendFixed(b, fieldSender, h.Sender)
	b = appendFixed(b, fieldIncarnation, h.Incarnation)
	b = appendUint(b, fieldSeq, h.Seq)
	b = appendUint(b, fieldConfigVersion, h.ConfigVersion)
	return appendUint(b, fieldConfigAge, uint64(h.ConfigAgeMS))
}

func appendUpstreams(b []byte, num protowire.Number, upstreams []Upstream) []byte {
	for i := range upstreams {
		u := &upstreams[i]
		b = appendMessage(b, num, func(b []byte) []byte {
			b = appendFixed(b, upstreamService, u.Service)
			b = appendUint(b, upstreamSlots, uint64(u.Slots))
			b = appendUint(b, upstreamConnections, uint64(u.Connections))
			b = appendUint(b, upstreamInFlight, uint64(u.InFlight))
			return appendBool(b, upstreamLeaving, u.Leaving)
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
	b = appendBool(b, fieldLeaving, m.Leaving)
	b = appendFixed(b, fieldEchoListener, m.EchoListener)
	b = appendUint(b, fieldEchoReadAt, uint64(m.EchoReadAt))
	b = appendFixed(b, fieldTasksHash, m.TasksHash)
	return appendUpstreams(b, fieldUpstream, m.Upstreams)
}

// Type implements Message.
func (m *HeartbeatAck) Type() Type { return TypeHeartbeatAck }

func (m *HeartbeatAck) appendBody(b []byte) []byte {
	b = m.appendHeader(b)
	b = appendFixed(b, fieldShard, m.Shard)
	b = appendUint(b, fieldEpoch, m.Epoch)
	b = appendFixed(b, fieldToIncarnation, m.ToIncarnation)
	b = appendUint(b, fieldEcho, uint64(m.Echo))
	b = appendUint(b, fieldReadAt, uint64(m.ReadAt))
	b = appendBool(b, fieldChallenge, m.Challenge)
	b = appendBool(b, fieldSuperseded, m.Superseded)
	b = appendBool(b, fieldOwner, m.Owner)
	b = appendBool(b, fieldRight, m.Right)
	b = appendFixed(b, fieldRelay, m.Relay)
	b = appendAddr(b, fieldRelayAddress, m.RelayAddress)
	return appendUint(b, fieldAppointment, m.Appointment)
}

// Type implements Message.
func (m *Digest) Type() Type { return TypeDigest }

func (m *Digest) appendBody(b []byte) []byte {
	b = m.appendHeader(b)
	b = appendFixed(b, fieldShard, m.Shard)
	b = appendUint(b, fieldEpoch, m.Epoch)
	b = appendBool(b, fieldRelay, m.Relay)
	b = appendUint(b, fieldAppointment, m.Appointment)
	b = appendUint(b, fieldVersion, m.Version)
	b = appendFixed(b, fieldHash, m.Hash)
	b = appendUint(b, fieldFreeMilliCPU, m.FreeMilliCPU)
	b = appendUint(b, fieldFreeMemory, m.FreeMemoryBytes)
	return appendUint(b, fieldFreeAccelerators, m.FreeAccelerators)
}

// Type implements Message.
func (m *VersionNotice) Type() Type { return TypeVersionNotice }

func (m *VersionNotice) appendBody(b []byte) []byte {
	return m.appendHeader(b)
}
