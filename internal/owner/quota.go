package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/quota"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// quotaInterval is how often an owner compares its quota shares with the quota
	// rows, to give back what other shards need. While work waits for a larger
	// share, the interval starts at quotaMinInterval and doubles up to
	// quotaInterval, because a quota may be used up for a long time.
	quotaInterval    = 10 * time.Second
	quotaMinInterval = 300 * time.Millisecond
)

// quotaSync is the state of the periodic comparison of this shard's quota shares
// with the quota rows.
type quotaSync struct {
	busy        bool
	lastStarted time.Duration
	// shortageInterval is the current interval while work waits for a larger
	// share.
	shortageInterval time.Duration
}

// interval returns the time from one comparison to the next. short is set while
// work waits for a larger share. If it is not set, interval resets
// shortageInterval.
func (q *quotaSync) interval(short bool) time.Duration {
	if !short {
		q.shortageInterval = 0
		return quotaInterval
	}
	return max(q.shortageInterval, quotaMinInterval)
}

// recordStart records the start of a comparison.
func (q *quotaSync) recordStart(now time.Duration, short bool) {
	q.busy, q.lastStarted = true, now
	if short {
		q.shortageInterval = min(max(2*q.shortageInterval, quotaMinInterval), quotaInterval)
	}
}

// quotaRow is the value of a team's quota row. Version is the configuration
// version that Total comes from, so that an owner with an older configuration
// does not revert it.
type quotaRow struct {
	Version types.Version   `json:"version"`
	Total   types.Resources `json:"total"`
	Shares  []quota.Share   `json:"shares"`
}

func quotaKey(team types.TeamID) string { return "quota/" + string(team) }

// decodeQuota decodes a team's quota row. The returned row has the total of the
// stored row or of the configuration, whichever is newer, and the returned version
// is that of the total.
func decodeQuota(c *config.Config, team config.Team, r platform.Row) (quota.Row, types.Version, error) {
	v := quotaRow{Version: c.Version(), Total: team.Quota}
	if r.Revision != 0 {
		var held quotaRow
		if err := json.Unmarshal(r.Value, &held); err != nil {
			return quota.Row{}, 0, err
		}
		v.Shares = held.Shares
		if held.Version > c.Version() {
			v.Version, v.Total = held.Version, held.Total
		}
	}
	return quota.Row{Team: team.ID, Revision: r.Revision, Total: v.Total, Shares: v.Shares}, v.Version, nil
}

// syncQuotaIfDue starts a comparison with the quota rows of active teams if one is
// due.
func (s *hostState) syncQuotaIfDue(now time.Duration) {
	t, h := s.term, s.h
	c := h.node.Config.Current()
	if c == nil || !t.recovered || t.quota.busy || now < t.quota.lastStarted+quotaMinInterval {
		return
	}
	teams, short := t.policy.QuotaTeams()
	if len(teams) == 0 || now < t.quota.lastStarted+t.quota.interval(short) {
		return
	}
	keys := make([]string, len(teams))
	for i, id := range teams {
		keys[i] = quotaKey(id)
	}
	t.quota.recordStart(now, short)
	h.async(tableTimeout, func(ctx context.Context) func(*hostState) {
		rows, err := h.opts.Table.Get(ctx, keys...)
		return func(s *hostState) {
			t.quota.busy = false
			if s.term == t && err == nil {
				s.updateQuota(t, c, teams, rows)
			}
		}
	})
}

// updateQuota writes the shares that have to change, each in its own transaction:
// shards compete for a team's row, and a conflict must not delay other teams.
func (s *hostState) updateQuota(t *term, c *config.Config, teams []types.TeamID, rows []platform.Row) {
	for i, id := range teams {
		team, ok := c.Team(id)
		if !ok || i >= len(rows) {
			continue
		}
		row, version, err := decodeQuota(c, team, rows[i])
		if err != nil {
			s.h.tel.Log.Log(eventRowProblem, err, telemetry.Fields{"key": quotaKey(id)})
			continue
		}
		if next, changed := t.policy.PlanQuota(&row); changed {
			s.writeQuota(t, next, version)
		}
	}
}

func (s *hostState) writeQuota(t *term, next quota.Row, version types.Version) {
	h := s.h
	value, err := json.Marshal(quotaRow{Version: version, Total: next.Total, Shares: next.Shares})
	if err != nil {
		return
	}
	key := quotaKey(next.Team)
	txn := platform.Txn{
		Conditions: []platform.Condition{
			{Key: lease.FenceKey(h.opts.Shard), Revision: t.fence}, {Key: key, Revision: next.Revision},
		},
		Writes: []platform.Write{{Key: key, Value: value}},
	}
	h.async(tableTimeout, func(ctx context.Context) func(*hostState) {
		result, err := h.opts.Table.Commit(ctx, txn)
		return func(s *hostState) {
			if s.term == t && err == nil && result.Committed {
				next.Revision = result.Revision
				t.quota.shortageInterval = 0
				t.policy.LoadQuota(&next)
				t.machine.RequestPlacement()
			}
			// After a conflict or a lost answer the row is read again.
		}
	})
}
