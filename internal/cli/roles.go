package cli

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/entry"
	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/owner"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/settings"
	"github.com/boragecrank/boragecrank/internal/store"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/traffic"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
	"github.com/boragecrank/boragecrank/internal/worker"
)

var (
	eventWaiting = telemetry.Define(130, logrus.InfoLevel, "waiting for a configuration that names this VM",
		"The worker has no configuration yet, or its VM is not in the inventory. Apply an inventory with the VM, or correct the name in the settings.")
	eventStopFailed = telemetry.Define(131, logrus.ErrorLevel, "shutdown was not graceful",
		"Requests in progress did not end within the time limits of the settings. Raise drain.timeout.")
)

// configRetryInterval is the time between attempts to fetch a configuration that
// names the VM.
const configRetryInterval = 500 * time.Millisecond

// roleCommands returns the commands of the long-running roles.
func roleCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name:     "entry",
			Category: "Roles",
			Usage:    "serve callers and operators",
			Flags:    []cli.Flag{settingsFlag()},
			Action: func(ctx context.Context, c *cli.Command) error {
				return runRole(ctx, c.String("settings"), settings.RoleEntry, runEntry)
			},
		},
		{
			Name:     "worker",
			Category: "Roles",
			Usage:    "serve the upstreams and tasks of this VM",
			Flags:    []cli.Flag{settingsFlag()},
			Action: func(ctx context.Context, c *cli.Command) error {
				return runRole(ctx, c.String("settings"), settings.RoleWorker, runWorker)
			},
		},
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "TOML file with the settings of the process", Required: true}
}

// process holds the parts that both roles share.
type process struct {
	settings *settings.Settings
	node     *node.Node
	store    *store.Store
}

// runRole loads the settings, builds the parts that both roles share and runs
// the role until the context ends.
func runRole(ctx context.Context, path string, role settings.Role, run func(context.Context, *process) error) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	if s.Role != role {
		return apperr.New(apperr.KindInvalid, "settings "+path, "are for the role "+string(s.Role),
			"start `boragecrank "+string(s.Role)+"` or change the key role")
	}
	setGCPercent()
	tel, err := telemetry.Setup(telemetry.Options{
		Process: string(s.ID), Role: string(s.Role),
		LogLevel: s.Log.Level, LogFormat: s.Log.Format,
		TraceExporter: s.Trace.Exporter, TraceFile: s.Trace.Path, TraceSample: s.Trace.Sample,
	})
	if err != nil {
		return apperr.Wrap(err, apperr.KindInvalid, "settings "+path, "telemetry cannot be set up", "correct the tables log and trace")
	}
	n, err := node.New(node.Options{
		Name: string(s.ID), Role: string(s.Role), Region: s.Region, FailureDomain: s.FailureDomain,
		Internal: s.Listen.Internal.String(), Key: []byte(s.Credentials.SharedKey.Value()),
		Peers: addresses(s.Peers), Telemetry: tel, Guard: httpserve.NewGuard(s.Limits.MemoryBytes, 0, tel),
	})
	if err != nil {
		return err
	}
	limits, attemptTimeout := store.OwnerLimits(), store.DefaultAttemptTimeout
	if role == settings.RoleEntry {
		limits, attemptTimeout = store.EntryLimits(), store.EntryAttemptTimeout
	}
	table := platform.NewHTTPTable(s.Platform.Table, platformClient(&n.Traffic.Table))
	p := &process{settings: s, node: n, store: store.New(table, store.Options{
		Name: string(s.ID), Incarnation: n.Incarnation, Limits: limits, AttemptTimeout: attemptTimeout, Scope: tel.Metrics, Logger: tel.Log,
	})}
	if err := run(ctx, p); err != nil {
		return err
	}
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer cancel()
	return tel.Close(closeCtx)
}

// gcPercent is the heap growth in percent that triggers a garbage collection. At
// 24 task starts per second, 25 instead of Go's default of 100 lowers the memory
// of the owner of a full shard from 35.8 MB to 31.1 MB, for twice the processor
// time (docs/CAPACITY.md). debug.SetMemoryLimit is not used because it would
// collect continuously while large bodies are in progress.
const gcPercent = 25

// setGCPercent sets the garbage collection target unless the environment
// variable GOGC is set.
func setGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// platformClient returns an HTTP client whose traffic is counted by counter.
func platformClient(counter *traffic.Counter) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: counter.Dialer((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: 16, IdleConnTimeout: 60 * time.Second}}
}

func addresses(list []netip.AddrPort) []string {
	out := make([]string, len(list))
	for i, a := range list {
		out[i] = a.String()
	}
	return out
}

func runEntry(ctx context.Context, p *process) error {
	s := p.settings
	limits := httpserve.DefaultLimits()
	limits.HeaderBytes, limits.Connections = int(s.Limits.HeaderBytes), s.Limits.Connections
	e, err := entry.New(p.node, entry.Options{
		Callers:       s.Listen.Callers.String(),
		Operators:     s.Listen.API.String(),
		Claims:        entry.TableClaims{Table: p.store.View(store.Claim)},
		Table:         p.store.View(store.Placement),
		Config:        p.store.View(store.Lease),
		Membership:    owner.MembershipConfig(),
		Token:         []byte(s.Credentials.OperatorsToken.Value()),
		MaxBody:       s.Limits.BodyBytes,
		Queue:         s.Limits.Queue,
		Limits:        limits,
		BalancerDelay: s.Drain.Delay,
	})
	if err != nil {
		return err
	}
	if err := p.node.Serve(e.HandleDatagram); err != nil {
		return err
	}
	p.fetchFromPeers(ctx)
	if err := e.Start(); err != nil {
		return err
	}
	go p.node.KeepConfirmed(ctx)
	<-ctx.Done()
	return p.stop(ctx, s.Drain.Delay+s.Drain.Timeout, e.Shutdown)
}

func runWorker(ctx context.Context, p *process) error {
	s := p.settings
	vm, err := p.waitForVM(ctx, s.ID)
	if err != nil {
		return err
	}
	w := worker.New(p.node, worker.Options{
		Local:       s.Listen.Announcements.String(),
		Runtime:     platform.NewHTTPRuntime(s.Platform.Runtime, s.ID, platformClient(&p.node.Traffic.Runtime)),
		Objects:     platform.NewHTTPObjects(s.Platform.Objects, platformClient(&p.node.Traffic.Table)),
		MaxResponse: s.Limits.ResponseBytes,
		DrainDelay:  s.Drain.Delay,
		Membership:  owner.MembershipConfig(),
	})
	host, err := owner.NewHost(p.node, owner.Options{
		Shard:          vm.Shard,
		Lease:          p.store.View(store.Lease),
		Table:          p.store.View(store.Placement),
		Report:         p.store.View(store.Report),
		OnOwnerAddress: w.SetOwner,
	})
	if err != nil {
		return err
	}
	if err := w.Start(ctx, vm); err != nil {
		return err
	}
	if err := p.node.Serve(workerDatagrams(p.node, w, host)); err != nil {
		return err
	}
	host.Start(ctx)
	go p.node.KeepConfirmed(ctx)
	select {
	case <-ctx.Done():
	case <-w.Superseded():
		// Another process has replaced this worker.
	}
	return p.stop(ctx, s.Drain.Delay+s.Drain.Timeout, func(ctx context.Context) error {
		host.Shutdown(ctx)
		return w.Shutdown(ctx)
	})
}

// workerDatagrams returns a handler that dispatches datagrams to the worker and
// to the host of its shard's owner.
func workerDatagrams(n *node.Node, w *worker.Worker, host *owner.Host) func(datagram.Message, netip.AddrPort) {
	return func(m datagram.Message, from netip.AddrPort) {
		n.RecordPeer(m.Head(), from)
		switch m := m.(type) {
		case *datagram.Heartbeat:
			host.Heartbeat(m, from)
		case *datagram.HeartbeatAck:
			w.Ack(m, from)
			host.HandleAck(m)
		}
	}
}

// waitForVM fetches the configuration from peers or the table until it names the
// VM.
func (p *process) waitForVM(ctx context.Context, id types.VMID) (types.VM, error) {
	for attempt := 0; ; attempt++ {
		p.fetchFromPeers(ctx)
		if p.node.Config.Current() == nil {
			p.loadFromTable(ctx)
		}
		if c := p.node.Config.Current(); c != nil {
			if vm, ok := c.VM(id); ok {
				return vm, nil
			}
			// The peers' configuration may be older than the table's.
			p.loadFromTable(ctx)
		}
		// Log once in 20 attempts, which are at least 10 s.
		if attempt%20 == 0 {
			p.node.Telemetry.Log.Log(eventWaiting, nil, telemetry.Fields{"vm": string(id)})
		}
		select {
		case <-time.After(configRetryInterval):
		case <-ctx.Done():
			// There is no remedy, because the process was asked to stop.
			return types.VM{}, apperr.Wrap(ctx.Err(), apperr.KindUnavailable, "VM "+string(id), "the worker stopped before it had a configuration", "")
		}
	}
}

// fetchFromPeers fetches the configuration from the first peer that responds.
func (p *process) fetchFromPeers(ctx context.Context) {
	for _, peer := range p.node.Peers {
		if p.node.FetchFrom(ctx, peer) == nil {
			return
		}
	}
}

func (p *process) loadFromTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	// The caller retries after an error.
	_ = p.node.Config.Load(ctx, p.store.View(store.Lease))
}

// stop shuts a role down gracefully. The shutdown of the role and the node is
// bounded by timeout plus 5 s.
func (p *process) stop(ctx context.Context, timeout time.Duration, shutdown func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout+5*time.Second)
	defer cancel()
	err := shutdown(ctx)
	if err != nil {
		p.node.Telemetry.Log.Log(eventStopFailed, err, nil)
	}
	if nodeErr := p.node.Shutdown(ctx); err == nil {
		err = nodeErr
	}
	return err
}
