package jobs

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/overload"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// overQueue returns the forecast of a queue whose jobs are expected after a time.
func overQueue(expected time.Duration) []overload.QueueForecast {
	q := overload.QueueForecast{Queue: "q", Throughput: 1, Line: overload.RunTimeLine{Slope: 1}}
	for i := range q.Classes {
		q.Classes[i] = overload.ClassForecast{Expected: expected, Path: time.Second, Objective: 3 * time.Second}
	}
	return []overload.QueueForecast{q}
}

func forecastJob(id types.JobID) *workflow.Job {
	return &workflow.Job{
		ID: id, Queue: "q", Policy: workflow.Queue{Stretch: 2, Target: time.Second},
		Steps: []workflow.Step{{Tasks: 1, Demand: types.Resources{MilliCPU: 1000}, RunTime: time.Second}},
	}
}

// Guards against a row that is written more often than once a second, without need, or not
// before entries regard it as stale, and against a new owner that leaves the row of
// another one.
func TestForecastIsWrittenWhenNeeded(t *testing.T) {
	const now = time.Minute
	none, over, little, more := []overload.QueueForecast{}, overQueue(40*time.Second), overQueue(43*time.Second), overQueue(46*time.Second)
	for _, c := range []struct {
		name            string
		known, inFlight bool
		published       []overload.QueueForecast
		age             time.Duration
		over            []overload.QueueForecast
		want            bool
	}{
		{"new owner, no queue over", false, false, nil, 0, none, true},
		{"no queue over, as before", true, false, none, time.Hour, none, false},
		{"first queue over", true, false, none, time.Hour, over, true},
		{"no queue over any more", true, false, over, time.Second, none, true},
		{"unchanged", true, false, over, time.Second, over, false},
		{"changed by less than a tenth", true, false, over, time.Second, little, false},
		{"changed by more than a tenth", true, false, over, time.Second, more, true},
		{"about to become stale", true, false, over, 2 * time.Second, over, true},
		{"a write is in progress", true, true, over, 2 * time.Second, more, false},
	} {
		p := forecastPublisher{known: c.known, inFlight: c.inFlight, published: c.published, writtenAt: now - c.age}
		if got := p.begin(now, c.over); got != c.want {
			t.Errorf("%s: written %v, want %v", c.name, got, c.want)
		}
	}
}

// conditionalTable is a table with one row, which checks the conditions of writes. Writes
// that it carries out return err.
type conditionalTable struct {
	platform.Table
	row platform.Row
	err error
}

func (c *conditionalTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	return []platform.Row{{Key: keys[0], Value: c.row.Value, Revision: c.row.Revision}}, nil
}

func (c *conditionalTable) Commit(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if txn.Conditions[0].Revision != c.row.Revision {
		return platform.TxnResult{}, nil
	}
	c.row.Revision, c.row.Value = c.row.Revision+1, txn.Writes[0].Value
	return platform.TxnResult{Committed: true, Revision: c.row.Revision}, c.err
}

// Guards against a former owner that overwrites the forecast of its successor, and against
// an owner that cannot write again after a write without a certain outcome.
func TestFormerOwnerDoesNotOverwriteForecast(t *testing.T) {
	table := &conditionalTable{}
	owner := func(epoch types.Epoch) func() error {
		tm := &term{c: &Candidate{opts: CandidateOptions{Table: table}}, ctx: t.Context(), epoch: epoch}
		return func() error {
			revision, err := tm.writeForecast(forecastRow{Format: forecastFormat, Epoch: epoch, Queues: []overload.QueueForecast{}})
			tm.forecast.end(clock.Now(), nil, revision, err)
			return err
		}
	}
	former, next := owner(1), owner(2)
	lost := errors.New("no response")
	for i, step := range []struct {
		write      func() error
		fail, want error
		epoch      types.Epoch
	}{
		{former, nil, nil, 1}, {former, nil, nil, 1}, {next, nil, nil, 2}, {former, nil, errForecastConflict, 2}, {former, nil, errNewerForecast, 2},
		{next, lost, lost, 2}, {next, nil, nil, 2}, {next, nil, nil, 2},
	} {
		table.err = step.fail
		if err := step.write(); !errors.Is(err, step.want) || (err == nil) != (step.want == nil) {
			t.Errorf("write %d: %v, want %v", i, err, step.want)
		}
		if row, err := decodeForecast(table.row.Value); err != nil || row.Epoch != step.epoch {
			t.Errorf("after write %d: row %+v, %v; want epoch %d", i, row, err, step.epoch)
		}
	}
}

func forecastChange(revision uint64, value []byte) platform.ChangedRow {
	return platform.ChangedRow{Row: platform.Row{Key: keyForecast, Value: value, Revision: revision}}
}

// Guards against rejections by a row whose age the entry cannot know, that is not
// readable, has another format or a former owner's epoch, or that was deleted; and against
// an older row that counts as a change.
func TestAgeOfForecastIsMeasuredByTheReader(t *testing.T) {
	r, now := NewForecastReader(telemetry.Nop()), time.Minute
	r.now = func() time.Duration { return now }
	row := encode(forecastRow{Format: forecastFormat, Epoch: 3, Entries: 2, Queues: overQueue(time.Minute)})
	former := encode(forecastRow{Format: forecastFormat, Epoch: 2, Entries: 2, Queues: overQueue(time.Minute)})
	list := func(revision uint64) platform.Snapshot {
		return platform.Snapshot{Revision: revision, Rows: []platform.Row{{Key: keyForecast, Value: row, Revision: revision}}}
	}
	n := 0
	check := func(step string, want overload.ForecastCause) {
		t.Helper()
		n++
		err := r.check(forecastJob(types.JobID(fmt.Sprint(n))), true, telemetry.Fields{})
		if r.cause != want || (err != nil) != (want == overload.CauseNone) || err != nil && (apperr.KindOf(err) != apperr.KindUnavailable || apperr.From(err).RetryAfter == 0 || refusalCause(err) != "forecast") {
			t.Errorf("%s: cause %q, %v; want cause %q", step, r.cause, err, want)
		}
	}
	check("before the first list", overload.CauseMissing)
	r.reset(list(5))
	r.markAnswered()
	check("listed, of unknown age", overload.CauseStale)
	r.apply([]platform.ChangedRow{forecastChange(6, row)})
	r.markAnswered()
	check("changed", overload.CauseNone)
	now += 2 * time.Second
	r.apply([]platform.ChangedRow{forecastChange(6, row)})
	now += 2 * time.Second
	check("an equal revision is no change", overload.CauseStale)
	r.apply([]platform.ChangedRow{forecastChange(7, row)})
	check("a change that is as old as the silence of the feed", overload.CauseStale)
	r.markAnswered()
	now += time.Second
	r.reset(list(8))
	check("listed soon after the last answer", overload.CauseNone)
	r.apply([]platform.ChangedRow{forecastChange(9, []byte("{"))})
	check("not readable", overload.CauseUnreadable)
	r.apply([]platform.ChangedRow{forecastChange(10, encode(map[string]any{"format": 2, "queues": "none"}))})
	check("other format", overload.CauseOtherFormat)
	r.apply([]platform.ChangedRow{forecastChange(11, former)})
	check("of a former owner, after an unreadable row", overload.CauseOldEpoch)
	r.apply([]platform.ChangedRow{forecastChange(12, row)})
	check("readable again", overload.CauseNone)
	r.apply([]platform.ChangedRow{{Row: platform.Row{Key: keyForecast, Revision: 13}, Deleted: true}})
	check("deleted", overload.CauseMissing)
}

// Guards against the claim that a job never runs although it may be stored: by an earlier
// attempt without a certain outcome, or by another entry whose write this entry has not
// received.
func TestJobThatMayBeStoredIsNotRejected(t *testing.T) {
	r := NewForecastReader(telemetry.Nop())
	row := encode(forecastRow{Format: forecastFormat, Epoch: 3, Entries: 2, Queues: overQueue(time.Minute)})
	lost := func() (platform.TxnResult, error) { return platform.TxnResult{}, platform.ErrUncertain }
	stored := func() (platform.TxnResult, error) { return platform.TxnResult{Committed: true, Revision: 4}, nil }
	table := &rowTable{scriptedTable: &scriptedTable{commits: []func() (platform.TxnResult, error){lost, stored, stored, stored, stored}}}
	in := NewIntake(table, platform.Limits{}, telemetry.Discard(), nil)
	in.UseForecast(r)
	r.markAnswered()
	in.markCurrent()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := in.Submit(ctx, forecastJob("a"), 1); apperr.KindOf(err) != apperr.KindUncertain {
		t.Fatalf("lost response: %v", err)
	}
	r.apply([]platform.ChangedRow{forecastChange(1, row)})
	if err := in.Submit(t.Context(), forecastJob("b"), 1); apperr.KindOf(err) != apperr.KindUnavailable {
		t.Errorf("job that was never sent: %v, want a rejection", err)
	}
	if err := in.Submit(t.Context(), forecastJob("a"), 1); err != nil {
		t.Errorf("job whose first attempt may be stored: %v, want it accepted", err)
	}
	in.currentAt = in.currentAt.Add(-2 * maxStatesAge)
	if err := in.Submit(t.Context(), forecastJob("c"), 1); err != nil {
		t.Errorf("job that another entry may have stored: %v, want it accepted", err)
	}
	in.markCurrent()
	table.err = platform.ErrUnavailable
	if err := in.Submit(t.Context(), forecastJob("d"), 1); err != nil {
		t.Errorf("job of which no read shows that it is not stored: %v, want it accepted", err)
	}
	table.err, table.row = nil, platform.Row{Value: encode(stateRow{Queue: "q", State: workflow.JobQueued}), Revision: 9}
	if err := in.Submit(t.Context(), forecastJob("e"), 1); err != nil {
		t.Errorf("job that another entry has just stored: %v, want it accepted", err)
	}
}

// rowTable is a scriptedTable whose reads return a row, or an error.
type rowTable struct {
	*scriptedTable
	row platform.Row
	err error
}

func (r *rowTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	row := r.row
	row.Key = keys[0]
	return []platform.Row{row}, r.err
}
