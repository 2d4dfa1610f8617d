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

// Times of a follower.
const (
	// followWait bounds one wait for changes. A connection that has gone silent
	// is noticed after it, within the time in which a configuration must be in
	// force.
	followWait = time.Second
	// followInterval lies between calls, so that a busy table costs at most 25 calls
	// a second a follower.
	followInterval = 40 * time.Millisecond
	// statesInterval is that of the states of jobs, which every entry follows: 13
	// entries made two thirds of all calls to the store with followGap. A caller
	// sees the end of a job half of it later on average.
	statesInterval = 150 * time.Millisecond
	// maxConcurrentLists bounds the lists of partitions under way, to the connections
	// that are kept to the store.
	maxConcurrentLists = 8
	// Pauses after a failure, doubled from the first to the last.
	followBackoffMin = 50 * time.Millisecond
	followBackoffMax = 800 * time.Millisecond
)

var (
	eventFollowLost = telemetry.Define(350, logrus.WarnLevel, "changes of the table cannot be followed",
		"What this process knows of the rows with the prefix gets old. Fields: prefix, age. Look at the platform's store and the way to it.")
	eventFollowResumed = telemetry.Define(351, logrus.InfoLevel, "changes of the table are followed again",
		"Fields: prefix, away. No action.")
	eventFollowCompacted = telemetry.Define(352, logrus.InfoLevel, "history of the table was dropped",
		"The rows with the prefix are listed anew. No action.")
	eventRowUnreadable = telemetry.Define(353, logrus.ErrorLevel, "row is not readable",
		"A row is left alone. Read it and repair or delete it. Fields: key.")
)

// Follower keeps up with the rows of a prefix.
type Follower struct {
	Log    platform.ChangeLog
	Prefix string
	// Partitions are the parts of the prefix to list; none if it has none.
	Partitions []string
	Logger     *telemetry.Logger
	// Reset gets all rows, at first and after a gap.
	Reset func(platform.Snapshot)
	// Apply gets changed rows in order.
	Apply func([]platform.ChangedRow)
	// OnSuccess is called after each successful call.
	OnSuccess func()
	// Interval lies between calls; 0 means followGap.
	Interval time.Duration
}

// Run follows the rows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var revision uint64
	listed, lost := false, false
	pause := followBackoffMin
	last := time.Now()
	interval := cmp.Or(f.Interval, followInterval)
	for ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = f.list(ctx)
			listed = err == nil
		} else {
			revision, err = f.changes(ctx, revision)
		}
		switch {
		case err == nil:
			if lost {
				f.Logger.Log(eventFollowResumed, nil, telemetry.Fields{"prefix": f.Prefix, "away": time.Since(last).String()})
			}
			lost, pause, last = false, followBackoffMin, time.Now()
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
		pause = min(2*pause, followBackoffMax)
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

// listAll lists the partitions of a prefix, or the prefix itself without any. The
// revision is the lowest, so that no change is missed after it.
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

// changes returns the revision to continue from, also after a failure.
func (f *Follower) changes(ctx context.Context, after uint64) (uint64, error) {
	rows, revision, err := f.Log.Changes(ctx, f.Prefix, after, followWait)
	if err != nil {
		return after, err
	}
	if len(rows) > 0 {
		f.Apply(rows)
	}
	return max(after, revision), nil
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// jitter returns a random time from half of d to all of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
