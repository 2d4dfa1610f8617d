// Package shard implements the state machine of a shard's owner, and the Gate
// that checks the owner's commands on a worker.
//
// The state machine does no I/O. The caller calls the Owner's input methods and
// then Poll, and executes the returned Output: at most one table batch at a
// time, reads that resolve uncertain batches, and commands to workers. Commands
// may be lost. The owner repeats them until a report of the worker shows their
// effect.
//
// A worker may run batch attempts only while it has a run right. Each
// acknowledged heartbeat grants or extends the run right for the duration R,
// Config.RunRight.
//
// A batch task is placed again only when its previous attempt is proven to have
// stopped: by a reported stop, by a confirmed new worker incarnation whose
// runtime does not list the attempt, or by the end of the run right on the
// owner's clock.
package shard
