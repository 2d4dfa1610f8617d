// Package worker is the process beside the upstreams of one VM. It takes the
// announcements of upstreams, admits requests and tasks, and drives the VM's
// task runtime.
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
		"All requests in progress ended. No action.")
	eventUpstreamJoined = telemetry.Define(710, logrus.InfoLevel, "upstream announced",
		"A new upstream on the VM takes requests. No action.")
	eventUpstreamGone = telemetry.Define(711, logrus.InfoLevel, "upstream gone",
		"An upstream left or stopped renewing its announcement. If it should run, look at its own log.")
)

// Options describe a worker.
type Options struct {
	// Local is the address for announcements, reachable from this VM only.
	Local   string
	Runtime platform.Runtime
	Objects platform.Objects
	// MaxResponse bounds the response of an upstream in bytes.
	MaxResponse int64
	// DrainDelay is how long a stopping worker waits after it has told that it
	// leaves, so that requests under way still arrive.
	DrainDelay time.Duration
	// Membership holds the times of heartbeats.
	Membership membership.Config
}

// upstreamInfo is where an announced upstream is reached.
type upstreamInfo struct {
	url     string
	service types.ServiceName
}

// state is owned by one actor.
type state struct {
	requests  *admission.Requests
	tasks     *admission.Tasks
	gate      *shard.Gate
	upstreams map[admission.UpstreamID]upstreamInfo
}

type metrics struct {
	done, refused, upstreamDown tally.Counter
}

// Worker is a running worker.
type Worker struct {
	opts Options
	node *node.Node
	tel  *telemetry.Telemetry

	state          *actors.Owner[*state]
	shard          types.ShardID
	upstreamClient *http.Client
	local          *httpserve.Server
	metrics        metrics
	tasks          *driver
	beater         *beater

	inFlight atomic.Int64
	draining atomic.Bool
	leaving  atomic.Bool
	// changed is signalled when heartbeats should go out at once.
	changed chan struct{}
	stop    context.CancelFunc
	running sync.WaitGroup
}

// New prepares a worker on the node. Start begins its work.
func New(n *node.Node, o Options) *Worker {
	w := &Worker{
		opts:    o,
		node:    n,
		tel:     n.Telemetry,
		changed: make(chan struct{}, 1),
		upstreamClient: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
				MaxIdleConnsPerHost: 64,
				// Shorter than the keep-alive of common servers: a request on a
				// connection that the server closes at that moment has an unknown outcome.
				IdleConnTimeout:    2 * time.Second,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		metrics: metrics{
			done:         n.Telemetry.Metrics.Counter("requests_done"),
			refused:      n.Telemetry.Metrics.Counter("requests_refused"),
			upstreamDown: n.Telemetry.Metrics.Counter("requests_upstream_unreachable"),
		},
	}
	w.tasks = newDriver(w)
	w.beater = newBeater(w, o.Membership)
	n.Mux.HandleFunc("POST "+runcall.PathPrefix+"{service}", w.serveRun)
	service := wirepb.NewWorkerServiceServer(rpc{w})
	n.Mux.Handle(service.PathPrefix(), service)
	n.SetState(func() *wirepb.StateResponse {
		return &wirepb.StateResponse{Draining: w.draining.Load()}
	})
	return w
}

// Start begins work once the node holds a configuration that knows the VM.
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
	if err := w.tasks.adopt(ctx); err != nil {
		return err
	}
	w.local, err = httpserve.Listen(w.opts.Local, w.localHandler(), httpserve.DefaultLimits())
	if err != nil {
		return err
	}
	ctx, w.stop = context.WithCancel(context.WithoutCancel(ctx))
	w.background(func() { w.expireUpstreams(ctx) })
	w.background(func() { w.tasks.run(ctx) })
	w.background(func() { w.beater.run(ctx) })
	w.tel.Log.Log(eventReady, nil, telemetry.Fields{"address": w.node.Address().String()})
	return nil
}

// shardConfig returns the times of the shard protocol under the operators' rules.
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

// signalChange makes a heartbeat go out at once.
func (w *Worker) signalChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Drain refuses new requests and tasks from now on.
func (w *Worker) Drain() {
	if w.draining.Swap(true) {
		return
	}
	w.tel.Log.Log(eventDraining, nil, nil)
	w.state.Enqueue(func(s *state) {
		s.requests.Drain()
		s.tasks.Drain()
	})
	w.signalChange()
}

// Shutdown drains, waits for the requests in progress and stops. The tasks stay
// in the runtime for the next worker process on the VM.
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
	w.beater.send(true)
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
