// Package membership implements failure detection by heartbeats. It also
// implements the views of a shard's members that the shard's owner and relay
// send to entries.
//
// Workers send heartbeats to two listeners: the owner and the relay of their
// shard. The relay is a second worker of the shard, appointed by the owner, that
// also receives heartbeats and sends digests to entries. While one listener is
// silent, entries use the view of the other. A Sender decides when a worker sends
// heartbeats to one listener. A Detector is the state of a listener. A Directory
// is an entry's view of a shard, merged from the views of both listeners.
// Handling a heartbeat or digest that changes nothing does not allocate memory.
package membership
