//go:build review

package main

import (
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// silentWorker checks AVAIL after the open connections to the workers have gone silent.
func silentWorker(l *lab) int {
	_ = l.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(1, queue("checks"), queue("watch")))
	t := l.newTown(3, 3, 16000, true)
	for _, o := range t.entries {
		if err := waitAccepting(o.CallerAPI, 15*time.Second); err != nil {
			l.logf("%v", err)
			return exitCannot
		}
	}
	time.Sleep(4 * time.Second)
	watch := &wJob{id: newID(), spec: "watch", attempts: 2, steps: []wStep{{count: 4, lasts: true, cpu: 3200, mayMiss: 1, work: 320 * time.Millisecond}}}
	if !t.submit(watch, "watch") {
		return exitCannot
	}
	time.Sleep(5 * time.Second)
	check := &wJob{id: newID(), spec: "check", attempts: 2, steps: []wStep{{count: 12, cpu: 240, work: 800 * time.Millisecond}}}
	if !t.submit(check, "checks") {
		return exitCannot
	}
	time.Sleep(3 * time.Second)
	if l.trial {
		for i, p := range t.toWorkers {
			l.logf("connections to worker %d that go silent, closed ones included: %d", i+1, p.silence())
		}
	}
	silent := time.Now()
	time.Sleep(12 * time.Second)
	t.wd.mu.Lock()
	defer t.wd.mu.Unlock()
	lapsed := 0
	for _, e := range t.wd.lapses {
		if e.t.job == watch {
			lapsed++
			l.logf("%s lapsed %.3f s after the silence", e.t.name, e.at.Sub(silent).Seconds())
		}
	}
	if lapsed > 1 {
		l.logf("BROKEN AVAIL: the leases of %d tasks of a step with may_miss 1 lapsed", lapsed)
		return exitBroken
	}
	if len(t.wd.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
