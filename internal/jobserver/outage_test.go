package jobserver_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// Guards against submissions that are sent, and retried until the caller's time ends,
// while the store closes all connections. Those that are on their way when the first call fails
// may have an unknown outcome (504); the others must be refused.
func TestStoreResetsConnections(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	d.store.SetFaults(standin.Faults{Reset: true})
	codes := make(map[int]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < 4*time.Second; i++ {
		wg.Go(func() {
			code, _ := d.call(0, http.MethodPost, fmt.Sprintf("/q/%016x", 0xd00+i), twoStepJob(1))
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	t.Log("answers:", codes)
	if codes[http.StatusGatewayTimeout] > 2 || codes[http.StatusServiceUnavailable] < 15 || len(codes) > 2 {
		t.Errorf("answers %v, want 503 and at most two 504", codes)
	}
	d.store.SetFaults(standin.Faults{})
	const id = "0000000000000dff"
	d.await("submission that is accepted", func() bool {
		code, _ := d.call(0, http.MethodPost, "/q/"+id, twoStepJob(1))
		return code == http.StatusOK
	})
	d.awaitState(0, id, "completed")
}
