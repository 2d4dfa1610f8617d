// Package worker implements the process that runs beside the upstreams of one
// VM. It receives the announcements of upstreams, admits requests and tasks, and
// controls the task runtime of the VM.
package worker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/runcall"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

var (
	eventReady = telemetry.Define(110, logrus.InfoLevel, "worker ready",
		"The worker holds a configuration and takes announcements, requests and tasks. No action.")
	eventDraining = telemetry.Define(111, logrus.InfoLevel, "worker draining",
		"The worker refuses new requests and tasks and finishes those in progress. No action.")
	eventStopped = telemetry.Define(112, logrus.InfoLevel, "worker stopped",
		"All requests in progress have ended. No action.")
	eventUpstreamJoined = telemetry.Define(710, logrus.InfoLevel, "upstream announced",
		"A new upstream on the VM takes requests. No action.")
	eventUpstreamGone = telemetry.Define(711, logrus.InfoLevel, "upstream gone",
		"An upstream left or stopped renewing its announcement. If it should run, check its own log.")
)

// Options describe a worker.
type Options struct {
	// Local is the listen address for announcements, reachable from this VM only.
	Local   string
	Runtime platform.Runtime
	// Objects is the object store. This package does not use it.
	Objects platform.Objects
	// MaxResponse bounds the response of an upstream in bytes.
	MaxResponse int64
	// DrainDelay is how long a stopping worker waits after it has announced that
	// it drains, so that requests already sent to it still arrive.
	DrainDelay time.Duration
	// Membership configures the times of heartbeats.
	Membership membership.Config
}

// upstreamInfo holds the base URL and the service of an announced upstream.
type upstreamInfo struct {
	url     string
	service types.ServiceName
}

// state is the worker's state. Only its actor accesses it.
type state struct {
	requests *admission.Requests
	tasks    *admission.Tasks
	// gate decides which commands and attempts this worker may execute.
	gate      *shard.Gate
	upstreams map[admission.UpstreamID]upstreamInfo
}

type metrics struct {
	done, refused, upstreamUnreachable tally.Counter
}

// Worker is a running worker.
type Worker struct {
	opts Options
	node *node.Node
	tel  *telemetry.Telemetry

	state           *actors.Owner[*state]
	shard           types.ShardID
	upstreamClient  *http.Client
	local           *httpserve.Server
	metrics         metrics
	tasks           *taskDriver
	heartbeatSender *heartbeatSender

	inFlight atomic.Int64
	draining atomic.Bool
	leaving  atomic.Bool
	// heartbeatDue receives a value when heartbeats are to be sent immediately.
	heartbeatDue chan struct{}
	stop         context.CancelFunc
	running      sync.WaitGroup
}

// New returns a worker on the node that has not started yet; Start starts it.
func New(n *node.Node, o Options) *Worker {
	w := &Worker{
		opts:         o,
		node:         n,
		tel:          n.Telemetry,
		heartbeatDue: make(chan struct{}, 1),
		upstreamClient: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
				MaxIdleConnsPerHost: 64,
				// The timeout is shorter than the keep-alive of common servers.
				// A request on a connection that the server is closing has an
				// unknown outcome.
				IdleConnTimeout:    2 * time.Second,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		metrics: metrics{
			done:                n.Telemetry.Metrics.Counter("requests_done"),
			refused:             n.Telemetry.Metrics.Counter("requests_refused"),
			upstreamUnreachable: n.Telemetry.Metrics.Counter("requests_upstream_unreachable"),
		},
	}
	w.tasks = newTaskDriver(w)
	w.heartbeatSender = newHeartbeatSender(w, o.Membership)
	n.Mux.HandleFunc("POST "+runcall.PathPrefix+"{service}", w.serveRun)
	service := wirepb.NewWorkerServiceServer(workerService{w})
	n.Mux.Handle(service.PathPrefix(), service)
	n.SetState(func() *wirepb.StateResponse {
		return &wirepb.StateResponse{Draining: w.draining.Load()}
	})
	return w
}

// announcementShare is the share of the process's connections for announcements; 162
// with the default memory.
const announcementShare = 0.125

// Start starts the worker. The node must hold a configuration that contains the
// VM.
func (w *Worker) Start(ctx context.Context, vm types.VM) error {
	limits := admission.DefaultLimits(vm)
	s := &state{
		requests:  admission.NewRequests(w.node.Incarnation, limits),
		tasks:     admission.NewTasks(w.node.Incarnation, vm.Capacity, limits.MaxValidityAhead),
		gate:      shard.NewGate(w.shardConfig(), vm.ID, w.node.Incarnation),
		upstreams: make(map[admission.UpstreamID]upstreamInfo),
	}
	w.shard = vm.Shard
	owner, err := actors.Spawn(w.node.Actors, "worker", s)
	if err != nil {
		return err
	}
	w.state = owner
	w.node.Config.Watch(func(c *config.Config) {
		owner.Enqueue(func(s *state) { s.requests.RequireConfig(c.Version()) })
	})
	if err := w.tasks.adoptRunning(ctx); err != nil {
		return err
	}
	local := httpserve.DefaultLimits()
	local.Guard, local.Name, local.Share = w.node.Guard, "announcements", announcementShare
	local.BodyBytes, local.HandleFactor, local.Refuse = maxAnnouncementBytes, 1, httpserve.RefuseCall
	w.local, err = httpserve.Listen(w.opts.Local, w.localHandler(), local)
	if err != nil {
		return err
	}
	ctx, w.stop = context.WithCancel(context.WithoutCancel(ctx))
	w.background(func() { w.expireUpstreams(ctx) })
	w.background(func() { w.tasks.run(ctx) })
	w.background(func() { w.heartbeatSender.run(ctx) })
	w.tel.Log.Log(eventReady, nil, telemetry.Fields{"address": w.node.Address().String()})
	return nil
}

// shardConfig returns the configuration of the shard protocol with the run right
// that the operators' rules set.
func (w *Worker) shardConfig() shard.Config {
	cfg := shard.DefaultConfig()
	if right := w.node.Config.Current().Rules().BatchRunRight; right > 0 {
		cfg.RunRight = right
	}
	return cfg
}

func (w *Worker) background(f func()) {
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		f()
	}()
}

// triggerHeartbeat makes the worker send heartbeats immediately.
func (w *Worker) triggerHeartbeat() {
	select {
	case w.heartbeatDue <- struct{}{}:
	default:
	}
}

// Drain makes the worker refuse new requests and tasks from now on.
func (w *Worker) Drain() {
	if w.draining.Swap(true) {
		return
	}
	w.tel.Log.Log(eventDraining, nil, nil)
	w.state.Enqueue(func(s *state) {
		s.requests.Drain()
		s.tasks.Drain()
	})
	w.triggerHeartbeat()
}

// Shutdown drains the worker, waits for the requests in progress and stops.
// Tasks remain in the runtime for the next worker process on the VM.
func (w *Worker) Shutdown(ctx context.Context) error {
	w.Drain()
	if err := wait(ctx, w.opts.DrainDelay); err != nil {
		return err
	}
	for w.inFlight.Load() > 0 {
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return apperr.Wrap(err, apperr.KindTimeout, "worker "+w.node.Name, "requests in progress did not end in time",
				"allow more time to stop")
		}
	}
	w.leaving.Store(true)
	w.heartbeatSender.send(true)
	w.stop()
	w.running.Wait()
	err := w.local.Shutdown(ctx)
	w.upstreamClient.CloseIdleConnections()
	w.state.Stop()
	w.tel.Log.Log(eventStopped, nil, nil)
	return err
}

// wait returns after d, or with the context's error.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
