package benchsize

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/localrun"
	"github.com/boragecrank/boragecrank/internal/operatorapi"
	"github.com/boragecrank/boragecrank/internal/standin"
)

var errNoOwner = errors.New("no shard of the failure domain has an owner")

// FindOwner returns the worker that owns the first shard of a failure domain,
// and the shard, as reported by an entry.
func FindOwner(ctx context.Context, d *localrun.Deployment, domain int) (owner, shard string, err error) {
	status, err := fetchStatus(ctx, d)
	if err != nil {
		return "", "", err
	}
	for _, s := range status.Shards {
		var number, worker int
		known := parseWorkerName(s.GetOwner(), &number, &worker) == nil && number == domain
		if known && (shard == "" || s.GetShard() < shard) {
			owner, shard = s.GetOwner(), s.GetShard()
		}
	}
	if shard == "" {
		return "", "", errNoOwner
	}
	return owner, shard, nil
}

// currentOwner returns the owner of a shard, or the empty string if the status
// cannot be read or the shard is not listed.
func currentOwner(ctx context.Context, d *localrun.Deployment, shard string) string {
	status, err := fetchStatus(ctx, d)
	if err != nil {
		return ""
	}
	for _, s := range status.Shards {
		if s.GetShard() == shard {
			return s.GetOwner()
		}
	}
	return ""
}

func fetchStatus(ctx context.Context, d *localrun.Deployment) (operatorapi.Status, error) {
	c, err := Client(d)
	if err != nil {
		return operatorapi.Status{}, err
	}
	return c.Status(ctx)
}

func parseWorkerName(name string, domain, number *int) error {
	_, err := fmt.Sscanf(name, "d%d-%d", domain, number)
	return err
}

// churnRun is the state of MeasureChurn.
type churnRun struct {
	b           *Bench
	d           *localrun.Deployment
	propagation *Propagation
}

// MeasureChurn injects failures of an owner, a rack and the table, one after
// the other, in a deployment of 102 workers while the configuration changes. It
// prints the times to convergence and the traffic of each role. The error of a
// step is printed and does not end the measurement; the line of a step without
// an error ends in "error: <nil>".
func (b *Bench) MeasureChurn(ctx context.Context) error {
	s := Size{Entries: 3, Domains: 3, Workers: 34}
	return b.WithDeployment(ctx, s, true, func(d *localrun.Deployment) error {
		if err := Sleep(ctx, b.SettleTime); err != nil {
			return err
		}
		watch, cancel := context.WithCancel(ctx)
		defer cancel()
		c := &churnRun{b: b, d: d, propagation: NewPropagation(d)}
		targets := ListTargets(d)
		before, err := readAll(ctx, d, targets)
		if err != nil {
			return err
		}
		go c.propagation.PollVersions(watch)
		if err := c.runSteps(ctx); err != nil {
			return err
		}
		cancel()
		c.printTraffic(ctx, targets, before)
		return nil
	})
}

func (c *churnRun) runSteps(ctx context.Context) error {
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"no fault", func(ctx context.Context) error { return c.applyChanges(ctx, 5, 0.01) }},
		{"owner killed", c.killOwner},
		{"rack killed", c.killRack},
		{"table down for 5 s", c.failTable},
	}
	for _, s := range steps {
		c.propagation.mu.Lock()
		c.propagation.Durations = nil
		c.propagation.mu.Unlock()
		bounded, cancel := context.WithTimeout(ctx, 30*time.Second)
		err := s.do(bounded)
		if err == nil {
			err = c.propagation.AwaitPropagation(bounded)
		}
		cancel()
		n, median, largest := c.propagation.DurationSummary()
		fmt.Fprintf(c.b.Out, "%s: %d changes reached every process, median %v, largest %v; error: %v\n", s.name, n,
			median.Round(time.Millisecond), largest.Round(time.Millisecond), err)
	}
	if err := c.propagation.CheckNoDecrease(); err != nil {
		return err
	}
	fmt.Fprintln(c.b.Out, "no configuration version decreased")
	return nil
}

// applyChanges applies n changes of the retry budget, one per second.
func (c *churnRun) applyChanges(ctx context.Context, n int, budget float64) error {
	for i := range n {
		if err := c.propagation.ApplyChange(ctx, budget+float64(i)/1000); err != nil {
			return err
		}
		if err := Sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (c *churnRun) killOwner(ctx context.Context) error {
	before, shard, err := FindOwner(ctx, c.d, 1)
	if err != nil {
		return err
	}
	if err := c.kill(before); err != nil {
		return err
	}
	at := time.Now()
	return errors.Join(c.applyChanges(ctx, 2, 0.02), c.awaitCondition(ctx, "new owner reported by an entry", at, func() bool {
		owner := currentOwner(ctx, c.d, shard)
		return owner != "" && owner != before
	}), c.applyChanges(ctx, 2, 0.03))
}

func (c *churnRun) kill(name string) error {
	c.propagation.StopWatching(name)
	return c.d.Kill(name)
}

// killRack kills three workers of the second domain, from number 28 on, because
// workers at the start of a shard's list are likely to be its owner or relay. It
// skips the owner of the domain's first shard, but not that of the second.
func (c *churnRun) killRack(ctx context.Context) error {
	owner, _, err := FindOwner(ctx, c.d, 2)
	if err != nil {
		return err
	}
	killed := make(map[string]bool)
	for worker := 28; len(killed) < 3; worker++ {
		name := localrun.WorkerName(2, worker)
		if name == owner {
			continue
		}
		if err := c.kill(name); err != nil {
			return err
		}
		killed[name] = true
	}
	at := time.Now()
	return errors.Join(c.applyChanges(ctx, 1, 0.04), c.awaitCondition(ctx, "rack reported as dead by the owner", at, func() bool {
		return c.countDead(ctx, killed) == len(killed)
	}))
}

// countDead counts the named members that their owner reports as dead.
func (c *churnRun) countDead(ctx context.Context, names map[string]bool) int {
	status, err := fetchStatus(ctx, c.d)
	if err != nil {
		return 0
	}
	n := 0
	for _, s := range status.Shards {
		for _, m := range s.GetMembers() {
			if names[m.GetVm()] && m.GetState() == "dead" {
				n++
			}
		}
	}
	return n
}

func (c *churnRun) failTable(ctx context.Context) error {
	if err := c.setTableDown(ctx, true); err != nil {
		return err
	}
	if err := Sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	if err := c.setTableDown(ctx, false); err != nil {
		return err
	}
	at := time.Now()
	return c.awaitCondition(ctx, "change accepted after the outage", at, func() bool { return c.propagation.ApplyChange(ctx, 0.05) == nil })
}

func (c *churnRun) setTableDown(ctx context.Context, down bool) error {
	return c.d.Post(ctx, "http://"+c.d.PlatformAddr()+"/admin/faults",
		standin.FaultsRequest{Service: standin.ServiceTable, Faults: standin.Faults{Down: down}})
}

// awaitCondition polls a condition and prints the time from since until it
// holds.
func (c *churnRun) awaitCondition(ctx context.Context, what string, since time.Time, condition func() bool) error {
	for !condition() {
		if err := Sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
	}
	fmt.Fprintf(c.b.Out, "  %s after %v\n", what, time.Since(since).Round(time.Millisecond))
	return nil
}

// printTraffic prints the usage since the first samples of the processes that
// still run.
func (c *churnRun) printTraffic(ctx context.Context, targets []Target, before []Sample) {
	var usages []Usage
	for i, t := range targets {
		if after, err := ReadSample(ctx, c.d, t); err == nil {
			usages = append(usages, UsageBetween(t.Name, before[i], after))
		}
	}
	PrintUsage(c.b.Out, "during the whole run, processes that were not killed", usages)
}
