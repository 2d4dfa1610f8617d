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
	flag.Parse()
	began := time.Now()
	for i := range benchpolicy.Deployments {
		d := &benchpolicy.Deployments[i]
		series := benchpolicy.Run(d, benchpolicy.Contenders[:*only], *seeds)
		benchpolicy.Print(os.Stdout, d, series)
	}
	fmt.Fprintf(os.Stderr, "took %v\n", time.Since(began).Round(time.Second))
}
