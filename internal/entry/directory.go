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
	"The entry learned that a worker joined, drains, left or is dead. If it is dead unexpectedly, look at its VM.")

const (
	// directoryTick is how often silent sources are looked for.
	directoryTick = 500 * time.Millisecond
	// fetchTimeout bounds the fetch of a difference.
	fetchTimeout = time.Second
)

// shardView is what the entry knows of one shard.
type shardView struct {
	directory *membership.Directory
	owner     netip.AddrPort
	epoch     types.Epoch
	heardAt   time.Duration
	relay     netip.AddrPort
	relayAt   time.Duration
	fetching  [2]bool
}

// directoryState is owned by one actor.
type directoryState struct {
	shards   map[types.ShardID]*shardView
	byHash   map[uint64]types.ShardID
	services map[uint64]types.ServiceName
	members  map[types.VMID]*wirepb.Member
}

// directory turns the digests of shard owners and relays into the router's
// view of workers.
type directory struct {
	e     *Entry
	cfg   membership.Config
	state *actors.Owner[*directoryState]
	// heard is set when members of a shard were first received.
	heard atomic.Bool
}

func newDirectory(e *Entry, cfg membership.Config) (*directory, error) {
	s := &directoryState{
		shards:   make(map[types.ShardID]*shardView),
		byHash:   make(map[uint64]types.ShardID),
		services: make(map[uint64]types.ServiceName),
		members:  make(map[types.VMID]*wirepb.Member),
	}
	owner, err := actors.Spawn(e.node.Actors, "directory", s)
	if err != nil {
		return nil, err
	}
	return &directory{e: e, cfg: cfg, state: owner}, nil
}

// configure learns the names behind the hashes of digests.
func (d *directory) configure(c *config.Config) {
	d.state.Enqueue(func(s *directoryState) {
		for _, id := range c.Shards() {
			s.byHash[datagram.HashName(string(id))] = id
		}
		for _, svc := range c.Content().Services {
			s.services[datagram.HashName(string(svc.Name))] = svc.Name
		}
	})
}

// Digest takes a digest from the socket.
func (d *directory) digest(m *datagram.Digest, from netip.AddrPort) {
	copied := *m
	d.state.Enqueue(func(s *directoryState) {
		id, known := s.byHash[copied.Shard]
		if !known {
			return
		}
		now := d.e.node.Clock()
		v := d.view(s, id)
		role := membership.RoleOwner
		if copied.Relay {
			role = membership.RoleRelay
			v.relay, v.relayAt = from, now
		} else if types.Epoch(copied.Epoch) >= v.epoch {
			v.owner, v.epoch, v.heardAt = from, types.Epoch(copied.Epoch), now
		}
		sum := membership.Digest{
			Source: membership.Source{
				Shard: id, Role: role, Incarnation: types.Incarnation(copied.Incarnation),
				Epoch: types.Epoch(copied.Epoch), Appointment: copied.Appointment,
			},
			Version: copied.Version,
			Hash:    copied.Hash,
		}
		if since, fetch := v.directory.Digest(now, sum); fetch {
			d.fetch(v, sum.Source, since, from)
		}
	})
}

func (d *directory) view(s *directoryState, id types.ShardID) *shardView {
	v := s.shards[id]
	if v == nil {
		v = &shardView{directory: membership.NewDirectory(d.cfg)}
		s.shards[id] = v
	}
	return v
}

// fetch reads the members that changed since a version from a source.
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
		d.heard.Store(true)
	}
	changed, _ := v.directory.Delta(d.e.node.Clock(), delta, nil)
	for _, e := range changed {
		d.changed(s, e)
	}
}

// changed passes a merged entry on to the router.
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
		if name, ok := s.services[u.GetService()]; ok {
			state.Services = append(state.Services, routing.ServiceState{
				Service: name, Slots: int(u.GetSlots()), Connections: int(u.GetConnections()), InUse: int(u.GetInFlight()),
			})
		}
	}
	d.e.router.update(state, m.GetAddress())
}

// run looks for sources that fell silent.
func (d *directory) run(ctx context.Context) {
	for sleep(ctx, directoryTick) == nil {
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

// ownerOf returns the call address of a shard's owner, if it was heard lately.
func (d *directory) ownerOf(id types.ShardID) (netip.AddrPort, bool) {
	var address netip.AddrPort
	var ok bool
	err := d.state.Do(func(s *directoryState) {
		v := s.shards[id]
		if v != nil && v.owner.IsValid() && d.e.node.Clock()-v.heardAt < ownerFresh {
			address, ok = v.owner, true
		}
	})
	return address, ok && err == nil
}

// ownerFresh is how long a digest vouches for an owner.
const ownerFresh = 3 * time.Second

// owners returns the shards whose owner was heard lately.
func (d *directory) owners() map[types.ShardID]netip.AddrPort {
	out := make(map[types.ShardID]netip.AddrPort)
	_ = d.state.Do(func(s *directoryState) {
		now := d.e.node.Clock()
		for id, v := range s.shards {
			if v.owner.IsValid() && now-v.heardAt < ownerFresh {
				out[id] = v.owner
			}
		}
	})
	return out
}

// listeners returns the owners and relays that were heard lately.
func (d *directory) listeners() []netip.AddrPort {
	var out []netip.AddrPort
	_ = d.state.Do(func(s *directoryState) {
		now := d.e.node.Clock()
		for _, v := range s.shards {
			if v.owner.IsValid() && now-v.heardAt < ownerFresh {
				out = append(out, v.owner)
			}
			if v.relay.IsValid() && now-v.relayAt < ownerFresh {
				out = append(out, v.relay)
			}
		}
	})
	return out
}
