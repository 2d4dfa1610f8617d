// Package owner hosts the ownership of a shard in a worker process: it watches
// the shard's lease, takes it over when it is free, and carries out what the
// state machine of package core/shard asks for. A host may also be the shard's
// relay, a second listener that entries hear from.
package owner

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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
		"This worker owns the shard from now on. Frequent changes mean that owners die or the table is slow.")
	eventOwnershipLost = telemetry.Define(511, logrus.WarnLevel, "shard ownership lost",
		"Another worker owns the shard. Expected after this worker was paused or cut off from the table for longer than the lease.")
	eventLeaseUnconfirmed = telemetry.Define(512, logrus.WarnLevel, "shard lease cannot be renewed",
		"The table does not answer. Running work goes on; nothing new is placed until it answers.")
	eventRecovered = telemetry.Define(513, logrus.InfoLevel, "shard recovered",
		"The owner has read its rows and waits for reports of its workers. No action.")
	eventRelay = telemetry.Define(514, logrus.InfoLevel, "shard relay",
		"This worker relays the shard's membership to entries. No action.")
	eventConfigNotRead = telemetry.Define(518, logrus.WarnLevel, "configuration not read",
		"The owner knows of a newer version and cannot read it; it tries again with the next renewal of its lease. Look at the table if it repeats. Fields: version.")
	eventRowProblem = telemetry.Define(515, logrus.ErrorLevel, "row cannot be used",
		"A row of the shard cannot be decoded and is left alone. Read the row and repair or delete it.")
	eventMemberChanged = telemetry.Define(410, logrus.InfoLevel, "member changed",
		"A worker of the shard joined, drains, left or is taken for dead. If it is dead unexpectedly, look at its VM.")
)

const (
	// tickInterval is how often the state machine is polled.
	tickInterval = 100 * time.Millisecond
	// digestInterval is how often entries get a digest without a change.
	digestInterval = time.Second
	// observeInterval is how often a candidate reads the lease row.
	observeInterval = time.Second
	// ownerSilenceLimit is how long no acknowledgement of an owner makes every
	// worker of the shard a candidate; until then only the relay is one. It is
	// longer than the interval of heartbeats: at 2 s, workers became candidates
	// between two acknowledgements and tried takeovers on rows read long before.
	ownerSilenceLimit = 3 * time.Second
	// tableTimeout bounds one call to the table.
	tableTimeout = 2 * time.Second
	// commandTimeout bounds one call to a worker.
	commandTimeout = 3 * time.Second
)

// MembershipConfig returns the times of failure detection in use.
func MembershipConfig() membership.Config { return membership.DeployedConfig() }

// Options describe a host.
type Options struct {
	Shard types.ShardID
	// Lease is the table as used for leases and configurations newer than the held
	// one, Table for everything else.
	Lease platform.Table
	Table platform.Table
	// Report is the table as used for the deletion of old rows.
	Report platform.Table
	// OnOwnerAddress is called with the call address of the shard's owner when it
	// is read from the lease row.
	OnOwnerAddress func(address netip.AddrPort)
}

// Host runs in every worker process.
type Host struct {
	opts  Options
	node  *node.Node
	tel   *telemetry.Telemetry
	state *actors.Actor[*hostState]
	// role is read by the metrics.
	role atomic.Int32

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

// content is what a member serves, as of its last heartbeat.
type content struct {
	incarnation types.Incarnation
	address     netip.AddrPort
	senderClock time.Duration
	receivedAt  time.Duration
	tasksHash   uint64
	upstreams   []datagram.Upstream
}

// hostState is owned by one actor. Results of I/O are sent to it as functions.
type hostState struct {
	h       *Host
	rng     *rand.Rand
	members []types.VMID
	byHash  map[uint64]types.VMID
	entries []netip.AddrPort
	// entryRows remembers when the rows of entries last changed.
	entryRows map[string]seenRow

	observer      *lease.Observer
	nextObserveAt time.Duration
	ownerHeardAt  time.Duration
	leaseBusy     bool
	// lastTakeover is the epoch of the last takeover that was sent, and when it was
	// sent first.
	lastTakeover struct {
		epoch  types.Epoch
		sentAt time.Duration
	}
	// rereadLease is set after a takeover that failed.
	rereadLease bool

	term  *term
	relay *relay

	contents        map[types.VMID]*content
	nextDigestAt    time.Duration
	nextEntryScanAt time.Duration
}

// NewHost prepares a host. Start begins its work.
func NewHost(n *node.Node, o Options) (*Host, error) {
	h := &Host{opts: o, node: n, tel: n.Telemetry}
	s := &hostState{
		h:         h,
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		byHash:    make(map[uint64]types.VMID),
		contents:  make(map[types.VMID]*content),
		entryRows: make(map[string]seenRow),
		observer:  lease.NewObserver(lease.DefaultConfig(), o.Shard, types.VMID(n.Name), n.Incarnation),
	}
	s.ownerHeardAt = n.Clock()
	stateActor, err := actors.Spawn(n.Actors, "owner", s)
	if err != nil {
		return nil, err
	}
	h.state = stateActor
	service := wirepb.NewOwnerServiceServer(rpc{h})
	n.Mux.Handle(service.PathPrefix(), service)
	n.Telemetry.GaugeFunc("shard_role", "0 for a member, 1 for the owner, 2 for the relay.", nil,
		func() float64 { return float64(h.role.Load()) })
	return h, nil
}

// Start begins to watch the lease.
func (h *Host) Start(ctx context.Context) {
	h.ctx, h.stop = context.WithCancel(context.WithoutCancel(ctx))
	h.node.Config.Watch(func(c *config.Config) {
		h.state.Send(func(s *hostState) { s.configure(c) })
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
			// Waiting for the turn keeps ticks from piling up behind slow ones.
			if err := h.state.Do(func(s *hostState) { s.tick(h.node.Clock()) }); err != nil {
				return
			}
		case <-h.ctx.Done():
			return
		}
	}
}

// async runs f without holding up the state, then applies what it returns.
func (h *Host) async(timeout time.Duration, f func(ctx context.Context) func(*hostState)) {
	h.running.Add(1)
	go func() {
		defer h.running.Done()
		ctx, cancel := context.WithTimeout(h.ctx, timeout)
		defer cancel()
		h.state.Send(f(ctx))
	}()
}

// Shutdown gives the lease up, so that another worker takes over at once.
func (h *Host) Shutdown(ctx context.Context) {
	done := make(chan struct{})
	h.state.Send(func(s *hostState) { s.releaseLease(ctx, done) })
	select {
	case <-done:
	case <-ctx.Done():
	}
	h.stop()
	h.running.Wait()
	h.state.Stop()
}

// configure takes the VMs of the shard from the configuration.
func (s *hostState) configure(c *config.Config) {
	s.members = c.ShardVMs(s.h.opts.Shard)
	clear(s.byHash)
	vms := make([]types.VM, 0, len(s.members))
	for _, id := range s.members {
		s.byHash[datagram.NameHash(string(id))] = id
		vm, _ := c.VM(id)
		vms = append(vms, vm)
	}
	if s.term != nil {
		s.term.machine.SetVMs(vms)
		s.term.rows.nextScanAt = 0
		s.term.policy.SetTeams(c.Content().Teams)
	}
	if s.term != nil || s.relay != nil {
		s.notifyMembers()
	}
}

// tick does what is due.
func (s *hostState) tick(now time.Duration) {
	s.h.role.Store(s.roleNumber())
	s.tickLease(now)
	if s.term != nil {
		s.poll(now)
		s.tickRows(now)
		s.tickQuota(now)
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

// liveMembers returns the members that are thought to run, for the rank of candidates.
func (s *hostState) liveMembers() []types.VMID {
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
