// Package lease holds the rules of shard leases.
//
// A lease is one table row per shard. Its holder renews it and stops acting
// before the TTL ends, counted from before the renewal was sent. An observer
// that sees the row unchanged for the TTL on its own clock may take it over.
// No rule compares the clocks of two VMs.
//
// The holder's epoch is also written to a fence row, in the transaction of the
// takeover only. Table batches are conditional on the fence row's revision,
// which stays the same while the lease row is renewed.
package lease
