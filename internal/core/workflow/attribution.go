package workflow

import (
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/health"
)

// Attribution of failures to workers. A worker that fails or holds up all that
// it starts is left out within a few results, since each of them costs a task
// one of its few attempts.
const (
	resultHalfLife      = 15 * time.Second
	maxQuarantinedShare = 0.34
	minProbeDelay       = 2 * time.Second
	maxProbeDelay       = 8 * time.Second
	// attributeInterval lies between decisions on quarantine.
	attributeInterval = 200 * time.Millisecond
)

// Detection of tasks that stand still: one that uses no processor for
// stallTimeout, by lists that span it, is started elsewhere. Figures cover the last
// 500 ms and are renewed every 250 ms.
const stallTimeout = time.Second

func healthOptions() health.Options {
	return health.Options{HalfLife: resultHalfLife, MaxShare: maxQuarantinedShare, ProbeFirst: minProbeDelay, ProbeMax: maxProbeDelay}
}

// kind groups tasks that should succeed or fail alike.
func (s *step) kind() string {
	return s.job.spec.Queue + "/" + s.spec.Image
}

func (o *Owner) reportHealth(t *task, v *vm, end EndKind) {
	switch end {
	case EndDone:
		o.health.Report(o.now, v.id, t.step.kind(), true)
		v.probing = false
	case EndFailed:
		o.health.Report(o.now, v.id, t.step.kind(), false)
		v.probing = false
	}
}

// attribute stops tasks that stand still, and takes workers out of service and
// back.
func (o *Owner) attribute() {
	if o.now < o.attributeAt {
		return
	}
	o.attributeAt = o.now + attributeInterval
	for _, v := range o.vmOrder {
		for _, t := range v.tasks {
			o.restartStalled(t, v)
		}
	}
	o.detectSlow()
	for _, v := range o.vmOrder {
		o.moveOffSlow(v)
	}
	for _, a := range o.health.Decide(o.now) {
		v := o.vms[a.Worker]
		if v == nil {
			continue
		}
		switch a.Kind {
		case health.Quarantine:
			v.quarantined = true
			o.recordDecision(Decision{Kind: DecisionQuarantine, VM: v.id, Reason: fmt.Sprintf("quarantined, evidence %.1f", a.Evidence)})
		case health.Probe:
			v.probing = true
			o.placeDue = true
		case health.Return:
			v.quarantined, v.probing = false, false
			o.placeDue = true
			o.recordDecision(Decision{Kind: DecisionQuarantine, VM: v.id, Reason: "returned to service"})
		}
	}
}

// restartStalled restarts a task elsewhere that uses no processor.
func (o *Owner) restartStalled(t *task, v *vm) {
	spec := t.step.spec
	if t.phase != phaseRunning || spec.Standing || spec.Gang || t.pace < fullPace || t.figure > 0 || v.upstream.Draining {
		t.stalledSince = 0
		return
	}
	if t.stalledSince == 0 {
		t.stalledSince = o.now
		return
	}
	if t.advance.to < t.stalledSince+stallTimeout {
		return
	}
	t.avoid = v.id
	o.health.Report(o.now, v.id, t.step.kind(), false)
	v.probing = false
	o.stop(t)
}

// mayProbe reports whether a task may test a quarantined worker: one with an
// attempt to spare, and one at a time beside the standing tasks that go on there.
func (o *Owner) mayProbe(t *task, v *vm) bool {
	limit := o.queueOf(t.step.job).MaxAttempts
	if !v.probing || t.step.spec.Standing || t.step.spec.Gang || len(t.failures)+1 >= limit {
		return false
	}
	return v.probe == nil
}
