package jobserver

import (
	"context"
	"errors"

	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/jobs"
)

// errNoSubmissions is the answer of an entry that takes no forwarded submissions.
var errNoSubmissions = errors.New("this entry stops, or does not accept forwarded submissions")

// entryCalls serves the calls of other entries.
type entryCalls struct {
	*jobs.Candidate
	e *entry
}

// ReadLeaseForSubmissions implements entryapi.Entry.
func (c entryCalls) ReadLeaseForSubmissions(ctx context.Context) (handover.LeaseRead, error) {
	if !c.e.PassSubmissions || c.e.stopping.Load() {
		return handover.LeaseRead{}, errNoSubmissions
	}
	return c.Candidate.ReadLeaseForSubmissions(ctx)
}

// SubmitJob implements entryapi.Entry.
func (c entryCalls) SubmitJob(ctx context.Context, job jobs.ForwardedJob) jobs.ForwardAnswer {
	return c.e.intake.AcceptForwarded(ctx, job)
}
