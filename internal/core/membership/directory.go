package membership

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// receivedState is a member state and the time at which its last change was
// received.
type receivedState struct {
	state      MemberState
	receivedAt time.Duration
}

// view is a copy of the view of one source.
type view struct {
	source         Source
	known          bool
	version        uint64
	hash           uint64
	lastReceivedAt time.Duration
	members        map[types.VMID]receivedState
}

// Directory is an entry's view of the members of one shard, merged from the
// views of the owner and the relay.
type Directory struct {
	cfg   Config
	views [numRoles]view
	// silent marks the sources that are left out of the merge.
	silent [numRoles]bool
	merged map[types.VMID]MemberState
}

// NewDirectory returns an empty directory.
func NewDirectory(cfg Config) *Directory {
	return &Directory{cfg: cfg, merged: make(map[types.VMID]MemberState)}
}

// Lookup returns the merged state of a VM; its Version has no meaning.
func (d *Directory) Lookup(vm types.VMID) (MemberState, bool) {
	e, ok := d.merged[vm]
	return e, ok
}

// Members appends all merged member states to dst in an undefined order.
func (d *Directory) Members(dst []MemberState) []MemberState {
	for _, e := range d.merged {
		dst = append(dst, e)
	}
	return dst
}

// Digest handles a digest received at now. If a delta must be fetched from the
// source, fetch is true and since is the version from which the delta is
// needed. A digest is ignored if its source is neither the current source of its
// role nor a later one.
func (d *Directory) Digest(now time.Duration, dg Digest) (since uint64, fetch bool) {
	if dg.Source.Role >= numRoles {
		return 0, false
	}
	v := &d.views[dg.Source.Role]
	if !v.known || v.source != dg.Source {
		return 0, !v.known || dg.Source.supersedes(v.source)
	}
	v.lastReceivedAt = now
	if dg.Version < v.version || (dg.Version == v.version && dg.Hash == v.hash) {
		return 0, false
	}
	if dg.Version == v.version {
		return 0, true // the copy is damaged; fetch the whole view
	}
	return v.version, true
}

// Delta applies a delta received at now and appends the changed merged states to
// dst. refetch is true if the whole view must be fetched, because the delta does
// not follow the copy or the copy does not match the hash of the digest.
func (d *Directory) Delta(now time.Duration, delta Delta, dst []MemberState) (changed []MemberState, refetch bool) {
	source := delta.Digest.Source
	if source.Role >= numRoles {
		return dst, false
	}
	v := &d.views[source.Role]
	if v.known && v.source != source && !source.supersedes(v.source) {
		return dst, false
	}
	replaced := !v.known || v.source != source
	switch {
	case delta.Since == 0:
		if !replaced && delta.Digest.Version < v.version {
			return dst, false
		}
		v.reset(source)
	case replaced || delta.Since > v.version:
		return dst, true
	case delta.Digest.Version <= v.version:
		return dst, false
	}
	v.apply(now, delta)
	refetch = v.membersHash() != delta.Digest.Hash
	if refetch {
		v.version = 0
	}
	return d.mergeAll(dst), refetch
}

// Tick excludes from the merge a source that has sent nothing for DeadAfter, if
// the other source is active. It appends the changed merged states to dst. If both
// sources are silent, the merged view stays as it is.
func (d *Directory) Tick(now time.Duration, dst []MemberState) []MemberState {
	var silent [numRoles]bool
	for r := range d.views {
		silent[r] = !d.views[r].known || now-d.views[r].lastReceivedAt >= d.cfg.DeadAfter
	}
	if silent[RoleOwner] && silent[RoleRelay] {
		return dst
	}
	if silent == d.silent {
		return dst
	}
	d.silent = silent
	return d.mergeAll(dst)
}

func (v *view) reset(source Source) {
	v.source = source
	v.known = true
	v.version = 0
	v.members = make(map[types.VMID]receivedState)
}

func (v *view) apply(now time.Duration, delta Delta) {
	v.version = delta.Digest.Version
	v.hash = delta.Digest.Hash
	v.lastReceivedAt = now
	for _, e := range delta.States {
		if old, ok := v.members[e.VM]; ok && old.state.Version >= e.Version {
			continue
		}
		v.members[e.VM] = receivedState{state: e, receivedAt: now}
	}
}

func (v *view) membersHash() uint64 {
	var membersHash uint64
	for _, s := range v.members {
		membersHash += s.state.hash()
	}
	return membersHash
}

// mergeAll merges all member states again and appends the changed ones to dst.
func (d *Directory) mergeAll(dst []MemberState) []MemberState {
	for r := range d.views {
		for vm := range d.views[r].members {
			e := d.mergeOne(vm)
			if e.Status == Unknown || sameMember(d.merged[vm], e) {
				continue
			}
			d.merged[vm] = e
			dst = append(dst, e)
		}
	}
	return dst
}

func (d *Directory) mergeOne(vm types.VMID) MemberState {
	var parts [numRoles]receivedState
	for r := range d.views {
		if !d.silent[r] {
			parts[r] = d.views[r].members[vm]
		}
	}
	owner, relay := parts[RoleOwner], parts[RoleRelay]
	return Merge(owner.state, relay.state, owner.receivedAt > relay.receivedAt)
}

func sameMember(a, b MemberState) bool {
	return a.Incarnation == b.Incarnation && a.Status == b.Status && a.Content == b.Content
}
