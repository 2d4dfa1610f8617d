// Package datagram encodes and decodes the small messages that processes exchange
// over UDP: heartbeats of workers, their acknowledgements, digests for entries, and
// notices of new configuration versions.
//
// A datagram consists of a version byte, a type byte, a truncated HMAC-SHA256 of 16
// bytes and a payload in the protobuf wire format. Decoding reuses the messages of
// the Codec and does not allocate once their slices have grown. Datagrams that are
// truncated, forged, oversized or of another version are rejected with an error
// that names the reason.
package datagram

import (
	"errors"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxSize is the maximum size of a datagram in bytes. It fits in one packet on
	// networks with an MTU of 1,280 bytes.
	MaxSize = 1200
	// wireVersion is the first byte of every datagram.
	wireVersion = 1
	macSize     = 16
	headerSize  = 2 + macSize
	// maxUpstreams is the maximum number of upstreams in a message.
	maxUpstreams = 16
)

// Reasons why a datagram is rejected.
var (
	ErrTruncated = errors.New("datagram is truncated")
	ErrVersion   = errors.New("datagram has an unknown version")
	ErrType      = errors.New("datagram has an unknown type")
	ErrMAC       = errors.New("datagram has a wrong authentication code")
	ErrMalformed = errors.New("datagram has a malformed payload")
	ErrOversize  = errors.New("datagram exceeds the size limit")
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

// HashName returns the 64-bit hash that identifies a name on the wire.
func HashName(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Header is part of every message.
type Header struct {
	// Sender is the hash of the sending process's name.
	Sender uint64
	// Incarnation identifies the sender's process run.
	Incarnation uint64
	// Seq increases with every datagram of the incarnation.
	Seq uint64
	// ConfigVersion is the version of the configuration in effect at the sender.
	ConfigVersion uint64
	// ConfigAgeMS is the time since the sender last confirmed its configuration
	// version, in milliseconds. The largest value means that it never did.
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

// Heartbeat is the report that a worker sends about itself to the owner and the
// relay of its shard. A relay is the worker that the owner appoints to receive
// heartbeats and send digests in addition to the owner.
type Heartbeat struct {
	Header
	// Shard is the hash of the name of the worker's shard.
	Shard uint64
	// Clock is the sender's CLOCK_BOOTTIME in nanoseconds. Acknowledgements return
	// it in Echo.
	Clock int64
	// Epoch is the highest ownership term of the shard that the sender has seen.
	Epoch    uint64
	Draining bool
	Leaving  bool
	// EchoListener is the incarnation of the listener, the process that receives
	// this heartbeat, and EchoReadAt the ReadAt of its last acknowledgement. Both
	// are zero if there was none.
	EchoListener uint64
	EchoReadAt   int64
	// TasksHash changes whenever the worker's list of task attempts changes.
	TasksHash uint64
	Upstreams []Upstream
}

// HeartbeatAck answers a heartbeat. Its sender is the listener: the owner or the
// relay that received the heartbeat.
type HeartbeatAck struct {
	Header
	Shard uint64
	Epoch uint64
	// ToIncarnation is the incarnation of the heartbeat's sender, and Echo is the
	// heartbeat's Clock.
	ToIncarnation uint64
	Echo          int64
	// ReadAt is a reading of the listener's clock, which the next heartbeat returns
	// in EchoReadAt.
	ReadAt int64
	// Challenge requests an immediate heartbeat.
	Challenge bool
	// Superseded is set if another incarnation has replaced that of the heartbeat's
	// sender.
	Superseded bool
	// Owner is set if the sender is the shard's owner. Right is set if the owner
	// also holds a valid lease. The worker's permission to run its tasks is then
	// extended, counted from Echo.
	Owner bool
	Right bool
	// Relay is the hash of the name of the worker that should receive heartbeats in
	// addition to the owner.
	Relay        uint64
	RelayAddress netip.AddrPort
	// Appointment numbers the relays that the owner appointed in its epoch.
	Appointment uint64
}

// Digest summarises the member list that the owner or relay of a shard holds. An
// entry whose own member list has a different hash fetches the difference.
type Digest struct {
	Header
	Shard uint64
	Epoch uint64
	// Relay is set if the sender is the shard's relay. Appointment is then the
	// number of that relay in the epoch.
	Relay       bool
	Appointment uint64
	// Version is the version of the member list, and Hash the hash of its content.
	Version uint64
	Hash    uint64
	// FreeMilliCPU, FreeMemoryBytes and FreeAccelerators are the resources that an
	// owner can still assign to tasks.
	FreeMilliCPU, FreeMemoryBytes, FreeAccelerators uint64
}

// VersionNotice announces that the sender has a newer configuration version. The
// header contains the version.
type VersionNotice struct {
	Header
}
