package benchsize

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/localrun"
)

// Targets returns the entries and workers of a deployment.
func Targets(d *localrun.Deployment) []Target {
	o := d.Options()
	var out []Target
	add := func(name, metrics string) {
		if p := d.Process(name); p != nil {
			out = append(out, Target{Name: name, PID: p.Pid(), Metrics: metrics})
		}
	}
	for i := 1; i <= o.Entries; i++ {
		add(localrun.EntryName(i), d.EntryMetricsURL(i))
	}
	for domain := 1; domain <= o.Domains; domain++ {
		for worker := 1; worker <= o.Workers; worker++ {
			add(localrun.WorkerName(domain, worker), d.WorkerMetricsURL(domain, worker))
		}
	}
	return out
}

// Observe samples all targets, waits and samples them again.
func Observe(ctx context.Context, d *localrun.Deployment, window time.Duration) ([]Usage, error) {
	targets := Targets(d)
	before, err := readAll(ctx, d, targets)
	if err != nil {
		return nil, err
	}
	if err := Sleep(ctx, window); err != nil {
		return nil, err
	}
	after, err := readAll(ctx, d, targets)
	if err != nil {
		return nil, err
	}
	out := make([]Usage, len(targets))
	for i, t := range targets {
		out[i] = Between(t.Name, before[i], after[i])
	}
	return out, nil
}

func readAll(ctx context.Context, d *localrun.Deployment, targets []Target) ([]Sample, error) {
	out := make([]Sample, len(targets))
	errs := make([]error, len(targets))
	slots := make(chan struct{}, 8)
	var all sync.WaitGroup
	for i, t := range targets {
		all.Add(1)
		slots <- struct{}{}
		go func() {
			defer all.Done()
			out[i], errs[i] = Read(ctx, d, t)
			<-slots
		}()
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Sleep waits for d or the context's end.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Size is the shape of a deployment.
type Size struct {
	Entries, Domains, Workers int
}

// String returns the size as written in tables.
func (s Size) String() string {
	return fmt.Sprintf("%d entries, %d x %d workers", s.Entries, s.Domains, s.Workers)
}

// Bench starts deployments one after the other.
type Bench struct {
	Binary string
	Octet  int
	// Settle is the time before the first sample; owners and relays are chosen
	// and reports exchanged by then.
	Settle, Window time.Duration
	Out            io.Writer
	// Work and Rules replace the default services, jobs and rules.
	Work, Rules string
}

// With runs f on a started deployment and ends its processes.
func (b *Bench) With(ctx context.Context, s Size, start bool, f func(*localrun.Deployment) error) error {
	dir, err := os.MkdirTemp("", "benchsize")
	if err != nil {
		return err
	}
	whole := false
	defer func() {
		if whole {
			_ = os.RemoveAll(dir) // the logs of a failed run stay
		}
	}()
	d, err := localrun.New(localrun.Options{
		Binary: b.Binary, Dir: dir, Octet: b.Octet,
		Entries: s.Entries, Domains: s.Domains, Workers: s.Workers, Work: b.Work, Rules: b.Rules,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	if start {
		if err := d.StartAll(ctx); err != nil {
			return err
		}
	}
	if err := f(d); err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, dir)
	}
	whole = true
	return nil
}

// Rest measures a deployment at rest.
func (b *Bench) Rest(ctx context.Context, s Size) ([]Usage, error) {
	var list []Usage
	err := b.With(ctx, s, true, func(d *localrun.Deployment) error {
		if err := Sleep(ctx, b.Settle); err != nil {
			return err
		}
		var err error
		list, err = Observe(ctx, d, b.Window)
		return err
	})
	return list, err
}

// Columns of the tables.
var columns = []struct {
	name  string
	value func(*Usage) float64
}{
	{"RSS MB", func(u *Usage) float64 { return float64(u.Resident) / 1e6 }},
	{"anon MB", func(u *Usage) float64 { return float64(u.Anonymous) / 1e6 }},
	{"core %", func(u *Usage) float64 { return 100 * u.Cores }},
	{"dgram/s", func(u *Usage) float64 { return u.Datagrams }},
	{"dgram B/s", func(u *Usage) float64 { return u.DatagramBytes }},
	{"call B/s", func(u *Usage) float64 { return u.CallBytes }},
	{"table B/s", func(u *Usage) float64 { return u.TableBytes }},
	{"network B/s", (*Usage).NetworkBytes},
	{"runtime B/s", func(u *Usage) float64 { return u.RuntimeBytes }},
}

var roles = []Role{RoleEntry, RoleMember, RoleOwner, RoleRelay}

// Print writes one line for each role: mean and largest value.
func Print(w io.Writer, title string, list []Usage) {
	fmt.Fprintf(w, "\n%s\n%-8s %3s", title, "role", "n")
	for _, c := range columns {
		fmt.Fprintf(w, " %17s", c.name)
	}
	fmt.Fprintln(w)
	for _, role := range roles {
		_, _, n := Mean(list, role, columns[0].value)
		if n == 0 {
			continue
		}
		fmt.Fprintf(w, "%-8s %3d", role, n)
		for _, c := range columns {
			mean, largest, _ := Mean(list, role, c.value)
			fmt.Fprintf(w, " %8.2f/%8.2f", mean, largest)
		}
		fmt.Fprintln(w)
	}
	printCalls(w, list)
}

// printCalls writes the table calls of each role, summed over its processes.
func printCalls(w io.Writer, list []Usage) {
	for _, role := range roles {
		sum := make(map[string]float64)
		for i := range list {
			if list[i].Role == role {
				for key, rate := range list[i].Calls {
					sum[key] += rate
				}
			}
		}
		for _, key := range slices.Sorted(maps.Keys(sum)) {
			fmt.Fprintf(w, "  table calls, all of role %s, %s: %.2f/s\n", role, key, sum[key])
		}
	}
}

// PrintSlopes fits the columns of a role over the workers of a shard.
func PrintSlopes(w io.Writer, role Role, workers []int, lists [][]Usage) {
	for _, c := range columns {
		var x, y []float64
		for i, n := range workers {
			if mean, _, count := Mean(lists[i], role, c.value); count > 0 {
				x, y = append(x, float64(n)), append(y, mean)
			}
		}
		if len(x) > 1 {
			l := Fit(x, y)
			fmt.Fprintf(w, "slope %-7s %-12s %10.3f + %8.4f per member of the shard (n=%d)\n", role, c.name, l.Base, l.Slope, len(x))
		}
	}
}
