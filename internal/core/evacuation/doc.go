// Package evacuation merges what one process reads of the operator's requests to
// evacuate failure domains into the set of domains that are evacuated now.
//
// # Contract
//
// Input is what the table returns: snapshots, which name every request that exists,
// and single changes, each with its revision. Both may arrive more than once, late and
// in any order, since a process follows the changes and at the same time lists the rows
// after a takeover or after the history was dropped. For each failure domain a Set
// holds the state as of the highest revision that it has been shown, and never returns
// to an earlier one: an old snapshot neither ends an evacuation that began after it nor
// resumes one that ended after it.
//
// # Load
//
// A failure domain is evacuated before it is taken out of service, often while the
// table is slow and owners change. From the acknowledgement of the request on, no task
// may start there, so every candidate for ownership holds a Set at all times.
//
// # State
//
// A Set holds one entry for each failure domain that was requested, and for each whose
// request was deleted after the last snapshot. It is not durable; it is rebuilt from a
// snapshot. Revisions are those of the whole table and only increase.
//
// # Failure modes
//
//   - Nothing has been read yet: the Set is empty. The caller must apply a snapshot
//     before it relies on the Set.
//   - Changes stop arriving: the Set keeps its last state.
//   - The table's revisions start again from a lower value: changes are ignored until
//     the revisions exceed the earlier ones. The users' platform excludes this.
//   - A failure domain without VMs is part of the set like any other; the caller warns
//     of it.
package evacuation
