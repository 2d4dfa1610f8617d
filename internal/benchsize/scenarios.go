package benchsize

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/localrun"
	"github.com/boragecrank/boragecrank/internal/operatorapi"
)

// Sizes of the scenarios, from the target size: 12,900 tasks and 710 starts a
// second over 30 shards.
const (
	fullShard      = 32
	tasksOfShard   = 430
	startsOfShard  = 24
	targetDomains  = 10
	workersOfEach  = 95
	targetEntries  = 3
	changesASecond = 10
)

// Wide measures three full shards with three entries at rest.
func (b *Bench) Wide(ctx context.Context) error {
	s := Size{Entries: 3, Domains: 3, Workers: fullShard}
	list, err := b.Rest(ctx, s)
	if err == nil {
		Print(b.Out, s.String(), list)
	}
	return err
}

const tasksWork = `[[team]]
name = "t"
quota_cores = 20000
quota_memory = "60TB"

[[job]]
name = "hold"
team = "t"
tasks = %d
cores = 0.5
memory = "1GB"
run_time = "1h"

[[job]]
name = "burst"
team = "t"
tasks = %d
cores = 0.5
memory = "1GB"
run_time = "2s"
`

// tasksRules are valid with the jobs of tasksWork.
const tasksRules = `[rules]
may_wait = ["hold", "burst"]
tail_latency_weight = 10
eviction_weight = 1
urgent_start_limit = "2.3s"
request_deadline = "2s"
retry_budget = 0.1
batch_run_right = "5m"
overnight_start = "20:00"
overnight_end = "06:00"
time_zone = "Europe/Brussels"
guards = true
`

// Tasks measures one full shard with its share of the running tasks, then
// while its share of task starts arrives.
func (b *Bench) Tasks(ctx context.Context) error {
	b.Work, b.Rules = fmt.Sprintf(tasksWork, tasksOfShard, startsOfShard), tasksRules
	s := Size{Entries: 1, Domains: 1, Workers: fullShard}
	return b.With(ctx, s, true, func(d *localrun.Deployment) error {
		if err := Sleep(ctx, b.Settle); err != nil {
			return err
		}
		idle, err := Observe(ctx, d, b.Window)
		if err != nil {
			return err
		}
		Print(b.Out, "without tasks", idle)
		if out, err := d.Command(ctx, "submit", "hold", "--id", "hold-1"); err != nil {
			return fmt.Errorf("submit: %w: %s", err, out)
		}
		if err := Sleep(ctx, b.Settle); err != nil {
			return err
		}
		held, err := Observe(ctx, d, b.Window)
		if err != nil {
			return err
		}
		Print(b.Out, fmt.Sprintf("%d running tasks", tasksOfShard), held)
		return b.burst(ctx, d)
	})
}

// burst submits one job of startsOfShard tasks each second.
func (b *Bench) burst(ctx context.Context, d *localrun.Deployment) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	submitted := make(chan int, 1)
	go func() {
		n := 0
		defer func() { submitted <- n }()
		for ticker := time.NewTicker(time.Second); ctx.Err() == nil; {
			if _, err := d.Command(ctx, "submit", "burst", "--id", fmt.Sprintf("burst-%d", n+1)); err == nil {
				n++
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
	}()
	if err := Sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	busy, err := Observe(ctx, d, b.Window)
	if err != nil {
		return err
	}
	cancel()
	n := <-submitted
	Print(b.Out, fmt.Sprintf("%d running tasks and %d starts a second", tasksOfShard, startsOfShard), busy)
	if err := Sleep(context.WithoutCancel(ctx), 6*time.Second); err != nil {
		return err
	}
	out, err := d.Command(context.WithoutCancel(ctx), "jobs")
	fmt.Fprintf(b.Out, "%d bursts submitted, %d of them finished 6 s after the last\n", n,
		strings.Count(out, fmt.Sprintf("  %d     %d ", startsOfShard, startsOfShard)))
	return err
}

// Entry measures entries with the digests of a fleet of the target size. All
// of it is in one region, so an entry hears three times what it would.
func (b *Bench) Entry(ctx context.Context) error {
	for _, domains := range []int{1, 3, targetDomains} {
		s := Size{Entries: targetEntries, Domains: domains, Workers: workersOfEach}
		if err := b.With(ctx, s, false, func(d *localrun.Deployment) error { return b.entry(ctx, s, d) }); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bench) entry(ctx context.Context, s Size, d *localrun.Deployment) error {
	if err := d.StartPlatform(ctx); err != nil {
		return err
	}
	var entries []netip.AddrPort
	for i := 1; i <= s.Entries; i++ {
		if err := d.StartEntry(ctx, i); err != nil {
			return err
		}
		entries = append(entries, netip.MustParseAddrPort(d.EntryInternalAddr(i)))
	}
	if out, err := d.Command(ctx, "apply", d.InventoryDir()); err != nil {
		return fmt.Errorf("apply: %w: %s", err, out)
	}
	c, err := Accepted(ctx, d)
	if err != nil {
		return err
	}
	f, err := StartFleet(ctx, d, c, entries)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer f.Close(context.WithoutCancel(ctx))
	defer cancel()
	go f.Run(ctx)
	if err := Sleep(ctx, b.Settle); err != nil {
		return err
	}
	list, err := Observe(ctx, d, b.Window)
	if err != nil {
		return err
	}
	title := fmt.Sprintf("%d entries, %d members in %d shards", s.Entries, s.Domains*s.Workers, f.Shards())
	Print(b.Out, title+", at rest", list)
	go toggle(ctx, f)
	if list, err = Observe(ctx, d, b.Window); err == nil {
		Print(b.Out, fmt.Sprintf("%s, %d changes a second", title, changesASecond), list)
	}
	return err
}

// toggle changes members until the context ends.
func toggle(ctx context.Context, f *Fleet) {
	for n := 0; Sleep(ctx, time.Second/changesASecond) == nil; n++ {
		f.Toggle(n%f.Shards(), n/f.Shards())
	}
}

// Accepted returns the accepted configuration.
func Accepted(ctx context.Context, d *localrun.Deployment) (*config.Config, error) {
	c, err := Client(d)
	if err != nil {
		return nil, err
	}
	return c.Config(ctx)
}

// Client returns a client of the operators' API.
func Client(d *localrun.Deployment) (*operatorapi.Client, error) {
	var urls []string
	for i := 1; i <= d.Options().Entries; i++ {
		urls = append(urls, "http://"+d.OperatorAddr(i))
	}
	return operatorapi.New(operatorapi.Options{Entries: urls, Token: localrun.Token})
}
