// Command cmd measures the resource usage of the control processes at several
// sizes; see package benchsize. It prints tables and exits with status 1 if a
// run failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/boragecrank/boragecrank/internal/benchsize"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	b := &benchsize.Bench{Out: os.Stdout}
	mode := flag.String("mode", "rest", "measurement to run: rest (one shard without load, at several sizes), wide (three full shards without load), tasks (a full shard with tasks), entry (entries with up to all shards) or churn (failures while the configuration changes)")
	sizes := flag.String("sizes", "1,2,4,8,16,32", "numbers of workers of the shard, for mode rest")
	flag.StringVar(&b.Binary, "binary", "bin/boragecrank", "path of the built binary")
	flag.IntVar(&b.Octet, "octet", 51, "second octet of the loopback addresses")
	flag.DurationVar(&b.SettleTime, "settle", 12*time.Second, "time before the first sample")
	flag.DurationVar(&b.Window, "window", 20*time.Second, "time between the samples")
	flag.Parse()
	load, _ := os.ReadFile("/proc/loadavg")
	fmt.Printf("mode %s, %s, load average %s", *mode, time.Now().Format(time.DateTime), load)
	switch *mode {
	case "rest":
		return measureAtRest(ctx, b, *sizes)
	case "wide":
		return b.MeasureFullShards(ctx)
	case "tasks":
		return b.MeasureTasks(ctx)
	case "entry":
		return b.MeasureEntries(ctx)
	case "churn":
		return b.MeasureChurn(ctx)
	default:
		return fmt.Errorf("unknown mode %q", *mode)
	}
}

// measureAtRest measures one shard with each of the given numbers of workers.
func measureAtRest(ctx context.Context, b *benchsize.Bench, sizes string) error {
	var workers []int
	var lists [][]benchsize.Usage
	for s := range strings.SplitSeq(sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			return err
		}
		size := benchsize.Size{Entries: 1, Domains: 1, Workers: n}
		list, err := b.MeasureAtRest(ctx, size)
		if err != nil {
			return err
		}
		benchsize.PrintUsage(b.Out, size.String(), list)
		workers, lists = append(workers, n), append(lists, list)
	}
	for _, role := range []benchsize.Role{benchsize.RoleEntry, benchsize.RoleMember, benchsize.RoleOwner, benchsize.RoleRelay} {
		benchsize.PrintSlopes(b.Out, role, workers, lists)
	}
	return nil
}
