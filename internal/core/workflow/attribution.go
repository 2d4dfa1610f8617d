package workflow

import (
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/health"
)

// Attribution of failures to workers. A worker that fails or stalls every task
// it starts is quarantined after a few results, since each failed run uses up
// one of the few attempts of a task.
const (
	// resultHalfLife is the time after which a result counts half.
	resultHalfLife = 15 * time.Second
	// maxQuarantinedShare is the largest share of workers that may be
	// quarantined at the same time; 0.34 allows one of three.
	maxQuarantinedShare = 0.34
	// minProbeDelay is the delay before the first probe of a quarantined
	// worker, and maxProbeDelay the longest delay between probes.
	minProbeDelay = 2 * time.Second
	maxProbeDelay = 8 * time.Second
	// checkWorkersInterval is the time between checks for stalled tasks and for
	// failing or slow workers.
	checkWorkersInterval = 200 * time.Millisecond
)

// stallTimeout is how long a task may use no processor before it is restarted on
// another VM. The first and the last list that show it idle must be at least
// this far apart. Measurements cover the last 500 ms and are renewed every
// 250 ms.
const stallTimeout = time.Second

// avoidDuration is how long a task that failed or stalled waits for room on another
// VM. It is shorter than the 3 s within which a task must run if there is room for it.
const avoidDuration = 2 * time.Second

func healthOptions() health.Options {
	return health.Options{HalfLife: resultHalfLife, MaxShare: maxQuarantinedShare, ProbeFirst: minProbeDelay, ProbeMax: maxProbeDelay}
}

// kind returns the group of tasks that are expected to succeed or fail alike.
func (s *step) kind() string {
	return s.job.spec.Queue + "/" + s.spec.Image
}

func (o *Owner) reportHealth(t *task, v *vm, end EndKind) {
	switch end {
	case EndDone:
		o.health.Report(o.now, v.id, t.step.kind(), true)
		v.probeDue = false
	case EndFailed:
		o.health.Report(o.now, v.id, t.step.kind(), false)
		v.probeDue = false
	}
}

// checkWorkers restarts stalled tasks, moves tasks off slow workers, and
// applies quarantine decisions.
func (o *Owner) checkWorkers() {
	if o.now < o.checkWorkersAt {
		return
	}
	o.checkWorkersAt = o.now + checkWorkersInterval
	for _, v := range o.vmOrder {
		for _, t := range v.tasks {
			o.restartStalled(t, v)
		}
	}
	o.detectSlow()
	for _, v := range o.vmOrder {
		o.moveOffSlow(v)
		o.reportServingProbe(v)
	}
	for _, a := range o.health.Decide(o.now) {
		v := o.vms[a.Worker]
		if v == nil {
			continue
		}
		switch a.Kind {
		case health.Quarantine:
			v.quarantined, v.probe = true, nil
			o.recordDecision(Decision{Kind: DecisionQuarantine, VM: v.id, Reason: fmt.Sprintf("quarantined, evidence %.1f", a.Evidence)})
		case health.Probe:
			v.probeDue = true
			o.placeDue = true
		case health.Return:
			v.quarantined, v.probeDue, v.probe = false, false, nil
			o.placeDue = true
			o.recordDecision(Decision{Kind: DecisionQuarantine, VM: v.id, Reason: "returned to service"})
		}
	}
}

// restartStalled stops a task that uses no processor, so that it starts on
// another VM.
func (o *Owner) restartStalled(t *task, v *vm) {
	spec := t.step.spec
	if t.phase != phaseRunning || spec.Standing || spec.Gang || t.pace < fullPace || t.measurement > 0 || v.upstream.Draining {
		t.stalledSince = 0
		return
	}
	if t.stalledSince == 0 {
		t.stalledSince = o.now
		return
	}
	if t.advance.lastAt < t.stalledSince+stallTimeout {
		return
	}
	t.avoid(v, o.now)
	o.health.Report(o.now, v.id, t.step.kind(), false)
	v.probeDue = false
	o.stop(t)
}

// avoid keeps a task off a VM for avoidDuration.
func (t *task) avoid(v *vm, now time.Duration) {
	t.avoidVM, t.avoidUntil = v.id, now+avoidDuration
}

// avoids reports whether a task must not run on a VM for now, because its last run
// failed or stalled there and another VM may take it.
func (o *Owner) avoids(t *task, v *vm) bool {
	return v.id == t.avoidVM && o.now < t.avoidUntil && o.mayRunElsewhere(t, v)
}

// mayRunElsewhere reports whether another VM may take a task, now or once it has room.
func (o *Owner) mayRunElsewhere(t *task, v *vm) bool {
	service := o.queueOf(t.step.job).Service
	for _, other := range o.vmOrder {
		if other != v && other.upstream.Service == service && o.usable(other) && o.constraint(t, other) == "" && t.step.reservation().Fits(other.upstream.Capacity) {
			return true
		}
	}
	return false
}
