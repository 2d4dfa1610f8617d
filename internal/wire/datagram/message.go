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
	TypeVersionNotice
)

// HashName returns the 64-bit hash that stands for a name on the wire.
func HashName(name string) uint64 {
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

// Heartbeat is what a worker reports of itself to the owner and the relay of
// its shard.
type Heartbeat struct {
	Header
	// Shard is the hash of the worker's shard.
	Shard uint64
	// Clock is the sender's CLOCK_BOOTTIME in nanoseconds; acknowledgements echo it.
	Clock int64
	// Epoch is the highest ownership term of the shard that the sender has seen.
	Epoch    uint64
	Draining bool
	Leaving  bool
	// EchoListener and EchoReadAt return the reading of the listener's last
	// acknowledgement; zero if there was none.
	EchoListener uint64
	EchoReadAt   int64
	// TasksHash changes whenever the list of attempts in the runtime changes.
	TasksHash uint64
	Upstreams []Upstream
}

// HeartbeatAck answers a heartbeat. The header's incarnation is the listener's.
type HeartbeatAck struct {
	Header
	Shard uint64
	Epoch uint64
	// ToIncarnation is the incarnation of the heartbeat's sender, and Echo is
	// Heartbeat.Clock.
	ToIncarnation uint64
	Echo          int64
	// ReadAt is the listener's clock, to be returned in the next heartbeat.
	ReadAt int64
	// Challenge asks for a heartbeat at once.
	Challenge bool
	// Superseded tells the worker that another incarnation has replaced it.
	Superseded bool
	// Owner is set if the sender is the shard's owner, and Right if
	// the owner also holds a valid lease, so that the run right counts from Echo.
	Owner bool
	Right bool
	// Relay is the hash of the member that should get heartbeats besides the owner.
	Relay        uint64
	RelayAddress netip.AddrPort
	// Appointment counts the relays of the epoch.
	Appointment uint64
}

// Digest sums up what the owner or relay of a shard knows about its members. An
// entry whose own view has another hash fetches the difference.
type Digest struct {
	Header
	Shard uint64
	Epoch uint64
	// Relay is set if the sender is the shard's relay. Appointment is then the
	// number of its appointment in the epoch.
	Relay       bool
	Appointment uint64
	Version     uint64
	Hash        uint64
	// Free is what an owner could still place.
	FreeMilliCPU, FreeMemoryBytes, FreeAccelerators uint64
}

// VersionNotice tells that the sender's configuration version has risen.
type VersionNotice struct {
	Header
}
