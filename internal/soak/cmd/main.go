// Command cmd runs the soak simulations with consecutive seeds for a given time
// and prints a summary. It exits with status 1 if there was a violation.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/boragecrank/boragecrank/internal/soak"
)

func main() {
	seconds := flag.Int("seconds", 60, "run time in seconds")
	seed := flag.Uint64("seed", 1, "first seed")
	steps := flag.Int("steps", 2000, "number of steps with faults in each run")
	simulation := flag.String("world", "", "simulation to run, tasks or requests; empty runs both")
	drop := flag.String("drop", "", "rule to disable: incarnation, commit, proof, fence, claim, seals, lost or compare")
	trace := flag.Bool("trace", false, "print every event")
	flag.Parse()
	opts := soak.Options{Seed: *seed, Steps: *steps, Drop: soak.Drop(*drop)}
	if *trace {
		opts.Trace = func(e string) { fmt.Println(e) }
	}
	os.Exit(runAll(time.Duration(*seconds)*time.Second, opts, *simulation))
}

func runAll(limit time.Duration, opts soak.Options, only string) int {
	simulations := []struct {
		name string
		run  func(soak.Options) soak.Result
	}{{"tasks", soak.RunTasks}, {"requests", soak.RunRequests}}
	code := 0
	totals := make([]soak.Result, len(simulations))
	for end := time.Now().Add(limit); time.Now().Before(end); opts.Seed++ {
		for i, sim := range simulations {
			if only == "" || only == sim.name {
				totals[i].Add(sim.run(opts))
			}
		}
	}
	for i, sim := range simulations {
		if printResult(sim.name, totals[i]) {
			code = 1
		}
	}
	return code
}

// printResult prints a result and reports whether it has violations.
func printResult(name string, r soak.Result) bool {
	fmt.Printf("%s: %d steps in %d seeds, %d violations\n", name, r.Steps, r.Seeds, len(r.Violations))
	fmt.Println(" faults")
	for _, l := range soak.FormatCounts(r.Faults) {
		fmt.Println(l)
	}
	fmt.Println(" outcomes")
	for _, l := range soak.FormatCounts(r.Outcomes) {
		fmt.Println(l)
	}
	for _, v := range r.Violations {
		fmt.Printf(" violation in seed %d, step %d: %s\n", v.Seed, v.Step, v.Description)
		for _, e := range v.Events {
			fmt.Println("   ", e)
		}
	}
	return len(r.Violations) > 0
}
