package datagram

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
)

// Codec encodes, signs, verifies and decodes datagrams with a shared key. It is not
// safe for concurrent use.
type Codec struct {
	mac     hash.Hash
	sum     [sha256.Size]byte
	buffers decodeBuffers
}

// decodeBuffers holds one message of each type, so that decoding does not allocate.
type decodeBuffers struct {
	heartbeat Heartbeat
	ack       HeartbeatAck
	digest    Digest
	notice    VersionNotice
}

// NewCodec returns a codec for the key that all processes of the system share.
func NewCodec(key []byte) *Codec {
	return &Codec{mac: hmac.New(sha256.New, key)}
}

// Append appends the signed datagram of the message to b and returns the extended
// slice. It returns b unchanged and ErrOversize if the datagram exceeds MaxSize.
func (c *Codec) Append(b []byte, m Message) ([]byte, error) {
	start := len(b)
	var zero [macSize]byte
	b = append(b, wireVersion, byte(m.Type()))
	b = append(b, zero[:]...)
	b = m.appendBody(b)
	datagram := b[start:]
	if len(datagram) > MaxSize {
		return b[:start], ErrOversize
	}
	copy(datagram[2:headerSize], c.sign(datagram))
	return b, nil
}

// Decode verifies and decodes a datagram. The message belongs to the codec and is
// valid until the next call of Decode. The error is one of the package's Err variables.
func (c *Codec) Decode(datagram []byte) (Message, error) {
	if len(datagram) < headerSize {
		return nil, ErrTruncated
	}
	if len(datagram) > MaxSize {
		return nil, ErrOversize
	}
	if datagram[0] != wireVersion {
		return nil, ErrVersion
	}
	m := c.buffers.message(Type(datagram[1]))
	if m == nil {
		return nil, ErrType
	}
	if !hmac.Equal(c.sign(datagram), datagram[2:headerSize]) {
		return nil, ErrMAC
	}
	m.reset()
	if !decodeBody(m, datagram[headerSize:]) {
		return nil, ErrMalformed
	}
	return m, nil
}

// sign returns the authentication code over the version, type and payload of a
// datagram.
func (c *Codec) sign(datagram []byte) []byte {
	c.mac.Reset()
	c.mac.Write(datagram[:2])
	c.mac.Write(datagram[headerSize:])
	return c.mac.Sum(c.sum[:0])[:macSize]
}

func decodeBody(m Message, b []byte) bool {
	head := m.Head()
	for len(b) > 0 {
		f, rest, ok := consumeField(b)
		if !ok {
			return false
		}
		if !head.setHeader(f) && !m.setField(f) {
			return false
		}
		b = rest
	}
	return head.Sender != 0 && head.Incarnation != 0
}

func (in *decodeBuffers) message(t Type) Message {
	switch t {
	case TypeHeartbeat:
		return &in.heartbeat
	case TypeHeartbeatAck:
		return &in.ack
	case TypeDigest:
		return &in.digest
	case TypeVersionNotice:
		return &in.notice
	default:
		return nil
	}
}
