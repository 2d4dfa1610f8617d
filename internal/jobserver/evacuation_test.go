package jobserver_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// evacuationDelay is longer than an entry takes to read an acknowledged evacuation and
// the worker to carry out the starts before, and below the bound of 5 s.
const evacuationDelay = 2 * time.Second

func (d *deployment) evacuate(domain string) {
	d.t.Helper()
	if err := d.store.Put(standin.ConfigTable, standin.EvacuatePrefix+domain, struct{}{}); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) startsOn(worker int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startsBy[worker]
}

// submit submits a job and returns its ID. A payload that is a duration is the run time
// of all its tasks.
func (d *deployment) submit(payload string, steps ...standin.Step) string {
	d.t.Helper()
	id := fmt.Sprintf("%016x", 0xe000+d.nextJob())
	for entry := range d.entries {
		if code, _ := d.call(entry, http.MethodPost, "/q/"+id, standin.Job(payload, steps...)); code == http.StatusOK {
			return id
		}
	}
	d.t.Fatal("no entry accepts the job")
	return ""
}

// owner returns the index of the entry that owns the jobs, or -1.
func (d *deployment) owner() int {
	for _, row := range d.store.Rows("lease") {
		var lease struct {
			Owner string `json:"owner"`
		}
		if err := json.Unmarshal(row.Value, &lease); err != nil {
			d.t.Fatal(err)
		}
		for i, address := range d.entries {
			if lease.Owner != "" && len(address) > len(lease.Owner) && address[:len(lease.Owner)] == lease.Owner {
				return i
			}
		}
	}
	return -1
}

// Guards against starts in an evacuated failure domain, with the system's own roles: an
// unreadable request beside it, standing tasks that must go on, a change feed that fails
// and whose history is dropped, a takeover while no feed works, and the end of the
// evacuation.
func TestEvacuationOfAFailureDomain(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 0)
	d.domains = []string{"z/0", "z/1", "z/2"}
	for i := range d.domains {
		d.startWorker(d.storeAddress, i)
	}
	batch := standin.Step{Tasks: 20, MilliCPU: 500, RunTime: runTime}
	standing := standin.Step{Tasks: 1, MilliCPU: 500, Lasts: true, Label: "only-0"}
	d.submit("10m", standing)
	d.await("the standing task and work on the others", func() bool {
		d.awaitState(0, d.submit("50ms", batch), "completed")
		return d.workers[0].Running() > 0 && d.startsOn(1) > 0 && d.startsOn(2) > 0
	})
	d.store.PutRaw(standin.ConfigTable, standin.EvacuatePrefix, []byte("{}"))
	d.evacuate("z/0")
	d.evacuate("nowhere")
	time.Sleep(evacuationDelay)
	before := d.startsOn(0)
	nothingStarts := func(when string) {
		t.Helper()
		d.awaitState(1, d.submit("50ms", batch, batch), "completed")
		if n := d.startsOn(0) - before; n > 0 {
			t.Errorf("%s: %d starts in the evacuated failure domain", when, n)
		}
	}
	nothingStarts("after the evacuation")
	labelled := batch
	labelled.Tasks, labelled.Label = 1, "only-0"
	pending := d.submit("50ms", labelled)
	d.store.SetFaults(standin.Faults{Compacted: true, FeedUnavailable: standin.ConfigTable})
	time.Sleep(evacuationDelay / 4) // the rows are listed, as the history was dropped
	d.evacuate("z/2")
	time.Sleep(evacuationDelay)
	others := d.startsOn(2)
	nothingStarts("without a change feed")
	owner := d.owner()
	if owner < 0 {
		t.Fatal("no entry owns the jobs")
	}
	d.stops[owner]()
	<-d.roleDone[owner]
	d.await("the other entry to own the jobs", func() bool { return d.owner() == 1-owner })
	d.store.SetFaults(standin.Faults{})
	id := d.submit("50ms", batch)
	d.awaitState(1-owner, id, "completed")
	if n := d.startsOn(0) - before; n > 0 || d.workers[0].Running() != 1 {
		t.Errorf("after a takeover: %d starts and %d runs in the evacuated failure domain, want none, and the standing task", n, d.workers[0].Running())
	}
	if n := d.startsOn(2) - others; n > 0 {
		t.Errorf("%d starts in the failure domain that was evacuated without a change feed", n)
	}
	d.store.Remove(standin.ConfigTable, standin.EvacuatePrefix+"z/0")
	d.awaitState(1-owner, pending, "completed")
}
