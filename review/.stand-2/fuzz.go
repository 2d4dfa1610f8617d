package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playFuzz plays random jobs with random disruptions, to look for broken rules.
func playFuzz(w *world, trouble bool) error {
	w.config.admission = os.Getenv("ADMISSION") == "1"
	seconds := 60
	if n, err := strconv.Atoi(os.Getenv("SECONDS")); err == nil {
		seconds = n
	}
	if os.Getenv("ADVICE") == "1" {
		if err := w.addAdvisor(10*time.Millisecond, 2*time.Millisecond, 3*time.Second, func(step string, k *workerNode) bool { return (int(step[0])+k.index)%3 != 0 }); err != nil {
			return err
		}
	}
	if err := w.startDeployment(3, 8, 8000); err != nil {
		return err
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var jobs []*jobSpec
	if trouble {
		wg.Add(1)
		go func() { defer wg.Done(); w.disrupt(end) }()
	}
	if os.Getenv("CALM") == "1" {
		wg.Add(1)
		go func() { defer wg.Done(); w.change(end) }()
	}
	for time.Now().Before(end) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			spec := &jobSpec{steps: randomSteps()}
			if !spec.steps[0].flag("long_running") && rand.IntN(5) == 0 {
				spec.first, spec.interval, spec.times = time.Now().UnixMilli()+rand.Int64N(4000), 200+rand.Int64N(2000), 1+rand.IntN(6)
			}
			j := w.submitJob(spec)
			mu.Lock()
			jobs = append(jobs, j)
			mu.Unlock()
			lasts := j.steps[0].flag("long_running")
			if j.accepted.IsZero() {
				return
			}
			if lasts || rand.IntN(8) == 9 {
				time.Sleep(time.Duration(rand.IntN(6000)) * time.Millisecond)
				w.cancel(j)
			}
		}()
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
	}
	wg.Wait()
	var rest []*jobSpec
	for _, j := range jobs {
		if j.cancelSent.IsZero() {
			rest = append(rest, j)
		}
	}
	w.logf("end of the traffic")
	return w.ruleLost(rest, time.Now())
}

func weirdSteps() []stepSpec {
	var list []stepSpec
	for i := range 1 + rand.IntN(4) {
		s := step(1+rand.IntN(4), []int{0, 1, 500, 3000, 3500}[rand.IntN(5)], time.Duration(rand.IntN(800))*time.Millisecond)
		s.wire["mem_mb"] = []int{0, 1, 256, 7000, 9000}[rand.IntN(5)]
		s.wire["estimate_ms"] = []int{0, 1, 100, 1 << 30}[rand.IntN(4)]
		for _, f := range []string{"gang", "same_rack", "speculative", "fills", "checkpointing"} {
			if rand.IntN(4) == 0 {
				s.with(f, true)
			}
		}
		if rand.IntN(4) == 0 {
			s.with("long_running", i == 0)
		}
		if rand.IntN(3) == 0 {
			s.with("image", []string{"", "x", "y", "z"}[rand.IntN(4)])
		}
		if rand.IntN(3) == 0 {
			s.with("target_ms", []int{0, 1, 5, 1 << 30}[rand.IntN(4)])
		}
		if rand.IntN(3) == 0 {
			s.with("may_miss", rand.IntN(9))
		}
		if rand.IntN(4) == 0 {
			s.with("anti_affinity", 1+rand.IntN(3))
		}
		if rand.IntN(5) == 0 {
			s.with("data_rack", "r1-1")
		}
		if rand.IntN(8) == 9 {
			s.with("requirements", "nowhere")
		}
		if i > 0 && rand.IntN(2) > 0 {
			s.with("after", []int{rand.IntN(i), rand.IntN(i)})
		}
		s.fails = rand.IntN(6) == 0
		list = append(list, s)
	}
	return list
}

// fastSteps returns steps of many short tasks.
func fastSteps() []stepSpec {
	var list []stepSpec
	for i := range 1 + rand.IntN(4) {
		s := step(20+rand.IntN(60), 100+rand.IntN(300), time.Duration(10+rand.IntN(80))*time.Millisecond)
		if i > 0 {
			s.with("after", []int{i - 1})
		}
		list = append(list, s)
	}
	return list
}

func randomSteps() []stepSpec {
	if os.Getenv("FAST") == "1" {
		return fastSteps()
	}
	if os.Getenv("WEIRD") == "1" && rand.IntN(2) == 0 {
		return weirdSteps()
	}
	if rand.IntN(10) == 0 {
		return []stepSpec{step(1+rand.IntN(4), 500+rand.IntN(1500), time.Second).with("long_running", true)}
	}
	var list []stepSpec
	for i := range 1 + rand.IntN(3) {
		s := step(1+rand.IntN(6), 200+rand.IntN(2500), time.Duration(50+rand.IntN(2000))*time.Millisecond)
		if i > 0 && rand.IntN(4) > 0 {
			s.with("after", []int{rand.IntN(i)})
		}
		switch rand.IntN(8) {
		case 0, 1:
			s.with("gang", true)
		case 2:
			s.with("anti_affinity", 1+rand.IntN(2))
		case 3:
			s.with("checkpointing", true)
		case 4:
			s.fails = rand.IntN(2) == 0
		}
		list = append(list, s)
	}
	return list
}

// disrupt injects one disruption after another.
func (w *world) disrupt(end time.Time) {
	for time.Now().Before(end.Add(-4 * time.Second)) {
		time.Sleep(time.Duration(1000+rand.IntN(5000)) * time.Millisecond)
		kind := rand.IntN(18)
		if list := os.Getenv("KINDS"); list != "" {
			kinds := strings.Split(list, ",")
			kind, _ = strconv.Atoi(kinds[rand.IntN(len(kinds))])
		}
		switch kind {
		case 13, 14, 15, 16, 17:
			o := w.owner()
			if o == nil || rand.IntN(4) == 0 {
				o = w.entries[rand.IntN(3)]
			}
			how := []string{"busy", "silent", "reset"}[rand.IntN(3)]
			w.logf("platform: %s is cut from the store: %s", o.name, how)
			o.door.set(how)
			time.Sleep(time.Duration(1000+rand.IntN(9000)) * time.Millisecond)
			if rand.IntN(3) == 0 {
				p := w.workers[rand.IntN(len(w.workers))].agent
				w.logf("platform: SIGKILL of %s", p.name)
				p.kill()
				_ = p.start()
			}
			o.door.set("")
			w.logf("platform: %s reaches the store", o.name)
		case 6:
			w.storeTrouble("refuses", func(s *store, on bool) { s.away = on })
		case 7:
			w.storeTrouble("is silent", func(s *store, on bool) { s.silent = on })
		case 8, 9:
			late := rand.IntN(2) == 0
			w.storeTrouble("loses answers", func(s *store, on bool) {
				s.lost, s.late = 0, late
				if on {
					s.lost = 0.35
				}
			})
		case 10:
			w.orderTrouble(func(k *workerNode, on bool) {
				k.lateShare = 0
				if on {
					k.lateShare = 0.3
				}
			})
		case 11:
			w.orderTrouble(func(k *workerNode, on bool) {
				k.lostShare = 0
				if on {
					k.lostShare = 0.3
				}
			})
		case 12:
			k := w.workers[rand.IntN(len(w.workers))]
			k.leave()
			time.Sleep(time.Duration(100+rand.IntN(3000)) * time.Millisecond)
			_ = k.start("")
		case 0, 1:
			if o := w.owner(); o != nil {
				w.logf("platform: SIGKILL of %s", o.name)
				o.kill()
				time.Sleep(time.Duration(300+rand.IntN(2000)) * time.Millisecond)
				_ = o.start()
			}
		case 2:
			k := w.workers[rand.IntN(len(w.workers))]
			k.crash()
			time.Sleep(time.Duration(100+rand.IntN(3000)) * time.Millisecond)
			id := ""
			if rand.IntN(2) == 0 {
				id = k.id
			}
			_ = k.start(id)
		case 3:
			k := w.workers[rand.IntN(len(w.workers))]
			w.logf("platform: SIGKILL of %s", k.agent.name)
			k.agent.kill()
			time.Sleep(time.Duration(100+rand.IntN(3000)) * time.Millisecond)
			_ = k.agent.start()
		case 4:
			p := w.workers[rand.IntN(len(w.workers))].agent
			if o := w.owner(); o != nil && rand.IntN(2) == 0 {
				p = o
			}
			w.logf("platform: %s freezes", p.name)
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rand.IntN(7000)) * time.Millisecond)
			p.signal(syscall.SIGCONT)
			w.logf("platform: %s wakes", p.name)
		case 5:
			if o := w.owner(); o != nil {
				w.logf("platform: SIGTERM of %s", o.name)
				o.signal(syscall.SIGTERM)
				<-o.done
				time.Sleep(300 * time.Millisecond)
				_ = o.start()
			}
		}
	}
}

func (w *world) storeTrouble(name string, set func(*store, bool)) {
	w.logf("platform: the store %s", name)
	w.store.mu.Lock()
	set(w.store, true)
	w.store.mu.Unlock()
	time.Sleep(time.Duration(1000+rand.IntN(6000)) * time.Millisecond)
	w.store.mu.Lock()
	set(w.store, false)
	w.store.mu.Unlock()
	w.logf("platform: the store is sound")
}

func (w *world) orderTrouble(set func(*workerNode, bool)) {
	w.logf("platform: orders get no answers")
	w.mu.Lock()
	for _, k := range w.workers {
		set(k, true)
	}
	w.mu.Unlock()
	time.Sleep(time.Duration(1000+rand.IntN(6000)) * time.Millisecond)
	w.mu.Lock()
	for _, k := range w.workers {
		set(k, false)
	}
	w.mu.Unlock()
	w.logf("platform: orders are answered")
}

// change changes the configuration and adds workers, which are no disturbances.
func (w *world) change(end time.Time) {
	for version := 4; time.Now().Before(end.Add(-4 * time.Second)); version++ {
		time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
		w.putConfig(version)
		if version%3 == 0 && len(w.workers) < 20 {
			_, _ = w.addWorker(8000, 64000)
		}
	}
}
