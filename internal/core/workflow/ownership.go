package workflow

import "time"

// While the ownership cannot be confirmed because the table does not answer,
// the owner cannot distinguish an outage of the table from the loss of its own
// connection. If only its connection is lost, another owner may be active at
// the same time. Since most outages are shorter than the leases that workers
// hold, the owner continues with what is safe in both cases:
//
//   - Tasks start under leases granted before. A worker that the new owner has
//     reached refuses such a start. For every other worker, the new owner waits
//     until the lease has expired.
//   - Leases are not extended. No lease is considered expired by time, since
//     the new owner may have extended it.
//   - Jobs read during the outage are not started: for the new owner they are
//     new, and it starts them before it has reached all workers.
//   - Nothing is made durable, so no end is acknowledged.

// minLeaseLeft is the remaining lease of a worker required for a start without
// a confirmed ownership: about the run time of a short task.
const minLeaseLeft = time.Second

// SetOwnershipConfirmed sets whether the ownership is confirmed. It must be
// called with the current value before any other input.
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
	// The ownership is still held, so no other owner was active during the
	// outage.
	for _, j := range o.jobs {
		j.readUnconfirmed = false
	}
}

// leaseSuffices reports whether enough of the VM's lease remains to start a
// task there. A confirmed owner extends the lease.
func (o *Owner) leaseSuffices(v *vm) bool {
	return o.confirmed || v.grantedUntil-(v.clock+o.now-v.clockAt) >= minLeaseLeft
}
