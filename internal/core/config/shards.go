package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// MaxShardVMs is the maximum number of VMs in one shard. At the target size it
// gives about 30 shards, whose lease renewals cost 15 writes/s.
const MaxShardVMs = 32

// AssignShards sets the shard of each VM of a failure domain and sorts the VMs
// by ID. VMs that are in the same domain in previous keep their shard. A new VM
// is added to the shard with the fewest VMs. Shards are added if the domain has
// more VMs than its shards can hold. Removing a VM does not move other VMs.
// previous may be nil.
func AssignShards(d *Domain, previous *Config) {
	vmCounts := make(map[types.ShardID]int)
	var newVMs []*types.VM
	slices.SortFunc(d.VMs, func(a, b types.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for i := range d.VMs {
		vm := &d.VMs[i]
		old, ok := previous.lookupVM(vm.ID)
		if !ok || old.FailureDomain != d.Name {
			newVMs = append(newVMs, vm)
			continue
		}
		vm.Shard = old.Shard
		vmCounts[old.Shard]++
	}
	addShards(d, vmCounts)
	for _, vm := range newVMs {
		vm.Shard = smallestShard(vmCounts)
		vmCounts[vm.Shard]++
	}
}

func (c *Config) lookupVM(id types.VMID) (types.VM, bool) {
	if c == nil {
		return types.VM{}, false
	}
	return c.VM(id)
}

// addShards adds empty shards until there are enough for all VMs of the domain.
func addShards(d *Domain, vmCounts map[types.ShardID]int) {
	need := (len(d.VMs) + MaxShardVMs - 1) / MaxShardVMs
	for n := 0; len(vmCounts) < need; n++ {
		id := types.ShardID(fmt.Sprintf("%s-s%02d", d.Name, n))
		if _, ok := vmCounts[id]; !ok {
			vmCounts[id] = 0
		}
	}
}

// smallestShard returns the shard with the fewest VMs, and of several the first
// by name.
func smallestShard(vmCounts map[types.ShardID]int) types.ShardID {
	var smallest types.ShardID
	for id, n := range vmCounts {
		if smallest == "" || n < vmCounts[smallest] || n == vmCounts[smallest] && id < smallest {
			smallest = id
		}
	}
	return smallest
}
