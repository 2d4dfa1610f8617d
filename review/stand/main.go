// Command stand runs one case of the review: a small deployment of the product's own
// processes on loopback addresses, with stand-ins for the platform, the workers and
// the consumers. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario is a case. It returns what broke the rule, or an empty string.
type scenario struct {
	entries, workers int
	labels           func(int) []string
	queues           []queue
	quiet            bool
	run              func(d *deployment, trouble bool) (string, error)
}

func rackLabels(i int) []string { return []string{"a", fmt.Sprintf("r1-%d", i/3+1)} }

var scenarios = map[string]scenario{
	"restart":   workerRestart,
	"large-job": largeJob,
	"failed":    failedTask,
	"grey":      greyWorker,
	"advice":    adviceBeyond30,
	"cancel":    cancelDuringTakeover,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE BINARY RECORD")
		os.Exit(2)
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		os.Exit(2)
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := newRecorder(out)
	rec.quiet = s.quiet
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption: %t", os.Args[1], trouble)
	os.Exit(play(rec, &s, os.Args[2], trouble))
}

// play runs a scenario and ends all processes that it has started, also when the
// program is asked to stop or takes too long.
func play(rec *recorder, s *scenario, binary string, trouble bool) int {
	d, err := newDeployment(rec, binary)
	if err != nil {
		rec.log("cannot run: %v", err)
		return 2
	}
	defer d.stopAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		d.configure(7, s.queues...)
		err := d.startAll(s.entries, s.workers, s.labels)
		if err == nil {
			err = d.awaitReady(s.queues[0].name)
		}
		if err != nil {
			done <- result{err: err}
			return
		}
		broken, err := s.run(d, trouble)
		done <- result{broken, err}
	}()
	select {
	case <-stop:
		rec.log("cannot run: asked to stop")
		return 2
	case <-time.After(115 * time.Second):
		rec.log("cannot run: took longer than 115 s")
		return 2
	case r := <-done:
		rec.log("runs by event: %v", rec.counts())
		switch {
		case r.err != nil:
			rec.log("cannot run: %v", r.err)
			return 2
		case r.broken != "":
			rec.log("RULE BROKEN: %s", r.broken)
			fmt.Println("rule broken:", r.broken)
			return 1
		}
		rec.log("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
