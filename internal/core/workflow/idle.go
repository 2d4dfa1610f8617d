package workflow

import (
	"fmt"
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Detection of idle steps: steps that could begin or go on, and of which no task runs,
// or a standing one does not.

const (
	// checkIdleInterval is the time between checks for idle steps.
	checkIdleInterval = 500 * time.Millisecond
	// idleLogInterval is how long a step must have been idle to be logged, and the
	// time between log events about it.
	idleLogInterval = 2 * time.Second
	// maxNamedVMs limits the VMs that a reason names.
	maxNamedVMs = 4
)

// IdleCause is what an idle step waits for.
type IdleCause string

// Causes of idle steps.
const (
	// IdleNoVM: no VM takes a task of the step.
	IdleNoVM IdleCause = "no_vm"
	// IdleUndecidedRun: runs that have not begun, or have been given up, may still
	// begin or go on.
	IdleUndecidedRun IdleCause = "undecided_run"
	// IdleTakeover: runs of earlier owners may go on at VMs out of reach.
	IdleTakeover IdleCause = "takeover"
	// IdleUnconfirmed: the job was read while the ownership was not confirmed.
	IdleUnconfirmed IdleCause = "unconfirmed"
)

// IdleCauses lists all causes.
func IdleCauses() []IdleCause {
	return []IdleCause{IdleNoVM, IdleUndecidedRun, IdleTakeover, IdleUnconfirmed}
}

// IdleSteps returns the number of steps that have been idle for idleLogInterval, by
// cause, as of the last check.
func (o *Owner) IdleSteps() map[IdleCause]int {
	return o.idleSteps
}

// BackgroundRuns returns the number of background runs as of the last check.
func (o *Owner) BackgroundRuns() int {
	return o.backgroundRuns
}

// checkIdle finds the idle steps and records what they wait for.
func (o *Owner) checkIdle() {
	if o.now < o.checkIdleAt {
		return
	}
	o.checkIdleAt = o.now + checkIdleInterval
	o.idleSteps = make(map[IdleCause]int)
	o.backgroundRuns = 0
	for _, s := range o.ready {
		if s.job.outcome != "" || s.occurrence.finished || s.done == len(s.tasks) {
			continue
		}
		o.backgroundRuns += s.background
		t := s.idleTask(o.now)
		if t == nil {
			continue
		}
		cause := o.idleCause(t)
		o.idleSteps[cause]++
		if o.now >= s.idleLoggedAt+idleLogInterval {
			s.idleLoggedAt = o.now
			o.recordIdle(t, cause)
		}
	}
}

// running reports whether a task of the step runs.
func (s *step) running() bool {
	if s.live == 0 {
		return false
	}
	for i := range s.tasks {
		if s.tasks[i].phase == phaseRunning {
			return true
		}
	}
	return false
}

// idleTask returns a task that has not run for idleLogInterval although its turn has
// come, or nil: of standing steps, any task; of others, one that is starting or
// stopping, or else one that waits, if no task of the step runs.
func (s *step) idleTask(now time.Duration) *task {
	if !s.spec.Standing && s.running() {
		s.idleSince = now
	}
	var idle *task
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.phase == phaseRunning {
			t.waitingSince = now
		}
		since := s.idleSince
		if s.spec.Standing {
			since = t.waitingSince
		}
		if t.phase == phaseDone || now < since+idleLogInterval {
			continue
		}
		if idle == nil || t.phase.live() && !idle.phase.live() {
			idle = t
		}
	}
	return idle
}

func (o *Owner) idleCause(t *task) IdleCause {
	switch j := t.step.job; {
	case t.phase.live():
		return IdleUndecidedRun
	case j.inherited && !o.takeoverComplete:
		return IdleTakeover
	case j.readUnconfirmed:
		return IdleUnconfirmed
	default:
		return IdleNoVM
	}
}

// recordIdle records an idle task and what it waits for.
func (o *Owner) recordIdle(t *task, cause IdleCause) {
	s := t.step
	d := Decision{Kind: DecisionBlocked, Task: t.key(), Age: o.now - s.job.accepted}
	switch cause {
	case IdleNoVM:
		d.Kind, d.Reason = DecisionWaiting, o.obstacles(t)
		if s.spec.Gang {
			d.Reason = fmt.Sprintf("%d of %d members of the gang find a VM%s", s.membersPlaced, len(s.tasks), o.evacuationNote(t))
		}
	case IdleUndecidedRun:
		d.Run, d.VM, d.Reason = t.run, t.vm.id, o.undecidedReason(t)
	case IdleTakeover:
		d.Reason = "runs of an earlier owner may go on at VMs out of reach: " + o.unreachedVMs()
	case IdleUnconfirmed:
		d.Reason = "job was read while the ownership was not confirmed"
	}
	o.recordDecision(d)
}

// undecidedReason describes the run of a starting or stopping task, and until when it
// may take to be decided.
func (o *Owner) undecidedReason(t *task) string {
	state := "start is not answered"
	if t.phase == phaseStopping {
		state = "stop is not answered"
		if t.stopAcked {
			state = "stop is answered, and no later list has come"
		}
	}
	limit := "the worker's lease ends"
	until := o.leaseExpiry(t.vm)
	if t.vm.boot.Born == 0 {
		limit = "no late order can arrive any more"
		until = t.startedAt + maxOrderDelay
	}
	return fmt.Sprintf("%s; started %d ms ago; %s in %d ms", state, (o.now - t.startedAt).Milliseconds(), limit, (until - o.now).Milliseconds())
}

// unreachedVMs names VMs that are neither reached nor proven idle, with the time
// until their leases have expired.
func (o *Owner) unreachedVMs() string {
	var names []string
	for _, v := range o.vmOrder {
		if v.reached || v.provenIdle {
			continue
		}
		if len(names) == maxNamedVMs {
			names = append(names, "and others")
			break
		}
		names = append(names, fmt.Sprintf("%s for up to %d ms", v.id, (o.leaseExpiry(v)-o.now).Milliseconds()))
	}
	return strings.Join(names, ", ")
}

// obstacles counts the VMs by what keeps a waiting task off them.
func (o *Owner) obstacles(t *task) string {
	counts := make(map[string]int)
	service := o.queueOf(t.step.job).Service
	for _, v := range o.vmOrder {
		counts[o.obstacleOf(t, v, service)]++
	}
	return fmt.Sprint(counts)
}

// obstacleOf returns what keeps a task off a VM, disturbance of standing tasks
// included.
func (o *Owner) obstacleOf(t *task, v *vm, service types.ServiceName) string {
	if v.upstream.Service != service {
		return "other service"
	}
	if !o.usable(v) {
		return o.unusableReason(v)
	}
	if obstacle := o.obstacle(t, v); obstacle != "" {
		return obstacle
	}
	switch {
	case o.waitsForHeadroom(t):
		return "headroom for short work"
	case !t.step.spec.Fills || o.mayFill(t.step.spec, v):
		return "none"
	case !v.hasUnusedProcessors(t.step.spec):
		return "no unused processors"
	case !v.keepsMemoryFree():
		return "would disturb standing tasks, and background runs hold its memory"
	default:
		return "would disturb standing tasks"
	}
}

// unusableReason returns why a VM takes no new tasks.
func (o *Owner) unusableReason(v *vm) string {
	switch {
	case v.evacuated:
		return v.evacuatedReason()
	case !v.reached || !v.announced:
		return "not reached"
	case v.upstream.Draining:
		return "draining"
	case o.now < v.slowUntil:
		return "slow"
	case !o.leaseSuffices(v):
		return "lease runs out"
	default:
		return "refused a start"
	}
}
