package owner

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/confsync"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// scanTable records the configuration version of the process at the first scan of
// job rows, and fails the first failReads reads of the accepted version.
type scanTable struct {
	*standin.Table
	version   func() types.Version
	atScan    atomic.Uint64
	failReads atomic.Int32
}

func (s *scanTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if strings.HasPrefix(prefix, "jobs/") {
		s.atScan.CompareAndSwap(0, uint64(s.version()))
	}
	return s.Table.Scan(ctx, prefix, after, limit)
}

func (s *scanTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if keys[0] == confsync.VersionKey && s.failReads.Add(-1) >= 0 {
		return nil, platform.ErrUnavailable
	}
	return s.Table.Get(ctx, keys...)
}

// Guards against a new owner that reads the rows of its shard, and could place
// work, before it knows of an evacuation that was accepted before its takeover,
// also if the table fails at first.
func TestTakeoverReadsConfigurationBeforeRows(t *testing.T) {
	t.Parallel()
	domain := config.Domain{Name: "d", VMs: []types.VM{{ID: "self", Capacity: types.Resources{MilliCPU: 1000}}}}
	config.AssignShards(&domain, nil)
	first, err := config.New(1, config.Content{Domains: []config.Domain{domain}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	second, err := first.WithEvacuation("d", false)
	if err != nil {
		t.Fatal(err)
	}
	n, err := node.New(node.Options{Name: "self", Internal: "127.51.250.4:0", Key: []byte("0123456789abcdef0123456789abcdef"), Telemetry: telemetry.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	table := &scanTable{Table: standin.NewTable(), version: n.Config.Version}
	for base, c := range []*config.Config{first, second} {
		if err := confsync.Accept(t.Context(), table, types.Version(base), c); err != nil {
			t.Fatal(err)
		}
	}
	if err := n.Config.Apply(config.Difference(nil, first)); err != nil {
		t.Fatal(err)
	}
	table.failReads.Store(3)
	h, err := NewHost(n, Options{Shard: "d-s00", Lease: table, Table: table, Report: table, OnOwnerAddress: func(netip.AddrPort) {}})
	if err != nil {
		t.Fatal(err)
	}
	h.Start(t.Context())
	for end := time.Now().Add(30 * time.Second); table.atScan.Load() == 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	if v := table.atScan.Load(); v != 2 {
		t.Errorf("rows were read with configuration version %d in effect, want 2", v)
	}
	h.Shutdown(context.Background())
	if err := n.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
}

// changingTable accepts another configuration just before the first read of the parts
// of the present one.
type changingTable struct {
	*standin.Table
	change func()
	once   sync.Once
}

func (c *changingTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if keys[0] != confsync.VersionKey && keys[0] != confsync.HeadKey {
		c.once.Do(c.change)
	}
	return c.Table.Get(ctx, keys...)
}

// Guards against a new owner that places work by a version from before an evacuation,
// because another change was accepted while it read the configuration.
func TestTakeoverReadsConfigurationThatChanges(t *testing.T) {
	t.Parallel()
	domains := []config.Domain{
		{Name: "d", VMs: []types.VM{{ID: "self", Capacity: types.Resources{MilliCPU: 1000}}}},
		{Name: "e", VMs: []types.VM{{ID: "other", Capacity: types.Resources{MilliCPU: 1000}}}},
	}
	for i := range domains {
		config.AssignShards(&domains[i], nil)
	}
	versions := make([]*config.Config, 3)
	var err error
	if versions[0], err = config.New(1, config.Content{Domains: domains}, nil); err != nil {
		t.Fatal(err)
	}
	for i, d := range []types.FailureDomain{"d", "e"} {
		if versions[i+1], err = versions[i].WithEvacuation(d, false); err != nil {
			t.Fatal(err)
		}
	}
	n, err := node.New(node.Options{Name: "self", Internal: "127.51.250.5:0", Key: []byte("0123456789abcdef0123456789abcdef"), Telemetry: telemetry.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Shutdown(context.Background()) })
	table := &changingTable{Table: standin.NewTable()}
	accept := func(base int) {
		if err := confsync.Accept(t.Context(), table.Table, types.Version(base), versions[base]); err != nil {
			t.Error(err)
		}
	}
	accept(0)
	accept(1)
	table.change = func() { accept(2) }
	if err := n.Config.Apply(config.Difference(nil, versions[0])); err != nil {
		t.Fatal(err)
	}
	h, err := NewHost(n, Options{Shard: "d-s00", Lease: table, Table: table, Report: table, OnOwnerAddress: func(netip.AddrPort) {}})
	if err != nil {
		t.Fatal(err)
	}
	if err := h.readConfig(t.Context()); err == nil && !n.Config.Current().Evacuated("d") {
		t.Errorf("rows would be read with configuration version %d in effect, which evacuates nothing", n.Config.Version())
	}
}

// evacuatingTable puts a configuration into effect during the second scan of job rows,
// the first of rescanIfDue.
type evacuatingTable struct {
	*standin.Table
	scans  atomic.Int32
	change func()
}

func (e *evacuatingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := e.Table.Scan(ctx, prefix, after, limit)
	if strings.HasPrefix(prefix, "jobs/") && e.scans.Add(1) == 2 {
		e.change()
	}
	return rows, err
}

// Guards against replicas that an owner submits by a configuration from before an
// evacuation, which came into effect while it read the rows, and against one that then
// reads the rows only after rescanInterval.
func TestEvacuationDuringScan(t *testing.T) {
	t.Parallel()
	domains := []config.Domain{{Name: "d", VMs: []types.VM{{ID: "self", Capacity: types.Resources{MilliCPU: 1000}}}}}
	config.AssignShards(&domains[0], nil)
	services := []types.Service{{Name: "svc", Replicas: 2, Demand: types.Resources{MilliCPU: 100}}}
	first, err := config.New(1, config.Content{Domains: domains, Services: services}, nil)
	if err != nil {
		t.Fatal(err)
	}
	second, err := first.WithEvacuation("d", false)
	if err != nil {
		t.Fatal(err)
	}
	n, err := node.New(node.Options{Name: "self", Internal: "127.51.250.7:0", Key: []byte("0123456789abcdef0123456789abcdef"), Telemetry: telemetry.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	changed := make(chan time.Time, 1)
	table := &evacuatingTable{Table: standin.NewTable()}
	table.change = func() {
		if err := n.Config.Apply(config.Difference(first, second)); err != nil {
			t.Error(err)
		}
		changed <- time.Now()
	}
	if err := confsync.Accept(t.Context(), table.Table, 0, first); err != nil {
		t.Fatal(err)
	}
	if err := n.Config.Apply(config.Difference(nil, first)); err != nil {
		t.Fatal(err)
	}
	h, err := NewHost(n, Options{Shard: "d-s00", Lease: table, Table: table, Report: table, OnOwnerAddress: func(netip.AddrPort) {}})
	if err != nil {
		t.Fatal(err)
	}
	h.Start(t.Context())
	begin := <-changed
	for table.scans.Load() < 3 && time.Since(begin) < 2*rescanInterval {
		time.Sleep(20 * time.Millisecond)
	}
	if wait := time.Since(begin); wait > rescanInterval/2 {
		t.Errorf("the rows are read %v after the change, want at once", wait)
	}
	rows, err := table.Table.Scan(t.Context(), "jobs/", "", 10)
	if err != nil || len(rows) > 0 {
		t.Errorf("%d replicas submitted in the evacuated failure domain, %v", len(rows), err)
	}
	h.Shutdown(context.Background())
	if err := n.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
}
