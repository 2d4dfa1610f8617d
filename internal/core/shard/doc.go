// Package shard holds the state machine of a shard's owner, and the Gate with
// which a worker checks the owner's commands.
//
// The shell calls the Owner's input methods and then Poll, and carries out
// what Poll returns: at most one table batch at a time, reads that resolve
// uncertain batches, and commands to workers. Commands may be lost; the owner
// repeats them until a report of the worker shows their effect.
//
// Relocation of a batch attempt needs proof that it no longer runs: a reported
// stop, a confirmed new incarnation whose runtime does not have it, or the end
// of the run right on the owner's clock.
package shard
