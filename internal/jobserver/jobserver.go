// Package jobserver assembles the processes that run jobs on the users' platform: the
// entry, which serves callers and may own all jobs, and the agent beside each upstream
// worker.
package jobserver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/agent"
	"github.com/boragecrank/boragecrank/internal/agentapi"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/entryapi"
	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/internal/jobs"
	coreplatform "github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/platform"
)

const (
	// workerLease is the length of a worker's lease, on the worker's clock. It
	// covers a takeover and a short outage of the table.
	workerLease = 6 * time.Second
	// stateRetentionMargin is added to the time for which states must stay
	// readable.
	stateRetentionMargin = time.Minute
	// maxTableSilence is how long an entry may get no answer from the table before
	// it reports that it is not ready, so that it gets no new connections.
	maxTableSilence = 2500 * time.Millisecond
	// readinessDelay is how long the platform may take to notice that an entry is
	// not ready: two readiness checks, at one per second.
	readinessDelay = 2200 * time.Millisecond
	// stopMargin is subtracted from the platform's grace period when an entry stops.
	// It is also the timeout of the shutdown of an agent's servers.
	stopMargin = time.Second
	// shutdownReserve is the part of the grace period, before stopMargin, in which an
	// entry no longer waits for a handover before it closes its listeners: requests
	// that were read are answered in it.
	shutdownReserve = time.Second
	// maxAgentConnections is the number of idle connections kept to each agent: one
	// for the long poll, the others for orders.
	maxAgentConnections = 3
	agentDialTimeout    = 500 * time.Millisecond
	agentIdleTimeout    = 20 * time.Second
)

var (
	eventStarted = telemetry.Define(140, logrus.InfoLevel, "role started",
		"The process listens on its addresses. Fields: name, failure_domain. No action.")
	eventStopping = telemetry.Define(141, logrus.InfoLevel, "role stopping",
		"The process was asked to stop. It answers the requests that it has read, then exits. No action.")
	eventReadiness = telemetry.Define(144, logrus.InfoLevel, "readiness changed",
		"An entry that is not ready gets no new connections. Fields: ready, why.")
	eventConfigInEffect = telemetry.Define(240, logrus.InfoLevel, "configuration in effect",
		"The entry uses this version from now on. Fields: version, before, queues. No action.")
	eventConfigUnreadable = telemetry.Define(241, logrus.ErrorLevel, "configuration not used",
		"The operator's row is not readable. The previous version stays in effect. Correct the row.")
	eventLimitsUnreadable = telemetry.Define(242, logrus.ErrorLevel, "limits of the configuration not used",
		"The rest of the configuration is in effect, and the defaults apply for the limits that the error names. Correct the row. Fields: revision, version.")
)

// Options configure RunEntry and RunAgent.
type Options struct {
	// OverloadControl makes an owner plan filling work and publish a forecast, by which
	// entries reject submissions, see internal/core/overload.
	OverloadControl bool
	// Headroom makes standing tasks leave room for short work, without the rest of
	// OverloadControl.
	Headroom bool
	// PassSubmissions makes an entry forward submissions that the store does not serve to
	// other entries, and accept theirs.
	PassSubmissions bool
	// QuietHandover makes an owner with few cores hand over to a larger entry in a quiet
	// period, see internal/core/handover.
	QuietHandover bool
	// Copies makes an owner start second runs of stragglers, see docs/design/stragglers.md.
	Copies    bool
	Settings  *platform.Settings
	Store     *platform.Store
	Telemetry *telemetry.Telemetry
	// Guard protects the process from untrusted clients; nil means one with the
	// limits of the settings.
	Guard *httpserve.Guard
}

// withGuard returns the options with a guard.
func (o Options) withGuard() Options {
	if o.Guard == nil {
		o.Guard = httpserve.NewGuard(o.Settings.MemoryBytes, o.Settings.OpenFiles, o.Telemetry)
	}
	return o
}

func newIncarnation() types.Incarnation {
	return types.Incarnation(rand.Uint64() | 1) //nolint:gosec // an identity, not a secret
}

func (o Options) logStarted() {
	o.Telemetry.Log.Log(eventStarted, nil, telemetry.Fields{"name": o.Settings.Name, "failure_domain": o.Settings.FailureDomain})
}

// entry holds what the handlers and followers of RunEntry share.
type entry struct {
	Options
	intake    *jobs.Intake
	candidate *jobs.Candidate
	// applying is held while a configuration is put into effect.
	applying sync.Mutex
	config   atomic.Pointer[jobs.Configuration]
	// evacuations holds the failure domains that the operator evacuates.
	evacuations evacuations
	limits      atomic.Pointer[httpserve.OperatorLimits]
	stopping    atomic.Bool
	ready       atomic.Bool
}

// RunEntry serves callers, and takes part in the ownership of jobs, until the context
// ends. It returns when the requests that were read have been answered. It returns an
// error if an address cannot be listened on, or if the servers do not shut down
// without an error before the grace period ends.
func RunEntry(ctx context.Context, o Options) error {
	o = o.withGuard()
	e := &entry{Options: o}
	s := o.Settings
	var advisor jobs.Advisor
	if s.Advice != "" {
		advisor = platform.NewAdvisor(s.Advice)
	}
	table := jobs.NewWatchedTable(o.Store, o.Telemetry)
	vm, incarnation := types.VMID(s.Address), newIncarnation()
	registry := jobs.NewEntryRegistry(table, table, jobs.EntryRegistration{VM: vm, Address: s.InternalAddress(), Incarnation: incarnation, Cores: s.CPUCores},
		func() bool { return e.candidate.Owns() }, o.Telemetry.Log)
	peers := entryapi.NewClient()
	e.candidate = jobs.NewCandidate(jobs.CandidateOptions{
		VM: vm, Cores: s.CPUCores, Incarnation: incarnation, Table: table, Takeovers: o.Store, Limits: o.Store.Limits(), Changes: table, Agents: agentClient(),
		Timing:      jobs.Timing{LeaseDuration: min(workerLease, s.MaxLease), WorkerMaxLease: s.MaxLease, StateRetention: s.StateRetention + stateRetentionMargin, EvacuationBound: s.EvacuationBound},
		StopTimeout: s.GracePeriod - stopMargin, OverloadControl: o.OverloadControl, Headroom: o.Headroom, Copies: o.Copies, QuietHandover: o.QuietHandover, Advisor: advisor, Telemetry: o.Telemetry, System: actors.NewSystem(), Queues: e.queues,
		Evacuated: e.evacuations.domains, ReadOperatorRows: e.readOperatorRows,
		Peers: registry.Peers, PeerClient: peers,
	})
	e.intake = jobs.NewIntake(table, o.Store.Limits(), o.Telemetry.Log, e.candidate.NotifyCancelled)
	forecast := e.useForecast()
	if o.PassSubmissions {
		e.intake.ForwardTo(jobs.NewForwarder(registry.Peers, peers, uint64(incarnation), o.Telemetry))
	}
	callers, err := httpserve.Listen(s.CallerAPI, &platform.CallerAPI{
		Intake: e.intake, Config: e.config.Load, Log: o.Telemetry.Log, Tracer: o.Telemetry.Tracer,
	}, e.callerLimits())
	if err != nil {
		return err
	}
	ready, err := httpserve.Listen(s.Ready, http.HandlerFunc(e.serveReady), e.readyLimits())
	if err != nil {
		return err
	}
	internal, err := httpserve.Listen(s.InternalAddress(), entryapi.NewHandler(entryCalls{e.candidate, e}, o.Telemetry.Log), e.entryCallLimits())
	if err != nil {
		return err
	}
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		registry.Run(ctx)
	}()
	followers, stopFollowers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowers()
	go e.operatorRowsFollower().Run(followers)
	go e.intake.StateFollower(table).Run(followers)
	if forecast != nil {
		go forecast.Follower(table).Run(followers)
	}
	candidateDone := make(chan struct{})
	go func() {
		defer close(candidateDone)
		e.candidate.Run(ctx)
	}()
	o.logStarted()
	<-ctx.Done()
	err = e.stop(callers, ready, candidateDone)
	<-registered // within tableTimeout of package jobs, which has passed
	return errors.Join(err, internal.Close())
}

// stop stops an entry: it reports that it is not ready, hands over the ownership, waits
// until the platform sends no new connections, and answers the requests that were
// read. Callers are served during the handover.
func (e *entry) stop(callers, ready *httpserve.Server, candidateDone <-chan struct{}) error {
	begin := time.Now()
	e.Telemetry.Log.Log(eventStopping, nil, nil)
	e.stopping.Store(true)
	callers.DisableKeepAlives()
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(max(e.Settings.GracePeriod-stopMargin, readinessDelay)))
	defer cancel()
	select {
	case <-candidateDone:
	case <-time.After(e.Settings.GracePeriod - stopMargin - shutdownReserve):
	}
	time.Sleep(max(0, readinessDelay-time.Since(begin)))
	err := errors.Join(callers.Shutdown(ctx), ready.Shutdown(ctx))
	<-candidateDone
	return err
}

// useForecast makes the intake use the owner's forecast, with overload control only. It
// returns the reader of the forecast, or nil.
func (e *entry) useForecast() *jobs.ForecastReader {
	if !e.OverloadControl {
		return nil
	}
	reader := jobs.NewForecastReader(e.Telemetry)
	e.intake.UseForecast(reader)
	return reader
}

func (e *entry) queues() (map[string]workflow.Queue, bool) {
	c := e.config.Load()
	if c == nil {
		return nil, false
	}
	return c.Queues, true
}

// applyConfigRows puts the configuration of the rows into force if it is newer, with its
// limits. The follower of the operator's rows and a new owner call it concurrently.
func (e *entry) applyConfigRows(rows []coreplatform.Row) {
	e.applying.Lock()
	defer e.applying.Unlock()
	for _, r := range rows {
		c, ok, err := platform.DecodeConfig(r.Key, r.Value)
		if !ok {
			continue
		}
		if err != nil {
			e.Telemetry.Log.Log(eventConfigUnreadable, err, telemetry.Fields{"revision": r.Revision})
			continue
		}
		before, replaced := e.replaceConfig(c)
		if !replaced {
			continue // the rows were read before the current version was written
		}
		limits, err := platform.DecodeLimits(r.Value)
		if err != nil {
			e.Telemetry.Log.Log(eventLimitsUnreadable, err, telemetry.Fields{"revision": r.Revision, "version": c.Version})
		}
		e.limits.Store(&limits)
		e.candidate.NotifyQueuesChanged()
		e.Telemetry.Log.Log(eventConfigInEffect, nil, telemetry.Fields{"version": c.Version, "before": before, "queues": len(c.Queues)})
	}
}

// replaceConfig puts a configuration into effect if it is newer than the present one,
// and returns the version before. The follower of the operator's rows and a new owner
// call it concurrently.
func (e *entry) replaceConfig(c *jobs.Configuration) (before types.Version, replaced bool) {
	for {
		old := e.config.Load()
		if old != nil {
			before = old.Version
		}
		if c.Version <= before {
			return before, false
		}
		if e.config.CompareAndSwap(old, c) {
			return before, true
		}
	}
}

func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	why := ""
	age, loaded := e.intake.StatesAge()
	switch {
	case e.stopping.Load():
		why = "stopping"
	case e.config.Load() == nil:
		why = "no configuration yet"
	case !loaded:
		why = "states of jobs not read yet"
	case age > maxTableSilence:
		why = "the store does not answer"
	}
	if e.ready.Swap(why == "") != (why == "") {
		e.Telemetry.Log.Log(eventReadiness, nil, telemetry.Fields{"ready": why == "", "why": why})
	}
	if why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
	}
}

func agentClient() *http.Client {
	dialer := &net.Dialer{Timeout: agentDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxAgentConnections, IdleConnTimeout: agentIdleTimeout, DisableCompression: true,
	}}
}

// RunAgent runs the agent of the upstream worker on the VM until the context ends. The
// worker's tasks then continue under their leases. It returns an error if an address
// cannot be listened on, or if the servers do not shut down without an error within
// stopMargin.
func RunAgent(ctx context.Context, o Options) error {
	o = o.withGuard()
	s := o.Settings
	incarnation := newIncarnation()
	vm := types.VMID(s.Address) // the IP address identifies the VM
	a := agent.New(agent.Options{VM: vm, Incarnation: incarnation, WorkerClient: platform.NewWorker(s.Worker), Telemetry: o.Telemetry})
	announcements, err := httpserve.Listen(s.Announcements, platform.NewAnnouncementHandler(s, a, o.Telemetry.Log), o.announcementLimits())
	if err != nil {
		return err
	}
	calls, err := httpserve.Listen(s.InternalAddress(), agentapi.NewHandler(a), o.callLimits())
	if err != nil {
		return err
	}
	go jobs.KeepRegistered(ctx, o.Store, a, jobs.Registration{
		VM: vm, Name: s.Name, Address: s.InternalAddress(), FailureDomain: s.FailureDomain, Incarnation: incarnation, FirstStart: s.FirstStart,
	}, o.Telemetry.Log)
	o.logStarted()
	a.Run(ctx)
	o.Telemetry.Log.Log(eventStopping, nil, nil)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopMargin)
	defer cancel()
	return errors.Join(announcements.Shutdown(stopCtx), calls.Shutdown(stopCtx))
}
