package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// MemberState is the state of a member in the view of one listener.
type MemberState struct {
	VM          types.VMID
	Incarnation types.Incarnation
	// Previous is the incarnation that this one replaced; zero if there is
	// none.
	Previous types.Incarnation
	Status   Status
	// Content is the hash of what the member serves, from its heartbeats.
	Content uint64
	// Version is the version of the view that last changed the member.
	// Versions start at 1.
	Version uint64
}

func (e MemberState) hash() uint64 {
	var d xxhash.Digest
	var b [33]byte
	d.Reset()
	binary.LittleEndian.PutUint64(b[0:], uint64(e.Incarnation))
	binary.LittleEndian.PutUint64(b[8:], uint64(e.Previous))
	binary.LittleEndian.PutUint64(b[16:], e.Version)
	binary.LittleEndian.PutUint64(b[24:], e.Content)
	b[32] = byte(e.Status)
	_, _ = d.WriteString(string(e.VM))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Role is the role of a listener in its shard.
type Role uint8

// Roles of listeners.
const (
	RoleOwner Role = iota
	RoleRelay
	numRoles
)

// Source identifies the listener that a digest or delta comes from.
type Source struct {
	Shard       types.ShardID
	Role        Role
	Incarnation types.Incarnation
	// Epoch is the epoch of the owner; for a relay, of the owner that appointed
	// it.
	Epoch types.Epoch
	// Appointment numbers the relays that the owner appointed in its epoch.
	Appointment uint64
}

// supersedes reports whether s is a later source than o for the same role.
func (s Source) supersedes(o Source) bool {
	if s.Epoch != o.Epoch {
		return s.Epoch > o.Epoch
	}
	return s.Appointment > o.Appointment
}

// Digest is a summary of a view.
type Digest struct {
	Source  Source
	Version uint64
	// Hash is the sum of the hashes of all member states, modulo 2^64.
	Hash uint64
}

// Delta holds the member states of a view that changed after version Since; all
// of them if Since is 0.
type Delta struct {
	Digest Digest
	Since  uint64
	States []MemberState
}

// Digest returns the digest of the detector's view.
func (d *Detector) Digest(source Source) Digest {
	return Digest{Source: source, Version: d.version, Hash: d.hash}
}

// Delta returns the member states that changed after version since.
func (d *Detector) Delta(source Source, since uint64) Delta {
	delta := Delta{Digest: d.Digest(source), Since: since}
	for _, m := range d.ordered {
		if m.state.Version > since {
			delta.States = append(delta.States, m.state)
		}
	}
	return delta
}

// ChooseRelay returns the relay of a shard: the current one if it is live and
// not the owner, otherwise the live member other than the owner with the lowest
// rank. It returns an empty ID if there is no such member.
func ChooseRelay(shard types.ShardID, epoch types.Epoch, owner, current types.VMID, live []types.VMID) types.VMID {
	var best types.VMID
	bestRank := len(live)
	for _, vm := range live {
		if vm == owner {
			continue
		}
		if vm == current {
			return vm
		}
		if rank := lease.Rank(shard, epoch, vm, live); rank < bestRank {
			best = vm
			bestRank = rank
		}
	}
	return best
}

// Merge combines the member states of one VM in the views of owner and relay. For
// the same incarnation, Leaving has precedence over Draining, Draining over
// Alive, and Alive over Dead. Of two incarnations, Merge returns the one that
// replaced the other; if neither did, the running one; and otherwise the one
// received later.
func Merge(a, b MemberState, aReceivedLater bool) MemberState {
	switch {
	case a.Status == Unknown:
		return b
	case b.Status == Unknown:
		return a
	case a.Incarnation == b.Incarnation:
		return mergeSame(a, b)
	case a.Previous == b.Incarnation:
		return a
	case b.Previous == a.Incarnation:
		return b
	case a.Status.Running() != b.Status.Running():
		if a.Status.Running() {
			return a
		}
		return b
	case aReceivedLater:
		return a
	default:
		return b
	}
}

// mergeSame merges two member states of the same incarnation by precedence of
// status.
func mergeSame(a, b MemberState) MemberState {
	for _, s := range [...]Status{Leaving, Draining, Alive} {
		if a.Status == s {
			return a
		}
		if b.Status == s {
			return b
		}
	}
	return a
}
