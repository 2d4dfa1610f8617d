package platform

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that the table no longer holds the changes since the
// requested revision. The caller has to list the rows again.
var ErrCompacted = errors.New("platform table no longer holds the changes since the requested revision")

// ChangedRow is the state of a row after a change.
type ChangedRow struct {
	Row
	Deleted bool
}

// Snapshot holds rows and a revision of the whole table from which Changes can
// continue.
type Snapshot struct {
	Rows     []Row
	Revision uint64
}

// ChangeLog lists ranges of the table and returns their changes. A prefix ends
// with a slash.
type ChangeLog interface {
	// List returns all rows with the prefix, which names a table or one of its
	// partitions. Rows may be newer than the snapshot's revision, but never older.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Changes waits up to the duration wait for changes after the revision after, in
	// all rows with the prefix, which names a whole table. It returns them in order
	// with the revision to continue from, no rows if there was no change in that
	// time, and ErrCompacted if the table no longer holds the changes.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]ChangedRow, uint64, error)
}
