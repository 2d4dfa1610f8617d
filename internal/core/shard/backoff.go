package shard

import "time"

const (
	// backoffBase is the wait after the first failed or refused attempt. It
	// leaves an urgent task time for a second start within its limit of 2.3 s.
	backoffBase = time.Second
	// backoffMax bounds the wait, which doubles with each further attempt.
	// Without it a refused task made 1,064 attempts in ten minutes.
	backoffMax = 5 * time.Minute
	// avoidFactor times the wait is how long the VM of the attempt is avoided.
	// It ends, since the shard may have no other VM for the task.
	avoidFactor = 4
	// backoffResetAfter is the run time after which a failure counts as a first one.
	backoffResetAfter = 10 * time.Minute
)

// backOff makes a task wait after an attempt that failed or was refused, and
// avoid the VM of that attempt.
func (o *Owner) backOff(t *taskState) {
	if o.now-t.started >= backoffResetAfter {
		t.consecutiveFailures = 0
	}
	wait := backoffMax
	if t.consecutiveFailures < 9 { // 2^9 s exceeds backoffMax
		wait = min(backoffBase<<t.consecutiveFailures, backoffMax)
	}
	t.consecutiveFailures++
	t.notBefore = o.now + wait
	t.avoidVM = t.row.VM
	t.avoidUntil = o.now + avoidFactor*wait
}

// backoffOver reports whether the task's wait is over.
func (t *taskState) backoffOver(now time.Duration) bool {
	return now >= t.notBefore
}
