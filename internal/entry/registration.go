package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/boragecrank/boragecrank/internal/owner"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
)

const (
	// configPollInterval is how often the accepted configuration version is read.
	configPollInterval = time.Second
	// tableTimeout bounds one call to the table.
	tableTimeout = 2 * time.Second
)

func (e *Entry) entryKey() string { return owner.EntryPrefix + e.node.Name }

// maintainRegistrationAndConfig renews this entry's row, so that shard owners
// send digests to the entry, and reads the accepted configuration, until the
// context ends.
func (e *Entry) maintainRegistrationAndConfig(ctx context.Context) {
	var renewalCount uint64
	var renewAt time.Duration
	for {
		if e.node.Clock() >= renewAt {
			renewalCount++
			if e.writeEntryRow(ctx, renewalCount) {
				renewAt = e.node.Clock() + owner.EntryRenewal
			}
		}
		e.loadConfig(ctx)
		if sleep(ctx, configPollInterval) != nil {
			return
		}
	}
}

func (e *Entry) writeEntryRow(ctx context.Context, renewalCount uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	value, err := json.Marshal(owner.EntryRow{
		Name: e.node.Name, Region: e.node.Region, Address: e.node.Address().String(), RenewalCount: renewalCount,
	})
	if err != nil {
		return false
	}
	// The write has no condition: the row has one writer, and a late copy of an
	// earlier write does no harm.
	_, err = e.opts.Table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: e.entryKey(), Value: value}}})
	return err == nil
}

// removeEntryRow deletes this entry's row, so that shard owners stop sending
// digests to it.
func (e *Entry) removeEntryRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	// If the delete fails, owners stop sending once the row has not changed for
	// some time.
	_, _ = e.opts.Table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: e.entryKey(), Delete: true}}})
}

func (e *Entry) loadConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	before := e.node.Config.Version()
	if err := e.node.Config.Load(ctx, e.opts.Config); err != nil {
		return
	}
	if e.node.Config.Version() > before {
		e.announceVersion()
	}
}

// entryRows reads the rows of all entries.
func (e *Entry) entryRows(ctx context.Context) ([]owner.EntryRow, error) {
	rows, err := e.opts.Table.Scan(ctx, owner.EntryPrefix, "", scanPageRows)
	if err != nil {
		return nil, err
	}
	var out []owner.EntryRow
	for _, r := range rows {
		var row owner.EntryRow
		if json.Unmarshal(r.Value, &row) == nil {
			out = append(out, row)
		}
	}
	return out, nil
}

// HandleDatagram handles a message received from the socket.
func (e *Entry) HandleDatagram(m datagram.Message, from netip.AddrPort) {
	e.node.RecordPeer(m.Head(), from)
	if d, ok := m.(*datagram.Digest); ok {
		e.directory.handleDigest(d, from)
	}
}
