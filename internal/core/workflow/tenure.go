package workflow

import "time"

// While the ownership cannot be confirmed, because the store does not answer,
// the owner cannot tell an outage for all from one for itself alone; in the
// latter another owner may act beside it. It goes on with what is safe in both
// cases, since most outages are shorter than the leases that workers hold:
//
//   - Tasks start under leases granted before. Such a start is refused by a
//     worker that the successor has reached, and a worker that the successor has
//     not reached counts for it as out of reach until that lease has run out.
//   - Leases are not extended, and no lease is taken to have run out by time,
//     since the successor may have extended it.
//   - Jobs read meanwhile are left alone: for the successor they are new, and it
//     starts them before it has reached all workers.
//   - Nothing is made durable, so no end is acknowledged.

// minLeaseLeft is how much of a worker's lease must remain for a start without a
// confirmed ownership: about the run time of a short task.
const minLeaseLeft = time.Second

// SetOwnershipConfirmed tells whether the ownership is confirmed. It must be called with the
// present knowledge before any other input.
func (o *Owner) SetOwnershipConfirmed(now time.Duration, confirmed bool) {
	o.now = now
	if confirmed == o.confirmed {
		return
	}
	o.confirmed = confirmed
	o.placeDue = true
	if !confirmed {
		return
	}
	// No other owner has been there in between.
	for _, j := range o.jobs {
		j.readUnconfirmed = false
	}
}

// leaseSuffices reports whether a task may start on the VM as far as its lease
// goes: a confirmed owner extends it.
func (o *Owner) leaseSuffices(v *vm) bool {
	return o.confirmed || v.grantedUntil-(v.clock+o.now-v.clockAt) >= minLeaseLeft
}
