// Package datagram holds the small messages that processes exchange over UDP:
// heartbeats of workers, their acknowledgements, and digests for entries.
//
// A datagram is a version byte, a type byte, a truncated HMAC-SHA256 of 16
// bytes and a payload in the protobuf wire format. Decoding reuses the
// receiver's message and does not allocate once its slices have grown.
// Datagrams that are truncated, forged, oversized or of another version are
// rejected with an error that names the reason.
package datagram

import (
	"errors"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxSize bounds a datagram in bytes, so that it fits in one packet on
	// networks with an MTU of 1,280 bytes.
	MaxSize = 1200
	// wireVersion is the first byte of every datagram.
	wireVersion = 1
	macSize     = 16
	headerSize  = 2 + macSize
	// maxUpstreams bounds the upstreams of one VM in a message.
	maxUpstreams = 16
	// maxMembers bounds the members of one digest.
	maxMembers = 32
)

// Reasons why a datagram is rejected.
var (
	ErrTruncated = errors.New("datagram is truncated")
	ErrVersion   = errors.New("datagram has an unknown version")
	ErrType      = errors.New("datagram has an unknown type")
	ErrMAC       = errors.New("datagram has a wrong authentication code")
	ErrMalformed = errors.New("datagram has a malformed payload")
	ErrOversize  = errors.New("datagram is larger than the limit")
)

// Type is the kind of a datagram.
type Type byte

// Types of datagrams.
const (
	TypeHeartbeat Type = iota + 1
	TypeHeartbeatAck
	TypeDigest
	TypeDigestRequest
	TypeProbe
	TypeVersionNotice
)

// NameHash returns the 64-bit hash that stands for a name on the wire.
func NameHash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Header is part of every message.
type Header struct {
	// Sender is the hash of the sending process's name.
	Sender uint64
	// Incarnation is the sender's run.
	Incarnation uint64
	// Seq rises with every datagram of the incarnation.
	Seq uint64
	// ConfigVersion is the configuration in force at the sender.
	ConfigVersion uint64
	// ConfigAgeMS is the time since the sender confirmed a version, in
	// milliseconds; the largest value means never.
	ConfigAgeMS uint32
}

// Upstream describes one upstream behind a worker.
type Upstream struct {
	// Service is the hash of the service's name.
	Service     uint64
	Slots       uint32
	Connections uint32
	InFlight    uint32
	Leaving     bool
}

// Heartbeat is what a worker reports of itself.
type Heartbeat struct {
	Header
	// Shard is the hash of the worker's shard.
	Shard uint64
	// Clock is the sender's CLOCK_BOOTTIME in nanoseconds; acknowledgements echo it.
	Clock int64
	// Epoch is the highest ownership term of the shard that the sender has seen.
	Epoch    uint64
	Draining bool
	// TasksHash changes whenever the list of attempts in the runtime changes.
	TasksHash uint64
	// Address is where the worker serves calls and requests.
	Address   netip.AddrPort
	Upstreams []Upstream
}

// HeartbeatAck answers a heartbeat.
type HeartbeatAck struct {
	Header
	Shard uint64
	Epoch uint64
	// Echo is the clock of the acknowledged heartbeat.
	Echo int64
	// Owner tells that the sender holds a valid lease on the shard, so that the
	// run right counts from Echo.
	Owner bool
	// Relay is the hash of the member that should get heartbeats besides the owner.
	Relay        uint64
	RelayAddress netip.AddrPort
}

// Member is one worker in a digest.
type Member struct {
	VM          uint64
	Incarnation uint64
	// Changed is the digest version in which the member last changed.
	Changed   uint64
	Alive     bool
	Draining  bool
	Clock     int64
	Address   netip.AddrPort
	Upstreams []Upstream
}

// Digest tells entries about the members of a shard. Without members it is a
// periodic summary: a receiver whose hash differs asks with a DigestRequest.
type Digest struct {
	Header
	Shard   uint64
	Epoch   uint64
	Version uint64
	Hash    uint64
	Owner   bool
	Members []Member
}

// DigestRequest asks for the members changed after a version.
type DigestRequest struct {
	Header
	Shard uint64
	Have  uint64
}

// Probe asks a worker that has not been heard for a heartbeat at once.
type Probe struct {
	Header
	Shard uint64
}

// VersionNotice tells that the sender's configuration version has risen.
type VersionNotice struct {
	Header
	// Address is where the sender serves the configuration.
	Address netip.AddrPort
}
