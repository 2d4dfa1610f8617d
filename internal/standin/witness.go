package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// maxViolations bounds each list of a ViolationRecord. Counts are not bounded.
const maxViolations = 100

// Overload is a VM whose attempts reserved more than its capacity. At is a time
// on the platform's clock.
type Overload struct {
	VM       types.VMID
	At       time.Duration
	Reserved types.Resources
	Capacity types.Resources
}

// Overlap is a pair of runs of one task that overlap in time, on two VMs or on
// the same one.
type Overlap struct {
	Task          types.TaskID
	First, Second Run
}

// Run is one uninterrupted run of an attempt. From and To are times on the
// platform's clock.
type Run struct {
	VM       types.VMID
	Attempt  types.Attempt
	From, To time.Duration
}

// RepeatedStart identifies an attempt that was started more than once.
type RepeatedStart struct {
	Task    types.TaskID
	Attempt types.Attempt
	Times   int
}

// ViolationRecord holds the violations seen so far. Each list holds at
// most 100 entries.
type ViolationRecord struct {
	OverloadCount   int
	Overloads       []Overload
	Overlaps        []Overlap
	RepeatedStarts  []RepeatedStart
	RepeatedEndings []types.TaskID
	// Completed counts the tasks that ran to completion.
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

func (w *violationRecorder) overloaded(o Overload) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.overloadCount++
	if len(w.overloads) < maxViolations {
		w.overloads = append(w.overloads, o)
	}
}

func (w *violationRecorder) started(task types.TaskID, attempt types.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.starts == nil {
		w.starts = make(map[attemptKey]int)
	}
	w.starts[attemptKey{task, attempt}]++
}

// ran records a run. Adjacent runs of one attempt are merged, so the record grows
// with the number of interruptions and not with that of reads.
func (w *violationRecorder) ran(task types.TaskID, run Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = make(map[types.TaskID][]Run)
	}
	runs := w.runs[task]
	for i := range runs {
		old := &runs[i]
		if old.VM == run.VM && old.Attempt == run.Attempt && old.To == run.From {
			old.To = run.To
			return
		}
	}
	w.runs[task] = append(runs, run)
}

func (w *violationRecorder) completed(task types.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.completions == nil {
		w.completions = make(map[types.TaskID]int)
	}
	w.completions[task]++
}

func (w *violationRecorder) snapshot() ViolationRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	rec := ViolationRecord{
		OverloadCount: w.overloadCount,
		Overloads:     slices.Clone(w.overloads),
		Completed:     len(w.completions),
	}
	for k, n := range w.starts {
		if n > 1 && len(rec.RepeatedStarts) < maxViolations {
			rec.RepeatedStarts = append(rec.RepeatedStarts, RepeatedStart{k.task, k.attempt, n})
		}
	}
	for t, n := range w.completions {
		if n > 1 && len(rec.RepeatedEndings) < maxViolations {
			rec.RepeatedEndings = append(rec.RepeatedEndings, t)
		}
	}
	for t, runs := range w.runs {
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
