// Command cmd runs the fault soak with consecutive seeds and prints a summary
// of each run. It exits with status 1 if there was a violation, and with status
// 2 if a run could not be performed.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/boragecrank/boragecrank/internal/faultsoak"
	"github.com/boragecrank/boragecrank/platform/standin"
)

func main() {
	first := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	faults := flag.Duration("faults", 24*time.Second, "how long faults are injected, 0 for none")
	entries := flag.Int("entries", 3, "number of entry processes")
	workers := flag.Int("workers", 4, "number of workers, each with an agent process")
	rate := flag.Float64("jobs", 4, "jobs submitted per second")
	workerFaults := flag.Bool("workerfaults", true, "also restart workers and let them fail tasks")
	platformFaults := flag.Bool("platformfaults", true, "also evacuations, further faults of the store, owners that stop in series, and untrusted clients")
	mechanisms := flag.Bool("mechanisms", true, "draw flags for the entries from the seed, with jobs, bursts and faults that exercise them")
	silentRestarts := flag.String("silentrestarts", "off", "workers that restart behind a silent network and are cut off soon after: off, also, or only (no other faults)")
	maxLease := flag.Duration("maxlease", standin.DefaultMaxLease, "longest lease of a worker")
	rowBytes := flag.Int("rowbytes", 0, "maximum size of a value in the store, 0 for one that divides the progress of large jobs")
	binary := flag.String("binary", "bin/boragecrank", "path of the product's binary")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := runAll(ctx, *first, *seeds, faultsoak.Options{
		Binary: *binary, Entries: *entries, Workers: *workers, Faults: *faults, WorkerFaults: *workerFaults, RowBytes: *rowBytes, JobsPerSecond: *rate,
		SilentRestarts: *silentRestarts != "off", OnlySilentRestarts: *silentRestarts == "only", PlatformFaults: *platformFaults && *silentRestarts != "only", MaxLease: *maxLease,
		Mechanisms: *mechanisms && *silentRestarts != "only",
	})
	stop()
	os.Exit(code)
}

func runAll(ctx context.Context, first uint64, seeds int, o faultsoak.Options) int {
	code := 0
	for seed := first; seed < first+uint64(seeds) && ctx.Err() == nil; seed++ { //nolint:gosec // a small count
		dir, err := os.MkdirTemp("", fmt.Sprintf("faultsoak-%d-", seed))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		o.Seed, o.Dir = seed, dir
		r, err := faultsoak.Run(ctx, o)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return 2
		}
		fmt.Printf("seed %d: %d accepted, %d refused, %d unknown, %d completed, %d starts, %d store calls, %d excused starts, faults", seed, r.Accepted, r.Refused, r.Unknown, r.Completed, r.Starts, r.Calls, r.ExcusedStarts)
		for _, k := range slices.Sorted(maps.Keys(r.Faults)) {
			fmt.Printf(" %s %d", k, r.Faults[k])
		}
		fmt.Printf(", flags %v, events", r.Flags)
		for _, k := range slices.Sorted(maps.Keys(r.Events)) {
			fmt.Printf(" %s %d", k, r.Events[k])
		}
		fmt.Printf(", %d violations\n", len(r.Violations))
		for _, v := range r.Violations {
			fmt.Println("  violation:", v)
		}
		if len(r.Violations) > 0 {
			fmt.Println("  logs:", filepath.Clean(dir))
			code = 1
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return code
}
