// Package outage detects, from the calls of one process, that a service has stopped
// answering, decides whether further calls may be sent, and adapts the timeout of calls
// to the service's answer times.
//
// # Contract
//
// A Breaker is told the start and the result of each call to the service, and is asked
// before each submission. It admits none while it is open. A submission that was not
// sent can be refused at once, is known not to have run, and is repeated by its caller.
// One that was sent into an outage waits until its deadline and ends with an unknown
// outcome. The Breaker sends nothing: its caller makes the probes it asks for, which only
// read, and waits where the decision says so.
//
// # Load
//
// Outages of 4 to 9 s of the whole service, or for this process only, in which calls are
// not answered, are refused (busy, too many calls) or lose their connection; a service
// that is 50 to 78 times slower than usual; 30% of the writes carried out but not
// acknowledged; a service that answers reads and loses writes; and a single reset of all
// idle connections, which is no outage.
//
// # State
//
// Closed admits everything. Open admits nothing. Half-open admits a bounded number of
// submissions at a time, at first one, and one more for each answered write. While a
// failure is suspected, submissions wait for a probe, in both states that admit. All
// state is in memory and belongs to one process; a new process starts closed.
//
// # Failure modes
//
// Submissions that were sent before the first failure was noticed have an unknown
// outcome. A service that answers reads and loses writes is recognised by lost writes
// only, so a few submissions are sent before it opens and one for each trial afterwards.
// If no call is made, nothing is noticed. If calls are lost at random, the Breaker opens
// only if all calls of a whole confirmation period are lost.
package outage
