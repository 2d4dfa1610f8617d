// Package store is the only path to the platform's table. It groups writes,
// keeps them within a budget by class, backs off in outages and resolves
// writes whose answer was lost.
//
// # Uncertain writes
//
// Every transaction also writes one row of its own, its lane: the row
// "store/<name>/<class>", which only the store of that name writes. The lane
// holds a mark (incarnation and sequence number of the transaction), and the
// transaction is conditional on the lane's revision. A store has one
// transaction at a time in a lane. When an answer is lost, the store reads the
// lane and decides:
//
//   - the lane has the transaction's mark: it was committed, at the lane's
//     revision. Rows that it wrote may have been overwritten since; the lane is
//     not, so a later write by another process is never taken for a failure.
//   - the lane is unchanged: not committed so far. The request may still be on
//     its way, so the transaction is repeated under the same condition; at most
//     one copy can commit. Before the store reports that it was not committed,
//     it seals the lane with a new mark, after which no copy can.
//   - the lane has another mark of this process: no copy can commit any more.
//   - another incarnation took the lane over: its mark keeps the mark and the
//     revision that it replaced, which gives one of the answers above.
//   - another incarnation took the lane over twice, or the lane was deleted:
//     this cannot be known. The caller gets an error of kind uncertain.
//
// The caller also gets an error of kind uncertain when its context ends before
// the table answered. An uncertain transaction may still commit later, until
// another transaction of the same store and class has committed. Whoever acts
// on it reads the rows that it writes, and voids it by such a transaction or
// by changing a row that it is conditional on.
//
// # Precedence and outages
//
// Classes are served in the order Lease, Claim, Placement, Report; leases also
// have a reserved share. While the table fails, one attempt at a time goes out
// after a jittered exponential back-off. After an outage the store paces itself
// at 1.5 times its own rate before the outage until its backlog is gone.
package store
