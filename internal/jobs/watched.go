package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/lease"
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
		"The table fails for this process, so that submissions are refused at once without being sent (status 503). Fields: cause, which is silent (no call was answered for 0.8 s), refused (the same, and calls are refused), connections_lost or writes_lost. Check the platform's store and the network path to it.")
	eventBreakerHalfOpen = telemetry.Define(357, logrus.InfoLevel, "submissions resumed gradually",
		"The table answers again, or a write is sent as a trial after cause writes_lost. Few submissions are sent at a time, more after each answered write. Fields: cause, of the suspension. No action.")
	eventBreakerClosed = telemetry.Define(358, logrus.InfoLevel, "submissions no longer limited",
		"The table answers. Fields: cause, of the suspension. No action.")
	eventOutageSuspected = telemetry.Define(359, logrus.InfoLevel, "outage of table suspected",
		"A submission waits for a read of the table, since the last calls have failed or are not answered. If the read is answered, the submission is sent; otherwise it is refused, and 356 may follow. No action.")
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

// WatchedTable is a table with a circuit breaker for submissions. It tracks the results
// of calls and how long writes take, and adapts the timeout of writes to that. Get,
// Commit and Changes are tracked; List and Scan are not. The breaker only answers Admit;
// it holds back no call.
type WatchedTable struct {
	TableWithChanges
	log     *telemetry.Logger
	metrics tally.Scope
	mu      sync.Mutex
	breaker *outage.Breaker
	// loggedState is the state of the breaker in the last event.
	loggedState outage.State
	probing     bool
	// probeBegan is the time at which the last probe began.
	probeBegan time.Duration
	// commitTimeout adapts to the duration of writes.
	commitTimeout outage.Timeout
}

// NewWatchedTable returns a watched table. It needs frequent calls, such as the reads
// of a candidate for ownership, to detect that the table stops or resumes answering.
func NewWatchedTable(s TableWithChanges, t *telemetry.Telemetry) *WatchedTable {
	return &WatchedTable{
		TableWithChanges: s, log: t.Log, metrics: t.Metrics, breaker: outage.NewBreaker(silentThreshold),
		commitTimeout: outage.Timeout{Min: minCommitTimeout, Max: maxCommitTimeout},
	}
}

// Admit returns nil if a submission may be sent now; Done must be called after it was.
// While an outage is suspected it waits for a read of the table that all waiting
// submissions share, and after an outage for other submissions, for at most
// maxAdmissionWait. resend is set for a submission that was sent before and whose
// outcome is unknown.
func (s *WatchedTable) Admit(ctx context.Context, resend bool) error {
	end := clock.Now() + maxAdmissionWait
	for suspected := false; ; {
		err := errResumingGradually
		switch s.ask(resend) {
		case outage.Admit:
			return nil
		case outage.Reject:
			s.probe(openProbeInterval)
			return errTableUnresponsive
		case outage.Probe:
			err = errOutageSuspected
			if !suspected {
				suspected = true
				s.log.Log(eventOutageSuspected, nil, nil)
			}
			s.probe(0)
		case outage.Queue:
		}
		if clock.Now() >= end || ctx.Err() != nil {
			return err
		}
		sleep(ctx, admissionPoll)
	}
}

func (s *WatchedTable) ask(resend bool) outage.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.reportState()
	return s.breaker.Ask(clock.Now(), resend)
}

// Done ends an admission.
func (s *WatchedTable) Done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaker.Done()
}

// RetryAfter returns the time after which a caller that is refused now should retry.
func (s *WatchedTable) RetryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.RetryAfter(clock.Now())
}

// CountRefusal counts a refused submission in the metrics.
func (s *WatchedTable) CountRefusal(cause string) {
	s.metrics.Tagged(map[string]string{"cause": cause}).Counter("jobs_submissions_refused").Inc(1)
}

// probe starts a probe in the background, unless one is in progress or the last one
// began less than the interval ago.
func (s *WatchedTable) probe(interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if s.probing || now < s.probeBegan+interval {
		return
	}
	s.probing, s.probeBegan = true, now
	go s.runProbe()
}

// runProbe reads the lease until a read is answered, or several fail.
func (s *WatchedTable) runProbe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for range maxProbeReads {
		if _, err := s.Get(ctx, lease.Key(jobsShard)); err == nil || ctx.Err() != nil {
			break
		}
		sleep(ctx, probeReadPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing = false
}

// reportState logs a change of the breaker's state. The caller must hold s.mu.
func (s *WatchedTable) reportState() {
	state, cause := s.breaker.State()
	if state == s.loggedState {
		return
	}
	s.loggedState = state
	e := map[outage.State]telemetry.Event{outage.Open: eventBreakerOpen, outage.HalfOpen: eventBreakerHalfOpen, outage.Closed: eventBreakerClosed}[state]
	s.log.Log(e, nil, telemetry.Fields{"cause": cause})
	s.metrics.Gauge("jobs_breaker_state").Update(float64(state))
}

func (s *WatchedTable) callBegan(call outage.Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.breaker.Started(now, call)
	s.reportState()
	return now
}

// callEnded records the result of a call that was started at the given time with the
// context.
func (s *WatchedTable) callEnded(ctx context.Context, began time.Duration, call outage.Call, err error) {
	result, ok := callResult(ctx, err)
	if !ok {
		return
	}
	if idle, ok := s.TableWithChanges.(interface{ CloseIdleConnections() }); ok && result == outage.Lost {
		// The other idle connections may have been reset as well. Calls after this one
		// then show whether new connections work.
		idle.CloseIdleConnections()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaker.Ended(clock.Now(), began, call, result)
	s.reportState()
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
	began := s.callBegan(outage.Write)
	s.mu.Lock()
	limit := s.commitTimeout.Value()
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	res, err := s.TableWithChanges.Commit(callCtx, txn)
	s.callEnded(callCtx, began, outage.Write, err)
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
	began := s.callBegan(outage.Read)
	rows, err := s.TableWithChanges.Get(ctx, keys...)
	s.callEnded(ctx, began, outage.Read, err)
	return rows, err
}

// Changes implements platform.ChangeLog. Its start is not recorded: the call may wait
// for changes, so a missing answer does not mean that the table is silent.
func (s *WatchedTable) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.ChangedRow, uint64, error) {
	began := clock.Now()
	rows, revision, err := s.TableWithChanges.Changes(ctx, prefix, after, wait)
	s.callEnded(ctx, began, outage.Wait, err)
	return rows, revision, err
}
