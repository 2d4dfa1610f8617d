package scheduler

import (
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/placement"
	"github.com/boragecrank/boragecrank/internal/core/quota"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// pendingTasksKey is the key in a quota.Holder for the total demand of all
// tasks that the share has no room for. The leading NUL byte sets it apart from
// task IDs.
const pendingTasksKey = types.TaskID("\x00wanted")

// teamShare is the shard's share of one team's quota.
type teamShare struct {
	total   types.Resources
	limited bool
	holder  *quota.Holder
	// refused holds the amounts requested for tasks that wait for a larger
	// share.
	refused map[types.TaskID]types.Resources
}

// SetTeams sets the quotas of the configuration. Shares are set by LoadQuota; a
// team with a quota cannot start tasks until it has a share.
func (s *Scheduler) SetTeams(teams []config.Team) {
	for _, t := range s.teams {
		t.limited = false
	}
	for i := range teams {
		t := s.teamShare(teams[i].ID)
		t.total, t.limited = teams[i].Quota, !teams[i].Quota.IsZero()
	}
}

func (s *Scheduler) teamShare(id types.TeamID) *teamShare {
	t := s.teams[id]
	if t == nil {
		t = &teamShare{holder: quota.NewHolder(s.opt.Shard), refused: make(map[types.TaskID]types.Resources)}
		s.teams[id] = t
	}
	return t
}

// checkQuota reports whether the team's share has room for a task, or for its
// whole gang. If not, it also returns the decision for the owner.
func (s *Scheduler) checkQuota(d *shard.Demand, r *placement.Request) (shard.Decision, bool) {
	j := d.Job
	t := s.teamShare(j.Team)
	if !t.limited {
		return shard.Decision{}, true
	}
	// The owner asks only for tasks that are neither placed nor have capacity
	// held, so an existing charge comes from a decision that the owner did not
	// carry out.
	t.holder.Release(r.Task)
	need := t.unchargedDemand(j, r)
	if !need.Fits(t.total) {
		return shard.Decision{Infeasible: "limited by team quota: needs " + need.String() + ", the quota is " + t.total.String()}, false
	}
	if !need.Fits(t.holder.Remaining()) {
		// Request the share for all waiting tasks of the job at once: the owner's
		// pass does not ask for the job's other tasks.
		t.refused[r.Task] = t.neededShare(d, need)
		return shard.Decision{}, false
	}
	delete(t.refused, r.Task)
	return shard.Decision{}, true
}

// neededShare returns the share that the waiting tasks of a job need.
func (t *teamShare) neededShare(d *shard.Demand, need types.Resources) types.Resources {
	if d.Job.Gang {
		return need
	}
	n := int64(max(d.Waiting, 1))
	return types.Resources{
		MilliCPU:     need.MilliCPU * n,
		MemoryBytes:  need.MemoryBytes * n,
		Accelerators: need.Accelerators * n,
	}
}

// unchargedDemand returns the size of the task or, for a gang, the total size
// of its tasks that are not charged yet.
func (t *teamShare) unchargedDemand(j *types.Job, r *placement.Request) types.Resources {
	if !j.Gang {
		return r.Size
	}
	var need types.Resources
	for i := range j.Tasks {
		id := j.TaskID(i)
		// Release returns the charge; Adopt restores it.
		if held := t.holder.Release(id); !held.IsZero() {
			t.holder.Adopt(id, held)
			continue
		}
		need = need.Add(r.Size)
	}
	return need
}

// charge adds the charge of a task that runs or has capacity held, without a
// check: new decisions have passed checkQuota, and running tasks of a previous
// owner were charged by that owner.
func (s *Scheduler) charge(id types.TeamID, task types.TaskID, size types.Resources) {
	t := s.teamShare(id)
	delete(t.refused, task)
	t.holder.Adopt(task, size)
}

// releaseCharge removes the charge of a task from its team's share.
func (s *Scheduler) releaseCharge(id types.TeamID, task types.TaskID) {
	s.teamShare(id).holder.Release(task)
}

// Withdrawn implements shard.Learner.
func (s *Scheduler) Withdrawn(id types.TaskID) {
	for _, t := range s.teams {
		t.holder.Release(id)
	}
}

// QuotaTeams returns the limited teams that hold or need a share, sorted by ID,
// and whether any of them needs a larger one.
func (s *Scheduler) QuotaTeams() (active []types.TeamID, needMore bool) {
	for id, t := range s.teams {
		if !t.limited {
			continue
		}
		if len(t.refused) > 0 || !t.holder.Charged().IsZero() || !t.holder.Remaining().IsZero() {
			active = append(active, id)
		}
		needMore = needMore || len(t.refused) > 0
	}
	slices.Sort(active)
	return active, needMore
}

// PlanQuota loads a team's row and returns the row to write by compare-and-set,
// and whether it has to be written. Call LoadQuota after the write.
func (s *Scheduler) PlanQuota(row *quota.Row) (quota.Row, bool) {
	t := s.teamShare(row.Team)
	t.holder.Load(row)
	var want types.Resources
	for _, size := range t.refused {
		want = want.Add(size)
	}
	clear(t.refused) // Tasks that still wait are added again by checkQuota.
	// A failed Reserve makes Plan request the amount. If the share has room for
	// it by now, nothing is to be requested, and Release undoes the charge.
	if !want.IsZero() && t.holder.Reserve(pendingTasksKey, want) == nil {
		t.holder.Release(pendingTasksKey)
	}
	return t.holder.Plan(row)
}

// LoadQuota sets the share from a committed row.
func (s *Scheduler) LoadQuota(row *quota.Row) {
	s.teamShare(row.Team).holder.Load(row)
}
