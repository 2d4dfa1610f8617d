// Package owner runs the ownership of a shard in a worker process: it observes
// the shard's lease, takes it over when it is free, and executes the actions of
// the state machine of package core/shard. A host may also be the shard's relay,
// which receives heartbeats in addition to the owner and sends membership digests
// to the entries.
package owner

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

var (
	eventTakenOver = telemetry.Define(510, logrus.InfoLevel, "shard taken over",
		"This worker now owns the shard. Frequent changes mean that owners crash or the table is slow.")
	eventOwnershipLost = telemetry.Define(511, logrus.WarnLevel, "shard ownership lost",
		"Another worker owns the shard. Expected after this worker was paused, or disconnected from the table, for longer than the lease.")
	eventLeaseExpired = telemetry.Define(512, logrus.WarnLevel, "shard lease expired",
		"The table does not answer. Running work continues; nothing new is placed until the table answers.")
	eventRecovered = telemetry.Define(513, logrus.InfoLevel, "shard recovered",
		"The owner has read the shard's rows and waits for reports from its workers. No action.")
	eventRelay = telemetry.Define(514, logrus.InfoLevel, "shard relay",
		"This worker relays the shard's membership to entries. No action.")
	eventConfigNotRead = telemetry.Define(518, logrus.WarnLevel, "configuration not read",
		"A newer configuration version exists, but the owner cannot read it; it retries at the next renewal of its lease. If it repeats, check the table. Fields: version.")
	eventRowProblem = telemetry.Define(515, logrus.ErrorLevel, "row cannot be used",
		"A row of the shard cannot be decoded and is ignored. Read the row and repair or delete it.")
	eventMemberChanged = telemetry.Define(410, logrus.InfoLevel, "member changed",
		"A worker of the shard has joined, started to drain, left or died. If it died unexpectedly, check its VM.")
)

const (
	// tickInterval is how often the state machine is polled.
	tickInterval = 100 * time.Millisecond
	// digestInterval is how often digests are sent to entries if nothing changes.
	digestInterval = time.Second
	// observeInterval is how often a candidate reads the lease row.
	observeInterval = time.Second
	// ownerSilenceLimit is the time without an acknowledgement from an owner after
	// which every worker of the shard becomes a candidate; before that, only the
	// relay is a candidate. It must be longer than the heartbeat interval: at 2 s,
	// workers became candidates between two acknowledgements and attempted
	// takeovers on outdated rows.
	ownerSilenceLimit = 3 * time.Second
	// tableTimeout bounds one call to the table.
	tableTimeout = 2 * time.Second
	// commandTimeout bounds one call to a worker.
	commandTimeout = 3 * time.Second
)

// MembershipConfig returns the timing of failure detection.
func MembershipConfig() membership.Config { return membership.DeployedConfig() }

// Options configures a Host.
type Options struct {
	Shard types.ShardID
	// Lease, Table and Report access the same table with different priorities.
	// Lease is for leases and for loading newer configurations.
	Lease platform.Table
	// Table is for all other rows.
	Table platform.Table
	// Report is for the deletion of expired rows.
	Report platform.Table
	// OnOwnerAddress is called with the call address of the shard's owner when the
	// address is read from the lease row or this worker becomes the owner.
	OnOwnerAddress func(address netip.AddrPort)
}

// Host runs the ownership of the worker's shard. Every worker process has one.
type Host struct {
	opts  Options
	node  *node.Node
	tel   *telemetry.Telemetry
	state *actors.Owner[*hostState]
	// role is the value of the metric shard_role.
	role atomic.Int32
	// evacuated is the value of the metric shard_evacuated.
	evacuated atomic.Bool
	movedJobs tally.Counter

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

// memberState is the content of a member's last heartbeat.
type memberState struct {
	incarnation types.Incarnation
	address     netip.AddrPort
	senderClock time.Duration
	receivedAt  time.Duration
	tasksHash   uint64
	upstreams   []datagram.Upstream
}

// hostState is owned by one actor. The results of I/O are sent to the actor as
// functions.
type hostState struct {
	h            *Host
	rng          *rand.Rand
	members      []types.VMID
	memberByHash map[uint64]types.VMID
	entries      []netip.AddrPort
	// entryRows holds, by row key, when each entry's row last changed.
	entryRows map[string]seenRow

	observer      *lease.Observer
	nextObserveAt time.Duration
	ownerHeardAt  time.Duration
	leaseBusy     bool
	// lastTakeover is the epoch of the last takeover that was sent, and when a
	// takeover of that epoch was first sent.
	lastTakeover struct {
		epoch  types.Epoch
		sentAt time.Duration
	}
	// rereadLease is set after a failed takeover until the lease row is read again.
	rereadLease bool

	term  *term
	relay *relay

	memberStates    map[types.VMID]*memberState
	nextDigestAt    time.Duration
	nextEntryScanAt time.Duration
}

// NewHost returns a host. It does nothing until Start is called.
func NewHost(n *node.Node, o Options) (*Host, error) {
	h := &Host{opts: o, node: n, tel: n.Telemetry, movedJobs: n.Telemetry.Metrics.Counter("evacuated_jobs_moved")}
	s := &hostState{
		h:            h,
		rng:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		memberByHash: make(map[uint64]types.VMID),
		memberStates: make(map[types.VMID]*memberState),
		entryRows:    make(map[string]seenRow),
		observer:     lease.NewObserver(lease.DefaultConfig(), o.Shard, types.VMID(n.Name), n.Incarnation),
	}
	s.ownerHeardAt = n.Clock()
	stateActor, err := actors.Spawn(n.Actors, "owner", s)
	if err != nil {
		return nil, err
	}
	h.state = stateActor
	service := wirepb.NewOwnerServiceServer(ownerService{h})
	n.Mux.Handle(service.PathPrefix(), service)
	n.Telemetry.GaugeFunc("shard_role", "0 for a member, 1 for the owner, 2 for the relay.", nil,
		func() float64 { return float64(h.role.Load()) })
	n.Telemetry.GaugeFunc("shard_evacuated", "1 for the owner of a shard whose failure domain is evacuated, otherwise 0.", nil,
		func() float64 {
			if h.role.Load() == roleOwner && h.evacuated.Load() {
				return 1
			}
			return 0
		})
	return h, nil
}

// Start starts observing the lease and processing configuration changes.
func (h *Host) Start(ctx context.Context) {
	h.ctx, h.stop = context.WithCancel(context.WithoutCancel(ctx))
	h.node.Config.Watch(func(*config.Config) {
		// The configuration is read on the actor, because watchers may be called
		// out of order, and an older version could undo an evacuation.
		h.state.Enqueue(func(s *hostState) { s.configure(h.node.Config.Current()) })
	})
	h.running.Add(1)
	go h.loop()
}

func (h *Host) loop() {
	defer h.running.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// Do waits for the tick to finish, so that ticks do not queue up behind
			// a slow one.
			if err := h.state.Do(func(s *hostState) { s.tick(h.node.Clock()) }); err != nil {
				return
			}
		case <-h.ctx.Done():
			return
		}
	}
}

// async runs f in a goroutine of its own and then runs the function that f
// returns on the state.
func (h *Host) async(timeout time.Duration, f func(ctx context.Context) func(*hostState)) {
	h.running.Add(1)
	go func() {
		defer h.running.Done()
		ctx, cancel := context.WithTimeout(h.ctx, timeout)
		defer cancel()
		h.state.Enqueue(f(ctx))
	}()
}

// Shutdown releases the lease, so that another worker can take over immediately,
// and stops the host.
func (h *Host) Shutdown(ctx context.Context) {
	done := make(chan struct{})
	h.state.Enqueue(func(s *hostState) { s.releaseLease(ctx, done) })
	select {
	case <-done:
	case <-ctx.Done():
	}
	h.stop()
	h.running.Wait()
	h.state.Stop()
}

// configure applies a configuration: the VMs of the shard, and for an owner also
// the evacuated failure domains and the teams.
func (s *hostState) configure(c *config.Config) {
	s.members = c.ShardVMs(s.h.opts.Shard)
	clear(s.memberByHash)
	vms := make([]types.VM, 0, len(s.members))
	for _, id := range s.members {
		s.memberByHash[datagram.HashName(string(id))] = id
		vm, _ := c.VM(id)
		vms = append(vms, vm)
	}
	if s.term != nil {
		s.term.machine.SetVMs(vms)
		s.setEvacuated(c)
		s.term.rows.nextScanAt = 0
		s.term.policy.SetTeams(c.Content().Teams)
	}
	if s.term != nil || s.relay != nil {
		s.notifyMembers()
	}
}

// tick runs all periodic work that is due.
func (s *hostState) tick(now time.Duration) {
	s.h.role.Store(s.roleNumber())
	s.maintainLease(now)
	if s.term != nil {
		s.poll(now)
		s.rescanIfDue(now)
		s.moveJobIfDue(now)
		s.syncQuotaIfDue(now)
	}
	if s.relay != nil {
		s.relay.tick(s, now)
	}
	if now >= s.nextDigestAt {
		s.sendDigests(now)
	}
	if now >= s.nextEntryScanAt && (s.term != nil || s.relay != nil) {
		s.scanEntries(now)
	}
}

// rankingMembers returns the members that candidates are ranked by: a relay
// returns those that its detector considers live, any other worker returns all
// members.
func (s *hostState) rankingMembers() []types.VMID {
	if s.relay != nil {
		return s.relay.detector.Live(nil)
	}
	return s.members
}

// Values of the metric shard_role.
const (
	roleMember = iota
	roleOwner
	roleRelay
)

func (s *hostState) roleNumber() int32 {
	switch {
	case s.term != nil:
		return roleOwner
	case s.relay != nil:
		return roleRelay
	default:
		return roleMember
	}
}
