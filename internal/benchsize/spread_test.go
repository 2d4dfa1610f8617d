package benchsize

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/localrun"
	"github.com/boragecrank/boragecrank/internal/standin"
)

// maxPropagationTime is the required limit of the time until an accepted change
// has reached every process.
const maxPropagationTime = 7 * time.Second

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "boragecrank")
	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/boragecrank/boragecrank/cmd/boragecrank")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	return binary
}

// rounds returns how often the faults are injected: once, or ten times with
// BORAGECRANK_SPREAD_ROUNDS=long.
func rounds() int {
	if os.Getenv("BORAGECRANK_SPREAD_ROUNDS") == "long" {
		return 10
	}
	return 1
}

// Guards against an accepted configuration that does not reach every process
// within 7 s while an owner is killed, against a configuration version that
// decreases across restarts of a worker and an entry or an outage of the table,
// and against two concurrent changes that are both accepted.
func TestConfigurationSpreads(t *testing.T) {
	b := &Bench{Binary: buildBinary(t), Octet: 55}
	size := Size{Entries: 2, Domains: 3, Workers: 3}
	err := b.WithDeployment(t.Context(), size, true, func(d *localrun.Deployment) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rounds())*90*time.Second)
		defer cancel()
		if err := Sleep(ctx, 5*time.Second); err != nil {
			return err
		}
		s := NewPropagation(d)
		go s.PollVersions(ctx)
		for round := range rounds() {
			testRound(ctx, t, d, s, float64(round+1)/100)
		}
		if err := s.AwaitPropagation(ctx); err != nil {
			return err
		}
		n, median, largest := s.DurationSummary()
		t.Logf("%d changes: median %v, largest %v, each %v", n, median, largest, s.Durations)
		if largest > maxPropagationTime {
			return fmt.Errorf("a change took %v to reach every process, want at most %v", largest, maxPropagationTime)
		}
		return s.CheckNoDecrease()
	})
	if err != nil {
		t.Fatal(err)
	}
}

func testRound(ctx context.Context, t *testing.T, d *localrun.Deployment, s *Propagation, budget float64) {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(s.ApplyChange(ctx, budget+0.001))
	must(s.AwaitPropagation(ctx))
	owner, _, err := FindOwner(ctx, d, 1)
	must(err)
	s.StopWatching(owner)
	must(d.Kill(owner))
	for i := range 5 {
		must(s.ApplyChange(ctx, budget+0.002+float64(i)/1000))
		must(Sleep(ctx, time.Second))
	}
	must(s.AwaitPropagation(ctx))
	raceChanges(ctx, t, d)
	must(restartWorker(ctx, d, s, owner))
	must(setTableDown(ctx, d, true))
	if err := s.ApplyChange(ctx, budget+0.008); err == nil {
		t.Error("a change was accepted while the table was down")
	}
	must(Sleep(ctx, 4*time.Second))
	must(setTableDown(ctx, d, false))
	must(Sleep(ctx, 3*time.Second))
	must(s.ApplyChange(ctx, budget+0.009))
	s.StopWatching(localrun.EntryName(2))
	must(d.Kill(localrun.EntryName(2)))
	must(d.StartEntry(ctx, 2))
	s.WatchProcess(localrun.EntryName(2), d.EntryMetricsURL(2))
	must(s.AwaitPropagation(ctx))
}

// raceChanges submits two changes based on the same version; exactly one may be
// accepted.
func raceChanges(ctx context.Context, t *testing.T, d *localrun.Deployment) {
	t.Helper()
	c, err := Client(d)
	if err != nil {
		t.Fatal(err)
	}
	present, err := c.Config(ctx)
	if err != nil {
		t.Fatal(err)
	}
	results := make(chan error, 2)
	for i := range 2 {
		next, err := withRetryBudget(present, 0.3+float64(i)/10)
		if err != nil {
			t.Fatal(err)
		}
		go func(next *config.Config) {
			_, err := c.PutConfig(ctx, present.Version(), next)
			results <- err
		}(next)
	}
	won := 0
	for range 2 {
		err := <-results
		switch {
		case err == nil:
			won++
		case apperr.KindOf(err) != apperr.KindConflict:
			t.Errorf("the rejected one of two concurrent changes failed with %v, want a conflict", err)
		}
	}
	if won != 1 {
		t.Errorf("%d of two concurrent changes were accepted, want 1", won)
	}
}

func restartWorker(ctx context.Context, d *localrun.Deployment, s *Propagation, worker string) error {
	var domain, number int
	if err := parseWorkerName(worker, &domain, &number); err != nil {
		return err
	}
	if err := d.StartWorker(ctx, domain, number); err != nil {
		return err
	}
	s.WatchProcess(worker, d.WorkerMetricsURL(domain, number))
	return nil
}

func setTableDown(ctx context.Context, d *localrun.Deployment, down bool) error {
	return d.Post(ctx, "http://"+d.PlatformAddr()+"/admin/faults",
		standin.FaultsRequest{Service: standin.ServiceTable, Faults: standin.Faults{Down: down}})
}
