package jobs

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

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

// Waits for permission to send a submission.
const (
	// maxAdmissionWait bounds the wait for a probe or for other submissions: a quarter
	// of the 2.85 s that callers leave, so that a refusal reaches them in time.
	maxAdmissionWait = 700 * time.Millisecond
	// admissionPoll is the time between two questions of a waiting submission: a few
	// times what the table usually takes for a call.
	admissionPoll = 10 * time.Millisecond
	// probeTimeout bounds a probe. A table that is 78 times slower answers in 400 ms.
	probeTimeout = 650 * time.Millisecond
	// maxProbeReads is the number of reads of a probe, probeReadPause the pause after
	// one that fails at once. One read may fail on a connection that was already
	// reset; three lost ones in 100 ms confirm an outage.
	maxProbeReads  = 3
	probeReadPause = 60 * time.Millisecond
	// openProbeInterval is the least time between probes while submissions are
	// refused. Candidates for ownership read as often.
	openProbeInterval = 200 * time.Millisecond
)

var (
	eventBreakerOpen = telemetry.Define(356, logrus.WarnLevel, "submissions suspended",
		"The table, or some of its partitions, fails for this process, so that submissions to them are refused without being sent (status 503). Fields: partitions, the number of those that fail; cause, which is silent (no call was answered for 0.8 s), refused (the same, and calls are refused), connections_lost or writes_lost. Check the platform's store and the network path to it.")
	eventBreakerHalfOpen = telemetry.Define(357, logrus.InfoLevel, "submissions resumed gradually",
		"The table answers again, or a write is sent as a trial after cause writes_lost. Few submissions are sent at a time, more after each answered write. Fields: cause, of the suspension. No action.")
	eventBreakerClosed = telemetry.Define(358, logrus.InfoLevel, "submissions no longer limited",
		"The table answers. Fields: cause, of the suspension. No action.")
	eventOutageSuspected = telemetry.Define(359, logrus.InfoLevel, "outage of table suspected",
		"A submission waits for a read of the table, since the last calls have failed or are not answered. If the read is answered, the submission is sent; otherwise it is refused, and 356 may follow. Fields: partition. No action.")
)

// Reasons for refusing a submission that was not sent.
var (
	errTableUnresponsive = errors.New("the table does not serve this process; nothing was sent")
	errOutageSuspected   = errors.New("the last calls to the table have failed, and a read was not answered in time; nothing was sent")
	errResumingGradually = errors.New("too many submissions wait after an outage of the table; nothing was sent")
)

// TableWithChanges is a table with its log of changes.
type TableWithChanges interface {
	platform.Table
	platform.ChangeLog
}

// WatchedTable is a table with circuit breakers for submissions, one for each partition
// and one for the whole table. It tracks the results
// of calls and how long writes take, and adapts the timeout of writes to that. Get,
// Commit and Changes are tracked; List and Scan are not. The breakers only answer Admit;
// they hold back no call.
type WatchedTable struct {
	TableWithChanges
	log     *telemetry.Logger
	metrics tally.Scope
	mu      sync.Mutex
	// breakers are those of the table's partitions. Calls that belong to none, such as
	// waits for changes, count as a partition of their own, noPartition.
	breakers *outage.Group
	// loggedState is the most severe state of the breakers in the last event.
	loggedState outage.State
	// probes holds the last probe of each partition.
	probes map[string]probeState
	// commitTimeout adapts to the duration of writes.
	commitTimeout outage.Timeout
}

// probeState is the state of the last probe of a partition.
type probeState struct {
	running bool
	began   time.Duration
}

// noPartition stands for calls that concern no single partition of jobs.
const noPartition = ""

// partitionOf returns the partition of a row's key, or noPartition.
func partitionOf(key string) string {
	if parts := strings.Split(key, "/"); len(parts) == keyPartsWithPartition {
		return parts[1]
	}
	return noPartition
}

// keyPartsWithPartition is the number of parts of the key of a partitioned row: prefix,
// partition and ID.
const keyPartsWithPartition = 3

// NewWatchedTable returns a watched table. It needs frequent calls, such as the reads
// of a candidate for ownership, to detect that the table stops or resumes answering.
func NewWatchedTable(s TableWithChanges, t *telemetry.Telemetry) *WatchedTable {
	return &WatchedTable{
		TableWithChanges: s, log: t.Log, metrics: t.Metrics, breakers: outage.NewGroup(silentThreshold), probes: make(map[string]probeState),
		commitTimeout: outage.Timeout{Min: minCommitTimeout, Max: maxCommitTimeout},
	}
}

// Admit returns nil if a submission to the partition of the key may be sent now; Done
// must be called after it was. While an outage is suspected it waits for a read in that
// partition that all waiting submissions share, and after an outage for other
// submissions, for at most maxAdmissionWait. resend is set for a submission that was sent before and whose
// outcome is unknown.
func (s *WatchedTable) Admit(ctx context.Context, key string, resend bool) error {
	partition := partitionOf(key)
	end := clock.Now() + maxAdmissionWait
	for suspected, probed := false, false; ; {
		err := errResumingGradually
		switch s.ask(partition, resend) {
		case outage.Admit:
			return nil
		case outage.Reject:
			// A submission waits for one probe at most: a refusal reaches the caller in
			// time for another try.
			began := !probed && s.probe(partition, openProbeInterval)
			if !began && !s.waitsForProbe(partition) {
				return errTableUnresponsive
			}
			probed, err = true, errTableUnresponsive
		case outage.Probe:
			err = errOutageSuspected
			if !suspected {
				suspected = true
				s.log.Log(eventOutageSuspected, nil, telemetry.Fields{"partition": partition})
			}
			s.probe(partition, 0)
		case outage.Queue:
		}
		if clock.Now() >= end || ctx.Err() != nil {
			return err
		}
		sleep(ctx, admissionPoll)
	}
}

func (s *WatchedTable) ask(partition string, resend bool) outage.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.reportState()
	return s.breakers.Ask(clock.Now(), partition, resend)
}

// Done ends an admission to the partition of the key.
func (s *WatchedTable) Done(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakers.Done(partitionOf(key))
}

// RetryAfter returns the time after which a caller that is refused now should retry.
func (s *WatchedTable) RetryAfter(key string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breakers.RetryAfter(clock.Now(), partitionOf(key))
}

// CountRefusal counts a refused submission in the metrics.
func (s *WatchedTable) CountRefusal(cause string) {
	s.metrics.Tagged(map[string]string{"cause": cause}).Counter("jobs_submissions_refused").Inc(1)
}

// probe starts a probe of a partition in the background, unless one is in progress or
// the last one began less than the interval ago. It reports whether it started one that
// a submission may wait for: not while the table as a whole fails.
func (s *WatchedTable) probe(partition string, interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if last, ok := s.probes[partition]; last.running || ok && now < last.began+interval {
		return false
	}
	s.probes[partition] = probeState{running: true, began: now}
	go s.runProbe(partition)
	return s.breakers.Reachable()
}

// waitsForProbe reports whether a probe of the partition is in progress that a submission
// may wait for.
func (s *WatchedTable) waitsForProbe(partition string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes[partition].running && s.breakers.Reachable()
}

// runProbe reads the partition's fence row until a read is answered, or several fail.
func (s *WatchedTable) runProbe(partition string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for range maxProbeReads {
		if _, err := s.Get(ctx, fenceKey(partition)); err == nil || ctx.Err() != nil {
			break
		}
		sleep(ctx, probeReadPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes[partition] = probeState{began: s.probes[partition].began}
}

// reportState logs a change of the most severe state of the breakers. The caller must
// hold s.mu.
func (s *WatchedTable) reportState() {
	state, cause, open := s.breakers.State(clock.Now())
	if state == s.loggedState {
		return
	}
	s.loggedState = state
	e := map[outage.State]telemetry.Event{outage.Open: eventBreakerOpen, outage.HalfOpen: eventBreakerHalfOpen, outage.Closed: eventBreakerClosed}[state]
	s.log.Log(e, nil, telemetry.Fields{"cause": cause, "partitions": open})
	s.metrics.Gauge("jobs_breaker_state").Update(float64(state))
	s.metrics.Gauge("jobs_breaker_open_partitions").Update(float64(open))
}

func (s *WatchedTable) callBegan(partition string, call outage.Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.breakers.Started(now, partition, call)
	s.reportState()
	return now
}

// callEnded records the result of a call that was started at the given time with the
// context.
func (s *WatchedTable) callEnded(ctx context.Context, began time.Duration, partition string, call outage.Call, err error) {
	result, ok := callResult(ctx, err)
	s.mu.Lock()
	if !ok {
		defer s.mu.Unlock()
		s.breakers.GivenUp(clock.Now(), began, partition, call)
		s.reportState()
		return
	}
	firstLost := s.breakers.Ended(clock.Now(), began, partition, call, result)
	s.reportState()
	s.mu.Unlock()
	if idle, ok := s.TableWithChanges.(interface{ CloseIdleConnections() }); ok && firstLost {
		// The other idle connections may have been reset as well. Calls after this one
		// then show whether new connections work.
		idle.CloseIdleConnections()
	}
}

// callResult returns the result of a call, and false if it says nothing about the
// table: its caller gave up, or the call was not valid.
func callResult(ctx context.Context, err error) (outage.Result, bool) {
	switch {
	case err == nil || errors.Is(err, platform.ErrCompacted):
		return outage.Answered, true
	case errors.Is(ctx.Err(), context.Canceled):
		return 0, false
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return outage.TimedOut, true
	case errors.Is(err, platform.ErrUncertain) || errors.Is(err, platform.ErrNoResponse):
		return outage.Lost, true
	case errors.Is(err, platform.ErrUnavailable):
		return outage.Refused, true
	}
	return 0, false
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
	partition := noPartition
	if len(txn.Conditions) > 0 {
		partition = partitionOf(txn.Conditions[0].Key)
	}
	began := s.callBegan(partition, outage.Write)
	s.mu.Lock()
	limit := s.commitTimeout.Value()
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	res, err := s.TableWithChanges.Commit(callCtx, txn)
	s.callEnded(callCtx, began, partition, outage.Write, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.commitTimeout.Answered(clock.Now() - began)
	case errors.Is(err, platform.ErrUncertain) && callCtx.Err() != nil && ctx.Err() == nil:
		s.commitTimeout.Expired()
	}
	return res, err
}

// Get implements platform.Table.
func (s *WatchedTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	partition := partitionOf(keys[0])
	began := s.callBegan(partition, outage.Read)
	rows, err := s.TableWithChanges.Get(ctx, keys...)
	s.callEnded(ctx, began, partition, outage.Read, err)
	return rows, err
}

// Changes implements platform.ChangeLog. Its start is not recorded: the call may wait
// for changes, so a missing answer does not mean that the table is silent.
func (s *WatchedTable) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.ChangedRow, uint64, error) {
	began := clock.Now()
	rows, revision, err := s.TableWithChanges.Changes(ctx, prefix, after, wait)
	s.callEnded(ctx, began, noPartition, outage.Wait, err)
	return rows, revision, err
}
