package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

var (
	eventNightlySubmitted = telemetry.Define(620, logrus.InfoLevel, "nightly job submitted",
		"The overnight window is open and the job was submitted, by this or another entry. No action.")
	eventNightlyFailed = telemetry.Define(621, logrus.WarnLevel, "nightly job could not be submitted",
		"The entry tries again until the window ends. If the failures continue, check the table and the owners of the shards.")
)

// nightlyInterval is how often an entry checks for nightly jobs to submit.
const nightlyInterval = 20 * time.Second

// submitNightlyJobs submits the nightly jobs in each overnight window. Every
// entry submits them; a job still runs only once, because its ID contains the
// date of the night.
func (e *Entry) submitNightlyJobs(ctx context.Context) {
	submitted := make(map[types.JobID]bool)
	for sleep(ctx, nightlyInterval) == nil {
		cfg := e.node.Config.Current()
		if cfg == nil || !e.node.Config.MayTakeNew() {
			continue
		}
		for _, job := range nightlyJobs(cfg, time.Now()) {
			if !submitted[job.ID] {
				submitted[job.ID] = e.submitNightlyJob(ctx, cfg, job)
			}
		}
	}
}

func (e *Entry) submitNightlyJob(ctx context.Context, cfg *config.Config, job types.Job) bool {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	_, err := e.submit(ctx, cfg, job)
	event := eventNightlySubmitted
	if err != nil {
		event = eventNightlyFailed
	}
	e.tel.Log.Log(event, err, telemetry.Fields{"job": string(job.ID)})
	return err == nil
}

// nightlyJobs returns the nightly jobs of the overnight window that is open at
// the given time, or nil if none is open.
func nightlyJobs(cfg *config.Config, now time.Time) []types.Job {
	night, err := cfg.Rules().Overnight.NightAt(now)
	if err != nil || !night.Open {
		return nil
	}
	var jobs []types.Job
	for _, kind := range cfg.Content().Jobs {
		if kind.Nightly {
			id := types.JobID(kind.Kind + "-" + night.Date)
			jobs = append(jobs, kind.Job(id, time.Duration(night.End.UnixNano())))
		}
	}
	return jobs
}
