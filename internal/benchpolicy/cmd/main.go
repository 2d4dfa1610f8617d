// Command cmd prints the policy benchmark: the policy core against baselines
// and against itself without each mechanism. It is not part of the shipped
// binary.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/boragecrank/boragecrank/internal/benchpolicy"
)

func main() {
	seeds := flag.Int("seeds", 20, "number of seeds")
	only := flag.Int("contenders", len(benchpolicy.Contenders), "measure only the first contenders")
	load := flag.Float64("load", 1, "factor on the amount of batch work")
	waves := flag.Float64("waves", 1, "factor on the interference in waves")
	flag.Parse()
	began := time.Now()
	for _, d := range benchpolicy.Deployments {
		d.Load, d.Waves = *load, *waves
		series := benchpolicy.Run(&d, benchpolicy.Contenders[:*only], *seeds)
		benchpolicy.Print(os.Stdout, &d, series)
		benchpolicy.PrintTargets(os.Stdout, &d, series)
	}
	fmt.Fprintf(os.Stderr, "took %v\n", time.Since(began).Round(time.Second))
}
