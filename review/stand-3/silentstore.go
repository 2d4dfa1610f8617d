//go:build review

package main

import (
	"net/http"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// silentStore checks what happens after the open connections to the store have gone silent
// shortly after a takeover.
func silentStore(l *lab) int {
	_ = l.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(1, queue("checks"), queue("watch")))
	f, err := l.startFleet(3, 3, func(vm, event, task string, run uint64) { l.logf("%s %s %s run %d", vm, event, task, run) })
	if err != nil {
		l.logf("%v", err)
		return exitCannot
	}
	for range 6 {
		id := newID()
		status, _ := call(http.MethodPost, f.addresses[0], "/watch/"+id, standin.Job("60s", standin.Step{Tasks: 4, MilliCPU: 1000, RunTime: time.Minute}))
		l.logf("POST /watch/%s: %d", id, status)
	}
	time.Sleep(1500 * time.Millisecond)
	l.logf("owner %s", l.owner(f.entries...))
	silent := time.Now()
	if l.trial {
		for i, p := range f.proxies {
			l.logf("silent, process %d: %d", i+1, p.silence())
		}
	}
	for time.Since(silent) < 14*time.Second {
		id := newID()
		begin := time.Now()
		status, _ := call(http.MethodPost, f.addresses[1], "/checks/"+id, standin.Job("0.3s", standin.Step{Tasks: 1, MilliCPU: 100, RunTime: 300 * time.Millisecond}))
		l.logf("%.3f s after: POST /checks/%s: %d in %.3f s", begin.Sub(silent).Seconds(), id, status, time.Since(begin).Seconds())
		time.Sleep(300 * time.Millisecond)
	}
	for _, name := range f.entries {
		l.logf("%s: 540 %s, 541 %s, 544 %s, 545 %s", name, l.since(name, 540, silent), l.since(name, 541, silent), l.since(name, 544, silent), l.since(name, 545, silent))
	}
	return exitHeld
}
