package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu     sync.Mutex
	out    io.Writer
	began  time.Time
	starts map[string]int
	quiet  bool              // single runs are counted, not written
	on     map[string]string // the worker on which a task runs
	twice  []string          // starts of tasks that ran already
	done   map[string]bool   // tasks that have ended done
	ran    map[string]int    // ends by kind
}

func newRecorder(out io.Writer) *recorder {
	return &recorder{out: out, began: time.Now(), starts: make(map[string]int), on: make(map[string]string), done: make(map[string]bool), ran: make(map[string]int)}
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) run(event, worker, task string, run uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[event]++
	if !r.quiet {
		fmt.Fprintf(r.out, "%8.3f run %s %s %d: %s\n", time.Since(r.began).Seconds(), worker, task, run, event)
	}
}

func (r *recorder) start(worker, task string, run uint64) {
	r.mu.Lock()
	r.starts[task]++
	other := r.on[task]
	r.on[task] = worker
	if other != "" {
		r.twice = append(r.twice, fmt.Sprintf("%s run %d on %s while it ran on %s", task, run, worker, other))
	}
	r.mu.Unlock()
	r.run("start", worker, task, run)
	if other != "" {
		r.log("two runs at the same time: %s starts on %s while it runs on %s", task, worker, other)
	}
}

func (r *recorder) end(worker, task string, run uint64, how string) {
	r.mu.Lock()
	if r.on[task] == worker {
		delete(r.on, task)
	}
	if how == "done" {
		r.done[task] = true
	}
	r.mu.Unlock()
	r.run(how, worker, task, run)
}

// lost records that a run ended because its worker crashed.
func (r *recorder) lost(worker, task string, run uint64) {
	r.end(worker, task, run, "lost with its worker")
}

func (r *recorder) startsOf(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

// doneTasks returns how many tasks of a job have ended done.
func (r *recorder) doneTasks(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task := range r.done {
		if strings.HasPrefix(task, id+".") {
			n++
		}
	}
	return n
}

func (r *recorder) counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int)
	for k, v := range r.ran {
		out[k] = v
	}
	return out
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

// Ports of the deployment, those of the example settings of the pages.
const (
	portFront    = 8161
	portWorker   = 8165
	portControl  = 8166
	portReady    = 8167
	portPlatform = 8169
	portInternal = 7720
	portMetrics  = 9464
)

// deployment is a small deployment on loopback addresses: the platform's services
// and the workers inside this program, entries and agents as processes of their own.
type deployment struct {
	dir, binary, subnet string
	rec                 *recorder
	store               *store
	advice              *advice
	entries             []*process
	agents              []*process
	workers             []*worker
	client              *http.Client
}

// queue is one route of the operator's configuration.
type queue struct {
	name     string
	priority int
	attempts int
	advised  bool
}

const (
	host    = "nony24.example"
	service = "huvo11a"
)

func newDeployment(rec *recorder, binary string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, binary: binary, rec: rec, client: &http.Client{Timeout: 3 * time.Second}}
	// A block of loopback addresses on which no port of this deployment is in use.
	for n := os.Getpid(); n < os.Getpid()+200; n++ {
		subnet := fmt.Sprintf("127.%d.%d.", 20+n/250%200, n%250+1)
		if free(subnet) {
			d.subnet = subnet
			break
		}
	}
	if d.subnet == "" {
		return nil, errors.New("no free block of loopback addresses")
	}
	d.store = newStore(rec)
	d.advice = &advice{rec: rec, allowed: make(map[string]bool), issued: make(map[string]time.Time)}
	for ip, handler := range map[string]http.Handler{"7": d.store, "9": d.advice} {
		l, err := listen(fmt.Sprintf("%s%s:%d", d.subnet, ip, portPlatform))
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(l) }()
	}
	return d, nil
}

func free(subnet string) bool {
	for _, last := range []int{7, 9, 11, 12, 13, 101, 102, 107, 140} {
		for _, port := range []int{portFront, portWorker, portControl, portReady, portPlatform, portInternal, portMetrics} {
			l, err := listen(fmt.Sprintf("%s%d:%d", subnet, last, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// configure writes the operator's configuration.
func (d *deployment) configure(version int, queues ...queue) {
	routes := []map[string]any{}
	for _, q := range queues {
		r := map[string]any{
			"name": "r-" + q.name, "host": host, "prefix": "/" + q.name + "/", "kind": "unsafe", "timeout_ms": 3000, "target": 1000,
			"priority": q.priority, "service": service, "max_attempts": q.attempts, "stretch": 2.0,
		}
		if q.advised {
			r["advice"] = map[string]int{"decide_ms": decideMs, "each_ms": eachMs, "valid_ms": validMs}
		}
		routes = append(routes, r)
	}
	d.store.put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": true, "spare": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	d.rec.log("operator: configuration version %d is stored, %d queues", version, len(queues))
}

// settings returns a settings file with the figures of the small deployment of the
// pages (vdl-moorings).
func (d *deployment) settings(name, class, ip, listens, app string, cpuShare float64, memoryMB int) string {
	serves := `["front"]`
	if class == "side" {
		serves = `["side"]`
	}
	return fmt.Sprintf(settingsTemplate, name, class, class, serves, ip, portInternal, portInternal+15, app, d.subnet, portPlatform, listens, cpuShare, memoryMB, holdMaxMs, d.subnet, portPlatform, rowBytes, d.subnet, portPlatform)
}

// process is one process of the product, started with a command of the deploy file.
type process struct {
	name, ip, role, settings, log string
	cmd                           *exec.Cmd
	ended                         chan struct{}
}

// starter starts processes on one thread that lasts as long as this program, so that
// they end with the program even if it is killed.
var starter = func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
}()

func (d *deployment) start(p *process) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.CommandContext(context.Background(), d.binary, p.role, "--metrics-port", fmt.Sprint(portMetrics))
	p.cmd.Env = []string{names["variable settings"] + "=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C"}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starter <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}(p.cmd, p.ended)
	return nil
}

// kill ends a process that this program started.
func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
	}
}

func (d *deployment) addProcess(name, class, role, ip, listens, app string, cpuShare float64, memoryMB int) (*process, error) {
	p := &process{name: name, ip: ip, role: role, settings: filepath.Join(d.dir, name+".toml"), log: filepath.Join(d.dir, name+".log")}
	if err := os.WriteFile(p.settings, []byte(d.settings(name, class, ip, listens, app, cpuShare, memoryMB)), 0o600); err != nil {
		return nil, err
	}
	return p, d.start(p)
}

// startAll starts the entries, and the workers with their agents. The function
// labels returns the labels of the worker with the given number, from 0.
func (d *deployment) startAll(entries, workers int, labels func(int) []string) error {
	for i := range entries {
		ip := fmt.Sprintf("%s%d", d.subnet, 11+i)
		listens := fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"", ip, portFront, ip, portReady)
		p, err := d.addProcess(fmt.Sprintf("front-%d", i+1), "front", "jobs-entry", ip, listens, "", 0.4, 284)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	for i := range workers {
		ip := fmt.Sprintf("%s%d", d.subnet, 101+i)
		app := fmt.Sprintf("%s:%d", ip, portWorker)
		control := fmt.Sprintf("%s:%d", ip, portControl)
		w := newWorker(fmt.Sprintf("worker-%d", i+1), fmt.Sprintf("i-%08x", 0x7f3a0000+i), service, app, control, labels(i), 16000, 64000, d.rec)
		w.advice = d.advice
		if err := w.run(); err != nil {
			return err
		}
		d.workers = append(d.workers, w)
		listens := fmt.Sprintf("control = %q", control)
		p, err := d.addProcess(fmt.Sprintf("side-%d", i+1), "side", "jobs-agent", ip, listens, fmt.Sprintf("app = %q\nservice = %q\n", app, service), 0.24, 152)
		if err != nil {
			return err
		}
		d.agents = append(d.agents, p)
	}
	return nil
}

// stopAll ends all processes that this program started.
func (d *deployment) stopAll() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		d.rec.log("logs of the processes are kept")
		fmt.Fprintln(os.Stderr, d.dir)
	}
}

// owner returns the entry that last wrote the row that decides who owns the jobs.
func (d *deployment) owner() *process {
	value := string(d.store.value("lease", "", "jobs"))
	for _, p := range d.entries {
		if strings.Contains(value, `"`+p.ip+`"`) {
			return p
		}
	}
	return nil
}

// call sends one request of a consumer to an entry. It returns 0 without an answer.
func (d *deployment) call(entry int, method, path string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(toWire(data))
	}
	p := d.entries[entry%len(d.entries)]
	req, err := http.NewRequestWithContext(context.Background(), method, fmt.Sprintf("http://%s:%d%s", p.ip, portFront, path), reader)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(names["header deadline"], "3000")
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job in, up to four times at different entries, as consumers do. It
// reports whether the job was accepted.
func (d *deployment) submit(entry int, q, id string, job any) bool {
	for try := range 4 {
		code, text := d.call(entry+try, http.MethodPost, "/"+q+"/"+id, job)
		if code == http.StatusOK {
			d.rec.log("consumer: POST /%s/%s at front-%d: 200", q, id, (entry+try)%len(d.entries)+1)
			return true
		}
		d.rec.log("consumer: POST /%s/%s at front-%d: %d %.120s", q, id, (entry+try)%len(d.entries)+1, code, text)
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// cancel cancels a job and reports whether that was confirmed.
func (d *deployment) cancel(entry int, q, id string) bool {
	for try := range 4 {
		code, _ := d.call(entry+try, http.MethodDelete, "/"+q+"/"+id, nil)
		d.rec.log("consumer: DELETE /%s/%s at front-%d: %d", q, id, (entry+try)%len(d.entries)+1, code)
		if code == http.StatusOK || code == http.StatusGone {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as a consumer sees it.
func (d *deployment) state(entry int, q, id string) string {
	code, text := d.call(entry, http.MethodGet, "/"+q+"/"+id, nil)
	if code != http.StatusOK {
		return fmt.Sprintf("status %d", code)
	}
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &s)
	return s.State
}

// awaitReady waits until every entry is ready and a job has completed.
func (d *deployment) awaitReady(q string) error {
	deadline := time.Now().Add(20 * time.Second)
	for i, p := range d.entries {
		for {
			resp, err := d.client.Get(fmt.Sprintf("http://%s:%d/v1/ready", p.ip, portReady))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("front-%d is not ready", i+1)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	spec := taskSpec{RunMs: 300, CPU: 500, MemMB: 256}
	id := jobID(0xffff)
	if !d.submit(0, q, id, job(spec, step{Tasks: len(d.workers), EstimateMs: 300, PerWorker: 1})) {
		return errors.New("the first job was not accepted")
	}
	for d.state(0, q, id) != "completed" {
		if time.Now().After(deadline) {
			return errors.New("the first job was not completed")
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.rec.log("all entries are ready, and a job with a task on each of %d workers has completed", len(d.workers))
	return nil
}

// step is a step of a job as consumers send it; job fills in the demand.
type step struct {
	Tasks      int    `json:"tasks"`
	CPU        int64  `json:"cpu,omitempty"`
	MemMB      int64  `json:"mem_mb,omitempty"`
	EstimateMs int64  `json:"estimate_ms,omitempty"`
	After      []int  `json:"after,omitempty"`
	Saves      bool   `json:"checkpointing,omitempty"`
	Label      string `json:"requirements,omitempty"`
	PerWorker  int    `json:"per_worker,omitempty"`
	Lasts      bool   `json:"lasts,omitempty"`
	Image      string `json:"image,omitempty"`
	MayMiss    int    `json:"may_miss,omitempty"`
}

// job returns the body of a submission. All tasks of the job behave as spec says.
func job(spec taskSpec, steps ...step) any {
	for i := range steps {
		steps[i].CPU, steps[i].MemMB, steps[i].Lasts, steps[i].Saves = spec.CPU, spec.MemMB, spec.Lasts, spec.Saves
	}
	return map[string]any{"spec": spec.String(), "steps": steps}
}

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }
