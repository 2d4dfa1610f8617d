package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// entryListInterval is the time between two reads of the rows of entries. An owner
	// asks the entries that it knows when it does not reach the table any more, so each
	// entry keeps the list.
	entryListInterval = 3 * time.Second
	// entryRefreshInterval is the time between two writes of an entry's own row.
	entryRefreshInterval = 30 * time.Second
	// entryDeadAfter is the time without a change of its row after which an entry counts
	// as dead: three refreshes, and the longest outage of the table.
	entryDeadAfter = 100 * time.Second
	// entryMaxReadGap is the time between two reads of the rows after which their ages
	// count anew: the other entries may not have reached the table either.
	entryMaxReadGap = 4 * entryListInterval
)

var eventEntryRemoved = telemetry.Define(568, logrus.InfoLevel, "row of a dead entry deleted",
	"The entry has not refreshed its row for long. If it lives, it writes its row again. Fields: entry. No action, unless the entry should be alive.")

// entryRow is the row of an entry.
type entryRow struct {
	// Address is the internal address, at which the entry serves other entries.
	Address     string            `json:"address"`
	Incarnation types.Incarnation `json:"incarnation,string"`
	Cores       float64           `json:"cores"`
}

// EntryRegistration is the data of an entry that the others read from its row.
type EntryRegistration struct {
	VM          types.VMID
	Address     string
	Incarnation types.Incarnation
	Cores       float64
}

// EntryRegistry keeps the row of this entry in the table, and the list of the others.
type EntryRegistry struct {
	table   platform.Table
	changes platform.ChangeLog
	self    EntryRegistration
	// owns reports whether this entry is the owner, which deletes rows of dead entries.
	owns func() bool
	log  *telemetry.Logger

	mu    sync.Mutex
	peers []handover.Peer
	// seen holds the rows as last listed, and since when each is unchanged. It and the
	// fields below belong to the goroutine of Run.
	seen        map[string]entrySeen
	listedAt    time.Duration
	writtenAt   time.Duration
	ownRevision uint64
	// unreadable holds the revisions of unreadable rows that were logged.
	unreadable map[string]uint64
}

type entrySeen struct {
	revision uint64
	since    time.Duration
}

// NewEntryRegistry returns a registry. It does nothing until Run is called.
func NewEntryRegistry(table platform.Table, changes platform.ChangeLog, self EntryRegistration, owns func() bool, log *telemetry.Logger) *EntryRegistry {
	return &EntryRegistry{table: table, changes: changes, self: self, owns: owns, log: log, seen: make(map[string]entrySeen), unreadable: make(map[string]uint64)}
}

// Peers returns the other entries as last read. The caller must not change the result.
func (r *EntryRegistry) Peers() []handover.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers
}

// Run keeps the row and the list until the context ends, and then deletes the row.
func (r *EntryRegistry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		if r.ownRevision == 0 || now >= r.writtenAt+entryRefreshInterval {
			r.register(ctx, now)
		}
		if s, err := r.list(ctx); err == nil {
			r.update(s, clock.Now())
			r.deleteDead(ctx, s, clock.Now())
		}
		pause := entryListInterval
		if r.ownRevision == 0 {
			pause = tableBackoffMax
		}
		sleep(ctx, jitter(pause))
	}
	r.remove()
}

func (r *EntryRegistry) key() string { return prefixEntry + string(r.self.VM) }

func (r *EntryRegistry) list(ctx context.Context) (platform.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return r.changes.List(ctx, prefixEntry)
}

// register writes the row. Without an answer it is written again with the next list.
func (r *EntryRegistry) register(ctx context.Context, now time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	value := encode(entryRow{Address: r.self.Address, Incarnation: r.self.Incarnation, Cores: r.self.Cores})
	if res, err := r.table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: r.key(), Value: value}}}); err == nil {
		r.ownRevision, r.writtenAt = res.Revision, now
	}
}

// update records a list of the rows. If the own row is missing, it is written again.
func (r *EntryRegistry) update(s platform.Snapshot, now time.Duration) {
	gap := now > r.listedAt+entryMaxReadGap
	r.listedAt = now
	seen := make(map[string]entrySeen, len(s.Rows))
	var peers []handover.Peer
	listed := false
	for _, row := range s.Rows {
		state := r.seen[row.Key]
		if gap || state.revision != row.Revision {
			state = entrySeen{row.Revision, now}
		}
		seen[row.Key] = state
		if row.Key == r.key() {
			listed = row.Revision >= r.ownRevision
			continue
		}
		entry, err := decode[entryRow](row.Key, row.Value)
		if err == nil {
			err = (&agentRow{Address: entry.Address, Name: row.Key}).check()
		}
		if err != nil {
			if r.unreadable[row.Key] != row.Revision {
				r.unreadable[row.Key] = row.Revision
				r.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": row.Key})
			}
			continue
		}
		if now < state.since+entryDeadAfter {
			peers = append(peers, handover.Peer{VM: types.VMID(idFromKey(row.Key)), Address: entry.Address, Cores: entry.Cores})
		}
	}
	if !listed && s.Revision >= r.ownRevision {
		r.ownRevision = 0
	}
	r.seen = seen
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = peers
}

// deleteDead deletes the rows of dead entries if this entry is the owner. A row that was
// refreshed meanwhile stays.
func (r *EntryRegistry) deleteDead(ctx context.Context, s platform.Snapshot, now time.Duration) {
	for _, row := range s.Rows {
		if row.Key == r.key() || now < r.seen[row.Key].since+entryDeadAfter || !r.owns() {
			continue
		}
		if r.deleteRow(ctx, row.Key, row.Revision) {
			r.log.Log(eventEntryRemoved, nil, telemetry.Fields{"entry": idFromKey(row.Key)})
		}
	}
}

func (r *EntryRegistry) deleteRow(ctx context.Context, key string, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := r.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Delete: true}},
	})
	return err == nil && res.Committed
}

// remove deletes the own row when the process stops. If that fails, the row is deleted by
// an owner when it counts as dead, or replaced by the next process of the VM.
func (r *EntryRegistry) remove() {
	if r.ownRevision != 0 {
		r.deleteRow(context.Background(), r.key(), r.ownRevision)
	}
}
