package node

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
)

func startNode(t *testing.T, name string, peers ...string) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	n, err := New(Options{
		Name: name, Role: "worker", Region: "r", FailureDomain: "d", Internal: address,
		Key: []byte("key"), Peers: peers, Telemetry: telemetry.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Serve(func(datagram.Message, netip.AddrPort) {}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := n.Shutdown(ctx); err != nil {
			t.Error(err)
		}
	})
	return n
}

// Guards against a worker that keeps an old configuration until its shard has a
// new owner. After an owner's death, a change then took 9.99 s to be in effect
// everywhere; 7 s are allowed.
func TestKeepConfirmedAsksPeers(t *testing.T) {
	peer := startNode(t, "peer")
	cfg, err := config.New(2, config.Content{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := peer.Config.Apply(cfg.DeltaSince(0)); err != nil {
		t.Fatal(err)
	}
	peer.Config.Confirm(peer.Clock(), 2)
	isolated := startNode(t, "cut", peer.Address().String())
	go isolated.KeepConfirmed(t.Context())
	deadline := time.Now().Add(5 * time.Second)
	for isolated.Config.Version() != 2 || !isolated.confirmed() {
		if time.Now().After(deadline) {
			t.Fatalf("version %d after 5 s without an owner, want 2", isolated.Config.Version())
		}
		time.Sleep(20 * time.Millisecond)
	}
}
