package datagram

import "net/netip"

// setHeader stores f if it is a header field, and reports whether it is a header field.
func (h *Header) setHeader(f field) bool {
	switch f.num {
	case fieldSender:
		h.Sender = f.value
	case fieldIncarnation:
		h.Incarnation = f.value
	case fieldSeq:
		h.Seq = f.value
	case fieldConfigVersion:
		h.ConfigVersion = f.value
	case fieldConfigAge:
		h.ConfigAgeMS = uint32(min(f.value, 1<<32-1))
	default:
		return false
	}
	return true
}

// setAddr decodes an address into dst and reports whether it was well-formed.
func setAddr(dst *netip.AddrPort, b []byte) bool {
	a, ok := parseAddr(b)
	*dst = a
	return ok
}

// addUpstream decodes an upstream and appends it to list. It returns false if the
// input is malformed or the list is full.
func addUpstream(list *[]Upstream, b []byte) bool {
	if len(*list) >= maxUpstreams {
		return false
	}
	var u Upstream
	for len(b) > 0 {
		f, rest, ok := consumeField(b)
		if !ok {
			return false
		}
		u.setField(f)
		b = rest
	}
	*list = append(*list, u)
	return true
}

func (u *Upstream) setField(f field) {
	switch f.num {
	case upstreamService:
		u.Service = f.value
	case upstreamSlots:
		u.Slots = uint32(f.value)
	case upstreamConnections:
		u.Connections = uint32(f.value)
	case upstreamInFlight:
		u.InFlight = uint32(f.value)
	case upstreamLeaving:
		u.Leaving = f.value != 0
	}
}

func (m *Heartbeat) reset() {
	*m = Heartbeat{Upstreams: m.Upstreams[:0]}
}

func (m *Heartbeat) setField(f field) bool {
	switch f.num {
	case fieldShard:
		m.Shard = f.value
	case fieldClock:
		m.Clock = int64(f.value)
	case fieldEpoch:
		m.Epoch = f.value
	case fieldDraining:
		m.Draining = f.value != 0
	case fieldLeaving:
		m.Leaving = f.value != 0
	case fieldEchoListener:
		m.EchoListener = f.value
	case fieldEchoReadAt:
		m.EchoReadAt = int64(f.value)
	case fieldTasksHash:
		m.TasksHash = f.value
	case fieldUpstream:
		return addUpstream(&m.Upstreams, f.bytes)
	}
	return true
}

func (m *HeartbeatAck) reset() { *m = HeartbeatAck{} }

func (m *HeartbeatAck) setField(f field) bool {
	switch f.num {
	case fieldShard:
		m.Shard = f.value
	case fieldEpoch:
		m.Epoch = f.value
	case fieldToIncarnation:
		m.ToIncarnation = f.value
	case fieldEcho:
		m.Echo = int64(f.value)
	case fieldReadAt:
		m.ReadAt = int64(f.value)
	case fieldRelay:
		m.Relay = f.value
	case fieldRelayAddress:
		return setAddr(&m.RelayAddress, f.bytes)
	case fieldAppointment:
		m.Appointment = f.value
	default:
		m.setFlag(f)
	}
	return true
}

func (m *HeartbeatAck) setFlag(f field) {
	switch f.num {
	case fieldChallenge:
		m.Challenge = f.value != 0
	case fieldSuperseded:
		m.Superseded = f.value != 0
	case fieldOwner:
		m.Owner = f.value != 0
	case fieldRight:
		m.Right = f.value != 0
	}
}

func (m *Digest) reset() { *m = Digest{} }

func (m *Digest) setField(f field) bool {
	switch f.num {
	case fieldShard:
		m.Shard = f.value
	case fieldEpoch:
		m.Epoch = f.value
	case fieldRelay:
		m.Relay = f.value != 0
	case fieldAppointment:
		m.Appointment = f.value
	case fieldVersion:
		m.Version = f.value
	case fieldHash:
		m.Hash = f.value
	case fieldFreeMilliCPU:
		m.FreeMilliCPU = f.value
	case fieldFreeMemory:
		m.FreeMemoryBytes = f.value
	case fieldFreeAccelerators:
		m.FreeAccelerators = f.value
	}
	return true
}

func (m *VersionNotice) reset() { *m = VersionNotice{} }

func (m *VersionNotice) setField(field) bool { return true }
