package workflow

import "time"

// Background runs. Standing tasks may leave nothing to filling work, and a VM takes
// only one task by force, which may run for long. A filling job without a live task
// therefore gets a task at a low pace, whatever else runs. The task is brought to full
// pace when placement would start it there, or moved when it would start elsewhere.
const (
	// backgroundTimeout is how long a job may have no live task before one starts at
	// backgroundPace. With the time until the start is carried out it stays below the
	// 3 s within which an accepted job must run if there is room for it.
	backgroundTimeout = 2 * time.Second
	// backgroundDeadline is how long a job may have no live task before its background
	// run starts beside others on the VM that have not been slowed down yet.
	backgroundDeadline = 2500 * time.Millisecond
	// backgroundPace is the pace of background runs, in percent.
	backgroundPace = minPace
	// backgroundMemoryShare is the share of a VM's memory from which on no background
	// run starts there. The rest stays free for work at full pace.
	backgroundMemoryShare = 0.5
	// maxBackgroundUse is the measured processor use, in percent of its demand, up to
	// which a run that an earlier owner started is taken for a background run.
	maxBackgroundUse = 2 * backgroundPace
)

// maxPace returns the highest pace that the task may have.
func (t *task) maxPace() int {
	if t.background {
		return backgroundPace
	}
	return fullPace
}

// idleTime returns how long a filling task has waited without another task of its
// step. Each standing task must run, so those count by themselves. It is 0 for tasks
// that do not fill.
func (o *Owner) idleTime(t *task) time.Duration {
	s := t.step
	switch {
	case !s.spec.Fills:
		return 0
	case s.spec.Standing:
		return o.now - t.waitingSince
	case s.live > 0:
		return 0
	default:
		return o.now - s.idleSince
	}
}

// needsBackground reports whether a waiting task must start at backgroundPace, because
// its job has had nothing running for too long.
func (o *Owner) needsBackground(t *task) bool {
	return o.idleTime(t) >= backgroundTimeout && (t.step.spec.Standing || t.step.job.live == 0)
}

// chooseBackground returns the VM for a background run of a task that has been idle
// for a time, or nil.
func (o *Owner) chooseBackground(t *task, idle time.Duration) *vm {
	var best *vm
	bestScore := 0.0
	service := o.queueOf(t.step.job).Service
	for _, v := range o.vmOrder {
		if v.upstream.Service != service || !o.usable(v) || v.quarantined || o.obstacle(t, v) != "" || !v.keepsMemoryFree() {
			continue
		}
		if v.startsBackground() && idle < backgroundDeadline {
			continue
		}
		score := o.score(t, v) + float64(v.background)/v.processors()
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// keepsMemoryFree reports whether enough of the VM's memory is free for a background
// run to start there.
func (v *vm) keepsMemoryFree() bool {
	return float64(v.reserved.MemoryBytes) < backgroundMemoryShare*float64(v.upstream.Capacity.MemoryBytes)
}

// startsBackground reports whether a background run on the VM has not been slowed down
// yet: workers start every task at full pace.
func (v *vm) startsBackground() bool {
	for _, t := range v.tasks {
		if t.background && t.phase != phaseStopping && t.pace > t.wantedPace {
			return true
		}
	}
	return false
}

// raiseBackground brings background runs of a step to full pace where placement would
// start them now, or as the one task forced onto their VM, and stops those that can
// start on another VM.
func (o *Owner) raiseBackground(s *step) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.background || t.phase != phaseRunning {
			continue
		}
		if o.usable(t.vm) && (o.mayFill(s.spec, t.vm) || !t.vm.forced()) {
			t.forced = !o.mayFill(s.spec, t.vm)
			o.leaveBackground(t)
			continue
		}
		if s.spec.Gang || s.spec.Standing || !o.cheapToRestart(t) || o.knownUnplaceable(t) {
			continue
		}
		if o.choose(t) == nil {
			o.noteUnplaceable(t)
			continue
		}
		o.stop(t)
	}
}

// leaveBackground brings a background run to full pace.
func (o *Owner) leaveBackground(t *task) {
	demand := t.step.spec.Demand.MilliCPU
	t.background = false
	t.step.background--
	t.vm.background -= demand
	t.vm.filling += demand
	t.setPace(o.now, fullPace)
	o.recordDecision(Decision{Kind: DecisionPaced, Task: t.key(), Run: t.run, VM: t.vm.id, Reason: "background run brought to full pace"})
}

// cheapToRestart reports whether stopping a background run discards little work.
func (o *Owner) cheapToRestart(t *task) bool {
	return t.step.spec.Checkpoints || (o.now-t.startedAt)*backgroundPace/fullPace <= maxLostRunTime
}

// looksLikeBackground reports whether a run that an earlier owner started is a
// background run, which shows in its processor use.
func looksLikeBackground(spec *Step, r *Run) bool {
	return spec.Fills && !spec.Standing && r.Figure > 0 && r.Figure <= float64(spec.Demand.MilliCPU)*maxBackgroundUse/fullPace
}

// fillingDemand returns the processor demand of a task, in thousandths of a core, by
// whether it counts as filling work at full pace or as a background run. Both are 0
// for tasks that do not fill.
func (t *task) fillingDemand() (filling, background int64) {
	switch {
	case !t.step.spec.Fills:
		return 0, 0
	case t.background:
		return 0, t.step.spec.Demand.MilliCPU
	default:
		return t.step.spec.Demand.MilliCPU, 0
	}
}
