package benchsize

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/localrun"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// digestInterval equals the digest interval of package owner.
const digestInterval = time.Second

// listenerStub acts towards entries as the owner or the relay of a shard: it
// sends digests and answers calls for members. Its members are not running
// processes.
type listenerStub struct {
	// OwnerService is nil and only completes the interface: entries that no
	// caller uses call only Members.
	wirepb.OwnerService

	node    *node.Node
	source  membership.Source
	service uint64

	mu       sync.Mutex
	detector *membership.Detector
	members  []types.VMID
	seq      uint64
	draining map[types.VMID]bool
}

// Fleet holds the listener stubs of all shards of a configuration.
type Fleet struct {
	entries []netip.AddrPort
	// listeners holds the owner and the relay of each shard, in the order of the
	// shards.
	listeners []*listenerStub
}

// StartFleet starts two listener stubs for each shard, on the addresses that
// the first two workers of the shard would have.
func StartFleet(ctx context.Context, d *localrun.Deployment, c *config.Config, entries []netip.AddrPort) (*Fleet, error) {
	f := &Fleet{entries: entries}
	for _, id := range c.Shards() {
		members := c.ShardVMs(id)
		for role := membership.RoleOwner; role <= membership.RoleRelay; role++ {
			l, err := newListenerStub(ctx, d, c, id, members, role)
			if err != nil {
				f.Close(ctx)
				return nil, err
			}
			f.listeners = append(f.listeners, l)
		}
	}
	return f, nil
}

func newListenerStub(ctx context.Context, d *localrun.Deployment, c *config.Config, id types.ShardID, members []types.VMID, role membership.Role) (*listenerStub, error) {
	n, err := node.New(node.Options{
		Name: string(members[int(role)%len(members)]), Role: "worker", Region: "Flanders",
		Internal: localrun.WorkerInternalAddrByName(d, string(members[int(role)%len(members)])), Key: []byte(localrun.SharedKey),
		Telemetry: telemetry.Nop(),
	})
	if err != nil {
		return nil, err
	}
	l := &listenerStub{
		node: n, members: members, detector: membership.NewDetector(membership.DefaultConfig(), n.Incarnation),
		source:   membership.Source{Shard: id, Role: role, Incarnation: n.Incarnation, Epoch: 1},
		draining: make(map[types.VMID]bool),
	}
	for _, s := range c.Content().Services {
		l.service = datagram.HashName(string(s.Name))
	}
	for _, vm := range members {
		l.applyHeartbeat(vm)
	}
	server := wirepb.NewOwnerServiceServer(l)
	n.Mux.Handle(server.PathPrefix(), server)
	err = n.Serve(func(m datagram.Message, from netip.AddrPort) { n.RecordPeer(m.Head(), from) })
	if err == nil {
		err = n.FetchFrom(ctx, d.EntryInternalAddr(1))
	}
	return l, err
}

// applyHeartbeat applies a heartbeat of a member to the detector.
func (l *listenerStub) applyHeartbeat(vm types.VMID) {
	l.seq++
	l.detector.Heartbeat(l.node.Clock(), membership.Heartbeat{
		VM: vm, Incarnation: types.Incarnation(datagram.HashName(string(vm))), Seq: l.seq, Draining: l.draining[vm], Content: 1,
	})
}

// ToggleDraining starts or ends the draining of a member of a shard and sends
// the change to the entries.
func (f *Fleet) ToggleDraining(shard, member int) {
	for _, l := range f.listeners[2*shard : 2*shard+2] {
		l.mu.Lock()
		vm := l.members[member%len(l.members)]
		l.draining[vm] = !l.draining[vm]
		l.applyHeartbeat(vm)
		l.mu.Unlock()
		l.sendDigest(f.entries)
	}
}

// ShardCount returns the number of shards.
func (f *Fleet) ShardCount() int { return len(f.listeners) / 2 }

// Run sends digests until the context is cancelled.
func (f *Fleet) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, l := range f.listeners {
		all.Go(func() {
			var b [2]byte
			_, _ = rand.Read(b[:])
			start := time.Duration(binary.BigEndian.Uint16(b[:])) * digestInterval / (1 << 16)
			for err := Sleep(ctx, start); err == nil; err = Sleep(ctx, digestInterval) {
				l.sendDigest(f.entries)
			}
		})
	}
	all.Wait()
}

// Close shuts the listener stubs down.
func (f *Fleet) Close(ctx context.Context) {
	for _, l := range f.listeners {
		// Errors are ignored because the process exits after the measurement.
		_ = l.node.Shutdown(ctx)
	}
}

func (l *listenerStub) sendDigest(entries []netip.AddrPort) {
	l.mu.Lock()
	sum := l.detector.Digest(l.source)
	l.mu.Unlock()
	m := &datagram.Digest{
		Header: l.node.Header(), Shard: datagram.HashName(string(l.source.Shard)), Epoch: uint64(l.source.Epoch),
		Relay: l.source.Role == membership.RoleRelay, Version: sum.Version, Hash: sum.Hash,
	}
	for _, to := range entries {
		l.node.Socket.Send(m, to)
	}
}

// Members implements wirepb.OwnerService.
func (l *listenerStub) Members(_ context.Context, r *wirepb.MembersRequest) (*wirepb.MembersResponse, error) {
	if types.ShardID(r.GetShard()) != l.source.Shard {
		return nil, twirp.NewError(twirp.FailedPrecondition, "not a listener of the shard")
	}
	since := r.GetSince()
	if types.Incarnation(r.GetIncarnation()) != l.source.Incarnation {
		since = 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delta := l.detector.Delta(l.source, since)
	resp := &wirepb.MembersResponse{
		Shard: string(l.source.Shard), Incarnation: uint64(l.source.Incarnation), Epoch: uint64(l.source.Epoch),
		Relay: l.source.Role == membership.RoleRelay, Version: delta.Digest.Version, Hash: delta.Digest.Hash, Since: delta.Since,
	}
	for _, e := range delta.States {
		resp.Members = append(resp.Members, &wirepb.Member{
			Vm: string(e.VM), Incarnation: uint64(e.Incarnation), Previous: uint64(e.Previous), Status: uint32(e.Status),
			Version: e.Version, Content: e.Content, Address: l.node.Address().String(), ClockNs: int64(l.node.Clock()),
			Upstreams: []*wirepb.MemberUpstream{{Service: l.service, Slots: 8, Connections: 64}},
		})
	}
	return resp, nil
}
