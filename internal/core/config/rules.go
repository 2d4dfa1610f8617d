package config

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// JobKind is a batch job as declared in the inventory. Submitted jobs refer to
// it by name.
type JobKind struct {
	Kind string
	Team types.TeamID
	// Priority orders batch work, 0 (lowest) to 100.
	Priority int
	// Urgent jobs start within Rules.UrgentStartLimit.
	Urgent bool
	// Demand is the declared size of one task.
	Demand types.Resources
	// RunTime is the declared run time of one task.
	RunTime time.Duration
	Tasks   int
	// Gang requires all tasks to start together.
	Gang bool
	// Nightly jobs are started once in each overnight window and due at its end.
	Nightly bool
	// FailureDomains restricts placement; empty allows all.
	FailureDomains []types.FailureDomain
}

// Job returns a batch job of the kind. deadline is on the clock of the state
// machine that holds the job; zero means none.
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

// Weights states what a decision that trades one for the other should favour.
// Only their ratio matters.
type Weights struct {
	TailLatency float64
	Evictions   float64
}

// Rules are the operators' rules that hold for the whole system.
type Rules struct {
	Weights Weights
	// UrgentStartLimit bounds the time from submission to start of urgent tasks.
	UrgentStartLimit time.Duration
	// RequestDeadline bounds requests to services that declare no deadline.
	RequestDeadline time.Duration
	// RetryBudget is the share of first attempts that may get a second one.
	RetryBudget float64
	// BatchRunRight is how long batch work runs on without a confirmation by an
	// owner (R in the design).
	BatchRunRight time.Duration
	Overnight     Window
	// Guards turns the invariant checks on.
	Guards bool
}

// Window is a daily span of local time. It may cross midnight.
type Window struct {
	// Start and End are times of day, from midnight, under 24 hours.
	Start time.Duration
	End   time.Duration
	// Zone is an IANA time zone, for example "Europe/Brussels".
	Zone string
}

const day = 24 * time.Hour

// Contains reports whether a local time of day lies in the window.
func (w Window) Contains(timeOfDay time.Duration) bool {
	return w.since(timeOfDay) < w.Length()
}

// Length returns the length of the window.
func (w Window) Length() time.Duration {
	return wrapDay(w.End - w.Start)
}

// UntilEnd returns the time from a local time of day to the next end.
func (w Window) UntilEnd(timeOfDay time.Duration) time.Duration {
	return wrapDay(w.End - timeOfDay)
}

// UntilStart returns the time from a local time of day to the next start; zero
// at the start itself.
func (w Window) UntilStart(timeOfDay time.Duration) time.Duration {
	return wrapDay(w.Start - timeOfDay)
}

func (w Window) since(timeOfDay time.Duration) time.Duration {
	return wrapDay(timeOfDay - w.Start)
}

// wrapDay maps a difference of times of day to 0 up to a day.
func wrapDay(d time.Duration) time.Duration {
	return ((d % day) + day) % day
}
