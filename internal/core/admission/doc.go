// Package admission is the worker's final decision on requests and tasks.
//
// Requests holds the state of one worker incarnation: announced upstreams,
// slots and connections in use, and the identities of requests. Tasks holds
// the reservations of the VM's capacity. Both are plain state machines that
// are owned by one goroutine; time is an input.
//
// # Validity of an offer
//
// An offer carries an echo of the worker's own clock and a budget. It is valid
// until echo + budget on the worker's clock and at no later time, so an offer
// that a worker reads from a socket after a freeze is refused. A sender that
// received the reading a while ago includes the elapsed time in the budget. A
// reading may run a little ahead where it was extrapolated on the way; only the
// sum counts, and it may lie at most MaxBudget ahead.
//
// # Identity memory
//
// Every admitted, sealed or finally refused identity is remembered with the
// end of its validity. An identity is forgotten only when its validity has
// ended and nothing runs under it: no offer can bring it back, because an
// offer is refused after its validity. Identities are forgotten in the order
// of their validity, and the latest validity forgotten is kept as the horizon.
// An identity that is not in memory and whose validity is after the horizon
// was therefore never admitted. At or before the horizon nothing is known
// about it, and the worker says so.
//
// A sender uses one validity for all copies of an offer and for its seal.
//
// # Refusals
//
// A refusal is final: the identity is sealed with it, so that a second copy of
// the offer is not admitted after the sender has acted on the refusal.
// Decision.ProvenNotRun tells whether the refusal proves that the request did not run
// and will not run in this incarnation.
package admission
