package membership

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// receivedEntry is an entry and the time at which its last change was received.
type receivedEntry struct {
	entry      Entry
	receivedAt time.Duration
}

// view is a copy of the view of one source.
type view struct {
	source         Source
	known          bool
	version        uint64
	hash           uint64
	lastReceivedAt time.Duration
	entries        map[types.VMID]receivedEntry
}

// Directory is an entry's view of the members of one shard, merged from the
// views of the owner and the relay.
type Directory struct {
	cfg    Config
	views  [numRoles]view
	silent [numRoles]bool
	merged map[types.VMID]Entry
}

// NewDirectory returns an empty directory.
func NewDirectory(cfg Config) *Directory {
	return &Directory{cfg: cfg, merged: make(map[types.VMID]Entry)}
}

// Lookup returns the merged entry of a VM; its Version has no meaning.
func (d *Directory) Lookup(vm types.VMID) (Entry, bool) {
	e, ok := d.merged[vm]
	return e, ok
}

// Members appends all merged entries to dst in an undefined order.
func (d *Directory) Members(dst []Entry) []Entry {
	for _, e := range d.merged {
		dst = append(dst, e)
	}
	return dst
}

// Digest handles a digest received at now. If a delta must be fetched from the
// source, fetch is true and since is the version from which the delta is
// needed.
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

// Delta applies a delta received at now and appends the changed merged entries
// to dst. refetch is true if the whole view must be fetched, because the delta
// does not follow the copy or the copy does not match the hash of the digest.
func (d *Directory) Delta(now time.Duration, delta Delta, dst []Entry) (changed []Entry, refetch bool) {
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
	refetch = v.entriesHash() != delta.Digest.Hash
	if refetch {
		v.version = 0
	}
	return d.mergeAll(dst), refetch
}

// Tick excludes a source from the merge while nothing has arrived from it for
// DeadAfter but the other source is active. It appends the changed merged
// entries to dst. If both sources are silent, the merged view stays as it is.
func (d *Directory) Tick(now time.Duration, dst []Entry) []Entry {
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
	v.entries = make(map[types.VMID]receivedEntry)
}

func (v *view) apply(now time.Duration, delta Delta) {
	v.version = delta.Digest.Version
	v.hash = delta.Digest.Hash
	v.lastReceivedAt = now
	for _, e := range delta.Entries {
		if old, ok := v.entries[e.VM]; ok && old.entry.Version >= e.Version {
			continue
		}
		v.entries[e.VM] = receivedEntry{entry: e, receivedAt: now}
	}
}

func (v *view) entriesHash() uint64 {
	var entriesHash uint64
	for _, l := range v.entries {
		entriesHash += l.entry.hash()
	}
	return entriesHash
}

// mergeAll merges all entries again and appends the changed ones to dst.
func (d *Directory) mergeAll(dst []Entry) []Entry {
	for r := range d.views {
		for vm := range d.views[r].entries {
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

func (d *Directory) mergeOne(vm types.VMID) Entry {
	var parts [numRoles]receivedEntry
	for r := range d.views {
		if !d.silent[r] {
			parts[r] = d.views[r].entries[vm]
		}
	}
	owner, relay := parts[RoleOwner], parts[RoleRelay]
	return Merge(owner.entry, relay.entry, owner.receivedAt > relay.receivedAt)
}

func sameMember(a, b Entry) bool {
	return a.Incarnation == b.Incarnation && a.Status == b.Status && a.Content == b.Content
}
