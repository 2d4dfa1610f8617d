package owner

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/confsync"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
	"github.com/boragecrank/boragecrank/internal/store"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// downTable fails all calls while it is down.
type downTable struct {
	*standin.Table
	down atomic.Bool
}

func (d *downTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if d.down.Load() {
		return nil, platform.ErrUnavailable
	}
	return d.Table.Get(ctx, keys...)
}

func (d *downTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if d.down.Load() {
		return platform.TxnResult{}, platform.ErrUnavailable
	}
	return d.Table.Commit(ctx, txn)
}

// maxConfigDelay is the required maximum time until a change is in effect.
const maxConfigDelay = 7 * time.Second

// Guards against an owner that cannot load a newer configuration for a minute
// after an outage of the table: its limit for reads of other classes than Lease
// is one per second then, and a load takes three reads within 2 s. A change then
// took 57 s to take effect.
func TestConfigurationIsReadAfterOutage(t *testing.T) {
	t.Parallel()
	table := &downTable{Table: standin.NewTable()}
	n, err := node.New(node.Options{Name: "self", Internal: "127.51.250.3:0", Key: []byte("0123456789abcdef0123456789abcdef"), Telemetry: telemetry.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	var current *config.Config
	acceptNext := func() types.Version {
		version := types.Version(1)
		if current != nil {
			version = current.Version() + 1
		}
		next, err := config.New(version, config.Content{Teams: []config.Team{{ID: types.TeamID(fmt.Sprint("team-", version))}}}, current)
		if err != nil {
			t.Fatal(err)
		}
		if err := confsync.Accept(context.Background(), table, version-1, next); err != nil {
			t.Fatal(err)
		}
		current = next
		return version
	}
	awaitVersion := func(version types.Version) {
		t.Helper()
		for end := time.Now().Add(maxConfigDelay); n.Config.Version() < version; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("version %d is in effect after %v, want %d", n.Config.Version(), maxConfigDelay, version)
			}
		}
	}
	s := store.New(table, store.Options{Name: "self", Incarnation: 1})
	h, err := NewHost(n, Options{
		Shard: "s", Lease: s.View(store.Lease), Table: s.View(store.Placement), Report: s.View(store.Report), OnOwnerAddress: func(netip.AddrPort) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	previous := lease.Row{Shard: "s", Owner: "other", Incarnation: 7, Epoch: 1, Address: "127.51.250.2:7001"}
	value, err := previous.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: lease.Key("s"), Value: value}}}); err != nil {
		t.Fatal(err)
	}
	h.Start(t.Context())
	time.Sleep(ownerSilenceLimit + time.Second) // by then the worker observes the lease
	table.down.Store(true)
	time.Sleep(3 * time.Second)
	table.down.Store(false)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		rows, err := table.Get(t.Context(), lease.Key("s"))
		if err != nil {
			t.Fatal(err)
		}
		if row, exists := decodeLease(rows[0]); exists && row.Owner == "self" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the lease was not taken over within 20 s")
		}
	}
	awaitVersion(acceptNext())
	h.Shutdown(context.Background())
	if err := n.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
}
