package overload

// Costs of delaying a running task by a time, relative to a task of a job in time.
const (
	// lateCost is for jobs that are late already: a further delay seldom changes what
	// their callers get.
	lateCost   = 0.2
	inTimeCost = 1.0
	// lastCost is for the last tasks of a step, which hold up the whole job.
	lastCost = 3.0
	// The last tasks are those left when a quarter of the step's tasks, or lastTasks,
	// are not done. In a trial the last tenth of the tasks of a wide step took 2.1 s of
	// 5.8 s (docs/POLICY.md).
	lastFraction = 4
	lastTasks    = 2
)

// DelayCost returns what slowing down a running task costs callers, given whether its
// job is late, and how many of its step's tasks are not done.
func DelayCost(late bool, left, tasks int) float64 {
	switch {
	case late:
		return lateCost
	case left <= lastTasks || left*lastFraction <= tasks:
		return lastCost
	default:
		return inTimeCost
	}
}
