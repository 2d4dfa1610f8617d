// Package lease implements the protocol for shard leases.
//
// A lease is one table row per shard. The holder renews the row, and stops
// acting before the TTL has passed since the last successful renewal was sent.
// An observer that sees the row unchanged for the TTL on its own clock may take
// the lease over. The protocol never compares the clocks of two VMs.
//
// A takeover also writes the row, in the same transaction, to a second row, the
// fence row, which renewals leave unchanged. Table batches are conditional on the
// revision of the fence row, so a renewal does not invalidate them but a takeover
// does.
package lease
