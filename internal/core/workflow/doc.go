// Package workflow is the core of the scheduler for jobs that consist of steps.
//
// A job has steps of equal tasks; a step begins when the steps that it names
// are done. A standing task runs until its job is cancelled and serves users. A
// filling task uses the processors that others leave unused. An Owner holds all
// unfinished jobs of one deployment and decides where and when each task runs.
// Like the other packages of the core it has no sockets, goroutines or clock:
// methods take an input and the current time, and Next returns the orders for
// upstream workers. Batch returns the changes to make durable.
//
// # Safety
//
// A task may be started again only when its last run has provably ended or can
// no longer begin. The owner accepts as proof:
//
//   - the worker lists the end of the run,
//   - the worker has acknowledged a stop of the run and does not list the run,
//   - the worker process has ended or has been replaced by a later boot,
//   - the last lease granted to the worker has expired on the worker's clock.
//
// A task of a step with Copies may have one more run beside its current one, see
// copies.go. It starts again only when both have ended by such a proof.
//
// A new owner raises the fence of each worker to its own epoch before it relies
// on the worker's lists, so that the worker refuses later orders of the
// previous owner. Jobs accepted before the owner's term wait until every known
// worker has been reached or its lease has expired.
//
// An end is acknowledged to the worker only after the change that records it is
// durable. Until then the worker keeps listing it.
package workflow
