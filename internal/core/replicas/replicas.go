// Package replicas decides which replicas of the declared services each shard
// runs, and with which jobs.
//
// Each replica is a job of one latency-critical task without an end. A shard's
// share of a service is a pure function of the configuration, so that owners
// agree without communication. Replicas are apportioned by a divisor method,
// because adding or removing one replica then changes the share of only one
// shard, by one.
package replicas

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

const (
	// UnlimitedRunTime is the declared run time of a replica. The runtime
	// treats the declared run time of a task as the actual one, and must not
	// end a replica.
	UnlimitedRunTime = 10 * 365 * 24 * time.Hour
	// jobIDPrefix is the prefix of the job IDs of replicas.
	jobIDPrefix = "service."
)

// recipient is a failure domain or a shard that gets replicas.
type recipient struct {
	name   string
	weight int
	count  int
	hash   uint64
}

// Shares returns how many replicas of a service each shard runs. Domains get
// replicas in proportion to the number of their VMs whose capacity fits a
// replica, or equal numbers if the service is to be spread over domains. The
// shards of a domain get replicas in proportion to the number of their VMs whose
// capacity fits a replica. Placement spreads replicas over racks.
// Evacuated failure domains get none; the others then run their replicas too.
func Shares(c *config.Config, s types.Service) map[types.ShardID]int {
	shards := make(map[types.FailureDomain]map[types.ShardID]int)
	var domains []recipient
	for _, d := range c.Content().Domains {
		if c.Evacuated(d.Name) {
			continue
		}
		vmsPerShard := make(map[types.ShardID]int)
		for i := range d.VMs {
			if s.Demand.Fits(d.VMs[i].Capacity) {
				vmsPerShard[d.VMs[i].Shard]++
			}
		}
		weight := 0
		for _, n := range vmsPerShard {
			weight += n
		}
		if weight == 0 {
			continue
		}
		if s.SpreadDomains {
			weight = 1
		}
		shards[d.Name] = vmsPerShard
		domains = append(domains, newRecipient(s.Name, string(d.Name), weight))
	}
	out := make(map[types.ShardID]int)
	apportion(domains, s.Replicas)
	for _, d := range domains {
		var recipients []recipient
		for id, n := range shards[types.FailureDomain(d.name)] {
			recipients = append(recipients, newRecipient(s.Name, string(id), n))
		}
		apportion(recipients, d.count)
		for _, p := range recipients {
			out[types.ShardID(p.name)] = p.count
		}
	}
	return out
}

func newRecipient(service types.ServiceName, name string, weight int) recipient {
	return recipient{name: name, weight: weight, hash: xxhash.Sum64String(string(service) + "\x00" + name)}
}

// apportion divides n replicas among the recipients by the Sainte-Lague method.
// Ties are resolved by hash, so that services with few replicas do not all use
// the same shards.
func apportion(recipients []recipient, n int) {
	slices.SortFunc(recipients, func(a, b recipient) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	for range n {
		best := -1
		for i := range recipients {
			if best < 0 || hasHigherQuotient(&recipients[i], &recipients[best]) {
				best = i
			}
		}
		if best >= 0 {
			recipients[best].count++
		}
	}
}

// hasHigherQuotient reports whether weight/(2*count+1), the Sainte-Lague
// quotient, is larger for a than for b.
func hasHigherQuotient(a, b *recipient) bool {
	return a.weight*(2*b.count+1) > b.weight*(2*a.count+1)
}

// replicaJob returns the job of a replica. Its ID contains a hash of the demand
// and the team, so that a change of either gives a new job. Reconcile appends
// the generation, a counter, to the ID.
func replicaJob(s *types.Service, shard types.ShardID, index int) types.Job {
	h := xxhash.New()
	for _, n := range []int64{s.Demand.MilliCPU, s.Demand.MemoryBytes, s.Demand.Accelerators} {
		// Writing to a hash never fails.
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(n)))
	}
	_, _ = h.WriteString(string(s.Team))
	return types.Job{
		ID:   types.JobID(fmt.Sprintf("%s%s.%s.%08x.%d", jobIDPrefix, s.Name, shard, uint32(h.Sum64()), index)),
		Kind: string(s.Name), Team: s.Team, Class: types.ClassLatencyCritical,
		Urgent: s.Urgent, Demand: s.Demand, RunTime: UnlimitedRunTime, Tasks: 1,
	}
}

// Plan lists the changes to make to the job rows of a shard.
type Plan struct {
	// Submit are jobs to submit; none of the given rows has their IDs.
	Submit []types.Job
	// Cancel are replicas that are no longer wanted.
	Cancel []types.JobID
}

// Reconcile compares the job rows of a shard with its shares of the declared
// services. A replica whose row has finished gets the next generation, the last
// number of the ID, because the task rows of the finished job still exist.
//
// A shard in an evacuated failure domain submits nothing and keeps the replicas
// that it has while their service is declared, although the shares of the other
// shards already include them.
func Reconcile(c *config.Config, shard types.ShardID, rows []task.JobRow) Plan {
	evacuated := c.Evacuated(c.ShardDomain(shard))
	wanted := wantedJobs(c, shard, evacuated)
	nextGeneration := make(map[types.JobID]int)
	var plan Plan
	for i := range rows {
		row := &rows[i]
		base, generation, ok := parseJobID(row.Job.ID)
		if !ok || row.Job.Class != types.ClassLatencyCritical {
			continue
		}
		nextGeneration[base] = max(nextGeneration[base], generation+1)
		if row.Finished || row.Cancel {
			continue
		}
		if _, ok := wanted[base]; ok {
			delete(wanted, base)
			continue
		}
		plan.Cancel = append(plan.Cancel, row.Job.ID)
	}
	if evacuated {
		clear(wanted)
	}
	for base, j := range wanted {
		j.ID = types.JobID(string(base) + "." + strconv.Itoa(nextGeneration[base]))
		plan.Submit = append(plan.Submit, j)
	}
	slices.Sort(plan.Cancel)
	slices.SortFunc(plan.Submit, func(a, b types.Job) int { return cmp.Compare(a.ID, b.ID) })
	return plan
}

// wantedJobs returns the replicas that a shard runs by its shares or, if it is
// evacuated, those that it may keep, by job ID without the generation. An
// earlier evacuation of another failure domain may have raised the shard's share
// up to all replicas of a service.
func wantedJobs(c *config.Config, shard types.ShardID, evacuated bool) map[types.JobID]types.Job {
	wanted := make(map[types.JobID]types.Job)
	for i := range c.Content().Services {
		s := &c.Content().Services[i]
		n := s.Replicas
		if !evacuated {
			n = Shares(c, *s)[shard]
		}
		for k := range n {
			j := replicaJob(s, shard, k)
			wanted[j.ID] = j
		}
	}
	return wanted
}

// parseJobID splits the ID of a replica's job into base and generation. It
// returns false for IDs of other jobs.
func parseJobID(id types.JobID) (types.JobID, int, bool) {
	lastDot := strings.LastIndexByte(string(id), '.')
	if !strings.HasPrefix(string(id), jobIDPrefix) || lastDot < len(jobIDPrefix) {
		return "", 0, false
	}
	n, err := strconv.Atoi(string(id[lastDot+1:]))
	return id[:lastDot], n, err == nil
}
