package workflow

import (
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Limits of a job.
const (
	maxSteps       = 64
	maxTasks       = 4096 // of one step; its progress row stores one bit per task
	maxOccurrences = 10000
	// maxOccurrenceTasks limits the tasks of one occurrence, over all steps: an
	// owner holds some hundred bytes for each, and one job must not exhaust the
	// memory of an entry.
	maxOccurrenceTasks = 16384
	// maxOpenTasks limits the tasks of a job's occurrences that have begun and
	// are not finished. Later occurrences wait, even if they are due.
	maxOpenTasks = 2 * maxOccurrenceTasks
	// maxAmount limits each requested resource (thousandths of a core, bytes or
	// accelerators), so that the sums over all tasks of a VM fit into 64 bits.
	// An overflowing sum turns negative and would pass every capacity check.
	maxAmount = 1 << 50
	// maxSpan limits run times, intervals and the time from the first to the
	// last occurrence, so that no sum of them overflows.
	maxSpan = 10 * 365 * 24 * time.Hour
	// maxDue limits Unix times to 200 years after 1970; a time.Duration holds
	// 292.
	maxDue = 20 * maxSpan
)

// TaskKey identifies one task: a job, its occurrence, a step and the index of
// the task in the step. All numbers count from 0.
type TaskKey struct {
	Job        types.JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the key as shown in logs.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", k.Job, k.Occurrence, k.Step, k.Index)
}

// Step is a set of equal tasks.
type Step struct {
	Tasks  int             `json:"tasks"`
	Demand types.Resources `json:"demand"`
	// RunTime is the declared run time of one task. It may be off by a factor
	// of ten.
	RunTime time.Duration `json:"run_time,omitempty"`
	// After holds the indices of earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints: a stopped task resumes from its last checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang: the tasks run together or not at all.
	Gang bool `json:"gang,omitempty"`
	// SameRack: the tasks are slower when they run on more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Copies: the tasks tolerate two overlapping runs, of which the first to
	// finish counts. The owner makes use of it if Config.Copies is set.
	Copies bool `json:"copies,omitempty"`
	// Standing tasks run until the job is cancelled.
	Standing bool `json:"standing,omitempty"`
	// Fills: the tasks use processors that other tasks leave unused; their
	// processor demand is not reserved.
	Fills bool `json:"fills,omitempty"`
	// Label is a label that the worker must have; if empty, any worker is
	// allowed.
	Label string `json:"label,omitempty"`
	// DataRack is the rack on which the tasks run fastest; empty if there is
	// none.
	DataRack types.Rack `json:"data_rack,omitempty"`
	// MaxPerVM limits the tasks of the step on one VM, per occurrence; 0 means
	// no limit.
	MaxPerVM int `json:"max_per_vm,omitempty"`
	// Image identifies the program of the tasks. Tasks of one image are
	// expected to interfere and to fail alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the highest tail latency allowed for a standing task, as
	// measured by the worker; 0 if there is no target.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// MayMiss limits the standing tasks of the step that are down at the same
	// time: one is moved off a slow worker only while fewer than MayMiss others
	// are down, for whatever reason. Stops for a draining worker are not
	// limited. 0 means no limit.
	MayMiss int `json:"may_miss,omitempty"`
}

// Job is a submitted job.
type Job struct {
	ID    types.JobID `json:"id"`
	Queue string      `json:"queue"`
	// Policy is the queue's policy at the time the job was accepted. It applies
	// only if the current configuration no longer has the queue.
	Policy Queue `json:"policy"`
	// Payload is passed to each task unchanged.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Accepted is when the job was accepted, in Unix time.
	Accepted time.Duration `json:"accepted"`
	// FirstDue is when the first occurrence is due, in Unix time; Interval is
	// the time between occurrences. Occurrences is 0 for a job that runs once,
	// immediately.
	FirstDue    time.Duration `json:"first_due,omitempty"`
	Interval    time.Duration `json:"interval,omitempty"`
	Occurrences int           `json:"occurrences,omitempty"`
}

// Check returns an error of kind invalid for the first field that makes the job
// impossible to run.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return j.invalid(fmt.Sprintf("has %d steps", len(j.Steps)), fmt.Sprintf("give it 1 to %d steps", maxSteps))
	}
	if err := j.checkOccurrences(); err != nil {
		return err
	}
	if n := j.tasks(); n > maxOccurrenceTasks {
		return j.invalid(fmt.Sprintf("has %d tasks", n), fmt.Sprintf("split it into jobs of at most %d tasks", maxOccurrenceTasks))
	}
	for i := range j.Steps {
		if err := j.checkStep(i); err != nil {
			return err
		}
	}
	return nil
}

func (j *Job) invalid(problem, remedy string) error {
	return apperr.New(apperr.KindInvalid, fmt.Sprintf("job %q", j.ID), problem, remedy)
}

// checkOccurrences checks the number and the times of the occurrences.
func (j *Job) checkOccurrences() error {
	if j.Occurrences < 0 || j.Occurrences > maxOccurrences || j.Interval < 0 {
		return j.invalid("has a negative interval, or an occurrence count that is negative or above the limit", fmt.Sprintf("use an interval of 0 or more and an occurrence count of 0 to %d", maxOccurrences))
	}
	// Dividing the interval by maxOccurrences first keeps the product from
	// overflowing.
	span := time.Duration(j.Occurrences) * (j.Interval / maxOccurrences)
	if j.FirstDue < 0 || j.FirstDue > maxDue || j.Interval > maxSpan || span > maxSpan/maxOccurrences {
		return j.invalid("has a negative first due time, or occurrences that are due too far in the future", "let the first one be due from 1970 to 2169, use an interval of at most ten years, and let the last one be due within ten years of the first")
	}
	return nil
}

// checkStep checks one step and its dependencies.
func (j *Job) checkStep(i int) error {
	s := &j.Steps[i]
	if s.Tasks < 1 || s.Tasks > maxTasks {
		return j.invalid(fmt.Sprintf("step %d has %d tasks", i, s.Tasks), fmt.Sprintf("give it 1 to %d tasks", maxTasks))
	}
	if s.Demand.Negative() || s.MaxPerVM < 0 || s.RunTime < 0 || s.MayMiss < 0 || s.TailTarget < 0 {
		return j.invalid(fmt.Sprintf("step %d has a negative demand, limit, run time or target", i), "use values of 0 or more")
	}
	if max(s.Demand.MilliCPU, s.Demand.MemoryBytes, s.Demand.Accelerators) > maxAmount || s.RunTime > maxSpan {
		return j.invalid(fmt.Sprintf("step %d requests more of a resource than any VM has, or declares a run time over ten years", i), "check the units of the demand and the run time")
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return j.invalid(fmt.Sprintf("step %d depends on step %d", i, a), "name only earlier steps")
		}
	}
	return nil
}

// Work returns the declared work of one occurrence in core-seconds. Standing tasks, which
// have no end, do not count.
func (j *Job) Work() float64 {
	work := 0.0
	for i := range j.Steps {
		if s := &j.Steps[i]; !s.Standing {
			work += float64(s.Tasks) * s.RunTime.Seconds() * float64(s.Demand.MilliCPU) / 1000
		}
	}
	return work
}

// tasks returns the number of tasks of one occurrence. A step with more tasks
// than allowed counts as maxTasks+1, so that the sum cannot overflow.
func (j *Job) tasks() int {
	n := 0
	for i := range j.Steps {
		n += max(0, min(j.Steps[i].Tasks, maxTasks+1))
	}
	return n
}

// Queue is the policy for the jobs of one queue.
type Queue struct {
	Name    string            `json:"name"`
	Service types.ServiceName `json:"service"`
	// Priority orders queues; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many runs of a task may fail before its job fails; 0
	// means no limit.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Stretch and Target define a job's objective: it should be done within
	// Stretch times the critical path of its estimated run times, plus Target,
	// after it is due.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"target,omitempty"`
	// Advised: a step of the queue's jobs may run only on workers for which the
	// policy service has issued a ticket.
	Advised bool `json:"advised,omitempty"`
}

// JobState is the state of a job as shown to callers.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state is final.
func (s JobState) Final() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}
