package benchpolicy

import (
	"slices"
	"time"
)

// startTask starts a task on a VM. The start is delayed by after, the time
// until evicted tasks have stopped.
func (s *sim) startTask(now time.Duration, t *task, vm int, after time.Duration) {
	t.state, t.vm = running, vm
	t.startedAt = now + after
	t.savedAt = t.startedAt
	t.progress = t.saved
	t.failsAt = 0
	if vm == s.w.badWorker && now >= s.w.badSpan.from && now < s.w.badSpan.to {
		t.failsAt = now + 5*time.Second + time.Duration(s.noise.IntN(15))*time.Second
	}
	s.vms[vm].running = append(s.vms[vm].running, t)
	if t.urgent && !t.everStarted {
		s.urgentStart = append(s.urgentStart, now-t.arrival+after+commitDelay)
	}
	t.everStarted = true
}

// stopTask removes a task from its VM. If keepProgress is not set, the progress
// falls back to the last checkpoint.
func (s *sim) stopTask(t *task, keepProgress bool) {
	v := s.vms[t.vm]
	v.running = slices.DeleteFunc(v.running, func(x *task) bool { return x == t })
	if keepProgress {
		t.saved = t.progress
	}
	t.progress = t.saved
	t.state = waiting
	t.speed = 1
}

// countEviction counts an eviction, or a kill by the runtime. If saved is not
// set, the progress since the last checkpoint counts as lost work.
func (s *sim) countEviction(t *task, saved bool) {
	s.result.Evictions++
	t.evictions++
	if !saved {
		s.result.LostWork += time.Duration(float64(t.progress-t.saved) * t.cores)
	}
}

// evictTask stops a task to make room. If save is set, the task is checkpointed
// first.
func (s *sim) evictTask(now time.Duration, t *task, save bool) {
	s.countEviction(t, save)
	s.stopTask(t, save)
	t.readyAt = now + evictBackoff
	if save {
		t.readyAt = now + movePause
	}
}

// refuseTask marks a task as refused because it can never run.
func (s *sim) refuseTask(t *task) {
	t.state = refused
	s.result.Refused++
}

func (s *sim) finalResult() Result {
	r := s.result
	percentile := func(q float64) time.Duration {
		return time.Duration(s.latencies.ValueAtQuantile(q)) * time.Microsecond
	}
	r.P50, r.P99, r.P999 = percentile(50), percentile(99), percentile(99.9)
	r.WaveP99 = time.Duration(s.waveLatencies.ValueAtQuantile(99)) * time.Microsecond
	r.WithinDeadline = float64(r.withinDeadlineCount) / float64(max(r.requests, 1))
	var done, total time.Duration
	for _, t := range s.w.tasks {
		if t.cores > float64(s.d.Cores) {
			continue // larger than any VM
		}
		work := time.Duration(float64(t.work) * t.cores)
		total += work
		done += time.Duration(float64(min(max(t.progress, t.saved), t.work)) * t.cores)
		if t.state != finished && t.arrival+t.work <= nightLength {
			r.Unfinished++
		}
	}
	r.BatchDone = float64(done) / float64(total)
	slices.Sort(s.urgentStart)
	if n := len(s.urgentStart); n > 0 {
		r.UrgentStart = s.urgentStart[(n-1)*99/100]
	}
	for _, t := range s.w.tasks {
		if t.urgent && t.state == waiting && !t.everStarted {
			r.UrgentStart = max(r.UrgentStart, nightLength-t.arrival)
		}
	}
	return r
}

// Result holds the measurements of one simulated night. All durations of
// requests include queueing.
type Result struct {
	// P50, P99 and P999 are percentiles of the request latencies.
	P50, P99, P999 time.Duration
	// WaveP99 is the 99th percentile of request latencies during the waves of
	// noisy kinds.
	WaveP99 time.Duration
	// WithinDeadline is the share of the requests, from 0 to 1, whose latency is
	// at most deadline.
	WithinDeadline float64
	// BatchDone is the share of the night's feasible work that was done.
	BatchDone float64
	// Unfinished counts tasks that could have finished by the end of the night
	// but did not.
	Unfinished int
	// Evictions counts the stops of tasks to make room for urgent work or to
	// reduce interference, moves included, and the kills for memory.
	Evictions int
	// Kills is the part of Evictions that are kills by the runtime because
	// memory was exhausted.
	Kills int
	// LostWork is the core time that evictions discarded.
	LostWork time.Duration
	// UrgentStart is the 99th percentile of the time from the arrival of an
	// urgent task to its start, or the longest wait of one that never started
	// if that is larger.
	UrgentStart time.Duration
	// FalseQuarantines counts quarantines of healthy workers.
	FalseQuarantines int
	// Overcommitted is the largest number of VMs at one time whose reservations
	// exceed their capacity.
	Overcommitted int
	// Failures counts failed attempts, and Refused the tasks that were refused
	// because they can never run.
	Failures int
	Refused  int

	requests, withinDeadlineCount int
}
