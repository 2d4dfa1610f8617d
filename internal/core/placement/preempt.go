package placement

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// evictionPenalty is added to a victim's lost work for each earlier eviction,
// so that among similar tasks the one evicted least often is chosen.
const evictionPenalty = 10 * time.Minute

// victimPenalty is the cost of each victim: checkpoint and restart take time
// even when no work is lost.
const victimPenalty = 30 * time.Second

// maxExaminedVMs bounds the VMs examined for victims, including those with too
// few victims because of priorities, gangs or recent evictions. It covers four
// shards.
const maxExaminedVMs = 4 * maxCandidates

// victim is a task, by its index in State.tasks, and the cost of evicting it.
type victim struct {
	task int
	cost time.Duration
}

// preemptScratch holds the buffers that preempt reuses.
type preemptScratch struct {
	current []victim
	best    []victim
	ids     []types.TaskID
}

// mayPreempt reports whether a request may evict batch work: services and
// urgent jobs may, other batch work waits.
func mayPreempt(r *Request) bool {
	return r.Urgent || r.Class == types.ClassLatencyCritical
}

// isEvictable reports whether a task can ever be a victim.
func (s *State) isEvictable(t *taskState) bool {
	return t.Class == types.ClassBatch && !t.Urgent && t.Evictions < s.opt.MaxEvictions
}

// mayEvict reports whether r may evict the task now. An urgent batch job does
// not evict tasks of higher priority.
func (s *State) mayEvict(now time.Duration, t *taskState, r *Request) bool {
	if !s.isEvictable(t) {
		return false
	}
	if t.Evictions > 0 && now-t.Started < s.opt.MinEvictionInterval {
		return false
	}
	return r.Class == types.ClassLatencyCritical || t.Priority <= r.Priority
}

// lostWork returns the core time since the task's start or last checkpoint.
func lostWork(now time.Duration, t *taskState) time.Duration {
	since := max(now-max(t.Started, t.CheckpointedAt), 0)
	return time.Duration(float64(since) * float64(t.Reserved.MilliCPU) / 1000)
}

// victimCost returns the cost of evicting a task, including its gang if it is
// in one; ok is false when the task or a member of its gang may not be evicted.
func (s *State) victimCost(now time.Duration, t int, r *Request) (cost time.Duration, ok bool) {
	task := &s.tasks[t]
	if !task.Gang {
		if !s.mayEvict(now, task, r) {
			return 0, false
		}
		return s.singleTaskCost(now, task), true
	}
	for _, m := range s.gangs[task.Job] {
		if !s.mayEvict(now, &s.tasks[m], r) {
			return 0, false
		}
		cost += s.singleTaskCost(now, &s.tasks[m])
	}
	return cost, true
}

// singleTaskCost returns the cost of evicting a task without its gang.
func (s *State) singleTaskCost(now time.Duration, t *taskState) time.Duration {
	return lostWork(now, t) + victimPenalty + time.Duration(t.Evictions)*evictionPenalty
}

// preempt chooses, among sampled VMs, the one whose victims have the lowest
// cost.
func (s *State) preempt(now time.Duration, r *Request) (Decision, bool) {
	n := len(s.order)
	if n == 0 {
		return Decision{}, false
	}
	start := s.rng.IntN(n)
	best, scored, examined := -1, 0, 0
	var bestCost time.Duration
	for part := 0; part < 2; part++ {
		from, end := start, n
		if part == 1 {
			from, end = 0, start
		}
		for scored < maxCandidates && examined < maxExaminedVMs {
			pos := s.preemptable.nextFit(from, r.Size)
			if pos < 0 || pos >= end {
				break
			}
			from = pos + 1
			examined++
			i := s.order[pos]
			if !allowed(&s.vms[i], r) {
				continue
			}
			cost, ok := s.selectVictims(now, i, r)
			if !ok {
				continue
			}
			scored++
			// One unit of the score counts as one hour of lost core time.
			cost += time.Duration(s.spreadPenalty(i, r) * float64(time.Hour))
			if best < 0 || cost < bestCost {
				best, bestCost = i, cost
				s.scratch.best, s.scratch.current = s.scratch.current, s.scratch.best
			}
		}
	}
	if best < 0 {
		return Decision{}, false
	}
	return s.preemptDecision(now, best), true
}

// spreadPenalty returns the part of the score that spreads the replicas of a
// service.
func (s *State) spreadPenalty(i int, r *Request) float64 {
	c := s.spread[r.Service]
	if r.Service == "" || c == nil {
		return 0
	}
	vm := &s.vms[i]
	return weightDomain*float64(c.domain[vm.FailureDomain]) +
		weightRack*float64(c.rack[rackKey{vm.FailureDomain, vm.Rack}]) +
		weightSameVM*float64(c.vm[vm.ID])
}

// selectVictims sets scratch.current to the victims on VM i and returns their
// cost. It adds the cheapest tasks until the request fits, then removes those
// that are not needed. It returns false if the request does not fit.
func (s *State) selectVictims(now time.Duration, i int, r *Request) (time.Duration, bool) {
	list := s.scratch.current[:0]
	for _, t := range s.vms[i].tasks {
		cost, ok := s.victimCost(now, t, r)
		if !ok {
			continue
		}
		list = append(list, victim{t, cost})
		for j := len(list) - 1; j > 0 && s.cheaper(list[j], list[j-1]); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	s.scratch.current = list
	free := s.vms[i].Capacity.Sub(s.vms[i].reserved)
	taken := 0
	for taken < len(list) && !r.Size.Fits(free) {
		free = free.Add(s.tasks[list[taken].task].Reserved)
		taken++
	}
	if !r.Size.Fits(free) {
		return 0, false
	}
	list = s.dropUnneededVictims(list[:taken], free, r)
	s.scratch.current = list
	var cost time.Duration
	for _, v := range list {
		cost += v.cost
	}
	return cost, true
}

// cheaper reports whether a precedes b: victims are ordered by cost, then by
// task ID for a stable result.
func (s *State) cheaper(a, b victim) bool {
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return s.tasks[a.task].Task < s.tasks[b.task].Task
}

// dropUnneededVictims removes victims without which the request still fits,
// starting with the most expensive.
func (s *State) dropUnneededVictims(list []victim, free types.Resources, r *Request) []victim {
	for j := len(list) - 1; j >= 0; j-- {
		without := free.Sub(s.tasks[list[j].task].Reserved)
		if r.Size.Fits(without) {
			free = without
			list = append(list[:j], list[j+1:]...)
		}
	}
	return list
}

// preemptDecision returns the decision to evict the victims in scratch.best,
// with all members of their gangs.
func (s *State) preemptDecision(now time.Duration, vm int) Decision {
	ids := s.scratch.ids[:0]
	var lost time.Duration
	add := func(t int) {
		for _, id := range ids {
			if id == s.tasks[t].Task {
				return
			}
		}
		ids = append(ids, s.tasks[t].Task)
		lost += lostWork(now, &s.tasks[t])
	}
	for _, v := range s.scratch.best {
		task := &s.tasks[v.task]
		if !task.Gang {
			add(v.task)
			continue
		}
		for _, m := range s.gangs[task.Job] {
			add(m)
		}
	}
	s.scratch.ids = ids
	return Decision{Outcome: Preempt, VM: s.vms[vm].ID, Victims: ids, LostWork: lost}
}
