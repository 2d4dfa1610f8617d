package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// GateVerdict is the Gate's decision on a command.
type GateVerdict string

// Verdicts on commands. The worker executes a command only on Execute and
// ignores it on all others.
const (
	Execute GateVerdict = "execute"
	// WrongIncarnation: the command is for another VM or worker incarnation.
	WrongIncarnation GateVerdict = "wrong incarnation"
	// StaleEpoch: the command comes from an owner with an earlier epoch.
	StaleEpoch GateVerdict = "stale epoch"
	// Expired: the command is no longer valid.
	Expired GateVerdict = "expired"
	// StaleAttempt: the command is for an earlier attempt than the latest. A
	// start is also stale if the attempt has ended or is not confirmed, a resume
	// if the attempt is unknown or has ended, and a checkpoint if the attempt is
	// later than the latest. A forget command is never stale.
	StaleAttempt GateVerdict = "stale attempt"
	// NoRight: the command starts or resumes a batch attempt, but the run right
	// has ended.
	NoRight GateVerdict = "no run right"
)

// attemptRecord is the Gate's record of the latest attempt of a task.
type attemptRecord struct {
	attempt types.Attempt
	class   types.Class
	// confirmed is set while the attempt may run under the current run right.
	// The end of the run right clears it for batch attempts. Only a resume
	// command sets it again, because the owner may have relocated the task in
	// the meantime.
	confirmed bool
	stopped   bool
	// forgotten is set by the owner's forget command. The end of the attempt is
	// then in the table, so no owner sends a start for it after forgottenAt.
	forgotten   bool
	forgottenAt time.Duration
}

// Gate decides which commands a worker executes and which attempts may run. All
// times are on the worker's clock.
type Gate struct {
	vm              types.VMID
	incarnation     types.Incarnation
	runRight        time.Duration
	commandValidity time.Duration
	epoch           types.Epoch
	runRightEnd     time.Duration
	tasks           map[types.TaskID]*attemptRecord
}

// NewGate returns a Gate for a new worker incarnation, without a run right.
func NewGate(cfg Config, vm types.VMID, incarnation types.Incarnation) *Gate {
	return &Gate{
		vm: vm, incarnation: incarnation,
		runRight: cfg.RunRight, commandValidity: cfg.CommandValidity,
		tasks: make(map[types.TaskID]*attemptRecord),
	}
}

// AddExisting records an attempt that the runtime lists when the worker starts.
// The attempt is not confirmed: MayRun returns false for it until a resume
// command. The runtime runs it until its present lease ends.
func (g *Gate) AddExisting(task types.TaskID, attempt types.Attempt, class types.Class) {
	g.tasks[task] = &attemptRecord{attempt: attempt, class: class}
}

// RunRightEnd returns the end of the run right. The worker passes it to the
// runtime as the end of the lease of its confirmed batch attempts.
func (g *Gate) RunRightEnd() time.Duration {
	return g.runRightEnd
}

// Epoch returns the highest epoch seen in replies and commands.
func (g *Gate) Epoch() types.Epoch {
	return g.epoch
}

// Acked applies the reply to a heartbeat. Replies to other incarnations and
// replies with an earlier epoch are ignored.
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

// Tick clears the confirmation of all batch attempts if the run right has
// ended, and reports whether there were any. The worker no longer renews their
// leases, so the runtime suspends them.
//
// Tick also removes ended attempts, but only when the commands that were sent
// before the owner's forget command have expired. Until then, an owner that has
// not seen the end of the attempt, such as one that has just taken over, may
// still send a valid start for it.
func (g *Gate) Tick(now time.Duration) bool {
	expired := false
	for id, rec := range g.tasks {
		if rec.forgotten && now > rec.forgottenAt+g.commandValidity {
			delete(g.tasks, id)
			continue
		}
		if now >= g.runRightEnd && rec.confirmed && rec.class != types.ClassLatencyCritical {
			rec.confirmed = false
			expired = true
		}
	}
	return expired
}

// MayRun reports whether the attempt may run at now.
func (g *Gate) MayRun(now time.Duration, task types.TaskID, attempt types.Attempt) bool {
	rec := g.tasks[task]
	if rec == nil || rec.attempt != attempt || rec.stopped || !rec.confirmed {
		return false
	}
	return rec.class == types.ClassLatencyCritical || now < g.runRightEnd
}

// RecordEnd records that an attempt has ended without a stop command.
func (g *Gate) RecordEnd(task types.TaskID, attempt types.Attempt) {
	rec := g.tasks[task]
	if rec != nil && rec.attempt == attempt {
		rec.stopped = true
	}
}

// forget marks an ended attempt for removal by Tick.
func (g *Gate) forget(now time.Duration, task types.TaskID, attempt types.Attempt) {
	g.RecordEnd(task, attempt)
	rec := g.tasks[task]
	if rec != nil && rec.attempt == attempt {
		rec.forgotten = true
		rec.forgottenAt = now
	}
}

// Command decides whether the worker executes a command, and records its
// effect. A repeated start of the current attempt is executed again while the
// attempt is confirmed and has not ended, because the runtime's start is
// idempotent. A start of a higher attempt implies that the lower one has ended.
// If the runtime still has the lower attempt, suspended, the worker stops it
// before it starts the higher one.
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
	rec := g.tasks[c.Task]
	switch c.Kind {
	case CommandStart:
		return g.start(now, c, rec)
	case CommandResume:
		return g.resume(now, c, rec)
	case CommandStop:
		return g.stop(c, rec)
	case CommandForget:
		g.forget(now, c.Task, c.Attempt)
		return Execute
	default:
		if rec != nil && rec.attempt != c.Attempt {
			return StaleAttempt
		}
		return Execute
	}
}

func (g *Gate) start(now time.Duration, c Command, rec *attemptRecord) GateVerdict {
	if rec != nil && (c.Attempt < rec.attempt || (c.Attempt == rec.attempt && (rec.stopped || !rec.confirmed))) {
		return StaleAttempt
	}
	if c.Class != types.ClassLatencyCritical && now >= g.runRightEnd {
		return NoRight
	}
	g.tasks[c.Task] = &attemptRecord{attempt: c.Attempt, class: c.Class, confirmed: true}
	return Execute
}

func (g *Gate) resume(now time.Duration, c Command, rec *attemptRecord) GateVerdict {
	if rec == nil || rec.attempt != c.Attempt || rec.stopped {
		return StaleAttempt
	}
	if rec.class != types.ClassLatencyCritical && now >= g.runRightEnd {
		return NoRight
	}
	rec.confirmed = true
	return Execute
}

// stop records the attempt as ended, even if it was unknown, so that a delayed
// start of it is refused.
func (g *Gate) stop(c Command, rec *attemptRecord) GateVerdict {
	if rec != nil && c.Attempt < rec.attempt {
		return StaleAttempt
	}
	if rec == nil || c.Attempt > rec.attempt {
		rec = &attemptRecord{attempt: c.Attempt}
		g.tasks[c.Task] = rec
	}
	rec.stopped = true
	return Execute
}
