// Package standin is an in-memory stand-in for the operator's platform (table,
// object store and task runtimes) and for an upstream, with seeded faults.
//
// It serves development and tests only. It refuses nothing that the system is
// responsible for: overfilled VMs, tasks that run in two places and attempts
// started twice are recorded as violations, so that a test can read them from
// Platform.Witness.
package standin
