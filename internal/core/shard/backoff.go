package shard

import "time"

const (
	// backoffBase is the delay after the first failed or refused attempt. It is
	// short enough for an urgent task to start again within 2.3 s of its
	// submission, the limit for the start of urgent tasks.
	backoffBase = time.Second
	// backoffMax is the maximum delay. The delay doubles with each further
	// failed or refused attempt.
	backoffMax = 5 * time.Minute
	// avoidFactor bounds how long a task avoids the VM of its failed attempt: it
	// does so for this multiple of the delay, and not longer, because the shard
	// may have no other VM that fits the task.
	avoidFactor = 4
	// backoffResetAfter is the time since the placement, or since the takeover
	// if the attempt is older, after which a failure restarts the backoff at
	// backoffBase.
	backoffResetAfter = 10 * time.Minute
)

// backOff delays the next placement of a task whose attempt failed or was
// refused, or of a service replica that ended, and makes the task avoid the VM
// of that attempt for some time. A refused task without backoff made 1,064
// attempts in ten minutes.
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

// backoffOver reports whether the task's backoff delay has passed.
func (t *taskState) backoffOver(now time.Duration) bool {
	return now >= t.notBefore
}
