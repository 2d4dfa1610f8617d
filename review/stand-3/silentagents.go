//go:build review

package main

import (
	"bytes"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// silentAgents checks AVAIL after the open connections between the entries and the agents
// have gone silent.
func silentAgents(l *lab) int {
	_ = l.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(1, queue("checks"), queue("watch")))
	n, _ := strconv.Atoi(os.Getenv("WORKERS"))
	n = max(n, 30)
	l.proxyAgents = true
	t := l.newTown(3, n, 16000, false)
	for _, o := range t.entries {
		if err := waitAccepting(o.CallerAPI, 20*time.Second); err != nil {
			l.logf("%v", err)
			return exitCannot
		}
	}
	time.Sleep(8 * time.Second)
	var watches []*wJob
	for range n / 6 {
		watch := &wJob{id: newID(), spec: "watch", attempts: 2, steps: []wStep{{count: 6, lasts: true, cpu: 3200, mayMiss: 1, work: 320 * time.Millisecond}}}
		watches = append(watches, watch)
		go t.submit(watch, "watch")
	}
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(24 * time.Second)
	go func() {
		for time.Now().Before(stop) {
			j := &wJob{id: newID(), spec: "check", attempts: 2, steps: []wStep{{count: 4 + rand.IntN(16), cpu: 240, work: 800 * time.Millisecond}, {count: 4 + rand.IntN(16), cpu: 240, work: 800 * time.Millisecond, after: []int{0}}}}
			go t.submit(j, "checks")
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / 10))
		}
	}()
	time.Sleep(12 * time.Second)
	if l.trial {
		sum := 0
		for _, p := range t.toAgents {
			sum += p.silence()
		}
		l.logf("connections to agents that go silent, closed ones included: %d", sum)
	}
	silent := time.Now()
	time.Sleep(12 * time.Second)
	t.wd.mu.Lock()
	defer t.wd.mu.Unlock()
	lapsed := map[*wJob]int{}
	for _, e := range t.wd.lapses {
		if e.t.job.steps[0].lasts {
			lapsed[e.t.job]++
			l.logf("%s lapsed %.3f s after the silence", e.t.name, e.at.Sub(silent).Seconds())
		}
	}
	worst := 0
	for _, c := range lapsed {
		worst = max(worst, c)
	}
	l.logf("owner %s; %d lapses, at most %d of one step", t.owner("front-1", "front-2", "front-3"), len(t.wd.lapses), worst)
	if worst > 1 {
		return exitBroken
	}
	return exitHeld
}

// rewriteAgents makes the store hold the addresses of proxies for those of agents.
func (t *town) rewriteAgents(value []byte) []byte {
	t.wd.mu.Lock()
	defer t.wd.mu.Unlock()
	for from, to := range t.agentProxies {
		value = bytes.ReplaceAll(value, []byte(`"`+from+`"`), []byte(`"`+to+`"`))
	}
	return value
}
