package main

import (
	"fmt"
	"time"
)

// ruleStart checks a start that a worker is about to carry out. The caller holds w.mu.
func (w *world) ruleStart(k *workerNode, j *jobSpec, step *stepSpec, n [3]int, c *orderBody, log *runLog) {
	if c.Spec != j.text {
		w.violate("UNASKED", "%s is started with another task_spec %q", c.Task, c.Spec)
	}
	if c.Checkpoint != "" && j.saved[c.Checkpoint] != savedKey(c.Task, step.flag("gang")) {
		w.violate("UNASKED", "%s is started with the checkpoint %q, which is not the task's", c.Task, c.Checkpoint)
	}
	if !j.mayRun {
		w.violate("REFUSED", "%s starts, though all attempts to hand its job in were rejected", c.Task)
	}
	if !j.cancelAcked.IsZero() && time.Since(j.cancelAcked) > cancelBound {
		w.violate("UNASKED", "%s starts %d ms after the cancelling of its job was acknowledged", c.Task, time.Since(j.cancelAcked).Milliseconds())
	}
	if !step.flag("speculative") {
		for _, other := range w.running[c.Task] {
			w.violate("TWICE", "%s run %x starts on %s while run %x is running on %s", c.Task, c.Run, k.name(), other.run, other.worker)
		}
	}
	if !k.drainAcked.IsZero() && time.Since(k.drainAcked) > drainBound {
		w.violate("DRAIN", "%s starts on %s %d ms after its draining was acknowledged", c.Task, k.name(), time.Since(k.drainAcked).Milliseconds())
	}
	if j.first > 0 {
		due := time.UnixMilli(j.first + int64(n[0])*j.interval)
		if time.Until(due) > 250*time.Millisecond {
			w.violate("ORDER", "%s starts %v before its time", c.Task, time.Until(due))
		}
	}
	if most := step.number("anti_affinity"); most > 0 {
		same := 1
		for t := range k.tasks {
			if id, m := parseTask(t); id == j.id && m[0] == n[0] && m[1] == n[1] {
				same++
			}
		}
		if same > most {
			w.violate("ROUTE", "%s is the task number %d of its step on %s", c.Task, same, k.name())
		}
	}
	if after, ok := step.wire["after"].([]int); ok {
		for _, a := range after {
			w.ruleOrder(j, n[0], a, c.Task)
		}
	}
}

// ruleOrder checks that all tasks of a step have ended as done.
func (w *world) ruleOrder(j *jobSpec, occurrence, step int, task string) {
	done := make(map[string]bool)
	for _, r := range w.runs {
		if r.how == "done" {
			done[r.task] = true
		}
	}
	for i := range j.steps[step].number("task_count") {
		name := fmt.Sprintf("%s.%d.%d.%d", j.id, occurrence, step, i)
		if !done[name] {
			w.violate("ORDER", "%s starts before %s has ended done", task, name)
			return
		}
	}
}

// ruleGang checks the end of a run as alone.
func (w *world) ruleGang(r *run) {
	if r.job.cancelSent.IsZero() {
		w.violate("GANG", "%s run %x ended alone on %s", r.log.task, r.log.run, r.log.worker)
	}
}

// ruleEnds checks what can be told only when all ends are known: starts after a noted
// end as done (TWICE) and after max_attempts noted ends as failed (BUDGET).
func (w *world) ruleEnds() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		id, n := parseTask(r.task)
		step := &w.jobs[id].steps[n[1]]
		failed := 0
		var list []string
		for _, x := range w.runs {
			if x.task != r.task || x == r || x.ended.IsZero() || x.ended.After(r.at) || !x.noted {
				continue
			}
			switch {
			case x.how == "done" && !step.flag("long_running") && !step.flag("speculative"):
				w.violate("TWICE", "%s run %x starts on %s after run %x has ended done on %s", r.task, r.run, r.worker, x.run, x.worker)
			case x.how == "failed":
				failed++
				list = append(list, fmt.Sprintf("%x on %s", x.run, x.worker))
			}
		}
		if w.config.attempts > 0 && failed >= w.config.attempts && !step.flag("long_running") {
			w.violate("BUDGET", "%s run %x starts on %s after the runs %v have ended failed; max_attempts is %d", r.task, r.run, r.worker, list, w.config.attempts)
		}
	}
}

// active reports whether a task of a job is running.
func (w *world) active(j *jobSpec) bool {
	for t, list := range w.running {
		if id, _ := parseTask(t); id == j.id && len(list) > 0 {
			return true
		}
	}
	return false
}

// ruleAvail checks the stop of a task of a step with may_miss that is at work: so many
// other tasks of its step must not be away, which is ended by a stop, or not at work for
// noticeBound. The caller holds w.mu.
func (w *world) ruleAvail(k *workerNode, r *run) {
	most := r.step.number("may_miss")
	if most == 0 || !r.step.flag("long_running") || r.percent() < 100 || k.draining || !r.job.cancelSent.IsZero() {
		return
	}
	_, n := parseTask(r.log.task)
	away := []string{}
	for i := range r.step.number("task_count") {
		name := fmt.Sprintf("%s.%d.%d.%d", r.job.id, n[0], n[1], i)
		if name == r.log.task {
			continue
		}
		atWork := false
		for _, node := range w.workers {
			if x := node.tasks[name]; node.up && x != nil && x.percent() == 100 {
				atWork = true
			}
		}
		var last *runLog
		for _, l := range w.runs {
			if l.task == name && !l.ended.IsZero() {
				last = l
			}
		}
		if !atWork && last != nil && (last.how == "stopped" || time.Since(last.ended) > noticeBound) {
			away = append(away, name)
		}
	}
	if len(away) >= most {
		w.violate("AVAIL", "a stop ends %s, which is at work on %s, while %v are away; may_miss is %d", r.log.task, k.name(), away, most)
	}
}
