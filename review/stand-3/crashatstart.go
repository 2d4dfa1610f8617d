//go:build review

package main

import (
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// crashAtStart checks LOST for a task that lasts and whose worker is lost for good when it
// receives the start.
func crashAtStart(l *lab) int {
	const (
		contact = 3 * time.Second // contact_ms
		calm    = 4 * time.Second // the calm before the window, and
		window  = 3 * time.Second // the window of the rule
		limit   = 25 * time.Second
	)
	_ = l.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(1, queue("checks"), queue("watch")))
	t := l.newTown(3, 7, 16000, false)
	for _, o := range t.entries {
		if err := waitAccepting(o.CallerAPI, 15*time.Second); err != nil {
			l.logf("%v", err)
			return exitCannot
		}
	}
	time.Sleep(5 * time.Second) // the owner has reached all workers
	job := &wJob{id: newID(), spec: "watch", attempts: 2, steps: []wStep{{count: 1, lasts: true, work: 320 * time.Millisecond}}}
	t.wd.mu.Lock()
	if l.trial {
		for _, w := range t.wd.workers {
			w.diesOn = job.id
		}
	}
	t.wd.mu.Unlock()
	if !t.submit(job, "watch") {
		return exitCannot
	}
	accepted := time.Now()
	name := job.id + ".0.0.0"
	var runningAt time.Time
	for time.Since(accepted) < limit && runningAt.IsZero() {
		t.wd.mu.Lock()
		if task := t.wd.task(name); len(task.runs) > 0 {
			runningAt = time.Now()
		}
		t.wd.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	t.wd.mu.Lock()
	from := t.wd.diedAt
	broken := len(t.wd.broken) > 0
	t.wd.mu.Unlock()
	if from.IsZero() {
		if l.trial {
			l.logf("no worker has received the start")
			return exitCannot
		}
		from = accepted
	}
	if runningAt.IsZero() {
		runningAt = time.Now()
		l.logf("the task has not run until now")
	}
	idle := runningAt.Sub(from)
	l.logf("the task runs %.3f s after the disruption, while the other workers were idle", idle.Seconds())
	if idle > contact+calm+window || broken {
		l.logf("BROKEN LOST: nothing of the job ran from %.0f s to %.0f s after the last disruption", (contact + calm).Seconds(), (contact + calm + window).Seconds())
		return exitBroken
	}
	return exitHeld
}
