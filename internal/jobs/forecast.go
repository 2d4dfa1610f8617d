package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/core/overload"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// prefixForecast is the prefix of the forecast's row, and keyForecast its key.
const (
	prefixForecast = "forecast/"
	keyForecast    = prefixForecast + string(jobsShard)
)

// forecastFormat is the number of the row's format. Entries do not use other formats.
const forecastFormat = 1

const (
	// forecastInterval is the time between two forecasts, and the least time between two
	// writes of the row.
	forecastInterval = time.Second
	// forecastRefresh is the age that an unchanged row must not reach. The rest of the
	// 3 s after which entries do not use it is for the write and its delivery.
	forecastRefresh = 2500 * time.Millisecond
	// maxForecastQueues bounds the row: 100 queues take about 48 KB of the 64 KB.
	maxForecastQueues = 100
)

var (
	eventQueueOver = telemetry.Define(663, logrus.WarnLevel, "queue is over its limit",
		"A job of a size class of the queue that arrives now is expected to complete when its result is worthless, and no capacity is free. Entries reject such jobs (731 with the cause forecast). Add VMs, or look for VMs that are lost. Fields: queue; pool, filling or reserving; expected_ms and limit_ms of the class that exceeds its limit most; throughput in processors.")
	eventQueueWithin = telemetry.Define(664, logrus.InfoLevel, "queue is within its limit again",
		"Fields: queue, pool. No action.")
	eventForecastNotWritten = telemetry.Define(665, logrus.WarnLevel, "forecast cannot be stored",
		"Entries admit all jobs when the last forecast is 3 s old. Logged once until a write succeeds. Check the platform's store if this repeats.")
)

// forecastRow is the row of the owner's forecast.
type forecastRow struct {
	Format int `json:"format"`
	// Epoch is that of the owner, Sequence counts its forecasts.
	Epoch    types.Epoch `json:"epoch,string"`
	Sequence uint64      `json:"sequence"`
	// Entries is the number of entries that the owner knows.
	Entries int `json:"entries"`
	// Queues are those over their limit.
	Queues []overload.QueueForecast `json:"queues"`
}

// forecastPublisher publishes the forecasts of a term. Its fields but the last group
// belong to the core's actor.
type forecastPublisher struct {
	next     time.Duration
	sequence uint64
	// over holds the queues over their limit as of the last forecast.
	over map[forecastName]bool

	mu sync.Mutex
	// inFlight: a write is in progress. failed: the last one has failed, and that was
	// logged.
	inFlight, failed bool
	// published is what the row holds, if known, and writtenAt when it was sent.
	known     bool
	published []overload.QueueForecast
	writtenAt time.Duration
	// revision is that of the row, if revisionKnown.
	revision      uint64
	revisionKnown bool
}

// forecastName names a forecast in events and metrics.
type forecastName struct{ queue, pool string }

func nameOf(q *overload.QueueForecast) forecastName {
	if q.Fills {
		return forecastName{q.Queue, "filling"}
	}
	return forecastName{q.Queue, "reserving"}
}

// publishForecast makes a forecast once per forecastInterval, and writes it if it has
// changed or would become stale. It runs on the core's actor.
func (t *term) publishForecast(o *workflow.Owner, now time.Duration) {
	p := &t.forecast
	if now < p.next {
		return
	}
	all, ok := o.Forecast(now)
	if !ok {
		return
	}
	p.next = now + forecastInterval
	t.metrics.setForecast(all)
	over := t.queuesOver(all)
	if !p.begin(now, over) {
		return
	}
	p.sequence++
	row := forecastRow{Format: forecastFormat, Epoch: t.epoch, Sequence: p.sequence, Entries: 1, Queues: over}
	if t.c.opts.Peers != nil {
		row.Entries += len(t.c.opts.Peers())
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		revision, err := t.writeForecast(row)
		if p.end(now, over, revision, err) {
			t.log.Log(eventForecastNotWritten, err, nil)
		}
	}()
}

// queuesOver returns the forecasts of the queues over their limit, and logs changes.
func (t *term) queuesOver(all []overload.QueueForecast) []overload.QueueForecast {
	over, names := []overload.QueueForecast{}, make(map[forecastName]bool)
	for i := range all {
		q := &all[i]
		if !q.Over() || len(over) >= maxForecastQueues {
			continue
		}
		name := nameOf(q)
		over, names[name] = append(over, *q), true
		if !t.forecast.over[name] {
			expected, limit := q.Worst()
			t.log.Log(eventQueueOver, nil, telemetry.Fields{"queue": name.queue, "pool": name.pool, "expected_ms": expected.Milliseconds(), "limit_ms": limit.Milliseconds(), "throughput": q.Throughput})
		}
	}
	for name := range t.forecast.over {
		if !names[name] {
			t.log.Log(eventQueueWithin, nil, telemetry.Fields{"queue": name.queue, "pool": name.pool})
		}
	}
	t.forecast.over = names
	return over
}

// begin reports whether the forecast must be written now. The first one of a term is
// always written, since it replaces the row of an earlier owner.
func (p *forecastPublisher) begin(now time.Duration, over []overload.QueueForecast) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	stale := len(over) > 0 && now+forecastInterval > p.writtenAt+forecastRefresh
	if p.inFlight || p.known && !stale && !overload.Changed(p.published, over) {
		return false
	}
	p.inFlight = true
	return true
}

// end records the result of a write, and reports whether its failure must be logged.
func (p *forecastPublisher) end(sentAt time.Duration, over []overload.QueueForecast, revision uint64, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight = false
	first := err != nil && !p.failed
	p.failed = err != nil
	p.known, p.revisionKnown = err == nil, err == nil
	if err == nil {
		p.published, p.writtenAt, p.revision = over, sentAt, revision
	}
	return first
}

// writeForecast writes the row on the condition that nobody else has written it since this
// term read it. Thus a write of an earlier owner that is carried out late fails once the
// next owner has written. It returns the revision of the row.
func (t *term) writeForecast(row forecastRow) (uint64, error) {
	ctx, cancel := context.WithTimeout(t.ctx, tableTimeout)
	defer cancel()
	p := &t.forecast
	p.mu.Lock()
	revision, known := p.revision, p.revisionKnown
	p.mu.Unlock()
	if !known {
		rows, err := t.c.opts.Table.Get(ctx, keyForecast)
		if err != nil {
			return 0, err
		}
		if stored, err := decodeForecast(rows[0].Value); err == nil && stored.Epoch > row.Epoch {
			return 0, errNewerForecast
		}
		revision = rows[0].Revision
	}
	value := encode(row)
	for limit := t.c.opts.Limits.ValueBytes; limit > 0 && len(value) > limit && len(row.Queues) > 0; value = encode(row) {
		row.Queues = row.Queues[:len(row.Queues)/2] // entries admit the jobs of the others
	}
	res, err := t.c.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: keyForecast, Revision: revision}},
		Writes:     []platform.Write{{Key: keyForecast, Value: value}},
	})
	switch {
	case err != nil:
		return 0, err
	case !res.Committed:
		return 0, errForecastConflict
	}
	return res.Revision, nil
}

// forecastGauges are the gauges of expected times, by queue, pool and size class.
type forecastGauges map[forecastName][]tally.Gauge

// setForecast updates the gauges of expected times. Those without a forecast are 0.
func (m *termMetrics) setForecast(all []overload.QueueForecast) {
	for _, gauges := range m.forecasts {
		for _, g := range gauges {
			g.Update(0)
		}
	}
	if m.forecasts == nil {
		m.forecasts = make(forecastGauges)
	}
	for i := range all {
		name := nameOf(&all[i])
		for class, c := range all[i].Classes {
			if len(m.forecasts[name]) <= class {
				tags := map[string]string{"queue": name.queue, "pool": name.pool, "class": overload.ClassNames[class]}
				m.forecasts[name] = append(m.forecasts[name], m.scope.Tagged(tags).Gauge("jobs_forecast_expected_seconds"))
			}
			m.forecasts[name][class].Update(c.Expected.Seconds())
		}
	}
}
