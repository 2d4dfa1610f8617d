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
	"github.com/boragecrank/boragecrank/internal/core/outage"
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
	// minRetryAfter is the least time after which callers may try again while the
	// table refuses this entry's writes. It is short: other entries may be served, and
	// an outage may end at any moment.
	minRetryAfter = time.Second
)

var (
	eventAccepted = telemetry.Define(730, logrus.InfoLevel, "job accepted",
		"The job is stored. Fields: job, queue, work in declared core-seconds, version of the configuration, ms, and repeat if the job had been stored before; by, the entry that has stored it, if it was forwarded (745). Search the owner's log for the job's ID.")
	eventNotAccepted = telemetry.Define(731, logrus.WarnLevel, "job not accepted",
		"The caller got the answer that the job was not stored or, with kind uncertain, that it may have been stored. Fields: job, queue, version, ms, kind; cause, if the job was not sent or was refused; with the cause forecast also expected_ms, limit_ms and retry_ms.")
	eventCancelled = telemetry.Define(732, logrus.InfoLevel, "job cancelled",
		"The caller's cancellation is stored. Fields: job, state before. The owner stops the job's tasks.")
	eventReadBack = telemetry.Define(734, logrus.InfoLevel, "job found after a lost response",
		"The response to a submission was lost, and a read showed that the job is stored; 730 follows. Fields: job. No action.")
	eventNotCancelled = telemetry.Define(735, logrus.WarnLevel, "job not cancelled",
		"The caller got the answer that the job was not cancelled or, with kind uncertain, that it may have been. Fields: job, kind. Check the platform's store.")
)

// gate decides when writes of callers are sent to the table. A WatchedTable is one.
type gate interface {
	// Admit waits until a write of the row with the key may be sent. An error means
	// that it was not sent. Done must be called after an admitted write. resend is set if the write was sent
	// before and its outcome is unknown.
	Admit(ctx context.Context, key string, resend bool) error
	Done(key string)
	// RetryAfter returns when a caller that is refused now should retry; 0 means as
	// soon as possible.
	RetryAfter(key string) time.Duration
	// ExpectedCommit returns the expected duration of a write.
	ExpectedCommit() time.Duration
	// CountRefusal counts a refused submission.
	CountRefusal(cause string)
}

// openGate admits everything.
type openGate struct{}

func (openGate) Admit(context.Context, string, bool) error { return nil }
func (openGate) Done(string)                               {}
func (openGate) RetryAfter(string) time.Duration           { return 0 }
func (openGate) ExpectedCommit() time.Duration             { return 0 }
func (openGate) CountRefusal(string)                       {}

// Intake accepts jobs, cancels them and returns their states.
type Intake struct {
	table       platform.Table
	limits      platform.Limits
	log         *telemetry.Logger
	onCancelled func(types.JobID, uint64)
	gate        gate
	forecast    *ForecastReader
	// forwarder forwards submissions that the table does not serve; nil if none are.
	forwarder *Forwarder

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
// with each cancelled job and the revision of its state. If the table is a gate, as a
// WatchedTable is, writes whose outcome would probably stay unknown are not sent.
func NewIntake(table platform.Table, limits platform.Limits, log *telemetry.Logger, cancelled func(types.JobID, uint64)) *Intake {
	in := &Intake{
		table: table, limits: limits, log: log, onCancelled: cancelled, states: make(map[types.JobID]knownState),
		gate: openGate{},
	}
	if g, ok := table.(gate); ok {
		in.gate = g
	}
	return in
}

// UseForecast makes the intake reject submissions by the owner's forecast. It must be
// called before the first submission.
func (in *Intake) UseForecast(r *ForecastReader) { in.forecast = r }

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
	return in.submit(ctx, job, version, false)
}

// submit stores a job. forwarded is set for one that another entry has forwarded, which is
// not forwarded again.
func (in *Intake) submit(ctx context.Context, job *workflow.Job, version types.Version, forwarded bool) error {
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
	forwarder := in.forwarder
	if forwarded {
		forwarder = nil
	}
	fields := telemetry.Fields{"job": job.ID, "queue": job.Queue, "work": job.Work(), "version": version}
	var stored platform.Row
	var err error
	if !forwarded { // the entry that forwards has checked it
		if err = in.checkForecast(job, fields); err != nil && !in.certainlyNotStored(ctx, job.ID) {
			err = nil // the write finds out, and a stored job is accepted
		}
	}
	if err == nil {
		in.forecast.begin(job.ID)
		stored, err = in.commitNew(ctx, job.ID, txn, func(cause error) (ForwardAnswer, bool) {
			answer, ok := forwarder.forward(ctx, ForwardedJob{ID: job.ID, Spec: spec, Version: version}, cause)
			if ok && answer.Outcome == outage.ForwardAccepted {
				fields["by"] = answer.By
			}
			return answer, ok
		})
	}
	fields["ms"] = time.Since(begin).Milliseconds()
	if err != nil {
		fields["kind"] = apperr.KindOf(err)
		if apperr.KindOf(err) == apperr.KindUnavailable {
			fields["cause"] = refusalCause(err)
			in.gate.CountRefusal(refusalCause(err))
		}
		in.log.Log(eventNotAccepted, err, fields)
		return err
	}
	in.recordState(&stored)
	in.forecast.end(job.ID)
	in.log.Log(eventAccepted, nil, fields)
	return nil
}

// certainlyNotStored reports whether a read shows that a job is not stored. Another entry
// may have stored it since the states were last read, and its response may have been lost.
func (in *Intake) certainlyNotStored(ctx context.Context, id types.JobID) bool {
	_, err := in.readState(ctx, id)
	return apperr.KindOf(err) == apperr.KindNotFound
}

// checkForecast returns an error of kind unavailable if the forecast rejects the job, and
// adds fields for the log.
func (in *Intake) checkForecast(job *workflow.Job, fields telemetry.Fields) error {
	age, loaded := in.StatesAge()
	return in.forecast.check(job, loaded && age <= maxStatesAge, fields)
}

// stored reports whether a job with the ID is known to be stored.
func (in *Intake) stored(id types.JobID) bool {
	in.mu.RLock()
	defer in.mu.RUnlock()
	_, ok := in.states[id]
	return ok
}

var errDeadlineTooShort = errors.New("the table takes longer for a write than the caller waits; nothing was sent")

// refusalCause returns the label of the reason for which a submission was refused.
func refusalCause(err error) string {
	switch {
	case errors.Is(err, errTableUnresponsive):
		return "outage"
	case errors.Is(err, errOutageSuspected):
		return "outage_suspected"
	case errors.Is(err, errResumingGradually):
		return "resuming"
	case errors.Is(err, errDeadlineTooShort):
		return "deadline"
	case errors.Is(err, errForecastOver):
		return "forecast"
	}
	return "refused_by_table"
}

// send commits a transaction if the gate admits it and, for one that was not sent
// before, the caller waits for long enough. sent is false if it was not sent. An
// unknown outcome leaves a caller without a result, and the job may be stored; when
// the table is many times slower than usual, this would be the fate of refused callers
// that retry shortly before their deadline.
func (in *Intake) send(ctx context.Context, txn platform.Txn, resend bool) (res platform.TxnResult, sent bool, err error) {
	key := txn.Conditions[0].Key
	if err := in.gate.Admit(ctx, key, resend); err != nil {
		return res, false, err
	}
	defer in.gate.Done(key)
	if deadline, ok := ctx.Deadline(); ok && !resend && time.Until(deadline) < in.gate.ExpectedCommit() {
		return res, false, errDeadlineTooShort
	}
	res, err = in.table.Commit(ctx, txn)
	return res, true, err
}

// commitNew commits a transaction that creates rows of a job, and returns the last of
// them as it is stored. A conflict means that the rows already exist, from an earlier
// submission or from an attempt whose answer was lost; they may have changed since
// then. The first key in txn.Reads must be the key of the last write. The error is of
// kind unavailable only if no attempt may have been stored. An attempt that was not sent is
// passed to forward, which returns false if it has not forwarded the job.
func (in *Intake) commitNew(ctx context.Context, id types.JobID, txn platform.Txn, forward func(cause error) (ForwardAnswer, bool)) (_ platform.Row, failed error) {
	created := txn.Writes[len(txn.Writes)-1]
	uncertain := in.forwarder.begin(id)
	defer func() { in.forwarder.end(id, failed != nil && apperr.KindOf(failed) != apperr.KindUnavailable) }()
	for {
		res, sent, err := in.send(ctx, txn, uncertain)
		switch {
		case err == nil && res.Committed:
			return platform.Row{Key: created.Key, Value: created.Value, Revision: res.Revision}, nil
		case err == nil:
			return res.Rows[0], nil
		case errors.Is(err, platform.ErrUncertain):
			uncertain = true
		case sent && !errors.Is(err, platform.ErrUnavailable):
			return platform.Row{}, err
		}
		var answer ForwardAnswer
		if !uncertain && !sent {
			var forwarded bool
			answer, forwarded = forward(err)
			if forwarded && answer.Outcome == outage.ForwardAccepted {
				return acceptedRow(created, answer), nil
			}
			uncertain = forwarded && answer.Outcome == outage.ForwardLost
		}
		if !uncertain {
			failed := in.unavailableError(created.Key, err)
			apperr.From(failed).RetryAfter = max(apperr.From(failed).RetryAfter, answer.RetryAfter)
			return platform.Row{}, failed
		}
		sleep(ctx, jitter(commitRetryDelay))
		if row, ok := in.readBack(ctx, id, created.Key); ok {
			return row, nil
		}
		if ctx.Err() != nil {
			return platform.Row{}, apperr.Wrap(err, apperr.KindUncertain, "the platform's table", "gave no answer", "submit the job again under the same ID")
		}
	}
}

// readBack returns the state row of a job whose submission has an unknown outcome, and
// false if it is not stored. That proves nothing: the table may carry out the write
// later.
func (in *Intake) readBack(ctx context.Context, id types.JobID, key string) (platform.Row, bool) {
	in.mu.RLock()
	known, ok := in.states[id] // the follower may have received it
	in.mu.RUnlock()
	row := platform.Row{Key: key, Value: encode(known.stateRow), Revision: known.revision}
	if !ok {
		rows, err := in.table.Get(ctx, key)
		if err != nil || rows[0].Revision == 0 {
			return platform.Row{}, false
		}
		row = rows[0]
	}
	in.log.Log(eventReadBack, nil, telemetry.Fields{"job": id})
	return row, true
}

// unavailableError returns the error of a call for the row with the key that certainly
// had no effect.
func (in *Intake) unavailableError(key string, err error) error {
	e := apperr.From(apperr.Wrap(err, apperr.KindUnavailable, "the platform's table", "is unavailable at the moment", "try again later"))
	e.RetryAfter = max(minRetryAfter, in.gate.RetryAfter(key))
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
		return knownState{}, in.unavailableError(key, err)
	}
	if rows[0].Revision == 0 {
		return knownState{}, apperr.New(apperr.KindNotFound, fmt.Sprintf("job %q", id), "does not exist", "check its ID; finished jobs are forgotten after a while")
	}
	in.recordState(&rows[0])
	row, err := decode[stateRow](key, rows[0].Value)
	return knownState{row, rows[0].Revision}, err
}

// Cancel stores that a job is cancelled. It also returns nil if the job already has
// a final state. Errors are those of State, of kind unavailable if the cancellation
// certainly was not stored, or of kind uncertain if the table rejects the write or does
// not confirm it before the context ends.
func (in *Intake) Cancel(ctx context.Context, id types.JobID) error {
	known, err := in.known(ctx, id)
	uncertain := false
	for err == nil && !known.State.Final() {
		before := known.State
		known, err = in.tryCancel(ctx, id, known, &uncertain)
		if err == nil && known.State == workflow.JobCancelled {
			in.log.Log(eventCancelled, nil, telemetry.Fields{"job": id, "before": before})
			return nil
		}
	}
	if err != nil {
		in.log.Log(eventNotCancelled, err, telemetry.Fields{"job": id, "kind": apperr.KindOf(err)})
	}
	return err
}

// tryCancel cancels a job if its stored state still is the known one, and returns
// the stored state. If the write failed or its outcome is unknown, it returns the
// known state, and the caller tries again unless the context has ended, the table has
// rejected the write, or no attempt was sent and none may be sent. It sets uncertain if
// the outcome is unknown.
func (in *Intake) tryCancel(ctx context.Context, id types.JobID, known knownState, uncertain *bool) (knownState, error) {
	key := stateKey(id)
	wanted := known.stateRow
	wanted.State = workflow.JobCancelled
	value := encode(wanted)
	res, sent, err := in.send(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: known.revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
		Reads:      []string{key},
	}, *uncertain)
	if err != nil {
		*uncertain = *uncertain || errors.Is(err, platform.ErrUncertain)
		if sent || *uncertain {
			sleep(ctx, jitter(commitRetryDelay))
		}
		rejected := sent && !errors.Is(err, platform.ErrUncertain) && !errors.Is(err, platform.ErrUnavailable)
		switch {
		case *uncertain && ctx.Err() != nil || rejected:
			return known, apperr.Wrap(err, apperr.KindUncertain, fmt.Sprintf("cancellation of job %q", id), "got no answer from the platform's table", "send it again")
		case !*uncertain && (!sent || ctx.Err() != nil):
			return known, in.unavailableError(key, err)
		}
		in.mu.RLock()
		defer in.mu.RUnlock()
		if newer := in.states[id]; newer.revision > known.revision {
			return newer, nil // the follower has received it
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
