package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

var errNotAccepted = errors.New("a job was not accepted")

// idle is how long a task whose turn has come may have nothing running, while there
// is room for it twice over and under half of the capacity is in use: 3 s by the
// rule, 6 s after the last run of a task that lasts. Observation lasts longer.
const (
	calmTime     = 4 * time.Second
	idleTime     = 3 * time.Second
	idleLasting  = 6 * time.Second
	finishTime   = 14 * time.Second
	sampleEvery  = 50 * time.Millisecond
	ackTimeout   = 4 * time.Second
	cancelTime   = 3 * time.Second
	stopGrace    = 400 * time.Millisecond
	observeExtra = 15 * time.Second
	slowFactor   = 60
	downTime     = 60 * time.Millisecond
)

// runningOn returns the worker on which a task runs, or nil.
func (d *deployment) runningOn(task string) *worker {
	for _, w := range d.workers {
		if w.isRunning(task) {
			return w
		}
	}
	return nil
}

// anyRunning reports whether a task of the job runs.
func (d *deployment) anyRunning(id string) bool {
	for _, w := range d.workers {
		w.mu.Lock()
		for task := range w.runs {
			if strings.HasPrefix(task, id+".") {
				w.mu.Unlock()
				return true
			}
		}
		w.mu.Unlock()
	}
	return false
}

// busiest returns the worker with the most processors in use.
func (d *deployment) busiest() *worker {
	best := d.workers[0]
	for _, w := range d.workers {
		if w.use() > best.use() {
			best = w
		}
	}
	return best
}

// startsOf returns how often tasks of each of the jobs were started.
func (d *deployment) startsOf(ids []string) map[string]int {
	d.rec.mu.Lock()
	defer d.rec.mu.Unlock()
	out := make(map[string]int)
	for task, n := range d.rec.starts {
		out[task[:len(ids[0])]] += n
	}
	return out
}

// used returns the share of the service's processors that is in use.
func (d *deployment) used() float64 {
	used, all := int64(0), int64(0)
	for _, w := range d.workers {
		used, all = used+w.use(), all+w.cpu
	}
	return float64(used) / float64(all)
}

// longestIdle watches for the given time and returns the longest time on end in
// which nothing of the job ran while under half of the capacity was in use.
func (d *deployment) longestIdle(id string, watch time.Duration) time.Duration {
	longest, idleSince := time.Duration(0), time.Now()
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(sampleEvery) {
		if d.anyRunning(id) || d.used() >= 0.5 {
			idleSince = time.Now()
		}
		longest = max(longest, time.Since(idleSince))
	}
	return longest
}

func hasB(i int) []string {
	if i == 2 {
		return []string{"b", "r1-1"}
	}
	return rackLabels(i)
}

// failedTask: two jobs need the label that one worker has. With the disruption, the
// first run of each of their tasks ends `failed`.
var failedTask = scenario{
	entries: 3, workers: 7, labels: hasB, queues: []queue{{name: "lohu930", attempts: 2}},
	run: func(d *deployment, trouble bool) (string, error) {
		fails := 0
		if trouble {
			fails = 1
		}
		lasting, batch := jobID(1), jobID(2)
		if !d.submit(0, "lohu930", lasting, job(taskSpec{Lasts: true, CPU: 2000, MemMB: 4096, FailsRun: fails}, step{Tasks: 1, Label: "b", Image: "im-1"})) ||
			!d.submit(1, "lohu930", batch, job(taskSpec{RunMs: 3000, CPU: 500, MemMB: 256, FailsRun: fails}, step{Tasks: 1, EstimateMs: 3000, Label: "b"})) {
			return "", errNotAccepted
		}
		time.Sleep(4 * time.Second) // both have run, and failed by now
		idle := d.longestIdle(lasting, finishTime+observeExtra)
		state, batchState := d.state(0, "lohu930", lasting), d.state(1, "lohu930", batch)
		room := d.workers[2].cpu - d.workers[2].use()
		d.rec.log("the task that lasts: idle for %.1f s on end, starts %d, job is %s; room on its only worker: %d of %d; batch task: starts %d, job is %s; in use %.2f of the service",
			idle.Seconds(), d.rec.startsOf(lasting+".0.0.0"), state, room, d.workers[2].cpu, d.rec.startsOf(batch+".0.0.0"), batchState, d.used())
		var broken []string
		if idle >= idleLasting+idleTime {
			broken = append(broken, fmt.Sprintf("LOST: the task of job %s that lasts has had nothing running for %.1f s, with room for it on its worker", lasting, idle.Seconds()))
		}
		if batchState != "completed" && !d.anyRunning(batch) && d.rec.startsOf(batch+".0.0.0") == fails {
			broken = append(broken, fmt.Sprintf("LOST: the task of batch job %s failed once of 2 attempts and does not start again; the job is %s", batch, batchState))
		}
		return strings.Join(broken, "; "), nil
	},
}

// greyWorker: the only worker with a label fails all that it starts for 6.5 s, is
// sound again, and is then needed by a job whose task lasts.
var greyWorker = scenario{
	entries: 3, workers: 7, labels: hasB, queues: []queue{{name: "lohu930", attempts: 4}},
	run: func(d *deployment, trouble bool) (string, error) {
		stop := time.Now().Add(9 * time.Second)
		var wg sync.WaitGroup
		for n := 0x100; time.Now().Before(stop); n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				spec := taskSpec{RunMs: 500, CPU: 500, MemMB: 256}
				d.submit(n, "lohu930", jobID(n), job(spec, step{Tasks: 7, EstimateMs: 500, PerWorker: 1}))
			}()
			if n == 0x104 && trouble {
				d.workers[2].setGrey(true)
				d.rec.log("disruption: worker-3 fails all that it starts")
				time.AfterFunc(6500*time.Millisecond, func() {
					d.workers[2].setGrey(false)
					d.rec.log("disruption over: worker-3 is sound again")
				})
			}
			time.Sleep(500 * time.Millisecond)
		}
		wg.Wait()
		time.Sleep(2*time.Second + calmTime)
		lasting := jobID(1)
		if !d.submit(0, "lohu930", lasting, job(taskSpec{Lasts: true, CPU: 2000, MemMB: 4096}, step{Tasks: 1, Label: "b", Image: "im-1"})) {
			return "", errNotAccepted
		}
		idle := d.longestIdle(lasting, 3*time.Second+finishTime+observeExtra)
		d.rec.log("the task that lasts: idle for %.1f s on end, starts %d, job is %s; worker-3 uses %d of %d; in use %.2f of the service",
			idle.Seconds(), d.rec.startsOf(lasting+".0.0.0"), d.state(0, "lohu930", lasting), d.workers[2].use(), d.workers[2].cpu, d.used())
		if idle >= idleLasting+idleTime {
			return fmt.Sprintf("LOST: job %s has had nothing running for %.1f s, though its worker is sound and empty", lasting, idle.Seconds()), nil
		}
		return "", nil
	},
}

// adviceBeyond30: the policy allows three of 34 workers. One of them is among the
// first 30; with the disruption it crashes for good.
var adviceBeyond30 = scenario{
	entries: 3, workers: 34, labels: rackLabels, queues: []queue{{name: "lohu930", attempts: 4}, {name: "pufi791", attempts: 4, advised: true}},
	run: func(d *deployment, trouble bool) (string, error) {
		for _, i := range []int{4, 32, 33} {
			d.advice.allowed[d.workers[i].id] = true
		}
		d.rec.log("the policy allows worker-5, worker-33 and worker-34")
		if trouble {
			d.workers[4].crash()
			d.rec.log("disruption: worker-5 crashes and is gone for good")
		}
		time.Sleep(8 * time.Second)
		id := jobID(1)
		if !d.submit(0, "pufi791", id, job(taskSpec{RunMs: 1000, CPU: 500, MemMB: 256, Advised: true}, step{Tasks: 4, EstimateMs: 1000})) {
			return "", errNotAccepted
		}
		idle := d.longestIdle(id, 3*time.Second+finishTime+observeExtra)
		state := d.state(0, "pufi791", id)
		d.rec.log("job %s is %s; %d calls for advice; idle for %.1f s on end; in use %.2f of the service", id, state, d.advice.calls, idle.Seconds(), d.used())
		if state != "completed" && idle >= idleTime {
			return fmt.Sprintf("LOST: job %s is %s and has had nothing running for %.1f s, though worker-33 and worker-34 are empty and allowed", id, state, idle.Seconds()), nil
		}
		return "", nil
	},
}

// largeJob: small jobs come all the time. With the disruption, a job with 4000
// tasks that save checkpoints comes beside them, otherwise one with 300 tasks.
var largeJob = scenario{
	entries: 3, workers: 7, labels: rackLabels, queues: []queue{{name: "lohu930", attempts: 4}, {name: "pufi791", priority: 2, attempts: 4}}, quiet: true,
	run: func(d *deployment, trouble bool) (string, error) {
		tasks := 300
		if trouble {
			tasks = 4000
		}
		var mu sync.Mutex
		var small []string
		var wg sync.WaitGroup
		for n := 0; n < 20; n++ {
			if n == 4 {
				large := job(taskSpec{RunMs: 8000, CPU: 15, MemMB: 16, Saves: true}, step{Tasks: tasks, EstimateMs: 8000}, step{Tasks: 7, EstimateMs: 8000, After: []int{0}})
				if !d.submit(0, "pufi791", jobID(1), large) {
					return "", errNotAccepted
				}
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := jobID(0x100 + n)
				spec := taskSpec{RunMs: 500, CPU: 240, MemMB: 64}
				if d.submit(n, "lohu930", id, job(spec, step{Tasks: 3, EstimateMs: 500}, step{Tasks: 3, EstimateMs: 500, After: []int{0}})) {
					mu.Lock()
					small = append(small, id)
					mu.Unlock()
				}
			}()
			time.Sleep(time.Second)
		}
		wg.Wait()
		time.Sleep(finishTime)
		startsBefore := d.startsOf(small)
		idle := d.longestIdle(jobID(1), observeExtra)
		startsAfter := d.startsOf(small)
		open, idleSmall := 0, 0
		for i, id := range small {
			if s := d.state(i, "lohu930", id); s != "completed" {
				open++
				done := d.rec.doneTasks(id)
				if done < 6 && startsBefore[id] == startsAfter[id] && !d.anyRunning(id) {
					idleSmall++
				}
				if open <= 5 {
					d.rec.log("consumer: GET /lohu930/%s: %s; %d of 6 tasks have ended done, %d starts for %v", id, s, done, startsAfter[id]-startsBefore[id], observeExtra)
				}
			}
		}
		largeState := d.state(0, "pufi791", jobID(1))
		unseen := 0
		for _, w := range d.workers {
			unseen += w.unseen(ackTimeout)
		}
		ends := 0
		for event, n := range d.rec.counts() {
			if event != "start" && !strings.HasPrefix(event, "start refused") {
				ends += n
			}
		}
		d.rec.log("large job: %s, idle for %.1f s on end; %d of %d small jobs are not completed, %d of them have had nothing running for %v though a task waits; %d of %d ends not taken note of for over %v; transactions refused for a value above row_bytes: %d; in use %.2f of the service",
			largeState, idle.Seconds(), open, len(small), idleSmall, observeExtra, unseen, ends, ackTimeout, d.store.tooLarge, d.used())
		var broken []string
		if largeState != "completed" && idle >= idleTime {
			broken = append(broken, fmt.Sprintf("LOST: the large job is %s and has had nothing running for %.1f s", largeState, idle.Seconds()))
		}
		if idleSmall > 0 {
			broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted small jobs have had nothing running for %v though a task's turn has come", idleSmall, len(small), observeExtra))
		}
		if 5*unseen > ends {
			broken = append(broken, fmt.Sprintf("Acks: %d of %d ends have not been taken note of after %v of calm", unseen, ends, finishTime+observeExtra))
		}
		return strings.Join(broken, "; "), nil
	},
}

// cancelDuringTakeover: the entries have seen more than 1,024 cancellations. Then
// jobs that last are cancelled one after another; with the disruption, the entry
// that owns the jobs is killed and the store is slow meanwhile.
var cancelDuringTakeover = scenario{
	entries: 3, workers: 7, labels: rackLabels, queues: []queue{{name: "lohu930", attempts: 2}}, quiet: true,
	run: func(d *deployment, trouble bool) (string, error) {
		const early, late, lanes = 1100, 200, 8
		lasting := taskSpec{Lasts: true, CPU: 100, MemMB: 64}
		eachLane := func(n int, do func(int)) {
			var wg sync.WaitGroup
			for lane := range lanes {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := lane; i < n; i += lanes {
						do(i)
					}
				}()
			}
			wg.Wait()
		}
		eachLane(early, func(i int) {
			id := jobID(0x1000 + i)
			if d.submit(i, "lohu930", id, job(lasting, step{Tasks: 1})) {
				d.cancel(i, "lohu930", id)
			}
		})
		eachLane(late, func(i int) { d.submit(i, "lohu930", jobID(0x4000+i), job(lasting, step{Tasks: 1})) })
		for i := range late {
			for deadline := time.Now().Add(20 * time.Second); d.state(i, "lohu930", jobID(0x4000+i)) != "running"; time.Sleep(sampleEvery) {
				if time.Now().After(deadline) {
					return "", errors.New("a job does not run")
				}
			}
		}
		old := d.owner()
		if old == nil {
			return "", errors.New("no entry owns the jobs")
		}
		d.rec.log("%s owns the jobs; %d cancellations so far; %d jobs that last run", old.name, early, late)
		if trouble {
			old.kill()
			d.rec.log("disruption: %s is killed", old.name)
		}
		// 40 cancellations a second for 5 s, spread over the entries that are up.
		var up []int
		for i, p := range d.entries {
			if !trouble || p != old {
				up = append(up, i)
			}
		}
		acked := make([]bool, late)
		var wg sync.WaitGroup
		time.Sleep(1200 * time.Millisecond)
		if trouble {
			d.store.delay.Store(int64(slowFactor * storeDelay))
			d.rec.log("disruption: the store takes %d times as long", slowFactor)
			time.AfterFunc(4500*time.Millisecond, func() {
				d.store.delay.Store(int64(storeDelay))
				d.rec.log("disruption over: the store is as fast as before")
			})
		}
		for i := range late {
			wg.Add(1)
			go func() {
				defer wg.Done()
				acked[i] = d.cancel(up[i%len(up)], "lohu930", jobID(0x4000+i))
			}()
			time.Sleep(25 * time.Millisecond)
		}
		wg.Wait()
		if trouble {
			if err := d.start(old); err != nil {
				return "", err
			}
			d.rec.log("%s is started again", old.name)
		}
		time.Sleep(calmTime + cancelTime + stopGrace + 8*time.Second)
		left := 0
		for i, ok := range acked {
			id := jobID(0x4000 + i)
			if ok && d.anyRunning(id) {
				left++
				d.rec.log("job %s: its cancelling was acknowledged, it is shown as %s, and its task still runs", id, d.state(up[0], "lohu930", id))
			}
		}
		if left > 0 {
			return fmt.Sprintf("UNASKED: tasks of %d cancelled jobs still run over %v after the last cancelling was acknowledged", left, calmTime+cancelTime+stopGrace+8*time.Second), nil
		}
		return "", nil
	},
}

// workerRestart: jobs come all the time. With the disruption, the busiest
// worker crashes every 3 s and is up again at once under the id that it had.
var workerRestart = scenario{
	entries: 3, workers: 7, labels: rackLabels, queues: []queue{{name: "lohu930", attempts: 2}},
	run: func(d *deployment, trouble bool) (string, error) {
		const every, rounds = 150 * time.Millisecond, 260
		var wg sync.WaitGroup
		accepted := make([]bool, rounds)
		for n := range rounds {
			wg.Add(1)
			go func() {
				defer wg.Done()
				spec := taskSpec{RunMs: 800, CPU: 240, MemMB: 256}
				accepted[n] = d.submit(n, "lohu930", jobID(0x100+n), job(spec, step{Tasks: 6, EstimateMs: 800}))
			}()
			if trouble && n%20 == 19 {
				w := d.busiest()
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(rand.N(every))
					d.rec.log("disruption: %s crashes", w.name)
					if err := w.restart(downTime); err != nil {
						d.rec.log("%s cannot be started: %v", w.name, err)
					}
					d.rec.log("%s is up again, %v later, as %s", w.name, downTime, w.id)
				}()
			}
			time.Sleep(every)
		}
		wg.Wait()
		time.Sleep(finishTime)
		open := 0
		for n, ok := range accepted {
			if ok && d.state(n, "lohu930", jobID(0x100+n)) != "completed" {
				open++
			}
		}
		d.rec.mu.Lock()
		twice := d.rec.twice
		d.rec.mu.Unlock()
		d.rec.log("%d starts of tasks that ran on another worker; %d accepted jobs are not completed", len(twice), open)
		if len(twice) > 0 {
			return fmt.Sprintf("TWICE: %d tasks had two runs at the same time, on workers that were up; the first: %s", len(twice), twice[0]), nil
		}
		return "", nil
	},
}
