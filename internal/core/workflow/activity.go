package workflow

import "time"

// Activity is what an owner knows of its workers and of the time since the takeover.
type Activity struct {
	VMs int
	// Recovered: every run that an earlier owner may have started is listed or has
	// provably ended.
	Recovered bool
	// Silent counts the VMs that have not reported for a time and may still run tasks.
	Silent int
}

// Activity returns the activity at now. A VM counts as silent if its last report is older
// than silentAfter.
func (o *Owner) Activity(now, silentAfter time.Duration) Activity {
	a := Activity{VMs: len(o.vmOrder), Recovered: o.takeoverComplete}
	for _, v := range o.vmOrder {
		if !v.provenIdle && now >= v.lastContact+silentAfter {
			a.Silent++
		}
	}
	return a
}
