// Package store is the client through which all other code accesses the
// platform's table. It groups writes, limits the rate of calls by class, backs
// off during outages and determines the outcome of writes whose answer was lost.
//
// # Uncertain writes
//
// Every transaction also writes a bookkeeping row, its lane, with the key
// "store/<name>/<class>". Only the store of that name writes it. The lane holds
// a mark (incarnation and sequence number of the transaction), and the
// transaction is conditional on the lane's revision. A store has at most one
// transaction in flight per lane. When an answer is lost, the store reads the
// lane and decides:
//
//   - The lane has the transaction's mark: the transaction was committed, at
//     the lane's revision. Other processes may have overwritten the rows of the
//     transaction since, but not the lane, so a later write by another process
//     is never mistaken for a failure.
//   - The lane is unchanged: the transaction has not been committed yet. The
//     request may still arrive, so the transaction is repeated with the same
//     condition; at most one copy can be committed. Before the store reports
//     that it was not committed, it seals the lane with a new mark, after which
//     no copy can be committed.
//   - The lane has another mark of this process: no copy can be committed any
//     more.
//   - Another incarnation took the lane over: the lane row also holds the mark
//     and the revision that it replaced, which leads to one of the cases above.
//   - Another incarnation took the lane over twice, or the lane was deleted:
//     the outcome is unknown. The caller gets an error of kind uncertain.
//
// The caller also gets an error of kind uncertain when its context ends before
// the table answered. An uncertain transaction may still be committed later,
// until another transaction of the same store and class has been committed. To
// find out, the caller reads the rows that the transaction writes. To prevent a
// late commit, it commits such a later transaction or changes a row that the
// uncertain transaction is conditional on.
//
// # Precedence and outages
//
// Classes are served in the order Lease, Claim, Placement, Report; leases also
// have a reserved share. While the table is failing, one attempt at a time is
// sent after a jittered exponential backoff. After an outage the store limits
// itself to 1.5 times its own rate from before the outage until its backlog is
// gone.
package store
