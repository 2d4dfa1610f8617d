package estimate

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Start records that a task started with a reservation. priorRunTime is the run
// time of its earlier attempts up to the checkpoint from which it resumes.
func (e *Estimator) Start(now time.Duration, id types.TaskID, kindName string, declared, reserved types.Resources, priorRunTime time.Duration) {
	if old := e.tasks[id]; old != nil && old.end == 0 {
		e.End(now, id, EndInterrupted)
	}
	e.tasks[id] = &task{
		kind:         kindName,
		declared:     declared,
		started:      now,
		priorRunTime: priorRunTime,
		size:         reservation{value: reserved, set: true},
	}
}

// Usage records the use of a task at the time takenAt, which may precede that
// of earlier reports. It returns the reservation to apply when use exceeds the
// current one. Reports from before the start of the attempt are ignored.
func (e *Estimator) Usage(now, takenAt time.Duration, id types.TaskID, use types.Resources) (Change, bool) {
	t := e.tasks[id]
	if t == nil || takenAt < t.started {
		return Change{}, false
	}
	if t.end != 0 && takenAt > t.endedAt {
		return Change{}, false
	}
	if use.Fits(t.peak) {
		return Change{}, false
	}
	if !use.Fits(scale(t.peak, 1/lowerThreshold)) {
		t.peakRoseAt = now
	}
	t.peak = t.peak.Max(use)
	k := e.kind(now, t.kind)
	k.cpu.raiseBound(&t.cpu, float64(t.peak.MilliCPU))
	k.memory.raiseBound(&t.memory, float64(t.peak.MemoryBytes))
	if t.end != 0 || t.peak.Fits(t.size.value) {
		return Change{}, false
	}
	t.size.adjust(now, withMargin(t.peak), t.peak)
	return Change{Task: id, Reserved: t.size.value}, true
}

// End records the end of an attempt. Its peaks become samples in Sweep, after
// late reports have had time to arrive.
func (e *Estimator) End(now time.Duration, id types.TaskID, how End) {
	t := e.tasks[id]
	if t == nil || t.end != 0 {
		return
	}
	t.end, t.endedAt = how, now
	k := e.kind(now, t.kind)
	ran := seconds(t.priorRunTime + now - t.started)
	if how == EndCompleted {
		k.runTime.observe(&t.runTime, ran)
		return
	}
	k.runTime.raiseBound(&t.runTime, ran)
}

// Resized records the reservation that was applied to a task when the VM had no
// room for the one returned by Usage or Sweep.
func (e *Estimator) Resized(id types.TaskID, reserved types.Resources) {
	if t := e.tasks[id]; t != nil {
		t.size.value = reserved
	}
}

// Sweep counts the run times of running tasks as lower bounds, closes ended
// tasks that no longer accept reports, and returns the reservations that
// changed, sorted by task ID. Call it about once a minute.
func (e *Estimator) Sweep(now time.Duration) []Change {
	var out []Change
	ids := make([]types.TaskID, 0, len(e.tasks))
	for id := range e.tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b types.TaskID) int { return cmp.Compare(a, b) })
	for _, id := range ids {
		t := e.tasks[id]
		k := e.kind(now, t.kind)
		if t.end != 0 {
			if now-t.endedAt >= lateReportWindow {
				e.closeTask(k, t)
				delete(e.tasks, id)
			}
			continue
		}
		k.runTime.raiseBound(&t.runTime, seconds(t.priorRunTime+now-t.started))
		if e.updateReservation(now, k, t) {
			out = append(out, Change{Task: id, Reserved: t.size.value})
		}
	}
	return out
}

// updateReservation adjusts the reservation of a running task to the learned
// size of the kind or, once the task's own peak is stable, to that peak. A task
// without usage reports keeps its reservation, because use that is not reported
// yet cannot justify a lower one.
func (e *Estimator) updateReservation(now time.Duration, k *kind, t *task) bool {
	if t.peak.IsZero() {
		return false
	}
	if now-t.peakRoseAt >= peakStableTime {
		return t.size.adjust(now, withMargin(t.peak), t.peak)
	}
	return t.size.adjust(now, e.target(now, k, t.declared), withMargin(t.peak))
}

// closeTask turns the peaks of a completed task into complete samples. The
// peaks of an interrupted task stay lower bounds.
func (e *Estimator) closeTask(k *kind, t *task) {
	if t.end != EndCompleted || t.peak.IsZero() {
		return
	}
	k.cpu.observe(&t.cpu, float64(t.peak.MilliCPU))
	k.memory.observe(&t.memory, float64(t.peak.MemoryBytes))
}

// Snapshot is the learned data of an Estimator, for storage.
type Snapshot struct {
	Kinds map[string]KindSnapshot
}

// KindSnapshot is the learned data of one kind, including the lower bounds of
// tasks that were running when it was taken.
type KindSnapshot struct {
	CPU, Memory, RunTime survival
}

// Snapshot returns a copy of the learned data.
func (e *Estimator) Snapshot() Snapshot {
	out := Snapshot{Kinds: make(map[string]KindSnapshot, len(e.kinds))}
	for name, k := range e.kinds {
		out.Kinds[name] = KindSnapshot{CPU: k.cpu, Memory: k.memory, RunTime: k.runTime}
	}
	return out
}

// Restore replaces the learned data. Samples have the weight that they had when
// the snapshot was taken and decay from now on, because the clocks of two
// owners are not comparable.
func (e *Estimator) Restore(now time.Duration, s Snapshot) {
	e.kinds = make(map[string]*kind, len(s.Kinds))
	for name, ks := range s.Kinds {
		k := &kind{cpu: ks.CPU, memory: ks.Memory, runTime: ks.RunTime, usedAt: now}
		for _, v := range []*survival{&k.cpu, &k.memory, &k.runTime} {
			v.DecayedAt = now
		}
		e.kinds[name] = k
	}
}
