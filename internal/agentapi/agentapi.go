// Package agentapi holds the client and the server of the RPC interface between the
// owner of jobs and the agents beside upstream workers. It converts between protocol
// buffers and the types of package workflow.
package agentapi

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

func taskToWire(k workflow.TaskKey) *wirepb.TaskKey {
	return &wirepb.TaskKey{Job: string(k.Job), Occurrence: uint32(k.Occurrence), Step: uint32(k.Step), Index: uint32(k.Index)} //nolint:gosec // counts are never negative
}

func taskFromWire(k *wirepb.TaskKey) workflow.TaskKey {
	return workflow.TaskKey{
		Job: types.JobID(k.GetJob()), Occurrence: int(k.GetOccurrence()), Step: int(k.GetStep()), Index: int(k.GetIndex()),
	}
}

func bootToWire(b workflow.Boot) *wirepb.Boot {
	return &wirepb.Boot{Id: b.ID, Born: b.Born}
}

func bootFromWire(b *wirepb.Boot) workflow.Boot {
	return workflow.Boot{ID: b.GetId(), Born: b.GetBorn()}
}

func grantToWire(g workflow.Grant) *wirepb.Grant {
	return &wirepb.Grant{
		Fence: uint64(g.Fence), Boot: bootToWire(g.Boot), DeadlineMs: g.LeaseEnd.Milliseconds(), Acknowledged: g.Acknowledged,
	}
}

func grantFromWire(g *wirepb.Grant) workflow.Grant {
	return workflow.Grant{
		Fence: workflow.Fence(g.GetFence()), Boot: bootFromWire(g.GetBoot()),
		LeaseEnd: millis(g.GetDeadlineMs()), Acknowledged: g.GetAcknowledged(),
	}
}

func millis(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func upstreamToWire(u *workflow.Upstream) *wirepb.Upstream {
	if u == nil {
		return nil
	}
	return &wirepb.Upstream{
		Boot: bootToWire(u.Boot), Service: string(u.Service), Rack: string(u.Rack), Labels: u.Labels,
		MilliCpu: u.Capacity.MilliCPU, MemoryBytes: u.Capacity.MemoryBytes, Accelerators: u.Capacity.Accelerators,
		Draining: u.Draining, RemainingMs: u.Remaining.Milliseconds(),
	}
}

func upstreamFromWire(u *wirepb.Upstream) *workflow.Upstream {
	if u == nil {
		return nil
	}
	return &workflow.Upstream{
		Boot: bootFromWire(u.GetBoot()), Service: types.ServiceName(u.GetService()), Rack: types.Rack(u.GetRack()), Labels: u.GetLabels(),
		Capacity: types.Resources{MilliCPU: u.GetMilliCpu(), MemoryBytes: u.GetMemoryBytes(), Accelerators: u.GetAccelerators()},
		Draining: u.GetDraining(), Remaining: millis(u.GetRemainingMs()),
	}
}

// reportToWire converts a report; version counts the agent's reports.
func reportToWire(r *workflow.Report, version uint64) *wirepb.WatchResponse {
	w := &wirepb.WatchResponse{
		Agent: uint64(r.Agent), Version: version, Fence: uint64(r.Fence), Boot: bootToWire(r.Boot), Gone: r.Gone,
		Upstream: upstreamToWire(r.Upstream), ClockMs: r.Clock.Milliseconds(), ListSeq: r.ListSeq, More: r.More,
	}
	for i := range r.Running {
		run := &r.Running[i]
		w.Running = append(w.Running, &wirepb.Run{
			Task: taskToWire(run.Task), Run: run.Run, Checkpoint: run.Checkpoint, Progress: int32(run.Progress), Figure: run.Figure, //nolint:gosec // progress is 0 to 100 percent
		})
	}
	for i := range r.Ended {
		e := &r.Ended[i]
		w.Ended = append(w.Ended, &wirepb.End{
			Number: e.Number, Task: taskToWire(e.Task), Run: e.Run, Kind: string(e.Kind), Checkpoint: e.Checkpoint,
		})
	}
	return w
}

func reportFromWire(vm types.VMID, w *wirepb.WatchResponse) workflow.Report {
	r := workflow.Report{
		VM: vm, Agent: types.Incarnation(w.GetAgent()), Fence: workflow.Fence(w.GetFence()), Boot: bootFromWire(w.GetBoot()), Gone: w.GetGone(),
		Upstream: upstreamFromWire(w.GetUpstream()), Clock: millis(w.GetClockMs()), ListSeq: w.GetListSeq(), More: w.GetMore(),
	}
	for _, run := range w.GetRunning() {
		r.Running = append(r.Running, workflow.Run{
			Task: taskFromWire(run.GetTask()), Run: run.GetRun(), Checkpoint: run.GetCheckpoint(), Progress: int(run.GetProgress()), Figure: run.GetFigure(),
		})
	}
	for _, e := range w.GetEnded() {
		r.Ended = append(r.Ended, workflow.End{
			Number: e.GetNumber(), Task: taskFromWire(e.GetTask()), Run: e.GetRun(), Kind: workflow.EndKind(e.GetKind()), Checkpoint: e.GetCheckpoint(),
		})
	}
	return r
}

func orderToWire(o *workflow.Order) *wirepb.Order {
	return &wirepb.Order{
		Kind: uint32(o.Kind), Task: taskToWire(o.Task), Run: o.Run, Payload: o.Payload,
		Checkpoint: o.Checkpoint, DeadlineMs: o.LeaseEnd.Milliseconds(), Ticket: o.Ticket, Pace: int32(o.Pace), //nolint:gosec // a pace is 0 to 100
	}
}

func orderFromWire(boot workflow.Boot, o *wirepb.Order) workflow.Order {
	return workflow.Order{
		Kind: workflow.OrderKind(o.GetKind()), Boot: boot, Task: taskFromWire(o.GetTask()), Run: o.GetRun(), //nolint:gosec // checked by the receiver
		Payload: o.GetPayload(), Checkpoint: o.GetCheckpoint(), LeaseEnd: millis(o.GetDeadlineMs()), Pace: int(o.GetPace()), Ticket: o.GetTicket(),
	}
}
