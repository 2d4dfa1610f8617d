package entry

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/routing"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

var eventWorkerChanged = telemetry.Define(420, logrus.InfoLevel, "worker changed",
	"A worker has joined, started to drain, left or died. If it died unexpectedly, check its VM.")

const (
	// directoryTickInterval is how often the directory checks for silent sources.
	directoryTickInterval = 500 * time.Millisecond
	// fetchTimeout bounds one fetch of changed members.
	fetchTimeout = time.Second
)

// shardView is the entry's state of one shard. Its field directory holds the
// members of the shard.
type shardView struct {
	directory   *membership.Directory
	owner       netip.AddrPort
	epoch       types.Epoch
	ownerSeenAt time.Duration
	relay       netip.AddrPort
	relaySeenAt time.Duration
	// fetching is indexed by membership role.
	fetching [2]bool
}

// directoryState is the state of the directory. Only its actor accesses it.
type directoryState struct {
	shards         map[types.ShardID]*shardView
	shardsByHash   map[uint64]types.ShardID
	servicesByHash map[uint64]types.ServiceName
	members        map[types.VMID]*wirepb.Member
}

// directory receives the digests of shard owners and relays, fetches changed
// members and updates the router's list of workers.
type directory struct {
	e     *Entry
	cfg   membership.Config
	state *actors.Owner[*directoryState]
	// membersReceived is set once members of any shard have been received.
	membersReceived atomic.Bool
}

func newDirectory(e *Entry, cfg membership.Config) (*directory, error) {
	s := &directoryState{
		shards:         make(map[types.ShardID]*shardView),
		shardsByHash:   make(map[uint64]types.ShardID),
		servicesByHash: make(map[uint64]types.ServiceName),
		members:        make(map[types.VMID]*wirepb.Member),
	}
	owner, err := actors.Spawn(e.node.Actors, "directory", s)
	if err != nil {
		return nil, err
	}
	return &directory{e: e, cfg: cfg, state: owner}, nil
}

// indexNames indexes the names of shards and services by the hashes that
// digests and members carry.
func (d *directory) indexNames(c *config.Config) {
	d.state.Enqueue(func(s *directoryState) {
		for _, id := range c.Shards() {
			s.shardsByHash[datagram.HashName(string(id))] = id
		}
		for _, svc := range c.Content().Services {
			s.servicesByHash[datagram.HashName(string(svc.Name))] = svc.Name
		}
	})
}

// handleDigest handles a digest received from the socket.
func (d *directory) handleDigest(m *datagram.Digest, from netip.AddrPort) {
	copied := *m
	d.state.Enqueue(func(s *directoryState) {
		id, known := s.shardsByHash[copied.Shard]
		if !known {
			return
		}
		now := d.e.node.Clock()
		v := d.shardViewOf(s, id)
		role := membership.RoleOwner
		if copied.Relay {
			role = membership.RoleRelay
			v.relay, v.relaySeenAt = from, now
		} else if types.Epoch(copied.Epoch) >= v.epoch {
			v.owner, v.epoch, v.ownerSeenAt = from, types.Epoch(copied.Epoch), now
		}
		digest := membership.Digest{
			Source: membership.Source{
				Shard: id, Role: role, Incarnation: types.Incarnation(copied.Incarnation),
				Epoch: types.Epoch(copied.Epoch), Appointment: copied.Appointment,
			},
			Version: copied.Version,
			Hash:    copied.Hash,
		}
		if since, fetch := v.directory.Digest(now, digest); fetch {
			d.fetch(v, digest.Source, since, from)
		}
	})
}

func (d *directory) shardViewOf(s *directoryState, id types.ShardID) *shardView {
	v := s.shards[id]
	if v == nil {
		v = &shardView{directory: membership.NewDirectory(d.cfg)}
		s.shards[id] = v
	}
	return v
}

// fetch requests the members that changed since a version from a source, unless
// a fetch from a source of the same role is in progress.
func (d *directory) fetch(v *shardView, src membership.Source, since uint64, from netip.AddrPort) {
	if v.fetching[src.Role] {
		return
	}
	v.fetching[src.Role] = true
	d.e.background(func() {
		ctx, cancel := context.WithTimeout(d.e.ctx, fetchTimeout)
		defer cancel()
		resp, err := d.e.node.OwnerPeer(from.String()).Members(ctx, &wirepb.MembersRequest{
			Shard: string(src.Shard), Since: since, Incarnation: uint64(src.Incarnation),
		})
		d.state.Enqueue(func(s *directoryState) {
			v.fetching[src.Role] = false
			if err == nil {
				d.apply(s, v, resp)
			}
		})
	})
}

func (d *directory) apply(s *directoryState, v *shardView, resp *wirepb.MembersResponse) {
	role := membership.RoleOwner
	if resp.GetRelay() {
		role = membership.RoleRelay
	}
	delta := membership.Delta{
		Digest: membership.Digest{
			Source: membership.Source{
				Shard: types.ShardID(resp.GetShard()), Role: role, Incarnation: types.Incarnation(resp.GetIncarnation()),
				Epoch: types.Epoch(resp.GetEpoch()), Appointment: resp.GetAppointment(),
			},
			Version: resp.GetVersion(),
			Hash:    resp.GetHash(),
		},
		Since: resp.GetSince(),
	}
	for _, m := range resp.GetMembers() {
		delta.States = append(delta.States, membership.MemberState{
			VM: types.VMID(m.GetVm()), Incarnation: types.Incarnation(m.GetIncarnation()),
			Previous: types.Incarnation(m.GetPrevious()), Status: membership.Status(m.GetStatus()),
			Version: m.GetVersion(), Content: m.GetContent(),
		})
		if m.GetAddress() != "" {
			s.members[types.VMID(m.GetVm())] = m
		}
	}
	if len(delta.States) > 0 {
		d.membersReceived.Store(true)
	}
	changed, _ := v.directory.Delta(d.e.node.Clock(), delta, nil)
	for _, e := range changed {
		d.changed(s, e)
	}
}

// changed updates the router after a member of a shard has changed.
func (d *directory) changed(s *directoryState, e membership.MemberState) {
	d.e.tel.Log.Log(eventWorkerChanged, nil, telemetry.Fields{
		"vm": string(e.VM), "incarnation": uint64(e.Incarnation), "status": e.Status.String(),
	})
	if !e.Status.Running() {
		d.e.router.remove(e.VM)
		return
	}
	m := s.members[e.VM]
	cfg := d.e.node.Config.Current()
	if m == nil || cfg == nil || types.Incarnation(m.GetIncarnation()) != e.Incarnation {
		return
	}
	vm, known := cfg.VM(e.VM)
	if !known {
		d.e.router.remove(e.VM)
		return
	}
	state := routing.WorkerState{
		VM: e.VM, Incarnation: e.Incarnation, Domain: vm.FailureDomain,
		Reading: time.Duration(m.GetClockNs()), Slots: vm.Slots, Connections: vm.Connections,
		Draining: e.Status == membership.Draining,
	}
	for _, u := range m.GetUpstreams() {
		if name, ok := s.servicesByHash[u.GetService()]; ok {
			state.Services = append(state.Services, routing.ServiceState{
				Service: name, Slots: int(u.GetSlots()), Connections: int(u.GetConnections()), InUse: int(u.GetInFlight()),
			})
		}
	}
	d.e.router.update(state, m.GetAddress())
}

// run periodically checks for sources that have stopped sending digests, until
// the context ends.
func (d *directory) run(ctx context.Context) {
	for sleep(ctx, directoryTickInterval) == nil {
		d.state.Enqueue(func(s *directoryState) {
			now := d.e.node.Clock()
			for _, v := range s.shards {
				for _, e := range v.directory.Tick(now, nil) {
					d.changed(s, e)
				}
			}
		})
	}
}

// ownerAddress returns the call address of a shard's owner, if it sent a digest
// within maxDigestAge.
func (d *directory) ownerAddress(id types.ShardID) (netip.AddrPort, bool) {
	var address netip.AddrPort
	var ok bool
	err := d.state.Do(func(s *directoryState) {
		v := s.shards[id]
		if v != nil && v.owner.IsValid() && d.e.node.Clock()-v.ownerSeenAt < maxDigestAge {
			address, ok = v.owner, true
		}
	})
	return address, ok && err == nil
}

// maxDigestAge is how long after its last digest an owner or relay counts as
// running.
const maxDigestAge = 3 * time.Second

// ownerAddresses returns the owners that sent a digest within maxDigestAge, by
// shard.
func (d *directory) ownerAddresses() map[types.ShardID]netip.AddrPort {
	out := make(map[types.ShardID]netip.AddrPort)
	_ = d.state.Do(func(s *directoryState) {
		now := d.e.node.Clock()
		for id, v := range s.shards {
			if v.owner.IsValid() && now-v.ownerSeenAt < maxDigestAge {
				out[id] = v.owner
			}
		}
	})
	return out
}

// ownersAndRelays returns the addresses of the owners and relays that sent a
// digest within maxDigestAge.
func (d *directory) ownersAndRelays() []netip.AddrPort {
	var out []netip.AddrPort
	_ = d.state.Do(func(s *directoryState) {
		now := d.e.node.Clock()
		for _, v := range s.shards {
			if v.owner.IsValid() && now-v.ownerSeenAt < maxDigestAge {
				out = append(out, v.owner)
			}
			if v.relay.IsValid() && now-v.relaySeenAt < maxDigestAge {
				out = append(out, v.relay)
			}
		}
	})
	return out
}
