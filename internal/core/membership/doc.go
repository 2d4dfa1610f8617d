// Package membership holds failure detection from heartbeats, and the views of
// a shard's members that its owner and its relay send to entries.
//
// A Sender decides when a worker sends heartbeats to one listener. A Detector
// is the listener's state (owner or relay). A Directory is an entry's merged
// view of a shard. Handling a heartbeat or a digest that changes nothing
// allocates no memory.
package membership
