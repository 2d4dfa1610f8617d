package shard

import (
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Reservations is the capacity of a VM and the sum of the reservations on it.
type Reservations struct {
	Capacity types.Resources
	Reserved types.Resources
}

// Reservations returns the capacity and the reservations of each VM.
func (o *Owner) Reservations() map[types.VMID]Reservations {
	reservations := make(map[types.VMID]Reservations, len(o.vms))
	for id, v := range o.vms {
		reservations[id] = Reservations{Capacity: v.vm.Capacity, Reserved: v.reserved}
	}
	return reservations
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
