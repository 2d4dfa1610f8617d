package owner

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
)

const (
	// EntryPrefix is the key prefix of the rows in which entries register.
	EntryPrefix = "entries/"
	// EntryRenewal is how often an entry renews its row.
	EntryRenewal = 15 * time.Second
	// entryStaleAfter is how long an entry counts as live after its row last
	// changed.
	entryStaleAfter = 4 * EntryRenewal
	// entryScanInterval is how often the rows of entries are read. A new entry
	// waits about that long for its first digest.
	entryScanInterval = 2 * time.Second
)

// EntryRow is the value of an entry's row.
type EntryRow struct {
	Name    string       `json:"name"`
	Region  types.Region `json:"region"`
	Address string       `json:"address"`
	// RenewalCount increases with each renewal.
	RenewalCount uint64 `json:"beat"`
}

// seenRow records the revision of an entry's row and when that revision was first
// seen.
type seenRow struct {
	revision uint64
	at       time.Duration
}

// liveEntries returns the addresses of the region's entries whose rows changed
// within entryStaleAfter. It updates seen.
func liveEntries(rows []platform.Row, region types.Region, seen map[string]seenRow, now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for _, r := range rows {
		if last, ok := seen[r.Key]; !ok || last.revision != r.Revision {
			seen[r.Key] = seenRow{revision: r.Revision, at: now}
		}
		if now-seen[r.Key].at > entryStaleAfter {
			continue
		}
		var row EntryRow
		if err := json.Unmarshal(r.Value, &row); err != nil || row.Region != region {
			continue
		}
		if a, err := netip.ParseAddrPort(row.Address); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// source returns the identity of this host as a source of the shard's membership,
// and its failure detector. The detector is nil if the host is neither owner nor
// relay.
func (s *hostState) source() (membership.Source, *membership.Detector) {
	src := membership.Source{Shard: s.h.opts.Shard, Incarnation: s.h.node.Incarnation}
	switch {
	case s.term != nil:
		src.Role, src.Epoch = membership.RoleOwner, s.term.epoch
		return src, s.term.machine.Detector()
	case s.relay != nil:
		src.Role, src.Epoch, src.Appointment = membership.RoleRelay, s.relay.epoch, s.relay.appointment
		return src, s.relay.detector
	default:
		return src, nil
	}
}

// sendDigests sends a digest of the shard's membership to the entries of the
// region.
func (s *hostState) sendDigests(now time.Duration) {
	s.nextDigestAt = now + digestInterval
	src, detector := s.source()
	if detector == nil {
		return
	}
	sum := detector.Digest(src)
	m := &datagram.Digest{
		Header:      s.h.node.Header(),
		Shard:       datagram.HashName(string(src.Shard)),
		Epoch:       uint64(src.Epoch),
		Relay:       src.Role == membership.RoleRelay,
		Appointment: src.Appointment,
		Version:     sum.Version,
		Hash:        sum.Hash,
	}
	for _, to := range s.entries {
		s.h.node.Socket.Send(m, to)
	}
}

// notifyMembers notifies the workers of the shard of the version that is in
// effect here, so that they fetch it if it is newer than theirs.
func (s *hostState) notifyMembers() {
	m := &datagram.VersionNotice{Header: s.h.node.Header()}
	for vm, c := range s.memberStates {
		if string(vm) != s.h.node.Name {
			s.h.node.Socket.Send(m, c.address)
		}
	}
}
