package faultsoak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Binary is the path of the product's binary, Dir a folder for settings and
	// logs.
	Binary, Dir string
	// Entries is the number of entry processes. Workers is the number of
	// upstream workers, which run inside the driver, each with an agent process.
	Entries, Workers int
	// Faults is how long faults are injected. Zero means no faults.
	Faults time.Duration
	// WorkerFaults adds restarts and failures of workers.
	WorkerFaults bool
	// SilentRestarts adds workers that restart under their IDs behind a silent network
	// and are cut off soon after, and long tasks. OnlySilentRestarts leaves out all
	// other faults.
	SilentRestarts, OnlySilentRestarts bool
	// PlatformFaults adds evacuations, further faults of the store, owners that stop in
	// series, and untrusted clients.
	PlatformFaults bool
	// Mechanisms starts the entries with flags drawn from the seed, and adds the jobs,
	// bursts and faults that exercise them.
	Mechanisms bool
	// MaxLease is the longest lease of a worker; 0 means standin.DefaultMaxLease.
	MaxLease time.Duration
	// RowBytes is the maximum size of a value in the store; 0 means defaultRowBytes.
	RowBytes int
	// JobsPerSecond is the number of jobs submitted per second.
	JobsPerSecond float64
}

// Result summarizes a run. Accepted, Refused and Unknown count submissions,
// Completed counts jobs, and Starts counts task runs. The outcome of a
// submission is unknown if no entry accepted it and it was not refused at the
// first attempt.
type Result struct {
	Accepted, Refused, Unknown, Completed, Starts int
	// Faults counts the injected faults by kind. Calls is the number of calls
	// that the store received.
	Faults     map[string]int
	Calls      int
	Violations []string
	// ExcusedStarts counts starts in evacuated failure domains that a fault excuses.
	ExcusedStarts int
	// Flags are those of the entries. Events counts the events of entries that
	// mechanismEvents lists.
	Flags  []string
	Events map[string]int
}

const (
	// runTime is how long a task runs at a worker.
	runTime = 400 * time.Millisecond
	// defaultRowBytes lets the progress of the largest jobs take several rows.
	defaultRowBytes = 2000
	// faultInterval is the mean time between faults. Some faults last up to
	// 5 s, so faults overlap.
	faultInterval = 700 * time.Millisecond
	// settleTimeout is how long jobs may take after the last fault. It covers a
	// takeover, the longest lease, and the run times of the jobs.
	settleTimeout = 45 * time.Second
)

// soakRun is the state of one run.
type soakRun struct {
	opts      Options
	rng       *rand.Rand
	workerRNG *rand.Rand
	store     *standin.Store
	entries   []*process
	agents    []*process
	workers   []*soakWorker
	proxies   []*proxy
	// agentProxies carry the calls of owners to each agent and those of the agent to
	// the store.
	agentProxies    [][]*proxy
	callerAddresses []string
	// entryAddresses are the IP addresses of the entries.
	entryAddresses []string
	// agentAddresses maps the addresses of agents to those of the proxies in front. It
	// is guarded by addressesMu.
	agentAddresses map[string]string
	addressesMu    sync.Mutex
	closers        []func()
	runChecker     runChecker
	jobClient      *jobClient
	res            Result
	resMu          sync.Mutex
	pendingUndos   sync.WaitGroup
	// allGate is in front of the store, entryGates are in front of it for each entry.
	storeFaults faultLog
	allGate     *gate
	entryGates  []*gate
	evacuations evacuationChecker
	// mechanisms is nil without Options.Mechanisms.
	mechanisms *mechanisms
}

// Run performs a run with one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	o.RowBytes = cmp.Or(o.RowBytes, defaultRowBytes)
	w := &soakRun{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 11)), store: standin.NewStore()} //nolint:gosec // reproducible
	w.workerRNG = rand.New(rand.NewPCG(o.Seed, 13))                                           //nolint:gosec // reproducible
	w.store.SetRowBytes(o.RowBytes)
	w.res.Faults = make(map[string]int)
	w.runChecker.reset()
	w.jobClient = newJobClient(w)
	if o.Mechanisms {
		w.mechanisms = newMechanisms(w)
		w.res.Flags = w.mechanisms.flags
	}
	defer w.close()
	if err := w.startProcesses(); err != nil {
		return w.res, err
	}
	if !w.jobClient.awaitReady(ctx, 0) {
		return w.res, fmt.Errorf("entry 0 was not ready in time (logs are in %s)", o.Dir)
	}
	submitCtx, stop := context.WithCancel(ctx)
	var submitting sync.WaitGroup
	submitting.Add(1)
	go func() {
		defer submitting.Done()
		w.jobClient.submitAll(submitCtx)
	}()
	if w.mechanisms != nil {
		submitting.Go(func() { w.mechanisms.submit(submitCtx) })
		w.mechanisms.awaitCalmStart(ctx)
	}
	silent := make(chan struct{})
	go func() {
		defer close(silent)
		if o.SilentRestarts {
			newSilentRestarts(w).run(ctx, time.Now().Add(o.Faults))
		}
	}()
	sampleCtx, stopSampling := context.WithCancel(ctx)
	go w.sampleOwner(sampleCtx)
	defer stopSampling()
	w.injectFaults(ctx)
	<-silent
	stop()
	submitting.Wait()
	w.pendingUndos.Wait()
	w.jobClient.awaitCompletion(ctx)
	if w.mechanisms != nil {
		w.mechanisms.checkStanding(ctx)
	}
	w.jobClient.checkRefused()
	for i, p := range w.entries {
		if !w.jobClient.awaitReady(ctx, i) {
			w.addViolation("entry %s does not answer after the faults", p.name)
		}
	}
	violations, excused := w.evacuations.check()
	w.res.Violations, w.res.ExcusedStarts = append(w.res.Violations, violations...), excused
	w.res.Calls = w.store.Calls()
	w.res.Events = w.readLogs()
	w.res.Starts = w.runChecker.starts
	w.res.Violations = append(w.res.Violations, w.runChecker.violations...)
	return w.res, nil
}

func (w *soakRun) close() {
	for _, p := range append(w.entries, w.agents...) {
		p.kill()
	}
	for _, c := range w.closers {
		c()
	}
}

// startProcesses configures the platform and starts the processes.
func (w *soakRun) startProcesses() error {
	w.allGate = &gate{next: w.store}
	w.evacuations.store = []*faultLog{&w.storeFaults, &w.allGate.faults}
	store := w.serve(w.allGate)
	queues := []standin.Queue{{Name: "r-q", Host: host, Prefix: prefix, Service: service}}
	if w.mechanisms != nil {
		queues = append(queues, standin.Queue{Name: "r-low", Host: host, Prefix: lowPrefix, Service: service, Priority: lowPriority})
	}
	config := standin.Configuration(1, queues...)
	if err := w.store.Put(standin.ConfigTable, standin.ConfigKey, config); err != nil {
		return err
	}
	w.agentAddresses = make(map[string]string)
	w.store.SetRewrite(w.rewriteAgentAddress)
	for i := range w.opts.Entries {
		if err := w.addEntry(i); err != nil {
			return err
		}
		if i == 0 && w.mechanisms != nil {
			w.mechanisms.awaitSmallOwner()
		}
	}
	for i := range w.opts.Workers {
		if err := w.addWorker(store, i); err != nil {
			return err
		}
	}
	return nil
}

// serve starts a server and returns its address.
func (w *soakRun) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	// Calls that the stand-in leaves without a response would block Close.
	w.closers = append(w.closers, func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

// addProxy starts a proxy in front of a target. It is subject to random faults if
// drawn is set.
func (w *soakRun) addProxy(target string, drawn bool) (*proxy, error) {
	p, err := newProxy(target)
	if err != nil {
		return nil, err
	}
	if drawn {
		w.proxies = append(w.proxies, p)
	}
	w.closers = append(w.closers, p.close)
	return p, nil
}

// rewriteAgentAddress replaces the address of an agent in a stored row by that of the
// proxy in front of it.
func (w *soakRun) rewriteAgentAddress(value []byte) []byte {
	w.addressesMu.Lock()
	defer w.addressesMu.Unlock()
	for agent, p := range w.agentAddresses {
		value = bytes.ReplaceAll(value, []byte(`"`+agent+`"`), []byte(`"`+p+`"`))
	}
	return value
}

func (w *soakRun) addEntry(i int) error {
	g := &gate{next: w.allGate}
	storeProxy, err := w.addProxy(w.serve(g), true)
	if err != nil {
		return err
	}
	settings := standin.NewLocalVM().EntryOptions(fmt.Sprintf("entry-%d", i), storeProxy.address())
	settings.RowBytes, settings.MaxLease = w.opts.RowBytes, w.opts.MaxLease
	if w.opts.PlatformFaults {
		settings.MemoryMB, settings.MaxOpenFiles = entryMemoryMB, entryOpenFiles
	}
	if w.mechanisms != nil {
		settings.CPUShare = w.mechanisms.cpuShare(i)
	}
	p, err := newProcess(w.opts.Dir, w.opts.Binary, "jobs-entry", settings)
	if err != nil {
		return err
	}
	p.onCrash = w.recordCrash
	p.flags = w.res.Flags
	w.entries, w.entryGates = append(w.entries, p), append(w.entryGates, g)
	w.evacuations.entries = append(w.evacuations.entries, []*faultLog{&p.kills, &p.pauses, &storeProxy.faults, &g.faults})
	w.callerAddresses = append(w.callerAddresses, settings.CallerAPI)
	w.entryAddresses = append(w.entryAddresses, settings.IP)
	return p.start()
}

// addWorker starts a worker inside the driver, and its agent as a process.
func (w *soakRun) addWorker(store string, i int) error {
	vm := standin.NewLocalVM()
	app := vm.WorkerAddress()
	workerProxy, err := w.addProxy(app, true)
	if err != nil {
		return err
	}
	storeProxy, err := w.addProxy(store, false)
	if err != nil {
		return err
	}
	settings := vm.AgentOptions(fmt.Sprintf("agent-%d", i), storeProxy.address(), service, workerProxy.address())
	settings.MaxLease = w.opts.MaxLease
	if w.opts.PlatformFaults {
		settings.FailureDomain = failureDomain(i)
	}
	agentAddress := net.JoinHostPort(settings.IP, strconv.Itoa(settings.InternalPort))
	agentProxy, err := w.addProxy(agentAddress, false)
	if err != nil {
		return err
	}
	w.addressesMu.Lock()
	w.agentAddresses[agentAddress] = agentProxy.address()
	w.addressesMu.Unlock()
	w.agentProxies = append(w.agentProxies, []*proxy{agentProxy, storeProxy})
	options := standin.WorkerOptions{
		ID: fmt.Sprintf("i-%d", i), Service: service, Address: workerProxy.address(), AgentAddress: settings.Announcements, MilliCPU: 4000, RunTime: runTime,
		Checkpoint: "00000bb87a21d94b", MaxLease: w.opts.MaxLease,
		Record: func(event, task string, run uint64) {
			w.runChecker.record(event, task, run)
			if event == "start" {
				w.evacuations.recordStart(i, task, run)
			}
		},
	}
	if w.mechanisms != nil {
		options.MilliCPU, options.RunTimeOf = w.mechanisms.workerMilliCPU, w.mechanisms.runTimeOf
	}
	if i == 0 {
		options.Labels = []string{labelOfOne}
	}
	sw := &soakWorker{worker: standin.NewWorker(options), id: options.ID, address: app, proxy: workerProxy}
	if err := sw.start(); err != nil {
		return err
	}
	w.workers = append(w.workers, sw)
	w.closers = append(w.closers, sw.stop)
	p, err := newProcess(w.opts.Dir, w.opts.Binary, "jobs-agent", settings)
	if err != nil {
		return err
	}
	p.onCrash = w.recordCrash
	w.agents = append(w.agents, p)
	w.evacuations.workers = append(w.evacuations.workers, []*faultLog{&p.pauses, &agentProxy.delays, &workerProxy.delays})
	return p.start()
}

// injectFaults injects random faults for the configured time, then removes all
// faults. Without faults, it waits for the time between two jobs, so that at
// least one is submitted.
func (w *soakRun) injectFaults(ctx context.Context) {
	end := time.Now().Add(w.opts.Faults)
	platformFaults := make(chan struct{})
	go func() {
		defer close(platformFaults)
		if w.opts.PlatformFaults {
			newPlatformFaults(w).run(ctx, end)
		}
	}()
	if w.mechanisms != nil {
		w.mechanisms.injectFaults(ctx, end)
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		if !w.opts.OnlySilentRestarts {
			w.injectFault()
		}
		time.Sleep(faultInterval/2 + time.Duration(w.rng.Int64N(int64(faultInterval))))
	}
	if w.opts.Faults == 0 {
		time.Sleep(time.Duration(float64(time.Second) / w.opts.JobsPerSecond))
	}
	<-platformFaults
	w.pendingUndos.Wait()
	for _, p := range w.proxies {
		p.setMode(pass)
	}
	w.setStoreFaults(standin.Faults{})
}

// setStoreFaults replaces the faults of the store and records the times in which it
// does not serve its clients. Faults of single partitions do not concern the rows of
// evacuations.
func (w *soakRun) setStoreFaults(f standin.Faults) {
	w.storeFaults.set(f.Unavailable || f.DropResponses || f.Reset)
	w.store.SetFaults(f)
}

func (w *soakRun) countFault(kind string) {
	w.resMu.Lock()
	defer w.resMu.Unlock()
	w.res.Faults[kind]++
}

func (w *soakRun) addViolation(format string, args ...any) {
	w.resMu.Lock()
	defer w.resMu.Unlock()
	w.res.Violations = append(w.res.Violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// undoLater undoes a fault after a random delay below maxDelay and returns the
// delay.
func (w *soakRun) undoLater(maxDelay time.Duration, undo func()) time.Duration {
	delay := time.Duration(w.rng.Int64N(int64(maxDelay)))
	w.pendingUndos.Add(1)
	go func() {
		defer w.pendingUndos.Done()
		time.Sleep(delay)
		undo()
	}()
	return delay
}

// injectFault injects one random fault, which may overlap earlier ones. Faults of
// workers are drawn from a generator of their own.
func (w *soakRun) injectFault() {
	if w.opts.WorkerFaults {
		w.injectWorkerFault()
	}
	all := append(append([]*process(nil), w.entries...), w.agents...)
	p := all[w.rng.IntN(len(all))]
	switch w.rng.IntN(7) {
	case 0:
		w.countFault("kill")
		w.killAndRestart(p)
	case 1:
		w.countFault("terminate")
		w.stopAndRestart(p)
	case 2:
		w.countFault("pause")
		p.signal(syscall.SIGSTOP)
		p.pauses.set(true)
		paused := w.undoLater(5*time.Second, func() { p.signal(syscall.SIGCONT); p.pauses.set(false) })
		p.pausedUntil.Store(time.Now().Add(paused).UnixNano())
	case 3:
		w.countFault("reload")
		p.signal(syscall.SIGHUP)
	case 4, 5:
		target := w.proxies[w.rng.IntN(len(w.proxies))]
		m := mode(1 + w.rng.IntN(int(modeCount)-1))
		w.countFault("connections: " + m.String())
		target.setMode(m)
		w.undoLater(5*time.Second, func() { target.setMode(pass) })
	default:
		faults := []standin.Faults{{Unavailable: true}, {DropResponses: true}, {Compacted: true}}
		i := w.rng.IntN(len(faults))
		w.countFault([]string{"store refuses", "store loses responses", "store compacts history"}[i])
		w.setStoreFaults(faults[i])
		w.undoLater(3*time.Second, func() { w.setStoreFaults(standin.Faults{}) })
	}
}

func (w *soakRun) recordCrash(name string, err error) {
	w.addViolation("process %s ended without a signal of the soak: %v", name, err)
}

func (w *soakRun) killAndRestart(p *process) {
	p.cycleMu.Lock()
	defer p.cycleMu.Unlock()
	p.kill()
	w.restart(p)
}

func (w *soakRun) stopAndRestart(p *process) {
	p.cycleMu.Lock()
	defer p.cycleMu.Unlock()
	if !p.stop() {
		w.addViolation("process %s did not end within %v of SIGTERM", p.name, stopTimeout)
	}
	w.restart(p)
}

func (w *soakRun) restart(p *process) {
	if err := p.start(); err != nil {
		w.addViolation("%v", err)
	}
}
