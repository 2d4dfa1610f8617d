package workflow

import "time"

// Background runs. Standing tasks may leave nothing to filling work, and a VM takes
// only one task by force, which may run for long. A filling job that has had nothing
// running for a while therefore gets a task at a low pace. Work at full pace goes
// first: background runs do not keep it from being placed or brought to full pace, and
// are slowed down before it. A background run is brought to full pace when placement
// would start it on its VM, and is stopped to start again when another VM can take it.
// The members of a gang change together, and standing tasks do not move.
const (
	// backgroundTimeout is how long a job may have nothing running before a task starts
	// in the background. With the time until the start is carried out it stays below
	// the 3 s within which an accepted job must run if there is room for it.
	backgroundTimeout = 2 * time.Second
	// backgroundDeadline is how long a job may have nothing running before its
	// background run starts beside others on the VM that have not been slowed down yet.
	backgroundDeadline = 2500 * time.Millisecond
	// maxBackgroundPace and minBackgroundPace limit the pace of background runs, in
	// percent. In between, those on a VM demand backgroundShare of its processors; many
	// at minBackgroundPace can demand more.
	maxBackgroundPace = minPace
	minBackgroundPace = 1
	backgroundShare   = 0.05
	// maxBackgroundMemory is the share of a VM's memory from which on no further
	// background run starts there. The rest stays free for work at full pace.
	maxBackgroundMemory = 0.5
	// maxBackgroundUse is the measured processor use, as a share of its demand, up to
	// which a run that an earlier owner started is taken for a background run.
	maxBackgroundUse = 0.1
	// moveBackoff is the time between two moves of a background run, moveRetry the time
	// until a VM is looked for again after none was found, and moveInterval the time
	// between two moves to the same VM, since only one may find room there.
	moveBackoff  = 5 * time.Second
	moveRetry    = 500 * time.Millisecond
	moveInterval = 500 * time.Millisecond
	// forcedInterval is the time between background runs that are brought to full pace
	// by force on a VM. Runs shorter than the window of measurements would follow each
	// other before the tails show what they do.
	forcedInterval = 1200 * time.Millisecond
)

// backgroundPace returns the pace of background runs on the VM.
func (v *vm) backgroundPace() int {
	if v.background == 0 {
		return maxBackgroundPace
	}
	pace := int(fullPace * backgroundShare * v.processors() / float64(v.background))
	return max(minBackgroundPace, min(maxBackgroundPace, pace))
}

// paceLimit returns the highest pace that a task on a VM may have.
func (t *task) paceLimit() int {
	if t.background {
		return t.vm.backgroundPace()
	}
	return fullPace
}

// limitBackground slows down background runs after others have joined them.
func (o *Owner) limitBackground(v *vm) {
	for _, t := range v.tasks {
		if t.background && t.wantedPace > t.paceLimit() {
			t.setPace(o.now, t.paceLimit())
		}
	}
}

// idleTime returns how long a waiting filling task has had no running task of its step
// beside it. Each standing task must run, so those count by themselves. It is 0 for
// tasks that do not fill, and while a task of the step is starting or stopping.
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

// needsBackground reports whether a waiting task must start in the background, because
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

// keepsMemoryFree reports whether a further background run leaves memory to work at
// full pace.
func (v *vm) keepsMemoryFree() bool {
	return float64(v.backgroundMemory) < maxBackgroundMemory*float64(v.upstream.Capacity.MemoryBytes)
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

// advanceBackground brings the background runs of a step to full pace, or stops them
// to start elsewhere, as far as VMs can take them now.
func (o *Owner) advanceBackground(s *step) {
	if s.spec.Gang {
		if s.allRunning() && !o.gangToFullPace(s) {
			o.restartGang(s)
		}
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.background && t.phase == phaseRunning && !o.bringToFullPace(t) {
			o.moveBackground(t)
		}
	}
}

// bringToFullPace brings a background run to full pace if placement would start it
// there now, or as the one task that is forced onto the VM. It reports whether it did.
func (o *Owner) bringToFullPace(t *task) bool {
	v := t.vm
	if !o.operational(v) || v.quarantined {
		return false
	}
	fits := o.mayFill(t.step.spec, v)
	if !fits && (v.forced() || v.tail() > tailHigh || o.now < v.nextForcedAt) {
		return false
	}
	if !fits {
		v.nextForcedAt = o.now + forcedInterval
	}
	t.setBackground(false)
	t.forced = !fits
	o.recordFullPace(t)
	return true
}

// setBackground changes whether a task on a VM is a background run, and sets its pace.
func (t *task) setBackground(background bool) {
	t.vm.countFilling(t, -1)
	t.background = background
	t.vm.countFilling(t, 1)
	t.wantedPace = t.paceLimit()
	t.undisturbed = false
}

func (o *Owner) recordFullPace(t *task) {
	o.recordDecision(Decision{Kind: DecisionPaced, Task: t.key(), Run: t.run, VM: t.vm.id, Reason: "background run brought to full pace"})
}

// moveBackground stops a background run that another VM can take at full pace, or as
// the one task that is forced onto it.
func (o *Owner) moveBackground(t *task) {
	if t.step.spec.Standing || o.now < t.nextMoveAt {
		return
	}
	t.nextMoveAt = o.now + moveRetry
	var target *vm
	if !o.knownUnplaceable(t) {
		if target = o.chooseVM(t, false); target == nil {
			o.noteUnplaceable(t)
		}
	}
	if target == nil {
		target = o.chooseLeastDisturbed(t)
	}
	if target == nil || target == t.vm || target.quarantined || o.now < target.nextMoveAt {
		return
	}
	t.nextMoveAt, target.nextMoveAt = o.now+moveBackoff, o.now+moveInterval
	o.stop(t)
}

// gangToFullPace brings all background runs of a gang to full pace where they are, or
// none: single members at full pace would wait for the others. It reports whether it did.
func (o *Owner) gangToFullPace(s *step) bool {
	var raised []*task
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.background {
			continue
		}
		if !o.operational(t.vm) || t.vm.quarantined || !o.mayFill(s.spec, t.vm) {
			for _, r := range raised {
				r.setBackground(true)
			}
			return false
		}
		t.setBackground(false) // counts for the next member
		raised = append(raised, t)
	}
	for _, t := range raised {
		o.recordFullPace(t)
	}
	return true
}

// restartGang stops a gang that runs in the background if VMs can take all its members
// at full pace, and if a standing gang may have all of them down at once.
func (o *Owner) restartGang(s *step) {
	first := &s.tasks[0]
	if o.now < first.nextMoveAt {
		return
	}
	first.nextMoveAt = o.now + moveRetry
	if s.spec.Standing && s.spec.MayMiss > 0 && s.spec.MayMiss < len(s.tasks) || !o.gangFits(s) {
		return
	}
	first.nextMoveAt = o.now + moveBackoff
	for i := range s.tasks {
		o.stop(&s.tasks[i])
	}
}

func (s *step) allRunning() bool {
	for i := range s.tasks {
		if s.tasks[i].phase != phaseRunning {
			return false
		}
	}
	return true
}

// gangFits reports whether VMs that are not quarantined can take all members of a gang
// at full pace, beside its current runs.
func (o *Owner) gangFits(s *step) bool {
	members := make([]task, len(s.tasks))
	placed := 0
	for ; placed < len(members); placed++ {
		t := &members[placed]
		*t = task{step: s, index: placed, failures: s.tasks[placed].failures, pace: fullPace, wantedPace: fullPace}
		v := o.chooseVM(t, false)
		if v == nil {
			break
		}
		v.bind(t) // so that the search for the next member counts it
	}
	for i := range placed {
		members[i].release()
	}
	return placed == len(members)
}

// looksLikeBackground reports whether a run that an earlier owner started is a
// background run, which shows in its processor use.
func looksLikeBackground(spec *Step, r *Run) bool {
	return spec.Fills && !spec.Standing && r.Figure <= maxBackgroundUse*float64(spec.Demand.MilliCPU)
}

// countFilling adds a filling task to the sums of its VM and step, or with by -1
// removes it: as work at full pace or as a background run. It does nothing for other
// tasks.
func (v *vm) countFilling(t *task, by int) {
	spec := t.step.spec
	switch {
	case !spec.Fills:
	case t.background:
		t.step.background += by
		v.background += int64(by) * spec.Demand.MilliCPU
		v.backgroundMemory += int64(by) * spec.Demand.MemoryBytes
	default:
		v.filling += int64(by) * spec.Demand.MilliCPU
	}
}
