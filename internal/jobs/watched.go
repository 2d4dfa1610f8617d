package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/outage"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// silentThreshold is how long the table's calls must go unanswered before submissions
// are refused without a call: twice the 400 ms that a call takes if the table is 78
// times slower than usual, and a quarter of the time that callers wait. The timeouts
// in platform/store.go assume a table that is up to 60 times slower.
const silentThreshold = 800 * time.Millisecond

// Bounds of the timeout of a write. A partition of the table that is many times
// slower than usual keeps calls waiting for up to 1 s before it refuses more; an
// entry with 0.1 cores takes 100 ms for a call.
const (
	minCommitTimeout = 300 * time.Millisecond
	maxCommitTimeout = 1500 * time.Millisecond
)

var (
	eventTableSilent = telemetry.Define(354, logrus.WarnLevel, "table does not answer",
		"Submissions are refused at once until it does, since the outcome of one that is sent may stay unknown. Check the platform's store and the network path to it.")
	eventTableResponsive = telemetry.Define(355, logrus.InfoLevel, "table answers again", "No action.")
)

// TableWithChanges is a table with its log of changes.
type TableWithChanges interface {
	platform.Table
	platform.ChangeLog
}

// WatchedTable is a table that tracks whether it answers this process and how long
// its writes take. It adapts the timeout of writes to that. Only Get, Commit and
// Changes are tracked; List and Scan are not.
type WatchedTable struct {
	TableWithChanges
	log           *telemetry.Logger
	mu            sync.Mutex
	watch         outage.Detector
	silenceLogged bool
	// commitTimeout adapts to the duration of writes.
	commitTimeout outage.Timeout
}

// NewWatchedTable returns a watched table. It needs frequent calls, such as the reads
// of a candidate for ownership, to detect that the table stops or resumes answering.
func NewWatchedTable(s TableWithChanges, log *telemetry.Logger) *WatchedTable {
	return &WatchedTable{TableWithChanges: s, log: log, watch: outage.Detector{SilentAfter: silentThreshold}, commitTimeout: outage.Timeout{Min: minCommitTimeout, Max: maxCommitTimeout}}
}

// Silent reports whether the table has stopped answering calls.
func (s *WatchedTable) Silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent()
}

// silent implements Silent for callers that hold s.mu. It logs each change.
func (s *WatchedTable) silent() bool {
	silent := s.watch.Silent(clock.Now())
	if silent != s.silenceLogged {
		s.silenceLogged = silent
		e := eventTableResponsive
		if silent {
			e = eventTableSilent
		}
		s.log.Log(e, nil, nil)
	}
	return silent
}

// callBegan records the start of a call and returns its time.
func (s *WatchedTable) callBegan() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.watch.Started(now)
	return now
}

// callEnded records the result of a call that was started at the given time. A refusal
// does not count as an answer: further calls would be refused as well.
func (s *WatchedTable) callEnded(begin time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, platform.ErrCompacted) {
		s.watch.Answered(begin)
	}
	s.silent()
}

// ExpectedCommit returns the expected duration of a write.
func (s *WatchedTable) ExpectedCommit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commitTimeout.MeanAnswerTime()
}

// Commit implements platform.Table. A call that takes much longer than recent writes
// returns platform.ErrUncertain.
func (s *WatchedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	begin := s.callBegan()
	s.mu.Lock()
	limit := s.commitTimeout.Value()
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	res, err := s.TableWithChanges.Commit(callCtx, txn)
	s.callEnded(begin, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.commitTimeout.Answered(clock.Now() - begin)
	case errors.Is(err, platform.ErrUncertain) && callCtx.Err() != nil && ctx.Err() == nil:
		s.commitTimeout.Expired()
	}
	return res, err
}

// Get implements platform.Table.
func (s *WatchedTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	begin := s.callBegan()
	rows, err := s.TableWithChanges.Get(ctx, keys...)
	s.callEnded(begin, err)
	return rows, err
}

// Changes implements platform.ChangeLog. Its start is not recorded: the call may wait
// for changes, so a missing answer does not mean that the table is silent.
func (s *WatchedTable) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.ChangedRow, uint64, error) {
	begin := clock.Now()
	rows, revision, err := s.TableWithChanges.Changes(ctx, prefix, after, wait)
	s.callEnded(begin, err)
	return rows, revision, err
}
