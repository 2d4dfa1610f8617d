package owner

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// racedTable commits another candidate's takeover just before the first takeover
// arrives, and counts the takeovers that arrive.
type racedTable struct {
	*standin.Table
	winner  []byte
	commits atomic.Int32
}

func (r *racedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if r.commits.Add(1) == 1 {
		_, err := r.Table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: lease.Key("s"), Value: r.winner}}})
		if err != nil {
			return platform.TxnResult{}, err
		}
	}
	return r.Table.Commit(ctx, txn)
}

// Guards against a candidate that loses the race for the lease and then repeats
// its compare-and-set on the outdated row forever, without reading who the owner
// is.
func TestLostTakeoverReadsTheRowAgain(t *testing.T) {
	winner := lease.Row{Shard: "s", Owner: "other", Incarnation: 7, Epoch: 1, Address: "127.51.250.2:7001"}
	value, err := winner.Encode()
	if err != nil {
		t.Fatal(err)
	}
	table := &racedTable{Table: standin.NewTable(), winner: value}
	n, err := node.New(node.Options{Name: "self", Internal: "127.51.250.1:0", Key: []byte("0123456789abcdef0123456789abcdef"), Telemetry: telemetry.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	known := make(chan netip.AddrPort, 16)
	h, err := NewHost(n, Options{Shard: "s", Lease: table, Table: table, OnOwnerAddress: func(a netip.AddrPort) {
		select {
		case known <- a:
		default:
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	h.Start(t.Context())
	select {
	case a := <-known:
		if a.String() != winner.Address {
			t.Errorf("owner at %s, want %s", a, winner.Address)
		}
	case <-time.After(ownerSilenceLimit + 4*time.Second):
		t.Error("the owner is not known after a lost takeover")
	}
	if c := table.commits.Load(); c != 1 {
		t.Errorf("%d takeovers were sent, want 1", c)
	}
	h.Shutdown(context.Background())
	if err := n.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
}

// Guards against a lease whose validity is measured from a repeated takeover
// although the first one, whose answer was lost, wrote the row.
func TestRepeatedTakeoverCountsFromTheFirst(t *testing.T) {
	s := &hostState{}
	first := s.firstSentAt(4, 10*time.Second)
	if again := s.firstSentAt(4, 13*time.Second); again != first {
		t.Fatalf("second takeover of epoch 4 is measured from %v, want %v", again, first)
	}
	if next := s.firstSentAt(5, 20*time.Second); next != 20*time.Second {
		t.Fatalf("first takeover of epoch 5 is measured from %v, want 20 s", next)
	}
}
