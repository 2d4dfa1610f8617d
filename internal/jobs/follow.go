package jobs

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// Intervals and limits of a Follower.
const (
	// followWait bounds one wait for changes, and thus the time until a dead
	// connection is noticed. It is shorter than the time within which a new
	// configuration must come into force.
	followWait = time.Second
	// followInterval is the pause between calls: at most 25 calls/s per follower
	// on a busy table.
	followInterval = 40 * time.Millisecond
	// statesInterval is the pause between calls for the states of jobs, which every
	// entry follows: with followInterval, 13 entries made two thirds of all calls to
	// the table. On average it delays the end of a job, as callers see it, by half
	// of the interval.
	statesInterval = 150 * time.Millisecond
	// maxConcurrentLists bounds the concurrent List calls, so that they fit into the
	// connections that are kept open to the table.
	maxConcurrentLists = 16
	// The pause after a failed call of a Follower, or after a failed registration of
	// an agent, doubles from tableBackoffMin to tableBackoffMax.
	tableBackoffMin = 50 * time.Millisecond
	tableBackoffMax = 800 * time.Millisecond
)

var (
	eventFollowLost = telemetry.Define(350, logrus.WarnLevel, "changes of the table cannot be followed",
		"This process serves stale rows of the prefix. Fields: prefix, age. Check the platform's store and the network path to it.")
	eventFollowResumed = telemetry.Define(351, logrus.InfoLevel, "changes of the table are followed again",
		"Fields: prefix, away. No action.")
	eventFollowCompacted = telemetry.Define(352, logrus.InfoLevel, "history of the table was dropped",
		"The rows of the prefix are listed again. No action.")
	eventRowUnreadable = telemetry.Define(353, logrus.ErrorLevel, "row is not readable",
		"The row is ignored. Read it and repair or delete it. Fields: key.")
)

// Follower follows the changes of the rows of a prefix.
type Follower struct {
	// Log is the change log of the table. Events of this process go to Logger.
	Log    platform.ChangeLog
	Prefix string
	// Partitions are the partitions of the prefix to list; empty if the prefix is
	// not partitioned.
	Partitions []string
	Logger     *telemetry.Logger
	// Reset is called with all rows: first, and again after changes were missed.
	Reset func(platform.Snapshot)
	// Apply is called with the changed rows, in order.
	Apply func([]platform.ChangedRow)
	// OnSuccess is called after each successful call.
	OnSuccess func()
	// Interval is the pause between calls; 0 means followInterval.
	Interval time.Duration
	// ListAfterFailure is set if all rows are to be listed after each failed wait for
	// changes, for rows that must be read even while only the change feed fails.
	ListAfterFailure bool
	// After is the revision from which changes are followed, if the caller has read
	// the rows as of it. With 0 the rows are listed first.
	After uint64
}

// Run follows the rows until the context ends. After a failure it retries with
// backoff; if the history was compacted, it lists all rows again.
func (f *Follower) Run(ctx context.Context) {
	revision := f.After
	listed, lost, feedLost := revision != 0, false, false
	pause := tableBackoffMin
	last := time.Now()
	interval := cmp.Or(f.Interval, followInterval)
	for ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = f.list(ctx)
			listed = err == nil
		} else {
			revision, err = f.applyChanges(ctx, revision)
			listed = err == nil || !f.ListAfterFailure
			feedLost = err != nil
		}
		switch {
		case err == nil && feedLost && f.ListAfterFailure:
			// The rows were listed, but the feed has not answered since it failed.
			f.OnSuccess()
			sleep(ctx, interval)
			continue
		case err == nil:
			if lost {
				f.Logger.Log(eventFollowResumed, nil, telemetry.Fields{"prefix": f.Prefix, "away": time.Since(last).String()})
			}
			lost, pause, last = false, tableBackoffMin, time.Now()
			f.OnSuccess()
			sleep(ctx, interval)
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, platform.ErrCompacted):
			f.Logger.Log(eventFollowCompacted, nil, telemetry.Fields{"prefix": f.Prefix, "revision": revision})
			listed = false
			continue
		}
		if !lost {
			f.Logger.Log(eventFollowLost, err, telemetry.Fields{"prefix": f.Prefix, "age": time.Since(last).String()})
			lost = true
		}
		sleep(ctx, jitter(pause))
		pause = min(2*pause, tableBackoffMax)
	}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	snapshot, err := listAll(ctx, f.Log, f.Prefix, f.Partitions)
	if err != nil {
		return 0, err
	}
	f.Reset(snapshot)
	return snapshot.Revision, nil
}

// listAll lists the given partitions of a prefix, or the whole prefix if there are
// none. It returns the lowest revision of the lists, so that a caller which follows
// from there misses no change.
func listAll(ctx context.Context, log platform.ChangeLog, prefix string, partitions []string) (platform.Snapshot, error) {
	if len(partitions) == 0 {
		return log.List(ctx, prefix)
	}
	parts := make([]platform.Snapshot, len(partitions))
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(maxConcurrentLists)
	for i, p := range partitions {
		calls.Go(func() error {
			s, err := log.List(ctx, prefix+p+"/")
			parts[i] = s
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		return platform.Snapshot{}, err
	}
	all := platform.Snapshot{Revision: parts[0].Revision}
	for _, s := range parts {
		all.Revision = min(all.Revision, s.Revision)
		all.Rows = append(all.Rows, s.Rows...)
	}
	return all, nil
}

// applyChanges applies the changes after a revision. It returns the revision to
// continue from, even if it returns an error.
func (f *Follower) applyChanges(ctx context.Context, after uint64) (uint64, error) {
	rows, revision, err := f.Log.Changes(ctx, f.Prefix, after, followWait)
	if err != nil {
		return after, err
	}
	if len(rows) > 0 {
		f.Apply(rows)
	}
	return max(after, revision), nil
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
