// Command stand2 plays one case of the review: it starts the programs of the system
// and stand-ins for the platform around them, and writes what was seen to a record.
//
// Usage, in the root of the repository: stand2 CASE RECORD. The exit code is 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"
)

// testCase is one case and the rule that it is about.
type testCase struct {
	rule  string
	queue queueConfig
	play  func(w *world, trouble bool) error
}

var cases = map[string]testCase{
	"limit":   {"LIMIT", queueConfig{attempts: 4, admission: false}, playLimit},
	"advice":  {"LOST", queueConfig{attempts: 4, admission: true}, playAdvice},
	"tickets": {"LOST", queueConfig{attempts: 4, admission: true}, playTickets},
	"gang":    {"BUDGET", queueConfig{attempts: 2, admission: true}, playGang},
	"moves":   {"AVAIL", queueConfig{attempts: 4, admission: true}, playMoves},
	"fuzz":    {"ANY", queueConfig{attempts: 3, admission: false}, playFuzz},
}

const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(2)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(runCase(c, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(c testCase, record string, trouble bool) int {
	w, err := newWorld(record, c.queue)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.logf("case for %s, disruption: %t", c.rule, trouble)
	result := make(chan error, 1)
	go func() { result <- c.play(w, trouble) }()
	select {
	case err = <-result:
	case <-time.After(maxTime):
		err = fmt.Errorf("case took more than %v: %w", maxTime, errNoRun)
	}
	w.ruleEnds()
	w.mu.Lock()
	broken := w.broken
	for rule, list := range broken {
		w.logLocked("result: %s broken %d times", rule, len(list))
		fmt.Printf("%s broken %d times, first: %s\n", rule, len(list), list[0])
	}
	if err != nil {
		w.logLocked("result: the case could not run: %v", err)
	}
	w.logLocked("end of the case")
	w.mu.Unlock()
	w.close()
	switch {
	case len(broken[c.rule]) > 0 || c.rule == "ANY" && len(broken) > 0:
		return 1
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return 0
}

// start starts a deployment with entries and workers of one size, and waits until it
// serves.
func (w *world) startDeployment(entries, workers, cpu int) error {
	w.putConfig(3)
	for range workers {
		if _, err := w.addWorker(cpu, 64000); err != nil {
			return err
		}
	}
	if err := w.addEntries(entries); err != nil {
		return err
	}
	if err := w.awaitReady(workers); err != nil {
		return err
	}
	w.logf("platform: the deployment serves")
	return nil
}

// step returns a step of tasks that end as done after their work.
func step(tasks, cpu int, work time.Duration) stepSpec {
	return stepSpec{wire: map[string]any{"task_count": tasks, "cpu": cpu, "mem_mb": 256, "estimate_ms": int(work.Milliseconds())}, work: work}
}

func (s stepSpec) with(key string, value any) stepSpec {
	s.wire[key] = value
	return s
}

// awaitRunning waits until n tasks of a job are running.
func (w *world) awaitRunning(j *jobSpec, n int, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if w.countRunning(j) >= n {
			return nil
		}
	}
	return fmt.Errorf("%d tasks of a job did not start in %v: %w", n, limit, errNoRun)
}

func (w *world) countRunning(j *jobSpec) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for t, list := range w.running {
		if id, _ := parseTask(t); id == j.id {
			n += len(list)
		}
	}
	return n
}

// awaitFinal waits until jobs are shown in a final state and returns those that are not.
func (w *world) awaitFinal(jobs []*jobSpec, limit time.Duration) []*jobSpec {
	open := slices.Clone(jobs)
	for deadline := time.Now().Add(limit); len(open) > 0 && time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		open = slices.DeleteFunc(open, func(j *jobSpec) bool {
			s := w.look(j)
			return s == "completed" || s == "failed" || s == "cancelled"
		})
	}
	return open
}

// playLimit: the owner's process is killed, and a job whose tasks fill all workers is
// cancelled before another entry takes over. Another job waits for room.
func playLimit(w *world, trouble bool) error {
	if err := w.startDeployment(3, 3, 4000); err != nil {
		return err
	}
	first := w.submit(step(12, 1000, time.Minute))
	if err := w.awaitRunning(first, 12, 10*time.Second); err != nil {
		return err
	}
	second := w.submit(step(12, 1000, time.Second))
	time.Sleep(time.Second)
	owner := w.owner()
	if owner == nil || first.accepted.IsZero() || second.accepted.IsZero() {
		return errNoRun
	}
	if trouble {
		w.logf("platform: SIGKILL of %s", owner.name)
		owner.kill()
		time.AfterFunc(time.Second, func() { _ = owner.start() })
	}
	w.cancel(first)
	if open := w.awaitFinal([]*jobSpec{second}, 30*time.Second); len(open) > 0 {
		return fmt.Errorf("the second job was not done: %w", errNoRun)
	}
	return nil
}

// playAdvice: jobs of a queue with advice come at once.
func playAdvice(w *world, trouble bool) error {
	const workers, n = 11, 40
	if err := w.addAdvisor(100*time.Millisecond, 10*time.Millisecond, 3*time.Second, func(string, *workerNode) bool { return true }); err != nil {
		return err
	}
	if err := w.startDeployment(3, workers, 16000); err != nil {
		return err
	}
	pause := 50 * time.Millisecond
	if !trouble {
		pause = 600 * time.Millisecond
	}
	jobs := make([]*jobSpec, n)
	done := make(chan int)
	for i := range n {
		go func() { jobs[i] = w.submit(step(2, 500, 800*time.Millisecond)); done <- i }()
		time.Sleep(pause)
	}
	for range n {
		<-done
	}
	w.logf("end of the traffic")
	return w.ruleLost(jobs, time.Now())
}

// ruleLost asks for jobs after the end of the traffic and looks for some that have had
// nothing running for 3 s, finishBound and more after the end of the traffic, while
// less than half of the capacity is in use.
func (w *world) ruleLost(jobs []*jobSpec, end time.Time) error {
	jobs = slices.DeleteFunc(slices.Clone(jobs), func(j *jobSpec) bool { return j.accepted.IsZero() })
	open := w.awaitFinal(jobs, finishBound)
	time.Sleep(time.Until(end.Add(finishBound)))
	idle := make(map[string]time.Time)
	for deadline := time.Now().Add(20 * time.Second); len(open) > 0 && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		used, all := 0, 0
		for _, k := range w.workers {
			if k.up {
				cpu, _ := k.used()
				used, all = used+cpu, all+k.cpu
			}
		}
		for _, j := range open {
			switch {
			case w.active(j) || 2*used >= all:
				delete(idle, j.id)
			case idle[j.id].IsZero():
				idle[j.id] = time.Now()
			case time.Since(idle[j.id]) > 3*time.Second:
				w.violate("LOST", "job %s, accepted %.1f s ago, has had nothing running for 3 s; %d of %d thousandths of a core are in use", j.id, time.Since(j.accepted).Seconds(), used, all)
				idle[j.id] = time.Now().Add(time.Hour)
			}
		}
		w.mu.Unlock()
		if time.Since(end) > finishBound+8*time.Second {
			break
		}
		open = slices.DeleteFunc(open, func(j *jobSpec) bool { s := w.look(j); return s == "completed" || s == "failed" })
	}
	w.logf("jobs not done at the end: %d of %d", len(open), len(jobs))
	return nil
}

// playTickets: the policy allows a step of tasks that last on a few workers only; one
// of them is lost for good.
func playTickets(w *world, trouble bool) error {
	allowed := []int{0, 1, 33, 34, 35}
	if err := w.addAdvisor(50*time.Millisecond, 5*time.Millisecond, 3*time.Second, func(_ string, k *workerNode) bool { return slices.Contains(allowed, k.index) }); err != nil {
		return err
	}
	if err := w.startDeployment(3, 36, 16000); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	j := w.submit(step(2, 2000, time.Second).with("long_running", true).with("anti_affinity", 1))
	if err := w.awaitRunning(j, 2, 15*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.mu.Lock()
		var lost *workerNode
		for _, k := range w.workers {
			if len(k.tasks) > 0 {
				lost = k
			}
		}
		w.mu.Unlock()
		w.logf("platform: %s is lost for good", lost.name())
		lost.crash()
	}
	return w.ruleLasting(j, 2)
}

// ruleLasting looks for 30 s whether fewer than n tasks of a job that lasts are running
// for 9 s on end: the 6 s after the last run and the 3 s of the rule.
func (w *world) ruleLasting(j *jobSpec, n int) error {
	begin := time.Now()
	complete := begin
	told := false
	for time.Since(begin) < 30*time.Second {
		time.Sleep(50 * time.Millisecond)
		if w.countRunning(j) >= n {
			complete = time.Now()
		}
		if !told && time.Since(complete) > 9*time.Second {
			told = true
			w.mu.Lock()
			w.violate("LOST", "a task of job %s, which lasts, has not run for %.1f s; empty workers that may run it: %d", j.id, time.Since(complete).Seconds(), w.emptyAllowed(j))
			w.mu.Unlock()
		}
	}
	w.logf("%.0f s later %d of %d tasks are running", time.Since(begin).Seconds(), w.countRunning(j), n)
	return nil
}

// emptyAllowed counts the workers that are up, run nothing, and may run the first step
// of a job. The caller holds w.mu.
func (w *world) emptyAllowed(j *jobSpec) int {
	n := 0
	for _, k := range w.workers {
		if k.up && len(k.tasks) == 0 && w.advice.allowed(j.id+".0.0", k) {
			n++
		}
	}
	return n
}

// playGang: gangs that can never be done.
func playGang(w *world, trouble bool) error {
	if err := w.startDeployment(3, 4, 4000); err != nil {
		return err
	}
	var jobs []*jobSpec
	for range 5 {
		s := step(4, 3000, 600*time.Millisecond).with("gang", true)
		s.fails = trouble
		jobs = append(jobs, w.submit(s))
	}
	if open := w.awaitFinal(jobs, 60*time.Second); len(open) > 0 {
		w.logf("%d jobs have no final state", len(open))
	}
	time.Sleep(time.Second)
	return nil
}

// playMoves: the load of tasks that serve rises, while tasks that last fill beside them,
// and new workers have room.
func playMoves(w *world, trouble bool) error {
	if err := w.startDeployment(3, 3, 8000); err != nil {
		return err
	}
	serving := w.submit(step(3, 4000, time.Second).with("long_running", true).with("anti_affinity", 1).with("image", "desk").with("target_ms", 10))
	if err := w.awaitRunning(serving, 3, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	filling := w.submit(step(3, 2500, time.Second).with("long_running", true).with("anti_affinity", 1).with("image", "index").with("fills", true).with("checkpointing", true).with("may_miss", 1))
	if err := w.awaitRunning(filling, 3, 20*time.Second); err != nil {
		return err
	}
	for range 3 {
		if _, err := w.addWorker(8000, 64000); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	if trouble {
		w.mu.Lock()
		w.usersLoad = 0.65
		w.logLocked("consumers: the load of the users of tasks that serve rises to 0.65")
		w.mu.Unlock()
	}
	time.Sleep(12 * time.Second)
	return nil
}
