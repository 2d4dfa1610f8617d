// Package runtimes learns how long tasks run compared with their requested time, also
// when a few of them run many times as long as the others. It has no sockets, goroutines
// or clock; the owner of jobs (internal/core/workflow) passes it the run times.
//
// # Contract
//
//   - Ratios are run times divided by requested times. A Distribution of ratios is kept
//     by queue and image, and older tasks lose weight.
//   - Remaining is the expected rest of a run that has lasted for some time. It is
//     conditional on that time, so it rises once all but the tail has ended.
//   - Max is the expected longest of n runs, which is what a step of n tasks waits for.
//   - LearnStopped takes a run that was stopped before its end. It counts as one that
//     would have ended at some later time. Without it, stopping the losing run of a task
//     would make the tail disappear from the distribution.
//   - Until minTasks runs of a kind have been learned, all answers are those of tasks that
//     run exactly for their requested time.
//   - The cost of learning and of each answer does not depend on the number of tasks.
//
// What must never happen: an answer that is negative, infinite or not a number; quantiles
// that fall as the share rises; a maximum that falls as the number of runs rises; memory
// that grows with the number of queues and images that ever existed.
//
// # Load
//
// Queues in which 3% of the run times are seven times as long as the others. Their mean is
// 1.18 times the usual run time, but a step of 20 tasks has a long one in 46% of all cases,
// and a run that has lasted for twice the usual time has five times that time left.
//
// # State
//
// One histogram of bins ratios for each kind, at most maxKinds of them, in the memory of
// the owner. A new owner learns again; minTasks runs take seconds under load.
//
// # Failure modes
//
//   - A queue or image changes its run times: the answers follow within memory runs.
//   - Run times are requested wrongly by job and not by queue: the distribution is wide,
//     and the tail cannot be told from a job that was requested too short. The caller
//     scales by what it knows of the job.
//   - No run as long as the current one is known: the rest is taken to be as long as what
//     has passed.
package runtimes
