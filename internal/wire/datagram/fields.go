package datagram

import (
	"encoding/binary"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// appendUint appends a varint field; zero is left out, as in proto3.
func appendUint(b []byte, num protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, num, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

// appendFixed appends a fixed 64-bit field for hashes and random numbers.
func appendFixed(b []byte, num protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, num, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, v)
}

func appendBool(b []byte, num protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	return appendUint(b, num, 1)
}

// appendAddr appends an address as 4 or 16 bytes and a big-endian port.
func appendAddr(b []byte, num protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return b
	}
	b = protowire.AppendTag(b, num, protowire.BytesType)
	addr := a.Addr().Unmap()
	if addr.Is4() {
		ip := addr.As4()
		b = protowire.AppendVarint(b, uint64(len(ip)+2))
		b = append(b, ip[:]...)
	} else {
		ip := addr.As16()
		b = protowire.AppendVarint(b, uint64(len(ip)+2))
		b = append(b, ip[:]...)
	}
	return binary.BigEndian.AppendUint16(b, a.Port())
}

func parseAddr(b []byte) (netip.AddrPort, bool) {
	if len(b) != 6 && len(b) != 18 {
		return netip.AddrPort{}, false
	}
	split := len(b) - 2
	addr, ok := netip.AddrFromSlice(b[:split])
	return netip.AddrPortFrom(addr, binary.BigEndian.Uint16(b[split:])), ok
}

// appendMessage appends a length-delimited field whose content write appends.
// The length takes two bytes, enough for MaxSize.
func appendMessage(b []byte, num protowire.Number, write func([]byte) []byte) []byte {
	b = protowire.AppendTag(b, num, protowire.BytesType)
	start := len(b)
	b = append(b, 0, 0)
	b = write(b)
	size := len(b) - start - 2
	b[start] = byte(size&0x7f) | 0x80
	b[start+1] = byte(size >> 7)
	return b
}

// field is one decoded protobuf field; the part used depends on its wire type.
type field struct {
	num   protowire.Number
	value uint64
	bytes []byte
}

// consumeField splits the first field off b. It fails on malformed input.
func consumeField(b []byte) (field, []byte, bool) {
	num, typ, n := protowire.ConsumeTag(b)
	if n < 0 {
		return field{}, nil, false
	}
	b = b[n:]
	f := field{num: num}
	switch typ {
	case protowire.VarintType:
		f.value, n = protowire.ConsumeVarint(b)
	case protowire.Fixed64Type:
		f.value, n = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		f.bytes, n = protowire.ConsumeBytes(b)
	default:
		n = protowire.ConsumeFieldValue(num, typ, b)
	}
	if n < 0 {
		return field{}, nil, false
	}
	return f, b[n:], true
}
