package workflow

import "github.com/boragecrank/boragecrank/internal/core/types"

// Load is what an owner knows of the load of one VM.
type Load struct {
	VM types.VMID
	// Reserved, Filling, Leftover and Capacity are processors in thousandths of a
	// core; Using is what the tasks that fill used of late.
	Reserved, Filling, Using, Leftover, Capacity int64
	// Tasks and Targets count live tasks, and standing ones with a tail target.
	Tasks, Targets int
	// Pace is in percent, Tail the highest tail as a share of its target.
	Pace   int
	Tail   float64
	Usable bool
}

// Loads returns the loads of all VMs in order of their names.
func (o *Owner) Loads() []Load {
	loads := make([]Load, 0, len(o.vmOrder))
	for _, v := range o.vmOrder {
		l := Load{
			VM: v.id, Reserved: v.used.MilliCPU, Filling: v.filling, Leftover: v.leftover(), Capacity: v.upstream.Capacity.MilliCPU,
			Tasks: len(v.tasks), Targets: v.targets, Pace: v.slowest(), Tail: v.tail(), Usable: o.usable(v) && !v.quarantined,
		}
		for _, t := range v.tasks {
			if t.step.spec.Fills {
				l.Using += int64(t.figure)
			}
		}
		loads = append(loads, l)
	}
	return loads
}
