package faultsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

const (
	host    = "jobs.example"
	prefix  = "/q/"
	service = "svc"
	// largeJobTasks is the number of tasks of a job whose progress takes several rows.
	largeJobTasks = 120
	// longRunTime is longer than any lease.
	longRunTime = 12 * time.Second
	// callTimeout is how long a caller waits for a response.
	callTimeout = 4 * time.Second
	// copyStartGrace is how long after the acknowledgement of an end as done the task of
	// a step that tolerates copies may start.
	copyStartGrace = time.Second
	// retryPause is the pause of a caller after a 503.
	retryPause = 300 * time.Millisecond
)

// runChecker counts the runs that the workers record and checks that no task
// runs twice at the same time, or starts again after an end as done that is
// acknowledged. With copies, a task may run twice but not three times, and may start
// until copyStartGrace after the acknowledgement.
type runChecker struct {
	mu         sync.Mutex
	running    map[string]int
	done       map[string]int
	starts     int
	violations []string
	// doneRuns holds the runs of each task that have ended as done.
	doneRuns map[string][]doneRun
	// twice holds the tasks that have had two runs at the same time. Their further
	// events are reported, which shows how the runs ended.
	twice map[string]bool
	// speculative holds the steps that tolerate copies, copies those whose tasks may
	// have two runs because the entries start copies, each by stepOf.
	speculative, copies map[string]bool
}

// doneRun is a run that has ended as done. The task may start again only if the end is
// never acknowledged: the worker's lease has expired before.
type doneRun struct {
	run                     uint64
	acknowledged, restarted bool
	acknowledgedAt          time.Time
}

func (w *runChecker) reset() {
	w.running, w.done, w.twice = make(map[string]int), make(map[string]int), make(map[string]bool)
	w.doneRuns = make(map[string][]doneRun)
	w.speculative, w.copies = make(map[string]bool), make(map[string]bool)
}

// stepOf returns the part of a task's name that all tasks of its step have.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')+1] }

// addSpeculative adds a step that tolerates copies. With copies, its tasks may have two
// runs at the same time.
func (w *runChecker) addSpeculative(step string, copies bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.speculative[step], w.copies[step] = true, copies
}

// countRunning returns the number of runs of a job that are in progress.
func (w *runChecker) countRunning(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task, runs := range w.running {
		if strings.HasPrefix(task, id+".") {
			n += runs
		}
	}
	return n
}

// record implements standin.WorkerOptions.Record. Every event other than start
// ends a run, and done also counts the task as done.
func (w *runChecker) record(event, task string, run uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, maxRuns := time.Now().Format("15:04:05.000"), 1
	copies := w.copies[stepOf(task)]
	if copies {
		maxRuns = 2
	}
	if w.twice[task] {
		w.violations = append(w.violations, fmt.Sprintf("%s task %s run %d: %s", now, task, run, event))
	}
	for i := range w.doneRuns[task] {
		d := &w.doneRuns[task][i]
		if event == "noted" && d.run == run && !d.acknowledged {
			d.acknowledged, d.acknowledgedAt = true, time.Now()
		}
		// A copy may start before the acknowledgement and for copyStartGrace after it.
		d.restarted = d.restarted || event == "start" && (!copies || d.acknowledged && time.Since(d.acknowledgedAt) > copyStartGrace)
		if d.acknowledged && d.restarted && !w.twice[task] {
			w.twice[task] = true
			w.violations = append(w.violations, fmt.Sprintf("%s task %s run %d: %s, so that it started again although the end of run %d as done is acknowledged", now, task, run, event, d.run))
		}
	}
	switch event {
	case "noted":
		return
	case "start":
		w.starts++
		w.running[task]++
		if w.running[task] > maxRuns {
			w.twice[task] = true
			w.violations = append(w.violations, fmt.Sprintf("%s task %s run %d started, so that %d runs are in progress; allowed are %d", now, task, run, w.running[task], maxRuns))
		}
		return
	case "done":
		w.done[task]++
		w.doneRuns[task] = append(w.doneRuns[task], doneRun{run: run})
	}
	w.running[task]--
}

// countDone returns the number of tasks of a job that are done.
func (w *runChecker) countDone(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task := range w.done {
		if strings.HasPrefix(task, id+".") {
			n++
		}
	}
	return n
}

func (w *runChecker) hasStarted(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		if strings.HasPrefix(task, id+".") {
			return true
		}
	}
	return false
}

// jobOutcome is the outcome of a submission as the caller sees it.
type jobOutcome int

const (
	outcomeUnknown jobOutcome = iota
	outcomeAccepted
	outcomeRefused
)

// jobClient simulates the callers.
type jobClient struct {
	w          *soakRun
	client     *http.Client
	mu         sync.Mutex
	outcomes   map[string]jobOutcome
	taskCounts map[string]int
	// standing holds the jobs that run until they are cancelled.
	standing map[string]bool
}

func newJobClient(w *soakRun) *jobClient {
	return &jobClient{w: w, client: &http.Client{Timeout: callTimeout}, outcomes: make(map[string]jobOutcome), taskCounts: make(map[string]int), standing: make(map[string]bool)}
}

// call sends one request to an entry and returns the status code and the body
// of the response. Without a response it returns 0 and the error text.
func (j *jobClient) call(ctx context.Context, entry int, method, id string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+j.w.callerAddresses[entry]+prefixOf(id)+id, reader)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	resp, err := j.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

func (j *jobClient) awaitReady(ctx context.Context, entry int) bool {
	for range 200 {
		if code, _ := j.call(ctx, entry, http.MethodGet, "", nil); code == http.StatusOK {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// submitAll submits jobs of two steps until the context is cancelled.
func (j *jobClient) submitAll(ctx context.Context) {
	rng := rand.New(rand.NewPCG(j.w.opts.Seed, 12)) //nolint:gosec // reproducible
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", uint64(n)+1)
		body, tasks := j.randomJob(rng)
		if j.w.mechanisms != nil && (!j.w.opts.SilentRestarts || rng.IntN(2) == 0) {
			body, tasks = j.w.mechanisms.randomJob(rng, id)
		}
		entry := rng.IntN(len(j.w.callerAddresses))
		wg.Add(1)
		go func() {
			defer wg.Done()
			j.submit(context.WithoutCancel(ctx), id, body, tasks, entry)
		}()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(time.Second) / j.w.opts.JobsPerSecond)):
		}
	}
	wg.Wait()
}

// randomJob returns a job of two steps, with the number of its tasks. With faults of
// workers, jobs differ in their run times and sizes, and some may run on one worker
// only.
func (j *jobClient) randomJob(rng *rand.Rand) (body any, tasks int) {
	first := 1 + rng.IntN(4)
	run, label := runTime, ""
	if j.w.opts.WorkerFaults {
		run = []time.Duration{40 * time.Millisecond, runTime, 2 * time.Second}[rng.IntN(3)]
		switch rng.IntN(20) {
		case 0:
			first = largeJobTasks
		case 1, 2:
			label = labelOfOne
		}
	}
	size := int64(4000 / 8)
	if j.w.opts.SilentRestarts {
		size = 4000 / 40
		if rng.IntN(4) == 0 && first != largeJobTasks {
			// The one worker with the label has no room for a backlog of long tasks.
			run, label = longRunTime, ""
		}
	}
	step := standin.Step{Tasks: first, MilliCPU: size, RunTime: run, Checkpoints: true, Label: label}
	if first == largeJobTasks {
		step.MilliCPU = 20
	}
	last := standin.Step{Tasks: 1, MilliCPU: size, RunTime: run, After: []int{0}}
	return standin.Job(run.String(), step, last), first + 1
}

// submit submits a job. Without a response it retries at other entries, as
// callers do, with up to 4 attempts in all. After a 503 callers give up; with
// Options.Mechanisms half of them retry.
func (j *jobClient) submit(ctx context.Context, id string, body any, tasks, entry int) {
	outcome := outcomeUnknown
	attempts, refusals := 1, 0
	if j.w.mechanisms != nil {
		attempts = 1 + int(id[len(id)-1])%2*3
	}
	for try := 0; try < 4 && outcome == outcomeUnknown; try++ {
		switch code, _ := j.call(ctx, (entry+try)%len(j.w.callerAddresses), http.MethodPost, id, body); code {
		case http.StatusOK:
			outcome = outcomeAccepted
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			// After an unanswered attempt, a refusal does not prove that the job
			// was not accepted.
			if refusals++; refusals == attempts && refusals == try+1 {
				outcome = outcomeRefused
				continue
			}
			if attempts > 1 {
				time.Sleep(retryPause)
			}
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes[id], j.taskCounts[id] = outcome, tasks
}

// awaitCompletion waits up to settleTimeout for the accepted jobs to complete
// and checks the outcomes of all jobs.
func (j *jobClient) awaitCompletion(ctx context.Context) {
	open := make(map[string]bool)
	for id, outcome := range j.outcomes {
		if j.standing[id] {
			continue
		}
		switch outcome {
		case outcomeAccepted:
			j.w.res.Accepted++
			open[id] = true
		case outcomeRefused:
			j.w.res.Refused++
		default:
			j.w.res.Unknown++
		}
	}
	for end := time.Now().Add(settleTimeout); len(open) > 0 && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		for id := range open {
			code, text := j.call(ctx, 0, http.MethodGet, id, nil)
			if code == http.StatusGone {
				j.w.addViolation("job %s was accepted but does not exist", id)
				delete(open, id)
			}
			if strings.Contains(text, `"completed"`) {
				j.checkCompleted(id)
				delete(open, id)
			}
		}
	}
	for id := range open {
		code, text := j.call(ctx, 0, http.MethodGet, id, nil)
		j.w.addViolation("job %s did not complete within %v after the faults: %d %s", id, settleTimeout, code, strings.TrimSpace(text))
	}
}

// checkRefused checks that no refused job has run by the end of the soak.
func (j *jobClient) checkRefused() {
	for id, outcome := range j.outcomes {
		if outcome == outcomeRefused && j.w.runChecker.hasStarted(id) {
			j.w.addViolation("job %s was refused but has run", id)
		}
	}
}

func (j *jobClient) checkCompleted(id string) {
	j.w.res.Completed++
	if done := j.w.runChecker.countDone(id); done != j.taskCounts[id] {
		j.w.addViolation("job %s completed with %d of %d tasks done", id, done, j.taskCounts[id])
	}
}
