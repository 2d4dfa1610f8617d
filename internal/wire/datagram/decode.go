package datagram

import "net/netip"

// setHeader stores a header field and reports whether f was one.
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

// setAddr decodes an address into dst.
func setAddr(dst *netip.AddrPort, b []byte) bool {
	a, ok := parseAddr(b)
	*dst = a
	return ok
}

// addUpstream decodes an upstream and appends it.
func addUpstream(list *[]Upstream, b []byte) bool {
	if len(*list) >= maxUpstreams {
		return false
	}
	var u Upstream
	for len(b) > 0 {
		f, rest, ok := next(b)
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
	case upService:
		u.Service = f.value
	case upSlots:
		u.Slots = uint32(f.value)
	case upConnections:
		u.Connections = uint32(f.value)
	case upInFlight:
		u.InFlight = uint32(f.value)
	case upLeaving:
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
	case fieldTasksHash:
		m.TasksHash = f.value
	case fieldAddress:
		return setAddr(&m.Address, f.bytes)
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
	case fieldEcho:
		m.Echo = int64(f.value)
	case fieldOwner:
		m.Owner = f.value != 0
	case fieldRelay:
		m.Relay = f.value
	case fieldRelayAddress:
		return setAddr(&m.RelayAddress, f.bytes)
	}
	return true
}

func (m *Digest) reset() {
	*m = Digest{Members: m.Members[:0]}
}

func (m *Digest) setField(f field) bool {
	switch f.num {
	case fieldShard:
		m.Shard = f.value
	case fieldEpoch:
		m.Epoch = f.value
	case fieldVersion:
		m.Version = f.value
	case fieldHash:
		m.Hash = f.value
	case fieldOwner:
		m.Owner = f.value != 0
	case fieldMember:
		return m.addMember(f.bytes)
	}
	return true
}

// addMember decodes a member into the next element, whose list of upstreams is
// reused when the digest has held as many members before.
func (m *Digest) addMember(b []byte) bool {
	n := len(m.Members)
	if n >= maxMembers {
		return false
	}
	if n < cap(m.Members) {
		m.Members = m.Members[:n+1]
	} else {
		m.Members = append(m.Members, Member{})
	}
	member := &m.Members[n]
	*member = Member{Upstreams: member.Upstreams[:0]}
	for len(b) > 0 {
		f, rest, ok := next(b)
		if !ok || !member.setField(f) {
			return false
		}
		b = rest
	}
	return true
}

func (m *Member) setField(f field) bool {
	switch f.num {
	case memVM:
		m.VM = f.value
	case memIncarnation:
		m.Incarnation = f.value
	case memChanged:
		m.Changed = f.value
	case memAlive:
		m.Alive = f.value != 0
	case memDraining:
		m.Draining = f.value != 0
	case memClock:
		m.Clock = int64(f.value)
	case memAddress:
		return setAddr(&m.Address, f.bytes)
	case memUpstream:
		return addUpstream(&m.Upstreams, f.bytes)
	}
	return true
}

func (m *DigestRequest) reset() { *m = DigestRequest{} }

func (m *DigestRequest) setField(f field) bool {
	switch f.num {
	case fieldShard:
		m.Shard = f.value
	case fieldHave:
		m.Have = f.value
	}
	return true
}

func (m *Probe) reset() { *m = Probe{} }

func (m *Probe) setField(f field) bool {
	if f.num == fieldShard {
		m.Shard = f.value
	}
	return true
}

func (m *VersionNotice) reset() { *m = VersionNotice{} }

func (m *VersionNotice) setField(f field) bool {
	if f.num == fieldAddress {
		return setAddr(&m.Address, f.bytes)
	}
	return true
}
