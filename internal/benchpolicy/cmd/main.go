// Command cmd runs the policy benchmark and prints its tables. It compares the
// core policy with baseline policies and with variants of the core policy in
// which one mechanism is disabled. It is not part of the shipped binary.
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
	only := flag.Int("contenders", len(benchpolicy.Contenders), "number of contenders to measure, from the start of the list")
	load := flag.Float64("load", 1, "factor for the amount of batch work")
	waves := flag.Float64("waves", 1, "factor for the interference in waves")
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
