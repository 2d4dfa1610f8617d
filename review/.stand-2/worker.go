package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"time"
)

// startupTime is how long a task that lasts needs until it is at work.
const (
	startupTime    = 300 * time.Millisecond
	checkpointTime = 500 * time.Millisecond // of work between two checkpoints
)

// workerNode is a side machine: the agent (a process of the system) and a stand-in for
// the worker beside it. Its fields are guarded by world.mu.
type workerNode struct {
	w        *world
	index    int
	ip       string
	cpu      int
	memMB    int
	labels   []string
	agent    *process
	server   *http.Server
	boot     int
	id       string
	born     time.Time
	up       bool
	draining bool
	fence    uint64
	leaseEnd time.Duration // on the worker's clock
	tasks    map[string]*run
	highest  map[string]uint64
	ends     []*endRow
	count    uint64
	changed  chan struct{}
	stopBoot context.CancelFunc
	// lastLapse is when the lease last ran out.
	lastLapse time.Time
	// lateShare is the share of orders that are carried out late, lostShare that of
	// those whose answer is lost.
	lateShare, lostShare float64
	// drainAcked is when a check-in that says draining was acknowledged.
	drainAcked time.Time
	poke       chan struct{}
}

type endRow struct {
	number uint64
	task   string
	run    uint64
	how    string
	saved  string
	log    *runLog
}

// run is one running task.
type run struct {
	log      *runLog
	job      *jobSpec
	step     *stepSpec
	gang     *gang
	begin    time.Time // when the work began; zero while a gang waits
	stopAt   time.Time
	savedAt  time.Time
	pace     int
	cpu, mem int
}

// runLog is what the checks know of a run.
type runLog struct {
	task, worker string
	boot         int
	run          uint64
	at           time.Time
	ended        time.Time
	how          string
	noted        bool
	checkpoint   string
}

// gang holds the members of one run of a gang.
type gang struct {
	size    int
	members map[string]*workerNode
	firstAt time.Time
	begun   time.Time
	over    bool
}

func (w *world) addWorker(cpu, memMB int, labels ...string) (*workerNode, error) {
	n := len(w.workers)
	k := &workerNode{w: w, index: n, ip: w.ip(30 + n), cpu: cpu, memMB: memMB, labels: append([]string{"a", fmt.Sprintf("r1-%d", n/3)}, labels...), poke: make(chan struct{}, 1)}
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	extra := fmt.Sprintf("serves = [\"side\"]\napp = %q\nservice = %q\n", k.ip+":8165", serviceName)
	p, err := w.addProcess("jobs-agent", fmt.Sprintf("side-%d", n+1), "side", k.ip, extra, fmt.Sprintf("control = %q", k.ip+":8166"))
	if err != nil {
		return nil, err
	}
	k.agent = p
	return k, k.start("")
}

// start begins a boot of the worker. An empty id means a new one.
func (k *workerNode) start(id string) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", k.ip+":8165"); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := k.w
	w.mu.Lock()
	k.boot++
	if id == "" {
		id = fmt.Sprintf("i-%08x", uint32(time.Now().UnixNano())^uint32(k.index<<24))
	}
	k.id, k.born, k.up, k.draining, k.fence, k.leaseEnd, k.drainAcked = id, time.Now(), true, false, 0, 0, time.Time{}
	k.tasks, k.highest, k.ends, k.count, k.changed = make(map[string]*run), make(map[string]uint64), nil, 0, make(chan struct{})
	k.stopBoot = cancel
	k.server = &http.Server{Handler: &bootHandler{k, k.boot}}
	w.logLocked("%s: boot %d (%s) begins", k.name(), k.boot, k.id)
	server, boot := k.server, k.boot
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go k.announce(ctx, boot)
	go k.tick(ctx, boot)
	return nil
}

func (k *workerNode) name() string { return fmt.Sprintf("worker-%d", k.index+1) }

// crash ends the boot and all that runs on it.
func (k *workerNode) crash() {
	w := k.w
	w.mu.Lock()
	w.logLocked("%s: boot %d crashes", k.name(), k.boot)
	k.up = false
	k.stopBoot()
	server := k.server
	for _, r := range k.tasks {
		r.log.ended, r.log.how = time.Now(), "lost"
		w.dropRunning(r.log)
		if r.gang != nil {
			w.breakGang(r.gang, r.log.task)
		}
	}
	k.tasks = map[string]*run{}
	w.mu.Unlock()
	_ = server.Close()
}

func (k *workerNode) clock() time.Duration { return time.Since(k.born) }

// announce sends the check-ins of a boot.
func (k *workerNode) announce(ctx context.Context, boot int) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		k.w.mu.Lock()
		state, remaining := "ready", 0
		if k.draining {
			state, remaining = "draining", 3000
		}
		body, _ := json.Marshal(map[string]any{
			"remaining_ms": remaining,
			"service":      serviceName, "address": k.ip + ":8165", "zone": "gent", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": k.cpu, "mem_mb": k.memMB, "gpu": 0}, "labels": k.labels, "clock_ms": k.clock().Milliseconds(),
			"sequence": sequence, "born": k.born.UnixMilli(),
		})
		url := "http://" + k.ip + ":8166/v1/Instances.Heartbeat/" + k.id
		k.w.mu.Unlock()
		pause := heartbeat
		if !send(ctx, url, body) {
			pause = 100 * time.Millisecond
		} else if state == "draining" {
			k.w.mu.Lock()
			if k.boot == boot && k.drainAcked.IsZero() {
				k.drainAcked = time.Now()
				k.w.logLocked("%s: draining is acknowledged", k.name())
			}
			k.w.mu.Unlock()
		}
		select {
		case <-time.After(pause):
		case <-k.poke:
		case <-ctx.Done():
		}
	}
}

// leave drains the worker and ends it.
func (k *workerNode) leave() {
	k.w.mu.Lock()
	k.draining = true
	k.w.logLocked("%s: drains", k.name())
	url := "http://" + k.ip + ":8166/v1/Instances.Leave/" + k.id
	k.w.mu.Unlock()
	k.poke <- struct{}{}
	for range 60 {
		time.Sleep(100 * time.Millisecond)
		k.w.mu.Lock()
		acked := !k.drainAcked.IsZero()
		k.w.mu.Unlock()
		if acked {
			break
		}
	}
	time.Sleep(2*time.Second + rand.N(4*time.Second))
	send(context.Background(), url, []byte("{}"))
	k.crash()
}

func send(ctx context.Context, url string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// tick moves the work of a boot on.
func (k *workerNode) tick(ctx context.Context, boot int) {
	for ctx.Err() == nil {
		time.Sleep(4 * time.Millisecond)
		k.w.mu.Lock()
		if k.up && k.boot == boot {
			k.advance()
		}
		k.w.mu.Unlock()
	}
}

// advance ends what is due. The caller holds w.mu.
func (k *workerNode) advance() {
	now := time.Now()
	if k.leaseEnd > 0 && k.clock() >= k.leaseEnd {
		k.lastLapse = now
		for _, task := range sortedTasks(k.tasks) {
			k.end(task, "lapsed")
		}
		return
	}
	for _, task := range sortedTasks(k.tasks) {
		r, ok := k.tasks[task]
		if !ok {
			continue // ended with its gang
		}
		switch {
		case !r.stopAt.IsZero():
			if !now.Before(r.stopAt) {
				k.end(task, "stopped")
			}
		case r.gang != nil && r.begin.IsZero():
			if now.Sub(r.log.at) >= gangTimeout {
				k.end(task, "alone")
			}
		case r.step.flag("long_running"):
		case now.Sub(r.begin) >= r.step.work:
			k.finish(task, r)
		}
	}
}

func sortedTasks(m map[string]*run) []string {
	list := make([]string, 0, len(m))
	for t := range m {
		list = append(list, t)
	}
	slices.Sort(list)
	return list
}

// finish ends a run whose work is over. The members of a gang end together: all as
// done, or, if the work cannot be done, each by its own fault.
func (k *workerNode) finish(task string, r *run) {
	how := "done"
	if r.step.fails {
		how = "failed"
	}
	if r.gang == nil {
		k.end(task, how)
		return
	}
	r.gang.over = true
	for member, node := range r.gang.members {
		if m := node.tasks[member]; m != nil && m.gang == r.gang {
			node.end(member, how)
		}
	}
}

// end ends a run and lists its end. The caller holds w.mu.
func (k *workerNode) end(task, how string) {
	r := k.tasks[task]
	delete(k.tasks, task)
	k.highest[task] = max(k.highest[task], r.log.run)
	k.count++
	saved := ""
	if r.step.flag("checkpointing") {
		saved = r.save()
	}
	k.ends = append(k.ends, &endRow{k.count, task, r.log.run, how, saved, r.log})
	if how == "stopped" {
		k.w.ruleAvail(k, r)
	}
	r.log.ended, r.log.how = time.Now(), how
	k.w.dropRunning(r.log)
	k.w.logLocked("%s: end %d of %s run %x: %s", k.name(), k.count, task, r.log.run, how)
	close(k.changed)
	k.changed = make(chan struct{})
	if how == "alone" {
		k.w.ruleGang(r)
	}
	if r.gang != nil && !r.gang.over {
		k.w.breakGang(r.gang, task)
	}
}

// save returns the last checkpoint of a run, and makes a new one if it has worked for
// checkpointTime since, or if it is being stopped.
func (r *run) save() string {
	if !r.step.flag("checkpointing") || r.begin.IsZero() {
		return r.log.checkpoint
	}
	if now := time.Now(); now.Sub(r.savedAt) >= checkpointTime && now.Sub(r.begin) >= checkpointTime {
		r.savedAt = now
		r.log.checkpoint = fmt.Sprintf("%016x", rand.Uint64())
		r.job.saved[r.log.checkpoint] = savedKey(r.log.task, r.gang != nil)
	}
	return r.log.checkpoint
}

// savedKey names the tasks for which a checkpoint is valid: a task, or a gang.
func savedKey(task string, gang bool) string {
	if gang {
		return task[:strings.LastIndexByte(task, '.')]
	}
	return task
}

// breakGang ends the other members of a gang of which one has ended. Members that
// still wait for the others go on waiting.
func (w *world) breakGang(g *gang, except string) {
	delete(g.members, except)
	if g.begun.IsZero() || g.over {
		return
	}
	g.over = true
	for member, node := range g.members {
		if m := node.tasks[member]; m != nil && m.gang == g {
			node.end(member, "broken")
		}
	}
}

func (w *world) dropRunning(l *runLog) {
	w.running[l.task] = slices.DeleteFunc(w.running[l.task], func(x *runLog) bool { return x == l })
}

type bootHandler struct {
	k    *workerNode
	boot int
}

type orderBody struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"task_spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpointed"`
	Ticket     string `json:"ticket"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// ServeHTTP answers a call to the worker.
func (h *bootHandler) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	k, w := h.k, h.k.w
	var c orderBody
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !k.up || k.boot != h.boot {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path != "/v1/hold" && rand.Float64() < k.lateShare {
		// The order gets no answer and is carried out 2 to 12 s later.
		header, path := r.Header.Clone(), r.URL.Path
		time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() { k.carryLate(header, path, c) })
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < k.lostShare && r.URL.Path != "/v1/hold" {
		h.serve(httptest.NewRecorder(), r.URL.Path, r.Header, r, &c)
		panic(http.ErrAbortHandler)
	}
	h.serve(rw, r.URL.Path, r.Header, r, &c)
}

// carryLate carries out an order whose sender has given up, at the boot that is up.
func (k *workerNode) carryLate(header http.Header, path string, c orderBody) {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	if !k.up {
		return
	}
	k.w.logLocked("%s: late order %s %s run %x", k.name(), path, c.Task, c.Run)
	(&bootHandler{k, k.boot}).serve(httptest.NewRecorder(), path, header, nil, &c)
}

// serve carries out a call. The caller holds w.mu.
func (h *bootHandler) serve(rw http.ResponseWriter, path string, header http.Header, r *http.Request, c *orderBody) {
	k := h.k
	if target := header.Get("X-Boragecrank-Target-Instance"); target != "" && target != k.id {
		http.Error(rw, "another boot", http.StatusMisdirectedRequest)
		return
	}
	if c.Fence < k.fence {
		k.refuse(rw, "fence")
		return
	}
	k.fence = c.Fence
	switch path {
	case "/v1/run-start":
		k.startRun(rw, c)
	case "/v1/run-stop":
		k.stopRun(rw, c)
	case "/v1/hold":
		k.hold(rw, r, c, h.boot)
	case "/v1/pace":
		if r := k.tasks[c.Task]; r != nil && r.log.run == c.Run {
			r.pace = c.Percent
			k.w.logLocked("%s: pace of %s: %d percent", k.name(), c.Task, c.Percent)
		}
		reply(rw, http.StatusOK, map[string]int64{"clock_ms": k.clock().Milliseconds()})
	default:
		http.Error(rw, "no such call", http.StatusNotFound)
	}
}

func (k *workerNode) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": k.clock().Milliseconds(), "reason": reason})
}

func (k *workerNode) extend(deadlineMs int64) {
	deadline := min(time.Duration(deadlineMs)*time.Millisecond, k.clock()+holdMax)
	k.leaseEnd = max(k.leaseEnd, deadline)
}

// used returns the processors and the memory of all that runs or is being stopped.
func (k *workerNode) used() (cpu, mem int) {
	for _, r := range k.tasks {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	return cpu, mem
}

func parseTask(task string) (id string, numbers [3]int) {
	parts := strings.Split(task, ".")
	for i := range numbers {
		numbers[i], _ = strconv.Atoi(parts[i+1])
	}
	return parts[0], numbers
}

// startRun carries a start out. The caller holds w.mu.
func (k *workerNode) startRun(rw http.ResponseWriter, c *orderBody) {
	w := k.w
	ok := func() { reply(rw, http.StatusOK, map[string]int64{"clock_ms": k.clock().Milliseconds()}) }
	if current := k.tasks[c.Task]; current != nil && current.log.run == c.Run {
		k.extend(c.DeadlineMs)
		ok()
		return
	} else if current != nil || c.Run <= k.highest[c.Task] {
		k.extend(c.DeadlineMs)
		k.refuse(rw, "old")
		return
	}
	if c.DeadlineMs <= k.clock().Milliseconds() {
		k.refuse(rw, "late")
		return
	}
	id, n := parseTask(c.Task)
	j := w.jobs[id]
	if j == nil || n[1] >= len(j.steps) {
		w.violate("UNASKED", "%s is told to start %s, which nobody sent", k.name(), c.Task)
		http.Error(rw, "no such task", http.StatusBadRequest)
		return
	}
	step := &j.steps[n[1]]
	cpu := step.number("cpu")
	if step.flag("fills") {
		cpu = 0
	}
	mem := step.number("mem_mb")
	if w.config.advice != nil && !w.advice.accepts(c.Ticket, fmt.Sprintf("%s.%d.%d", id, n[0], n[1]), k.id) {
		w.logLocked("%s: start of %s run %x refused: ticket", k.name(), c.Task, c.Run)
		k.refuse(rw, "ticket")
		return
	}
	usedCPU, usedMem := k.used()
	over := usedCPU+cpu > k.cpu || usedMem+mem > k.memMB
	if over && w.config.admission {
		w.logLocked("%s: start of %s run %x refused: room", k.name(), c.Task, c.Run)
		k.extend(c.DeadlineMs)
		k.refuse(rw, "room")
		return
	}
	if over {
		var list []string
		for _, t := range sortedTasks(k.tasks) {
			text := t
			if !k.tasks[t].stopAt.IsZero() {
				text += " (being stopped)"
			}
			list = append(list, text)
		}
		w.violate("LIMIT", "the start of %s (cpu %d) brings %s to cpu %d of %d; there are already %v", c.Task, cpu, k.name(), usedCPU+cpu, k.cpu, list)
	}
	k.extend(c.DeadlineMs)
	log := &runLog{task: c.Task, worker: k.name(), boot: k.boot, run: c.Run, at: time.Now(), checkpoint: c.Checkpoint}
	r := &run{log: log, job: j, step: step, cpu: cpu, mem: mem, begin: time.Now(), pace: 100}
	w.logLocked("%s: start of %s run %x, now cpu %d of %d", k.name(), c.Task, c.Run, usedCPU+cpu, k.cpu)
	w.ruleStart(k, j, step, n, c, log)
	w.runs = append(w.runs, log)
	w.running[c.Task] = append(w.running[c.Task], log)
	k.tasks[c.Task] = r
	if step.flag("gang") {
		key := fmt.Sprintf("%s.%d.%d/%d", id, n[0], n[1], c.Run)
		g := w.gangs[key]
		if g == nil {
			g = &gang{size: step.number("task_count"), members: make(map[string]*workerNode), firstAt: time.Now()}
			w.gangs[key] = g
		}
		r.gang, r.begin = g, time.Time{}
		g.members[c.Task] = k
		if len(g.members) == g.size && !g.over {
			g.begun = time.Now()
			for member, node := range g.members {
				node.tasks[member].begin = g.begun
			}
		}
	}
	ok()
}

// stopRun carries a stop out. The caller holds w.mu.
func (k *workerNode) stopRun(rw http.ResponseWriter, c *orderBody) {
	k.highest[c.Task] = max(k.highest[c.Task], c.Run)
	if r := k.tasks[c.Task]; r != nil && r.log.run <= c.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopGrace * 3 / 4)
		k.w.logLocked("%s: stop of %s run %x", k.name(), c.Task, c.Run)
	}
	reply(rw, http.StatusOK, map[string]int64{"clock_ms": k.clock().Milliseconds()})
}

// idleTail is the tail latency of an unloaded task that serves, in milliseconds.
const idleTail = 2.0

// figure returns the fifth entry of a run's row: the tail latency of a task with a
// target, which grows with the load of its users and of what fills beside it, and the
// processors in use of any other task.
func (k *workerNode) figure(x *run) float64 {
	if x.step.number("target_ms") == 0 {
		return float64(x.step.number("cpu") * x.pace / 100)
	}
	load := k.w.usersLoad
	for _, r := range k.tasks {
		if r.step.flag("fills") && r.stopAt.IsZero() {
			load += float64(r.step.number("cpu")*r.pace) / 100 / float64(k.cpu)
		}
	}
	return math.Round(idleTail / (1 - min(load, 0.95)))
}

func (r *run) percent() int {
	switch {
	case r.begin.IsZero():
		return 0
	case r.step.flag("long_running"):
		if time.Since(r.begin) >= startupTime {
			return 100
		}
		return 0
	default:
		return min(99, int(100*time.Since(r.begin)/max(1, r.step.work)))
	}
}

// hold answers with both lists. The caller holds w.mu, which is released while the
// answer waits for an end.
func (k *workerNode) hold(rw http.ResponseWriter, r *http.Request, c *orderBody, boot int) {
	w := k.w
	if c.DeadlineMs > 0 {
		k.extend(c.DeadlineMs)
	}
	k.ends = slices.DeleteFunc(k.ends, func(e *endRow) bool {
		if e.number <= c.LastSeen && !k.lastLapse.After(e.log.ended) {
			e.log.noted = true
		}
		return e.number <= c.LastSeen
	})
	timeout := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for expired := c.WaitMs == 0; len(k.ends) == 0 && !expired; {
		changed := k.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		w.mu.Lock()
		if !k.up || k.boot != boot {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range sortedTasks(k.tasks) {
		x := k.tasks[t]
		running = append(running, []any{t, x.log.run, x.save(), x.percent(), k.figure(x)})
	}
	for _, e := range k.ends[:min(len(k.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": k.clock().Milliseconds(), "born": k.born.UnixMilli(), "running": running, "ended": ended})
}
