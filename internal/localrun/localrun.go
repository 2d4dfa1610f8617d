// Package localrun starts deployments of separate processes on the loopback
// interface, for failure tests and benchmarks. It is not part of the released
// binary.
package localrun

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Credentials of local deployments.
const (
	// SharedKey authenticates the processes to each other.
	SharedKey = "local-shared-key-not-for-production-0000"
	// Token is the operators' token.
	Token = "local-operators-token-not-for-production"
)

const (
	// startTimeout is how long awaitReady waits for a started process to respond.
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Options configures a deployment.
type Options struct {
	// Binary is the path of the built command.
	Binary string
	// Dir is the directory for settings, inventory, logs and traces.
	Dir string
	// Octet is the second octet of all addresses (127.Octet.x.y). Deployments
	// that run at the same time on one machine need different octets.
	Octet int
	// Entries is the number of entries.
	Entries int
	// Domains is the number of failure domains, and Workers the number of
	// workers in each of them.
	Domains, Workers int
	// Upstreams makes StartAll start an upstream for each worker.
	Upstreams bool
	// ServiceTime is the service time of a booking at the upstreams.
	ServiceTime time.Duration
	// Rules is the content of the rules file. Empty means the default rules.
	Rules string
	// Work is the content of the file of teams, services and jobs. Empty means
	// the default content.
	Work string
	// Trace makes every entry and worker append its spans to its TraceFile.
	Trace bool
}

// Process is a process started by a Deployment.
type Process struct {
	Name string
	args []string
	log  string // path of the log file
	cmd  *exec.Cmd
	done chan struct{}
	err  error // result of Wait, valid once done is closed
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Deployment is a set of processes that run the system on one machine. Its
// methods count entries, failure domains and workers from 1.
type Deployment struct {
	opts Options
	http *http.Client

	mu    sync.Mutex
	procs map[string]*Process
}

// New writes the inventory of a deployment to Options.Dir. It starts no process.
// The caller must call Close.
func New(o Options) (*Deployment, error) {
	d := &Deployment{opts: o, procs: make(map[string]*Process), http: &http.Client{Timeout: 10 * time.Second}}
	if err := d.writeInventory(o.Workers); err != nil {
		return nil, err
	}
	return d, nil
}

// PlatformAddr returns the address of the stand-in platform.
func (d *Deployment) PlatformAddr() string { return fmt.Sprintf("127.%d.0.100:9000", d.opts.Octet) }

// CallerAddr returns the address at which an entry serves callers.
func (d *Deployment) CallerAddr(entry int) string {
	return fmt.Sprintf("127.%d.0.%d:8080", d.opts.Octet, entry)
}

// OperatorAddr returns the address at which an entry serves operators.
func (d *Deployment) OperatorAddr(entry int) string {
	return fmt.Sprintf("127.%d.0.%d:8081", d.opts.Octet, entry)
}

// UpstreamAddr returns the address of the upstream of a worker.
func (d *Deployment) UpstreamAddr(domain, worker int) string {
	return fmt.Sprintf("127.%d.%d.%d:8000", d.opts.Octet, domain, worker)
}

// announcementAddr returns the address at which a worker serves upstream
// announcements, health checks and metrics.
func (d *Deployment) announcementAddr(domain, worker int) string {
	return fmt.Sprintf("127.%d.%d.%d:7002", d.opts.Octet, domain, worker)
}

// WorkerInternalAddr returns the internal address of a worker.
func (d *Deployment) WorkerInternalAddr(domain, worker int) string {
	return fmt.Sprintf("127.%d.%d.%d:7001", d.opts.Octet, domain, worker)
}

// WorkerInternalAddrByName returns the internal address of the worker with the given
// name.
func WorkerInternalAddrByName(d *Deployment, name string) string {
	var domain, worker int
	// The address for a name of another form is meaningless. The caller must pass
	// a WorkerName.
	_, _ = fmt.Sscanf(name, "d%d-%d", &domain, &worker)
	return d.WorkerInternalAddr(domain, worker)
}

// EntryInternalAddr returns the internal address of an entry.
func (d *Deployment) EntryInternalAddr(entry int) string {
	return fmt.Sprintf("127.%d.0.%d:7001", d.opts.Octet, entry)
}

// EntryMetricsURL returns the URL of an entry's metrics.
func (d *Deployment) EntryMetricsURL(entry int) string {
	return "http://" + d.OperatorAddr(entry) + "/metrics"
}

// WorkerMetricsURL returns the URL of a worker's metrics.
func (d *Deployment) WorkerMetricsURL(domain, worker int) string {
	return "http://" + d.announcementAddr(domain, worker) + "/metrics"
}

// Options returns the options of the deployment.
func (d *Deployment) Options() Options { return d.opts }

// EntryName returns the name of an entry, which is also that of its process.
func EntryName(entry int) string { return fmt.Sprintf("entry-%d", entry) }

// WorkerName returns the name of a worker, which is also that of its VM and its
// process.
func WorkerName(domain, worker int) string { return fmt.Sprintf("d%d-%03d", domain, worker) }

// UpstreamName returns the process name of the upstream of a worker.
func UpstreamName(domain, worker int) string { return "upstream-" + WorkerName(domain, worker) }

// StartAll starts the stand-in platform and the entries, applies the inventory,
// and then starts the workers and, with Options.Upstreams, their upstreams. It
// returns when every process responds. If it returns an error, the caller must
// still call Close.
func (d *Deployment) StartAll(ctx context.Context) error {
	if err := d.StartPlatform(ctx); err != nil {
		return err
	}
	for i := 1; i <= d.opts.Entries; i++ {
		if err := d.StartEntry(ctx, i); err != nil {
			return err
		}
	}
	if out, err := d.Command(ctx, "apply", d.inventoryDir()); err != nil {
		return fmt.Errorf("apply inventory: %w: %s", err, out)
	}
	return d.forEachWorker(func(domain, worker int) error {
		if err := d.StartWorker(ctx, domain, worker); err != nil {
			return err
		}
		if !d.opts.Upstreams {
			return nil
		}
		return d.StartUpstream(ctx, domain, worker)
	})
}

// forEachWorker calls f for all workers, with up to 8 calls at a time, and
// returns the joined errors.
func (d *Deployment) forEachWorker(f func(domain, worker int) error) error {
	const maxConcurrent = 8
	slots := make(chan struct{}, maxConcurrent)
	errs := make(chan error, d.opts.Domains*d.opts.Workers)
	for domain := 1; domain <= d.opts.Domains; domain++ {
		for worker := 1; worker <= d.opts.Workers; worker++ {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				errs <- f(domain, worker)
			}()
		}
	}
	var joined error
	for range d.opts.Domains * d.opts.Workers {
		joined = errors.Join(joined, <-errs)
	}
	return joined
}

// StartPlatform starts the stand-in platform and waits until it responds.
func (d *Deployment) StartPlatform(ctx context.Context) error {
	if err := d.startProcess(ctx, "platform", "dev", "platform", "--listen", d.PlatformAddr()); err != nil {
		return err
	}
	return d.awaitReady(ctx, "platform", "http://"+d.PlatformAddr()+"/admin/witness")
}

// StartEntry rewrites the settings file of an entry, starts the entry and waits
// until it responds.
func (d *Deployment) StartEntry(ctx context.Context, entry int) error {
	file, err := d.writeEntrySettings(entry)
	if err != nil {
		return err
	}
	if err := d.startProcess(ctx, EntryName(entry), "entry", "--settings", file); err != nil {
		return err
	}
	return d.awaitReady(ctx, EntryName(entry), "http://"+d.OperatorAddr(entry)+"/healthz")
}

// StartWorker rewrites the settings file of a worker, starts the worker and waits
// until it responds.
func (d *Deployment) StartWorker(ctx context.Context, domain, worker int) error {
	file, err := d.writeWorkerSettings(domain, worker)
	if err != nil {
		return err
	}
	if err := d.startProcess(ctx, WorkerName(domain, worker), "worker", "--settings", file); err != nil {
		return err
	}
	return d.awaitReady(ctx, WorkerName(domain, worker), "http://"+d.announcementAddr(domain, worker)+"/healthz")
}

// StartUpstream starts the upstream of a worker and waits until it responds.
func (d *Deployment) StartUpstream(ctx context.Context, domain, worker int) error {
	err := d.startProcess(ctx, UpstreamName(domain, worker), "dev", "upstream", "--listen", d.UpstreamAddr(domain, worker),
		"--worker", d.announcementAddr(domain, worker), "--service", "berth-check",
		"--service-time", d.opts.ServiceTime.String())
	if err != nil {
		return err
	}
	return d.awaitReady(ctx, UpstreamName(domain, worker), "http://"+d.UpstreamAddr(domain, worker)+"/record")
}

// startProcess starts a process of the built binary, whose output goes to its
// log file.
func (d *Deployment) startProcess(ctx context.Context, name string, args ...string) error {
	p := &Process{Name: name, args: args, log: filepath.Join(d.opts.Dir, name+".log"), done: make(chan struct{})}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The process keeps running when ctx ends. Close kills it.
	p.cmd = exec.CommandContext(context.WithoutCancel(ctx), d.opts.Binary, args...)
	p.cmd.Env = d.environ()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The kernel kills the process if its parent dies, so that no process of
	// the deployment is left running.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	d.mu.Lock()
	d.procs[name] = p
	d.mu.Unlock()
	return nil
}

func (d *Deployment) environ() []string {
	urls := make([]string, d.opts.Entries)
	for i := range urls {
		urls[i] = "http://" + d.OperatorAddr(i+1)
	}
	return append(os.Environ(),
		"BORAGECRANK_SHARED_KEY="+SharedKey,
		"BORAGECRANK_OPERATORS_TOKEN="+Token,
		"BORAGECRANK_ENTRY="+strings.Join(urls, ","),
	)
}

// Command runs the binary with the given arguments, with the addresses of the
// entries and the operators' token in its environment, and returns its combined
// output.
func (d *Deployment) Command(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, d.opts.Binary, args...)
	cmd.Env = d.environ()
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// awaitReady polls a URL until it returns status 200. It returns an error if the
// process has exited, since a response could then come from another process at
// that address.
func (d *Deployment) awaitReady(ctx context.Context, name, url string) error {
	p := d.Process(name)
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		select {
		case <-p.done:
			return fmt.Errorf("process %q exited during startup: %w", name, errors.Join(p.err, errors.New(d.lastLogLine(name))))
		case <-time.After(pollInterval):
		}
		if _, err := d.Get(ctx, url); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s did not return status 200 within %v", url, startTimeout)
}

// lastLogLine returns the last line of the log of a process.
func (d *Deployment) lastLogLine(name string) string {
	log := strings.TrimSpace(d.Log(name))
	return log[strings.LastIndex(log, "\n")+1:]
}

// Get reads a URL with the operators' token. It returns an error if the status
// is not 200.
func (d *Deployment) Get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("GET %s returned status %s", url, resp.Status)
	}
	return body, err
}

// Post sends body as JSON to a URL, without a token: the stand-in platform needs
// none. It returns an error if the status is 300 or above.
func (d *Deployment) Post(ctx context.Context, url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("POST %s returned status %s", url, resp.Status)
	}
	return nil
}

// Process returns the process last started under the name, or nil.
func (d *Deployment) Process(name string) *Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.procs[name]
}

// Signal sends a signal to a process.
func (d *Deployment) Signal(name string, s syscall.Signal) error {
	p := d.Process(name)
	if p == nil {
		return fmt.Errorf("process %q has not been started", name)
	}
	return p.cmd.Process.Signal(s)
}

// Kill ends a process with SIGKILL and waits until it has exited.
func (d *Deployment) Kill(name string) error {
	if err := d.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-d.Process(name).done
	return nil
}

// Stop ends a process with SIGTERM. It returns an error if the process does not
// exit with status 0 within the timeout. After the timeout the process is left
// running.
func (d *Deployment) Stop(name string, timeout time.Duration) error {
	if err := d.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	p := d.Process(name)
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("process %q exited with an error after SIGTERM: %w", name, p.err)
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("process %q did not stop within %v", name, timeout)
	}
}

// Close kills all processes that are still running and waits for them.
func (d *Deployment) Close() {
	d.mu.Lock()
	procs := make([]*Process, 0, len(d.procs))
	for _, p := range d.procs {
		procs = append(procs, p)
	}
	d.mu.Unlock()
	for _, p := range procs {
		// Signal returns an error for a process that has already exited.
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// Log returns the log of a process, or the error text if the log cannot be read.
func (d *Deployment) Log(name string) string {
	b, err := os.ReadFile(filepath.Join(d.opts.Dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(b)
}
