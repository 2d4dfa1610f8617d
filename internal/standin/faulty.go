package standin

import (
	"context"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// FaultyTable injects faults into the calls of a table. The embedded Injector sets
// and counts the faults.
type FaultyTable struct {
	*Injector
	next platform.Table
}

var _ platform.Table = (*FaultyTable)(nil)

// NewFaultyTable returns a table that forwards to next and injects faults.
func NewFaultyTable(next platform.Table, faults *Injector) *FaultyTable {
	return &FaultyTable{Injector: faults, next: next}
}

// Commit applies the transaction unless a fault prevents it.
func (t *FaultyTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	// A late write may run after this function has returned, so the result is
	// passed through a channel instead of a shared variable.
	results := make(chan platform.TxnResult, 1)
	err := t.write(ctx, func(ctx context.Context) error {
		res, err := t.next.Commit(ctx, txn)
		if err == nil {
			results <- res
		}
		return err
	})
	if err != nil {
		return platform.TxnResult{}, err
	}
	return <-results, nil
}

// Get implements platform.Table.
func (t *FaultyTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var rows []platform.Row
	err := t.read(ctx, func(ctx context.Context) (err error) {
		rows, err = t.next.Get(ctx, keys...)
		return err
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Scan implements platform.Table.
func (t *FaultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	err := t.read(ctx, func(ctx context.Context) (err error) {
		rows, err = t.next.Scan(ctx, prefix, after, limit)
		return err
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// FaultyObjects injects faults into the calls of an object store. The embedded
// Injector sets and counts the faults.
type FaultyObjects struct {
	*Injector
	next platform.Objects
}

var _ platform.Objects = (*FaultyObjects)(nil)

// NewFaultyObjects returns an object store that forwards to next and injects
// faults.
func NewFaultyObjects(next platform.Objects, faults *Injector) *FaultyObjects {
	return &FaultyObjects{Injector: faults, next: next}
}

// Put stores the object.
func (o *FaultyObjects) Put(ctx context.Context, key string, data []byte) error {
	return o.write(ctx, func(ctx context.Context) error { return o.next.Put(ctx, key, data) })
}

// Get returns the object or platform.ErrNotFound.
func (o *FaultyObjects) Get(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	err := o.read(ctx, func(ctx context.Context) (err error) {
		data, err = o.next.Get(ctx, key)
		return err
	})
	if err != nil {
		return nil, err
	}
	return data, nil
}

// Delete removes the object.
func (o *FaultyObjects) Delete(ctx context.Context, key string) error {
	return o.write(ctx, func(ctx context.Context) error { return o.next.Delete(ctx, key) })
}

// FaultyRuntime injects faults into the calls of a task runtime. The embedded
// Injector sets and counts the faults.
type FaultyRuntime struct {
	*Injector
	next platform.Runtime
}

var _ platform.Runtime = (*FaultyRuntime)(nil)

// NewFaultyRuntime returns a task runtime that forwards to next and injects
// faults.
func NewFaultyRuntime(next platform.Runtime, faults *Injector) *FaultyRuntime {
	return &FaultyRuntime{Injector: faults, next: next}
}

// State returns the current time on the runtime's clock and the status of all
// tasks.
func (r *FaultyRuntime) State(ctx context.Context) (platform.RuntimeState, error) {
	var st platform.RuntimeState
	err := r.read(ctx, func(ctx context.Context) (err error) {
		st, err = r.next.State(ctx)
		return err
	})
	if err != nil {
		return platform.RuntimeState{}, err
	}
	return st, nil
}

// Start begins an attempt.
func (r *FaultyRuntime) Start(ctx context.Context, spec platform.StartSpec) error {
	return r.write(ctx, func(ctx context.Context) error { return r.next.Start(ctx, spec) })
}

// Renew extends the lease of an attempt.
func (r *FaultyRuntime) Renew(ctx context.Context, task types.TaskID, attempt types.Attempt, lease platform.RuntimeLease) error {
	return r.write(ctx, func(ctx context.Context) error { return r.next.Renew(ctx, task, attempt, lease) })
}

// Suspend suspends an attempt in place.
func (r *FaultyRuntime) Suspend(ctx context.Context, task types.TaskID, attempt types.Attempt) error {
	return r.write(ctx, func(ctx context.Context) error { return r.next.Suspend(ctx, task, attempt) })
}

// Throttle limits an attempt to a share, from 0 to 1, of its reservation.
func (r *FaultyRuntime) Throttle(ctx context.Context, task types.TaskID, attempt types.Attempt, share float64) error {
	return r.write(ctx, func(ctx context.Context) error { return r.next.Throttle(ctx, task, attempt, share) })
}

// Checkpoint stores the state of an attempt in the named object.
func (r *FaultyRuntime) Checkpoint(ctx context.Context, task types.TaskID, attempt types.Attempt, object string) error {
	return r.write(ctx, func(ctx context.Context) error { return r.next.Checkpoint(ctx, task, attempt, object) })
}

// Stop ends an attempt.
func (r *FaultyRuntime) Stop(ctx context.Context, task types.TaskID, attempt types.Attempt) error {
	return r.write(ctx, func(ctx context.Context) error { return r.next.Stop(ctx, task, attempt) })
}

// Forget drops a finished attempt.
func (r *FaultyRuntime) Forget(ctx context.Context, task types.TaskID, attempt types.Attempt) error {
	return r.write(ctx, func(ctx context.Context) error { return r.next.Forget(ctx, task, attempt) })
}
