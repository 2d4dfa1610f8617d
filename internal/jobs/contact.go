package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// tableContact records whether the table answers the calls of a candidate or owner.
type tableContact struct {
	mu         sync.Mutex
	answeredAt time.Duration
	failed     int // calls that have failed since
	// failedSince is when the first of them began.
	failedSince time.Duration
}

// record records the end of a call that began at a time. Calls that were given up, or
// that the client has rejected without sending them, prove nothing. Nor does the answer to
// a call that began before the first one that failed: waits for changes that the table
// began to serve may still be answered while it refuses new calls.
func (c *tableContact) record(ctx context.Context, began time.Duration, err error) {
	if errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, platform.ErrRejected) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || errors.Is(err, platform.ErrCompacted) {
		if c.failed == 0 || began > c.failedSince {
			c.answeredAt, c.failed = clock.Now(), 0
		}
		return
	}
	if c.failed == 0 {
		c.failedSince = began
	}
	c.failed++
}

// state returns when a call was last answered, and the calls that have failed since.
func (c *tableContact) state() (answeredAt time.Duration, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredAt, c.failed
}

// contactTable is a table whose calls are recorded.
type contactTable struct {
	platform.Table
	contact *tableContact
}

// Commit implements platform.Table.
func (t contactTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	began := clock.Now()
	res, err := t.Table.Commit(ctx, txn)
	t.contact.record(ctx, began, err)
	return res, err
}

// Get implements platform.Table.
func (t contactTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	began := clock.Now()
	rows, err := t.Table.Get(ctx, keys...)
	t.contact.record(ctx, began, err)
	return rows, err
}

// contactChanges is a change log whose calls are recorded.
type contactChanges struct {
	platform.ChangeLog
	contact *tableContact
}

// List implements platform.ChangeLog.
func (l contactChanges) List(ctx context.Context, prefix string) (platform.Snapshot, error) {
	began := clock.Now()
	s, err := l.ChangeLog.List(ctx, prefix)
	l.contact.record(ctx, began, err)
	return s, err
}

// Changes implements platform.ChangeLog.
func (l contactChanges) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.ChangedRow, uint64, error) {
	began := clock.Now()
	rows, revision, err := l.ChangeLog.Changes(ctx, prefix, after, wait)
	l.contact.record(ctx, began, err)
	return rows, revision, err
}
