// Package handover implements the decisions of a planned handover of ownership, of one in a
// quiet period, and of an emergency handover. It performs no I/O.
//
// # Planned handover
//
// Load condition: an owner stops while the table is slow. If it releases the lease
// first, the next owner begins to read the rows only after its takeover, and nothing is
// placed until it has read them.
//
// Contract: an owner that stops announces this in its lease row and continues as the
// confirmed owner. One candidate reserves the role of successor by a conditional write
// of the reservation row, which names the owner's epoch. It reads all rows, and reports
// itself ready in the reservation row. Then the owner releases the lease to it. Package
// lease decides who owns the lease; a reservation gives no right to act. So neither
// lost, late nor repeated writes of this package can lead to two owners.
//
// State: type Owner holds the owner's side for one term, type Successor the side of one
// candidate for one announcing epoch. Both measure times on their own process's clock.
// The durable state is the reservation row and the announcement in the lease row.
//
// Failure modes: a successor that writes no beat for BeatTimeout, on the clocks of the
// owner and of each other candidate, counts as dead. Another candidate replaces it, and
// the owner does not release the lease to it. Without a ready successor the owner
// releases the lease at its deadline, to no one in particular. If the owner dies, its
// lease expires as usual. The reservation row stays after a handover; a reservation for
// a later epoch replaces it.
//
// # Handover in a quiet period
//
// Load condition: the owner of a large deployment has few cores, and a larger candidate is
// alive.
//
// Contract: type Quiet decides when the owner announces a planned handover although its
// process does not stop. If no larger candidate is ready in time, or the period is no longer
// quiet, the owner withdraws the announcement and goes on.
//
// State: in memory, for one term. Failure modes are those of the planned handover; in
// addition a reservation of an earlier attempt in the same term may still be stored, which
// the caller must not pass on.
//
// # Emergency handover
//
// Load condition: the table does not serve the owner, but other entries. Jobs that these
// accept wait until the lease has expired.
//
// Contract: type Emergency decides for the owner. While its calls to the table fail it
// asks other entries to read the lease row. If one of them can, and a read of its own
// still fails, the owner yields: it ceases to act as the confirmed owner for the rest of
// the epoch and tells the other entry so. Yield.Accept decides for that entry whether it
// may take over at once. It does so by a write conditional on the revision of the row
// that it has read itself. So a yield that is old, late or repeated has no effect, and a
// yield that is lost leaves a lease that expires as usual.
//
// State: in memory, for one term.
//
// Failure modes: in an outage of the whole table no entry confirms, and the owner goes on
// as without this package. If the table serves all again, the owner's own read tells it
// so. If the entry that is yielded to does not answer, the owner, which stays
// unconfirmed, asks again and yields to another one.
package handover
