package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/overload"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// maxFeedPause is the time since the last answer of the feed up to which a change is
	// taken to be new: one wait for changes, and the pauses around it. After a longer
	// pause the change may be as old as the pause.
	maxFeedPause = followWait + 500*time.Millisecond
	// maxStatesAge is the age of the states of jobs from which on nothing is rejected by
	// the forecast: a job that another entry has stored may then be unknown here, and a
	// rejection would claim that it never runs.
	maxStatesAge = followWait + 500*time.Millisecond
	// sentMemory is how long a job counts as perhaps stored after a write without a
	// certain outcome: the store may carry a write out 6 s late, and callers return
	// within 3 s.
	sentMemory = 10 * time.Second
	// maxSent bounds these jobs; more than an entry can have in flight with 4,096
	// connections. When it is reached nothing is rejected by the forecast.
	maxSent = 8192
)

var (
	eventForecastUnused = telemetry.Define(740, logrus.WarnLevel, "forecast not used",
		"The entry admits all jobs. Fields: cause; age in ms, if known. no_row: no owner with --overload-control has written the row forecast/jobs yet; start all entries alike. unreadable: read the row, and delete it; the owner writes it again. other_format: entries of different versions run; finish the upgrade. stale: the owner does not renew the row, or this entry does not receive it; look for 541, 544, 665 of the owner and 350 here. old_epoch: a former owner wrote it; the owner overwrites it within seconds.")
	eventForecastUsed = telemetry.Define(741, logrus.InfoLevel, "forecast used again",
		"Fields: before, the cause of 740. No action.")
)

// Reasons for a forecast that cannot be decoded or written, and for rejecting a
// submission.
var (
	errOtherFormat      = errors.New("the forecast has another format")
	errNewerForecast    = errors.New("a later owner has written a forecast")
	errForecastConflict = errors.New("the forecast was written by another owner")
	errForecastOver     = errors.New("rejected by the forecast; nothing was sent")
)

// decodeForecast decodes the value of the forecast's row.
func decodeForecast(value []byte) (forecastRow, error) {
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(value, &header); err != nil {
		return forecastRow{}, fmt.Errorf("row %q is not readable: %w", keyForecast, err)
	}
	if header.Format != forecastFormat {
		return forecastRow{}, fmt.Errorf("%w: %d, this process uses %d", errOtherFormat, header.Format, forecastFormat)
	}
	return decode[forecastRow](keyForecast, value)
}

// ForecastReader decides by the owner's forecast which submissions an entry rejects. A
// nil reader admits all. It is safe for concurrent use.
type ForecastReader struct {
	log   *telemetry.Logger
	scope tally.Scope
	age   tally.Gauge
	now   func() time.Duration

	mu        sync.Mutex
	admission overload.Admission
	// cause is the one that was last logged.
	cause overload.ForecastCause
	// revision is that of the row as last read; listed is set when it has been read, and
	// answeredAt is the time of the last answer before the current one.
	revision   uint64
	listed     bool
	answeredAt time.Duration
	// sent holds the jobs that may be stored, with the time of the last attempt.
	sent map[types.JobID]time.Duration
}

// NewForecastReader returns a reader. It admits all until its follower has received a
// forecast.
func NewForecastReader(t *telemetry.Telemetry) *ForecastReader {
	return &ForecastReader{log: t.Log, scope: t.Metrics, age: t.Metrics.Gauge("jobs_forecast_age_seconds"), now: clock.Now, sent: make(map[types.JobID]time.Duration)}
}

// Follower returns the follower that keeps the forecast up to date.
func (r *ForecastReader) Follower(changes platform.ChangeLog) *Follower {
	return &Follower{Log: changes, Prefix: prefixForecast, Logger: r.log, Reset: r.reset, Apply: r.apply, OnSuccess: r.markAnswered}
}

// reset observes a list of the rows. When the row changed is known only to be after the
// last answer.
func (r *ForecastReader) reset(s platform.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changedAt, changeSeen := r.answeredAt, r.listed
	r.listed = true
	for i := range s.Rows {
		if row := &s.Rows[i]; row.Key == keyForecast {
			if row.Revision > r.revision {
				r.observe(row, changedAt, changeSeen)
			}
			return
		}
	}
	if s.Revision >= r.revision {
		r.admission.ObserveProblem(overload.CauseMissing)
	}
}

func (r *ForecastReader) apply(rows []platform.ChangedRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changedAt := r.now()
	if changedAt-r.answeredAt > maxFeedPause {
		changedAt = r.answeredAt
	}
	for i := range rows {
		row := &rows[i]
		switch {
		case row.Key != keyForecast || row.Revision <= r.revision:
		case row.Deleted:
			r.revision = row.Revision
			r.admission.ObserveProblem(overload.CauseMissing)
		default:
			r.observe(&row.Row, changedAt, true)
		}
	}
}

// observe passes a newer row to the admission.
func (r *ForecastReader) observe(row *platform.Row, changedAt time.Duration, changeSeen bool) {
	r.revision = row.Revision
	f, err := decodeForecast(row.Value)
	switch {
	case errors.Is(err, errOtherFormat):
		r.admission.ObserveProblem(overload.CauseOtherFormat)
	case err != nil:
		r.admission.ObserveProblem(overload.CauseUnreadable)
	default:
		r.admission.Observe(overload.Forecast{Epoch: uint64(f.Epoch), Entries: f.Entries, Queues: f.Queues}, changedAt, changeSeen)
	}
}

func (r *ForecastReader) markAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt = r.now()
	r.updateAge(r.answeredAt)
}

func (r *ForecastReader) updateAge(now time.Duration) (time.Duration, bool) {
	age, ok := r.admission.Age(now)
	if ok {
		r.age.Update(age.Seconds())
	}
	return age, ok
}

// check returns an error of kind unavailable if the job is rejected, and adds fields for
// the log. A job that may be stored is never rejected, since it may run.
func (r *ForecastReader) check(job *workflow.Job, statesCurrent bool, fields telemetry.Fields) error {
	if r == nil {
		return nil
	}
	sub, ok := job.Submission()
	if !ok {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.logCause(now)
	if !statesCurrent || r.maybeStored(now, job.ID) {
		return nil
	}
	v := r.admission.Decide(now, sub)
	if !v.Reject {
		return nil
	}
	r.scope.Tagged(map[string]string{"queue": job.Queue}).Counter("jobs_forecast_rejections").Inc(1)
	fields["expected_ms"], fields["limit_ms"], fields["retry_ms"] = v.Expected.Milliseconds(), v.Limit.Milliseconds(), v.RetryAfter.Milliseconds()
	e := apperr.From(apperr.Wrap(errForecastOver, apperr.KindUnavailable, fmt.Sprintf("queue %q", job.Queue),
		fmt.Sprintf("has more work than capacity: the job would complete in %v, and its result is worthless after %v", v.Expected.Round(time.Millisecond), v.Limit.Round(time.Millisecond)), "try again later"))
	e.RetryAfter = v.RetryAfter
	return e
}

// logCause logs a change of the reason for which the forecast is not used.
func (r *ForecastReader) logCause(now time.Duration) {
	fields := telemetry.Fields{}
	if age, ok := r.updateAge(now); ok {
		fields["age"] = age.Milliseconds()
	}
	cause := r.admission.Cause(now)
	if cause == r.cause {
		return
	}
	before := r.cause
	r.cause = cause
	if cause == overload.CauseNone {
		r.log.Log(eventForecastUsed, nil, telemetry.Fields{"before": before})
		return
	}
	fields["cause"] = cause
	r.log.Log(eventForecastUnused, nil, fields)
}

// maybeStored reports whether a job may be stored although its state is not known.
func (r *ForecastReader) maybeStored(now time.Duration, id types.JobID) bool {
	at, ok := r.sent[id]
	if ok && now-at > sentMemory {
		delete(r.sent, id)
		ok = false
	}
	if !ok && len(r.sent) >= maxSent {
		for id, at := range r.sent {
			if now-at > sentMemory {
				delete(r.sent, id)
			}
		}
	}
	return ok || len(r.sent) >= maxSent
}

// begin records that a job is about to be sent to the table.
func (r *ForecastReader) begin(id types.JobID) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sent) < maxSent {
		r.sent[id] = r.now()
	}
}

// end records that a job is stored and its state is known. Without it the job stays
// recorded, since an attempt may have had no certain outcome.
func (r *ForecastReader) end(id types.JobID) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sent, id)
}
