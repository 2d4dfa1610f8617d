package jobserver

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/core/evacuation"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/jobs"
	coreplatform "github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/platform"
)

var (
	eventEvacuationUnreadable = telemetry.Define(344, logrus.ErrorLevel, "operator's request for evacuation names no failure domain",
		"The row is ignored, and nothing is evacuated for it. Delete it and write one whose key ends with the name of the failure domain. Fields: key, revision.")
	eventEvacuationsRead = telemetry.Define(345, logrus.InfoLevel, "evacuated failure domains have changed",
		"Logged by every entry, as each may become the owner. If an entry does not log it soon after the operator's change, look for 350 of this entry. Fields: added, removed; evacuated, all that are evacuated now; revision, that of the change or list. No action.")
)

// evacuations holds the evacuated failure domains as this entry has read them. The
// follower of the operator's rows and a new owner write it at the same time.
type evacuations struct {
	mu  sync.Mutex
	set evacuation.Set
	// current holds the domains of set. It is replaced and not changed.
	current []types.FailureDomain
	// unreadableRevision is the highest revision of a row that was logged as unreadable.
	unreadableRevision uint64
}

// domains returns the evacuated failure domains. The caller must not change the result.
func (e *evacuations) domains() []types.FailureDomain {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// update changes the set and returns what has changed, and all domains afterwards.
func (e *evacuations) update(change func(*evacuation.Set) evacuation.Delta) (evacuation.Delta, []types.FailureDomain) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delta := change(&e.set)
	e.current = e.set.Domains()
	return delta, e.current
}

// logUnreadable reports whether a row that is not readable has not been logged yet.
func (e *evacuations) logUnreadable(revision uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := revision > e.unreadableRevision
	e.unreadableRevision = max(e.unreadableRevision, revision)
	return first
}

// operatorRowsFollower returns the follower of the rows that the operator writes. While
// the change feed fails it lists the rows, since an evacuation must be read in time.
func (e *entry) operatorRowsFollower() *jobs.Follower {
	return &jobs.Follower{
		Log: e.Store, Prefix: platform.ConfigPrefix, Logger: e.Telemetry.Log, OnSuccess: func() {}, ListAfterFailure: true,
		Reset: e.applyOperatorSnapshot,
		Apply: func(rows []coreplatform.ChangedRow) {
			for i := range rows {
				e.applyConfigRows([]coreplatform.Row{rows[i].Row})
				e.applyEvacuationChange(&rows[i])
			}
		},
	}
}

// readOperatorRows lists the rows that the operator writes, for a new owner.
func (e *entry) readOperatorRows(ctx context.Context) error {
	s, err := e.Store.List(ctx, platform.ConfigPrefix)
	if err != nil {
		return err
	}
	e.applyOperatorSnapshot(s)
	return nil
}

func (e *entry) applyOperatorSnapshot(s coreplatform.Snapshot) {
	e.applyConfigRows(s.Rows)
	snapshot := evacuation.Snapshot{Revision: s.Revision}
	for i := range s.Rows {
		if r, ok := e.evacuationRequest(&s.Rows[i]); ok {
			snapshot.Requests = append(snapshot.Requests, r)
		}
	}
	e.updateEvacuations(s.Revision, func(set *evacuation.Set) evacuation.Delta { return set.ApplySnapshot(snapshot) })
}

func (e *entry) applyEvacuationChange(row *coreplatform.ChangedRow) {
	if r, ok := e.evacuationRequest(&row.Row); ok {
		e.updateEvacuations(r.Revision, func(set *evacuation.Set) evacuation.Delta { return set.ApplyChange(r, row.Deleted) })
	}
}

// evacuationRequest decodes a row. It returns false if the row is no request for an
// evacuation, or names no failure domain.
func (e *entry) evacuationRequest(row *coreplatform.Row) (evacuation.Request, bool) {
	domain, ok, err := platform.DecodeEvacuation(row.Key)
	if err != nil && e.evacuations.logUnreadable(row.Revision) {
		e.Telemetry.Log.Log(eventEvacuationUnreadable, err, telemetry.Fields{"key": row.Key, "revision": row.Revision})
	}
	return evacuation.Request{Domain: domain, Revision: row.Revision}, ok && err == nil
}

func (e *entry) updateEvacuations(revision uint64, change func(*evacuation.Set) evacuation.Delta) {
	delta, domains := e.evacuations.update(change)
	if delta.Empty() {
		return
	}
	e.candidate.NotifyEvacuated()
	e.Telemetry.Log.Log(eventEvacuationsRead, nil, telemetry.Fields{"added": delta.Added, "removed": delta.Removed, "evacuated": domains, "revision": revision})
}
