package benchpolicy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Contender is a policy under measurement.
type Contender struct {
	Name string
	// Baseline means that the targets compare the core policy with this
	// contender.
	Baseline bool
	build    func(*sim, *rand.Rand) policy
}

// Contenders lists the lower bound of the latencies, the baselines, the core
// policy, and its ablations.
var Contenders = []Contender{
	{"(no batch work)", false, newNoBatch},
	{"first-fit", true, newBaseline(firstFit)},
	{"least-loaded", true, newBaseline(leastLoaded)},
	{"two-choices", true, newBaseline(twoChoices)},
	{"boragecrank", false, newCorePolicy(Ablation{})},
	{"  no learning", false, newCorePolicy(Ablation{Learning: true})},
	{"  no interference", false, newCorePolicy(Ablation{Interference: true})},
	{"  no throttling", false, newCorePolicy(Ablation{Throttling: true})},
	{"  no moves", false, newCorePolicy(Ablation{Moves: true})},
	{"  no quarantine", false, newCorePolicy(Ablation{Quarantine: true})},
	{"  no preemption", false, newCorePolicy(Ablation{Preemption: true})},
	{"  no deadline order", false, newCorePolicy(Ablation{DeadlineOrder: true})},
	{"  no headroom", false, newCorePolicy(Ablation{Headroom: true})},
	{"  no attribution", false, newCorePolicy(Ablation{Attribution: true})},
	// The following are not part of the targets, because the production router
	// compares two VMs by load.
	{"  wide routing", false, newCorePolicy(Ablation{WideRouting: true})},
	{"  routing by risk", false, newCorePolicy(Ablation{RoutingByRisk: true})},
	{"  two-choices, wide", false, newWideBaseline},
}

// Series holds a contender's results over the seeds, in order of the seeds.
type Series struct {
	Contender Contender
	Results   []Result
}

// Run measures the contenders in a deployment with seeds 1 to n. The result
// depends only on the arguments.
func Run(d *Deployment, contenders []Contender, n int) []Series {
	out := make([]Series, len(contenders))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, c := range contenders {
		out[i] = Series{Contender: c, Results: make([]Result, n)}
		for seed := range n {
			group.Go(func() error {
				out[i].Results[seed] = newSim(d, uint64(seed+1), c.build).run()
				return nil
			})
		}
	}
	_ = group.Wait() // The runs return no errors.
	return out
}

// column is one column of the result table.
type column struct {
	name string
	// higherIsWorse reports whether larger values are worse.
	higherIsWorse bool
	value         func(*Result) float64
	format        func(float64) string
}

func seconds(d time.Duration) float64 { return d.Seconds() }

func fixedFormat(digits int, unit string) func(float64) string {
	return func(v float64) string { return fmt.Sprintf("%.*f%s", digits, v, unit) }
}

var columns = []column{
	{"p50", true, func(r *Result) float64 { return seconds(r.P50) }, fixedFormat(2, "s")},
	{"p99", true, func(r *Result) float64 { return seconds(r.P99) }, fixedFormat(2, "s")},
	{"p99.9", true, func(r *Result) float64 { return seconds(r.P999) }, fixedFormat(2, "s")},
	{"wave p99", true, func(r *Result) float64 { return seconds(r.WaveP99) }, fixedFormat(2, "s")},
	{"in deadline", false, func(r *Result) float64 { return 100 * r.WithinDeadline }, fixedFormat(2, "%")},
	{"batch done", false, func(r *Result) float64 { return 100 * r.BatchDone }, fixedFormat(1, "%")},
	{"unfinished", true, func(r *Result) float64 { return float64(r.Unfinished) }, fixedFormat(0, "")},
	{"evictions", true, func(r *Result) float64 { return float64(r.Evictions) }, fixedFormat(0, "")},
	{"of them kills", true, func(r *Result) float64 { return float64(r.Kills) }, fixedFormat(0, "")},
	{"lost core h", true, func(r *Result) float64 { return r.LostWork.Hours() }, fixedFormat(1, "")},
	{"urgent start", true, func(r *Result) float64 { return seconds(r.UrgentStart) }, fixedFormat(1, "s")},
	{"failed runs", true, func(r *Result) float64 { return float64(r.Failures) }, fixedFormat(0, "")},
	{"false quar.", true, func(r *Result) float64 { return float64(r.FalseQuarantines) }, fixedFormat(0, "")},
	{"overfilled", true, func(r *Result) float64 { return float64(r.Overcommitted) }, fixedFormat(0, "")},
}

// median returns the median, or the lower of the two middle values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}

// summary returns the median and the worst value of a column.
func (c *column) summary(results []Result) (mid, worst float64) {
	values := make([]float64, len(results))
	for i := range results {
		values[i] = c.value(&results[i])
	}
	if c.higherIsWorse {
		return median(values), slices.Max(values)
	}
	return median(values), slices.Min(values)
}

// Print writes a Markdown table with the median and the worst value of each
// column.
func Print(w io.Writer, d *Deployment, series []Series) {
	fmt.Fprintf(w, "\n### %s: %d seeds, median / worst; limit of urgent requests %v, of urgent starts %v\n\n",
		d.Name, len(series[0].Results), deadline, urgentStartLimit)
	fmt.Fprint(w, "| policy |")
	for i := range columns {
		fmt.Fprintf(w, " %s |", columns[i].name)
	}
	fmt.Fprint(w, "\n| --- |")
	for range columns {
		fmt.Fprint(w, " --- |")
	}
	fmt.Fprintln(w)
	for _, s := range series {
		fmt.Fprintf(w, "| %s |", s.Contender.Name)
		for i := range columns {
			mid, worst := columns[i].summary(s.Results)
			fmt.Fprintf(w, " %s / %s |", columns[i].format(mid), columns[i].format(worst))
		}
		fmt.Fprintln(w)
	}
}
