// Package overload decides which work is delayed when there is more work than capacity,
// so that callers lose the least. It has no sockets, goroutines or clock; the owner of
// jobs (internal/core/workflow) passes it times and measurements.
//
// # Contract
//
//   - Predict returns when jobs that arrive now would complete, by queue and size class.
//     It has no state; Arrivals records what has arrived.
//   - Admission decides in an entry by such a forecast which submissions are rejected, and
//     when their callers should retry. Without a forecast that can be used it admits all.
//   - Plan decides which occurrences of jobs are planned to be in time and which are
//     deferred. It changes only the order of work: deferred work is neither stopped nor
//     lost, and goes on as soon as capacity is free.
//   - Throughput is the smoothed rate at which the planned kind of work is done.
//   - Classes records, by queue, how often large occurrences are in time compared with
//     all of the queue, and says which ones must not be deferred for their size.
//   - DelayCost is what slowing down a running task costs callers. When some tasks must
//     be slowed down, those with the lowest cost for the effect go first.
//
// What must never happen: an occurrence is planned and deferred at once or neither, the
// planned work exceeds the throughput up to a due time, two calls with the same input
// differ, or a size class is deferred for good. No job is rejected while capacity is free,
// by a forecast that is old, of a former owner or of unknown age, or while its size class
// is admitted less than minAdmitted times as often as its queue.
//
// # Load
//
// A burst of large jobs for seconds, with more work than the processors that standing
// tasks leave unused can do in time. Started first and least remaining work first, most
// jobs are a little late. Ordered by due time alone, all of them are.
//
// Overload of several times the capacity for longer: most jobs are accepted and abandoned.
// Those that would complete when they are worthless are rejected at once instead.
//
// # State
//
// Throughput and Classes live in the owner's memory. A new owner starts without them: the
// first measurement sets the throughput, and no class is protected until occurrences have
// missed their due times under the new owner. Plan, Predict and DelayCost have no state.
// Arrivals is the owner's, and is empty in a new owner but for the jobs that it reads.
// Admission is the entry's: the forecast as read, the admitted shares, and the rejected
// jobs whose callers may return.
//
// # Failure modes
//
//   - Estimates of work that are too low, or a throughput that falls: planned occurrences
//     are late. They leave the plan once they cannot be in time, and the others get their
//     share, since the plan is made anew in each placement pass.
//   - A throughput measured too low, since little work was there: occurrences are deferred
//     that would be in time. This has no effect while capacity is free, and ends within
//     seconds once the work that is there uses it. The caller sets a lower bound.
//   - A forecast is wrong, or the run times in it are: jobs are rejected that would have
//     been served, or accepted and abandoned. The margin, the minimum share of each class
//     and the next forecast bound this.
//   - No occurrence can be in time: all are deferred, and the caller's order among
//     deferred work applies.
package overload
