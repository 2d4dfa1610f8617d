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
// are refused without a call: twice what a call takes in a store that is 78 times
// slower than usual, and a quarter of the patience of callers.
const silentThreshold = 800 * time.Millisecond

// Bounds of the wait for the answer to a write. A part of the store that is many
// times slower than usual keeps calls waiting for up to a second before it
// refuses more; entries with a tenth of a core take 100 ms for a call.
const (
	minCommitTimeout = 300 * time.Millisecond
	maxCommitTimeout = 1500 * time.Millisecond
)

var (
	eventTableSilent = telemetry.Define(354, logrus.WarnLevel, "table does not answer",
		"Submissions are refused at once until it does, since one that is sent may end without anybody knowing what became of it. Look at the platform's store and the way to it.")
	eventTableResponsive = telemetry.Define(355, logrus.InfoLevel, "table answers again", "No action.")
)

// Store is the table with its feed of changes.
type Store interface {
	platform.Table
	platform.ChangeLog
}

// WatchedStore is a Store that knows whether it answers this process, and how
// soon it answers writes.
type WatchedStore struct {
	Store
	log           *telemetry.Logger
	mu            sync.Mutex
	watch         outage.Watch
	silenceLogged bool
	// commitTimeout follows the time that writes take.
	commitTimeout outage.Timeout
}

// NewWatchedStore returns a watched store. Frequent reads, such as those of a
// candidate for ownership, notice its silence and its return.
func NewWatchedStore(s Store, log *telemetry.Logger) *WatchedStore {
	return &WatchedStore{Store: s, log: log, watch: outage.Watch{After: silentThreshold}, commitTimeout: outage.Timeout{Least: minCommitTimeout, Most: maxCommitTimeout}}
}

// Silent reports whether the store takes calls and does not answer.
func (s *WatchedStore) Silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent()
}

func (s *WatchedStore) silent() bool {
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

func (s *WatchedStore) callBegan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Began(clock.Now())
}

// callEnded takes the result of a call. A refusal is no answer here: what is sent
// meanwhile is refused as well.
func (s *WatchedStore) callEnded(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, platform.ErrCompacted) {
		s.watch.Answered()
	}
	s.silent()
}

// ExpectedCommit returns how long a write is expected to take.
func (s *WatchedStore) ExpectedCommit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commitTimeout.Expected()
}

// Commit implements platform.Table. A call that takes longer than the store's
// answers of late ends as uncertain.
func (s *WatchedStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	s.callBegan()
	begin := clock.Now()
	s.mu.Lock()
	limit := s.commitTimeout.Value()
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	res, err := s.Store.Commit(callCtx, txn)
	s.callEnded(err)
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
func (s *WatchedStore) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	s.callBegan()
	rows, err := s.Store.Get(ctx, keys...)
	s.callEnded(err)
	return rows, err
}

// Changes implements platform.ChangeLog. A call that waits says nothing before it
// ends.
func (s *WatchedStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.ChangedRow, uint64, error) {
	rows, revision, err := s.Store.Changes(ctx, prefix, after, wait)
	s.callEnded(err)
	return rows, revision, err
}
