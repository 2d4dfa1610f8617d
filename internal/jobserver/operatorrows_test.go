package jobserver

import (
	"fmt"
	"sync"
	"testing"

	"github.com/boragecrank/boragecrank/internal/jobs"
	coreplatform "github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/platform"
)

// Guards against an older configuration that replaces a newer one, when a new owner's
// list of the operator's rows and the follower of these rows are applied concurrently.
func TestConcurrentReadsKeepNewestConfiguration(t *testing.T) {
	t.Parallel()
	const rounds, newest = 4000, 8
	var rows []coreplatform.Row
	for version := 1; version <= newest; version++ {
		rows = append(rows, coreplatform.Row{Key: platform.ConfigPrefix + "config", Value: fmt.Appendf(nil, `{"version":%d}`, version)})
	}
	if _, ok, err := platform.DecodeConfig(rows[0].Key, rows[0].Value); !ok || err != nil {
		t.Fatalf("the test's row is not a configuration: %t, %v", ok, err)
	}
	candidate := jobs.NewCandidate(jobs.CandidateOptions{Telemetry: telemetry.Nop()})
	for round := range rounds {
		e := &entry{Options: Options{Telemetry: telemetry.Nop()}, candidate: candidate}
		var wg sync.WaitGroup
		for i := range rows {
			wg.Add(1)
			go func() {
				defer wg.Done()
				e.applyConfigRows(rows[i : i+1])
			}()
		}
		wg.Wait()
		if v := e.config.Load().Version; v != newest {
			t.Fatalf("round %d: version %d in effect, want %d", round, v, newest)
		}
	}
}
