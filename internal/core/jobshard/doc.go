// Package jobshard decides which shards may run a batch job, and to which shard
// a job moves that waits in an evacuated failure domain.
//
// Contract: both decisions are pure functions of a configuration and the job, so
// that entries and shard owners agree without communication. A job goes to a
// shard of an evacuated failure domain only if its declaration admits no other
// shard; it then waits there until the evacuation ends. The package has no state.
//
// Load condition: the jobs of an evacuated failure domain move at once. Each job
// chooses its shard by a hash, so that the jobs spread over all remaining shards
// in proportion to their numbers.
//
// Failure modes: a process with an older configuration may choose a shard that a
// newer one excludes. The owner of that shard places nothing and moves the job.
package jobshard

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Allowed returns the shards of a region that may run the job, sorted by ID: those
// with a VM on which one of its tasks fits, in the failure domains that the job
// declares. An empty region stands for all regions. Shards of evacuated failure
// domains are returned only if there are no others.
func Allowed(c *config.Config, job *types.Job, region types.Region) []types.ShardID {
	var open, evacuated []types.ShardID
	for _, id := range c.Shards() {
		if !fits(c, id, job, region) {
			continue
		}
		if c.Evacuated(c.ShardDomain(id)) {
			evacuated = append(evacuated, id)
		} else {
			open = append(open, id)
		}
	}
	if len(open) > 0 {
		return open
	}
	return evacuated
}

// fits reports whether a VM of the shard is in the region, is in a failure domain
// that the job declares, and has the capacity for one of its tasks.
func fits(c *config.Config, id types.ShardID, job *types.Job, region types.Region) bool {
	for _, name := range c.ShardVMs(id) {
		vm, ok := c.VM(name)
		if !ok || !job.Demand.Fits(vm.Capacity) || region != "" && vm.Region != region {
			continue
		}
		if len(job.FailureDomains) == 0 || slices.Contains(job.FailureDomains, vm.FailureDomain) {
			return true
		}
	}
	return false
}

// Target returns the shard to which a job moves that waits in a shard of an
// evacuated failure domain. It prefers the shards of the same region. It returns
// false if the shard is not evacuated, or if the job may run in no shard that is
// not.
func Target(c *config.Config, job *types.Job, from types.ShardID) (types.ShardID, bool) {
	domain, _ := c.Domain(c.ShardDomain(from))
	if !c.Evacuated(domain.Name) {
		return "", false
	}
	for _, region := range []types.Region{domain.Region, ""} {
		allowed := Allowed(c, job, region)
		if len(allowed) > 0 && !c.Evacuated(c.ShardDomain(allowed[0])) {
			return byHash(allowed, job.ID), true
		}
	}
	return "", false
}

// byHash returns the shard with the highest hash together with the job, so that a
// change of the set of shards changes the choice of few jobs.
func byHash(shards []types.ShardID, job types.JobID) types.ShardID {
	best, highest := shards[0], uint64(0)
	for _, id := range shards {
		if h := xxhash.Sum64String(string(job) + "\x00" + string(id)); h > highest {
			best, highest = id, h
		}
	}
	return best
}
