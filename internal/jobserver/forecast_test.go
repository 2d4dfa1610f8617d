package jobserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/jobserver"
	"github.com/boragecrank/boragecrank/platform/standin"
)

// storedForecast returns the epoch of the owner whose forecast is stored, and the number of
// queues that it lists.
func storedForecast(t *testing.T, d *deployment) (epoch, queues int) {
	t.Helper()
	var row struct {
		Epoch  int   `json:"epoch,string"`
		Queues []any `json:"queues"`
	}
	for _, r := range d.store.Rows("forecast") {
		if err := json.Unmarshal(r.Value, &row); err != nil {
			t.Fatal(err)
		}
	}
	return row.Epoch, len(row.Queues)
}

// Guards against a fault anywhere between the owner's forecast and the answer to a
// submission: in overload, entries reject jobs that would be worthless (503), and accept
// jobs again when the work is gone. No rejected job runs. The next owner writes a forecast
// of its own.
func TestSubmissionsAreRejectedByTheForecast(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	withControl := func(ctx context.Context, o jobserver.Options) error {
		o.OverloadControl = true
		return jobserver.RunEntry(ctx, o)
	}
	for i := range 2 {
		// The owner of the first entries makes no forecast.
		d.stops[i]()
		p := standin.NewLocalVM().EntryOptions(fmt.Sprintf("control-%d", i), d.storeAddress)
		d.entries[i] = p.CallerAPI
		d.startRole(d.settings(p), withControl)
	}
	// Each job takes all of the worker's processors for 1.2 s. Its limit is 3.3 s.
	accepted, rejected := map[string]bool{}, map[string]bool{}
	submit := func(entry int) (code int, id string) {
		id = fmt.Sprintf("%016x", 0xf000+d.nextJob())
		code, _ = d.call(entry, http.MethodPost, "/q/"+id, standin.Job("payload", standin.Step{Tasks: 4, MilliCPU: 4000, RunTime: runTime}))
		accepted[id], rejected[id] = code == http.StatusOK, code == http.StatusServiceUnavailable
		return code, id
	}
	d.await("a submission that is rejected", func() bool {
		time.Sleep(runTime / 3)
		code, _ := submit(d.jobs % 2)
		_, over := storedForecast(t, d) // 503 has other causes while the entries start
		return code == http.StatusServiceUnavailable && over > 0
	})
	for id := range accepted {
		d.call(0, http.MethodDelete, "/q/"+id, nil)
	}
	last := ""
	d.await("a submission that is accepted again", func() bool {
		time.Sleep(runTime / 3)
		code, id := submit(0)
		last = id
		return code == http.StatusOK
	})
	d.awaitState(1, last, "completed")
	// The next owner replaces the row although no queue is over its limit.
	before, _ := storedForecast(t, d)
	d.startRole(d.settings(standin.NewLocalVM().EntryOptions("next", d.storeAddress)), withControl)
	d.stops[len(d.stops)-2]()
	d.stops[len(d.stops)-3]()
	d.await("a row of the next owner", func() bool {
		epoch, _ := storedForecast(t, d)
		return epoch > before
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	for task := range d.starts {
		if id, _, _ := strings.Cut(task, "/"); rejected[id] {
			t.Errorf("task %s of a rejected job was started", task)
		}
	}
}
