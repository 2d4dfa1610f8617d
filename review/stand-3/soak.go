//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// town is a small deployment with the workers of a world.
type town struct {
	*lab
	wd      *world
	storeAt string
	entries []standin.ProcessOptions
	agents  []standin.ProcessOptions
	procs   map[string]*process
	// toWorkers are the proxies between the agents and their workers, if these are proxied:
	// a proxy accepts connections also while its worker is down.
	proxied   bool
	toWorkers []*proxy
}

func (l *lab) newTown(entries, workers int, cpu int64, proxied bool) *town {
	t := &town{lab: l, proxied: proxied, wd: &world{l: l, jobs: map[string]*wJob{}, tasks: map[string]*wTask{}, gangWait: 3 * time.Second}, procs: map[string]*process{}}
	t.storeAt = l.serveStore()
	for i := range entries {
		o := standin.NewLocalVM().EntryOptions(fmt.Sprintf("front-%d", i+1), t.storeAt)
		o.MemoryMB, o.MaxOpenFiles, o.CPUShare = 284, 4100, 0.4
		t.entries = append(t.entries, o)
		t.procs[o.Name] = l.startEntry(o)
	}
	for range workers {
		t.addWorker(cpu)
	}
	stop := make(chan struct{})
	l.ends = append(l.ends, func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			t.wd.mu.Lock()
			for _, w := range t.wd.workers {
				if w.up {
					w.tick()
				}
			}
			t.wd.mu.Unlock()
		}
	}()
	return t
}

func (t *town) addWorker(cpu int64) {
	l := t.lab
	vm := standin.NewLocalVM()
	name := fmt.Sprintf("side-%d", len(t.agents)+1)
	app := vm.WorkerAddress()
	if t.proxied {
		p := l.startProxy(app)
		t.toWorkers, app = append(t.toWorkers, p), p.address
	}
	o := vm.AgentOptions(name, t.storeAt, serviceName, app)
	o.MemoryMB, o.MaxOpenFiles, o.CPUShare = 152, 4096, 0.24
	t.agents = append(t.agents, o)
	t.procs[name] = l.startAgent(o)
	w := &wWorker{wd: t.wd, name: name, address: vm.WorkerAddress(), announced: app, control: o.Announcements, cpu: cpu}
	t.wd.mu.Lock()
	t.wd.workers = append(t.wd.workers, w)
	t.wd.mu.Unlock()
	l.logf("worker %s is new", name)
	w.launch("i-" + name)
	l.ends = append(l.ends, w.crash)
}

func (t *town) restart(name string) {
	for _, o := range t.entries {
		if o.Name == name {
			t.procs[name] = t.startEntry(o)
		}
	}
	for _, o := range t.agents {
		if o.Name == name {
			t.procs[name] = t.startAgent(o)
		}
	}
}

// submit hands a job in until it is accepted, at any entry.
func (t *town) submit(j *wJob, queueName string) bool {
	steps := []map[string]any{}
	for _, s := range j.steps {
		m := map[string]any{"task" + "_count": s.count, "cpu": s.demand(), "mem_mb": 64, "estimate_ms": s.work.Milliseconds()}
		if len(s.after) > 0 {
			m["after"] = s.after
		}
		if s.gang {
			m["gang"] = true
		}
		if s.lasts {
			m["long"+"_running"] = true
		}
		if s.mayMiss > 0 {
			m["may"+"_miss"] = s.mayMiss
		}
		if s.label != "" {
			m["requirements"] = s.label
		}
		if s.ckpt {
			m["checkpointing"] = true
		}
		steps = append(steps, m)
	}
	body := map[string]any{"task_" + "spec": j.spec, "steps": steps}
	if j.times > 0 {
		body["repeat_count"], body["interval_ms"], body["start_at_ms"] = j.times, j.interval.Milliseconds(), j.due.UnixMilli()
	}
	t.wd.mu.Lock()
	t.wd.jobs[j.id] = j
	t.wd.mu.Unlock()
	for range 12 {
		o := t.entries[rand.IntN(len(t.entries))]
		status, text := call(http.MethodPost, o.CallerAPI, "/"+queueName+"/"+j.id, body)
		t.logf("POST %s at %s: %d %.60s", j.id, o.Name, status, text)
		if status/100 == 2 {
			t.wd.mu.Lock()
			j.accepted = true
			t.wd.mu.Unlock()
			return true
		}
		if status/100 == 4 && status != 429 {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (t *town) stateOf(j *wJob, queueName string) string {
	for range 4 {
		o := t.entries[rand.IntN(len(t.entries))]
		status, text := call(http.MethodGet, o.CallerAPI, "/"+queueName+"/"+j.id, nil)
		if status == http.StatusOK {
			return strings.Trim(text[strings.LastIndex(text, ":")+1:], "\"}")
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

func randomJob() *wJob {
	id := newID()
	j := &wJob{id: id, spec: "spec of " + id, attempts: 4}
	work := func() time.Duration {
		if os.Getenv("LONG") != "" {
			return 4*time.Second + rand.N(8*time.Second)
		}
		return 200*time.Millisecond + rand.N(2500*time.Millisecond)
	}
	for n := range 1 + rand.IntN(3) {
		s := wStep{count: 1 + rand.IntN(5), work: work(), gang: rand.IntN(2) == 0, ckpt: rand.IntN(2) == 0}
		if n > 0 && rand.IntN(4) > 0 {
			s.after = []int{n - 1}
		}
		j.steps = append(j.steps, s)
	}
	if rand.IntN(3) == 0 {
		j.times, j.interval, j.due = 2+rand.IntN(4), 500*time.Millisecond+rand.N(2500*time.Millisecond), time.Now().Add(rand.N(2*time.Second))
	}
	return j
}

// soak runs gangs and jobs with set times beside random disruptions.
func soak(l *lab) int {
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS_OF_FAULTS"))
	seconds = max(seconds, 40)
	kinds := os.Getenv("KINDS")
	version := 1
	cpu := int64(8000)
	if n, err := strconv.Atoi(os.Getenv("CPU")); err == nil {
		cpu = int64(n)
	}
	_ = l.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(1, standin.Queue{Name: "checks", Host: hostName, Prefix: "/checks/", Service: serviceName, Attempts: 4}))
	t := l.newTown(3, 5, cpu, strings.Contains(kinds, "silence"))
	for _, o := range t.entries {
		if err := waitAccepting(o.CallerAPI, 15*time.Second); err != nil {
			l.logf("%v", err)
			return exitCannot
		}
	}
	t.wd.failShare, _ = strconv.ParseFloat(os.Getenv("FAIL"), 64)
	time.Sleep(2 * time.Second)
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	done := make(chan struct{})
	var jobs []*wJob
	go func() {
		defer close(done)
		for time.Now().Before(end) {
			j := randomJob()
			jobs = append(jobs, j)
			go t.submit(j, "checks")
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(500*time.Millisecond)))
		}
	}()
	pick := func(all []standin.ProcessOptions) string { return all[rand.IntN(len(all))].Name }
	faults := map[string]func(){
		"killowner": func() {
			n := t.owner("front-1", "front-2", "front-3")
			if n == "" {
				return
			}
			l.logf("FAULT kill owner %s", n)
			t.procs[n].kill()
			time.Sleep(rand.N(3 * time.Second))
			t.restart(n)
		},
		"termowner": func() {
			n := t.owner("front-1", "front-2", "front-3")
			if n == "" {
				return
			}
			l.logf("FAULT term owner %s", n)
			t.procs[n].signal(syscall.SIGTERM)
			<-t.procs[n].done
			t.restart(n)
		},
		"pauseowner": func() {
			n := t.owner("front-1", "front-2", "front-3")
			if n == "" {
				return
			}
			l.logf("FAULT pause owner %s", n)
			p := t.procs[n]
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Second + rand.N(3*time.Second))
			p.signal(syscall.SIGCONT)
		},
		"killagent": func() {
			n := pick(t.agents)
			l.logf("FAULT kill agent %s", n)
			t.procs[n].kill()
			time.Sleep(rand.N(2 * time.Second))
			t.restart(n)
		},
		"pauseagent": func() {
			p := t.procs[pick(t.agents)]
			l.logf("FAULT pause agent %s", p.name)
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Second + rand.N(7*time.Second))
			p.signal(syscall.SIGCONT)
		},
		"crash": func() {
			w := t.wd.workers[rand.IntN(len(t.wd.workers))]
			id := w.id
			if rand.IntN(2) == 0 {
				id = "i-" + newID()
			}
			l.logf("FAULT crash worker %s", w.name)
			w.crash()
			time.Sleep(rand.N(2 * time.Second))
			w.launch(id)
		},
		"recut": func() {
			n := rand.IntN(len(t.wd.workers))
			w, p := t.wd.workers[n], t.procs[t.agents[n].Name]
			l.logf("FAULT %s restarts under its id and is cut off", w.name)
			w.crash()
			time.Sleep(rand.N(60 * time.Millisecond))
			w.launch(w.id)
			time.Sleep(rand.N(80 * time.Millisecond))
			p.signal(syscall.SIGSTOP)
			time.Sleep(8 * time.Second)
			p.signal(syscall.SIGCONT)
		},
		"late": func() {
			l.logf("FAULT orders late")
			t.wd.mu.Lock()
			t.wd.lateShare = 0.3
			t.wd.mu.Unlock()
			time.Sleep(3 * time.Second)
			t.wd.mu.Lock()
			t.wd.lateShare = 0
			t.wd.mu.Unlock()
		},
		"storedrop": func() {
			l.logf("FAULT store drops responses")
			l.store.SetFaults(standin.Faults{DropResponses: true})
			time.Sleep(rand.N(2 * time.Second))
			l.store.SetFaults(standin.Faults{})
		},
		"storedown": func() {
			l.logf("FAULT store down")
			l.store.SetFaults(standin.Faults{Unavailable: rand.IntN(2) == 0, Reset: rand.IntN(2) == 0})
			time.Sleep(rand.N(4 * time.Second))
			l.store.SetFaults(standin.Faults{})
		},
		"silence": func() {
			l.logf("FAULT connections to workers go silent")
			for _, p := range t.toWorkers {
				p.silence()
			}
		},
		"cancel": func() {
			t.wd.mu.Lock()
			var some []*wJob
			for _, j := range t.wd.jobs {
				if j.accepted && j.cancelled.IsZero() && j.state == "" {
					some = append(some, j)
				}
			}
			t.wd.mu.Unlock()
			for range min(len(some), 1+rand.IntN(6)) {
				j := some[rand.IntN(len(some))]
				go func() {
					o := t.entries[rand.IntN(len(t.entries))]
					status, _ := call(http.MethodDelete, o.CallerAPI, "/checks/"+j.id, nil)
					l.logf("DELETE %s at %s: %d", j.id, o.Name, status)
					if status/100 == 2 {
						t.wd.mu.Lock()
						j.cancelled = time.Now()
						t.wd.mu.Unlock()
					}
				}()
			}
		},
		"config": func() {
			version++
			_ = l.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(version, standin.Queue{Name: "checks", Host: hostName, Prefix: "/checks/", Service: serviceName, Attempts: 4}, queue("q"+strconv.Itoa(version))))
			l.logf("CONFIG %d", version)
		},
		"newworker": func() {
			if len(t.wd.workers) < 9 {
				t.addWorker(cpu)
			}
		},
		"hopeless": func() {
			j := &wJob{id: newID(), spec: "hopeless", attempts: 4, steps: []wStep{{count: 200, gang: true, work: time.Second}}}
			go t.submit(j, "checks")
		},
		"compact": func() {
			l.logf("FAULT history dropped")
			l.store.SetFaults(standin.Faults{Compacted: true})
			l.store.SetFaults(standin.Faults{})
		},
	}
	var names []string
	for n := range faults {
		if kinds == "" || strings.Contains(","+kinds+",", ","+n+",") {
			names = append(names, n)
		}
	}
	for time.Now().Before(end.Add(-2*time.Second)) && l.trial {
		faults[names[rand.IntN(len(names))]]()
		time.Sleep(rand.N(2500 * time.Millisecond))
	}
	<-done
	l.logf("CALM")
	limit := time.Now().Add(60 * time.Second)
	open := jobs
	for time.Now().Before(limit) && len(open) > 0 {
		var rest []*wJob
		for _, j := range open {
			t.wd.mu.Lock()
			accepted := j.accepted
			t.wd.mu.Unlock()
			if !accepted {
				continue
			}
			if s := t.stateOf(j, "checks"); s != "completed" && s != "failed" && s != "cancelled" {
				j.state = s
				rest = append(rest, j)
			}
		}
		open = rest
		time.Sleep(500 * time.Millisecond)
	}
	t.wd.mu.Lock()
	defer t.wd.mu.Unlock()
	for _, j := range open {
		t.wd.breakf("LOST: job %s is %q at the end", j.id, j.state)
	}
	l.logf("jobs %d, broken %d, alone %d, no room %d", len(jobs), len(t.wd.broken), t.wd.alone, t.wd.noRoom)
	fmt.Println("jobs", len(jobs), "broken", len(t.wd.broken), "alone", t.wd.alone, "no room", t.wd.noRoom)
	for i, b := range t.wd.broken {
		if i < 6 {
			fmt.Println(" ", b)
		}
	}
	if len(t.wd.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
