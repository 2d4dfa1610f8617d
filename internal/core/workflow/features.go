package workflow

// Mechanisms that can be switched off one by one, to measure what each of them
// contributes.
const (
	// onTimePlan: filling work that can be in time goes by a plan, see overload.Plan.
	onTimePlan = true
	// protectedClasses: the plan does not defer size classes that are served too seldom,
	// see overload.Classes.
	protectedClasses = true
	// paceByDelayCost: filling tasks are slowed down by their interference and
	// overload.DelayCost, otherwise by the load that they add.
	paceByDelayCost = true
	// forecastAdmission: the owner forecasts when the jobs of each queue complete, and
	// entries reject those that would be worthless by then, see overload.Admission.
	forecastAdmission = true
	// preemptForPriority: work of lower priorities is stopped for work of priority 0, see
	// overload.Preempt.
	preemptForPriority = true
	// headroomForShortWork: standing tasks wait for a bounded time before they take what
	// short work usually uses, see overload.Headroom.
	headroomForShortWork = true
	// tailAwareSlowness: a long task is no evidence against its VM while others ran there
	// at normal speed, see exemptStragglers. It does not depend on Config.Copies.
	tailAwareSlowness = true
	// stragglerCopies: stragglers get a second run, see startCopies.
	stragglerCopies = true
	// longestTaskForecast: a step is expected to take as long as its longest task, see
	// stepTime. It is off since the expected maximum of 20 tasks with a tail of 3% is 3.7
	// run times, so that all such steps would be placed as late, although more than half
	// of them have no long task.
	longestTaskForecast = false
)
