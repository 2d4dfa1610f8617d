package overload

import "time"

const (
	// forecastMargin is the factor by which an expected time must exceed the limit. The
	// rate of arrivals over arrivalWindow has a standard error of 22%.
	forecastMargin = 1.25
	// maxForecastAge is the age from which on a forecast is not used. Objectives are a
	// second or more, and their limit three times that.
	maxForecastAge = 3 * time.Second
	// returnWindow is how long a rejected caller may return: callers make all attempts
	// within 3 s of the first. The rest is the time that an attempt may take to arrive.
	returnWindow = 3500 * time.Millisecond
	// maxReturns bounds the rejected jobs that are remembered: more than the 40
	// submissions per second and entry of the largest burst in returnWindow.
	maxReturns = 1024
	// minFalls bounds retry times when the forecast does not fall. Bursts end, and a
	// forecast that has not fallen for long is as likely to do so in the next seconds.
	minFalls = 0.1
	// maxRetry bounds retry times: three objectives of the large jobs, about 10 s each.
	maxRetry = 30 * time.Second
	// admissionMemory is the number of jobs of a queue over which the admitted shares
	// are taken. Of 200 jobs 20 are in the largest tenth.
	admissionMemory = 200
	// minAdmitted is the least admitted share of a size class, relative to that of its
	// queue. Callers require that a class is served half as often as its queue, and the
	// plan may defer admitted jobs of the class as well: with 0.75, a class was served
	// 0.46 times as often as all in one of 10 simulated overloads, with 0.9 at least
	// 0.57 times (runAdmission).
	minAdmitted = 0.9
)

// ForecastCause is why a forecast is not used.
type ForecastCause string

// Causes. CauseNone means that the forecast is used.
const (
	CauseNone        ForecastCause = ""
	CauseMissing     ForecastCause = "no_row"
	CauseUnreadable  ForecastCause = "unreadable"
	CauseOtherFormat ForecastCause = "other_format"
	CauseStale       ForecastCause = "stale"
	CauseOldEpoch    ForecastCause = "old_epoch"
)

// Forecast is what an owner publishes: the queues that are over their limit.
type Forecast struct {
	// Epoch is that of the owner.
	Epoch uint64
	// Entries is the number of entries among which submissions are spread.
	Entries int
	Queues  []QueueForecast
}

// Submission is a job that an entry may admit.
type Submission struct {
	Job   string
	Queue string
	// Fills: most of its work is filling work.
	Fills bool
	// Measure returns the critical path and the work in processor seconds with the run
	// times of the line.
	Measure func(RunTimeLine) (path time.Duration, size float64)
	// Objective returns its objective, given its critical path.
	Objective func(path time.Duration) time.Duration
}

// Verdict is the decision on a submission. The times are set if it is rejected.
type Verdict struct {
	Reject          bool
	Expected, Limit time.Duration
	// RetryAfter is when a retry is worthwhile.
	RetryAfter time.Duration
}

// Admission decides which submissions an entry rejects. The zero value admits all and
// has CauseMissing. It is not safe for concurrent use.
type Admission struct {
	forecast Forecast
	cause    ForecastCause
	present  bool
	// changedAt is when the row changed, if that was observed.
	changedAt    time.Duration
	changeSeen   bool
	highestEpoch uint64
	shares       map[queueKey]*admittedShares
	returns      map[string]returning
}

// queueKey identifies the forecast of a queue.
type queueKey struct {
	queue string
	fills bool
}

// returning is a rejected job whose caller may return.
type returning struct {
	key  queueKey
	size float64
	at   time.Duration
}

// admittedShares counts jobs by size class; older ones lose weight.
type admittedShares struct {
	seen, admitted [classCount]float64
}

// Observe records a row that was read. changedAt is the earliest time at which it may
// have been written, changeSeen is false if that is not known.
func (a *Admission) Observe(f Forecast, changedAt time.Duration, changeSeen bool) {
	a.present, a.changedAt, a.changeSeen, a.cause = true, changedAt, changeSeen, CauseNone
	a.forecast = f
	if f.Epoch < a.highestEpoch {
		a.cause = CauseOldEpoch
	}
	a.highestEpoch = max(a.highestEpoch, f.Epoch)
	for key := range a.shares {
		if a.find(key) == nil {
			delete(a.shares, key)
		}
	}
}

// ObserveProblem records that there is no forecast that can be used.
func (a *Admission) ObserveProblem(cause ForecastCause) {
	a.present, a.cause, a.forecast = true, cause, Forecast{}
}

// Cause returns why the forecast is not used. A forecast that lists no queue does not
// become stale: an owner does not renew it.
func (a *Admission) Cause(now time.Duration) ForecastCause {
	switch {
	case !a.present:
		return CauseMissing
	case a.cause != CauseNone:
		return a.cause
	case len(a.forecast.Queues) > 0 && (!a.changeSeen || now-a.changedAt > maxForecastAge):
		return CauseStale
	default:
		return CauseNone
	}
}

// Age returns the time since the forecast changed, and false if that is not known.
func (a *Admission) Age(now time.Duration) (time.Duration, bool) {
	return now - a.changedAt, a.present && a.changeSeen
}

func (a *Admission) find(key queueKey) *QueueForecast {
	for i := range a.forecast.Queues {
		if q := &a.forecast.Queues[i]; q.Queue == key.queue && q.Fills == key.fills {
			return q
		}
	}
	return nil
}

// Decide decides on a submission, and counts it.
func (a *Admission) Decide(now time.Duration, sub Submission) Verdict {
	a.dropReturns(now)
	key := queueKey{sub.Queue, sub.Fills}
	q := a.find(key)
	if a.Cause(now) != CauseNone || q == nil {
		delete(a.returns, sub.Job)
		return Verdict{}
	}
	path, size := sub.Measure(q.Line)
	class := q.class(size)
	_, repeated := a.returns[sub.Job]
	shares := a.sharesOf(key)
	if !repeated {
		shares.count(class)
	}
	v := q.judge(class, path, sub.Objective(path))
	if v.Reject && !shares.mayReject(class) {
		v = Verdict{}
	}
	if !v.Reject {
		shares.admitted[class] = min(shares.seen[class], shares.admitted[class]+1)
		delete(a.returns, sub.Job)
		return v
	}
	v.RetryAfter = a.retryAfter(q, class, key, v)
	a.expectReturn(sub.Job, returning{key, size, now})
	return v
}

// judge returns whether a job would complete when it is worthless, and no capacity is
// free. A job whose critical path alone is longer than its limit is not rejected: its
// objective does not fit it, whatever the load. The forecast is that of a usual job of
// the class. One with a shorter objective is smaller as a rule and placed earlier, so the
// limit is at least that of a usual job.
func (q *QueueForecast) judge(class sizeClass, path, objective time.Duration) Verdict {
	c := &q.Classes[class]
	limit := AbandonFactor * max(objective, c.Objective)
	expected := c.Expected - c.Path + path
	if q.Free || objective <= 0 || path > limit || c.Objective <= 0 || float64(expected) <= forecastMargin*float64(limit) {
		return Verdict{}
	}
	return Verdict{Reject: true, Expected: expected, Limit: limit}
}

// retryAfter returns when the forecast will have fallen to the limit, and the work that
// was rejected before and may return has been done.
func (a *Admission) retryAfter(q *QueueForecast, class sizeClass, key queueKey, v Verdict) time.Duration {
	falls := min(1, max(q.Classes[class].Falls, minFalls))
	work := 0.0
	for _, r := range a.returns {
		if r.key == key {
			work += r.size
		}
	}
	// Each entry knows its own rejections only, and assumes those of others to be alike.
	work *= float64(max(1, a.forecast.Entries))
	wait := (v.Expected - v.Limit).Seconds() + work/max(q.Throughput, minForecastThroughput)
	return min(maxRetry, seconds(wait/falls))
}

func (a *Admission) expectReturn(job string, r returning) {
	if first, ok := a.returns[job]; ok {
		r.at = first.at // callers count from their first attempt
	} else if len(a.returns) >= maxReturns {
		return
	}
	if a.returns == nil {
		a.returns = make(map[string]returning)
	}
	a.returns[job] = r
}

func (a *Admission) dropReturns(now time.Duration) {
	for job, r := range a.returns {
		if now-r.at > returnWindow {
			delete(a.returns, job)
		}
	}
}

func (a *Admission) sharesOf(key queueKey) *admittedShares {
	s := a.shares[key]
	if s == nil {
		if a.shares == nil {
			a.shares = make(map[queueKey]*admittedShares)
		}
		s = &admittedShares{}
		a.shares[key] = s
	}
	return s
}

// count counts a job.
func (s *admittedShares) count(class sizeClass) {
	const keep = 1 - 1.0/admissionMemory
	for i := range s.seen {
		s.seen[i] *= keep
		s.admitted[i] *= keep
	}
	s.seen[class]++
}

// mayReject reports whether the admitted share of a class, with this job rejected, is at
// least minAdmitted times that of the queue.
func (s *admittedShares) mayReject(class sizeClass) bool {
	seen, admitted := 0.0, 0.0
	for i := range s.seen {
		seen += s.seen[i]
		admitted += s.admitted[i]
	}
	return s.admitted[class]*seen >= minAdmitted*admitted*s.seen[class]
}
