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

// effectLimit is the requirement on the time until a change is everywhere.
const effectLimit = 7 * time.Second

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "boragecrank")
	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/boragecrank/boragecrank/cmd/boragecrank")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return binary
}

// rounds is how often the faults are repeated; BORAGECRANK_SPREAD_ROUNDS=long
// makes ten of them.
func rounds() int {
	if os.Getenv("BORAGECRANK_SPREAD_ROUNDS") == "long" {
		return 10
	}
	return 1
}

// Guards against an accepted configuration that is not everywhere within 7 s
// while an owner is killed, one that falls, also across restarts of a worker
// and an entry or an outage of the table, and two racing changes that are both
// accepted.
func TestConfigurationSpreads(t *testing.T) {
	b := &Bench{Binary: buildBinary(t), Octet: 55}
	size := Size{Entries: 2, Domains: 3, Workers: 3}
	err := b.With(t.Context(), size, true, func(d *localrun.Deployment) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rounds())*90*time.Second)
		defer cancel()
		if err := Sleep(ctx, 5*time.Second); err != nil {
			return err
		}
		s := NewSpread(d)
		go s.Watch(ctx)
		for round := range rounds() {
			spreadRound(ctx, t, d, s, float64(round+1)/100)
		}
		if err := s.Await(ctx); err != nil {
			return err
		}
		n, median, largest := s.Times()
		t.Logf("%d changes: median %v, largest %v, each %v", n, median, largest, s.Took)
		if largest > effectLimit {
			return fmt.Errorf("a change took %v until it was everywhere, want at most %v", largest, effectLimit)
		}
		return s.Falls()
	})
	if err != nil {
		t.Fatal(err)
	}
}

func spreadRound(ctx context.Context, t *testing.T, d *localrun.Deployment, s *Spread, budget float64) {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(s.Change(ctx, budget+0.001))
	must(s.Await(ctx))
	owner, _, err := Owner(ctx, d, 1)
	must(err)
	s.Drop(owner)
	must(d.Kill(owner))
	for i := range 5 {
		must(s.Change(ctx, budget+0.002+float64(i)/1000))
		must(Sleep(ctx, time.Second))
	}
	must(s.Await(ctx))
	race(ctx, t, d)
	must(restart(ctx, d, s, owner))
	must(tableDown(ctx, d, true))
	if err := s.Change(ctx, budget+0.008); err == nil {
		t.Error("a change was accepted while the table was down")
	}
	must(Sleep(ctx, 4*time.Second))
	must(tableDown(ctx, d, false))
	must(Sleep(ctx, 3*time.Second))
	must(s.Change(ctx, budget+0.009))
	s.Drop(localrun.EntryName(2))
	must(d.Kill(localrun.EntryName(2)))
	must(d.StartEntry(ctx, 2))
	s.Add(localrun.EntryName(2), d.EntryMetricsURL(2))
	must(s.Await(ctx))
}

// race commits two changes from one version; exactly one may win.
func race(ctx context.Context, t *testing.T, d *localrun.Deployment) {
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
		next, err := withBudget(present, 0.3+float64(i)/10)
		if err != nil {
			t.Fatal(err)
		}
		go func(next *config.Config) {
			_, err := c.Accept(ctx, present.Version(), next)
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
			t.Errorf("the loser of a race got %v, want a conflict", err)
		}
	}
	if won != 1 {
		t.Errorf("%d of two racing changes were accepted", won)
	}
}

func restart(ctx context.Context, d *localrun.Deployment, s *Spread, worker string) error {
	var domain, number int
	if err := scanWorker(worker, &domain, &number); err != nil {
		return err
	}
	if err := d.StartWorker(ctx, domain, number); err != nil {
		return err
	}
	s.Add(worker, d.WorkerMetricsURL(domain, number))
	return nil
}

func tableDown(ctx context.Context, d *localrun.Deployment, down bool) error {
	return d.Post(ctx, "http://"+d.PlatformAddr()+"/admin/faults",
		standin.FaultsRequest{Service: standin.ServiceTable, Faults: standin.Faults{Down: down}})
}
