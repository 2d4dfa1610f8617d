package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// maxViolations is the maximum length of each list of a ViolationRecord.
// OverloadCount is not limited.
const maxViolations = 100

// Overload records that the live attempts on a VM reserved more than its
// capacity. At is the time on the platform's clock.
type Overload struct {
	VM       types.VMID
	At       time.Duration
	Reserved types.Resources
	Capacity types.Resources
}

// Overlap is a pair of runs of one task that overlap in time, on two VMs or on
// the same one.
type Overlap struct {
	Task types.TaskID
	// First started no later than Second.
	First, Second Run
}

// Run is one uninterrupted interval in which an attempt ran. From and To are
// times on the platform's clock.
type Run struct {
	VM       types.VMID
	Attempt  types.Attempt
	From, To time.Duration
}

// RepeatedStart identifies an attempt that was started more than once.
type RepeatedStart struct {
	Task    types.TaskID
	Attempt types.Attempt
	Times   int // number of starts
}

// ViolationRecord holds the violations seen so far. Each list holds at
// most 100 entries.
type ViolationRecord struct {
	OverloadCount  int
	Overloads      []Overload
	Overlaps       []Overlap
	RepeatedStarts []RepeatedStart
	// RepeatedEndings lists the tasks that completed more than once.
	RepeatedEndings []types.TaskID
	// Completed counts the tasks that ran to completion, each once.
	Completed int
}

// Clean reports whether no violation was recorded.
func (r ViolationRecord) Clean() bool {
	return r.OverloadCount == 0 && len(r.Overlaps) == 0 &&
		len(r.RepeatedStarts) == 0 && len(r.RepeatedEndings) == 0
}

type attemptKey struct {
	task    types.TaskID
	attempt types.Attempt
}

type violationRecorder struct {
	mu            sync.Mutex
	overloadCount int
	overloads     []Overload
	runs          map[types.TaskID][]Run
	starts        map[attemptKey]int
	completions   map[types.TaskID]int
}

// overloaded records an overload.
func (r *violationRecorder) overloaded(o Overload) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloadCount++
	if len(r.overloads) < maxViolations {
		r.overloads = append(r.overloads, o)
	}
}

// started records a start of an attempt.
func (r *violationRecorder) started(task types.TaskID, attempt types.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starts == nil {
		r.starts = make(map[attemptKey]int)
	}
	r.starts[attemptKey{task, attempt}]++
}

// ran records a run. Adjacent runs of one attempt are merged, so that the record
// grows with the number of interruptions, not with the number of status reads.
func (r *violationRecorder) ran(task types.TaskID, run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[types.TaskID][]Run)
	}
	runs := r.runs[task]
	for i := range runs {
		old := &runs[i]
		if old.VM == run.VM && old.Attempt == run.Attempt && old.To == run.From {
			old.To = run.To
			return
		}
	}
	r.runs[task] = append(runs, run)
}

// completed records the completion of a task.
func (r *violationRecorder) completed(task types.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.completions == nil {
		r.completions = make(map[types.TaskID]int)
	}
	r.completions[task]++
}

// snapshot returns a copy of the violations, with overlaps and repeated starts
// computed from the recorded runs and starts.
func (r *violationRecorder) snapshot() ViolationRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := ViolationRecord{
		OverloadCount: r.overloadCount,
		Overloads:     slices.Clone(r.overloads),
		Completed:     len(r.completions),
	}
	for k, n := range r.starts {
		if n > 1 && len(rec.RepeatedStarts) < maxViolations {
			rec.RepeatedStarts = append(rec.RepeatedStarts, RepeatedStart{k.task, k.attempt, n})
		}
	}
	for t, n := range r.completions {
		if n > 1 && len(rec.RepeatedEndings) < maxViolations {
			rec.RepeatedEndings = append(rec.RepeatedEndings, t)
		}
	}
	for t, runs := range r.runs {
		rec.Overlaps = append(rec.Overlaps, findOverlaps(t, runs)...)
	}
	if len(rec.Overlaps) > maxViolations {
		rec.Overlaps = rec.Overlaps[:maxViolations]
	}
	return rec
}

func findOverlaps(task types.TaskID, runs []Run) []Overlap {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b Run) int { return int(a.From - b.From) })
	var found []Overlap
	for i, a := range sorted {
		for _, b := range sorted[i+1:] {
			if b.From >= a.To {
				break
			}
			found = append(found, Overlap{Task: task, First: a, Second: b})
		}
	}
	return found
}
