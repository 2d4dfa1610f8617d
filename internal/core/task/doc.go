// Package task defines the life cycle of a task as one transition table, and
// the encoding of task and job rows.
//
// A task has at most one live attempt. Its attempt is live in the states
// placed, running, checkpointed and resumed. A new attempt is placed only in
// the states pending and evicted, and a task with a live attempt enters these
// only when the attempt is proven to have stopped.
package task
