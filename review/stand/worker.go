package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as the settings state them.
const (
	holdMaxMs    = 10000
	stopTime     = 100 * time.Millisecond // stop_grace_ms is 400
	startupTime  = 300 * time.Millisecond // of a task that lasts
	checkpointMs = 500
	heartbeat    = 1500 * time.Millisecond
	maxEnds      = 500
)

// taskSpec is what the jobs of these cases pass to their tasks: how a task behaves
// once it runs, and its demand, which a worker with admission_check knows.
type taskSpec struct {
	RunMs    int64 `json:"run_ms,omitempty"`
	Lasts    bool  `json:"stays,omitempty"`
	CPU      int64 `json:"cpu,omitempty"`
	MemMB    int64 `json:"mem_mb,omitempty"`
	Advised  bool  `json:"advised,omitempty"`
	Saves    bool  `json:"saves,omitempty"`
	FailsRun int   `json:"fails_run,omitempty"`
}

func (s taskSpec) String() string {
	data, _ := json.Marshal(s)
	return string(data)
}

type running struct {
	number  uint64
	spec    taskSpec
	began   time.Time
	saved   string
	ending  string // how the run ends at endsAt
	endsAt  time.Time
	stopped bool
}

// worker is a stand-in for an upstream worker with admission_check: capacity,
// leases on its own clock, fences, numbered ends that are kept until the owner has seen them.
type worker struct {
	name, id, service, address, agent string
	labels                            []string
	cpu, memMB                        int64
	rec                               *recorder
	advice                            *advice

	mu       sync.Mutex
	born     time.Time
	fence    uint64
	leaseEnd int64
	runs     map[string]*running
	highest  map[string]uint64
	ends     [][]any
	endCount uint64
	endedAt  map[uint64]time.Time
	grey     bool
	endEvent chan struct{}
	server   *http.Server
	cancel   context.CancelFunc
}

func newWorker(name, id, service, address, agent string, labels []string, cpu, memMB int64, rec *recorder) *worker {
	return &worker{
		name: name, id: id, service: service, address: address, agent: agent, labels: labels, cpu: cpu, memMB: memMB, rec: rec,
		born: time.Now(), runs: make(map[string]*running), highest: make(map[string]uint64),
		endedAt: make(map[uint64]time.Time), endEvent: make(chan struct{}),
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// run listens, sends check-ins and ends runs when they are due.
func (w *worker) run() error {
	l, err := listen(w.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go w.announce(ctx)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
			w.mu.Lock()
			w.endDue()
			w.mu.Unlock()
		}
	}()
	return nil
}

// crash ends the worker for good: it listens no more, and nothing runs on it.
func (w *worker) crash() {
	w.cancel()
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.runs {
		w.rec.lost(w.name, task, r.number)
		delete(w.runs, task)
	}
}

// restart ends the worker and starts it again after a pause under the same id. The
// new boot holds nothing and knows nothing of before, and its counts start anew.
func (w *worker) restart(pause time.Duration) error {
	w.crash()
	time.Sleep(pause)
	w.mu.Lock()
	w.born, w.fence, w.leaseEnd, w.ends, w.endCount = time.Now(), 0, 0, nil, 0
	w.highest, w.endedAt = make(map[string]uint64), make(map[uint64]time.Time)
	w.mu.Unlock()
	return w.run()
}

func (w *worker) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": "here", "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
			"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "labels": w.labels, "clock_ms": w.clock(),
			"sequence": sequence, "born": w.born.UnixMilli(),
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.agent+names["path check-in"]+w.id, bytes.NewReader(toWire(body)))
		if err == nil {
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

type orderCall struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	Saved      string `json:"checkpointed"`
	Ticket     string `json:"ticket"`
	LastSeen   uint64 `json:"seen"`
	WaitMs     int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var c orderCall
	if err := decode(r.Body, &c); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if id := r.Header.Get(names["header boot"]); id != "" && id != w.id {
		http.Error(rw, "another boot", http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.endDue()
	if c.Fence < w.fence {
		w.mu.Unlock()
		w.conflict(rw, "fence")
		return
	}
	w.fence = c.Fence
	w.leaseEnd = max(w.leaseEnd, min(c.DeadlineMs, w.clock()+holdMaxMs))
	w.mu.Unlock()
	switch r.URL.Path {
	case names["path start"]:
		w.start(rw, &c)
	case names["path stop"]:
		w.stop(rw, &c)
	case "/v1/hold":
		w.hold(rw, r, &c)
	case "/v1/pace":
		writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
	default:
		http.NotFound(rw, r)
	}
}

func (w *worker) conflict(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// start begins a run, or refuses it for the reasons that the pages name.
func (w *worker) start(rw http.ResponseWriter, c *orderCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.runs[c.Task]
	if current != nil && current.number == c.Run {
		writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
		return
	}
	var spec taskSpec
	_ = json.Unmarshal([]byte(c.Spec), &spec)
	cpu, mem := spec.CPU, spec.MemMB
	for _, r := range w.runs {
		cpu, mem = cpu+r.spec.CPU, mem+r.spec.MemMB
	}
	reason := ""
	switch {
	case current != nil || c.Run <= w.highest[c.Task]:
		reason = "old"
	case c.DeadlineMs <= w.clock():
		reason = "late"
	case spec.Advised && !w.advice.valid(w.id, c.Task, c.Ticket):
		reason = "ticket"
	case cpu > w.cpu || mem > w.memMB:
		reason = "room"
	}
	if reason != "" {
		w.rec.run("start refused, "+reason, w.name, c.Task, c.Run)
		w.conflict(rw, reason)
		return
	}
	now := time.Now()
	r := &running{number: c.Run, spec: spec, began: now, saved: c.Saved}
	switch {
	case w.grey:
		r.ending, r.endsAt = "failed", now.Add(startupTime)
	case spec.FailsRun > 0 && w.rec.startsOf(c.Task)+1 == spec.FailsRun:
		r.ending, r.endsAt = "failed", now.Add(2*time.Second)
	case !spec.Lasts:
		r.ending, r.endsAt = "done", now.Add(time.Duration(spec.RunMs)*time.Millisecond)
	}
	w.runs[c.Task] = r
	w.rec.start(w.name, c.Task, c.Run)
	writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
}

func (w *worker) stop(rw http.ResponseWriter, c *orderCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.runs[c.Task]; r != nil && r.number <= c.Run && !r.stopped {
		r.stopped, r.ending, r.endsAt = true, "stopped", time.Now().Add(stopTime)
	}
	writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
}

// endDue ends all runs if the lease has expired, otherwise those that are due.
func (w *worker) endDue() {
	now, lapsed := time.Now(), w.clock() >= w.leaseEnd
	for task, r := range w.runs {
		switch {
		case lapsed:
			w.end(task, r, "lapsed")
		case r.ending != "" && !now.Before(r.endsAt):
			w.end(task, r, r.ending)
		}
	}
}

func (w *worker) end(task string, r *running, how string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.endCount++
	w.ends = append(w.ends, []any{w.endCount, task, r.number, how, w.checkpoint(r)})
	w.endedAt[w.endCount] = time.Now()
	w.rec.end(w.name, task, r.number, how)
	close(w.endEvent)
	w.endEvent = make(chan struct{})
}

// checkpoint returns the run's last checkpoint: a new one with each checkpoint_s of
// work.
func (w *worker) checkpoint(r *running) string {
	n := time.Since(r.began).Milliseconds() / checkpointMs
	if r.spec.Saves && n > 0 {
		r.saved = fmt.Sprintf("%08x%08x", n, r.number&0xffffffff)
	}
	return r.saved
}

// forget drops the listed ends up to lastSeen.
func (w *worker) forget(lastSeen uint64) {
	n := 0
	for n < len(w.ends) && w.ends[n][0].(uint64) <= lastSeen {
		delete(w.endedAt, w.ends[n][0].(uint64))
		n++
	}
	w.ends = w.ends[n:]
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, c *orderCall) {
	timeout := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	w.mu.Lock()
	w.forget(c.LastSeen)
	w.mu.Unlock()
	for {
		w.mu.Lock()
		w.endDue()
		if len(w.ends) > 0 || c.WaitMs <= 0 {
			break
		}
		event := w.endEvent
		w.mu.Unlock()
		select {
		case <-event:
			continue
		case <-timeout:
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		break
	}
	list := make([][]any, 0, len(w.runs))
	for task, x := range w.runs {
		list = append(list, []any{task, x.number, w.checkpoint(x), x.percent(), x.figure()})
	}
	ends := append([][]any{}, w.ends[:min(len(w.ends), maxEnds)]...)
	reply := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": list, "ended": ends}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, reply)
}

// percent is the share of the work that is done; a task that lasts has 100 once it
// is at work.
func (r *running) percent() int {
	if r.spec.Lasts {
		if time.Since(r.began) >= startupTime {
			return 100
		}
		return 0
	}
	return int(min(99, time.Since(r.began).Milliseconds()*100/max(1, r.spec.RunMs)))
}

// figure is the processor use in thousandths of a core, and for a task that lasts a
// tail latency well below any target.
func (r *running) figure() int64 {
	if r.spec.Lasts {
		return 5
	}
	return max(1, r.spec.CPU)
}

// isRunning reports whether the task runs here.
func (w *worker) isRunning(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[task] != nil
}

// use returns the processors in use.
func (w *worker) use() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := int64(0)
	for _, r := range w.runs {
		n += r.spec.CPU
	}
	return n
}

// unseen returns how many ends were listed longer than age ago and have not been
// taken note of.
func (w *worker) unseen(age time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, at := range w.endedAt {
		if time.Since(at) > age {
			n++
		}
	}
	return n
}

func (w *worker) setGrey(grey bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grey = grey
	for _, r := range w.runs {
		if grey && !r.stopped {
			r.ending, r.endsAt = "failed", time.Now().Add(startupTime)
		}
	}
}

// advice is a stand-in for the policy service. allowed holds the ids of the workers
// that the policy allows, the same for all steps.
type advice struct {
	rec     *recorder
	mu      sync.Mutex
	allowed map[string]bool
	issued  map[string]time.Time // ticket to the end of its validity
	calls   int
	turn    sync.Mutex // one call at a time; the cases have one calling machine
}

// Times of the policy service of the cases.
const (
	decideMs = 20
	eachMs   = 1
	validMs  = 3000
)

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (a *advice) valid(id, task, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.HasPrefix(ticket, id+"/"+stepOf(task)+"/") && time.Now().Before(a.issued[ticket])
}

func (a *advice) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/v1/advise" || json.NewDecoder(r.Body).Decode(&c) != nil || len(c.Workers) > 100 {
		http.Error(w, "not a request for advice", http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(time.Duration(decideMs+eachMs*len(c.Workers)) * time.Millisecond)
	a.turn.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	good := [][2]string{}
	for _, id := range c.Workers {
		if a.allowed[id] {
			ticket := id + "/" + c.Step + "/" + strconv.Itoa(a.calls)
			a.issued[ticket] = time.Now().Add(validMs * time.Millisecond)
			good = append(good, [2]string{id, ticket})
		}
	}
	a.rec.log("advice for step %s: %d workers named, from %s to %s; %d may run it", c.Step, len(c.Workers), c.Workers[0], c.Workers[len(c.Workers)-1], len(good))
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid_ms": validMs})
}
