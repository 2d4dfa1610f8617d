package benchpolicy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/boragecrank/boragecrank/internal/core/interference"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

const (
	tick               = time.Second
	reportInterval     = 10 * time.Second
	maxReportDelay     = 30 // ticks
	checkpointInterval = 10 * time.Minute
	// movePause is the time during which a moved task makes no progress.
	movePause = 20 * time.Second
	// victimStopTime is the time that an evicted task takes to stop.
	victimStopTime = 1500 * time.Millisecond
	// commitDelay is the time from a decision to the start of a task.
	commitDelay = 100 * time.Millisecond
	// retryDelay doubles with each failure or kill of a task, up to
	// maxRetryDelay, for all policies.
	retryDelay    = 30 * time.Second
	maxRetryDelay = 16 * time.Minute
	// urgentStartLimit is the required time from the arrival of urgent work to
	// its start.
	urgentStartLimit = 2300 * time.Millisecond
	// evictBackoff is the delay before a task that was evicted without a
	// checkpoint may start again.
	evictBackoff = 5 * time.Second
)

// policy is a policy under measurement. It acts through the methods startTask,
// evictTask and refuseTask of sim, and sets the speed of throttled tasks.
type policy interface {
	handleArrival(now time.Duration, t *task)
	schedule(now time.Duration)
	handleUsage(now, takenAt time.Duration, t *task, use types.Resources)
	handleMeasurement(now time.Duration, vm int, m interference.Measurement)
	// handleEnd is called when an attempt has ended: it finished, failed, was
	// killed or was lost with its VM.
	handleEnd(now time.Duration, t *task, vm int, how ending)
	handleVMDown(now time.Duration, vm int)
	handleVMUp(now time.Duration, vm int)
	// reservation returns the resources reserved for a running task.
	reservation(t *task) types.Resources
	countOvercommitted() int
	isQuarantined(vm int) bool
	// routingHints returns the risk of each VM, which is its expected pressure
	// (see interference.Controller.Risk), or nil if the policy routes by load
	// only. It also returns the number of candidates beyond two.
	routingHints(now time.Duration) (risks []float64, more int)
}

type ending uint8

const (
	endDone ending = iota + 1
	endFailed
	endKilled
	endLost
)

// report is a delayed usage report of a task, with the first four fields, or a
// delayed measurement of a VM, with the last two fields and no task.
type report struct {
	takenAt      time.Duration
	task         *task
	attemptStart time.Duration // startedAt of the attempt
	use          types.Resources
	vm           int
	measure      interference.Measurement
}

// sim simulates one policy over one night.
type sim struct {
	d      *Deployment
	w      *workload
	vms    []*vmState
	ids    []types.VMID
	policy policy
	// requests, noise and routes are separate sources of random numbers, so that
	// all policies see the same requests.
	requests       *rand.Rand
	noise          *rand.Rand
	delayedReports [maxReportDelay + 1][]report
	tickCount      int
	inWave         []bool
	anyWave        bool
	nextTask       int
	// risks holds the risk of each VM from routingHints, or nil if the policy
	// routes by load only.
	risks  []float64
	routes *rand.Rand

	latencies, waveLatencies *hdrhistogram.Histogram
	result                   Result
	urgentStart              []time.Duration
	quarantined              [vmCount]bool
}

func vmID(i int) types.VMID { return types.VMID(fmt.Sprintf("vm%02d", i)) }

func (s *sim) vmSpec(i int) types.VM {
	return types.VM{
		ID:            vmID(i),
		FailureDomain: types.FailureDomain(fmt.Sprintf("d%d", i%domainCount)),
		Rack:          types.Rack(fmt.Sprintf("r%d", i/domainCount/vmsPerRack)),
		// The reservation of the service is not available to batch work.
		Capacity: types.Resources{MilliCPU: 1000 * s.d.Cores, MemoryBytes: s.d.Memory}.Sub(s.d.ServiceSize),
	}
}

// newSim prepares the simulation of a night. build creates the policy.
func newSim(d *Deployment, seed uint64, build func(*sim, *rand.Rand) policy) *sim {
	s := &sim{
		d:             d,
		w:             generateWorkload(d, seed),
		requests:      rand.New(rand.NewPCG(seed, 1)),
		noise:         rand.New(rand.NewPCG(seed, 2)),
		routes:        rand.New(rand.NewPCG(seed, 4)),
		latencies:     hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
		waveLatencies: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
	}
	s.inWave = make([]bool, len(s.w.kinds))
	slices.SortStableFunc(s.w.tasks, func(a, b *task) int { return int(a.arrival - b.arrival) })
	for i := range vmCount {
		s.vms = append(s.vms, &vmState{up: true, slowdown: 1, batchSpeed: 1})
		s.ids = append(s.ids, vmID(i))
	}
	s.policy = build(s, rand.New(rand.NewPCG(seed, 3)))
	return s
}

func (s *sim) run() Result {
	for now := time.Duration(0); now < nightLength; now += tick {
		s.tickCount++
		s.applyVMFailures(now)
		for s.nextTask < len(s.w.tasks) && s.w.tasks[s.nextTask].arrival <= now {
			s.policy.handleArrival(now, s.w.tasks[s.nextTask])
			s.nextTask++
		}
		s.deliverReports(now)
		s.policy.schedule(now)
		s.result.Overcommitted = max(s.result.Overcommitted, s.policy.countOvercommitted())
		s.updateVMs(now)
		s.progress(now)
		s.serveRequests(now)
		if s.tickCount%int(reportInterval/tick) == 0 {
			s.takeReports(now + tick)
		}
	}
	return s.finalResult()
}

// applyVMFailures applies the failures and replacements of VMs and counts
// quarantines of healthy workers. Attempts that start in badSpan on badWorker
// fail up to 20 s later, so a quarantine within a minute after badSpan is still
// right.
func (s *sim) applyVMFailures(now time.Duration) {
	for _, d := range s.w.vmFailures {
		switch {
		case now >= d.from && now < d.from+tick:
			s.vms[d.vm].up = false
			for _, t := range slices.Clone(s.vms[d.vm].running) {
				s.stopTask(t, false)
				t.readyAt = now + retryDelay
				s.policy.handleEnd(now, t, d.vm, endLost)
			}
			s.policy.handleVMDown(now, d.vm)
		case now >= d.to && now < d.to+tick:
			s.vms[d.vm].up = true
			s.policy.handleVMUp(now, d.vm)
		}
	}
	for i := range s.vms {
		q := s.policy.isQuarantined(i)
		if q && !s.quarantined[i] {
			bad := i == s.w.badWorker && now >= s.w.badSpan.from && now < s.w.badSpan.to+time.Minute
			if !bad {
				s.result.FalseQuarantines++
			}
		}
		s.quarantined[i] = q
	}
}

func (s *sim) updateVMs(now time.Duration) {
	s.anyWave = false
	for i := range s.w.kinds {
		s.inWave[i] = s.w.kinds[i].inWave(now)
		s.anyWave = s.anyWave || s.inWave[i] && s.w.kinds[i].addedSlowdownInWave > s.w.kinds[i].addedSlowdown
	}
	for _, v := range s.vms {
		v.updateInterference(now, s.d, s.w.kinds, s.inWave)
	}
}

// progress advances the tasks, ends those that finish or fail, and kills tasks
// on VMs whose memory is exhausted.
func (s *sim) progress(now time.Duration) {
	reservation := func(t *task) float64 { return float64(s.policy.reservation(t).MemoryBytes) }
	for i, v := range s.vms {
		for _, t := range slices.Clone(v.running) {
			if now < t.startedAt {
				continue
			}
			t.progress += time.Duration(float64(tick) * t.speed * v.batchSpeed)
			if now-t.savedAt >= checkpointInterval {
				t.saved, t.savedAt = t.progress, now
			}
			switch {
			case t.failsAt > 0 && now >= t.failsAt:
				s.stopTask(t, false)
				t.failures++
				t.avoid = s.ids[i]
				t.readyAt = now + backoff(t)
				s.result.Failures++
				s.policy.handleEnd(now, t, i, endFailed)
			case t.progress >= t.work:
				s.stopTask(t, true)
				t.state = finished
				s.policy.handleEnd(now, t, i, endDone)
			}
		}
		for t := v.memoryVictim(s.d, reservation); t != nil; t = v.memoryVictim(s.d, reservation) {
			s.result.Kills++
			s.countEviction(t, false)
			s.stopTask(t, false)
			t.kills++
			t.readyAt = now + backoff(t)
			s.policy.handleEnd(now, t, i, endKilled)
		}
	}
}

// backoff returns the delay before the next attempt after failures and kills.
func backoff(t *task) time.Duration {
	return min(retryDelay<<min(t.failures+t.kills-1, 10), maxRetryDelay)
}

// serveRequests serves the requests of one tick. Each request goes to the less
// busy of two random VMs, unless the policy asks for more candidates or for
// routing by risk.
func (s *sim) serveRequests(now time.Duration) {
	rate := requestRate(now) * vmCount
	var more int
	s.risks, more = s.policy.routingHints(now)
	for at := time.Duration(s.requests.ExpFloat64() / rate * float64(tick)); at < tick; at += time.Duration(s.requests.ExpFloat64() / rate * float64(tick)) {
		a, b := s.requests.IntN(vmCount), s.requests.IntN(vmCount)
		service := drawService(s.requests)
		if !s.vms[a].up || s.vms[b].up && s.prefersVM(b, a, now+at) {
			a = b
		}
		for range more {
			if c := s.routes.IntN(vmCount); s.vms[c].up && s.prefersVM(c, a, now+at) {
				a = c
			}
		}
		if !s.vms[a].up {
			a = (a + 1) % vmCount
		}
		latency := s.vms[a].serve(now+at, service)
		us := min(int64(latency/time.Microsecond), s.latencies.HighestTrackableValue())
		_ = s.latencies.RecordValue(us)
		if s.anyWave {
			_ = s.waveLatencies.RecordValue(us)
		}
		s.result.requests++
		if latency <= deadline {
			s.result.withinDeadlineCount++
		}
	}
}

// takeReports measures usage and latency. The reports arrive up to 30 s later.
func (s *sim) takeReports(now time.Duration) {
	for i, v := range s.vms {
		median, load, ok := v.takeMedian(reportInterval.Seconds())
		if ok && v.up {
			s.delayReport(report{vm: i, measure: interference.Measurement{
				VM: s.ids[i], Service: s.d.Service, TakenAt: now, Interval: reportInterval, Load: load, Latency: median,
			}})
		}
		for _, t := range v.running {
			use := types.Resources{
				MilliCPU:    int64(1000 * t.cores * t.speed * v.batchSpeed * (0.9 + 0.2*s.noise.Float64())),
				MemoryBytes: int64(t.currentMemory()),
			}
			s.delayReport(report{takenAt: now, task: t, attemptStart: t.startedAt, use: use})
		}
	}
}

func (s *sim) delayReport(r report) {
	at := (s.tickCount + 1 + s.noise.IntN(maxReportDelay)) % len(s.delayedReports)
	s.delayedReports[at] = append(s.delayedReports[at], r)
}

func (s *sim) deliverReports(now time.Duration) {
	slot := s.tickCount % len(s.delayedReports)
	for _, r := range s.delayedReports[slot] {
		if r.task == nil {
			s.policy.handleMeasurement(now, r.vm, r.measure)
			continue
		}
		if r.task.startedAt == r.attemptStart {
			s.policy.handleUsage(now, r.takenAt, r.task, r.use)
		}
	}
	s.delayedReports[slot] = s.delayedReports[slot][:0]
}

const (
	// manyCandidates is the number of random VMs, beyond the usual two, that
	// the contenders with wider routing compare.
	manyCandidates = 8
	// riskMargin is the difference in risk above which the risk decides between
	// two VMs. From nearFullSlots busy slots on either VM, only the load
	// decides.
	riskMargin    = 0.05
	nearFullSlots = 6
)

// prefersVM reports whether a request goes to VM b rather than a.
func (s *sim) prefersVM(b, a int, at time.Duration) bool {
	busyA, busyB := s.vms[a].busySlots(at), s.vms[b].busySlots(at)
	if s.risks != nil && busyA < nearFullSlots && busyB < nearFullSlots {
		if d := s.risks[b] - s.risks[a]; d < -riskMargin || d > riskMargin {
			return d < 0
		}
	}
	return busyB < busyA
}
