// Package entry implements the process between callers and workers. It serves
// callers' requests and the operators' API behind the platform's load balancer.
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
	"github.com/boragecrank/boragecrank/internal/core/config"
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
		"The readiness check fails. Requests are still served until the load balancer has moved callers to other entries. No action.")
	eventStopped = telemetry.Define(122, logrus.InfoLevel, "entry stopped",
		"All requests in progress have been answered. No action.")
)

// Options describe an entry.
type Options struct {
	// Callers and Operators are the listen addresses of the two APIs.
	Callers   string
	Operators string
	Claims    Claims
	Table     platform.Table
	// Config is the table client for reading configurations. Its calls should
	// have the class store.Lease, because a change must take effect within
	// seconds, even after an outage.
	Config platform.Table
	// Membership configures failure detection.
	Membership membership.Config
	// Token authenticates operators.
	Token []byte
	// MaxBody bounds the body of a caller's request in bytes.
	MaxBody int64
	// Queue bounds the requests of one service that wait for a slot; 0 means the
	// router's default.
	Queue  int
	Limits httpserve.Limits
	// BalancerDelay is how long a stopping entry continues to serve after its
	// readiness check starts to fail.
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
	// started is the time at which New created the entry.
	started time.Duration
	running sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
}

// New returns an entry on the node that has not started yet; Start starts it.
func New(n *node.Node, o Options) (*Entry, error) {
	routingConfig := routing.DefaultConfig(n.FailureDomain)
	if o.Queue > 0 {
		routingConfig.QueueLimit = o.Queue
	}
	r, err := newRouter(n.Actors, n.Clock, routingConfig)
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
	n.Config.Watch(func(*config.Config) { e.router.setEvacuated(n.Config.Current) })
	n.SetState(func() *wirepb.StateResponse {
		return &wirepb.StateResponse{Draining: e.stopping.Load()}
	})
	e.ctx, e.stop = context.WithCancel(context.Background())
	return e, nil
}

// headerLimitFactor is the ratio of the server's header limit to the configured
// limit. Headers between the two limits are refused with a typed error.
const headerLimitFactor = 2

const (
	// callHandleFactor covers the copy of a body that is sent to a worker.
	callHandleFactor = 1
	// operatorShare is the share of the process's connections for operators; 162 with
	// the default memory.
	operatorShare = 0.125
	// operatorHandleFactor covers the decoded configuration.
	operatorHandleFactor = 4
)

// Start opens the listeners of both APIs and starts the background work.
func (e *Entry) Start() error {
	limits := e.opts.Limits
	limits.HeaderBytes *= headerLimitFactor
	operatorLimits := e.opts.Limits
	limits.Guard, limits.Name, limits.Share = e.node.Guard, "callers", 1
	limits.BodyBytes, limits.HandleFactor, limits.Refuse = e.opts.MaxBody, callHandleFactor, httpserve.RefuseRequest
	operatorLimits.Guard, operatorLimits.Name, operatorLimits.Share = e.node.Guard, "operators", operatorShare
	operatorLimits.BodyBytes, operatorLimits.HandleFactor, operatorLimits.Refuse = maxOperatorBodyBytes, operatorHandleFactor, httpserve.RefuseCall
	var err error
	e.callers, err = httpserve.Listen(e.opts.Callers, e.callersHandler(), limits)
	if err != nil {
		return err
	}
	e.operators, err = httpserve.Listen(e.opts.Operators, e.operatorsHandler(), operatorLimits)
	if err != nil {
		return err
	}
	e.background(func() { e.probeEjected(e.ctx) })
	e.background(func() { e.maintainRegistrationAndConfig(e.ctx) })
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

// closeWhenStopping makes callers of a stopping entry reconnect, so that the
// load balancer routes them to another entry. Open connections are not cut.
func (e *Entry) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveReady answers with an error while the entry takes no new work, so that
// the load balancer moves callers to other entries.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.node.Config.MayTakeNew() || !e.membersReadyOrOverdue() {
		apperr.WriteHTTP(w, apperr.New(apperr.KindUnavailable, "entry "+e.node.Name,
			"takes no new requests", "use another entry"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// membersReadyOrOverdue reports whether the entry has received members, or has
// waited maxMemberWait for them. Without members it refuses every request. After
// the wait it serves nevertheless, because its refusals state the cause.
func (e *Entry) membersReadyOrOverdue() bool {
	return e.directory.membersReceived.Load() || e.node.Clock() >= e.started+maxMemberWait
}

// maxMemberWait covers the write of the entry's row, the owners' next scan of
// these rows and the fetch of members.
const maxMemberWait = 10 * time.Second

// recordWorkerReport updates the router and the configuration syncer from the
// report that a worker sends with each reply.
func (e *Entry) recordWorkerReport(t target, r runcall.Report) {
	if r.Incarnation != t.Incarnation {
		// The chosen incarnation has ended. The new one becomes known by a
		// digest, which takes seconds if the shard's owner has failed too.
		e.router.drainIncarnation(t.VM, t.Incarnation)
	}
	e.router.recordReport(t.VM, r.Incarnation, r.Clock, r.InFlight, r.Draining)
	e.node.Config.RecordPeer(e.failureDomainOf(t.VM), r.ConfigVersion, 0, false)
}

func (e *Entry) failureDomainOf(vm types.VMID) types.FailureDomain {
	c := e.node.Config.Current()
	if c == nil {
		return ""
	}
	v, _ := c.VM(vm)
	return v.FailureDomain
}

// probeInterval is how often the router is asked for ejected workers to probe.
const probeInterval = 500 * time.Millisecond

// probeEjected probes ejected workers and reports the results to the router.
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

// Shutdown stops the entry gracefully: it fails the readiness check, continues
// to serve for Options.BalancerDelay while the load balancer moves callers to
// other entries, then finishes the requests in progress.
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
	e.router.stateActor.Stop()
	e.tel.Log.Log(eventStopped, nil, nil)
	return err
}
