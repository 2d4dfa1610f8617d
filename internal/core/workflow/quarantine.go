package workflow

import "time"

// servingProbeTime is how long a standing task that tests a quarantined worker must
// serve for one successful probe. A worker that fails its tasks does so when they
// start.
const servingProbeTime = time.Second

// mayProbe reports whether a task may test a quarantined worker although other VMs
// have room. The task needs an attempt to spare. Standing tasks and gangs probe only
// as a last resort; see chooseQuarantined.
func (o *Owner) mayProbe(t *task, v *vm) bool {
	return o.probeFree(v) && !t.step.spec.Standing && !t.step.spec.Gang && o.hasSpareAttempt(t)
}

// hasSpareAttempt reports whether a task may fail without failing its job. Queues with
// MaxAttempts 0 have no limit of attempts.
func (o *Owner) hasSpareAttempt(t *task) bool {
	limit := o.queueOf(t.step.job).MaxAttempts
	return t.step.spec.Standing || limit == 0 || len(t.failedRuns())+1 < limit
}

// probeFree reports whether a quarantined worker is due for a probe that no task
// makes. Only one task, or one gang, probes at a time; standing tasks that still run
// there do not count, and neither does a task that has run for maxProbeDelay.
func (o *Owner) probeFree(v *vm) bool {
	return v.probeDue && (v.probe == nil || o.now >= v.probe.startedAt+maxProbeDelay)
}

// chooseQuarantined returns a quarantined VM that a task may test because no other VM
// takes it, or nil. Without this, a worker for which only standing tasks, gangs or
// tasks with their last attempt wait would never return to service. A last attempt is
// not risked while another VM may take the task later.
func (o *Owner) chooseQuarantined(t *task) *vm {
	s := t.step
	service := o.queueOf(s.job).Service
	for _, v := range o.vmOrder {
		gangProbe := s.spec.Gang && v.probe != nil && v.probe.step == s
		if !v.quarantined || !gangProbe && !o.probeFree(v) || v.upstream.Service != service || !o.usable(v) {
			continue
		}
		if o.requirement(t, v) != "" || !v.hasRoom(s) || s.spec.Fills && !o.mayFill(s.spec, v) && !o.needsBackground(t) {
			continue
		}
		if o.hasSpareAttempt(t) || !o.mayRunElsewhere(t, v) {
			return v
		}
	}
	return nil
}

// reportServingProbe counts a standing task that tests a quarantined worker as a
// successful probe when it has served for servingProbeTime, and again after as long:
// it does not end, so no end shows that the worker is sound.
func (o *Owner) reportServingProbe(v *vm) {
	t := v.probe
	if !v.quarantined || t == nil || !t.step.spec.Standing || t.phase != phaseRunning || t.progress < progressServing {
		v.servingSince = 0
		return
	}
	if v.servingSince == 0 {
		v.servingSince = o.now
	}
	if o.now >= v.servingSince+servingProbeTime {
		v.servingSince = o.now
		o.reportHealth(t, v, EndDone)
	}
}
