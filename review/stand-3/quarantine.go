//go:build review

package main

import (
	"sync/atomic"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// quarantine checks LOST for a task that lasts and needs a worker that has failed all that
// it started for a few seconds and is sound again.
func quarantine(l *lab) int {
	const (
		greyFor = 7470 * time.Millisecond
		calm    = 4 * time.Second
		window  = 3 * time.Second
	)
	_ = l.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(1, standin.Queue{Name: "checks", Host: hostName, Prefix: "/checks/", Service: serviceName, Attempts: 4}, queue("watch")))
	t := l.newTown(3, 7, 16000, false)
	for _, o := range t.entries {
		if err := waitAccepting(o.CallerAPI, 15*time.Second); err != nil {
			l.logf("%v", err)
			return exitCannot
		}
	}
	w := t.wd.workers[0]
	t.wd.mu.Lock()
	w.label = "north"
	t.wd.mu.Unlock()
	time.Sleep(4 * time.Second)
	var late atomic.Bool // fewer tasks need the worker from the quarantine on
	traffic := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-traffic:
				return
			case <-time.After(200 * time.Millisecond):
			}
			few := 6
			if late.Load() {
				few = 1
			}
			label, count := "", 6
			if n%2 == 0 {
				label, count = "north", few
			}
			j := &wJob{id: newID(), spec: "check", attempts: 4, steps: []wStep{{count: count, cpu: 240, label: label, work: 300 * time.Millisecond}}}
			go t.submit(j, "checks")
		}
	}()
	time.Sleep(3 * time.Second)
	grey := time.Now()
	if l.trial {
		t.wd.mu.Lock()
		w.failing = true
		t.wd.mu.Unlock()
		l.logf("DISRUPTION: %s fails all that it starts", w.name)
	}
	time.Sleep(2 * time.Second)
	late.Store(true)
	time.Sleep(time.Until(grey.Add(greyFor)))
	t.wd.mu.Lock()
	w.failing = false
	t.wd.mu.Unlock()
	sound := time.Now()
	l.logf("%s is sound again", w.name)
	defer close(traffic)
	time.Sleep(500 * time.Millisecond)
	job := &wJob{id: newID(), spec: "watch", attempts: 2, steps: []wStep{{count: 1, lasts: true, cpu: 2000, label: "north", work: 320 * time.Millisecond}}}
	if !t.submit(job, "watch") {
		return exitCannot
	}
	var runningAt time.Time
	for time.Since(sound) < 25*time.Second && runningAt.IsZero() {
		t.wd.mu.Lock()
		if len(t.wd.task(job.id+".0.0.0").runs) > 0 {
			runningAt = time.Now()
		}
		t.wd.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	if runningAt.IsZero() {
		runningAt = time.Now()
	}
	l.logf("the task runs %.3f s after the worker is sound", runningAt.Sub(sound).Seconds())
	if runningAt.Sub(sound) > calm+window {
		l.logf("BROKEN LOST: nothing of the job ran from %v to %v after the last disruption", calm, calm+window)
		return exitBroken
	}
	return exitHeld
}
