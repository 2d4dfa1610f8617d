package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// keyLearned is the key of the row with the estimates that owners have learned: the
// interference between pairs of images, and run times. The row only speeds up
// learning: it is written without a condition, and an owner that cannot read it
// starts without estimates.
const keyLearned = "learned/factors"

// learnedWriteInterval is the time between writes of the learned estimates.
const learnedWriteInterval = 5 * time.Second

var eventEstimatesFailed = telemetry.Define(547, logrus.WarnLevel, "learned estimates cannot be read or stored",
	"The owner, or the next one, learns again which tasks slow down which others and how long tasks run. Check the platform's store if this repeats.")

// loadLearned passes the estimates that earlier owners have stored to the core.
func (t *term) loadLearned(ctx context.Context, core *workflow.Owner) {
	row, err := t.learnedRow(ctx)
	if err == nil && row.Revision != 0 {
		var learned workflow.Learned
		if learned, err = decode[workflow.Learned](keyLearned, row.Value); err == nil {
			core.SetLearned(clock.Now(), learned)
			t.learned = row.Value
		}
	}
	if err != nil {
		t.log.Log(eventEstimatesFailed, err, nil)
	}
}

// learnedRow returns the row that a successor has read beforehand, which is at most
// seconds old, or reads it.
func (t *term) learnedRow(ctx context.Context) (platform.Row, error) {
	if t.prepared != nil && t.prepared.learnedRead {
		return t.prepared.learned, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := t.c.opts.Table.Get(ctx, keyLearned)
	if err != nil {
		return platform.Row{}, err
	}
	return rows[0], nil
}

// storeLearned stores the learned estimates if they have changed. It runs on the
// core's actor.
func (t *term) storeLearned(o *workflow.Owner, now time.Duration) {
	if now < t.nextLearnedWrite {
		return
	}
	t.nextLearnedWrite = now + learnedWriteInterval
	value, err := encodeLearned(o.Learned(), t.c.opts.Limits.ValueBytes)
	if err != nil {
		t.log.Log(eventEstimatesFailed, err, nil)
		return
	}
	if bytes.Equal(value, t.learned) {
		return
	}
	t.learned = value
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		ctx, cancel := context.WithTimeout(t.ctx, tableTimeout)
		defer cancel()
		// A failed write is not retried; the next change writes the row again.
		if _, err := t.c.opts.Table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: keyLearned, Value: value}}}); err != nil {
			t.log.Log(eventEstimatesFailed, err, nil)
		}
	}()
}

// encodeLearned encodes estimates in at most limit bytes; 0 means no limit. Callers
// choose the names of images and queues in them, so that only the encoded size shows
// how many fit.
func encodeLearned(l workflow.Learned, limit int) ([]byte, error) {
	for {
		value, err := json.Marshal(l)
		if err != nil || limit == 0 || len(value) <= limit || len(l.Factors)+len(l.RunTimes) == 0 {
			return value, err
		}
		l.Factors, l.RunTimes = l.Factors[:len(l.Factors)/2], l.RunTimes[:len(l.RunTimes)/2]
	}
}
