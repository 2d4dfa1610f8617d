package config

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// JobKind is a kind of batch job as declared in the inventory. Submitted jobs
// refer to it by name.
type JobKind struct {
	Kind string
	Team types.TeamID
	// Priority orders batch work, 0 (lowest) to 100.
	Priority int
	// Urgent jobs must start within Rules.UrgentStartLimit.
	Urgent bool
	// Demand is the declared resource demand of one task.
	Demand types.Resources
	// RunTime is the declared run time of one task.
	RunTime time.Duration
	Tasks   int
	// Gang requires all tasks to start together.
	Gang bool
	// Nightly jobs are started once in each overnight window. Their deadline is
	// the end of the window.
	Nightly bool
	// FailureDomains restricts placement; empty allows all.
	FailureDomains []types.FailureDomain
}

// Job returns a batch job of this kind. deadline is a reading of the clock of
// the state machine that manages the job; zero means none.
func (k *JobKind) Job(id types.JobID, deadline time.Duration) types.Job {
	return types.Job{
		ID:             id,
		Kind:           k.Kind,
		Team:           k.Team,
		Class:          types.ClassBatch,
		Priority:       k.Priority,
		Urgent:         k.Urgent,
		Demand:         k.Demand,
		RunTime:        k.RunTime,
		Tasks:          k.Tasks,
		Gang:           k.Gang,
		Deadline:       deadline,
		FailureDomains: k.FailureDomains,
	}
}

// Weights sets the relative importance of tail latency and evictions in
// decisions that trade one for the other. Only the ratio matters.
type Weights struct {
	TailLatency float64
	Evictions   float64
}

// Rules are the rules that operators set for the whole system.
type Rules struct {
	Weights Weights
	// UrgentStartLimit is the maximum time from submission to start of urgent
	// tasks.
	UrgentStartLimit time.Duration
	// RequestDeadline is the deadline of requests to services that declare
	// none.
	RequestDeadline time.Duration
	// RetryBudget is the maximum number of retries per first attempt (0 to 1).
	RetryBudget float64
	// BatchRunRight is how long batch work may continue after the last
	// confirmation by an owner.
	BatchRunRight time.Duration
	Overnight     Window
	// Guards enables the invariant checks of package guard.
	Guards bool
	// Evacuate are the failure domains that the inventory evacuates, and
	// EvacuateByCommand those that operators evacuate by command. New, Apply and
	// Decode return both sorted and without duplicates. Without any, the rules
	// have the same encoding as before these fields existed.
	Evacuate          []types.FailureDomain `json:",omitempty"`
	EvacuateByCommand []types.FailureDomain `json:",omitempty"`
}

// Window is a daily period of local time. It may cross midnight. If Start equals
// End, the window is empty.
type Window struct {
	// Start and End are times of day, counted from midnight, less than 24
	// hours.
	Start time.Duration
	End   time.Duration
	// Zone is an IANA time zone, for example "Europe/Brussels".
	Zone string
}

const day = 24 * time.Hour

// Contains reports whether a local time of day is in the window. The start
// belongs to the window and the end does not.
func (w Window) Contains(timeOfDay time.Duration) bool {
	return w.since(timeOfDay) < w.Length()
}

// Length returns the length of the window.
func (w Window) Length() time.Duration {
	return wrapDay(w.End - w.Start)
}

// UntilEnd returns the time from a local time of day to the next end of the
// window.
func (w Window) UntilEnd(timeOfDay time.Duration) time.Duration {
	return wrapDay(w.End - timeOfDay)
}

// UntilStart returns the time from a local time of day to the next start of the
// window. It is zero at the start itself.
func (w Window) UntilStart(timeOfDay time.Duration) time.Duration {
	return wrapDay(w.Start - timeOfDay)
}

func (w Window) since(timeOfDay time.Duration) time.Duration {
	return wrapDay(timeOfDay - w.Start)
}

// wrapDay maps a difference of times of day to the range from 0 to less than 24
// hours.
func wrapDay(d time.Duration) time.Duration {
	return ((d % day) + day) % day
}
