package workflow

import "github.com/boragecrank/boragecrank/internal/core/types"

// Load describes the load of one VM.
type Load struct {
	VM types.VMID
	// Reserved, Filling, Background, Using, Leftover and Capacity are in
	// thousandths of a core: Reserved is the reservations of tasks, Filling the
	// demand of filling tasks, Background that of background runs, Using the latest
	// measured use of both, and Leftover the processors that tasks with reservations
	// do not use.
	Reserved, Filling, Background, Using, Leftover, Capacity int64
	// Tasks counts live tasks, Targets the live tasks with a tail target.
	Tasks, Targets int
	// Pace is the lowest wanted pace in percent, Tail the highest tail latency
	// as a share of its target.
	Pace int
	Tail float64
	// Evacuated: the VM's failure domain is evacuated.
	Evacuated bool
	// Usable: new tasks may be placed on the VM and it is not quarantined.
	Usable bool
}

// Loads returns the load of each VM, ordered by VM ID.
func (o *Owner) Loads() []Load {
	loads := make([]Load, 0, len(o.vmOrder))
	for _, v := range o.vmOrder {
		l := Load{
			VM: v.id, Reserved: v.reserved.MilliCPU, Filling: v.filling, Background: v.background, Leftover: v.leftover(), Capacity: v.upstream.Capacity.MilliCPU,
			Tasks: len(v.tasks), Targets: v.targets, Pace: v.lowestPace(), Tail: v.tail(), Evacuated: v.evacuated, Usable: o.usable(v) && !v.quarantined,
		}
		for _, t := range v.tasks {
			if t.step.spec.Fills {
				l.Using += int64(t.measurement)
			}
		}
		loads = append(loads, l)
	}
	return loads
}
