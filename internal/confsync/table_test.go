package confsync

import (
	"context"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// countingTable counts the bytes of the row values that are read.
type countingTable struct {
	platform.Table
	bytes int
}

func (c *countingTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := c.Table.Get(ctx, keys...)
	for _, r := range rows {
		c.bytes += len(r.Value)
	}
	return rows, err
}

func newConfig(t *testing.T, previous *config.Config, teams ...config.Team) *config.Config {
	t.Helper()
	version := types.Version(1)
	if previous != nil {
		version = previous.Version() + 1
	}
	c, err := config.New(version, config.Content{Teams: teams}, previous)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a version row that is not updated with the head, which would
// hide an accepted change; against two operators both changing the same version;
// and against a periodic read whose size grows with the configuration.
func TestAcceptAndLoad(t *testing.T) {
	ctx := context.Background()
	table := &countingTable{Table: standin.NewTable()}
	s := New("r", func() time.Duration { return time.Second }, telemetry.Discard())
	first := newConfig(t, nil, config.Team{ID: "a"})
	if err := Accept(ctx, table, 0, first); err != nil {
		t.Fatal(err)
	}
	second := newConfig(t, first, config.Team{ID: "a"}, config.Team{ID: "b"})
	if err := Accept(ctx, table, 1, second); err != nil {
		t.Fatal(err)
	}
	competing := newConfig(t, first, config.Team{ID: "c"})
	if err := Accept(ctx, table, 1, competing); apperr.KindOf(err) != apperr.KindConflict {
		t.Fatalf("the second change of version 1 got %v, want a conflict", err)
	}
	if err := s.Load(ctx, table); err != nil {
		t.Fatal(err)
	}
	if got := s.Current(); got.Version() != 2 || !got.SameContent(second) {
		t.Fatalf("version %d is in effect, want the accepted version 2", got.Version())
	}
	table.bytes = 0
	if err := s.Load(ctx, table); err != nil {
		t.Fatal(err)
	}
	const versionRowBytes = 32
	if table.bytes > versionRowBytes {
		t.Fatalf("a load without a change read %d bytes, want at most %d", table.bytes, versionRowBytes)
	}
}
