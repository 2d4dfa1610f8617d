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

// keyLearned is the row with what owners have learned of pairs of images and of run
// times. It is knowledge, not truth: it is written without a condition, and an owner
// that cannot read it learns anew.
const keyLearned = "learned/factors"

// learnedWriteInterval lies between writes of what has been learned.
const learnedWriteInterval = 5 * time.Second

var eventLearnedFailed = telemetry.Define(547, logrus.WarnLevel, "learned estimates not read or kept",
	"The owner, or the next one, learns anew which tasks disturb which and how long they run. Look at the platform's store if it repeats.")

// loadLearned gives the core what earlier owners have learned.
func (t *term) loadLearned(ctx context.Context, core *workflow.Owner) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := t.c.opts.Table.Get(ctx, keyLearned)
	if err == nil && rows[0].Revision != 0 {
		var learned workflow.Learned
		if learned, err = decode[workflow.Learned](keyLearned, rows[0].Value); err == nil {
			core.SetLearned(clock.Now(), learned)
			t.learned = rows[0].Value
		}
	}
	if err != nil {
		t.log.Log(eventLearnedFailed, err, nil)
	}
}

// storeLearned stores what has been learned if it has changed. It runs on the
// core's actor.
func (t *term) storeLearned(o *workflow.Owner, now time.Duration) {
	if now < t.nextLearnedWrite {
		return
	}
	t.nextLearnedWrite = now + learnedWriteInterval
	value, err := json.Marshal(o.Learned())
	if err != nil {
		t.log.Log(eventLearnedFailed, err, nil)
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
		// A failed write is made good by the next change.
		if _, err := t.c.opts.Table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: keyLearned, Value: value}}}); err != nil {
			t.log.Log(eventLearnedFailed, err, nil)
		}
	}()
}
