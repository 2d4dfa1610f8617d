package owner

import (
	"context"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/wire/convert"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// exchange sends the queued commands to a worker or, if there are none, fetches
// its report if one is wanted. It does nothing while a call is in flight.
func (s *hostState) exchange(vm types.VMID, l *link) {
	c := s.memberStates[vm]
	if l.busy || c == nil {
		return
	}
	if s.term.evacuated {
		// Starts that were queued before the evacuation. The state machine handles a
		// dropped start like a lost one.
		l.queue = slices.DeleteFunc(l.queue, func(c shard.Command) bool { return c.Kind == shard.CommandStart })
	}
	switch {
	case len(l.queue) > 0:
		commands := l.queue
		l.queue = nil
		l.busy = true
		s.sendCommands(l, c.address.String(), commands)
	case l.wantReport:
		l.wantReport = false
		l.busy = true
		s.fetchReport(vm, l, c.address.String())
	}
}

// sendCommands sends the commands to the worker in one call. Commands for another
// incarnation than that of the first command are dropped. The state machine
// repeats lost and dropped commands until a report shows their effect.
func (s *hostState) sendCommands(l *link, address string, commands []shard.Command) {
	h, t := s.h, s.term
	first := commands[0]
	req := &wirepb.CommandRequest{
		Shard:         string(h.opts.Shard),
		Epoch:         uint64(first.Epoch),
		Incarnation:   uint64(first.Incarnation),
		ConfigVersion: uint64(h.node.Config.Version()),
	}
	for _, c := range commands {
		if c.Incarnation == first.Incarnation {
			req.Commands = append(req.Commands, commandToWire(c))
		}
	}
	h.async(commandTimeout, func(ctx context.Context) func(*hostState) {
		_, err := h.node.WorkerPeer(address).Command(ctx, req)
		return func(s *hostState) {
			l.busy = false
			if s.term == t && err == nil {
				// The report shows the effect of the commands.
				l.wantReport = true
			}
		}
	})
}

var commandKinds = map[shard.CommandKind]wirepb.CommandKind{
	shard.CommandStart:      wirepb.CommandKind_COMMAND_KIND_START,
	shard.CommandResume:     wirepb.CommandKind_COMMAND_KIND_RESUME,
	shard.CommandCheckpoint: wirepb.CommandKind_COMMAND_KIND_CHECKPOINT,
	shard.CommandStop:       wirepb.CommandKind_COMMAND_KIND_STOP,
	shard.CommandForget:     wirepb.CommandKind_COMMAND_KIND_FORGET,
}

func commandToWire(c shard.Command) *wirepb.TaskCommand {
	return &wirepb.TaskCommand{
		Kind:         commandKinds[c.Kind],
		Task:         string(c.Task),
		Attempt:      uint32(c.Attempt),
		Class:        uint32(c.Class),
		Reserved:     convert.ResourcesToWire(c.Reserved),
		JobKind:      c.WorkKind,
		RunTimeMs:    c.RunTime.Milliseconds(),
		Checkpoint:   c.Checkpoint,
		ValidUntilNs: int64(c.ValidUntil),
	}
}

// fetchReport reads a worker's complete list of attempts.
func (s *hostState) fetchReport(vm types.VMID, l *link, address string) {
	h, t := s.h, s.term
	h.async(commandTimeout, func(ctx context.Context) func(*hostState) {
		resp, err := h.node.WorkerPeer(address).Tasks(ctx, &wirepb.TasksRequest{})
		return func(s *hostState) {
			l.busy = false
			if s.term != t || err != nil {
				return
			}
			if t.machine.Report(h.node.Clock(), reportFromWire(vm, resp)) {
				l.reportedHash = resp.GetHash()
				l.reportedIncarnation = types.Incarnation(resp.GetIncarnation())
			}
		}
	})
}

func reportFromWire(vm types.VMID, resp *wirepb.TasksResponse) shard.Report {
	r := shard.Report{
		VM:          vm,
		Incarnation: types.Incarnation(resp.GetIncarnation()),
		Seq:         resp.GetSeq(),
		Complete:    true,
	}
	for _, t := range resp.GetTasks() {
		r.Tasks = append(r.Tasks, shard.TaskReport{
			Task:             types.TaskID(t.GetTask()),
			Attempt:          types.Attempt(t.GetAttempt()),
			Class:            types.Class(t.GetClass()),
			Phase:            shard.Phase(t.GetPhase()),
			Reserved:         convert.ResourcesFromWire(t.GetReserved()),
			Checkpoint:       t.GetCheckpoint(),
			CheckpointFailed: t.GetCheckpointFailed(),
			Blameless:        t.GetBlameless(),
			Error:            t.GetError(),
			Usage:            convert.ResourcesFromWire(t.GetUsage()),
			UsageAge:         time.Duration(t.GetUsageAgeMs()) * time.Millisecond,
		})
	}
	return r
}

// estimatedClock returns a lower bound of the worker's clock at the time now. The
// actual reading is later by the transit time of the heartbeat.
func (c *memberState) estimatedClock(now time.Duration) time.Duration {
	return c.senderClock + now - c.receivedAt
}
