// Package outage detects, from the calls of one process, that a service has stopped
// answering, and adapts the timeout of calls to the service's answer times.
//
// A silent service is one that accepts calls but does not answer them. Without a
// Detector, each request during an outage is sent, waits until its deadline and
// ends with an unknown outcome. A request that is not sent can be refused at once,
// and is known not to have run.
package outage
