package datagram

import (
	"encoding/binary"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// appendUint appends a varint field. Zero is left out, as in proto3.
func appendUint(b []byte, num protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, num, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

// appendFixed appends a fixed 64-bit field, which suits hashes and random numbers.
// Zero is left out.
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

// appendAddr appends an address: 4 or 16 bytes of IP address and a big-endian port.
// An invalid address is left out.
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

// appendMessage appends a length-delimited field with the content that write
// appends. The length always takes two bytes, which is enough for MaxSize.
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

// field is one decoded protobuf field. Integers are in value, length-delimited
// content is in bytes.
type field struct {
	num   protowire.Number
	value uint64
	bytes []byte
}

// consumeField decodes the first field of b and returns it with the rest of b. It
// returns false if the input is malformed.
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
