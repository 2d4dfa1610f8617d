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

// ListTargets returns the entries and workers of a deployment.
func ListTargets(d *localrun.Deployment) []Target {
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

// MeasureUsage samples all targets, waits for the window, samples them again,
// and returns the usage in between.
func MeasureUsage(ctx context.Context, d *localrun.Deployment, window time.Duration) ([]Usage, error) {
	targets := ListTargets(d)
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
		out[i] = UsageBetween(t.Name, before[i], after[i])
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
			out[i], errs[i] = ReadSample(ctx, d, t)
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

// Sleep waits for d or until the context is cancelled.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Size is the size of a deployment: the number of entries, of failure domains,
// and of workers in each failure domain.
type Size struct {
	Entries, Domains, Workers int
}

// String formats the size for tables.
func (s Size) String() string {
	return fmt.Sprintf("%d entries, %d x %d workers", s.Entries, s.Domains, s.Workers)
}

// Bench runs measurements, each on a deployment of its own.
type Bench struct {
	// Binary is the path of the built binary.
	Binary string
	// Octet is the second octet of the loopback addresses.
	Octet int
	// SettleTime is the time before the first sample, in which owners and
	// relays are chosen and reports exchanged. Window is the time between two
	// samples.
	SettleTime, Window time.Duration
	Out                io.Writer
	// Work and Rules, if set, are TOML texts that replace the default services
	// and jobs, and the default rules.
	Work, Rules string
}

// WithDeployment creates a deployment, starts it if start is set, calls f and
// ends the processes.
func (b *Bench) WithDeployment(ctx context.Context, s Size, start bool, f func(*localrun.Deployment) error) error {
	dir, err := os.MkdirTemp("", "benchsize")
	if err != nil {
		return err
	}
	succeeded := false
	defer func() {
		if succeeded {
			_ = os.RemoveAll(dir) // the logs of a failed run are kept
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
	succeeded = true
	return nil
}

// MeasureAtRest measures a deployment without load.
func (b *Bench) MeasureAtRest(ctx context.Context, s Size) ([]Usage, error) {
	var list []Usage
	err := b.WithDeployment(ctx, s, true, func(d *localrun.Deployment) error {
		if err := Sleep(ctx, b.SettleTime); err != nil {
			return err
		}
		var err error
		list, err = MeasureUsage(ctx, d, b.Window)
		return err
	})
	return list, err
}

// columns are the columns of the tables.
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

// PrintUsage writes one line for each role, with mean and largest value.
func PrintUsage(w io.Writer, title string, list []Usage) {
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

// printCalls writes the table calls per second of each role, summed over its
// processes.
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
			fmt.Fprintf(w, "  table calls, all processes of role %s, %s: %.2f/s\n", role, key, sum[key])
		}
	}
}

// PrintSlopes fits each column of a role as a linear function of the number of
// workers in the shard, and prints the fits. lists[i] holds the usages measured
// with workers[i] workers.
func PrintSlopes(w io.Writer, role Role, workers []int, lists [][]Usage) {
	for _, c := range columns {
		var x, y []float64
		for i, n := range workers {
			if mean, _, count := Mean(lists[i], role, c.value); count > 0 {
				x, y = append(x, float64(n)), append(y, mean)
			}
		}
		if len(x) > 1 {
			l := FitLine(x, y)
			fmt.Fprintf(w, "slope %-7s %-12s %10.3f + %8.4f per member of the shard (n=%d)\n", role, c.name, l.Intercept, l.Slope, len(x))
		}
	}
}
