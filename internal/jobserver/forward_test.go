package jobserver_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// Guards against an entry that rejects submissions while the store refuses it alone, whether
// or not the other entry is the owner; against jobs that run twice when they are forwarded and
// repeated at the other entry; and against answers of unknown outcome, or late rejections, in
// an outage of the whole store.
func TestSubmissionsAreForwarded(t *testing.T) {
	t.Parallel()
	d := newDeploymentWithLimit(t, 2, standin.RowBytes, func(d *deployment) { d.passSubmissions = true })
	d.await("rows of both entries", func() bool { return len(d.store.Rows("entry")) == 2 && d.lease().Owner != "" })
	time.Sleep(4 * time.Second) // both have read them
	for _, refusesOwner := range []bool{false, true} {
		owner := 0
		if strings.HasPrefix(d.entries[1], d.lease().Owner+":") {
			owner = 1
		}
		refused := 1 - owner
		if refusesOwner {
			refused = owner
		}
		d.refused[refused].Store(true)
		time.Sleep(1500 * time.Millisecond) // the circuit breaker is open
		var ids []string
		for i := range 10 {
			id := fmt.Sprintf("00000000000%d0f%02d", 5+refused, i)
			begin := time.Now()
			if code, text := d.call(refused, http.MethodPost, "/q/"+id, twoStepJob(2)); code != http.StatusOK {
				t.Errorf("owner refused %v: submission %d: %d %s after %v", refusesOwner, i, code, text, time.Since(begin))
			}
			if code, text := d.call(1-refused, http.MethodPost, "/q/"+id, twoStepJob(2)); code != http.StatusOK {
				t.Errorf("repeat at the other entry: %d %s", code, text)
			}
			if code, text := d.call(refused, http.MethodGet, "/q/"+id, nil); code != http.StatusOK {
				t.Errorf("state at the entry that has forwarded the job: %d %s", code, text)
			}
			ids = append(ids, id)
		}
		for _, id := range ids {
			d.awaitState(1-refused, id, "completed")
		}
		d.refused[refused].Store(false)
		time.Sleep(2 * time.Second) // a former owner becomes a candidate
	}
	d.mu.Lock()
	for task, n := range d.starts {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
	d.mu.Unlock()
	d.refused[0].Store(true)
	d.refused[1].Store(true)
	time.Sleep(2 * time.Second)
	for i := range 20 {
		begin := time.Now()
		code, text := d.call(i%2, http.MethodPost, fmt.Sprintf("/q/00000000000000%02x", 0xa0+i), twoStepJob(1))
		if took := time.Since(begin); code != http.StatusServiceUnavailable || took > 2*time.Second {
			t.Errorf("whole outage: %d %s after %v, want 503 soon", code, text, took)
		}
	}
}
