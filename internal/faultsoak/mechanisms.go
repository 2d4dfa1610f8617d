package faultsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

const (
	lowPrefix   = "/low/"
	lowPriority = 2
	// lowMark is the first digit of the IDs of jobs of the queue of low priority.
	lowMark = '1'
	// quietWorkers is the least number of workers for handovers in quiet periods, and
	// smallEntry the share of a core of an entry that hands over.
	quietWorkers = 30
	smallEntry   = 0.2
	// totalMilliCPU is the capacity of all workers, independent of their number.
	totalMilliCPU = 24000
	// One run in longOneIn of a task that tolerates copies takes longFactor times as long.
	longOneIn, longFactor = 12, 7
	// A burst brings the work of about 12 s in 4 s. Fewer jobs follow, since the forecast
	// rejects only after 4 s without free capacity.
	burstLength, burstRestLength = 4 * time.Second, 9 * time.Second
	burstPause, burstRestPause   = 100 * time.Millisecond, 500 * time.Millisecond
	burstInterval                = 24 * time.Second
	burstTasks                   = 24
	burstTaskTime                = time.Second
	// standingTasks is the number of tasks of a standing job. One is submitted before each
	// burst, and one with every standingEvery-th job of it.
	standingTasks, standingEvery = 3, 20
	mechanismTaskMilliCPU        = 400
	// An owner in its first 10 s does not hand over. Faults begin about when it does.
	minQuietStart, maxQuietStart = 10 * time.Second, 14 * time.Second
	// ownerTimeout is how long the small entry may take to become the owner.
	ownerTimeout = 10 * time.Second
)

var (
	mechanismFlags = []string{"--overload-control", "--copies", "--pass-submissions", "--quiet-handover"}
	// mechanismEvents are the events that show that the mechanisms have acted; 731 counts
	// with the cause forecast only.
	mechanismEvents = []int{663, 670, 672, 680, 681, 745, 746, 747, 570, 571, 731}
)

func prefixOf(id string) string {
	if id != "" && id[0] == lowMark {
		return lowPrefix
	}
	return prefix
}

// mechanisms adds what exercises overload control, copies, forwarding and handovers in
// quiet periods. Its fields do not change after its creation, except the generators,
// which are used by one goroutine each.
type mechanisms struct {
	w              *soakRun
	flags          []string
	workerMilliCPU int64
	jobRNG         *rand.Rand
	faultRNG       *rand.Rand
}

// newMechanisms draws the flags: all of them for one in four seeds, otherwise any
// combination.
func newMechanisms(w *soakRun) *mechanisms {
	m := &mechanisms{w: w}
	m.jobRNG = rand.New(rand.NewPCG(w.opts.Seed, 29))   //nolint:gosec // reproducible
	m.faultRNG = rand.New(rand.NewPCG(w.opts.Seed, 31)) //nolint:gosec // reproducible
	drawn := m.faultRNG.IntN(1 << len(mechanismFlags))
	all := m.faultRNG.IntN(4) == 0
	for i, f := range mechanismFlags {
		if all || drawn&(1<<i) != 0 {
			m.flags = append(m.flags, f)
		}
	}
	if m.has("--quiet-handover") {
		w.opts.Workers = max(w.opts.Workers, quietWorkers)
	}
	m.workerMilliCPU = totalMilliCPU / int64(w.opts.Workers)
	return m
}

func (m *mechanisms) has(flag string) bool { return slices.Contains(m.flags, flag) }

// cpuShare makes the first entry small and the others large.
func (m *mechanisms) cpuShare(entry int) float64 {
	switch {
	case !m.has("--quiet-handover"):
		return 0
	case entry == 0:
		return smallEntry
	}
	return 1
}

// awaitSmallOwner waits until the first entry owns the jobs, before the others start.
func (m *mechanisms) awaitSmallOwner() {
	if !m.has("--quiet-handover") {
		return
	}
	for end := time.Now().Add(ownerTimeout); m.w.owner() != 0 && time.Now().Before(end); {
		time.Sleep(ownerSampleInterval)
	}
}

// calmStart reports whether the run begins without faults and bursts: for a handover in a
// quiet period, and because copies need an owner that has seen 30 tasks end, and free
// capacity.
func (m *mechanisms) calmStart() bool { return m.has("--quiet-handover") || m.has("--copies") }

// awaitCalmStart waits until about the first handover in a quiet period.
func (m *mechanisms) awaitCalmStart(ctx context.Context) {
	if m.calmStart() {
		m.pause(ctx, m.faultRNG, minQuietStart, maxQuietStart)
	}
}

func (m *mechanisms) pause(ctx context.Context, rng *rand.Rand, shortest, longest time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(shortest + time.Duration(rng.Int64N(int64(longest-shortest)))):
	}
}

// runTimeOf implements standin.WorkerOptions.RunTimeOf.
func (m *mechanisms) runTimeOf(task string, run uint64, usual time.Duration) time.Duration {
	m.w.runChecker.mu.Lock()
	defer m.w.runChecker.mu.Unlock()
	if !m.w.runChecker.speculative[stepOf(task)] {
		return usual
	}
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d %s %d", m.w.opts.Seed, task, run)
	if h.Sum32()%longOneIn == 0 {
		return longFactor * usual
	}
	return usual
}

// randomJob returns a job of the queue of priority 0. Half of the jobs have a step that
// tolerates copies; the check allows two runs only if the entries may start them.
func (m *mechanisms) randomJob(rng *rand.Rand, id string) (body any, tasks int) {
	step := standin.Step{Tasks: 1 + rng.IntN(4), MilliCPU: mechanismTaskMilliCPU, RunTime: []time.Duration{40 * time.Millisecond, runTime, 2 * time.Second}[rng.IntN(3)], Checkpoints: true}
	last := standin.Step{Tasks: 1, MilliCPU: mechanismTaskMilliCPU, After: []int{0}}
	switch kind := rng.IntN(40); {
	case kind == 0:
		step.Tasks, step.MilliCPU = largeJobTasks, 20
	case kind < 4 && !m.has("--quiet-handover"):
		step.Label = labelOfOne
	case kind < 24:
		step = standin.Step{Tasks: 10 + rng.IntN(6), MilliCPU: mechanismTaskMilliCPU / 2, RunTime: runTime, Copies: true}
		m.w.runChecker.addSpeculative(id+".0.0.", m.has("--copies"))
	}
	last.RunTime = step.RunTime
	return standin.Job(step.RunTime.String(), step, last), step.Tasks + 1
}

// submit submits bursts of work of low priority, and standing jobs before and during them.
// With silent restarts, which cut off half of the workers for much of the time, there are no
// bursts: 59 jobs of seed 62505 were not done 45 s after the faults.
func (m *mechanisms) submit(ctx context.Context) {
	var submissions sync.WaitGroup
	defer submissions.Wait()
	n := 0
	submit := func(body any, tasks int, standing bool) {
		n++
		id := fmt.Sprintf("%c%015x", lowMark, n)
		if standing {
			m.w.jobClient.mu.Lock()
			m.w.jobClient.standing[id] = true
			m.w.jobClient.mu.Unlock()
		}
		entry := m.jobRNG.IntN(len(m.w.callerAddresses))
		submissions.Go(func() { m.w.jobClient.submit(context.WithoutCancel(ctx), id, body, tasks, entry) })
	}
	if m.calmStart() {
		m.pause(ctx, m.jobRNG, minQuietStart, maxQuietStart)
	}
	for ctx.Err() == nil {
		begin := time.Now()
		standing := standin.Job("1h", standin.Step{Tasks: standingTasks, MilliCPU: mechanismTaskMilliCPU, RunTime: time.Hour, Checkpoints: true, Lasts: true})
		submit(standing, standingTasks, true)
		m.pause(ctx, m.jobRNG, 2*time.Second, 5*time.Second)
		burst := time.Now()
		for i := 1; !m.w.opts.SilentRestarts && time.Since(burst) < burstLength+burstRestLength && ctx.Err() == nil; i++ {
			step := standin.Step{Tasks: burstTasks, MilliCPU: mechanismTaskMilliCPU, RunTime: burstTaskTime, Checkpoints: true}
			submit(standin.Job(burstTaskTime.String(), step), burstTasks, false)
			if i%standingEvery == 0 {
				submit(standing, standingTasks, true)
			}
			if time.Since(burst) < burstLength {
				time.Sleep(burstPause)
			} else {
				time.Sleep(burstRestPause)
			}
		}
		rest := time.Until(begin.Add(burstInterval))
		m.pause(ctx, m.jobRNG, rest, rest+time.Second)
	}
}

// injectFaults lets the store refuse, reset or not answer single entries that do not own
// the jobs, in the background. Platform faults do the same to owners, and faults of owners
// excuse late starts in evacuated domains.
func (m *mechanisms) injectFaults(ctx context.Context, end time.Time) {
	m.w.pendingUndos.Go(func() {
		for time.Now().Before(end) && ctx.Err() == nil {
			m.pause(ctx, m.faultRNG, time.Second, 3*time.Second)
			entry := m.faultRNG.IntN(len(m.w.entries))
			if entry == m.w.owner() {
				entry = (entry + 1) % len(m.w.entries)
			}
			m.w.countFault("store fails a candidate")
			m.w.entryGates[entry].set(gateReset + gateMode(m.faultRNG.IntN(int(gateSilent-gateReset)+1)))
			m.pause(ctx, m.faultRNG, minStoreFault, maxStoreFault)
			m.w.entryGates[entry].set(gatePass)
		}
	})
}

// checkStanding checks that all tasks of accepted standing jobs run, and end when the jobs
// are cancelled.
func (m *mechanisms) checkStanding(ctx context.Context) {
	j := m.w.jobClient
	end := time.Now().Add(settleTimeout)
	await := func(id string, runs int) bool {
		for ; m.w.runChecker.countRunning(id) != runs; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) || ctx.Err() != nil {
				return false
			}
		}
		return true
	}
	for id := range j.standing {
		switch j.outcomes[id] {
		case outcomeAccepted:
			m.w.res.Accepted++
		case outcomeRefused:
			m.w.res.Refused++
			continue
		default:
			m.w.res.Unknown++
			continue
		}
		if !await(id, standingTasks) {
			m.w.addViolation("standing job %s has %d of %d tasks running %v after the faults", id, m.w.runChecker.countRunning(id), standingTasks, settleTimeout)
		}
		if code, text := j.call(ctx, 0, http.MethodDelete, id, nil); code != http.StatusOK {
			m.w.addViolation("standing job %s cannot be cancelled: %d %s", id, code, strings.TrimSpace(text))
		}
		if !await(id, 0) {
			m.w.addViolation("standing job %s is cancelled but has %d tasks running", id, m.w.runChecker.countRunning(id))
		}
	}
}

// readLogs counts the events of the mechanisms, and checks that no process has panicked,
// also after SIGTERM.
func (w *soakRun) readLogs() map[string]int {
	counts := make(map[string]int)
	for _, p := range append(slices.Clone(w.entries), w.agents...) {
		data, err := os.ReadFile(p.log)
		if err != nil {
			w.addViolation("log of %s: %v", p.name, err)
		}
		for line := range bytes.Lines(data) {
			if bytes.HasPrefix(line, []byte("panic: ")) || bytes.HasPrefix(line, []byte("fatal error: ")) {
				w.addViolation("process %s: %s", p.name, bytes.TrimSpace(line))
			}
			var entry struct {
				Event int    `json:"event"`
				Cause string `json:"cause"`
			}
			// A process that is killed may leave a part of a line.
			if json.Unmarshal(line, &entry) == nil && slices.Contains(mechanismEvents, entry.Event) && (entry.Event != 731 || entry.Cause == "forecast") {
				counts[strconv.Itoa(entry.Event)]++
			}
		}
	}
	return counts
}
