// Package admission makes the worker's final decision on requests and tasks.
//
// Requests holds the request state of one worker incarnation: announced
// upstreams, slots and connections in use, and the identities of requests. Tasks
// holds the reservations of the VM's capacity. Both are plain state machines.
// Each is owned by one goroutine and takes the time as an input.
//
// # Validity of an offer
//
// An offer carries an echo, which is a reading of the worker's own clock, and a
// budget. It is valid until echo + budget on the worker's clock, so a worker
// refuses an offer that it reads from a socket after a freeze. A sender adds the
// age of the echo to the budget. An echo may be slightly ahead of the worker's
// clock if it was extrapolated on the way. Only the sum is checked: it may be at
// most MaxValidityAhead ahead of the worker's clock.
//
// # Identity memory
//
// An identity is a request ID with the state that the worker remembers for it.
// Every identity that was admitted or sealed is remembered with the end of its
// validity. An identity is forgotten only after its validity has ended and
// while no request runs under it. A forgotten identity cannot be admitted again,
// because its offers have expired. Identities are forgotten in the order in which
// their validity ends, and the latest such end is kept as the horizon. An identity
// that is not in memory and whose validity ends after the horizon was therefore
// never admitted. If its validity ends at or before the horizon, it may have been
// forgotten, and the worker answers that its state is unknown.
//
// # Seals
//
// A seal asks the worker never to run a request, and to report whether the request
// ran. A sender uses one validity for all copies of an offer and for its seal.
//
// # Refusals
//
// A refusal because of the worker's state or for lack of an upstream, a slot or a
// connection also seals the identity if the memory has room, so that a second copy
// of the offer is not admitted after the sender has acted on the refusal. A refusal
// because of the offer's target, identity or validity does not seal the identity.
// Decision.ProvenNotRun reports whether the refusal proves that the request did
// not run and will not run in this incarnation.
package admission
