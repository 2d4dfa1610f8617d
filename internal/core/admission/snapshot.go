package admission

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Clone returns an independent copy, so that tests can apply different inputs to
// the same state.
func (r *Requests) Clone() *Requests {
	c := *r
	c.upstreams = make(map[UpstreamID]*upstream, len(r.upstreams))
	copies := make(map[*upstream]*upstream, len(r.upstreams))
	for id, u := range r.upstreams {
		dup := *u
		c.upstreams[id] = &dup
		copies[u] = &dup
	}
	c.memory.known = make(map[types.RequestID]*identity, len(r.memory.known))
	c.memory.settled = make(identityHeap, len(r.memory.settled))
	for id, ident := range r.memory.known {
		c.memory.known[id] = ident.clone(copies)
	}
	for i, ident := range r.memory.settled {
		c.memory.settled[i] = c.memory.known[ident.id]
	}
	return &c
}

func (i *identity) clone(copies map[*upstream]*upstream) *identity {
	dup := *i
	dup.upstream = copies[i.upstream]
	return &dup
}

// AppendState appends an encoding of the state without the limits. Two states
// with the same limits and the same encoding behave the same.
func (r *Requests) AppendState(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(r.incarnation))
	b = binary.AppendUvarint(b, uint64(r.requiredConfig))
	b = append(b, boolByte(r.configUnconfirmed), boolByte(r.draining), boolByte(r.memory.hasForgotten))
	b = binary.AppendVarint(b, int64(r.memory.horizon))
	b = binary.AppendVarint(b, int64(r.slotsInUse))
	b = binary.AppendVarint(b, int64(r.connectionsInUse))
	ids := slices.SortedFunc(maps.Keys(r.memory.known), func(x, y types.RequestID) int {
		return bytes.Compare(x[:], y[:])
	})
	b = binary.AppendUvarint(b, uint64(len(ids)))
	for _, id := range ids {
		b = r.memory.known[id].appendState(b)
	}
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		b = r.upstreams[id].appendState(b)
	}
	return b
}

func (i *identity) appendState(b []byte) []byte {
	b = append(b, i.id[:]...)
	b = append(b, byte(i.state))
	b = binary.AppendVarint(b, int64(i.validUntil))
	b = appendString(b, string(i.outcome))
	b = appendString(b, string(i.response))
	if i.upstream != nil {
		return appendString(b, string(i.upstream.Upstream))
	}
	return appendString(b, "")
}

func (u *upstream) appendState(b []byte) []byte {
	b = appendString(b, string(u.Upstream))
	b = appendString(b, string(u.Service))
	b = append(b, boolByte(u.withdrawn))
	for _, v := range []int64{int64(u.Slots), int64(u.Connections), int64(u.expires), int64(u.active), int64(u.idle)} {
		b = binary.AppendVarint(b, v)
	}
	return b
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}
