package jobs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Delays of the intake.
const (
	// commitRetryDelay is the pause before a write without a known outcome is
	// repeated.
	commitRetryDelay = 100 * time.Millisecond
	// retryAfterUnavailable is the time after which callers may try again while
	// the table refuses this entry's writes. It is short: other entries may be
	// served, and an outage may end at any moment.
	retryAfterUnavailable = time.Second
)

var (
	eventAccepted = telemetry.Define(730, logrus.InfoLevel, "job accepted",
		"The job is stored. Fields: job, queue, version of the configuration, ms, and repeat if the job had been stored before. Search the owner's log for the job's ID.")
	eventNotAccepted = telemetry.Define(731, logrus.WarnLevel, "job not accepted",
		"The caller got the answer that the job was not stored or, with kind uncertain, that it may have been stored. Fields: job, queue, version, ms, kind.")
	eventCancelled = telemetry.Define(732, logrus.InfoLevel, "job cancelled",
		"The caller's cancellation is stored. Fields: job, state before. The owner stops the job's tasks.")
)

// Intake accepts jobs, cancels them and returns their states.
type Intake struct {
	table       platform.Table
	limits      platform.Limits
	log         *telemetry.Logger
	onCancelled func(types.JobID, uint64)
	// silent reports whether the table has stopped answering calls.
	silent func() bool
	// expectedCommit returns the expected duration of a write to the table.
	expectedCommit func() time.Duration

	mu     sync.RWMutex
	states map[types.JobID]knownState
	loaded bool
	// currentAt is when the states were last known to be up to date.
	currentAt time.Time
}

// knownState is a job's state row as this process last read or wrote it.
type knownState struct {
	stateRow
	revision uint64
}

// NewIntake returns an intake. The limits are those of the table. The callback cancelled, which may be nil, is called
// with each cancelled job and the revision of its state. If the table has the
// methods Silent and ExpectedCommit, as a WatchedTable does, submissions whose
// outcome would probably stay unknown are refused without a call.
func NewIntake(table platform.Table, limits platform.Limits, log *telemetry.Logger, cancelled func(types.JobID, uint64)) *Intake {
	in := &Intake{
		table: table, limits: limits, log: log, onCancelled: cancelled, states: make(map[types.JobID]knownState),
		silent: func() bool { return false }, expectedCommit: func() time.Duration { return 0 },
	}
	if s, ok := table.(interface{ Silent() bool }); ok {
		in.silent = s.Silent
	}
	if s, ok := table.(interface{ ExpectedCommit() time.Duration }); ok {
		in.expectedCommit = s.ExpectedCommit
	}
	return in
}

// StateFollower returns the follower that keeps the states up to date.
func (in *Intake) StateFollower(changes platform.ChangeLog) *Follower {
	return &Follower{Log: changes, Prefix: prefixState, Partitions: partitionNames(), Logger: in.log, Reset: in.reset, Apply: in.apply, OnSuccess: in.markCurrent, Interval: statesInterval}
}

// StatesAge returns the time since the states were last known to be up to date, and
// false if they have not been loaded yet.
func (in *Intake) StatesAge() (time.Duration, bool) {
	in.mu.RLock()
	defer in.mu.RUnlock()
	return time.Since(in.currentAt), in.loaded
}

func (in *Intake) markCurrent() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.loaded = true
	in.currentAt = time.Now()
}

// reset replaces the states by the listed rows. States with a newer revision than
// the list stay: the list may be older than what this process has written.
func (in *Intake) reset(s platform.Snapshot) {
	listed := make(map[types.JobID]bool, len(s.Rows))
	for i := range s.Rows {
		in.recordState(&s.Rows[i])
		listed[idFromKey(s.Rows[i].Key)] = true
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for id, known := range in.states {
		if !listed[id] && known.revision <= s.Revision {
			delete(in.states, id)
		}
	}
}

func (in *Intake) apply(rows []platform.ChangedRow) {
	for i := range rows {
		if !rows[i].Deleted {
			in.recordState(&rows[i].Row)
			continue
		}
		in.mu.Lock()
		delete(in.states, idFromKey(rows[i].Key))
		in.mu.Unlock()
	}
}

// recordState records the state of a row unless a newer revision is known.
func (in *Intake) recordState(r *platform.Row) {
	row, err := decode[stateRow](r.Key, r.Value)
	if err != nil {
		in.log.Log(eventRowUnreadable, err, telemetry.Fields{"key": r.Key})
		return
	}
	id := idFromKey(r.Key)
	in.mu.Lock()
	known, ok := in.states[id]
	newer := !ok || known.revision < r.Revision
	if newer {
		in.states[id] = knownState{row, r.Revision}
	}
	in.mu.Unlock()
	if newer && row.State == workflow.JobCancelled && in.onCancelled != nil {
		in.onCancelled(id, r.Revision)
	}
}

// Submit stores a job. It returns nil if the job is stored, by this call or by an
// earlier one with the same ID; an error of kind unavailable if it certainly is not;
// an error of kind invalid if the job is too large for the table; and an error of kind
// uncertain if the outcome is unknown when the context ends. Any other error means
// that the table rejected the transaction.
func (in *Intake) Submit(ctx context.Context, job *workflow.Job, version types.Version) error {
	begin := time.Now()
	if in.stored(job.ID) {
		in.log.Log(eventAccepted, nil, telemetry.Fields{"job": job.ID, "queue": job.Queue, "version": version, "ms": 0, "repeat": true})
		return nil
	}
	row := stateRow{Queue: job.Queue, State: workflow.JobQueued, Timed: job.Occurrences > 0}
	key := stateKey(job.ID)
	spec := encode(job)
	if limit := in.limits.ValueBytes; limit > 0 && len(spec) > limit {
		return apperr.New(apperr.KindInvalid, fmt.Sprintf("job %q", job.ID), fmt.Sprintf("needs %d bytes in the table, which takes %d", len(spec), limit), "split it into smaller jobs")
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: jobKey(job.ID), Value: spec}, {Key: key, Value: encode(row)}},
		Reads:      []string{key},
	}
	stored, err := in.store(ctx, txn)
	fields := telemetry.Fields{"job": job.ID, "queue": job.Queue, "version": version, "ms": time.Since(begin).Milliseconds()}
	if err != nil {
		fields["kind"] = apperr.KindOf(err)
		in.log.Log(eventNotAccepted, err, fields)
		return err
	}
	in.recordState(&stored)
	in.log.Log(eventAccepted, nil, fields)
	return nil
}

// stored reports whether a job with the ID is known to be stored.
func (in *Intake) stored(id types.JobID) bool {
	in.mu.RLock()
	defer in.mu.RUnlock()
	_, ok := in.states[id]
	return ok
}

// Reasons for refusing a submission without a call to the table.
var (
	errTableUnresponsive = errors.New("the table has not answered for a while; nothing was sent")
	errDeadlineTooShort  = errors.New("the table takes longer for a write than the caller waits; nothing was sent")
)

// store commits a submission. It refuses one whose outcome would probably stay
// unknown, since the caller would wait without a result and could not safely
// repeat a job that may have been stored. This happens in an outage of the table,
// and when the table is many times slower than usual and refused callers retry
// shortly before their deadline.
func (in *Intake) store(ctx context.Context, txn platform.Txn) (platform.Row, error) {
	if in.silent() {
		return platform.Row{}, unavailableError(errTableUnresponsive)
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < in.expectedCommit() {
		return platform.Row{}, unavailableError(errDeadlineTooShort)
	}
	return in.commitNew(ctx, txn)
}

// commitNew commits a transaction that creates rows, and returns the last of them
// as it is stored. A conflict means that the rows already exist, from an earlier
// submission or from an attempt whose answer was lost; they may have changed since
// then. The first key in txn.Reads must be the key of the last write. The error is of
// kind unavailable only if no attempt may have been stored.
func (in *Intake) commitNew(ctx context.Context, txn platform.Txn) (platform.Row, error) {
	created := txn.Writes[len(txn.Writes)-1]
	uncertain := false
	for {
		res, err := in.table.Commit(ctx, txn)
		switch {
		case err == nil && res.Committed:
			return platform.Row{Key: created.Key, Value: created.Value, Revision: res.Revision}, nil
		case err == nil:
			return res.Rows[0], nil
		case errors.Is(err, platform.ErrUncertain):
			uncertain = true
		case !errors.Is(err, platform.ErrUnavailable):
			return platform.Row{}, err
		}
		if !uncertain {
			return platform.Row{}, unavailableError(err)
		}
		sleep(ctx, jitter(commitRetryDelay))
		if ctx.Err() != nil {
			return platform.Row{}, apperr.Wrap(err, apperr.KindUncertain, "the platform's table", "gave no answer", "submit the job again under the same ID")
		}
	}
}

func unavailableError(err error) error {
	e := apperr.From(apperr.Wrap(err, apperr.KindUnavailable, "the platform's table", "is unavailable at the moment", "try again later"))
	e.RetryAfter = retryAfterUnavailable
	return e
}

// State returns the state of a job. The error is of kind not found if the job does
// not exist, and of kind unavailable if the table cannot be read.
func (in *Intake) State(ctx context.Context, id types.JobID) (workflow.JobState, error) {
	known, err := in.known(ctx, id)
	return known.State, err
}

func (in *Intake) known(ctx context.Context, id types.JobID) (knownState, error) {
	in.mu.RLock()
	known, ok := in.states[id]
	in.mu.RUnlock()
	if ok {
		return known, nil
	}
	return in.readState(ctx, id)
}

// readState reads a job's state from the table.
func (in *Intake) readState(ctx context.Context, id types.JobID) (knownState, error) {
	key := stateKey(id)
	rows, err := in.table.Get(ctx, key)
	if err != nil {
		return knownState{}, unavailableError(err)
	}
	if rows[0].Revision == 0 {
		return knownState{}, apperr.New(apperr.KindNotFound, fmt.Sprintf("job %q", id), "does not exist", "check its ID; finished jobs are forgotten after a while")
	}
	in.recordState(&rows[0])
	row, err := decode[stateRow](key, rows[0].Value)
	return knownState{row, rows[0].Revision}, err
}

// Cancel stores that a job is cancelled. It also returns nil if the job already has
// a final state. Errors are those of State, or of kind uncertain if the table
// rejects the write or does not confirm it before the context ends.
func (in *Intake) Cancel(ctx context.Context, id types.JobID) error {
	known, err := in.known(ctx, id)
	for err == nil && !known.State.Final() {
		before := known.State
		known, err = in.tryCancel(ctx, id, known)
		if err == nil && known.State == workflow.JobCancelled {
			in.log.Log(eventCancelled, nil, telemetry.Fields{"job": id, "before": before})
			return nil
		}
	}
	return err
}

// tryCancel cancels a job if its stored state still is the known one, and returns
// the stored state. If the write failed or its outcome is unknown, it returns the
// known state, and the caller tries again unless the context has ended or the table
// has rejected the write.
func (in *Intake) tryCancel(ctx context.Context, id types.JobID, known knownState) (knownState, error) {
	key := stateKey(id)
	wanted := known.stateRow
	wanted.State = workflow.JobCancelled
	value := encode(wanted)
	res, err := in.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: known.revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
		Reads:      []string{key},
	})
	if err != nil {
		sleep(ctx, jitter(commitRetryDelay))
		if ctx.Err() != nil || !errors.Is(err, platform.ErrUncertain) && !errors.Is(err, platform.ErrUnavailable) {
			return known, apperr.Wrap(err, apperr.KindUncertain, fmt.Sprintf("cancellation of job %q", id), "got no answer from the platform's table", "send it again")
		}
		return known, nil // the caller tries again
	}
	row := platform.Row{Key: key, Value: value, Revision: res.Revision}
	if !res.Committed {
		row = res.Rows[0]
		// A deleted row means that the job was over; it counts as cancelled. An equal
		// value means that the job is already cancelled.
		if row.Revision == 0 || bytes.Equal(row.Value, value) {
			row.Value = value
		}
	}
	in.recordState(&row)
	now, err := decode[stateRow](key, row.Value)
	return knownState{now, row.Revision}, err
}

// CountQueued returns the number of the queue's jobs of which no task has started.
func (in *Intake) CountQueued(queue string) int {
	in.mu.RLock()
	defer in.mu.RUnlock()
	n := 0
	for _, s := range in.states {
		if s.Queue == queue && s.State == workflow.JobQueued {
			n++
		}
	}
	return n
}
