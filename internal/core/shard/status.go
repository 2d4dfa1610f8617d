package shard

import (
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Usage is the capacity and the reserved resources of a VM.
type Usage struct {
	Capacity types.Resources
	Reserved types.Resources
}

// Usage returns the capacity and the reservations of each VM.
func (o *Owner) Usage() map[types.VMID]Usage {
	usage := make(map[types.VMID]Usage, len(o.vms))
	for id, v := range o.vms {
		usage[id] = Usage{Capacity: v.vm.Capacity, Reserved: v.reserved}
	}
	return usage
}

// Tasks returns the newest rows of all tasks of unfinished jobs, ordered by job
// ID and task index.
func (o *Owner) Tasks() []task.Row {
	all := o.sortedTasks()
	rows := make([]task.Row, len(all))
	for i, t := range all {
		rows[i] = t.row
	}
	return rows
}
