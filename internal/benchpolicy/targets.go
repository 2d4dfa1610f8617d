package benchpolicy

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// corePolicyName is the name of the contender that the targets apply to.
const corePolicyName = "boragecrank"

func columnByName(name string) *column {
	for i := range columns {
		if columns[i].name == name {
			return &columns[i]
		}
	}
	panic("unknown column " + name)
}

// bestBaseline returns the best median of a column among the baselines.
func bestBaseline(series []Series, c *column) float64 {
	var medians []float64
	for _, s := range series {
		if s.Contender.Baseline {
			mid, _ := c.summary(s.Results)
			medians = append(medians, mid)
		}
	}
	if c.higherIsWorse {
		return slices.MinFunc(medians, cmp.Compare[float64])
	}
	return slices.MaxFunc(medians, cmp.Compare[float64])
}

// coreSummary returns the median and the worst value of a column for the core
// policy.
func coreSummary(series []Series, c *column) (mid, worst float64) {
	for _, s := range series {
		if s.Contender.Name == corePolicyName {
			return c.summary(s.Results)
		}
	}
	return 0, 0
}

// PrintTargets writes whether the results meet the targets. Each median is
// compared with the best baseline of that column, which may differ between
// columns.
func PrintTargets(w io.Writer, d *Deployment, series []Series) {
	medians := func(name string) (core, base float64) {
		c := columnByName(name)
		core, _ = coreSummary(series, c)
		return core, bestBaseline(series, c)
	}
	line := func(ok bool, format string, args ...any) {
		verdict := "met"
		if !ok {
			verdict = "MISSED"
		}
		fmt.Fprintf(w, "- %s: %s\n", verdict, fmt.Sprintf(format, args...))
	}
	fmt.Fprintln(w)
	core, base := medians("wave p99")
	batch, batchBase := medians("batch done")
	if d.Weights.TailLatency > d.Weights.Eviction {
		line(base/core >= 2, "p99 of urgent requests in waves lower by a factor of 2: %.2f s against %.2f s, factor %.2f", core, base, base/core)
		line(batch >= 0.95*batchBase, "batch work within 5%% of the best baseline: %.1f%% against %.1f%%", batch, batchBase)
	} else {
		line(core <= base, "p99 of urgent requests in waves no worse: %.2f s against %.2f s", core, base)
		core, base = medians("evictions")
		line(base >= 3*core, "evictions lower by a factor of 3: %.0f against %.0f", core, base)
	}
	mid, worst := coreSummary(series, columnByName("unfinished"))
	line(worst == 0, "every task that can finish by morning finishes: unfinished median %.0f, worst %.0f", mid, worst)
	_, worst = coreSummary(series, columnByName("overfilled"))
	line(worst == 0, "no VM overfilled by reserved size: worst %.0f", worst)
	_, worst = coreSummary(series, columnByName("urgent start"))
	line(worst <= urgentStartLimit.Seconds(), "urgent work starts within %v: worst night's p99 %.1f s", urgentStartLimit, worst)
}
