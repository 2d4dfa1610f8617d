//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world holds the workers of a run and checks what they see.
type world struct {
	l       *lab
	mu      sync.Mutex
	jobs    map[string]*wJob
	tasks   map[string]*wTask
	workers []*wWorker
	broken  []string
	// lateShare of the orders gets no answer and is carried out late.
	lateShare float64
	failShare float64
	gangWait  time.Duration
	alone     int
	noRoom    int
	diedAt    time.Time
	lapses    []wLapse
}

// wLapse is a run whose lease has lapsed.
type wLapse struct {
	t  *wTask
	at time.Time
}

type wStep struct {
	count int
	after []int
	gang  bool
	lasts bool
	ckpt  bool
	work  time.Duration
	// cpu is the demand of a task in thousandths of a core; 0 means 500. mayMiss is how
	// many tasks may be away.
	cpu, mayMiss int64
	// label is the label that a worker must have.
	label string
}

type wJob struct {
	id, spec  string
	steps     []wStep
	due       time.Time // of occurrence 0; zero if not timed
	interval  time.Duration
	times     int
	cancelled time.Time
	attempts  int
	accepted  bool
	state     string
}

type wTask struct {
	name     string
	job      *wJob
	k, s, i  int
	doneAt   time.Time
	noted    bool
	failed   int
	runs     map[*wRun]bool
	saved    map[string]time.Duration
	lastSave time.Duration
}

type wRun struct {
	t       *wTask
	w       *wWorker
	n       uint64
	from    time.Duration
	began   time.Time // of work
	started time.Time
	fails   bool
	overdue bool
	check   string
}

type wEnd struct {
	n     uint64
	t     *wTask
	run   uint64
	how   string
	saved string
}

type wWorker struct {
	wd                         *world
	name, id, address, control string
	// announced is the address under which the agent calls the worker.
	announced string
	cpu       int64
	up        bool
	boot      int
	born      time.Time
	fence     uint64
	lease     time.Duration
	runs      map[string]*wRun
	high      map[string]uint64
	ends      []*wEnd
	endN      uint64
	lapsedTo  uint64
	server    *http.Server
	stop      context.CancelFunc
	draining  bool
	// label is announced besides those of every worker; empty for none. failing is set
	// while the worker fails all that it starts.
	label   string
	failing bool
	// diesOn is the job whose start ends the worker's process.
	diesOn string
}

func (wd *world) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	wd.broken = append(wd.broken, text)
	wd.l.logf("BROKEN %s", text)
}

func (wd *world) task(name string) *wTask {
	if t := wd.tasks[name]; t != nil {
		return t
	}
	p := strings.Split(name, ".")
	if len(p) != 4 || wd.jobs[p[0]] == nil {
		return nil
	}
	k, _ := strconv.Atoi(p[1])
	s, _ := strconv.Atoi(p[2])
	i, _ := strconv.Atoi(p[3])
	j := wd.jobs[p[0]]
	if s >= len(j.steps) || i >= j.steps[s].count || k >= max(1, j.times) {
		return nil
	}
	t := &wTask{name: name, job: j, k: k, s: s, i: i, runs: make(map[*wRun]bool), saved: map[string]time.Duration{}}
	wd.tasks[name] = t
	return t
}

// died ends a worker for good, on the start of a task.
func (wd *world) died(w *wWorker, task string, run uint64) {
	wd.mu.Lock()
	for _, other := range wd.workers {
		other.diesOn = ""
	}
	wd.diedAt = time.Now()
	wd.mu.Unlock()
	wd.l.logf("DISRUPTION: %s receives the start of %s run %d and ends for good, unanswered", w.name, task, run)
	w.crash()
}

func (w *wWorker) clock() time.Duration { return time.Since(w.born) }

// launch starts a boot of the worker.
func (w *wWorker) launch(id string) {
	wd := w.wd
	wd.mu.Lock()
	w.boot++
	w.id, w.up, w.born, w.fence, w.lease = id, true, time.Now(), 0, 0
	w.runs, w.high, w.ends, w.endN, w.lapsedTo, w.draining = map[string]*wRun{}, map[string]uint64{}, nil, 0, 0, false
	boot := w.boot
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	wd.mu.Unlock()
	for range 50 {
		s, err := tryServe(w.address, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.handle(rw, r, boot) }))
		if err == nil {
			w.server = s
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	go w.announce(ctx, boot)
}

func (w *wWorker) crash() {
	wd := w.wd
	wd.mu.Lock()
	w.up = false
	w.stop()
	lost := w.runs
	w.runs = map[string]*wRun{}
	for _, r := range lost {
		delete(r.t.runs, r)
		wd.l.logf("%s lost %s run %d", w.name, r.t.name, r.n)
		if r.t.job.steps[r.t.s].gang && !r.began.IsZero() {
			for _, m := range wd.gangOf(r.t, r.n) {
				m.w.end(m, "broken")
			}
		}
	}
	s := w.server
	wd.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

func (w *wWorker) announce(ctx context.Context, boot int) {
	for n := 1; ctx.Err() == nil; n++ {
		w.wd.mu.Lock()
		id, born, state := w.id, w.born, "ready"
		if w.draining {
			state = "draining"
		}
		ok := w.up && w.boot == boot
		w.wd.mu.Unlock()
		if !ok {
			return
		}
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": w.announced, "zone": "here", "version": "v1", "slots": 8, "state": state, "cold_remaining" + "_ms": 0,
			"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 65536, "gpu": 0}, "labels": append([]string{"a", "r1-1"}, strings.Fields(w.label)...), "clock_ms": time.Since(born).Milliseconds(), "sequence": n, "born": born.UnixMilli(),
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.control+"/v1/Instances."+"Heartbeat/"+id, bytes.NewReader(body))
		if err == nil {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

type wCall struct {
	Task     string
	Run      uint64
	Spec     string
	Deadline int64
	Fence    uint64
	Seen     uint64
	Wait     int64
	Check    string
}

func decodeCall(r *http.Request) (c wCall, err error) {
	var m map[string]json.RawMessage
	if err = json.NewDecoder(r.Body).Decode(&m); err != nil {
		return c, err
	}
	for name, to := range map[string]any{
		"task": &c.Task, "run": &c.Run, "task_" + "spec": &c.Spec, "deadline_ms": &c.Deadline, "fencing" + "_token": &c.Fence, "last" + "_seen": &c.Seen, "wait_ms": &c.Wait, "checkpointed": &c.Check,
	} {
		if raw := m[name]; raw != nil {
			if err = json.Unmarshal(raw, to); err != nil {
				return c, err
			}
		}
	}
	return c, nil
}

func reply(rw http.ResponseWriter, status int, v map[string]any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}

func (w *wWorker) handle(rw http.ResponseWriter, r *http.Request, boot int) {
	c, err := decodeCall(r)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	wd := w.wd
	wd.mu.Lock()
	if target := r.Header.Get("X-Borage" + "crank-Target-Instance"); target != "" && target != w.id {
		wd.mu.Unlock()
		http.Error(rw, "another boot", http.StatusMisdirectedRequest)
		return
	}
	path := r.URL.Path
	if strings.HasSuffix(path, "-start") && w.diesOn != "" && strings.HasPrefix(c.Task, w.diesOn+".") {
		wd.mu.Unlock()
		wd.died(w, c.Task, c.Run)
		panic(http.ErrAbortHandler)
	}
	if path != "/v1/hold" && rand.Float64() < wd.lateShare {
		wd.mu.Unlock()
		go func() {
			time.Sleep(2*time.Second + rand.N(10*time.Second))
			wd.mu.Lock()
			defer wd.mu.Unlock()
			if w.up && w.boot == boot {
				w.tick()
				status, v := w.apply(path, &c)
				wd.l.logf("%s carried out late: %s %s run %d: %d %v", w.name, path, c.Task, c.Run, status, v["reason"])
			}
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	deadline := time.Now().Add(time.Duration(c.Wait) * time.Millisecond)
	first := true
	for {
		if !w.up || w.boot != boot {
			wd.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.tick()
		var status int
		var v map[string]any
		if first || path != "/v1/hold" {
			status, v = w.apply(path, &c)
		} else {
			status, v = http.StatusOK, w.lists(c.Seen)
		}
		first = false
		if path != "/v1/hold" || status != http.StatusOK || len(v["ended"].([][]any)) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			wd.mu.Unlock()
			reply(rw, status, v)
			return
		}
		wd.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		wd.mu.Lock()
	}
}

// apply carries out a call. The caller holds the world's lock.
func (w *wWorker) apply(path string, c *wCall) (int, map[string]any) {
	now := map[string]any{"clock_ms": w.clock().Milliseconds()}
	refuse := func(reason string) (int, map[string]any) {
		now["reason"] = reason
		return http.StatusConflict, now
	}
	if c.Fence < w.fence {
		return refuse("fence")
	}
	w.fence = c.Fence
	if d := min(time.Duration(c.Deadline)*time.Millisecond, w.clock()+10*time.Second); d > w.lease {
		w.lease = d
	}
	switch {
	case strings.HasSuffix(path, "-start"):
		return w.startRun(c, now, refuse)
	case strings.HasSuffix(path, "-stop"):
		w.high[c.Task] = max(w.high[c.Task], c.Run)
		if r := w.runs[c.Task]; r != nil && r.n <= c.Run {
			w.end(r, "stopped")
		}
	case path == "/v1/hold":
		return http.StatusOK, w.lists(c.Seen)
	}
	return http.StatusOK, now
}

func (s *wStep) demand() int64 {
	if s.cpu > 0 {
		return s.cpu
	}
	return 500
}

func (wd *world) demand(task string) int64 {
	if t := wd.task(task); t != nil {
		return t.job.steps[t.s].demand()
	}
	return 0
}

func (w *wWorker) used() int64 {
	sum := int64(0)
	for _, r := range w.runs {
		sum += r.t.job.steps[r.t.s].demand()
	}
	return sum
}

func (w *wWorker) startRun(c *wCall, now map[string]any, refuse func(string) (int, map[string]any)) (int, map[string]any) {
	wd := w.wd
	r := w.runs[c.Task]
	switch {
	case r != nil && r.n == c.Run:
		return http.StatusOK, now
	case r != nil || c.Run <= w.high[c.Task]:
		return refuse("old")
	case time.Duration(c.Deadline)*time.Millisecond <= w.clock():
		return refuse("late")
	}
	if w.used()+wd.demand(c.Task) > w.cpu {
		wd.noRoom++
		return refuse("room")
	}
	t := wd.task(c.Task)
	if t == nil {
		wd.breakf("UNASKED: %s starts %s, which nobody sent", w.name, c.Task)
		return http.StatusBadRequest, now
	}
	step := t.job.steps[t.s]
	if c.Spec != t.job.spec {
		wd.breakf("UNASKED: %s gets another spec for %s", w.name, c.Task)
	}
	from := time.Duration(0)
	if c.Check != "" {
		saved, ok := wd.savedOf(t, c.Check)
		if !ok {
			wd.breakf("UNASKED: %s gets checkpoint %q for %s, which is not the task's", w.name, c.Check, c.Task)
		}
		from = saved
	}
	for _, other := range wd.workers {
		if other.up {
			other.tick()
		}
	}
	for other := range t.runs {
		wd.breakf("TWICE: %s run %d starts on %s beside run %d on %s", t.name, c.Run, w.name, other.n, other.w.name)
	}
	if !t.doneAt.IsZero() && t.noted {
		wd.breakf("TWICE: %s run %d starts on %s %.3f s after a noted end", t.name, c.Run, w.name, time.Since(t.doneAt).Seconds())
	}
	for _, a := range step.after {
		for i := range t.job.steps[a].count {
			if p := wd.task(fmt.Sprintf("%s.%d.%d.%d", t.job.id, t.k, a, i)); p.doneAt.IsZero() {
				wd.breakf("ORDER: %s starts before %s is done", t.name, p.name)
			}
		}
	}
	if t.job.times > 0 && time.Until(t.job.due.Add(time.Duration(t.k)*t.job.interval)) > 250*time.Millisecond {
		wd.breakf("ORDER: %s starts early", t.name)
	}
	if t.failed >= t.job.attempts && !step.lasts {
		wd.breakf("BUDGET: %s starts after %d failed runs", t.name, t.failed)
	}
	if !t.job.cancelled.IsZero() && time.Since(t.job.cancelled) > 3*time.Second {
		wd.breakf("UNASKED: %s starts %.3f s after the cancellation", t.name, time.Since(t.job.cancelled).Seconds())
	}
	r = &wRun{t: t, w: w, n: c.Run, from: from, check: c.Check, started: time.Now(), fails: w.failing || rand.Float64() < wd.failShare}
	w.runs[c.Task], t.runs[r] = r, true
	wd.l.logf("%s start %s run %d from %v", w.name, t.name, c.Run, from)
	if !step.gang {
		r.began = time.Now()
	} else {
		wd.gangPresent(t, c.Run)
	}
	return http.StatusOK, now
}

// gangOf returns the live runs of a gang with a run number.
func (wd *world) gangOf(t *wTask, n uint64) []*wRun {
	var all []*wRun
	for i := range t.job.steps[t.s].count {
		for r := range wd.task(fmt.Sprintf("%s.%d.%d.%d", t.job.id, t.k, t.s, i)).runs {
			if r.n == n {
				all = append(all, r)
			}
		}
	}
	return all
}

func (wd *world) gangPresent(t *wTask, n uint64) {
	all := wd.gangOf(t, n)
	if len(all) < t.job.steps[t.s].count {
		return
	}
	for _, r := range all {
		if r.check != all[0].check {
			wd.breakf("GANG: members of %s run %d carry different checkpoints", t.name, n)
		}
		r.began = time.Now()
	}
}

func (wd *world) savedOf(t *wTask, check string) (time.Duration, bool) {
	if d, ok := t.saved[check]; ok {
		return d, true
	}
	if t.job.steps[t.s].gang {
		for i := range t.job.steps[t.s].count {
			if d, ok := wd.task(fmt.Sprintf("%s.%d.%d.%d", t.job.id, t.k, t.s, i)).saved[check]; ok {
				return d, true
			}
		}
	}
	return 0, false
}

func (r *wRun) progress() time.Duration {
	if r.began.IsZero() {
		return r.from
	}
	return r.from + time.Since(r.began)
}

// end ends a run. The caller holds the world's lock.
func (w *wWorker) end(r *wRun, how string) {
	if w.runs[r.t.name] != r {
		return
	}
	delete(w.runs, r.t.name)
	delete(r.t.runs, r)
	w.high[r.t.name] = max(w.high[r.t.name], r.n)
	w.endN++
	e := &wEnd{n: w.endN, t: r.t, run: r.n, how: how}
	if r.t.job.steps[r.t.s].ckpt && !r.began.IsZero() {
		e.saved = r.save()
	}
	w.ends = append(w.ends, e)
	if how == "done" && r.t.doneAt.IsZero() {
		r.t.doneAt = time.Now()
	}
	if how == "lapsed" {
		w.wd.lapses = append(w.wd.lapses, wLapse{r.t, time.Now()})
	}
	if how == "alone" {
		w.wd.alone++
	}
	w.wd.l.logf("%s %s %s run %d", w.name, how, r.t.name, r.n)
	if r.t.job.steps[r.t.s].gang && how != "done" && how != "broken" {
		for _, m := range w.wd.gangOf(r.t, r.n) {
			if !r.began.IsZero() {
				m.w.end(m, "broken")
			}
		}
	}
}

func (r *wRun) save() string {
	p := r.progress() / (500 * time.Millisecond) * (500 * time.Millisecond)
	name := fmt.Sprintf("%x.%s.%d", int64(p), r.t.name, r.n)
	r.t.saved[name] = p
	return name
}

// tick ends what is over. The caller holds the world's lock.
func (w *wWorker) tick() {
	lapsed := w.clock() >= w.lease
	for _, r := range w.runs {
		step := r.t.job.steps[r.t.s]
		if c := r.t.job.cancelled; !c.IsZero() && time.Since(c) > 3400*time.Millisecond && !r.overdue {
			r.overdue = true
			w.wd.breakf("UNASKED: %s run %d runs on %.3f s after the cancellation", r.t.name, r.n, time.Since(c).Seconds())
		}
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case step.gang && r.began.IsZero() && time.Since(r.started) > w.wd.gangWait:
			w.end(r, "alone")
		case r.fails && !r.began.IsZero() && time.Since(r.began) > step.work/3:
			w.end(r, "failed")
		case !step.lasts && !r.began.IsZero() && r.progress() >= step.work:
			if step.gang {
				for _, m := range w.wd.gangOf(r.t, r.n) {
					m.w.end(m, "done")
				}
			} else {
				w.end(r, "done")
			}
		}
	}
	if lapsed {
		w.lapsedTo = w.endN
	}
}

// lists returns the lists of runs after an acknowledgement.
func (w *wWorker) lists(seen uint64) map[string]any {
	keep := w.ends[:0]
	for _, e := range w.ends {
		if e.n > seen {
			keep = append(keep, e)
			continue
		}
		if e.n > w.lapsedTo {
			switch {
			case e.how == "done":
				e.t.noted = true
				if e.t.job.steps[e.t.s].gang {
					for i := range e.t.job.steps[e.t.s].count {
						w.wd.task(fmt.Sprintf("%s.%d.%d.%d", e.t.job.id, e.t.k, e.t.s, i)).noted = true
					}
				}
			case e.how == "failed":
				e.t.failed++
			}
		}
	}
	w.ends = keep
	running, ended := [][]any{}, [][]any{}
	for name, r := range w.runs {
		step := r.t.job.steps[r.t.s]
		saved, percent := "", 0
		if !r.began.IsZero() {
			percent = min(99, int(100*r.progress()/max(1, step.work)))
			if step.lasts {
				percent = 100
			}
			if step.ckpt {
				saved = r.save()
			}
		}
		running = append(running, []any{name, r.n, saved, percent, 250})
	}
	for _, e := range w.ends {
		if len(ended) < 500 {
			ended = append(ended, []any{e.n, e.t.name, e.run, e.how, e.saved})
		}
	}
	return map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
}
