// Package standin is an in-memory stand-in for the operator's platform (table,
// object store and task runtimes) and for an upstream, with seeded fault
// injection.
//
// It is for development and tests only. It does not enforce the invariants that
// the system must keep: overloaded VMs, tasks that run in two places and
// attempts started twice are accepted and recorded as violations, which tests
// read from Platform.Violations.
package standin
