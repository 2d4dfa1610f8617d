package jobserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/jobserver"
	"github.com/boragecrank/boragecrank/platform"
	"github.com/boragecrank/boragecrank/platform/standin"
)

const runTime = 300 * time.Millisecond

// deployment is a complete deployment on the loopback interface: a store, two
// entries, and workers with their agents.
type deployment struct {
	t     *testing.T
	store *standin.Store
	// storeAddress is the address of the store, jobs counts those of nextJob.
	storeAddress string
	jobs         int
	rowBytes     int
	entries      []string
	// refused is set while the store refuses the calls of an entry.
	refused     [2]atomic.Bool
	stops       []context.CancelFunc
	stopWorkers []func()
	workers     []*standin.Worker
	// workerAddresses are the addresses on which the workers listen.
	workerAddresses []string
	roleDone        []chan struct{}
	// passSubmissions and quietHandover are options of the entries.
	passSubmissions, quietHandover bool
	// domains are the failure domains of the workers in order; "here" for the rest.
	domains []string
	log     logLines
	mu      sync.Mutex
	// startsBy counts the starts by worker.
	startsBy map[int]int
	starts   map[string]int
	running  map[string]int
}

func newDeployment(t *testing.T, workers int) *deployment {
	t.Helper()
	return newDeploymentWithLimit(t, workers, standin.RowBytes)
}

// newDeploymentWithLimit returns a deployment whose store takes values of at most
// rowBytes. The options are applied before the processes start.
func newDeploymentWithLimit(t *testing.T, workers, rowBytes int, options ...func(*deployment)) *deployment {
	t.Helper()
	d := &deployment{t: t, store: standin.NewStore(), rowBytes: rowBytes, startsBy: map[int]int{}, starts: map[string]int{}, running: map[string]int{}}
	for _, set := range options {
		set(d)
	}
	d.store.SetRowBytes(rowBytes)
	server := httptest.NewServer(d.store)
	t.Cleanup(server.Close)
	store := strings.TrimPrefix(server.URL, "http://")
	d.storeAddress = store
	if err := d.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(1, queue)); err != nil {
		t.Fatal(err)
	}
	for i := range d.refused {
		// Each entry reaches the store through a server of its own, which can refuse it.
		gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if d.refused[i].Load() {
				http.Error(w, "unavailable", http.StatusServiceUnavailable)
				return
			}
			d.store.ServeHTTP(w, r)
		}))
		t.Cleanup(gate.Close)
		d.startEntry(strings.TrimPrefix(gate.URL, "http://"))
	}
	for i := range workers {
		d.startWorker(store, i)
	}
	d.await("entries that are ready", func() bool {
		code, _ := d.call(0, http.MethodGet, "/q/", nil)
		other, _ := d.call(1, http.MethodGet, "/q/", nil)
		return code == http.StatusOK && other == http.StatusOK
	})
	return d
}

var queue = standin.Queue{Name: "r-q", Host: "jobs.example", Prefix: "/q/", Service: "svc", Attempts: 2}

func (d *deployment) settings(p standin.ProcessOptions) *platform.Settings {
	d.t.Helper()
	p.RowBytes = d.rowBytes
	s, err := platform.ParseSettings("test", []byte(p.Settings()))
	if err != nil {
		d.t.Fatal(err)
	}
	return s
}

func (d *deployment) startRole(s *platform.Settings, role func(context.Context, jobserver.Options) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	tel := d.newTelemetry(s.Name)
	go func() {
		defer close(done)
		if err := role(ctx, jobserver.Options{Settings: s, Store: platform.NewStore(s.Store, s.MaxRowBytes), Telemetry: tel, PassSubmissions: d.passSubmissions, QuietHandover: d.quietHandover}); err != nil {
			d.t.Errorf("role of %s: %v", s.Name, err)
		}
	}()
	d.stops = append(d.stops, cancel)
	d.roleDone = append(d.roleDone, done)
	d.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (d *deployment) startEntry(store string) {
	p := standin.NewLocalVM().EntryOptions(fmt.Sprintf("entry-%d", len(d.entries)), store)
	d.entries = append(d.entries, p.CallerAPI)
	d.startRole(d.settings(p), jobserver.RunEntry)
}

func (d *deployment) nextJob() int {
	d.jobs++
	return d.jobs
}

// record counts starts, and fails the test if a task has two runs at the same time.
func (d *deployment) record(event, task string, _ uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if event != "start" {
		d.running[task]--
		return
	}
	d.starts[task]++
	d.running[task]++
	if d.running[task] > 1 {
		d.t.Errorf("task %s has %d runs at the same time", task, d.running[task])
	}
}

// started reports whether a task has been started.
func (d *deployment) started(task string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts[task] > 0
}

// awaitTimeout is longer than a takeover plus the run times of the jobs in these tests,
// also on a busy machine: TestLargeJobDoesNotStopTheOthers, whose jobs run for 0.6 s, took
// up to 23 s beside ten busy processes and three instances of these tests.
const awaitTimeout = 60 * time.Second

func (d *deployment) await(event string, ready func() bool) {
	d.t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ready() {
			return
		}
	}
	d.t.Fatalf("timed out waiting for %s after %v", event, awaitTimeout)
}

func (d *deployment) awaitState(entry int, id, state string) {
	d.t.Helper()
	d.await("job "+id+" to be "+state, func() bool {
		_, text := d.call(entry, http.MethodGet, "/q/"+id, nil)
		return strings.Contains(text, `"`+state+`"`)
	})
}

func twoStepJob(tasks int) any {
	return standin.Job("payload", standin.Step{Tasks: tasks, MilliCPU: 500, RunTime: runTime}, standin.Step{Tasks: 1, MilliCPU: 500, RunTime: runTime, After: []int{0}})
}

// Guards against a fault anywhere on the path of a job: entry, store, owner, agent,
// worker, and back to the state that every entry returns.
func TestJobOfTwoSteps(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	const id = "00000000000000a1"
	d.accept(0, http.MethodPost, id, twoStepJob(5))
	if code, _ := d.call(1, http.MethodPost, "/q/"+id, twoStepJob(5)); code != http.StatusOK {
		t.Errorf("repeated submission: %d, want 200", code)
	}
	d.awaitState(0, id, "completed")
	d.awaitState(1, id, "completed")
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.starts) != 6 {
		t.Errorf("%d tasks started, want 6", len(d.starts))
	}
	for task, n := range d.starts {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// Guards against wrong status codes for jobs and queues that do not exist, and for
// bodies that are not jobs.
func TestStatusOfInvalidRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	for _, c := range []struct {
		method, path string
		body         any
		want         int
	}{
		{http.MethodGet, "/q/00000000000000ff", nil, http.StatusGone},
		{http.MethodDelete, "/q/00000000000000ff", nil, http.StatusGone},
		{http.MethodGet, "/other/00000000000000ff", nil, http.StatusNotFound},
		{http.MethodPost, "/other/00000000000000ff", twoStepJob(1), http.StatusNotFound},
		{http.MethodPost, "/q/no-id", twoStepJob(1), http.StatusBadRequest},
		{http.MethodPost, "/q/00000000000000fe", map[string]any{"steps": 7}, http.StatusBadRequest},
		{http.MethodPost, "/q/00000000000000fe", map[string]any{"steps": []any{}}, http.StatusBadRequest},
		{http.MethodPut, "/q/00000000000000fe", nil, http.StatusMethodNotAllowed},
	} {
		if code, text := d.call(0, c.method, c.path, c.body); code != c.want {
			t.Errorf("%s %s: %d %s, want %d", c.method, c.path, code, text, c.want)
		}
	}
}

// Guards against tasks that continue, or start, after their job was cancelled.
func TestCancel(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	const id = "00000000000000b1"
	d.accept(0, http.MethodPost, id, twoStepJob(20))
	d.awaitState(1, id, "running")
	d.accept(1, http.MethodDelete, id, nil)
	d.awaitState(0, id, "cancelled")
	d.await("end of the tasks", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, n := range d.running {
			if n > 0 {
				return false
			}
		}
		return true
	})
	d.await("deletion of the job's rows", func() bool { return len(d.store.Rows("job"))+len(d.store.Rows("progress")) == 0 })
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.starts) >= 20 {
		t.Errorf("%d tasks started, want fewer: there is room for 8 at a time", len(d.starts))
	}
}

// Guards against lost jobs and duplicate runs of tasks when an entry, possibly the
// owner, stops and another entry owns the jobs afterwards.
func TestOwnerStops(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	ids := []string{"00000000000000c1", "00000000000000c2", "00000000000000c3"}
	for _, id := range ids {
		d.accept(0, http.MethodPost, id, twoStepJob(12))
	}
	d.awaitState(0, ids[0], "running")
	stopped := 0
	var row struct {
		Owner string `json:"owner"`
	}
	if err := json.Unmarshal(d.store.Rows("lease")[0].Value, &row); err != nil {
		t.Fatal(err)
	}
	d.stops[0]()
	<-d.roleDone[0]
	var after struct {
		Owner string `json:"owner"`
	}
	d.await("owner", func() bool {
		if err := json.Unmarshal(d.store.Rows("lease")[0].Value, &after); err != nil {
			t.Fatal(err)
		}
		return after.Owner != ""
	})
	for _, id := range ids {
		d.awaitState(1, id, "completed")
	}
	t.Logf("owner was %s; after the stop of entry %d it is %s", row.Owner, stopped, after.Owner)
}

// Guards against false refusals and unreadable states while the store is unavailable,
// and against losing writes whose answers were lost.
func TestStoreUnavailable(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	const id, refused, lost = "00000000000000d1", "00000000000000d2", "00000000000000d3"
	d.accept(0, http.MethodPost, id, twoStepJob(1))
	d.awaitState(0, id, "completed")
	d.store.SetFaults(standin.Faults{Unavailable: true})
	if code, _ := d.call(0, http.MethodPost, "/q/"+refused, twoStepJob(1)); code != http.StatusServiceUnavailable {
		t.Errorf("submission while the store refuses: %d, want 503", code)
	}
	if code, text := d.call(0, http.MethodGet, "/q/"+id, nil); code != http.StatusOK {
		t.Errorf("state while the store refuses: %d %s", code, text)
	}
	if code, _ := d.call(0, http.MethodGet, "/q/"+refused, nil); code == http.StatusGone {
		t.Error("an unknown job is reported as not existing while the store refuses calls")
	}
	d.store.SetFaults(standin.Faults{DropResponses: true})
	if code, _ := d.call(0, http.MethodPost, "/q/"+lost, twoStepJob(1)); code != http.StatusOK {
		t.Errorf("submission whose first answer is lost: %d, want 200", code)
	}
	d.store.SetFaults(standin.Faults{})
	d.awaitState(0, lost, "completed")
	if code, _ := d.call(0, http.MethodGet, "/q/"+refused, nil); code != http.StatusGone {
		t.Error("state of the refused job: got another status, want 410")
	}
}

// Guards against a new owner that waits for the lease of a VM that has left: the row
// must be deleted soon after nothing can run on the VM. In a recorded run the owner
// after a power loss waited 6 s for a VM that had left 9 s before.
func TestRowOfStoppedVMIsDeleted(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	d.await("two agents", func() bool { return len(d.store.Rows("agent")) == 2 })
	const id = "00000000000000a9"
	d.accept(0, http.MethodPost, id, twoStepJob(12))
	d.awaitState(0, id, "completed") // both workers are known
	d.stopWorkers[1]()
	d.await("the owner to know that the worker does not listen", func() bool {
		return d.log.count(`"event":655`, "worker is gone") > 0
	})
	d.stops[len(d.stops)-1]()
	left := time.Now()
	d.await("removal of the VM", func() bool { return len(d.store.Rows("agent")) == 1 })
	if took := time.Since(left); took > 5*time.Second {
		t.Errorf("the row of a VM that left was deleted after %v, want at most 5 s", took)
	}
}

// Guards against a new owner that waits for the lease of a worker that has ended after
// announcing it: its VM must be removed at once, while its agent still answers. In a
// recorded run 61 workers left a few seconds before a power loss, and all older jobs
// waited for 9 s after it.
func TestRowOfDrainedVMIsDeletedAtOnce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	d.await("two agents", func() bool { return len(d.store.Rows("agent")) == 2 })
	const id = "00000000000000aa"
	d.accept(0, http.MethodPost, id, twoStepJob(12))
	d.awaitState(0, id, "completed") // both workers are known
	d.workers[1].Drain()
	time.Sleep(time.Second) // announced and reported
	d.stopWorkers[1]()
	left := time.Now()
	d.await("removal of the VM", func() bool { return len(d.store.Rows("agent")) == 1 })
	if took := time.Since(left); took > 1500*time.Millisecond {
		t.Errorf("the row of a drained VM was deleted %v after its worker ended, want at most 1.5 s", took)
	}
}

// Guards against submissions that wait for their deadline and end with an unknown
// outcome while the store does not answer. Once it has not answered for longer than
// silentThreshold of internal/jobs, 800 ms, they must be refused at once; they must be
// accepted again when the store answers.
func TestSilentStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	d.store.SetFaults(standin.Faults{Unresponsive: true})
	time.Sleep(2 * time.Second)
	for i := range 4 {
		begin := time.Now()
		code, text := d.call(0, http.MethodPost, fmt.Sprintf("/q/00000000000000f%d", i), twoStepJob(1))
		if took := time.Since(begin); code != http.StatusServiceUnavailable || took > 200*time.Millisecond {
			t.Errorf("submission %d: %d %s after %v, want 503 at once", i, code, text, took)
		}
	}
	d.store.SetFaults(standin.Faults{})
	const id = "00000000000000f9"
	d.await("submission that is accepted", func() bool {
		code, _ := d.call(0, http.MethodPost, "/q/"+id, twoStepJob(1))
		return code == http.StatusOK
	})
	d.awaitState(0, id, "completed")
}

// Guards against jobs that stop while the store is unavailable: the steps of a job must
// follow each other for longer than the owner's lease lasts.
func TestStepsContinueWhileStoreIsUnavailable(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	const id, steps = "00000000000000e1", 10
	chain := make([]standin.Step, steps)
	for i := range chain {
		chain[i] = standin.Step{Tasks: 1, MilliCPU: 100, RunTime: runTime}
		if i > 0 {
			chain[i].After = []int{i - 1}
		}
	}
	d.accept(0, http.MethodPost, id, standin.Job("chain", chain...))
	d.await("first step", func() bool { return d.started(id + ".0.0.0") })
	d.store.SetFaults(standin.Faults{Unavailable: true})
	d.await("last step", func() bool { return d.started(fmt.Sprintf("%s.0.%d.0", id, steps-1)) })
	d.store.SetFaults(standin.Faults{})
	d.awaitState(0, id, "completed")
}

// Guards against a configuration that does not come into force, or reverts to an older
// version, when the store's history was compacted.
func TestConfigurationAfterCompaction(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	added := standin.Queue{Name: "r-new", Host: "jobs.example", Prefix: "/new/", Service: "svc"}
	d.store.SetFaults(standin.Faults{Compacted: true})
	if err := d.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(9, queue, added)); err != nil {
		t.Fatal(err)
	}
	for entry := range d.entries {
		d.await("new route", func() bool {
			code, _ := d.call(entry, http.MethodGet, "/new/", nil)
			return code == http.StatusOK
		})
	}
	if err := d.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(3, queue)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if code, _ := d.call(0, http.MethodGet, "/new/", nil); code != http.StatusOK {
		t.Errorf("an older version came into force: %d", code)
	}
}
