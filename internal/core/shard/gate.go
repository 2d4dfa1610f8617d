package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// GateVerdict tells a worker what to do with a command.
type GateVerdict string

// Verdicts on commands. All but Execute mean that nothing is done.
const (
	Execute          GateVerdict = "execute"
	WrongIncarnation GateVerdict = "wrong incarnation"
	StaleEpoch       GateVerdict = "stale epoch"
	Expired          GateVerdict = "expired"
	StaleAttempt     GateVerdict = "stale attempt"
	NoRight          GateVerdict = "no run right"
)

// attemptRecord is what a gate remembers of one task.
type attemptRecord struct {
	attempt types.Attempt
	class   types.Class
	// confirmed attempts run under the present right. The end of the right
	// takes the confirmation away; only a resume command gives it back, because
	// the owner may have relocated the attempt meanwhile.
	confirmed bool
	stopped   bool
	// forgotten is set by the owner's forget command: the table has the end of
	// the attempt, so no start of it is sent after forgottenAt.
	forgotten   bool
	forgottenAt time.Duration
}

// Gate decides on a worker which commands are carried out and which attempts
// may run. All times are on the worker's clock.
type Gate struct {
	vm            types.VMID
	incarnation   types.Incarnation
	runRight      time.Duration
	commandBudget time.Duration
	epoch         types.Epoch
	runRightEnd   time.Duration
	tasks         map[types.TaskID]*attemptRecord
}

// NewGate returns the gate of a worker incarnation that has no run right.
func NewGate(cfg Config, vm types.VMID, incarnation types.Incarnation) *Gate {
	return &Gate{
		vm: vm, incarnation: incarnation,
		runRight: cfg.RunRight, commandBudget: cfg.CommandBudget,
		tasks: make(map[types.TaskID]*attemptRecord),
	}
}

// AddExisting records an attempt that the runtime lists when the worker starts. It
// may not run, beyond the lease that the runtime has, until it is resumed.
func (g *Gate) AddExisting(task types.TaskID, attempt types.Attempt, class types.Class) {
	g.tasks[task] = &attemptRecord{attempt: attempt, class: class}
}

// RunRightEnd returns the end of the run right. The worker passes it to the runtime
// as the lease of its confirmed batch attempts.
func (g *Gate) RunRightEnd() time.Duration {
	return g.runRightEnd
}

// Epoch returns the highest epoch seen.
func (g *Gate) Epoch() types.Epoch {
	return g.epoch
}

// Acked applies the reply to a heartbeat of this incarnation.
func (g *Gate) Acked(now time.Duration, reply HeartbeatReply) {
	g.Tick(now)
	if reply.Ack.Incarnation != g.incarnation || reply.Epoch < g.epoch {
		return
	}
	g.epoch = reply.Epoch
	if reply.Right {
		g.runRightEnd = max(g.runRightEnd, reply.Ack.SentAt+g.runRight)
	}
}

// Tick takes the confirmation of all batch attempts away if the right has
// ended, and returns whether it did. The shell suspends them. An ended attempt
// is remembered until the owner forgets it and no command can be valid that was
// sent before: until then an owner that has not seen the end, such as one that
// has just taken over, may still send a valid start of it.
func (g *Gate) Tick(now time.Duration) bool {
	expired := false
	for id, h := range g.tasks {
		if h.forgotten && now > h.forgottenAt+g.commandBudget {
			delete(g.tasks, id)
			continue
		}
		if now >= g.runRightEnd && h.confirmed && h.class != types.ClassLatencyCritical {
			h.confirmed = false
			expired = true
		}
	}
	return expired
}

// MayRun reports whether the attempt may run at now.
func (g *Gate) MayRun(now time.Duration, task types.TaskID, attempt types.Attempt) bool {
	h := g.tasks[task]
	if h == nil || h.attempt != attempt || h.stopped || !h.confirmed {
		return false
	}
	return h.class == types.ClassLatencyCritical || now < g.runRightEnd
}

// RecordEnd records that an attempt has ended by itself.
func (g *Gate) RecordEnd(task types.TaskID, attempt types.Attempt) {
	h := g.tasks[task]
	if h != nil && h.attempt == attempt {
		h.stopped = true
	}
}

// forget begins the time after which an ended attempt is dropped.
func (g *Gate) forget(now time.Duration, task types.TaskID, attempt types.Attempt) {
	g.RecordEnd(task, attempt)
	h := g.tasks[task]
	if h != nil && h.attempt == attempt {
		h.forgotten = true
		h.forgottenAt = now
	}
}

// Command decides on a command and records its effect. A repeated start of the
// present attempt is executed again: the runtime's start is idempotent. A start
// of a higher attempt tells that the lower is over; the shell stops a lower one
// that the runtime still has, suspended, before it starts the higher.
func (g *Gate) Command(now time.Duration, c Command) GateVerdict {
	g.Tick(now)
	switch {
	case c.VM != g.vm || c.Incarnation != g.incarnation:
		return WrongIncarnation
	case c.Epoch < g.epoch:
		return StaleEpoch
	case now >= c.ValidUntil:
		return Expired
	}
	g.epoch = c.Epoch
	h := g.tasks[c.Task]
	switch c.Kind {
	case CommandStart:
		return g.start(now, c, h)
	case CommandResume:
		return g.resume(now, c, h)
	case CommandStop:
		return g.stop(c, h)
	case CommandForget:
		g.forget(now, c.Task, c.Attempt)
		return Execute
	default:
		if h != nil && h.attempt != c.Attempt {
			return StaleAttempt
		}
		return Execute
	}
}

func (g *Gate) start(now time.Duration, c Command, h *attemptRecord) GateVerdict {
	if h != nil && (c.Attempt < h.attempt || (c.Attempt == h.attempt && (h.stopped || !h.confirmed))) {
		return StaleAttempt
	}
	if c.Class != types.ClassLatencyCritical && now >= g.runRightEnd {
		return NoRight
	}
	g.tasks[c.Task] = &attemptRecord{attempt: c.Attempt, class: c.Class, confirmed: true}
	return Execute
}

func (g *Gate) resume(now time.Duration, c Command, h *attemptRecord) GateVerdict {
	if h == nil || h.attempt != c.Attempt || h.stopped {
		return StaleAttempt
	}
	if h.class != types.ClassLatencyCritical && now >= g.runRightEnd {
		return NoRight
	}
	h.confirmed = true
	return Execute
}

// stop remembers the attempt as ended, known or not, so that a delayed start
// of it is refused.
func (g *Gate) stop(c Command, h *attemptRecord) GateVerdict {
	if h != nil && c.Attempt < h.attempt {
		return StaleAttempt
	}
	if h == nil || c.Attempt > h.attempt {
		h = &attemptRecord{attempt: c.Attempt}
		g.tasks[c.Task] = h
	}
	h.stopped = true
	return Execute
}
