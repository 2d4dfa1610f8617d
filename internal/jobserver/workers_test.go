package jobserver_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/jobserver"
	"github.com/boragecrank/boragecrank/platform/standin"
)

func (d *deployment) startWorker(store string, i int) {
	vm := standin.NewLocalVM()
	app := vm.WorkerAddress()
	p := vm.AgentOptions(fmt.Sprintf("agent-%d", i), store, "svc", app)
	if i < len(d.domains) {
		p.FailureDomain = d.domains[i]
	}
	w := standin.NewWorker(standin.WorkerOptions{
		ID: fmt.Sprintf("i-%d", i), Service: "svc", Address: app, AgentAddress: p.Announcements, MilliCPU: 4000, RunTime: runTime, Checkpoint: "00000bb87a21d94b",
		Labels: []string{fmt.Sprintf("only-%d", i)},
		Record: func(event, task string, run uint64) {
			d.record(event, task, run)
			if event == "start" {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.startsBy[i]++
			}
		},
	})
	d.workers = append(d.workers, w)
	d.workerAddresses = append(d.workerAddresses, app)
	d.stopWorkers = append(d.stopWorkers, d.serveWorker(w, app))
	d.t.Cleanup(func() { d.stopWorkers[i]() })
	d.startRole(d.settings(p), jobserver.RunAgent)
}

// serveWorker lets a worker listen and announce itself. It returns a function that
// ends both and closes all connections.
func (d *deployment) serveWorker(w *standin.Worker, address string) func() {
	l, err := net.Listen("tcp", address)
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	go w.Announce(ctx, 200*time.Millisecond)
	return func() {
		cancel()
		_ = server.Close()
	}
}

// restartBusiest crashes the worker with the most runs and starts it again at once
// under its ID.
func (d *deployment) restartBusiest() {
	i := 0
	for n, w := range d.workers {
		if w.Running() > d.workers[i].Running() {
			i = n
		}
	}
	d.workers[i].Crash()
	d.stopWorkers[i]()
	d.workers[i].Boot(fmt.Sprintf("i-%d", i))
	d.stopWorkers[i] = d.serveWorker(d.workers[i], d.workerAddresses[i])
}

// Guards against one odd entry among those of the workers, left by another writer,
// that ends entries or stops them from following the list: very deeply nested, with a
// number too large, or with a port out of range.
func TestOddEntriesAmongThoseOfWorkers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	submit := func(id string) {
		t.Helper()
		d.accept(0, http.MethodPost, id, twoStepJob(3))
		d.awaitState(1, id, "completed")
	}
	submit("00000000000003a0")
	const row = `{"address":"127.0.0.1:7720","name":"odd","failure_domain":"here","incarnation":"7"}`
	for i, value := range []string{
		strings.Repeat("[", 30000) + strings.Repeat("]", 30000),
		strings.Repeat(`{"address":`, 5000) + "1" + strings.Repeat("}", 5000),
		strings.Replace(row, `"7"`, `"99999999999999999999999"`, 1),
		strings.Replace(row, `"7"`, `1e400`, 1),
		strings.Replace(row, "7720", "99999", 1), strings.Replace(row, "7720", "-1", 1), strings.Replace(row, ":7720", "", 1),
		"\xff\xfe", "",
	} {
		d.store.PutRaw("agent", fmt.Sprintf("10.9.9.%d", i), []byte(value))
	}
	submit("00000000000003a1")
	// An agent that comes later is still noticed, and another owner takes over.
	d.startWorker(d.storeAddress, 2)
	d.await("the later agent to be called", func() bool {
		submit(fmt.Sprintf("00000000000004%02x", d.nextJob()))
		return d.workers[2].Fence() > 0
	})
	d.stops[0]()
	<-d.roleDone[0]
	begin := time.Now()
	d.await("a job after the takeover", func() bool {
		_, text := d.call(1, http.MethodPost, "/q/00000000000003a2", twoStepJob(3))
		return text != ""
	})
	d.awaitState(1, "00000000000003a2", "completed")
	t.Logf("completed %v after the first entry had ended", time.Since(begin))
}

// Load: small jobs all the time, and workers that crash and are up again at once under
// their ID. Guards against a task that runs on two workers because the new boot has
// carried out an order for the old one (review/1): record fails the test.
func TestWorkersRestartUnderTheirID(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	// The demand is small, so that the VM with the most runs also gets the next ones.
	job := standin.Job("payload", standin.Step{Tasks: 4, MilliCPU: 50, RunTime: runTime})
	var ids []string
	for i := range 40 {
		id := fmt.Sprintf("00000000000002%02x", i)
		ids = append(ids, id)
		d.accept(0, http.MethodPost, id, job)
		time.Sleep(60 * time.Millisecond)
		if i%5 == 4 {
			d.restartBusiest()
		}
	}
	for _, id := range ids {
		d.awaitState(0, id, "completed")
	}
}

// Load: a job whose progress takes several rows, beside small ones. Guards against a
// table that refuses the owner's transactions for their size, after which no job was
// completed and no end was acknowledged (review/2).
func TestLargeJobDoesNotStopTheOthers(t *testing.T) {
	t.Parallel()
	d := newDeploymentWithLimit(t, 2, 2000)
	const large = "00000000000000a2"
	job := standin.Job("payload", standin.Step{Tasks: 200, MilliCPU: 30, RunTime: runTime, Checkpoints: true}, standin.Step{Tasks: 1, MilliCPU: 500, RunTime: runTime, After: []int{0}})
	d.accept(0, http.MethodPost, large, job)
	for i := range 5 {
		id := fmt.Sprintf("00000000000001a%x", i)
		d.accept(1, http.MethodPost, id, twoStepJob(2))
		d.awaitState(0, id, "completed")
	}
	d.awaitState(0, large, "completed")
	if n := d.store.TooLarge(); n > 0 {
		t.Errorf("the store refused %d transactions for their size", n)
	}
	d.await("rows of progress to be deleted", func() bool { return len(d.store.Rows("progress")) == 0 })
}
