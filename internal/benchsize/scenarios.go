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

// Sizes of the scenarios, derived from the target size: 10 failure domains of 95
// workers, which form 30 shards, with 12,900 running tasks and 710 task starts
// per second. workersPerFullShard equals config.MaxShardVMs. changesPerSecond is
// the rate at which MeasureEntries toggles the draining of members.
const (
	workersPerFullShard = 32
	tasksPerShard       = 430
	startsPerShard      = 24
	targetDomains       = 10
	workersPerDomain    = 95
	targetEntries       = 3
	changesPerSecond    = 10
)

// MeasureFullShards measures three full shards with three entries, without
// load.
func (b *Bench) MeasureFullShards(ctx context.Context) error {
	s := Size{Entries: 3, Domains: 3, Workers: workersPerFullShard}
	list, err := b.MeasureAtRest(ctx, s)
	if err == nil {
		PrintUsage(b.Out, s.String(), list)
	}
	return err
}

const tasksConfig = `[[team]]
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

// tasksRules holds rules that are valid with the jobs of tasksConfig.
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

// MeasureTasks measures one full shard of the target size: without tasks, with
// its share of the running tasks, and with its share of the task starts in
// addition.
func (b *Bench) MeasureTasks(ctx context.Context) error {
	b.Work, b.Rules = fmt.Sprintf(tasksConfig, tasksPerShard, startsPerShard), tasksRules
	s := Size{Entries: 1, Domains: 1, Workers: workersPerFullShard}
	return b.WithDeployment(ctx, s, true, func(d *localrun.Deployment) error {
		if err := Sleep(ctx, b.SettleTime); err != nil {
			return err
		}
		idle, err := MeasureUsage(ctx, d, b.Window)
		if err != nil {
			return err
		}
		PrintUsage(b.Out, "without tasks", idle)
		if out, err := d.Command(ctx, "submit", "hold", "--id", "hold-1"); err != nil {
			return fmt.Errorf("submit: %w: %s", err, out)
		}
		if err := Sleep(ctx, b.SettleTime); err != nil {
			return err
		}
		held, err := MeasureUsage(ctx, d, b.Window)
		if err != nil {
			return err
		}
		PrintUsage(b.Out, fmt.Sprintf("%d running tasks", tasksPerShard), held)
		return b.measureBursts(ctx, d)
	})
}

// measureBursts measures the usage while one job of startsPerShard tasks is
// submitted per second.
func (b *Bench) measureBursts(ctx context.Context, d *localrun.Deployment) error {
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
	busy, err := MeasureUsage(ctx, d, b.Window)
	if err != nil {
		return err
	}
	cancel()
	n := <-submitted
	PrintUsage(b.Out, fmt.Sprintf("%d running tasks and %d starts per second", tasksPerShard, startsPerShard), busy)
	if err := Sleep(context.WithoutCancel(ctx), 6*time.Second); err != nil {
		return err
	}
	// The line of a finished job shows as many tasks done as the job has.
	out, err := d.Command(context.WithoutCancel(ctx), "jobs")
	fmt.Fprintf(b.Out, "%d burst jobs submitted, %d of them finished 6 s after the last one\n", n,
		strings.Count(out, fmt.Sprintf("  %d     %d ", startsPerShard, startsPerShard)))
	return err
}

// MeasureEntries measures entries that receive the digests of a fleet of up to
// the target size. All entries and shards are in one region, so an entry
// receives three times the digests of a real deployment, which has three
// regions.
func (b *Bench) MeasureEntries(ctx context.Context) error {
	for _, domains := range []int{1, 3, targetDomains} {
		s := Size{Entries: targetEntries, Domains: domains, Workers: workersPerDomain}
		if err := b.WithDeployment(ctx, s, false, func(d *localrun.Deployment) error { return b.measureEntriesAtSize(ctx, s, d) }); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bench) measureEntriesAtSize(ctx context.Context, s Size, d *localrun.Deployment) error {
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
	c, err := AcceptedConfig(ctx, d)
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
	if err := Sleep(ctx, b.SettleTime); err != nil {
		return err
	}
	list, err := MeasureUsage(ctx, d, b.Window)
	if err != nil {
		return err
	}
	title := fmt.Sprintf("%d entries, %d members in %d shards", s.Entries, s.Domains*s.Workers, f.ShardCount())
	PrintUsage(b.Out, title+", at rest", list)
	go toggleMembers(ctx, f)
	if list, err = MeasureUsage(ctx, d, b.Window); err == nil {
		PrintUsage(b.Out, fmt.Sprintf("%s, %d changes per second", title, changesPerSecond), list)
	}
	return err
}

// toggleMembers toggles the draining of members until the context is cancelled.
func toggleMembers(ctx context.Context, f *Fleet) {
	for n := 0; Sleep(ctx, time.Second/changesPerSecond) == nil; n++ {
		f.ToggleDraining(n%f.ShardCount(), n/f.ShardCount())
	}
}

// AcceptedConfig returns the accepted configuration of a deployment.
func AcceptedConfig(ctx context.Context, d *localrun.Deployment) (*config.Config, error) {
	c, err := Client(d)
	if err != nil {
		return nil, err
	}
	return c.Config(ctx)
}

// Client returns a client of the operator API of a deployment.
func Client(d *localrun.Deployment) (*operatorapi.Client, error) {
	var urls []string
	for i := 1; i <= d.Options().Entries; i++ {
		urls = append(urls, "http://"+d.OperatorAddr(i))
	}
	return operatorapi.New(operatorapi.Options{Entries: urls, Token: localrun.Token})
}
