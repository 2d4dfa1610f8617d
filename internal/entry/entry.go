// Package entry is the process between callers and workers. It serves callers'
// requests and the operators' API behind the platform's balancer.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/routing"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/runcall"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

var (
	eventReady = telemetry.Define(120, logrus.InfoLevel, "entry ready",
		"The entry serves callers and operators. No action.")
	eventStopping = telemetry.Define(121, logrus.InfoLevel, "entry stopping",
		"The readiness check fails; requests are still served until the balancer has moved callers away. No action.")
	eventStopped = telemetry.Define(122, logrus.InfoLevel, "entry stopped",
		"All requests in progress were answered. No action.")
)

// Options describe an entry.
type Options struct {
	// Callers and Operators are the listen addresses of the two APIs.
	Callers   string
	Operators string
	Claims    Claims
	Table     platform.Table
	// Config is the table as used to read configurations, which must be in effect
	// within seconds also after an outage.
	Config platform.Table
	// Membership holds the times of failure detection.
	Membership membership.Config
	// Token authenticates operators.
	Token []byte
	// MaxBody bounds the body of a caller's request in bytes.
	MaxBody int64
	// Queue bounds the requests of one service that wait for a slot; 0 takes
	// the router's default.
	Queue  int
	Limits httpserve.Limits
	// BalancerDelay is how long a stopping entry serves on after its readiness
	// check fails.
	BalancerDelay time.Duration
}

type metrics struct {
	requests tally.Counter
	outcomes map[apperr.Outcome]tally.Counter
	latency  tally.Timer
}

func (m *metrics) outcome(o apperr.Outcome) tally.Counter { return m.outcomes[o] }

func newMetrics(scope tally.Scope) metrics {
	m := metrics{
		requests: scope.Counter("requests"),
		outcomes: make(map[apperr.Outcome]tally.Counter),
		latency:  scope.Timer("request_latency"),
	}
	for _, o := range []apperr.Outcome{apperr.OutcomeDone, apperr.OutcomeNotRun, apperr.OutcomeUnknown, apperr.OutcomeNone} {
		m.outcomes[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("request_outcomes")
	}
	return m
}

// Entry is a running entry.
type Entry struct {
	opts      Options
	node      *node.Node
	tel       *telemetry.Telemetry
	router    *router
	directory *directory
	active    *attemptSet
	metrics   metrics
	nextShard atomic.Uint64

	callers   *httpserve.Server
	operators *httpserve.Server
	stopping  atomic.Bool
	// started is when the entry was made.
	started time.Duration
	running sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
}

// New prepares an entry on the node. Start begins its work.
func New(n *node.Node, o Options) (*Entry, error) {
	rules := routing.DefaultConfig(n.FailureDomain)
	if o.Queue > 0 {
		rules.QueueLimit = o.Queue
	}
	r, err := newRouter(n.Actors, n.Clock, rules)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		opts:    o,
		node:    n,
		tel:     n.Telemetry,
		router:  r,
		active:  newAttemptSet(),
		started: n.Clock(),
		metrics: newMetrics(n.Telemetry.Metrics),
	}
	e.directory, err = newDirectory(e, o.Membership)
	if err != nil {
		return nil, err
	}
	n.Config.Watch(e.directory.indexNames)
	n.SetState(func() *wirepb.StateResponse {
		return &wirepb.StateResponse{Draining: e.stopping.Load()}
	})
	e.ctx, e.stop = context.WithCancel(context.Background())
	return e, nil
}

// headerLimitFactor is how far over the limit a header may be for a typed error.
const headerLimitFactor = 2

// Start opens the APIs.
func (e *Entry) Start() error {
	limits := e.opts.Limits
	limits.HeaderBytes *= headerLimitFactor
	var err error
	e.callers, err = httpserve.Listen(e.opts.Callers, e.callersHandler(), limits)
	if err != nil {
		return err
	}
	e.operators, err = httpserve.Listen(e.opts.Operators, e.operatorsHandler(), e.opts.Limits)
	if err != nil {
		return err
	}
	e.background(func() { e.probeEjected(e.ctx) })
	e.background(func() { e.maintainPresence(e.ctx) })
	e.background(func() { e.directory.run(e.ctx) })
	e.background(func() { e.submitNightlyJobs(e.ctx) })
	e.tel.Log.Log(eventReady, nil, telemetry.Fields{"callers": e.callers.Addr().String()})
	return nil
}

func (e *Entry) background(f func()) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		f()
	}()
}

func (e *Entry) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/services/{service}/{path...}", e.serveCall)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("/", serveNotFound)
	return e.closeWhenStopping(e.limitHeaders(mux))
}

// closeWhenStopping asks callers of a stopping entry to connect again, which
// takes them to another one. Their connections are not cut.
func (e *Entry) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveReady fails while the entry takes no new work, so that the balancer
// moves callers away.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.node.Config.MayTakeNew() || !e.knowsWorkers() {
		apperr.WriteHTTP(w, apperr.New(apperr.KindUnavailable, "entry "+e.node.Name,
			"takes no new requests", "use another entry"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// knowsWorkers tells whether a fresh entry has heard of workers, without which it
// would refuse every request. An entry that hears of none for long serves all
// the same: its refusals then say what is wrong.
func (e *Entry) knowsWorkers() bool {
	return e.directory.membersReceived.Load() || e.node.Clock() >= e.started+maxMemberWait
}

// maxMemberWait covers the entry's row, the owners' next scan of the rows and
// the fetch of members.
const maxMemberWait = 10 * time.Second

// recordWorkerReport takes what a worker told about itself with a reply.
func (e *Entry) recordWorkerReport(t target, r runcall.Report) {
	if r.Incarnation != t.Incarnation {
		// The chosen incarnation is over. Its successor comes with a digest, which
		// takes seconds if the shard's owner is gone too.
		e.router.drainIncarnation(t.VM, t.Incarnation)
	}
	e.router.recordReport(t.VM, r.Incarnation, r.Clock, r.InFlight, r.Draining)
	e.node.Config.Heard(e.failureDomainOf(t.VM), r.ConfigVersion, 0, false)
}

func (e *Entry) failureDomainOf(vm types.VMID) types.FailureDomain {
	c := e.node.Config.Current()
	if c == nil {
		return ""
	}
	v, _ := c.VM(vm)
	return v.FailureDomain
}

// probeInterval is how often ejected workers are looked at.
const probeInterval = 500 * time.Millisecond

// probeEjected asks ejected workers whether they answer again.
func (e *Entry) probeEjected(ctx context.Context) {
	for sleep(ctx, probeInterval) == nil {
		for _, p := range e.router.dueProbes() {
			e.background(func() { e.router.recordProbe(p, e.probe(ctx, p)) })
		}
	}
}

func (e *Entry) probe(ctx context.Context, p routing.Probe) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	state, err := e.node.ConfigPeer(e.router.address(p.VM)).State(ctx, &wirepb.StateRequest{})
	return err == nil && state.GetIncarnation() == uint64(p.Incarnation) && !state.GetDraining()
}

// Shutdown stops gracefully: it fails the readiness check, serves on while the
// balancer moves callers away, then finishes the requests in progress.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.stopping.Store(true)
	e.tel.Log.Log(eventStopping, nil, nil)
	if err := sleep(ctx, e.opts.BalancerDelay); err != nil {
		return err
	}
	e.removeEntryRow(ctx)
	if err := e.callers.Shutdown(ctx); err != nil {
		return apperr.Wrap(err, apperr.KindTimeout, "entry "+e.node.Name, "requests in progress did not end in time",
			"allow more time to stop")
	}
	err := e.operators.Shutdown(ctx)
	e.stop()
	e.running.Wait()
	e.directory.state.Stop()
	e.router.owner.Stop()
	e.tel.Log.Log(eventStopped, nil, nil)
	return err
}
