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

var errNoOwner = errors.New("the shard has no owner")

// Owner returns the worker that owns the first shard of a failure domain, and
// the shard, as an entry sees it.
func Owner(ctx context.Context, d *localrun.Deployment, domain int) (owner, shard string, err error) {
	status, err := statusOf(ctx, d)
	if err != nil {
		return "", "", err
	}
	for _, s := range status.Shards {
		var number, worker int
		known := scanWorker(s.GetOwner(), &number, &worker) == nil && number == domain
		if known && (shard == "" || s.GetShard() < shard) {
			owner, shard = s.GetOwner(), s.GetShard()
		}
	}
	if shard == "" {
		return "", "", errNoOwner
	}
	return owner, shard, nil
}

// ownerOf returns the owner of a shard, empty if none answers.
func ownerOf(ctx context.Context, d *localrun.Deployment, shard string) string {
	status, err := statusOf(ctx, d)
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

func statusOf(ctx context.Context, d *localrun.Deployment) (operatorapi.Status, error) {
	c, err := Client(d)
	if err != nil {
		return operatorapi.Status{}, err
	}
	return c.Status(ctx)
}

func scanWorker(name string, domain, worker *int) error {
	_, err := fmt.Sscanf(name, "d%d-%d", domain, worker)
	return err
}

// churn is the run of Churn.
type churn struct {
	b      *Bench
	d      *localrun.Deployment
	spread *Spread
}

// Churn fails an owner, a rack and the table in turn in a deployment of 102
// workers while configuration changes, and prints the times to convergence and
// the traffic of each role.
func (b *Bench) Churn(ctx context.Context) error {
	s := Size{Entries: 3, Domains: 3, Workers: 34}
	return b.With(ctx, s, true, func(d *localrun.Deployment) error {
		if err := Sleep(ctx, b.Settle); err != nil {
			return err
		}
		watch, cancel := context.WithCancel(ctx)
		defer cancel()
		c := &churn{b: b, d: d, spread: NewSpread(d)}
		targets := Targets(d)
		before, err := readAll(ctx, d, targets)
		if err != nil {
			return err
		}
		go c.spread.Watch(watch)
		if err := c.run(ctx); err != nil {
			return err
		}
		cancel()
		c.traffic(ctx, targets, before)
		return nil
	})
}

func (c *churn) run(ctx context.Context) error {
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"no fault", func(ctx context.Context) error { return c.changes(ctx, 5, 0.01) }},
		{"owner killed", c.killOwner},
		{"rack killed", c.killRack},
		{"table down for 5 s", c.outage},
	}
	for _, s := range steps {
		c.spread.mu.Lock()
		c.spread.Took = nil
		c.spread.mu.Unlock()
		bounded, cancel := context.WithTimeout(ctx, 30*time.Second)
		err := s.do(bounded)
		if err == nil {
			err = c.spread.Await(bounded)
		}
		cancel()
		n, median, largest := c.spread.Times()
		fmt.Fprintf(c.b.Out, "%s: %d changes everywhere, median %v, largest %v; %v\n", s.name, n,
			median.Round(time.Millisecond), largest.Round(time.Millisecond), err)
	}
	if err := c.spread.Falls(); err != nil {
		return err
	}
	fmt.Fprintln(c.b.Out, "no version fell")
	return nil
}

// changes applies one change a second.
func (c *churn) changes(ctx context.Context, n int, budget float64) error {
	for i := range n {
		if err := c.spread.Change(ctx, budget+float64(i)/1000); err != nil {
			return err
		}
		if err := Sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (c *churn) killOwner(ctx context.Context) error {
	before, shard, err := Owner(ctx, c.d, 1)
	if err != nil {
		return err
	}
	if err := c.kill(before); err != nil {
		return err
	}
	at := time.Now()
	return errors.Join(c.changes(ctx, 2, 0.02), c.until(ctx, "new owner known to an entry", at, func() bool {
		owner := ownerOf(ctx, c.d, shard)
		return owner != "" && owner != before
	}), c.changes(ctx, 2, 0.03))
}

func (c *churn) kill(name string) error {
	c.spread.Drop(name)
	return c.d.Kill(name)
}

// killRack ends three members of the second domain that neither own nor start
// its shard's list.
func (c *churn) killRack(ctx context.Context) error {
	owner, _, err := Owner(ctx, c.d, 2)
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
	return errors.Join(c.changes(ctx, 1, 0.04), c.until(ctx, "rack dead in the owner's list", at, func() bool {
		return c.dead(ctx, killed) == len(killed)
	}))
}

// dead counts the named members that their owner takes for dead.
func (c *churn) dead(ctx context.Context, names map[string]bool) int {
	status, err := statusOf(ctx, c.d)
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

func (c *churn) outage(ctx context.Context) error {
	if err := c.table(ctx, true); err != nil {
		return err
	}
	if err := Sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	if err := c.table(ctx, false); err != nil {
		return err
	}
	at := time.Now()
	return c.until(ctx, "change accepted after the outage", at, func() bool { return c.spread.Change(ctx, 0.05) == nil })
}

func (c *churn) table(ctx context.Context, down bool) error {
	return c.d.Post(ctx, "http://"+c.d.PlatformAddr()+"/admin/faults",
		standin.FaultsRequest{Service: standin.ServiceTable, Faults: standin.Faults{Down: down}})
}

// until polls a condition and prints the time until it held.
func (c *churn) until(ctx context.Context, what string, since time.Time, holds func() bool) error {
	for !holds() {
		if err := Sleep(ctx, pollPause); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
	}
	fmt.Fprintf(c.b.Out, "  %s after %v\n", what, time.Since(since).Round(time.Millisecond))
	return nil
}

// traffic prints what the processes that still run used since the start.
func (c *churn) traffic(ctx context.Context, targets []Target, before []Sample) {
	var list []Usage
	for i, t := range targets {
		if after, err := Read(ctx, c.d, t); err == nil {
			list = append(list, Between(t.Name, before[i], after))
		}
	}
	Print(c.b.Out, "during all of it, processes that were not killed", list)
}
